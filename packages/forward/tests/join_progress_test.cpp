#include "bulrushpitch/forward/join_progress.h"

#include "bulrushpitch/forward/daemon_membership.h"
#include "bulrushpitch/forward/placement.h"
#include "bulrushpitch/forward/rate_limiter.h"
#include "mutation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace bulrushpitch;
using bulrushpitch::testing::mechanismDisabled;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration ListInterval = seconds(10);
constexpr TimePoint Start{seconds(1000)};

} // namespace

// Guards against daemons that start while the store is down and each take the whole limit of a cold upstream.
TEST_CASE("a daemon has no share while the list of daemons could not be read") {
  JoinProgress Join;
  CHECK_FALSE(Join.isCounted(Start, ListInterval));
  CHECK_FALSE(Join.isCounted(Start + seconds(1000), ListInterval));
  Join.onRegistered(Start);
  CHECK_FALSE(Join.isCounted(Start + seconds(1000), ListInterval));
}

// Guards against daemons that start in the same second and are missing in each other's first list.
TEST_CASE("a new daemon has no share until all others must have read that it is registered") {
  JoinProgress Join;
  Join.onListRead(false, std::nullopt, Start);
  CHECK_FALSE(Join.isCounted(Start, ListInterval));
  Join.onRegistered(Start);
  Join.onListRead(true, Duration::zero(), Start + seconds(2));
  const Duration JoinTime = JoinProgress::joinTime(ListInterval);
  CHECK(JoinTime > ListInterval);
  CHECK_FALSE(Join.isCounted(Start + JoinTime - milliseconds(1), ListInterval));
  CHECK(Join.isCounted(Start + JoinTime, ListInterval));
  Join.onRegistered(Start + JoinTime);
  Join.onListFailed(Start + JoinTime, ListInterval);
  CHECK(Join.isCounted(Start + JoinTime, ListInterval));
}

// Guards against others that have not read the list since a daemon registered, as the store was down.
TEST_CASE("the wait of a new daemon begins anew after the store has failed") {
  JoinProgress Join;
  Join.onListRead(false, std::nullopt, Start);
  Join.onRegistered(Start);
  Join.onListFailed(Start + seconds(10), ListInterval);
  CHECK_FALSE(Join.isCounted(Start + seconds(100), ListInterval));
  Join.onListRead(true, seconds(20), Start + seconds(20));
  const Duration JoinTime = JoinProgress::joinTime(ListInterval);
  CHECK_FALSE(Join.isCounted(Start + seconds(20) + JoinTime - milliseconds(1), ListInterval));
  CHECK(Join.isCounted(Start + seconds(20) + JoinTime, ListInterval));
}

// Guards against an upstream that is cold after a restart of all daemons and gets nothing for seconds.
TEST_CASE("a daemon that is restarted has its share as soon as it has read the list") {
  JoinProgress Join;
  Join.onListRead(true, seconds(20), Start);
  CHECK(Join.isCounted(Start, ListInterval));
  CHECK(Join.replacesProcess());
}

// Guards against a daemon that is restarted before the others have read that it registered.
TEST_CASE("a daemon that is restarted before it was counted joins like a new one") {
  JoinProgress Join;
  Join.onListRead(true, std::nullopt, Start);
  Join.onRegistered(Start);
  CHECK_FALSE(Join.isCounted(Start + seconds(12), ListInterval));
  CHECK(Join.replacesProcess());
}

// Guards against a daemon that returns after the others have taken it for gone.
TEST_CASE("a daemon whose heartbeats have expired joins like a new one") {
  JoinProgress Join;
  Join.onListRead(true, DaemonMembership::HeartbeatTimeout, Start);
  Join.onRegistered(Start);
  CHECK_FALSE(Join.isCounted(Start + seconds(12), ListInterval));
  CHECK(Join.replacesProcess());
}

namespace {

/// A daemon's process, with the calls that it makes of the store.
struct SimulatedDaemon {
  InstanceId m_Id;
  TimePoint m_StartsAt;
  DaemonMembership m_Membership{};
  JoinProgress m_Join{};
  TimePoint m_NextCallAt{};
  std::optional<TimePoint> m_HeartbeatAt{};
};

/// Daemons that start and are killed at any time, beside outages of the store.
class Simulation {
public:
  explicit Simulation(std::uint32_t Seed) : m_Random(Seed) {}

  void run() {
    const int Daemons = draw(2, 30);
    for (int Number = 0; Number < Daemons; ++Number)
      m_Daemons.push_back(newProcess(Number, milliseconds(draw(0, 40) * 700)));
    const TimePoint DownFrom = Start + seconds(draw(0, 40));
    const TimePoint DownUntil = DownFrom + seconds(draw(0, 12));
    for (m_Now = Start; m_Now < Start + seconds(60); m_Now += milliseconds(100)) {
      m_StoreUp = m_Now < DownFrom || m_Now >= DownUntil;
      for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index)
        step(Index);
      checkShares();
    }
  }

private:
  int draw(int Least, int Most) { return std::uniform_int_distribution<int>(Least, Most)(m_Random); }

  SimulatedDaemon newProcess(int Number, Duration Delay) const {
    SimulatedDaemon Process{InstanceId("d" + std::to_string(Number)), m_Now + Delay};
    Process.m_NextCallAt = Process.m_StartsAt;
    return Process;
  }

  void step(std::size_t Index) {
    SimulatedDaemon &Daemon = m_Daemons[Index];
    if (m_Now < Daemon.m_StartsAt)
      return;
    if (draw(1, MeanStepsToKill) == 1) {
      Daemon = newProcess(static_cast<int>(Index), milliseconds(draw(500, 3000)));
      return;
    }
    if (m_Now < Daemon.m_NextCallAt)
      return;
    if (!m_StoreUp) {
      Daemon.m_Join.onListFailed(m_Now, ListInterval);
      Daemon.m_NextCallAt = m_Now + (Daemon.m_HeartbeatAt ? ListInterval / 5 : milliseconds(800));
      return;
    }
    const bool FirstReading = !Daemon.m_Join.listRead();
    readList(Daemon);
    if (!Daemon.m_HeartbeatAt || m_Now - *Daemon.m_HeartbeatAt >= seconds(30)) {
      m_Rows[Daemon.m_Id] = Row{++m_Version, m_Now, Daemon.m_Join.isCounted(m_Now, ListInterval)};
      Daemon.m_HeartbeatAt = m_Now;
      Daemon.m_Join.onRegistered(m_Now);
    }
    Daemon.m_NextCallAt = m_Now + (FirstReading ? Duration(seconds(2)) : ListInterval);
  }

  void readList(SimulatedDaemon &Daemon) {
    std::vector<ListedDaemon> Listed;
    for (const auto &Entry : m_Rows)
      Listed.push_back(
          {Entry.first, Entry.second.m_Version, StoreEra(), std::nullopt, m_Now - Entry.second.m_WrittenAt});
    Daemon.m_Membership.update(Listed, m_Now);
    const auto Own = m_Rows.find(Daemon.m_Id);
    const bool IsListed = Own != m_Rows.end();
    std::optional<Duration> CountedAge;
    if (IsListed && Own->second.m_Counted)
      CountedAge = m_Now - Own->second.m_WrittenAt;
    Daemon.m_Join.onListRead(IsListed, CountedAge, m_Now);
  }

  void checkShares() const {
    constexpr std::uint32_t Limit = 23;
    std::uint32_t Sum = 0;
    for (const SimulatedDaemon &Daemon : m_Daemons) {
      const bool Counted = mechanismDisabled("join-progress") || Daemon.m_Join.isCounted(m_Now, ListInterval);
      if (m_Now < Daemon.m_StartsAt || !Counted)
        continue;
      PlacementContext Context{DomainId("a"), RegionId("r"), Daemon.m_Id, Daemon.m_Membership.alive(m_Now)};
      if (std::find(Context.m_Daemons.begin(), Context.m_Daemons.end(), Daemon.m_Id) ==
          Context.m_Daemons.end())
        Context.m_Daemons.push_back(Daemon.m_Id);
      Sum += shareOfColdLimit(Limit, static_cast<std::uint32_t>(Context.m_Daemons.size()),
                              daemonRank("upstream", Context));
    }
    RC_ASSERT(Sum <= Limit);
  }

  static constexpr int MeanStepsToKill = 300;

  struct Row {
    std::uint64_t m_Version = 0;
    TimePoint m_WrittenAt{};
    bool m_Counted = false;
  };

  std::mt19937 m_Random;
  std::vector<SimulatedDaemon> m_Daemons;
  std::map<InstanceId, Row> m_Rows;
  std::uint64_t m_Version = 0;
  TimePoint m_Now = Start;
  bool m_StoreUp = true;
};

} // namespace

// Guards against a cold upstream that gets more than its limit from all daemons together, however they start
// and end: while the store is down, in the same second, or one after the other.
TEST_CASE("the shares of all daemons never exceed a limit while daemons start and end") {
  CHECK(rc::check([] {
    Simulation Simulated(*rc::gen::arbitrary<std::uint32_t>());
    Simulated.run();
  }));
}
