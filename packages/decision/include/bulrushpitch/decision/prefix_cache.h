#ifndef BULRUSHPITCH_DECISION_PREFIX_CACHE_H
#define BULRUSHPITCH_DECISION_PREFIX_CACHE_H

#include <cstdint>
#include <vector>

namespace bulrushpitch {

/// @brief A change in an engine's prefix cache.
struct CacheEvent {
  enum class Kind : std::uint8_t { Stored, Evicted, Cleared };
  std::uint64_t m_Sequence = 0; ///< Increases by one with each event of an upstream.
  Kind m_Kind = Kind::Stored;
  std::uint64_t m_Prefix = 0; ///< Hash of the prefix; unused for Cleared.
};

/// @brief A bounded index of the upstreams that are assumed to cache a prefix.
///
/// A hash table whose buckets hold eight entries each; a full bucket drops its oldest entry. After
/// construction memory is allocated only for the counters of an upstream that has not been seen before.
class PrefixCacheIndex {
public:
  /// @brief An upstream that is assumed to cache a prefix.
  struct Match {
    std::uint32_t m_Upstream = 0;
    float m_Certainty = 0.0F; ///< 1 after an engine's event; lower after lost events or if only assumed.
  };
  static constexpr std::uint32_t BucketSize = 8;

  /// @param BucketCount number of buckets, rounded up to a power of two
  explicit PrefixCacheIndex(std::uint32_t BucketCount = 4096);

  /// @brief Records that an upstream caches a prefix.
  /// @param Prefix hash of the prefix
  /// @param Certainty from 0 to 1
  /// @complexity constant
  void store(std::uint64_t Prefix, std::uint32_t Upstream, float Certainty);
  /// @brief Records that an upstream no longer caches a prefix.
  void evict(std::uint64_t Prefix, std::uint32_t Upstream);
  /// @brief Drops all entries of an upstream.
  /// @complexity constant
  void clear(std::uint32_t Upstream);
  /// @brief Halves the certainty of all entries of an upstream. Used after lost events, as some of them may
  /// have been evictions.
  /// @complexity constant
  void halveCertainty(std::uint32_t Upstream);

  /// @brief Finds the upstreams that are assumed to cache a prefix.
  /// @param Matches array of at least BucketSize elements that receives the matches
  /// @return number of matches
  /// @complexity constant
  std::uint32_t find(std::uint64_t Prefix, Match *Matches) const;

private:
  struct Entry {
    std::uint64_t m_Prefix = 0;
    std::uint32_t m_Upstream = 0;
    std::uint32_t m_Epoch = 0;           ///< The upstream's epoch at insertion; 0 marks a free entry.
    std::uint32_t m_Halvings = 0;        ///< The upstream's halvings at insertion.
    std::uint32_t m_InsertionNumber = 0; ///< Value of m_Insertions at insertion; the lowest is the oldest.
    float m_Certainty = 0.0F;
  };
  /// Counters of an upstream that let clear() and halveCertainty() run in constant time: entries compare them
  /// with the values at their insertion.
  struct UpstreamCounters {
    std::uint32_t m_Epoch = 1;
    std::uint32_t m_Halvings = 0;
  };

  UpstreamCounters &countersOf(std::uint32_t Upstream);
  std::uint64_t bucketStart(std::uint64_t Prefix) const;
  bool isLive(const Entry &Candidate) const;

  std::vector<Entry> m_Entries;
  std::vector<UpstreamCounters> m_Counters;
  std::uint64_t m_Mask = 0;
  std::uint32_t m_Insertions = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_PREFIX_CACHE_H
