#include "bulrushpitch/forward/attempt.h"

namespace bulrushpitch {

namespace {

/// With less remaining time a retry cannot succeed and only adds load.
constexpr Duration MinRemainingTime = std::chrono::milliseconds(20);
/// Failed connections after which a request is no longer retried.
constexpr std::uint32_t MaxFailedConnections = 4;

/// @return whether the request may run more than once
bool isRepeatable(const RetryState &State) {
  return State.m_Kind == RequestKind::Idempotent ||
         (State.m_Kind == RequestKind::Stream && State.m_Resumable);
}

} // namespace

std::string_view nameOf(AttemptOutcome Value) {
  switch (Value) {
  case AttemptOutcome::Answered:
    return "answered";
  case AttemptOutcome::NotSent:
    return "not sent";
  case AttemptOutcome::Refused:
    return "refused";
  case AttemptOutcome::WrongAddress:
    return "wrong address";
  case AttemptOutcome::Failed:
    return "failed";
  case AttemptOutcome::TimedOut:
    return "timed out";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::Escalated:
    return "dropped";
  case AttemptOutcome::CallerGone:
    return "caller gone";
  }
  return "unknown";
}

bool certainlyNotRun(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotSent || Outcome == AttemptOutcome::Refused ||
         Outcome == AttemptOutcome::WrongAddress;
}

bool mayRetry(const RetryState &State, AttemptOutcome Last) {
  if (Last == AttemptOutcome::Answered || Last == AttemptOutcome::CallerGone)
    return false;
  if (State.m_RemainingTime < MinRemainingTime || State.m_FailedConnections >= MaxFailedConnections)
    return false;
  if (State.m_SentCount >= State.m_MaxAttempts)
    return false;
  return isRepeatable(State) || (certainlyNotRun(Last) && !State.m_MayHaveRun);
}

FinalFailure failureFor(AttemptOutcome Last, bool NoAttemptRan, Duration RetryAfter) {
  if (NoAttemptRan)
    return {503, RetryAfter};
  if (Last == AttemptOutcome::TimedOut)
    return {504, std::nullopt};
  return {502, std::nullopt};
}

} // namespace bulrushpitch
