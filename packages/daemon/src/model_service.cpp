#include "bulrushpitch/daemon/model_service.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration MoveCheckInterval = std::chrono::milliseconds(500);
/// Engines send a token each few tens of milliseconds; a stream silent for this long is taken as broken.
constexpr Duration StallTimeout = std::chrono::seconds(5);
constexpr Duration ChargeTimeout = std::chrono::seconds(10);
constexpr Duration CancelTimeout = std::chrono::seconds(1);
/// Waits when no permitted upstream has a free permit: without them a request before the first lease asked
/// for 419 permits in five seconds.
constexpr Duration FirstPermitWait = std::chrono::milliseconds(100);
constexpr Duration LongestPermitWait = std::chrono::seconds(1);
constexpr int MaxResumesPerAttempt = 2;
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t UsualAnswerTokens = 128;

Ran worse(Ran Left, Ran Right) {
  if (Left == Ran::Yes || Right == Ran::Yes)
    return Ran::Yes;
  return Left == Ran::Unknown || Right == Ran::Unknown ? Ran::Unknown : Ran::No;
}

/// @return whether an upstream that failed this way may be short of capacity
bool isColdSign(ErrorCode Code) {
  return Code == ErrorCode::UpstreamRefused || Code == ErrorCode::UpstreamBroken ||
         Code == ErrorCode::StreamLost;
}

} // namespace

/// One request from its first decision to its charge.
class ModelService::Exchange {
public:
  Exchange(ModelService &Owner, ModelCall Call, AnswerSink &Sink)
      : m_Owner(Owner), m_Parts(Owner.m_Parts), m_Call(std::move(Call)), m_Sink(Sink),
        m_Start(Owner.m_Runtime.m_Clock()), m_PromptText(promptText(m_Call.m_Prompt)) {
    m_Owner.m_Active.insert(this);
    m_Route.m_Team = m_Call.m_Team;
    m_Route.m_Model = m_Call.m_Model;
    m_Route.m_Task = m_Call.m_Task;
    m_Route.m_Request = m_Call.m_Request;
    m_Route.m_Session = m_Call.m_Session;
    m_Route.m_PinnedVersion = m_Call.m_Version;
    m_Route.m_QualityTarget = m_Call.m_Quality;
    m_Route.m_Deadline = m_Call.m_Deadline;
    m_Route.m_PromptTokens = Tokens(m_PromptText.size() / BytesPerToken);
    m_Route.m_ExpectedTokens = Tokens(std::min(m_Call.m_MaxTokens, UsualAnswerTokens));
    m_Route.m_PrefixHashes = prefixHashes(m_PromptText);
    m_Route.m_Streaming = m_Call.m_Stream;
  }
  ~Exchange() {
    m_Owner.m_Active.erase(this);
    std::erase_if(m_Owner.m_ByAttempt, [this](const std::pair<const AttemptId, Exchange *> &Entry) {
      return Entry.second == this;
    });
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  asio::awaitable<Expected<Done>> run();
  asio::awaitable<Expected<Done>> runResumed(const ResumeClaims &Claims, std::uint64_t Offset);

  /// @brief Ends the answer, because the daemon stops.
  void interrupt() {
    m_Interrupted = true;
    closeStream();
  }
  /// @brief Cancels the current attempt; the answer goes on at another upstream.
  void move(ErrorCode Why) {
    m_MoveReason = Why;
    closeStream();
  }
  /// @return the upstream of the current attempt; empty between attempts
  const UpstreamId &upstream() const { return m_Upstream; }
  /// @brief When the current upstream was first seen out of service.
  std::optional<TimePoint> m_OutSince;
  bool callerGone() const { return m_CallerGone; }

private:
  asio::awaitable<Expected<Done>> pinSession();
  asio::awaitable<Expected<Done>> answerStep();
  asio::awaitable<Expected<Done>> prepareRetry(const RouteDecision &Decision, const Error &Failure);
  asio::awaitable<Expected<Done>> attempt(const RouteDecision &Decision);
  asio::awaitable<Expected<Done>> generate(const AttemptId &Attempt, const RouteDecision &Decision);
  asio::awaitable<Expected<Done>> readFrames(const AttemptId &Attempt, const Endpoint &Address);
  asio::awaitable<Expected<Done>> reopen(const Endpoint &Address, const Error &Failure);
  asio::awaitable<Expected<Done>> deliver(const EngineFrame &Frame, const AttemptId &Attempt);
  asio::awaitable<void> release(std::uint64_t Offset, std::string_view Text);
  asio::awaitable<void> begin();
  asio::awaitable<bool> accepted();
  asio::awaitable<Expected<Done>> finish();
  asio::awaitable<void> cancelAtEngine(Endpoint Address, StreamId Stream);
  static asio::awaitable<void> rateLater(ModelParts Parts, Runtime Base, TeamId Team, RatingRequest Request);
  void recordRating(double Rating);
  void sampleRating();
  void escalate();
  /// @brief Adds the price of the attempt that has ended.
  void addCost();

  Duration left() const { return m_Call.m_Deadline - m_Owner.m_Runtime.m_Clock(); }
  void closeStream() {
    if (m_Stream)
      m_Stream->close();
  }
  /// An answer is held only if a rating can still change what is released.
  bool streamsNow() const { return m_Call.m_Stream && !m_Decision.m_RateBeforeRelease; }
  Error interruptedError() const {
    return Error{ErrorCode::Draining, "stream answer", m_Parts.m_Cluster.self().value(), Ran::Yes,
                 "this instance stops; go on elsewhere with the resume token and Last-Event-ID " +
                     std::to_string(m_Released)};
  }
  void note(EventKind Kind, const std::string &Detail) {
    TimelineEvent Event;
    Event.m_Kind = Kind;
    Event.m_Request = m_Call.m_Request;
    Event.m_Team = m_Call.m_Team;
    Event.m_Upstream = m_Upstream;
    Event.m_Version = m_Decision.m_Version;
    Event.m_Detail = Detail;
    m_Parts.m_Events.record(std::move(Event));
  }

  ModelService &m_Owner;
  ModelParts &m_Parts;
  ModelCall m_Call;
  AnswerSink &m_Sink;
  TimePoint m_Start;
  std::string m_PromptText;
  RouteRequest m_Route;
  RouteDecision m_Decision;
  UpstreamId m_Upstream;
  std::unique_ptr<EngineStream> m_Stream;
  StreamId m_StreamId;
  std::optional<StreamAssembler> m_Assembler;
  std::string m_Text; ///< Of the current cascade step, whole.
  std::string m_SessionToken;
  std::string m_FinishReason;
  std::vector<UpstreamId> m_WithoutPermit;
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens;
  MicroCents m_Amount;
  std::uint64_t m_Released = 0; ///< Bytes of the answer that left to the caller.
  Ran m_Ran = Ran::No;
  std::optional<ErrorCode> m_MoveReason;
  bool m_Begun = false;
  bool m_CallerGone = false;
  bool m_Interrupted = false;
};

asio::awaitable<Expected<Done>> ModelService::Exchange::run() {
  Expected<Done> Pinned = co_await pinSession();
  if (!Pinned)
    co_return Pinned;
  while (true) {
    Expected<Done> Answered = co_await answerStep();
    if (!Answered)
      co_return Answered;
    if (co_await accepted())
      break;
    escalate();
  }
  co_return co_await finish();
}

asio::awaitable<Expected<Done>> ModelService::Exchange::pinSession() {
  if (m_Call.m_SessionToken) {
    Expected<SessionClaims> Claims = m_Parts.m_Sessions.verifySession(*m_Call.m_SessionToken, m_Call.m_Team);
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
  RouteRequest Start = m_Route;
  Start.m_SingleVersionOnly = true;
  Expected<RouteDecision> Proposed = co_await m_Parts.m_Routing.decide(Start);
  if (!Proposed)
    co_return Proposed.error();
  PinRequest Request;
  Request.m_Team = m_Call.m_Team;
  Request.m_Session = *m_Call.m_Session;
  Request.m_Model = m_Call.m_Model;
  Request.m_Version = Proposed->m_Version;
  Request.m_Deadline = m_Call.m_Deadline;
  Expected<VersionId> Version = co_await m_Parts.m_Sessions.pin(std::move(Request));
  if (!Version)
    co_return Version.error();
  m_Route.m_PinnedVersion = *Version;
  m_SessionToken =
      m_Parts.m_Sessions.issueSession(m_Call.m_Team, *m_Call.m_Session, m_Call.m_Model, *Version);
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::answerStep() {
  std::optional<Error> Last;
  Duration PermitWait = FirstPermitWait;
  while (true) {
    Expected<RouteDecision> Decision = co_await m_Parts.m_Routing.decide(m_Route);
    if (!Decision) {
      // Upstreams without a free permit are only excluded for the moment.
      if (!m_WithoutPermit.empty() && left() > PermitWait &&
          Decision.error().m_Code == ErrorCode::NoUpstream) {
        co_await sleepFor(m_Owner.m_Runtime.m_Context, PermitWait);
        PermitWait = std::min(PermitWait * 2, LongestPermitWait);
        std::erase_if(m_Route.m_ExcludedUpstreams, [this](const UpstreamId &Id) {
          return std::find(m_WithoutPermit.begin(), m_WithoutPermit.end(), Id) != m_WithoutPermit.end();
        });
        m_WithoutPermit.clear();
        continue;
      }
      Error Refused = Last ? *Last : Decision.error();
      Refused.m_Ran = worse(Refused.m_Ran, m_Ran);
      co_return Refused;
    }
    m_Decision = *Decision;
    m_Parts.m_Explain.add(m_Call.m_Request, "route", Decision->m_Upstream, Decision->m_Version,
                          Decision->reason());
    Expected<Done> Outcome = co_await attempt(*Decision);
    if (Outcome)
      co_return Done{};
    Last = Outcome.error();
    m_Ran = worse(m_Ran, Last->m_Ran);
    Expected<Done> Again = co_await prepareRetry(*Decision, *Last);
    if (!Again) {
      Error Final = Again.error();
      Final.m_Ran = worse(Final.m_Ran, m_Ran);
      co_return Final;
    }
  }
}

asio::awaitable<Expected<Done>> ModelService::Exchange::prepareRetry(const RouteDecision &Decision,
                                                                     const Error &Failure) {
  m_Parts.m_Explain.add(m_Call.m_Request, "attempt failed", Decision.m_Upstream, Decision.m_Version,
                        Failure.toString());
  if (m_Interrupted)
    co_return interruptedError();
  if (left() <= Duration::zero())
    co_return Error{ErrorCode::DeadlineUnreachable, "answer request", Failure.m_Peer, m_Ran,
                    "the deadline passed; last error: " + Failure.m_Detail};
  m_Route.m_ExcludedUpstreams.push_back(Decision.m_Upstream);
  if (Failure.m_Code == ErrorCode::NoPermit) {
    m_WithoutPermit.push_back(Decision.m_Upstream);
  } else if (!m_MoveReason) {
    Expected<Done> Budget = m_Parts.m_Routing.retries().takeRetry();
    if (!Budget)
      co_return Failure;
  }
  m_MoveReason.reset();
  if (m_Released == 0) {
    m_Text.clear();
    m_Assembler.reset();
  } else {
    // The caller has part of the answer: another engine must continue it on the same version.
    m_Route.m_PinnedVersion = Decision.m_Version;
  }
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::attempt(const RouteDecision &Decision) {
  const AttemptId Attempt = m_Owner.newAttempt();
  m_Upstream = Decision.m_Upstream;
  m_OutSince.reset();
  if (Decision.m_NeedsPermit) {
    Expected<Done> Permit = co_await m_Parts.m_Permits.acquire(Decision.m_Upstream, Attempt);
    if (!Permit) {
      note(EventKind::PermitRefused, Permit.error().m_Detail);
      co_return Permit;
    }
    note(EventKind::PermitGranted, Attempt.value());
  }
  Router &Routes = m_Parts.m_Routing.router();
  Routes.onDispatched(Attempt, m_Route, Decision, m_Owner.m_Runtime.m_Clock());
  m_Owner.m_ByAttempt[Attempt] = this;
  note(EventKind::AttemptStarted, Attempt.value());
  Expected<Done> Outcome = co_await generate(Attempt, Decision);
  m_Stream.reset();
  m_Owner.m_ByAttempt.erase(Attempt);
  const TimePoint Now = m_Owner.m_Runtime.m_Clock();
  if (Outcome) {
    Routes.onFinished(Attempt, Now);
    note(EventKind::AttemptFinished, Attempt.value());
  } else if (m_MoveReason || m_Interrupted) {
    // Ended by this daemon; the upstream is not to blame.
    Routes.onFinished(Attempt, Now);
    note(EventKind::AttemptFailed, Outcome.error().toString());
  } else {
    Routes.onFailed(Attempt, Outcome.error().m_Code, Now);
    note(EventKind::AttemptFailed, Outcome.error().toString());
    LOG(WARNING) << "step=attempt request=" << m_Call.m_Request << " team=" << m_Call.m_Team
                 << " upstream=" << Decision.m_Upstream << " error=\"" << Outcome.error() << '"';
  }
  m_Parts.m_Permits.release(Attempt, !Outcome && !m_MoveReason && isColdSign(Outcome.error().m_Code));
  m_Upstream = UpstreamId();
  m_Parts.m_Routing.pump();
  co_return Outcome;
}

asio::awaitable<Expected<Done>> ModelService::Exchange::generate(const AttemptId &Attempt,
                                                                 const RouteDecision &Decision) {
  const std::optional<Endpoint> Address = m_Parts.m_Routing.addressOf(Decision.m_Upstream);
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
      co_await m_Parts.m_Engines.generate(*Address, std::move(Request), left());
  if (!Opened)
    co_return Opened.error();
  m_Stream = std::move(*Opened);
  if (m_Interrupted)
    co_return interruptedError();
  Expected<EngineStart> Start = co_await m_Stream->start(left());
  if (!Start)
    co_return Start.error();
  m_Ran = Ran::Yes;
  m_StreamId = Start->m_Stream;
  m_PromptTokens = Start->m_PromptTokens;
  if (m_Assembler)
    m_Assembler->switchTo(Attempt);
  else
    m_Assembler.emplace(Attempt, m_Text.size());
  co_return co_await readFrames(Attempt, *Address);
}

asio::awaitable<Expected<Done>> ModelService::Exchange::readFrames(const AttemptId &Attempt,
                                                                   const Endpoint &Address) {
  int Resumes = 0;
  bool First = true;
  while (!m_Assembler->complete()) {
    const Duration Timeout = std::min(left(), StallTimeout);
    Expected<EngineFrame> Frame = co_await m_Stream->next(Timeout);
    if (m_Interrupted)
      co_return interruptedError();
    if (m_MoveReason) {
      co_await cancelAtEngine(Address, m_StreamId);
      co_return Error{*m_MoveReason, "stream answer", m_Upstream.value(), Ran::Yes,
                      "the attempt was cancelled to go on elsewhere"};
    }
    if (left() <= Duration::zero()) {
      co_await cancelAtEngine(Address, m_StreamId);
      co_return Error{ErrorCode::UpstreamTimeout, "stream answer", m_Upstream.value(), Ran::Yes,
                      "the deadline passed while the answer was generated"};
    }
    if (!Frame) {
      if (Frame.error().m_Code == ErrorCode::UpstreamBroken || Resumes++ >= MaxResumesPerAttempt)
        co_return Frame.error();
      Expected<Done> Reopened = co_await reopen(Address, Frame.error());
      if (!Reopened)
        co_return Reopened;
      continue;
    }
    if (First)
      m_Parts.m_Routing.router().onFirstToken(Attempt, m_Owner.m_Runtime.m_Clock());
    First = false;
    Expected<Done> Delivered = co_await deliver(*Frame, Attempt);
    if (!Delivered)
      co_return Delivered;
  }
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::reopen(const Endpoint &Address,
                                                               const Error &Failure) {
  m_Stream.reset();
  Expected<std::unique_ptr<EngineStream>> Opened = co_await m_Parts.m_Engines.resume(
      Address, m_StreamId, m_Assembler->next(), std::min(left(), StallTimeout));
  if (!Opened)
    co_return Failure;
  m_Stream = std::move(*Opened);
  Expected<EngineStart> Start = co_await m_Stream->start(std::min(left(), StallTimeout));
  if (!Start)
    co_return Failure;
  // A daemon that did not start the stream learns here what to charge for the prompt.
  m_PromptTokens = Start->m_PromptTokens;
  note(EventKind::StreamResumed, "at offset " + std::to_string(m_Assembler->next()));
  co_return Done{};
}

asio::awaitable<Expected<Done>> ModelService::Exchange::deliver(const EngineFrame &Frame,
                                                                const AttemptId &Attempt) {
  if (Frame.m_End) {
    if (Frame.m_FinishReason == "cancelled")
      co_return Error{ErrorCode::UpstreamBroken, "stream answer", m_Upstream.value(), Ran::Yes,
                      "the stream was cancelled at the engine"};
    m_CompletionTokens += Frame.m_CompletionTokens;
    m_FinishReason = Frame.m_FinishReason;
  }
  StreamFrame Arrived;
  Arrived.m_Attempt = Attempt;
  Arrived.m_Offset = Frame.m_Offset;
  Arrived.m_Text = Frame.m_Text;
  Arrived.m_End = Frame.m_End;
  for (const StreamFrame &Ready : m_Assembler->frame(std::move(Arrived))) {
    m_Text += Ready.m_Text;
    if (streamsNow())
      co_await release(Ready.m_Offset, Ready.m_Text);
  }
  co_return Done{};
}

asio::awaitable<void> ModelService::Exchange::release(std::uint64_t Offset, std::string_view Text) {
  if (Text.empty() || m_CallerGone)
    co_return;
  co_await begin();
  if (!m_CallerGone) {
    Expected<Done> Written = co_await m_Sink.text(Offset, Text);
    // The engine goes on, so that the caller can resume elsewhere and the request is billed once.
    m_CallerGone = !Written;
  }
  m_Released = Offset + Text.size();
}

asio::awaitable<void> ModelService::Exchange::begin() {
  if (!m_Begun && !m_CallerGone) {
    m_Begun = true;
    AnswerHead Head;
    Head.m_Request = m_Call.m_Request;
    Head.m_Model = m_Call.m_Model;
    Head.m_Version = m_Decision.m_Version;
    Head.m_SessionToken = m_SessionToken;
    Head.m_Created =
        std::chrono::duration_cast<std::chrono::seconds>(m_Owner.m_Runtime.m_WallClock().time_since_epoch())
            .count();
    if (m_Call.m_Stream) {
      ResumeClaims Claims;
      Claims.m_Team = m_Call.m_Team;
      Claims.m_Request = m_Call.m_Request;
      Claims.m_Upstream = m_Decision.m_Upstream;
      Claims.m_Stream = m_StreamId;
      Claims.m_Model = m_Call.m_Model;
      Claims.m_Version = m_Decision.m_Version;
      Head.m_ResumeToken = m_Parts.m_Sessions.issueResume(std::move(Claims));
    }
    m_Parts.m_FirstText.record(m_Owner.m_Runtime.m_Clock() - m_Start);
    Expected<Done> Begun = co_await m_Sink.begin(Head);
    m_CallerGone = !Begun;
  }
}

asio::awaitable<bool> ModelService::Exchange::accepted() {
  if (!m_Decision.m_RateBeforeRelease) {
    sampleRating();
    co_return true;
  }
  RatingRequest Request;
  Request.m_Task = m_Call.m_Task;
  Request.m_Version = m_Decision.m_Version;
  Request.m_Prompt = m_PromptText;
  Request.m_Answer = m_Text;
  Expected<double> Rating = co_await m_Parts.m_Ratings.rate(std::move(Request));
  if (Rating)
    recordRating(*Rating);
  const double Judged = Rating ? *Rating : m_Decision.m_PredictedQuality;
  const bool Keep = Judged >= m_Decision.m_AcceptAt || left() <= Duration::zero();
  m_Parts.m_Explain.add(m_Call.m_Request, Keep ? "accept" : "escalate", m_Decision.m_Upstream,
                        m_Decision.m_Version,
                        (Rating ? "rated " : "not rated, predicted ") + std::to_string(Judged) +
                            ", accepted at " + std::to_string(m_Decision.m_AcceptAt));
  co_return Keep;
}

void ModelService::Exchange::escalate() {
  note(EventKind::Escalated, m_Decision.m_Version.value() + " was rated below its threshold");
  addCost();
  m_Route.m_CascadeStep = m_Decision.m_NextCascadeStep;
  m_Text.clear();
  m_Assembler.reset();
  m_CompletionTokens = Tokens();
}

void ModelService::Exchange::addCost() {
  const std::shared_ptr<const Configuration> Config = m_Parts.m_Cluster.effective();
  if (const auto Found = Config->m_Versions.find(m_Decision.m_Version); Found != Config->m_Versions.end()) {
    const Version &Used = Found->second;
    m_Amount +=
        MicroCents(Used.m_PromptPrice.value() * static_cast<std::int64_t>(m_PromptTokens.value()) +
                   Used.m_CompletionPrice.value() * static_cast<std::int64_t>(m_CompletionTokens.value()));
  }
}

void ModelService::Exchange::recordRating(double Rating) {
  m_Parts.m_Routing.quality().record(m_Call.m_Team, m_Call.m_Task, m_Decision.m_Version, Rating,
                                     m_Owner.m_Runtime.m_Clock());
  m_Parts.m_Routing.rollouts().record(m_Decision.m_Version, m_Call.m_Task, Rating);
}

void ModelService::Exchange::sampleRating() {
  const double Usual = m_Parts.m_Cluster.effective()->m_Limits.m_RatingSample;
  const double Share = m_Parts.m_Routing.rollouts().ratingShare(m_Decision.m_Version, Usual);
  const double Draw = static_cast<double>(m_Owner.m_Runtime.m_Random() >> 11U) * 0x1.0p-53;
  if (Draw >= Share)
    return;
  RatingRequest Request;
  Request.m_Task = m_Call.m_Task;
  Request.m_Version = m_Decision.m_Version;
  Request.m_Prompt = m_PromptText;
  Request.m_Answer = m_Text;
  spawn(m_Owner.m_Runtime.m_Context,
        rateLater(m_Parts, m_Owner.m_Runtime, m_Call.m_Team, std::move(Request)));
}

asio::awaitable<void> ModelService::Exchange::rateLater(ModelParts Parts, Runtime Base, TeamId Team,
                                                        RatingRequest Request) {
  const TaskName Task = Request.m_Task;
  const VersionId Rated = Request.m_Version;
  Expected<double> Rating = co_await Parts.m_Ratings.rate(std::move(Request));
  if (!Rating)
    co_return;
  Parts.m_Routing.quality().record(Team, Task, Rated, *Rating, Base.m_Clock());
  Parts.m_Routing.rollouts().record(Rated, Task, *Rating);
}

asio::awaitable<Expected<Done>> ModelService::Exchange::finish() {
  addCost();
  if (m_Released < m_Text.size()) {
    const std::string Rest = m_Text.substr(m_Released);
    co_await release(m_Released, Rest);
  }
  // An answer without text, or without text that the caller still lacks, has its head all the same.
  co_await begin();
  Charge Added;
  Added.m_Team = m_Call.m_Team;
  Added.m_Request = m_Call.m_Request;
  Added.m_Attempt = m_Owner.newAttempt();
  Added.m_Target = m_Decision.m_Version.value();
  Added.m_Amount = m_Amount;
  Added.m_Prompt = m_PromptTokens;
  Added.m_Completion = m_CompletionTokens;
  Added.m_At = m_Owner.m_Runtime.m_WallClock().time_since_epoch().count();
  Expected<Done> Charged = co_await m_Parts.m_Billing.charge(std::move(Added), ChargeTimeout);
  if (!Charged)
    co_return Charged;
  m_Parts.m_Whole.record(m_Owner.m_Runtime.m_Clock() - m_Start);
  if (m_CallerGone)
    co_return Done{};
  AnswerEnd End;
  End.m_Version = m_Decision.m_Version;
  End.m_FinishReason = m_FinishReason;
  End.m_PromptTokens = m_PromptTokens;
  End.m_CompletionTokens = m_CompletionTokens;
  End.m_Charge = m_Amount;
  static_cast<void>(co_await m_Sink.end(End));
  co_return Done{};
}

asio::awaitable<void> ModelService::Exchange::cancelAtEngine(Endpoint Address, StreamId Stream) {
  static_cast<void>(co_await m_Parts.m_Engines.cancel(Address, Stream.value(), CancelTimeout));
}

asio::awaitable<Expected<Done>> ModelService::Exchange::runResumed(const ResumeClaims &Claims,
                                                                   std::uint64_t Offset) {
  const std::optional<Endpoint> Address = m_Parts.m_Routing.addressOf(Claims.m_Upstream);
  m_Decision.m_Upstream = Claims.m_Upstream;
  m_Decision.m_Version = Claims.m_Version;
  m_Upstream = Claims.m_Upstream;
  m_Released = Offset;
  m_StreamId = Claims.m_Stream;
  m_Ran = Ran::Yes;
  Expected<Done> Outcome = Error{ErrorCode::StreamLost, "resume stream", Claims.m_Upstream.value(), Ran::Yes,
                                 "the upstream is no longer in the configuration"};
  if (Address) {
    const AttemptId Attempt = m_Owner.newAttempt();
    m_Assembler.emplace(Attempt, Offset);
    // A local, because g++ 12 destroys an Error{...} twice that is a temporary of the co_await expression.
    const Error Unknown{ErrorCode::StreamLost, "resume stream", Claims.m_Upstream.value(), Ran::Yes,
                        "the engine does not know the stream any more"};
    Expected<Done> Opened = co_await reopen(*Address, Unknown);
    Outcome = Opened;
    if (Opened)
      Outcome = co_await readFrames(Attempt, *Address);
  }
  m_Stream.reset();
  m_Upstream = UpstreamId();
  if (Outcome) {
    // m_Text holds only what came after the offset, and that has been released as it came.
    m_Text.clear();
    co_return co_await finish();
  }
  if (Offset > 0 || m_Released > Offset || m_Call.m_Prompt.empty())
    co_return Outcome;
  m_Assembler.reset();
  m_Text.clear();
  m_Route.m_PinnedVersion = Claims.m_Version;
  co_return co_await run();
}

ModelService::ModelService(const Runtime &Base, ModelParts Parts)
    : m_Runtime(Base), m_Parts(Parts),
      m_Tick(
          Base.m_Context, [] { return MoveCheckInterval; }, [this] { moveOverdue(); }) {
  m_Parts.m_Permits.onCancel([this](const AttemptId &Attempt) { cancelAttempt(Attempt); });
}

ModelService::~ModelService() = default;

Result<void> ModelService::start() {
  m_Tick.start();
  return {};
}

void ModelService::stop() { m_Tick.stop(); }

AttemptId ModelService::newAttempt() {
  return AttemptId(m_Parts.m_Cluster.self().value() + "-" + std::to_string(m_Parts.m_Cluster.incarnation()) +
                   "-" + std::to_string(m_NextAttempt++));
}

asio::awaitable<void> ModelService::serve(ModelCall Call, AnswerSink &Sink) {
  m_Parts.m_Routing.retries().onRequest();
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
  for (Exchange *Running : m_Active)
    Running->interrupt();
}

void ModelService::cancelAttempt(const AttemptId &Attempt) {
  if (const auto Found = m_ByAttempt.find(Attempt); Found != m_ByAttempt.end())
    Found->second->move(ErrorCode::NoPermit);
}

void ModelService::moveOverdue() {
  const TimePoint Now = m_Runtime.m_Clock();
  const Duration Deadline = m_Parts.m_Cluster.effective()->m_Limits.m_DrainDeadline;
  const UpstreamTable &Upstreams = m_Parts.m_Routing.upstreams();
  for (Exchange *Running : m_Active) {
    const std::uint32_t Index = Upstreams.indexOf(Running->upstream());
    if (Index == UpstreamTable::NoIndex)
      continue;
    const Exclusion Why = Upstreams.exclusion(Index, Now);
    if (Why != Exclusion::DomainOut && Why != Exclusion::Draining && Why != Exclusion::Leaving) {
      Running->m_OutSince.reset();
      continue;
    }
    if (!Running->m_OutSince)
      Running->m_OutSince = Now;
    if (Now - *Running->m_OutSince >= Deadline)
      Running->move(ErrorCode::DomainOut);
  }
}

} // namespace bulrushpitch
