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
/// comes several times later than the old version's usual one on the same route counts as a failure. Not
/// thread-safe.
class VersionTrial {
public:
  /// @param SeenAt when this daemon learnt of the order
  VersionTrial(TrialOrder Order, TimePoint SeenAt);

  /// @brief Takes what the daemons have decided together.
  void setState(TrialState State) { m_State = State; }
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
  /// @return the cumulative evidence against the new version
  double evidence() const { return m_Evidence; }
  std::uint64_t newAnswers() const { return m_NewAnswers; }

private:
  struct RouteLatency {
    double m_MeanSeconds = 0.0;
    std::uint64_t m_Count = 0;
  };
  bool isSlow(const TrialSample &Sample) const;

  TrialOrder m_Order;
  TimePoint m_SeenAt;
  TrialState m_State = TrialState::Running;
  std::map<std::string, RouteLatency> m_OldLatency;
  double m_OldAnswers = 0.0;
  double m_OldFailures = 0.0;
  std::uint64_t m_NewAnswers = 0;
  double m_Evidence = 0.0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_VERSION_TRIAL_H
