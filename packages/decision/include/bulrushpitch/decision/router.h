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
  RegionId m_Region;                  ///< Where this daemon runs.
  double m_Confidence = 1.64;         ///< Standard deviations between the mean and a confidence bound.
  double m_PrefillPerSecond = 8000.0; ///< Prompt tokens per second that an engine reads.
  Duration m_UsualGap = std::chrono::milliseconds(20); ///< Between tokens, for engines without reports.
  Duration m_RegionCost =
      std::chrono::milliseconds(120); ///< Wait that a request in the own region accepts first.
  double m_SpillAt =
      0.75; ///< Utilisation of the own region's best upstream from which the other one is compared.
  double m_Pressure = 0.05; ///< Seconds that a full upstream's score has beside its wait.
  double m_Imitation =
      7.0; ///< Other daemons that choose among the same upstreams, see UpstreamTable::likelyLoad.
  double m_BytesPerToken = 24.0;    ///< On the link between regions, with framing.
  std::uint64_t m_LongReport = 800; ///< Expected tokens from which an answer is a long report on the link.
  std::uint32_t m_Sample = 12;      ///< Upstreams compared per version, beside those that hold the prefix.
  double m_NearEqual = 0.02;        ///< Scores within this share of the best count as equal.
};

/// @brief A call of a plain service.
struct ServiceRequest {
  TeamId m_Team;
  ServiceId m_Service;
  TimePoint m_Deadline;
  std::vector<UpstreamId> m_Excluded; ///< Upstreams that already failed for this call.
};

/// @brief Decides where each request goes.
///
/// A decision takes constant time in the number of upstreams: it compares a sample of the version's upstreams
/// and falls back to all of them only when none of the sample can take the request. Not thread-safe.
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

  /// @brief Takes a configuration, with the restrictions applied (see applyRestrictions), here and in the
  /// quality estimates, the upstream table and the rollouts. The configuration is not referred to afterwards.
  void setConfiguration(const Configuration &Config, TimePoint Now);

  /// @brief Decides where a model request goes.
  /// @return the decision, or an error of family 2xx or 4xx with Ran::No. Error 404 means that every
  /// permitted upstream is full now: the request may wait in an AdmissionQueue.
  Expected<RouteDecision> decide(const RouteRequest &Request, TimePoint Now);

  /// @brief As decide, but reuses the buffers of @p Into: it allocates nothing unless it refuses.
  Expected<Done> decideInto(const RouteRequest &Request, TimePoint Now, RouteDecision &Into);

  /// @brief Decides where a call of a plain service goes.
  /// @return the decision, or an error of family 2xx or 4xx with Ran::No
  Expected<RouteDecision> decideService(const ServiceRequest &Request, TimePoint Now);

  /// @name Life of an attempt; calls for an unknown attempt are ignored
  /// @{
  void onDispatched(const AttemptId &Attempt, const RouteRequest &Request, const RouteDecision &Decision,
                    TimePoint Now);
  void onDispatched(const AttemptId &Attempt, const RouteDecision &Decision, TimePoint Now);
  void onFirstToken(const AttemptId &Attempt, TimePoint Now);
  void onFinished(const AttemptId &Attempt, TimePoint Now);
  /// @param Code UpstreamTimeout and UpstreamRefused are signs of coldness; UpstreamConnect marks the
  /// upstream as not reachable for a second
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
    std::int32_t m_Quality = -1;    ///< Index in the quality estimates.
    std::vector<Index> m_Hosts;     ///< All upstreams that serve the version.
    std::vector<bool> m_Serves;     ///< By upstream, whether it serves the version.
    std::vector<Index> m_NearHosts; ///< Of the hosts, those in this region that are not excluded.
    std::vector<Index> m_FarHosts;  ///< Of the hosts, those in other regions that are not excluded.
  };
  struct CompiledStep {
    Index m_Version = 0;
    double m_AcceptAt = 0.0;
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
    std::vector<bool> m_Models;   ///< By model.
    std::vector<bool> m_Versions; ///< By version: whether the team may use it.
    std::vector<bool> m_Services;
  };
  struct CompiledService {
    ServiceId m_Id;
    std::vector<Index> m_Hosts;
  };
  /// A way to answer: one version, or a cascade from its current step on.
  struct Candidate {
    RouteRule m_Rule = RouteRule::Direct;
    Index m_Version = 0;
    double m_Cost = 0.0;
    double m_Mean = 0.0;
    double m_Lower = 0.0;
    double m_Upper = 0.0;
    double m_AcceptAt = 0.0;
    bool m_LastStep = true;
    std::uint32_t m_NextStep = 0;
    bool m_StreamBeforeRating = false;
  };
  struct Scored {
    Index m_Upstream = 0;
    double m_Score = 0.0; ///< Seconds.
    double m_Wait = 0.0;  ///< Seconds until the first token.
    double m_CachedShare = 0.0;
    double m_Utilisation = 0.0; ///< With the request.
  };
  /// What is known of a cascade's step.
  struct StepEstimate {
    QualityEstimate m_Quality;
    double m_Price = 0.0;
    double m_AcceptAt = 0.0;
  };
  struct CascadeValue {
    double m_Cost = 0.0;
    double m_Quality = 0.0;
  };
  struct Holder {
    Index m_Upstream = 0;
    double m_CachedShare = 0.0;
  };
  struct Running {
    UpstreamId m_Upstream;
    TimePoint m_Since;
  };
  /// Why a version's upstreams cannot take a request, in rising order of what is reported.
  enum class Obstacle : std::uint8_t { None, NoHost, Excluded, Link, Deadline, Full };

  void compileModels(const Configuration &Config);
  void compileHosts(const Configuration &Config);
  void compileTeams(const Configuration &Config);
  void refreshHosts(TimePoint Now);

  Expected<Done> gather(const CompiledTeam &Team, Index Model, const RouteRequest &Request, double Target);
  Expected<Done> gatherPinned(const CompiledTeam &Team, Index Model, const RouteRequest &Request,
                              double Target);
  void gatherCascade(const CompiledTeam &Team, const CompiledModel &Model, const RouteRequest &Request);
  CascadeValue cascadeValue(std::size_t Lowered) const;
  Candidate direct(Index Version, const RouteRequest &Request, double Target) const;
  bool offered(const CompiledTeam &Team, const CompiledModel &Model, Index Version) const;
  static bool alreadyRejected(const CompiledModel &Model, Index Version, const RouteRequest &Request);
  double price(const CompiledVersion &Version, const RouteRequest &Request) const;
  void order(double Target);
  void explore(const RouteRequest &Request, double Target);
  void replaceByRollout(const CompiledModel &Model, const RouteRequest &Request, double Target);
  const VersionId *replacementFor(const CompiledTeam &Team, Index Model) const;

  void findHolders(const RouteRequest &Request);
  Obstacle place(const Candidate &Choice, const RouteRequest &Request, TimePoint Now);
  Obstacle sample(const std::vector<Index> &Hosts, const RouteRequest &Request, TimePoint Now);
  Obstacle score(Index Upstream, const RouteRequest &Request, TimePoint Now);
  const Scored &pickNearEqual();
  LinkTraffic trafficOf(const RouteRequest &Request) const;
  Bytes linkBytes(const RouteRequest &Request) const;

  void fill(const Candidate &Choice, const Scored &Best, double Target, TimePoint Now,
            RouteDecision &Into) const;
  void fillUpstream(const Scored &Best, TimePoint Now, RouteDecision &Into) const;
  Error refusal(ErrorCode Code, const RouteRequest &Request, std::string Detail) const;
  Error refusalFor(Obstacle Worst, const RouteRequest &Request, TimePoint Now) const;

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
  std::vector<bool> m_Near; ///< By upstream, whether it is in this region.
  std::unordered_map<AttemptId, Running> m_Attempts;
  std::uint64_t m_HostsGeneration = 0;
  TimePoint m_HostsRefreshedAt{};

  // State of the decision under way, kept to reuse the buffers.
  const CompiledTeam *m_Team = nullptr;
  std::int32_t m_QualityRow = -1;
  std::int32_t m_QualityTask = -1;
  std::size_t m_Usable = 0; ///< Candidates at the front that the request may use.
  std::vector<Candidate> m_Candidates;
  std::vector<StepEstimate> m_Steps;
  std::vector<Scored> m_Scored;
  std::vector<Holder> m_Holders;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROUTER_H
