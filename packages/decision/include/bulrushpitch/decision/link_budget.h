#ifndef BULRUSHPITCH_DECISION_LINK_BUDGET_H
#define BULRUSHPITCH_DECISION_LINK_BUDGET_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>

namespace bulrushpitch {

/// @brief Traffic classes on the inter-region link, in descending priority.
enum class LinkTraffic : std::uint8_t { Control, ShortAnswer, LongAnswer };

/// @brief This daemon's share of the inter-region link: a token bucket that holds one second's worth of
/// bytes.
///
/// A long answer is rejected if less than half of the bucket would remain, a short answer if less than a
/// tenth would. Control traffic is never rejected and may overdraw the bucket.
class LinkBudget {
public:
  /// @param BytesPerSecond capacity of the whole link, see Limits::m_LinkBytesPerSecond
  /// @param DaemonCount number of live daemons that share the link; 0 counts as 1
  explicit LinkBudget(std::uint64_t BytesPerSecond = 3'750'000, std::uint32_t DaemonCount = 1);

  /// @brief Changes the rate. A bucket that was full after the last take(), or has not been used yet, stays
  /// full; otherwise its content after the last take() is capped at the new size.
  void setRate(std::uint64_t BytesPerSecond, std::uint32_t DaemonCount);
  /// @return whether take() would succeed
  bool allows(LinkTraffic Traffic, Bytes Size, TimePoint Now) const;
  /// @brief Takes bytes from the bucket.
  /// @param Size bytes to send over the link
  /// @return error 409 (LinkBudgetSpent) if the traffic is rejected
  Expected<Done> take(LinkTraffic Traffic, Bytes Size, TimePoint Now);
  /// @return bytes available at @p Now; negative if the bucket is overdrawn
  double remaining(TimePoint Now) const;

private:
  double m_BytesPerSecond;
  double m_AvailableBytes;
  TimePoint m_RefilledAt{};
  bool m_Started = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_LINK_BUDGET_H
