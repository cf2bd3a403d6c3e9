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

/// @brief Result of a rollout's sequential test of the new version.
enum class RolloutVerdict : std::uint8_t { Undecided, Good, Bad };

/// @brief Assigns new sessions to the old or the new version of a rollout, and stops the rollout if the new
/// version's ratings are too low.
///
/// The ratings are evaluated by a sequential probability ratio test of normal means with unknown, pooled
/// variance. The two versions' ratings are compared within each task, and the test decides between two
/// hypotheses: the new version's mean rating is not lower (Good), or it is lower by Rollout::m_MaxDrop (Bad).
/// Until the verdict is Good, only a part of the configured share is used, which grows with the evidence for
/// Good. Not thread-safe.
class RolloutController {
public:
  /// Called once when the test of a rollout ends with Bad, so that the daemon can issue a StopRollout
  /// restriction.
  using StopHook = std::function<void(const RolloutId &, std::string_view Reason)>;

  /// @param OnStop called when a rollout is stopped; may be empty
  explicit RolloutController(StopHook OnStop = {});

  /// @brief Replaces the rollouts. A rollout whose versions are unchanged keeps its ratings and verdict.
  void setConfiguration(const Configuration &Config);

  /// @brief Records a rating in each running rollout that has the rated version as its old or new version.
  /// Ratings of other versions, and of rollouts with the verdict Bad, are ignored.
  /// @param Rating from 0 to 1
  void record(const VersionId &RatedVersion, const TaskName &Task, double Rating);

  /// @brief Assigns a new session to a version of a rollout. For the same hash and the same effective
  /// share, all daemons choose the same version. A hash that has been assigned to the new version stays
  /// assigned to it while the share grows.
  /// @param KeyHash stable hash of the session id, or of the request id of a request without a session
  /// @return whether the session starts on the new version; false for an unknown rollout
  bool startsOnNewVersion(const RolloutId &Id, std::uint64_t KeyHash) const;

  /// @return the current share of new sessions that start on the new version, from 0 to 1; 0 for an unknown
  /// rollout
  double effectiveShare(const RolloutId &Id) const;
  /// @return the verdict so far; Undecided for an unknown rollout
  RolloutVerdict verdict(const RolloutId &Id) const;
  /// @return the log-likelihood ratio of Bad against Good; 0 for an unknown rollout
  double logLikelihoodRatio(const RolloutId &Id) const;

  /// @brief Share of a version's answers that are sent to the rating service. All answers of the new version
  /// of an undecided rollout are rated, so that a bad version is stopped after as few answers as possible.
  /// @param DefaultShare share for other versions, see Limits::m_RatingSample
  /// @return the share, from 0 to 1
  double ratingShare(const VersionId &RatedVersion, double DefaultShare) const;

private:
  struct RatingSums {
    double m_Count = 0.0;
    double m_Sum = 0.0;
    double m_SumOfSquares = 0.0;
  };
  struct Stratum {
    RatingSums m_Old;
    RatingSums m_New;
  };
  struct SequentialTest {
    Rollout m_Rollout;
    std::map<TaskName, Stratum> m_Strata;
    double m_LogLikelihoodRatio = 0.0; ///< Of Bad against Good.
    RolloutVerdict m_Verdict = RolloutVerdict::Undecided;
  };

  static void evaluate(SequentialTest &Test);
  static double currentShare(const SequentialTest &Test);
  const SequentialTest *find(const RolloutId &Id) const;

  StopHook m_OnStop;
  std::map<RolloutId, SequentialTest> m_Tests;
};

/// @return "undecided", "good" or "bad"
std::string_view nameOf(RolloutVerdict Value);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROLLOUT_H
