#ifndef BULRUSHPITCH_RPC_ORDER_CODEC_H
#define BULRUSHPITCH_RPC_ORDER_CODEC_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/forward/config_delta.h"
#include "bulrushpitch/forward/objects.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief All orders of the operators, as one daemon relays them to another.
struct OrderSnapshot {
  std::vector<DomainId> m_DomainsOut; ///< Failure domains out of service.
  std::vector<TrialOrder> m_Trials;   ///< Rollouts.
  /// The newest configuration, as the difference to the receiver's; empty if the receiver has it.
  std::optional<ConfigDelta> m_Config;
};

/// @brief Encodes orders as a compressed Cap'n Proto message.
std::string encodeOrders(const OrderSnapshot &Orders);
/// @brief Decodes what encodeOrders() made.
/// @return error 702 if the bytes are malformed, or are larger than any configuration when expanded
Expected<OrderSnapshot> decodeOrders(std::string_view Encoded);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_RPC_ORDER_CODEC_H
