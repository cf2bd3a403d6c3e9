#include "bulrushpitch/daemon/operator_api.h"

#include "bulrushpitch/config/snapshot.h"
#include "bulrushpitch/timeline/timeline.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxPageEntries = 100;
constexpr std::size_t MaxTimelineEvents = 4096;

HttpResponse json(unsigned Status, std::string Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.add("Content-Type", "application/json");
  Response.m_Body = std::move(Body);
  return Response;
}

unsigned statusOf(PublishOutcome Outcome) {
  switch (Outcome) {
  case PublishOutcome::Conflict:
    return 409;
  case PublishOutcome::Refused:
    return 422;
  default:
    return 200;
  }
}

std::uint64_t numberOr(std::optional<std::string_view> Text, std::uint64_t Default) {
  std::uint64_t Value = Default;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Value = 0;
    if (Text[Index] == '%' && Index + 2 < Text.size() &&
        std::from_chars(Text.data() + Index + 1, Text.data() + Index + 3, Value, 16).ptr ==
            Text.data() + Index + 3) {
      Decoded.push_back(static_cast<char>(Value));
      Index += 2;
    } else {
      Decoded.push_back(Text[Index]);
    }
  }
  return Decoded;
}

std::string queryText(const HttpRequest &Request, std::string_view Name) {
  const std::optional<std::string_view> Found = Request.query(Name);
  return Found ? decodePercent(*Found) : std::string();
}

EventFilter filterFrom(const HttpRequest &Request) {
  EventFilter Filter;
  if (const std::string Id = queryText(Request, "request"); !Id.empty())
    Filter.m_Request = RequestId(Id);
  if (const std::string Id = queryText(Request, "upstream"); !Id.empty())
    Filter.m_Upstream = UpstreamId(Id);
  if (const std::string Id = queryText(Request, "domain"); !Id.empty())
    Filter.m_Domain = DomainId(Id);
  if (const std::optional<std::string_view> Revision = Request.query("revision"))
    Filter.m_Revision = ConfigRevision(numberOr(Revision, 0));
  if (const std::string Kind = queryText(Request, "kind"); !Kind.empty())
    Filter.m_Kind = eventKindOf(Kind);
  Filter.m_Limit = std::min<std::size_t>(MaxTimelineEvents, numberOr(Request.query("limit"), 500));
  return Filter;
}

TimelineEntry toEntry(const TimelineEvent &Event) {
  TimelineEntry Entry;
  Entry.m_Instance = Event.m_Instance;
  Entry.m_Lamport = Event.m_Lamport;
  Entry.m_At = Event.m_Wall.time_since_epoch().count();
  Entry.m_Kind = std::string(nameOf(Event.m_Kind));
  for (const std::string &Id :
       {Event.m_Request.value(), Event.m_Upstream.value(), Event.m_Version.value(), Event.m_Domain.value()})
    if (Entry.m_Subject.empty())
      Entry.m_Subject = Id;
  if (Entry.m_Subject.empty() && Event.m_Revision.value() != 0)
    Entry.m_Subject = "revision " + std::to_string(Event.m_Revision.value());
  Entry.m_Detail = Event.m_Detail;
  return Entry;
}

const char *stateName(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "live";
  case MemberState::Suspect:
    return "suspected";
  case MemberState::Left:
    break;
  }
  return "leaving";
}

/// @return resident memory of this process in bytes, as reported by the kernel
std::uint64_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

/// @return user and system CPU time of this process
double cpuSeconds() {
  timespec CpuTime{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &CpuTime);
  return static_cast<double>(CpuTime.tv_sec) + static_cast<double>(CpuTime.tv_nsec) * 1e-9;
}

} // namespace

OperatorApi::OperatorApi(const Runtime &Base, OperatorDependencies Dependencies)
    : m_Runtime(Base), m_Dependencies(std::move(Dependencies)),
      m_Server(
          Base.m_Context,
          Endpoint{Base.m_Settings.m_Listen.m_Admin.m_Address, Base.m_Settings.m_Listen.m_Admin.m_Port},
          serverLimits(Base.m_Settings.m_Http),
          [this](HttpRequest &Request, ResponseWriter &Writer) { return handle(Request, Writer); },
          errorResponse) {}

asio::awaitable<void> OperatorApi::handle(HttpRequest &Request, ResponseWriter &Writer) {
  Expected<HttpResponse> Outcome = co_await dispatch(Request);
  HttpResponse Response = Outcome ? std::move(*Outcome) : errorResponse(Outcome.error());
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

OperatorApi::ResponseTask OperatorApi::dispatch(HttpRequest &Request) {
  const std::string_view Path = Request.path();
  const bool IsPost = Request.m_Method == "POST";
  if (Path == "/metrics") {
    HttpResponse Response = json(200, metrics());
    Response.m_Headers = HttpHeaders();
    Response.m_Headers.add("Content-Type", "text/plain; version=0.0.4");
    co_return Response;
  }
  if (Path == admin_path::Status)
    co_return json(200, encodeMessage(status()));
  if (Path == admin_path::Publish && IsPost)
    co_return co_await publish(Request);
  if (Path == admin_path::Config)
    co_return co_await config(Request);
  if (Path == admin_path::History)
    co_return co_await history(Request);
  if (Path == admin_path::Restrict && IsPost)
    co_return co_await restrict(Request);
  if (Path == admin_path::Timeline)
    co_return co_await timeline(Request);
  if (Path == admin_path::Charges)
    co_return co_await charges(Request);
  if (Path == admin_path::Explain)
    co_return explain(Request);
  if (Path == admin_path::Drain && IsPost)
    co_return drain(Request);
  if (Path == admin_path::InForce)
    co_return inForce(Request);
  co_return Error{ErrorCode::UnknownPath, "read request", "operator", Ran::No,
                  Request.m_Method + " " + std::string(Path) +
                      " is not an operation of the operators' interface"};
}

OperatorApi::ResponseTask OperatorApi::publish(const HttpRequest &Request) {
  Expected<PublishRequest> Decoded = capture([&] { return decodeMessage<PublishRequest>(Request.m_Body); });
  if (!Decoded)
    co_return Decoded.error();
  Expected<PublishReply> Reply = co_await m_Dependencies.m_Publications.publish(std::move(*Decoded));
  if (!Reply)
    co_return Reply.error();
  co_return json(statusOf(Reply->m_Outcome), encodeMessage(*Reply));
}

OperatorApi::ResponseTask OperatorApi::config(const HttpRequest &Request) {
  const ConfigRevision CurrentRevision = m_Dependencies.m_Cluster.configStore().revision();
  const ConfigRevision Requested(numberOr(Request.query("revision"), CurrentRevision.value()));
  if (Requested != CurrentRevision)
    co_return Error{ErrorCode::ObjectNotFound, "fetch configuration", m_Dependencies.m_Cluster.self().value(),
                    Ran::No,
                    "this instance has revision " + std::to_string(CurrentRevision.value()) + " only"};
  ConfigReply Reply;
  Reply.m_Configuration = *m_Dependencies.m_Cluster.configStore().current();
  Expected<HistoryEntry> Entry = co_await m_Dependencies.m_Publications.historyEntry(CurrentRevision);
  if (Entry) {
    Reply.m_PublishId = Entry->m_PublishId;
    Reply.m_Operator = Entry->m_Operator;
  }
  co_return json(200, encodeMessage(Reply));
}

OperatorApi::ResponseTask OperatorApi::history(const HttpRequest &Request) {
  const std::uint64_t Limit = std::min<std::uint64_t>(MaxPageEntries, numberOr(Request.query("limit"), 20));
  Expected<HistoryReply> Reply = co_await m_Dependencies.m_Publications.history(Limit);
  if (!Reply)
    co_return Reply.error();
  co_return json(200, encodeMessage(*Reply));
}

OperatorApi::ResponseTask OperatorApi::restrict(const HttpRequest &Request) {
  Expected<Restriction> Decoded = capture([&] { return decodeMessage<Restriction>(Request.m_Body); });
  if (!Decoded)
    co_return Decoded.error();
  RestrictReply Reply;
  Reply.m_Instance = m_Dependencies.m_Cluster.self();
  Reply.m_Known = !m_Dependencies.m_Cluster.restrict(*Decoded);
  co_return json(200, encodeMessage(Reply));
}

Expected<HttpResponse> OperatorApi::explain(const HttpRequest &Request) {
  ExplainReply Reply;
  Reply.m_Request = RequestId(queryText(Request, "request"));
  Reply.m_Decisions = m_Dependencies.m_ExplainLog.find(Reply.m_Request);
  if (Reply.m_Decisions.empty())
    return Error{ErrorCode::ObjectNotFound, "explain request", m_Dependencies.m_Cluster.self().value(),
                 Ran::No,
                 "this instance has no recorded decisions on request '" + Reply.m_Request.value() + "'"};
  return json(200, encodeMessage(Reply));
}

Expected<HttpResponse> OperatorApi::drain(const HttpRequest &Request) {
  Expected<DrainRequest> Decoded = capture([&] { return decodeMessage<DrainRequest>(Request.m_Body); });
  if (!Decoded)
    return Decoded.error();
  if (Decoded->m_Instance != m_Dependencies.m_Cluster.self())
    return Error{ErrorCode::BadHeaderValue, "drain", m_Dependencies.m_Cluster.self().value(), Ran::No,
                 "the drain request names another instance: '" + Decoded->m_Instance.value() + "'"};
  const std::optional<std::chrono::milliseconds> Deadline = Decoded->m_Deadline;
  LOG(INFO) << "step=drain operator=" << Decoded->m_Operator;
  m_Dependencies.m_Drain.drain(Deadline ? std::optional<Duration>(*Deadline) : std::nullopt);
  DrainReply Reply;
  Reply.m_Instance = m_Dependencies.m_Cluster.self();
  Reply.m_Deadline = Deadline.value_or(m_Runtime.m_Settings.m_DrainDeadline);
  Reply.m_ActiveRequests = m_Dependencies.m_CallerApi.activeRequests();
  return json(200, encodeMessage(Reply));
}

Expected<HttpResponse> OperatorApi::inForce(const HttpRequest &Request) {
  InForceReply Reply;
  Reply.m_Revision = ConfigRevision(
      numberOr(Request.query("revision"), m_Dependencies.m_Cluster.configStore().revision().value()));
  const DomainId &OwnDomain = m_Runtime.m_Settings.m_Domain;
  if (m_Dependencies.m_Cluster.configStore().revision() >= Reply.m_Revision)
    Reply.m_Confirmed.push_back(m_Dependencies.m_Cluster.self());
  else
    Reply.m_Missing.push_back(m_Dependencies.m_Cluster.self());
  for (const ConfirmedRevision &Entry : m_Dependencies.m_Cluster.membership().confirmedRevisions()) {
    if (Entry.m_Revision >= Reply.m_Revision) {
      Reply.m_Confirmed.push_back(Entry.m_Instance);
      Reply.m_SecondCopy = Reply.m_SecondCopy || Entry.m_Domain != OwnDomain;
    } else {
      Reply.m_Missing.push_back(Entry.m_Instance);
    }
  }
  Reply.m_InForce = Reply.m_Missing.empty();
  return json(200, encodeMessage(Reply));
}

asio::awaitable<std::vector<TimelineEvent>> OperatorApi::collectEvents(EventFilter Filter, bool All,
                                                                       std::vector<InstanceId> &Missing) {
  std::vector<std::vector<TimelineEvent>> Lists;
  Lists.push_back(m_Dependencies.m_Events.events(Filter));
  if (All) {
    for (const Member &Entry : m_Dependencies.m_Cluster.membership().members()) {
      const InstanceId Peer = Entry.m_Update.m_Instance;
      const std::optional<Endpoint> Address = m_Dependencies.m_Cluster.peerAddressOf(Peer);
      if (!Address) {
        Missing.push_back(Peer);
        continue;
      }
      Expected<PeerTimeline> Reply = co_await m_Dependencies.m_PeerClient.timeline(*Address, Filter);
      if (Reply)
        Lists.push_back(std::move(Reply->m_Events));
      else
        Missing.push_back(Peer);
    }
  }
  co_return mergeTimelines(Lists).m_Events;
}

OperatorApi::ResponseTask OperatorApi::timeline(const HttpRequest &Request) {
  const EventFilter Filter = filterFrom(Request);
  const bool All = Request.query("all").value_or("") == "true";
  TimelineReply Reply;
  std::vector<TimelineEvent> Events = co_await collectEvents(Filter, All, Reply.m_Missing);
  if (Request.query("format").value_or("") == "events")
    co_return json(200, eventsToJson(Events));
  const LamportTime AfterTime(numberOr(Request.query("after"), 0));
  const std::string Subject = queryText(Request, "subject");
  for (const TimelineEvent &Event : Events) {
    TimelineEntry Entry = toEntry(Event);
    if (Entry.m_Lamport <= AfterTime || (!Subject.empty() && Entry.m_Subject != Subject))
      continue;
    Reply.m_Events.push_back(std::move(Entry));
  }
  Reply.m_Truncated = Events.size() >= Filter.m_Limit;
  co_return json(200, encodeMessage(Reply));
}

OperatorApi::ResponseTask OperatorApi::charges(const HttpRequest &Request) {
  ChargesReply Reply;
  Reply.m_Team = TeamId(queryText(Request, "team"));
  const std::string Prefix = chargeKey(Reply.m_Team, RequestId());
  Expected<std::vector<Row>> Rows = co_await m_Dependencies.m_TableService.scan(Prefix, 1000);
  if (!Rows)
    co_return Rows.error();
  const std::string AfterKey = queryText(Request, "after");
  for (const Row &ChargeRow : *Rows) {
    if (ChargeRow.m_Key <= AfterKey)
      continue;
    if (Reply.m_Charges.size() == MaxPageEntries) {
      Reply.m_Next = chargeKey(Reply.m_Team, Reply.m_Charges.back().m_Request);
      break;
    }
    Expected<Charge> Stored = decodeCharge(ChargeRow.m_Value);
    if (!Stored)
      co_return Stored.error();
    ChargeRecord Record;
    Record.m_Request = Stored->m_Request;
    Record.m_Amount = Stored->m_Amount;
    Record.m_Subject = Stored->m_Target;
    Record.m_PromptTokens = Stored->m_PromptTokens;
    Record.m_CompletionTokens = Stored->m_CompletionTokens;
    Record.m_At = Stored->m_CompletedAt;
    Reply.m_Total += Stored->m_Amount;
    Reply.m_Charges.push_back(std::move(Record));
  }
  Reply.m_Waiting = m_Dependencies.m_Billing.ledger().unstoredCount();
  co_return json(200, encodeMessage(Reply));
}

std::vector<InstanceStatus> OperatorApi::instanceStatus() const {
  std::vector<InstanceStatus> List;
  for (const Member &Peer : m_Dependencies.m_Cluster.membership().members()) {
    InstanceStatus Entry;
    Entry.m_Instance = Peer.m_Update.m_Instance;
    Entry.m_Domain = Peer.m_Update.m_Domain;
    if (const std::optional<Endpoint> Admin = m_Dependencies.m_Cluster.adminAddressOf(Entry.m_Instance))
      Entry.m_Admin = Admin->toString();
    Entry.m_State = stateName(Peer.m_Update.m_State);
    Entry.m_Confirmed = Peer.m_Update.m_Revision;
    List.push_back(std::move(Entry));
  }
  return List;
}

std::vector<UpstreamStatus> OperatorApi::upstreamStatus() const {
  std::vector<UpstreamStatus> List;
  const TimePoint Now = m_Runtime.m_Clock();
  const UpstreamTable &Upstreams = m_Dependencies.m_Routing.upstreams();
  for (const std::pair<const UpstreamId, Upstream> &Object :
       m_Dependencies.m_Cluster.effectiveConfiguration()->m_Upstreams) {
    UpstreamStatus Entry;
    Entry.m_Upstream = Object.first;
    Entry.m_Domain = Object.second.m_Domain;
    const std::uint32_t Index = Upstreams.indexOf(Object.first);
    if (Index == UpstreamTable::NoIndex) {
      Entry.m_State = "out";
      Entry.m_Reason = "outside this instance's subset";
      List.push_back(std::move(Entry));
      continue;
    }
    const Exclusion Cause = Upstreams.exclusion(Index, Now);
    Entry.m_Reason = Cause == Exclusion::None ? "" : std::string(nameOf(Cause));
    switch (Cause) {
    case Exclusion::None:
      Entry.m_State = std::string(nameOf(Upstreams.warmth(Index, Now)));
      break;
    case Exclusion::DomainOut:
      Entry.m_State = "out";
      break;
    case Exclusion::Draining:
    case Exclusion::Leaving:
      Entry.m_State = "draining";
      break;
    case Exclusion::Unreachable:
      Entry.m_State = "failed";
      break;
    }
    Entry.m_Limit = Upstreams.limit(Index, Now);
    Entry.m_Running = Upstreams.knownLoad(Index);
    List.push_back(std::move(Entry));
  }
  return List;
}

StatusReply OperatorApi::status() const {
  StatusReply Reply;
  Reply.m_Instance = m_Dependencies.m_Cluster.self();
  Reply.m_Domain = m_Runtime.m_Settings.m_Domain;
  Reply.m_Region = m_Runtime.m_Settings.m_Region;
  Reply.m_Revision = m_Dependencies.m_Cluster.configStore().revision();
  const std::optional<Error> Missing = m_Dependencies.m_Cluster.readinessError();
  Reply.m_Ready = !Missing && m_Dependencies.m_Drain.ready();
  if (Missing)
    Reply.m_NotReadyReason = Missing->m_Detail;
  Reply.m_Draining = m_Dependencies.m_Drain.draining();
  Reply.m_Restrictions = m_Dependencies.m_Cluster.configStore().restrictions().active();
  Reply.m_Instances = instanceStatus();
  Reply.m_Upstreams = upstreamStatus();
  Reply.m_ChargesWaiting = m_Dependencies.m_Billing.ledger().unstoredCount();
  for (const PermitService::HeldLease &OwnLease : m_Dependencies.m_Permits.heldLeases()) {
    LeaseStatus Lease;
    Lease.m_Shard = OwnLease.m_Shard.m_Domain.value() + "/" + std::to_string(OwnLease.m_Shard.m_Shard);
    Lease.m_Fencing = OwnLease.m_Fencing;
    Lease.m_ExpiresIn = std::chrono::duration_cast<std::chrono::milliseconds>(OwnLease.m_Remaining);
    Reply.m_Leases.push_back(std::move(Lease));
  }
  Reply.m_StoreReachable = m_Dependencies.m_Cluster.storeReachable();
  if (const std::optional<Duration> Age =
          m_Dependencies.m_Cluster.membership().headReadAge(m_Runtime.m_Clock()))
    Reply.m_HeadAge = std::chrono::duration_cast<std::chrono::milliseconds>(*Age);
  return Reply;
}

std::string OperatorApi::metrics() const {
  std::ostringstream Out;
  const PeerCounters Server = m_Dependencies.m_PeerServer.counters();
  const PeerCounters Client = m_Dependencies.m_PeerClient.counters();
  std::uint64_t Messages = 0;
  for (std::size_t Method = 0; Method < peerMethodCount; ++Method)
    Messages += Server.m_Methods[Method].m_MessagesSent + Server.m_Methods[Method].m_MessagesReceived +
                Client.m_Methods[Method].m_MessagesSent + Client.m_Methods[Method].m_MessagesReceived;
  Out << "bulrushpitch_requests_total " << m_Dependencies.m_CallerApi.completedRequests() << '\n'
      << "bulrushpitch_refusals_total " << m_Dependencies.m_CallerApi.rejectedRequests() << '\n'
      << "bulrushpitch_requests_active " << m_Dependencies.m_CallerApi.activeRequests() << '\n'
      << "bulrushpitch_requests_queued " << m_Dependencies.m_Routing.queuedRequests() << '\n'
      << "bulrushpitch_connections_open " << m_Dependencies.m_CallerApi.server().openConnections() << '\n'
      << "bulrushpitch_configuration_revision " << m_Dependencies.m_Cluster.configStore().revision() << '\n'
      << "bulrushpitch_charges_waiting " << m_Dependencies.m_Billing.ledger().unstoredCount() << '\n'
      << "bulrushpitch_charges_held_for_peers " << m_Dependencies.m_Billing.ledger().heldCopyCount() << '\n'
      << "bulrushpitch_instances_live " << m_Dependencies.m_Cluster.membership().liveCount() << '\n'
      << "bulrushpitch_table_reads_total " << m_Dependencies.m_TableExecutor->reads() << '\n'
      << "bulrushpitch_table_writes_total " << m_Dependencies.m_TableExecutor->writes() << '\n'
      << "bulrushpitch_peer_messages_total " << Messages << '\n'
      << "bulrushpitch_peer_bytes_sent_total " << Server.m_WireBytesSent + Client.m_WireBytesSent << '\n'
      << "bulrushpitch_peer_bytes_received_total " << Server.m_WireBytesReceived + Client.m_WireBytesReceived
      << '\n'
      << "bulrushpitch_resident_bytes " << residentBytes() << '\n'
      << "bulrushpitch_processor_seconds_total " << cpuSeconds() << '\n';
  return Out.str() + m_Dependencies.m_Metrics.render();
}

} // namespace bulrushpitch
