#ifndef BULRUSHPITCH_DAEMON_BILLING_SERVICE_H
#define BULRUSHPITCH_DAEMON_BILLING_SERVICE_H

#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/daemon/table_executor.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/protocol/charge_ledger.h"
#include "bulrushpitch/rpc/rpc.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bulrushpitch {

/// @brief Keeps charges at two places until the table service has them.
class BillingService : public Service {
public:
  BillingService(const Runtime &Base, ClusterService &Cluster, PeerClient &Peers,
                 std::shared_ptr<TableExecutor> Table, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @return nothing if new billable work may start, else error 801 or 805, not run
  std::optional<Error> refusal() const { return m_Ledger.refusal(m_Runtime.m_Clock()); }
  /// @brief Takes a charge and waits until it is safe, so that the end of the answer may be released.
  /// @return error 805 with Ran::Yes if it is not safe within the timeout; the ledger goes on trying
  boost::asio::awaitable<Expected<Done>> charge(Charge Added, Duration Timeout);
  /// @brief Writes or hands over every charge, for a graceful stop.
  void handOver() { run(m_Ledger.handOver(m_Runtime.m_Clock())); }

  const ChargeLedger &ledger() const { return m_Ledger; }

  /// @name Answers to peers
  /// @{
  boost::asio::awaitable<Expected<Done>> answerHold(PeerCharges Charges);
  boost::asio::awaitable<Expected<Done>> answerDrop(PeerCharges Charges);
  /// @}

private:
  using Key = std::pair<std::string, AttemptId>;

  std::optional<CopyHolder> chooseBackup(const std::vector<InstanceId> &Excluded);
  void run(ChargeActions Actions);
  void execute(CommitRows Action);
  void execute(HoldCharges Action);
  void execute(DropCharges Action);
  void execute(const ReleaseEnd &Action);
  /// @return a message of this daemon to the holder of copies, without charges
  PeerCharges messageFor(const CopyHolder &To) const;
  boost::asio::awaitable<void> sendHold(HoldCharges Action);
  boost::asio::awaitable<void> sendDrop(DropCharges Action);

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  PeerClient &m_Peers;
  std::shared_ptr<TableExecutor> m_Table;
  Recorder &m_Events;
  ChargeLedger m_Ledger;
  std::map<Key, std::shared_ptr<OneShot<Done>>> m_Waiting;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_BILLING_SERVICE_H
