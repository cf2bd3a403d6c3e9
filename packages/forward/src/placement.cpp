#include "bulrushpitch/forward/placement.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bulrushpitch {

namespace {

/// What a running request adds to the wait of others: each one slows the batch a little.
constexpr Duration RunningRequestTime = std::chrono::milliseconds(3);
/// An answer's events that are counted as wait: the pauses of a busy upstream stand for the work that the
/// other daemons send it.
constexpr int EventsThatCount = 4;
/// Keeps short prompts with equal waits at the upstream of their affinity.
constexpr Duration LeavingHomeTime = std::chrono::milliseconds(5);
/// Weight of upstreams in the own failure domain: traffic between domains costs.
constexpr double OwnDomainWeight = 2.0;
/// So small that a key's upstream is in another region only if the own one has none.
constexpr double OtherRegionWeight = 1e-6;
/// Wait in the own region that is accepted before a prompt is sent to another: two crossings, and bytes that
/// cost.
constexpr Duration LeavingRegionTime = std::chrono::milliseconds(150);
/// What a request waits at an upstream whose slots are all taken.
constexpr Duration FullUpstreamTime = std::chrono::milliseconds(1500);
/// Expected costs of distance and of a place in the queue, in milliseconds.
constexpr double OtherDomainMs = 2.0;
constexpr double OtherRegionMs = 60.0;
constexpr double QueuedRequestMs = 60.0;
/// A single upstream has nowhere to leave a burst to, and looks slow for it.
constexpr std::size_t LeastSharing = 2;
constexpr double HashRange = 18446744073709551616.0; // 2^64

bool contains(const std::vector<RegionId> &Regions, const RegionId &Region) {
  return Regions.empty() || std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
}

bool allowed(const PooledUpstream &Candidate, const PlacementQuery &Query) {
  return Query.m_Versions.allows(Candidate.m_Entry.m_Version) &&
         contains(Query.m_Regions, Candidate.m_Region) && contains(Query.m_TeamRegions, Candidate.m_Region);
}

bool tried(const PooledUpstream &Candidate, const PlacementQuery &Query) {
  return std::find(Query.m_Tried.begin(), Query.m_Tried.end(), Candidate.m_Entry.m_Id) != Query.m_Tried.end();
}

std::uint32_t coldShare(const PooledUpstream &Candidate, const PlacementQuery &Query,
                        const PlacementContext &Here) {
  const std::uint32_t Rank = daemonRank(Candidate.m_Entry.m_Id.value(), Here);
  const std::uint32_t Daemons = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Here.m_Daemons.size()));
  return shareOfColdLimit(Query.m_ColdPerSecond, Daemons, Rank);
}

bool admits(const UpstreamPool &Pool, const PooledUpstream &Candidate, const PlacementQuery &Query,
            const PlacementContext &Here, TimePoint Now) {
  if (Query.m_ColdPerSecond <= 0.0 || !Pool.cold(Candidate, Now))
    return true;
  return Candidate.m_ColdPacer.ready(Now, coldShare(Candidate, Query, Here));
}

/// Weighted rendezvous hashing: the highest score takes the key.
double affinityScore(const PooledUpstream &Candidate, std::uint64_t Key, const PlacementContext &Here) {
  const std::uint64_t Hash = mixHash(Key, stableHash(Candidate.m_Entry.m_Id.value()));
  const double Uniform = (static_cast<double>(Hash) + 0.5) / HashRange;
  double Weight = 1.0;
  if (Candidate.m_Region != Here.m_Region)
    Weight = OtherRegionWeight;
  else if (Candidate.m_Entry.m_Domain == Here.m_Domain)
    Weight = OwnDomainWeight;
  return -Weight / std::log(Uniform);
}

double expectedWaitMs(const PooledUpstream &Candidate, std::size_t Upstreams, const PlacementContext &Here) {
  const double PerUpstream = static_cast<double>(Here.m_Daemons.size()) / static_cast<double>(Upstreams);
  const double Load = static_cast<double>(Candidate.m_InFlight) * std::max(1.0, PerUpstream) + 1.0;
  const double Slots = static_cast<double>(std::max(1U, Candidate.m_Entry.m_Slots));
  double Wait = std::max(0.0, Load - Slots) / Slots * QueuedRequestMs + Load / Slots;
  if (Candidate.m_Region != Here.m_Region)
    Wait += OtherRegionMs;
  else if (Candidate.m_Entry.m_Domain != Here.m_Domain)
    Wait += OtherDomainMs;
  return Wait;
}

/// Requests at the upstream, if the other daemons of its region send it as many as this one.
std::uint32_t likelyLoad(const PooledUpstream &Candidate, const PlacementContext &Here) {
  constexpr std::size_t UsualRegions = 2;
  const std::size_t Senders = std::max<std::size_t>(1, Here.m_Daemons.size() / UsualRegions);
  return Candidate.m_InFlight * static_cast<std::uint32_t>(Senders);
}

PooledUpstream *byAffinity(const UpstreamPool &Pool, const std::vector<PooledUpstream *> &Candidates,
                           const PlacementQuery &Query, const PlacementContext &Here, TimePoint Now) {
  PooledUpstream *Home = nullptr;
  double HomeScore = -std::numeric_limits<double>::infinity();
  for (PooledUpstream *Candidate : Candidates) {
    const double Score = affinityScore(*Candidate, *Query.m_Affinity, Here);
    if (Score > HomeScore) {
      Home = Candidate;
      HomeScore = Score;
    }
  }
  const auto Cost = [&](const PooledUpstream &Candidate) {
    Duration Wait = Candidate.m_PendingWork + RunningRequestTime * Candidate.m_InFlight;
    Wait += Pool.eventGap(Candidate, Now) * EventsThatCount;
    if (likelyLoad(Candidate, Here) >= Candidate.m_Entry.m_Slots)
      Wait += FullUpstreamTime;
    if (Candidate.m_Region != Here.m_Region)
      Wait += LeavingRegionTime;
    if (&Candidate != Home)
      Wait += Query.m_SharedWork + LeavingHomeTime;
    return Wait;
  };
  return *std::min_element(
      Candidates.begin(), Candidates.end(),
      [&](const PooledUpstream *Left, const PooledUpstream *Right) { return Cost(*Left) < Cost(*Right); });
}

PooledUpstream *byWait(const std::vector<PooledUpstream *> &Candidates, const PlacementContext &Here) {
  return *std::min_element(Candidates.begin(), Candidates.end(),
                           [&](const PooledUpstream *Left, const PooledUpstream *Right) {
                             return expectedWaitMs(*Left, Candidates.size(), Here) <
                                    expectedWaitMs(*Right, Candidates.size(), Here);
                           });
}

/// Keeps a part of the candidates, the same ones at every daemon of the region.
void keepShare(std::vector<PooledUpstream *> &Candidates, double Share) {
  const double Part = std::ceil(Share * static_cast<double>(Candidates.size()));
  const std::size_t Kept = std::max(LeastSharing, static_cast<std::size_t>(Part));
  if (Kept >= Candidates.size())
    return;
  std::sort(Candidates.begin(), Candidates.end(),
            [](const PooledUpstream *Left, const PooledUpstream *Right) {
              return stableHash(Left->m_Entry.m_Id.value()) < stableHash(Right->m_Entry.m_Id.value());
            });
  Candidates.resize(Kept);
}

/// Keeps the candidates that satisfy a condition, unless none does.
template <typename Condition> void prefer(std::vector<PooledUpstream *> &Candidates, Condition Satisfies) {
  std::vector<PooledUpstream *> Kept;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Kept),
               [&](const PooledUpstream *Candidate) { return Satisfies(*Candidate); });
  if (!Kept.empty())
    Candidates = std::move(Kept);
}

} // namespace

std::uint32_t daemonRank(std::string_view Key, const PlacementContext &Here) {
  const std::uint64_t KeyHash = stableHash(Key);
  const std::uint64_t Own = mixHash(KeyHash, stableHash(Here.m_Instance.value()));
  return static_cast<std::uint32_t>(
      std::count_if(Here.m_Daemons.begin(), Here.m_Daemons.end(), [&](const InstanceId &Daemon) {
        return mixHash(KeyHash, stableHash(Daemon.value())) < Own;
      }));
}

std::string_view nameOf(NoPlace Value) {
  switch (Value) {
  case NoPlace::NoUpstream:
    return "no upstream";
  case NoPlace::AllCold:
    return "all upstreams are cold";
  case NoPlace::AllTried:
    return "all upstreams were tried";
  }
  return "unknown";
}

Placement place(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Here,
                TimePoint Now) {
  std::vector<PooledUpstream *> Candidates;
  NoPlace Obstacle = NoPlace::NoUpstream;
  for (PooledUpstream *Candidate : Pool.ofService(Query.m_Service)) {
    if (!Pool.usable(*Candidate, Now) || !allowed(*Candidate, Query))
      continue;
    if (tried(*Candidate, Query))
      Obstacle = Obstacle == NoPlace::NoUpstream ? NoPlace::AllTried : Obstacle;
    else if (!admits(Pool, *Candidate, Query, Here, Now))
      Obstacle = NoPlace::AllCold;
    else
      Candidates.push_back(Candidate);
  }
  if (Candidates.empty())
    return {nullptr, Obstacle, "no upstream can take it"};

  prefer(Candidates, [&](const PooledUpstream &Candidate) { return !Pool.ejected(Candidate, Now); });
  prefer(Candidates,
         [&](const PooledUpstream &Candidate) { return !Pool.unreachable(Candidate.m_Entry.m_Domain, Now); });
  if (Query.m_Affinity)
    prefer(Candidates, [&](const PooledUpstream &Candidate) { return !Pool.cold(Candidate, Now); });
  if (Query.m_Versions.m_UpstreamShare < 1.0) {
    prefer(Candidates, [&](const PooledUpstream &Candidate) { return Candidate.m_Region == Here.m_Region; });
    keepShare(Candidates, Query.m_Versions.m_UpstreamShare);
  }
  PooledUpstream *Chosen =
      Query.m_Affinity ? byAffinity(Pool, Candidates, Query, Here, Now) : byWait(Candidates, Here);
  if (Query.m_ColdPerSecond > 0.0 && Pool.cold(*Chosen, Now))
    Chosen->m_ColdPacer.take(Now, coldShare(*Chosen, Query, Here));
  return {Chosen, Obstacle, Query.m_Affinity ? "affinity" : "least wait"};
}

} // namespace bulrushpitch
