#ifndef BULRUSHPITCH_FORWARD_STREAM_PACE_H
#define BULRUSHPITCH_FORWARD_STREAM_PACE_H

#include "bulrushpitch/core/clock.h"

#include <algorithm>

namespace bulrushpitch {

/// @brief The usual pause between the events of all streams through this daemon: a measure of the engines'
/// load that needs no messages.
class StreamPace {
public:
  /// @brief Takes the pause before an event.
  void record(Duration Gap) {
    const double Taken = std::min(LongestGapSeconds, std::chrono::duration<double>(Gap).count());
    m_Seconds += Weight * (Taken - m_Seconds);
  }
  Duration usualGap() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_Seconds));
  }

private:
  static constexpr double Weight = 0.01; ///< Of the newest gap: about a second of events.
  static constexpr double LongestGapSeconds = 2.0;
  double m_Seconds = 0.0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_STREAM_PACE_H
