#ifndef BULRUSHPITCH_GATEWAY_FORWARDER_H
#define BULRUSHPITCH_GATEWAY_FORWARDER_H

#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/gateway_state.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/metrics/metrics.h"
#include "bulrushpitch/net/http_client.h"
#include "bulrushpitch/net/http_server.h"

namespace bulrushpitch {

/// @brief Dependencies of the forwarder.
struct ForwarderDependencies {
  GatewayState &m_State;
  const MessageTranslation &m_Translation;
  HttpClient &m_Upstreams;
  EventLog &m_Log;
  Metrics &m_Metrics;
  ClockHook m_Clock;
  TimePoint m_StartedAt; ///< Start time of this daemon.
};

/// @brief Serves callers' requests by forwarding them to upstreams.
///
/// A request is retried only if its kind, the outcomes of its attempts so far, its deadline and the retry
/// budget shared by the daemons allow it. Only responses that carry the upstream's signature are relayed. A
/// stream that breaks fails over to another upstream without missing or repeated events.
class Forwarder {
public:
  explicit Forwarder(ForwarderDependencies Dependencies) : m_Dependencies(std::move(Dependencies)) {}

  /// @brief Serves one request.
  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);

private:
  ForwarderDependencies m_Dependencies;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_FORWARDER_H
