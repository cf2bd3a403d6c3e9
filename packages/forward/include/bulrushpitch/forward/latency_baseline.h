#ifndef BULRUSHPITCH_FORWARD_LATENCY_BASELINE_H
#define BULRUSHPITCH_FORWARD_LATENCY_BASELINE_H

#include "bulrushpitch/core/clock.h"

#include <cstdint>

namespace bulrushpitch {

/// @brief Baseline of the time to the response head, relative to the time expected from the request's size.
///
/// Tracks the median, so that a few upstreams that hang or crash don't shift the baseline. Not thread-safe.
class LatencyBaseline {
public:
  /// @param Latency time to the response head
  /// @param Expected time expected from the request's size; zero if unknown
  void record(Duration Latency, Duration Expected);
  /// @return whether there are enough samples to detect slow responses
  bool hasEnoughSamples() const;
  /// @return whether the latency is several times the baseline; false before there are enough samples
  bool isSlow(Duration Latency, Duration Expected) const;
  /// @return whether the baseline is now much higher than its minimum so far
  bool isElevated() const;

private:
  double m_Median = 0.0;       ///< Estimated median of the ratio of latency to expected time.
  double m_LowestMedian = 0.0; ///< The lowest median so far.
  std::uint64_t m_Count = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_LATENCY_BASELINE_H
