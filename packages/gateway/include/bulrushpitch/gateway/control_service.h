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
#include <optional>

namespace bulrushpitch {

/// @brief Dependencies of the control service.
struct ControlDependencies {
  /// Called after each configuration change.
  using ConfigHook = std::function<void(const ForwardConfig &)>;

  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  RandomHook m_Random;
  ConfigHook m_OnConfig;
  TableWatchHook m_WatchTables; ///< Asks another daemon. Empty: all tables come from the store.
  /// How other daemons reach this one; nothing if they can't. m_NearStore is set by the service.
  std::optional<DaemonContact> m_Contact;
};

/// @brief Synchronizes the gateway's state with the store: configuration, registry, rollouts, daemon
/// membership.
///
/// Each table is read once and then watched by long polls. While the store is unavailable the state stays
/// unchanged; registry entries that disappear during the outage get a grace period after it to be written
/// again.
class ControlService : public Service {
public:
  ControlService(boost::asio::io_context &Context, ControlDependencies Dependencies);
  ~ControlService() override;

  Result<void> start() override;
  void stop() override;

  /// @brief Ends retries, and writes what the next process under this daemon's id must know of this one.
  /// @param OnDone called once, when that is written or has failed
  void handOver(std::function<void()> OnDone);
  /// @brief Answers a daemon that follows this one.
  /// @return error 602 if no table is known yet
  boost::asio::awaitable<Expected<PeerTableNewsList>> answerTableWatch(PeerTableWatch Watch);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_CONTROL_SERVICE_H
