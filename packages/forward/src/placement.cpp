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
/// Penalty that keeps short prompts at their affinity key's preferred upstream when the waits are equal.
constexpr Duration AffinityOtherUpstreamPenalty = std::chrono::milliseconds(5);
/// Hash weight of upstreams in the own failure domain, as traffic between domains costs.
constexpr double OwnDomainWeight = 2.0;
/// Hash weight so small that an affinity key's preferred upstream is in another region only if the own one
/// has none.
constexpr double OtherRegionWeight = 1e-6;
/// Penalty, with affinity, for sending a prompt to another region: two crossings between the regions, and
/// paid traffic.
constexpr Duration AffinityOtherRegionPenalty = std::chrono::milliseconds(150);
/// Expected wait, with affinity, at an upstream without free slots.
constexpr Duration AffinityFullUpstreamDelay = std::chrono::milliseconds(1500);
/// Expected delays without affinity, by network distance and by a queued request, in milliseconds.
constexpr double OtherDomainDelayMs = 2.0;
constexpr double OtherRegionDelayMs = 60.0;
constexpr double QueuedRequestDelayMs = 60.0;
/// Minimum number of upstreams of a version under trial: a burst at a single one can't be spread over others,
/// so that the version appears slow.
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

std::uint32_t daemonCount(const PlacementContext &Context) {
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Context.m_Daemons.size()));
}

/// @return this daemon's share of a cold upstream's rate limit
RequestRate ownColdLimit(const PooledUpstream &Candidate, const PlacementQuery &Query,
                         const PlacementContext &Context) {
  if (!Context.m_HasLimitShares)
    return {0, std::chrono::seconds(1)};
  const std::uint32_t Rank = daemonRank(Candidate.m_Entry.m_Id.value(), Context);
  return {shareOfColdLimit(Query.m_ColdRequestsPerSecond, daemonCount(Context), Rank),
          std::chrono::seconds(1)};
}

/// @return this daemon's share of the limits that the upstream names
NamedLimitShare ownLimitShare(const PooledUpstream &Candidate, const PlacementContext &Context) {
  const std::string Key = Candidate.m_Entry.m_Id.value() + "/" + std::to_string(Context.m_ShareEpoch);
  return {daemonCount(Context), daemonRank(Key, Context), Context.m_HasLimitShares};
}

/// @return when the upstream takes a request of this daemon, by what it said in its answers; nothing if this
/// daemon has no share of what it takes
std::optional<TimePoint> noticesAdmitAt(const UpstreamPool &Pool, const PooledUpstream &Candidate,
                                        const PlacementContext &Context) {
  if (!Pool.notices().requestLimit(Candidate.m_Entry))
    return Pool.notices().pausedUntil(Candidate.m_Entry);
  return Pool.notices().nextRequestAt(Candidate.m_Entry, ownLimitShare(Candidate, Context));
}

/// @return false if the upstream is cold and the request would exceed this daemon's share of its rate limit
bool coldLimitAdmits(const UpstreamPool &Pool, const PooledUpstream &Candidate, const PlacementQuery &Query,
                     const PlacementContext &Context, TimePoint Now) {
  if (Query.m_ColdRequestsPerSecond <= 0.0 || !Pool.cold(Candidate, Now))
    return true;
  return Candidate.m_ColdRateLimiter.canAcquire(Now, ownColdLimit(Candidate, Query, Context));
}

/// Score of weighted rendezvous hashing: the upstream with the highest score is the affinity key's
/// preferred one.
double affinityScore(const PooledUpstream &Candidate, std::uint64_t AffinityKey,
                     const PlacementContext &Context) {
  const std::uint64_t Hash = mixHash(AffinityKey, stableHash(Candidate.m_Entry.m_Id.value()));
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
  double Wait = std::max(0.0, Load - Slots) / Slots * QueuedRequestDelayMs + Load / Slots;
  if (Candidate.m_Region != Context.m_Region)
    Wait += OtherRegionDelayMs;
  else if (Candidate.m_Entry.m_Domain != Context.m_Domain)
    Wait += OtherDomainDelayMs;
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
    Wait += Pool.decayedEventGap(Candidate, Now) * CountedEventGaps;
    if (estimatedInFlight(Candidate, Context) >= Candidate.m_Entry.m_Slots)
      Wait += AffinityFullUpstreamDelay;
    if (Candidate.m_Region != Context.m_Region)
      Wait += AffinityOtherRegionPenalty;
    if (&Candidate != Preferred)
      Wait += Query.m_SharedPrefillTime + AffinityOtherUpstreamPenalty;
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
  case PlacementRejection::AllLimited:
    return "all upstreams are at their limits or paused";
  case PlacementRejection::AllTried:
    return "all upstreams were tried";
  }
  return "unknown";
}

Placement findUpstream(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Context,
                       TimePoint Now) {
  std::vector<PooledUpstream *> Candidates;
  PlacementRejection Rejection = PlacementRejection::NoUpstream;
  std::optional<TimePoint> RetryAt;
  for (PooledUpstream *Candidate : Pool.ofService(Query.m_Service)) {
    if (!Pool.usable(*Candidate, Now) || !allowed(*Candidate, Query))
      continue;
    if (tried(*Candidate, Query)) {
      Rejection = Rejection == PlacementRejection::NoUpstream ? PlacementRejection::AllTried : Rejection;
      continue;
    }
    if (!coldLimitAdmits(Pool, *Candidate, Query, Context, Now)) {
      Rejection = PlacementRejection::AllCold;
      continue;
    }
    const std::optional<TimePoint> AdmitsAt = noticesAdmitAt(Pool, *Candidate, Context);
    if (AdmitsAt && Now >= *AdmitsAt) {
      Candidates.push_back(Candidate);
      continue;
    }
    if (AdmitsAt)
      RetryAt = std::min(RetryAt.value_or(*AdmitsAt), *AdmitsAt);
    if (Rejection != PlacementRejection::AllCold)
      Rejection = PlacementRejection::AllLimited;
  }
  if (Candidates.empty())
    return {nullptr, Rejection, "no upstream available", RetryAt};

  prefer(Candidates, [&](const PooledUpstream &Candidate) { return !Pool.ejected(Candidate, Now); });
  prefer(Candidates, [&](const PooledUpstream &Candidate) {
    return !Pool.domainUnreachable(Candidate.m_Entry.m_Domain, Now);
  });
  if (Query.m_Affinity)
    prefer(Candidates, [&](const PooledUpstream &Candidate) { return !Pool.cold(Candidate, Now); });
  if (Query.m_Versions.m_UpstreamShare < 1.0) {
    prefer(Candidates,
           [&](const PooledUpstream &Candidate) { return Candidate.m_Region == Context.m_Region; });
    keepUpstreamShare(Candidates, Query.m_Versions.m_UpstreamShare);
  }
  PooledUpstream *Chosen = Query.m_Affinity ? chooseByAffinity(Pool, Candidates, Query, Context, Now)
                                            : chooseByWait(Candidates, Context);
  return {Chosen, Rejection, Query.m_Affinity ? "affinity" : "shortest expected wait", std::nullopt};
}

Placement chooseUpstream(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Context,
                         TimePoint Now) {
  const Placement Found = findUpstream(Pool, Query, Context, Now);
  PooledUpstream *Chosen = Found.m_Upstream;
  if (Chosen && Pool.notices().requestLimit(Chosen->m_Entry))
    Pool.notices().countRequest(Chosen->m_Entry, ownLimitShare(*Chosen, Context), Now);
  if (Chosen && Query.m_ColdRequestsPerSecond > 0.0 && Pool.cold(*Chosen, Now))
    Chosen->m_ColdRateLimiter.tryAcquire(Now, ownColdLimit(*Chosen, Query, Context));
  return Found;
}

} // namespace bulrushpitch
