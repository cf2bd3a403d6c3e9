#ifndef BULRUSHPITCH_FORWARD_HEAD_DELAY_AVERAGE_H
#define BULRUSHPITCH_FORWARD_HEAD_DELAY_AVERAGE_H

/// @file
/// @brief Average time that requests wait for the heads of their responses.

#include "bulrushpitch/core/clock.h"

#include <algorithm>

namespace bulrushpitch {

/// @brief Average share of the target latency that passes until a response head comes. It rises while
/// requests queue at upstreams whose streams, once they run, keep their pace.
class HeadDelayAverage {
public:
  /// @brief Records an attempt whose head came, or that its full upstream rejected.
  /// @param Delay time from sending to the head
  /// @param Target the route's target latency; nothing is recorded if it is zero
  void record(Duration Delay, Duration Target) {
    if (Target <= Duration::zero())
      return;
    m_Share += SampleWeight * (std::min(MaxShare, std::chrono::duration<double>(Delay) / Target) - m_Share);
  }
  /// @brief Records an attempt that a full upstream rejected: its place in a queue would have been later.
  void recordRejected() { m_Share += SampleWeight * (MaxShare - m_Share); }
  /// @return 0 to 1
  double share() const { return m_Share; }

private:
  static constexpr double SampleWeight = 0.05;
  static constexpr double MaxShare = 1.0;
  double m_Share = 0.0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_HEAD_DELAY_AVERAGE_H
