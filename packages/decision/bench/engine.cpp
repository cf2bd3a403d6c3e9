#include "engine.h"

#include "site.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bulrushpitch::bench {

Engine::Engine(std::uint32_t Capacity, std::uint32_t ColdLimit, double WarmUpSeconds)
    : m_Capacity(Capacity), m_ColdLimit(ColdLimit), m_WarmUpSeconds(WarmUpSeconds) {}

double Engine::slowdown() const {
  return 1.0 + (FullBatchSlowdown - 1.0) * static_cast<double>(m_Running.size()) / m_Capacity;
}

double Engine::tokensPerSecond() const {
  return static_cast<double>(m_Running.size()) / (m_CurrentTokenInterval * slowdown());
}

std::uint32_t Engine::acceptanceLimit(double Now) const {
  if (!isCold(Now))
    return 3 * m_Capacity; // A full batch and a queue of twice its size.
  const double Share = (Now - m_StartedAt) / m_WarmUpSeconds;
  return m_ColdLimit + static_cast<std::uint32_t>(Share * (m_Capacity - m_ColdLimit));
}

void Engine::usePrefix(std::uint64_t Prefix) {
  if (const auto Found = m_Cached.find(Prefix); Found != m_Cached.end()) {
    m_LruPrefixes.splice(m_LruPrefixes.begin(), m_LruPrefixes, Found->second);
    return;
  }
  m_LruPrefixes.push_front(Prefix);
  m_Cached[Prefix] = m_LruPrefixes.begin();
  m_CacheEvents.emplace_back(Prefix, true);
  if (m_LruPrefixes.size() <= MaxCachedPrefixes)
    return;
  m_CacheEvents.emplace_back(m_LruPrefixes.back(), false);
  m_Cached.erase(m_LruPrefixes.back());
  m_LruPrefixes.pop_back();
}

double Engine::cachedShare(const std::vector<std::uint64_t> &Prefixes) const {
  for (std::size_t Length = Prefixes.size(); Length > 0; --Length)
    if (m_Cached.contains(Prefixes[Length - 1]))
      return static_cast<double>(Length) / static_cast<double>(Prefixes.size() + 1);
  return 0.0;
}

void Engine::start(Request Started) {
  const double UncachedTokens = Started.m_PromptTokens * (1.0 - cachedShare(Started.m_Prefixes));
  for (std::uint64_t Prefix : Started.m_Prefixes)
    usePrefix(Prefix);
  m_CurrentTokenInterval = Started.m_TokenInterval;
  const double SecondsToFirstToken =
      UncachedTokens / Started.m_PrefillTokensPerSecond + Started.m_TokenInterval;
  m_Running.push_back({Started.m_Attempt, SecondsToFirstToken,
                       SecondsToFirstToken + Started.m_TokenInterval * (Started.m_Tokens - 1.0), false});
}

bool Engine::submit(Request Submitted, double Now) {
  m_Now = std::max(m_Now, Now);
  if (running() + queued() >= acceptanceLimit(Now))
    return false;
  if (running() < m_Capacity)
    start(std::move(Submitted));
  else
    m_Queue.push_back(std::move(Submitted));
  return true;
}

void Engine::cancel(std::uint32_t Attempt) {
  std::erase_if(m_Queue, [&](const Request &Candidate) { return Candidate.m_Attempt == Attempt; });
  std::erase_if(m_Running, [&](const Stream &Candidate) { return Candidate.m_Attempt == Attempt; });
  while (running() < m_Capacity && !m_Queue.empty()) {
    start(std::move(m_Queue.front()));
    m_Queue.pop_front();
  }
}

double Engine::nextEvent() const {
  double MinSeconds = std::numeric_limits<double>::infinity();
  for (const Stream &Running : m_Running)
    MinSeconds = std::min(MinSeconds,
                          Running.m_FirstTokenSent ? Running.m_SecondsToEnd : Running.m_SecondsToFirstToken);
  return m_Now + std::max(MinSeconds, 0.0) * slowdown();
}

void Engine::advance(double Now, std::vector<StreamEvent> &Events) {
  while (m_Now < Now) {
    const double StepEnd = std::min(Now, nextEvent());
    const double Elapsed = (StepEnd - m_Now) / slowdown();
    m_Now = StepEnd;
    for (Stream &Running : m_Running) {
      Running.m_SecondsToFirstToken -= Elapsed;
      Running.m_SecondsToEnd -= Elapsed;
    }
    constexpr double RoundingTolerance = 1e-9;
    bool HasEvent = false;
    for (Stream &Running : m_Running)
      if (!Running.m_FirstTokenSent && Running.m_SecondsToFirstToken <= RoundingTolerance) {
        Running.m_FirstTokenSent = HasEvent = true;
        Events.push_back({Running.m_Attempt, false});
      }
    for (const Stream &Running : m_Running)
      if (Running.m_FirstTokenSent && Running.m_SecondsToEnd <= RoundingTolerance) {
        HasEvent = true;
        Events.push_back({Running.m_Attempt, true});
      }
    std::erase_if(m_Running, [](const Stream &Running) {
      return Running.m_FirstTokenSent && Running.m_SecondsToEnd <= RoundingTolerance;
    });
    while (running() < m_Capacity && !m_Queue.empty()) {
      start(std::move(m_Queue.front()));
      m_Queue.pop_front();
    }
    if (!HasEvent && StepEnd >= Now)
      return;
  }
}

std::vector<std::pair<std::uint64_t, bool>> Engine::takeCacheEvents() {
  return std::exchange(m_CacheEvents, {});
}

std::vector<std::uint32_t> Engine::restart(double Now) {
  std::vector<std::uint32_t> LostAttempts;
  for (const Stream &Running : m_Running)
    LostAttempts.push_back(Running.m_Attempt);
  for (const Request &Queued : m_Queue)
    LostAttempts.push_back(Queued.m_Attempt);
  m_Running.clear();
  m_Queue.clear();
  m_LruPrefixes.clear();
  m_Cached.clear();
  m_StartedAt = Now;
  m_WarmAt = Now + m_WarmUpSeconds;
  ++m_StartCount;
  return LostAttempts;
}

} // namespace bulrushpitch::bench
