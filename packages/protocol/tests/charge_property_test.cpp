#include "charge_simulation.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

TEST_CASE("guarantee 4: each request is billed once, and no charge is lost unless both copies are") {
  CHECK(rc::check("billing", [] {
    const Plan RandomPlan =
        drawPlan({FaultKind::StoreDown, FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost,
                  FaultKind::LateEffect, FaultKind::MessageLoss, FaultKind::MessageRepeat, FaultKind::Kill,
                  FaultKind::Kill, FaultKind::Freeze, FaultKind::PartitionDomain, FaultKind::PartitionRegion},
                 4);
    const ChargeReport Report = ChargeSimulation(RandomPlan).run();
    RC_LOG() << "released " << Report.m_Released << ", duplicates " << Report.m_Duplicates << ", lost "
             << Report.m_Lost << ", lost with both copies " << Report.m_LostWithBothCopies
             << ", never released " << Report.m_NeverReleased << ", leaked " << Report.m_LeakedCharges
             << "\n";
    RC_ASSERT(Report.m_Duplicates == 0);
    RC_ASSERT(Report.m_Lost == 0);
    RC_ASSERT(Report.m_EarlyReleases == 0);
    RC_ASSERT(Report.m_NeverReleased == 0);
    RC_ASSERT(Report.m_LeakedCharges == 0U);
  }));
}

TEST_CASE("guarantee 4: instances lost one after the other during an outage lose no charge") {
  CHECK(rc::check("losses in turn", [] {
    // Unlike in the test above, the loss of both copies is no excuse: a new copy must exist before the second
    // loss.
    Plan RandomPlan;
    RandomPlan.m_Seed =
        *rc::gen::noShrink(fullRange(rc::gen::inRange<std::uint32_t>(0, 1U << 30U))).as("seed");
    const std::int64_t FirstKillMs = *fullRange(rc::gen::inRange<std::int64_t>(2'500, 8'000));
    const std::size_t FirstTarget = *fullRange(rc::gen::inRange<std::size_t>(0, 6));
    const std::size_t SecondTarget = FirstTarget + *fullRange(rc::gen::inRange<std::size_t>(0, 6));
    RandomPlan.m_Faults = {Fault{FaultKind::StoreDown, 2'000, 17'000, 0},
                           Fault{FaultKind::Kill, FirstKillMs, 900, FirstTarget},
                           Fault{FaultKind::Kill, FirstKillMs + 7'000, 900, SecondTarget}};
    const ChargeReport Report = ChargeSimulation(RandomPlan).run();
    RC_ASSERT(Report.m_Released > 100);
    RC_ASSERT(Report.m_Lost + Report.m_LostWithBothCopies == 0);
  }));
}
