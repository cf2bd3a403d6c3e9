#include "bulrushpitch/decision/link_budget.h"

#include <algorithm>
#include <string>

namespace bulrushpitch {

namespace {

/// @return the share of the bucket that must remain after traffic of this class; negative for control
/// traffic, which may overdraw the bucket
double reservedShare(LinkTraffic Traffic) {
  switch (Traffic) {
  case LinkTraffic::Control:
    return -1e9;
  case LinkTraffic::ShortAnswer:
    return 0.1;
  case LinkTraffic::LongAnswer:
    break;
  }
  return 0.5;
}

} // namespace

LinkBudget::LinkBudget(std::uint64_t BytesPerSecond, std::uint32_t DaemonCount)
    : m_BytesPerSecond(static_cast<double>(BytesPerSecond) / std::max(DaemonCount, 1U)),
      m_AvailableBytes(m_BytesPerSecond) {}

void LinkBudget::setRate(std::uint64_t BytesPerSecond, std::uint32_t DaemonCount) {
  const bool WasFull = m_AvailableBytes >= m_BytesPerSecond;
  m_BytesPerSecond = static_cast<double>(BytesPerSecond) / std::max(DaemonCount, 1U);
  m_AvailableBytes = WasFull ? m_BytesPerSecond : std::min(m_AvailableBytes, m_BytesPerSecond);
}

double LinkBudget::remaining(TimePoint Now) const {
  if (!m_Started || Now <= m_RefilledAt)
    return m_AvailableBytes;
  return std::min(m_BytesPerSecond, m_AvailableBytes + m_BytesPerSecond * secondsOf(Now - m_RefilledAt));
}

bool LinkBudget::allows(LinkTraffic Traffic, Bytes Size, TimePoint Now) const {
  return remaining(Now) - static_cast<double>(Size.value()) >= reservedShare(Traffic) * m_BytesPerSecond;
}

Expected<Done> LinkBudget::take(LinkTraffic Traffic, Bytes Size, TimePoint Now) {
  if (!allows(Traffic, Size, Now))
    return Error{ErrorCode::LinkBudgetSpent, "take link budget", "", Ran::No,
                 std::to_string(Size.value()) + " bytes exceed what this daemon's share of the inter-region "
                                                "link has left for this class of traffic"};
  m_AvailableBytes = remaining(Now) - static_cast<double>(Size.value());
  m_RefilledAt = m_Started ? std::max(m_RefilledAt, Now) : Now;
  m_Started = true;
  return Done{};
}

} // namespace bulrushpitch
