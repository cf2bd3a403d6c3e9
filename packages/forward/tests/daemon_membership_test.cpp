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

// Guards against shares of the common limits that add up to more than the limit, because the rows of daemons
// are missing.
TEST_CASE("a daemon whose row a restored store has lost is counted until its heartbeat timeout") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  const TimePoint Restored = Start + seconds(40);
  Daemons.updateAfterRestore({{First, 5}}, Restored);
  CHECK(Daemons.alive(Restored) == std::vector<InstanceId>{First, Second});
  Daemons.update({{First, 7}}, Restored + seconds(10));
  CHECK(Daemons.alive(Restored + seconds(99)) == std::vector<InstanceId>{First, Second});
  Daemons.update({{First, 8}}, Restored + seconds(100));
  CHECK(Daemons.alive(Restored + seconds(100)) == std::vector<InstanceId>{First});
}

TEST_CASE("a daemon that registers again after a restore is counted as any other") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  Daemons.updateAfterRestore({}, Start + seconds(10));
  Daemons.update({{First, 4}, {Second, 5}}, Start + seconds(90));
  CHECK(Daemons.alive(Start + seconds(150)) == std::vector<InstanceId>{First, Second});
  Daemons.update({{First, 9}, {Second, 5}}, Start + seconds(180));
  CHECK(Daemons.alive(Start + seconds(190)) == std::vector<InstanceId>{First});
}

// Guards against the loss of a daemon whose latest heartbeats a restored store has lost.
TEST_CASE("a daemon whose latest heartbeats a restored store has lost may miss two more") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}}, Start);
  Daemons.updateAfterRestore({{First, 5}}, Start + seconds(35));
  Daemons.update({{First, 5}}, Start + seconds(115));
  CHECK(Daemons.alive(Start + seconds(115)) == std::vector<InstanceId>{First});
}

// Guards against taking a row version that was given out again for a heartbeat or for its absence.
TEST_CASE("row versions from before a restore are not compared with later ones") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}}, Start);
  const TimePoint Expiry = Start + seconds(100);
  REQUIRE(Daemons.alive(Expiry).empty());
  Daemons.updateAfterRestore({{First, 3}}, Expiry);
  CHECK(Daemons.alive(Expiry).empty());
  Daemons.update({{First, 5}}, Expiry + seconds(10));
  CHECK(Daemons.alive(Expiry + seconds(10)) == std::vector<InstanceId>{First});
}

// Guards against the removal of a live daemon's row by a version that was given out again.
TEST_CASE("no daemon expires within a heartbeat timeout after a restore, nor without a row") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  const TimePoint Restored = Start + seconds(100);
  Daemons.updateAfterRestore({{First, 5}}, Restored);
  Daemons.update({{First, 5}}, Restored + seconds(99));
  CHECK(Daemons.expired(Restored + seconds(99)).empty());
  REQUIRE(Daemons.expired(Restored + seconds(100)).size() == 1);
  CHECK(Daemons.expired(Restored + seconds(100)).front().m_Id == First);
}

TEST_CASE("a daemon whose row is removed long after a restore is no longer tracked") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  Daemons.updateAfterRestore({{First, 5}, {Second, 6}}, Start);
  Daemons.update({{First, 7}, {Second, 8}}, Start + seconds(90));
  Daemons.update({{First, 9}}, Start + seconds(110));
  CHECK(Daemons.alive(Start + seconds(110)) == std::vector<InstanceId>{First});
}

TEST_CASE(
    "a daemon whose row is removed after a restore is no longer tracked, unlike one whose row was lost") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  Daemons.updateAfterRestore({{First, 5}}, Start + seconds(10));
  Daemons.update({}, Start + seconds(20));
  CHECK(Daemons.alive(Start + seconds(20)) == std::vector<InstanceId>{Second});
}

// Guards against a removal of a row with the version that it had before a restore.
TEST_CASE("a daemon whose row a restored store has lost has no row to remove when it expires") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}, {Second, 6}}, Start);
  Daemons.updateAfterRestore({{First, 5}}, Start);
  const std::vector<ListedDaemon> Expired = Daemons.expired(Start + seconds(100));
  REQUIRE(Expired.size() == 1);
  CHECK(Expired.front().m_Id == First);
}

// Guards against a daemon that is gone and counts again because the store was restored.
TEST_CASE("a daemon that had expired is not counted after a restore that has lost its row") {
  DaemonMembership Daemons;
  const TimePoint Start{seconds(1000)};
  Daemons.update({{First, 5}}, Start);
  Daemons.updateAfterRestore({}, Start + seconds(100));
  CHECK(Daemons.alive(Start + seconds(100)).empty());
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
