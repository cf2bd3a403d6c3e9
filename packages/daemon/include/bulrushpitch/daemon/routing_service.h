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

/// @brief Keeps the router's knowledge up to date and lets requests wait for an upstream.
class RoutingService : public Service {
public:
  using ReportHook = std::function<void(const LoadReport &)>;
  using RolloutStopHook = std::function<void(const RolloutId &, std::string_view Reason)>;

  RoutingService(const Runtime &Base, ClusterService &Cluster, HttpClient &Client);

  Result<void> start() override;
  void stop() override;

  /// @brief Told of every load report; to be set before start().
  void onReport(ReportHook Hook) { m_OnReport = std::move(Hook); }

  /// @brief Decides where a model request goes. While every permitted upstream is full, it waits in the
  /// admission queue.
  /// @return a decision, or a refusal of family 2xx or 4xx with Ran::No
  boost::asio::awaitable<Expected<RouteDecision>> decide(const RouteRequest &Request);
  /// @brief Decides where a call of a plain service goes, without waiting.
  Expected<RouteDecision> decideService(const ServiceRequest &Request);

  Router &router() { return m_Router; }
  UpstreamTable &upstreams() { return m_Upstreams; }
  QualityEstimator &quality() { return m_Quality; }
  RolloutController &rollouts() { return m_Rollouts; }
  RetryBudget &retries() { return m_Retries; }
  std::size_t queued() const { return m_Queue.size(); }
  /// @return the serving address of an upstream
  std::optional<Endpoint> addressOf(const UpstreamId &Id) const;
  /// @brief Wakes the queue: an upstream may have room.
  void pump();
  /// @brief Makes an upstream a target of load polling although it is outside this daemon's subset.
  void watch(const std::set<UpstreamId> &Owned);

private:
  struct Waiting {
    explicit Waiting(boost::asio::io_context &Context) : m_Turn(Context) {}
    OneShot<Expected<Done>> m_Turn;
    QueuedRequest m_Queued;
  };

  Expected<std::shared_ptr<Waiting>> enqueue(const RouteRequest &Request,
                                             const std::shared_ptr<Waiting> &Place);

  void configure(const Configuration &Effective);
  void listed(const std::vector<ListedInstance> &List);
  void pollAll();
  boost::asio::awaitable<void> poll(UpstreamId Id, Endpoint Address);
  std::set<UpstreamId> subset(const Configuration &Effective) const;

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  HttpClient &m_Client;
  QualityEstimator m_Quality;
  UpstreamTable m_Upstreams;
  RolloutController m_Rollouts;
  LinkBudget m_Link;
  Router m_Router;
  RetryBudget m_Retries;
  AdmissionQueue m_Queue;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> m_Waiting;
  std::map<UpstreamId, Endpoint> m_Addresses;
  std::set<UpstreamId> m_Polled;
  std::set<UpstreamId> m_Owned;
  UpstreamId m_LastPolled; ///< Polling goes on after it.
  std::set<UpstreamId> m_PollsUnderWay;
  ReportHook m_OnReport;
  Ticker m_PollTick;
  Ticker m_QueueTick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ROUTING_SERVICE_H
