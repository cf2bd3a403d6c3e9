#include "bulrushpitch/forward/join_progress.h"

#include "bulrushpitch/forward/daemon_membership.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

/// Time that a read of the list may take at another daemon.
constexpr Duration MaxReadTime = std::chrono::seconds(3);

} // namespace

Duration JoinProgress::joinTime(Duration ListInterval) {
  return ListInterval + ListInterval / 5 + MaxReadTime;
}

void JoinProgress::onListRead(bool Listed, std::optional<Duration> CountedHeartbeatAge, TimePoint Now) {
  m_ListRead = true;
  if (std::exchange(m_StoreFails, false))
    m_WaitsSince = Now;
  if (m_RegisteredAt)
    return;
  m_ListedBefore = Listed;
  m_CountedBefore = CountedHeartbeatAge && *CountedHeartbeatAge < DaemonMembership::HeartbeatTimeout;
}

void JoinProgress::onListFailed(TimePoint Now, Duration ListInterval) {
  m_StoreFails = m_StoreFails || !isCounted(Now, ListInterval);
}

void JoinProgress::onRegistered(TimePoint Now) {
  if (m_RegisteredAt)
    return;
  m_RegisteredAt = Now;
  m_WaitsSince = Now;
}

bool JoinProgress::isCounted(TimePoint Now, Duration ListInterval) const {
  if (!m_ListRead)
    return false;
  return m_CountedBefore || (m_RegisteredAt && !m_StoreFails && Now - m_WaitsSince >= joinTime(ListInterval));
}

} // namespace bulrushpitch
