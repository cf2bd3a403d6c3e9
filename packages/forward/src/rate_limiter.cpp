#include "bulrushpitch/forward/rate_limiter.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Slightly longer than 1 s / n, so that n + 1 requests never fall into one second.
Duration spacing(std::uint32_t MaxPerSecond) {
  constexpr std::int64_t PaddedSecondNs = 1'050'000'000;
  return Duration(PaddedSecondNs / MaxPerSecond);
}

} // namespace

bool RateLimiter::canAcquire(TimePoint Now, std::uint32_t MaxPerSecond) const {
  if (MaxPerSecond == 0)
    return false;
  return !m_HasAdmitted || Now - m_LastAdmittedAt >= spacing(MaxPerSecond);
}

bool RateLimiter::tryAcquire(TimePoint Now, std::uint32_t MaxPerSecond) {
  if (!canAcquire(Now, MaxPerSecond))
    return false;
  m_LastAdmittedAt = Now;
  m_HasAdmitted = true;
  return true;
}

std::uint32_t shareOfColdLimit(double MaxPerSecond, std::uint32_t Daemons, std::uint32_t Rank) {
  const std::uint32_t MaxRequests = static_cast<std::uint32_t>(std::max(0.0, MaxPerSecond));
  const std::uint32_t PerDaemon = MaxRequests / std::max(1U, Daemons);
  if (PerDaemon > 0)
    return PerDaemon;
  return Rank < MaxRequests ? 1 : 0;
}

} // namespace bulrushpitch
