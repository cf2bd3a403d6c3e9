#ifndef BULRUSHPITCH_DECISION_ROLLOUT_H
#define BULRUSHPITCH_DECISION_ROLLOUT_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief What the ratings say of a rollout's new version.
enum class RolloutVerdict : std::uint8_t { Undecided, Good, Bad };

/// @brief Assigns new sessions to the old or new version of a rollout, tests the new version, and stops.
///
/// The test is a sequential probability ratio test of normal means with unknown, pooled variance. It compares
/// the new version's ratings with the old one's, task by task, for "no loss" against "a loss of m_MaxDrop".
/// Until the verdict is Good, only part of the configured share is used; it rises with the evidence. Not
/// thread-safe.
class RolloutController {
public:
  /// Called once when a rollout stops itself, so that the daemon can issue a StopRollout restriction.
  using StopHook = std::function<void(const RolloutId &, std::string_view Reason)>;

  /// @param OnStop may be empty
  explicit RolloutController(StopHook OnStop = {});

  /// @brief Takes the rollouts. A rollout whose versions stay the same keeps its ratings and verdict.
  void setConfiguration(const Configuration &Config);

  /// @brief Adds a rating of an answer that was given while a rollout runs; others are ignored.
  /// @param Rating from 0 to 1
  void record(const VersionId &Rated, const TaskName &Task, double Rating);

  /// @brief Says which version of a rollout a new session starts on. The same key gets the new version at
  /// every daemon that uses the same share, and keeps it while the share rises.
  /// @param KeyHash stable hash of the session id, or of the request id without a session
  /// @return whether the key starts on the new version
  bool startsOnNew(const RolloutId &Id, std::uint64_t KeyHash) const;

  /// @return the share of new sessions that start on the new version now; 0 for an unknown rollout
  double effectiveShare(const RolloutId &Id) const;
  RolloutVerdict verdict(const RolloutId &Id) const;
  /// @return the log likelihood ratio of "bad" against "good"
  double evidence(const RolloutId &Id) const;

  /// @brief Share of a version's answers to send to the rating service. All answers of a version under test
  /// are rated: the fewer unrated answers a bad version gives, the fewer it gives before it is stopped.
  /// @param Usual Limits::m_RatingSample
  double ratingShare(const VersionId &Rated, double Usual) const;

private:
  struct Sums {
    double m_Count = 0.0;
    double m_Sum = 0.0;
    double m_SumOfSquares = 0.0;
  };
  struct Stratum {
    Sums m_Old;
    Sums m_New;
  };
  struct Test {
    Rollout m_Rollout;
    std::map<TaskName, Stratum> m_Strata;
    double m_Evidence = 0.0;
    RolloutVerdict m_Verdict = RolloutVerdict::Undecided;
  };

  static void evaluate(Test &Target);
  static double shareOf(const Test &Target);
  const Test *find(const RolloutId &Id) const;

  StopHook m_OnStop;
  std::map<RolloutId, Test> m_Tests;
};

/// @param Value a verdict
/// @return "undecided", "good" or "bad"
std::string_view nameOf(RolloutVerdict Value);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROLLOUT_H
