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

/// @brief Keeps each charge in two daemons until the table service has committed it.
class BillingService : public Service {
public:
  BillingService(const Runtime &Base, ClusterService &Cluster, PeerClient &Peers,
                 std::shared_ptr<TableExecutor> Table, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @return nothing if new billable work may start, else error 801 or 805 with Ran::No
  std::optional<Error> rejectionReason() const { return m_Ledger.rejectionReason(m_Runtime.m_Clock()); }
  /// @brief Records a charge and waits until the table service or a backup daemon has it; only then may the
  /// end of the answer be released.
  /// @return error 805 with Ran::Yes if neither has it within the timeout; the ledger keeps retrying
  boost::asio::awaitable<Expected<Done>> charge(Charge NewCharge, Duration Timeout);
  /// @brief Commits every charge and copies it to a backup daemon, for a graceful shutdown.
  void handOver() { run(m_Ledger.flushNow(m_Runtime.m_Clock())); }

  const ChargeLedger &ledger() const { return m_Ledger; }

  /// @name Handlers of requests from other daemons
  /// @{
  boost::asio::awaitable<Expected<Done>> handleHoldCharges(PeerCharges Charges);
  boost::asio::awaitable<Expected<Done>> handleDropCharges(PeerCharges Charges);
  /// @}

private:
  using ChargeId = std::pair<std::string, AttemptId>;

  std::optional<CopyHolder> chooseBackup(const std::vector<InstanceId> &Excluded);
  void run(ChargeActions Actions);
  void execute(CommitRows Action);
  void execute(HoldCharges Action);
  void execute(DropCharges Action);
  void execute(const ReleaseResponseEnd &Action);
  /// @return a message to a holder of copies, without charges
  PeerCharges messageTo(const CopyHolder &Holder) const;
  boost::asio::awaitable<void> sendHold(HoldCharges Action);
  boost::asio::awaitable<void> sendDrop(DropCharges Action);

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  PeerClient &m_Peers;
  std::shared_ptr<TableExecutor> m_Table;
  Recorder &m_Events;
  ChargeLedger m_Ledger;
  std::map<ChargeId, std::shared_ptr<OneShot<Done>>> m_PendingCharges;
  Ticker m_LedgerTicker;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_BILLING_SERVICE_H
