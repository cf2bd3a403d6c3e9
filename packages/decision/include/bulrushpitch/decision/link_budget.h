#ifndef BULRUSHPITCH_DECISION_LINK_BUDGET_H
#define BULRUSHPITCH_DECISION_LINK_BUDGET_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>

namespace bulrushpitch {

/// @brief Kinds of traffic on the link between regions, the first refused last.
enum class LinkTraffic : std::uint8_t { Control, ShortAnswer, LongReport };

/// @brief This daemon's share of the link between regions: a bucket of bytes that fills at a fixed rate.
///
/// A long report is refused when less than half of a second's bytes would remain, a short answer when less
/// than a tenth would. Control traffic is never refused; it may overdraw the bucket.
class LinkBudget {
public:
  /// @param BytesPerSecond Limits::m_LinkBytesPerSecond
  /// @param Daemons live daemons that share the link, at least 1
  explicit LinkBudget(std::uint64_t BytesPerSecond = 3'750'000, std::uint32_t Daemons = 1);

  /// @brief Changes the rate; what is in the bucket is kept up to the new size.
  void setRate(std::uint64_t BytesPerSecond, std::uint32_t Daemons);
  /// @return whether take would succeed
  bool allows(LinkTraffic Kind, Bytes Size, TimePoint Now) const;
  /// @brief Takes bytes from the bucket.
  /// @return error 409 if they are refused
  Expected<Done> take(LinkTraffic Kind, Bytes Size, TimePoint Now);
  /// @return bytes left, negative when overdrawn
  double remaining(TimePoint Now) const;

private:
  double m_Rate;
  double m_Level;
  TimePoint m_FilledAt{};
  bool m_Started = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_LINK_BUDGET_H
