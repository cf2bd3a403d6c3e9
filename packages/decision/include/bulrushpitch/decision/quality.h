#ifndef BULRUSHPITCH_DECISION_QUALITY_H
#define BULRUSHPITCH_DECISION_QUALITY_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief Normal distribution of the estimated mean rating of a version's answers.
struct QualityEstimate {
  double m_Mean = 0.0;
  double m_StandardError = 0.0;   ///< Of the mean.
  double m_RatingDeviation = 0.0; ///< Standard deviation of a single rating.

  /// @param Z distance from the mean in standard errors
  /// @return the lower confidence bound
  double lowerBound(double Z) const { return m_Mean - Z * m_StandardError; }
  /// @param Z distance from the mean in standard errors
  /// @return the upper confidence bound
  double upperBound(double Z) const { return m_Mean + Z * m_StandardError; }
};

/// @brief Decayed rating sums of a team, as stored and exchanged between daemons.
struct QualitySummary {
  struct Entry {
    TaskName m_Task;
    VersionId m_Version;
    double m_Count = 0.0; ///< Decayed number of ratings.
    double m_Sum = 0.0;
    double m_SumOfSquares = 0.0;
  };
  TeamId m_Team;
  std::vector<Entry> m_Entries;
};

/// @brief Settings of the quality estimates.
struct QualitySettings {
  double m_PriorDeviation = 0.12; ///< Standard deviation of Version::m_PriorQuality.
  double m_TaskDeviation = 0.06;  ///< Standard deviation of the tasks' qualities around the version's.
  /// Prior standard deviation of the teams' qualities around the task's. It is used alone until two teams
  /// have enough ratings, and then combined with the estimate from the teams' ratings.
  double m_TeamDeviation = 0.03;
  double m_PriorRatingDeviation = 0.15;           ///< Prior standard deviation of single ratings.
  Duration m_HalfLife = std::chrono::minutes(30); ///< Of a rating's weight.
  /// Difference between the recent ratings and the older ones, in standard errors, from which the weight of
  /// the older ones is reduced. Successive means overlap, so at 4 a steady version loses its history about
  /// once in 30,000 ratings.
  double m_ChangeThreshold = 4.0;
  /// Number of ratings in the exponentially weighted window of recent ratings.
  double m_RecentWindow = 12.0;
};

/// @brief Estimates the quality of each version for each team and task from delayed, sampled ratings.
///
/// The estimate is hierarchical: it starts at the configured prior and is updated with the version's ratings
/// for other tasks, with those of other teams for the task, and with the team's own ratings for the task. A
/// team without ratings gets the estimate of all teams, with a larger standard error. Not thread-safe.
///
/// @code
/// QualityEstimator Quality;
/// Quality.setConfiguration(Config);
/// Quality.record(TeamId("guild"), TaskName("answer"), VersionId("small-2"), 0.8, Now);
/// double Bound = Quality.estimate(TeamId("guild"), TaskName("answer"),
/// VersionId("small-2")).lowerBound(1.64);
/// @endcode
class QualityEstimator {
public:
  explicit QualityEstimator(QualitySettings Settings = {});

  /// @brief Adds new versions and updates the priors of known ones. All ratings are kept.
  void setConfiguration(const Configuration &Config);

  /// @brief Records a rating. Ratings of unknown versions and ratings that are not finite are ignored.
  /// @param Rating from 0 to 1; other values are clamped to this range
  /// @complexity constant; every 10 s linear in the number of estimates
  void record(const TeamId &Team, const TaskName &Task, const VersionId &RatedVersion, double Rating,
              TimePoint Now);

  /// @return the estimate; mean 0.5 and standard error 0.5 for an unknown version
  /// @complexity constant
  QualityEstimate estimate(const TeamId &Team, const TaskName &Task, const VersionId &RatedVersion) const;

  /// @brief Exports a team's rating sums, for the object `quality/<team>`.
  QualitySummary exportSummary(const TeamId &Team) const;
  /// @brief Adds the rating sums of a summary. Entries of unknown versions are ignored.
  /// @param WeightFactor factor for the weight of the ratings, from 0 to 1; below 1 it widens the uncertainty
  void importSummary(const QualitySummary &Summary, double WeightFactor = 0.5);

  /// @name Access by index, for the router
  /// @{
  /// @return the index of a version, or -1
  std::int32_t versionIndex(const VersionId &Id) const;
  /// @return the index of a pair of team and task, or -1 if it has no ratings
  std::int32_t teamTaskIndex(const TeamId &Team, const TaskName &Task) const;
  /// @return the index of a task, or -1 if it has no ratings
  std::int32_t taskIndex(const TaskName &Task) const;
  /// @param TeamTaskIndex from teamTaskIndex(), may be -1
  /// @param TaskIndex from taskIndex(), may be -1
  /// @param VersionIndex from versionIndex(), may be -1
  /// @return the same estimate as estimate()
  QualityEstimate estimateAt(std::int32_t TeamTaskIndex, std::int32_t TaskIndex,
                             std::int32_t VersionIndex) const;
  /// @}

private:
  struct RatingSums {
    double m_Count = 0.0;
    double m_Sum = 0.0;
    double m_SumOfSquares = 0.0;
    double m_RecentWeight = 0.0; ///< Used per task only: total weight of the recent ratings.
    double m_RecentDifferenceSum =
        0.0; ///< Used per task only: weighted sum of their differences from the teams' means.
  };
  struct Row {
    TeamId m_Team;
    TaskName m_Task;
    std::int32_t m_TaskIndex = 0;
    std::vector<RatingSums> m_SumsByVersion; ///< By version index.
  };
  using IndexByTask = std::unordered_map<TaskName, std::int32_t>;

  void decay(TimePoint Now);
  void updateTeamVariance();
  static void addRating(RatingSums &Sums, double Rating);
  /// @return whether the recent ratings differ from the older ones
  bool addRecentRating(RatingSums &TaskSums, const RatingSums &TeamSums, double Rating) const;
  double ratingVariance(const RatingSums &Sums) const;
  void discountHistory(std::int32_t VersionIndex, std::int32_t TaskIndex);
  Row &rowFor(const TeamId &Team, const TaskName &Task);
  static void growTo(std::vector<RatingSums> &Sums, std::size_t Size);

  QualitySettings m_Settings;
  std::unordered_map<VersionId, std::int32_t> m_VersionIndices;
  std::vector<VersionId> m_Versions;
  std::vector<double> m_PriorMeans;
  std::vector<RatingSums> m_VersionSums; ///< Sums of all teams and tasks, by version index.
  IndexByTask m_TaskIndices;
  std::vector<std::vector<RatingSums>> m_TaskSums; ///< Sums of all teams, by task and version index.
  std::unordered_map<TeamId, IndexByTask> m_RowIndices;
  std::vector<Row> m_Rows;
  std::vector<std::vector<double>> m_TeamVariance; ///< Variance between teams, by task and version.
  TimePoint m_LastDecay{};
  bool m_DecayStarted = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_QUALITY_H
