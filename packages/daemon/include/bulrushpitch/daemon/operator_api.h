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

/// @brief What the operators' interface shows and changes.
struct OperatorParts {
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PermitService &m_Permits;
  BillingService &m_Billing;
  PublicationService &m_Publications;
  DrainService &m_Drain;
  CallerApi &m_Callers;
  PeerService &m_PeerServer;
  PeerClient &m_Peers;
  TableService &m_Rows;
  std::shared_ptr<TableExecutor> m_Table;
  ExplainLog &m_Explain;
  Recorder &m_Events;
  const Metrics &m_Metrics;
};

/// @brief The operators' interface, HTTP with JSON under /admin/v1/, and metrics. See docs/admin-api.md.
class OperatorApi : public Service {
public:
  OperatorApi(const Runtime &Base, OperatorParts Parts);

  Result<void> start() override { return m_Server.start(); }
  void stop() override { m_Server.closeAll(); }

private:
  using Answer = boost::asio::awaitable<Expected<HttpResponse>>;

  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);
  Answer dispatch(HttpRequest &Request);
  Answer publish(const HttpRequest &Request);
  Answer config(const HttpRequest &Request);
  Answer history(const HttpRequest &Request);
  Answer restrict(const HttpRequest &Request);
  Answer timeline(const HttpRequest &Request);
  Answer charges(const HttpRequest &Request);
  Expected<HttpResponse> explain(const HttpRequest &Request);
  Expected<HttpResponse> drain(const HttpRequest &Request);
  Expected<HttpResponse> inForce(const HttpRequest &Request);
  StatusReply status() const;
  std::vector<UpstreamStatus> upstreamStatus() const;
  std::vector<InstanceStatus> instanceStatus() const;
  std::string metrics() const;
  boost::asio::awaitable<std::vector<TimelineEvent>> collect(EventFilter Filter, bool All,
                                                             std::vector<InstanceId> &Missing);

  Runtime m_Runtime;
  OperatorParts m_Parts;
  HttpServer m_Server;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_OPERATOR_API_H
