#include "bulrushpitch/forward/daemon_roster.h"

#include "mutation.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using bulrushpitch::testing::mutated;
using std::chrono::seconds;

namespace {

const InstanceId First("d1");
const InstanceId Second("d2");

} // namespace

// Guards against shares of the limits that shrink with each instance that was ever replaced.
TEST_CASE("a daemon without heartbeats is no longer counted, and its row can be removed") {
  DaemonRoster Roster;
  TimePoint Now{seconds(1000)};
  Roster.update({{First, 5}, {Second, 6}}, Now);
  CHECK(Roster.alive(Now) == std::vector<InstanceId>{First, Second});
  for (std::uint64_t Beat = 1; Beat <= 4; ++Beat) {
    Now += seconds(mutated("roster-heartbeat") ? 0 : 30);
    Roster.update({{First, 5 + 10 * Beat}, {Second, 6}}, Now);
  }
  CHECK(Roster.alive(Now) == std::vector<InstanceId>{First});
  REQUIRE(Roster.lapsed(Now).size() == 1);
  CHECK(Roster.lapsed(Now).front().m_Id == Second);
  CHECK(Roster.lapsed(Now).front().m_RowVersion == 6);
}

// Guards against a share that is given to others while its owner, cut off from the store, still uses it.
TEST_CASE("a daemon that misses two heartbeats is still counted") {
  DaemonRoster Roster;
  const TimePoint Start{seconds(1000)};
  Roster.update({{First, 5}}, Start);
  Roster.update({{First, 5}}, Start + seconds(80));
  CHECK(Roster.alive(Start + seconds(80)).size() == 1);
  CHECK(Roster.lapsed(Start + seconds(80)).empty());
}

TEST_CASE("a daemon that comes back is counted again") {
  DaemonRoster Roster;
  const TimePoint Start{seconds(1000)};
  Roster.update({{First, 5}}, Start);
  CHECK(Roster.alive(Start + seconds(200)).empty());
  Roster.update({{First, 9}}, Start + seconds(200));
  CHECK(Roster.alive(Start + seconds(200)).size() == 1);
}

TEST_CASE("a row that was removed is forgotten") {
  DaemonRoster Roster;
  const TimePoint Start{seconds(1000)};
  Roster.update({{First, 5}, {Second, 6}}, Start);
  Roster.update({{Second, 6}}, Start + seconds(10));
  CHECK(Roster.alive(Start + seconds(10)) == std::vector<InstanceId>{Second});
}
