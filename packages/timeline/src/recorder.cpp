#include "bulrushpitch/timeline/recorder.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

void cut(std::string &Text, std::size_t Length) {
  if (Text.size() <= Length)
    return;
  // The first byte that is left out must begin a character, so that no UTF-8 sequence is split.
  while (Length > 0 && (static_cast<unsigned char>(Text[Length]) & 0xc0U) == 0x80U)
    --Length;
  Text.resize(Length);
  Text.shrink_to_fit();
}

template <typename Tag> void cut(Strong<Tag, std::string> &Id, std::size_t Length) {
  if (Id.value().size() <= Length)
    return;
  std::string Text = Id.value();
  cut(Text, Length);
  Id = Strong<Tag, std::string>(std::move(Text));
}

/// @return the heap memory of a text; short texts lie inside the string object
std::size_t heapBytes(const std::string &Text) { return Text.capacity() > 15 ? Text.capacity() + 1 : 0; }

} // namespace

std::size_t footprint(const TimelineEvent &Event) {
  return sizeof(TimelineEvent) + heapBytes(Event.m_Instance.value()) + heapBytes(Event.m_Request.value()) +
         heapBytes(Event.m_Team.value()) + heapBytes(Event.m_Upstream.value()) +
         heapBytes(Event.m_Version.value()) + heapBytes(Event.m_Domain.value()) + heapBytes(Event.m_Message) +
         heapBytes(Event.m_Step) + heapBytes(Event.m_Detail);
}

Recorder::Recorder(InstanceId Instance, ClockHook Clock, WallClockHook WallClock, RecorderLimits Limits)
    : m_Instance(std::move(Instance)), m_Clock(std::move(Clock)), m_WallClock(std::move(WallClock)),
      m_Limits(Limits) {}

LamportTime Recorder::record(TimelineEvent Event) {
  m_Lamport += LamportTime(1);
  const std::size_t Longest = m_Limits.m_MaxText;
  cut(Event.m_Request, Longest);
  cut(Event.m_Team, Longest);
  cut(Event.m_Upstream, Longest);
  cut(Event.m_Version, Longest);
  cut(Event.m_Domain, Longest);
  cut(Event.m_Message, Longest);
  cut(Event.m_Step, Longest);
  cut(Event.m_Detail, Longest);
  Event.m_Instance = m_Instance;
  Event.m_Lamport = m_Lamport;
  Event.m_Wall = m_WallClock();
  Event.m_Monotonic = m_Clock().time_since_epoch();
  m_Bytes += footprint(Event);
  m_Events.push_back(std::move(Event));
  while (!m_Events.empty() && (m_Events.size() > m_Limits.m_MaxEvents || m_Bytes > m_Limits.m_MaxBytes)) {
    m_Bytes -= footprint(m_Events.front());
    m_Events.pop_front();
    ++m_Dropped;
  }
  return m_Lamport;
}

LamportTime Recorder::recordSend(TimelineEvent Event) {
  Event.m_Kind = EventKind::MessageSent;
  Event.m_Message = messageName(m_Instance, m_Lamport + LamportTime(1));
  return record(std::move(Event));
}

LamportTime Recorder::recordReceive(const InstanceId &Sender, LamportTime Sent, TimelineEvent Event) {
  observe(Sent);
  Event.m_Kind = EventKind::MessageReceived;
  Event.m_Message = messageName(Sender, Sent);
  return record(std::move(Event));
}

void Recorder::observe(LamportTime Seen) { m_Lamport = std::max(m_Lamport, Seen); }

std::vector<TimelineEvent> Recorder::events(const EventFilter &Filter) const {
  std::vector<TimelineEvent> Result;
  for (auto Event = m_Events.rbegin(); Event != m_Events.rend() && Result.size() < Filter.m_Limit; ++Event)
    if (Filter.accepts(*Event))
      Result.push_back(*Event);
  std::reverse(Result.begin(), Result.end());
  return Result;
}

} // namespace bulrushpitch
