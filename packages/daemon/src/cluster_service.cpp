#include "bulrushpitch/daemon/cluster_service.h"

#include "bulrushpitch/config/snapshot.h"

#include <glog/logging.h>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ListInterval = std::chrono::seconds(1);
/// Deltas are wanted by peers that are a few revisions behind; older ones get the whole snapshot.
constexpr std::size_t RecentConfigurations = 4;
constexpr std::size_t SpareAddresses = 64;

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
    : m_Runtime(Base), m_Table(Table), m_Objects(Objects), m_Instances(Instances), m_Peers(Peers),
      m_Events(Events), m_Self(Base.m_Settings.m_Instance),
      m_Membership(m_Self, Base.m_Settings.m_Domain, incarnationFrom(Base.m_WallClock), Base.m_Random),
      m_Gate(m_Self, Base.m_Settings.m_Domain, Base.m_Clock()),
      m_Tick(
          Base.m_Context, [] { return TickInterval; }, [this] { tick(); }),
      m_HeadPoll(
          Base.m_Context, [this] { return m_Membership.headPollInterval(); },
          [this] {
            if (!m_PollingHead)
              spawn(m_Runtime.m_Context, refreshHead());
          }),
      m_ListPoll(
          Base.m_Context, [] { return ListInterval; },
          [this] {
            if (!m_PollingList)
              spawn(m_Runtime.m_Context, pollList());
          }) {}

Result<void> ClusterService::start() {
  m_Tick.start();
  m_HeadPoll.start();
  m_ListPoll.start();
  return {};
}

void ClusterService::stop() {
  m_Tick.stop();
  m_HeadPoll.stop();
  m_ListPoll.stop();
}

std::optional<Error> ClusterService::notReady() const {
  if (!m_Gate.ready())
    return Error{ErrorCode::NotReady, "check configuration", m_Self.value(), Ran::No, m_Gate.missing()};
  const std::chrono::milliseconds MaxAge = m_Runtime.m_Settings.m_ConfigurationMaxAge;
  if (MaxAge.count() > 0) {
    const std::optional<Duration> Age = m_Membership.headAge(m_Runtime.m_Clock());
    if (!Age || *Age > MaxAge)
      return Error{ErrorCode::RevisionTooOld, "check configuration", m_Self.value(), Ran::No,
                   "no read of the head row is known that is younger than configuration_max_age"};
  }
  return std::nullopt;
}

std::shared_ptr<const Configuration> ClusterService::at(ConfigRevision Revision) const {
  if (Revision == m_Store.revision())
    return m_Store.current();
  const auto Found = m_Recent.find(Revision);
  return Found == m_Recent.end() ? nullptr : Found->second;
}

std::optional<Endpoint> ClusterService::addressOf(const InstanceId &Id) const {
  const auto Found = m_Rpc.find(Id);
  return Found == m_Rpc.end() ? std::nullopt : std::optional<Endpoint>(Found->second);
}

std::optional<Endpoint> ClusterService::adminOf(const InstanceId &Id) const {
  const auto Found = m_Admin.find(Id);
  return Found == m_Admin.end() ? std::nullopt : std::optional<Endpoint>(Found->second);
}

void ClusterService::tick() {
  const TimePoint Now = m_Runtime.m_Clock();
  if (const std::optional<Duration> Pause = m_Pauses.tick(Now)) {
    LOG(WARNING) << "step=detect-pause pause_ms="
                 << std::chrono::duration_cast<std::chrono::milliseconds>(*Pause).count();
    TimelineEvent Event;
    Event.m_Kind = EventKind::PauseDetected;
    Event.m_Detail =
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*Pause).count()) + " ms";
    m_Events.record(std::move(Event));
    m_Gate.paused(Now);
    for (const PauseHook &Hook : m_OnPause)
      Hook();
  }
  m_Gate.tick(Now);
  run(m_Membership.tick(Now));
  const bool Ready = m_Gate.ready();
  m_Membership.setReady(Ready);
  if (Ready != m_WasReady)
    LOG(INFO) << "step=startup-gate ready=" << Ready << " revision=" << m_Store.revision() << " missing=\""
              << m_Gate.missing() << '"';
  m_WasReady = Ready;
}

void ClusterService::run(MembershipActions Actions) {
  for (MembershipAction &Action : Actions)
    std::visit([this](auto &Chosen) { execute(std::move(Chosen)); }, Action);
}

void ClusterService::execute(ExchangeWith Action) { spawn(m_Runtime.m_Context, exchange(std::move(Action))); }

void ClusterService::execute(const ProbeThrough &Action) {
  spawn(m_Runtime.m_Context, probe(Action.m_Via, Action.m_Target));
}

void ClusterService::execute(const FetchFrom &Action) { spawn(m_Runtime.m_Context, fetch(Action.m_From)); }

void ClusterService::execute(const MemberGone &Action) {
  LOG(INFO) << "step=member-gone peer=" << Action.m_Instance << " incarnation=" << Action.m_Incarnation;
  TimelineEvent Event;
  Event.m_Kind = EventKind::MemberChanged;
  Event.m_Detail = Action.m_Instance.value() + " is gone";
  m_Events.record(std::move(Event));
  const CopyHolder Gone{Action.m_Instance, Action.m_Incarnation};
  for (const MemberGoneHook &Hook : m_OnMemberGone)
    Hook(Gone);
}

PeerDigest ClusterService::toPeer(const Digest &Own) const {
  PeerDigest Message;
  Message.m_Instance = Own.m_From;
  Message.m_Incarnation = Own.m_Incarnation;
  Message.m_Beat = Own.m_Beat;
  Message.m_Domain = Own.m_Domain;
  Message.m_Region = m_Runtime.m_Settings.m_Region;
  Message.m_Rpc =
      Endpoint{m_Runtime.m_Settings.m_Listen.m_Peers.m_Address, m_Runtime.m_Settings.m_Listen.m_Peers.m_Port};
  Message.m_Admin =
      Endpoint{m_Runtime.m_Settings.m_Listen.m_Admin.m_Address, m_Runtime.m_Settings.m_Listen.m_Admin.m_Port};
  Message.m_Ready = Own.m_Ready;
  Message.m_Leaving = Own.m_Leaving;
  Message.m_Revision = Own.m_Revision;
  Message.m_Publisher = Own.m_Publisher;
  // Restrictions are few and short-lived, so the whole set travels with every digest.
  Message.m_Restrictions = m_Store.restrictions().active();
  for (const MemberUpdate &Update : Own.m_Updates) {
    PeerMember Member;
    Member.m_Instance = Update.m_Instance;
    Member.m_Incarnation = Update.m_Incarnation;
    Member.m_Beat = Update.m_Beat;
    Member.m_State = bulrushpitch::toPeer(Update.m_State);
    Member.m_Domain = Update.m_Domain;
    Member.m_Confirmed = Update.m_Revision;
    if (const std::optional<Endpoint> Address = addressOf(Update.m_Instance))
      Member.m_Address = *Address;
    Message.m_Members.push_back(std::move(Member));
  }
  Message.m_Lamport = m_Events.lamport();
  if (const std::optional<Duration> Age = m_Membership.headAge(m_Runtime.m_Clock()))
    Message.m_HeadReadAge = std::chrono::duration_cast<std::chrono::milliseconds>(*Age);
  return Message;
}

Digest ClusterService::toProtocol(const PeerDigest &From) {
  Digest Message;
  Message.m_From = From.m_Instance;
  Message.m_Domain = From.m_Domain;
  Message.m_Incarnation = From.m_Incarnation;
  Message.m_Beat = From.m_Beat;
  Message.m_Ready = From.m_Ready;
  Message.m_Leaving = From.m_Leaving;
  Message.m_Revision = From.m_Revision;
  Message.m_Publisher = From.m_Publisher;
  for (const Restriction &Held : From.m_Restrictions)
    Message.m_Restrictions.push_back(Held.m_Id);
  for (const PeerMember &Member : From.m_Members) {
    MemberUpdate Update;
    Update.m_Instance = Member.m_Instance;
    Update.m_Domain = Member.m_Domain;
    Update.m_Incarnation = Member.m_Incarnation;
    Update.m_Beat = Member.m_Beat;
    Update.m_State = bulrushpitch::toProtocol(Member.m_State);
    Update.m_Revision = Member.m_Confirmed;
    Message.m_Updates.push_back(std::move(Update));
  }
  if (From.m_HeadReadAge)
    Message.m_HeadAge = *From.m_HeadReadAge;
  Message.m_Time = From.m_Lamport;
  return Message;
}

void ClusterService::heard(const PeerDigest &From) {
  m_Rpc[From.m_Instance] = From.m_Rpc;
  m_Admin[From.m_Instance] = From.m_Admin;
  for (const PeerMember &Member : From.m_Members)
    if (Member.m_Address.m_Port != 0 && Member.m_Instance != m_Self)
      m_Rpc.emplace(Member.m_Instance, Member.m_Address);
  m_Events.observe(From.m_Lamport);
  if (m_Store.mergeRestrictions(From.m_Restrictions) > 0)
    configurationChanged();
  m_Gate.heard(m_Runtime.m_Clock(), From.m_Instance, From.m_Revision, From.m_Ready);
}

asio::awaitable<void> ClusterService::exchange(ExchangeWith Action) {
  const std::optional<Endpoint> Address = addressOf(Action.m_To);
  if (!Address)
    co_return;
  Expected<PeerDigest> Reply = co_await m_Peers.exchange(*Address, toPeer(Action.m_Digest));
  if (!Reply)
    co_return;
  heard(*Reply);
  run(m_Membership.replied(m_Runtime.m_Clock(), toProtocol(*Reply)));
}

asio::awaitable<void> ClusterService::probe(InstanceId Via, InstanceId Target) {
  const std::optional<Endpoint> Address = addressOf(Via);
  const std::optional<Endpoint> Asked = addressOf(Target);
  if (!Address || !Asked)
    co_return;
  PeerProbe Question;
  Question.m_Target = Target;
  Question.m_Address = *Asked;
  Expected<PeerProbeResult> Reply = co_await m_Peers.probe(*Address, std::move(Question));
  if (Reply && Reply->m_Reached)
    m_Membership.probed(m_Runtime.m_Clock(), Target);
}

asio::awaitable<void> ClusterService::fetch(InstanceId From) {
  const std::optional<Endpoint> Address = addressOf(From);
  if (!Address || m_Fetching)
    co_return;
  m_Fetching = true;
  PeerFetch Wanted;
  Wanted.m_Since = m_Store.revision();
  Expected<PeerDelta> Reply = co_await m_Peers.fetch(*Address, Wanted);
  m_Fetching = false;
  if (!Reply || Reply->m_Target <= m_Store.revision())
    co_return;
  Expected<Configuration> Fetched = capture([&] {
    return Reply->m_Full ? decodeSnapshot(Reply->m_Bytes) : applyDelta(*m_Store.current(), Reply->m_Bytes);
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
  Expected<std::optional<Row>> Read = co_await m_Table.get(HeadKey);
  m_PollingHead = false;
  const TimePoint Now = m_Runtime.m_Clock();
  headAnswered(Read.hasValue());
  if (!Read) {
    m_Gate.headUnreadable(Now);
    co_return Read.error();
  }
  HeadRow Head;
  if (*Read) {
    Expected<HeadRow> Decoded = decodeHead((*Read)->m_Value);
    if (!Decoded)
      co_return Decoded.error();
    Head = *Decoded;
  }
  m_Gate.headRead(Now, Head.m_Revision);
  m_Membership.headRead(Now);
  if (Head.m_Revision > m_Store.revision()) {
    const std::string Snapshot = Head.m_Snapshot;
    Expected<Done> Fetched = co_await fetchSnapshot(Snapshot, Head.m_Publisher);
    if (!Fetched)
      co_return Fetched.error();
  }
  co_return Head.m_Revision;
}

asio::awaitable<void> ClusterService::refreshHead() { static_cast<void>(co_await pollHead()); }

asio::awaitable<Expected<Done>> ClusterService::fetchSnapshot(std::string Name, InstanceId Publisher) {
  Expected<std::string> Content = co_await m_Objects.get(Name);
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

void ClusterService::headAnswered(bool Reachable) {
  if (Reachable == m_StoreSeen)
    return;
  m_StoreSeen = Reachable;
  LOG(WARNING) << "step=read-head store=" << (Reachable ? "reachable" : "unreachable");
  TimelineEvent Event;
  Event.m_Kind = Reachable ? EventKind::PlatformBack : EventKind::PlatformLost;
  Event.m_Step = "read head row";
  m_Events.record(std::move(Event));
}

asio::awaitable<void> ClusterService::pollList() {
  m_PollingList = true;
  Expected<std::vector<ListedInstance>> List = co_await m_Instances.list();
  m_PollingList = false;
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
      m_Rpc[Member.m_Instance] = Entry.m_Address;
      m_Admin[Member.m_Instance] = Entry.m_Admin;
    }
    Members.push_back(std::move(Member));
  }
  const TimePoint Now = m_Runtime.m_Clock();
  m_Gate.listed(Now, Members);
  run(m_Membership.listed(Now, Members));
  if (!m_Gate.ready())
    run(m_Membership.askUnheard(Now));
  forgetAddresses();
  for (const ListHook &Hook : m_OnList)
    Hook(*List);
}

void ClusterService::forgetAddresses() {
  // Instances are replaced many times a day, each under a new name.
  const std::vector<Member> Known = m_Membership.members();
  const auto IsGone = [&Known](const std::pair<const InstanceId, Endpoint> &Entry) {
    return std::none_of(Known.begin(), Known.end(),
                        [&Entry](const Member &Each) { return Each.m_Update.m_Instance == Entry.first; });
  };
  if (m_Rpc.size() > 2 * Known.size() + SpareAddresses) {
    std::erase_if(m_Rpc, IsGone);
    std::erase_if(m_Admin, IsGone);
  }
}

bool ClusterService::install(Configuration Offered, const InstanceId &Publisher) {
  const ConfigRevision Revision = Offered.m_Revision;
  if (!m_Store.offer(std::move(Offered)))
    return false;
  m_Publisher = Publisher;
  m_Recent[Revision] = m_Store.current();
  while (m_Recent.size() > RecentConfigurations)
    m_Recent.erase(m_Recent.begin());
  LOG(INFO) << "step=apply-configuration revision=" << Revision << " publisher=" << Publisher;
  TimelineEvent Event;
  Event.m_Kind = EventKind::ConfigApplied;
  Event.m_Revision = Revision;
  m_Events.record(std::move(Event));
  configurationChanged();
  return true;
}

bool ClusterService::restrict(const Restriction &Added) {
  if (!m_Store.restrict(Added))
    return false;
  LOG(INFO) << "step=apply-restriction restriction=" << Added.m_Id << " kind=" << nameOf(Added.m_Kind)
            << " target=" << Added.m_Target << " operator=" << Added.m_Operator;
  TimelineEvent Event;
  Event.m_Kind = EventKind::RestrictionApplied;
  if (Added.m_Kind == RestrictionKind::TakeOutDomain)
    Event.m_Domain = DomainId(Added.m_Target);
  else if (Added.m_Kind == RestrictionKind::DrainUpstream)
    Event.m_Upstream = UpstreamId(Added.m_Target);
  else if (Added.m_Kind == RestrictionKind::WithdrawVersion)
    Event.m_Version = VersionId(Added.m_Target);
  Event.m_Detail = std::string(nameOf(Added.m_Kind)) + " " + Added.m_Target + " by " + Added.m_Operator;
  m_Events.record(std::move(Event));
  configurationChanged();
  return true;
}

void ClusterService::configurationChanged() {
  m_Gate.holds(m_Runtime.m_Clock(), m_Store.revision());
  const std::shared_ptr<const Configuration> Effective = m_Store.effective();
  for (const ConfigurationHook &Hook : m_OnConfiguration)
    Hook(*Effective);
  updateHolds();
}

void ClusterService::updateHolds() {
  run(m_Membership.holds(m_Runtime.m_Clock(), m_Store.revision(), m_Publisher, m_Store.restrictions().ids()));
}

void ClusterService::announceLeaving() { run(m_Membership.leave(m_Runtime.m_Clock())); }

asio::awaitable<Expected<PeerDigest>> ClusterService::answerExchange(PeerDigest From) {
  heard(From);
  run(m_Membership.received(m_Runtime.m_Clock(), toProtocol(From)));
  co_return toPeer(m_Membership.digest(m_Runtime.m_Clock()));
}

asio::awaitable<Expected<PeerDelta>> ClusterService::answerFetch(PeerFetch Wanted) {
  PeerDelta Reply;
  Reply.m_Target = m_Store.revision();
  if (Wanted.m_Since >= Reply.m_Target) {
    Reply.m_Base = Reply.m_Target;
    co_return Reply;
  }
  const auto Base = m_Recent.find(Wanted.m_Since);
  Reply.m_Full = Base == m_Recent.end();
  if (Reply.m_Full) {
    Reply.m_Bytes = encodeSnapshot(*m_Store.current());
  } else {
    Reply.m_Base = Wanted.m_Since;
    Reply.m_Bytes = encodeDelta(*Base->second, *m_Store.current());
  }
  co_return Reply;
}

asio::awaitable<Expected<PeerProbeResult>> ClusterService::answerProbe(PeerProbe Target) {
  Expected<PeerStatus> Status = co_await m_Peers.status(Target.m_Address);
  PeerProbeResult Reply;
  Reply.m_Reached = Status.hasValue() && Status->m_Instance == Target.m_Target;
  if (Reply.m_Reached)
    Reply.m_Incarnation = Status->m_Incarnation;
  co_return Reply;
}

PeerStatus ClusterService::status() const {
  PeerStatus Status;
  Status.m_Instance = m_Self;
  Status.m_Incarnation = m_Membership.incarnation();
  Status.m_Domain = m_Runtime.m_Settings.m_Domain;
  Status.m_Revision = m_Store.revision();
  Status.m_Ready = m_Gate.ready();
  return Status;
}

} // namespace bulrushpitch
