#ifndef BULRUSHPITCH_DAEMON_ROUTING_SERVICE_H
#define BULRUSHPITCH_DAEMON_ROUTING_SERVICE_H

#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/decision/decision.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/net/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Supplies the router with the configuration and load reports, and queues requests while no upstream
/// has spare capacity.
class RoutingService : public Service {
public:
  using ReportHook = std::function<void(const LoadReport &)>;
  using RolloutStopHook = std::function<void(const RolloutId &, std::string_view Reason)>;

  RoutingService(const Runtime &Base, ClusterService &Cluster, HttpClient &Client);

  Result<void> start() override;
  void stop() override;

  /// @brief Sets the callback for every load report; must be called before start().
  void onLoadReport(ReportHook Hook) { m_ReportHook = std::move(Hook); }

  /// @brief Chooses an upstream for a model request. While every permitted upstream is at capacity, the
  /// request waits in the admission queue.
  /// @return a decision, or an error of family 2xx or 4xx with Ran::No
  boost::asio::awaitable<Expected<RouteDecision>> decide(const RouteRequest &Request);
  /// @brief Chooses an upstream for a call of a plain service, without waiting.
  Expected<RouteDecision> decideService(const ServiceRequest &Request);

  Router &router() { return m_Router; }
  UpstreamTable &upstreams() { return m_Upstreams; }
  QualityEstimator &quality() { return m_Quality; }
  RolloutController &rollouts() { return m_Rollouts; }
  RetryBudget &retryBudget() { return m_Retries; }
  std::size_t queuedRequests() const { return m_Queue.size(); }
  /// @return the serving address of an upstream
  std::optional<Endpoint> addressOf(const UpstreamId &Id) const;
  /// @brief Rejects queued requests that cannot be served in time and wakes those that may find an upstream
  /// with spare capacity.
  void wakeQueuedRequests();
  /// @brief Sets the upstreams whose shards this daemon owns; they are polled for load at every interval,
  /// also outside this daemon's subset.
  void setOwnedUpstreams(const std::set<UpstreamId> &Owned);

private:
  struct QueueEntry {
    explicit QueueEntry(boost::asio::io_context &Context) : m_Wakeup(Context) {}
    OneShot<Expected<Done>> m_Wakeup;
    QueuedRequest m_QueuedRequest;
  };

  /// @param Previous entry of the same request that was woken but found no spare capacity; null at first
  Expected<std::shared_ptr<QueueEntry>> enqueue(const RouteRequest &Request,
                                                const std::shared_ptr<QueueEntry> &Previous);

  void configure(const Configuration &Effective);
  void applyInstanceList(const std::vector<ListedInstance> &List);
  void pollAll();
  boost::asio::awaitable<void> poll(UpstreamId Id, Endpoint Address);
  std::set<UpstreamId> chooseSubset(const Configuration &Effective) const;

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  HttpClient &m_Client;
  QualityEstimator m_Quality;
  UpstreamTable m_Upstreams;
  RolloutController m_Rollouts;
  LinkBudget m_LinkBudget;
  Router m_Router;
  RetryBudget m_Retries;
  AdmissionQueue m_Queue;
  std::map<std::uint64_t, std::shared_ptr<QueueEntry>> m_QueueEntries;
  std::map<UpstreamId, Endpoint> m_Addresses;
  std::set<UpstreamId> m_Subset; ///< Upstreams that this daemon routes to and polls.
  std::set<UpstreamId> m_OwnedUpstreams;
  UpstreamId m_LastPolled; ///< Round-robin polling continues after this upstream.
  std::set<UpstreamId> m_PollsInFlight;
  ReportHook m_ReportHook;
  Ticker m_PollTicker;
  Ticker m_QueueTicker;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ROUTING_SERVICE_H
