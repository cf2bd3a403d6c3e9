#include "bulrushpitch/forward/prompt_quarantine.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bulrushpitch {

namespace {

using std::chrono::milliseconds;

/// How long a crash counts, and with it a quarantine lasts.
constexpr Duration EvidenceLifetime = std::chrono::minutes(10);
/// An upstream that crashed needs longer to come back.
constexpr Duration ConfirmationTime = milliseconds(300);
/// Sound parts are in several crashes by chance: many requests are under way at an upstream that crashes.
constexpr std::uint32_t RequiredMoments = 5;
/// Further moments for each whole answer of the last seconds.
constexpr double MomentsPerAnswer = 4.0;
/// Time in which the weight of a whole answer falls to 1/e.
constexpr std::chrono::duration<double> AnswerMemory = std::chrono::seconds(10);
constexpr Duration UsedPartMemory = std::chrono::seconds(60);
/// From the end of a dropped response until its upstream has crashed on it.
constexpr Duration CrashDelay = milliseconds(300);
/// After this time the registry shows a new start of an upstream under its old id.
constexpr Duration RefutationMemory = std::chrono::seconds(10);
/// In this time most sound requests of a crashed upstream get their answers elsewhere, and nothing has to be
/// published. It is not waited for while crashes follow each other.
constexpr Duration PublicationDelay = std::chrono::seconds(2);
constexpr Duration SeriesTime = std::chrono::seconds(10);
constexpr std::size_t CrashesOfSeries = 3;
/// Crashes within this time have a common cause other than a prompt.
constexpr Duration MomentLength = milliseconds(100);
/// Delay per rank before a daemon clears a part, so that usually only the first one writes.
constexpr Duration ClearanceStagger = milliseconds(500);
/// A part that another daemon cleared so shortly before it was accused here needs no second one.
constexpr Duration ClearanceMemory = std::chrono::seconds(10);
/// Within this time after a restore of the store, a daemon has learned of it, by the longest of its long
/// polls of 15 s, and has published its evidence again.
constexpr Duration RepublicationTime = std::chrono::seconds(30);
/// Limits on memory and on the size of the published evidence.
constexpr std::size_t MaxCrashesPerDaemon = 24;
constexpr std::size_t MaxSuspectsPerCrash = 64;
/// Keeps a row below half of the 65,536 bytes that the store takes.
constexpr std::size_t MaxPublishedSuspects = 320;
constexpr std::size_t MaxUsedParts = 4096;
constexpr std::size_t MaxDropped = 256;

/// @brief Drops the oldest crashes until at most MaxPublishedSuspects are left in all.
void limitSuspects(std::vector<CrashEvidence> &Crashes) {
  std::sort(Crashes.begin(), Crashes.end(),
            [](const CrashEvidence &Left, const CrashEvidence &Right) { return Left.m_Age < Right.m_Age; });
  std::size_t Count = 0;
  const auto End = std::find_if(Crashes.begin(), Crashes.end(), [&](const CrashEvidence &Crash) {
    Count += Crash.m_Suspects.size();
    return Count > MaxPublishedSuspects;
  });
  Crashes.erase(End, Crashes.end());
}

/// @return whether two sets of evidence say the same, apart from the crashes' ages
bool saysTheSame(const PromptEvidence &Left, const PromptEvidence &Right) {
  return std::equal(Left.m_Sound.begin(), Left.m_Sound.end(), Right.m_Sound.begin(), Right.m_Sound.end(),
                    [](const auto &First, const auto &Second) { return First.first == Second.first; }) &&
         std::equal(Left.m_Crashes.begin(), Left.m_Crashes.end(), Right.m_Crashes.begin(),
                    Right.m_Crashes.end(), [](const CrashEvidence &First, const CrashEvidence &Second) {
                      return First.m_Upstream == Second.m_Upstream && First.m_Suspects == Second.m_Suspects;
                    });
}

} // namespace

void PromptQuarantine::addSuspect(SuspectParts &Suspects, const PromptPartId &Part, SuspectPart Added) const {
  if (!Suspects.emplace(Part, Added).second || Suspects.size() <= MaxSuspectsPerCrash)
    return;
  // The part with the latest whole answer is the least suspicious one.
  const auto AnsweredAt = [this](const PromptPartId &Asked) {
    const auto Found = m_Answers.find(Asked);
    return Found == m_Answers.end() ? TimePoint{} : Found->second.m_LastAt;
  };
  Suspects.erase(std::max_element(Suspects.begin(), Suspects.end(), [&](const auto &Left, const auto &Right) {
    return AnsweredAt(Left.first) < AnsweredAt(Right.first);
  }));
}

double PromptQuarantine::ownAnswers(const PromptPartId &Part, TimePoint Now) const {
  const auto Found = m_Answers.find(Part);
  if (Found == m_Answers.end())
    return 0.0;
  return Found->second.m_Weight * std::exp(-((Now - Found->second.m_LastAt) / AnswerMemory));
}

double PromptQuarantine::answers(const PromptPartId &Part, TimePoint Now) const {
  double Weight = ownAnswers(Part, Now);
  for (const auto &Other : m_OthersAnswers) {
    const auto Found = Other.second.m_Weights.find(Part);
    if (Found != Other.second.m_Weights.end())
      Weight += Found->second * std::exp(-((Now - Other.second.m_At) / AnswerMemory));
  }
  return Weight;
}

PromptQuarantine::Crash &PromptQuarantine::crashOf(Crashes &Known, const UpstreamIncarnation &Upstream,
                                                   TimePoint At) {
  const Crashes::iterator Found = Known.find(Upstream);
  if (Found != Known.end())
    return Found->second;
  if (Known.size() >= MaxCrashesPerDaemon)
    Known.erase(std::min_element(Known.begin(), Known.end(), [](const auto &Left, const auto &Right) {
      return Left.second.m_At < Right.second.m_At;
    }));
  Crash &Added = Known[Upstream];
  Added.m_At = At;
  return Added;
}

void PromptQuarantine::onBrokenOff(const UpstreamIncarnation &Upstream,
                                   const std::vector<PromptPartId> &Parts, std::uint32_t Request,
                                   TimePoint Now) {
  if (Parts.empty())
    return;
  Crash &Record = crashOf(m_Crashes[m_Own], Upstream, Now);
  for (std::size_t Position = 0; Position < Parts.size(); ++Position)
    addSuspect(Record.m_Suspects, Parts[Position], {Position, Request});
}

void PromptQuarantine::onDropped(const UpstreamIncarnation &Upstream, const std::vector<PromptPartId> &Parts,
                                 std::uint32_t Request, TimePoint Now) {
  while (!m_Dropped.empty() && (Now - m_Dropped.front().m_At > CrashDelay || m_Dropped.size() >= MaxDropped))
    m_Dropped.pop_front();
  m_Dropped.push_back({Upstream, Parts, Request, Now});
}

void PromptQuarantine::onUpstreamBroke(const UpstreamIncarnation &Upstream, TimePoint Now) {
  std::erase_if(m_Dropped, [&](const DroppedResponse &Dropped) {
    if (Dropped.m_Upstream != Upstream || Now - Dropped.m_At > CrashDelay)
      return false;
    std::vector<PromptPartId> Suspects = Dropped.m_Parts;
    std::erase_if(Suspects, [&](const PromptPartId &Part) { return clearedSince(Part, Dropped.m_At); });
    onBrokenOff(Upstream, Suspects, Dropped.m_Request, Now);
    return true;
  });
}

void PromptQuarantine::onAnswered(const std::vector<PromptPartId> &Parts, TimePoint Now) {
  for (const PromptPartId &Part : Parts)
    m_Answers[Part] = Answers{Now, ownAnswers(Part, Now) + 1.0};
  if (m_Answers.size() > MaxUsedParts)
    forgetAnswers(Now);
  if (std::any_of(Parts.begin(), Parts.end(),
                  [this](const PromptPartId &Part) { return m_Quarantined.count(Part) > 0; }))
    judge(Now);
}

void PromptQuarantine::forgetAnswers(TimePoint Now) {
  std::set<PromptPartId> Named;
  for (const CrashesByDaemon *Known : {&m_Crashes, &m_KeptCrashes})
    for (const auto &Daemon : *Known)
      for (const auto &Entry : Daemon.second)
        for (const SuspectParts::value_type &Suspect : Entry.second.m_Suspects)
          Named.insert(Suspect.first);
  // Answers on suspects are kept as long as the crashes: without them, a cleared part would be accused again.
  for (Duration Memory = UsedPartMemory; m_Answers.size() > MaxUsedParts && Memory > Duration::zero();
       Memory /= 2)
    std::erase_if(m_Answers, [&](const auto &Answered) {
      return Now - Answered.second.m_LastAt >= Memory && Named.count(Answered.first) == 0;
    });
}

void PromptQuarantine::onEvidence(const std::vector<PromptEvidence> &Published, TimePoint Now) {
  for (const PromptEvidence &Evidence : Published) {
    m_KeptCrashes.erase(Evidence.m_Daemon);
    take(Evidence, Now);
  }
  judge(Now);
}

void PromptQuarantine::onSnapshot(const std::vector<PromptEvidence> &Published, TimePoint Now) {
  forgetOthers();
  for (const PromptEvidence &Evidence : Published)
    take(Evidence, Now);
  judge(Now);
}

void PromptQuarantine::onStoreRestored(TimePoint Now) {
  for (auto &Daemon : m_Crashes) {
    if (Daemon.first == m_Own)
      continue;
    Crashes &Kept = m_KeptCrashes[Daemon.first];
    Daemon.second.merge(Kept);
    Kept = std::move(Daemon.second);
  }
  forgetOthers();
  m_KeptUntil = Now + RepublicationTime;
  m_KnowsOwnEvidence = true;
  m_PublicationFailed = m_PublicationFailed || !m_Published.empty();
}

void PromptQuarantine::take(const PromptEvidence &Published, TimePoint Now) {
  if (Published.m_Daemon == m_Own) {
    takeOwn(Published, Now);
    return;
  }
  m_Crashes.erase(Published.m_Daemon);
  m_OthersAnswers.erase(Published.m_Daemon);
  if (!Published.m_Answered.empty())
    m_OthersAnswers[Published.m_Daemon] = PublishedAnswers{Now, Published.m_Answered};
  addCrashes(Published, Now);
  for (const std::pair<const PromptPartId, Duration> &Sound : Published.m_Sound)
    m_ClearedBy[Sound.first] = std::max(m_ClearedBy[Sound.first], Now - Sound.second);
}

void PromptQuarantine::takeOwn(const PromptEvidence &Published, TimePoint Now) {
  // Since its first publication, this daemon knows its own evidence better than the store.
  if (!m_Published.empty())
    return;
  if (!m_KnowsOwnEvidence)
    addCrashes(Published, Now);
  else if (Now < m_KeptUntil && !Published.empty())
    m_PublicationFailed = true; // The copy has what was withdrawn since.
}

void PromptQuarantine::addCrashes(const PromptEvidence &Published, TimePoint Now) {
  for (const CrashEvidence &Seen : Published.m_Crashes) {
    if (Seen.m_Age >= EvidenceLifetime)
      continue;
    Crash &Record = crashOf(m_Crashes[Published.m_Daemon], Seen.m_Upstream, Now - Seen.m_Age);
    Record.m_Confirmed = true;
    for (const SuspectParts::value_type &Suspect : Seen.m_Suspects)
      addSuspect(Record.m_Suspects, Suspect.first, Suspect.second);
  }
  for (const std::pair<const PromptPartId, Duration> &Sound : Published.m_Sound) {
    Answers &Answered = m_Answers[Sound.first];
    Answered.m_LastAt = std::max(Answered.m_LastAt, Now - Sound.second);
  }
}

void PromptQuarantine::forgetOthers() {
  std::erase_if(m_Crashes, [this](const auto &Daemon) { return Daemon.first != m_Own; });
}

void PromptQuarantine::update(const UpstreamFateHook &Fate, TimePoint Now) {
  if (Now >= m_KeptUntil)
    m_KeptCrashes.clear();
  dropExpired(m_Crashes, Fate, Now);
  dropExpired(m_KeptCrashes, Fate, Now);
  std::erase_if(m_OthersAnswers, [&](const auto &Other) { return m_Crashes.count(Other.first) == 0; });
  std::erase_if(m_ClearedBy, [Now](const auto &Entry) { return Now - Entry.second >= EvidenceLifetime; });
  if (hasCrashes() || !m_Quarantined.empty())
    judge(Now);
}

void PromptQuarantine::dropExpired(CrashesByDaemon &Known, const UpstreamFateHook &Fate,
                                   TimePoint Now) const {
  for (auto &Daemon : Known) {
    for (auto &Entry : Daemon.second) {
      if (Daemon.first != m_Own)
        break;
      const UpstreamFate Found = Fate(Entry.first, Entry.second.m_At);
      Entry.second.m_Refuted =
          Found == UpstreamFate::Unknown ? Entry.second.m_Refuted : Found == UpstreamFate::Alive;
    }
    std::erase_if(Daemon.second, [&](const auto &Entry) {
      const Duration Age = Now - Entry.second.m_At;
      return Age >= (Entry.second.m_Refuted ? RefutationMemory : EvidenceLifetime);
    });
    for (auto &Entry : Daemon.second)
      Entry.second.m_Confirmed = Entry.second.m_Confirmed || Now - Entry.second.m_At >= ConfirmationTime;
  }
  std::erase_if(Known, [](const auto &Daemon) { return Daemon.second.empty(); });
}

bool PromptQuarantine::hasCrashes() const {
  const auto Counts = [](const Crashes::value_type &Entry) { return !Entry.second.m_Refuted; };
  return !m_KeptCrashes.empty() || std::any_of(m_Crashes.begin(), m_Crashes.end(), [&](const auto &Daemon) {
    return std::any_of(Daemon.second.begin(), Daemon.second.end(), Counts);
  });
}

bool PromptQuarantine::hasCrashesOf(const InstanceId &Daemon) const {
  return m_Crashes.count(Daemon) > 0 || m_KeptCrashes.count(Daemon) > 0;
}

bool PromptQuarantine::clearedSince(const PromptPartId &Part, TimePoint Time) const {
  const auto Answered = m_Answers.find(Part);
  return Answered != m_Answers.end() && Answered->second.m_LastAt > Time;
}

SuspectParts PromptQuarantine::suspectsOf(const Crash &Record) const {
  SuspectParts Suspects = Record.m_Suspects;
  std::erase_if(Suspects, [&](const auto &Suspect) { return clearedSince(Suspect.first, Record.m_At); });
  return Suspects;
}

PromptQuarantine::Suspicions PromptQuarantine::countSuspicions() const {
  Suspicions Counts;
  for (const CrashesByDaemon *Known : {&m_Crashes, &m_KeptCrashes})
    for (const auto &Daemon : *Known)
      for (const auto &Entry : Daemon.second)
        for (const SuspectParts::value_type &Suspect : Entry.second.m_Suspects)
          ++Counts[Suspect.first.value()];
  return Counts;
}

void PromptQuarantine::mergeInto(std::map<UpstreamIncarnation, UpstreamCrash> &Merged,
                                 const CrashesByDaemon &Known, const Suspicions &Counts, bool Cleared) const {
  for (const auto &Daemon : Known) {
    for (const auto &Entry : Daemon.second) {
      if (!Entry.second.m_Confirmed || Entry.second.m_Refuted)
        continue;
      UpstreamCrash &Record = Merged.emplace(Entry.first, UpstreamCrash{Entry.second.m_At, {}}).first->second;
      Record.m_At = std::min(Record.m_At, Entry.second.m_At);
      // Most parts are in few crashes, and can't be blamed.
      for (const SuspectParts::value_type &Suspect : Entry.second.m_Suspects)
        if (Counts.at(Suspect.first.value()) >= RequiredMoments &&
            !(Cleared && clearedSince(Suspect.first, Entry.second.m_At)))
          Record.m_Suspects.insert(Suspect);
    }
  }
}

std::vector<UpstreamCrash> PromptQuarantine::mergedCrashes(bool Cleared) const {
  std::map<UpstreamIncarnation, UpstreamCrash> Merged;
  const Suspicions Counts = countSuspicions();
  mergeInto(Merged, m_Crashes, Counts, Cleared);
  mergeInto(Merged, m_KeptCrashes, Counts, Cleared);
  std::vector<UpstreamCrash> Result;
  Result.reserve(Merged.size());
  for (auto &Entry : Merged)
    Result.push_back(std::move(Entry.second));
  return Result;
}

std::uint32_t PromptQuarantine::requiredMoments(const PromptPartId &Part, TimePoint Now) const {
  return RequiredMoments + static_cast<std::uint32_t>(std::lround(MomentsPerAnswer * answers(Part, Now)));
}

void PromptQuarantine::judge(TimePoint Now) {
  m_Quarantined = attributeCrashes(mergedCrashes(true),
                                   [&](const PromptPartId &Part) { return requiredMoments(Part, Now); });
}

std::set<PromptPartId> PromptQuarantine::accusedSoundParts() const {
  std::set<PromptPartId> Sound;
  std::vector<UpstreamCrash> Unexplained = mergedCrashes(false);
  // Without a sound part, the blame passes to the other parts of the same prompts.
  for (bool Found = true; Found;) {
    Found = false;
    for (const auto &Accused :
         attributeCrashes(Unexplained, [](const PromptPartId &) { return RequiredMoments; })) {
      if (!clearedSince(Accused.first, Accused.second.m_LastAt))
        continue;
      Found = Sound.insert(Accused.first).second;
      for (UpstreamCrash &Record : Unexplained)
        Record.m_Suspects.erase(Accused.first);
    }
  }
  return Sound;
}

std::map<PromptPartId, Duration> PromptQuarantine::soundParts(TimePoint Now, std::uint32_t Rank) {
  const std::set<PromptPartId> Accused = accusedSoundParts();
  std::erase_if(m_AccusedSince, [&](const auto &Entry) { return Accused.count(Entry.first) == 0; });
  std::map<PromptPartId, Duration> Sound;
  for (const PromptPartId &Part : Accused) {
    const TimePoint Since = m_AccusedSince.emplace(Part, Now).first->second;
    const auto Cleared = m_ClearedBy.find(Part);
    const bool ClearedByOther = Cleared != m_ClearedBy.end() && Cleared->second >= Since - ClearanceMemory;
    const bool Told = m_Published.m_Sound.count(Part) > 0;
    if (Told || (!ClearedByOther && Now - Since >= ClearanceStagger * Rank))
      Sound.emplace(Part, Now - m_Answers[Part].m_LastAt);
  }
  return Sound;
}

std::optional<QuarantinedPart> PromptQuarantine::find(const std::vector<PromptPartId> &Parts,
                                                      TimePoint Now) const {
  for (const PromptPartId &Part : Parts) {
    const auto Found = m_Quarantined.find(Part);
    if (Found != m_Quarantined.end())
      return QuarantinedPart{Part, Found->second.m_Crashes, Now - Found->second.m_LastAt};
  }
  return std::nullopt;
}

std::size_t PromptQuarantine::crashMomentsSince(TimePoint Time) const {
  std::set<Duration::rep> Moments;
  for (const auto &Daemon : m_Crashes)
    for (const auto &Entry : Daemon.second)
      if (!Entry.second.m_Refuted && Entry.second.m_At >= Time)
        Moments.insert(Entry.second.m_At.time_since_epoch() / MomentLength);
  return Moments.size();
}

std::vector<CrashEvidence> PromptQuarantine::publishableCrashes(TimePoint Now) const {
  std::vector<CrashEvidence> Published;
  const auto Own = m_Crashes.find(m_Own);
  if (Own == m_Crashes.end())
    return Published;
  const bool Series = crashMomentsSince(Now - SeriesTime) >= CrashesOfSeries;
  std::map<PromptPartId, std::set<Duration::rep>> Moments;
  for (const auto &Entry : Own->second)
    for (const SuspectParts::value_type &Suspect : suspectsOf(Entry.second))
      Moments[Suspect.first].insert(Entry.second.m_At.time_since_epoch() / MomentLength);
  for (const auto &Entry : Own->second) {
    const Crash &Record = Entry.second;
    if (!Record.m_Confirmed || Record.m_Refuted || (!Series && Now - Record.m_At < PublicationDelay))
      continue;
    // Upstreams that crash together have a cause that is no prompt; a write of each daemon would tell
    // nothing.
    const bool Alone = std::none_of(Own->second.begin(), Own->second.end(), [&](const auto &Other) {
      return Other.first != Entry.first && !Other.second.m_Refuted &&
             std::chrono::abs(Other.second.m_At - Record.m_At) < MomentLength;
    });
    SuspectParts Suspects = suspectsOf(Record);
    std::erase_if(Suspects, [&](const auto &Suspect) { return !Alone && Moments[Suspect.first].size() < 2; });
    if (!Suspects.empty())
      Published.push_back({Entry.first, Now - Record.m_At, std::move(Suspects)});
  }
  return Published;
}

std::optional<PromptEvidence> PromptQuarantine::takeUnpublished(TimePoint Now, std::uint32_t Rank) {
  PromptEvidence Evidence;
  Evidence.m_Daemon = m_Own;
  if (hasCrashes())
    Evidence.m_Sound = soundParts(Now, Rank);
  Evidence.m_Crashes = publishableCrashes(Now);
  limitSuspects(Evidence.m_Crashes);
  for (const CrashEvidence &Published : Evidence.m_Crashes)
    for (const SuspectParts::value_type &Suspect : Published.m_Suspects)
      if (const long Weight = std::lround(ownAnswers(Suspect.first, Now)); Weight > 0)
        Evidence.m_Answered[Suspect.first] = static_cast<std::uint32_t>(Weight);
  if (saysTheSame(Evidence, m_Published) && !m_PublicationFailed)
    return std::nullopt;
  m_PublicationFailed = false;
  m_Published = Evidence;
  return Evidence;
}

} // namespace bulrushpitch
