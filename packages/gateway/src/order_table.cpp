#include "order_table.h"

#include "bulrushpitch/forward/config_delta.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace bulrushpitch {

namespace {

/// Orders of this age are logged as late: a configuration must be in force in about as long.
constexpr Duration LateOrdersAge = std::chrono::milliseconds(4000);

double inMilliseconds(Duration Value) { return std::chrono::duration<double, std::milli>(Value).count(); }

/// @return the routes that are bound to regions, for the log; only the first ones
std::string regionsByRoute(const ForwardConfig &Config) {
  constexpr std::size_t MaxTextBytes = 400;
  std::string Text;
  for (const ForwardRoute &Route : Config.m_Routes) {
    if (Route.m_Regions.empty() || Text.size() >= MaxTextBytes)
      continue;
    Text += (Text.empty() ? "" : " ") + Route.m_Name + "=" + joinRegions(Route.m_Regions);
  }
  return Text;
}

} // namespace

OrderTable::OrderTable(GatewayState &State, EventLog &Log, ClockHook Clock, RolloutCoordinator &Rollouts,
                       Hooks OrderHooks)
    : ReplicatedTable(m_Book, State, std::move(Clock), OrderHooks.m_ObserveEra), m_Log(Log),
      m_Rollouts(Rollouts), m_Hooks(std::move(OrderHooks)) {}

bool OrderTable::apply(OrderChanges &Changes, TimePoint ConfirmedAt) {
  const StoreCursor Position{Changes.m_Era, Changes.m_Cursor};
  bool ConfigChanged = false;
  if (!m_Book.isOutdated(Position)) {
    Changes.m_AfterRestore = m_Book.isRestoredSince(Changes.m_Era);
    ConfigChanged = putInForce(Changes);
    m_Book.apply(Changes, m_State.m_ConfigIndex, ConfirmedAt);
  }
  onConfirmed(ConfirmedAt);
  return ConfigChanged;
}

void OrderTable::onTick() {
  if (!m_DomainsOut.expire(m_Clock()).empty())
    applyDomainsOut();
  logOrdersAge();
}

ConfigRevision OrderTable::revision() const {
  return m_State.m_ConfigIndex ? m_State.m_ConfigIndex->config().m_Revision : ConfigRevision();
}

Expected<OrderTable::Reception> OrderTable::applyRelayed(const std::string &Encoded,
                                                         const StoreCursor &Position, TimePoint ConfirmedAt) {
  Expected<OrderSnapshot> Orders = decodeOrders(Encoded);
  if (!Orders)
    return Orders.error();
  OrderChanges Changes;
  if (Orders->m_Config && Orders->m_Config->m_Revision > revision()) {
    const ConfigDelta &Delta = *Orders->m_Config;
    if (Delta.m_Base != ConfigRevision() && Delta.m_Base != revision())
      return Reception::WrongBase;
    const ForwardConfig Empty;
    Changes.m_Config =
        applyDelta(Delta.m_Base == ConfigRevision() ? Empty : m_State.m_ConfigIndex->config(), Delta);
    if (!Changes.m_Config) {
      m_Log.add(LogClass::State, "orders_damaged",
                {{"base", static_cast<std::int64_t>(Delta.m_Base.value())},
                 {"revision", static_cast<std::int64_t>(Delta.m_Revision.value())}});
      return Reception::Damaged;
    }
  }
  Changes.m_FullSnapshot = true;
  Changes.m_Era = Position.m_Era;
  Changes.m_Cursor = Position.m_Version;
  Changes.m_DomainsOut = std::move(Orders->m_DomainsOut);
  Changes.m_Trials = std::move(Orders->m_Trials);
  m_Hooks.m_OnRelayed(apply(Changes, ConfirmedAt));
  return Reception::Applied;
}

void OrderTable::onConfirmed(TimePoint ConfirmedAt) {
  m_State.m_OrdersReadAt = std::max(m_State.m_OrdersReadAt.value_or(ConfirmedAt), ConfirmedAt);
  m_Hooks.m_OnConfirmed();
}

/// @return whether the configuration changed
bool OrderTable::putInForce(const OrderChanges &Changes) {
  const bool ConfigChanged = applyConfig(Changes);
  if (Changes.m_AfterRestore)
    m_DomainsOut.replaceAllAfterRestore(Changes.m_DomainsOut, m_Clock());
  else if (Changes.m_FullSnapshot)
    m_DomainsOut.replaceAll(Changes.m_DomainsOut);
  else
    m_DomainsOut.update(Changes.m_DomainsOut, Changes.m_DomainsBack);
  applyDomainsOut();
  for (const TrialOrder &Order : Changes.m_Trials)
    m_Rollouts.applyOrder(Order);
  for (const ServiceId &Service : Changes.m_TrialsWithdrawn)
    m_Rollouts.withdrawOrder(Service);
  if (Changes.m_FullSnapshot)
    m_Rollouts.onOrdersRead(Changes.m_Trials);
  return ConfigChanged;
}

/// @return whether the configuration changed
bool OrderTable::applyConfig(const OrderChanges &Changes) {
  if (!Changes.m_Config || (m_State.m_ConfigIndex && Changes.m_Config->m_Revision <= revision()))
    return false;
  m_State.m_ConfigIndex = std::make_shared<const ConfigIndex>(*Changes.m_Config);
  const std::string BoundRoutes = regionsByRoute(*Changes.m_Config);
  m_Log.add(LogClass::State, "config_applied",
            {{"revision", static_cast<std::int64_t>(revision().value())},
             {"routes", static_cast<std::int64_t>(Changes.m_Config->m_Routes.size())},
             {"teams", static_cast<std::int64_t>(Changes.m_Config->m_Teams.size())},
             {"superseded", static_cast<std::int64_t>(Changes.m_SupersededCount)},
             {"orders_age_ms", inMilliseconds(m_State.ordersAge(m_Clock()))},
             {"route_regions", std::string_view(BoundRoutes)}});
  m_Hooks.m_OnConfig(m_State.m_ConfigIndex->config());
  return true;
}

/// Puts the failure domains out of service in force, and logs which have changed.
void OrderTable::applyDomainsOut() {
  const std::set<DomainId> Before = m_State.m_Pool.domainsOut();
  const std::set<DomainId> Out = m_DomainsOut.domains();
  for (const DomainId &Domain : Out)
    if (Before.count(Domain) == 0)
      m_Log.add(LogClass::State, "domain_out", {{"domain", std::string_view(Domain.value())}});
  for (const DomainId &Domain : Before)
    if (Out.count(Domain) == 0)
      m_Log.add(LogClass::State, "domain_back", {{"domain", std::string_view(Domain.value())}});
  if (Before != Out)
    m_State.m_Pool.setDomainsOut(Out, m_Clock());
}

/// Logs when the orders become older than LateOrdersAge, and when they are confirmed again.
void OrderTable::logOrdersAge() {
  const Duration Age = m_State.ordersAge(m_Clock());
  const bool Late = Age >= LateOrdersAge;
  if (std::exchange(m_OrdersLate, Late) == Late)
    return;
  m_Log.add(
      LogClass::State, Late ? "orders_late" : "orders_current",
      {{"revision", static_cast<std::int64_t>(revision().value())}, {"orders_age_ms", inMilliseconds(Age)}});
}

} // namespace bulrushpitch
