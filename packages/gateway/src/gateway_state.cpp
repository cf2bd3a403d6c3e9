#include "bulrushpitch/gateway/gateway_state.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

/// Used shares of the two limits on all daemons' retries, GatewayBounds::m_RetryShare and m_RetryReserve. The
/// rest covers unequal load and outdated lists of daemons.
constexpr double UsedRetryShare = 0.80;
constexpr double UsedRetryReserveShare = 0.8;
/// Used share of GatewayBounds::m_RetryShare for failures in the first window of a process that doesn't know
/// what the one before it has used. Both shares together stay within the limit, as windows hold retries of
/// both. Escalations are not limited further: they don't come while upstreams fail.
constexpr double EarlyRetryShare = 0.16;
static_assert(UsedRetryShare + EarlyRetryShare < 1.0);

} // namespace

double GatewayState::retryReserve() const {
  if (!m_PlacementContext.m_HasLimitShares)
    return 0.0;
  return m_Bounds.m_RetryReserve * UsedRetryReserveShare /
         static_cast<double>(m_PlacementContext.m_Daemons.size());
}

RetryWindow &GatewayState::retryBudgetOf(const ServiceId &Id) {
  const auto Found = m_Budgets.find(Id);
  if (Found != m_Budgets.end())
    return Found->second;
  RetryWindow Budget(retryWindow(), m_Bounds.m_RetryShare * UsedRetryShare, retryReserve());
  Budget.allowFrom(m_RetriesAllowedFrom, m_EarlyRetriesPerRequest);
  return m_Budgets.emplace(Id, Budget).first->second;
}

void GatewayState::allowRetriesFrom(TimePoint Time) { limitEarlyRetries(Time, 0.0); }

void GatewayState::allowFewRetriesUntil(TimePoint Time) {
  limitEarlyRetries(Time, m_Bounds.m_RetryShare * EarlyRetryShare);
}

void GatewayState::limitEarlyRetries(TimePoint Until, double RetriesPerRequest) {
  m_RetriesAllowedFrom = Until;
  m_EarlyRetriesPerRequest = RetriesPerRequest;
  for (auto &Entry : m_Budgets)
    Entry.second.allowFrom(Until, RetriesPerRequest);
}

void GatewayState::restoreRetryUse(const ServiceRetryUse &Used, TimePoint Now) {
  for (const ServiceRetryUse::value_type &Service : Used)
    retryBudgetOf(Service.first).restore(Service.second, Now);
}

ServiceRetryUse GatewayState::retryUse(TimePoint Now) const {
  ServiceRetryUse Used;
  for (const auto &Entry : m_Budgets)
    Used[Entry.first] = Entry.second.use(Now);
  return Used;
}

void GatewayState::setDaemons(std::vector<InstanceId> Daemons) {
  if (std::find(Daemons.begin(), Daemons.end(), m_PlacementContext.m_Instance) == Daemons.end())
    Daemons.push_back(m_PlacementContext.m_Instance);
  m_PlacementContext.m_Daemons = std::move(Daemons);
  adjustRetryBudgets();
}

void GatewayState::setLimitShares(bool HasShares) {
  if (std::exchange(m_PlacementContext.m_HasLimitShares, HasShares) != HasShares)
    adjustRetryBudgets();
}

void GatewayState::adjustRetryBudgets() {
  for (auto &Entry : m_Budgets)
    Entry.second.setLimits(m_Bounds.m_RetryShare * UsedRetryShare, retryReserve());
}

} // namespace bulrushpitch
