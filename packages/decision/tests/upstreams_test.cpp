#include "bulrushpitch/decision/upstreams.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

const UpstreamId TestUpstream("u");
const DomainId TestDomain("d");

struct Setup {
  Configuration m_Config;
  UpstreamTable m_Table;
  TimePoint m_Now{std::chrono::hours(1)};

  Setup() {
    m_Config.m_Domains[TestDomain] = {TestDomain, RegionId("west"), DomainState::In};
    Upstream Configured;
    Configured.m_Id = TestUpstream;
    Configured.m_Domain = TestDomain;
    Configured.m_Capacity = 21;
    Configured.m_ColdLimit = 1;
    Configured.m_WarmUp = std::chrono::seconds(20);
    m_Config.m_Upstreams[TestUpstream] = Configured;
    m_Table.setConfiguration(m_Config);
  }
  std::uint32_t index() const { return m_Table.indexOf(TestUpstream); }
  void report(std::uint32_t Running, const char *StartId = "s1", bool Cold = false,
              Duration Age = Duration::zero()) {
    m_Table.onReport({TestUpstream, StartId, m_Now, Age, Running, 0, 100.0, Cold, false});
  }
};

} // namespace

TEST_CASE("the limit rises linearly after the first response and drops on each event that marks the upstream "
          "as cold") {
  Setup Fixture;
  Fixture.m_Now += std::chrono::hours(1);
  // Time without responses does not warm up an upstream.
  CHECK(Fixture.m_Table.limit(Fixture.index(), Fixture.m_Now) == 1);
  Fixture.m_Table.onResponse(Fixture.index(), Fixture.m_Now);
  Fixture.m_Now += std::chrono::seconds(10);
  CHECK(Fixture.m_Table.limit(Fixture.index(), Fixture.m_Now) == 11);
  CHECK(Fixture.m_Table.warmth(Fixture.index(), Fixture.m_Now) == Warmth::Ramping);
  Fixture.m_Now += std::chrono::seconds(10);
  CHECK(Fixture.m_Table.warmth(Fixture.index(), Fixture.m_Now) == Warmth::Warm);

  const auto SetWarmAndCheckLimit = [&] {
    Fixture.m_Table.setWarm(TestUpstream, Fixture.m_Now);
    return Fixture.m_Table.limit(Fixture.index(), Fixture.m_Now) == 21;
  };
  const auto IsCold = [&] { return Fixture.m_Table.limit(Fixture.index(), Fixture.m_Now) == 1; };
  Fixture.report(3, "s1");
  CHECK(SetWarmAndCheckLimit());
  Fixture.report(3, "s2");
  CHECK(IsCold());
  CHECK(SetWarmAndCheckLimit());
  Fixture.report(3, "s2", true);
  CHECK(IsCold());
  CHECK(SetWarmAndCheckLimit());
  Fixture.m_Table.onRefused(TestUpstream);
  CHECK(IsCold());
  CHECK(SetWarmAndCheckLimit());
  Fixture.m_Table.onTimeout(TestUpstream);
  CHECK_FALSE(IsCold());
  Fixture.m_Table.onTimeout(TestUpstream);
  CHECK(IsCold());
}

TEST_CASE("an upstream is cold after its domain returns to service, even if it was warm before") {
  Setup Fixture;
  Fixture.m_Table.setWarm(TestUpstream, Fixture.m_Now);
  Fixture.m_Config.m_Domains[TestDomain].m_State = DomainState::Out;
  Fixture.m_Table.setConfiguration(Fixture.m_Config);
  CHECK(Fixture.m_Table.exclusion(Fixture.index(), Fixture.m_Now) == Exclusion::DomainOut);
  Fixture.m_Config.m_Domains[TestDomain].m_State = DomainState::In;
  Fixture.m_Table.setConfiguration(Fixture.m_Config);
  CHECK(Fixture.m_Table.exclusion(Fixture.index(), Fixture.m_Now) == Exclusion::None);
  CHECK(Fixture.m_Table.warmth(Fixture.index(), Fixture.m_Now) == Warmth::Cold);
}

TEST_CASE("own requests that a lagging report already includes are not counted twice") {
  Setup Fixture;
  const std::uint32_t Index = Fixture.index();
  Fixture.m_Table.addOutstanding(Index, Fixture.m_Now);
  Fixture.m_Table.addOutstanding(Index, Fixture.m_Now + std::chrono::milliseconds(800));
  Fixture.m_Now += std::chrono::seconds(1);
  // The figures were taken 500 ms ago: one own request and four of other daemons.
  Fixture.report(5, "s1", false, std::chrono::milliseconds(500));
  CHECK(Fixture.m_Table.knownLoad(Index) == 6);
  Fixture.m_Table.removeOutstanding(Index, Fixture.m_Now, Fixture.m_Now - std::chrono::seconds(1));
  CHECK(Fixture.m_Table.knownLoad(Index) == 5);
  // The figures still include the request that has ended since.
  Fixture.m_Now += std::chrono::milliseconds(100);
  Fixture.report(6, "s1", false, std::chrono::milliseconds(200));
  CHECK(Fixture.m_Table.knownLoad(Index) == 5);
}

TEST_CASE("a reused slot keeps no state of the previous upstream") {
  Setup Fixture;
  Fixture.m_Table.setWarm(TestUpstream, Fixture.m_Now);
  Fixture.m_Table.assumeCached(Fixture.index(), 42);
  const std::uint32_t Index = Fixture.index();
  const UpstreamId Successor("next");
  Fixture.m_Config.m_Upstreams[Successor] = Fixture.m_Config.m_Upstreams[TestUpstream];
  Fixture.m_Config.m_Upstreams.erase(TestUpstream);
  Fixture.m_Table.setConfiguration(Fixture.m_Config);
  CHECK(Fixture.m_Table.indexOf(Successor) == Index);
  CHECK(Fixture.m_Table.indexOf(TestUpstream) == UpstreamTable::NoIndex);
  CHECK(Fixture.m_Table.warmth(Index, Fixture.m_Now) == Warmth::Cold);
  PrefixCacheIndex::Match Matches[PrefixCacheIndex::BucketSize];
  CHECK(Fixture.m_Table.cache().find(42, Matches) == 0);
}

TEST_CASE("a gap in the cache events halves the certainty of earlier entries") {
  Setup Fixture;
  PrefixCacheIndex::Match Matches[PrefixCacheIndex::BucketSize];
  using Kind = CacheEvent::Kind;
  Fixture.m_Table.onCacheEvents(TestUpstream, {{1, Kind::Stored, 10}, {2, Kind::Stored, 20}});
  Fixture.m_Table.onCacheEvents(TestUpstream, {{3, Kind::Evicted, 20}, {7, Kind::Stored, 30}});
  CHECK(Fixture.m_Table.cache().find(20, Matches) == 0);
  REQUIRE(Fixture.m_Table.cache().find(10, Matches) == 1);
  CHECK(Matches[0].m_Certainty == doctest::Approx(0.5));
  REQUIRE(Fixture.m_Table.cache().find(30, Matches) == 1);
  CHECK(Matches[0].m_Certainty == doctest::Approx(1.0));
  // Events that were already applied are ignored.
  Fixture.m_Table.onCacheEvents(TestUpstream, {{2, Kind::Stored, 20}});
  CHECK(Fixture.m_Table.cache().find(20, Matches) == 0);
}
