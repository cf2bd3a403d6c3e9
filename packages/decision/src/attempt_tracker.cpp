#include "attempt_tracker.h"

#include <utility>

namespace bulrushpitch {

namespace {

/// Time for which an upstream is considered unreachable after a failed connection attempt.
constexpr Duration ConnectFailurePeriod = std::chrono::seconds(1);

} // namespace

AttemptTracker::AttemptTracker(UpstreamTable &Upstreams) : m_Upstreams(Upstreams) {}

std::optional<std::uint32_t> AttemptTracker::indexOf(const UpstreamId &Upstream) const {
  const std::uint32_t Index = m_Upstreams.indexOf(Upstream);
  return Index == UpstreamTable::NoIndex ? std::nullopt : std::optional<std::uint32_t>(Index);
}

std::optional<AttemptTracker::RunningAttempt> AttemptTracker::remove(const AttemptId &Attempt) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return std::nullopt;
  std::optional<RunningAttempt> Removed = std::move(Found->second);
  m_Attempts.erase(Found);
  return Removed;
}

void AttemptTracker::onDispatched(const AttemptId &Attempt, const UpstreamId &Upstream, TimePoint Now) {
  const std::optional<std::uint32_t> Index = indexOf(Upstream);
  if (Index && m_Attempts.try_emplace(Attempt, RunningAttempt{Upstream, Now}).second)
    m_Upstreams.addOutstanding(*Index, Now);
}

void AttemptTracker::onFirstToken(const AttemptId &Attempt, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  if (const std::optional<std::uint32_t> Index = indexOf(Found->second.m_Upstream))
    m_Upstreams.onResponse(*Index, Now);
}

void AttemptTracker::onFinished(const AttemptId &Attempt, TimePoint Now) {
  const std::optional<RunningAttempt> Ended = remove(Attempt);
  if (!Ended)
    return;
  if (const std::optional<std::uint32_t> Index = indexOf(Ended->m_Upstream)) {
    m_Upstreams.onResponse(*Index, Now);
    m_Upstreams.onServiceTime(*Index, Now - Ended->m_SentAt);
    m_Upstreams.removeOutstanding(*Index, Now, Ended->m_SentAt);
  }
}

void AttemptTracker::onFailed(const AttemptId &Attempt, ErrorCode Code, TimePoint Now) {
  const std::optional<RunningAttempt> Ended = remove(Attempt);
  if (!Ended)
    return;
  if (const std::optional<std::uint32_t> Index = indexOf(Ended->m_Upstream))
    m_Upstreams.removeOutstanding(*Index, Now, Ended->m_SentAt);
  if (Code == ErrorCode::UpstreamTimeout)
    m_Upstreams.onTimeout(Ended->m_Upstream);
  else if (Code == ErrorCode::UpstreamRefused)
    m_Upstreams.onRefused(Ended->m_Upstream);
  else if (Code == ErrorCode::UpstreamConnect)
    m_Upstreams.setUnreachable(Ended->m_Upstream, Now + ConnectFailurePeriod);
}

} // namespace bulrushpitch
