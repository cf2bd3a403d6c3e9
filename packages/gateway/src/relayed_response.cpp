#include "bulrushpitch/forward/model_choice.h"
#include "forwarded_request.h"

#include <algorithm>
#include <utility>

/// @file
/// @brief Handles an upstream's response: checks its head, then keeps it, escalates to a larger model, or
/// relays it to the caller.

namespace bulrushpitch::detail {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A stream that is silent for this share of its target gap fails over to another upstream. A shorter timeout
/// would often hit streams that merely wait for other requests, and the repeated prefill delays more streams.
constexpr double SilenceTimeoutGapShare = 0.95;
constexpr Duration MaxSilenceTimeout = milliseconds(1150);
constexpr Duration MinSilenceTimeout = milliseconds(300);
/// Limit on the silence of a stream whose upstream is sending data for other requests.
constexpr Duration MaxSilenceWhileAlive = milliseconds(2500);
/// Responses up to this size are buffered completely before they are relayed, so that a broken one can be
/// retried.
constexpr std::size_t MaxBufferedBytes = 256UL * 1024UL;
constexpr std::size_t MaxEventBytes = 1024UL * 1024UL;
constexpr unsigned MinServerErrorStatus = 500;
/// Share of the retry budget that escalations to a larger model leave to requests whose upstream fails.
constexpr double RetryShareKeptFromEscalations = 0.12;

} // namespace

asio::awaitable<AttemptOutcome> ForwardedRequest::handleResponse(HttpStream &Response) {
  const ResponseHead Head =
      m_Dependencies.m_Translation.m_ReadResponseHead(Response.status(), Response.headers());
  // It may be an earlier refusal, written once more: then this request may run.
  const bool SaysNotRun = Head.m_WrongAddress || Head.m_NotRun;
  if (SaysNotRun && !Head.m_NamesAttempt && Response.onReusedConnection())
    co_return AttemptOutcome::Broken;
  if (Head.m_WrongAddress)
    co_return AttemptOutcome::WrongAddress;
  recordNotice(Head.m_Notice);
  if (Head.m_NotRun)
    co_return AttemptOutcome::Refused;
  if (!Head.m_Signed)
    co_return AttemptOutcome::Broken;
  if (Response.status() >= MinServerErrorStatus)
    co_return co_await keepServerError(Response);
  if (m_Writer.begun() && Response.status() != 200)
    co_return AttemptOutcome::Broken;
  if (!isStream() || Response.status() != 200)
    co_return co_await relayBuffered(Response);

  ModelAnswer Candidate;
  Candidate.m_Model = m_ModelIndex;
  Candidate.m_Confidence = Head.m_Confidence;
  Candidate.m_UntilTarget = m_ArrivedAt + m_Route->m_TargetLatency - m_Dependencies.m_Clock();
  Candidate.m_UntilDeadline = remainingTime();
  Candidate.m_EventGap = m_Dependencies.m_State.m_EventGapAverage.averageGap();
  Candidate.m_HeadDelayShare = m_Dependencies.m_State.m_HeadDelayAverage.share();
  if (!m_Route->m_Models.empty())
    Candidate.m_LargestModelTime =
        m_Dependencies.m_State.m_PrefillTime.expected(m_Route->m_Models.back(), m_Caller.m_PromptTokens);
  if (m_Caller.m_AnyModel && !m_Writer.begun())
    Candidate.m_Models = m_Route->m_Models;
  m_Confidence = Head.m_Confidence.value_or(0);
  const EscalationDecision Escalation = escalate(Candidate);
  if (Escalation.m_Model && acquireEscalation()) {
    m_ModelIndex = *Escalation.m_Model;
    m_Escalated = true;
    Response.cancel();
    co_return AttemptOutcome::Escalated;
  }
  co_return co_await relayEvents(Response);
}

bool ForwardedRequest::mayEscalate() const {
  return m_Dependencies.m_State.retryBudgetOf(m_Service).allows(m_Dependencies.m_Clock(),
                                                                RetryShareKeptFromEscalations);
}

bool ForwardedRequest::acquireEscalation() {
  // Any upstream may run the larger model, those that ran the smaller one included.
  std::vector<UpstreamId> Tried = std::exchange(m_Tried, {});
  if (!retryDenialNow(AttemptOutcome::Escalated) &&
      m_Dependencies.m_State.retryBudgetOf(m_Service).takeRetry(m_Dependencies.m_Clock(),
                                                                RetryShareKeptFromEscalations)) {
    recordRetry(AttemptOutcome::Escalated);
    return true;
  }
  m_Tried = std::move(Tried);
  return false;
}

asio::awaitable<Expected<bool>> ForwardedRequest::readBody(HttpStream &Response, std::string &Body) {
  while (Body.size() <= MaxBufferedBytes) {
    Expected<std::optional<std::string>> Part =
        co_await Response.read(std::max(remainingTime(), Duration::zero()));
    if (!Part)
      co_return Part.error();
    if (!*Part)
      co_return true;
    Body += **Part;
  }
  co_return false;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::keepServerError(HttpStream &Response) {
  HttpResponse Failure;
  const Expected<bool> Complete = co_await readBody(Response, Failure.m_Body);
  if (!Complete)
    co_return outcomeOf(Complete.error());
  if (!*Complete)
    co_return AttemptOutcome::Broken;
  Failure.m_Status = Response.status();
  Failure.m_Headers = m_Dependencies.m_Translation.m_ToCaller(Response.headers());
  m_ServerError = std::move(Failure);
  co_return AttemptOutcome::Failed;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::relayBuffered(HttpStream &Response) {
  HttpResponse Buffered;
  const Expected<bool> Complete = co_await readBody(Response, Buffered.m_Body);
  if (!Complete)
    co_return outcomeOf(Complete.error());
  if (!*Complete)
    co_return co_await relayRest(Response, std::move(Buffered.m_Body));
  Buffered.m_Status = Response.status();
  Buffered.m_Headers = m_Dependencies.m_Translation.m_ToCaller(Response.headers());
  const Expected<Done> Written = co_await m_Writer.send(std::move(Buffered));
  co_return Written ? AttemptOutcome::Answered : AttemptOutcome::CallerGone;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::relayRest(HttpStream &Response, std::string Start) {
  m_PartRelayed = true;
  Expected<Done> Written =
      co_await m_Writer.begin(Response.status(), m_Dependencies.m_Translation.m_ToCaller(Response.headers()));
  if (Written)
    Written = co_await m_Writer.write(Start);
  while (Written) {
    Expected<std::optional<std::string>> Part =
        co_await Response.read(std::max(remainingTime(), Duration::zero()));
    if (!Part)
      co_return outcomeOf(Part.error());
    if (!*Part)
      break;
    Written = co_await m_Writer.write(**Part);
  }
  if (Written)
    Written = co_await m_Writer.finish();
  co_return Written ? AttemptOutcome::Answered : AttemptOutcome::CallerGone;
}

Duration ForwardedRequest::silenceTimeout() const {
  Duration SilenceTimeout = MaxSilenceTimeout;
  if (m_Route->m_TargetGap > milliseconds::zero())
    SilenceTimeout =
        std::clamp(std::chrono::duration_cast<Duration>(m_Route->m_TargetGap * SilenceTimeoutGapShare),
                   MinSilenceTimeout, MaxSilenceTimeout);
  return std::min(std::max(remainingTime(), Duration::zero()), SilenceTimeout);
}

asio::awaitable<bool> ForwardedRequest::beginResponse(HttpStream &Response) {
  if (m_Writer.begun())
    co_return true;
  HttpHeaders Headers = m_Dependencies.m_Translation.m_ToCaller(Response.headers());
  const Expected<Done> Started = co_await m_Writer.begin(Response.status(), std::move(Headers));
  co_return Started.hasValue();
}

asio::awaitable<std::optional<AttemptOutcome>> ForwardedRequest::writeCompleteEvents(HttpStream &Response,
                                                                                     EventSplitter &Events) {
  std::string Pending;
  while (const std::optional<StreamEvent> Event = Events.next()) {
    ++m_AttemptEvents;
    const EventSequence::Verdict Verdict = m_Sequence.check(*Event);
    if (Verdict == EventSequence::Verdict::Gap)
      co_return AttemptOutcome::Broken;
    if (Verdict == EventSequence::Verdict::Forward)
      Pending += Event->m_Bytes;
  }
  if (Pending.empty())
    co_return std::nullopt;
  if (!co_await beginResponse(Response))
    co_return AttemptOutcome::CallerGone;
  const Expected<Done> Written = co_await m_Writer.write(Pending);
  if (!Written)
    co_return AttemptOutcome::CallerGone;
  co_return std::nullopt;
}

bool ForwardedRequest::keepsWaiting(const Error &Failure, const UpstreamId &Target, TimePoint LastDataAt) {
  const TimePoint Now = m_Dependencies.m_Clock();
  if (Failure.m_Code != ErrorCode::UpstreamTimeout || remainingTime() <= Duration::zero())
    return false;
  return !couldRetryNow() || (Now - LastDataAt < MaxSilenceWhileAlive &&
                              m_Dependencies.m_State.m_Pool.recentlyActive(Target, Now));
}

asio::awaitable<AttemptOutcome> ForwardedRequest::relayEvents(HttpStream &Response) {
  EventSplitter Events;
  m_Sequence.beginAttempt();
  const std::optional<std::uint64_t> ResumedAfter = m_Sequence.last();
  const UpstreamId Target = m_Sent.back().m_Upstream;
  TimePoint LastDataAt = m_Dependencies.m_Clock();
  while (true) {
    Expected<std::optional<std::string>> Part = co_await Response.read(silenceTimeout());
    const TimePoint Now = m_Dependencies.m_Clock();
    if (!Part && keepsWaiting(Part.error(), Target, LastDataAt))
      continue;
    if (!Part)
      co_return outcomeOf(Part.error());
    if (!*Part)
      break;
    m_Dependencies.m_State.m_Pool.onEventGap(Target, Now - LastDataAt);
    m_Dependencies.m_State.m_EventGapAverage.record(Now - LastDataAt);
    m_Dependencies.m_State.m_Pool.onDataReceived(Target, Now);
    LastDataAt = Now;
    Events.feed(**Part);
    const std::optional<AttemptOutcome> Outcome = co_await writeCompleteEvents(Response, Events);
    if (Outcome)
      co_return *Outcome;
    if (Events.pendingBytes() > MaxEventBytes)
      co_return AttemptOutcome::Broken;
    if (remainingTime() <= Duration::zero())
      co_return AttemptOutcome::TimedOut;
  }
  if (Events.hasPartial() || !m_Writer.begun())
    co_return AttemptOutcome::Broken;
  // The end of the connection alone does not show that an upstream had nothing to add.
  const bool NothingNew = m_AttemptEvents == 0 || (ResumedAfter && m_Sequence.last() == ResumedAfter);
  if (Response.endsWithConnection() && NothingNew)
    co_return AttemptOutcome::Broken;
  const Expected<Done> Written = co_await m_Writer.finish();
  co_return Written ? AttemptOutcome::Answered : AttemptOutcome::CallerGone;
}

} // namespace bulrushpitch::detail
