#ifndef BULRUSHPITCH_PROTOCOL_TESTS_PLANS_H
#define BULRUSHPITCH_PROTOCOL_TESTS_PLANS_H

#include "simulation.h"

#include <rapidcheck.h>

namespace bulrushpitch::test {

/// @brief Makes a generator draw from its full range in every round; rapidcheck's size parameter limits early
/// rounds to small values.
template <typename T> rc::Gen<T> fullRange(rc::Gen<T> Generator) {
  return rc::gen::resize(rc::kNominalSize, std::move(Generator));
}

/// @brief Draws a plan of up to @p MaxFaults faults that start within the first 15 s and last up to 12 s.
/// Faults may overlap, and a kind may occur more than once.
inline Plan drawPlan(const std::vector<FaultKind> &Kinds, std::size_t MaxFaults = 3) {
  Plan Result;
  Result.m_Seed = *rc::gen::noShrink(fullRange(rc::gen::inRange<std::uint32_t>(0, 1U << 30U))).as("seed");
  const std::size_t Count = *fullRange(rc::gen::inRange<std::size_t>(0, MaxFaults + 1)).as("faults");
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Fault Injected;
    Injected.m_Kind = *rc::gen::elementOf(Kinds);
    Injected.m_StartMs = *fullRange(rc::gen::inRange<std::int64_t>(200, 15'000));
    Injected.m_LengthMs = *fullRange(rc::gen::inRange<std::int64_t>(300, 12'000));
    Injected.m_Target = *fullRange(rc::gen::inRange<std::size_t>(0, 6));
    Result.m_Faults.push_back(Injected);
    RC_LOG() << "fault " << Injected << "\n";
  }
  return Result;
}

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_PLANS_H
