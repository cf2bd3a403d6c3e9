#include "bulrushpitch/timeline/merge.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace bulrushpitch {

namespace {

using Lists = std::vector<std::vector<TimelineEvent>>;

/// An event's place in the input: list and index.
using Place = std::pair<std::size_t, std::size_t>;

/// @return where each message was sent
std::map<std::string, Place> findSends(const Lists &Input) {
  std::map<std::string, Place> Sends;
  for (std::size_t List = 0; List < Input.size(); ++List)
    for (std::size_t Index = 0; Index < Input[List].size(); ++Index) {
      const TimelineEvent &Event = Input[List][Index];
      if (Event.m_Kind == EventKind::MessageSent && !Event.m_Message.empty())
        Sends.emplace(Event.m_Message, Place(List, Index));
    }
  return Sends;
}

/// @brief Chooses the next event among the first unplaced ones of all lists.
class Sorter {
public:
  explicit Sorter(const Lists &Input)
      : m_Input(Input), m_Sends(findSends(Input)), m_Next(Input.size(), 0), m_Latest(Input.size()) {
    for (std::size_t List = 0; List < Input.size(); ++List)
      offer(List);
  }

  /// @return the next event in causal order, or nothing at the end
  std::optional<Place> take() {
    std::set<Candidate> &From = m_Ready.empty() ? m_Waiting : m_Ready;
    if (From.empty())
      return std::nullopt;
    // Only lists whose order contradicts their messages leave nothing that is ready.
    m_Unordered += &From == &m_Waiting;
    const std::size_t List = std::get<2>(*From.begin());
    From.erase(From.begin());
    const Place Taken(List, m_Next[List]++);
    release(Taken);
    offer(List);
    return Taken;
  }

  std::size_t unordered() const { return m_Unordered; }
  const std::map<std::string, Place> &sends() const { return m_Sends; }

private:
  using Candidate = std::tuple<LamportTime, InstanceId, std::size_t>;

  const TimelineEvent *head(std::size_t List) const {
    return m_Next[List] < m_Input[List].size() ? &m_Input[List][m_Next[List]] : nullptr;
  }

  /// A Lamport time below an earlier one of the same list is raised, so that the list's own order is kept.
  void offer(std::size_t List) {
    const TimelineEvent *Head = head(List);
    if (Head == nullptr)
      return;
    m_Latest[List] = std::max(m_Latest[List], Head->m_Lamport);
    const std::optional<Place> Send = unplacedSend(*Head);
    (Send ? m_Waiting : m_Ready).emplace(m_Latest[List], Head->m_Instance, List);
    if (Send)
      m_Blocked[*Send].push_back(List);
  }

  std::optional<Place> unplacedSend(const TimelineEvent &Event) const {
    if (Event.m_Kind != EventKind::MessageReceived)
      return std::nullopt;
    const auto Found = m_Sends.find(Event.m_Message);
    if (Found == m_Sends.end() || Found->second.second < m_Next[Found->second.first])
      return std::nullopt;
    return Found->second;
  }

  /// Makes the lists ready whose first event waited for @p Sent.
  void release(const Place &Sent) {
    const auto Found = m_Blocked.find(Sent);
    if (Found == m_Blocked.end())
      return;
    for (const std::size_t List : Found->second) {
      const TimelineEvent *Head = head(List);
      if (Head == nullptr)
        continue;
      const Candidate Freed(m_Latest[List], Head->m_Instance, List);
      if (m_Waiting.erase(Freed) > 0)
        m_Ready.insert(Freed);
    }
    m_Blocked.erase(Found);
  }

  const Lists &m_Input;
  std::map<std::string, Place> m_Sends;
  std::vector<std::size_t> m_Next;
  std::vector<LamportTime> m_Latest;
  std::set<Candidate> m_Ready;
  std::set<Candidate> m_Waiting;
  std::map<Place, std::vector<std::size_t>> m_Blocked;
  std::size_t m_Unordered = 0;
};

/// Bounds that keep sums of times from a faulty peer's events within 64 bits of nanoseconds.
constexpr std::chrono::milliseconds latestWall{4'000'000'000'000}; // In the year 2096.
constexpr Duration longest = std::chrono::hours(24 * 365);

Duration bounded(WallTime Time) {
  return std::clamp(Time.time_since_epoch(), std::chrono::milliseconds(0), latestWall);
}

/// @brief The time of an event on its process's wall clock. Differences come from the monotonic clock, which
/// is finer and does not jump.
Duration localTime(const std::vector<TimelineEvent> &List, std::size_t Index) {
  const TimelineEvent &First = List.front();
  const TimelineEvent &Event = List[Index];
  if (First.m_Monotonic.count() > 0 && Event.m_Monotonic >= First.m_Monotonic)
    return bounded(First.m_Wall) + std::min<Duration>(Event.m_Monotonic - First.m_Monotonic, longest);
  return bounded(Event.m_Wall);
}

/// The smallest difference between receipt and sending, by the two clocks, from one instance to another.
using Delays = std::map<std::pair<InstanceId, InstanceId>, Duration>;

Delays findDelays(const Lists &Input, const std::map<std::string, Place> &Sends) {
  Delays Smallest;
  for (const std::vector<TimelineEvent> &List : Input)
    for (std::size_t Index = 0; Index < List.size(); ++Index) {
      const TimelineEvent &Event = List[Index];
      const auto Send =
          Event.m_Kind == EventKind::MessageReceived ? Sends.find(Event.m_Message) : Sends.end();
      if (Send == Sends.end())
        continue;
      const std::vector<TimelineEvent> &From = Input[Send->second.first];
      const Duration Delay = localTime(List, Index) - localTime(From, Send->second.second);
      const auto Added =
          Smallest.try_emplace({From[Send->second.second].m_Instance, Event.m_Instance}, Delay);
      Added.first->second = std::min(Added.first->second, Delay);
    }
  return Smallest;
}

/// A link without messages in one direction is used only where no two-way path exists.
constexpr Duration oneWayCost = std::chrono::hours(1);

/// @return how far @p To is ahead of @p From, if messages between them tell
ClockOffset compare(const Delays &Smallest, const InstanceId &From, const InstanceId &To) {
  const auto Out = Smallest.find({From, To});
  const auto Back = Smallest.find({To, From});
  ClockOffset Offset;
  Offset.m_Known = Out != Smallest.end() || Back != Smallest.end();
  Offset.m_TwoWay = Out != Smallest.end() && Back != Smallest.end();
  if (Offset.m_TwoWay) {
    Offset.m_Ahead = (Out->second - Back->second) / 2;
    Offset.m_Uncertainty = (Out->second + Back->second) / 2;
  } else if (Offset.m_Known) {
    Offset.m_Ahead = Out != Smallest.end() ? Out->second : -Back->second;
    Offset.m_Uncertainty = oneWayCost;
  }
  Offset.m_Ahead = std::clamp(Offset.m_Ahead, -longest, longest);
  return Offset;
}

/// @return the instance with the most links, the first in name order among equals
InstanceId chooseReference(const std::set<InstanceId> &Instances, const Delays &Smallest) {
  std::map<InstanceId, std::size_t> Links;
  for (const std::pair<const std::pair<InstanceId, InstanceId>, Duration> &Item : Smallest) {
    ++Links[Item.first.first];
    ++Links[Item.first.second];
  }
  InstanceId Best = Instances.empty() ? InstanceId() : *Instances.begin();
  for (const InstanceId &Instance : Instances)
    if (Links[Instance] > Links[Best])
      Best = Instance;
  return Best;
}

/// Adds up offsets along the paths with the least uncertainty.
std::map<InstanceId, ClockOffset> findOffsets(const std::set<InstanceId> &Instances, const Delays &Smallest,
                                              const InstanceId &Reference) {
  std::map<InstanceId, ClockOffset> Offsets;
  std::map<InstanceId, std::set<InstanceId>> Neighbours;
  for (const std::pair<const std::pair<InstanceId, InstanceId>, Duration> &Item : Smallest) {
    Neighbours[Item.first.first].insert(Item.first.second);
    Neighbours[Item.first.second].insert(Item.first.first);
  }
  using Step = std::pair<Duration, InstanceId>;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> Open;
  std::set<InstanceId> Settled;
  Offsets[Reference] = {Duration(0), Duration(0), true, true};
  Open.emplace(Duration(0), Reference);
  while (!Open.empty()) {
    const InstanceId From = Open.top().second;
    Open.pop();
    if (!Settled.insert(From).second)
      continue;
    for (const InstanceId &To : Neighbours[From]) {
      ClockOffset Found = compare(Smallest, From, To);
      Found.m_Ahead += Offsets[From].m_Ahead;
      Found.m_Uncertainty = std::max(Duration(0), Found.m_Uncertainty) + Offsets[From].m_Uncertainty;
      Found.m_TwoWay = Found.m_TwoWay && Offsets[From].m_TwoWay;
      ClockOffset &Known = Offsets[To];
      if (Known.m_Known && Known.m_Uncertainty <= Found.m_Uncertainty)
        continue;
      Known = Found;
      Open.emplace(Found.m_Uncertainty, To);
    }
  }
  for (const InstanceId &Instance : Instances)
    Offsets.try_emplace(Instance);
  return Offsets;
}

} // namespace

MergedTimeline mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Input) {
  MergedTimeline Merged;
  std::set<InstanceId> Instances;
  for (const std::vector<TimelineEvent> &List : Input)
    for (const TimelineEvent &Event : List)
      Instances.insert(Event.m_Instance);
  Sorter Order(Input);
  const Delays Smallest = findDelays(Input, Order.sends());
  Merged.m_Reference = chooseReference(Instances, Smallest);
  Merged.m_Offsets = findOffsets(Instances, Smallest, Merged.m_Reference);
  while (const std::optional<Place> Taken = Order.take()) {
    const TimelineEvent &Event = Input[Taken->first][Taken->second];
    Merged.m_Events.push_back(Event);
    Merged.m_Times.push_back(localTime(Input[Taken->first], Taken->second) -
                             Merged.m_Offsets.at(Event.m_Instance).m_Ahead);
  }
  Merged.m_Unordered = Order.unordered();
  const auto First = std::min_element(Merged.m_Times.begin(), Merged.m_Times.end());
  if (First != Merged.m_Times.end()) {
    const Duration Start = *First;
    for (Duration &Time : Merged.m_Times)
      Time -= Start;
  }
  return Merged;
}

} // namespace bulrushpitch
