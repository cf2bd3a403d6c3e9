#ifndef BULRUSHPITCH_TIMELINE_MERGE_H
#define BULRUSHPITCH_TIMELINE_MERGE_H

#include "bulrushpitch/timeline/event.h"

#include <map>
#include <vector>

namespace bulrushpitch {

/// @brief How far one process's wall clock is ahead of the reference process's, as its messages show.
struct ClockOffset {
  Duration m_Ahead{};       ///< Subtract this from the process's wall clock.
  Duration m_Uncertainty{}; ///< Half the shortest round trip; meaningless unless m_TwoWay.
  bool m_TwoWay = false;    ///< Messages were seen both ways along the whole path to the reference.
  bool m_Known = false;     ///< False if no message links the process to the reference.
};

/// @brief Events of several processes in one order.
struct MergedTimeline {
  std::vector<TimelineEvent> m_Events; ///< Each cause before its effect.
  std::vector<Duration> m_Times;       ///< For each event, time since the first on the reference clock.
  std::map<InstanceId, ClockOffset> m_Offsets; ///< One entry per instance.
  InstanceId m_Reference;                      ///< The instance whose clock the others are compared with.
  std::size_t m_Unordered = 0; ///< Messages whose order contradicted their process's own order; ignored.
};

/// @brief Merges the event lists of several processes into one causal order.
///
/// Events are ordered by Lamport time, then instance. The order of each list is kept, and a message's sending
/// comes before its receipt, even if recorded Lamport times say otherwise. Wall clocks have no influence.
/// @param Lists one list per process, each in the order it was recorded
/// @complexity O(n log n) in the number of events
MergedTimeline mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Lists);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_TIMELINE_MERGE_H
