#ifndef BULRUSHPITCH_PROTOCOL_PAUSE_DETECTOR_H
#define BULRUSHPITCH_PROTOCOL_PAUSE_DETECTOR_H

#include "bulrushpitch/core/clock.h"

#include <optional>

namespace bulrushpitch {

/// @brief Detects that the process was paused (design 3.12). Call tick() every 100 ms.
class PauseDetector {
public:
  /// @param Threshold maximum gap between two ticks; a longer one is a pause
  explicit PauseDetector(Duration Threshold = std::chrono::seconds(1)) : m_Threshold(Threshold) {}

  /// @return the duration of the pause since the last tick, if there was one
  std::optional<Duration> tick(TimePoint Now) {
    std::optional<Duration> Pause;
    if (m_LastTickAt && Now - *m_LastTickAt > m_Threshold)
      Pause = Now - *m_LastTickAt;
    m_LastTickAt = Now;
    return Pause;
  }

private:
  Duration m_Threshold;
  std::optional<TimePoint> m_LastTickAt;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_PAUSE_DETECTOR_H
