#include "engine.h"

#include "site.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bulrushpitch::bench {

Engine::Engine(std::uint32_t Capacity, std::uint32_t ColdLimit, double WarmUp)
    : m_Capacity(Capacity), m_ColdLimit(ColdLimit), m_WarmUp(WarmUp) {}

double Engine::slowdown() const {
  return 1.0 + (FullBatchSlowdown - 1.0) * static_cast<double>(m_Running.size()) / m_Capacity;
}

double Engine::tokensPerSecond() const {
  return static_cast<double>(m_Running.size()) / (m_Gap * slowdown());
}

std::uint32_t Engine::limit(double Now) const {
  if (!cold(Now))
    return 3 * m_Capacity; // A batch, and twice as much queued.
  const double Share = (Now - m_ColdSince) / m_WarmUp;
  return m_ColdLimit + static_cast<std::uint32_t>(Share * (m_Capacity - m_ColdLimit));
}

void Engine::touchPrefix(std::uint64_t Prefix) {
  if (const auto Found = m_Cached.find(Prefix); Found != m_Cached.end()) {
    m_Recent.splice(m_Recent.begin(), m_Recent, Found->second);
    return;
  }
  m_Recent.push_front(Prefix);
  m_Cached[Prefix] = m_Recent.begin();
  m_Events.emplace_back(Prefix, true);
  if (m_Recent.size() <= CachedPrefixes)
    return;
  m_Events.emplace_back(m_Recent.back(), false);
  m_Cached.erase(m_Recent.back());
  m_Recent.pop_back();
}

double Engine::cachedShare(const std::vector<std::uint64_t> &Prefixes) const {
  for (std::size_t Length = Prefixes.size(); Length > 0; --Length)
    if (m_Cached.contains(Prefixes[Length - 1]))
      return static_cast<double>(Length) / static_cast<double>(Prefixes.size() + 1);
  return 0.0;
}

void Engine::start(Work Added) {
  const double Uncached = Added.m_PromptTokens * (1.0 - cachedShare(Added.m_Prefixes));
  for (std::uint64_t Each : Added.m_Prefixes)
    touchPrefix(Each);
  m_Gap = Added.m_BaseGap;
  const double First = Uncached / Added.m_PrefillPerSecond + Added.m_BaseGap;
  m_Running.push_back({Added.m_Attempt, First, First + Added.m_BaseGap * (Added.m_Tokens - 1.0), false});
}

bool Engine::submit(Work Added, double Now) {
  m_Now = std::max(m_Now, Now);
  if (running() + queued() >= limit(Now))
    return false;
  if (running() < m_Capacity)
    start(std::move(Added));
  else
    m_Queue.push_back(std::move(Added));
  return true;
}

void Engine::cancel(std::uint32_t Attempt) {
  std::erase_if(m_Queue, [&](const Work &Each) { return Each.m_Attempt == Attempt; });
  std::erase_if(m_Running, [&](const Stream &Each) { return Each.m_Attempt == Attempt; });
  while (running() < m_Capacity && !m_Queue.empty()) {
    start(std::move(m_Queue.front()));
    m_Queue.pop_front();
  }
}

double Engine::nextEvent() const {
  double Least = std::numeric_limits<double>::infinity();
  for (const Stream &Each : m_Running)
    Least = std::min(Least, Each.m_Started ? Each.m_UntilEnd : Each.m_UntilFirst);
  return m_Now + std::max(Least, 0.0) * slowdown();
}

void Engine::advance(double Now, std::vector<Progress> &Out) {
  while (m_Now < Now) {
    const double Until = std::min(Now, nextEvent());
    const double Done = (Until - m_Now) / slowdown();
    m_Now = Until;
    for (Stream &Each : m_Running) {
      Each.m_UntilFirst -= Done;
      Each.m_UntilEnd -= Done;
    }
    constexpr double Rounding = 1e-9;
    bool Any = false;
    for (Stream &Each : m_Running)
      if (!Each.m_Started && Each.m_UntilFirst <= Rounding) {
        Each.m_Started = Any = true;
        Out.push_back({Each.m_Attempt, false});
      }
    for (const Stream &Each : m_Running)
      if (Each.m_Started && Each.m_UntilEnd <= Rounding) {
        Any = true;
        Out.push_back({Each.m_Attempt, true});
      }
    std::erase_if(m_Running,
                  [](const Stream &Each) { return Each.m_Started && Each.m_UntilEnd <= Rounding; });
    while (running() < m_Capacity && !m_Queue.empty()) {
      start(std::move(m_Queue.front()));
      m_Queue.pop_front();
    }
    if (!Any && Until >= Now)
      return;
  }
}

std::vector<std::pair<std::uint64_t, bool>> Engine::takeCacheEvents() { return std::exchange(m_Events, {}); }

std::vector<std::uint32_t> Engine::restart(double Now) {
  std::vector<std::uint32_t> Lost;
  for (const Stream &Each : m_Running)
    Lost.push_back(Each.m_Attempt);
  for (const Work &Each : m_Queue)
    Lost.push_back(Each.m_Attempt);
  m_Running.clear();
  m_Queue.clear();
  m_Recent.clear();
  m_Cached.clear();
  m_ColdSince = Now;
  m_WarmAt = Now + m_WarmUp;
  ++m_Starts;
  return Lost;
}

} // namespace bulrushpitch::bench
