#ifndef BULRUSHPITCH_FORWARD_ATTEMPT_H
#define BULRUSHPITCH_FORWARD_ATTEMPT_H

/// @file
/// @brief What became of one attempt, and what follows from it for the next one and for the caller.

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/objects.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushpitch {

/// @brief What is known of a request that was sent to one upstream.
enum class AttemptOutcome : std::uint8_t {
  Answered,     ///< A complete answer that the caller may have.
  NotSent,      ///< No connection was made; the upstream never saw it.
  Refused,      ///< The upstream says that it did not run it.
  WrongAddress, ///< Another upstream has the address; it did not run.
  Failed,       ///< It ran, and the upstream answered with a failure of its own.
  TimedOut,     ///< Nothing was heard in time; it may have run.
  Broken,       ///< The connection or the answer broke; it may have run.
  Dropped,      ///< The answer was given up for a larger model's.
  CallerGone    ///< The caller left.
};

/// @param Value an outcome
/// @return for example "timed out"
std::string_view nameOf(AttemptOutcome Value);

/// @return whether the upstream certainly did no work for the request
bool certainlyNotRun(AttemptOutcome Outcome);

/// @brief What is known of a request when an attempt has ended.
struct RetryState {
  RequestKind m_Kind = RequestKind::NonIdempotent;
  bool m_Resumable = false; ///< For streams.
  std::uint32_t m_Sent = 0; ///< Attempts that reached an upstream, refused ones included.
  std::uint32_t m_MaxAttempts = 1;
  std::uint32_t m_NotSent = 0; ///< Attempts that found no connection.
  Duration m_Left{};           ///< Until the request's deadline.
  bool m_MayHaveRun = false;   ///< An earlier attempt may have run.
};

/// @brief Decides whether a request may be sent again, budget aside.
/// @return false if another attempt could run a non-idempotent request twice, exceeds the attempts, or comes
/// too late
bool mayRetry(const RetryState &State, AttemptOutcome Last);

/// @brief What the caller is told when no attempt succeeded.
struct FinalFailure {
  unsigned m_Status = 502;
  std::optional<Duration> m_RetryAfter; ///< Only with a status that promises that nothing ran.
};

/// @brief Chooses the status of a failed request. A status that promises that nothing ran is chosen only if
/// that is certain of every attempt.
/// @param AllNotRun whether no attempt can have run
/// @param RetryAfter when the request has a chance again
FinalFailure failureFor(AttemptOutcome Last, bool AllNotRun, Duration RetryAfter);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_ATTEMPT_H
