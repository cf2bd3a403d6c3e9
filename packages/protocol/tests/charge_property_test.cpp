#include "charge_world.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

TEST_CASE("guarantee 4: each request is billed once, and no charge is lost unless both copies are") {
  CHECK(rc::check("billing", [] {
    const Plan Drawn =
        drawPlan({FaultKind::StoreDown, FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost,
                  FaultKind::LateEffect, FaultKind::MessageLoss, FaultKind::MessageRepeat, FaultKind::Kill,
                  FaultKind::Kill, FaultKind::Freeze, FaultKind::CutDomain, FaultKind::CutRegion},
                 4);
    const ChargeReport Report = ChargeWorld(Drawn).run();
    RC_LOG() << "released " << Report.m_Released << ", duplicates " << Report.m_Duplicates << ", lost "
             << Report.m_Lost << ", lost with both copies " << Report.m_LostWithBoth << ", withheld "
             << Report.m_Withheld << ", leaked " << Report.m_Leaked << "\n";
    RC_ASSERT(Report.m_Duplicates == 0);
    RC_ASSERT(Report.m_Lost == 0);
    RC_ASSERT(Report.m_Early == 0);
    RC_ASSERT(Report.m_Withheld == 0);
    RC_ASSERT(Report.m_Leaked == 0U);
  }));
}

TEST_CASE("guarantee 4: instances lost one after the other during an outage lose no charge") {
  CHECK(rc::check("losses in turn", [] {
    // Unlike above, the second loss does not excuse a missing charge: by then a new copy must have been made.
    Plan Drawn;
    Drawn.m_Seed = *rc::gen::noShrink(full(rc::gen::inRange<std::uint32_t>(0, 1U << 30U))).as("seed");
    const std::int64_t First = *full(rc::gen::inRange<std::int64_t>(2'500, 8'000));
    const std::size_t Target = *full(rc::gen::inRange<std::size_t>(0, 6));
    const std::size_t Other = Target + *full(rc::gen::inRange<std::size_t>(0, 6));
    Drawn.m_Faults = {Fault{FaultKind::StoreDown, 2'000, 17'000, 0},
                      Fault{FaultKind::Kill, First, 900, Target},
                      Fault{FaultKind::Kill, First + 7'000, 900, Other}};
    const ChargeReport Report = ChargeWorld(Drawn).run();
    RC_ASSERT(Report.m_Released > 100);
    RC_ASSERT(Report.m_Lost + Report.m_LostWithBoth == 0);
  }));
}
