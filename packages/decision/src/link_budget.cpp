#include "bulrushpitch/decision/link_budget.h"

#include <algorithm>
#include <string>

namespace bulrushpitch {

namespace {

/// Share of the bucket that must remain.
double floorOf(LinkTraffic Kind) {
  switch (Kind) {
  case LinkTraffic::Control:
    return -1e9;
  case LinkTraffic::ShortAnswer:
    return 0.1;
  case LinkTraffic::LongReport:
    break;
  }
  return 0.5;
}

} // namespace

LinkBudget::LinkBudget(std::uint64_t BytesPerSecond, std::uint32_t Daemons)
    : m_Rate(static_cast<double>(BytesPerSecond) / std::max(Daemons, 1U)), m_Level(m_Rate) {}

void LinkBudget::setRate(std::uint64_t BytesPerSecond, std::uint32_t Daemons) {
  const bool WasFull = m_Level >= m_Rate;
  m_Rate = static_cast<double>(BytesPerSecond) / std::max(Daemons, 1U);
  m_Level = WasFull ? m_Rate : std::min(m_Level, m_Rate);
}

double LinkBudget::remaining(TimePoint Now) const {
  if (!m_Started || Now <= m_FilledAt)
    return m_Level;
  return std::min(m_Rate, m_Level + m_Rate * std::chrono::duration<double>(Now - m_FilledAt).count());
}

bool LinkBudget::allows(LinkTraffic Kind, Bytes Size, TimePoint Now) const {
  return remaining(Now) - static_cast<double>(Size.value()) >= floorOf(Kind) * m_Rate;
}

Expected<Done> LinkBudget::take(LinkTraffic Kind, Bytes Size, TimePoint Now) {
  if (!allows(Kind, Size, Now))
    return Error{ErrorCode::LinkBudgetSpent, "take link budget", "", Ran::No,
                 std::to_string(Size.value()) + " bytes do not fit this daemon's share of the region link"};
  m_Level = remaining(Now) - static_cast<double>(Size.value());
  m_FilledAt = m_Started ? std::max(m_FilledAt, Now) : Now;
  m_Started = true;
  return Done{};
}

} // namespace bulrushpitch
