#include "bulrushpitch/gateway/order_pacer.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

TimePoint at(int Ms) { return TimePoint{} + milliseconds(100'000 + Ms); }

/// A pacer that has read its first snapshot at time 0.
OrderPacer startedPacer() {
  OrderPacer Pacer;
  Pacer.onRead(true, milliseconds(10), at(0));
  return Pacer;
}

} // namespace

TEST_CASE("the orders are read once, and then watched") {
  OrderPacer Pacer;
  CHECK(Pacer.next().m_Call == OrderCall::Read);
  CHECK(Pacer.onRead(true, milliseconds(10), at(0)).m_Call == OrderCall::Watch);
}

TEST_CASE("a single change of the configuration leaves the watch as it is") {
  OrderPacer Pacer = startedPacer();
  const NextOrderCall Next = Pacer.onWatched(true, 0, at(5000));
  CHECK(Next.m_Call == OrderCall::Watch);
  CHECK(Next.m_Pause <= milliseconds(250));
}

// Guards against a daemon that is sent every superseded configuration and so falls further behind.
TEST_CASE("changes that follow each other closely are read as one") {
  OrderPacer Pacer = startedPacer();
  Pacer.onWatched(true, 0, at(5000));
  CHECK(Pacer.onWatched(true, 0, at(5400)).m_Call == OrderCall::Read);
  CHECK(Pacer.onRead(true, milliseconds(50), at(6500)).m_Call == OrderCall::Read);
  CHECK(Pacer.onRead(false, milliseconds(50), at(7600)).m_Call == OrderCall::Watch);
}

TEST_CASE("superseded changes in one answer are a reason to read, whenever they come") {
  OrderPacer Pacer = startedPacer();
  CHECK(Pacer.onWatched(true, 2, at(5000)).m_Call == OrderCall::Read);
}

TEST_CASE("a change soon after the first snapshot leaves the watch as it is") {
  OrderPacer Pacer = startedPacer();
  CHECK(Pacer.onWatched(true, 0, at(300)).m_Call == OrderCall::Watch);
}

TEST_CASE("an answer without a configuration leaves the watch as it is") {
  OrderPacer Pacer = startedPacer();
  Pacer.onWatched(true, 0, at(5000));
  CHECK(Pacer.onWatched(false, 0, at(5300)).m_Call == OrderCall::Watch);
}

TEST_CASE("the pause grows with the time of the transfer, within the time to be in force") {
  OrderPacer Pacer = startedPacer();
  Pacer.onWatched(true, 1, at(5000));
  const Duration Short = Pacer.onRead(true, milliseconds(50), at(6000)).m_Pause;
  const Duration Long = Pacer.onRead(true, milliseconds(700), at(7000)).m_Pause;
  const Duration Longest = Pacer.onRead(true, milliseconds(2500), at(9000)).m_Pause;
  CHECK(Short >= milliseconds(1000));
  CHECK(Long > Short);
  CHECK(Longest <= milliseconds(1500));
}

// Guards against a daemon that repeats a call which its link or the store can't answer in time.
TEST_CASE("after a call that timed out the other kind of call is tried") {
  OrderPacer Pacer = startedPacer();
  Pacer.onWatched(false, 0, at(5000));
  Pacer.onTimedOut(OrderCall::Watch);
  CHECK(Pacer.next().m_Call == OrderCall::Read);
  Pacer.onTimedOut(OrderCall::Read);
  CHECK(Pacer.next().m_Call == OrderCall::Watch);
}
