#ifndef BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
#define BULRUSHPITCH_FORWARD_VERSION_TRIAL_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/objects.h"
#include "bulrushpitch/forward/placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bulrushpitch {

/// @brief How an answer on a service under trial went.
struct TrialSample {
  std::string m_Route;
  bool m_OnNew = false;  ///< It ran on the new version.
  bool m_Failed = false; ///< The upstream failed; a caller that left or a refusal does not count.
  Duration m_Latency{};  ///< To the head of the answer; zero if there was none.
};

/// @brief One roll-out of a service, as this daemon sees it.
///
/// A cumulative sum test compares the new version's failures with the old one's: it forgets good answers, so
/// that a version that turns bad late is found as fast as one that is bad from the start. An answer that
/// comes several times later than the old version's usual one on the same route counts as a failure. Daemons
/// tell one another their evidence, so that the sum finds a version that fails a little at each of them. Not
/// thread-safe.
class VersionTrial {
public:
  /// @param SeenAt when this daemon learnt of the order
  VersionTrial(TrialOrder Order, TimePoint SeenAt);

  /// @brief Takes what the daemons have decided together.
  void setState(TrialState State) { m_State = State; }
  /// @brief Notes that the daemons' decisions have been read since the order was seen. Before, no request
  /// runs on the new version: it may have been rolled back while this daemon was away.
  void confirm() { m_Confirmed = true; }
  TrialState state() const { return m_State; }
  const TrialOrder &order() const { return m_Order; }

  /// @brief Takes the outcome of an answer.
  void record(const TrialSample &Sample);

  /// @brief Says on which versions a request may run.
  /// @param RequestHash spreads requests evenly over 0..2^64-1
  /// @param InSession whether the request belongs to a session, which keeps its version in the first half
  VersionRule ruleFor(std::uint64_t RequestHash, bool InSession, TimePoint Now) const;

  /// @return what this daemon would decide now: rolled back on evidence, completed when the trial has lasted
  /// long enough and the new version has answered often enough without evidence, else running
  TrialState verdict(TimePoint Now) const;
  /// @return this daemon's cumulative evidence against the new version
  double evidence() const { return m_Evidence; }
  /// @return whether this daemon's evidence alone is enough to roll back
  bool convinced() const;
  /// @brief Takes what another daemon has seen. It fades, as that daemon tells only of what speaks against
  /// the version.
  void onPeerEvidence(const InstanceId &Daemon, double Evidence, TimePoint Now);
  /// @brief Hands over this daemon's evidence if it has risen since it was handed over last.
  std::optional<double> takeNews();

private:
  struct RouteLatency {
    double m_MeanSeconds = 0.0;
    std::uint64_t m_Count = 0;
  };
  double peerEvidence(TimePoint Now) const;
  bool isBad(TimePoint Now) const;
  bool isSlow(const TrialSample &Sample) const;

  TrialOrder m_Order;
  TimePoint m_SeenAt;
  TrialState m_State = TrialState::Running;
  bool m_Confirmed = false;
  std::map<std::string, RouteLatency> m_OldLatency;
  double m_OldAnswers = 0.0;
  double m_OldFailures = 0.0;
  std::uint64_t m_NewAnswers = 0;
  double m_Evidence = 0.0;
  double m_LastTold = 0.0; ///< Evidence at the last takeNews().
  struct Told {
    double m_Evidence = 0.0;
    TimePoint m_At{};
  };
  std::map<InstanceId, Told> m_Peers;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
