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

/// @brief The callers' interface: chat completions, models, plain services, health.
class CallerApi : public Service {
public:
  /// Whether new requests are accepted, and whether `/readyz` answers 200.
  struct DrainHooks {
    std::function<bool()> m_AcceptsNew;
    std::function<bool()> m_Ready;
  };

  CallerApi(const Runtime &Base, ClusterService &Cluster, BillingService &Billing, ModelService &Models,
            CallService &Calls, SessionService &Sessions, DrainHooks Drain, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  HttpServer &server() { return *m_Server; }
  /// @return requests being answered now, health checks left out
  std::size_t active() const { return m_Active; }
  std::uint64_t served() const { return m_Served; }
  std::uint64_t refused() const { return m_Refused; }

private:
  struct Caller {
    const Team *m_Team = nullptr;
    std::shared_ptr<const Configuration> m_Configuration;
  };

  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);
  boost::asio::awaitable<void> complete(const Caller &From, HttpRequest &Request, ResponseWriter &Writer);
  boost::asio::awaitable<void> call(const Caller &From, HttpRequest &Request, ResponseWriter &Writer);
  boost::asio::awaitable<void> listModels(const Caller &From, ResponseWriter &Writer);
  boost::asio::awaitable<void> refuse(const Error &Failure, ResponseWriter &Writer);
  Expected<Caller> admit(const HttpRequest &Request);
  Expected<ModelCall> parseCompletion(const Caller &From, const HttpRequest &Request);
  Expected<ServiceCall> parseCall(const Caller &From, HttpRequest &Request);
  Expected<TimePoint> deadline(const HttpRequest &Request, Duration Usual) const;
  RequestId requestId(const HttpRequest &Request);
  void configure(const Configuration &Effective);
  void note(EventKind Kind, const RequestId &Request, const TeamId &From, const std::string &Detail);

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  BillingService &m_Billing;
  ModelService &m_Models;
  CallService &m_Calls;
  SessionService &m_Sessions;
  DrainHooks m_Drain;
  Recorder &m_Events;
  std::unordered_map<std::string, TeamId> m_Keys; ///< Hash of an API key to its team.
  std::unique_ptr<HttpServer> m_Server;
  std::size_t m_Active = 0;
  std::uint64_t m_Served = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_NextRequest = 1;
};

/// @return the lower-case hexadecimal SHA-256 of a text
std::string sha256Hex(std::string_view Text);

/// @return limits of a listener, from the settings
ServerLimits limitsFrom(const HttpSettings &Read);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CALLER_API_H
