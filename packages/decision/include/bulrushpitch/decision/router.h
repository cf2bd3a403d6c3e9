#ifndef BULRUSHPITCH_DECISION_ROUTER_H
#define BULRUSHPITCH_DECISION_ROUTER_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/decision/link_budget.h"
#include "bulrushpitch/decision/quality.h"
#include "bulrushpitch/decision/rollout.h"
#include "bulrushpitch/decision/route.h"
#include "bulrushpitch/decision/upstreams.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief Settings of the router.
struct RouterSettings {
  RegionId m_Region;                        ///< Region of this daemon.
  double m_BoundStandardErrors = 1.64;      ///< Standard errors between the mean and a confidence bound.
  double m_PrefillTokensPerSecond = 8000.0; ///< Prefill rate of an engine in prompt tokens per second.
  /// Inter-token latency of an idle engine, used for engines that have not reported any.
  Duration m_BaselineInterTokenLatency = std::chrono::milliseconds(20);
  /// Added to the expected wait at an upstream in another region.
  Duration m_CrossRegionPenalty = std::chrono::milliseconds(120);
  /// Known utilisation of the least utilised upstream in this region from which upstreams in other regions
  /// are considered.
  double m_SpilloverUtilisation = 0.75;
  /// Seconds added to the score of an upstream whose estimated load equals its limit; scales with the cube of
  /// the estimated utilisation.
  double m_FullUpstreamPenalty = 0.05;
  /// Requests of other daemons assumed per own request: the number of other daemons that choose among the
  /// same upstreams, see UpstreamTable::estimatedLoad.
  double m_OtherDaemonRequestRatio = 7.0;
  double m_BytesPerToken = 24.0; ///< Bytes on the inter-region link per token, including framing.
  /// Number of expected tokens from which an answer counts as long on the inter-region link.
  std::uint64_t m_LongAnswerTokens = 800;
  /// Upstreams compared per version, in addition to those that are assumed to cache a prefix of the prompt.
  std::uint32_t m_SampleSize = 12;
  double m_ScoreTolerance = 0.02; ///< Scores within this share of the best score count as equal.
};

/// @brief A call of a plain service.
struct ServiceRequest {
  TeamId m_Team;
  ServiceId m_Service;
  TimePoint m_Deadline;
  std::vector<UpstreamId> m_ExcludedUpstreams; ///< Upstreams where it failed or was denied a permit.
};

/// @brief Chooses the version and the upstream for each request.
///
/// The time for a decision is constant in the number of upstreams: it compares a sample of the version's
/// upstreams and falls back to all of them only if none of the sample can accept the request. Not
/// thread-safe.
///
/// @code
/// Router Routes(Quality, Upstreams, Rollouts, Link, {RegionId("west")}, seededRandom(1));
/// Routes.setConfiguration(Config, Now);
/// Expected<RouteDecision> Decision = Routes.decide(Request, Now);
/// if (Decision)
///   Routes.onDispatched(Attempt, Request, *Decision, Now);
/// @endcode
class Router {
public:
  /// @brief The referenced objects must outlive the router.
  Router(QualityEstimator &Quality, UpstreamTable &Upstreams, RolloutController &Rollouts, LinkBudget &Link,
         RouterSettings Settings, RandomHook Random);

  /// @brief Applies a configuration to the router, the quality estimates, the upstream table and the
  /// rollouts. No reference to the configuration is kept.
  /// @param Config configuration to which the restrictions have been applied, see applyRestrictions
  void setConfiguration(const Configuration &Config, TimePoint Now);

  /// @brief Chooses the version and the upstream for a model request.
  /// @return the decision, or an error of family 2xx or 4xx with Ran::No. Error 404 (Overloaded) means that
  /// every permitted upstream is at its limit: the request may wait in an AdmissionQueue.
  Expected<RouteDecision> decide(const RouteRequest &Request, TimePoint Now);

  /// @brief Like decide(), but reuses the buffers of @p Decision and allocates memory only for a rejection.
  Expected<Done> decideInto(const RouteRequest &Request, TimePoint Now, RouteDecision &Decision);

  /// @brief Chooses the upstream for a call of a plain service.
  /// @return the decision, or an error of family 2xx or 4xx with Ran::No
  Expected<RouteDecision> decideService(const ServiceRequest &Request, TimePoint Now);

  /// @name Attempt lifecycle. Calls for an unknown attempt are ignored.
  /// @{
  void onDispatched(const AttemptId &Attempt, const RouteRequest &Request, const RouteDecision &Decision,
                    TimePoint Now);
  void onDispatched(const AttemptId &Attempt, const RouteDecision &Decision, TimePoint Now);
  void onFirstToken(const AttemptId &Attempt, TimePoint Now);
  void onFinished(const AttemptId &Attempt, TimePoint Now);
  /// @param Code UpstreamRefused and repeated UpstreamTimeout mark the upstream as cold; UpstreamConnect
  /// marks it as unreachable for one second
  void onFailed(const AttemptId &Attempt, ErrorCode Code, TimePoint Now);
  /// @}

private:
  using Index = std::uint32_t;

  struct CompiledVersion {
    VersionId m_Id;
    Index m_Model = 0;
    bool m_Withdrawn = false;
    double m_PromptPrice = 0.0;
    double m_CompletionPrice = 0.0;
    double m_PriorQuality = 0.0;
    std::int32_t m_QualityIndex = -1;      ///< Index of the version in the quality estimates.
    std::vector<Index> m_ServingUpstreams; ///< All upstreams that serve the version.
    std::vector<bool> m_ServedBy;          ///< Indexed by upstream: whether it serves the version.
    std::vector<Index> m_LocalUpstreams;   ///< Those in this region that are not excluded.
    std::vector<Index> m_RemoteUpstreams;  ///< Those in other regions that are not excluded.
  };
  struct CompiledStep {
    Index m_Version = 0;
    double m_AcceptAt = 0.0; ///< Minimum rating at which the answer is kept.
  };
  struct CompiledRollout {
    RolloutId m_Id;
    Index m_From = 0;
    Index m_To = 0;
    RolloutState m_State = RolloutState::Running;
  };
  struct CompiledModel {
    ModelId m_Id;
    std::vector<Index> m_Versions;
    std::vector<CompiledStep> m_Cascade;
    std::vector<CompiledRollout> m_Rollouts;
  };
  struct CompiledTeam {
    double m_QualityTarget = 0.0;
    std::vector<bool> m_Models;   ///< Indexed by model: whether the team may use it.
    std::vector<bool> m_Versions; ///< Indexed by version: whether the team may use it.
    std::vector<bool> m_Services; ///< Indexed by service: whether the team may use it.
  };
  struct CompiledService {
    ServiceId m_Id;
    std::vector<Index> m_ServingUpstreams;
  };
  /// One way to serve a request: a single version, or a cascade from its current step on.
  struct Candidate {
    RouteRule m_Rule = RouteRule::Direct;
    Index m_Version = 0;
    double m_Cost = 0.0;     ///< Microcents.
    double m_Mean = 0.0;     ///< Mean estimate of the quality.
    double m_Lower = 0.0;    ///< Lower confidence bound of the quality.
    double m_Upper = 0.0;    ///< Upper confidence bound of the quality.
    double m_AcceptAt = 0.0; ///< Minimum rating at which the answer of a cascade step is kept.
    bool m_IsFinal = true;   ///< The answer is kept whatever its rating: not a cascade with further steps.
    std::uint32_t m_NextStep = 0; ///< See RouteDecision::m_NextCascadeStep.
    bool m_StreamBeforeRating = false;
  };
  struct ScoredUpstream {
    Index m_Upstream = 0;
    double m_Score = 0.0; ///< Seconds until the last token, plus the load penalty; lower is better.
    double m_Wait = 0.0;  ///< Seconds until the first token.
    double m_CachedShare = 0.0;
    double m_KnownUtilisation = 0.0; ///< Known load including this request, relative to the limit.
  };
  /// Estimated quality and price of a cascade step.
  struct StepEstimate {
    QualityEstimate m_Quality;
    double m_Price = 0.0;
    double m_AcceptAt = 0.0; ///< Minimum rating at which the answer is kept.
  };
  struct CascadeEstimate {
    double m_Cost = 0.0;
    double m_Quality = 0.0;
  };
  struct PrefixMatch {
    Index m_Upstream = 0;
    double m_CachedShare = 0.0;
  };
  struct RunningAttempt {
    UpstreamId m_Upstream;
    TimePoint m_SentAt;
  };
  /// Why no upstream of a version can accept a request. If there are several reasons, the highest value is
  /// reported.
  enum class RejectionReason : std::uint8_t {
    None,
    NoUpstream, ///< No upstream serves the version.
    Excluded,   ///< Excluded for all requests, see Exclusion, or for this one.
    LinkBudgetSpent,
    Deadline,
    AtLimit
  };

  void compileModels(const Configuration &Config);
  void compileUpstreams(const Configuration &Config);
  void compileTeams(const Configuration &Config);
  void refreshUpstreamLists(TimePoint Now);

  Expected<Done> prepareCandidates(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                                   double Target);
  Expected<Done> collectPinned(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                               double Target);
  void collectCascade(const CompiledTeam &Team, const CompiledModel &Model, const RouteRequest &Request);
  CascadeEstimate estimateCascade(std::size_t LoweredStep) const;
  Candidate directCandidate(Index Version, const RouteRequest &Request, double Target) const;
  bool isSelectable(const CompiledTeam &Team, const CompiledModel &Model, Index Version) const;
  /// @return whether the version belongs to a cascade step before the current one of the request
  static bool isBeforeCascadeStep(const CompiledModel &Model, Index Version, const RouteRequest &Request);
  double price(const CompiledVersion &Version, const RouteRequest &Request) const;
  void orderCandidates(double Target);
  void insertExploration(const RouteRequest &Request, double Target);
  void applyRollouts(const CompiledModel &Model, const RouteRequest &Request, double Target);
  const VersionId *replacementFor(const CompiledTeam &Team, Index Model) const;

  void findPrefixMatches(const RouteRequest &Request);
  RejectionReason scoreCandidate(const Candidate &Choice, const RouteRequest &Request, TimePoint Now);
  RejectionReason scoreSample(const std::vector<Index> &UpstreamIndices, const RouteRequest &Request,
                              TimePoint Now);
  RejectionReason scoreUpstream(Index Upstream, const RouteRequest &Request, TimePoint Now);
  const ScoredUpstream &pickBest();
  LinkTraffic linkTraffic(const RouteRequest &Request) const;
  Bytes linkBytes(const RouteRequest &Request) const;

  void fillDecision(const Candidate &Choice, const ScoredUpstream &Best, double Target, TimePoint Now,
                    RouteDecision &Decision) const;
  void fillUpstreamFigures(const ScoredUpstream &Best, TimePoint Now, RouteDecision &Decision) const;
  Error makeRejection(ErrorCode Code, const RouteRequest &Request, std::string Detail) const;
  Error rejectionFor(RejectionReason Reason, const RouteRequest &Request, TimePoint Now) const;

  QualityEstimator &m_Quality;
  UpstreamTable &m_Upstreams;
  RolloutController &m_Rollouts;
  LinkBudget &m_Link;
  RouterSettings m_Settings;
  RandomHook m_Random;
  double m_ExplorationShare = 0.0;

  std::unordered_map<TeamId, CompiledTeam> m_Teams;
  std::unordered_map<ModelId, Index> m_ModelIndex;
  std::unordered_map<VersionId, Index> m_VersionIndex;
  std::unordered_map<ServiceId, Index> m_ServiceIndex;
  std::vector<CompiledModel> m_Models;
  std::vector<CompiledVersion> m_Versions;
  std::vector<CompiledService> m_Services;
  std::vector<bool> m_IsLocal; ///< Indexed by upstream: whether it is in this region.
  std::unordered_map<AttemptId, RunningAttempt> m_Attempts;
  std::uint64_t m_UpstreamListsGeneration = 0;
  TimePoint m_UpstreamListsRefreshedAt{};

  // State of the current decision. The vectors are members so that their memory is reused.
  const CompiledTeam *m_Team = nullptr;
  std::int32_t m_TeamTaskIndex = -1;
  std::int32_t m_TaskIndex = -1;
  std::size_t m_UsableCount = 0; ///< The request may use this many candidates from the front of m_Candidates.
  std::vector<Candidate> m_Candidates;
  std::vector<StepEstimate> m_Steps;
  std::vector<ScoredUpstream> m_ScoredUpstreams;
  std::vector<PrefixMatch> m_PrefixMatches;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROUTER_H
