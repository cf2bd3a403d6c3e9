#include "bulrushpitch/rpc/messages.h"

#include <array>

namespace bulrushpitch {

std::string_view nameOf(PeerMethod Value) {
  static constexpr std::array<std::string_view, peerMethodCount> Names{
      "exchange",    "fetch", "acquirePermit", "renewPermit", "releasePermit", "holdCharges",
      "dropCharges", "probe", "timeline",      "status",      "watchTables"};
  const std::size_t Index = static_cast<std::size_t>(Value);
  return Index < Names.size() ? Names[Index] : "unknown";
}

std::string_view nameOf(PeerMemberState Value) {
  switch (Value) {
  case PeerMemberState::Alive:
    return "alive";
  case PeerMemberState::Suspect:
    return "suspect";
  case PeerMemberState::Dead:
    return "dead";
  case PeerMemberState::Left:
    return "left";
  }
  return "unknown";
}

} // namespace bulrushpitch
