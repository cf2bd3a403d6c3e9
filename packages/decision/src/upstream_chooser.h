#ifndef BULRUSHPITCH_DECISION_UPSTREAM_CHOOSER_H
#define BULRUSHPITCH_DECISION_UPSTREAM_CHOOSER_H

#include "compiled_configuration.h"
#include "rejection.h"

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/decision/link_budget.h"
#include "bulrushpitch/decision/route.h"
#include "bulrushpitch/decision/router.h"
#include "bulrushpitch/decision/upstreams.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bulrushpitch {

/// @brief An upstream that can accept a request.
struct ScoredUpstream {
  ObjectIndex m_Upstream = 0;
  double m_Score = 0.0; ///< Seconds until the last token, plus the load penalty; lower is better.
  double m_Wait = 0.0;  ///< Seconds until the first token.
  double m_CachedShare = 0.0;
  double m_KnownUtilisation = 0.0; ///< Known load including this request, relative to the limit.
};

/// @return the traffic class of a request on the inter-region link
LinkTraffic linkTraffic(const RouterSettings &Settings, const RouteRequest &Request);
/// @return the expected bytes of a request and its answer on the inter-region link
Bytes linkBytes(const RouterSettings &Settings, const RouteRequest &Request);

/// @brief Chooses the upstream for a request among those that can accept it.
class UpstreamChooser {
public:
  /// @brief The referenced objects must outlive this object.
  UpstreamChooser(const CompiledConfiguration &Compiled, const UpstreamTable &Upstreams,
                  const LinkBudget &Link, const RouterSettings &Settings, const RandomHook &Random);

  /// @brief Finds the upstreams that are assumed to cache a prefix of the request's prompt. Called once per
  /// request, before scoreVersion().
  void findPrefixMatches(const RouteRequest &Request);
  /// @brief Scores upstreams of a version.
  /// @return None if at least one can accept the request; see pickBest()
  RejectionReason scoreVersion(ObjectIndex Version, const RouteRequest &Request, TimePoint Now);
  /// @brief Scores all upstreams of a plain service.
  /// @return whether any is available to the call, even if it has no spare capacity or is too slow
  bool scoreService(const CompiledService &Service, const ServiceRequest &Request, TimePoint Now);
  /// @return whether an upstream was found that can accept the request
  bool anyScored() const { return !m_ScoredUpstreams.empty(); }
  /// @return one of the best upstreams that were scored last, of which there must be at least one
  const ScoredUpstream &pickBest() const;
  /// @brief Fills the upstream and the figures about it into a decision.
  void fillDecision(const ScoredUpstream &Best, TimePoint Now, RouteDecision &Decision) const;

private:
  struct PrefixMatch {
    ObjectIndex m_Upstream = 0;
    double m_CachedShare = 0.0;
  };
  /// Load of an upstream at the time of the decision.
  struct UpstreamLoad {
    std::uint32_t m_Known = 0;
    std::uint32_t m_Limit = 0;
    double m_Estimated = 0.0; ///< Including this request.
  };
  /// Expected times of a request at an upstream, in seconds.
  struct ExpectedTimes {
    double m_Wait = 0.0;  ///< Until the first token.
    double m_Total = 0.0; ///< Until the last token.
  };

  void addPrefixMatch(ObjectIndex Upstream, double CachedShare);
  double cachedShare(ObjectIndex Upstream) const;
  bool isExcluded(ObjectIndex Upstream, const std::vector<UpstreamId> &ExcludedUpstreams,
                  TimePoint Now) const;
  double regionPenaltySeconds(ObjectIndex Upstream) const;
  RejectionReason scoreSample(const std::vector<ObjectIndex> &Upstreams, const RouteRequest &Request,
                              TimePoint Now);
  RejectionReason scoreRemote(const CompiledVersion &Version, const RouteRequest &Request, TimePoint Now);
  RejectionReason scoreUpstream(ObjectIndex Upstream, const RouteRequest &Request, TimePoint Now);
  ExpectedTimes expectedTimes(ObjectIndex Upstream, const UpstreamLoad &Load, double CachedShare,
                              const RouteRequest &Request, TimePoint Now) const;
  void scoreServiceUpstream(ObjectIndex Upstream, const ServiceRequest &Request, TimePoint Now);
  /// @return the lowest known utilisation of the scored upstreams; infinity if there are none
  double minUtilisation() const;

  const CompiledConfiguration &m_Compiled;
  const UpstreamTable &m_Upstreams;
  const LinkBudget &m_Link;
  const RouterSettings &m_Settings;
  const RandomHook &m_Random;

  // State of the current request. The vectors are members so that their memory is reused.
  std::vector<ScoredUpstream> m_ScoredUpstreams;
  std::vector<PrefixMatch> m_PrefixMatches;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_UPSTREAM_CHOOSER_H
