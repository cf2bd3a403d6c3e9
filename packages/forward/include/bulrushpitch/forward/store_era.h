#ifndef BULRUSHPITCH_FORWARD_STORE_ERA_H
#define BULRUSHPITCH_FORWARD_STORE_ERA_H

#include "bulrushpitch/core/strong.h"

#include <cstdint>
#include <optional>

namespace bulrushpitch {

/// @brief Number of times that the store has come back from a copy. Row versions of different eras cannot be
/// compared: a restore gives the versions of the lost changes out again. 0 for a store that states none.
using StoreEra = Strong<struct StoreEraTag, std::uint64_t>;

/// @brief Position in the change feed of the store: a version, and the era that it belongs to.
struct StoreCursor {
  StoreEra m_Era;
  std::uint64_t m_Version = 0;
};

/// @brief Tells from the eras of the store's responses when it was restored, and which responses, cursors and
/// row versions are still valid.
///
/// The responses of several calls may arrive in any order. Not thread-safe.
class StoreEraTracker {
public:
  /// @brief Takes the era of a response.
  /// @return the latest era before, if this one is later: the store was restored since
  std::optional<StoreEra> observe(StoreEra Era);
  /// @return the latest era seen; 0 before the first response
  StoreEra current() const { return m_Current.value_or(StoreEra()); }
  /// @return whether something read in this era has been lost or replaced by a restore since
  bool isStale(StoreEra Era) const { return Era < current(); }
  /// @return whether a response can be applied
  /// @param WatchedFrom the cursor of a watch; nothing for a full snapshot
  bool accepts(StoreEra Response, const std::optional<StoreCursor> &WatchedFrom) const {
    return Response == current() && (!WatchedFrom || WatchedFrom->m_Era == Response);
  }
  /// @return the number of restores noticed; several between two responses count as one
  std::uint64_t restores() const { return m_Restores; }

private:
  std::optional<StoreEra> m_Current;
  std::uint64_t m_Restores = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_STORE_ERA_H
