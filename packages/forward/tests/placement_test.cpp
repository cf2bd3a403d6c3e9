#include "bulrushpitch/forward/placement.h"

#include "bulrushpitch/core/hash.h"
#include "mutation.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace bulrushpitch;
using bulrushpitch::testing::mechanismDisabled;
using std::chrono::milliseconds;

namespace {

/// Twelve upstreams in two regions, as seen by one of eight daemons.
struct Fixture {
  Fixture() {
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
      m_Context.m_Daemons.emplace_back("d" + std::to_string(Index));
    m_Query.m_Service = ServiceId("llm");
  }

  PooledUpstream *choose() { return chooseUpstream(m_Pool, m_Query, m_Context, m_Now).m_Upstream; }

  UpstreamPool m_Pool{{{DomainId("west-a"), RegionId("west")},
                       {DomainId("west-b"), RegionId("west")},
                       {DomainId("hill-a"), RegionId("hill")}}};
  PlacementContext m_Context{DomainId("west-a"), RegionId("west"), InstanceId("d0"), {}};
  PlacementQuery m_Query;
  TimePoint m_Now{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "requests that share a prompt prefix go to one upstream of the own region") {
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

// Guards against one upstream that is overloaded by a prompt prefix that much of the traffic shares.
TEST_CASE_FIXTURE(Fixture, "an affinity key that gets most of the traffic is spread over several upstreams") {
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

// Guards against repeating the prefill of a long shared prefix although its upstream is hardly busier than
// others.
TEST_CASE_FIXTURE(Fixture,
                  "a prompt waits for the upstream that caches its shared prefix while that is faster") {
  m_Query.m_Affinity = 42;
  m_Query.m_SharedPrefillTime = milliseconds(200);
  PooledUpstream *Preferred = choose();
  REQUIRE(Preferred);
  Preferred->m_PendingPrefill = milliseconds(150);
  CHECK(choose() == Preferred);
  Preferred->m_PendingPrefill = milliseconds(250);
  CHECK(choose() != Preferred);
}

// Guards against a region that is overloaded by a team's burst while another one has spare capacity.
TEST_CASE_FIXTURE(Fixture,
                  "prompts go to another region when the own region's upstreams are clearly busier") {
  for (PooledUpstream *Candidate : m_Pool.ofService(ServiceId("llm")))
    if (Candidate->m_Region == RegionId("west"))
      Candidate->m_PendingPrefill = milliseconds(120);
  m_Query.m_Affinity = 42;
  REQUIRE(choose());
  CHECK(choose()->m_Region == RegionId("west"));
  for (PooledUpstream *Candidate : m_Pool.ofService(ServiceId("llm")))
    if (Candidate->m_Region == RegionId("west"))
      Candidate->m_PendingPrefill = milliseconds(250);
  CHECK(choose()->m_Region == RegionId("hill"));
}

TEST_CASE_FIXTURE(Fixture, "short calls avoid full upstreams, and go to another region last") {
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

TEST_CASE_FIXTURE(Fixture, "the regions of the route and of the team both apply") {
  m_Query.m_Regions = {RegionId("hill")};
  REQUIRE(choose());
  CHECK(choose()->m_Region == RegionId("hill"));
  m_Query.m_TeamRegions = {RegionId("west")};
  CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(Fixture, "an upstream that the request was already sent to is not chosen again") {
  m_Query.m_Affinity = 1;
  for (int Index = 0; Index < 12; ++Index) {
    PooledUpstream *Chosen = choose();
    REQUIRE(Chosen);
    m_Query.m_Tried.push_back(Chosen->m_Entry.m_Id);
  }
  const Placement None = chooseUpstream(m_Pool, m_Query, m_Context, m_Now);
  CHECK_FALSE(None.m_Upstream);
  CHECK(None.m_Rejection == PlacementRejection::AllTried);
}

// Guards against daemons that don't know each other and each take the whole limit of an upstream.
TEST_CASE_FIXTURE(Fixture, "without shares of common limits no cold or limited upstream is chosen") {
  m_Context.m_HasLimitShares = false;
  m_Query.m_ColdRequestsPerSecond = 23.0;
  UpstreamNotice Limited;
  Limited.m_RequestLimit = 100.0;
  for (int Index = 0; Index < 12; ++Index) {
    PooledUpstream *Target = m_Pool.find(UpstreamId("u" + std::to_string(Index)));
    if (Index < 6)
      Target->m_ColdUntil = m_Now + std::chrono::seconds(100);
    else if (Index < 11)
      m_Pool.notices().record(Target->m_Entry, Limited, m_Now, m_Now);
  }
  for (std::uint64_t Key = 0; Key < 20; ++Key) {
    m_Query.m_Affinity = Key;
    m_Now += std::chrono::seconds(1);
    const PooledUpstream *Chosen = choose();
    REQUIRE(Chosen);
    CHECK(Chosen->m_Entry.m_Id == UpstreamId("u11"));
  }
}

// Guards against cold upstreams that are overloaded by the sum of all daemons' requests.
TEST_CASE_FIXTURE(Fixture, "a cold upstream gets this daemon's share of its rate limit") {
  m_Query.m_ColdRequestsPerSecond = 23.0;
  for (int Index = 0; Index < 12; ++Index) {
    PooledUpstream *Target = m_Pool.find(UpstreamId("u" + std::to_string(Index)));
    Target->m_ColdUntil = m_Now + std::chrono::seconds(10);
  }
  std::map<UpstreamId, int> Sent;
  int Rejected = 0;
  for (int Step = 0; Step < 900; ++Step) {
    m_Query.m_Affinity = mixHash(static_cast<std::uint64_t>(Step), 3);
    const Placement Chosen = chooseUpstream(m_Pool, m_Query, m_Context, m_Now);
    if (Chosen.m_Upstream)
      ++Sent[Chosen.m_Upstream->m_Entry.m_Id];
    else if (Chosen.m_Rejection == PlacementRejection::AllCold)
      ++Rejected;
    m_Now += milliseconds(1);
  }
  CHECK(Rejected > 0);
  for (const auto &Entry : Sent)
    CHECK(Entry.second <= 2);
}

TEST_CASE_FIXTURE(Fixture, "ejected upstreams are skipped unless all are ejected") {
  m_Query.m_Affinity = 5;
  PooledUpstream *FirstChoice = choose();
  FirstChoice->m_EjectedUntil = m_Now + milliseconds(500);
  CHECK(choose() != FirstChoice);
  for (PooledUpstream *Candidate : m_Pool.ofService(ServiceId("llm")))
    Candidate->m_EjectedUntil = m_Now + milliseconds(500);
  CHECK(choose());
}

// Guards against missing a version that is bad under load, because each upstream gets too few requests.
TEST_CASE_FIXTURE(Fixture,
                  "a version under trial runs on few upstreams, the same ones for all daemons of a region") {
  m_Query.m_Versions.m_UpstreamShare = mechanismDisabled("trial-few-upstreams") ? 1.0 : 0.25;
  std::set<UpstreamId> Used;
  for (int Daemon = 0; Daemon < 8; ++Daemon) {
    m_Context.m_Instance = InstanceId("d" + std::to_string(Daemon));
    m_Context.m_Domain = DomainId(Daemon % 2 == 0 ? "west-a" : "west-b");
    for (std::uint64_t Key = 0; Key < 50; ++Key) {
      m_Query.m_Affinity = mixHash(Key, 7);
      Used.insert(choose()->m_Entry.m_Id);
    }
  }
  CHECK(Used.size() == 2);
}
