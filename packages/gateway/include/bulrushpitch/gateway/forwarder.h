#ifndef BULRUSHPITCH_GATEWAY_FORWARDER_H
#define BULRUSHPITCH_GATEWAY_FORWARDER_H

#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/gateway_state.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/metrics/metrics.h"
#include "bulrushpitch/net/http_client.h"
#include "bulrushpitch/net/http_server.h"

namespace bulrushpitch {

/// @brief What the forwarder works with.
struct ForwarderParts {
  GatewayState &m_State;
  const MessageTranslation &m_Translation;
  HttpClient &m_Upstreams;
  EventLog &m_Log;
  Metrics &m_Metrics;
  ClockHook m_Clock;
  TimePoint m_StartedAt; ///< Of this daemon.
};

/// @brief Answers callers' requests by sending them to upstreams.
///
/// A request is repeated only if its kind, the outcome of the attempts so far, its deadline and the shared
/// budget allow it. An answer reaches the caller only from an upstream that vouches for it, and a stream goes
/// on at another upstream after a break without a gap or a repeated event.
class Forwarder {
public:
  explicit Forwarder(ForwarderParts Parts) : m_Parts(std::move(Parts)) {}

  /// @brief Answers one request.
  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);

private:
  ForwarderParts m_Parts;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_FORWARDER_H
