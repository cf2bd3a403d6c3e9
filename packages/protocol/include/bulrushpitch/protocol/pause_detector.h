#ifndef BULRUSHPITCH_PROTOCOL_PAUSE_DETECTOR_H
#define BULRUSHPITCH_PROTOCOL_PAUSE_DETECTOR_H

#include "bulrushpitch/core/clock.h"

#include <optional>

namespace bulrushpitch {

/// @brief Notices that the process stood still (design 3.12). Call tick() every 100 ms.
class PauseDetector {
public:
  /// @param Limit a longer gap between two ticks is a pause
  explicit PauseDetector(Duration Limit = std::chrono::seconds(1)) : m_Limit(Limit) {}

  /// @return the length of the pause if there was one since the last tick
  std::optional<Duration> tick(TimePoint Now) {
    std::optional<Duration> Pause;
    if (m_Last && Now - *m_Last > m_Limit)
      Pause = Now - *m_Last;
    m_Last = Now;
    return Pause;
  }

private:
  Duration m_Limit;
  std::optional<TimePoint> m_Last;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_PAUSE_DETECTOR_H
