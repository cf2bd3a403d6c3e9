#include "bulrushpitch/forward/model_choice.h"
#include "forwarded_request.h"

#include <algorithm>

/// @file
/// @brief What becomes of an upstream's answer: judged by its head, then kept, or relayed to the caller.

namespace bulrushpitch::detail {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A stream that has been silent for nearly the pause that makes it late goes on at another upstream. Sooner,
/// it would often only have waited for others, and reading its prompt again delays more streams.
constexpr double SilenceShareOfGap = 0.95;
constexpr Duration MostSilence = milliseconds(1150);
constexpr Duration LeastSilence = milliseconds(300);
/// A stream's upstream that is at work for others may be silent for so long.
constexpr Duration MostSilenceWhileAlive = milliseconds(2500);
/// Answers up to this size are read whole before the caller gets them, so that a broken one can be repeated.
constexpr std::size_t MostBufferedBytes = 256UL * 1024UL;
constexpr std::size_t MostEventBytes = 1024UL * 1024UL;
constexpr unsigned FirstServerFailure = 500;
/// Part of the retries that a larger model's answers leave for requests whose upstream fails.
constexpr double KeptForFailures = 0.12;

} // namespace

asio::awaitable<AttemptOutcome> ForwardedRequest::judge(HttpStream &Answer) {
  const AnswerHead Read = m_Parts.m_Translation.m_ReadAnswer(Answer.status(), Answer.headers());
  if (Read.m_WrongAddress)
    co_return AttemptOutcome::WrongAddress;
  if (Read.m_NotRun)
    co_return AttemptOutcome::Refused;
  if (!Read.m_Genuine)
    co_return AttemptOutcome::Broken;
  if (Answer.status() >= FirstServerFailure)
    co_return co_await keepFailure(Answer);
  if (!streams() || Answer.status() != 200)
    co_return co_await relayWhole(Answer);

  ModelAnswer Given;
  Given.m_Model = m_Model;
  Given.m_Confidence = Read.m_Confidence;
  Given.m_UntilTarget = m_ArrivedAt + m_Route->m_TargetLatency - m_Parts.m_Clock();
  Given.m_UntilDeadline = left();
  Given.m_EventGap = m_Parts.m_State.m_Pace.usualGap();
  if (!m_Route->m_Models.empty())
    Given.m_LargestTakes =
        m_Parts.m_State.m_ReadingTime.expected(m_Route->m_Models.back(), m_Caller.m_PromptTokens);
  if (m_Caller.m_AnyModel && !m_Writer.begun())
    Given.m_Models = m_Route->m_Models;
  m_Confidence = Read.m_Confidence.value_or(0);
  const EscalationDecision Larger = escalate(Given);
  if (Larger.m_Model && countedAttempts() < m_Route->m_MaxAttempts && left() > Duration::zero() &&
      m_Parts.m_State.budgetOf(m_Service).takeRetry(m_Parts.m_Clock(), KeptForFailures)) {
    m_Model = *Larger.m_Model;
    m_Escalated = true;
    m_Tried.clear();
    Answer.cancel();
    co_return AttemptOutcome::Dropped;
  }
  co_return co_await relayEvents(Answer);
}

asio::awaitable<Expected<bool>> ForwardedRequest::readBody(HttpStream &Answer, std::string &Body) {
  while (Body.size() <= MostBufferedBytes) {
    Expected<std::optional<std::string>> Part = co_await Answer.read(std::max(left(), Duration::zero()));
    if (!Part)
      co_return Part.error();
    if (!*Part)
      co_return true;
    Body += **Part;
  }
  co_return false;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::keepFailure(HttpStream &Answer) {
  HttpResponse Kept;
  const Expected<bool> Ended = co_await readBody(Answer, Kept.m_Body);
  if (!Ended)
    co_return outcomeOf(Ended.error());
  if (!*Ended)
    co_return AttemptOutcome::Broken;
  Kept.m_Status = Answer.status();
  Kept.m_Headers = m_Parts.m_Translation.m_ToCaller(Answer.headers());
  m_Failure = std::move(Kept);
  co_return AttemptOutcome::Failed;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::relayWhole(HttpStream &Answer) {
  HttpResponse Response;
  const Expected<bool> Ended = co_await readBody(Answer, Response.m_Body);
  if (!Ended)
    co_return outcomeOf(Ended.error());
  if (!*Ended)
    co_return co_await relayRest(Answer, std::move(Response.m_Body));
  Response.m_Status = Answer.status();
  Response.m_Headers = m_Parts.m_Translation.m_ToCaller(Answer.headers());
  const Expected<Done> Written = co_await m_Writer.send(std::move(Response));
  co_return Written ? AttemptOutcome::Answered : AttemptOutcome::CallerGone;
}

asio::awaitable<AttemptOutcome> ForwardedRequest::relayRest(HttpStream &Answer, std::string Begun) {
  Expected<Done> Written =
      co_await m_Writer.begin(Answer.status(), m_Parts.m_Translation.m_ToCaller(Answer.headers()));
  if (Written)
    Written = co_await m_Writer.write(Begun);
  while (Written) {
    Expected<std::optional<std::string>> Part = co_await Answer.read(std::max(left(), Duration::zero()));
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
  const Duration Left = std::max(left(), Duration::zero());
  if (!mayRetry(retryState(), AttemptOutcome::TimedOut))
    return Left;
  Duration Silence = MostSilence;
  if (m_Route->m_TargetGap > milliseconds::zero())
    Silence = std::clamp(std::chrono::duration_cast<Duration>(m_Route->m_TargetGap * SilenceShareOfGap),
                         LeastSilence, MostSilence);
  return std::min(Left, Silence);
}

asio::awaitable<bool> ForwardedRequest::begin(HttpStream &Answer) {
  if (m_Writer.begun())
    co_return true;
  HttpHeaders Headers = m_Parts.m_Translation.m_ToCaller(Answer.headers());
  const Expected<Done> Begun = co_await m_Writer.begin(Answer.status(), std::move(Headers));
  co_return Begun.hasValue();
}

asio::awaitable<std::optional<AttemptOutcome>> ForwardedRequest::forwardEvents(HttpStream &Answer,
                                                                               EventSplitter &Events) {
  std::string Ready;
  while (const std::optional<StreamEvent> Event = Events.next()) {
    const EventSequence::Verdict Verdict = m_Sequence.check(*Event);
    if (Verdict == EventSequence::Verdict::Gap)
      co_return AttemptOutcome::Broken;
    if (Verdict == EventSequence::Verdict::Forward)
      Ready += Event->m_Bytes;
  }
  if (Ready.empty())
    co_return std::nullopt;
  if (!co_await begin(Answer))
    co_return AttemptOutcome::CallerGone;
  const Expected<Done> Written = co_await m_Writer.write(Ready);
  if (!Written)
    co_return AttemptOutcome::CallerGone;
  co_return std::nullopt;
}

bool ForwardedRequest::waitsOn(const Error &Failure, const UpstreamId &Target, TimePoint HeardAt) const {
  const TimePoint Now = m_Parts.m_Clock();
  if (Failure.m_Code != ErrorCode::UpstreamTimeout || left() <= Duration::zero())
    return false;
  return !mayRetryNow() ||
         (Now - HeardAt < MostSilenceWhileAlive && m_Parts.m_State.m_Pool.alive(Target, Now));
}

asio::awaitable<AttemptOutcome> ForwardedRequest::relayEvents(HttpStream &Answer) {
  EventSplitter Events;
  const UpstreamId Target = m_SentTo.back();
  TimePoint HeardAt = m_Parts.m_Clock();
  while (true) {
    Expected<std::optional<std::string>> Part = co_await Answer.read(silenceTimeout());
    const TimePoint Now = m_Parts.m_Clock();
    if (!Part && waitsOn(Part.error(), Target, HeardAt))
      continue;
    if (!Part)
      co_return outcomeOf(Part.error());
    if (!*Part)
      break;
    m_Parts.m_State.m_Pool.onEventGap(Target, Now - HeardAt);
    m_Parts.m_State.m_Pace.record(Now - HeardAt);
    m_Parts.m_State.m_Pool.onHeard(Target, Now);
    HeardAt = Now;
    Events.feed(**Part);
    const std::optional<AttemptOutcome> Ended = co_await forwardEvents(Answer, Events);
    if (Ended)
      co_return *Ended;
    if (Events.pendingBytes() > MostEventBytes || left() <= Duration::zero())
      co_return AttemptOutcome::TimedOut;
  }
  if (Events.hasPartial() || !m_Writer.begun())
    co_return AttemptOutcome::Broken;
  const Expected<Done> Written = co_await m_Writer.finish();
  co_return Written ? AttemptOutcome::Answered : AttemptOutcome::CallerGone;
}

} // namespace bulrushpitch::detail
