#ifndef BULRUSHPITCH_RPC_TABLE_CODEC_H
#define BULRUSHPITCH_RPC_TABLE_CODEC_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/forward/objects.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief Changes of a table's rows, as one daemon relays them to another.
template <typename Row> struct RowChanges {
  bool m_Whole = false; ///< All rows of the table, not changes since a version.
  std::vector<Row> m_Updated;
  std::vector<std::string> m_Removed; ///< Keys of rows.
};

/// @brief Encodes rows of the registry as a compressed Cap'n Proto message.
std::string encodeUpstreams(const RowChanges<RegisteredUpstream> &Changes);
/// @brief Decodes what encodeUpstreams() made.
/// @return error 702 if the bytes are malformed, or are larger than any registry when expanded
Expected<RowChanges<RegisteredUpstream>> decodeUpstreams(std::string_view Encoded);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_RPC_TABLE_CODEC_H
