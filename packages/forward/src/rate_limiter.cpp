#include "bulrushpitch/forward/rate_limiter.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Slightly longer than window / n, so that n + 1 requests never fall into one window.
Duration spacing(const RequestRate &Rate) {
  constexpr double Padding = 1.05;
  return std::chrono::duration_cast<Duration>(Rate.m_Window * (Padding / Rate.m_Count));
}

} // namespace

std::optional<TimePoint> RateLimiter::nextAt(const RequestRate &Rate) const {
  if (Rate.m_Count == 0)
    return std::nullopt;
  return m_LastAdmittedAt ? *m_LastAdmittedAt + spacing(Rate) : TimePoint{};
}

bool RateLimiter::canAcquire(TimePoint Now, const RequestRate &Rate) const {
  const std::optional<TimePoint> Next = nextAt(Rate);
  return Next && Now >= *Next;
}

bool RateLimiter::tryAcquire(TimePoint Now, const RequestRate &Rate) {
  if (!canAcquire(Now, Rate))
    return false;
  m_LastAdmittedAt = Now;
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
