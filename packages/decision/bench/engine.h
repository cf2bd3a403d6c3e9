#ifndef BULRUSHPITCH_DECISION_BENCH_ENGINE_H
#define BULRUSHPITCH_DECISION_BENCH_ENGINE_H

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace bulrushpitch::bench {

/// @brief Model of an engine with continuous batching and a prefix cache.
///
/// All running streams advance at the same rate, which falls as the batch fills. A stream first spends the
/// prefill time of the part of its prompt that is not cached, then one token interval per token; both are
/// slowed down by the batch alike. All times are in seconds.
class Engine {
public:
  struct Request {
    std::uint32_t m_Attempt = 0;
    double m_PromptTokens = 0.0;
    double m_Tokens = 0.0;
    double m_TokenInterval = 0.0; ///< Seconds between tokens of a single stream.
    double m_PrefillTokensPerSecond = 1.0;
    std::vector<std::uint64_t> m_Prefixes;
  };
  struct StreamEvent {
    std::uint32_t m_Attempt = 0;
    bool m_Finished = false; ///< Whether the last token was generated; otherwise it was the first one.
  };

  Engine(std::uint32_t Capacity, std::uint32_t ColdLimit, double WarmUpSeconds);

  /// @return whether the request is accepted; false if the queue is full or a cold engine is at its limit
  bool submit(Request Submitted, double Now);
  void cancel(std::uint32_t Attempt);
  /// @brief Advances the model to a time and appends the stream events until then.
  void advance(double Now, std::vector<StreamEvent> &Events);
  /// @return time of the next stream event, or infinity
  double nextEvent() const;
  /// @brief Restarts the engine cold, with an empty cache.
  /// @return attempts of the running and queued requests, which are lost
  std::vector<std::uint32_t> restart(double Now);

  std::uint32_t running() const { return static_cast<std::uint32_t>(m_Running.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(m_Queue.size()); }
  bool isCold(double Now) const { return Now < m_WarmAt; }
  /// @return number of running and queued requests at which submit() refuses further ones
  std::uint32_t acceptanceLimit(double Now) const;
  std::uint32_t startCount() const { return m_StartCount; }
  double tokensPerSecond() const;
  /// @return share of the prompt that the longest cached prefix covers
  double cachedShare(const std::vector<std::uint64_t> &Prefixes) const;
  /// @return cache changes since the last call, each a prefix and whether it was stored (true) or evicted
  std::vector<std::pair<std::uint64_t, bool>> takeCacheEvents();
  std::uint32_t capacity() const { return m_Capacity; }
  void makeWarm() { m_WarmAt = 0.0; }

private:
  struct Stream {
    std::uint32_t m_Attempt = 0;
    double m_SecondsToFirstToken = 0.0; ///< At the rate of a single stream.
    double m_SecondsToEnd = 0.0;
    bool m_FirstTokenSent = false;
  };
  double slowdown() const;
  void start(Request Started);
  void usePrefix(std::uint64_t Prefix);

  static constexpr std::size_t MaxCachedPrefixes = 48;
  std::uint32_t m_Capacity;
  std::uint32_t m_ColdLimit;
  double m_WarmUpSeconds;
  double m_WarmAt = 0.0;
  double m_StartedAt = 0.0;
  std::uint32_t m_StartCount = 1;
  double m_Now = 0.0;
  double m_CurrentTokenInterval = 0.01;
  std::vector<Stream> m_Running;
  std::deque<Request> m_Queue;
  std::list<std::uint64_t> m_LruPrefixes; ///< Cached prefixes, most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_Cached;
  std::vector<std::pair<std::uint64_t, bool>> m_CacheEvents;
};

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_ENGINE_H
