#include "bulrushpitch/decision/retry_budget.h"

#include <algorithm>

namespace bulrushpitch {

RetryBudget::RetryBudget(double Share, double Reserve, double MaxTokens)
    : m_Share(Share), m_MaxTokens(MaxTokens), m_Tokens(std::min(Reserve, MaxTokens)) {}

void RetryBudget::setShare(double Share) { m_Share = Share; }

void RetryBudget::onRequest() { m_Tokens = std::min(m_MaxTokens, m_Tokens + m_Share); }

Expected<Done> RetryBudget::takeRetry() {
  if (m_Tokens < 1.0)
    return Error{ErrorCode::RetryBudgetSpent, "retry request", "", Ran::No,
                 "the retry budget is exhausted: retries have reached their share of the requests"};
  m_Tokens -= 1.0;
  return Done{};
}

} // namespace bulrushpitch
