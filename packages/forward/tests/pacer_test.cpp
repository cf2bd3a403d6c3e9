#include "bulrushpitch/forward/pacer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace bulrushpitch;
using std::chrono::milliseconds;

// Guards against a cold upstream that gets more in some second than it bears, whatever the moments of the
// tries.
TEST_CASE("no sliding second holds more requests than the bound") {
  CHECK(rc::check([] {
    const std::uint32_t Most = *rc::gen::inRange<std::uint32_t>(1, 8);
    Pacer Paced;
    std::deque<TimePoint> Sent;
    TimePoint Now{};
    for (int Step = 0; Step < 200; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 90));
      if (!Paced.take(Now, Most))
        continue;
      Sent.push_back(Now);
      while (Now - Sent.front() > std::chrono::seconds(1))
        Sent.pop_front();
      RC_ASSERT(Sent.size() <= Most);
    }
  }));
}

TEST_CASE("the shares of all daemons together keep the bound") {
  CHECK(rc::check([] {
    const std::uint32_t Daemons = *rc::gen::inRange<std::uint32_t>(1, 100);
    const double Most = *rc::gen::inRange(0, 60);
    std::uint32_t Sum = 0;
    for (std::uint32_t Rank = 0; Rank < Daemons; ++Rank)
      Sum += shareOfColdLimit(Most, Daemons, Rank);
    RC_ASSERT(Sum <= Most);
  }));
}

TEST_CASE("with more daemons than requests the first ones may send") {
  CHECK(shareOfColdLimit(23, 58, 0) == 1);
  CHECK(shareOfColdLimit(23, 58, 22) == 1);
  CHECK(shareOfColdLimit(23, 58, 23) == 0);
  CHECK(shareOfColdLimit(23, 8, 7) == 2);
}
