#ifndef BULRUSHPITCH_DECISION_RETRY_BUDGET_H
#define BULRUSHPITCH_DECISION_RETRY_BUDGET_H

#include "bulrushpitch/core/expected.h"

namespace bulrushpitch {

/// @brief Bounds retries to a share of the requests, so that retries cannot multiply an overload.
///
/// After any sequence of calls, the retries allowed are at most Reserve + Share * requests.
class RetryBudget {
public:
  /// @param Share retries per request, Limits::m_RetryShare
  /// @param Reserve retries that are allowed before any request
  /// @param Most retries that can be saved up, so that a quiet hour does not pay for a burst
  explicit RetryBudget(double Share = 0.1, double Reserve = 1.0, double Most = 50.0);

  /// @brief Changes the share; what was saved up is kept.
  void setShare(double Share);
  /// @brief Counts a request that is not a retry.
  void onRequest();
  /// @brief Takes a retry from the budget.
  /// @return error 405 if it is spent
  Expected<Done> takeRetry();
  /// @return retries that are left
  double remaining() const { return m_Tokens; }

private:
  double m_Share;
  double m_Most;
  double m_Tokens;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_RETRY_BUDGET_H
