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
#include <memory>
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
  ~Router();

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
  struct Parts;
  std::unique_ptr<Parts> m_Parts;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROUTER_H
