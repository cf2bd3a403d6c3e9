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

/// A starting daemon usually has read its configuration within a tenth of this.
constexpr Duration StartupTimeout = milliseconds(700);
constexpr Duration StartupPollInterval = milliseconds(15);
/// Covers a round trip to another region and a slow accept, but not the retransmission of a lost SYN packet.
constexpr Duration ConnectTimeout = milliseconds(300);
/// Head timeout of an attempt that may be retried, as a share of the target latency.
constexpr double HeadTimeoutTargetShare = 0.75;
constexpr Duration MinHeadTimeout = milliseconds(250);
/// A busy engine prefills queued prompts first, and failing over discards the prefill done so far.
constexpr Duration MinStreamHeadTimeout = milliseconds(1500);
/// Upstreams stay cold for seconds but accept requests at a limited rate, so spare capacity appears soon.
constexpr Duration RetryAfterCold = milliseconds(400);
constexpr Duration RetryAfterNoUpstream = milliseconds(1000);
/// For failures other than a missing upstream.
constexpr Duration DefaultRetryAfter = milliseconds(250);
/// Other daemons may have an upstream earlier than this one.
constexpr Duration MaxRetryAfter = milliseconds(2000);
constexpr Duration RetryAfterNotReady = milliseconds(500);

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

std::string formatSeconds(Duration Value) {
  const std::int64_t Ms = std::chrono::duration_cast<milliseconds>(Value).count();
  const std::string Fraction = std::to_string(1000 + Ms % 1000).substr(1);
  return std::to_string(Ms / 1000) + "." + Fraction;
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwarderDependencies &Dependencies, HttpRequest &Request,
                                   ResponseWriter &Writer)
    : m_Dependencies(Dependencies), m_Request(Request), m_Writer(Writer), m_ArrivedAt(Dependencies.m_Clock()),
      m_Deadline(m_ArrivedAt), m_Caller(Dependencies.m_Translation.m_ReadRequest(Request)),
      m_RequestHash(stableHash(m_Caller.m_AttemptId)), m_Sequence(m_Caller.m_AfterEvent) {}

asio::awaitable<void> ForwardedRequest::waitUntilReady() {
  const GatewayState &State = m_Dependencies.m_State;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (!State.isReady() && m_Dependencies.m_Clock() - m_Dependencies.m_StartedAt < StartupTimeout) {
    Timer.expires_after(StartupPollInterval);
    boost::system::error_code WaitError;
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, WaitError));
  }
  m_ConfigIndex = State.m_ConfigIndex;
}

asio::awaitable<void> ForwardedRequest::serve() {
  co_await waitUntilReady();
  if (!m_Dependencies.m_State.isReady()) {
    co_await reject(StatusUnavailable, RetryAfterNotReady, "configuration not known yet");
    co_return;
  }
  if (const std::optional<unsigned> Status = resolve()) {
    co_await reject(*Status, std::nullopt, "not allowed");
    co_return;
  }
  if (const std::optional<QuarantinedPart> Quarantined = quarantinedPart()) {
    co_await rejectQuarantined(*Quarantined);
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
  m_Route = m_ConfigIndex->route(m_Request.m_Headers.find("Host").value_or(""), m_Request.path());
  if (!m_Route)
    return StatusNotFound;
  m_Team = m_Caller.m_ApiKey.empty() ? nullptr : m_ConfigIndex->teamOfKey(m_Caller.m_ApiKey);
  if (m_Route->m_Public)
    m_Team = nullptr;
  else if (m_ConfigIndex->requiresApiKeys() && !m_Team)
    return StatusUnauthorized;
  Duration Timeout = m_Route->m_Timeout;
  if (m_Caller.m_RemainingTime)
    Timeout = std::min(Timeout, *m_Caller.m_RemainingTime);
  m_Deadline = m_ArrivedAt + Timeout;
  chooseService();
  m_ModelIndex =
      firstModel(m_Route->m_Models, mayEscalate(), m_Dependencies.m_State.m_EventGapAverage.averageGap(),
                 m_Dependencies.m_State.m_HeadDelayAverage.share());
  return std::nullopt;
}

void ForwardedRequest::chooseService() {
  double TotalWeight = 0.0;
  for (const ServiceShare &Share : m_Route->m_Services)
    TotalWeight += Share.m_Weight;
  constexpr double Steps = 1e6;
  double RemainingWeight =
      static_cast<double>(mixHash(m_RequestHash, 1) % static_cast<std::uint64_t>(Steps)) / Steps *
      TotalWeight;
  for (const ServiceShare &Share : m_Route->m_Services) {
    m_Service = Share.m_Service;
    RemainingWeight -= Share.m_Weight;
    if (RemainingWeight < 0.0)
      return;
  }
}

asio::awaitable<void> ForwardedRequest::run() {
  m_Dependencies.m_State.retryBudgetOf(m_Service).onRequest(m_ArrivedAt);
  while (!m_CallerGone) {
    const Placement Chosen = chooseNextUpstream();
    if (!Chosen.m_Upstream) {
      recordNoUpstream(Chosen);
      m_RetryDenial = RetryDenial::NoUpstream;
      break;
    }
    const UpstreamId Target = Chosen.m_Upstream->m_Entry.m_Id;
    const VersionId Version = Chosen.m_Upstream->m_Entry.m_Version;
    m_LastOutcome = co_await attempt(*Chosen.m_Upstream);
    recordAttemptEnd(Target, Version, m_LastOutcome);
    m_RetryDenial = co_await awaitRetry(m_LastOutcome);
    if (m_RetryDenial)
      break;
  }
  if (m_CallerGone)
    recordRequestEnd("caller gone", 0);
  else if (m_LastOutcome != AttemptOutcome::Answered)
    co_await fail();
  else
    recordRequestEnd("answered", 200);
}

std::optional<ModelId> ForwardedRequest::chosenModel() const {
  if (!m_Caller.m_AnyModel || m_Route->m_Models.empty())
    return std::nullopt;
  return m_Route->m_Models[m_ModelIndex];
}

void ForwardedRequest::releasePendingPrefill(const UpstreamId &Target) {
  m_Dependencies.m_State.m_Pool.onPrefillDone(Target, m_PendingPrefill);
  m_PendingPrefill = Duration::zero();
}

CallOptions ForwardedRequest::callOptions(const UpstreamId &Target) {
  CallOptions Options;
  const Duration Remaining = std::max(remainingTime(), Duration::zero());
  Options.m_ConnectTimeout = std::min(ConnectTimeout, Remaining);
  const Duration TargetShare =
      std::chrono::duration_cast<Duration>(m_Route->m_TargetLatency * HeadTimeoutTargetShare);
  const Duration MinTimeout = isStream() ? MinStreamHeadTimeout : MinHeadTimeout;
  const bool OnlyOnce = retryDenial(retryState(), AttemptOutcome::TimedOut) == RetryDenial::NotRepeatable;
  Options.m_HeadTimeout = OnlyOnce ? Remaining : std::min(Remaining, std::max(MinTimeout, TargetShare));
  Options.m_OnHeadTimeout = [this, Target] { return headTimeoutExtension(Target); };
  Options.m_Handle = m_Handle;
  Options.m_Belongs = [this](const HttpHeaders &Headers) {
    return m_Dependencies.m_Translation.m_BelongsToAttempt(Headers, m_Caller.m_AttemptId);
  };
  return Options;
}

UpstreamCall ForwardedRequest::upstreamCall(const PooledUpstream &Target) const {
  UpstreamCall Call;
  Call.m_Upstream = Target.m_Entry.m_Id;
  Call.m_RemainingTime = remainingTime();
  if (m_Team)
    Call.m_Team = m_Team->m_Id;
  Call.m_Model = chosenModel();
  Call.m_Priority = m_Team && m_Team->m_Priority ? *m_Team->m_Priority : m_Route->m_Priority;
  Call.m_AfterEvent = m_Sequence.last();
  return Call;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::attempt(PooledUpstream &Target) {
  const UpstreamId Id = Target.m_Entry.m_Id;
  const Endpoint Address = Target.m_Entry.m_Address;
  m_Tried.push_back(Id);
  m_Handle = std::make_shared<CallHandle>();
  HttpRequest Outgoing = m_Dependencies.m_Translation.m_ToUpstream(m_Request, upstreamCall(Target));
  m_AttemptUpstream = Target.m_Entry;
  m_AttemptRegion = Target.m_Region;
  CallOptions Options = callOptions(Id);
  m_AttemptModelIndex = m_ModelIndex;
  m_AttemptError.reset();
  m_AttemptEvents = 0;
  m_Confidence = 0;
  m_SentAt = m_Dependencies.m_Clock();
  m_Sent.push_back({Id, m_SentAt});
  m_HeadLatency = Duration::zero();
  const ModelId Model = chosenModel().value_or(ModelId());
  m_PendingPrefill = m_Dependencies.m_State.m_PrefillTime.expected(Model, m_Caller.m_PromptTokens);
  m_AttemptModel = Model;
  m_ExpectedPrefill = m_PendingPrefill;
  m_Dependencies.m_State.m_Pool.onSent(Id, m_PendingPrefill);
  Expected<StreamPtr> Response =
      co_await m_Dependencies.m_Upstreams.open(Address, std::move(Outgoing), std::move(Options));
  if (!Response)
    co_return outcomeOf(Response.error());
  m_HeadLatency = m_Dependencies.m_Clock() - m_SentAt;
  m_Dependencies.m_State.m_Pool.onDataReceived(Id, m_Dependencies.m_Clock());
  m_Dependencies.m_State.m_Pool.onHeadReceived(Id, m_SentAt);
  if (isStream())
    m_Dependencies.m_State.m_HeadDelayAverage.record(m_HeadLatency, m_Route->m_TargetLatency);
  m_Dependencies.m_State.m_PrefillTime.record(Model, m_Caller.m_PromptTokens, m_HeadLatency);
  releasePendingPrefill(Id);
  co_return co_await handleResponse(**Response);
}

AttemptOutcome ForwardedRequest::outcomeOf(const Error &Failure) {
  m_AttemptError = Failure.m_Code;
  if (m_CallerGone)
    return AttemptOutcome::CallerGone;
  if (Failure.m_Code == ErrorCode::UpstreamConnect)
    return AttemptOutcome::NotSent;
  return Failure.m_Code == ErrorCode::UpstreamTimeout ? AttemptOutcome::TimedOut : AttemptOutcome::Broken;
}

void ForwardedRequest::recordAttemptEnd(const UpstreamId &Target, const VersionId &Version,
                                        AttemptOutcome Outcome) {
  releasePendingPrefill(Target);
  m_Dependencies.m_State.m_Pool.onEnded(Target, Outcome, m_Dependencies.m_Clock());
  m_Handle.reset();
  m_Sent.back().m_Broke = Outcome == AttemptOutcome::Broken;
  m_Sent.back().m_EndedBeforeRemoval = m_Dependencies.m_State.m_Pool.registered(Target);
  if (Outcome == AttemptOutcome::Refused && isStream())
    m_Dependencies.m_State.m_HeadDelayAverage.recordRejected();
  if (Outcome == AttemptOutcome::NotSent) {
    ++m_FailedConnections;
    m_Sent.pop_back();
  }
  if (!certainlyNotRun(Outcome))
    m_MayHaveRun = true;
  recordCrashSuspicion(Target, Outcome);
  const std::string Regions = joinRegions(m_Route->m_Regions);
  const std::string TeamRegions = m_Team ? joinRegions(m_Team->m_Regions) : std::string();
  m_Dependencies.m_Log.add(
      LogClass::Request, "attempt_ended",
      {{"request", std::string_view(m_Caller.m_AttemptId)},
       {"upstream", std::string_view(Target.value())},
       {"region", std::string_view(m_AttemptRegion.value())},
       {"route_regions", std::string_view(Regions)},
       {"team_regions", std::string_view(TeamRegions)},
       {"revision", static_cast<std::int64_t>(m_ConfigIndex->config().m_Revision.value())},
       {"newest_revision",
        static_cast<std::int64_t>(m_Dependencies.m_State.m_ConfigIndex->config().m_Revision.value())},
       {"version", std::string_view(Version.value())},
       {"outcome", nameOf(Outcome)},
       {"error", m_AttemptError ? static_cast<std::int64_t>(*m_AttemptError) : 0},
       {"events", static_cast<std::int64_t>(m_AttemptEvents)},
       {"took_ms", std::chrono::duration<double, std::milli>(m_Dependencies.m_Clock() - m_SentAt).count()},
       {"model", static_cast<std::int64_t>(m_AttemptModelIndex)},
       {"confidence", static_cast<std::int64_t>(m_Confidence)},
       {"event_gap_ms",
        std::chrono::duration<double, std::milli>(m_Dependencies.m_State.m_EventGapAverage.averageGap())
            .count()},
       {"head_delay_share", m_Dependencies.m_State.m_HeadDelayAverage.share()},
       {"head_ms", std::chrono::duration<double, std::milli>(m_HeadLatency).count()}});
  m_Dependencies.m_Metrics
      .counter("bulrushpitch_attempts_total", "Attempts that ended, by outcome.",
               {{"outcome", std::string(nameOf(Outcome))}})
      .add();
  if (m_HeadLatency > Duration::zero())
    m_Dependencies.m_Metrics
        .distribution("bulrushpitch_attempt_head_seconds", "From sending to the head of an answer.")
        .record(m_HeadLatency);
  const bool Succeeded = Outcome == AttemptOutcome::Answered || Outcome == AttemptOutcome::Escalated;
  const bool CountsForTrial = Succeeded || Outcome == AttemptOutcome::Failed ||
                              Outcome == AttemptOutcome::Broken || Outcome == AttemptOutcome::TimedOut;
  m_AnyAttemptFailed = m_AnyAttemptFailed || (CountsForTrial && !Succeeded);
  VersionTrial *Trial = m_Dependencies.m_State.trialOf(m_Service);
  if (!Trial || !CountsForTrial)
    return;
  TrialSample Sample;
  Sample.m_Route = m_Route->m_Name;
  Sample.m_Model = m_AttemptModel;
  Sample.m_OnNewVersion = Version == Trial->order().m_TargetVersion;
  Sample.m_Failed = !Succeeded;
  Sample.m_Latency = m_HeadLatency;
  Sample.m_Expected = m_ExpectedPrefill;
  const PooledUpstream *Pooled = m_Dependencies.m_State.m_Pool.find(Target);
  Sample.m_Cold = Pooled && m_Dependencies.m_State.m_Pool.cold(*Pooled, m_Dependencies.m_Clock());
  Trial->record(Sample);
}

asio::awaitable<void> ForwardedRequest::fail() {
  if (m_Writer.begun()) {
    recordRequestEnd("stream cut", 0);
    co_return;
  }
  if (const std::optional<QuarantinedPart> Quarantined = quarantinedPart()) {
    co_await rejectQuarantined(*Quarantined);
    co_return;
  }
  if (m_LastOutcome == AttemptOutcome::Failed && m_ServerError && !foundNoUpstream()) {
    recordRequestEnd("upstream failed", m_ServerError->m_Status);
    static_cast<void>(co_await m_Writer.send(std::move(*m_ServerError)));
    co_return;
  }
  const FinalFailure Failure = failureFor(m_LastOutcome, !m_MayHaveRun, retryAfter());
  co_await reject(Failure.m_Status, Failure.m_RetryAfter,
                  foundNoUpstream() ? nameOf(m_NoUpstreamReason) : "attempts failed");
}

Duration ForwardedRequest::retryAfter() const {
  if (!foundNoUpstream())
    return DefaultRetryAfter;
  if (m_NoUpstreamReason == PlacementRejection::AllCold)
    return RetryAfterCold;
  if (!m_UpstreamAt)
    return RetryAfterNoUpstream;
  return std::clamp(*m_UpstreamAt - m_Dependencies.m_Clock(), DefaultRetryAfter, MaxRetryAfter);
}

void ForwardedRequest::recordNoUpstream(const Placement &Found) {
  m_NoUpstreamReason = Found.m_Rejection;
  m_UpstreamAt = Found.m_RetryAt;
}

void ForwardedRequest::recordNotice(const UpstreamNotice &Notice) {
  UpstreamNotices &Notices = m_Dependencies.m_State.m_Pool.notices();
  if (!Notices.record(m_AttemptUpstream, Notice, m_SentAt, m_Dependencies.m_Clock()))
    return;
  const std::optional<double> Limit = Notices.requestLimit(m_AttemptUpstream);
  const Duration Pause =
      std::max(Duration::zero(), Notices.pausedUntil(m_AttemptUpstream) - m_Dependencies.m_Clock());
  m_Dependencies.m_Log.add(LogClass::State, "upstream_notice",
                           {{"upstream", std::string_view(m_AttemptUpstream.m_Id.value())},
                            {"born", m_AttemptUpstream.m_StartedAt},
                            {"leaving", static_cast<std::int64_t>(Notices.isLeaving(m_AttemptUpstream))},
                            {"pause_ms", std::chrono::duration<double, std::milli>(Pause).count()},
                            {"limited", static_cast<std::int64_t>(Limit.has_value())},
                            {"requests_per_second", Limit.value_or(0.0)}});
}

asio::awaitable<void> ForwardedRequest::reject(unsigned Status, std::optional<Duration> RetryAfter,
                                               std::string_view Reason) {
  recordRequestEnd(Reason, Status);
  HttpResponse Response;
  Response.m_Status = Status;
  if (RetryAfter)
    Response.m_Headers.add("Retry-After", formatSeconds(*RetryAfter));
  static_cast<void>(co_await m_Writer.send(std::move(Response)));
}

void ForwardedRequest::recordRequestEnd(std::string_view Outcome, unsigned Status) {
  const double DurationMs =
      std::chrono::duration<double, std::milli>(m_Dependencies.m_Clock() - m_ArrivedAt).count();
  const std::string_view RouteName = m_Route ? std::string_view(m_Route->m_Name) : std::string_view();
  const std::int64_t Revision =
      m_ConfigIndex ? static_cast<std::int64_t>(m_ConfigIndex->config().m_Revision.value()) : 0;
  // A stream that is cut is rare, and its line is needed to explain it.
  const bool StreamCut = m_Writer.begun() && m_RetryDenial && *m_RetryDenial != RetryDenial::Ended;
  const LogClass Class = StreamCut ? LogClass::State : LogClass::Request;
  m_Dependencies.m_Log.add(
      Class, "request_ended",
      {{"request", std::string_view(m_Caller.m_AttemptId)},
       {"route", RouteName},
       {"service", std::string_view(m_Service.value())},
       {"revision", Revision},
       {"outcome", Outcome},
       {"last", nameOf(m_LastOutcome)},
       {"retry", m_RetryDenial ? nameOf(*m_RetryDenial) : std::string_view()},
       {"placement", foundNoUpstream() ? nameOf(m_NoUpstreamReason) : std::string_view()},
       {"left_ms", std::chrono::duration<double, std::milli>(remainingTime()).count()},
       {"status", static_cast<std::int64_t>(Status)},
       {"attempts", static_cast<std::int64_t>(m_Sent.size())},
       {"took_ms", DurationMs}});
  m_Dependencies.m_Metrics
      .counter("bulrushpitch_requests_total", "Requests that ended, by outcome.",
               {{"outcome", std::string(Outcome)}})
      .add();
  m_Dependencies.m_Metrics
      .distribution("bulrushpitch_request_seconds", "From a caller's request to its end.",
                    {{"kind", m_Route ? nameOf(m_Route->m_Kind) : "none"}})
      .record(m_Dependencies.m_Clock() - m_ArrivedAt);
}

} // namespace bulrushpitch::detail

namespace bulrushpitch {

boost::asio::awaitable<void> Forwarder::handle(HttpRequest &Request, ResponseWriter &Writer) {
  detail::ForwardedRequest Forwarded(m_Dependencies, Request, Writer);
  co_await Forwarded.serve();
}

} // namespace bulrushpitch
