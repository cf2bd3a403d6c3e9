#include "bulrushpitch/daemon/routing_service.h"

#include "bulrushpitch/core/hash.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration QueueCheckInterval = std::chrono::milliseconds(20);
/// Limit of a load report.
constexpr std::uint64_t MaxLoadReportBytes = 1ULL * 1024 * 1024;
constexpr Duration PollTimeout = std::chrono::milliseconds(900);
/// With more engines per version, a daemon uses a subset of them, so that load polls and connections stay
/// bounded when there are hundreds of daemons and engines (design 3.13).
constexpr std::size_t MaxEnginesPerVersion = 24;
constexpr std::size_t MaxWokenRequests = 8;
constexpr Duration AssumedTokenInterval = std::chrono::milliseconds(20);
/// A poll costs about 0.04 ms of CPU time at each end. Above this rate, upstreams are polled round-robin,
/// except those of the shards that this daemon owns: their permits depend on recent reports.
constexpr double MaxPollsPerSecond = 25.0;
constexpr Duration UnreachablePeriod = std::chrono::seconds(2);

LoadReport parseReport(const UpstreamId &Id, const std::string &Body, TimePoint Now) {
  const Json Parsed = Json::parse(Body);
  LoadReport Report;
  Report.m_Upstream = Id;
  Report.m_ReceivedAt = Now;
  Report.m_StartId = Parsed.at("startId").get<std::string>();
  Report.m_AgeAtReceipt = std::chrono::milliseconds(Parsed.at("ageMs").get<std::uint32_t>());
  Report.m_Running = Parsed.at("running").get<std::uint32_t>();
  Report.m_Queued = Parsed.at("queued").get<std::uint32_t>();
  Report.m_TokensPerSecond = Parsed.at("tokensPerSecond").get<double>();
  Report.m_Cold = Parsed.at("cold").get<bool>();
  Report.m_Leaving = Parsed.at("leaving").get<bool>();
  return Report;
}

} // namespace

RoutingService::RoutingService(const Runtime &Base, ClusterService &Cluster, HttpClient &Client)
    : m_Runtime(Base), m_Cluster(Cluster), m_Client(Client),
      m_Rollouts([this](const RolloutId &Id, std::string_view Reason) {
        LOG(WARNING) << "step=stop-rollout rollout=" << Id << " reason=\"" << Reason << '"';
        Restriction Stop;
        Stop.m_Id = RestrictionId("stop-rollout." + Id.value() + "." +
                                  std::to_string(m_Cluster.configStore().revision().value()));
        Stop.m_Kind = RestrictionKind::StopRollout;
        Stop.m_Target = Id.value();
        Stop.m_Operator = m_Cluster.self().value();
        Stop.m_Revision = m_Cluster.configStore().revision();
        // The controller calls this hook from within record(), and applying a restriction changes the
        // configuration that record() is working on, so it is applied later.
        boost::asio::post(m_Runtime.m_Context, [this, Stop] { m_Cluster.restrict(Stop); });
      }),
      m_Router(m_Quality, m_Upstreams, m_Rollouts, m_LinkBudget, RouterSettings{Base.m_Settings.m_Region},
               Base.m_Random),
      m_PollTicker(
          Base.m_Context, [this] { return Duration(m_Runtime.m_Settings.m_LoadPollInterval); },
          [this] { pollAll(); }),
      m_QueueTicker(
          Base.m_Context, [] { return QueueCheckInterval; }, [this] { wakeQueuedRequests(); }) {
  m_Cluster.onConfiguration([this](const Configuration &Effective) { configure(Effective); });
  m_Cluster.onInstanceList([this](const std::vector<ListedInstance> &List) { applyInstanceList(List); });
}

Result<void> RoutingService::start() {
  m_PollTicker.start();
  m_QueueTicker.start();
  return {};
}

void RoutingService::stop() {
  m_PollTicker.stop();
  m_QueueTicker.stop();
}

std::set<UpstreamId> RoutingService::chooseSubset(const Configuration &Effective) const {
  std::map<VersionId, std::vector<std::string>> ByVersion;
  std::set<UpstreamId> Chosen;
  for (const std::pair<const UpstreamId, Upstream> &Entry : Effective.m_Upstreams) {
    if (Entry.second.m_Kind == UpstreamKind::Service)
      Chosen.insert(Entry.first);
    for (const VersionId &Served : Entry.second.m_Versions)
      ByVersion[Served].push_back(Entry.first.value());
  }
  for (std::pair<const VersionId, std::vector<std::string>> &Entry : ByVersion) {
    std::vector<std::string> &Names = Entry.second;
    if (Names.size() > MaxEnginesPerVersion) {
      Names = rendezvousOrder(m_Cluster.self().value(), std::move(Names));
      Names.resize(MaxEnginesPerVersion);
    }
    for (const std::string &Name : Names)
      Chosen.insert(UpstreamId(Name));
  }
  return Chosen;
}

void RoutingService::configure(const Configuration &Effective) {
  const TimePoint Now = m_Runtime.m_Clock();
  m_Subset = chooseSubset(Effective);
  m_Addresses.clear();
  for (const std::pair<const UpstreamId, Upstream> &Entry : Effective.m_Upstreams)
    m_Addresses[Entry.first] = Endpoint{Entry.second.m_Address, Entry.second.m_Port};
  if (m_Subset.size() == Effective.m_Upstreams.size()) {
    m_Router.setConfiguration(Effective, Now);
  } else {
    Configuration Reduced = Effective;
    std::erase_if(Reduced.m_Upstreams, [this](const std::pair<const UpstreamId, Upstream> &Entry) {
      return !m_Subset.contains(Entry.first);
    });
    m_Router.setConfiguration(Reduced, Now);
  }
  m_Queue.setConfiguration(Effective);
  m_Retries.setShare(Effective.m_Limits.m_RetryShare);
  m_LinkBudget.setRate(
      Effective.m_Limits.m_LinkBytesPerSecond,
      static_cast<std::uint32_t>(std::max<std::size_t>(1, m_Cluster.membership().liveCount())));
}

void RoutingService::applyInstanceList(const std::vector<ListedInstance> &List) {
  for (const ListedInstance &Entry : List)
    if (Entry.m_Kind == ListedInstance::Kind::Upstream)
      m_Upstreams.setLeaving(UpstreamId(Entry.m_Name), Entry.m_Leaving);
}

void RoutingService::setOwnedUpstreams(const std::set<UpstreamId> &Owned) { m_OwnedUpstreams = Owned; }

void RoutingService::pollAll() {
  std::set<UpstreamId> Targets = m_OwnedUpstreams;
  const double Seconds = secondsOf(m_Runtime.m_Settings.m_LoadPollInterval);
  std::size_t PollCount = std::max<std::size_t>(1, static_cast<std::size_t>(Seconds * MaxPollsPerSecond));
  PollCount = std::min(PollCount, m_Subset.size());
  auto Next = m_Subset.upper_bound(m_LastPolled);
  for (; PollCount > 0; --PollCount, ++Next) {
    if (Next == m_Subset.end())
      Next = m_Subset.begin();
    m_LastPolled = *Next;
    Targets.insert(*Next);
  }
  for (const UpstreamId &Id : Targets) {
    const std::optional<Endpoint> Address = addressOf(Id);
    if (Address && m_PollsInFlight.insert(Id).second)
      spawn(m_Runtime.m_Context, poll(Id, *Address));
  }
}

asio::awaitable<void> RoutingService::poll(UpstreamId Id, Endpoint Address) {
  HttpRequest Request;
  Request.m_Target = "/load";
  Expected<HttpResponse> Response =
      co_await m_Client.exchange(Address, std::move(Request), PollTimeout, MaxLoadReportBytes);
  m_PollsInFlight.erase(Id);
  const TimePoint Now = m_Runtime.m_Clock();
  if (!Response) {
    m_Upstreams.setUnreachable(Id, Now + UnreachablePeriod);
    co_return;
  }
  if (Response->m_Status != 200)
    co_return;
  try {
    const LoadReport Report = parseReport(Id, Response->m_Body, Now);
    m_Upstreams.onReport(Report);
    if (m_ReportHook)
      m_ReportHook(Report);
  } catch (const Json::exception &ParseError) {
    LOG_EVERY_N(WARNING, 100) << "step=read-load-report upstream=" << Id << " error=\"" << ParseError.what()
                              << '"';
  }
}

std::optional<Endpoint> RoutingService::addressOf(const UpstreamId &Id) const {
  const auto Found = m_Addresses.find(Id);
  return Found == m_Addresses.end() ? std::nullopt : std::optional<Endpoint>(Found->second);
}

Expected<RouteDecision> RoutingService::decideService(const ServiceRequest &Request) {
  return m_Router.decideService(Request, m_Runtime.m_Clock());
}

asio::awaitable<Expected<RouteDecision>> RoutingService::decide(const RouteRequest &Request) {
  std::shared_ptr<QueueEntry> Entry;
  while (true) {
    Expected<RouteDecision> Decision = m_Router.decide(Request, m_Runtime.m_Clock());
    if (Decision || Decision.error().m_Code != ErrorCode::Overloaded)
      co_return Decision;
    Expected<std::shared_ptr<QueueEntry>> Queued = enqueue(Request, Entry);
    if (!Queued)
      co_return Queued.error();
    Entry = *Queued;
    const std::uint64_t Ticket = Entry->m_QueuedRequest.m_Ticket;
    m_QueueEntries[Ticket] = Entry;
    const Duration Remaining = Request.m_Deadline - m_Runtime.m_Clock();
    const std::optional<Expected<Done>> Woken = co_await Entry->m_Wakeup.wait(Remaining);
    m_QueueEntries.erase(Ticket);
    if (!Woken) {
      m_Queue.cancel(Ticket);
      co_return Error{ErrorCode::DeadlineUnreachable, "wait for an upstream", "", Ran::No,
                      "no permitted upstream had spare capacity before the deadline"};
    }
    if (!Woken->hasValue())
      co_return Woken->error();
  }
}

Expected<std::shared_ptr<RoutingService::QueueEntry>>
RoutingService::enqueue(const RouteRequest &Request, const std::shared_ptr<QueueEntry> &Previous) {
  const std::shared_ptr<QueueEntry> Next = std::make_shared<QueueEntry>(m_Runtime.m_Context);
  if (Previous) {
    // The request was woken but found no spare capacity: it keeps its position in the queue.
    Next->m_QueuedRequest = Previous->m_QueuedRequest;
    m_Queue.requeue(Next->m_QueuedRequest);
    return Next;
  }
  QueuedRequest &Queued = Next->m_QueuedRequest;
  Queued.m_Request = Request.m_Request;
  Queued.m_Team = Request.m_Team;
  Queued.m_Task = Request.m_Task;
  Queued.m_EngineTime = AssumedTokenInterval * Request.m_ExpectedTokens.value();
  Queued.m_Deadline = Request.m_Deadline;
  Expected<std::uint64_t> Ticket = m_Queue.offer(Queued, m_Runtime.m_Clock());
  if (!Ticket)
    return Ticket.error();
  Queued.m_Ticket = *Ticket;
  return Next;
}

void RoutingService::wakeQueuedRequests() {
  const TimePoint Now = m_Runtime.m_Clock();
  for (const RejectedRequest &Rejected : m_Queue.takeRejected(Now))
    if (const auto Found = m_QueueEntries.find(Rejected.m_Request.m_Ticket); Found != m_QueueEntries.end())
      Found->second->m_Wakeup.set(Rejected.m_Reason);
  // Several requests are woken, since the first may need a version whose upstreams are still at capacity.
  // Those that find no spare capacity keep their positions.
  for (std::size_t Woken = 0; Woken < MaxWokenRequests; ++Woken) {
    const std::optional<QueuedRequest> Next = m_Queue.take(Now);
    if (!Next)
      return;
    if (const auto Found = m_QueueEntries.find(Next->m_Ticket); Found != m_QueueEntries.end())
      Found->second->m_Wakeup.set(Done{});
  }
}

} // namespace bulrushpitch
