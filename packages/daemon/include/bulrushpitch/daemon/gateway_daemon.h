#ifndef BULRUSHPITCH_DAEMON_GATEWAY_DAEMON_H
#define BULRUSHPITCH_DAEMON_GATEWAY_DAEMON_H

#include "bulrushpitch/config/gateway_settings.h"
#include "bulrushpitch/core/error.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bulrushpitch {

/// @brief A daemon that forwards requests, with its configuration, registry and duties in the platform's
/// store.
class GatewayDaemon {
public:
  /// @param Context the loop; one thread runs it
  GatewayDaemon(boost::asio::io_context &Context, GatewaySettings Read);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// @brief Starts all services and listens.
  Result<void> start();
  /// @brief Begins the graceful stop; the loop is stopped at its end.
  void drain();
  /// @brief Notes that the settings file has changed. Addresses and place stay as they are until a restart.
  void reload(const GatewaySettings &Read);
  /// @return the exit code of the process: 0 after a graceful stop
  int exitCode() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_GATEWAY_DAEMON_H
