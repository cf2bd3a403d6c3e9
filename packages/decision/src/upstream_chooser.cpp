#include "upstream_chooser.h"

#include <algorithm>
#include <limits>

namespace bulrushpitch {

namespace {

constexpr double PermitRoundTripSeconds = 0.005;    ///< Round trip to an upstream's owner in the same region.
constexpr double BaselineServiceCallSeconds = 0.02; ///< Typical duration of a call of a plain service.
constexpr std::uint32_t MaxPrefixMatches = 16;      ///< Limit of compared upstreams that cache the prefix.

} // namespace

LinkTraffic linkTraffic(const RouterSettings &Settings, const RouteRequest &Request) {
  return Request.m_ExpectedTokens.value() >= Settings.m_LongAnswerTokens ? LinkTraffic::LongAnswer
                                                                         : LinkTraffic::ShortAnswer;
}

Bytes linkBytes(const RouterSettings &Settings, const RouteRequest &Request) {
  return Bytes(static_cast<std::uint64_t>(
      Settings.m_BytesPerToken *
      static_cast<double>(Request.m_PromptTokens.value() + Request.m_ExpectedTokens.value())));
}

UpstreamChooser::UpstreamChooser(const CompiledConfiguration &Compiled, const UpstreamTable &Upstreams,
                                 const LinkBudget &Link, const RouterSettings &Settings,
                                 const RandomHook &Random)
    : m_Compiled(Compiled), m_Upstreams(Upstreams), m_Link(Link), m_Settings(Settings), m_Random(Random) {}

/// Collects the upstreams by descending length of the prefix. The prefixes are assumed to divide the prompt
/// evenly.
void UpstreamChooser::findPrefixMatches(const RouteRequest &Request) {
  m_PrefixMatches.clear();
  PrefixCacheIndex::Match Cached[PrefixCacheIndex::BucketSize];
  const std::size_t Count = Request.m_PrefixHashes.size();
  for (std::size_t Length = Count; Length > 0 && m_PrefixMatches.size() < MaxPrefixMatches; --Length) {
    const std::uint32_t MatchCount = m_Upstreams.cache().find(Request.m_PrefixHashes[Length - 1], Cached);
    for (std::uint32_t MatchIndex = 0; MatchIndex < MatchCount && m_PrefixMatches.size() < MaxPrefixMatches;
         ++MatchIndex) {
      const PrefixCacheIndex::Match &Match = Cached[MatchIndex];
      addPrefixMatch(Match.m_Upstream, static_cast<double>(Match.m_Certainty) * static_cast<double>(Length) /
                                           static_cast<double>(Count));
    }
  }
}

void UpstreamChooser::addPrefixMatch(ObjectIndex Upstream, double CachedShare) {
  const auto Existing =
      std::find_if(m_PrefixMatches.begin(), m_PrefixMatches.end(),
                   [Upstream](const PrefixMatch &Match) { return Match.m_Upstream == Upstream; });
  if (Existing == m_PrefixMatches.end())
    m_PrefixMatches.push_back({Upstream, CachedShare});
  else
    Existing->m_CachedShare = std::max(Existing->m_CachedShare, CachedShare);
}

double UpstreamChooser::cachedShare(ObjectIndex Upstream) const {
  for (const PrefixMatch &Match : m_PrefixMatches)
    if (Match.m_Upstream == Upstream)
      return Match.m_CachedShare;
  return 0.0;
}

bool UpstreamChooser::isExcluded(ObjectIndex Upstream, const std::vector<UpstreamId> &ExcludedUpstreams,
                                 TimePoint Now) const {
  return m_Upstreams.exclusion(Upstream, Now) != Exclusion::None ||
         (!ExcludedUpstreams.empty() && std::find(ExcludedUpstreams.begin(), ExcludedUpstreams.end(),
                                                  m_Upstreams.idOf(Upstream)) != ExcludedUpstreams.end());
}

double UpstreamChooser::regionPenaltySeconds(ObjectIndex Upstream) const {
  return m_Compiled.isLocal(Upstream) ? 0.0 : secondsOf(m_Settings.m_CrossRegionPenalty);
}

RejectionReason UpstreamChooser::scoreVersion(ObjectIndex Version, const RouteRequest &Request,
                                              TimePoint Now) {
  const CompiledVersion &Compiled = m_Compiled.version(Version);
  m_ScoredUpstreams.clear();
  for (const PrefixMatch &Match : m_PrefixMatches)
    if (m_Compiled.isLocal(Match.m_Upstream) && Compiled.m_ServedBy[Match.m_Upstream])
      scoreUpstream(Match.m_Upstream, Request, Now);
  RejectionReason Reason = scoreSample(Compiled.m_LocalUpstreams, Request, Now);
  // Traffic on the inter-region link is billed by volume, so other regions are considered only if this one is
  // nearly full.
  if (minUtilisation() >= m_Settings.m_SpilloverUtilisation && !Compiled.m_RemoteUpstreams.empty())
    Reason = std::max(Reason, scoreRemote(Compiled, Request, Now));
  if (anyScored())
    return RejectionReason::None;
  return Reason == RejectionReason::NoUpstream && !Compiled.m_ServingUpstreams.empty()
             ? RejectionReason::Excluded
             : Reason;
}

RejectionReason UpstreamChooser::scoreRemote(const CompiledVersion &Version, const RouteRequest &Request,
                                             TimePoint Now) {
  return m_Link.allows(linkTraffic(m_Settings, Request), linkBytes(m_Settings, Request), Now)
             ? scoreSample(Version.m_RemoteUpstreams, Request, Now)
             : RejectionReason::LinkBudgetSpent;
}

double UpstreamChooser::minUtilisation() const {
  double Min = std::numeric_limits<double>::infinity();
  for (const ScoredUpstream &Option : m_ScoredUpstreams)
    Min = std::min(Min, Option.m_KnownUtilisation);
  return Min;
}

/// Scores a sample of upstreams, spread evenly over the list from a random start. If none of them can accept
/// the request, scores the whole list.
RejectionReason UpstreamChooser::scoreSample(const std::vector<ObjectIndex> &Upstreams,
                                             const RouteRequest &Request, TimePoint Now) {
  const std::size_t Count = Upstreams.size();
  if (Count == 0)
    return RejectionReason::NoUpstream;
  const std::size_t SampleSize = std::min<std::size_t>(Count, m_Settings.m_SampleSize);
  const std::size_t ScoredBefore = m_ScoredUpstreams.size();
  RejectionReason Reason = RejectionReason::None;
  const std::size_t Start = Count > SampleSize ? m_Random() % Count : 0;
  for (std::size_t SampleIndex = 0; SampleIndex < SampleSize; ++SampleIndex)
    Reason = std::max(
        Reason, scoreUpstream(Upstreams[(Start + SampleIndex * Count / SampleSize) % Count], Request, Now));
  if (m_ScoredUpstreams.size() == ScoredBefore && SampleSize < Count)
    for (ObjectIndex Upstream : Upstreams)
      Reason = std::max(Reason, scoreUpstream(Upstream, Request, Now));
  return m_ScoredUpstreams.size() == ScoredBefore ? Reason : RejectionReason::None;
}

RejectionReason UpstreamChooser::scoreUpstream(ObjectIndex Upstream, const RouteRequest &Request,
                                               TimePoint Now) {
  if (isExcluded(Upstream, Request.m_ExcludedUpstreams, Now))
    return RejectionReason::Excluded;
  UpstreamLoad Load;
  Load.m_Known = m_Upstreams.knownLoad(Upstream);
  Load.m_Limit = m_Upstreams.limit(Upstream, Now);
  if (Load.m_Known >= Load.m_Limit)
    return RejectionReason::AtLimit;
  Load.m_Estimated = m_Upstreams.estimatedLoad(Upstream, m_Settings.m_OtherDaemonRequestRatio, Now) + 1.0;
  const double CachedShare = cachedShare(Upstream);
  const ExpectedTimes Times = expectedTimes(Upstream, Load, CachedShare, Request, Now);
  if (Now + durationOf(Times.m_Total) > Request.m_Deadline)
    return RejectionReason::Deadline;
  // Reports lag, so a nearly full upstream may be full by now. Cubed, so that lightly loaded
  // upstreams still score about equal.
  const double Utilisation = Load.m_Estimated / Load.m_Limit;
  const double LoadPenalty = m_Settings.m_FullUpstreamPenalty * Utilisation * Utilisation * Utilisation;
  m_ScoredUpstreams.push_back({Upstream, Times.m_Total + LoadPenalty, Times.m_Wait, CachedShare,
                               (Load.m_Known + 1.0) / Load.m_Limit});
  return RejectionReason::None;
}

UpstreamChooser::ExpectedTimes UpstreamChooser::expectedTimes(ObjectIndex Upstream, const UpstreamLoad &Load,
                                                              double CachedShare, const RouteRequest &Request,
                                                              TimePoint Now) const {
  const double Prefill = static_cast<double>(Request.m_PromptTokens.value()) * (1.0 - CachedShare) /
                         m_Settings.m_PrefillTokensPerSecond;
  const double TokenLatency = m_Upstreams.interTokenLatency(
      Upstream, Load.m_Estimated, secondsOf(m_Settings.m_BaselineInterTokenLatency));
  const double PermitWait = m_Upstreams.warmth(Upstream, Now) == Warmth::Warm ? 0.0 : PermitRoundTripSeconds;
  ExpectedTimes Times;
  // An engine interleaves prefill with the steps of its running batch, so prefill takes longer under load.
  Times.m_Wait = Prefill * (1.0 + Load.m_Estimated / Load.m_Limit) + TokenLatency + PermitWait +
                 regionPenaltySeconds(Upstream);
  Times.m_Total = Times.m_Wait + TokenLatency * static_cast<double>(Request.m_ExpectedTokens.value());
  return Times;
}

bool UpstreamChooser::scoreService(const CompiledService &Service, const ServiceRequest &Request,
                                   TimePoint Now) {
  m_ScoredUpstreams.clear();
  bool AnyAvailable = false;
  for (ObjectIndex Upstream : Service.m_ServingUpstreams) {
    if (isExcluded(Upstream, Request.m_ExcludedUpstreams, Now))
      continue;
    AnyAvailable = true;
    scoreServiceUpstream(Upstream, Request, Now);
  }
  return AnyAvailable;
}

void UpstreamChooser::scoreServiceUpstream(ObjectIndex Upstream, const ServiceRequest &Request,
                                           TimePoint Now) {
  const std::uint32_t Load = m_Upstreams.knownLoad(Upstream);
  const std::uint32_t Limit = m_Upstreams.limit(Upstream, Now);
  if (Load >= Limit)
    return;
  const double Wait = BaselineServiceCallSeconds * (Load + 1.0) / Limit + regionPenaltySeconds(Upstream);
  if (Now + durationOf(Wait) <= Request.m_Deadline)
    m_ScoredUpstreams.push_back({Upstream, Wait, Wait, 0.0, 0.0});
}

/// Picks at random among the upstreams whose scores are close to the best one. Otherwise all daemons with the
/// same lagging reports would send to the same upstream until the next report.
const ScoredUpstream &UpstreamChooser::pickBest() const {
  double BestScore = std::numeric_limits<double>::infinity();
  for (const ScoredUpstream &Option : m_ScoredUpstreams)
    BestScore = std::min(BestScore, Option.m_Score);
  const double ScoreLimit = BestScore * (1.0 + m_Settings.m_ScoreTolerance);
  std::uint32_t Count = 0;
  for (const ScoredUpstream &Option : m_ScoredUpstreams)
    Count += Option.m_Score <= ScoreLimit ? 1 : 0;
  std::uint64_t Remaining = Count > 1 ? m_Random() % Count : 0;
  for (const ScoredUpstream &Option : m_ScoredUpstreams)
    if (Option.m_Score <= ScoreLimit && Remaining-- == 0)
      return Option;
  return m_ScoredUpstreams.front();
}

void UpstreamChooser::fillDecision(const ScoredUpstream &Best, TimePoint Now, RouteDecision &Decision) const {
  Decision.m_Upstream = m_Upstreams.idOf(Best.m_Upstream);
  Decision.m_Reason.m_Warmth = m_Upstreams.warmth(Best.m_Upstream, Now);
  Decision.m_Reason.m_OtherRegion = !m_Compiled.isLocal(Best.m_Upstream);
  Decision.m_Reason.m_KnownLoad = m_Upstreams.knownLoad(Best.m_Upstream);
  Decision.m_Reason.m_Limit = m_Upstreams.limit(Best.m_Upstream, Now);
  Decision.m_Reason.m_Considered = static_cast<std::uint32_t>(m_ScoredUpstreams.size());
  Decision.m_Reason.m_CachedShare = Best.m_CachedShare;
  Decision.m_NeedsPermit = Decision.m_Reason.m_Warmth != Warmth::Warm;
  Decision.m_ExpectedWait = durationOf(Best.m_Wait);
}

} // namespace bulrushpitch
