#include "config_simulation.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

TEST_CASE(
    "guarantee 12: a revision never decreases, is never lost and is in force within 10 s after faults") {
  CHECK(rc::check("configuration", [] {
    const Plan FaultPlan =
        drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost, FaultKind::LateEffect,
                  FaultKind::MessageLoss, FaultKind::MessageRepeat, FaultKind::Kill, FaultKind::Freeze,
                  FaultKind::PartitionDomain, FaultKind::PartitionRegion});
    const ConfigReport Report = ConfigSimulation(FaultPlan).run();
    for (const std::string &Violation : Report.m_Violations)
      RC_LOG() << Violation << "\n";
    RC_ASSERT(Report.m_Violations.empty());
  }));
}
