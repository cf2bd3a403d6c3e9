#include "world.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// Runs random worlds and checks each decision that was made.
template <typename Property> bool holdsAlways(const char *Name, Property Holds) {
  return rc::check(Name, [&](std::uint64_t Seed, const std::vector<std::uint32_t> &Steps) {
    World Under(Seed);
    for (std::uint32_t Each : Steps) {
      Under.m_Decision.reset();
      Under.m_Refusal.reset();
      Under.step(Each);
      if (Under.m_Decision)
        RC_ASSERT(Holds(Under, *Under.m_Decision));
      if (Under.m_Refusal) {
        const int Family = static_cast<int>(Under.m_Refusal->m_Code) / 100;
        RC_ASSERT((Family == 2 || Family == 4) && Under.m_Refusal->m_Ran == Ran::No);
      }
    }
  });
}

bool contains(const auto &Values, const auto &Wanted) {
  return std::find(Values.begin(), Values.end(), Wanted) != Values.end();
}

} // namespace

TEST_CASE("guarantee 1: a request runs only on a model and version that its team allows") {
  CHECK(holdsAlways("permitted only", [](const World &Under, const RouteDecision &Decision) {
    const Team &Team = Under.teamOf(Under.m_Request);
    const Version &Chosen = Under.m_Truth.m_Versions.at(Decision.m_Version);
    return contains(Team.m_Models, Under.m_Request.m_Model) && contains(Team.m_Models, Chosen.m_Model) &&
           (Team.m_Versions.empty() || contains(Team.m_Versions, Decision.m_Version)) &&
           contains(Under.m_Truth.m_Upstreams.at(Decision.m_Upstream).m_Versions, Decision.m_Version);
  }));
}

TEST_CASE("guarantee 2: a withdrawn version receives no new work") {
  CHECK(holdsAlways("withdrawn", [](const World &Under, const RouteDecision &Decision) {
    return Under.m_Truth.m_Versions.at(Decision.m_Version).m_State == VersionState::Active;
  }));
}

TEST_CASE("guarantee 3: a session keeps its version") {
  CHECK(holdsAlways("session keeps version", [](const World &Under, const RouteDecision &Decision) {
    return !Under.m_Request.m_Pinned || Decision.m_Version == *Under.m_Request.m_Pinned;
  }));
}

TEST_CASE(
    "guarantee 5: a cold upstream holds no more than its limit, which rises from its last sign of coldness") {
  CHECK(holdsAlways("cold limit", [](const World &Under, const RouteDecision &Decision) {
    const std::uint32_t Capacity = Under.m_Truth.m_Upstreams.at(Decision.m_Upstream).m_Capacity;
    return Under.m_OwnThen < Under.m_LimitThen && (Decision.m_NeedsPermit || Under.m_LimitThen >= Capacity);
  }));
}

TEST_CASE("guarantee 6: a failure domain that is out receives no new work") {
  CHECK(holdsAlways("domain out", [](const World &Under, const RouteDecision &Decision) {
    const DomainId &Domain = Under.m_Truth.m_Upstreams.at(Decision.m_Upstream).m_Domain;
    return Under.m_Truth.m_Domains.at(Domain).m_State == DomainState::In;
  }));
}

TEST_CASE("guarantee 10: a leaving or draining upstream receives no new work") {
  CHECK(holdsAlways("leaving upstream", [](const World &Under, const RouteDecision &Decision) {
    return !Under.m_Truth.m_Upstreams.at(Decision.m_Upstream).m_Draining &&
           !Under.m_Leaving.contains(Decision.m_Upstream);
  }));
}

TEST_CASE("decisions keep clear of upstreams that failed before and explain themselves in one line") {
  CHECK(holdsAlways("excluded", [](const World &Under, const RouteDecision &Decision) {
    const std::string Reason = Decision.reason();
    return !contains(Under.m_Request.m_Excluded, Decision.m_Upstream) && !Reason.empty() &&
           Reason.find('\n') == std::string::npos;
  }));
}
