#ifndef BULRUSHPITCH_DECISION_PREFIX_CACHE_H
#define BULRUSHPITCH_DECISION_PREFIX_CACHE_H

#include <cstdint>
#include <vector>

namespace bulrushpitch {

/// @brief A change of an engine's prefix cache.
struct CacheEvent {
  enum class Kind : std::uint8_t { Stored, Evicted, Cleared };
  std::uint64_t m_Sequence = 0; ///< Rises by one per event of an upstream.
  Kind m_Kind = Kind::Stored;
  std::uint64_t m_Prefix = 0; ///< Hash of the prefix; unused for Cleared.
};

/// @brief A bounded record of which upstreams are thought to hold which prefixes.
///
/// Buckets hold eight entries; a full bucket drops its oldest entry. Nothing is allocated after construction.
class PrefixCacheIndex {
public:
  /// @brief An upstream that is thought to hold a prefix.
  struct Holder {
    std::uint32_t m_Upstream = 0;
    float m_Certainty = 0.0F; ///< 1 after an event, less after a gap in the events or for an assumption.
  };
  static constexpr std::uint32_t BucketSize = 8;

  /// @param Buckets number of buckets, rounded up to a power of two
  explicit PrefixCacheIndex(std::uint32_t Buckets = 4096);

  /// @brief Notes that an upstream holds a prefix.
  /// @complexity constant
  void store(std::uint64_t Prefix, std::uint32_t Upstream, float Certainty);
  /// @brief Notes that an upstream no longer holds a prefix.
  void evict(std::uint64_t Prefix, std::uint32_t Upstream);
  /// @brief Drops all entries of an upstream.
  /// @complexity constant
  void clear(std::uint32_t Upstream);
  /// @brief Halves the certainty of all entries of an upstream: events were lost, and some may be evictions.
  /// @complexity constant
  void weaken(std::uint32_t Upstream);

  /// @brief Finds the holders of a prefix.
  /// @param Out receives at most BucketSize holders
  /// @return their number
  /// @complexity constant
  std::uint32_t find(std::uint64_t Prefix, Holder *Out) const;

private:
  struct Entry {
    std::uint64_t m_Prefix = 0;
    std::uint32_t m_Upstream = 0;
    std::uint32_t m_Epoch = 0; ///< Of the upstream; 0 marks a free entry.
    std::uint32_t m_Weakened = 0;
    std::uint32_t m_Age = 0;
    float m_Certainty = 0.0F;
  };
  /// Counters that let clear and weaken take constant time.
  struct Marks {
    std::uint32_t m_Epoch = 1;
    std::uint32_t m_Weakened = 0;
  };

  Marks &marksOf(std::uint32_t Upstream);
  std::uint64_t firstOf(std::uint64_t Prefix) const;
  bool live(const Entry &Candidate) const;

  std::vector<Entry> m_Entries;
  std::vector<Marks> m_Marks;
  std::uint64_t m_Mask = 0;
  std::uint32_t m_Clock = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_PREFIX_CACHE_H
