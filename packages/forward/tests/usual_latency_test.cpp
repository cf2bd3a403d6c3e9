#include "bulrushpitch/forward/usual_latency.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

UsualLatency learned(int Answers, milliseconds Latency) {
  UsualLatency Usual;
  for (int Answer = 0; Answer < Answers; ++Answer)
    Usual.record(Latency, Duration::zero());
  return Usual;
}

} // namespace

TEST_CASE("before some answers nothing is slow") {
  const UsualLatency Usual = learned(4, milliseconds(100));
  CHECK_FALSE(Usual.known());
  CHECK_FALSE(Usual.isSlow(std::chrono::seconds(10), Duration::zero()));
}

// Guards against taking long prompts for a slow version.
TEST_CASE("a time that the size of the request explains is not slow") {
  const UsualLatency Usual = learned(50, milliseconds(80));
  CHECK(Usual.isSlow(milliseconds(700), Duration::zero()));
  CHECK_FALSE(Usual.isSlow(milliseconds(700), milliseconds(600)));
}

// Guards against upstreams that hang, whose long times would hide a slow version.
TEST_CASE("a minority of long times does not change what is usual") {
  UsualLatency Usual = learned(20, milliseconds(100));
  for (int Answer = 0; Answer < 300; ++Answer)
    Usual.record(milliseconds(Answer % 3 == 0 ? 5000 : 100), Duration::zero());
  CHECK(Usual.isSlow(milliseconds(700), Duration::zero()));
  CHECK_FALSE(Usual.disturbed());
}

TEST_CASE("when most times are long, times are not usual") {
  UsualLatency Usual = learned(50, milliseconds(100));
  for (int Answer = 0; Answer < 60; ++Answer)
    Usual.record(milliseconds(1500), Duration::zero());
  CHECK(Usual.disturbed());
}
