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

/// @brief Keeps the decisions on the newest requests, for `bulrushpitch explain`.
class ExplainLog {
public:
  static constexpr std::size_t MaxRequests = 2000;
  static constexpr std::size_t MaxDecisions = 32; ///< Of one request.

  explicit ExplainLog(const Runtime &Base) : m_Runtime(Base) {}

  /// @brief Adds a decision.
  /// @param Upstream may be empty
  /// @param Chosen may be empty
  void add(const RequestId &Request, std::string Step, const UpstreamId &Upstream, const VersionId &Chosen,
           std::string Reason);
  /// @return the decisions on a request in their order; empty if it is not remembered
  std::vector<DecisionRecord> find(const RequestId &Request) const;

private:
  Runtime m_Runtime;
  std::map<RequestId, std::vector<DecisionRecord>> m_Records;
  std::deque<RequestId> m_Order;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_EXPLAIN_LOG_H
