#include "bulrushpitch/daemon/gateway_daemon.h"

#include "bulrushpitch/adapter/messages.h"
#include "bulrushpitch/adapter/table_store.h"
#include "bulrushpitch/gateway/control_service.h"
#include "bulrushpitch/gateway/endpoint.h"
#include "bulrushpitch/gateway/entry_service.h"
#include "bulrushpitch/rpc/rpc.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The balancer takes a daemon out of rotation after two failed readiness checks, one per second, and then
/// opens no new connections.
constexpr Duration DrainAcceptTime = milliseconds(2600);
/// Between the end of the drain and the end of the grace period, when the process is killed.
constexpr Duration KillMargin = milliseconds(500);
/// Kept at the end for the write that hands over to the next process.
constexpr Duration HandOverTime = milliseconds(500);
constexpr Duration DrainCheckInterval = milliseconds(50);
constexpr Duration SampleInterval = std::chrono::seconds(5);
/// A link that carries a large configuration to some thirty daemons within a few hundred milliseconds.
constexpr double MinRelayLinkMbps = 100.0;
/// Limit on request log lines; further ones are counted and dropped.
constexpr double MaxLogLinesPerSecond = 60.0;

} // namespace

class GatewayDaemon::Impl {
public:
  Impl(asio::io_context &Context, GatewaySettings Loaded)
      : m_Context(Context), m_Settings(std::move(Loaded)), m_Clock(systemClock()),
        m_Log(m_Clock, systemWallClock(), standardOutput(), MaxLogLinesPerSecond), m_Metrics(m_Clock),
        m_Translation(platformMessageTranslation(systemWallClock())),
        m_UpstreamClient(Context, "call upstream"),
        m_Store(Context, endpointOf(m_Settings.m_Store), m_Clock,
                [this](std::string_view Key, const Error &Cause) { logIgnoredRecord(Key, Cause); }),
        m_State(m_Settings), m_DrainTicker(
                                 Context, [] { return DrainCheckInterval; }, [this] { checkDrained(); }) {
    ForwarderDependencies Dependencies{m_State,   m_Translation, m_UpstreamClient, m_Log,
                                       m_Metrics, m_Clock,       m_Clock()};
    m_Services.add("entry", std::make_shared<EntryService>(Context, m_Settings, Dependencies));
    m_Services.add("control", std::make_shared<ControlService>(Context, controlDependencies()));
  }

  ~Impl() { m_Services.stop(); }

  Result<void> start() {
    m_SampleTicker.start();
    Result<void> Started = m_Services.start();
    if (Started)
      m_Log.add(LogClass::State, "started",
                {{"instance", std::string_view(m_Settings.m_Instance.value())},
                 {"domain", std::string_view(m_Settings.m_Domain.value())}});
    return Started;
  }

  void drain() {
    if (m_DrainStarted)
      return;
    m_DrainStarted = m_Clock();
    m_Log.add(LogClass::State, "stopping", {{"active", static_cast<std::int64_t>(entry().activeRequests())}});
    entry().leaveRotation();
    m_DrainTicker.start();
  }

  void reload(const GatewaySettings &Loaded) {
    m_Log.add(LogClass::State, "settings_changed",
              {{"needs_restart", static_cast<std::int64_t>(!(Loaded == m_Settings))}});
  }

  EntryAddresses addresses() { return entry().addresses(); }
  int exitCode() const { return m_ExitCode; }

private:
  EntryService &entry() {
    return **capture([&] { return m_Services.find<EntryService>("entry"); });
  }
  ControlService &control() {
    return **capture([&] { return m_Services.find<ControlService>("control"); });
  }

  ControlDependencies controlDependencies() {
    return {m_Store,
            m_State,
            m_Log,
            m_Clock,
            systemRandom(),
            [this](const ForwardConfig &Config) { entry().applyLimits(Config.m_Limits); },
            [this](Endpoint Peer, PeerTableWatch Watch, Duration Timeout) {
              return m_PeerClient.watchTables(std::move(Peer), std::move(Watch), Timeout);
            },
            listenForPeers()};
  }

  /// @return how other daemons reach this one; nothing if they can't
  std::optional<DaemonContact> listenForPeers() {
    if (!m_Settings.m_Listen.m_Peers)
      return std::nullopt;
    PeerHandler Handler;
    Handler.m_WatchTables = [this](PeerTableWatch Watch) {
      return control().answerTableWatch(std::move(Watch));
    };
    m_PeerServer.emplace(m_Context, endpointOf(*m_Settings.m_Listen.m_Peers), std::move(Handler));
    const Expected<Done> Started = capture([this] { return m_PeerServer->start(); });
    if (!Started) {
      // The daemon serves requests without it, and others are relayed to by their peers.
      const std::string Text = Started.error().toString();
      m_Log.add(LogClass::State, "peers_not_served", {{"error", std::string_view(Text)}});
      return std::nullopt;
    }
    return DaemonContact{m_PeerServer->address(), m_Settings.m_Region, false,
                         m_Settings.m_LinkMbps >= MinRelayLinkMbps};
  }

  void sampleMetrics() {
    const PlatformCounters Counters = m_Store.counters();
    m_Metrics.gauge("bulrushpitch_store_calls_count", "Calls to the store since the start.")
        .set(static_cast<double>(Counters.m_Reads + Counters.m_Writes));
    m_Metrics.gauge("bulrushpitch_store_failures_count", "Calls to the store that failed or were refused.")
        .set(static_cast<double>(Counters.m_Failures));
    m_Metrics.gauge("bulrushpitch_store_received_bytes", "Bytes received from the store since the start.")
        .set(static_cast<double>(Counters.m_BytesReceived));
    m_Metrics.gauge("bulrushpitch_orders_age_seconds", "Time since the store last confirmed the orders.")
        .set(std::chrono::duration<double>(m_State.ordersAge(m_Clock())).count());
    m_Metrics.gauge("bulrushpitch_store_restores_count", "Restores of the store noticed since the start.")
        .set(static_cast<double>(m_State.m_StoreEras.restores()));
    m_Metrics.gauge("bulrushpitch_upstreams_count", "Upstreams in the registry as known here.")
        .set(static_cast<double>(m_State.m_Pool.size()));
    m_Metrics.gauge("bulrushpitch_quarantined_prompt_parts_count", "Parts of prompts in quarantine.")
        .set(static_cast<double>(m_State.m_PromptQuarantine.quarantined().size()));
    sampleRetryBudgets();
    m_Metrics.gauge("bulrushpitch_log_lines_dropped_count", "Log lines that were left out.")
        .set(static_cast<double>(m_Log.dropped()));
  }

  void sampleRetryBudgets() {
    for (const ServiceRetryUse::value_type &Service : m_State.retryUse(m_Clock())) {
      RetryUse Sum;
      for (const RetryUse &Use : Service.second) {
        Sum.m_Requests += Use.m_Requests;
        Sum.m_Retries += Use.m_Retries;
      }
      const MetricLabels Labels{{"service", Service.first.value()}};
      m_Metrics
          .gauge("bulrushpitch_retry_window_requests_count", "Requests in the retry budget's window.", Labels)
          .set(Sum.m_Requests);
      m_Metrics
          .gauge("bulrushpitch_retry_window_retries_count", "Retries in the retry budget's window.", Labels)
          .set(Sum.m_Retries);
    }
  }

  void checkDrained() {
    const Duration Elapsed = m_Clock() - *m_DrainStarted;
    const Duration Limit = durationOf(m_Settings.m_GracePeriod) - KillMargin;
    if (Elapsed < std::min(DrainAcceptTime, Limit))
      return;
    // What has arrived by now is read before the next check, and then counts as active.
    if (!m_AcceptingEnded) {
      m_AcceptingEnded = true;
      entry().stopAccepting();
      return;
    }
    const std::size_t Active = entry().activeRequests();
    const bool Ends = Active == 0 || Elapsed >= Limit - HandOverTime;
    if (Ends && !std::exchange(m_HandOverStarted, true))
      control().handOver([this] { m_HandedOver = true; });
    if ((Active > 0 || !m_HandedOver) && Elapsed < Limit)
      return;
    const std::size_t Answered = entry().answerUnanswered();
    m_Log.add(LogClass::State, "stopped",
              {{"cut_requests", static_cast<std::int64_t>(Active - Answered)},
               {"failed_requests", static_cast<std::int64_t>(Answered)}});
    m_Log.flush();
    m_ExitCode = 0;
    m_DrainTicker.stop();
    m_Context.stop();
  }

  void logIgnoredRecord(std::string_view Key, const Error &Cause) {
    const std::string Text = Cause.toString();
    m_Log.add(LogClass::State, "record_ignored", {{"key", Key}, {"why", std::string_view(Text)}});
  }

  asio::io_context &m_Context;
  GatewaySettings m_Settings;
  ClockHook m_Clock;
  EventLog m_Log;
  Metrics m_Metrics;
  MessageTranslation m_Translation;
  HttpClient m_UpstreamClient;
  TableStore m_Store;
  GatewayState m_State;
  Ticker m_DrainTicker;
  Ticker m_SampleTicker{m_Context, [] { return SampleInterval; }, [this] { sampleMetrics(); }};
  std::optional<TimePoint> m_DrainStarted;
  bool m_AcceptingEnded = false;
  bool m_HandOverStarted = false;
  bool m_HandedOver = false;
  int m_ExitCode = 1;
  PeerClient m_PeerClient{m_Context};
  std::optional<PeerServer> m_PeerServer;
  Kernel m_Services;
};

GatewayDaemon::GatewayDaemon(asio::io_context &Context, GatewaySettings Loaded)
    : m_Impl(std::make_unique<Impl>(Context, std::move(Loaded))) {}
GatewayDaemon::~GatewayDaemon() = default;
Result<void> GatewayDaemon::start() { return m_Impl->start(); }
void GatewayDaemon::drain() { m_Impl->drain(); }
void GatewayDaemon::reload(const GatewaySettings &Loaded) { m_Impl->reload(Loaded); }
EntryAddresses GatewayDaemon::addresses() const { return m_Impl->addresses(); }
int GatewayDaemon::exitCode() const { return m_Impl->exitCode(); }

} // namespace bulrushpitch
