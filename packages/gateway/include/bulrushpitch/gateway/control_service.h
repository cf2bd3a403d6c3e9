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

/// @brief Keeps the gateway's state as the store has it: configuration, registry, roll-outs, daemons.
///
/// Each table is read once and then watched. While the store is away the state stays as it was; entries of
/// the registry that vanish while it is away are given time to come back after its return.
class ControlService : public Service {
public:
  /// Called after each change of the configuration.
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
