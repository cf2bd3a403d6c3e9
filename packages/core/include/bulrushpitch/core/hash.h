#ifndef BULRUSHPITCH_CORE_HASH_H
#define BULRUSHPITCH_CORE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief A hash that is the same in every process and version (FNV-1a with a final mix).
/// @complexity linear in the text's length
std::uint64_t stableHash(std::string_view Text);

/// @brief Mixes two hashes into one.
std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right);

/// @brief Maps a hash or a random value to a number from 0 to 1, with 1 excluded.
constexpr double unitValue(std::uint64_t Bits) {
  constexpr unsigned UnusedBits = 11; // A double has 53 significant bits.
  return static_cast<double>(Bits >> UnusedBits) * 0x1.0p-53;
}

/// @brief Orders names by rendezvous hashing, so that a member's leaving moves only the keys it held.
/// @param Key the key to place
/// @param Names the members
/// @return the names, the preferred one first
/// @complexity O(n log n) in the number of members
std::vector<std::string> rendezvousOrder(std::string_view Key, std::vector<std::string> Names);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CORE_HASH_H
