#include "bulrushpitch/daemon/drain_service.h"

#include <glog/logging.h>

#include <variant>

namespace bulrushpitch {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// Time for the last message to peers and for the last bytes to callers.
constexpr Duration AnnounceTime = std::chrono::milliseconds(200);

DrainSettings settingsFrom(const Settings &Read, std::optional<Duration> Deadline) {
  DrainSettings Used;
  Used.m_BalancerDelay = Read.m_BalancerDelay;
  Used.m_Deadline = Deadline.value_or(Read.m_DrainDeadline);
  return Used;
}

} // namespace

DrainService::DrainService(const Runtime &Base, Recorder &Events)
    : m_Runtime(Base), m_Events(Events), m_Machine(settingsFrom(Base.m_Settings, std::nullopt)),
      m_Tick(
          Base.m_Context, [] { return TickInterval; }, [this] { tick(); }) {}

Result<void> DrainService::start() { return {}; }

void DrainService::stop() { m_Tick.stop(); }

void DrainService::drain(std::optional<Duration> Deadline) {
  if (draining())
    return;
  LOG(INFO) << "step=drain state=started";
  TimelineEvent Event;
  Event.m_Kind = EventKind::DrainStarted;
  m_Events.record(std::move(Event));
  m_Machine = DrainMachine(settingsFrom(m_Runtime.m_Settings, Deadline));
  run(m_Machine.stop(m_Runtime.m_Clock()));
  m_Tick.start();
}

void DrainService::tick() {
  run(m_Machine.tick(m_Runtime.m_Clock(), m_Hooks.m_Running(), m_Hooks.m_UnsafeCharges(),
                     m_Hooks.m_WaitingCharges()));
}

void DrainService::run(const DrainActions &Actions) {
  for (const DrainAction &Action : Actions)
    execute(Action);
}

void DrainService::execute(const DrainAction &Action) {
  if (std::holds_alternative<EndStreams>(Action)) {
    m_Hooks.m_EndStreams();
  } else if (std::holds_alternative<ReleaseLeases>(Action)) {
    m_Hooks.m_ReleaseLeases();
  } else if (std::holds_alternative<HandOverCharges>(Action)) {
    m_Hooks.m_HandOverCharges();
  } else if (std::holds_alternative<AnnounceLeaving>(Action)) {
    m_Hooks.m_AnnounceLeaving();
    const std::shared_ptr<boost::asio::steady_timer> Timer =
        std::make_shared<boost::asio::steady_timer>(m_Runtime.m_Context, AnnounceTime);
    Timer->async_wait([this, Timer](boost::system::error_code Code) {
      if (!Code)
        run(m_Machine.announced(m_Runtime.m_Clock()));
    });
  } else if (const ExitProcess *Exit = std::get_if<ExitProcess>(&Action)) {
    LOG(INFO) << "step=drain state=finished exit_code=" << Exit->m_Code;
    m_Tick.stop();
    m_Hooks.m_Exit(Exit->m_Code);
  }
}

} // namespace bulrushpitch
