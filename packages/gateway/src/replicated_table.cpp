#include "replicated_table.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

using std::chrono::milliseconds;

/// Ages beyond this are not worth telling apart.
constexpr milliseconds MaxAge{600'000};

milliseconds clampedAge(Duration Age) {
  return std::clamp(std::chrono::duration_cast<milliseconds>(Age), milliseconds::zero(), MaxAge);
}

} // namespace

Duration ReplicatedTable::unconfirmedTime() const {
  return m_Clock() - std::max(m_Replica.confirmedAt(), m_StartedAt);
}

PeerHeldTable ReplicatedTable::held() const {
  PeerHeldTable Held;
  Held.m_Table = table();
  if (m_Replica.position()) {
    Held.m_Era = m_Replica.position()->m_Era.value();
    Held.m_Version = m_Replica.position()->m_Version;
  }
  Held.m_Revision = revision();
  Held.m_Age = clampedAge(unconfirmedTime());
  return Held;
}

Expected<ReplicatedTable::Reception> ReplicatedTable::receive(const PeerTableNews &News) {
  const StoreCursor Position{StoreEra(News.m_Era), News.m_Version};
  const TimePoint Now = m_Clock();
  const TimePoint ConfirmedAt = Now - clampedAge(News.m_Age);
  m_ObserveEra(Position.m_Era, table());
  if (m_State.m_StoreEras.isStale(Position.m_Era) || m_Replica.isOutdated(Position))
    return Reception::Applied;
  if (News.m_SinceRecovery)
    m_Replica.setRecoveredAt(Now - clampedAge(*News.m_SinceRecovery));
  if (!News.m_Bytes.empty()) {
    Expected<Reception> Received = applyRelayed(News.m_Bytes, Position, ConfirmedAt);
    if (Received && *Received == Reception::Applied)
      m_RelayedCursor = Position;
    return Received;
  }
  if (m_Replica.isRestoredSince(Position.m_Era))
    return Reception::Applied;
  m_RelayedCursor = Position;
  m_Replica.confirm(Position, ConfirmedAt);
  onConfirmed(ConfirmedAt);
  return Reception::Applied;
}

} // namespace bulrushpitch
