#include "bulrushpitch/decision/prefix_cache.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bulrushpitch {

PrefixCacheIndex::PrefixCacheIndex(std::uint32_t BucketCount)
    : m_Entries(static_cast<std::size_t>(std::bit_ceil(std::max(BucketCount, 1U))) * BucketSize),
      m_Mask(std::bit_ceil(std::max(BucketCount, 1U)) - 1) {}

PrefixCacheIndex::UpstreamCounters &PrefixCacheIndex::countersOf(std::uint32_t Upstream) {
  if (Upstream >= m_Counters.size())
    m_Counters.resize(Upstream + 1);
  return m_Counters[Upstream];
}

std::uint64_t PrefixCacheIndex::bucketStart(std::uint64_t Prefix) const {
  return ((Prefix ^ (Prefix >> 32U)) & m_Mask) * BucketSize;
}

bool PrefixCacheIndex::isLive(const Entry &Candidate) const {
  return Candidate.m_Epoch != 0 && Candidate.m_Epoch == m_Counters[Candidate.m_Upstream].m_Epoch;
}

void PrefixCacheIndex::store(std::uint64_t Prefix, std::uint32_t Upstream, float Certainty) {
  const UpstreamCounters &Counters = countersOf(Upstream);
  Entry *Victim = nullptr;
  const std::uint64_t First = bucketStart(Prefix);
  for (std::uint64_t Index = First; Index < First + BucketSize; ++Index) {
    Entry &Slot = m_Entries[Index];
    const bool SlotLive = isLive(Slot);
    if (SlotLive && Slot.m_Prefix == Prefix && Slot.m_Upstream == Upstream) {
      Victim = &Slot;
      if (Slot.m_Halvings == Counters.m_Halvings)
        Certainty = std::max(Certainty, Slot.m_Certainty);
      break;
    }
    if (!SlotLive)
      Slot.m_Epoch = 0;
    if (Victim == nullptr ||
        (Victim->m_Epoch != 0 && (!SlotLive || Slot.m_InsertionNumber < Victim->m_InsertionNumber)))
      Victim = &Slot;
  }
  *Victim = Entry{Prefix, Upstream, Counters.m_Epoch, Counters.m_Halvings, ++m_Insertions, Certainty};
}

void PrefixCacheIndex::evict(std::uint64_t Prefix, std::uint32_t Upstream) {
  const std::uint64_t First = bucketStart(Prefix);
  for (std::uint64_t Index = First; Index < First + BucketSize; ++Index)
    if (m_Entries[Index].m_Prefix == Prefix && m_Entries[Index].m_Upstream == Upstream)
      m_Entries[Index].m_Epoch = 0;
}

void PrefixCacheIndex::clear(std::uint32_t Upstream) { ++countersOf(Upstream).m_Epoch; }

void PrefixCacheIndex::halveCertainty(std::uint32_t Upstream) { ++countersOf(Upstream).m_Halvings; }

std::uint32_t PrefixCacheIndex::find(std::uint64_t Prefix, Match *Matches) const {
  std::uint32_t MatchCount = 0;
  const std::uint64_t First = bucketStart(Prefix);
  for (std::uint64_t Index = First; Index < First + BucketSize; ++Index) {
    const Entry &Slot = m_Entries[Index];
    if (Slot.m_Prefix != Prefix || !isLive(Slot))
      continue;
    const std::uint32_t Halvings = m_Counters[Slot.m_Upstream].m_Halvings - Slot.m_Halvings;
    Matches[MatchCount++] = {Slot.m_Upstream,
                             std::ldexp(Slot.m_Certainty, -static_cast<int>(std::min(Halvings, 30U)))};
  }
  return MatchCount;
}

} // namespace bulrushpitch
