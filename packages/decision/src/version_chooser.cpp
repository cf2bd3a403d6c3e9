#include "version_chooser.h"

#include "rejection.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <optional>
#include <string>

namespace bulrushpitch {

namespace {

/// @return whether the version belongs to a cascade step before the current one of the request
bool isBeforeCascadeStep(const CompiledModel &Model, ObjectIndex Version, const RouteRequest &Request) {
  const std::size_t EarlierCount = std::min<std::size_t>(Request.m_CascadeStep, Model.m_Cascade.size());
  return std::any_of(Model.m_Cascade.begin(),
                     Model.m_Cascade.begin() + static_cast<std::ptrdiff_t>(EarlierCount),
                     [&](const CompiledStep &Step) { return Step.m_Version == Version; });
}

/// @return 0 if the lower bound reaches the target, 1 if only the upper bound does, 2 otherwise
int rankOf(const Candidate &Choice, double Target) {
  return Choice.m_Lower >= Target ? 0 : Choice.m_Upper >= Target ? 1 : 2;
}

/// @return whether a candidate is preferred: by rank, then within rank 0 by cost and otherwise by lower bound
bool isPreferred(const Candidate &Left, const Candidate &Right, double Target) {
  const int LeftRank = rankOf(Left, Target);
  const int RightRank = rankOf(Right, Target);
  if (LeftRank != RightRank)
    return LeftRank < RightRank;
  if (LeftRank == 0 && Left.m_Cost != Right.m_Cost)
    return Left.m_Cost < Right.m_Cost;
  if (LeftRank != 0 && Left.m_Lower != Right.m_Lower)
    return Left.m_Lower > Right.m_Lower;
  return Left.m_Version < Right.m_Version;
}

} // namespace

VersionChooser::VersionChooser(const CompiledConfiguration &Compiled, const QualityEstimator &Quality,
                               const RolloutController &Rollouts, const RouterSettings &Settings,
                               const RandomHook &Random)
    : m_Compiled(Compiled), m_Quality(Quality), m_Rollouts(Rollouts), m_Settings(Settings), m_Random(Random) {
}

Expected<Done> VersionChooser::choose(const VersionQuery &Query) {
  m_TeamTaskIndex = m_Quality.teamTaskIndex(Query.m_Request.m_Team, Query.m_Request.m_Task);
  m_TaskIndex = m_Quality.taskIndex(Query.m_Request.m_Task);
  m_Candidates.clear();
  m_UsableCount = 0;
  if (Query.m_Request.m_PinnedVersion)
    return choosePinned(Query);
  Expected<Done> Collected = collect(Query);
  if (!Collected)
    return Collected;
  Expected<Done> Ordered = order(Query);
  if (!Ordered)
    return Ordered;
  insertExploration(Query);
  applyRollouts(Query);
  return Done{};
}

Expected<Done> VersionChooser::choosePinned(const VersionQuery &Query) {
  const RouteRequest &Request = Query.m_Request;
  const std::optional<ObjectIndex> Index = m_Compiled.versionIndex(*Request.m_PinnedVersion);
  if (!Index || m_Compiled.version(*Index).m_Model != Query.m_Model || !Query.m_Team.m_Versions[*Index])
    return rejectRequest(ErrorCode::VersionNotAllowed, Request,
                         "version " + Request.m_PinnedVersion->value() + " is not a version of model " +
                             Request.m_Model.value() + " that the team may use");
  if (m_Compiled.version(*Index).m_Withdrawn) {
    const VersionId *Replacement = replacementFor(Query.m_Team, Query.m_Model);
    return rejectRequest(ErrorCode::VersionWithdrawn, Request,
                         "version " + Request.m_PinnedVersion->value() + " is withdrawn" +
                             (Replacement == nullptr
                                  ? std::string("; no other version is available")
                                  : "; start a new session with version " + Replacement->value()));
  }
  m_Candidates.push_back(directCandidate(*Index, Query));
  m_Candidates.back().m_Rule = RouteRule::Pinned;
  m_UsableCount = 1;
  return Done{};
}

Expected<Done> VersionChooser::collect(const VersionQuery &Query) {
  const CompiledModel &Model = m_Compiled.model(Query.m_Model);
  bool AnyAllowed = false;
  for (ObjectIndex Version : Model.m_Versions) {
    AnyAllowed = AnyAllowed || Query.m_Team.m_Versions[Version];
    if (isSelectable(Query.m_Team, Model, Version) && !isBeforeCascadeStep(Model, Version, Query.m_Request))
      m_Candidates.push_back(directCandidate(Version, Query));
  }
  if (!Query.m_Request.m_SingleVersionOnly)
    collectCascade(Query);
  if (!m_Candidates.empty())
    return Done{};
  return AnyAllowed ? rejectRequest(ErrorCode::NoUpstream, Query.m_Request,
                                    "the model has no active version that the team may use")
                    : rejectRequest(ErrorCode::VersionNotAllowed, Query.m_Request,
                                    "the team may not use any version of the model");
}

bool VersionChooser::isSelectable(const CompiledTeam &Team, const CompiledModel &Model,
                                  ObjectIndex Version) const {
  if (!Team.m_Versions[Version] || m_Compiled.version(Version).m_Withdrawn)
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

double VersionChooser::price(const CompiledVersion &Version, const RouteRequest &Request) const {
  return Version.m_PromptPrice * static_cast<double>(Request.m_PromptTokens.value()) +
         Version.m_CompletionPrice * static_cast<double>(Request.m_ExpectedTokens.value());
}

Candidate VersionChooser::directCandidate(ObjectIndex Version, const VersionQuery &Query) const {
  const CompiledVersion &Compiled = m_Compiled.version(Version);
  const QualityEstimate Quality = m_Quality.estimateAt(m_TeamTaskIndex, m_TaskIndex, Compiled.m_QualityIndex);
  Candidate Choice;
  Choice.m_Version = Version;
  Choice.m_Cost = price(Compiled, Query.m_Request);
  Choice.m_Mean = Quality.m_Mean;
  Choice.m_Lower = Quality.lowerBound(m_Settings.m_BoundStandardErrors);
  Choice.m_Upper = Quality.upperBound(m_Settings.m_BoundStandardErrors);
  Choice.m_StreamBeforeRating = Choice.m_Lower >= Query.m_Target;
  return Choice;
}

std::size_t VersionChooser::collectSteps(const VersionQuery &Query) {
  const CompiledModel &Model = m_Compiled.model(Query.m_Model);
  std::size_t FirstStep = Model.m_Cascade.size();
  m_Steps.clear();
  for (std::size_t StepIndex = Query.m_Request.m_CascadeStep; StepIndex < Model.m_Cascade.size();
       ++StepIndex) {
    const CompiledStep &Step = Model.m_Cascade[StepIndex];
    if (!isSelectable(Query.m_Team, Model, Step.m_Version))
      continue;
    FirstStep = std::min(FirstStep, StepIndex);
    const CompiledVersion &Version = m_Compiled.version(Step.m_Version);
    m_Steps.push_back({m_Quality.estimateAt(m_TeamTaskIndex, m_TaskIndex, Version.m_QualityIndex),
                       price(Version, Query.m_Request), Step.m_AcceptAt});
  }
  return FirstStep;
}

void VersionChooser::collectCascade(const VersionQuery &Query) {
  const std::size_t FirstStep = collectSteps(Query);
  // With a single step left, the version is already a direct candidate.
  if (m_Steps.size() < 2)
    return;
  const CascadeEstimate Estimate = estimateCascade(m_Steps, m_Settings.m_BoundStandardErrors);
  const CompiledStep &First = m_Compiled.model(Query.m_Model).m_Cascade[FirstStep];
  Candidate Choice;
  Choice.m_Rule = RouteRule::Cascade;
  Choice.m_Cost = Estimate.m_Cost;
  Choice.m_Mean = Estimate.m_Quality;
  Choice.m_Lower = Estimate.m_Quality - Estimate.m_QualityBound;
  Choice.m_Upper = Estimate.m_Quality + Estimate.m_QualityBound;
  Choice.m_Version = First.m_Version;
  Choice.m_AcceptAt = First.m_AcceptAt;
  Choice.m_IsFinal = false;
  Choice.m_NextStep = static_cast<std::uint32_t>(FirstStep + 1);
  m_Candidates.push_back(Choice);
}

const VersionId *VersionChooser::replacementFor(const CompiledTeam &Team, ObjectIndex Model) const {
  const CompiledModel &Compiled = m_Compiled.model(Model);
  const CompiledVersion *Best = nullptr;
  for (ObjectIndex Index : Compiled.m_Versions) {
    const CompiledVersion &Version = m_Compiled.version(Index);
    if (isSelectable(Team, Compiled, Index) &&
        (Best == nullptr || Version.m_PriorQuality > Best->m_PriorQuality))
      Best = &Version;
  }
  return Best == nullptr ? nullptr : &Best->m_Id;
}

/// Orders the candidates and determines how many of them the request may use.
Expected<Done> VersionChooser::order(const VersionQuery &Query) {
  sortCandidates(Query.m_Target);
  // After a rejected step the request must still be answered, even if the remaining candidates miss the
  // target.
  if (m_UsableCount == 0 && Query.m_Request.m_CascadeStep > 0)
    m_UsableCount = m_Candidates.size();
  if (m_UsableCount == 0)
    return rejectRequest(ErrorCode::QualityUnreachable, Query.m_Request,
                         "no version or cascade is likely to reach the quality target " +
                             std::to_string(Query.m_Target));
  return Done{};
}

/// Sorts the candidates: first those whose lower bound reaches the target, by ascending cost, then those
/// whose upper bound reaches it, by descending lower bound. The second group is usable only if the first is
/// empty.
void VersionChooser::sortCandidates(double Target) {
  std::sort(m_Candidates.begin(), m_Candidates.end(),
            [&](const Candidate &Left, const Candidate &Right) { return isPreferred(Left, Right, Target); });
  const bool AnyReaches = m_Candidates.front().m_Lower >= Target;
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
void VersionChooser::insertExploration(const VersionQuery &Query) {
  if (Query.m_Request.m_CascadeStep > 0 || m_ExplorationShare <= 0.0)
    return;
  if (unitValue(m_Random()) >= m_ExplorationShare)
    return;
  const double CurrentCost = m_Candidates.front().m_Cost;
  std::uint32_t EligibleCount = 0;
  std::size_t ExploredIndex = 0;
  for (std::size_t CandidateIndex = m_UsableCount; CandidateIndex < m_Candidates.size(); ++CandidateIndex) {
    const Candidate &Choice = m_Candidates[CandidateIndex];
    if (Choice.m_IsFinal && Choice.m_Cost < CurrentCost && Choice.m_Upper >= Query.m_Target &&
        m_Random() % ++EligibleCount == 0)
      ExploredIndex = CandidateIndex;
  }
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
void VersionChooser::applyRollouts(const VersionQuery &Query) {
  const CompiledModel &Model = m_Compiled.model(Query.m_Model);
  if (Model.m_Rollouts.empty())
    return;
  const RouteRequest &Request = Query.m_Request;
  const std::uint64_t Key =
      stableHash(Request.m_Session ? Request.m_Session->value() : Request.m_Request.value());
  const std::size_t ChosenIndex = m_Candidates.front().m_Rule == RouteRule::Explore ? 1 : 0;
  for (const CompiledRollout &Rollout : Model.m_Rollouts) {
    if (ChosenIndex >= m_UsableCount || !replaces(Rollout, m_Candidates[ChosenIndex], Query.m_Team, Key))
      continue;
    const Candidate &Replaced = m_Candidates[ChosenIndex];
    Candidate Replacement = directCandidate(Rollout.m_To, Query);
    Replacement.m_Rule = Replaced.m_Rule;
    Replacement.m_IsFinal = Replaced.m_IsFinal;
    Replacement.m_AcceptAt = Replaced.m_AcceptAt;
    Replacement.m_NextStep = Replaced.m_NextStep;
    m_Candidates.insert(m_Candidates.begin() + static_cast<std::ptrdiff_t>(ChosenIndex), Replacement);
    ++m_UsableCount;
  }
}

bool VersionChooser::replaces(const CompiledRollout &Rollout, const Candidate &Current,
                              const CompiledTeam &Team, std::uint64_t Key) const {
  return Rollout.m_State == RolloutState::Running && Current.m_Version == Rollout.m_From &&
         !m_Compiled.version(Rollout.m_To).m_Withdrawn && Team.m_Versions[Rollout.m_To] &&
         m_Rollouts.startsOnNewVersion(Rollout.m_Id, mixHash(Key, stableHash(Rollout.m_Id.value())));
}

} // namespace bulrushpitch
