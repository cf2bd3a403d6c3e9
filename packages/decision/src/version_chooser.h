#ifndef BULRUSHPITCH_DECISION_VERSION_CHOOSER_H
#define BULRUSHPITCH_DECISION_VERSION_CHOOSER_H

#include "cascade_estimate.h"
#include "compiled_configuration.h"

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/decision/quality.h"
#include "bulrushpitch/decision/rollout.h"
#include "bulrushpitch/decision/route.h"
#include "bulrushpitch/decision/router.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bulrushpitch {

/// @brief One way to serve a request: a single version, or a cascade from its current step on.
struct Candidate {
  RouteRule m_Rule = RouteRule::Direct;
  ObjectIndex m_Version = 0;
  double m_Cost = 0.0;          ///< Microcents.
  double m_Mean = 0.0;          ///< Mean estimate of the quality.
  double m_Lower = 0.0;         ///< Lower confidence bound of the quality.
  double m_Upper = 0.0;         ///< Upper confidence bound of the quality.
  double m_AcceptAt = 0.0;      ///< Minimum rating at which the answer of a cascade step is kept.
  bool m_IsFinal = true;        ///< The answer is kept whatever its rating: not a cascade with further steps.
  std::uint32_t m_NextStep = 0; ///< See RouteDecision::m_NextCascadeStep.
  bool m_StreamBeforeRating = false;
};

/// @brief A request for which a version is chosen.
struct VersionQuery {
  const CompiledTeam &m_Team;
  ObjectIndex m_Model;
  const RouteRequest &m_Request;
  double m_Target; ///< Quality target, 0 to 1.
};

/// @brief Chooses the versions and cascades that may serve a request, in the order in which they are tried.
class VersionChooser {
public:
  /// @brief The referenced objects must outlive this object.
  VersionChooser(const CompiledConfiguration &Compiled, const QualityEstimator &Quality,
                 const RolloutController &Rollouts, const RouterSettings &Settings, const RandomHook &Random);

  /// @param Share share of requests that are sent to a version only to measure its quality
  void setExplorationShare(double Share) { m_ExplorationShare = Share; }

  /// @brief Chooses the candidates for a request.
  /// @return error 2xx or 4xx if no version may or can serve it
  Expected<Done> choose(const VersionQuery &Query);
  /// @return the candidates of the last request, the best first; at least one after choose() succeeded
  std::span<const Candidate> candidates() const { return {m_Candidates.data(), m_UsableCount}; }

private:
  Expected<Done> choosePinned(const VersionQuery &Query);
  /// Collects the single versions and the cascade that the request may use.
  Expected<Done> collect(const VersionQuery &Query);
  void collectCascade(const VersionQuery &Query);
  /// Collects the steps from the request's current one on in m_Steps.
  /// @return index of the first one that is selectable
  std::size_t collectSteps(const VersionQuery &Query);
  Candidate directCandidate(ObjectIndex Version, const VersionQuery &Query) const;
  double price(const CompiledVersion &Version, const RouteRequest &Request) const;
  /// @return whether requests of the team may be sent to the version, apart from a running rollout
  bool isSelectable(const CompiledTeam &Team, const CompiledModel &Model, ObjectIndex Version) const;
  /// @return the version that a session on a withdrawn one should move to; null if there is none
  const VersionId *replacementFor(const CompiledTeam &Team, ObjectIndex Model) const;
  Expected<Done> order(const VersionQuery &Query);
  void sortCandidates(double Target);
  void insertExploration(const VersionQuery &Query);
  void applyRollouts(const VersionQuery &Query);
  /// @return whether the rollout's new version takes the place of a candidate
  bool replaces(const CompiledRollout &Rollout, const Candidate &Current, const CompiledTeam &Team,
                std::uint64_t Key) const;

  const CompiledConfiguration &m_Compiled;
  const QualityEstimator &m_Quality;
  const RolloutController &m_Rollouts;
  const RouterSettings &m_Settings;
  const RandomHook &m_Random;
  double m_ExplorationShare = 0.0;

  // State of the current request. The vectors are members so that their memory is reused.
  std::int32_t m_TeamTaskIndex = -1;
  std::int32_t m_TaskIndex = -1;
  std::size_t m_UsableCount = 0; ///< The request may use this many candidates from the front of m_Candidates.
  std::vector<Candidate> m_Candidates;
  std::vector<StepEstimate> m_Steps;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_VERSION_CHOOSER_H
