#ifndef BULRUSHPITCH_PROTOCOL_TESTS_PLANS_H
#define BULRUSHPITCH_PROTOCOL_TESTS_PLANS_H

#include "simulation.h"

#include <rapidcheck.h>

namespace bulrushpitch::test {

/// @brief Draws from the whole range in every round; rapidcheck's size would keep early rounds to small
/// values.
template <typename T> rc::Gen<T> full(rc::Gen<T> Of) {
  return rc::gen::resize(rc::kNominalSize, std::move(Of));
}

/// @brief Draws a plan of up to @p Most faults within the first 20 s; two may overlap, and one may come
/// twice.
inline Plan drawPlan(const std::vector<FaultKind> &Kinds, std::size_t Most = 3) {
  Plan Drawn;
  Drawn.m_Seed = *rc::gen::noShrink(full(rc::gen::inRange<std::uint32_t>(0, 1U << 30U))).as("seed");
  const std::size_t Count = *full(rc::gen::inRange<std::size_t>(0, Most + 1)).as("faults");
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Fault One;
    One.m_Kind = *rc::gen::elementOf(Kinds);
    One.m_StartMs = *full(rc::gen::inRange<std::int64_t>(200, 15'000));
    One.m_LengthMs = *full(rc::gen::inRange<std::int64_t>(300, 12'000));
    One.m_Target = *full(rc::gen::inRange<std::size_t>(0, 6));
    Drawn.m_Faults.push_back(One);
    RC_LOG() << "fault " << One << "\n";
  }
  return Drawn;
}

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_PLANS_H
