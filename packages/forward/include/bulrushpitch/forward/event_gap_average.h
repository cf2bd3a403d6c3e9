#ifndef BULRUSHPITCH_FORWARD_EVENT_GAP_AVERAGE_H
#define BULRUSHPITCH_FORWARD_EVENT_GAP_AVERAGE_H

#include "bulrushpitch/core/clock.h"

#include <algorithm>

namespace bulrushpitch {

/// @brief Moving average of the gap between the events of all streams through this daemon: a measure of the
/// engines' load that needs no communication.
class EventGapAverage {
public:
  /// @brief Records the gap before an event.
  void record(Duration Gap) {
    const double GapSeconds = std::min(MaxGapSeconds, secondsOf(Gap));
    m_AverageSeconds += SampleWeight * (GapSeconds - m_AverageSeconds);
  }
  Duration averageGap() const { return durationOf(m_AverageSeconds); }

private:
  /// Weight of the newest gap. The average covers about the last 100 events: about one second of events.
  static constexpr double SampleWeight = 0.01;
  static constexpr double MaxGapSeconds = 2.0; ///< Longer gaps count as this one.
  double m_AverageSeconds = 0.0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_EVENT_GAP_AVERAGE_H
