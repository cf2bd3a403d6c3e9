#include "config_world.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

TEST_CASE(
    "guarantee 12: a revision never decreases, is never lost and is in force within 10 s after faults") {
  CHECK(rc::check("configuration", [] {
    const Plan FaultPlan =
        drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost, FaultKind::LateEffect,
                  FaultKind::MessageLoss, FaultKind::MessageRepeat, FaultKind::Kill, FaultKind::Freeze,
                  FaultKind::CutDomain, FaultKind::CutRegion});
    const ConfigReport Report = ConfigWorld(FaultPlan).run();
    for (const std::string &Violation : Report.m_Faults)
      RC_LOG() << Violation << "\n";
    RC_ASSERT(Report.m_Faults.empty());
  }));
}
