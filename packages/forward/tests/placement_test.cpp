#include "bulrushpitch/forward/placement.h"

#include "bulrushpitch/core/hash.h"
#include "mutation.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace bulrushpitch;
using bulrushpitch::testing::mutated;
using std::chrono::milliseconds;

namespace {

/// Twelve upstreams in two regions, as seen by one of eight daemons.
struct World {
  World() {
    for (int Index = 0; Index < 12; ++Index) {
      RegisteredUpstream Entry;
      Entry.m_Id = UpstreamId("u" + std::to_string(Index));
      Entry.m_Service = ServiceId("llm");
      Entry.m_Domain = DomainId(Index % 3 == 0 ? "west-a" : Index % 3 == 1 ? "west-b" : "hill-a");
      Entry.m_Version = VersionId("v1");
      Entry.m_Slots = 6;
      m_Pool.update(Entry, m_Now);
    }
    for (int Index = 0; Index < 8; ++Index)
      m_Here.m_Daemons.emplace_back("d" + std::to_string(Index));
    m_Query.m_Service = ServiceId("llm");
  }

  PooledUpstream *choose() { return place(m_Pool, m_Query, m_Here, m_Now).m_Upstream; }

  UpstreamPool m_Pool{{{DomainId("west-a"), RegionId("west")},
                       {DomainId("west-b"), RegionId("west")},
                       {DomainId("hill-a"), RegionId("hill")}}};
  PlacementContext m_Here{DomainId("west-a"), RegionId("west"), InstanceId("d0"), {}};
  PlacementQuery m_Query;
  TimePoint m_Now{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE_FIXTURE(World, "requests that share a prompt go to one upstream of the own region") {
  std::set<UpstreamId> Used;
  for (std::uint64_t Key = 0; Key < 200; ++Key) {
    m_Query.m_Affinity = mixHash(Key, 7);
    const PooledUpstream *First = choose();
    REQUIRE(First);
    CHECK(First == choose());
    CHECK(First->m_Region == RegionId("west"));
    Used.insert(First->m_Entry.m_Id);
  }
  CHECK(Used.size() == 8);
}

// Guards against one upstream that drowns under a prompt that much of the traffic is about.
TEST_CASE_FIXTURE(World, "a key that gets most of the traffic is spread over several upstreams") {
  m_Query.m_Affinity = 42;
  std::map<UpstreamId, std::uint32_t> Sent;
  for (int Request = 0; Request < 80; ++Request) {
    PooledUpstream *Chosen = choose();
    REQUIRE(Chosen);
    m_Pool.onSent(Chosen->m_Entry.m_Id, milliseconds(50));
    ++Sent[Chosen->m_Entry.m_Id];
  }
  CHECK(Sent.size() >= 5);
  for (const auto &Entry : Sent)
    CHECK(Entry.second <= 20);
}

// Guards against reading a long shared part again though its upstream is hardly busier than others.
TEST_CASE_FIXTURE(World,
                  "a prompt waits for the upstream that has read its shared part as long as that is faster") {
  m_Query.m_Affinity = 42;
  m_Query.m_SharedWork = milliseconds(200);
  PooledUpstream *Home = choose();
  REQUIRE(Home);
  Home->m_PendingWork = milliseconds(150);
  CHECK(choose() == Home);
  Home->m_PendingWork = milliseconds(250);
  CHECK(choose() != Home);
}

// Guards against a region that drowns under a team's burst while the other one has room.
TEST_CASE_FIXTURE(World, "prompts leave the own region when its upstreams are clearly busier") {
  for (PooledUpstream *Candidate : m_Pool.ofService(ServiceId("llm")))
    if (Candidate->m_Region == RegionId("west"))
      Candidate->m_PendingWork = milliseconds(120);
  m_Query.m_Affinity = 42;
  REQUIRE(choose());
  CHECK(choose()->m_Region == RegionId("west"));
  for (PooledUpstream *Candidate : m_Pool.ofService(ServiceId("llm")))
    if (Candidate->m_Region == RegionId("west"))
      Candidate->m_PendingWork = milliseconds(250);
  CHECK(choose()->m_Region == RegionId("hill"));
}

TEST_CASE_FIXTURE(World, "short calls leave a full upstream, and the own region last") {
  std::map<RegionId, int> Regions;
  for (int Request = 0; Request < 120; ++Request) {
    PooledUpstream *Chosen = choose();
    REQUIRE(Chosen);
    m_Pool.onSent(Chosen->m_Entry.m_Id);
    ++Regions[Chosen->m_Region];
    if (Request < 16)
      CHECK(Chosen->m_Region == RegionId("west"));
  }
  CHECK(Regions[RegionId("hill")] > 0);
}

TEST_CASE_FIXTURE(World, "regions of route and team both bind") {
  m_Query.m_Regions = {RegionId("hill")};
  REQUIRE(choose());
  CHECK(choose()->m_Region == RegionId("hill"));
  m_Query.m_TeamRegions = {RegionId("west")};
  CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(World, "an upstream that the request was sent to is not chosen again") {
  m_Query.m_Affinity = 1;
  for (int Index = 0; Index < 12; ++Index) {
    PooledUpstream *Chosen = choose();
    REQUIRE(Chosen);
    m_Query.m_Tried.push_back(Chosen->m_Entry.m_Id);
  }
  const Placement None = place(m_Pool, m_Query, m_Here, m_Now);
  CHECK_FALSE(None.m_Upstream);
  CHECK(None.m_Obstacle == NoPlace::AllTried);
}

// Guards against cold upstreams that fall over under the sum of what all daemons send.
TEST_CASE_FIXTURE(World, "cold upstreams get this daemon's share of what they bear") {
  m_Query.m_ColdPerSecond = 23.0;
  for (int Index = 0; Index < 12; ++Index) {
    PooledUpstream *Target = m_Pool.find(UpstreamId("u" + std::to_string(Index)));
    Target->m_ColdUntil = m_Now + std::chrono::seconds(10);
  }
  std::map<UpstreamId, int> Sent;
  int Refused = 0;
  for (int Step = 0; Step < 900; ++Step) {
    m_Query.m_Affinity = mixHash(static_cast<std::uint64_t>(Step), 3);
    const Placement Chosen = place(m_Pool, m_Query, m_Here, m_Now);
    if (Chosen.m_Upstream)
      ++Sent[Chosen.m_Upstream->m_Entry.m_Id];
    else if (Chosen.m_Obstacle == NoPlace::AllCold)
      ++Refused;
    m_Now += milliseconds(1);
  }
  CHECK(Refused > 0);
  for (const auto &Entry : Sent)
    CHECK(Entry.second <= 2);
}

TEST_CASE_FIXTURE(World, "ejected upstreams are passed over while others are left") {
  m_Query.m_Affinity = 5;
  PooledUpstream *Usual = choose();
  Usual->m_EjectedUntil = m_Now + milliseconds(500);
  CHECK(choose() != Usual);
  for (PooledUpstream *Candidate : m_Pool.ofService(ServiceId("llm")))
    Candidate->m_EjectedUntil = m_Now + milliseconds(500);
  CHECK(choose());
}

// Guards against a version under trial that is bad under load, and gets too few requests to show it.
TEST_CASE_FIXTURE(World,
                  "a version under trial runs on few upstreams, the same ones for all daemons of a region") {
  m_Query.m_Versions.m_UpstreamShare = mutated("trial-few-upstreams") ? 1.0 : 0.25;
  std::set<UpstreamId> Used;
  for (int Daemon = 0; Daemon < 8; ++Daemon) {
    m_Here.m_Instance = InstanceId("d" + std::to_string(Daemon));
    m_Here.m_Domain = DomainId(Daemon % 2 == 0 ? "west-a" : "west-b");
    for (std::uint64_t Key = 0; Key < 50; ++Key) {
      m_Query.m_Affinity = mixHash(Key, 7);
      Used.insert(choose()->m_Entry.m_Id);
    }
  }
  CHECK(Used.size() == 2);
}
