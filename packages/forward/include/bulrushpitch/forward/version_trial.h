#ifndef BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
#define BULRUSHPITCH_FORWARD_VERSION_TRIAL_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/latency_baseline.h"
#include "bulrushpitch/forward/objects.h"
#include "bulrushpitch/forward/placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Result of an attempt at a service with a version trial.
struct TrialSample {
  std::string m_Route;
  ModelId m_Model;             ///< Empty if the route has none.
  bool m_OnNewVersion = false; ///< The request ran on the new version.
  bool m_Failed = false;       ///< The upstream failed. Disconnected callers and refusals are not recorded.
  Duration m_Latency{};        ///< To the response head; zero if there was none.
  Duration m_Expected{};       ///< Latency expected from the request's size; zero if unknown.
  bool m_Cold = false;         ///< The upstream was cold, so that the latency is no evidence.
};

/// @brief Role of a daemon in the version trial of a service.
struct TrialRole {
  bool m_Decides = true;    ///< Whether it collects the other daemons' evidence and decides.
  std::uint32_t m_Rank = 0; ///< Rank of the daemon for the service; see daemonRank().
};

/// @brief Selects the daemons that decide on a new version. All daemons send requests to it, as a session
/// that has run on the new version must stay on it at whichever daemon its requests arrive. Only a fixed
/// number of daemons collects the evidence: if each one did, the cost would grow with the square of the
/// number of daemons.
/// @param Service service of the version trial; each service has its own deciding daemons
TrialRole trialRole(const ServiceId &Service, const PlacementContext &Context);

/// @brief One version trial of a service, as seen by this daemon.
///
/// A cumulative sum (CUSUM) test compares the share of bad responses of the new version with that of the old
/// one, on each route and on all routes together, as a version may be bad on one route only. The sum does not
/// fall below zero, so that a version that turns bad late is detected as fast as one that is bad from the
/// start. A response is bad if it failed, or took several times the old version's baseline latency. Daemons
/// publish their evidence to each other, so that the pooled sum detects a version that fails a few times at
/// each of them. Responses that came while the old version itself was slower than its baseline don't count
/// towards completion. Not thread-safe.
class VersionTrial {
public:
  /// @param ExposureLimit maximum share of the service's requests that may reach a bad version from the order
  /// to the time limit
  /// @param SeenAt when this daemon first read the order; stands for the begin until agreeOnBegin()
  VersionTrial(TrialOrder Order, double ExposureLimit, TimePoint SeenAt);

  /// @brief Sets the begin of the time limit that the daemons have agreed on. A daemon that starts during the
  /// trial can't know it by itself. Once agreed, it only moves to an earlier time.
  /// @param BegunAt when the first daemon read the order, by this daemon's clock
  void agreeOnBegin(TimePoint BegunAt);
  /// @return the begin of the time limit, as far as it is known
  TimePoint begunAt() const { return m_BegunAt; }

  /// @brief Applies the daemons' common decision.
  void setState(TrialState State) { m_State = State; }
  /// @brief Records that the daemons' common decisions have been read since the order was. Before that, no
  /// request runs on the new version, which may have been rolled back while this daemon was not running.
  void confirmDecisionsRead() { m_DecisionsRead = true; }
  TrialState state() const { return m_State; }
  const TrialOrder &order() const { return m_Order; }
  /// @return whether an order is the same, whatever the version of its row
  bool hasSameOrder(const TrialOrder &Order) const;
  /// @brief Sets the row version of the order, which the operator has written again. The trial continues.
  void setOrderVersion(std::uint64_t OrderVersion) { m_Order.m_OrderVersion = OrderVersion; }

  /// @brief Records that an upstream of the new version is registered. The exposure limit is a share of all
  /// requests since the order. So the later the first upstream is registered, the larger a share of the
  /// remaining requests the version gets.
  /// @param At when it was registered; nothing if it was so before this daemon looked, since the order at
  /// worst
  void onUpstreamRegistered(std::optional<TimePoint> At);
  /// @brief Counts the result of an attempt: on the new version, as evidence; on the old one, towards its
  /// share of bad responses and its baseline latency.
  void record(const TrialSample &Sample);

  /// @brief Determines the versions that a request may run on.
  /// @param RequestHash hash of the request or its session, uniform over 0..2^64-1
  /// @param InSession whether the request belongs to a session. Sessions stay on the old version in the first
  /// half of the time limit, and while its begin isn't agreed; to compensate, the new version gets a larger
  /// share of the requests.
  VersionRule ruleFor(std::uint64_t RequestHash, bool InSession, TimePoint Now);

  /// @return this daemon's decision at this time: rolled back if there is enough evidence against the new
  /// version; completed near the end of the time limit, if there are enough good responses on each route;
  /// else running
  TrialState verdict(TimePoint Now) const;
  /// @return maximum over the routes of this daemon's cumulative evidence against the new version
  double evidence() const;
  /// @return whether this daemon's evidence alone suffices to roll back
  bool hasRollbackEvidence() const;
  /// @brief Applies evidence that another daemon published. It decays with time, as daemons publish mostly
  /// when the evidence against the version has risen.
  void onPeerEvidence(const InstanceId &Daemon, const std::vector<RouteEvidence> &Evidence, TimePoint Now);
  /// @return whether this daemon has counted responses of the new version; other daemons then probably have,
  /// too
  bool hasResponses() const;
  /// @brief Returns this daemon's evidence for publication if it has risen since the last call or, shortly
  /// before the version can be completed, if it has counted further responses.
  std::optional<std::vector<RouteEvidence>> takeUnpublishedEvidence(TimePoint Now);
  /// @brief Marks this daemon's evidence as unpublished, as the published evidence was lost.
  void publishEvidenceAgain();

private:
  /// Counts of one route, or of all routes together.
  struct Tally {
    double m_OldResponses = 0.0;
    double m_OldBad = 0.0;
    double m_Evidence = 0.0;
    std::uint64_t m_NewResponses = 0; ///< Responses that were bad or comparable.
    std::uint64_t m_NewBad = 0;
  };
  struct PeerTally {
    double m_Evidence = 0.0;
    std::uint64_t m_Responses = 0;
    std::uint64_t m_Bad = 0;
    TimePoint m_ReceivedAt{};
  };
  using RouteName = std::string;

  /// Logarithms of the likelihood ratios of "bad" against "good" for one bad and one good response of the new
  /// version.
  struct LogLikelihoodRatios {
    double m_Bad = 0.0;
    double m_Good = 0.0;
  };
  static LogLikelihoodRatios logLikelihoodRatios(const Tally &RouteTally);
  /// @param Comparable whether the response's latency could be compared with the old version's baseline
  static void countResponse(Tally &RouteTally, bool OnNewVersion, bool Bad, bool Comparable);
  bool isSlow(const TrialSample &Sample) const;
  /// @return sum of all daemons' evidence on a route
  double pooledEvidence(const RouteName &Route, TimePoint Now) const;
  /// @return log likelihood ratio of "bad" against "good" over the responses of this daemon and the published
  /// ones of the others; unlike the evidence, it may be negative and does not decay
  double pooledLogLikelihoodRatio(const RouteName &Route) const;
  double maxPooledEvidence(TimePoint Now) const;
  bool isBad(TimePoint Now) const;
  /// @return whether the new version has enough good responses on all routes in use
  bool hasEnoughGoodResponses() const;
  /// @return elapsed share of the time limit
  double elapsedTimeShare(TimePoint Now) const;
  bool isBeforeSessionSwitch(TimePoint Now) const;
  /// @return share of the requests that runs on the new version, at each daemon
  double trialShare() const;

  TrialOrder m_Order;
  double m_ExposureLimit;
  TimePoint m_BegunAt;
  bool m_BeginAgreed = false;
  TrialState m_State = TrialState::Running;
  bool m_DecisionsRead = false;
  bool m_HasUpstream = false;
  /// When the new version's first upstream was registered; nothing if it counts from the begin.
  std::optional<TimePoint> m_FirstUpstreamAt;
  bool m_HasSessions = false; ///< Whether any request belonged to a session.
  std::map<std::pair<RouteName, ModelId>, LatencyBaseline> m_OldBaseline;
  std::map<RouteName, Tally> m_Tallies; ///< The empty name stands for all routes together.
  double m_EvidenceAtLastTake = 0.0;    ///< evidence() at the last takeUnpublishedEvidence().
  std::uint64_t m_LastPublishedResponses = 0;
  std::map<InstanceId, std::map<RouteName, PeerTally>> m_Peers;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
