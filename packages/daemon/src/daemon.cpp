#include "bulrushpitch/daemon/daemon.h"

#include "bulrushpitch/daemon/operator_api.h"
#include "bulrushpitch/gateway/endpoint.h"
#include "bulrushpitch/platform/http_platform.h"

#include <glog/logging.h>

namespace bulrushpitch {

namespace {

/// Shorter than a lease's renewal interval, so that a lost response leaves time for a retry.
constexpr Duration TableTimeout = std::chrono::milliseconds(1500);
constexpr Duration ObjectTimeout = std::chrono::seconds(5);
constexpr Duration InstanceListTimeout = std::chrono::milliseconds(900);
constexpr Duration RatingTimeout = std::chrono::seconds(2);

} // namespace

class Daemon::Impl {
public:
  Impl(boost::asio::io_context &Context, Settings Loaded)
      : m_Context(Context), m_Settings(std::move(Loaded)), m_Runtime{Context, m_Settings, systemClock(),
                                                                     systemWallClock(), systemRandom()},
        m_Events(m_Settings.m_Instance, m_Runtime.m_Clock, m_Runtime.m_WallClock, recorderLimits()),
        m_Metrics(m_Runtime.m_Clock), m_ExplainLog(m_Runtime),
        m_TableService(Context, endpointOf(m_Settings.m_Platform.m_Table), TableTimeout),
        m_ObjectStore(Context, endpointOf(m_Settings.m_Platform.m_ObjectStore), ObjectTimeout),
        m_InstanceList(Context, endpointOf(m_Settings.m_Platform.m_InstanceList), InstanceListTimeout),
        m_RatingService(Context, endpointOf(m_Settings.m_Platform.m_Rating), RatingTimeout),
        m_TableExecutor(std::make_shared<TableExecutor>(m_Runtime, m_TableService)),
        m_UpstreamClient(Context, "call upstream"), m_LoadClient(Context, "read load report"),
        m_EngineClient(m_UpstreamClient), m_PeerClient(Context) {
    addServices();
    connectDrain();
  }

  Result<void> start() {
    Result<void> Started = m_Services.start();
    if (!Started)
      return Started;
    TimelineEvent Event;
    Event.m_Kind = EventKind::ProcessStarted;
    Event.m_Domain = m_Settings.m_Domain;
    m_Events.record(std::move(Event));
    LOG(INFO) << "step=start instance=" << m_Settings.m_Instance << " domain=" << m_Settings.m_Domain
              << " callers=" << m_Settings.m_Listen.m_Callers.toString();
    return {};
  }

  void drain() { service<DrainService>("drain").drain(std::nullopt); }
  int exitCode() const { return m_ExitCode; }
  void stop() { m_Services.stop(); }

private:
  RecorderLimits recorderLimits() const {
    RecorderLimits Limits;
    Limits.m_MaxEvents = m_Settings.m_TimelineCapacity;
    return Limits;
  }

  /// Returns a service by the name that addServices() gave it; a missing one is a programming error.
  template <typename T> T &service(std::string_view Name) {
    return **capture([&] { return m_Services.find<T>(Name); });
  }

  Distribution &durationMetric(const std::string &Name, const std::string &Help) {
    return m_Metrics.distribution(Name, Help);
  }

  void addServices() {
    m_Services.add("drain", std::make_shared<DrainService>(m_Runtime, m_Events));
    m_Services.add("cluster", std::make_shared<ClusterService>(m_Runtime, m_TableService, m_ObjectStore,
                                                               m_InstanceList, m_PeerClient, m_Events));
    ClusterService &Cluster = service<ClusterService>("cluster");
    m_Services.add("routing", std::make_shared<RoutingService>(m_Runtime, Cluster, m_LoadClient));
    RoutingService &Routing = service<RoutingService>("routing");
    m_Services.add("permits", std::make_shared<PermitService>(m_Runtime, Cluster, Routing, m_PeerClient,
                                                              m_EngineClient, m_TableExecutor, m_Events));
    m_Services.add("claims", std::make_shared<ClaimService>(m_Runtime, m_TableExecutor));
    m_Services.add("billing", std::make_shared<BillingService>(m_Runtime, Cluster, m_PeerClient,
                                                               m_TableExecutor, m_Events));
    m_Services.add("sessions", std::make_shared<SessionService>(m_Runtime, m_TableExecutor));
    m_Services.add("publication",
                   std::make_shared<PublicationService>(m_Runtime, Cluster, m_TableService, m_ObjectStore,
                                                        m_TableExecutor, m_Events));
    PermitService &Permits = service<PermitService>("permits");
    BillingService &Billing = service<BillingService>("billing");
    SessionService &Sessions = service<SessionService>("sessions");
    m_Services.add("models",
                   std::make_shared<ModelService>(
                       m_Runtime, ModelServiceDependencies{
                                      Cluster, Routing, Permits, Billing, Sessions, m_EngineClient,
                                      m_RatingService, m_ExplainLog, m_Events,
                                      durationMetric("bulrushpitch_first_text_seconds",
                                                     "From a model request to its first released text"),
                                      durationMetric("bulrushpitch_model_request_seconds",
                                                     "From a model request to the end of its answer")}));
    ModelService &Models = service<ModelService>("models");
    m_Services.add("calls",
                   std::make_shared<CallService>(
                       m_Runtime, CallServiceDependencies{
                                      Cluster, Routing, Permits, Billing, service<ClaimService>("claims"),
                                      Models, m_UpstreamClient, m_ExplainLog, m_Events,
                                      durationMetric("bulrushpitch_service_call_seconds",
                                                     "From a service call to its answer")}));
    m_Services.add("peers", std::make_shared<PeerService>(m_Runtime, Cluster, Permits, Billing, m_Events));
    addListeners();
  }

  void addListeners() {
    DrainService &Drain = service<DrainService>("drain");
    ClusterService &Cluster = service<ClusterService>("cluster");
    BillingService &Billing = service<BillingService>("billing");
    CallerApi::DrainHooks Hooks;
    Hooks.m_AcceptsNewRequests = [&Drain] { return Drain.acceptsNewRequests(); };
    Hooks.m_IsReady = [&Drain] { return Drain.ready(); };
    m_Services.add("callers", std::make_shared<CallerApi>(
                                  m_Runtime, Cluster, Billing, service<ModelService>("models"),
                                  service<CallService>("calls"), service<SessionService>("sessions"),
                                  std::move(Hooks), m_Events));
    m_Services.add(
        "operators",
        std::make_shared<OperatorApi>(
            m_Runtime, OperatorDependencies{
                           Cluster, service<RoutingService>("routing"), service<PermitService>("permits"),
                           Billing, service<PublicationService>("publication"), Drain,
                           service<CallerApi>("callers"), service<PeerService>("peers"), m_PeerClient,
                           m_TableService, m_TableExecutor, m_ExplainLog, m_Events, m_Metrics}));
  }

  void connectDrain() {
    DrainService::Hooks Hooks;
    CallerApi &Callers = service<CallerApi>("callers");
    BillingService &Billing = service<BillingService>("billing");
    ModelService &Models = service<ModelService>("models");
    PermitService &Permits = service<PermitService>("permits");
    ClusterService &Cluster = service<ClusterService>("cluster");
    Hooks.m_ActiveRequests = [&Callers] { return Callers.activeRequests(); };
    Hooks.m_UnreplicatedCharges = [&Billing] { return Billing.ledger().unreplicatedCount(); };
    Hooks.m_UnconfirmedCharges = [&Billing] { return Billing.ledger().unstoredCount(); };
    Hooks.m_EndStreams = [&Models] { Models.interruptAll(); };
    Hooks.m_ReleaseLeases = [&Permits] { Permits.releaseAll(); };
    Hooks.m_HandOverCharges = [&Billing] { Billing.handOver(); };
    Hooks.m_AnnounceLeaving = [&Cluster] { Cluster.announceLeaving(); };
    Hooks.m_Exit = [this](int Code) {
      m_ExitCode = Code;
      m_Context.stop();
    };
    service<DrainService>("drain").setHooks(std::move(Hooks));
  }

  boost::asio::io_context &m_Context;
  Settings m_Settings;
  Runtime m_Runtime;
  Recorder m_Events;
  Metrics m_Metrics;
  ExplainLog m_ExplainLog;
  HttpTableService m_TableService;
  HttpObjectStore m_ObjectStore;
  HttpInstanceList m_InstanceList;
  HttpRatingService m_RatingService;
  std::shared_ptr<TableExecutor> m_TableExecutor;
  HttpClient m_UpstreamClient;
  HttpClient m_LoadClient;
  EngineClient m_EngineClient;
  PeerClient m_PeerClient;
  Kernel m_Services;
  int m_ExitCode = 1;
};

Daemon::Daemon(boost::asio::io_context &Context, Settings Loaded)
    : m_Impl(std::make_unique<Impl>(Context, std::move(Loaded))) {}
Daemon::~Daemon() { m_Impl->stop(); }
Result<void> Daemon::start() { return m_Impl->start(); }
void Daemon::drain() { m_Impl->drain(); }
int Daemon::exitCode() const { return m_Impl->exitCode(); }

} // namespace bulrushpitch
