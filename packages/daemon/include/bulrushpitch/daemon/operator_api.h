#ifndef BULRUSHPITCH_DAEMON_OPERATOR_API_H
#define BULRUSHPITCH_DAEMON_OPERATOR_API_H

#include "bulrushpitch/config/admin_api.h"
#include "bulrushpitch/daemon/billing_service.h"
#include "bulrushpitch/daemon/caller_api.h"
#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/drain_service.h"
#include "bulrushpitch/daemon/explain_log.h"
#include "bulrushpitch/daemon/peer_service.h"
#include "bulrushpitch/daemon/permit_service.h"
#include "bulrushpitch/daemon/publication_service.h"
#include "bulrushpitch/daemon/routing_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/http_server.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Services, clients and logs that the operators' interface reads or changes.
struct OperatorDependencies {
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PermitService &m_Permits;
  BillingService &m_Billing;
  PublicationService &m_Publications;
  DrainService &m_Drain;
  CallerApi &m_CallerApi;
  PeerService &m_PeerServer;
  PeerClient &m_PeerClient;
  TableService &m_TableService;
  std::shared_ptr<TableExecutor> m_TableExecutor;
  ExplainLog &m_ExplainLog;
  Recorder &m_Events;
  const Metrics &m_Metrics;
};

/// @brief The operators' interface: HTTP with JSON under /admin/v1/, and /metrics. See docs/admin-api.md.
class OperatorApi : public Service {
public:
  OperatorApi(const Runtime &Base, OperatorDependencies Dependencies);

  Result<void> start() override { return m_Server.start(); }
  void stop() override { m_Server.closeAll(); }

private:
  using ResponseTask = boost::asio::awaitable<Expected<HttpResponse>>;

  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);
  ResponseTask dispatch(HttpRequest &Request);
  ResponseTask publish(const HttpRequest &Request);
  ResponseTask config(const HttpRequest &Request);
  ResponseTask history(const HttpRequest &Request);
  ResponseTask restrict(const HttpRequest &Request);
  ResponseTask timeline(const HttpRequest &Request);
  ResponseTask charges(const HttpRequest &Request);
  Expected<HttpResponse> explain(const HttpRequest &Request);
  Expected<HttpResponse> drain(const HttpRequest &Request);
  Expected<HttpResponse> inForce(const HttpRequest &Request);
  StatusReply status() const;
  std::vector<UpstreamStatus> upstreamStatus() const;
  std::vector<InstanceStatus> instanceStatus() const;
  std::string metrics() const;
  /// @param All whether to query all peers as well
  /// @param Missing receives the peers that could not be queried
  boost::asio::awaitable<std::vector<TimelineEvent>> collectEvents(EventFilter Filter, bool All,
                                                                   std::vector<InstanceId> &Missing);

  Runtime m_Runtime;
  OperatorDependencies m_Dependencies;
  HttpServer m_Server;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_OPERATOR_API_H
