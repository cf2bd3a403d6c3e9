#include "bulrushpitch/daemon/permit_service.h"

#include <glog/logging.h>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration CandidateUpdateInterval = std::chrono::seconds(1);
constexpr Duration AcquireTimeout = std::chrono::seconds(2);
constexpr Duration OwnerLookupTimeout = std::chrono::milliseconds(300);
constexpr Duration OwnerLookupInterval = std::chrono::milliseconds(20);
constexpr Duration CancelTimeout = std::chrono::seconds(1);

RampLimits rampLimits(const Upstream &Configured) {
  return RampLimits{Configured.m_ColdLimit, Configured.m_Capacity, Configured.m_WarmUp};
}

} // namespace

PermitService::PermitService(const Runtime &Base, ClusterService &Cluster, RoutingService &Routing,
                             PeerClient &Peers, EngineClient &Engines, std::shared_ptr<TableExecutor> Table,
                             Recorder &Events)
    : m_Runtime(Base), m_Cluster(Cluster), m_Routing(Routing), m_Peers(Peers), m_Engines(Engines),
      m_Table(std::move(Table)), m_Events(Events), m_Leases(Cluster.self(), Cluster.incarnation()),
      m_Owner([this](const UpstreamId &Upstream, TimePoint Now) -> std::optional<FencingNumber> {
        const std::optional<ShardId> Shard = shardFor(Upstream);
        if (!Shard || !m_Leases.mayGrant(*Shard, Now))
          return std::nullopt;
        return m_Leases.heldFencing(*Shard, Now);
      }),
      m_Holder(Cluster.self()), m_Ticker(
                                    Base.m_Context, [] { return TickInterval; }, [this] { tick(); }) {
  m_Cluster.onConfiguration([this](const Configuration &Effective) { configure(Effective); });
  m_Cluster.onPause([this] { run(m_Leases.dropAll(m_Runtime.m_Clock())); });
  m_Routing.onLoadReport([this](const LoadReport &Report) { applyLoadReport(Report); });
}

Result<void> PermitService::start() {
  m_Ticker.start();
  return {};
}

void PermitService::stop() { m_Ticker.stop(); }

std::optional<ShardId> PermitService::shardFor(const UpstreamId &Upstream) const {
  const auto Found = m_ConfiguredUpstreams.find(Upstream);
  if (Found == m_ConfiguredUpstreams.end())
    return std::nullopt;
  return shardOf(Found->second.m_Domain, Upstream);
}

void PermitService::configure(const Configuration &Effective) {
  for (const std::pair<const UpstreamId, Upstream> &Entry : m_ConfiguredUpstreams)
    if (!Effective.m_Upstreams.contains(Entry.first))
      m_Owner.removeUpstream(Entry.first);
  m_ConfiguredUpstreams = Effective.m_Upstreams;
  m_RegionsByDomain.clear();
  for (const std::pair<const DomainId, FailureDomain> &Entry : Effective.m_Domains)
    m_RegionsByDomain[Entry.first] = Entry.second.m_Region;
  for (const std::pair<const UpstreamId, Upstream> &Entry : m_ConfiguredUpstreams)
    m_Owner.configure(Entry.first, rampLimits(Entry.second));
  for (const std::pair<const ShardId, TimePoint> &Entry : m_HeldShards)
    registerOwnedUpstreams(Entry.first, Entry.second);
}

void PermitService::registerOwnedUpstreams(const ShardId &Shard, TimePoint GrantsFrom) {
  for (const std::pair<const UpstreamId, Upstream> &Entry : m_ConfiguredUpstreams)
    if (shardFor(Entry.first) == Shard && !m_Owner.owns(Entry.first))
      m_Owner.addUpstream(Entry.first, rampLimits(Entry.second), GrantsFrom);
  updateOwnedUpstreams();
}

void PermitService::updateOwnedUpstreams() {
  std::set<UpstreamId> Owned;
  for (const std::pair<const UpstreamId, Upstream> &Entry : m_ConfiguredUpstreams)
    if (m_Owner.owns(Entry.first))
      Owned.insert(Entry.first);
  m_Routing.setOwnedUpstreams(Owned);
}

void PermitService::updateCandidates() {
  const TimePoint Now = m_Runtime.m_Clock();
  std::map<DomainId, std::vector<InstanceId>> Live;
  Live[m_Runtime.m_Settings.m_Domain].push_back(m_Cluster.self());
  for (const Member &Peer : m_Cluster.membership().members())
    if (Peer.m_Update.m_State == MemberState::Alive)
      Live[Peer.m_Update.m_Domain].push_back(Peer.m_Update.m_Instance);
  for (const std::pair<const DomainId, RegionId> &Domain : m_RegionsByDomain) {
    if (Domain.second != m_Runtime.m_Settings.m_Region)
      continue;
    std::vector<InstanceId> Candidates = Live[Domain.first];
    if (Candidates.empty()) {
      for (const std::pair<const DomainId, std::vector<InstanceId>> &Other : Live)
        if (const auto Region = m_RegionsByDomain.find(Other.first);
            Region != m_RegionsByDomain.end() && Region->second == Domain.second)
          Candidates.insert(Candidates.end(), Other.second.begin(), Other.second.end());
    }
    for (std::uint32_t Shard = 0; Shard < ShardsPerDomain; ++Shard)
      run(m_Leases.setCandidates(Now, ShardId{Domain.first, Shard}, Candidates));
  }
}

void PermitService::tick() {
  const TimePoint Now = m_Runtime.m_Clock();
  if (!m_Stopping && Now - m_CandidatesUpdatedAt >= CandidateUpdateInterval && !m_Cluster.readinessError()) {
    m_CandidatesUpdatedAt = Now;
    updateCandidates();
  }
  if (!m_Stopping)
    run(m_Leases.tick(Now));
  run(m_Holder.tick(Now));
  for (const CancelStream &Action : m_Owner.tick(Now))
    spawn(m_Runtime.m_Context, cancelAtEngine(Action));
}

void PermitService::applyLoadReport(const LoadReport &Report) {
  if (!m_Owner.owns(Report.m_Upstream))
    return;
  RampReport Ramp;
  Ramp.m_Upstream = Report.m_Upstream;
  Ramp.m_StartId = Report.m_StartId;
  Ramp.m_SampledAt = Report.m_ReceivedAt - Report.m_AgeAtReceipt;
  Ramp.m_Running = Report.m_Running + Report.m_Queued;
  Ramp.m_Cold = Report.m_Cold;
  m_Owner.applyReport(m_Runtime.m_Clock(), Ramp);
}

void PermitService::run(LeaseActions Actions) {
  for (LeaseAction &Action : Actions)
    std::visit([this](auto &Chosen) { execute(std::move(Chosen)); }, Action);
}

void PermitService::execute(CommitRows Action) {
  m_Table->commit(std::move(Action), [this](std::uint64_t Token, const CommitResult &Outcome) {
    run(m_Leases.committed(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void PermitService::execute(ReadRow Action) {
  m_Table->read(std::move(Action), [this](std::uint64_t Token, const ReadResult &Outcome) {
    run(m_Leases.rowRead(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void PermitService::execute(const LeaseAcquired &Action) {
  LOG(INFO) << "step=acquire-lease shard=" << Action.m_Shard.m_Domain << '/' << Action.m_Shard.m_Shard
            << " fencing=" << Action.m_Fencing;
  TimelineEvent Event;
  Event.m_Kind = EventKind::LeaseAcquired;
  Event.m_Domain = Action.m_Shard.m_Domain;
  Event.m_Detail = "shard " + std::to_string(Action.m_Shard.m_Shard) + ", fencing number " +
                   std::to_string(Action.m_Fencing.value());
  m_Events.record(std::move(Event));
  m_HeldShards[Action.m_Shard] = Action.m_GrantsFrom;
  registerOwnedUpstreams(Action.m_Shard, Action.m_GrantsFrom);
}

void PermitService::execute(const LeaseLost &Action) {
  LOG(WARNING) << "step=lose-lease shard=" << Action.m_Shard.m_Domain << '/' << Action.m_Shard.m_Shard;
  TimelineEvent Event;
  Event.m_Kind = EventKind::LeaseLost;
  Event.m_Domain = Action.m_Shard.m_Domain;
  Event.m_Detail = "shard " + std::to_string(Action.m_Shard.m_Shard);
  m_Events.record(std::move(Event));
  m_HeldShards.erase(Action.m_Shard);
  for (const std::pair<const UpstreamId, Upstream> &Entry : m_ConfiguredUpstreams)
    if (shardFor(Entry.first) == Action.m_Shard)
      m_Owner.removeUpstream(Entry.first);
  updateOwnedUpstreams();
}

void PermitService::run(PermitActions Actions) {
  for (PermitAction &Action : Actions)
    std::visit([this](auto &Chosen) { execute(std::move(Chosen)); }, Action);
}

void PermitService::execute(AcquirePermit Action) {
  spawn(m_Runtime.m_Context, requestPermit(std::move(Action.m_Request), false));
}

void PermitService::execute(RenewPermit Action) {
  spawn(m_Runtime.m_Context, requestPermit(std::move(Action.m_Request), true));
}

void PermitService::execute(ReleasePermit Action) {
  spawn(m_Runtime.m_Context, sendRelease(std::move(Action)));
}

void PermitService::execute(const CancelStream &Action) {
  LOG(WARNING) << "step=permit-expired upstream=" << Action.m_Upstream << " attempt=" << Action.m_Attempt;
  if (m_PermitExpiredHook)
    m_PermitExpiredHook(Action.m_Attempt);
}

asio::awaitable<std::optional<InstanceId>> PermitService::ownerOf(UpstreamId Upstream) {
  const std::optional<ShardId> Shard = shardFor(Upstream);
  if (!Shard)
    co_return std::nullopt;
  run(m_Leases.refreshOwner(m_Runtime.m_Clock(), *Shard));
  for (Duration Waited{}; !m_Leases.owner(*Shard) && Waited < OwnerLookupTimeout;
       Waited += OwnerLookupInterval)
    co_await sleepFor(m_Runtime.m_Context, OwnerLookupInterval);
  co_return m_Leases.owner(*Shard);
}

PeerPermit PermitService::makeReply(const PermitReply &Reply, const UpstreamId &Upstream) const {
  PeerPermit Message;
  Message.m_Upstream = Upstream;
  Message.m_Attempt = Reply.m_Attempt;
  Message.m_Granted = Reply.m_Granted;
  Message.m_Fencing = Reply.m_Fencing;
  Message.m_Ttl = std::chrono::duration_cast<std::chrono::milliseconds>(Reply.m_Ttl);
  Message.m_Reason = Reply.m_Reason;
  Message.m_Warm = m_Owner.warm(Upstream, m_Runtime.m_Clock());
  Message.m_Lamport = m_Events.lamport();
  return Message;
}

asio::awaitable<void> PermitService::requestPermit(PermitRequest Request, bool IsRenewal) {
  const TimePoint SentAt = m_Runtime.m_Clock();
  const std::optional<InstanceId> Owner = co_await ownerOf(Request.m_Upstream);
  PermitReply Reply;
  Reply.m_Attempt = Request.m_Attempt;
  if (!Owner) {
    Reply.m_Reason = "no instance holds the lease of the upstream's shard";
    applyReply(Request.m_Upstream, Reply, false, SentAt);
    co_return;
  }
  if (*Owner == m_Cluster.self()) {
    const TimePoint Now = m_Runtime.m_Clock();
    Reply = IsRenewal ? m_Owner.renew(Now, Request) : m_Owner.request(Now, Request);
    applyReply(Request.m_Upstream, Reply, m_Owner.warm(Request.m_Upstream, Now), SentAt);
    co_return;
  }
  const std::optional<Endpoint> Address = m_Cluster.peerAddressOf(*Owner);
  if (!Address) {
    Reply.m_Reason = "the address of the owner " + Owner->value() + " is unknown";
    applyReply(Request.m_Upstream, Reply, false, SentAt);
    co_return;
  }
  PeerPermitRequest Message;
  Message.m_Upstream = Request.m_Upstream;
  Message.m_Requester = Request.m_Holder;
  Message.m_Attempt = Request.m_Attempt;
  Message.m_Lamport = m_Events.lamport();
  Expected<PeerPermit> PeerReply = Error{};
  if (IsRenewal)
    PeerReply = co_await m_Peers.renewPermit(*Address, std::move(Message));
  else
    PeerReply = co_await m_Peers.acquirePermit(*Address, std::move(Message));
  bool Warm = false;
  if (PeerReply) {
    Reply.m_Granted = PeerReply->m_Granted;
    Reply.m_Ttl = PeerReply->m_Ttl;
    Reply.m_Fencing = PeerReply->m_Fencing;
    Reply.m_Reason = PeerReply->m_Reason;
    Warm = PeerReply->m_Warm;
  } else {
    Reply.m_Reason = PeerReply.error().m_Detail;
  }
  applyReply(Request.m_Upstream, Reply, Warm, SentAt);
}

void PermitService::applyReply(const UpstreamId &Upstream, const PermitReply &Reply, bool Warm,
                               TimePoint SentAt) {
  const TimePoint Now = m_Runtime.m_Clock();
  if (Warm)
    m_Routing.upstreams().setWarm(Upstream, Now);
  run(m_Holder.replyReceived(Now, Upstream, Reply, SentAt));
  if (const auto Found = m_PendingReplies.find(Reply.m_Attempt); Found != m_PendingReplies.end())
    Found->second->set(Reply);
}

asio::awaitable<Expected<Done>> PermitService::acquire(UpstreamId Upstream, AttemptId Attempt) {
  const std::shared_ptr<OneShot<PermitReply>> PendingReply =
      std::make_shared<OneShot<PermitReply>>(m_Runtime.m_Context);
  m_PendingReplies[Attempt] = PendingReply;
  run(m_Holder.acquire(m_Runtime.m_Clock(), Upstream, Attempt));
  const std::optional<PermitReply> Reply = co_await PendingReply->wait(AcquireTimeout);
  m_PendingReplies.erase(Attempt);
  if (Reply && Reply->m_Granted && m_Holder.mayStart(m_Runtime.m_Clock(), Attempt))
    co_return Done{};
  release(Attempt, false);
  co_return Error{ErrorCode::NoPermit, "acquire permit", Upstream.value(), Ran::No,
                  Reply ? Reply->m_Reason : "the owner of the upstream did not respond within the timeout"};
}

void PermitService::release(const AttemptId &Attempt, bool ColdSignSeen) {
  run(m_Holder.release(m_Runtime.m_Clock(), Attempt, ColdSignSeen));
}

void PermitService::releaseAll() {
  m_Stopping = true;
  const TimePoint Now = m_Runtime.m_Clock();
  run(m_Holder.releaseAll(Now));
  run(m_Leases.releaseAll(Now));
}

asio::awaitable<void> PermitService::sendRelease(ReleasePermit Action) {
  const std::optional<InstanceId> Owner = co_await ownerOf(Action.m_Request.m_Upstream);
  if (!Owner)
    co_return;
  if (*Owner == m_Cluster.self()) {
    const TimePoint Now = m_Runtime.m_Clock();
    if (Action.m_ColdSignSeen)
      m_Owner.coldSignSeen(Now, Action.m_Request.m_Upstream);
    m_Owner.release(Now, Action.m_Request, Action.m_StreamEnded);
    co_return;
  }
  const std::optional<Endpoint> Address = m_Cluster.peerAddressOf(*Owner);
  if (!Address)
    co_return;
  PeerPermitRequest Message;
  Message.m_Upstream = Action.m_Request.m_Upstream;
  Message.m_Requester = Action.m_Request.m_Holder;
  Message.m_Attempt = Action.m_Request.m_Attempt;
  Message.m_Ended = Action.m_StreamEnded;
  Message.m_Cold = Action.m_ColdSignSeen;
  Message.m_Lamport = m_Events.lamport();
  // If the message is lost, the permit expires at the owner.
  static_cast<void>(co_await m_Peers.releasePermit(*Address, std::move(Message)));
}

asio::awaitable<void> PermitService::cancelAtEngine(CancelStream Action) {
  const std::optional<Endpoint> Address = m_Routing.addressOf(Action.m_Upstream);
  if (!Address)
    co_return;
  Expected<Done> Cancelled = co_await m_Engines.cancel(*Address, Action.m_Attempt.value(), CancelTimeout);
  if (Cancelled)
    m_Owner.streamEnded(Action.m_Upstream, Action.m_Attempt);
}

std::vector<PermitService::HeldLease> PermitService::heldLeases() const {
  std::vector<HeldLease> Held;
  const TimePoint Now = m_Runtime.m_Clock();
  for (const std::pair<const ShardId, TimePoint> &Entry : m_HeldShards)
    if (const std::optional<FencingNumber> Fencing = m_Leases.heldFencing(Entry.first, Now))
      Held.push_back(HeldLease{Entry.first, *Fencing, m_Leases.remaining(Entry.first, Now)});
  return Held;
}

asio::awaitable<Expected<PeerPermit>> PermitService::handleAcquirePermit(PeerPermitRequest Request) {
  const PermitRequest Permit{Request.m_Upstream, Request.m_Requester, Request.m_Attempt};
  co_return makeReply(m_Owner.request(m_Runtime.m_Clock(), Permit), Request.m_Upstream);
}

asio::awaitable<Expected<PeerPermit>> PermitService::handleRenewPermit(PeerPermitRequest Request) {
  const PermitRequest Permit{Request.m_Upstream, Request.m_Requester, Request.m_Attempt};
  co_return makeReply(m_Owner.renew(m_Runtime.m_Clock(), Permit), Request.m_Upstream);
}

asio::awaitable<Expected<Done>> PermitService::handleReleasePermit(PeerPermitRequest Request) {
  const PermitRequest Permit{Request.m_Upstream, Request.m_Requester, Request.m_Attempt};
  const TimePoint Now = m_Runtime.m_Clock();
  if (Request.m_Cold)
    m_Owner.coldSignSeen(Now, Request.m_Upstream);
  m_Owner.release(Now, Permit, Request.m_Ended);
  co_return Done{};
}

} // namespace bulrushpitch
