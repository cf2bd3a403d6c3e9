#ifndef BULRUSHPITCH_GATEWAY_CONTROL_SERVICE_H
#define BULRUSHPITCH_GATEWAY_CONTROL_SERVICE_H

#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/gateway_state.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bulrushpitch {

/// @brief Synchronizes the gateway's state with the store: configuration, registry, rollouts, daemon
/// membership.
///
/// Each table is read once and then watched by long polls. While the store is unavailable the state stays
/// unchanged; registry entries that disappear during the outage get a grace period after it to be written
/// again.
class ControlService : public Service {
public:
  /// Called after each configuration change.
  using ConfigHook = std::function<void(const ForwardConfig &)>;

  ControlService(boost::asio::io_context &Context, ControlStore &Store, GatewayState &State, EventLog &Log,
                 ClockHook Clock, RandomHook Random, ConfigHook OnConfig);
  ~ControlService() override;

  Result<void> start() override;
  void stop() override;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_CONTROL_SERVICE_H
