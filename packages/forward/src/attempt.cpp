#include "bulrushpitch/forward/attempt.h"

namespace bulrushpitch {

namespace {

/// With less remaining time a retry cannot succeed and only adds load.
constexpr Duration MinRemainingTime = std::chrono::milliseconds(20);
/// Failed connections after which a request is no longer retried.
constexpr std::uint32_t MaxFailedConnections = 4;

/// Upstreams that one request may crash before it is known whether it is the cause.
constexpr std::uint32_t MaxBrokenAttempts = 3;

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

std::string_view nameOf(RetryDenial Value) {
  switch (Value) {
  case RetryDenial::Ended:
    return "request ended";
  case RetryDenial::Deadline:
    return "deadline";
  case RetryDenial::Unreachable:
    return "connections failed";
  case RetryDenial::AttemptsUsed:
    return "attempts used";
  case RetryDenial::NotRepeatable:
    return "not repeatable";
  case RetryDenial::BrokenOff:
    return "broken off by several upstreams";
  case RetryDenial::Quarantined:
    return "prompt part in quarantine";
  case RetryDenial::BudgetUsed:
    return "retry budget used";
  case RetryDenial::NoUpstream:
    return "no upstream";
  }
  return "unknown";
}

bool isTemporary(RetryDenial Value) {
  switch (Value) {
  case RetryDenial::Unreachable:
  case RetryDenial::AttemptsUsed: // Attempts at upstreams that have ended don't count.
  case RetryDenial::BudgetUsed:
  case RetryDenial::NoUpstream:
    return true;
  case RetryDenial::Ended:
  case RetryDenial::Deadline:
  case RetryDenial::NotRepeatable:
  case RetryDenial::BrokenOff:
  case RetryDenial::Quarantined:
    return false;
  }
  return false;
}

std::optional<RetryDenial> retryDenial(const RetryState &State, AttemptOutcome Last) {
  if (Last == AttemptOutcome::Answered || Last == AttemptOutcome::CallerGone)
    return RetryDenial::Ended;
  if (State.m_RemainingTime < MinRemainingTime)
    return RetryDenial::Deadline;
  if (State.m_PartRelayed)
    return RetryDenial::NotRepeatable;
  if (!isRepeatable(State) && (State.m_MayHaveRun || !certainlyNotRun(Last)))
    return RetryDenial::NotRepeatable;
  if (State.m_BrokenCount >= MaxBrokenAttempts)
    return RetryDenial::BrokenOff;
  if (State.m_FailedConnections >= MaxFailedConnections)
    return RetryDenial::Unreachable;
  if (State.m_SentCount >= State.m_MaxAttempts)
    return RetryDenial::AttemptsUsed;
  return std::nullopt;
}

FinalFailure failureFor(AttemptOutcome Last, bool NoAttemptRan, Duration RetryAfter) {
  if (NoAttemptRan)
    return {503, RetryAfter};
  if (Last == AttemptOutcome::TimedOut)
    return {504, std::nullopt};
  return {502, std::nullopt};
}

} // namespace bulrushpitch
