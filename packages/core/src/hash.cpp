#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bulrushpitch {

namespace {

/// The finaliser of SplitMix64. FNV-1a alone spreads short texts poorly over the high bits.
std::uint64_t finalise(std::uint64_t Value) {
  Value ^= Value >> 30U;
  Value *= 0xbf58476d1ce4e5b9U;
  Value ^= Value >> 27U;
  Value *= 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

} // namespace

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = 0xcbf29ce484222325U;
  for (char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= 0x100000001b3U;
  }
  return finalise(Hash);
}

std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right) {
  return finalise(Left ^ (Right + 0x9e3779b97f4a7c15U + (Left << 6U) + (Left >> 2U)));
}

std::vector<std::string> rendezvousOrder(std::string_view Key, std::vector<std::string> Names) {
  const std::uint64_t KeyHash = stableHash(Key);
  std::vector<std::pair<std::uint64_t, std::string>> Scored;
  Scored.reserve(Names.size());
  for (std::string &Name : Names) {
    const std::uint64_t Score = mixHash(KeyHash, stableHash(Name));
    Scored.emplace_back(Score, std::move(Name));
  }
  std::sort(Scored.begin(), Scored.end(), std::greater<>());
  std::vector<std::string> Ordered;
  Ordered.reserve(Scored.size());
  for (std::pair<std::uint64_t, std::string> &Entry : Scored)
    Ordered.push_back(std::move(Entry.second));
  return Ordered;
}

} // namespace bulrushpitch
