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

/// @brief Acquires shard leases, grants permits for the cold upstreams of the shards that it owns, and
/// acquires permits for this daemon's own attempts.
class PermitService : public Service {
public:
  /// Ends the stream of an attempt of this daemon whose permit has expired.
  using PermitExpiredHook = std::function<void(const AttemptId &)>;

  PermitService(const Runtime &Base, ClusterService &Cluster, RoutingService &Routing, PeerClient &Peers,
                EngineClient &Engines, std::shared_ptr<TableExecutor> Table, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @brief Sets the callback for expired permits; must be called before start().
  void onPermitExpired(PermitExpiredHook Hook) { m_PermitExpiredHook = std::move(Hook); }

  /// @brief Requests a permit from the upstream's owner.
  /// @return error 408 with Ran::No if the permit is denied or no daemon owns the upstream's shard
  boost::asio::awaitable<Expected<Done>> acquire(UpstreamId Upstream, AttemptId Attempt);
  /// @brief Releases a permit; without effect if none is held.
  /// @param ColdSignSeen whether the attempt indicates that the upstream is cold
  void release(const AttemptId &Attempt, bool ColdSignSeen);
  /// @brief Releases all leases and permits, for a graceful shutdown.
  void releaseAll();

  /// @brief A lease held by this daemon, for the status that operators see.
  struct HeldLease {
    ShardId m_Shard;
    FencingNumber m_Fencing;
    Duration m_Remaining{};
  };
  std::vector<HeldLease> heldLeases() const;

  /// @name Handlers of requests from other daemons
  /// @{
  boost::asio::awaitable<Expected<PeerPermit>> handleAcquirePermit(PeerPermitRequest Request);
  boost::asio::awaitable<Expected<PeerPermit>> handleRenewPermit(PeerPermitRequest Request);
  boost::asio::awaitable<Expected<Done>> handleReleasePermit(PeerPermitRequest Request);
  /// @}

private:
  void configure(const Configuration &Effective);
  void updateCandidates();
  void tick();
  void applyLoadReport(const LoadReport &Report);
  void run(LeaseActions Actions);
  void execute(CommitRows Action);
  void execute(ReadRow Action);
  void execute(const LeaseAcquired &Action);
  void execute(const LeaseLost &Action);
  void run(PermitActions Actions);
  void execute(AcquirePermit Action);
  void execute(RenewPermit Action);
  void execute(ReleasePermit Action);
  void execute(const CancelStream &Action);
  boost::asio::awaitable<void> requestPermit(PermitRequest Request, bool IsRenewal);
  boost::asio::awaitable<void> sendRelease(ReleasePermit Action);
  boost::asio::awaitable<void> cancelAtEngine(CancelStream Action);
  boost::asio::awaitable<std::optional<InstanceId>> ownerOf(UpstreamId Upstream);
  void applyReply(const UpstreamId &Upstream, const PermitReply &Reply, bool Warm, TimePoint SentAt);
  std::optional<ShardId> shardFor(const UpstreamId &Upstream) const;
  void registerOwnedUpstreams(const ShardId &Shard, TimePoint GrantsFrom);
  void updateOwnedUpstreams();
  PeerPermit makeReply(const PermitReply &Reply, const UpstreamId &Upstream) const;

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
  std::map<UpstreamId, Upstream> m_ConfiguredUpstreams;
  std::map<DomainId, RegionId> m_RegionsByDomain;
  std::map<ShardId, TimePoint> m_HeldShards; ///< With the time from which permits may be granted.
  std::map<AttemptId, std::shared_ptr<OneShot<PermitReply>>> m_PendingReplies;
  PermitExpiredHook m_PermitExpiredHook;
  TimePoint m_CandidatesUpdatedAt{};
  bool m_Stopping = false;
  Ticker m_Ticker;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_PERMIT_SERVICE_H
