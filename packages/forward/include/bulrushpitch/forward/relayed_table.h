#ifndef BULRUSHPITCH_FORWARD_RELAYED_TABLE_H
#define BULRUSHPITCH_FORWARD_RELAYED_TABLE_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrushpitch {

/// @brief A table of the store that daemons relay to each other. The numbers are part of the protocol between
/// daemons and are never reused.
enum class RelayedTable : std::uint8_t {
  Orders = 0,   ///< The operators' orders: configuration, failure domains out of service, rollouts.
  Upstreams = 1 ///< The registry of upstreams.
};
inline constexpr std::size_t relayedTableCount = 2;

/// @return a name for logs, for example "upstreams"
constexpr std::string_view nameOf(RelayedTable Value) {
  return Value == RelayedTable::Orders ? "orders" : "upstreams";
}

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_RELAYED_TABLE_H
