#ifndef BULRUSHPITCH_NET_SRC_DETAIL_BODY_MEMORY_H
#define BULRUSHPITCH_NET_SRC_DETAIL_BODY_MEMORY_H

/// @file
/// @brief Limits the memory that the request bodies of all connections hold together.

#include "detail/deadlines.h"

#include <cstddef>
#include <unordered_set>

namespace bulrushpitch::detail {

class BodyReservation;

/// @brief The memory that request bodies hold, over all connections of a listener.
class BodyMemory {
public:
  /// @return bytes that are reserved now
  std::size_t reserved() const { return m_Reserved; }

private:
  friend class BodyReservation;
  std::size_t m_Reserved = 0;
  std::unordered_set<BodyReservation *> m_Reading;
};

/// @brief The share of one request, from its first byte to the end of its response.
///
/// When the limit is reached, the largest body that is still being read gives way: it is the one that frees
/// most, and callers with small bodies go on. A body that has been read whole stays.
class BodyReservation {
public:
  BodyReservation(BodyMemory &Memory, Watched &Connection) : m_Memory(Memory), m_Connection(Connection) {
    m_Memory.m_Reading.insert(this);
  }
  ~BodyReservation() {
    m_Memory.m_Reading.erase(this);
    m_Memory.m_Reserved -= m_Bytes;
  }
  BodyReservation(const BodyReservation &) = delete;
  BodyReservation &operator=(const BodyReservation &) = delete;

  /// @brief Sets what the body holds now.
  /// @param Limit for all bodies together
  /// @return false if this request has to give way
  bool resize(std::size_t Bytes, std::size_t Limit);
  /// @brief The body has been read whole.
  void endReading() { m_Memory.m_Reading.erase(this); }
  /// @return whether the request was made to give way
  bool evicted() const { return m_Evicted; }

private:
  void evict();

  BodyMemory &m_Memory;
  Watched &m_Connection;
  std::size_t m_Bytes = 0;
  bool m_Evicted = false;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_BODY_MEMORY_H
