#include "bulrushpitch/forward/pacer.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Slightly more than an even share of a second, so that n + 1 requests never fit into one.
Duration spacing(std::uint32_t MostPerSecond) {
  constexpr std::int64_t SlackedSecond = 1'050'000'000;
  return Duration(SlackedSecond / MostPerSecond);
}

} // namespace

bool Pacer::ready(TimePoint Now, std::uint32_t MostPerSecond) const {
  if (MostPerSecond == 0)
    return false;
  return !m_Used || Now - m_Last >= spacing(MostPerSecond);
}

bool Pacer::take(TimePoint Now, std::uint32_t MostPerSecond) {
  if (!ready(Now, MostPerSecond))
    return false;
  m_Last = Now;
  m_Used = true;
  return true;
}

std::uint32_t shareOfColdLimit(double MostPerSecond, std::uint32_t Daemons, std::uint32_t Rank) {
  const std::uint32_t Whole = static_cast<std::uint32_t>(std::max(0.0, MostPerSecond));
  const std::uint32_t Each = Whole / std::max(1U, Daemons);
  if (Each > 0)
    return Each;
  return Rank < Whole ? 1 : 0;
}

} // namespace bulrushpitch
