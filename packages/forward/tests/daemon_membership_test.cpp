#include "bulrushpitch/forward/daemon_membership.h"

#include "mutation.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using bulrushpitch::testing::mechanismDisabled;
using std::chrono::seconds;

namespace {

const InstanceId First("d1");
const InstanceId Second("d2");

} // namespace

// Guards against counting replaced daemons, which would make each daemon's share of the rate limits ever
// smaller.
TEST_CASE("a daemon without heartbeats is no longer counted, and its row can be removed") {
  DaemonMembership Daemons;
  TimePoint Now{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Now);
  CHECK(Daemons.alive(Now) == std::vector<InstanceId>{First, Second});
  for (std::uint64_t Heartbeat = 1; Heartbeat <= 4; ++Heartbeat) {
    Now += seconds(mechanismDisabled("roster-heartbeat") ? 0 : 30);
    Daemons.update({{First, 5 + 10 * Heartbeat}, {Second, 6}}, Now);
  }
  CHECK(Daemons.alive(Now) == std::vector<InstanceId>{First});
  REQUIRE(Daemons.expired(Now).size() == 1);
  CHECK(Daemons.expired(Now).front().m_Id == Second);
  CHECK(Daemons.expired(Now).front().m_RowVersion == 6);
}

// Guards against a share of a limit that goes to others while its owner, cut off from the store, still uses
// it.
TEST_CASE("a daemon that misses two heartbeats is still counted") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}}, Start);
  Daemons.update({{First, 5}}, Start + seconds(80));
  CHECK(Daemons.alive(Start + seconds(80)).size() == 1);
  CHECK(Daemons.expired(Start + seconds(80)).empty());
}

TEST_CASE("a daemon that resumes its heartbeats is counted again") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}}, Start);
  CHECK(Daemons.alive(Start + seconds(200)).empty());
  Daemons.update({{First, 9}}, Start + seconds(200));
  CHECK(Daemons.alive(Start + seconds(200)).size() == 1);
}

TEST_CASE("a daemon whose row was removed is no longer tracked") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  Daemons.update({{Second, 6}}, Start + seconds(10));
  CHECK(Daemons.alive(Start + seconds(10)) == std::vector<InstanceId>{Second});
}

// Guards against a heartbeat that is missed because a restored store gives its row version out again.
TEST_CASE(
    "the same row version in a later era is a heartbeat, and an expired row has the era it was read in") {
  DaemonMembership Daemons;
  TimePoint Now{seconds(1000)};
  Daemons.update({{First, 5, StoreEra(1)}}, Now);
  Now += seconds(99);
  Daemons.update({{First, 5, StoreEra(2)}}, Now);
  Now += seconds(99);
  CHECK(Daemons.alive(Now) == std::vector<InstanceId>{First});
  Now += seconds(2);
  REQUIRE(Daemons.expired(Now).size() == 1);
  CHECK(Daemons.expired(Now).front().m_Era == StoreEra(2));
}
