#include "bulrushpitch/gateway/gateway_state.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Part of the bounds on all daemons' retries that is used; the rest covers uneven shares and late lists.
constexpr double UsedRetryShare = 0.85;
constexpr double UsedRetryReserve = 0.6;

} // namespace

RetryBudget &GatewayState::budgetOf(const ServiceId &Id) {
  const auto Found = m_Budgets.find(Id);
  if (Found != m_Budgets.end())
    return Found->second;
  const double Reserve = std::max(1.0, m_Bounds.m_RetryReserve * UsedRetryReserve /
                                           static_cast<double>(m_Here.m_Daemons.size()));
  return m_Budgets.emplace(Id, RetryBudget(m_Bounds.m_RetryShare * UsedRetryShare, Reserve, Reserve))
      .first->second;
}

void GatewayState::setDaemons(std::vector<InstanceId> Daemons) {
  if (std::find(Daemons.begin(), Daemons.end(), m_Here.m_Instance) == Daemons.end())
    Daemons.push_back(m_Here.m_Instance);
  if (Daemons.size() != m_Here.m_Daemons.size())
    m_Budgets.clear();
  m_Here.m_Daemons = std::move(Daemons);
}

} // namespace bulrushpitch
