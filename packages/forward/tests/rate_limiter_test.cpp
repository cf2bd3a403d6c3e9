#include "bulrushpitch/forward/rate_limiter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace bulrushpitch;
using std::chrono::milliseconds;

// Guards against a cold upstream that gets more requests in some second than it accepts, whatever the times
// of the attempts.
TEST_CASE("no one-second window contains more requests than the limit") {
  CHECK(rc::check([] {
    const std::uint32_t MaxPerSecond = *rc::gen::inRange<std::uint32_t>(1, 8);
    RateLimiter Limiter;
    std::deque<TimePoint> Sent;
    TimePoint Now{};
    for (int Step = 0; Step < 200; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 90));
      if (!Limiter.tryAcquire(Now, {MaxPerSecond, std::chrono::seconds(1)}))
        continue;
      Sent.push_back(Now);
      while (Now - Sent.front() > std::chrono::seconds(1))
        Sent.pop_front();
      RC_ASSERT(Sent.size() <= MaxPerSecond);
    }
  }));
}

TEST_CASE("the shares of all daemons add up to at most the limit") {
  CHECK(rc::check([] {
    const std::uint32_t Daemons = *rc::gen::inRange<std::uint32_t>(1, 100);
    const double MaxPerSecond = *rc::gen::inRange(0, 60);
    std::uint32_t Sum = 0;
    for (std::uint32_t Rank = 0; Rank < Daemons; ++Rank)
      Sum += shareOfColdLimit(MaxPerSecond, Daemons, Rank);
    RC_ASSERT(Sum <= MaxPerSecond);
  }));
}

TEST_CASE("with more daemons than requests per second, those of the lowest ranks may send") {
  CHECK(shareOfColdLimit(23, 58, 0) == 1);
  CHECK(shareOfColdLimit(23, 58, 22) == 1);
  CHECK(shareOfColdLimit(23, 58, 23) == 0);
  CHECK(shareOfColdLimit(23, 8, 7) == 2);
}
