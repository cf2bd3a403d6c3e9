#include "bulrushpitch/forward/relay_sources.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace bulrushpitch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(milliseconds Time) { return TimePoint{} + seconds(1000) + Time; }

ListedDaemon daemonOf(const std::string &Region, int Number, bool NearStore, bool WideLink = true) {
  ListedDaemon Daemon;
  Daemon.m_Id = InstanceId(Region + "-" + std::to_string(Number));
  const std::uint16_t Port = static_cast<std::uint16_t>(1 + Number);
  Daemon.m_Contact = DaemonContact{{"10.0.0.1", Port}, RegionId(Region), NearStore, WideLink};
  return Daemon;
}

/// Near daemons in the region "west", far ones in "hill"; every third one has a narrow link.
std::vector<ListedDaemon> fleet(int Near, int Far) {
  std::vector<ListedDaemon> Daemons;
  Daemons.reserve(static_cast<std::size_t>(Near) + static_cast<std::size_t>(Far));
  for (int Number = 0; Number < Near; ++Number)
    Daemons.push_back(daemonOf("west", Number, true, Number % 3 != 0));
  for (int Number = 0; Number < Far; ++Number)
    Daemons.push_back(daemonOf("hill", Number, false, Number % 3 != 0));
  return Daemons;
}

RelaySources sourcesOf(const ListedDaemon &Self, const std::vector<ListedDaemon> &Known) {
  RelaySources Sources(Self.m_Id, Self.m_Contact->m_Region, Self.m_Contact);
  Sources.setNearStore(Self.m_Contact->m_NearStore);
  Sources.setDaemons(Known);
  return Sources;
}

/// How the daemons of a fleet learn the orders while all of them are confirmed.
struct Tree {
  explicit Tree(const std::vector<ListedDaemon> &Daemons) {
    for (const ListedDaemon &Self : Daemons) {
      RelaySources Sources = sourcesOf(Self, Daemons);
      if (Sources.needsStore(RelayedTable::Orders, milliseconds(500), at(milliseconds(0))))
        m_AtStore.push_back(Self);
      for (const ListedDaemon &Relay : Sources.followed(at(milliseconds(0)))) {
        m_Followers[Relay.m_Id].push_back(Self.m_Id);
        if (Relay.m_Contact->m_Region != Self.m_Contact->m_Region)
          ++m_CrossingCalls;
      }
    }
  }
  std::vector<ListedDaemon> m_AtStore;
  std::map<InstanceId, std::vector<InstanceId>> m_Followers;
  int m_CrossingCalls = 0;
};

} // namespace

TEST_CASE("few daemons all read the store") { CHECK(Tree(fleet(5, 3)).m_AtStore.size() == 8); }

// Guards against traffic between regions that grows with the number of daemons.
TEST_CASE("of many daemons two read the store, and few calls cross the link between regions") {
  for (const int PerRegion : {10, 33, 200}) {
    const Tree Orders(fleet(PerRegion, PerRegion));
    CHECK(Orders.m_AtStore.size() == 2);
    for (const ListedDaemon &Daemon : Orders.m_AtStore)
      CHECK(Daemon.m_Contact->m_NearStore);
    CHECK(Orders.m_CrossingCalls == 4);
  }
}

// Guards against one relay that answers a whole region.
TEST_CASE("followers spread over the relays, which have wide links") {
  const Tree Orders(fleet(200, 200));
  std::size_t Most = 0;
  for (const auto &Relay : Orders.m_Followers) {
    Most = std::max(Most, Relay.second.size());
    const int Number = std::stoi(Relay.first.value().substr(Relay.first.value().find('-') + 1));
    CHECK(Number % 3 != 0);
  }
  CHECK(Orders.m_Followers.size() == 14);
  CHECK(Most < 100);
}

// Guards against daemons that follow each other and learn nothing, because their lists differ.
TEST_CASE("daemons that know different parts of the fleet never follow each other in a circle") {
  CHECK(rc::check([] {
    const std::vector<ListedDaemon> All = fleet(12, 12);
    std::map<InstanceId, std::vector<InstanceId>> Followed;
    for (const ListedDaemon &Self : All) {
      std::vector<ListedDaemon> Known = All;
      std::erase_if(Known, [](const ListedDaemon &) { return *rc::gen::inRange(0, 4) == 0; });
      RelaySources Sources = sourcesOf(Self, Known);
      for (const ListedDaemon &Relay : Sources.followed(at(milliseconds(0))))
        Followed[Self.m_Id].push_back(Relay.m_Id);
    }
    for (const ListedDaemon &Start : All) {
      std::set<InstanceId> Reached;
      std::vector<InstanceId> Open = Followed[Start.m_Id];
      while (!Open.empty()) {
        const InstanceId Next = Open.back();
        Open.pop_back();
        RC_ASSERT(Next != Start.m_Id);
        if (Reached.insert(Next).second)
          Open.insert(Open.end(), Followed[Next].begin(), Followed[Next].end());
      }
    }
  }));
}

// Guards against a relay whose death keeps the daemons behind it on old orders.
TEST_CASE("a daemon that fails is replaced by the next one, and tried again later") {
  const std::vector<ListedDaemon> Daemons = fleet(12, 12);
  const ListedDaemon Self = Daemons.back();
  RelaySources Sources = sourcesOf(Self, Daemons);
  const std::vector<ListedDaemon> Before = Sources.followed(at(milliseconds(0)));
  REQUIRE(Before.size() == 2);
  Sources.onFailed(Before[0].m_Id, at(milliseconds(0)));
  const std::vector<ListedDaemon> After = Sources.followed(at(milliseconds(0)));
  REQUIRE(After.size() == 2);
  for (const ListedDaemon &Relay : After)
    CHECK(Relay.m_Id != Before[0].m_Id);
  const std::vector<ListedDaemon> Later = Sources.followed(at(milliseconds(1500)));
  CHECK(Later.front().m_Id == Before.front().m_Id);
}

TEST_CASE("a daemon that fails again and again is tried less often") {
  const std::vector<ListedDaemon> Daemons = fleet(12, 12);
  RelaySources Sources = sourcesOf(Daemons.back(), Daemons);
  const InstanceId Relay = Sources.followed(at(milliseconds(0))).front().m_Id;
  for (int Failure = 0; Failure < 10; ++Failure)
    Sources.onFailed(Relay, at(milliseconds(0)));
  for (const ListedDaemon &Followed : Sources.followed(at(seconds(15))))
    CHECK(Followed.m_Id != Relay);
  Sources.onAnswered(Relay, at(seconds(15)));
  CHECK(Sources.followed(at(seconds(15))).front().m_Id == Relay);
}

// Guards against a region that waits for readers of the store that have died.
TEST_CASE("when the daemons before it have died, a daemon near the store reads it") {
  const std::vector<ListedDaemon> Daemons = fleet(12, 12);
  for (const ListedDaemon &Self : Daemons) {
    if (!Self.m_Contact->m_NearStore)
      continue;
    RelaySources Sources = sourcesOf(Self, Daemons);
    for (const ListedDaemon &Other : Daemons)
      Sources.onFailed(Other.m_Id, at(milliseconds(0)));
    CHECK(Sources.needsStore(RelayedTable::Orders, milliseconds(0), at(milliseconds(500))));
  }
}

// Guards against a full link that is filled further by the calls of all daemons behind it.
TEST_CASE("daemons without a confirmation turn to the store one after the other, and stay with it") {
  const std::vector<ListedDaemon> Daemons = fleet(33, 33);
  const auto AtStore = [&](milliseconds Age) {
    std::size_t Count = 0;
    for (const ListedDaemon &Self : Daemons) {
      RelaySources Sources = sourcesOf(Self, Daemons);
      Sources.onAnswered(Daemons.front().m_Id, at(milliseconds(0)));
      if (!Self.m_Contact->m_NearStore)
        Count += Sources.needsStore(RelayedTable::Orders, Age, at(milliseconds(0))) ? 1 : 0;
    }
    return Count;
  };
  CHECK(AtStore(milliseconds(1900)) == 0);
  CHECK(AtStore(milliseconds(2100)) == 4);
  CHECK(AtStore(milliseconds(3100)) == 8);
  CHECK(AtStore(seconds(30)) == 33);

  RelaySources Sources = sourcesOf(Daemons.back(), Daemons);
  CHECK(Sources.needsStore(RelayedTable::Orders, seconds(30), at(milliseconds(0))));
  CHECK(Sources.needsStore(RelayedTable::Orders, milliseconds(0), at(seconds(5))));
  CHECK_FALSE(Sources.needsStore(RelayedTable::Orders, milliseconds(0), at(seconds(11))));
}

// Guards against a daemon that reaches the store but no other daemon, and waits for others to turn to it.
TEST_CASE("a daemon that hears from no other one turns to the store without waiting for its turn") {
  const std::vector<ListedDaemon> Daemons = fleet(33, 33);
  for (const ListedDaemon &Self : Daemons) {
    RelaySources Sources = sourcesOf(Self, Daemons);
    if (Sources.needsStore(RelayedTable::Orders, milliseconds(0), at(milliseconds(0))))
      continue;
    Sources.onAnswered(Daemons.front().m_Id, at(milliseconds(0)));
    CHECK_FALSE(Sources.needsStore(RelayedTable::Orders, milliseconds(1900), at(milliseconds(2000))));
    CHECK(Sources.needsStore(RelayedTable::Orders, milliseconds(2500), at(milliseconds(2600))));
  }
}

// Guards against a region whose relays are alive but cut off from the store.
TEST_CASE("a daemon that is not confirmed itself is not followed for a while") {
  const std::vector<ListedDaemon> Daemons = fleet(12, 12);
  RelaySources Sources = sourcesOf(Daemons.back(), Daemons);
  const InstanceId Relay = Sources.followed(at(milliseconds(0))).front().m_Id;
  Sources.onStale(Relay, at(milliseconds(0)));
  CHECK(Sources.followed(at(seconds(4))).front().m_Id != Relay);
  CHECK(Sources.followed(at(seconds(6))).front().m_Id == Relay);
  CHECK(RelaySources::isStale(seconds(3)));
  CHECK_FALSE(RelaySources::isStale(seconds(1)));
}

TEST_CASE("without a daemon near the store the first ones of a region read it") {
  std::vector<ListedDaemon> Daemons = fleet(0, 20);
  CHECK(Tree(Daemons).m_AtStore.size() == 2);
}

// Guards against calls of the store for tables that relays still confirm.
TEST_CASE("a daemon turns to the store only for the table that is not confirmed") {
  const std::vector<ListedDaemon> Daemons = fleet(33, 33);
  RelaySources Sources = sourcesOf(Daemons.back(), Daemons);
  CHECK(Sources.needsStore(RelayedTable::Upstreams, seconds(30), at(milliseconds(0))));
  CHECK_FALSE(Sources.needsStore(RelayedTable::Orders, milliseconds(100), at(milliseconds(100))));
  CHECK(Sources.needsStore(RelayedTable::Upstreams, milliseconds(100), at(milliseconds(100))));
}
