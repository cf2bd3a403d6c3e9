#include "bulrushpitch/daemon/model_service.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration FailoverCheckInterval = std::chrono::milliseconds(500);
/// Engines send a token every few tens of milliseconds; a stream without data for this long counts as broken.
constexpr Duration StallTimeout = std::chrono::seconds(5);
constexpr Duration ChargeTimeout = std::chrono::seconds(10);
constexpr Duration CancelTimeout = std::chrono::seconds(1);
/// Exponential backoff while no allowed upstream has a free permit: without it, a request that arrived before
/// the first lease was acquired requested 419 permits in five seconds.
constexpr Duration MinPermitBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxPermitBackoff = std::chrono::seconds(1);
constexpr int MaxResumesPerAttempt = 2;
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t AssumedAnswerTokens = 128;

/// @return whether anything ran, given the results of two attempts
Ran combineRan(Ran Left, Ran Right) {
  if (Left == Ran::Yes || Right == Ran::Yes)
    return Ran::Yes;
  return Left == Ran::Unknown || Right == Ran::Unknown ? Ran::Unknown : Ran::No;
}

/// @return whether this failure indicates that the upstream is cold
bool indicatesCold(ErrorCode Code) {
  return Code == ErrorCode::UpstreamRefused || Code == ErrorCode::UpstreamBroken ||
         Code == ErrorCode::StreamLost;
}

} // namespace

/// Processes one request, from the first routing decision to the charge.
class ModelService::Exchange {
public:
  Exchange(ModelService &Parent, ModelCall Call, AnswerSink &Sink)
      : m_Parent(Parent), m_Dependencies(Parent.m_Dependencies), m_Call(std::move(Call)), m_Sink(Sink),
        m_Start(Parent.m_Runtime.m_Clock()), m_PromptText(promptText(m_Call.m_Prompt)) {
    m_Parent.m_ActiveExchanges.insert(this);
    m_Route.m_Team = m_Call.m_Team;
    m_Route.m_Model = m_Call.m_Model;
    m_Route.m_Task = m_Call.m_Task;
    m_Route.m_Request = m_Call.m_Request;
    m_Route.m_Session = m_Call.m_Session;
    m_Route.m_PinnedVersion = m_Call.m_Version;
    m_Route.m_QualityTarget = m_Call.m_QualityTarget;
    m_Route.m_Deadline = m_Call.m_Deadline;
    m_Route.m_PromptTokens = Tokens(m_PromptText.size() / BytesPerToken);
    m_Route.m_ExpectedTokens = Tokens(std::min(m_Call.m_MaxTokens, AssumedAnswerTokens));
    m_Route.m_PrefixHashes = prefixHashes(m_PromptText);
    m_Route.m_Streaming = m_Call.m_Stream;
  }
  ~Exchange() {
    m_Parent.m_ActiveExchanges.erase(this);
    std::erase_if(m_Parent.m_ExchangesByAttempt, [this](const std::pair<const AttemptId, Exchange *> &Entry) {
      return Entry.second == this;
    });
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  asio::awaitable<Expected<Done>> run();
  asio::awaitable<Expected<Done>> runResumed(const ResumeClaims &Claims, std::uint64_t Offset);

  /// @brief Ends the answer because the daemon is shutting down.
  void interrupt() {
    m_Interrupted = true;
    closeStream();
  }
  /// @brief Cancels the current attempt; the answer is continued at another upstream.
  void failOver(ErrorCode Reason) {
    m_FailoverReason = Reason;
    closeStream();
  }
  /// @return the upstream of the current attempt; empty between attempts
  const UpstreamId &upstream() const { return m_Upstream; }
  /// @brief When the current upstream was first found drained, leaving or in an excluded failure domain.
  std::optional<TimePoint> m_OutOfServiceSince;
  bool callerDisconnected() const { return m_CallerDisconnected; }

private:
  asio::awaitable<Expected<Done>> pinSession();
  /// @brief Generates the answer of one cascade step, with retries and failover.
  asio::awaitable<Expected<Done>> runCascadeStep();
  asio::awaitable<Expected<Done>> prepareRetry(const RouteDecision &Decision, const Error &Failure);
  asio::awaitable<Expected<Done>> attempt(const RouteDecision &Decision);
  asio::awaitable<Expected<Done>> generateAnswer(const AttemptId &Attempt, const RouteDecision &Decision);
  asio::awaitable<Expected<Done>> readFrames(const AttemptId &Attempt, const Endpoint &Address);
  /// @brief Resumes the stream at its engine, from the first byte that has not arrived.
  /// @param Failure returned if the engine does not resume the stream
  asio::awaitable<Expected<Done>> reopen(const Endpoint &Address, const Error &Failure);
  asio::awaitable<Expected<Done>> processFrame(const EngineFrame &Frame, const AttemptId &Attempt);
  asio::awaitable<void> releaseText(std::uint64_t Offset, std::string_view Text);
  asio::awaitable<void> sendHead();
  /// @brief Rates the answer if its release depends on the rating.
  /// @return whether the answer is released, rather than escalated to the next cascade step
  asio::awaitable<bool> acceptAnswer();
  asio::awaitable<Expected<Done>> finish();
  asio::awaitable<void> cancelAtEngine(Endpoint Address, StreamId Stream);
  static asio::awaitable<void> rateInBackground(ModelServiceDependencies Dependencies, Runtime Base,
                                                TeamId Team, RatingRequest Request);
  void recordRating(double Rating);
  void rateSample();
  void escalate();
  /// @brief Adds the price of the attempt that has ended.
  void addCost();

  Duration remainingTime() const { return m_Call.m_Deadline - m_Parent.m_Runtime.m_Clock(); }
  void closeStream() {
    if (m_Stream)
      m_Stream->close();
  }
  /// An answer is buffered only if its rating decides whether it is released.
  bool releasesImmediately() const { return m_Call.m_Stream && !m_Decision.m_RateBeforeRelease; }
  Error interruptedError() const {
    return Error{ErrorCode::Draining, "stream answer", m_Dependencies.m_Cluster.self().value(), Ran::Yes,
                 "this instance is shutting down; resume at another instance with the resume token and "
                 "Last-Event-ID " +
                     std::to_string(m_Released)};
  }
  void recordEvent(EventKind Kind, const std::string &Detail) {
    TimelineEvent Event;
    Event.m_Kind = Kind;
    Event.m_Request = m_Call.m_Request;
    Event.m_Team = m_Call.m_Team;
    Event.m_Upstream = m_Upstream;
    Event.m_Version = m_Decision.m_Version;
    Event.m_Detail = Detail;
    m_Dependencies.m_Events.record(std::move(Event));
  }

  ModelService &m_Parent;
  ModelServiceDependencies &m_Dependencies;
  ModelCall m_Call;
  AnswerSink &m_Sink;
  TimePoint m_Start;
  std::string m_PromptText;
  RouteRequest m_Route;
  RouteDecision m_Decision;
  UpstreamId m_Upstream;
  std::unique_ptr<EngineStream> m_Stream;
  StreamId m_StreamId;
  std::optional<StreamAssembler> m_StreamAssembler;
  std::string m_Text; ///< Full text of the current cascade step's answer.
  std::string m_SessionToken;
  std::string m_FinishReason;
  std::vector<UpstreamId> m_UpstreamsWithoutPermit;
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens;
  MicroCents m_ChargeAmount;
  std::uint64_t m_Released = 0; ///< Bytes of the answer that were released to the caller.
  Ran m_Ran = Ran::No;
  std::optional<ErrorCode> m_FailoverReason;
  bool m_HeadSent = false;
  bool m_CallerDisconnected = false;
  bool m_Interrupted = false;
};

asio::awaitable<Expected<Done>> ModelService::Exchange::run() {
  Expected<Done> Pinned = co_await pinSession();
  if (!Pinned)
    co_return Pinned;
  while (true) {
    Expected<Done> StepResult = co_await runCascadeStep();
    if (!StepResult)
      co_return StepResult;
    if (co_await acceptAnswer())
      break;
    escalate();
  }
  co_return co_await finish();
}

asio::awaitable<Expected<Done>> ModelService::Exchange::pinSession() {
  if (m_Call.m_SessionToken) {
    Expected<SessionClaims> Claims =
        m_Dependencies.m_Sessions.verifySessionToken(*m_Call.m_SessionToken, m_Call.m_Team);
    if (!Claims)
      co_return Claims.error();
    if (Claims->m_Model != m_Call.m_Model)
      co_return Error{ErrorCode::SessionTokenInvalid, "check session", "", Ran::No,
                      "the session is of model " + Claims->m_Model.value()};
    m_Route.m_Session = Claims->m_Session;
    m_Route.m_PinnedVersion = Claims->m_Version;
    m_SessionToken = *m_Call.m_SessionToken;
    co_return Done{};
  }
  if (!m_Call.m_Session)
    co_return Done{};
  RouteRequest ProposalRequest = m_Route;
  ProposalRequest.m_SingleVersionOnly = true;
  Expected<RouteDecision> Proposed = co_await m_Dependencies.m_Routing.decide(ProposalRequest);
  if (!Proposed)
    co_return Proposed.error();
  PinRequest Pin;
  Pin.m_Team = m_Call.m_Team;
  Pin.m_Session = *m_Call.m_Session;
  Pin.m_Model = m_Call.m_Model;
  Pin.m_Version = Proposed->m_Version;
  Pin.m_Deadline = m_Call.m_Deadline;
  Expected<VersionId> Version = co_await m_Dependencies.m_Sessions.pin(std::move(Pin));
  if (!Version)
    co_return Version.error();
  m_Route.m_PinnedVersion = *Version;
  m_SessionToken =
      m_Dependencies.m_Sessions.issueSessionToken(m_Call.m_Team, *m_Call.m_Session, m_Call.m_Model, *Version);
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::runCascadeStep() {
  std::optional<Error> LastError;
  Duration PermitBackoff = MinPermitBackoff;
  while (true) {
    Expected<RouteDecision> Decision = co_await m_Dependencies.m_Routing.decide(m_Route);
    if (!Decision) {
      // Upstreams without a free permit are excluded only until the backoff ends.
      if (!m_UpstreamsWithoutPermit.empty() && remainingTime() > PermitBackoff &&
          Decision.error().m_Code == ErrorCode::NoUpstream) {
        co_await sleepFor(m_Parent.m_Runtime.m_Context, PermitBackoff);
        PermitBackoff = std::min(PermitBackoff * 2, MaxPermitBackoff);
        std::erase_if(m_Route.m_ExcludedUpstreams, [this](const UpstreamId &Id) {
          return std::find(m_UpstreamsWithoutPermit.begin(), m_UpstreamsWithoutPermit.end(), Id) !=
                 m_UpstreamsWithoutPermit.end();
        });
        m_UpstreamsWithoutPermit.clear();
        continue;
      }
      Error Failure = LastError ? *LastError : Decision.error();
      Failure.m_Ran = combineRan(Failure.m_Ran, m_Ran);
      co_return Failure;
    }
    m_Decision = *Decision;
    m_Dependencies.m_Explain.add(m_Call.m_Request, "route", Decision->m_Upstream, Decision->m_Version,
                                 Decision->reason());
    Expected<Done> Outcome = co_await attempt(*Decision);
    if (Outcome)
      co_return Done{};
    LastError = Outcome.error();
    m_Ran = combineRan(m_Ran, LastError->m_Ran);
    Expected<Done> RetryAllowed = co_await prepareRetry(*Decision, *LastError);
    if (!RetryAllowed) {
      Error Final = RetryAllowed.error();
      Final.m_Ran = combineRan(Final.m_Ran, m_Ran);
      co_return Final;
    }
  }
}

asio::awaitable<Expected<Done>> ModelService::Exchange::prepareRetry(const RouteDecision &Decision,
                                                                     const Error &Failure) {
  m_Dependencies.m_Explain.add(m_Call.m_Request, "attempt failed", Decision.m_Upstream, Decision.m_Version,
                               Failure.toString());
  if (m_Interrupted)
    co_return interruptedError();
  if (remainingTime() <= Duration::zero())
    co_return Error{ErrorCode::DeadlineUnreachable, "answer request", Failure.m_Peer, m_Ran,
                    "the deadline passed; last error: " + Failure.m_Detail};
  m_Route.m_ExcludedUpstreams.push_back(Decision.m_Upstream);
  if (Failure.m_Code == ErrorCode::NoPermit) {
    m_UpstreamsWithoutPermit.push_back(Decision.m_Upstream);
  } else if (!m_FailoverReason) {
    Expected<Done> RetryGrant = m_Dependencies.m_Routing.retryBudget().takeRetry();
    if (!RetryGrant)
      co_return Failure;
  }
  m_FailoverReason.reset();
  if (m_Released == 0) {
    m_Text.clear();
    m_StreamAssembler.reset();
  } else {
    // The caller has received part of the answer, so another engine must continue it on the same version.
    m_Route.m_PinnedVersion = Decision.m_Version;
  }
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::attempt(const RouteDecision &Decision) {
  const AttemptId Attempt = m_Parent.newAttemptId();
  m_Upstream = Decision.m_Upstream;
  m_OutOfServiceSince.reset();
  if (Decision.m_NeedsPermit) {
    Expected<Done> Permit = co_await m_Dependencies.m_Permits.acquire(Decision.m_Upstream, Attempt);
    if (!Permit) {
      recordEvent(EventKind::PermitRefused, Permit.error().m_Detail);
      co_return Permit;
    }
    recordEvent(EventKind::PermitGranted, Attempt.value());
  }
  Router &Routes = m_Dependencies.m_Routing.router();
  Routes.onDispatched(Attempt, m_Route, Decision, m_Parent.m_Runtime.m_Clock());
  m_Parent.m_ExchangesByAttempt[Attempt] = this;
  recordEvent(EventKind::AttemptStarted, Attempt.value());
  Expected<Done> Outcome = co_await generateAnswer(Attempt, Decision);
  m_Stream.reset();
  m_Parent.m_ExchangesByAttempt.erase(Attempt);
  const TimePoint Now = m_Parent.m_Runtime.m_Clock();
  if (Outcome) {
    Routes.onFinished(Attempt, Now);
    recordEvent(EventKind::AttemptFinished, Attempt.value());
  } else if (m_FailoverReason || m_Interrupted) {
    // Ended by this daemon, so it does not count as a failure of the upstream.
    Routes.onFinished(Attempt, Now);
    recordEvent(EventKind::AttemptFailed, Outcome.error().toString());
  } else {
    Routes.onFailed(Attempt, Outcome.error().m_Code, Now);
    recordEvent(EventKind::AttemptFailed, Outcome.error().toString());
    LOG(WARNING) << "step=attempt request=" << m_Call.m_Request << " team=" << m_Call.m_Team
                 << " upstream=" << Decision.m_Upstream << " error=\"" << Outcome.error() << '"';
  }
  m_Dependencies.m_Permits.release(Attempt,
                                   !Outcome && !m_FailoverReason && indicatesCold(Outcome.error().m_Code));
  m_Upstream = UpstreamId();
  m_Dependencies.m_Routing.wakeQueuedRequests();
  co_return Outcome;
}

asio::awaitable<Expected<Done>> ModelService::Exchange::generateAnswer(const AttemptId &Attempt,
                                                                       const RouteDecision &Decision) {
  const std::optional<Endpoint> Address = m_Dependencies.m_Routing.addressOf(Decision.m_Upstream);
  if (!Address)
    co_return Error{ErrorCode::NoUpstream, "call engine", Decision.m_Upstream.value(), Ran::No,
                    "the upstream is no longer in the configuration"};
  GenerateRequest Request;
  Request.m_Attempt = Attempt;
  Request.m_Version = Decision.m_Version;
  Request.m_Prompt = m_Call.m_Prompt;
  Request.m_MaxTokens = m_Call.m_MaxTokens;
  Request.m_ContinueFrom = m_Text;
  Expected<std::unique_ptr<EngineStream>> Opened =
      co_await m_Dependencies.m_Engines.generate(*Address, std::move(Request), remainingTime());
  if (!Opened)
    co_return Opened.error();
  m_Stream = std::move(*Opened);
  if (m_Interrupted)
    co_return interruptedError();
  Expected<EngineStart> Start = co_await m_Stream->readStart(remainingTime());
  if (!Start)
    co_return Start.error();
  m_Ran = Ran::Yes;
  m_StreamId = Start->m_Stream;
  m_PromptTokens = Start->m_PromptTokens;
  if (m_StreamAssembler)
    m_StreamAssembler->switchAttempt(Attempt);
  else
    m_StreamAssembler.emplace(Attempt, m_Text.size());
  co_return co_await readFrames(Attempt, *Address);
}

asio::awaitable<Expected<Done>> ModelService::Exchange::readFrames(const AttemptId &Attempt,
                                                                   const Endpoint &Address) {
  int ResumeCount = 0;
  bool IsFirstFrame = true;
  while (!m_StreamAssembler->complete()) {
    const Duration Timeout = std::min(remainingTime(), StallTimeout);
    Expected<EngineFrame> Frame = co_await m_Stream->readFrame(Timeout);
    if (m_Interrupted)
      co_return interruptedError();
    if (m_FailoverReason) {
      co_await cancelAtEngine(Address, m_StreamId);
      co_return Error{*m_FailoverReason, "stream answer", m_Upstream.value(), Ran::Yes,
                      "the attempt was cancelled to fail over to another upstream"};
    }
    if (remainingTime() <= Duration::zero()) {
      co_await cancelAtEngine(Address, m_StreamId);
      co_return Error{ErrorCode::UpstreamTimeout, "stream answer", m_Upstream.value(), Ran::Yes,
                      "the deadline passed while the answer was being generated"};
    }
    if (!Frame) {
      if (Frame.error().m_Code == ErrorCode::UpstreamBroken || ResumeCount++ >= MaxResumesPerAttempt)
        co_return Frame.error();
      Expected<Done> Reopened = co_await reopen(Address, Frame.error());
      if (!Reopened)
        co_return Reopened;
      continue;
    }
    if (IsFirstFrame)
      m_Dependencies.m_Routing.router().onFirstToken(Attempt, m_Parent.m_Runtime.m_Clock());
    IsFirstFrame = false;
    Expected<Done> Delivered = co_await processFrame(*Frame, Attempt);
    if (!Delivered)
      co_return Delivered;
  }
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::reopen(const Endpoint &Address,
                                                               const Error &Failure) {
  m_Stream.reset();
  Expected<std::unique_ptr<EngineStream>> Opened = co_await m_Dependencies.m_Engines.resume(
      Address, m_StreamId, m_StreamAssembler->nextOffset(), std::min(remainingTime(), StallTimeout));
  if (!Opened)
    co_return Failure;
  m_Stream = std::move(*Opened);
  Expected<EngineStart> Start = co_await m_Stream->readStart(std::min(remainingTime(), StallTimeout));
  if (!Start)
    co_return Failure;
  // A daemon that did not start the stream needs the token count here to charge for the prompt.
  m_PromptTokens = Start->m_PromptTokens;
  recordEvent(EventKind::StreamResumed, "at offset " + std::to_string(m_StreamAssembler->nextOffset()));
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::processFrame(const EngineFrame &Frame,
                                                                     const AttemptId &Attempt) {
  if (Frame.m_End) {
    if (Frame.m_FinishReason == "cancelled")
      co_return Error{ErrorCode::UpstreamBroken, "stream answer", m_Upstream.value(), Ran::Yes,
                      "the stream was cancelled at the engine"};
    m_CompletionTokens += Frame.m_CompletionTokens;
    m_FinishReason = Frame.m_FinishReason;
  }
  StreamFrame NewFrame;
  NewFrame.m_Attempt = Attempt;
  NewFrame.m_Offset = Frame.m_Offset;
  NewFrame.m_Text = Frame.m_Text;
  NewFrame.m_End = Frame.m_End;
  for (const StreamFrame &OrderedFrame : m_StreamAssembler->addFrame(std::move(NewFrame))) {
    m_Text += OrderedFrame.m_Text;
    if (releasesImmediately())
      co_await releaseText(OrderedFrame.m_Offset, OrderedFrame.m_Text);
  }
  co_return Done{};
}

asio::awaitable<void> ModelService::Exchange::releaseText(std::uint64_t Offset, std::string_view Text) {
  if (Text.empty() || m_CallerDisconnected)
    co_return;
  co_await sendHead();
  if (!m_CallerDisconnected) {
    Expected<Done> Written = co_await m_Sink.text(Offset, Text);
    // The attempt continues without the caller, so that the caller can resume the answer at another daemon
    // and the request is billed once.
    m_CallerDisconnected = !Written;
  }
  m_Released = Offset + Text.size();
}

asio::awaitable<void> ModelService::Exchange::sendHead() {
  if (!m_HeadSent && !m_CallerDisconnected) {
    m_HeadSent = true;
    AnswerStart Start;
    Start.m_Request = m_Call.m_Request;
    Start.m_Model = m_Call.m_Model;
    Start.m_Version = m_Decision.m_Version;
    Start.m_SessionToken = m_SessionToken;
    Start.m_Created =
        std::chrono::duration_cast<std::chrono::seconds>(m_Parent.m_Runtime.m_WallClock().time_since_epoch())
            .count();
    if (m_Call.m_Stream) {
      ResumeClaims Claims;
      Claims.m_Team = m_Call.m_Team;
      Claims.m_Request = m_Call.m_Request;
      Claims.m_Upstream = m_Decision.m_Upstream;
      Claims.m_Stream = m_StreamId;
      Claims.m_Model = m_Call.m_Model;
      Claims.m_Version = m_Decision.m_Version;
      Start.m_ResumeToken = m_Dependencies.m_Sessions.issueResumeToken(std::move(Claims));
    }
    m_Dependencies.m_TimeToFirstText.record(m_Parent.m_Runtime.m_Clock() - m_Start);
    Expected<Done> HeadResult = co_await m_Sink.begin(Start);
    m_CallerDisconnected = !HeadResult;
  }
}

asio::awaitable<bool> ModelService::Exchange::acceptAnswer() {
  if (!m_Decision.m_RateBeforeRelease) {
    rateSample();
    co_return true;
  }
  RatingRequest Request;
  Request.m_Task = m_Call.m_Task;
  Request.m_Version = m_Decision.m_Version;
  Request.m_Prompt = m_PromptText;
  Request.m_Answer = m_Text;
  Expected<double> Rating = co_await m_Dependencies.m_Ratings.rate(std::move(Request));
  if (Rating)
    recordRating(*Rating);
  const double Quality = Rating ? *Rating : m_Decision.m_PredictedQuality;
  const bool Accept = Quality >= m_Decision.m_AcceptAt || remainingTime() <= Duration::zero();
  m_Dependencies.m_Explain.add(m_Call.m_Request, Accept ? "accept" : "escalate", m_Decision.m_Upstream,
                               m_Decision.m_Version,
                               (Rating ? "rated " : "not rated, predicted ") + std::to_string(Quality) +
                                   ", threshold " + std::to_string(m_Decision.m_AcceptAt));
  co_return Accept;
}

void ModelService::Exchange::escalate() {
  recordEvent(EventKind::Escalated, m_Decision.m_Version.value() + " was rated below its threshold");
  addCost();
  m_Route.m_CascadeStep = m_Decision.m_NextCascadeStep;
  m_Text.clear();
  m_StreamAssembler.reset();
  m_CompletionTokens = Tokens();
}

void ModelService::Exchange::addCost() {
  const std::shared_ptr<const Configuration> Config = m_Dependencies.m_Cluster.effectiveConfiguration();
  if (const auto Found = Config->m_Versions.find(m_Decision.m_Version); Found != Config->m_Versions.end()) {
    const Version &UsedVersion = Found->second;
    m_ChargeAmount += MicroCents(
        UsedVersion.m_PromptPrice.value() * static_cast<std::int64_t>(m_PromptTokens.value()) +
        UsedVersion.m_CompletionPrice.value() * static_cast<std::int64_t>(m_CompletionTokens.value()));
  }
}

void ModelService::Exchange::recordRating(double Rating) {
  m_Dependencies.m_Routing.quality().record(m_Call.m_Team, m_Call.m_Task, m_Decision.m_Version, Rating,
                                            m_Parent.m_Runtime.m_Clock());
  m_Dependencies.m_Routing.rollouts().record(m_Decision.m_Version, m_Call.m_Task, Rating);
}

void ModelService::Exchange::rateSample() {
  const double DefaultShare = m_Dependencies.m_Cluster.effectiveConfiguration()->m_Limits.m_RatingSample;
  const double Share = m_Dependencies.m_Routing.rollouts().ratingShare(m_Decision.m_Version, DefaultShare);
  const double Draw = static_cast<double>(m_Parent.m_Runtime.m_Random() >> 11U) * 0x1.0p-53;
  if (Draw >= Share)
    return;
  RatingRequest Request;
  Request.m_Task = m_Call.m_Task;
  Request.m_Version = m_Decision.m_Version;
  Request.m_Prompt = m_PromptText;
  Request.m_Answer = m_Text;
  spawn(m_Parent.m_Runtime.m_Context,
        rateInBackground(m_Dependencies, m_Parent.m_Runtime, m_Call.m_Team, std::move(Request)));
}

asio::awaitable<void> ModelService::Exchange::rateInBackground(ModelServiceDependencies Dependencies,
                                                               Runtime Base, TeamId Team,
                                                               RatingRequest Request) {
  const TaskName Task = Request.m_Task;
  const VersionId Rated = Request.m_Version;
  Expected<double> Rating = co_await Dependencies.m_Ratings.rate(std::move(Request));
  if (!Rating)
    co_return;
  Dependencies.m_Routing.quality().record(Team, Task, Rated, *Rating, Base.m_Clock());
  Dependencies.m_Routing.rollouts().record(Rated, Task, *Rating);
}

asio::awaitable<Expected<Done>> ModelService::Exchange::finish() {
  addCost();
  if (m_Released < m_Text.size()) {
    const std::string Rest = m_Text.substr(m_Released);
    co_await releaseText(m_Released, Rest);
  }
  // The head is sent also if there is no text to release, because the answer is empty or the caller has
  // received all of it.
  co_await sendHead();
  Charge NewCharge;
  NewCharge.m_Team = m_Call.m_Team;
  NewCharge.m_Request = m_Call.m_Request;
  NewCharge.m_Attempt = m_Parent.newAttemptId();
  NewCharge.m_Target = m_Decision.m_Version.value();
  NewCharge.m_Amount = m_ChargeAmount;
  NewCharge.m_PromptTokens = m_PromptTokens;
  NewCharge.m_CompletionTokens = m_CompletionTokens;
  NewCharge.m_CompletedAt = m_Parent.m_Runtime.m_WallClock().time_since_epoch().count();
  Expected<Done> Charged = co_await m_Dependencies.m_Billing.charge(std::move(NewCharge), ChargeTimeout);
  if (!Charged)
    co_return Charged;
  m_Dependencies.m_RequestDuration.record(m_Parent.m_Runtime.m_Clock() - m_Start);
  if (m_CallerDisconnected)
    co_return Done{};
  AnswerEnd End;
  End.m_Version = m_Decision.m_Version;
  End.m_FinishReason = m_FinishReason;
  End.m_PromptTokens = m_PromptTokens;
  End.m_CompletionTokens = m_CompletionTokens;
  End.m_Charge = m_ChargeAmount;
  static_cast<void>(co_await m_Sink.end(End));
  co_return Done{};
}

asio::awaitable<void> ModelService::Exchange::cancelAtEngine(Endpoint Address, StreamId Stream) {
  static_cast<void>(co_await m_Dependencies.m_Engines.cancel(Address, Stream.value(), CancelTimeout));
}

asio::awaitable<Expected<Done>> ModelService::Exchange::runResumed(const ResumeClaims &Claims,
                                                                   std::uint64_t Offset) {
  const std::optional<Endpoint> Address = m_Dependencies.m_Routing.addressOf(Claims.m_Upstream);
  m_Decision.m_Upstream = Claims.m_Upstream;
  m_Decision.m_Version = Claims.m_Version;
  m_Upstream = Claims.m_Upstream;
  m_Released = Offset;
  m_StreamId = Claims.m_Stream;
  m_Ran = Ran::Yes;
  Expected<Done> Outcome = Error{ErrorCode::StreamLost, "resume stream", Claims.m_Upstream.value(), Ran::Yes,
                                 "the upstream is no longer in the configuration"};
  if (Address) {
    const AttemptId Attempt = m_Parent.newAttemptId();
    m_StreamAssembler.emplace(Attempt, Offset);
    // A local variable, because g++ 12 destroys an Error{...} twice if it is a temporary of the co_await
    // expression.
    const Error Unknown{ErrorCode::StreamLost, "resume stream", Claims.m_Upstream.value(), Ran::Yes,
                        "the engine no longer knows the stream"};
    Expected<Done> Opened = co_await reopen(*Address, Unknown);
    Outcome = Opened;
    if (Opened)
      Outcome = co_await readFrames(Attempt, *Address);
  }
  m_Stream.reset();
  m_Upstream = UpstreamId();
  if (Outcome) {
    // m_Text holds only the text after the offset, which was released as it arrived.
    m_Text.clear();
    co_return co_await finish();
  }
  if (Offset > 0 || m_Released > Offset || m_Call.m_Prompt.empty())
    co_return Outcome;
  m_StreamAssembler.reset();
  m_Text.clear();
  m_Route.m_PinnedVersion = Claims.m_Version;
  co_return co_await run();
}

ModelService::ModelService(const Runtime &Base, ModelServiceDependencies Dependencies)
    : m_Runtime(Base), m_Dependencies(Dependencies),
      m_FailoverTicker(
          Base.m_Context, [] { return FailoverCheckInterval; }, [this] { failOverPastDrainDeadline(); }) {
  m_Dependencies.m_Permits.onPermitExpired([this](const AttemptId &Attempt) { cancelAttempt(Attempt); });
}

ModelService::~ModelService() = default;

Result<void> ModelService::start() {
  m_FailoverTicker.start();
  return {};
}

void ModelService::stop() { m_FailoverTicker.stop(); }

AttemptId ModelService::newAttemptId() {
  return AttemptId(m_Dependencies.m_Cluster.self().value() + "-" +
                   std::to_string(m_Dependencies.m_Cluster.incarnation()) + "-" +
                   std::to_string(m_NextAttemptNumber++));
}

asio::awaitable<void> ModelService::serve(ModelCall Call, AnswerSink &Sink) {
  m_Dependencies.m_Routing.retryBudget().onRequest();
  Exchange Running(*this, std::move(Call), Sink);
  Expected<Done> Outcome = co_await Running.run();
  if (!Outcome)
    co_await Sink.fail(Outcome.error());
}

asio::awaitable<void> ModelService::resume(ResumeCall Call, AnswerSink &Sink) {
  Exchange Running(*this, std::move(Call.m_Call), Sink);
  Expected<Done> Outcome = co_await Running.runResumed(Call.m_Claims, Call.m_Offset);
  if (!Outcome)
    co_await Sink.fail(Outcome.error());
}

void ModelService::interruptAll() {
  for (Exchange *Running : m_ActiveExchanges)
    Running->interrupt();
}

void ModelService::cancelAttempt(const AttemptId &Attempt) {
  if (const auto Found = m_ExchangesByAttempt.find(Attempt); Found != m_ExchangesByAttempt.end())
    Found->second->failOver(ErrorCode::NoPermit);
}

void ModelService::failOverPastDrainDeadline() {
  const TimePoint Now = m_Runtime.m_Clock();
  const Duration DrainDeadline = m_Dependencies.m_Cluster.effectiveConfiguration()->m_Limits.m_DrainDeadline;
  const UpstreamTable &Upstreams = m_Dependencies.m_Routing.upstreams();
  for (Exchange *Running : m_ActiveExchanges) {
    const std::uint32_t Index = Upstreams.indexOf(Running->upstream());
    if (Index == UpstreamTable::NoIndex)
      continue;
    const Exclusion Reason = Upstreams.exclusion(Index, Now);
    if (Reason != Exclusion::DomainOut && Reason != Exclusion::Draining && Reason != Exclusion::Leaving) {
      Running->m_OutOfServiceSince.reset();
      continue;
    }
    if (!Running->m_OutOfServiceSince)
      Running->m_OutOfServiceSince = Now;
    if (Now - *Running->m_OutOfServiceSince >= DrainDeadline)
      Running->failOver(ErrorCode::DomainOut);
  }
}

} // namespace bulrushpitch
