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

/// @brief Carries out the graceful stop of the daemon.
class DrainService : public Service {
public:
  /// What the stop does to the other services.
  struct Hooks {
    std::function<std::size_t()> m_Running;       ///< Requests being answered.
    std::function<std::size_t()> m_UnsafeCharges; ///< Neither in the store nor copied.
    std::function<std::size_t()> m_WaitingCharges;
    std::function<void()> m_EndStreams;
    std::function<void()> m_ReleaseLeases;
    std::function<void()> m_HandOverCharges;
    std::function<void()> m_AnnounceLeaving;
    std::function<void(int)> m_Exit; ///< Called once, at the end.
  };

  DrainService(const Runtime &Base, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @brief Sets the hooks; to be called before start().
  void setHooks(Hooks Set) { m_Hooks = std::move(Set); }
  /// @brief Begins the stop. A second call changes nothing.
  /// @param Deadline for running requests; the setting if absent
  void drain(std::optional<Duration> Deadline);

  bool acceptsNew() const { return m_Machine.acceptsNew(); }
  bool ready() const { return m_Machine.readyz(); }
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
