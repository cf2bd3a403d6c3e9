#include "bulrushpitch/decision/router.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <utility>

namespace bulrushpitch {

namespace {

/// Maximum age of the lists of available upstreams. They are refreshed at this interval even if no event
/// requires it, so that upstreams return after their unreachable period has expired.
constexpr Duration UpstreamListRefreshInterval = std::chrono::seconds(1);
/// Time for which an upstream is considered unreachable after a failed connection attempt.
constexpr Duration ConnectFailurePeriod = std::chrono::seconds(1);
constexpr double PermitRoundTripSeconds = 0.005;    ///< Round trip to an upstream's owner in the same region.
constexpr double BaselineServiceCallSeconds = 0.02; ///< Typical duration of a call of a plain service.
constexpr std::uint32_t MaxPrefixMatches = 16;      ///< Limit of compared upstreams that cache the prefix.

double secondsOf(Duration Value) { return std::chrono::duration<double>(Value).count(); }

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

double normalTail(double Z) { return 0.5 * std::erfc(Z / std::numbers::sqrt2); }

double normalDensity(double Z) {
  return std::exp(-0.5 * Z * Z) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
}

/// Probability that the answer of a cascade step is kept, and its contribution to the expected quality.
struct StepOutcome {
  double m_KeptProbability = 0.0;
  double m_QualityContribution = 0.0; ///< Mean rating of kept answers times m_KeptProbability.
};

StepOutcome stepOutcome(double Mean, double StandardDeviation, double AcceptAt) {
  const double Z = (AcceptAt - Mean) / StandardDeviation;
  const double KeptProbability = normalTail(Z);
  return {KeptProbability, Mean * KeptProbability + StandardDeviation * normalDensity(Z)};
}

} // namespace

Router::Router(QualityEstimator &Quality, UpstreamTable &Upstreams, RolloutController &Rollouts,
               LinkBudget &Link, RouterSettings Settings, RandomHook Random)
    : m_Quality(Quality), m_Upstreams(Upstreams), m_Rollouts(Rollouts), m_Link(Link),
      m_Settings(std::move(Settings)), m_Random(std::move(Random)) {}

// --- Configuration

void Router::setConfiguration(const Configuration &Config, TimePoint Now) {
  m_Quality.setConfiguration(Config);
  m_Upstreams.setConfiguration(Config);
  m_Rollouts.setConfiguration(Config);
  m_ExplorationShare = Config.m_Limits.m_ExplorationShare;
  compileModels(Config);
  compileUpstreams(Config);
  compileTeams(Config);
  refreshUpstreamLists(Now);
}

void Router::compileModels(const Configuration &Config) {
  m_ModelIndex.clear();
  m_VersionIndex.clear();
  m_Models.clear();
  m_Versions.clear();
  for (const auto &[Id, Model] : Config.m_Models) {
    m_ModelIndex.emplace(Id, static_cast<Index>(m_Models.size()));
    m_Models.push_back(CompiledModel{Id, {}, {}, {}});
  }
  for (const auto &[Id, ConfigVersion] : Config.m_Versions) {
    const auto Model = m_ModelIndex.find(ConfigVersion.m_Model);
    if (Model == m_ModelIndex.end())
      continue;
    const Index VersionIndex = static_cast<Index>(m_Versions.size());
    CompiledVersion Version;
    Version.m_Id = Id;
    Version.m_Model = Model->second;
    Version.m_Withdrawn = ConfigVersion.m_State == VersionState::Withdrawn;
    Version.m_PromptPrice = static_cast<double>(ConfigVersion.m_PromptPrice.value());
    Version.m_CompletionPrice = static_cast<double>(ConfigVersion.m_CompletionPrice.value());
    Version.m_PriorQuality = ConfigVersion.m_PriorQuality;
    Version.m_QualityIndex = m_Quality.versionIndex(Id);
    m_VersionIndex.emplace(Id, VersionIndex);
    m_Versions.push_back(std::move(Version));
    m_Models[Model->second].m_Versions.push_back(VersionIndex);
  }
  for (const auto &[Id, ConfigModel] : Config.m_Models) {
    const auto Steps =
        ConfigModel.m_Cascade ? Config.m_Cascades.find(*ConfigModel.m_Cascade) : Config.m_Cascades.end();
    if (Steps == Config.m_Cascades.end())
      continue;
    for (const CascadeStep &Step : Steps->second.m_Steps)
      if (const auto Found = m_VersionIndex.find(Step.m_Version); Found != m_VersionIndex.end())
        m_Models[m_ModelIndex.at(Id)].m_Cascade.push_back({Found->second, Step.m_AcceptAt});
  }
  for (const auto &[Id, ConfigRollout] : Config.m_Rollouts) {
    const auto Model = m_ModelIndex.find(ConfigRollout.m_Model);
    const auto From = m_VersionIndex.find(ConfigRollout.m_From);
    const auto To = m_VersionIndex.find(ConfigRollout.m_To);
    if (Model != m_ModelIndex.end() && From != m_VersionIndex.end() && To != m_VersionIndex.end())
      m_Models[Model->second].m_Rollouts.push_back({Id, From->second, To->second, ConfigRollout.m_State});
  }
}

void Router::compileUpstreams(const Configuration &Config) {
  m_ServiceIndex.clear();
  m_Services.clear();
  for (const auto &[Id, Service] : Config.m_Services) {
    m_ServiceIndex.emplace(Id, static_cast<Index>(m_Services.size()));
    m_Services.push_back(CompiledService{Id, {}});
  }
  for (const auto &[Id, ConfigUpstream] : Config.m_Upstreams) {
    const Index UpstreamIndex = m_Upstreams.indexOf(Id);
    for (const VersionId &Served : ConfigUpstream.m_Versions)
      if (const auto Found = m_VersionIndex.find(Served); Found != m_VersionIndex.end())
        m_Versions[Found->second].m_ServingUpstreams.push_back(UpstreamIndex);
    if (!ConfigUpstream.m_Service)
      continue;
    if (const auto Found = m_ServiceIndex.find(*ConfigUpstream.m_Service); Found != m_ServiceIndex.end())
      m_Services[Found->second].m_ServingUpstreams.push_back(UpstreamIndex);
  }
  m_IsLocal.assign(m_Upstreams.size(), false);
  for (Index UpstreamIndex = 0; UpstreamIndex < m_Upstreams.size(); ++UpstreamIndex)
    m_IsLocal[UpstreamIndex] = m_Upstreams.regionOf(UpstreamIndex) == m_Settings.m_Region;
  for (CompiledVersion &Version : m_Versions) {
    Version.m_ServedBy.assign(m_Upstreams.size(), false);
    for (Index UpstreamIndex : Version.m_ServingUpstreams)
      Version.m_ServedBy[UpstreamIndex] = true;
  }
}

void Router::compileTeams(const Configuration &Config) {
  m_Teams.clear();
  for (const auto &[Id, ConfigTeam] : Config.m_Teams) {
    CompiledTeam &Team = m_Teams[Id];
    Team.m_QualityTarget = ConfigTeam.m_QualityTarget;
    Team.m_Models.assign(m_Models.size(), false);
    Team.m_Versions.assign(m_Versions.size(), false);
    Team.m_Services.assign(m_Services.size(), false);
    for (const ModelId &Model : ConfigTeam.m_Models)
      if (const auto Found = m_ModelIndex.find(Model); Found != m_ModelIndex.end())
        Team.m_Models[Found->second] = true;
    for (Index VersionIndex = 0; VersionIndex < m_Versions.size(); ++VersionIndex)
      Team.m_Versions[VersionIndex] =
          Team.m_Models[m_Versions[VersionIndex].m_Model] &&
          (ConfigTeam.m_Versions.empty() ||
           std::find(ConfigTeam.m_Versions.begin(), ConfigTeam.m_Versions.end(),
                     m_Versions[VersionIndex].m_Id) != ConfigTeam.m_Versions.end());
    for (const ServiceId &Service : ConfigTeam.m_Services)
      if (const auto Found = m_ServiceIndex.find(Service); Found != m_ServiceIndex.end())
        Team.m_Services[Found->second] = true;
  }
}

void Router::refreshUpstreamLists(TimePoint Now) {
  m_UpstreamListsGeneration = m_Upstreams.generation();
  m_UpstreamListsRefreshedAt = Now;
  for (CompiledVersion &Version : m_Versions) {
    Version.m_LocalUpstreams.clear();
    Version.m_RemoteUpstreams.clear();
    for (Index UpstreamIndex : Version.m_ServingUpstreams)
      if (m_Upstreams.exclusion(UpstreamIndex, Now) == Exclusion::None)
        (m_IsLocal[UpstreamIndex] ? Version.m_LocalUpstreams : Version.m_RemoteUpstreams)
            .push_back(UpstreamIndex);
  }
}

// --- Version choice

double Router::price(const CompiledVersion &Version, const RouteRequest &Request) const {
  return Version.m_PromptPrice * static_cast<double>(Request.m_PromptTokens.value()) +
         Version.m_CompletionPrice * static_cast<double>(Request.m_ExpectedTokens.value());
}

bool Router::isSelectable(const CompiledTeam &Team, const CompiledModel &Model, Index Version) const {
  if (!Team.m_Versions[Version] || m_Versions[Version].m_Withdrawn)
    return false;
  for (const CompiledRollout &Rollout : Model.m_Rollouts) {
    // The new version receives requests only in place of the old one, see applyRollouts.
    if (Rollout.m_To == Version && Rollout.m_State != RolloutState::Complete)
      return false;
    if (Rollout.m_From == Version && Rollout.m_State == RolloutState::Complete)
      return false;
  }
  return true;
}

Router::Candidate Router::directCandidate(Index Version, const RouteRequest &Request, double Target) const {
  const CompiledVersion &Compiled = m_Versions[Version];
  const QualityEstimate Quality = m_Quality.estimateAt(m_TeamTaskIndex, m_TaskIndex, Compiled.m_QualityIndex);
  Candidate Choice;
  Choice.m_Version = Version;
  Choice.m_Cost = price(Compiled, Request);
  Choice.m_Mean = Quality.m_Mean;
  Choice.m_Lower = Quality.lowerBound(m_Settings.m_BoundStandardErrors);
  Choice.m_Upper = Quality.upperBound(m_Settings.m_BoundStandardErrors);
  Choice.m_StreamBeforeRating = Choice.m_Lower >= Target;
  return Choice;
}

/// Estimates the expected cost and quality of the cascade steps in m_Steps.
/// @param LoweredStep index of the step whose quality is taken at its lower bound; m_Steps.size() for none
Router::CascadeEstimate Router::estimateCascade(std::size_t LoweredStep) const {
  CascadeEstimate Estimate;
  double ReachProbability = 1.0;
  for (std::size_t StepIndex = 0; StepIndex < m_Steps.size(); ++StepIndex) {
    const StepEstimate &Step = m_Steps[StepIndex];
    const double Mean = StepIndex == LoweredStep ? Step.m_Quality.lowerBound(m_Settings.m_BoundStandardErrors)
                                                 : Step.m_Quality.m_Mean;
    // The answer of the last step is kept regardless of its rating.
    const StepOutcome Outcome = StepIndex + 1 == m_Steps.size()
                                    ? StepOutcome{1.0, Mean}
                                    : stepOutcome(Mean, Step.m_Quality.m_RatingDeviation, Step.m_AcceptAt);
    Estimate.m_Cost += ReachProbability * Step.m_Price;
    Estimate.m_Quality += ReachProbability * Outcome.m_QualityContribution;
    ReachProbability *= 1.0 - Outcome.m_KeptProbability;
  }
  return Estimate;
}

void Router::collectCascade(const CompiledTeam &Team, const CompiledModel &Model,
                            const RouteRequest &Request) {
  std::size_t FirstStep = Model.m_Cascade.size();
  m_Steps.clear();
  for (std::size_t StepIndex = Request.m_CascadeStep; StepIndex < Model.m_Cascade.size(); ++StepIndex) {
    const CompiledStep &Step = Model.m_Cascade[StepIndex];
    if (!isSelectable(Team, Model, Step.m_Version))
      continue;
    FirstStep = std::min(FirstStep, StepIndex);
    const CompiledVersion &Version = m_Versions[Step.m_Version];
    m_Steps.push_back({m_Quality.estimateAt(m_TeamTaskIndex, m_TaskIndex, Version.m_QualityIndex),
                       price(Version, Request), Step.m_AcceptAt});
  }
  // With a single step left, the version is already a direct candidate.
  if (m_Steps.size() < 2)
    return;
  const CascadeEstimate MeanEstimate = estimateCascade(m_Steps.size());
  // The estimation errors of the steps are independent, so the squares of their effects add up.
  double Variance = 0.0;
  for (std::size_t StepIndex = 0; StepIndex < m_Steps.size(); ++StepIndex) {
    const double Effect = MeanEstimate.m_Quality - estimateCascade(StepIndex).m_Quality;
    Variance += Effect * Effect;
  }
  Candidate Choice;
  Choice.m_Rule = RouteRule::Cascade;
  Choice.m_Cost = MeanEstimate.m_Cost;
  Choice.m_Mean = MeanEstimate.m_Quality;
  Choice.m_Lower = MeanEstimate.m_Quality - std::sqrt(Variance);
  Choice.m_Upper = MeanEstimate.m_Quality + std::sqrt(Variance);
  Choice.m_Version = Model.m_Cascade[FirstStep].m_Version;
  Choice.m_AcceptAt = Model.m_Cascade[FirstStep].m_AcceptAt;
  Choice.m_IsFinal = false;
  Choice.m_NextStep = static_cast<std::uint32_t>(FirstStep + 1);
  m_Candidates.push_back(Choice);
}

Expected<Done> Router::collectPinned(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                                     double Target) {
  const auto Found = m_VersionIndex.find(*Request.m_PinnedVersion);
  if (Found == m_VersionIndex.end() || m_Versions[Found->second].m_Model != Model ||
      !Team.m_Versions[Found->second])
    return makeRejection(ErrorCode::VersionNotAllowed, Request,
                         "version " + Request.m_PinnedVersion->value() + " is not a version of model " +
                             Request.m_Model.value() + " that the team may use");
  if (m_Versions[Found->second].m_Withdrawn) {
    const VersionId *Replacement = replacementFor(Team, Model);
    return makeRejection(ErrorCode::VersionWithdrawn, Request,
                         "version " + Request.m_PinnedVersion->value() + " is withdrawn" +
                             (Replacement == nullptr
                                  ? std::string("; no other version is available")
                                  : "; start a new session with version " + Replacement->value()));
  }
  m_Candidates.push_back(directCandidate(Found->second, Request, Target));
  m_Candidates.back().m_Rule = RouteRule::Pinned;
  return Done{};
}

const VersionId *Router::replacementFor(const CompiledTeam &Team, Index Model) const {
  const CompiledVersion *Best = nullptr;
  for (Index VersionIndex : m_Models[Model].m_Versions)
    if (isSelectable(Team, m_Models[Model], VersionIndex) &&
        (Best == nullptr || m_Versions[VersionIndex].m_PriorQuality > Best->m_PriorQuality))
      Best = &m_Versions[VersionIndex];
  return Best == nullptr ? nullptr : &Best->m_Id;
}

Expected<Done> Router::prepareCandidates(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                                         double Target) {
  m_Candidates.clear();
  if (Request.m_PinnedVersion)
    return collectPinned(Team, Model, Request, Target);
  const CompiledModel &Compiled = m_Models[Model];
  bool AnyAllowed = false;
  for (Index VersionIndex : Compiled.m_Versions) {
    AnyAllowed = AnyAllowed || Team.m_Versions[VersionIndex];
    if (isSelectable(Team, Compiled, VersionIndex) && !isBeforeCascadeStep(Compiled, VersionIndex, Request))
      m_Candidates.push_back(directCandidate(VersionIndex, Request, Target));
  }
  if (!Request.m_SingleVersionOnly)
    collectCascade(Team, Compiled, Request);
  if (m_Candidates.empty())
    return AnyAllowed ? makeRejection(ErrorCode::NoUpstream, Request,
                                      "the model has no active version that the team may use")
                      : makeRejection(ErrorCode::VersionNotAllowed, Request,
                                      "the team may not use any version of the model");
  orderCandidates(Target);
  // After a rejected step the request must still be answered, even if the remaining candidates miss the
  // target.
  if (m_UsableCount == 0 && Request.m_CascadeStep > 0)
    m_UsableCount = m_Candidates.size();
  if (m_UsableCount == 0)
    return makeRejection(ErrorCode::QualityUnreachable, Request,
                         "no version or cascade is likely to reach the quality target " +
                             std::to_string(Target));
  insertExploration(Request, Target);
  applyRollouts(Compiled, Request, Target);
  return Done{};
}

bool Router::isBeforeCascadeStep(const CompiledModel &Model, Index Version, const RouteRequest &Request) {
  const std::size_t EarlierCount = std::min<std::size_t>(Request.m_CascadeStep, Model.m_Cascade.size());
  return std::any_of(Model.m_Cascade.begin(),
                     Model.m_Cascade.begin() + static_cast<std::ptrdiff_t>(EarlierCount),
                     [&](const CompiledStep &Step) { return Step.m_Version == Version; });
}

/// Sorts the candidates: first those whose lower bound reaches the target, by ascending cost, then those
/// whose upper bound reaches it, by descending lower bound. The second group is usable only if the first is
/// empty.
void Router::orderCandidates(double Target) {
  const bool AnyReaches = std::any_of(m_Candidates.begin(), m_Candidates.end(),
                                      [&](const Candidate &Choice) { return Choice.m_Lower >= Target; });
  std::sort(m_Candidates.begin(), m_Candidates.end(), [&](const Candidate &Left, const Candidate &Right) {
    const int LeftRank = Left.m_Lower >= Target ? 0 : Left.m_Upper >= Target ? 1 : 2;
    const int RightRank = Right.m_Lower >= Target ? 0 : Right.m_Upper >= Target ? 1 : 2;
    if (LeftRank != RightRank)
      return LeftRank < RightRank;
    if (LeftRank == 0 && Left.m_Cost != Right.m_Cost)
      return Left.m_Cost < Right.m_Cost;
    if (LeftRank != 0 && Left.m_Lower != Right.m_Lower)
      return Left.m_Lower > Right.m_Lower;
    return Left.m_Version < Right.m_Version;
  });
  m_UsableCount = 0;
  for (Candidate &Choice : m_Candidates) {
    const bool Usable = AnyReaches ? Choice.m_Lower >= Target : Choice.m_Upper >= Target;
    m_UsableCount += Usable ? 1 : 0;
    if (!AnyReaches && Choice.m_Rule == RouteRule::Direct)
      Choice.m_Rule = RouteRule::BestEffort;
  }
}

/// With a probability equal to the exploration share, puts a random cheaper single version that may reach the
/// target first. This includes new sessions, although they stay on the version: for a task that is used only
/// in sessions, the quality of a cheaper version would otherwise never be measured.
void Router::insertExploration(const RouteRequest &Request, double Target) {
  if (Request.m_CascadeStep > 0 || m_ExplorationShare <= 0.0)
    return;
  const std::uint64_t Draw = m_Random();
  if (static_cast<double>(Draw >> 11U) * 0x1.0p-53 >= m_ExplorationShare)
    return;
  const double CurrentCost = m_Candidates.front().m_Cost;
  std::uint32_t EligibleCount = 0;
  std::size_t ExploredIndex = 0;
  for (std::size_t CandidateIndex = m_UsableCount; CandidateIndex < m_Candidates.size(); ++CandidateIndex)
    if (m_Candidates[CandidateIndex].m_IsFinal && m_Candidates[CandidateIndex].m_Cost < CurrentCost &&
        m_Candidates[CandidateIndex].m_Upper >= Target && m_Random() % ++EligibleCount == 0)
      ExploredIndex = CandidateIndex;
  if (EligibleCount == 0)
    return;
  Candidate Explored = m_Candidates[ExploredIndex];
  Explored.m_Rule = RouteRule::Explore;
  m_Candidates.insert(m_Candidates.begin(), Explored);
  ++m_UsableCount;
}

/// Where the old version of a running rollout is the first choice, puts the new one before it if the key of
/// the session or request falls into the rollout's share. The old version remains as the next candidate in
/// case no upstream of the new one can accept the request.
void Router::applyRollouts(const CompiledModel &Model, const RouteRequest &Request, double Target) {
  if (Model.m_Rollouts.empty())
    return;
  const std::uint64_t Key =
      stableHash(Request.m_Session ? Request.m_Session->value() : Request.m_Request.value());
  const std::size_t ChosenIndex = m_Candidates.front().m_Rule == RouteRule::Explore ? 1 : 0;
  for (const CompiledRollout &Rollout : Model.m_Rollouts) {
    if (Rollout.m_State != RolloutState::Running || ChosenIndex >= m_UsableCount ||
        m_Candidates[ChosenIndex].m_Version != Rollout.m_From || m_Versions[Rollout.m_To].m_Withdrawn ||
        !m_Team->m_Versions[Rollout.m_To] ||
        !m_Rollouts.startsOnNewVersion(Rollout.m_Id, mixHash(Key, stableHash(Rollout.m_Id.value()))))
      continue;
    Candidate Replacement = directCandidate(Rollout.m_To, Request, Target);
    Replacement.m_Rule = m_Candidates[ChosenIndex].m_Rule;
    Replacement.m_IsFinal = m_Candidates[ChosenIndex].m_IsFinal;
    Replacement.m_AcceptAt = m_Candidates[ChosenIndex].m_AcceptAt;
    Replacement.m_NextStep = m_Candidates[ChosenIndex].m_NextStep;
    m_Candidates.insert(m_Candidates.begin() + static_cast<std::ptrdiff_t>(ChosenIndex), Replacement);
    ++m_UsableCount;
  }
}

// --- Upstream choice

/// Collects the upstreams that are assumed to cache a prefix of the prompt, longest prefix first. The
/// prefixes are assumed to divide the prompt evenly.
void Router::findPrefixMatches(const RouteRequest &Request) {
  m_PrefixMatches.clear();
  PrefixCacheIndex::Match Cached[PrefixCacheIndex::BucketSize];
  const std::size_t Count = Request.m_PrefixHashes.size();
  for (std::size_t Length = Count; Length > 0 && m_PrefixMatches.size() < MaxPrefixMatches; --Length) {
    const std::uint32_t MatchCount = m_Upstreams.cache().find(Request.m_PrefixHashes[Length - 1], Cached);
    for (std::uint32_t MatchIndex = 0; MatchIndex < MatchCount && m_PrefixMatches.size() < MaxPrefixMatches;
         ++MatchIndex) {
      const double Share = static_cast<double>(Cached[MatchIndex].m_Certainty) * static_cast<double>(Length) /
                           static_cast<double>(Count);
      const auto Existing =
          std::find_if(m_PrefixMatches.begin(), m_PrefixMatches.end(), [&](const PrefixMatch &Match) {
            return Match.m_Upstream == Cached[MatchIndex].m_Upstream;
          });
      if (Existing == m_PrefixMatches.end())
        m_PrefixMatches.push_back({Cached[MatchIndex].m_Upstream, Share});
      else
        Existing->m_CachedShare = std::max(Existing->m_CachedShare, Share);
    }
  }
}

LinkTraffic Router::linkTraffic(const RouteRequest &Request) const {
  return Request.m_ExpectedTokens.value() >= m_Settings.m_LongAnswerTokens ? LinkTraffic::LongAnswer
                                                                           : LinkTraffic::ShortAnswer;
}

Bytes Router::linkBytes(const RouteRequest &Request) const {
  return Bytes(static_cast<std::uint64_t>(
      m_Settings.m_BytesPerToken *
      static_cast<double>(Request.m_PromptTokens.value() + Request.m_ExpectedTokens.value())));
}

Router::RejectionReason Router::scoreUpstream(Index Upstream, const RouteRequest &Request, TimePoint Now) {
  if (m_Upstreams.exclusion(Upstream, Now) != Exclusion::None)
    return RejectionReason::Excluded;
  if (!Request.m_ExcludedUpstreams.empty() &&
      std::find(Request.m_ExcludedUpstreams.begin(), Request.m_ExcludedUpstreams.end(),
                m_Upstreams.idOf(Upstream)) != Request.m_ExcludedUpstreams.end())
    return RejectionReason::Excluded;
  const std::uint32_t Load = m_Upstreams.knownLoad(Upstream);
  const std::uint32_t Limit = m_Upstreams.limit(Upstream, Now);
  if (Load >= Limit)
    return RejectionReason::AtLimit;
  const bool Warm = m_Upstreams.warmth(Upstream, Now) == Warmth::Warm;
  double CachedShare = 0.0;
  for (const PrefixMatch &Match : m_PrefixMatches)
    if (Match.m_Upstream == Upstream)
      CachedShare = Match.m_CachedShare;
  const double EstimatedLoad =
      m_Upstreams.estimatedLoad(Upstream, m_Settings.m_OtherDaemonRequestRatio, Now) + 1.0;
  const double EstimatedUtilisation = EstimatedLoad / Limit;
  const double Prefill = static_cast<double>(Request.m_PromptTokens.value()) * (1.0 - CachedShare) /
                         m_Settings.m_PrefillTokensPerSecond;
  const double RegionPenalty = m_IsLocal[Upstream] ? 0.0 : secondsOf(m_Settings.m_CrossRegionPenalty);
  const double TokenLatency = m_Upstreams.interTokenLatency(
      Upstream, EstimatedLoad, secondsOf(m_Settings.m_BaselineInterTokenLatency));
  const double PermitWait = Warm ? 0.0 : PermitRoundTripSeconds;
  // Always 0, because an upstream at its limit has been rejected above.
  const double QueueWait =
      Load >= Limit ? (Load + 1.0 - Limit) / Limit * m_Upstreams.serviceSeconds(Upstream) : 0.0;
  // An engine interleaves prefill with the steps of its running batch, so prefill takes longer under load.
  const double Wait =
      Prefill * (1.0 + EstimatedUtilisation) + TokenLatency + PermitWait + RegionPenalty + QueueWait;
  const double TotalSeconds = Wait + TokenLatency * static_cast<double>(Request.m_ExpectedTokens.value());
  if (Now + durationOf(TotalSeconds) > Request.m_Deadline)
    return RejectionReason::Deadline;
  // Reports lag, so a nearly full upstream may be full by now. Cubed, so that lightly loaded
  // upstreams still score about equal.
  const double LoadPenalty =
      m_Settings.m_FullUpstreamPenalty * EstimatedUtilisation * EstimatedUtilisation * EstimatedUtilisation;
  m_ScoredUpstreams.push_back(
      {Upstream, TotalSeconds + LoadPenalty, Wait, CachedShare, (Load + 1.0) / Limit});
  return RejectionReason::None;
}

/// Scores a sample of upstreams, spread evenly over the list from a random start. If none of them can accept
/// the request, scores the whole list.
Router::RejectionReason Router::scoreSample(const std::vector<Index> &UpstreamIndices,
                                            const RouteRequest &Request, TimePoint Now) {
  const std::size_t Count = UpstreamIndices.size();
  const std::size_t SampleSize = std::min<std::size_t>(Count, m_Settings.m_SampleSize);
  RejectionReason Reason = Count == 0 ? RejectionReason::NoUpstream : RejectionReason::None;
  const std::size_t ScoredBefore = m_ScoredUpstreams.size();
  if (Count == 0)
    return Reason;
  const std::size_t Start = Count > SampleSize ? m_Random() % Count : 0;
  for (std::size_t SampleIndex = 0; SampleIndex < SampleSize; ++SampleIndex)
    Reason =
        std::max(Reason, scoreUpstream(UpstreamIndices[(Start + SampleIndex * Count / SampleSize) % Count],
                                       Request, Now));
  if (m_ScoredUpstreams.size() == ScoredBefore && SampleSize < Count)
    for (Index UpstreamIndex : UpstreamIndices)
      Reason = std::max(Reason, scoreUpstream(UpstreamIndex, Request, Now));
  return m_ScoredUpstreams.size() == ScoredBefore ? Reason : RejectionReason::None;
}

Router::RejectionReason Router::scoreCandidate(const Candidate &Choice, const RouteRequest &Request,
                                               TimePoint Now) {
  const CompiledVersion &Version = m_Versions[Choice.m_Version];
  m_ScoredUpstreams.clear();
  for (const PrefixMatch &Match : m_PrefixMatches)
    if (Match.m_Upstream < m_IsLocal.size() && m_IsLocal[Match.m_Upstream] &&
        Version.m_ServedBy[Match.m_Upstream])
      scoreUpstream(Match.m_Upstream, Request, Now);
  RejectionReason Reason = scoreSample(Version.m_LocalUpstreams, Request, Now);
  // Traffic on the inter-region link is billed by volume, so other regions are considered only if this one is
  // nearly full.
  double MinUtilisation = std::numeric_limits<double>::infinity();
  for (const ScoredUpstream &Local : m_ScoredUpstreams)
    MinUtilisation = std::min(MinUtilisation, Local.m_KnownUtilisation);
  if (MinUtilisation >= m_Settings.m_SpilloverUtilisation && !Version.m_RemoteUpstreams.empty()) {
    if (m_Link.allows(linkTraffic(Request), linkBytes(Request), Now))
      Reason = std::max(Reason, scoreSample(Version.m_RemoteUpstreams, Request, Now));
    else
      Reason = std::max(Reason, RejectionReason::LinkBudgetSpent);
  }
  if (!m_ScoredUpstreams.empty())
    return RejectionReason::None;
  return Reason == RejectionReason::NoUpstream && !Version.m_ServingUpstreams.empty()
             ? RejectionReason::Excluded
             : Reason;
}

/// Picks at random among the upstreams whose scores are close to the best one. Otherwise all daemons with the
/// same lagging reports would send to the same upstream until the next report.
const Router::ScoredUpstream &Router::pickBest() {
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

// --- Decisions

Error Router::makeRejection(ErrorCode Code, const RouteRequest &Request, std::string Detail) const {
  return {Code, "route request " + Request.m_Request.value() + " of team " + Request.m_Team.value(), "",
          Ran::No, std::move(Detail)};
}

Error Router::rejectionFor(RejectionReason Reason, const RouteRequest &Request, TimePoint Now) const {
  const std::string Version = m_Versions[m_Candidates.front().m_Version].m_Id.value();
  switch (Reason) {
  case RejectionReason::Deadline:
    return makeRejection(ErrorCode::DeadlineUnreachable, Request,
                         "no upstream of version " + Version +
                             " can complete the request before the deadline");
  case RejectionReason::AtLimit:
    return makeRejection(ErrorCode::Overloaded, Request,
                         "no upstream of version " + Version + " has spare capacity");
  case RejectionReason::LinkBudgetSpent:
    return makeRejection(
        ErrorCode::LinkBudgetSpent, Request,
        "version " + Version +
            " is available only in another region, and the budget of the inter-region link is spent");
  case RejectionReason::Excluded:
  case RejectionReason::NoUpstream:
  case RejectionReason::None:
    break;
  }
  const std::vector<Index> &UpstreamIndices = m_Versions[m_Candidates.front().m_Version].m_ServingUpstreams;
  if (!UpstreamIndices.empty() &&
      std::all_of(UpstreamIndices.begin(), UpstreamIndices.end(), [&](Index UpstreamIndex) {
        return m_Upstreams.exclusion(UpstreamIndex, Now) == Exclusion::DomainOut;
      }))
    return makeRejection(ErrorCode::DomainOut, Request,
                         "all failure domains that serve version " + Version + " are out of service");
  return makeRejection(
      ErrorCode::NoUpstream, Request,
      UpstreamIndices.empty()
          ? "no upstream serves version " + Version
          : "no upstream of version " + Version +
                " is available: each is out of service, draining, leaving or unreachable, or has "
                "failed or denied a permit for this request");
}

Expected<RouteDecision> Router::decide(const RouteRequest &Request, TimePoint Now) {
  RouteDecision Decision;
  Expected<Done> Outcome = decideInto(Request, Now, Decision);
  if (!Outcome)
    return Outcome.error();
  return Decision;
}

Expected<Done> Router::decideInto(const RouteRequest &Request, TimePoint Now, RouteDecision &Decision) {
  const auto Team = m_Teams.find(Request.m_Team);
  if (Team == m_Teams.end())
    return makeRejection(ErrorCode::Unauthorized, Request, "unknown team");
  const auto Model = m_ModelIndex.find(Request.m_Model);
  if (Model == m_ModelIndex.end() || !Team->second.m_Models[Model->second])
    return makeRejection(ErrorCode::ModelNotAllowed, Request,
                         "the team may not use model " + Request.m_Model.value());
  if (m_UpstreamListsGeneration != m_Upstreams.generation() ||
      Now - m_UpstreamListsRefreshedAt >= UpstreamListRefreshInterval)
    refreshUpstreamLists(Now);
  const double Target = Request.m_QualityTarget.value_or(Team->second.m_QualityTarget);
  m_Team = &Team->second;
  m_TeamTaskIndex = m_Quality.teamTaskIndex(Request.m_Team, Request.m_Task);
  m_TaskIndex = m_Quality.taskIndex(Request.m_Task);
  m_UsableCount = 1;
  Expected<Done> Gathered = prepareCandidates(Team->second, Model->second, Request, Target);
  if (!Gathered)
    return Gathered;
  findPrefixMatches(Request);
  RejectionReason ReportedReason = RejectionReason::NoUpstream;
  for (std::size_t CandidateIndex = 0; CandidateIndex < m_UsableCount; ++CandidateIndex) {
    const RejectionReason Reason = scoreCandidate(m_Candidates[CandidateIndex], Request, Now);
    if (Reason == RejectionReason::None) {
      fillDecision(m_Candidates[CandidateIndex], pickBest(), Target, Now, Decision);
      return Done{};
    }
    ReportedReason = std::max(ReportedReason, Reason);
  }
  return rejectionFor(ReportedReason, Request, Now);
}

void Router::fillDecision(const Candidate &Choice, const ScoredUpstream &Best, double Target, TimePoint Now,
                          RouteDecision &Decision) const {
  Decision.m_Upstream = m_Upstreams.idOf(Best.m_Upstream);
  Decision.m_Version = m_Versions[Choice.m_Version].m_Id;
  Decision.m_RateBeforeRelease = !Choice.m_IsFinal;
  Decision.m_StreamBeforeRating = Choice.m_StreamBeforeRating && Choice.m_IsFinal;
  Decision.m_AcceptAt = Choice.m_AcceptAt;
  Decision.m_NextCascadeStep = Choice.m_NextStep;
  Decision.m_PredictedQuality = Choice.m_Mean;
  Decision.m_Reason.m_Rule = Choice.m_Rule;
  Decision.m_Reason.m_LowerBound = Choice.m_Lower;
  Decision.m_Reason.m_Target = Target;
  Decision.m_Reason.m_ExpectedCost = Choice.m_Cost;
  fillUpstreamFigures(Best, Now, Decision);
}

void Router::fillUpstreamFigures(const ScoredUpstream &Best, TimePoint Now, RouteDecision &Decision) const {
  Decision.m_Reason.m_Warmth = m_Upstreams.warmth(Best.m_Upstream, Now);
  Decision.m_Reason.m_OtherRegion = !m_IsLocal[Best.m_Upstream];
  Decision.m_Reason.m_KnownLoad = m_Upstreams.knownLoad(Best.m_Upstream);
  Decision.m_Reason.m_Limit = m_Upstreams.limit(Best.m_Upstream, Now);
  Decision.m_Reason.m_Considered = static_cast<std::uint32_t>(m_ScoredUpstreams.size());
  Decision.m_Reason.m_CachedShare = Best.m_CachedShare;
  Decision.m_NeedsPermit = Decision.m_Reason.m_Warmth != Warmth::Warm;
  Decision.m_ExpectedWait = durationOf(Best.m_Wait);
}

Expected<RouteDecision> Router::decideService(const ServiceRequest &Request, TimePoint Now) {
  const auto Reject = [&](ErrorCode Code, std::string Detail) {
    return Error{Code, "route call of service " + Request.m_Service.value(), "", Ran::No, std::move(Detail)};
  };
  const auto Team = m_Teams.find(Request.m_Team);
  if (Team == m_Teams.end())
    return Reject(ErrorCode::Unauthorized, "unknown team " + Request.m_Team.value());
  const auto Service = m_ServiceIndex.find(Request.m_Service);
  if (Service == m_ServiceIndex.end() || !Team->second.m_Services[Service->second])
    return Reject(ErrorCode::ServiceNotAllowed,
                  "team " + Request.m_Team.value() + " may not use the service");
  m_ScoredUpstreams.clear();
  bool AnyAvailable = false;
  bool AllDomainsOut = true;
  const std::vector<Index> &UpstreamIndices = m_Services[Service->second].m_ServingUpstreams;
  for (Index UpstreamIndex : UpstreamIndices) {
    const Exclusion Excluded = m_Upstreams.exclusion(UpstreamIndex, Now);
    AllDomainsOut = AllDomainsOut && Excluded == Exclusion::DomainOut;
    if (Excluded != Exclusion::None ||
        std::find(Request.m_ExcludedUpstreams.begin(), Request.m_ExcludedUpstreams.end(),
                  m_Upstreams.idOf(UpstreamIndex)) != Request.m_ExcludedUpstreams.end())
      continue;
    AnyAvailable = true;
    const std::uint32_t Load = m_Upstreams.knownLoad(UpstreamIndex);
    const std::uint32_t Limit = m_Upstreams.limit(UpstreamIndex, Now);
    if (Load >= Limit)
      continue;
    const double Wait = BaselineServiceCallSeconds * (Load + 1.0) / Limit +
                        (m_IsLocal[UpstreamIndex] ? 0.0 : secondsOf(m_Settings.m_CrossRegionPenalty));
    if (Now + durationOf(Wait) <= Request.m_Deadline)
      m_ScoredUpstreams.push_back({UpstreamIndex, Wait, Wait, 0.0, 0.0});
  }
  if (m_ScoredUpstreams.empty() && AnyAvailable)
    return Now >= Request.m_Deadline
               ? Reject(ErrorCode::DeadlineUnreachable, "the deadline has passed")
               : Reject(ErrorCode::Overloaded, "no upstream of the service has spare capacity and can "
                                               "complete the call before the deadline");
  if (m_ScoredUpstreams.empty())
    return !UpstreamIndices.empty() && AllDomainsOut
               ? Reject(ErrorCode::DomainOut, "all failure domains that run the service are out of service")
               : Reject(
                     ErrorCode::NoUpstream,
                     "no upstream of the service is available: each is out of service, draining, leaving or "
                     "unreachable, or has failed or denied a permit for this call");
  RouteDecision Decision;
  const ScoredUpstream &Best = pickBest();
  Decision.m_Upstream = m_Upstreams.idOf(Best.m_Upstream);
  Decision.m_Reason.m_Rule = RouteRule::Service;
  fillUpstreamFigures(Best, Now, Decision);
  return Decision;
}

// --- Attempt lifecycle

void Router::onDispatched(const AttemptId &Attempt, const RouteRequest &Request,
                          const RouteDecision &Decision, TimePoint Now) {
  onDispatched(Attempt, Decision, Now);
  const Index UpstreamIndex = m_Upstreams.indexOf(Decision.m_Upstream);
  if (UpstreamIndex == UpstreamTable::NoIndex)
    return;
  for (std::uint64_t PrefixHash : Request.m_PrefixHashes)
    m_Upstreams.assumeCached(UpstreamIndex, PrefixHash);
  // The budget was checked by the decision, but another request may have spent it since. This request has
  // been dispatched already, so its bytes are charged as control traffic, which is never rejected.
  if (Decision.m_Reason.m_OtherRegion && !m_Link.take(linkTraffic(Request), linkBytes(Request), Now))
    (void)m_Link.take(LinkTraffic::Control, linkBytes(Request), Now);
}

void Router::onDispatched(const AttemptId &Attempt, const RouteDecision &Decision, TimePoint Now) {
  const Index UpstreamIndex = m_Upstreams.indexOf(Decision.m_Upstream);
  if (UpstreamIndex == UpstreamTable::NoIndex ||
      !m_Attempts.try_emplace(Attempt, RunningAttempt{Decision.m_Upstream, Now}).second)
    return;
  m_Upstreams.addOutstanding(UpstreamIndex, Now);
}

void Router::onFirstToken(const AttemptId &Attempt, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  if (const Index UpstreamIndex = m_Upstreams.indexOf(Found->second.m_Upstream);
      UpstreamIndex != UpstreamTable::NoIndex)
    m_Upstreams.onResponse(UpstreamIndex, Now);
}

void Router::onFinished(const AttemptId &Attempt, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  if (const Index UpstreamIndex = m_Upstreams.indexOf(Found->second.m_Upstream);
      UpstreamIndex != UpstreamTable::NoIndex) {
    m_Upstreams.onResponse(UpstreamIndex, Now);
    m_Upstreams.onServiceTime(UpstreamIndex, Now - Found->second.m_SentAt);
    m_Upstreams.removeOutstanding(UpstreamIndex, Now, Found->second.m_SentAt);
  }
  m_Attempts.erase(Found);
}

void Router::onFailed(const AttemptId &Attempt, ErrorCode Code, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  const UpstreamId Upstream = Found->second.m_Upstream;
  const TimePoint SentAt = Found->second.m_SentAt;
  m_Attempts.erase(Found);
  if (const Index UpstreamIndex = m_Upstreams.indexOf(Upstream); UpstreamIndex != UpstreamTable::NoIndex)
    m_Upstreams.removeOutstanding(UpstreamIndex, Now, SentAt);
  if (Code == ErrorCode::UpstreamTimeout)
    m_Upstreams.onTimeout(Upstream);
  else if (Code == ErrorCode::UpstreamRefused)
    m_Upstreams.onRefused(Upstream);
  else if (Code == ErrorCode::UpstreamConnect)
    m_Upstreams.setUnreachable(Upstream, Now + ConnectFailurePeriod);
}

} // namespace bulrushpitch
