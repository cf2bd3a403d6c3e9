#ifndef BULRUSHPITCH_DAEMON_DRAIN_SERVICE_H
#define BULRUSHPITCH_DAEMON_DRAIN_SERVICE_H

#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/protocol/drain_machine.h"
#include "bulrushpitch/timeline/recorder.h"

#include <functional>
#include <optional>

namespace bulrushpitch {

/// @brief Drains the daemon: runs its graceful stop.
class DrainService : public Service {
public:
  /// Queries and actions of the other services that the stop needs.
  struct Hooks {
    std::function<std::size_t()> m_ActiveRequests;      ///< Requests in progress.
    std::function<std::size_t()> m_UnreplicatedCharges; ///< Neither in the store nor copied to a peer.
    std::function<std::size_t()> m_UnconfirmedCharges;  ///< Not confirmed by the store.
    std::function<void()> m_EndStreams;
    std::function<void()> m_ReleaseLeases;
    std::function<void()> m_HandOverCharges;
    std::function<void()> m_AnnounceLeaving;
    std::function<void(int)> m_Exit; ///< Called once, at the end, with the exit code.
  };

  DrainService(const Runtime &Base, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @brief Sets the hooks. Must be called before start().
  void setHooks(Hooks NewHooks) { m_Hooks = std::move(NewHooks); }
  /// @brief Begins the graceful stop. Further calls have no effect.
  /// @param RequestTimeout for requests in progress; the setting drain_deadline if absent
  void drain(std::optional<Duration> RequestTimeout);

  bool acceptsNewRequests() const { return m_Machine.acceptsNewRequests(); }
  bool ready() const { return m_Machine.isReady(); }
  bool draining() const { return m_Machine.state() != DrainState::Serving; }

private:
  void run(const DrainActions &Actions);
  void execute(const DrainAction &Action);
  void tick();

  Runtime m_Runtime;
  Recorder &m_Events;
  DrainMachine m_Machine;
  Hooks m_Hooks;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_DRAIN_SERVICE_H
