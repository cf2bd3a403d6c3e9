#ifndef BULRUSHPITCH_FORWARD_RATE_LIMITER_H
#define BULRUSHPITCH_FORWARD_RATE_LIMITER_H

#include "bulrushpitch/core/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace bulrushpitch {

/// @brief A maximum number of requests in any window of a length.
struct RequestRate {
  std::uint32_t m_Count = 0; ///< 0 admits none.
  Duration m_Window = std::chrono::seconds(1);
};

/// @brief Rate limiter for the requests of one daemon to one upstream.
///
/// Requests are spaced evenly, so that the limit holds in every sliding window, not only in calendar ones.
class RateLimiter {
public:
  /// @brief Admits one request if the rate allows it now.
  /// @return whether the request was admitted
  bool tryAcquire(TimePoint Now, const RequestRate &Rate);
  /// @return whether tryAcquire() would admit a request now
  bool canAcquire(TimePoint Now, const RequestRate &Rate) const;
  /// @return the time from which a request is admitted; nothing if the rate admits none
  std::optional<TimePoint> nextAt(const RequestRate &Rate) const;

private:
  std::optional<TimePoint> m_LastAdmittedAt;
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
