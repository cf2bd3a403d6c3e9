#include "bulrushpitch/forward/daemon_membership.h"

namespace bulrushpitch {

void DaemonMembership::update(const std::vector<ListedDaemon> &Listed, TimePoint Now) {
  std::map<InstanceId, Heartbeat> Updated;
  for (const ListedDaemon &Entry : Listed) {
    const auto Before = m_Daemons.find(Entry.m_Id);
    const bool Unchanged = Before != m_Daemons.end() && Before->second.m_RowVersion == Entry.m_RowVersion &&
                           Before->second.m_Era == Entry.m_Era;
    Updated[Entry.m_Id] =
        Unchanged ? Before->second : Heartbeat{Entry.m_RowVersion, Entry.m_Era, Now, Entry.m_Contact};
  }
  if (restoredRecently(Now))
    for (const auto &Known : m_Daemons)
      if (!Known.second.m_RowVersion)
        Updated.insert(Known);
  m_Daemons = std::move(Updated);
}

void DaemonMembership::updateAfterRestore(const std::vector<ListedDaemon> &Listed, TimePoint Now) {
  m_RestoredAt = Now;
  std::map<InstanceId, Heartbeat> Updated;
  for (const auto &Known : m_Daemons)
    if (isAlive(Known.second, Now))
      Updated[Known.first] = Heartbeat{std::nullopt, Known.second.m_Era, Now, Known.second.m_Contact};
  for (const ListedDaemon &Entry : Listed) {
    const auto Known = m_Daemons.find(Entry.m_Id);
    const bool WasExpired = Known != m_Daemons.end() && !isAlive(Known->second, Now);
    Updated[Entry.m_Id] = Heartbeat{Entry.m_RowVersion, Entry.m_Era,
                                    WasExpired ? Known->second.m_SeenAt : Now, Entry.m_Contact};
  }
  m_Daemons = std::move(Updated);
}

bool DaemonMembership::isAlive(const Heartbeat &Latest, TimePoint Now) {
  return Now - Latest.m_SeenAt < HeartbeatTimeout;
}

bool DaemonMembership::restoredRecently(TimePoint Now) const {
  return m_RestoredAt && Now - *m_RestoredAt < HeartbeatTimeout;
}

std::vector<InstanceId> DaemonMembership::alive(TimePoint Now) const {
  std::vector<InstanceId> Alive;
  for (const auto &Entry : m_Daemons)
    if (isAlive(Entry.second, Now))
      Alive.push_back(Entry.first);
  return Alive;
}

std::vector<ListedDaemon> DaemonMembership::aliveRows(TimePoint Now) const {
  std::vector<ListedDaemon> Alive;
  for (const auto &Entry : m_Daemons)
    if (isAlive(Entry.second, Now))
      Alive.push_back(
          {Entry.first, Entry.second.m_RowVersion.value_or(0), Entry.second.m_Era, Entry.second.m_Contact});
  return Alive;
}

std::vector<ListedDaemon> DaemonMembership::expired(TimePoint Now) const {
  std::vector<ListedDaemon> Expired;
  if (restoredRecently(Now))
    return Expired;
  for (const auto &Entry : m_Daemons)
    if (Entry.second.m_RowVersion && !isAlive(Entry.second, Now))
      Expired.push_back(
          {Entry.first, *Entry.second.m_RowVersion, Entry.second.m_Era, Entry.second.m_Contact});
  return Expired;
}

} // namespace bulrushpitch
