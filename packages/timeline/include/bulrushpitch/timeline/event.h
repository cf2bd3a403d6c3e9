#ifndef BULRUSHPITCH_TIMELINE_EVENT_H
#define BULRUSHPITCH_TIMELINE_EVENT_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief What an event reports. The numbers are sent between daemons; a number is never reused.
enum class EventKind : std::uint16_t {
  Note = 0,

  RequestReceived = 10, ///< Opens the span of m_Request at this instance.
  RequestFinished = 11, ///< Closes the span.
  RequestRefused = 12,  ///< Closes the span; nothing ran.
  RequestFailed = 13,   ///< Closes the span with an error.

  RouteChosen = 20,
  AttemptStarted = 21,
  AttemptFinished = 22,
  AttemptFailed = 23,
  Escalated = 24, ///< A cascade went on to its next version.
  StreamResumed = 25,

  PermitGranted = 30,
  PermitRefused = 31,
  PermitEnded = 32,
  LeaseAcquired = 33,
  LeaseLost = 34,
  UpstreamCold = 35,
  UpstreamWarm = 36,
  OrderSent = 37,

  ClaimWritten = 40,
  ChargeHeld = 41,
  ChargeWritten = 42,

  ConfigPublished = 50,
  ConfigApplied = 51,
  RestrictionApplied = 52,
  RolloutChanged = 53,
  DrainStarted = 54,
  DrainFinished = 55,

  MemberChanged = 60,
  ProcessStarted = 61,
  ProcessStopping = 62,
  PauseDetected = 63,
  PlatformLost = 64,
  PlatformBack = 65,

  MessageSent = 70,     ///< m_Message names the message.
  MessageReceived = 71, ///< m_Message is the same text as at the sender.
};

/// @param Value a kind of event
/// @return its name in lower case with hyphens, for example "request-received"; "unknown" if not listed
std::string_view nameOf(EventKind Value);
/// @param Name a name that nameOf() returns
/// @return the kind, or nothing if no kind has that name
std::optional<EventKind> eventKindOf(std::string_view Name);
/// @return every kind, in the order of their numbers
const std::vector<EventKind> &allEventKinds();

/// @brief One thing that happened in one process. Empty ids mean that the event does not concern one.
struct TimelineEvent {
  InstanceId m_Instance{};
  WallTime m_Wall{};
  LamportTime m_Lamport{};
  Duration m_Monotonic{}; ///< The process's monotonic clock; comparable within one process only.
  EventKind m_Kind = EventKind::Note;
  RequestId m_Request{};
  TeamId m_Team{};
  UpstreamId m_Upstream{};
  VersionId m_Version{};
  ConfigRevision m_Revision{};
  DomainId m_Domain{};
  std::string m_Message{}; ///< Pairs MessageSent with MessageReceived; see messageName().
  std::string m_Step{};    ///< What was being done, for example "claim request".
  std::string m_Detail{};

  friend bool operator==(const TimelineEvent &, const TimelineEvent &) = default;
};

/// @brief Names a message by its sender and the Lamport time it carries, so that no further id is sent.
/// @return "instance/time"
std::string messageName(const InstanceId &Sender, LamportTime Sent);

/// @brief Which events to return. An unset field accepts every event.
struct EventFilter {
  std::optional<RequestId> m_Request{};
  std::optional<UpstreamId> m_Upstream{};
  std::optional<ConfigRevision> m_Revision{};
  std::optional<DomainId> m_Domain{};
  std::optional<EventKind> m_Kind{};
  std::optional<WallTime> m_From{};  ///< Inclusive, on the recording process's wall clock.
  std::optional<WallTime> m_Until{}; ///< Exclusive.
  std::size_t m_Limit = 4096;        ///< The newest events are kept.

  /// @return whether @p Event passes; m_Limit is not considered
  bool accepts(const TimelineEvent &Event) const;
  friend bool operator==(const EventFilter &, const EventFilter &) = default;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_TIMELINE_EVENT_H
