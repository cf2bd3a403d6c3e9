#ifndef BULRUSHPITCH_DAEMON_CLAIM_SERVICE_H
#define BULRUSHPITCH_DAEMON_CLAIM_SERVICE_H

#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/daemon/table_executor.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/protocol/claim_manager.h"

#include <map>
#include <memory>
#include <string>

namespace bulrushpitch {

/// @brief Runs the claims of non-idempotent calls against the table service.
class ClaimService : public Service {
public:
  ClaimService(const Runtime &Base, std::shared_ptr<TableExecutor> Table);

  Result<void> start() override;
  void stop() override;

  /// @brief Claims a call and waits for the decision.
  /// @return the decision; Refused if none arrives by the deadline of the request
  boost::asio::awaitable<ClaimDecision> claim(ClaimRequest Request);
  /// @brief Records the response of a call.
  void completed(const AttemptId &Attempt, const std::string &Response);
  /// @brief Releases the claim of a call of which no byte was sent.
  void notSent(const AttemptId &Attempt);
  /// @brief Records that the call may have run and that its response is lost.
  void responseLost(const AttemptId &Attempt);

  /// @return claims that are being written, run or released
  std::size_t size() const { return m_Claims.size(); }

private:
  void run(ClaimActions Actions);
  void execute(CommitRows Action);
  void execute(ReadRow Action);
  void execute(ClaimDecision Action);

  Runtime m_Runtime;
  std::shared_ptr<TableExecutor> m_TableExecutor;
  ClaimManager m_Claims;
  std::map<AttemptId, std::shared_ptr<OneShot<ClaimDecision>>> m_PendingDecisions;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CLAIM_SERVICE_H
