#include "claim_simulation.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

ClaimReport runRandomPlan() {
  const Plan RandomPlan =
      drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost, FaultKind::LateEffect,
                FaultKind::Kill, FaultKind::Freeze, FaultKind::PartitionRegion});
  const ClaimReport Report = ClaimSimulation(RandomPlan).run();
  RC_LOG() << "duplicate runs " << Report.m_DuplicateRuns << ", false refusals " << Report.m_FalseRefusals
           << ", undecided " << Report.m_Undecided << ", false unknown " << Report.m_FalseUnknowns << "\n";
  return Report;
}

} // namespace

TEST_CASE("guarantee 9: a non-idempotent request runs at most once") {
  CHECK(rc::check("at most once", [] {
    const ClaimReport Report = runRandomPlan();
    RC_ASSERT(Report.m_DuplicateRuns == 0);
    RC_ASSERT(Report.m_WrongResponses == 0);
  }));
}

TEST_CASE("guarantee 8: a refusal that says \"not run\" is true") {
  CHECK(rc::check("refusals", [] {
    const ClaimReport Report = runRandomPlan();
    RC_ASSERT(Report.m_FalseRefusals == 0);
    RC_ASSERT(Report.m_Undecided == 0);
    // Claims of attempts that were never sent are released once the store is available again.
    RC_ASSERT(Report.m_FalseUnknowns == 0);
  }));
}

TEST_CASE("without faults nearly every claim proceeds") {
  const ClaimReport Report = ClaimSimulation(Plan{3, {}}).run();
  CHECK(Report.m_Verdicts.at(ClaimVerdict::Proceed) >= 60);
  CHECK(Report.m_Verdicts.count(ClaimVerdict::Refused) == 0);
}
