#ifndef BULRUSHPITCH_DAEMON_GATEWAY_DAEMON_H
#define BULRUSHPITCH_DAEMON_GATEWAY_DAEMON_H

#include "bulrushpitch/config/gateway_settings.h"
#include "bulrushpitch/core/error.h"
#include "bulrushpitch/gateway/entry_service.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bulrushpitch {

/// @brief A daemon that forwards requests and shares configuration, upstream registry and rollout state with
/// the other daemons through the platform's store.
class GatewayDaemon {
public:
  /// @param Context the event loop, run by a single thread
  GatewayDaemon(boost::asio::io_context &Context, GatewaySettings Loaded);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// @brief Starts all services and their listeners.
  Result<void> start();
  /// @brief Begins the graceful stop; stops the event loop when it is complete.
  void drain();
  /// @brief Logs that the settings file has changed and whether that needs a restart. Addresses, failure
  /// domain and region stay as they are until then.
  void reload(const GatewaySettings &Loaded);
  /// @return where the daemon listens; the ports are the real ones where the settings ask for 0
  EntryAddresses addresses() const;
  /// @return the exit code of the process: 0 after a graceful stop
  int exitCode() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_GATEWAY_DAEMON_H
