#ifndef BULRUSHPITCH_DAEMON_CALLER_API_H
#define BULRUSHPITCH_DAEMON_CALLER_API_H

#include "bulrushpitch/daemon/call_service.h"
#include "bulrushpitch/daemon/model_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bulrushpitch {

/// @brief HTTP interface for callers: chat completions, the list of models, plain services and health checks.
class CallerApi : public Service {
public:
  /// Callbacks that tell whether new requests are accepted, and whether `/readyz` may return 200.
  struct DrainHooks {
    std::function<bool()> m_AcceptsNewRequests;
    std::function<bool()> m_IsReady;
  };

  CallerApi(const Runtime &Base, ClusterService &Cluster, BillingService &Billing, ModelService &Models,
            CallService &Calls, SessionService &Sessions, DrainHooks Drain, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  HttpServer &server() { return *m_Server; }
  /// @return the number of requests in progress, excluding health checks
  std::size_t activeRequests() const { return m_ActiveRequests; }
  /// @return the number of model requests and service calls that have ended, also with an error
  std::uint64_t completedRequests() const { return m_Served; }
  /// @return the number of requests rejected before routing and of failed service calls
  std::uint64_t rejectedRequests() const { return m_Refused; }

private:
  struct Caller {
    const Team *m_Team = nullptr;
    std::shared_ptr<const Configuration> m_Configuration;
  };

  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);
  boost::asio::awaitable<void> handleCompletion(const Caller &Sender, HttpRequest &Request,
                                                ResponseWriter &Writer);
  boost::asio::awaitable<void> handleServiceCall(const Caller &Sender, HttpRequest &Request,
                                                 ResponseWriter &Writer);
  boost::asio::awaitable<void> listModels(const Caller &Sender, ResponseWriter &Writer);
  boost::asio::awaitable<void> reject(const Error &Failure, ResponseWriter &Writer);
  Expected<Caller> admit(const HttpRequest &Request);
  Expected<ModelCall> parseCompletion(const Caller &Sender, const HttpRequest &Request);
  Expected<ServiceCall> parseServiceCall(const Caller &Sender, HttpRequest &Request);
  Expected<TimePoint> parseDeadline(const HttpRequest &Request, Duration Default) const;
  RequestId requestId(const HttpRequest &Request);
  void configure(const Configuration &Effective);
  void recordEvent(EventKind Kind, const RequestId &Request, const TeamId &Sender, const std::string &Detail);

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  BillingService &m_Billing;
  ModelService &m_Models;
  CallService &m_Calls;
  SessionService &m_Sessions;
  DrainHooks m_Drain;
  Recorder &m_Events;
  std::unordered_map<std::string, TeamId> m_TeamsByKeyHash; ///< Key: SHA-256 of an API key, in hexadecimal.
  std::unique_ptr<HttpServer> m_Server;
  std::size_t m_ActiveRequests = 0;
  std::uint64_t m_Served = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_NextRequestNumber = 1;
};

/// @return the lower-case hexadecimal SHA-256 of a text
std::string sha256Hex(std::string_view Text);

/// @return the limits of an HTTP server according to its settings
ServerLimits serverLimits(const HttpSettings &Http);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CALLER_API_H
