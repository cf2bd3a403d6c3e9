#include "bulrushpitch/forward/attempt.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

AttemptOutcome anyOutcome() {
  return static_cast<AttemptOutcome>(*rc::gen::inRange(0, static_cast<int>(AttemptOutcome::CallerGone) + 1));
}

} // namespace

// Guards against a request that is charged or shipped twice.
TEST_CASE("a non-idempotent request is not sent again once it may have run") {
  CHECK(rc::check([] {
    RetryState State;
    State.m_Kind = RequestKind::NonIdempotent;
    State.m_Left = milliseconds(1000);
    State.m_MaxAttempts = 5;
    while (true) {
      const AttemptOutcome Outcome = anyOutcome();
      ++State.m_Sent;
      State.m_MayHaveRun = State.m_MayHaveRun || !certainlyNotRun(Outcome);
      const bool Again = mayRetry(State, Outcome);
      RC_ASSERT(!(Again && State.m_MayHaveRun));
      RC_ASSERT(!(Again && State.m_Sent >= State.m_MaxAttempts));
      if (!Again)
        break;
    }
  }));
}

// Guards against a refusal that promises "not run" for a request that ran.
TEST_CASE("a status that promises that nothing ran needs certainty") {
  CHECK(rc::check([] {
    const AttemptOutcome Last = anyOutcome();
    const FinalFailure Told = failureFor(Last, false, milliseconds(200));
    RC_ASSERT(Told.m_Status == 502U || Told.m_Status == 504U);
    RC_ASSERT(!Told.m_RetryAfter);
  }));
  const FinalFailure Told = failureFor(AttemptOutcome::Refused, true, milliseconds(200));
  CHECK(Told.m_Status == 503);
  CHECK(Told.m_RetryAfter == Duration(milliseconds(200)));
}

TEST_CASE("streams are repeated only on resumable routes") {
  RetryState State;
  State.m_Kind = RequestKind::Stream;
  State.m_Left = milliseconds(1000);
  State.m_MaxAttempts = 3;
  State.m_Sent = 1;
  State.m_MayHaveRun = true;
  CHECK_FALSE(mayRetry(State, AttemptOutcome::Broken));
  State.m_Resumable = true;
  CHECK(mayRetry(State, AttemptOutcome::Broken));
  CHECK_FALSE(mayRetry(State, AttemptOutcome::CallerGone));
  State.m_Left = milliseconds(5);
  CHECK_FALSE(mayRetry(State, AttemptOutcome::Broken));
}
