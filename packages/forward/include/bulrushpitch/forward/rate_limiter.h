#ifndef BULRUSHPITCH_FORWARD_RATE_LIMITER_H
#define BULRUSHPITCH_FORWARD_RATE_LIMITER_H

#include "bulrushpitch/core/clock.h"

#include <cstdint>

namespace bulrushpitch {

/// @brief Rate limiter for the requests of one daemon to one upstream.
///
/// Requests are spaced evenly, so that the limit holds in every sliding one-second window, not only in
/// calendar seconds.
class RateLimiter {
public:
  /// @brief Admits one request if the limit allows it now.
  /// @param MaxPerSecond maximum number of requests in any second; 0 admits none
  /// @return whether the request was admitted
  bool tryAcquire(TimePoint Now, std::uint32_t MaxPerSecond);
  /// @return whether tryAcquire() would admit a request now
  bool canAcquire(TimePoint Now, std::uint32_t MaxPerSecond) const;

private:
  TimePoint m_LastAdmittedAt{};
  bool m_HasAdmitted = false;
};

/// @brief Divides an upstream's rate limit among the daemons, without communication.
/// @param MaxPerSecond requests per second that the upstream accepts from all daemons together
/// @param Daemons number of daemons, at least 1
/// @param Rank rank of this daemon for the upstream, from 0; see daemonRank(). If there are more daemons than
/// requests, the daemons of the lowest ranks may send one request each.
/// @return requests per second that this daemon may send
std::uint32_t shareOfColdLimit(double MaxPerSecond, std::uint32_t Daemons, std::uint32_t Rank);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_RATE_LIMITER_H
