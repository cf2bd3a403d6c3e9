#include "bulrushpitch/forward/crash_attribution.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace bulrushpitch {

namespace {

/// Crashes within this time count as one.
constexpr Duration MomentLength = std::chrono::milliseconds(100);

/// Least share of the crashes of its time in which a part occurs.
constexpr double MinCoverage = 0.5;
/// From this many moments on, a part is blamed whatever its share of the crashes.
constexpr std::uint32_t MomentsWithoutCoverage = 10;
constexpr std::size_t MinRequests = 2;

/// The crashes that a part may have caused.
struct Candidate {
  std::vector<TimePoint> m_Times;
  std::size_t m_Position = 0; ///< The last one in any prompt.
  std::set<std::uint32_t> m_Requests;
  std::size_t m_UnknownRequests = 0; ///< Crashes for which the request is not known.

  std::size_t requests() const { return m_Requests.size() + m_UnknownRequests; }
};

bool weighsLess(const Candidate &Left, const Candidate &Right) {
  return std::tuple(Left.m_Times.size(), Left.m_Position, Left.requests()) <
         std::tuple(Right.m_Times.size(), Right.m_Position, Right.requests());
}

/// @return how many moments the times spread over
std::uint32_t countMoments(std::vector<TimePoint> Times) {
  std::sort(Times.begin(), Times.end());
  std::uint32_t Count = 0;
  TimePoint Start{};
  for (const TimePoint &Time : Times) {
    if (Count > 0 && Time - Start < MomentLength)
      continue;
    ++Count;
    Start = Time;
  }
  return Count;
}

std::map<PromptPartId, Candidate> candidatesOf(const std::vector<UpstreamCrash> &Crashes) {
  std::map<PromptPartId, Candidate> Candidates;
  for (const UpstreamCrash &Crash : Crashes) {
    for (const SuspectParts::value_type &Suspect : Crash.m_Suspects) {
      Candidate &Counted = Candidates[Suspect.first];
      Counted.m_Times.push_back(Crash.m_At);
      Counted.m_Position = std::max(Counted.m_Position, Suspect.second.m_Position);
      if (Suspect.second.m_Request == 0)
        ++Counted.m_UnknownRequests;
      else
        Counted.m_Requests.insert(Suspect.second.m_Request);
    }
  }
  return Candidates;
}

/// @return whether the part occurs in enough of the crashes between its first and its last one
bool coversItsTime(const Candidate &Counted, std::uint32_t Moments, const std::vector<TimePoint> &AllTimes) {
  if (Moments >= MomentsWithoutCoverage)
    return true;
  const auto [First, Last] = std::minmax_element(Counted.m_Times.begin(), Counted.m_Times.end());
  std::vector<TimePoint> Between;
  std::copy_if(AllTimes.begin(), AllTimes.end(), std::back_inserter(Between),
               [&, From = *First, To = *Last](TimePoint Time) { return Time >= From && Time <= To; });
  return Moments >= countMoments(std::move(Between)) * MinCoverage;
}

} // namespace

std::map<PromptPartId, CrashBlame>
attributeCrashes(std::vector<UpstreamCrash> Crashes,
                 const std::function<std::uint32_t(const PromptPartId &)> &Required) {
  std::map<PromptPartId, CrashBlame> Blamed;
  while (true) {
    std::vector<TimePoint> Times;
    Times.reserve(Crashes.size());
    for (const UpstreamCrash &Crash : Crashes)
      Times.push_back(Crash.m_At);
    std::map<PromptPartId, Candidate> Candidates = candidatesOf(Crashes);
    std::erase_if(Candidates, [&](const auto &Entry) {
      const std::uint32_t Moments = countMoments(Entry.second.m_Times);
      return Moments < Required(Entry.first) || Entry.second.requests() < MinRequests ||
             !coversItsTime(Entry.second, Moments, Times);
    });
    const auto Heaviest =
        std::max_element(Candidates.begin(), Candidates.end(), [](const auto &Left, const auto &Right) {
          return weighsLess(Left.second, Right.second);
        });
    if (Heaviest == Candidates.end())
      return Blamed;
    const std::vector<TimePoint> &Explained = Heaviest->second.m_Times;
    Blamed[Heaviest->first] = CrashBlame{static_cast<std::uint32_t>(Explained.size()),
                                         *std::max_element(Explained.begin(), Explained.end())};
    std::erase_if(Crashes,
                  [&](const UpstreamCrash &Crash) { return Crash.m_Suspects.count(Heaviest->first) > 0; });
  }
}

} // namespace bulrushpitch
