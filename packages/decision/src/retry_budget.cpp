#include "bulrushpitch/decision/retry_budget.h"

#include <algorithm>

namespace bulrushpitch {

RetryBudget::RetryBudget(double Share, double Reserve, double MaxSavedRetries)
    : m_Share(Share), m_MaxSavedRetries(MaxSavedRetries), m_SavedRetries(std::min(Reserve, MaxSavedRetries)) {
}

void RetryBudget::setShare(double Share) { m_Share = Share; }

void RetryBudget::onRequest() { m_SavedRetries = std::min(m_MaxSavedRetries, m_SavedRetries + m_Share); }

Expected<Done> RetryBudget::takeRetry() {
  if (m_SavedRetries < 1.0)
    return Error{ErrorCode::RetryBudgetSpent, "retry request", "", Ran::No,
                 "the retry budget is exhausted: retries have reached their share of the requests"};
  m_SavedRetries -= 1.0;
  return Done{};
}

} // namespace bulrushpitch
