#include "permit_simulation.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

TEST_CASE("guarantee 5: a cold upstream never gets more than its limit") {
  CHECK(rc::check("cold limit", [] {
    const Plan RandomPlan =
        drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost, FaultKind::LateEffect,
                  FaultKind::MessageLoss, FaultKind::MessageRepeat, FaultKind::Kill, FaultKind::Freeze,
                  FaultKind::Freeze, FaultKind::PartitionDomain, FaultKind::ColdRestart});
    const PermitReport Report = PermitSimulation(RandomPlan).run();
    RC_LOG() << "overshoot " << Report.m_Overshoot << ", double owners " << Report.m_DoubleOwners
             << ", started " << Report.m_Started << "\n";
    RC_ASSERT(Report.m_Overshoot <= 0);
    RC_ASSERT(Report.m_DoubleOwners == 0);
    RC_ASSERT(Report.m_EarlyOrders == 0U);
  }));
}

TEST_CASE("permits are granted when nothing fails, so that the property above does not hold trivially") {
  const PermitReport Report = PermitSimulation(Plan{1, {}}).run();
  CHECK(Report.m_Started > 10);
}
