#include "bulrushpitch/decision/retry_budget.h"

#include <algorithm>

namespace bulrushpitch {

RetryBudget::RetryBudget(double Share, double Reserve, double Most)
    : m_Share(Share), m_Most(Most), m_Tokens(std::min(Reserve, Most)) {}

void RetryBudget::setShare(double Share) { m_Share = Share; }

void RetryBudget::onRequest() { m_Tokens = std::min(m_Most, m_Tokens + m_Share); }

Expected<Done> RetryBudget::takeRetry() {
  if (m_Tokens < 1.0)
    return Error{ErrorCode::RetryBudgetSpent, "retry request", "", Ran::No,
                 "retries have used up their share of the requests"};
  m_Tokens -= 1.0;
  return Done{};
}

} // namespace bulrushpitch
