#include "model_exchange.h"

#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration ChargeTimeout = std::chrono::seconds(10);
/// Exponential backoff while no allowed upstream has a free permit: without it, a request that arrived before
/// the first lease was acquired requested 419 permits in five seconds.
constexpr Duration MinPermitBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxPermitBackoff = std::chrono::seconds(1);
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t AssumedAnswerTokens = 128;

/// @return whether this failure indicates that the upstream is cold
bool indicatesCold(ErrorCode Code) {
  return Code == ErrorCode::UpstreamRefused || Code == ErrorCode::UpstreamBroken ||
         Code == ErrorCode::StreamLost;
}

RouteRequest routeRequest(const AnswerInProgress &Answer) {
  const ModelCall &Call = Answer.m_Call;
  RouteRequest Route;
  Route.m_Team = Call.m_Team;
  Route.m_Model = Call.m_Model;
  Route.m_Task = Call.m_Task;
  Route.m_Request = Call.m_Request;
  Route.m_Session = Call.m_Session;
  Route.m_PinnedVersion = Call.m_Version;
  Route.m_QualityTarget = Call.m_QualityTarget;
  Route.m_Deadline = Call.m_Deadline;
  Route.m_PromptTokens = Tokens(Answer.m_PromptText.size() / BytesPerToken);
  Route.m_ExpectedTokens = Tokens(std::min(Call.m_MaxTokens, AssumedAnswerTokens));
  Route.m_PrefixHashes = prefixHashes(Answer.m_PromptText);
  Route.m_Streaming = Call.m_Stream;
  return Route;
}

} // namespace

ModelExchange::ModelExchange(const Runtime &Base, const ModelServiceDependencies &Dependencies,
                             ExchangeRegistry &Registry, ModelCall Call, AnswerSink &Sink)
    : m_Runtime(Base), m_Dependencies(Dependencies), m_Registry(Registry),
      m_Answer(startAnswer(std::move(Call), Base.m_Clock())), m_Writer(Base, Dependencies, m_Answer, Sink),
      m_Reader(Base, Dependencies, m_Answer, m_Writer), m_Rater(Base, Dependencies, m_Answer),
      m_Route(routeRequest(m_Answer)) {
  m_Registry.add(*this);
}

ModelExchange::~ModelExchange() { m_Registry.remove(*this); }

asio::awaitable<Expected<Done>> ModelExchange::run() {
  Expected<Done> Pinned = co_await pinSession();
  if (!Pinned)
    co_return Pinned;
  while (true) {
    Expected<Done> StepResult = co_await runCascadeStep();
    if (!StepResult)
      co_return StepResult;
    if (co_await m_Rater.accept())
      break;
    escalate();
  }
  co_return co_await finish();
}

// --- Session

asio::awaitable<Expected<Done>> ModelExchange::pinSession() {
  if (m_Answer.m_Call.m_SessionToken)
    co_return continueSession(*m_Answer.m_Call.m_SessionToken);
  if (!m_Answer.m_Call.m_Session)
    co_return Done{};
  co_return co_await startSession(*m_Answer.m_Call.m_Session);
}

Expected<Done> ModelExchange::continueSession(const std::string &Token) {
  Expected<SessionClaims> Claims =
      m_Dependencies.m_Sessions.verifySessionToken(Token, m_Answer.m_Call.m_Team);
  if (!Claims)
    return Claims.error();
  if (Claims->m_Model != m_Answer.m_Call.m_Model)
    return Error{ErrorCode::SessionTokenInvalid, "check session", "", Ran::No,
                 "the session is of model " + Claims->m_Model.value()};
  m_Route.m_Session = Claims->m_Session;
  m_Route.m_PinnedVersion = Claims->m_Version;
  m_Answer.m_SessionToken = Token;
  return Done{};
}

asio::awaitable<Expected<Done>> ModelExchange::startSession(SessionId Session) {
  const ModelCall &Call = m_Answer.m_Call;
  RouteRequest ProposalRequest = m_Route;
  ProposalRequest.m_SingleVersionOnly = true;
  Expected<RouteDecision> Proposed = co_await m_Dependencies.m_Routing.decide(ProposalRequest);
  if (!Proposed)
    co_return Proposed.error();
  PinRequest Pin;
  Pin.m_Team = Call.m_Team;
  Pin.m_Session = Session;
  Pin.m_Model = Call.m_Model;
  Pin.m_Version = Proposed->m_Version;
  Pin.m_Deadline = Call.m_Deadline;
  Expected<VersionId> Version = co_await m_Dependencies.m_Sessions.pin(std::move(Pin));
  if (!Version)
    co_return Version.error();
  m_Route.m_PinnedVersion = *Version;
  m_Answer.m_SessionToken =
      m_Dependencies.m_Sessions.issueSessionToken(Call.m_Team, Session, Call.m_Model, *Version);
  co_return Done{};
}

// --- Attempts

asio::awaitable<Expected<Done>> ModelExchange::runCascadeStep() {
  std::optional<Error> LastError;
  Duration PermitBackoff = MinPermitBackoff;
  while (true) {
    Expected<RouteDecision> Decision = co_await m_Dependencies.m_Routing.decide(m_Route);
    if (!Decision && mayWaitForPermit(Decision.error(), PermitBackoff)) {
      co_await waitForPermits(PermitBackoff);
      PermitBackoff = std::min(PermitBackoff * 2, MaxPermitBackoff);
      continue;
    }
    if (!Decision)
      co_return withRan(LastError ? *LastError : Decision.error());
    m_Answer.m_Decision = *Decision;
    m_Dependencies.m_Explain.add(m_Answer.m_Call.m_Request, "route", Decision->m_Upstream,
                                 Decision->m_Version, Decision->reason());
    Expected<Done> Outcome = co_await attempt(*Decision);
    if (Outcome)
      co_return Done{};
    LastError = Outcome.error();
    m_Answer.m_Ran = combineRan(m_Answer.m_Ran, LastError->m_Ran);
    Expected<Done> RetryAllowed = prepareRetry(*Decision, *LastError);
    if (!RetryAllowed)
      co_return withRan(RetryAllowed.error());
  }
}

Error ModelExchange::withRan(Error Failure) const {
  Failure.m_Ran = combineRan(Failure.m_Ran, m_Answer.m_Ran);
  return Failure;
}

bool ModelExchange::mayWaitForPermit(const Error &Failure, Duration Backoff) const {
  return !m_UpstreamsWithoutPermit.empty() && remainingTime(m_Answer, m_Runtime) > Backoff &&
         Failure.m_Code == ErrorCode::NoUpstream;
}

/// Upstreams without a free permit are excluded only until the backoff ends.
asio::awaitable<void> ModelExchange::waitForPermits(Duration Backoff) {
  co_await sleepFor(m_Runtime.m_Context, Backoff);
  std::erase_if(m_Route.m_ExcludedUpstreams, [this](const UpstreamId &Id) {
    return std::find(m_UpstreamsWithoutPermit.begin(), m_UpstreamsWithoutPermit.end(), Id) !=
           m_UpstreamsWithoutPermit.end();
  });
  m_UpstreamsWithoutPermit.clear();
}

Expected<Done> ModelExchange::prepareRetry(const RouteDecision &Decision, const Error &Failure) {
  m_Dependencies.m_Explain.add(m_Answer.m_Call.m_Request, "attempt failed", Decision.m_Upstream,
                               Decision.m_Version, Failure.toString());
  if (m_Reader.isInterrupted())
    return m_Reader.interruptedError();
  if (remainingTime(m_Answer, m_Runtime) <= Duration::zero())
    return Error{ErrorCode::DeadlineUnreachable, "answer request", Failure.m_Peer, m_Answer.m_Ran,
                 "the deadline passed; last error: " + Failure.m_Detail};
  m_Route.m_ExcludedUpstreams.push_back(Decision.m_Upstream);
  if (Failure.m_Code == ErrorCode::NoPermit) {
    m_UpstreamsWithoutPermit.push_back(Decision.m_Upstream);
  } else if (!m_Reader.isFailingOver()) {
    Expected<Done> RetryGrant = m_Dependencies.m_Routing.retryBudget().takeRetry();
    if (!RetryGrant)
      return Failure;
  }
  m_Reader.finishFailover();
  // If the caller has received part of the answer, another engine must continue it on the same version.
  if (m_Writer.released() == 0)
    m_Reader.discardText();
  else
    m_Route.m_PinnedVersion = Decision.m_Version;
  return Done{};
}

asio::awaitable<Expected<Done>> ModelExchange::attempt(const RouteDecision &Decision) {
  const AttemptId Attempt = m_Registry.newAttemptId();
  m_Answer.m_Upstream = Decision.m_Upstream;
  m_OutOfServiceSince.reset();
  Expected<Done> Permit = co_await acquirePermit(Decision, Attempt);
  if (!Permit)
    co_return Permit;
  m_Dependencies.m_Routing.router().onDispatched(Attempt, m_Route, Decision, m_Runtime.m_Clock());
  m_Registry.startAttempt(Attempt, *this);
  recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::AttemptStarted, Attempt.value());
  Expected<Done> Outcome = co_await m_Reader.generate(Attempt);
  m_Reader.endAttempt();
  m_Registry.endAttempt(Attempt);
  recordOutcome(Attempt, Outcome);
  m_Dependencies.m_Permits.release(Attempt, !Outcome && !m_Reader.isFailingOver() &&
                                                indicatesCold(Outcome.error().m_Code));
  m_Answer.m_Upstream = UpstreamId();
  m_Dependencies.m_Routing.wakeQueuedRequests();
  co_return Outcome;
}

asio::awaitable<Expected<Done>> ModelExchange::acquirePermit(const RouteDecision &Decision,
                                                             AttemptId Attempt) {
  if (!Decision.m_NeedsPermit)
    co_return Done{};
  Expected<Done> Permit = co_await m_Dependencies.m_Permits.acquire(Decision.m_Upstream, Attempt);
  if (Permit)
    recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::PermitGranted, Attempt.value());
  else
    recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::PermitRefused, Permit.error().m_Detail);
  co_return Permit;
}

void ModelExchange::recordOutcome(const AttemptId &Attempt, const Expected<Done> &Outcome) {
  Router &Routes = m_Dependencies.m_Routing.router();
  const TimePoint Now = m_Runtime.m_Clock();
  // An attempt that this daemon ended does not count as a failure of the upstream.
  const bool EndedByDaemon = m_Reader.isFailingOver() || m_Reader.isInterrupted();
  if (Outcome || EndedByDaemon)
    Routes.onFinished(Attempt, Now);
  else
    Routes.onFailed(Attempt, Outcome.error().m_Code, Now);
  if (Outcome) {
    recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::AttemptFinished, Attempt.value());
    return;
  }
  recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::AttemptFailed, Outcome.error().toString());
  if (!EndedByDaemon)
    LOG(WARNING) << "step=attempt request=" << m_Answer.m_Call.m_Request << " team=" << m_Answer.m_Call.m_Team
                 << " upstream=" << m_Answer.m_Upstream << " error=\"" << Outcome.error() << '"';
}

void ModelExchange::failOverPastDrainDeadline(Duration DrainDeadline, TimePoint Now) {
  const UpstreamTable &Upstreams = m_Dependencies.m_Routing.upstreams();
  const std::uint32_t Index = Upstreams.indexOf(m_Answer.m_Upstream);
  if (Index == UpstreamTable::NoIndex)
    return;
  const Exclusion Reason = Upstreams.exclusion(Index, Now);
  if (Reason != Exclusion::DomainOut && Reason != Exclusion::Draining && Reason != Exclusion::Leaving) {
    m_OutOfServiceSince.reset();
    return;
  }
  if (!m_OutOfServiceSince)
    m_OutOfServiceSince = Now;
  if (Now - *m_OutOfServiceSince >= DrainDeadline)
    failOver(ErrorCode::DomainOut);
}

// --- Resumed answers

asio::awaitable<Expected<Done>> ModelExchange::runResumed(const ResumeClaims &Claims, std::uint64_t Offset) {
  m_Answer.m_Decision.m_Upstream = Claims.m_Upstream;
  m_Answer.m_Decision.m_Version = Claims.m_Version;
  m_Answer.m_StreamId = Claims.m_Stream;
  m_Answer.m_Ran = Ran::Yes;
  m_Writer.setReleased(Offset);
  Expected<Done> Outcome = co_await readResumed(Offset);
  if (Outcome) {
    // The text holds only what comes after the offset, which was released as it arrived.
    m_Answer.m_Text.clear();
    co_return co_await finish();
  }
  if (Offset > 0 || m_Writer.released() > Offset || m_Answer.m_Call.m_Prompt.empty())
    co_return Outcome;
  m_Reader.discardText();
  m_Route.m_PinnedVersion = Claims.m_Version;
  co_return co_await run();
}

asio::awaitable<Expected<Done>> ModelExchange::readResumed(std::uint64_t Offset) {
  const UpstreamId Upstream = m_Answer.m_Decision.m_Upstream;
  const std::optional<Endpoint> Address = m_Dependencies.m_Routing.addressOf(Upstream);
  if (!Address)
    co_return Error{ErrorCode::StreamLost, "resume stream", Upstream.value(), Ran::Yes,
                    "the upstream is no longer in the configuration"};
  m_Answer.m_Upstream = Upstream;
  const AttemptId Attempt = m_Registry.newAttemptId();
  Expected<Done> Outcome = co_await m_Reader.resume(Attempt, *Address, Offset);
  m_Reader.endAttempt();
  m_Answer.m_Upstream = UpstreamId();
  co_return Outcome;
}

// --- End of a step and of the answer

void ModelExchange::escalate() {
  recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::Escalated,
              m_Answer.m_Decision.m_Version.value() + " was rated below its threshold");
  addCost();
  m_Route.m_CascadeStep = m_Answer.m_Decision.m_NextCascadeStep;
  m_Reader.discardText();
  m_Answer.m_CompletionTokens = Tokens();
}

void ModelExchange::addCost() {
  const std::shared_ptr<const Configuration> Config = m_Dependencies.m_Cluster.effectiveConfiguration();
  const auto Found = Config->m_Versions.find(m_Answer.m_Decision.m_Version);
  if (Found == Config->m_Versions.end())
    return;
  const Version &UsedVersion = Found->second;
  m_ChargeAmount += MicroCents(
      UsedVersion.m_PromptPrice.value() * static_cast<std::int64_t>(m_Answer.m_PromptTokens.value()) +
      UsedVersion.m_CompletionPrice.value() * static_cast<std::int64_t>(m_Answer.m_CompletionTokens.value()));
}

asio::awaitable<Expected<Done>> ModelExchange::finish() {
  addCost();
  co_await m_Writer.releaseRest();
  Charge NewCharge;
  NewCharge.m_Team = m_Answer.m_Call.m_Team;
  NewCharge.m_Request = m_Answer.m_Call.m_Request;
  NewCharge.m_Attempt = m_Registry.newAttemptId();
  NewCharge.m_Target = m_Answer.m_Decision.m_Version.value();
  NewCharge.m_Amount = m_ChargeAmount;
  NewCharge.m_PromptTokens = m_Answer.m_PromptTokens;
  NewCharge.m_CompletionTokens = m_Answer.m_CompletionTokens;
  NewCharge.m_CompletedAt = m_Runtime.m_WallClock().time_since_epoch().count();
  Expected<Done> Charged = co_await m_Dependencies.m_Billing.charge(std::move(NewCharge), ChargeTimeout);
  if (!Charged)
    co_return Charged;
  m_Dependencies.m_RequestDuration.record(m_Runtime.m_Clock() - m_Answer.m_StartedAt);
  co_await m_Writer.end(m_ChargeAmount);
  co_return Done{};
}

} // namespace bulrushpitch
