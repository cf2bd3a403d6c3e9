#include "bulrushpitch/decision/router.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <utility>

namespace bulrushpitch {

namespace {

/// Time between two refreshes of the host lists when no event asked for one; upstreams whose mark as not
/// reachable has ended return then.
constexpr Duration HostRefresh = std::chrono::seconds(1);
/// Time for which an upstream that could not be connected to is left alone.
constexpr Duration ConnectPause = std::chrono::seconds(1);
constexpr double PermitTrip = 0.005;      ///< Seconds to ask an owner in the own region for a permit.
constexpr double CallSeconds = 0.02;      ///< Usual time of a call of a plain service.
constexpr std::uint32_t MostHolders = 16; ///< Upstreams with the prefix that are compared.

double secondsOf(Duration Value) { return std::chrono::duration<double>(Value).count(); }

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

double normalTail(double Z) { return 0.5 * std::erfc(Z / std::numbers::sqrt2); }

double normalDensity(double Z) {
  return std::exp(-0.5 * Z * Z) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
}

/// Probability that a step's answer is kept, and its contribution to the quality.
struct StepOutcome {
  double m_Kept = 0.0;
  double m_Quality = 0.0; ///< Mean rating of kept answers times their probability.
};

StepOutcome outcomeOf(double Mean, double Spread, double AcceptAt) {
  const double Z = (AcceptAt - Mean) / Spread;
  const double Kept = normalTail(Z);
  return {Kept, Mean * Kept + Spread * normalDensity(Z)};
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
  compileHosts(Config);
  compileTeams(Config);
  refreshHosts(Now);
}

void Router::compileModels(const Configuration &Config) {
  m_ModelIndex.clear();
  m_VersionIndex.clear();
  m_Models.clear();
  m_Versions.clear();
  for (const auto &[Id, Unused] : Config.m_Models) {
    m_ModelIndex.emplace(Id, static_cast<Index>(m_Models.size()));
    m_Models.push_back(CompiledModel{Id, {}, {}, {}});
  }
  for (const auto &[Id, Known] : Config.m_Versions) {
    const auto Model = m_ModelIndex.find(Known.m_Model);
    if (Model == m_ModelIndex.end())
      continue;
    const Index At = static_cast<Index>(m_Versions.size());
    CompiledVersion Version;
    Version.m_Id = Id;
    Version.m_Model = Model->second;
    Version.m_Withdrawn = Known.m_State == VersionState::Withdrawn;
    Version.m_PromptPrice = static_cast<double>(Known.m_PromptPrice.value());
    Version.m_CompletionPrice = static_cast<double>(Known.m_CompletionPrice.value());
    Version.m_PriorQuality = Known.m_PriorQuality;
    Version.m_Quality = m_Quality.versionIndex(Id);
    m_VersionIndex.emplace(Id, At);
    m_Versions.push_back(std::move(Version));
    m_Models[Model->second].m_Versions.push_back(At);
  }
  for (const auto &[Id, Known] : Config.m_Models) {
    const auto Steps = Known.m_Cascade ? Config.m_Cascades.find(*Known.m_Cascade) : Config.m_Cascades.end();
    if (Steps == Config.m_Cascades.end())
      continue;
    for (const CascadeStep &Step : Steps->second.m_Steps)
      if (const auto Found = m_VersionIndex.find(Step.m_Version); Found != m_VersionIndex.end())
        m_Models[m_ModelIndex.at(Id)].m_Cascade.push_back({Found->second, Step.m_AcceptAt});
  }
  for (const auto &[Id, Known] : Config.m_Rollouts) {
    const auto Model = m_ModelIndex.find(Known.m_Model);
    const auto From = m_VersionIndex.find(Known.m_From);
    const auto To = m_VersionIndex.find(Known.m_To);
    if (Model != m_ModelIndex.end() && From != m_VersionIndex.end() && To != m_VersionIndex.end())
      m_Models[Model->second].m_Rollouts.push_back({Id, From->second, To->second, Known.m_State});
  }
}

void Router::compileHosts(const Configuration &Config) {
  m_ServiceIndex.clear();
  m_Services.clear();
  for (const auto &[Id, Unused] : Config.m_Services) {
    m_ServiceIndex.emplace(Id, static_cast<Index>(m_Services.size()));
    m_Services.push_back(CompiledService{Id, {}});
  }
  for (const auto &[Id, Known] : Config.m_Upstreams) {
    const Index At = m_Upstreams.indexOf(Id);
    for (const VersionId &Each : Known.m_Versions)
      if (const auto Found = m_VersionIndex.find(Each); Found != m_VersionIndex.end())
        m_Versions[Found->second].m_Hosts.push_back(At);
    if (!Known.m_Service)
      continue;
    if (const auto Found = m_ServiceIndex.find(*Known.m_Service); Found != m_ServiceIndex.end())
      m_Services[Found->second].m_Hosts.push_back(At);
  }
  m_Near.assign(m_Upstreams.size(), false);
  for (Index At = 0; At < m_Upstreams.size(); ++At)
    m_Near[At] = m_Upstreams.regionOf(At) == m_Settings.m_Region;
  for (CompiledVersion &Version : m_Versions) {
    Version.m_Serves.assign(m_Upstreams.size(), false);
    for (Index At : Version.m_Hosts)
      Version.m_Serves[At] = true;
  }
}

void Router::compileTeams(const Configuration &Config) {
  m_Teams.clear();
  for (const auto &[Id, Known] : Config.m_Teams) {
    CompiledTeam &Team = m_Teams[Id];
    Team.m_QualityTarget = Known.m_QualityTarget;
    Team.m_Models.assign(m_Models.size(), false);
    Team.m_Versions.assign(m_Versions.size(), false);
    Team.m_Services.assign(m_Services.size(), false);
    for (const ModelId &Each : Known.m_Models)
      if (const auto Found = m_ModelIndex.find(Each); Found != m_ModelIndex.end())
        Team.m_Models[Found->second] = true;
    for (Index At = 0; At < m_Versions.size(); ++At)
      Team.m_Versions[At] =
          Team.m_Models[m_Versions[At].m_Model] &&
          (Known.m_Versions.empty() || std::find(Known.m_Versions.begin(), Known.m_Versions.end(),
                                                 m_Versions[At].m_Id) != Known.m_Versions.end());
    for (const ServiceId &Each : Known.m_Services)
      if (const auto Found = m_ServiceIndex.find(Each); Found != m_ServiceIndex.end())
        Team.m_Services[Found->second] = true;
  }
}

void Router::refreshHosts(TimePoint Now) {
  m_HostsGeneration = m_Upstreams.generation();
  m_HostsRefreshedAt = Now;
  for (CompiledVersion &Version : m_Versions) {
    Version.m_NearHosts.clear();
    Version.m_FarHosts.clear();
    for (Index At : Version.m_Hosts)
      if (m_Upstreams.exclusion(At, Now) == Exclusion::None)
        (m_Near[At] ? Version.m_NearHosts : Version.m_FarHosts).push_back(At);
  }
}

// --- Version choice

double Router::price(const CompiledVersion &Version, const RouteRequest &Request) const {
  return Version.m_PromptPrice * static_cast<double>(Request.m_PromptTokens.value()) +
         Version.m_CompletionPrice * static_cast<double>(Request.m_ExpectedTokens.value());
}

bool Router::offered(const CompiledTeam &Team, const CompiledModel &Model, Index Version) const {
  if (!Team.m_Versions[Version] || m_Versions[Version].m_Withdrawn)
    return false;
  for (const CompiledRollout &Each : Model.m_Rollouts) {
    // The new version gets requests only in place of the old one, see replaceByRollout.
    if (Each.m_To == Version && Each.m_State != RolloutState::Complete)
      return false;
    if (Each.m_From == Version && Each.m_State == RolloutState::Complete)
      return false;
  }
  return true;
}

Router::Candidate Router::direct(Index Version, const RouteRequest &Request, double Target) const {
  const CompiledVersion &Known = m_Versions[Version];
  const QualityEstimate Quality = m_Quality.estimateAt(m_QualityRow, m_QualityTask, Known.m_Quality);
  Candidate Choice;
  Choice.m_Version = Version;
  Choice.m_Cost = price(Known, Request);
  Choice.m_Mean = Quality.m_Mean;
  Choice.m_Lower = Quality.lowerBound(m_Settings.m_Confidence);
  Choice.m_Upper = Quality.upperBound(m_Settings.m_Confidence);
  Choice.m_StreamBeforeRating = Choice.m_Lower >= Target;
  return Choice;
}

/// Evaluates the steps that m_Steps holds.
/// @param Lowered step whose quality is taken at its lower bound; the number of steps for none
Router::CascadeValue Router::cascadeValue(std::size_t Lowered) const {
  CascadeValue Value;
  double Reach = 1.0;
  for (std::size_t At = 0; At < m_Steps.size(); ++At) {
    const StepEstimate &Step = m_Steps[At];
    const double Mean =
        At == Lowered ? Step.m_Quality.lowerBound(m_Settings.m_Confidence) : Step.m_Quality.m_Mean;
    // The last step is kept whatever its rating.
    const StepOutcome Outcome = At + 1 == m_Steps.size()
                                    ? StepOutcome{1.0, Mean}
                                    : outcomeOf(Mean, Step.m_Quality.m_Spread, Step.m_AcceptAt);
    Value.m_Cost += Reach * Step.m_Price;
    Value.m_Quality += Reach * Outcome.m_Quality;
    Reach *= 1.0 - Outcome.m_Kept;
  }
  return Value;
}

void Router::gatherCascade(const CompiledTeam &Team, const CompiledModel &Model,
                           const RouteRequest &Request) {
  std::size_t First = Model.m_Cascade.size();
  m_Steps.clear();
  for (std::size_t At = Request.m_CascadeStep; At < Model.m_Cascade.size(); ++At) {
    const CompiledStep &Step = Model.m_Cascade[At];
    if (!offered(Team, Model, Step.m_Version))
      continue;
    First = std::min(First, At);
    const CompiledVersion &Version = m_Versions[Step.m_Version];
    m_Steps.push_back({m_Quality.estimateAt(m_QualityRow, m_QualityTask, Version.m_Quality),
                       price(Version, Request), Step.m_AcceptAt});
  }
  // A single step is the version used directly.
  if (m_Steps.size() < 2)
    return;
  const CascadeValue Usual = cascadeValue(m_Steps.size());
  // The errors of the steps' estimates are independent, so their effects add up as squares.
  double Variance = 0.0;
  for (std::size_t At = 0; At < m_Steps.size(); ++At) {
    const double Effect = Usual.m_Quality - cascadeValue(At).m_Quality;
    Variance += Effect * Effect;
  }
  Candidate Choice;
  Choice.m_Rule = RouteRule::Cascade;
  Choice.m_Cost = Usual.m_Cost;
  Choice.m_Mean = Usual.m_Quality;
  Choice.m_Lower = Usual.m_Quality - std::sqrt(Variance);
  Choice.m_Upper = Usual.m_Quality + std::sqrt(Variance);
  Choice.m_Version = Model.m_Cascade[First].m_Version;
  Choice.m_AcceptAt = Model.m_Cascade[First].m_AcceptAt;
  Choice.m_LastStep = false;
  Choice.m_NextStep = static_cast<std::uint32_t>(First + 1);
  m_Candidates.push_back(Choice);
}

Expected<Done> Router::gatherPinned(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                                    double Target) {
  const auto Found = m_VersionIndex.find(*Request.m_Pinned);
  if (Found == m_VersionIndex.end() || m_Versions[Found->second].m_Model != Model ||
      !Team.m_Versions[Found->second])
    return refusal(ErrorCode::VersionNotAllowed, Request,
                   "version " + Request.m_Pinned->value() + " is not among those of model " +
                       Request.m_Model.value() + " that the team may use");
  if (m_Versions[Found->second].m_Withdrawn) {
    const VersionId *Next = replacementFor(Team, Model);
    return refusal(ErrorCode::VersionWithdrawn, Request,
                   "version " + Request.m_Pinned->value() + " is withdrawn" +
                       (Next == nullptr ? std::string("; no other version is left")
                                        : "; start a new session with version " + Next->value()));
  }
  m_Candidates.push_back(direct(Found->second, Request, Target));
  m_Candidates.back().m_Rule = RouteRule::Pinned;
  return Done{};
}

const VersionId *Router::replacementFor(const CompiledTeam &Team, Index Model) const {
  const CompiledVersion *Best = nullptr;
  for (Index At : m_Models[Model].m_Versions)
    if (offered(Team, m_Models[Model], At) &&
        (Best == nullptr || m_Versions[At].m_PriorQuality > Best->m_PriorQuality))
      Best = &m_Versions[At];
  return Best == nullptr ? nullptr : &Best->m_Id;
}

Expected<Done> Router::gather(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                              double Target) {
  m_Candidates.clear();
  if (Request.m_Pinned)
    return gatherPinned(Team, Model, Request, Target);
  const CompiledModel &Known = m_Models[Model];
  bool AnyAllowed = false;
  for (Index At : Known.m_Versions) {
    AnyAllowed = AnyAllowed || Team.m_Versions[At];
    if (offered(Team, Known, At) && !alreadyRejected(Known, At, Request))
      m_Candidates.push_back(direct(At, Request, Target));
  }
  if (!Request.m_DirectOnly)
    gatherCascade(Team, Known, Request);
  if (m_Candidates.empty())
    return AnyAllowed
               ? refusal(ErrorCode::NoUpstream, Request,
                         "no version of the model that the team may use is active")
               : refusal(ErrorCode::VersionNotAllowed, Request, "the team may use no version of the model");
  order(Target);
  // Once a cascade has begun, its last answer is given even if it may miss the target.
  if (m_Usable == 0 && Request.m_CascadeStep > 0)
    m_Usable = m_Candidates.size();
  if (m_Usable == 0)
    return refusal(ErrorCode::QualityUnreachable, Request,
                   "no version or cascade is likely to reach quality " + std::to_string(Target));
  explore(Request, Target);
  replaceByRollout(Known, Request, Target);
  return Done{};
}

bool Router::alreadyRejected(const CompiledModel &Model, Index Version, const RouteRequest &Request) {
  const std::size_t Done = std::min<std::size_t>(Request.m_CascadeStep, Model.m_Cascade.size());
  return std::any_of(Model.m_Cascade.begin(), Model.m_Cascade.begin() + static_cast<std::ptrdiff_t>(Done),
                     [&](const CompiledStep &Each) { return Each.m_Version == Version; });
}

/// Puts the candidates that reach the target first, by cost. If there is none, those that may reach it follow
/// by their lower bounds.
void Router::order(double Target) {
  const bool Reached = std::any_of(m_Candidates.begin(), m_Candidates.end(),
                                   [&](const Candidate &Each) { return Each.m_Lower >= Target; });
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
  m_Usable = 0;
  for (Candidate &Each : m_Candidates) {
    const bool Usable = Reached ? Each.m_Lower >= Target : Each.m_Upper >= Target;
    m_Usable += Usable ? 1 : 0;
    if (!Reached && Each.m_Rule == RouteRule::Direct)
      Each.m_Rule = RouteRule::BestEffort;
  }
}

/// With the exploration share, puts a cheaper candidate that may reach the target first. New sessions are
/// explored too, though they stay on the version: a task that comes in sessions only would otherwise never
/// learn of a cheaper version.
void Router::explore(const RouteRequest &Request, double Target) {
  if (Request.m_CascadeStep > 0 || m_ExplorationShare <= 0.0)
    return;
  const std::uint64_t Draw = m_Random();
  if (static_cast<double>(Draw >> 11U) * 0x1.0p-53 >= m_ExplorationShare)
    return;
  const double Cost = m_Candidates.front().m_Cost;
  std::uint32_t Found = 0;
  std::size_t Chosen = 0;
  for (std::size_t At = m_Usable; At < m_Candidates.size(); ++At)
    if (m_Candidates[At].m_LastStep && m_Candidates[At].m_Cost < Cost && m_Candidates[At].m_Upper >= Target &&
        m_Random() % ++Found == 0)
      Chosen = At;
  if (Found == 0)
    return;
  Candidate Tried = m_Candidates[Chosen];
  Tried.m_Rule = RouteRule::Explore;
  m_Candidates.insert(m_Candidates.begin(), Tried);
  ++m_Usable;
}

/// Gives a key that a rollout moves the new version wherever the old one was chosen. The old one stays behind
/// it, for the case that no upstream of the new version can take the request.
void Router::replaceByRollout(const CompiledModel &Model, const RouteRequest &Request, double Target) {
  if (Model.m_Rollouts.empty())
    return;
  const std::uint64_t Key =
      stableHash(Request.m_Session ? Request.m_Session->value() : Request.m_Request.value());
  const std::size_t Chosen = m_Candidates.front().m_Rule == RouteRule::Explore ? 1 : 0;
  for (const CompiledRollout &Each : Model.m_Rollouts) {
    if (Each.m_State != RolloutState::Running || Chosen >= m_Usable ||
        m_Candidates[Chosen].m_Version != Each.m_From || m_Versions[Each.m_To].m_Withdrawn ||
        !m_Team->m_Versions[Each.m_To] ||
        !m_Rollouts.startsOnNew(Each.m_Id, mixHash(Key, stableHash(Each.m_Id.value()))))
      continue;
    Candidate Moved = direct(Each.m_To, Request, Target);
    Moved.m_Rule = m_Candidates[Chosen].m_Rule;
    Moved.m_LastStep = m_Candidates[Chosen].m_LastStep;
    Moved.m_AcceptAt = m_Candidates[Chosen].m_AcceptAt;
    Moved.m_NextStep = m_Candidates[Chosen].m_NextStep;
    m_Candidates.insert(m_Candidates.begin() + static_cast<std::ptrdiff_t>(Chosen), Moved);
    ++m_Usable;
  }
}

// --- Upstream choice

/// Collects the upstreams that are thought to hold a prefix of the prompt, the longest prefix first. The
/// prefixes are taken to divide the prompt evenly.
void Router::findHolders(const RouteRequest &Request) {
  m_Holders.clear();
  PrefixCacheIndex::Holder Found[PrefixCacheIndex::BucketSize];
  const std::size_t Count = Request.m_PrefixHashes.size();
  for (std::size_t Length = Count; Length > 0 && m_Holders.size() < MostHolders; --Length) {
    const std::uint32_t Holders = m_Upstreams.cache().find(Request.m_PrefixHashes[Length - 1], Found);
    for (std::uint32_t At = 0; At < Holders && m_Holders.size() < MostHolders; ++At) {
      const double Share = static_cast<double>(Found[At].m_Certainty) * static_cast<double>(Length) /
                           static_cast<double>(Count);
      const auto Known = std::find_if(m_Holders.begin(), m_Holders.end(), [&](const Holder &Each) {
        return Each.m_Upstream == Found[At].m_Upstream;
      });
      if (Known == m_Holders.end())
        m_Holders.push_back({Found[At].m_Upstream, Share});
      else
        Known->m_CachedShare = std::max(Known->m_CachedShare, Share);
    }
  }
}

LinkTraffic Router::trafficOf(const RouteRequest &Request) const {
  return Request.m_ExpectedTokens.value() >= m_Settings.m_LongReport ? LinkTraffic::LongReport
                                                                     : LinkTraffic::ShortAnswer;
}

Bytes Router::linkBytes(const RouteRequest &Request) const {
  return Bytes(static_cast<std::uint64_t>(
      m_Settings.m_BytesPerToken *
      static_cast<double>(Request.m_PromptTokens.value() + Request.m_ExpectedTokens.value())));
}

Router::Obstacle Router::score(Index Upstream, const RouteRequest &Request, TimePoint Now) {
  if (m_Upstreams.exclusion(Upstream, Now) != Exclusion::None)
    return Obstacle::Excluded;
  if (!Request.m_Excluded.empty() && std::find(Request.m_Excluded.begin(), Request.m_Excluded.end(),
                                               m_Upstreams.idOf(Upstream)) != Request.m_Excluded.end())
    return Obstacle::Excluded;
  const std::uint32_t Load = m_Upstreams.knownLoad(Upstream);
  const std::uint32_t Limit = m_Upstreams.limit(Upstream, Now);
  if (Load >= Limit)
    return Obstacle::Full;
  const bool Warm = m_Upstreams.warmth(Upstream, Now) == Warmth::Warm;
  double Cached = 0.0;
  for (const Holder &Each : m_Holders)
    if (Each.m_Upstream == Upstream)
      Cached = Each.m_CachedShare;
  const double Likely = m_Upstreams.likelyLoad(Upstream, m_Settings.m_Imitation, Now) + 1.0;
  const double Utilisation = Likely / Limit;
  const double Prefill =
      static_cast<double>(Request.m_PromptTokens.value()) * (1.0 - Cached) / m_Settings.m_PrefillPerSecond;
  const double Far = m_Near[Upstream] ? 0.0 : secondsOf(m_Settings.m_RegionCost);
  const double Gap = m_Upstreams.tokenGap(Upstream, Likely, secondsOf(m_Settings.m_UsualGap));
  const double Permit = Warm ? 0.0 : PermitTrip;
  const double Queue =
      Load >= Limit ? (Load + 1.0 - Limit) / Limit * m_Upstreams.serviceSeconds(Upstream) : 0.0;
  // An engine reads prompts between steps of its batch, so a busy one reads them more slowly.
  const double Wait = Prefill * (1.0 + Utilisation) + Gap + Permit + Far + Queue;
  const double Whole = Wait + Gap * static_cast<double>(Request.m_ExpectedTokens.value());
  if (Now + durationOf(Whole) > Request.m_Deadline)
    return Obstacle::Deadline;
  // Reports lag, so a nearly full upstream may be full by now. The cube leaves lightly loaded ones equal.
  const double Pressure = m_Settings.m_Pressure * Utilisation * Utilisation * Utilisation;
  m_Scored.push_back({Upstream, Whole + Pressure, Wait, Cached, (Load + 1.0) / Limit});
  return Obstacle::None;
}

/// Scores upstreams spread evenly over a list from a random start; all of it if the spread ones cannot take
/// the request.
Router::Obstacle Router::sample(const std::vector<Index> &Hosts, const RouteRequest &Request, TimePoint Now) {
  const std::size_t Count = Hosts.size();
  const std::size_t Sample = std::min<std::size_t>(Count, m_Settings.m_Sample);
  Obstacle Worst = Count == 0 ? Obstacle::NoHost : Obstacle::None;
  const std::size_t Before = m_Scored.size();
  if (Count == 0)
    return Worst;
  const std::size_t Start = Count > Sample ? m_Random() % Count : 0;
  for (std::size_t At = 0; At < Sample; ++At)
    Worst = std::max(Worst, score(Hosts[(Start + At * Count / Sample) % Count], Request, Now));
  if (m_Scored.size() == Before && Sample < Count)
    for (Index Each : Hosts)
      Worst = std::max(Worst, score(Each, Request, Now));
  return m_Scored.size() == Before ? Worst : Obstacle::None;
}

Router::Obstacle Router::place(const Candidate &Choice, const RouteRequest &Request, TimePoint Now) {
  const CompiledVersion &Version = m_Versions[Choice.m_Version];
  m_Scored.clear();
  for (const Holder &Each : m_Holders)
    if (Each.m_Upstream < m_Near.size() && m_Near[Each.m_Upstream] && Version.m_Serves[Each.m_Upstream])
      score(Each.m_Upstream, Request, Now);
  Obstacle Worst = sample(Version.m_NearHosts, Request, Now);
  // The link is paid for by volume: the other region is looked at only when this one is nearly full.
  double Least = std::numeric_limits<double>::infinity();
  for (const Scored &Each : m_Scored)
    Least = std::min(Least, Each.m_Utilisation);
  if (Least >= m_Settings.m_SpillAt && !Version.m_FarHosts.empty()) {
    if (m_Link.allows(trafficOf(Request), linkBytes(Request), Now))
      Worst = std::max(Worst, sample(Version.m_FarHosts, Request, Now));
    else
      Worst = std::max(Worst, Obstacle::Link);
  }
  if (!m_Scored.empty())
    return Obstacle::None;
  return Worst == Obstacle::NoHost && !Version.m_Hosts.empty() ? Obstacle::Excluded : Worst;
}

/// Picks at random among the scores close to the best one. Daemons that hold the same lagging reports would
/// otherwise all send to the same upstream until the next report.
const Router::Scored &Router::pickNearEqual() {
  double Best = std::numeric_limits<double>::infinity();
  for (const Scored &Each : m_Scored)
    Best = std::min(Best, Each.m_Score);
  const double Bound = Best * (1.0 + m_Settings.m_NearEqual);
  std::uint32_t Count = 0;
  for (const Scored &Each : m_Scored)
    Count += Each.m_Score <= Bound ? 1 : 0;
  std::uint64_t Skip = Count > 1 ? m_Random() % Count : 0;
  for (const Scored &Each : m_Scored)
    if (Each.m_Score <= Bound && Skip-- == 0)
      return Each;
  return m_Scored.front();
}

// --- Decisions

Error Router::refusal(ErrorCode Code, const RouteRequest &Request, std::string Detail) const {
  return {Code, "route request " + Request.m_Request.value() + " of team " + Request.m_Team.value(), "",
          Ran::No, std::move(Detail)};
}

Error Router::refusalFor(Obstacle Worst, const RouteRequest &Request, TimePoint Now) const {
  const std::string Version = m_Versions[m_Candidates.front().m_Version].m_Id.value();
  switch (Worst) {
  case Obstacle::Deadline:
    return refusal(ErrorCode::DeadlineUnreachable, Request,
                   "no upstream of version " + Version + " can answer before the deadline");
  case Obstacle::Full:
    return refusal(ErrorCode::Overloaded, Request,
                   "all upstreams of version " + Version + " are at their limits");
  case Obstacle::Link:
    return refusal(ErrorCode::LinkBudgetSpent, Request,
                   "only the other region serves version " + Version + ", and the link's budget is spent");
  case Obstacle::Excluded:
  case Obstacle::NoHost:
  case Obstacle::None:
    break;
  }
  const std::vector<Index> &Hosts = m_Versions[m_Candidates.front().m_Version].m_Hosts;
  if (!Hosts.empty() && std::all_of(Hosts.begin(), Hosts.end(), [&](Index At) {
        return m_Upstreams.exclusion(At, Now) == Exclusion::DomainOut;
      }))
    return refusal(ErrorCode::DomainOut, Request,
                   "all failure domains that serve version " + Version + " are out of service");
  return refusal(ErrorCode::NoUpstream, Request,
                 Hosts.empty() ? "no upstream serves version " + Version
                               : "all upstreams of version " + Version +
                                     " are excluded: draining, leaving, not reachable or failed before");
}

Expected<RouteDecision> Router::decide(const RouteRequest &Request, TimePoint Now) {
  RouteDecision Decision;
  Expected<Done> Outcome = decideInto(Request, Now, Decision);
  if (!Outcome)
    return Outcome.error();
  return Decision;
}

Expected<Done> Router::decideInto(const RouteRequest &Request, TimePoint Now, RouteDecision &Into) {
  const auto Team = m_Teams.find(Request.m_Team);
  if (Team == m_Teams.end())
    return refusal(ErrorCode::Unauthorized, Request, "unknown team");
  const auto Model = m_ModelIndex.find(Request.m_Model);
  if (Model == m_ModelIndex.end() || !Team->second.m_Models[Model->second])
    return refusal(ErrorCode::ModelNotAllowed, Request,
                   "the team may not use model " + Request.m_Model.value());
  if (m_HostsGeneration != m_Upstreams.generation() || Now - m_HostsRefreshedAt >= HostRefresh)
    refreshHosts(Now);
  const double Target = Request.m_Quality.value_or(Team->second.m_QualityTarget);
  m_Team = &Team->second;
  m_QualityRow = m_Quality.rowIndex(Request.m_Team, Request.m_Task);
  m_QualityTask = m_Quality.taskIndex(Request.m_Task);
  m_Usable = 1;
  Expected<Done> Gathered = gather(Team->second, Model->second, Request, Target);
  if (!Gathered)
    return Gathered;
  findHolders(Request);
  Obstacle Worst = Obstacle::NoHost;
  for (std::size_t At = 0; At < m_Usable; ++At) {
    const Obstacle Met = place(m_Candidates[At], Request, Now);
    if (Met == Obstacle::None) {
      fill(m_Candidates[At], pickNearEqual(), Target, Now, Into);
      return Done{};
    }
    Worst = std::max(Worst, Met);
  }
  return refusalFor(Worst, Request, Now);
}

void Router::fill(const Candidate &Choice, const Scored &Best, double Target, TimePoint Now,
                  RouteDecision &Into) const {
  Into.m_Upstream = m_Upstreams.idOf(Best.m_Upstream);
  Into.m_Version = m_Versions[Choice.m_Version].m_Id;
  Into.m_RateBeforeRelease = !Choice.m_LastStep;
  Into.m_StreamBeforeRating = Choice.m_StreamBeforeRating && Choice.m_LastStep;
  Into.m_AcceptAt = Choice.m_AcceptAt;
  Into.m_NextCascadeStep = Choice.m_NextStep;
  Into.m_PredictedQuality = Choice.m_Mean;
  Into.m_Why.m_Rule = Choice.m_Rule;
  Into.m_Why.m_LowerBound = Choice.m_Lower;
  Into.m_Why.m_Target = Target;
  Into.m_Why.m_ExpectedCost = Choice.m_Cost;
  fillUpstream(Best, Now, Into);
}

void Router::fillUpstream(const Scored &Best, TimePoint Now, RouteDecision &Into) const {
  Into.m_Why.m_Warmth = m_Upstreams.warmth(Best.m_Upstream, Now);
  Into.m_Why.m_OtherRegion = !m_Near[Best.m_Upstream];
  Into.m_Why.m_KnownLoad = m_Upstreams.knownLoad(Best.m_Upstream);
  Into.m_Why.m_Limit = m_Upstreams.limit(Best.m_Upstream, Now);
  Into.m_Why.m_Considered = static_cast<std::uint32_t>(m_Scored.size());
  Into.m_Why.m_CachedShare = Best.m_CachedShare;
  Into.m_NeedsPermit = Into.m_Why.m_Warmth != Warmth::Warm;
  Into.m_ExpectedWait = durationOf(Best.m_Wait);
}

Expected<RouteDecision> Router::decideService(const ServiceRequest &Request, TimePoint Now) {
  const auto Refuse = [&](ErrorCode Code, std::string Detail) {
    return Error{Code, "route call of service " + Request.m_Service.value(), "", Ran::No, std::move(Detail)};
  };
  const auto Team = m_Teams.find(Request.m_Team);
  if (Team == m_Teams.end())
    return Refuse(ErrorCode::Unauthorized, "unknown team " + Request.m_Team.value());
  const auto Service = m_ServiceIndex.find(Request.m_Service);
  if (Service == m_ServiceIndex.end() || !Team->second.m_Services[Service->second])
    return Refuse(ErrorCode::ServiceNotAllowed,
                  "team " + Request.m_Team.value() + " may not use the service");
  m_Scored.clear();
  bool AnyOpen = false;
  bool AllOut = true;
  const std::vector<Index> &Hosts = m_Services[Service->second].m_Hosts;
  for (Index At : Hosts) {
    const Exclusion Excluded = m_Upstreams.exclusion(At, Now);
    AllOut = AllOut && Excluded == Exclusion::DomainOut;
    if (Excluded != Exclusion::None || std::find(Request.m_Excluded.begin(), Request.m_Excluded.end(),
                                                 m_Upstreams.idOf(At)) != Request.m_Excluded.end())
      continue;
    AnyOpen = true;
    const std::uint32_t Load = m_Upstreams.knownLoad(At);
    const std::uint32_t Limit = m_Upstreams.limit(At, Now);
    if (Load >= Limit)
      continue;
    const double Wait =
        CallSeconds * (Load + 1.0) / Limit + (m_Near[At] ? 0.0 : secondsOf(m_Settings.m_RegionCost));
    if (Now + durationOf(Wait) <= Request.m_Deadline)
      m_Scored.push_back({At, Wait, Wait, 0.0, 0.0});
  }
  if (m_Scored.empty() && AnyOpen)
    return Now >= Request.m_Deadline
               ? Refuse(ErrorCode::DeadlineUnreachable, "the deadline has passed")
               : Refuse(ErrorCode::Overloaded, "all upstreams of the service are at their limits");
  if (m_Scored.empty())
    return !Hosts.empty() && AllOut
               ? Refuse(ErrorCode::DomainOut, "all failure domains that run the service are out of service")
               : Refuse(ErrorCode::NoUpstream, "all upstreams of the service are excluded");
  RouteDecision Decision;
  const Scored &Best = pickNearEqual();
  Decision.m_Upstream = m_Upstreams.idOf(Best.m_Upstream);
  Decision.m_Why.m_Rule = RouteRule::Service;
  fillUpstream(Best, Now, Decision);
  return Decision;
}

// --- Life of an attempt

void Router::onDispatched(const AttemptId &Attempt, const RouteRequest &Request,
                          const RouteDecision &Decision, TimePoint Now) {
  onDispatched(Attempt, Decision, Now);
  const Index At = m_Upstreams.indexOf(Decision.m_Upstream);
  if (At == UpstreamTable::NoIndex)
    return;
  for (std::uint64_t Each : Request.m_PrefixHashes)
    m_Upstreams.assumeCached(At, Each);
  // The decision has checked the budget; another request may have spent it since, and this one is under way.
  if (Decision.m_Why.m_OtherRegion && !m_Link.take(trafficOf(Request), linkBytes(Request), Now))
    (void)m_Link.take(LinkTraffic::Control, linkBytes(Request), Now);
}

void Router::onDispatched(const AttemptId &Attempt, const RouteDecision &Decision, TimePoint Now) {
  const Index At = m_Upstreams.indexOf(Decision.m_Upstream);
  if (At == UpstreamTable::NoIndex ||
      !m_Attempts.try_emplace(Attempt, Running{Decision.m_Upstream, Now}).second)
    return;
  m_Upstreams.addOutstanding(At, Now);
}

void Router::onFirstToken(const AttemptId &Attempt, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  if (const Index At = m_Upstreams.indexOf(Found->second.m_Upstream); At != UpstreamTable::NoIndex)
    m_Upstreams.onServed(At, Now);
}

void Router::onFinished(const AttemptId &Attempt, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  if (const Index At = m_Upstreams.indexOf(Found->second.m_Upstream); At != UpstreamTable::NoIndex) {
    m_Upstreams.onServed(At, Now);
    m_Upstreams.onServiceTime(At, Now - Found->second.m_Since);
    m_Upstreams.removeOutstanding(At, Now, Found->second.m_Since);
  }
  m_Attempts.erase(Found);
}

void Router::onFailed(const AttemptId &Attempt, ErrorCode Code, TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  const UpstreamId Upstream = Found->second.m_Upstream;
  const TimePoint Sent = Found->second.m_Since;
  m_Attempts.erase(Found);
  if (const Index At = m_Upstreams.indexOf(Upstream); At != UpstreamTable::NoIndex)
    m_Upstreams.removeOutstanding(At, Now, Sent);
  if (Code == ErrorCode::UpstreamTimeout)
    m_Upstreams.onTimeout(Upstream);
  else if (Code == ErrorCode::UpstreamRefused)
    m_Upstreams.onRefused(Upstream);
  else if (Code == ErrorCode::UpstreamConnect)
    m_Upstreams.setUnreachable(Upstream, Now + ConnectPause);
}

} // namespace bulrushpitch
