#ifndef BULRUSHPITCH_DAEMON_PERMIT_SERVICE_H
#define BULRUSHPITCH_DAEMON_PERMIT_SERVICE_H

#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/engine_client.h"
#include "bulrushpitch/daemon/routing_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/daemon/table_executor.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/protocol/lease_manager.h"
#include "bulrushpitch/protocol/permits.h"
#include "bulrushpitch/rpc/rpc.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bulrushpitch {

/// @brief Shard leases, and permits for cold upstreams: as their owner and as a holder.
class PermitService : public Service {
public:
  /// Ends the stream of an attempt of this daemon whose permit has expired.
  using CancelHook = std::function<void(const AttemptId &)>;

  PermitService(const Runtime &Base, ClusterService &Cluster, RoutingService &Routing, PeerClient &Peers,
                EngineClient &Engines, std::shared_ptr<TableExecutor> Table, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  void onCancel(CancelHook Hook) { m_OnCancel = std::move(Hook); }

  /// @brief Asks the upstream's owner for a permit.
  /// @return error 408 with Ran::No if it is refused or there is no owner
  boost::asio::awaitable<Expected<Done>> acquire(UpstreamId Upstream, AttemptId Attempt);
  /// @brief Gives a permit back; without effect if none is held.
  /// @param Cold whether the upstream showed a sign of coldness
  void release(const AttemptId &Attempt, bool Cold);
  /// @brief Gives all leases and permits back, for a graceful stop.
  void releaseAll();

  /// @brief A lease held here, for the operators' status.
  struct HeldLease {
    ShardId m_Shard;
    FencingNumber m_Fencing;
    Duration m_Remaining{};
  };
  std::vector<HeldLease> heldLeases() const;

  /// @name Answers to peers
  /// @{
  boost::asio::awaitable<Expected<PeerPermit>> answerAcquire(PeerPermitRequest Request);
  boost::asio::awaitable<Expected<PeerPermit>> answerRenew(PeerPermitRequest Request);
  boost::asio::awaitable<Expected<Done>> answerRelease(PeerPermitRequest Request);
  /// @}

private:
  void configure(const Configuration &Effective);
  void chooseCandidates();
  void tick();
  void reported(const LoadReport &Report);
  void run(LeaseActions Actions);
  void execute(CommitRows Action);
  void execute(ReadRow Action);
  void execute(const LeaseWon &Action);
  void execute(const LeaseLost &Action);
  void run(PermitActions Actions);
  void execute(AcquirePermit Action);
  void execute(RenewPermit Action);
  void execute(ReleasePermit Action);
  void execute(const CancelStream &Action);
  boost::asio::awaitable<void> ask(PermitRequest Request, bool Renewal);
  boost::asio::awaitable<void> giveBack(ReleasePermit Action);
  boost::asio::awaitable<void> cancelForOwner(CancelStream Action);
  boost::asio::awaitable<std::optional<InstanceId>> ownerOf(UpstreamId Upstream);
  void answered(const UpstreamId &Upstream, const PermitReply &Reply, bool Warm, TimePoint SentAt);
  std::optional<ShardId> shardFor(const UpstreamId &Upstream) const;
  void ownUpstreams(const ShardId &Shard, TimePoint GrantFrom);
  void updateWatched();
  PeerPermit toPeer(const PermitReply &Reply, const UpstreamId &Upstream) const;

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PeerClient &m_Peers;
  EngineClient &m_Engines;
  std::shared_ptr<TableExecutor> m_Table;
  Recorder &m_Events;
  LeaseManager m_Leases;
  PermitOwner m_Owner;
  PermitHolder m_Holder;
  std::map<UpstreamId, Upstream> m_Upstreams;
  std::map<DomainId, RegionId> m_Regions;
  std::map<ShardId, TimePoint> m_Won; ///< Held shards, and when grants may start.
  std::map<AttemptId, std::shared_ptr<OneShot<PermitReply>>> m_Waiting;
  CancelHook m_OnCancel;
  TimePoint m_CandidatesAt{};
  bool m_Stopping = false;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_PERMIT_SERVICE_H
