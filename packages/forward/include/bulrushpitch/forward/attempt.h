#ifndef BULRUSHPITCH_FORWARD_ATTEMPT_H
#define BULRUSHPITCH_FORWARD_ATTEMPT_H

/// @file
/// @brief Outcomes of attempts, and the retry decision and response status that follow from them.

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/objects.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushpitch {

/// @brief Outcome of an attempt to send a request to one upstream.
enum class AttemptOutcome : std::uint8_t {
  Answered,     ///< A complete response that can be forwarded to the caller.
  NotSent,      ///< No connection was established; the upstream did not receive the request.
  Refused,      ///< The upstream stated that it did not run the request.
  WrongAddress, ///< Another upstream has the address; the request did not run.
  Failed,       ///< The request ran, and the upstream responded with an error of its own.
  TimedOut,     ///< No response within the timeout; the request may have run.
  Broken,       ///< The connection or the response broke off; the request may have run.
  Escalated,    ///< The response was discarded to ask a larger model; its name is "dropped".
  CallerGone    ///< The caller disconnected.
};

/// @return a name for logs and metrics, for example "timed out"
std::string_view nameOf(AttemptOutcome Value);

/// @return whether the outcome guarantees that the upstream did not run the request
bool certainlyNotRun(AttemptOutcome Outcome);

/// @brief State of a request after an attempt has ended.
struct RetryState {
  RequestKind m_Kind = RequestKind::NonIdempotent;
  bool m_Resumable = false;      ///< Only for streams.
  std::uint32_t m_SentCount = 0; ///< Attempts that reached an upstream, including refused ones.
  std::uint32_t m_MaxAttempts = 1;
  std::uint32_t m_FailedConnections = 0; ///< Attempts that failed to connect.
  Duration m_RemainingTime{};            ///< Remaining time until the request's deadline.
  std::uint32_t m_BrokenCount = 0;       ///< Attempts whose upstream broke them off.
  bool m_MayHaveRun = false;             ///< An attempt so far, the last one included, may have run.
  bool m_PartRelayed = false; ///< The caller has a part of a response that no other attempt can complete.
};

/// @brief Reason why a request is not retried.
enum class RetryDenial : std::uint8_t {
  Ended,         ///< The request was answered, or its caller has disconnected.
  Deadline,      ///< Too little time is left.
  Unreachable,   ///< Too many connections failed.
  AttemptsUsed,  ///< The maximum number of attempts was made.
  NotRepeatable, ///< It may have run, and may run only once; or its caller has a part of a response.
  BrokenOff,     ///< Several upstreams broke it off; it may be what crashes them.
  Quarantined,   ///< A part of its prompt is in quarantine.
  BudgetUsed,    ///< The daemon's share of the retry budget is used up.
  NoUpstream     ///< No other upstream is available.
};

/// @return a name for logs, for example "retry budget used"
std::string_view nameOf(RetryDenial Value);
/// @return whether the reason may cease to apply before the request's deadline
bool isTemporary(RetryDenial Value);

/// @brief Decides whether a request may be retried, without regard to the retry budget and to the available
/// upstreams.
/// @return the reason if a retry could run a non-idempotent request twice, would exceed the maximum number of
/// attempts, or has too little time left; nothing if it may be retried
std::optional<RetryDenial> retryDenial(const RetryState &State, AttemptOutcome Last);

/// @return whether retryDenial() returns nothing
inline bool mayRetry(const RetryState &State, AttemptOutcome Last) { return !retryDenial(State, Last); }

/// @brief Response to the caller when no attempt succeeded.
struct FinalFailure {
  unsigned m_Status = 502;
  std::optional<Duration> m_RetryAfter; ///< Only with a status that guarantees that the request did not run.
};

/// @brief Chooses the status of a failed request. 503 guarantees that the request did not run and is chosen
/// only if this is certain for every attempt.
/// @param NoAttemptRan whether it is certain that no attempt ran
/// @param RetryAfter time after which a retry by the caller may succeed
FinalFailure failureFor(AttemptOutcome Last, bool NoAttemptRan, Duration RetryAfter);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_ATTEMPT_H
