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

  /// @brief Claims a call and waits for the verdict.
  boost::asio::awaitable<ClaimDecision> begin(ClaimRequest Request);
  /// @brief The call was answered.
  void completed(const AttemptId &Attempt, const std::string &Answer);
  /// @brief No byte of the call was sent.
  void notSent(const AttemptId &Attempt);
  /// @brief The call may have run, and its answer is lost.
  void lost(const AttemptId &Attempt);

  std::size_t size() const { return m_Claims.size(); }

private:
  void run(ClaimActions Actions);
  void execute(CommitRows Action);
  void execute(ReadRow Action);
  void execute(ClaimDecision Action);

  Runtime m_Runtime;
  std::shared_ptr<TableExecutor> m_Table;
  ClaimManager m_Claims;
  std::map<AttemptId, std::shared_ptr<OneShot<ClaimDecision>>> m_Waiting;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CLAIM_SERVICE_H
