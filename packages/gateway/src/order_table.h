#ifndef BULRUSHPITCH_GATEWAY_SRC_ORDER_TABLE_H
#define BULRUSHPITCH_GATEWAY_SRC_ORDER_TABLE_H

#include "order_book.h"
#include "replicated_table.h"
#include "rollout_coordinator.h"

#include "bulrushpitch/forward/out_of_service_domains.h"
#include "bulrushpitch/gateway/event_log.h"

#include <functional>

namespace bulrushpitch {

/// @brief The operators' orders: puts configurations, failure domains out of service and rollouts in force.
class OrderTable : public ReplicatedTable {
public:
  struct Hooks {
    EraHook m_ObserveEra;
    std::function<void(const ForwardConfig &)> m_OnConfig; ///< Called after each configuration change.
    std::function<void()> m_OnConfirmed; ///< Called when the orders have changed or were confirmed.
    /// Called with whether a relay's answer has changed the configuration.
    std::function<void(bool ConfigChanged)> m_OnRelayed;
  };

  OrderTable(GatewayState &State, EventLog &Log, ClockHook Clock, RolloutCoordinator &Rollouts,
             Hooks OrderHooks);

  /// @brief Applies an answer about the orders unless a newer one has been applied.
  /// @param ConfirmedAt when the store gave it
  /// @return whether the configuration changed
  bool apply(OrderChanges &Changes, TimePoint ConfirmedAt);
  /// @brief Puts failure domains back whose order was lost, and logs when the orders become late. Called
  /// periodically.
  void onTick();

protected:
  ConfigRevision revision() const override;
  Expected<Reception> applyRelayed(const std::string &Encoded, const StoreCursor &Position,
                                   TimePoint ConfirmedAt) override;
  void onConfirmed(TimePoint ConfirmedAt) override;

private:
  bool putInForce(const OrderChanges &Changes);
  bool applyConfig(const OrderChanges &Changes);
  void applyDomainsOut();
  void logOrdersAge();

  EventLog &m_Log;
  RolloutCoordinator &m_Rollouts;
  Hooks m_Hooks;
  OrderBook m_Book;
  OutOfServiceDomains m_DomainsOut;
  bool m_OrdersLate = false; ///< Whether the log says that the orders are late.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_ORDER_TABLE_H
