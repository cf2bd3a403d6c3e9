#include "forwarded_request.h"

#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/forward/model_choice.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace bulrushpitch::detail {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A daemon usually reads its configuration within a tenth of this after its start.
constexpr Duration StartTime = milliseconds(700);
constexpr Duration StartCheckInterval = milliseconds(15);
/// Covers a round trip to another region and a slow accept; a lost opening packet is not worth waiting for.
constexpr Duration ConnectTimeout = milliseconds(300);
/// Part of the target latency that one attempt of a repeatable request may take to its head.
constexpr double HeadShareOfTarget = 0.75;
constexpr Duration LeastHeadTimeout = milliseconds(250);
/// An upstream that is at work for others gets more time, in steps, up to a share of the target latency.
constexpr Duration HeadExtension = milliseconds(300);
constexpr double MostHeadShareOfTarget = 1.5;
/// A busy engine reads the prompts of others first, and starting again elsewhere costs the reading so far.
constexpr Duration LeastStreamHeadTimeout = milliseconds(1500);
/// Upstreams are cold for seconds and spaced requests go on; a free place comes soon.
constexpr Duration RetryAfterCold = milliseconds(400);
constexpr Duration RetryAfterNoUpstream = milliseconds(1000);
constexpr Duration RetryAfterRefused = milliseconds(250);
constexpr Duration RetryAfterUnknown = milliseconds(500);

constexpr std::uint32_t NotSentAtCompletion = 2;

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

const char *nameOf(RequestKind Value) {
  switch (Value) {
  case RequestKind::Idempotent:
    return "idempotent";
  case RequestKind::NonIdempotent:
    return "non_idempotent";
  case RequestKind::Stream:
    return "stream";
  }
  return "unknown";
}

std::string secondsText(Duration Value) {
  const std::int64_t Ms = std::chrono::duration_cast<milliseconds>(Value).count();
  const std::string Rest = std::to_string(1000 + Ms % 1000).substr(1);
  return std::to_string(Ms / 1000) + "." + Rest;
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwarderParts &Parts, HttpRequest &Request, ResponseWriter &Writer)
    : m_Parts(Parts), m_Request(Request), m_Writer(Writer), m_ArrivedAt(Parts.m_Clock()),
      m_Deadline(m_ArrivedAt), m_Caller(Parts.m_Translation.m_ReadRequest(Request)),
      m_Hash(stableHash(m_Caller.m_AttemptId)), m_Sequence(m_Caller.m_AfterEvent) {}

asio::awaitable<void> ForwardedRequest::waitForStart() {
  const GatewayState &State = m_Parts.m_State;
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (!State.known() && m_Parts.m_Clock() - m_Parts.m_StartedAt < StartTime) {
    Pause.expires_after(StartCheckInterval);
    boost::system::error_code Ignored;
    co_await Pause.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  }
  m_Directory = State.m_Directory;
}

asio::awaitable<void> ForwardedRequest::serve() {
  co_await waitForStart();
  if (!m_Parts.m_State.known()) {
    co_await refuse(StatusUnavailable, RetryAfterUnknown, "configuration not known yet");
    co_return;
  }
  if (const std::optional<unsigned> Status = resolve()) {
    co_await refuse(*Status, std::nullopt, "not allowed");
    co_return;
  }
  m_Writer.onClientGone([this] {
    m_CallerGone = true;
    if (m_Handle)
      m_Handle->cancel();
  });
  co_await run();
}

std::optional<unsigned> ForwardedRequest::resolve() {
  m_Route = m_Directory->route(m_Request.m_Headers.find("Host").value_or(""), m_Request.path());
  if (!m_Route)
    return StatusNotFound;
  m_Team = m_Caller.m_Key.empty() ? nullptr : m_Directory->teamOfKey(m_Caller.m_Key);
  if (m_Route->m_Public)
    m_Team = nullptr;
  else if (m_Directory->asksForKeys() && !m_Team)
    return StatusUnauthorized;
  Duration Allowed = m_Route->m_Timeout;
  if (m_Caller.m_Patience)
    Allowed = std::min(Allowed, *m_Caller.m_Patience);
  m_Deadline = m_ArrivedAt + Allowed;
  m_Model = firstModel(m_Route->m_Models);
  chooseService();
  return std::nullopt;
}

void ForwardedRequest::chooseService() {
  double Total = 0.0;
  for (const ServiceShare &Share : m_Route->m_Services)
    Total += Share.m_Weight;
  constexpr double Steps = 1e6;
  double At = static_cast<double>(mixHash(m_Hash, 1) % static_cast<std::uint64_t>(Steps)) / Steps * Total;
  for (const ServiceShare &Share : m_Route->m_Services) {
    m_Service = Share.m_Service;
    At -= Share.m_Weight;
    if (At < 0.0)
      return;
  }
}

asio::awaitable<void> ForwardedRequest::run() {
  m_Parts.m_State.budgetOf(m_Service).onRequest(m_ArrivedAt);
  while (!m_CallerGone) {
    const Placement Place = choosePlace();
    m_NoPlace = !Place.m_Upstream;
    if (m_NoPlace) {
      m_Obstacle = Place.m_Obstacle;
      break;
    }
    const UpstreamId Target = Place.m_Upstream->m_Entry.m_Id;
    const VersionId Version = Place.m_Upstream->m_Entry.m_Version;
    m_Last = co_await attempt(*Place.m_Upstream);
    noteEnd(Target, Version, m_Last);
    if (m_Last == AttemptOutcome::Answered || !mayGoOn(m_Last))
      break;
  }
  if (m_CallerGone)
    logEnd("caller gone", 0);
  else if (m_Last != AttemptOutcome::Answered || m_NoPlace)
    co_await fail();
  else
    logEnd("answered", 200);
}

bool ForwardedRequest::mayGoOn(AttemptOutcome Last) {
  if (!mayRetry(retryState(), Last))
    return false;
  if (Last == AttemptOutcome::Dropped)
    return true; // Its place in the budget was taken when it was dropped.
  // A request that never left does not load the service.
  return Last == AttemptOutcome::NotSent || m_Parts.m_State.budgetOf(m_Service).takeRetry(m_Parts.m_Clock());
}

RetryState ForwardedRequest::retryState() const {
  RetryState State;
  State.m_Kind = m_Route->m_Kind;
  State.m_Resumable = m_Route->m_Resumable;
  State.m_Sent = countedAttempts();
  State.m_MaxAttempts = m_Route->m_MaxAttempts;
  State.m_NotSent = m_NotSent;
  State.m_Left = left();
  State.m_MayHaveRun = m_MayHaveRun;
  return State;
}

Placement ForwardedRequest::choosePlace() {
  GatewayState &State = m_Parts.m_State;
  const TimePoint Now = m_Parts.m_Clock();
  PlacementQuery Query;
  Query.m_Service = m_Service;
  Query.m_Regions = m_Route->m_Regions;
  if (m_Team)
    Query.m_TeamRegions = m_Team->m_Regions;
  Query.m_Affinity = m_Caller.m_PromptHash;
  Query.m_SharedWork =
      State.m_ReadingTime.expected(askedModel().value_or(ModelId()), m_Caller.m_SharedTokens);
  Query.m_Tried = m_Tried;
  VersionTrial *Trial = State.trialOf(m_Service);
  const bool OnTrial = Trial && Trial->state() == TrialState::Running;
  if (Trial) {
    const std::uint64_t Key = m_Caller.m_Session ? stableHash(*m_Caller.m_Session) : mixHash(m_Hash, 2);
    Query.m_Versions = Trial->ruleFor(Key, m_Caller.m_Session.has_value(), Now);
    // A request that has failed already goes on with the version that is known.
    if (m_HadFailure && OnTrial)
      Query.m_Versions = VersionRule{std::nullopt, Trial->order().m_To, 1.0};
    // Several upstreams that take no connections have been stopped: the new version was completed just now.
    if (m_NotSent >= NotSentAtCompletion && OnTrial)
      Query.m_Versions = VersionRule{Trial->order().m_To, std::nullopt, 1.0};
  }
  if (const ForwardService *Service = m_Directory->service(m_Service))
    Query.m_ColdPerSecond = State.coldLimit(*Service);
  const Placement Found = place(State.m_Pool, Query, State.m_Here, Now);
  if (Found.m_Upstream || !OnTrial)
    return Found;
  // The new version's upstreams may not have come yet, or the old one's be gone already.
  Query.m_Versions =
      Query.m_Versions.m_Only ? VersionRule{std::nullopt, Trial->order().m_To, 1.0} : VersionRule{};
  return place(State.m_Pool, Query, State.m_Here, Now);
}

std::optional<ModelId> ForwardedRequest::askedModel() const {
  if (!m_Caller.m_AnyModel || m_Route->m_Models.empty())
    return std::nullopt;
  return m_Route->m_Models[m_Model];
}

void ForwardedRequest::endWork(const UpstreamId &Target) {
  m_Parts.m_State.m_Pool.onWorkDone(Target, m_Work);
  m_Work = Duration::zero();
}

std::uint32_t ForwardedRequest::countedAttempts() const {
  const TimePoint Now = m_Parts.m_Clock();
  const UpstreamPool &Pool = m_Parts.m_State.m_Pool;
  return static_cast<std::uint32_t>(std::count_if(
      m_SentTo.begin(), m_SentTo.end(), [&](const UpstreamId &Id) { return !Pool.ended(Id, Now); }));
}

bool ForwardedRequest::mayRetryNow() const {
  return mayRetry(retryState(), AttemptOutcome::TimedOut) &&
         m_Parts.m_State.budgetOf(m_Service).allows(m_Parts.m_Clock());
}

Duration ForwardedRequest::moreTimeForHead(const UpstreamId &Target) const {
  const TimePoint Now = m_Parts.m_Clock();
  const Duration Most =
      std::chrono::duration_cast<Duration>(m_Route->m_TargetLatency * MostHeadShareOfTarget);
  const Duration Waited = Now - m_SentAt;
  if (!m_Parts.m_State.m_Pool.alive(Target, Now) || Waited >= Most)
    return Duration::zero();
  return std::min({HeadExtension, Most - Waited, left()});
}

CallOptions ForwardedRequest::callOptions(const UpstreamId &Target) const {
  CallOptions Options;
  const Duration Left = std::max(left(), Duration::zero());
  Options.m_ConnectTimeout = std::min(ConnectTimeout, Left);
  Options.m_HeadTimeout = Left;
  RetryState AfterThis = retryState();
  if (mayRetry(AfterThis, AttemptOutcome::TimedOut)) {
    const Duration Latency = m_Route->m_TargetLatency;
    const Duration Share = std::chrono::duration_cast<Duration>(Latency * HeadShareOfTarget);
    const Duration Least = streams() ? LeastStreamHeadTimeout : LeastHeadTimeout;
    Options.m_HeadTimeout = std::min(Left, std::max(Least, Share));
  }
  Options.m_OnHeadTimeout = [this, Target] { return moreTimeForHead(Target); };
  Options.m_Handle = m_Handle;
  Options.m_Belongs = [this](const HttpHeaders &Headers) {
    return m_Parts.m_Translation.m_Belongs(Headers, m_Caller.m_AttemptId);
  };
  return Options;
}

UpstreamCall ForwardedRequest::upstreamCall(const PooledUpstream &Target) const {
  UpstreamCall Call;
  Call.m_Upstream = Target.m_Entry.m_Id;
  Call.m_Left = left();
  if (m_Team)
    Call.m_Team = m_Team->m_Id;
  Call.m_Model = askedModel();
  Call.m_Priority = m_Team && m_Team->m_Priority ? *m_Team->m_Priority : m_Route->m_Priority;
  Call.m_AfterEvent = m_Sequence.last();
  return Call;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::attempt(PooledUpstream &Target) {
  const UpstreamId Id = Target.m_Entry.m_Id;
  const Endpoint Address = Target.m_Entry.m_Address;
  m_Tried.push_back(Id);
  m_Handle = std::make_shared<CallHandle>();
  HttpRequest Sent = m_Parts.m_Translation.m_ToUpstream(m_Request, upstreamCall(Target));
  m_SentTo.push_back(Id);
  CallOptions Options = callOptions(Id);
  m_AskedModel = m_Model;
  m_Confidence = 0;
  m_SentAt = m_Parts.m_Clock();
  m_HeadTook = Duration::zero();
  const ModelId Asked = askedModel().value_or(ModelId());
  m_Work = m_Parts.m_State.m_ReadingTime.expected(Asked, m_Caller.m_PromptTokens);
  m_AskedName = Asked;
  m_ExpectedWork = m_Work;
  m_Parts.m_State.m_Pool.onSent(Id, m_Work);
  Expected<Head> Opened = co_await m_Parts.m_Upstreams.open(Address, std::move(Sent), std::move(Options));
  if (!Opened)
    co_return outcomeOf(Opened.error());
  m_HeadTook = m_Parts.m_Clock() - m_SentAt;
  m_Parts.m_State.m_Pool.onHeard(Id, m_Parts.m_Clock());
  m_Parts.m_State.m_ReadingTime.record(Asked, m_Caller.m_PromptTokens, m_HeadTook);
  endWork(Id);
  co_return co_await judge(**Opened);
}

AttemptOutcome ForwardedRequest::outcomeOf(const Error &Failure) const {
  if (m_CallerGone)
    return AttemptOutcome::CallerGone;
  if (Failure.m_Code == ErrorCode::UpstreamConnect)
    return AttemptOutcome::NotSent;
  return Failure.m_Code == ErrorCode::UpstreamTimeout ? AttemptOutcome::TimedOut : AttemptOutcome::Broken;
}

void ForwardedRequest::noteEnd(const UpstreamId &Target, const VersionId &Version, AttemptOutcome Outcome) {
  endWork(Target);
  m_Parts.m_State.m_Pool.onEnded(Target, Outcome, m_Parts.m_Clock());
  m_Handle.reset();
  if (Outcome == AttemptOutcome::NotSent) {
    ++m_NotSent;

    m_SentTo.pop_back();
  }
  if (!certainlyNotRun(Outcome))
    m_MayHaveRun = true;
  m_Parts.m_Log.add(
      LogClass::Request, "attempt_ended",
      {{"request", std::string_view(m_Caller.m_AttemptId)},
       {"upstream", std::string_view(Target.value())},
       {"version", std::string_view(Version.value())},
       {"outcome", nameOf(Outcome)},
       {"model", static_cast<std::int64_t>(m_AskedModel)},
       {"confidence", static_cast<std::int64_t>(m_Confidence)},
       {"event_gap_ms", std::chrono::duration<double, std::milli>(m_Parts.m_State.m_Pace.usualGap()).count()},
       {"head_ms", std::chrono::duration<double, std::milli>(m_HeadTook).count()}});
  m_Parts.m_Metrics
      .counter("bulrushpitch_attempts_total", "Attempts that ended, by outcome.",
               {{"outcome", std::string(nameOf(Outcome))}})
      .add();
  if (m_HeadTook > Duration::zero())
    m_Parts.m_Metrics
        .distribution("bulrushpitch_attempt_head_seconds", "From sending to the head of an answer.")
        .record(m_HeadTook);
  const bool Good = Outcome == AttemptOutcome::Answered || Outcome == AttemptOutcome::Dropped;
  const bool Counts = Good || Outcome == AttemptOutcome::Failed || Outcome == AttemptOutcome::Broken ||
                      Outcome == AttemptOutcome::TimedOut;
  m_HadFailure = m_HadFailure || (Counts && !Good);
  VersionTrial *Trial = m_Parts.m_State.trialOf(m_Service);
  if (!Trial || !Counts)
    return;
  TrialSample Sample;
  Sample.m_Route = m_Route->m_Name;
  Sample.m_Model = m_AskedName;
  Sample.m_OnNew = Version == Trial->order().m_To;
  Sample.m_Failed = !Good;
  Sample.m_Latency = m_HeadTook;
  Sample.m_Expected = m_ExpectedWork;
  const PooledUpstream *Known = m_Parts.m_State.m_Pool.find(Target);
  Sample.m_Cold = Known && m_Parts.m_State.m_Pool.cold(*Known, m_Parts.m_Clock());
  Trial->record(Sample);
}

asio::awaitable<void> ForwardedRequest::fail() {
  if (m_Writer.begun()) {
    logEnd("stream cut", 0);
    co_return;
  }
  if (m_Last == AttemptOutcome::Failed && m_Failure && !m_NoPlace) {
    logEnd("upstream failed", m_Failure->m_Status);
    static_cast<void>(co_await m_Writer.send(std::move(*m_Failure)));
    co_return;
  }
  Duration RetryAfter = RetryAfterRefused;
  if (m_NoPlace)
    RetryAfter = m_Obstacle == NoPlace::AllCold ? RetryAfterCold : RetryAfterNoUpstream;
  const FinalFailure Told = failureFor(m_Last, !m_MayHaveRun, RetryAfter);
  co_await refuse(Told.m_Status, Told.m_RetryAfter, m_NoPlace ? nameOf(m_Obstacle) : "attempts failed");
}

asio::awaitable<void> ForwardedRequest::refuse(unsigned Status, std::optional<Duration> RetryAfter,
                                               std::string_view Why) {
  logEnd(Why, Status);
  HttpResponse Response;
  Response.m_Status = Status;
  if (RetryAfter)
    Response.m_Headers.add("Retry-After", secondsText(*RetryAfter));
  static_cast<void>(co_await m_Writer.send(std::move(Response)));
}

void ForwardedRequest::logEnd(std::string_view Outcome, unsigned Status) {
  const double Took = std::chrono::duration<double, std::milli>(m_Parts.m_Clock() - m_ArrivedAt).count();
  const std::string_view Route = m_Route ? std::string_view(m_Route->m_Name) : std::string_view();
  const std::int64_t Revision =
      m_Directory ? static_cast<std::int64_t>(m_Directory->config().m_Revision.value()) : 0;
  m_Parts.m_Log.add(LogClass::Request, "request_ended",
                    {{"request", std::string_view(m_Caller.m_AttemptId)},
                     {"route", Route},
                     {"service", std::string_view(m_Service.value())},
                     {"revision", Revision},
                     {"outcome", Outcome},
                     {"last", nameOf(m_Last)},
                     {"status", static_cast<std::int64_t>(Status)},
                     {"attempts", static_cast<std::int64_t>(m_SentTo.size())},
                     {"took_ms", Took}});
  m_Parts.m_Metrics
      .counter("bulrushpitch_requests_total", "Requests that ended, by outcome.",
               {{"outcome", std::string(Outcome)}})
      .add();
  m_Parts.m_Metrics
      .distribution("bulrushpitch_request_seconds", "From a caller's request to its end.",
                    {{"kind", m_Route ? nameOf(m_Route->m_Kind) : "none"}})
      .record(m_Parts.m_Clock() - m_ArrivedAt);
}

} // namespace bulrushpitch::detail

namespace bulrushpitch {

boost::asio::awaitable<void> Forwarder::handle(HttpRequest &Request, ResponseWriter &Writer) {
  detail::ForwardedRequest Served(m_Parts, Request, Writer);
  co_await Served.serve();
}

} // namespace bulrushpitch
