#ifndef BULRUSHPITCH_GATEWAY_ENTRY_SERVICE_H
#define BULRUSHPITCH_GATEWAY_ENTRY_SERVICE_H

#include "bulrushpitch/config/gateway_settings.h"
#include "bulrushpitch/gateway/forwarder.h"
#include "bulrushpitch/kernel/kernel.h"

#include <boost/asio/io_context.hpp>

namespace bulrushpitch {

/// @brief Where a daemon listens.
struct EntryAddresses {
  Endpoint m_Callers;
  Endpoint m_Readiness;
  std::optional<Endpoint> m_Metrics; ///< Empty if there is no such page.
};

/// @brief The gateway's HTTP listeners for callers, readiness checks and metrics.
class EntryService : public Service {
public:
  EntryService(boost::asio::io_context &Context, const GatewaySettings &Settings,
               ForwarderDependencies Dependencies);

  Result<void> start() override;
  void stop() override;

  /// @brief Applies the operators' limits on callers to subsequent requests.
  void applyLimits(const CallerLimits &Limits);
  /// @brief Reports not ready from now on, and closes each caller connection after its next response.
  void leaveRotation();
  /// @brief Stops accepting caller connections and closes idle ones.
  void stopAccepting() { m_Callers.stopAccepting(); }
  /// @brief Answers 502 to the caller requests in progress whose response has not begun.
  /// @return their number
  std::size_t answerUnanswered();
  /// @return the bound addresses; the ports are the real ones where 0 was asked for
  EntryAddresses addresses() const;
  /// @return number of caller requests in progress
  std::size_t activeRequests() const { return m_Callers.activeRequests(); }

private:
  void recordFault(ConnectionFault Fault, const Error &Cause);
  boost::asio::awaitable<void> answerReadiness(ResponseWriter &Writer);
  boost::asio::awaitable<void> answerMetrics(ResponseWriter &Writer);

  ForwarderDependencies m_Dependencies;
  double m_MemoryMb; ///< Of this machine, MiB.
  Forwarder m_Forwarder;
  HttpServer m_Callers;
  HttpServer m_Readiness;
  std::optional<HttpServer> m_MetricsPage;
  bool m_Leaving = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_ENTRY_SERVICE_H
