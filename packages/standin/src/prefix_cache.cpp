#include "prefix_cache.h"

#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/standin/answers.h"

namespace bulrushpitch::standin {

namespace {

constexpr std::size_t MaxEvents = 10'000;

} // namespace

std::size_t PrefixCache::use(const std::string &Version, const std::vector<std::uint64_t> &Hashes,
                             TimePoint Now) {
  std::size_t Cached = 0;
  while (Cached < Hashes.size() && contains(Version, Hashes[Cached]))
    ++Cached;
  // From the last block to the first, so that a prompt's early blocks, which others share, are evicted last.
  for (auto Hash = Hashes.rbegin(); Hash != Hashes.rend(); ++Hash) {
    const Block Used{Version, *Hash};
    const auto Known = m_Index.find(Used);
    if (Known != m_Index.end()) {
      m_ByUse.splice(m_ByUse.begin(), m_ByUse, Known->second);
      continue;
    }
    m_ByUse.push_front(Used);
    m_Index[Used] = m_ByUse.begin();
    record(true, Used, Now);
  }
  while (m_ByUse.size() > m_MaxBlocks) {
    record(false, m_ByUse.back(), Now);
    m_Index.erase(m_ByUse.back());
    m_ByUse.pop_back();
  }
  return Cached;
}

void PrefixCache::record(bool Stored, const Block &Changed, TimePoint Now) {
  ++m_Sequence;
  if (static_cast<double>(mixHash(Changed.second, m_Sequence) % 1000) < m_EventLoss * 1000.0)
    return;
  m_Events.push_back(Event{m_Sequence, Now, Stored, Changed});
  if (m_Events.size() > MaxEvents)
    m_Events.pop_front();
}

void PrefixCache::clear() {
  m_ByUse.clear();
  m_Index.clear();
  m_Events.clear();
  m_Sequence = 0;
}

nlohmann::json PrefixCache::events(std::uint64_t After, TimePoint ShownUntil) const {
  nlohmann::json Shown = nlohmann::json::array();
  std::uint64_t Next = After;
  for (const Event &Change : m_Events) {
    if (Change.m_Time > ShownUntil)
      break;
    if (Change.m_Sequence <= After)
      continue;
    Next = Change.m_Sequence;
    Shown.push_back({{"sequence", Change.m_Sequence},
                     {"kind", Change.m_Stored ? "stored" : "evicted"},
                     {"prefix", hexText(Change.m_Block.second)},
                     {"version", Change.m_Block.first},
                     {"tokens", BlockTokens}});
  }
  return {{"next", Next}, {"events", Shown}};
}

} // namespace bulrushpitch::standin
