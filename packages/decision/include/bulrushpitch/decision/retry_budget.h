#ifndef BULRUSHPITCH_DECISION_RETRY_BUDGET_H
#define BULRUSHPITCH_DECISION_RETRY_BUDGET_H

#include "bulrushpitch/core/expected.h"

namespace bulrushpitch {

/// @brief Token bucket that limits retries to a share of the requests, so that retries cannot amplify an
/// overload.
///
/// After any sequence of calls, at most Reserve + Share * requests retries have been allowed, if the share is
/// not changed. Not thread-safe.
class RetryBudget {
public:
  /// @param Share retries per request, see Limits::m_RetryShare
  /// @param Reserve retries that are allowed before the first request
  /// @param MaxSavedRetries maximum number of saved retries, so that a long period without retries does not
  /// allow a burst of them
  explicit RetryBudget(double Share = 0.1, double Reserve = 1.0, double MaxSavedRetries = 50.0);

  /// @brief Changes the share; the saved retries are kept.
  void setShare(double Share);
  /// @brief Counts a request that is not a retry.
  void onRequest();
  /// @brief Consumes one retry of the budget.
  /// @return error 405 (RetryBudgetSpent) if less than one retry is left
  Expected<Done> takeRetry();
  /// @return number of saved retries, including a fraction
  double remaining() const { return m_SavedRetries; }

private:
  double m_Share;
  double m_MaxSavedRetries;
  double m_SavedRetries;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_RETRY_BUDGET_H
