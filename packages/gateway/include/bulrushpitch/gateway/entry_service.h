#ifndef BULRUSHPITCH_GATEWAY_ENTRY_SERVICE_H
#define BULRUSHPITCH_GATEWAY_ENTRY_SERVICE_H

#include "bulrushpitch/config/gateway_settings.h"
#include "bulrushpitch/gateway/forwarder.h"
#include "bulrushpitch/kernel/kernel.h"

#include <boost/asio/io_context.hpp>

namespace bulrushpitch {

/// @brief The gateway's listeners: callers, readiness, metrics.
class EntryService : public Service {
public:
  EntryService(boost::asio::io_context &Context, const GatewaySettings &Read, ForwarderParts Parts);

  Result<void> start() override;
  void stop() override;

  /// @brief Takes the operators' limits on callers, for requests from now on.
  void applyLimits(const CallerLimits &Limits);
  /// @brief Says not ready from now on, and ends each connection after its next answer.
  void leaveRotation();
  /// @brief Accepts no more and closes idle connections.
  void stopAccepting() { m_Callers.stopAccepting(); }
  /// @return requests being answered now
  std::size_t activeRequests() const { return m_Callers.activeRequests(); }

private:
  boost::asio::awaitable<void> answerReadiness(ResponseWriter &Writer);
  boost::asio::awaitable<void> answerMetrics(ResponseWriter &Writer);

  ForwarderParts m_Parts;
  Forwarder m_Forwarder;
  HttpServer m_Callers;
  HttpServer m_Readiness;
  std::optional<HttpServer> m_MetricsPage;
  bool m_Leaving = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_ENTRY_SERVICE_H
