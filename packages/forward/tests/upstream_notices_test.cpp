#include "bulrushpitch/forward/placement.h"
#include "bulrushpitch/forward/upstream_notices.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <vector>

using namespace bulrushpitch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds LimitWindow{4000};

TimePoint at(milliseconds Time) { return TimePoint{} + seconds(1000) + Time; }

RegisteredUpstream upstreamOf(std::int64_t StartedAt, std::uint16_t Port = 80) {
  RegisteredUpstream Entry;
  Entry.m_Id = UpstreamId("u");
  Entry.m_Service = ServiceId("s");
  Entry.m_Domain = DomainId("west-a");
  Entry.m_Address = {"10.0.0.1", Port};
  Entry.m_StartedAt = StartedAt;
  return Entry;
}

UpstreamNotice limitOf(double PerSecond) {
  UpstreamNotice Notice;
  Notice.m_RequestLimit = PerSecond;
  return Notice;
}

/// @return requests in four seconds that a limit tolerates
double toleratedBy(double PerSecond) { return 1.5 * 4 * PerSecond + 5; }

/// Daemons in front of one upstream that names a limit in each answer. Their clocks tell slightly different
/// times, so that they change epochs one after the other.
struct Simulation {
  Simulation(std::uint32_t Daemons, double Limit) : m_Limit(Limit), m_Pools(Daemons, UpstreamPool({})) {
    for (std::uint32_t Number = 0; Number < Daemons; ++Number)
      m_Names.emplace_back("d" + std::to_string(Number));
    for (UpstreamPool &Pool : m_Pools)
      Pool.update(upstreamOf(1), at(milliseconds(0)));
  }

  /// Daemon number Daemon has a request.
  void offer(std::uint32_t Daemon, milliseconds Time) {
    constexpr milliseconds EpochLength{16'000};
    PlacementContext Context;
    Context.m_Instance = m_Names[Daemon];
    Context.m_Daemons = m_Names;
    const milliseconds Skew(37 * Daemon % 1000);
    Context.m_ShareEpoch = static_cast<std::uint64_t>((Time + Skew) / EpochLength);
    PlacementQuery Query;
    Query.m_Service = ServiceId("s");
    if (!chooseUpstream(m_Pools[Daemon], Query, Context, at(Time)).m_Upstream)
      return;
    const bool Told = m_Pools[Daemon].notices().requestLimit(upstreamOf(1)).has_value();
    if (Told)
      m_Arrivals.push_back(Time);
    ++m_AllArrivals;
    m_Pools[Daemon].notices().record(upstreamOf(1), limitOf(m_Limit), at(Time), at(Time));
  }

  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    for (std::size_t First = 0; First < m_Arrivals.size(); ++First) {
      std::size_t Last = First;
      while (Last < m_Arrivals.size() && m_Arrivals[Last] <= m_Arrivals[First] + LimitWindow)
        ++Last;
      Most = std::max(Most, Last - First);
    }
    return Most;
  }

  double m_Limit;
  std::vector<UpstreamPool> m_Pools;
  std::vector<InstanceId> m_Names;
  std::vector<milliseconds> m_Arrivals; ///< Of daemons that had been told.
  std::size_t m_AllArrivals = 0;
};

} // namespace

// Guards against daemons that each keep the limit, while their sum exceeds it.
TEST_CASE("the requests of all daemons stay within the limit in every window, whatever their number") {
  CHECK(rc::check([] {
    const std::uint32_t Daemons = *rc::gen::elementOf(std::vector<std::uint32_t>{1, 3, 8, 58, 200});
    const double Limit = *rc::gen::inRange(0, 200) / 10.0;
    Simulation Fleet(Daemons, Limit);
    const int Steps = 600;
    milliseconds Time{0};
    for (int Step = 0; Step < Steps; ++Step) {
      Time += milliseconds(*rc::gen::inRange(0, 120));
      const std::uint32_t Burst = *rc::gen::inRange<std::uint32_t>(1, 6);
      for (std::uint32_t Number = 0; Number < Burst; ++Number)
        Fleet.offer(*rc::gen::inRange<std::uint32_t>(0, Daemons), Time);
    }
    RC_ASSERT(static_cast<double>(Fleet.mostInWindow()) <= toleratedBy(Limit));
  }));
}

// Guards against a limit that is kept by sending next to nothing.
TEST_CASE("an upstream with a limit gets about as many requests as it accepts") {
  for (const std::uint32_t Daemons : {8U, 58U}) {
    Simulation Fleet(Daemons, 1.5);
    for (milliseconds Time{0}; Time < seconds(80); Time += milliseconds(10))
      Fleet.offer(static_cast<std::uint32_t>(Time.count() / 10) % Daemons, Time);
    const double PerSecond = static_cast<double>(Fleet.m_Arrivals.size()) / 80.0;
    CHECK(PerSecond > 0.75);
    CHECK(PerSecond <= 1.5 * 1.5);
  }
}

// Guards against daemons without a share that never learn that the limit has ended.
TEST_CASE("every daemon gets a share in some epoch") {
  constexpr std::uint32_t Daemons = 58;
  std::vector<bool> HadShare(Daemons);
  PlacementContext Context;
  for (std::uint32_t Number = 0; Number < Daemons; ++Number)
    Context.m_Daemons.emplace_back("d" + std::to_string(Number));
  for (std::uint64_t Epoch = 0; Epoch < 200; ++Epoch)
    for (std::uint32_t Number = 0; Number < Daemons; ++Number) {
      Context.m_Instance = Context.m_Daemons[Number];
      const std::uint32_t Rank = daemonRank("u/" + std::to_string(Epoch), Context);
      if (shareOfNamedLimit(1.2, {Daemons, Rank}) > 0)
        HadShare[Number] = true;
    }
  CHECK(std::count(HadShare.begin(), HadShare.end(), false) == 0);
}

TEST_CASE("shares of odd limits are bounded") {
  CHECK(shareOfNamedLimit(0.0, {8, 0}) == 1);
  CHECK(shareOfNamedLimit(0.0, {8, 1}) == 0);
  CHECK(shareOfNamedLimit(0.0, {1, 0}) == 1);
  CHECK(shareOfNamedLimit(-3.0, {8, 0}) == 1);
  CHECK(shareOfNamedLimit(1e300, {8, 0}) <= 125'001);
  CHECK(shareOfNamedLimit(2.0, {0, 0}) == 8);
}

TEST_CASE("a limit holds until an answer to a later request names none") {
  UpstreamNotices Notices;
  const RegisteredUpstream Upstream = upstreamOf(1);
  CHECK_FALSE(Notices.requestLimit(Upstream));
  CHECK(Notices.record(Upstream, limitOf(1.5), at(milliseconds(0)), at(milliseconds(100))));
  CHECK(Notices.requestLimit(Upstream) == 1.5);
  // The answer to a request from before the limit comes late.
  CHECK_FALSE(Notices.record(Upstream, {}, at(milliseconds(50)), at(milliseconds(900))));
  CHECK(Notices.requestLimit(Upstream) == 1.5);
  CHECK(Notices.record(Upstream, limitOf(0.5), at(milliseconds(200)), at(milliseconds(950))));
  CHECK(Notices.requestLimit(Upstream) == 0.5);
  CHECK(Notices.record(Upstream, {}, at(milliseconds(1000)), at(milliseconds(1100))));
  CHECK_FALSE(Notices.requestLimit(Upstream));
}

// Guards against a limit that ends because one answer of many is damaged.
TEST_CASE("a limit that can't be read changes nothing") {
  UpstreamNotices Notices;
  UpstreamNotice Unreadable;
  Unreadable.m_LimitUnreadable = true;
  CHECK_FALSE(Notices.record(upstreamOf(1), Unreadable, at(milliseconds(0)), at(milliseconds(0))));
  CHECK_FALSE(Notices.requestLimit(upstreamOf(1)));
  Notices.record(upstreamOf(1), limitOf(1.5), at(milliseconds(0)), at(milliseconds(0)));
  CHECK_FALSE(Notices.record(upstreamOf(1), Unreadable, at(milliseconds(50)), at(milliseconds(60))));
  CHECK(Notices.requestLimit(upstreamOf(1)) == 1.5);
}

// Guards against an upstream that is spared because of what another one said under its id or address.
TEST_CASE("what an upstream said does not hold for a later incarnation, nor for another address") {
  UpstreamNotices Notices;
  Notices.record(upstreamOf(5), limitOf(1.5), at(milliseconds(0)), at(milliseconds(0)));
  CHECK_FALSE(Notices.requestLimit(upstreamOf(6)));
  CHECK_FALSE(Notices.requestLimit(upstreamOf(5, 81)));
  Notices.record(upstreamOf(6), limitOf(2.5), at(milliseconds(50)), at(milliseconds(60)));
  // A late answer of the earlier incarnation.
  CHECK_FALSE(Notices.record(upstreamOf(5), limitOf(9.0), at(milliseconds(10)), at(milliseconds(70))));
  CHECK(Notices.requestLimit(upstreamOf(6)) == 2.5);
}

TEST_CASE("notices are kept for a bounded number of upstreams") {
  UpstreamNotices Notices;
  for (int Number = 0; Number < 5000; ++Number) {
    RegisteredUpstream Upstream = upstreamOf(1);
    Upstream.m_Id = UpstreamId("u" + std::to_string(Number));
    Notices.record(Upstream, limitOf(1.0), at(milliseconds(Number)), at(milliseconds(Number)));
  }
  RegisteredUpstream First = upstreamOf(1);
  First.m_Id = UpstreamId("u0");
  RegisteredUpstream Last = upstreamOf(1);
  Last.m_Id = UpstreamId("u4999");
  CHECK_FALSE(Notices.requestLimit(First));
  CHECK(Notices.requestLimit(Last));
}

TEST_CASE("when all upstreams are at their limits, the placement says so, and when one can be tried") {
  UpstreamPool Pool({});
  Pool.update(upstreamOf(1), at(milliseconds(0)));
  PlacementContext Context;
  Context.m_Instance = InstanceId("d0");
  Context.m_Daemons = {InstanceId("d0")};
  PlacementQuery Query;
  Query.m_Service = ServiceId("s");
  Pool.notices().record(upstreamOf(1), limitOf(0.5), at(milliseconds(0)), at(milliseconds(0)));
  CHECK(chooseUpstream(Pool, Query, Context, at(milliseconds(0))).m_Upstream);
  const Placement Second = chooseUpstream(Pool, Query, Context, at(milliseconds(100)));
  CHECK_FALSE(Second.m_Upstream);
  CHECK(Second.m_Rejection == PlacementRejection::AllLimited);
  REQUIRE(Second.m_RetryAt);
  CHECK(*Second.m_RetryAt == at(milliseconds(2100)));
  // Looking does not count.
  CHECK(findUpstream(Pool, Query, Context, at(milliseconds(2200))).m_Upstream);
  CHECK(chooseUpstream(Pool, Query, Context, at(milliseconds(2200))).m_Upstream);
}

TEST_CASE("an upstream that has said that it leaves does so until it starts again") {
  UpstreamNotices Notices;
  UpstreamNotice Leaving;
  Leaving.m_Leaving = true;
  CHECK_FALSE(Notices.isLeaving(upstreamOf(5)));
  CHECK(Notices.record(upstreamOf(5), Leaving, at(milliseconds(0)), at(milliseconds(10))));
  CHECK_FALSE(Notices.record(upstreamOf(5), Leaving, at(milliseconds(0)), at(milliseconds(20))));
  CHECK_FALSE(Notices.record(upstreamOf(5), {}, at(milliseconds(30)), at(milliseconds(40))));
  CHECK(Notices.isLeaving(upstreamOf(5)));
  CHECK_FALSE(Notices.isLeaving(upstreamOf(6)));
}

TEST_CASE("a pause ends after the longest time that was asked for, and has an upper limit") {
  UpstreamNotices Notices;
  UpstreamNotice Pausing;
  Pausing.m_Pause = seconds(3);
  CHECK(Notices.record(upstreamOf(5), Pausing, at(milliseconds(0)), at(milliseconds(0))));
  CHECK(Notices.pausedUntil(upstreamOf(5)) == at(seconds(3)));
  Pausing.m_Pause = seconds(1);
  CHECK_FALSE(Notices.record(upstreamOf(5), Pausing, at(seconds(1)), at(seconds(1))));
  CHECK(Notices.pausedUntil(upstreamOf(5)) == at(seconds(3)));
  // An answer without a pause, to a request from before it.
  Notices.record(upstreamOf(5), {}, at(milliseconds(0)), at(seconds(2)));
  CHECK(Notices.pausedUntil(upstreamOf(5)) == at(seconds(3)));
  Pausing.m_Pause = std::chrono::hours(24);
  Notices.record(upstreamOf(5), Pausing, at(seconds(2)), at(seconds(2)));
  CHECK(Notices.pausedUntil(upstreamOf(5)) <= at(seconds(602)));
  CHECK(Notices.pausedUntil(upstreamOf(6)) <= at(milliseconds(0)));
}
