#ifndef BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
#define BULRUSHPITCH_FORWARD_VERSION_TRIAL_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/objects.h"
#include "bulrushpitch/forward/placement.h"
#include "bulrushpitch/forward/usual_latency.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief How an answer on a service under trial went.
struct TrialSample {
  std::string m_Route;
  ModelId m_Model;       ///< Empty if the route has none.
  bool m_OnNew = false;  ///< It ran on the new version.
  bool m_Failed = false; ///< The upstream failed; a caller that left or a refusal does not count.
  Duration m_Latency{};  ///< To the head of the answer; zero if there was none.
  Duration m_Expected{}; ///< Time to the head that the size of the request explains; zero: unknown.
  bool m_Cold = false;   ///< Its upstream had just started, so that its latency says nothing.
};

/// @brief What a daemon does in the roll-out of a service.
struct TrialRole {
  bool m_Judges = true;     ///< Whether it collects what the others have seen, and decides.
  std::uint32_t m_Slot = 0; ///< Its place in the service's own order of the daemons.
};

/// @brief Chooses the daemons that judge a new version. All daemons try it, as a session that has run on it
/// must find it at each of them; a few of them collect what was seen, whatever the size of the fleet.
/// @param Service whose roll-out it is; another service has other judges
TrialRole trialRole(const ServiceId &Service, const PlacementContext &Here);

/// @brief One roll-out of a service, as this daemon sees it.
///
/// A cumulative sum test compares how often the new version's answers are bad with the old one's, on each
/// route and on all together: a version may be bad on one route only. It forgets good answers, so that a
/// version that turns bad late is found as fast as one that is bad from the start. An answer is bad if it
/// failed, or came several times later than the old version's usual one. Daemons tell one another their
/// evidence, so that the sum finds a version that fails a little at each of them. Answers that came while the
/// old version itself was slower than usual don't speak for the new one. Not thread-safe.
class VersionTrial {
public:
  /// @param MostExposure share of the service's requests that may reach a bad version from the order to the
  /// time limit
  /// @param SeenAt when this daemon learnt of the order
  VersionTrial(TrialOrder Order, double MostExposure, TimePoint SeenAt);

  /// @brief Takes what the daemons have decided together.
  void setState(TrialState State) { m_State = State; }
  /// @brief Notes that the daemons' decisions have been read since the order was seen. Before, no request
  /// runs on the new version: it may have been rolled back while this daemon was away.
  void confirm() { m_Confirmed = true; }
  TrialState state() const { return m_State; }
  const TrialOrder &order() const { return m_Order; }

  /// @brief Notes that an upstream of the new version is registered. The later the first one comes, the
  /// larger the share of requests that the version gets, as the exposure counts from the order on.
  void onUpstream(TimePoint Now);
  /// @brief Takes the outcome of an answer.
  void record(const TrialSample &Sample);

  /// @brief Says on which versions a request may run.
  /// @param RequestHash spreads requests evenly over 0..2^64-1
  /// @param InSession whether the request belongs to a session, which keeps its version in the first half.
  /// The version then gets a larger share in the second half.
  VersionRule ruleFor(std::uint64_t RequestHash, bool InSession, TimePoint Now);

  /// @return what this daemon would decide now: rolled back on evidence, completed near the end of the time
  /// limit when the new version has answered often enough on each route without evidence, else running
  TrialState verdict(TimePoint Now) const;
  /// @return this daemon's largest cumulative evidence against the new version
  double evidence() const;
  /// @return whether this daemon's evidence alone is enough to roll back
  bool convinced() const;
  /// @brief Takes what another daemon has seen. Evidence fades, as that daemon tells mostly of what speaks
  /// against the version.
  void onPeerEvidence(const InstanceId &Daemon, const std::vector<RouteEvidence> &Seen, TimePoint Now);
  /// @return whether the new version has answered here, so that others have seen it as well
  bool tried() const;
  /// @brief Hands over what this daemon has seen if the evidence has risen since it was handed over last, and
  /// any news when the version is about to be completed.
  std::optional<std::vector<RouteEvidence>> takeNews(TimePoint Now);

private:
  /// Of one route, or of all together.
  struct Tally {
    double m_OldAnswers = 0.0;
    double m_OldBad = 0.0;
    double m_Evidence = 0.0;
    std::uint64_t m_NewAnswers = 0; ///< Of those that could be judged.
    std::uint64_t m_NewBad = 0;
  };
  struct Told {
    double m_Evidence = 0.0;
    std::uint64_t m_Answers = 0;
    std::uint64_t m_Bad = 0;
    TimePoint m_At{};
  };
  using RouteName = std::string;

  /// What one answer of the new version says, as log likelihood ratio of "bad" against "good".
  struct AnswerWeights {
    double m_Bad = 0.0;
    double m_Good = 0.0;
  };
  static AnswerWeights weightsOf(const Tally &Counted);
  static void take(Tally &Counted, bool OnNew, bool Bad, bool Judged);
  bool isSlow(const TrialSample &Sample) const;
  /// @return evidence of all daemons on a route
  double pooledEvidence(const RouteName &Route, TimePoint Now) const;
  /// @return log likelihood ratio of "bad" against "good" over all answers that the daemons have told of
  double pooledRatio(const RouteName &Route) const;
  double largestPooledEvidence(TimePoint Now) const;
  bool isBad(TimePoint Now) const;
  /// @return whether the new version has answered often and well enough on all routes in use
  bool triedEnough() const;
  double passedShare(TimePoint Now) const;
  /// @return share of all daemons' requests that runs on the new version
  double trialShare() const;

  TrialOrder m_Order;
  double m_MostExposure;
  TimePoint m_SeenAt;
  TrialState m_State = TrialState::Running;
  bool m_Confirmed = false;
  double m_StartShare = 0.0; ///< Part of the time limit that had passed when the first upstream came.
  bool m_Started = false;
  bool m_HasSessions = false; ///< Some requests belong to sessions.
  std::map<std::pair<RouteName, ModelId>, UsualLatency> m_OldLatency;
  std::map<RouteName, Tally> m_Tallies; ///< With one for all routes together, under the empty name.
  double m_LastTold = 0.0;              ///< Largest evidence at the last takeNews().
  std::uint64_t m_LastToldAnswers = 0;
  std::map<InstanceId, std::map<RouteName, Told>> m_Peers;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
