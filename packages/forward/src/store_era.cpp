#include "bulrushpitch/forward/store_era.h"

namespace bulrushpitch {

std::optional<StoreEra> StoreEraTracker::observe(StoreEra Era) {
  if (!m_Current) {
    m_Current = Era;
    return std::nullopt;
  }
  if (Era <= *m_Current)
    return std::nullopt;
  const StoreEra Before = *m_Current;
  m_Current = Era;
  ++m_Restores;
  return Before;
}

} // namespace bulrushpitch
