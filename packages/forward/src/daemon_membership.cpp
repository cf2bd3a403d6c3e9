#include "bulrushpitch/forward/daemon_membership.h"

namespace bulrushpitch {

namespace {

/// Three heartbeat intervals, plus a margin for a slow store.
constexpr Duration HeartbeatTimeout = std::chrono::seconds(100);

} // namespace

void DaemonMembership::update(const std::vector<ListedDaemon> &Listed, TimePoint Now) {
  std::map<InstanceId, Heartbeat> Updated;
  for (const ListedDaemon &Entry : Listed) {
    const auto Before = m_Daemons.find(Entry.m_Id);
    const bool Unchanged = Before != m_Daemons.end() && Before->second.m_RowVersion == Entry.m_RowVersion &&
                           Before->second.m_Era == Entry.m_Era;
    Updated[Entry.m_Id] = Unchanged ? Before->second : Heartbeat{Entry.m_RowVersion, Entry.m_Era, Now};
  }
  m_Daemons = std::move(Updated);
}

std::vector<InstanceId> DaemonMembership::alive(TimePoint Now) const {
  std::vector<InstanceId> Alive;
  for (const auto &Entry : m_Daemons)
    if (Now - Entry.second.m_SeenAt < HeartbeatTimeout)
      Alive.push_back(Entry.first);
  return Alive;
}

std::vector<ListedDaemon> DaemonMembership::expired(TimePoint Now) const {
  std::vector<ListedDaemon> Expired;
  for (const auto &Entry : m_Daemons)
    if (Now - Entry.second.m_SeenAt >= HeartbeatTimeout)
      Expired.push_back({Entry.first, Entry.second.m_RowVersion, Entry.second.m_Era});
  return Expired;
}

} // namespace bulrushpitch
