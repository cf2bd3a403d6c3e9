#include "bulrushpitch/daemon/daemon.h"

#include "bulrushpitch/daemon/operator_api.h"
#include "bulrushpitch/gateway/endpoint.h"
#include "bulrushpitch/platform/http_platform.h"

#include <glog/logging.h>

namespace bulrushpitch {

namespace {

/// Shorter than a lease's renewal interval, so that a lost answer leaves time for another try.
constexpr Duration TableTimeout = std::chrono::milliseconds(1500);
constexpr Duration ObjectTimeout = std::chrono::seconds(5);
constexpr Duration ListTimeout = std::chrono::milliseconds(900);
constexpr Duration RatingTimeout = std::chrono::seconds(2);

} // namespace

class Daemon::Impl {
public:
  Impl(boost::asio::io_context &Context, Settings Read)
      : m_Context(Context), m_Settings(std::move(Read)), m_Runtime{Context, m_Settings, systemClock(),
                                                                   systemWallClock(), systemRandom()},
        m_Events(m_Settings.m_Instance, m_Runtime.m_Clock, m_Runtime.m_WallClock, recorderLimits()),
        m_Metrics(m_Runtime.m_Clock), m_Explain(m_Runtime),
        m_Rows(Context, endpointOf(m_Settings.m_Platform.m_Table), TableTimeout),
        m_Objects(Context, endpointOf(m_Settings.m_Platform.m_ObjectStore), ObjectTimeout),
        m_Instances(Context, endpointOf(m_Settings.m_Platform.m_InstanceList), ListTimeout),
        m_Ratings(Context, endpointOf(m_Settings.m_Platform.m_Rating), RatingTimeout),
        m_Table(std::make_shared<TableExecutor>(m_Runtime, m_Rows)),
        m_UpstreamClient(Context, "call upstream"), m_LoadClient(Context, "read load report"),
        m_Engines(m_UpstreamClient), m_Peers(Context) {
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

  void drain() { need<DrainService>("drain").drain(std::nullopt); }
  int exitCode() const { return m_ExitCode; }
  void stop() { m_Services.stop(); }

private:
  RecorderLimits recorderLimits() const {
    RecorderLimits Limits;
    Limits.m_MaxEvents = m_Settings.m_TimelineCapacity;
    return Limits;
  }

  /// The names are fixed in addServices(), so a missing one is a defect.
  template <typename T> T &need(std::string_view Name) {
    return **capture([&] { return m_Services.find<T>(Name); });
  }

  Distribution &duration(const std::string &Name, const std::string &Help) {
    return m_Metrics.distribution(Name, Help);
  }

  void addServices() {
    m_Services.add("drain", std::make_shared<DrainService>(m_Runtime, m_Events));
    m_Services.add("cluster", std::make_shared<ClusterService>(m_Runtime, m_Rows, m_Objects, m_Instances,
                                                               m_Peers, m_Events));
    ClusterService &Cluster = need<ClusterService>("cluster");
    m_Services.add("routing", std::make_shared<RoutingService>(m_Runtime, Cluster, m_LoadClient));
    RoutingService &Routing = need<RoutingService>("routing");
    m_Services.add("permits", std::make_shared<PermitService>(m_Runtime, Cluster, Routing, m_Peers, m_Engines,
                                                              m_Table, m_Events));
    m_Services.add("claims", std::make_shared<ClaimService>(m_Runtime, m_Table));
    m_Services.add("billing",
                   std::make_shared<BillingService>(m_Runtime, Cluster, m_Peers, m_Table, m_Events));
    m_Services.add("sessions", std::make_shared<SessionService>(m_Runtime, m_Table));
    m_Services.add("publication", std::make_shared<PublicationService>(m_Runtime, Cluster, m_Rows, m_Objects,
                                                                       m_Table, m_Events));
    PermitService &Permits = need<PermitService>("permits");
    BillingService &Billing = need<BillingService>("billing");
    SessionService &Sessions = need<SessionService>("sessions");
    m_Services.add("models",
                   std::make_shared<ModelService>(
                       m_Runtime, ModelParts{Cluster, Routing, Permits, Billing, Sessions, m_Engines,
                                             m_Ratings, m_Explain, m_Events,
                                             duration("bulrushpitch_first_text_seconds",
                                                      "From a model request to its first released text"),
                                             duration("bulrushpitch_model_request_seconds",
                                                      "From a model request to the end of its answer")}));
    ModelService &Models = need<ModelService>("models");
    m_Services.add("calls",
                   std::make_shared<CallService>(
                       m_Runtime, CallParts{Cluster, Routing, Permits, Billing, need<ClaimService>("claims"),
                                            Models, m_UpstreamClient, m_Explain, m_Events,
                                            duration("bulrushpitch_service_call_seconds",
                                                     "From a service call to its answer")}));
    m_Services.add("peers", std::make_shared<PeerService>(m_Runtime, Cluster, Permits, Billing, m_Events));
    addListeners();
  }

  void addListeners() {
    DrainService &Drain = need<DrainService>("drain");
    ClusterService &Cluster = need<ClusterService>("cluster");
    BillingService &Billing = need<BillingService>("billing");
    CallerApi::DrainHooks Hooks;
    Hooks.m_AcceptsNew = [&Drain] { return Drain.acceptsNew(); };
    Hooks.m_Ready = [&Drain] { return Drain.ready(); };
    m_Services.add("callers",
                   std::make_shared<CallerApi>(m_Runtime, Cluster, Billing, need<ModelService>("models"),
                                               need<CallService>("calls"), need<SessionService>("sessions"),
                                               std::move(Hooks), m_Events));
    m_Services.add(
        "operators",
        std::make_shared<OperatorApi>(
            m_Runtime, OperatorParts{Cluster, need<RoutingService>("routing"), need<PermitService>("permits"),
                                     Billing, need<PublicationService>("publication"), Drain,
                                     need<CallerApi>("callers"), need<PeerService>("peers"), m_Peers, m_Rows,
                                     m_Table, m_Explain, m_Events, m_Metrics}));
  }

  void connectDrain() {
    DrainService::Hooks Hooks;
    CallerApi &Callers = need<CallerApi>("callers");
    BillingService &Billing = need<BillingService>("billing");
    ModelService &Models = need<ModelService>("models");
    PermitService &Permits = need<PermitService>("permits");
    ClusterService &Cluster = need<ClusterService>("cluster");
    Hooks.m_Running = [&Callers] { return Callers.active(); };
    Hooks.m_UnsafeCharges = [&Billing] { return Billing.ledger().unsafe(); };
    Hooks.m_WaitingCharges = [&Billing] { return Billing.ledger().waiting(); };
    Hooks.m_EndStreams = [&Models] { Models.interruptAll(); };
    Hooks.m_ReleaseLeases = [&Permits] { Permits.releaseAll(); };
    Hooks.m_HandOverCharges = [&Billing] { Billing.handOver(); };
    Hooks.m_AnnounceLeaving = [&Cluster] { Cluster.announceLeaving(); };
    Hooks.m_Exit = [this](int Code) {
      m_ExitCode = Code;
      m_Context.stop();
    };
    need<DrainService>("drain").setHooks(std::move(Hooks));
  }

  boost::asio::io_context &m_Context;
  Settings m_Settings;
  Runtime m_Runtime;
  Recorder m_Events;
  Metrics m_Metrics;
  ExplainLog m_Explain;
  HttpTableService m_Rows;
  HttpObjectStore m_Objects;
  HttpInstanceList m_Instances;
  HttpRatingService m_Ratings;
  std::shared_ptr<TableExecutor> m_Table;
  HttpClient m_UpstreamClient;
  HttpClient m_LoadClient;
  EngineClient m_Engines;
  PeerClient m_Peers;
  Kernel m_Services;
  int m_ExitCode = 1;
};

Daemon::Daemon(boost::asio::io_context &Context, Settings Read)
    : m_Impl(std::make_unique<Impl>(Context, std::move(Read))) {}
Daemon::~Daemon() { m_Impl->stop(); }
Result<void> Daemon::start() { return m_Impl->start(); }
void Daemon::drain() { m_Impl->drain(); }
int Daemon::exitCode() const { return m_Impl->exitCode(); }

} // namespace bulrushpitch
