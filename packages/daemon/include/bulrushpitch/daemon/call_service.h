#ifndef BULRUSHPITCH_DAEMON_CALL_SERVICE_H
#define BULRUSHPITCH_DAEMON_CALL_SERVICE_H

#include "bulrushpitch/daemon/billing_service.h"
#include "bulrushpitch/daemon/claim_service.h"
#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/explain_log.h"
#include "bulrushpitch/daemon/model_service.h"
#include "bulrushpitch/daemon/permit_service.h"
#include "bulrushpitch/daemon/routing_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/http_client.h"
#include "bulrushpitch/net/http_message.h"

#include <optional>
#include <string>

namespace bulrushpitch {

/// @brief A caller's call of a plain service, as parsed from the HTTP request.
struct ServiceCall {
  TeamId m_Team;
  RequestId m_Request;
  ServiceId m_Service;
  ServiceRoute m_Route;
  std::string m_Query; ///< Includes the leading question mark; may be empty.
  std::string m_Body;
  std::string m_ContentType;
  TimePoint m_Deadline;
};

/// @brief Dependencies of CallService.
struct CallServiceDependencies {
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PermitService &m_Permits;
  BillingService &m_Billing;
  ClaimService &m_Claims;
  ModelService &m_Models; ///< Issues attempt ids.
  HttpClient &m_Client;
  ExplainLog &m_Explain;
  Recorder &m_Events;
  Distribution &m_CallDuration; ///< Time from a call's start until its response may be released.
};

/// @brief Routes calls of plain services to upstreams. Non-idempotent calls run at most once.
class CallService : public Service {
public:
  CallService(const Runtime &Base, CallServiceDependencies Dependencies)
      : m_Runtime(Base), m_Dependencies(Dependencies) {}

  Result<void> start() override { return {}; }
  void stop() override {}

  /// @brief Sends a call to an upstream of its service, with retries as its route allows.
  /// @return the service's response, or an error that says whether the call ran
  boost::asio::awaitable<Expected<HttpResponse>> serve(ServiceCall Call);

private:
  boost::asio::awaitable<Expected<HttpResponse>> serveIdempotent(const ServiceCall &Call);
  boost::asio::awaitable<Expected<HttpResponse>> serveNonIdempotent(const ServiceCall &Call);
  boost::asio::awaitable<Expected<HttpResponse>> dispatch(const ServiceCall &Call, RouteDecision Decision,
                                                          AttemptId Attempt);
  boost::asio::awaitable<Expected<HttpResponse>> charge(const ServiceCall &Call, HttpResponse Response);
  boost::asio::awaitable<Expected<Done>> acquirePermit(RouteDecision Decision, AttemptId Attempt);
  Expected<RouteDecision> chooseUpstream(const ServiceCall &Call, const ServiceRequest &Request);

  Runtime m_Runtime;
  CallServiceDependencies m_Dependencies;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CALL_SERVICE_H
