#ifndef BULRUSHPITCH_FORWARD_USUAL_LATENCY_H
#define BULRUSHPITCH_FORWARD_USUAL_LATENCY_H

#include "bulrushpitch/core/clock.h"

#include <cstdint>

namespace bulrushpitch {

/// @brief The usual time to the head of an answer, relative to what the size of its request explains.
///
/// Follows the median, so that a few upstreams that hang or crash don't change what is usual. Not
/// thread-safe.
class UsualLatency {
public:
  /// @param Latency time to the head
  /// @param Expected part of it that the size of the request explains; zero if that is unknown
  void record(Duration Latency, Duration Expected);
  /// @return whether enough is known to tell a slow answer
  bool known() const;
  /// @return whether a time is several times longer than usual; false before enough is known
  bool isSlow(Duration Latency, Duration Expected) const;
  /// @return whether times are now much longer than they were at the best
  bool disturbed() const;

private:
  double m_Median = 0.0;  ///< Of the ratio of latency to expectation.
  double m_Calmest = 0.0; ///< The lowest median so far.
  std::uint64_t m_Count = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_USUAL_LATENCY_H
