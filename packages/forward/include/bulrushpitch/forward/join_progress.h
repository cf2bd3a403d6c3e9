#ifndef BULRUSHPITCH_FORWARD_JOIN_PROGRESS_H
#define BULRUSHPITCH_FORWARD_JOIN_PROGRESS_H

#include "bulrushpitch/core/clock.h"

#include <optional>

namespace bulrushpitch {

/// @brief Tells from when a daemon that has started may use its shares of the limits that all daemons have in
/// common.
///
/// The shares of all daemons stay within a limit if each one that uses a share is counted by the others. A
/// daemon that has started doesn't know how many others there are until it has read the list, and those that
/// started with it may not be listed yet. So it has no share until it is counted: the process before it was
/// so and is listed as alive, or it has been registered for as long as the others may go on without reading
/// the list. If the store fails meanwhile, the others may have missed their reads, and that time begins anew.
/// Not thread-safe.
class JoinProgress {
public:
  /// @param ListInterval the longest time between two reads of the list at any daemon; a read that has failed
  /// is made again after a fifth of it
  /// @return time after which every daemon has read the list again, if the store answers
  static Duration joinTime(Duration ListInterval);

  /// @brief Takes the result of a read of the list.
  /// @param Listed whether this daemon, or the process before it under the same id, is in the list
  /// @param CountedHeartbeatAge time since its last heartbeat; nothing if it is not listed, was not counted
  /// itself by then, or the time is not known
  void onListRead(bool Listed, std::optional<Duration> CountedHeartbeatAge, TimePoint Now);
  /// @brief Records that the list could not be read.
  void onListFailed(TimePoint Now, Duration ListInterval);
  /// @brief Records that this daemon has registered; later calls, on its heartbeats, change nothing.
  void onRegistered(TimePoint Now);

  /// @return whether the list has been read
  bool listRead() const { return m_ListRead; }
  bool registered() const { return m_RegisteredAt.has_value(); }
  /// @return whether another process under this daemon's id may have run until shortly before this one
  bool replacesProcess() const { return m_ListedBefore; }
  /// @param ListInterval as for joinTime()
  /// @return whether the others count this daemon, and this one knows the others
  bool isCounted(TimePoint Now, Duration ListInterval) const;

private:
  bool m_ListRead = false;
  bool m_ListedBefore = false;
  bool m_CountedBefore = false;
  std::optional<TimePoint> m_RegisteredAt;
  bool m_StoreFails = false;
  /// From when the others can be expected to read the list; at or after m_RegisteredAt.
  TimePoint m_WaitsSince{};
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_JOIN_PROGRESS_H
