#ifndef BULRUSHPITCH_RPC_SRC_COMPRESSION_H
#define BULRUSHPITCH_RPC_SRC_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushpitch::detail {

/// @brief Compresses bytes in the zlib format.
std::string compress(std::string_view Plain);
/// @brief Expands bytes in the zlib format.
/// @return nothing if they are malformed or expand to more than @p MaxBytes
std::optional<std::string> expand(std::string_view Compressed, std::size_t MaxBytes);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_RPC_SRC_COMPRESSION_H
