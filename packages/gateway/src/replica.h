#ifndef BULRUSHPITCH_GATEWAY_SRC_REPLICA_H
#define BULRUSHPITCH_GATEWAY_SRC_REPLICA_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/store_era.h"
#include "bulrushpitch/rpc/messages.h"

#include <algorithm>
#include <optional>
#include <string>

namespace bulrushpitch {

/// @brief A table of the store as this daemon knows it, for daemons that follow this one: at which version of
/// the store it was read, when it was last confirmed, and what another daemon lacks of it.
///
/// Holds what the store has. It differs from what is in force here after a restore of the store, when lost
/// rows are kept for a while. Not thread-safe.
class Replica {
public:
  virtual ~Replica() = default;

  virtual RelayedTable table() const = 0;
  /// @return whether a daemon lacks rows; false as long as no rows are known here
  virtual bool hasNewsFor(const PeerHeldTable &Held) const = 0;
  /// @brief Encodes what a daemon lacks.
  virtual std::string encodedFor(const PeerHeldTable &Held) = 0;

  /// @return whether an answer read at this position may lack changes that are known already
  bool isOutdated(const StoreCursor &Position) const {
    return m_Position && m_Position->m_Era == Position.m_Era && Position.m_Version < m_Position->m_Version;
  }
  /// @return whether the store was restored between what is known and an answer of this era
  bool isRestoredSince(StoreEra Era) const { return m_Position && m_Position->m_Era != Era; }
  /// @brief Records that nothing has changed up to a position.
  void confirm(const StoreCursor &Position, TimePoint ConfirmedAt) {
    if (!isOutdated(Position))
      m_Position = Position;
    m_ConfirmedAt = std::max(m_ConfirmedAt, ConfirmedAt);
    m_StoreFails = false;
    onConfirmed(ConfirmedAt);
  }
  /// @brief Records that a call of the store for this table has failed.
  void onStoreFailed() { m_StoreFails = true; }
  /// @return whether the store has failed this daemon since the table was last confirmed
  bool storeFails() const { return m_StoreFails; }
  /// @return where the change feed goes on from; nothing before the first answer
  const std::optional<StoreCursor> &position() const { return m_Position; }
  TimePoint confirmedAt() const { return m_ConfirmedAt; }

  /// @brief Records when the store came back from an outage.
  void setRecoveredAt(TimePoint Time) { m_RecoveredAt = std::max(m_RecoveredAt.value_or(Time), Time); }
  /// @return when the store last came back from an outage, as far as known
  const std::optional<TimePoint> &recoveredAt() const { return m_RecoveredAt; }

protected:
  /// @brief Called when the table was confirmed.
  virtual void onConfirmed(TimePoint /*ConfirmedAt*/) {}

private:
  std::optional<StoreCursor> m_Position;
  TimePoint m_ConfirmedAt{};
  bool m_StoreFails = false;
  std::optional<TimePoint> m_RecoveredAt;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_REPLICA_H
