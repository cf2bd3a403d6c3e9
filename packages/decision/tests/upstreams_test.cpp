#include "bulrushpitch/decision/upstreams.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

const UpstreamId U("u");
const DomainId D("d");

struct Setup {
  Configuration m_Config;
  UpstreamTable m_Table;
  TimePoint m_Now{std::chrono::hours(1)};

  Setup() {
    m_Config.m_Domains[D] = {D, RegionId("west"), DomainState::In};
    Upstream Each;
    Each.m_Id = U;
    Each.m_Domain = D;
    Each.m_Capacity = 21;
    Each.m_ColdLimit = 1;
    Each.m_WarmUp = std::chrono::seconds(20);
    m_Config.m_Upstreams[U] = Each;
    m_Table.setConfiguration(m_Config);
  }
  std::uint32_t index() const { return m_Table.indexOf(U); }
  void report(std::uint32_t Running, const char *StartId = "s1", bool Cold = false,
              Duration Age = Duration::zero()) {
    m_Table.onReport({U, StartId, m_Now, Age, Running, 0, 100.0, Cold, false});
  }
};

} // namespace

TEST_CASE("the limit rises linearly with service and falls on each sign of coldness") {
  Setup Under;
  Under.m_Now += std::chrono::hours(1);
  CHECK(Under.m_Table.limit(Under.index(), Under.m_Now) == 1); // Time without service warms nothing.
  Under.m_Table.onResponse(Under.index(), Under.m_Now);
  Under.m_Now += std::chrono::seconds(10);
  CHECK(Under.m_Table.limit(Under.index(), Under.m_Now) == 11);
  CHECK(Under.m_Table.warmth(Under.index(), Under.m_Now) == Warmth::Ramping);
  Under.m_Now += std::chrono::seconds(10);
  CHECK(Under.m_Table.warmth(Under.index(), Under.m_Now) == Warmth::Warm);

  const auto Warmed = [&] {
    Under.m_Table.setWarm(U, Under.m_Now);
    return Under.m_Table.limit(Under.index(), Under.m_Now) == 21;
  };
  const auto Cold = [&] { return Under.m_Table.limit(Under.index(), Under.m_Now) == 1; };
  Under.report(3, "s1");
  CHECK(Warmed());
  Under.report(3, "s2");
  CHECK(Cold());
  CHECK(Warmed());
  Under.report(3, "s2", true);
  CHECK(Cold());
  CHECK(Warmed());
  Under.m_Table.onRefused(U);
  CHECK(Cold());
  CHECK(Warmed());
  Under.m_Table.onTimeout(U);
  CHECK_FALSE(Cold());
  Under.m_Table.onTimeout(U);
  CHECK(Cold());
}

TEST_CASE("an upstream of a domain that returns is cold, also if it served before") {
  Setup Under;
  Under.m_Table.setWarm(U, Under.m_Now);
  Under.m_Config.m_Domains[D].m_State = DomainState::Out;
  Under.m_Table.setConfiguration(Under.m_Config);
  CHECK(Under.m_Table.exclusion(Under.index(), Under.m_Now) == Exclusion::DomainOut);
  Under.m_Config.m_Domains[D].m_State = DomainState::In;
  Under.m_Table.setConfiguration(Under.m_Config);
  CHECK(Under.m_Table.exclusion(Under.index(), Under.m_Now) == Exclusion::None);
  CHECK(Under.m_Table.warmth(Under.index(), Under.m_Now) == Warmth::Cold);
}

TEST_CASE("own requests that a lagging report already counts are not counted twice") {
  Setup Under;
  const std::uint32_t At = Under.index();
  Under.m_Table.addOutstanding(At, Under.m_Now);
  Under.m_Table.addOutstanding(At, Under.m_Now + std::chrono::milliseconds(800));
  Under.m_Now += std::chrono::seconds(1);
  // The figures are of 500 ms ago: one own request and four of others.
  Under.report(5, "s1", false, std::chrono::milliseconds(500));
  CHECK(Under.m_Table.knownLoad(At) == 6);
  Under.m_Table.removeOutstanding(At, Under.m_Now, Under.m_Now - std::chrono::seconds(1));
  CHECK(Under.m_Table.knownLoad(At) == 5);
  // The request that has ended since is in the figures.
  Under.m_Now += std::chrono::milliseconds(100);
  Under.report(6, "s1", false, std::chrono::milliseconds(200));
  CHECK(Under.m_Table.knownLoad(At) == 5);
}

TEST_CASE("a place that is used again carries nothing over from the upstream that had it") {
  Setup Under;
  Under.m_Table.setWarm(U, Under.m_Now);
  Under.m_Table.assumeCached(Under.index(), 42);
  const std::uint32_t Place = Under.index();
  const UpstreamId Next("next");
  Under.m_Config.m_Upstreams[Next] = Under.m_Config.m_Upstreams[U];
  Under.m_Config.m_Upstreams.erase(U);
  Under.m_Table.setConfiguration(Under.m_Config);
  CHECK(Under.m_Table.indexOf(Next) == Place);
  CHECK(Under.m_Table.indexOf(U) == UpstreamTable::NoIndex);
  CHECK(Under.m_Table.warmth(Place, Under.m_Now) == Warmth::Cold);
  PrefixCacheIndex::Match Found[PrefixCacheIndex::BucketSize];
  CHECK(Under.m_Table.cache().find(42, Found) == 0);
}

TEST_CASE("a gap in the cache events makes what was known before it less certain") {
  Setup Under;
  PrefixCacheIndex::Match Found[PrefixCacheIndex::BucketSize];
  using Kind = CacheEvent::Kind;
  Under.m_Table.onCacheEvents(U, {{1, Kind::Stored, 10}, {2, Kind::Stored, 20}});
  Under.m_Table.onCacheEvents(U, {{3, Kind::Evicted, 20}, {7, Kind::Stored, 30}});
  CHECK(Under.m_Table.cache().find(20, Found) == 0);
  REQUIRE(Under.m_Table.cache().find(10, Found) == 1);
  CHECK(Found[0].m_Certainty == doctest::Approx(0.5));
  REQUIRE(Under.m_Table.cache().find(30, Found) == 1);
  CHECK(Found[0].m_Certainty == doctest::Approx(1.0));
  // Late copies of events are passed over.
  Under.m_Table.onCacheEvents(U, {{2, Kind::Stored, 20}});
  CHECK(Under.m_Table.cache().find(20, Found) == 0);
}
