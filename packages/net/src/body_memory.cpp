#include "detail/body_memory.h"

#include <algorithm>

namespace bulrushpitch::detail {

bool BodyReservation::resize(std::size_t Bytes, std::size_t Limit) {
  if (m_Evicted)
    return false;
  m_Memory.m_Reserved += Bytes - m_Bytes;
  m_Bytes = Bytes;
  while (m_Memory.m_Reserved > Limit && !m_Memory.m_Reading.empty()) {
    BodyReservation *Largest =
        *std::max_element(m_Memory.m_Reading.begin(), m_Memory.m_Reading.end(),
                          [](const BodyReservation *Left, const BodyReservation *Right) {
                            return Left->m_Bytes < Right->m_Bytes;
                          });
    Largest->evict();
    if (Largest == this)
      return false;
  }
  return true;
}

void BodyReservation::evict() {
  m_Memory.m_Reading.erase(this);
  m_Memory.m_Reserved -= m_Bytes;
  m_Bytes = 0;
  m_Evicted = true;
  boost::system::error_code Ignored;
  m_Connection.m_Socket.cancel(Ignored);
}

} // namespace bulrushpitch::detail
