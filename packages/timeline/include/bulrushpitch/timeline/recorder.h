#ifndef BULRUSHPITCH_TIMELINE_RECORDER_H
#define BULRUSHPITCH_TIMELINE_RECORDER_H

#include "bulrushpitch/timeline/event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace bulrushpitch {

/// @brief Bounds of a recorder's memory.
struct RecorderLimits {
  std::size_t m_MaxEvents = 8192;
  std::size_t m_MaxBytes = std::size_t{4} << 20U; ///< Of all events together, as footprint() counts them.
  std::size_t m_MaxText = 512;                    ///< Longer texts in one field are cut.
};

/// @brief Keeps the newest events of one process in bounded memory, and its Lamport clock.
///
/// @code
/// Recorder Log(InstanceId("west-a-1"), systemClock(), systemWallClock());
/// Log.record({.m_Kind = EventKind::RequestReceived, .m_Request = RequestId("r-1")});
/// @endcode
class Recorder {
public:
  Recorder(InstanceId Instance, ClockHook Clock, WallClockHook WallClock, RecorderLimits Limits = {});

  /// @brief Adds an event. Instance, times and Lamport time are filled in; the Lamport clock moves on by one.
  /// @return the event's Lamport time
  /// @complexity amortised constant
  LamportTime record(TimelineEvent Event);
  /// @brief Records MessageSent.
  /// @param Event further fields; the kind and the message's name are filled in
  /// @return the Lamport time that the message must carry
  LamportTime recordSend(TimelineEvent Event = {});
  /// @brief Records MessageReceived after moving the Lamport clock past the message's time.
  /// @param Sender the instance that sent the message
  /// @param Sent the Lamport time that the message carries
  LamportTime recordReceive(const InstanceId &Sender, LamportTime Sent, TimelineEvent Event = {});
  /// @brief Moves the Lamport clock to @p Seen unless it is ahead, without recording an event.
  void observe(LamportTime Seen);

  /// @return the newest events that @p Filter accepts, in the order they were recorded
  /// @complexity linear in the number of events kept
  std::vector<TimelineEvent> events(const EventFilter &Filter = {}) const;
  /// @return the Lamport time of the last event
  LamportTime lamport() const { return m_Lamport; }
  /// @return how many events were overwritten
  std::uint64_t dropped() const { return m_Dropped; }
  /// @return how many events are kept
  std::size_t size() const { return m_Events.size(); }
  /// @return memory of the events kept, in bytes
  std::size_t bytes() const { return m_Bytes; }

private:
  InstanceId m_Instance;
  ClockHook m_Clock;
  WallClockHook m_WallClock;
  RecorderLimits m_Limits;
  std::deque<TimelineEvent> m_Events;
  std::size_t m_Bytes = 0;
  std::uint64_t m_Dropped = 0;
  LamportTime m_Lamport;
};

/// @return the memory that one event takes, in bytes, with its texts
std::size_t footprint(const TimelineEvent &Event);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_TIMELINE_RECORDER_H
