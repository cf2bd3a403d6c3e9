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

/// @brief A caller's call of a plain service.
struct ServiceCall {
  TeamId m_Team;
  RequestId m_Request;
  ServiceId m_Service;
  ServiceRoute m_Route;
  std::string m_Query; ///< With its question mark; may be empty.
  std::string m_Body;
  std::string m_ContentType;
  TimePoint m_Deadline;
};

/// @brief What the call service works with.
struct CallParts {
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PermitService &m_Permits;
  BillingService &m_Billing;
  ClaimService &m_Claims;
  ModelService &m_Models; ///< Gives attempt ids.
  HttpClient &m_Client;
  ExplainLog &m_Explain;
  Recorder &m_Events;
  Distribution &m_Duration; ///< Of a call, until its answer may be released.
};

/// @brief Routes calls of plain services. Non-idempotent calls run at most once.
class CallService : public Service {
public:
  CallService(const Runtime &Base, CallParts Parts) : m_Runtime(Base), m_Parts(Parts) {}

  Result<void> start() override { return {}; }
  void stop() override {}

  /// @brief Carries out a call.
  /// @return the service's response, or an error that says whether the call ran
  boost::asio::awaitable<Expected<HttpResponse>> serve(ServiceCall Call);

private:
  boost::asio::awaitable<Expected<HttpResponse>> serveIdempotent(const ServiceCall &Call);
  boost::asio::awaitable<Expected<HttpResponse>> serveOnce(const ServiceCall &Call);
  boost::asio::awaitable<Expected<HttpResponse>> dispatch(const ServiceCall &Call, RouteDecision Decision,
                                                          AttemptId Attempt);
  boost::asio::awaitable<Expected<HttpResponse>> charge(const ServiceCall &Call, HttpResponse Response);
  boost::asio::awaitable<Expected<Done>> permit(RouteDecision Decision, AttemptId Attempt);
  Expected<RouteDecision> decide(const ServiceCall &Call, const ServiceRequest &Request);

  Runtime m_Runtime;
  CallParts m_Parts;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CALL_SERVICE_H
