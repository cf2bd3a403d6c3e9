#include "router_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// Runs random event sequences and checks the property for each decision. Each rejection must have an error
/// of family 2xx or 4xx and report that the request was not executed.
template <typename Property> bool holdsForAllDecisions(const char *Name, Property Holds) {
  return rc::check(Name, [&](std::uint64_t Seed, const std::vector<std::uint32_t> &Steps) {
    RouterSimulation Simulated(Seed);
    for (std::uint32_t Choice : Steps) {
      Simulated.m_Decision.reset();
      Simulated.m_Rejection.reset();
      Simulated.step(Choice);
      if (Simulated.m_Decision)
        RC_ASSERT(Holds(Simulated, *Simulated.m_Decision));
      if (Simulated.m_Rejection) {
        const int Family = static_cast<int>(Simulated.m_Rejection->m_Code) / 100;
        RC_ASSERT((Family == 2 || Family == 4) && Simulated.m_Rejection->m_Ran == Ran::No);
      }
    }
  });
}

bool contains(const auto &Values, const auto &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

} // namespace

TEST_CASE("guarantee 1: a request runs only on a model and version that its team allows") {
  CHECK(holdsForAllDecisions("permitted only", [](const RouterSimulation &Simulated,
                                                  const RouteDecision &Decision) {
    const Team &Team = Simulated.teamOf(Simulated.m_Request);
    const Version &Chosen = Simulated.m_ActualConfig.m_Versions.at(Decision.m_Version);
    return contains(Team.m_Models, Simulated.m_Request.m_Model) && contains(Team.m_Models, Chosen.m_Model) &&
           (Team.m_Versions.empty() || contains(Team.m_Versions, Decision.m_Version)) &&
           contains(Simulated.m_ActualConfig.m_Upstreams.at(Decision.m_Upstream).m_Versions,
                    Decision.m_Version);
  }));
}

TEST_CASE("guarantee 2: a withdrawn version receives no new requests") {
  CHECK(
      holdsForAllDecisions("withdrawn", [](const RouterSimulation &Simulated, const RouteDecision &Decision) {
        return Simulated.m_ActualConfig.m_Versions.at(Decision.m_Version).m_State == VersionState::Active;
      }));
}

TEST_CASE("guarantee 3: a session keeps its version") {
  CHECK(holdsForAllDecisions("session keeps version", [](const RouterSimulation &Simulated,
                                                         const RouteDecision &Decision) {
    return !Simulated.m_Request.m_PinnedVersion || Decision.m_Version == *Simulated.m_Request.m_PinnedVersion;
  }));
}

TEST_CASE("guarantee 5: a cold upstream runs no more requests than its limit, which rises from when it was "
          "last marked cold") {
  CHECK(holdsForAllDecisions("cold limit", [](const RouterSimulation &Simulated,
                                              const RouteDecision &Decision) {
    const std::uint32_t Capacity = Simulated.m_ActualConfig.m_Upstreams.at(Decision.m_Upstream).m_Capacity;
    return Simulated.m_OutstandingAtDecision < Simulated.m_LimitAtDecision &&
           (Decision.m_NeedsPermit || Simulated.m_LimitAtDecision >= Capacity);
  }));
}

TEST_CASE("guarantee 6: a failure domain that is out of service receives no new requests") {
  CHECK(holdsForAllDecisions(
      "domain out", [](const RouterSimulation &Simulated, const RouteDecision &Decision) {
        const DomainId &Domain = Simulated.m_ActualConfig.m_Upstreams.at(Decision.m_Upstream).m_Domain;
        return Simulated.m_ActualConfig.m_Domains.at(Domain).m_State == DomainState::In;
      }));
}

TEST_CASE("guarantee 10: a leaving or draining upstream receives no new requests") {
  CHECK(holdsForAllDecisions(
      "leaving upstream", [](const RouterSimulation &Simulated, const RouteDecision &Decision) {
        return !Simulated.m_ActualConfig.m_Upstreams.at(Decision.m_Upstream).m_Draining &&
               !Simulated.m_Leaving.contains(Decision.m_Upstream);
      }));
}

TEST_CASE("decisions avoid upstreams that failed before, and their reason is a single line") {
  CHECK(
      holdsForAllDecisions("excluded", [](const RouterSimulation &Simulated, const RouteDecision &Decision) {
        const std::string Reason = Decision.reason();
        return !contains(Simulated.m_Request.m_ExcludedUpstreams, Decision.m_Upstream) && !Reason.empty() &&
               Reason.find('\n') == std::string::npos;
      }));
}
