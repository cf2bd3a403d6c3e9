#include "bulrushpitch/daemon/drain_service.h"

#include <glog/logging.h>

#include <variant>

namespace bulrushpitch {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// Time to deliver the last messages to peers and the last bytes to callers before the exit.
constexpr Duration FlushTime = std::chrono::milliseconds(200);

DrainSettings settingsFrom(const Settings &Loaded, std::optional<Duration> RequestTimeout) {
  DrainSettings Drain;
  Drain.m_BalancerDelay = Loaded.m_BalancerDelay;
  Drain.m_RequestTimeout = RequestTimeout.value_or(Loaded.m_DrainDeadline);
  return Drain;
}

} // namespace

DrainService::DrainService(const Runtime &Base, Recorder &Events)
    : m_Runtime(Base), m_Events(Events), m_Machine(settingsFrom(Base.m_Settings, std::nullopt)),
      m_Tick(
          Base.m_Context, [] { return TickInterval; }, [this] { tick(); }) {}

Result<void> DrainService::start() { return {}; }

void DrainService::stop() { m_Tick.stop(); }

void DrainService::drain(std::optional<Duration> RequestTimeout) {
  if (draining())
    return;
  LOG(INFO) << "step=drain state=started";
  TimelineEvent Event;
  Event.m_Kind = EventKind::DrainStarted;
  m_Events.record(std::move(Event));
  m_Machine = DrainMachine(settingsFrom(m_Runtime.m_Settings, RequestTimeout));
  run(m_Machine.stop(m_Runtime.m_Clock()));
  m_Tick.start();
}

void DrainService::tick() {
  run(m_Machine.tick(m_Runtime.m_Clock(), m_Hooks.m_ActiveRequests(), m_Hooks.m_UnreplicatedCharges(),
                     m_Hooks.m_UnconfirmedCharges()));
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
        std::make_shared<boost::asio::steady_timer>(m_Runtime.m_Context, FlushTime);
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
