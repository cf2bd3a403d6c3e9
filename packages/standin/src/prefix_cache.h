#ifndef BULRUSHPITCH_STANDIN_PREFIX_CACHE_H
#define BULRUSHPITCH_STANDIN_PREFIX_CACHE_H

#include "bulrushpitch/core/clock.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace bulrushpitch::standin {

/// @brief An engine's prefix cache: the least recently used blocks are evicted, and events tell of changes.
class PrefixCache {
public:
  static constexpr std::size_t BlockTokens = 64;

  PrefixCache(std::size_t MaxBlocks, double EventLoss) : m_MaxBlocks(MaxBlocks), m_EventLoss(EventLoss) {}

  /// @brief Stores the blocks of a prompt.
  /// @return how many leading blocks were cached before
  std::size_t use(const std::string &Version, const std::vector<std::uint64_t> &Hashes, TimePoint Now);
  bool contains(const std::string &Version, std::uint64_t Hash) const {
    return m_Index.contains({Version, Hash});
  }
  /// @brief Forgets blocks and events, as a restart does.
  void clear();
  /// @return the body of an answer to GET /cache-events
  /// @param ShownUntil events after this are too recent to be shown
  nlohmann::json events(std::uint64_t After, TimePoint ShownUntil) const;

private:
  using Block = std::pair<std::string, std::uint64_t>; ///< Version and prefix hash.
  struct Event {
    std::uint64_t m_Sequence = 0;
    TimePoint m_Time;
    bool m_Stored = false;
    Block m_Block;
  };

  void record(bool Stored, const Block &Changed, TimePoint Now);

  std::size_t m_MaxBlocks;
  double m_EventLoss;
  std::list<Block> m_ByUse; ///< The most recently used first.
  std::map<Block, std::list<Block>::iterator> m_Index;
  std::deque<Event> m_Events;
  std::uint64_t m_Sequence = 0;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_PREFIX_CACHE_H
