#ifndef BULRUSHPITCH_DECISION_QUALITY_H
#define BULRUSHPITCH_DECISION_QUALITY_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief A normal estimate of the mean rating of a version's answers.
struct QualityEstimate {
  double m_Mean = 0.0;
  double m_Deviation = 0.0; ///< Standard deviation of the estimate of the mean.
  double m_Spread = 0.0;    ///< Standard deviation of a single rating.

  /// @param Z distance from the mean in standard deviations
  /// @return the lower confidence bound
  double lowerBound(double Z) const { return m_Mean - Z * m_Deviation; }
  /// @param Z distance from the mean in standard deviations
  /// @return the upper confidence bound
  double upperBound(double Z) const { return m_Mean + Z * m_Deviation; }
};

/// @brief What is kept of a team's ratings between daemons and restarts.
struct QualitySummary {
  struct Entry {
    TaskName m_Task;
    VersionId m_Version;
    double m_Count = 0.0; ///< Ratings, with older ones counted for less.
    double m_Sum = 0.0;
    double m_SumOfSquares = 0.0;
  };
  TeamId m_Team;
  std::vector<Entry> m_Entries;
};

/// @brief Settings of the quality estimates.
struct QualitySettings {
  double m_PriorDeviation = 0.12; ///< Of Version::m_PriorQuality.
  double m_TaskDeviation = 0.06;  ///< Of a task's quality from its version's.
  double m_TeamDeviation = 0.03;  ///< Of a team's quality from its task's, before enough teams were seen.
  double m_Spread = 0.15;         ///< Of single ratings, before any was seen.
  Duration m_HalfLife = std::chrono::minutes(30); ///< After which a rating counts half.
  /// Distance of the recent ratings from the older ones, in standard errors, at which the older ones lose
  /// their weight. Successive means overlap, so at 4 a steady version loses its history about once in 30,000
  /// ratings.
  double m_ChangeAt = 4.0;
  double m_RecentRatings = 12.0; ///< Size of the window of recent ratings.
};

/// @brief Estimates the quality of each version for each team and task from late, sampled ratings.
///
/// The estimate is hierarchical: the configured prior, then all ratings of the version, then those of the
/// task by other teams, then the team's own. A team without ratings gets the wider estimate of all teams. Not
/// thread-safe.
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

  /// @brief Takes the versions and their priors; ratings of versions that stay are kept.
  void setConfiguration(const Configuration &Config);

  /// @brief Adds a rating. A rating of an unknown version is ignored.
  /// @param Rating from 0 to 1
  /// @complexity constant; every 10 s linear in the number of estimates
  void record(const TeamId &Team, const TaskName &Task, const VersionId &Rated, double Rating, TimePoint Now);

  /// @return the estimate; the widest one for an unknown version
  /// @complexity constant
  QualityEstimate estimate(const TeamId &Team, const TaskName &Task, const VersionId &Rated) const;

  /// @brief Exports a team's ratings, for the object `quality/<team>`.
  QualitySummary exportSummary(const TeamId &Team) const;
  /// @brief Adds the ratings of a summary.
  /// @param Keep share of their weight that is kept, so that the uncertainty widens; 0 to 1
  void importSummary(const QualitySummary &Summary, double Keep = 0.5);

  /// @name Access by index, for the router
  /// @{
  /// @return the index of a version, or -1
  std::int32_t versionIndex(const VersionId &Known) const;
  /// @return the index of a pair of team and task, or -1 if it has no ratings
  std::int32_t rowIndex(const TeamId &Team, const TaskName &Task) const;
  /// @return the index of a task, or -1 if it has no ratings
  std::int32_t taskIndex(const TaskName &Task) const;
  /// @return the estimate by index; @p Row and @p TaskRow may be -1
  QualityEstimate estimateAt(std::int32_t Row, std::int32_t TaskRow, std::int32_t VersionIndex) const;
  /// @}

private:
  struct Cell {
    double m_Count = 0.0;
    double m_Sum = 0.0;
    double m_SumOfSquares = 0.0;
    double m_RecentCount = 0.0; ///< Of a task only: weight of the recent ratings.
    double m_RecentSum = 0.0;   ///< Of a task only: their differences from the teams' means.
  };
  struct Row {
    TeamId m_Team;
    TaskName m_Task;
    std::int32_t m_TaskRow = 0;
    std::vector<Cell> m_Cells; ///< By version index.
  };
  using TaskRows = std::unordered_map<TaskName, std::int32_t>;

  void decay(TimePoint Now);
  void learnTeamVariance();
  static void addTo(Cell &Target, double Rating);
  bool changed(Cell &OfTask, const Cell &Own, double Rating) const;
  double spreadSquared(const Cell &Widest) const;
  void dropHistory(std::int32_t VersionIndex, std::int32_t TaskRow);
  Row &rowFor(const TeamId &Team, const TaskName &Task);
  static void grow(std::vector<Cell> &Cells, std::size_t Size);

  QualitySettings m_Settings;
  std::unordered_map<VersionId, std::int32_t> m_VersionIndex;
  std::vector<VersionId> m_Versions;
  std::vector<double> m_Prior;
  std::vector<Cell> m_ByVersion;
  TaskRows m_TaskIndex;
  std::vector<std::vector<Cell>> m_ByTask;
  std::unordered_map<TeamId, TaskRows> m_RowIndex;
  std::vector<Row> m_Rows;
  std::vector<std::vector<double>> m_TeamVariance; ///< Between teams, by task and version.
  TimePoint m_DecayedAt{};
  bool m_Started = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_QUALITY_H
