#ifndef BULRUSHPITCH_DAEMON_EXPLAIN_LOG_H
#define BULRUSHPITCH_DAEMON_EXPLAIN_LOG_H

#include "bulrushpitch/config/admin_api.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/daemon/runtime.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Log of the decisions on the most recent requests, for `bulrushpitch explain`.
class ExplainLog {
public:
  static constexpr std::size_t MaxRequests = 2000;
  static constexpr std::size_t MaxDecisionsPerRequest = 32; ///< Further ones are dropped.

  explicit ExplainLog(const Runtime &Base) : m_Runtime(Base) {}

  /// @brief Adds a decision.
  /// @param Upstream may be empty
  /// @param ChosenVersion may be empty
  void add(const RequestId &Request, std::string Step, const UpstreamId &Upstream,
           const VersionId &ChosenVersion, std::string Reason);
  /// @return the decisions on a request in the order they were made; empty if it is not in the log
  std::vector<DecisionRecord> find(const RequestId &Request) const;

private:
  Runtime m_Runtime;
  std::map<RequestId, std::vector<DecisionRecord>> m_Records;
  std::deque<RequestId> m_InsertionOrder;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_EXPLAIN_LOG_H
