#include "bulrushpitch/forward/placement.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bulrushpitch {

namespace {

/// Added to the expected wait per request in flight, as each one slows the engine's batch slightly.
constexpr Duration InFlightRequestDelay = std::chrono::milliseconds(3);
/// Number of event gaps that are added to the expected wait: an upstream's event gap reflects the load from
/// the other daemons.
constexpr int CountedEventGaps = 4;
/// Penalty that keeps short prompts at the upstream of their affinity when the waits are equal.
constexpr Duration OtherUpstreamPenalty = std::chrono::milliseconds(5);
/// Hash weight of upstreams in the own failure domain, as traffic between domains costs.
constexpr double OwnDomainWeight = 2.0;
/// Hash weight so small that a key's upstream is in another region only if the own one has none.
constexpr double OtherRegionWeight = 1e-6;
/// Penalty for sending a prompt to another region: two crossings between the regions, and paid traffic.
constexpr Duration OtherRegionPenalty = std::chrono::milliseconds(150);
/// Expected wait at an upstream without free slots.
constexpr Duration FullUpstreamDelay = std::chrono::milliseconds(1500);
/// Expected delays by network distance and by a queued request, in milliseconds.
constexpr double OtherDomainMs = 2.0;
constexpr double OtherRegionMs = 60.0;
constexpr double QueuedRequestMs = 60.0;
/// Minimum number of upstreams: a single one can't pass a burst on to another and appears slow.
constexpr std::size_t MinTrialUpstreams = 2;
constexpr double HashRange = 18446744073709551616.0; // 2^64

bool regionAllowed(const std::vector<RegionId> &Regions, const RegionId &Region) {
  return Regions.empty() || std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
}

bool allowed(const PooledUpstream &Candidate, const PlacementQuery &Query) {
  return Query.m_Versions.allows(Candidate.m_Entry.m_Version) &&
         regionAllowed(Query.m_Regions, Candidate.m_Region) &&
         regionAllowed(Query.m_TeamRegions, Candidate.m_Region);
}

bool tried(const PooledUpstream &Candidate, const PlacementQuery &Query) {
  return std::find(Query.m_Tried.begin(), Query.m_Tried.end(), Candidate.m_Entry.m_Id) != Query.m_Tried.end();
}

std::uint32_t coldShare(const PooledUpstream &Candidate, const PlacementQuery &Query,
                        const PlacementContext &Context) {
  const std::uint32_t Rank = daemonRank(Candidate.m_Entry.m_Id.value(), Context);
  const std::uint32_t Daemons =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Context.m_Daemons.size()));
  return shareOfColdLimit(Query.m_ColdRequestsPerSecond, Daemons, Rank);
}

bool admits(const UpstreamPool &Pool, const PooledUpstream &Candidate, const PlacementQuery &Query,
            const PlacementContext &Context, TimePoint Now) {
  if (Query.m_ColdRequestsPerSecond <= 0.0 || !Pool.cold(Candidate, Now))
    return true;
  return Candidate.m_ColdRateLimiter.canAcquire(Now, coldShare(Candidate, Query, Context));
}

/// Score of weighted rendezvous hashing: the upstream with the highest score gets the key.
double affinityScore(const PooledUpstream &Candidate, std::uint64_t Key, const PlacementContext &Context) {
  const std::uint64_t Hash = mixHash(Key, stableHash(Candidate.m_Entry.m_Id.value()));
  const double Uniform = (static_cast<double>(Hash) + 0.5) / HashRange;
  double Weight = 1.0;
  if (Candidate.m_Region != Context.m_Region)
    Weight = OtherRegionWeight;
  else if (Candidate.m_Entry.m_Domain == Context.m_Domain)
    Weight = OwnDomainWeight;
  return -Weight / std::log(Uniform);
}

double expectedWaitMs(const PooledUpstream &Candidate, std::size_t UpstreamCount,
                      const PlacementContext &Context) {
  const double DaemonsPerUpstream =
      static_cast<double>(Context.m_Daemons.size()) / static_cast<double>(UpstreamCount);
  const double Load = static_cast<double>(Candidate.m_InFlight) * std::max(1.0, DaemonsPerUpstream) + 1.0;
  const double Slots = static_cast<double>(std::max(1U, Candidate.m_Entry.m_Slots));
  double Wait = std::max(0.0, Load - Slots) / Slots * QueuedRequestMs + Load / Slots;
  if (Candidate.m_Region != Context.m_Region)
    Wait += OtherRegionMs;
  else if (Candidate.m_Entry.m_Domain != Context.m_Domain)
    Wait += OtherDomainMs;
  return Wait;
}

/// Estimated requests in flight at the upstream if each daemon of its region sends as many as this one.
std::uint32_t estimatedInFlight(const PooledUpstream &Candidate, const PlacementContext &Context) {
  constexpr std::size_t TypicalRegionCount = 2;
  const std::size_t DaemonsPerRegion =
      std::max<std::size_t>(1, Context.m_Daemons.size() / TypicalRegionCount);
  return Candidate.m_InFlight * static_cast<std::uint32_t>(DaemonsPerRegion);
}

PooledUpstream *chooseByAffinity(const UpstreamPool &Pool, const std::vector<PooledUpstream *> &Candidates,
                                 const PlacementQuery &Query, const PlacementContext &Context,
                                 TimePoint Now) {
  PooledUpstream *Preferred = nullptr;
  double PreferredScore = -std::numeric_limits<double>::infinity();
  for (PooledUpstream *Candidate : Candidates) {
    const double Score = affinityScore(*Candidate, *Query.m_Affinity, Context);
    if (Score > PreferredScore) {
      Preferred = Candidate;
      PreferredScore = Score;
    }
  }
  const auto Cost = [&](const PooledUpstream &Candidate) {
    Duration Wait = Candidate.m_PendingPrefill + InFlightRequestDelay * Candidate.m_InFlight;
    Wait += Pool.eventGap(Candidate, Now) * CountedEventGaps;
    if (estimatedInFlight(Candidate, Context) >= Candidate.m_Entry.m_Slots)
      Wait += FullUpstreamDelay;
    if (Candidate.m_Region != Context.m_Region)
      Wait += OtherRegionPenalty;
    if (&Candidate != Preferred)
      Wait += Query.m_SharedPrefillTime + OtherUpstreamPenalty;
    return Wait;
  };
  return *std::min_element(
      Candidates.begin(), Candidates.end(),
      [&](const PooledUpstream *Left, const PooledUpstream *Right) { return Cost(*Left) < Cost(*Right); });
}

PooledUpstream *chooseByWait(const std::vector<PooledUpstream *> &Candidates,
                             const PlacementContext &Context) {
  return *std::min_element(Candidates.begin(), Candidates.end(),
                           [&](const PooledUpstream *Left, const PooledUpstream *Right) {
                             return expectedWaitMs(*Left, Candidates.size(), Context) <
                                    expectedWaitMs(*Right, Candidates.size(), Context);
                           });
}

/// Keeps a share of the candidates, the same ones at every daemon of the region.
void keepUpstreamShare(std::vector<PooledUpstream *> &Candidates, double Share) {
  const double Count = std::ceil(Share * static_cast<double>(Candidates.size()));
  const std::size_t KeptCount = std::max(MinTrialUpstreams, static_cast<std::size_t>(Count));
  if (KeptCount >= Candidates.size())
    return;
  std::sort(Candidates.begin(), Candidates.end(),
            [](const PooledUpstream *Left, const PooledUpstream *Right) {
              return stableHash(Left->m_Entry.m_Id.value()) < stableHash(Right->m_Entry.m_Id.value());
            });
  Candidates.resize(KeptCount);
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

std::uint32_t daemonRank(std::string_view Key, const PlacementContext &Context) {
  const std::uint64_t KeyHash = stableHash(Key);
  const std::uint64_t Own = mixHash(KeyHash, stableHash(Context.m_Instance.value()));
  return static_cast<std::uint32_t>(
      std::count_if(Context.m_Daemons.begin(), Context.m_Daemons.end(), [&](const InstanceId &Daemon) {
        return mixHash(KeyHash, stableHash(Daemon.value())) < Own;
      }));
}

std::string_view nameOf(PlacementRejection Value) {
  switch (Value) {
  case PlacementRejection::NoUpstream:
    return "no upstream";
  case PlacementRejection::AllCold:
    return "all upstreams are cold";
  case PlacementRejection::AllTried:
    return "all upstreams were tried";
  }
  return "unknown";
}

Placement chooseUpstream(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Context,
                         TimePoint Now) {
  std::vector<PooledUpstream *> Candidates;
  PlacementRejection Reason = PlacementRejection::NoUpstream;
  for (PooledUpstream *Candidate : Pool.ofService(Query.m_Service)) {
    if (!Pool.usable(*Candidate, Now) || !allowed(*Candidate, Query))
      continue;
    if (tried(*Candidate, Query))
      Reason = Reason == PlacementRejection::NoUpstream ? PlacementRejection::AllTried : Reason;
    else if (!admits(Pool, *Candidate, Query, Context, Now))
      Reason = PlacementRejection::AllCold;
    else
      Candidates.push_back(Candidate);
  }
  if (Candidates.empty())
    return {nullptr, Reason, "no upstream available"};

  prefer(Candidates, [&](const PooledUpstream &Candidate) { return !Pool.ejected(Candidate, Now); });
  prefer(Candidates,
         [&](const PooledUpstream &Candidate) { return !Pool.unreachable(Candidate.m_Entry.m_Domain, Now); });
  if (Query.m_Affinity)
    prefer(Candidates, [&](const PooledUpstream &Candidate) { return !Pool.cold(Candidate, Now); });
  if (Query.m_Versions.m_UpstreamShare < 1.0) {
    prefer(Candidates,
           [&](const PooledUpstream &Candidate) { return Candidate.m_Region == Context.m_Region; });
    keepUpstreamShare(Candidates, Query.m_Versions.m_UpstreamShare);
  }
  PooledUpstream *Chosen = Query.m_Affinity ? chooseByAffinity(Pool, Candidates, Query, Context, Now)
                                            : chooseByWait(Candidates, Context);
  if (Query.m_ColdRequestsPerSecond > 0.0 && Pool.cold(*Chosen, Now))
    Chosen->m_ColdRateLimiter.tryAcquire(Now, coldShare(*Chosen, Query, Context));
  return {Chosen, Reason, Query.m_Affinity ? "affinity" : "shortest expected wait"};
}

} // namespace bulrushpitch
