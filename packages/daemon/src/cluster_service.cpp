#include "bulrushpitch/daemon/cluster_service.h"

#include "bulrushpitch/config/snapshot.h"

#include <glog/logging.h>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration InstanceListInterval = std::chrono::seconds(1);
/// Recent revisions kept as bases for deltas. Peers that are further behind get the full snapshot.
constexpr std::size_t RecentConfigurationLimit = 4;
/// Addresses kept beyond twice the number of members before stale ones are pruned.
constexpr std::size_t StaleAddressLimit = 64;

std::uint64_t incarnationFrom(const WallClockHook &WallClock) {
  return static_cast<std::uint64_t>(WallClock().time_since_epoch().count());
}

MemberState toProtocol(PeerMemberState State) {
  switch (State) {
  case PeerMemberState::Alive:
    return MemberState::Alive;
  case PeerMemberState::Suspect:
    return MemberState::Suspect;
  case PeerMemberState::Dead:
  case PeerMemberState::Left:
    break;
  }
  return MemberState::Left;
}

PeerMemberState toPeer(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return PeerMemberState::Alive;
  case MemberState::Suspect:
    return PeerMemberState::Suspect;
  case MemberState::Left:
    break;
  }
  return PeerMemberState::Left;
}

} // namespace

ClusterService::ClusterService(const Runtime &Base, TableService &Table, ObjectStore &Objects,
                               InstanceList &Instances, PeerClient &Peers, Recorder &Events)
    : m_Runtime(Base), m_TableService(Table), m_ObjectStore(Objects), m_InstanceList(Instances),
      m_PeerClient(Peers), m_Events(Events), m_Self(Base.m_Settings.m_Instance),
      m_Membership(m_Self, Base.m_Settings.m_Domain, incarnationFrom(Base.m_WallClock), Base.m_Random),
      m_StartupGate(m_Self, Base.m_Settings.m_Domain, Base.m_Clock()),
      m_Tick(
          Base.m_Context, [] { return TickInterval; }, [this] { tick(); }),
      m_HeadPoll(
          Base.m_Context, [this] { return m_Membership.headPollInterval(); },
          [this] {
            if (!m_PollingHead)
              spawn(m_Runtime.m_Context, pollHeadIgnoringResult());
          }),
      m_InstanceListPoll(
          Base.m_Context, [] { return InstanceListInterval; },
          [this] {
            if (!m_PollingInstanceList)
              spawn(m_Runtime.m_Context, pollInstanceList());
          }) {}

Result<void> ClusterService::start() {
  m_Tick.start();
  m_HeadPoll.start();
  m_InstanceListPoll.start();
  return {};
}

void ClusterService::stop() {
  m_Tick.stop();
  m_HeadPoll.stop();
  m_InstanceListPoll.stop();
}

std::optional<Error> ClusterService::readinessError() const {
  if (!m_StartupGate.ready())
    return Error{ErrorCode::NotReady, "check configuration", m_Self.value(), Ran::No,
                 m_StartupGate.notReadyReason()};
  const std::chrono::milliseconds MaxAge = m_Runtime.m_Settings.m_ConfigurationMaxAge;
  if (MaxAge.count() > 0) {
    const std::optional<Duration> Age = m_Membership.headReadAge(m_Runtime.m_Clock());
    if (!Age || *Age > MaxAge)
      return Error{ErrorCode::RevisionTooOld, "check configuration", m_Self.value(), Ran::No,
                   "no read of the head row within configuration_max_age is known"};
  }
  return std::nullopt;
}

std::shared_ptr<const Configuration> ClusterService::configurationAt(ConfigRevision Revision) const {
  if (Revision == m_ConfigStore.revision())
    return m_ConfigStore.current();
  const auto Found = m_RecentConfigurations.find(Revision);
  return Found == m_RecentConfigurations.end() ? nullptr : Found->second;
}

std::optional<Endpoint> ClusterService::peerAddressOf(const InstanceId &Id) const {
  const auto Found = m_PeerAddresses.find(Id);
  return Found == m_PeerAddresses.end() ? std::nullopt : std::optional<Endpoint>(Found->second);
}

std::optional<Endpoint> ClusterService::adminAddressOf(const InstanceId &Id) const {
  const auto Found = m_AdminAddresses.find(Id);
  return Found == m_AdminAddresses.end() ? std::nullopt : std::optional<Endpoint>(Found->second);
}

void ClusterService::tick() {
  const TimePoint Now = m_Runtime.m_Clock();
  if (const std::optional<Duration> Pause = m_PauseDetector.tick(Now)) {
    LOG(WARNING) << "step=detect-pause pause_ms="
                 << std::chrono::duration_cast<std::chrono::milliseconds>(*Pause).count();
    TimelineEvent Event;
    Event.m_Kind = EventKind::PauseDetected;
    Event.m_Detail =
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*Pause).count()) + " ms";
    m_Events.record(std::move(Event));
    m_StartupGate.paused(Now);
    for (const PauseHook &Hook : m_OnPause)
      Hook();
  }
  m_StartupGate.tick(Now);
  run(m_Membership.tick(Now));
  const bool Ready = m_StartupGate.ready();
  m_Membership.setReady(Ready);
  if (Ready != m_WasReady)
    LOG(INFO) << "step=startup-gate ready=" << Ready << " revision=" << m_ConfigStore.revision()
              << " missing=\"" << m_StartupGate.notReadyReason() << '"';
  m_WasReady = Ready;
}

void ClusterService::run(MembershipActions Actions) {
  for (MembershipAction &Action : Actions)
    std::visit([this](auto &Alternative) { execute(std::move(Alternative)); }, Action);
}

void ClusterService::execute(ExchangeWith Action) { spawn(m_Runtime.m_Context, exchange(std::move(Action))); }

void ClusterService::execute(const ProbeIndirectly &Action) {
  spawn(m_Runtime.m_Context, probe(Action.m_Via, Action.m_Target));
}

void ClusterService::execute(const FetchFrom &Action) { spawn(m_Runtime.m_Context, fetch(Action.m_From)); }

void ClusterService::execute(const MemberLost &Action) {
  LOG(INFO) << "step=member-gone peer=" << Action.m_Instance << " incarnation=" << Action.m_Incarnation;
  TimelineEvent Event;
  Event.m_Kind = EventKind::MemberChanged;
  Event.m_Detail = Action.m_Instance.value() + " is gone";
  m_Events.record(std::move(Event));
  const CopyHolder Lost{Action.m_Instance, Action.m_Incarnation};
  for (const MemberLostHook &Hook : m_OnMemberLost)
    Hook(Lost);
}

PeerDigest ClusterService::toPeer(const Digest &OwnDigest) const {
  PeerDigest Message;
  Message.m_Instance = OwnDigest.m_From;
  Message.m_Incarnation = OwnDigest.m_Incarnation;
  Message.m_Beat = OwnDigest.m_RefutationNumber;
  Message.m_Domain = OwnDigest.m_Domain;
  Message.m_Region = m_Runtime.m_Settings.m_Region;
  Message.m_Rpc =
      Endpoint{m_Runtime.m_Settings.m_Listen.m_Peers.m_Address, m_Runtime.m_Settings.m_Listen.m_Peers.m_Port};
  Message.m_Admin =
      Endpoint{m_Runtime.m_Settings.m_Listen.m_Admin.m_Address, m_Runtime.m_Settings.m_Listen.m_Admin.m_Port};
  Message.m_Ready = OwnDigest.m_Ready;
  Message.m_Leaving = OwnDigest.m_Leaving;
  Message.m_Revision = OwnDigest.m_Revision;
  Message.m_Publisher = OwnDigest.m_Publisher;
  // Restrictions are few and short-lived, so every digest carries the full set.
  Message.m_Restrictions = m_ConfigStore.restrictions().active();
  for (const MemberUpdate &Update : OwnDigest.m_Updates) {
    PeerMember Member;
    Member.m_Instance = Update.m_Instance;
    Member.m_Incarnation = Update.m_Incarnation;
    Member.m_Beat = Update.m_RefutationNumber;
    Member.m_State = bulrushpitch::toPeer(Update.m_State);
    Member.m_Domain = Update.m_Domain;
    Member.m_Confirmed = Update.m_Revision;
    if (const std::optional<Endpoint> Address = peerAddressOf(Update.m_Instance))
      Member.m_Address = *Address;
    Message.m_Members.push_back(std::move(Member));
  }
  Message.m_Lamport = m_Events.lamport();
  if (const std::optional<Duration> Age = m_Membership.headReadAge(m_Runtime.m_Clock()))
    Message.m_HeadReadAge = std::chrono::duration_cast<std::chrono::milliseconds>(*Age);
  return Message;
}

Digest ClusterService::toProtocol(const PeerDigest &Received) {
  Digest Message;
  Message.m_From = Received.m_Instance;
  Message.m_Domain = Received.m_Domain;
  Message.m_Incarnation = Received.m_Incarnation;
  Message.m_RefutationNumber = Received.m_Beat;
  Message.m_Ready = Received.m_Ready;
  Message.m_Leaving = Received.m_Leaving;
  Message.m_Revision = Received.m_Revision;
  Message.m_Publisher = Received.m_Publisher;
  for (const Restriction &Active : Received.m_Restrictions)
    Message.m_Restrictions.push_back(Active.m_Id);
  for (const PeerMember &Member : Received.m_Members) {
    MemberUpdate Update;
    Update.m_Instance = Member.m_Instance;
    Update.m_Domain = Member.m_Domain;
    Update.m_Incarnation = Member.m_Incarnation;
    Update.m_RefutationNumber = Member.m_Beat;
    Update.m_State = bulrushpitch::toProtocol(Member.m_State);
    Update.m_Revision = Member.m_Confirmed;
    Message.m_Updates.push_back(std::move(Update));
  }
  if (Received.m_HeadReadAge)
    Message.m_HeadReadAge = *Received.m_HeadReadAge;
  Message.m_Time = Received.m_Lamport;
  return Message;
}

void ClusterService::applyDigest(const PeerDigest &Received) {
  m_PeerAddresses[Received.m_Instance] = Received.m_Rpc;
  m_AdminAddresses[Received.m_Instance] = Received.m_Admin;
  for (const PeerMember &Member : Received.m_Members)
    if (Member.m_Address.m_Port != 0 && Member.m_Instance != m_Self)
      m_PeerAddresses.emplace(Member.m_Instance, Member.m_Address);
  m_Events.observe(Received.m_Lamport);
  if (m_ConfigStore.mergeRestrictions(Received.m_Restrictions) > 0)
    configurationChanged();
  m_StartupGate.exchangedWith(m_Runtime.m_Clock(), Received.m_Instance, Received.m_Revision,
                              Received.m_Ready);
}

asio::awaitable<void> ClusterService::exchange(ExchangeWith Action) {
  const std::optional<Endpoint> Address = peerAddressOf(Action.m_To);
  if (!Address)
    co_return;
  Expected<PeerDigest> Reply = co_await m_PeerClient.exchange(*Address, toPeer(Action.m_Digest));
  if (!Reply)
    co_return;
  applyDigest(*Reply);
  run(m_Membership.replyReceived(m_Runtime.m_Clock(), toProtocol(*Reply)));
}

asio::awaitable<void> ClusterService::probe(InstanceId Via, InstanceId Target) {
  const std::optional<Endpoint> RelayAddress = peerAddressOf(Via);
  const std::optional<Endpoint> TargetAddress = peerAddressOf(Target);
  if (!RelayAddress || !TargetAddress)
    co_return;
  PeerProbe Request;
  Request.m_Target = Target;
  Request.m_Address = *TargetAddress;
  Expected<PeerProbeResult> Reply = co_await m_PeerClient.probe(*RelayAddress, std::move(Request));
  if (Reply && Reply->m_Reached)
    m_Membership.probeSucceeded(m_Runtime.m_Clock(), Target);
}

asio::awaitable<void> ClusterService::fetch(InstanceId From) {
  const std::optional<Endpoint> Address = peerAddressOf(From);
  if (!Address || m_Fetching)
    co_return;
  m_Fetching = true;
  PeerFetch Request;
  Request.m_Since = m_ConfigStore.revision();
  Expected<PeerDelta> Reply = co_await m_PeerClient.fetch(*Address, Request);
  m_Fetching = false;
  if (!Reply || Reply->m_Target <= m_ConfigStore.revision())
    co_return;
  Expected<Configuration> Fetched = capture([&] {
    return Reply->m_Full ? decodeSnapshot(Reply->m_Bytes)
                         : applyDelta(*m_ConfigStore.current(), Reply->m_Bytes);
  });
  if (!Fetched) {
    LOG(WARNING) << "step=fetch-configuration peer=" << From << " error=\"" << Fetched.error() << '"';
    static_cast<void>(co_await pollHead());
    co_return;
  }
  install(std::move(*Fetched), From);
}

asio::awaitable<Expected<ConfigRevision>> ClusterService::pollHead() {
  m_PollingHead = true;
  Expected<std::optional<Row>> HeadValue = co_await m_TableService.get(HeadKey);
  m_PollingHead = false;
  const TimePoint Now = m_Runtime.m_Clock();
  updateStoreReachable(HeadValue.hasValue());
  if (!HeadValue) {
    m_StartupGate.headReadFailed(Now);
    co_return HeadValue.error();
  }
  HeadRow Head;
  if (*HeadValue) {
    Expected<HeadRow> Decoded = decodeHead((*HeadValue)->m_Value);
    if (!Decoded)
      co_return Decoded.error();
    Head = *Decoded;
  }
  m_StartupGate.headRead(Now, Head.m_Revision);
  m_Membership.headRead(Now);
  if (Head.m_Revision > m_ConfigStore.revision()) {
    const std::string Snapshot = Head.m_Snapshot;
    Expected<Done> Fetched = co_await fetchSnapshot(Snapshot, Head.m_Publisher);
    if (!Fetched)
      co_return Fetched.error();
  }
  co_return Head.m_Revision;
}

asio::awaitable<void> ClusterService::pollHeadIgnoringResult() { static_cast<void>(co_await pollHead()); }

asio::awaitable<Expected<Done>> ClusterService::fetchSnapshot(std::string Name, InstanceId Publisher) {
  Expected<std::string> Content = co_await m_ObjectStore.get(Name);
  if (!Content)
    co_return Content.error();
  Expected<Configuration> Decoded = capture([&] { return decodeSnapshot(*Content); });
  if (!Decoded) {
    LOG(ERROR) << "step=decode-snapshot object=" << Name << " error=\"" << Decoded.error() << '"';
    co_return Decoded.error();
  }
  install(std::move(*Decoded), Publisher);
  co_return Done{};
}

void ClusterService::updateStoreReachable(bool Reachable) {
  if (Reachable == m_StoreReachable)
    return;
  m_StoreReachable = Reachable;
  LOG(WARNING) << "step=read-head store=" << (Reachable ? "reachable" : "unreachable");
  TimelineEvent Event;
  Event.m_Kind = Reachable ? EventKind::PlatformBack : EventKind::PlatformLost;
  Event.m_Step = "read head row";
  m_Events.record(std::move(Event));
}

asio::awaitable<void> ClusterService::pollInstanceList() {
  m_PollingInstanceList = true;
  Expected<std::vector<ListedInstance>> List = co_await m_InstanceList.list();
  m_PollingInstanceList = false;
  if (!List)
    co_return;
  std::vector<ListedMember> Members;
  for (const ListedInstance &Entry : *List) {
    if (Entry.m_Kind != ListedInstance::Kind::Daemon)
      continue;
    ListedMember Member;
    Member.m_Instance = InstanceId(Entry.m_Name);
    Member.m_Domain = Entry.m_Domain;
    Member.m_Leaving = Entry.m_Leaving;
    if (Member.m_Instance != m_Self) {
      m_PeerAddresses[Member.m_Instance] = Entry.m_Address;
      m_AdminAddresses[Member.m_Instance] = Entry.m_Admin;
    }
    Members.push_back(std::move(Member));
  }
  const TimePoint Now = m_Runtime.m_Clock();
  m_StartupGate.applyInstanceList(Now, Members);
  run(m_Membership.applyInstanceList(Now, Members));
  if (!m_StartupGate.ready())
    run(m_Membership.exchangeWithUnready(Now));
  pruneAddresses();
  for (const InstanceListHook &Hook : m_OnInstanceList)
    Hook(*List);
}

void ClusterService::pruneAddresses() {
  // Instances are replaced many times a day under new names, so stale addresses would accumulate.
  const std::vector<Member> Members = m_Membership.members();
  const auto IsStale = [&Members](const std::pair<const InstanceId, Endpoint> &Entry) {
    return std::none_of(Members.begin(), Members.end(),
                        [&Entry](const Member &Peer) { return Peer.m_Update.m_Instance == Entry.first; });
  };
  if (m_PeerAddresses.size() > 2 * Members.size() + StaleAddressLimit) {
    std::erase_if(m_PeerAddresses, IsStale);
    std::erase_if(m_AdminAddresses, IsStale);
  }
}

bool ClusterService::install(Configuration NewConfiguration, const InstanceId &Publisher) {
  const ConfigRevision Revision = NewConfiguration.m_Revision;
  if (!m_ConfigStore.tryInstall(std::move(NewConfiguration)))
    return false;
  m_RevisionPublisher = Publisher;
  m_RecentConfigurations[Revision] = m_ConfigStore.current();
  while (m_RecentConfigurations.size() > RecentConfigurationLimit)
    m_RecentConfigurations.erase(m_RecentConfigurations.begin());
  LOG(INFO) << "step=apply-configuration revision=" << Revision << " publisher=" << Publisher;
  TimelineEvent Event;
  Event.m_Kind = EventKind::ConfigApplied;
  Event.m_Revision = Revision;
  m_Events.record(std::move(Event));
  configurationChanged();
  return true;
}

bool ClusterService::restrict(const Restriction &NewRestriction) {
  if (!m_ConfigStore.addRestriction(NewRestriction))
    return false;
  LOG(INFO) << "step=apply-restriction restriction=" << NewRestriction.m_Id
            << " kind=" << nameOf(NewRestriction.m_Kind) << " target=" << NewRestriction.m_Target
            << " operator=" << NewRestriction.m_Operator;
  TimelineEvent Event;
  Event.m_Kind = EventKind::RestrictionApplied;
  if (NewRestriction.m_Kind == RestrictionKind::TakeOutDomain)
    Event.m_Domain = DomainId(NewRestriction.m_Target);
  else if (NewRestriction.m_Kind == RestrictionKind::DrainUpstream)
    Event.m_Upstream = UpstreamId(NewRestriction.m_Target);
  else if (NewRestriction.m_Kind == RestrictionKind::WithdrawVersion)
    Event.m_Version = VersionId(NewRestriction.m_Target);
  Event.m_Detail = std::string(nameOf(NewRestriction.m_Kind)) + " " + NewRestriction.m_Target + " by " +
                   NewRestriction.m_Operator;
  m_Events.record(std::move(Event));
  configurationChanged();
  return true;
}

void ClusterService::configurationChanged() {
  m_StartupGate.setHeldRevision(m_Runtime.m_Clock(), m_ConfigStore.revision());
  const std::shared_ptr<const Configuration> Effective = m_ConfigStore.effective();
  for (const ConfigurationHook &Hook : m_OnConfiguration)
    Hook(*Effective);
  updateMembership();
}

void ClusterService::updateMembership() {
  run(m_Membership.setHeldRevision(m_Runtime.m_Clock(), m_ConfigStore.revision(), m_RevisionPublisher,
                                   m_ConfigStore.restrictions().ids()));
}

void ClusterService::announceLeaving() { run(m_Membership.leave(m_Runtime.m_Clock())); }

asio::awaitable<Expected<PeerDigest>> ClusterService::handleExchange(PeerDigest Received) {
  applyDigest(Received);
  run(m_Membership.digestReceived(m_Runtime.m_Clock(), toProtocol(Received)));
  co_return toPeer(m_Membership.digest(m_Runtime.m_Clock()));
}

asio::awaitable<Expected<PeerDelta>> ClusterService::handleFetch(PeerFetch Request) {
  PeerDelta Reply;
  Reply.m_Target = m_ConfigStore.revision();
  if (Request.m_Since >= Reply.m_Target) {
    Reply.m_Base = Reply.m_Target;
    co_return Reply;
  }
  const auto Base = m_RecentConfigurations.find(Request.m_Since);
  Reply.m_Full = Base == m_RecentConfigurations.end();
  if (Reply.m_Full) {
    Reply.m_Bytes = encodeSnapshot(*m_ConfigStore.current());
  } else {
    Reply.m_Base = Request.m_Since;
    Reply.m_Bytes = encodeDelta(*Base->second, *m_ConfigStore.current());
  }
  co_return Reply;
}

asio::awaitable<Expected<PeerProbeResult>> ClusterService::handleProbe(PeerProbe Request) {
  Expected<PeerStatus> Status = co_await m_PeerClient.status(Request.m_Address);
  PeerProbeResult Reply;
  Reply.m_Reached = Status.hasValue() && Status->m_Instance == Request.m_Target;
  if (Reply.m_Reached)
    Reply.m_Incarnation = Status->m_Incarnation;
  co_return Reply;
}

PeerStatus ClusterService::status() const {
  PeerStatus Status;
  Status.m_Instance = m_Self;
  Status.m_Incarnation = m_Membership.incarnation();
  Status.m_Domain = m_Runtime.m_Settings.m_Domain;
  Status.m_Revision = m_ConfigStore.revision();
  Status.m_Ready = m_StartupGate.ready();
  return Status;
}

} // namespace bulrushpitch
