#ifndef BULRUSHPITCH_GATEWAY_SRC_UPSTREAM_TABLE_H
#define BULRUSHPITCH_GATEWAY_SRC_UPSTREAM_TABLE_H

#include "replicated_table.h"
#include "rollout_coordinator.h"
#include "row_replica.h"

#include "bulrushpitch/gateway/event_log.h"

#include <functional>

namespace bulrushpitch {

/// @brief The registry of upstreams: keeps the pool as the registry is.
///
/// Entries that disappear while the store is unavailable get a grace period after its return to be written
/// again. Who follows relays learns from them when the store came back.
class UpstreamTable : public ReplicatedTable {
public:
  struct Hooks {
    EraHook m_ObserveEra;
    std::function<void()> m_OnConfirmed; ///< Called when the registry has changed or was confirmed.
  };

  UpstreamTable(GatewayState &State, EventLog &Log, ClockHook Clock, RolloutCoordinator &Rollouts,
                Hooks TableHooks);

  /// @brief Applies an answer of the store unless a newer one has been applied.
  /// @param ConfirmedAt when the store gave it
  void apply(UpstreamChanges &Changes, TimePoint ConfirmedAt);
  /// @brief Records that the store has come back, after calls to it failed or from an older copy.
  void onStoreRecovered() { m_Rows.setRecoveredAt(m_Clock()); }

protected:
  Expected<Reception> applyRelayed(const std::string &Encoded, const StoreCursor &Position,
                                   TimePoint ConfirmedAt) override;
  void onConfirmed(TimePoint ConfirmedAt) override;

private:
  void putInForce(const UpstreamChanges &Changes);
  void replaceAll(const UpstreamChanges &Changes, Duration Grace);
  void update(const RegisteredUpstream &Entry);
  void remove(const UpstreamId &Id, Duration Grace);
  /// @return how long entries that are missing now may still be written again
  Duration gracePeriod() const;

  EventLog &m_Log;
  RolloutCoordinator &m_Rollouts;
  Hooks m_Hooks;
  RowReplica<RegisteredUpstream> m_Rows;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_UPSTREAM_TABLE_H
