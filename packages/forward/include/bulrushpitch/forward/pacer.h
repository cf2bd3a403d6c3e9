#ifndef BULRUSHPITCH_FORWARD_PACER_H
#define BULRUSHPITCH_FORWARD_PACER_H

#include "bulrushpitch/core/clock.h"

#include <cstdint>

namespace bulrushpitch {

/// @brief Bounds the requests that one daemon sends to one upstream in any second.
///
/// Requests are spaced evenly, so that the bound holds for every sliding second, not only for whole ones.
class Pacer {
public:
  /// @brief Takes the place of one request.
  /// @param MostPerSecond requests in any second; 0 admits none
  /// @return whether it may be sent now
  bool take(TimePoint Now, std::uint32_t MostPerSecond);
  /// @return whether take() would succeed
  bool ready(TimePoint Now, std::uint32_t MostPerSecond) const;

private:
  TimePoint m_Last{};
  bool m_Used = false;
};

/// @brief Splits a bound on all daemons' requests among them, without messages.
/// @param MostPerSecond requests per second that the upstream bears from all daemons
/// @param Daemons how many daemons there are, at least 1
/// @param Rank the place of this daemon in the upstream's own order of the daemons, from 0. When there are
/// more daemons than requests, the first ones may send one each.
/// @return requests per second that this daemon may send
std::uint32_t shareOfColdLimit(double MostPerSecond, std::uint32_t Daemons, std::uint32_t Rank);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_PACER_H
