#ifndef BULRUSHPITCH_DECISION_BENCH_ENGINE_H
#define BULRUSHPITCH_DECISION_BENCH_ENGINE_H

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace bulrushpitch::bench {

/// @brief A model of an engine with continuous batching and a prefix cache.
///
/// All running streams advance at the same rate, which falls as the batch fills. Work is counted in tokens;
/// reading the part of a prompt that is not cached counts as the tokens that would be generated in that time.
/// Time is in seconds.
class Engine {
public:
  struct Work {
    std::uint32_t m_Attempt = 0;
    double m_PromptTokens = 0.0;
    double m_Tokens = 0.0;
    double m_BaseGap = 0.0;
    double m_PrefillPerSecond = 1.0;
    std::vector<std::uint64_t> m_Prefixes;
  };
  struct Progress {
    std::uint32_t m_Attempt = 0;
    bool m_Finished = false; ///< Otherwise the first token was generated.
  };

  Engine(std::uint32_t Capacity, std::uint32_t ColdLimit, double WarmUp);

  /// @return whether the work is taken; a full queue or a cold engine at its limit refuses it
  bool submit(Work Added, double Now);
  void cancel(std::uint32_t Attempt);
  /// @brief Advances to a time and reports what happened on the way.
  void advance(double Now, std::vector<Progress> &Out);
  /// @return when something happens next, or infinity
  double nextEvent() const;
  /// @brief Restarts cold: all work is lost, the cache is empty.
  std::vector<std::uint32_t> restart(double Now);

  std::uint32_t running() const { return static_cast<std::uint32_t>(m_Running.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(m_Queue.size()); }
  bool cold(double Now) const { return Now < m_WarmAt; }
  std::uint32_t limit(double Now) const;
  std::uint32_t starts() const { return m_Starts; }
  double tokensPerSecond() const;
  /// @return the share of the longest cached prefix
  double cachedShare(const std::vector<std::uint64_t> &Prefixes) const;
  /// @brief Changes of the cache since the last call: a prefix and whether it was stored.
  std::vector<std::pair<std::uint64_t, bool>> takeCacheEvents();
  std::uint32_t capacity() const { return m_Capacity; }
  void makeWarm() { m_WarmAt = 0.0; }

private:
  struct Stream {
    std::uint32_t m_Attempt = 0;
    double m_UntilFirst = 0.0; ///< Seconds of batch time at the rate of a single stream.
    double m_UntilEnd = 0.0;
    bool m_Started = false;
  };
  double slowdown() const;
  void start(Work Added);
  void touchPrefix(std::uint64_t Prefix);

  static constexpr std::size_t CachedPrefixes = 48;
  std::uint32_t m_Capacity;
  std::uint32_t m_ColdLimit;
  double m_WarmUp;
  double m_WarmAt = 0.0;
  double m_ColdSince = 0.0;
  std::uint32_t m_Starts = 1;
  double m_Now = 0.0;
  double m_Gap = 0.01;
  std::vector<Stream> m_Running;
  std::deque<Work> m_Queue;
  std::list<std::uint64_t> m_Recent; ///< Cached prefixes, the latest used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_Cached;
  std::vector<std::pair<std::uint64_t, bool>> m_Events;
};

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_ENGINE_H
