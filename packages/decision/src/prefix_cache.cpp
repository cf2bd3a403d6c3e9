#include "bulrushpitch/decision/prefix_cache.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bulrushpitch {

PrefixCacheIndex::PrefixCacheIndex(std::uint32_t Buckets)
    : m_Entries(static_cast<std::size_t>(std::bit_ceil(std::max(Buckets, 1U))) * BucketSize),
      m_Mask(std::bit_ceil(std::max(Buckets, 1U)) - 1) {}

PrefixCacheIndex::Marks &PrefixCacheIndex::marksOf(std::uint32_t Upstream) {
  if (Upstream >= m_Marks.size())
    m_Marks.resize(Upstream + 1);
  return m_Marks[Upstream];
}

std::uint64_t PrefixCacheIndex::firstOf(std::uint64_t Prefix) const {
  return ((Prefix ^ (Prefix >> 32U)) & m_Mask) * BucketSize;
}

bool PrefixCacheIndex::live(const Entry &Candidate) const {
  return Candidate.m_Epoch != 0 && Candidate.m_Epoch == m_Marks[Candidate.m_Upstream].m_Epoch;
}

void PrefixCacheIndex::store(std::uint64_t Prefix, std::uint32_t Upstream, float Certainty) {
  const Marks &Mark = marksOf(Upstream);
  Entry *Victim = nullptr;
  const std::uint64_t First = firstOf(Prefix);
  for (std::uint64_t At = First; At < First + BucketSize; ++At) {
    Entry &Each = m_Entries[At];
    const bool Live = live(Each);
    if (Live && Each.m_Prefix == Prefix && Each.m_Upstream == Upstream) {
      Victim = &Each;
      if (Each.m_Weakened == Mark.m_Weakened)
        Certainty = std::max(Certainty, Each.m_Certainty);
      break;
    }
    if (!Live)
      Each.m_Epoch = 0;
    if (Victim == nullptr || (Victim->m_Epoch != 0 && (!Live || Each.m_Age < Victim->m_Age)))
      Victim = &Each;
  }
  *Victim = Entry{Prefix, Upstream, Mark.m_Epoch, Mark.m_Weakened, ++m_Clock, Certainty};
}

void PrefixCacheIndex::evict(std::uint64_t Prefix, std::uint32_t Upstream) {
  const std::uint64_t First = firstOf(Prefix);
  for (std::uint64_t At = First; At < First + BucketSize; ++At)
    if (m_Entries[At].m_Prefix == Prefix && m_Entries[At].m_Upstream == Upstream)
      m_Entries[At].m_Epoch = 0;
}

void PrefixCacheIndex::clear(std::uint32_t Upstream) { ++marksOf(Upstream).m_Epoch; }

void PrefixCacheIndex::weaken(std::uint32_t Upstream) { ++marksOf(Upstream).m_Weakened; }

std::uint32_t PrefixCacheIndex::find(std::uint64_t Prefix, Holder *Out) const {
  std::uint32_t Found = 0;
  const std::uint64_t First = firstOf(Prefix);
  for (std::uint64_t At = First; At < First + BucketSize; ++At) {
    const Entry &Each = m_Entries[At];
    if (Each.m_Prefix != Prefix || !live(Each))
      continue;
    const std::uint32_t Gaps = m_Marks[Each.m_Upstream].m_Weakened - Each.m_Weakened;
    Out[Found++] = {Each.m_Upstream, std::ldexp(Each.m_Certainty, -static_cast<int>(std::min(Gaps, 30U)))};
  }
  return Found;
}

} // namespace bulrushpitch
