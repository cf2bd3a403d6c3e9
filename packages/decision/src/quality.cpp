#include "bulrushpitch/decision/quality.h"

#include <algorithm>
#include <cmath>

namespace bulrushpitch {

namespace {

constexpr Duration DecayInterval = std::chrono::seconds(10);
/// Weight of the prior rating variance against the observed one, in ratings.
constexpr double PriorVarianceRatings = 10.0;
/// Number of ratings with several uses. Change detection requires this many ratings of the team and this
/// weight of recent ratings; the variance between teams includes only teams with this many ratings. After a
/// change, a team's history counts as at most this many ratings.
constexpr double RatingCountThreshold = 6.0;
/// Weight of the prior variance between teams against the estimated one, in teams.
constexpr double PriorVarianceTeams = 2.0;

/// Normal distribution of a mean, updated by observations.
struct NormalEstimate {
  double m_Mean;
  double m_Variance;

  void observe(double Count, double Sum, double RatingVariance, double GroupVariance) {
    if (Count <= 1e-9)
      return;
    const double ObservationVariance = RatingVariance / Count + GroupVariance;
    const double Gain = m_Variance / (m_Variance + ObservationVariance);
    m_Mean += Gain * (Sum / Count - m_Mean);
    m_Variance *= 1.0 - Gain;
  }
};

double square(double Value) { return Value * Value; }

/// Sums over the teams that rated a version for a task, from which the variance between teams is estimated.
struct TeamMoments {
  double m_Teams = 0.0;
  double m_Count = 0.0;
  double m_CountSquared = 0.0;
  double m_Sum = 0.0;
  double m_WeightedSquares = 0.0; ///< Sum of the counts times the squared means.

  void add(double Count, double Sum) {
    if (Count < RatingCountThreshold)
      return;
    m_Teams += 1.0;
    m_Count += Count;
    m_CountSquared += Count * Count;
    m_Sum += Sum;
    m_WeightedSquares += Sum * Sum / Count;
  }

  double teamVariance(double RatingVariance, double PriorVariance) const {
    if (m_Teams < 2.0)
      return PriorVariance;
    const double BetweenSquares = m_WeightedSquares - m_Sum * m_Sum / m_Count;
    const double Estimated =
        (BetweenSquares - (m_Teams - 1.0) * RatingVariance) / (m_Count - m_CountSquared / m_Count);
    return (PriorVarianceTeams * PriorVariance + m_Teams * std::max(Estimated, 0.0)) /
           (PriorVarianceTeams + m_Teams);
  }
};

} // namespace

QualityEstimator::QualityEstimator(QualitySettings Settings) : m_Settings(Settings) {}

void QualityEstimator::growTo(std::vector<RatingSums> &Sums, std::size_t Size) {
  if (Sums.size() < Size)
    Sums.resize(Size);
}

void QualityEstimator::setConfiguration(const Configuration &Config) {
  for (const auto &[Id, Configured] : Config.m_Versions) {
    const auto Found = m_VersionIndices.find(Id);
    if (Found != m_VersionIndices.end()) {
      m_PriorMeans[static_cast<std::size_t>(Found->second)] = Configured.m_PriorQuality;
      continue;
    }
    m_VersionIndices.emplace(Id, static_cast<std::int32_t>(m_Versions.size()));
    m_Versions.push_back(Id);
    m_PriorMeans.push_back(Configured.m_PriorQuality);
  }
  growTo(m_VersionSums, m_Versions.size());
  for (std::vector<RatingSums> &TaskSums : m_TaskSums)
    growTo(TaskSums, m_Versions.size());
  for (Row &TeamRow : m_Rows)
    growTo(TeamRow.m_SumsByVersion, m_Versions.size());
}

QualityEstimator::Row &QualityEstimator::rowFor(const TeamId &Team, const TaskName &Task) {
  const auto [TaskEntry, TaskIsNew] =
      m_TaskIndices.try_emplace(Task, static_cast<std::int32_t>(m_TaskSums.size()));
  if (TaskIsNew)
    m_TaskSums.emplace_back(m_Versions.size());
  const auto [RowEntry, RowIsNew] =
      m_RowIndices[Team].try_emplace(Task, static_cast<std::int32_t>(m_Rows.size()));
  if (RowIsNew)
    m_Rows.push_back(Row{Team, Task, TaskEntry->second, std::vector<RatingSums>(m_Versions.size())});
  return m_Rows[static_cast<std::size_t>(RowEntry->second)];
}

void QualityEstimator::decay(TimePoint Now) {
  if (!m_DecayStarted) {
    m_DecayStarted = true;
    m_LastDecay = Now;
  }
  if (Now - m_LastDecay < DecayInterval)
    return;
  const double Factor = std::exp2(-secondsOf(Now - m_LastDecay) / secondsOf(m_Settings.m_HalfLife));
  m_LastDecay = Now;
  const auto DecaySums = [Factor](std::vector<RatingSums> &SumsByVersion) {
    for (RatingSums &Sums : SumsByVersion) {
      Sums.m_Count *= Factor;
      Sums.m_Sum *= Factor;
      Sums.m_SumOfSquares *= Factor;
    }
  };
  DecaySums(m_VersionSums);
  for (std::vector<RatingSums> &TaskSums : m_TaskSums)
    DecaySums(TaskSums);
  for (Row &TeamRow : m_Rows)
    DecaySums(TeamRow.m_SumsByVersion);
  updateTeamVariance();
}

/// Estimates the variance between teams by the method of moments (DerSimonian and Laird). Where teams rate
/// alike, the estimate for a team with few ratings then follows the ratings of all teams.
void QualityEstimator::updateTeamVariance() {
  m_TeamVariance.assign(m_TaskSums.size(),
                        std::vector<double>(m_Versions.size(), square(m_Settings.m_TeamDeviation)));
  std::vector<TeamMoments> Moments;
  for (std::size_t Task = 0; Task < m_TaskSums.size(); ++Task) {
    Moments.assign(m_Versions.size(), TeamMoments{});
    for (const Row &TeamRow : m_Rows)
      for (std::size_t Version = 0;
           Version < m_Versions.size() && TeamRow.m_TaskIndex == static_cast<std::int32_t>(Task); ++Version)
        Moments[Version].add(TeamRow.m_SumsByVersion[Version].m_Count,
                             TeamRow.m_SumsByVersion[Version].m_Sum);
    for (std::size_t Version = 0; Version < m_Versions.size(); ++Version)
      m_TeamVariance[Task][Version] = Moments[Version].teamVariance(ratingVariance(m_TaskSums[Task][Version]),
                                                                    square(m_Settings.m_TeamDeviation));
  }
}

void QualityEstimator::addRating(RatingSums &Sums, double Rating) {
  Sums.m_Count += 1.0;
  Sums.m_Sum += Rating;
  Sums.m_SumOfSquares += Rating * Rating;
}

/// Adds a rating to the recent ratings of @p TaskSums and tests whether they differ from the older ones.
/// Ratings are compared with the mean of the same team. If they were compared with the mean of all teams, a
/// change in the mix of teams would look like a change of the version.
bool QualityEstimator::addRecentRating(RatingSums &TaskSums, const RatingSums &TeamSums,
                                       double Rating) const {
  if (TeamSums.m_Count < RatingCountThreshold)
    return false;
  const double DecayFactor = 1.0 - 1.0 / m_Settings.m_RecentWindow;
  TaskSums.m_RecentWeight = TaskSums.m_RecentWeight * DecayFactor + 1.0;
  TaskSums.m_RecentDifferenceSum =
      TaskSums.m_RecentDifferenceSum * DecayFactor + Rating - TeamSums.m_Sum / TeamSums.m_Count;
  if (TaskSums.m_RecentWeight < RatingCountThreshold)
    return false;
  // An exponentially weighted mean of total weight W has the variance of a plain mean of 2 W - 1 ratings.
  const double StandardError = std::sqrt(ratingVariance(TaskSums) / (2.0 * TaskSums.m_RecentWeight - 1.0));
  return std::abs(TaskSums.m_RecentDifferenceSum / TaskSums.m_RecentWeight) >
         m_Settings.m_ChangeThreshold * StandardError;
}

double QualityEstimator::ratingVariance(const RatingSums &Sums) const {
  const double SquaredDeviations =
      Sums.m_Count > 0.0 ? std::max(0.0, Sums.m_SumOfSquares - square(Sums.m_Sum) / Sums.m_Count) : 0.0;
  return (SquaredDeviations + PriorVarianceRatings * square(m_Settings.m_PriorRatingDeviation)) /
         (Sums.m_Count + PriorVarianceRatings);
}

/// Shifts the means of all teams by the recent mean difference and limits their weight to
/// RatingCountThreshold.
void QualityEstimator::discountHistory(std::int32_t VersionIndex, std::int32_t TaskIndex) {
  const std::size_t Version = static_cast<std::size_t>(VersionIndex);
  RatingSums &TaskSums = m_TaskSums[static_cast<std::size_t>(TaskIndex)][Version];
  const double Shift = TaskSums.m_RecentDifferenceSum / TaskSums.m_RecentWeight;
  RatingSums NewTaskSums;
  for (Row &TeamRow : m_Rows) {
    RatingSums &TeamSums = TeamRow.m_SumsByVersion[Version];
    if (TeamRow.m_TaskIndex != TaskIndex || TeamSums.m_Count <= 0.0)
      continue;
    const double Mean = std::clamp(TeamSums.m_Sum / TeamSums.m_Count + Shift, 0.0, 1.0);
    const double Variance =
        std::max(0.0, TeamSums.m_SumOfSquares / TeamSums.m_Count - square(TeamSums.m_Sum / TeamSums.m_Count));
    TeamSums.m_Count = std::min(TeamSums.m_Count, RatingCountThreshold);
    TeamSums.m_Sum = TeamSums.m_Count * Mean;
    TeamSums.m_SumOfSquares = TeamSums.m_Count * (square(Mean) + Variance);
    NewTaskSums.m_Count += TeamSums.m_Count;
    NewTaskSums.m_Sum += TeamSums.m_Sum;
    NewTaskSums.m_SumOfSquares += TeamSums.m_SumOfSquares;
  }
  RatingSums &VersionSums = m_VersionSums[Version];
  VersionSums.m_Count = std::max(0.0, VersionSums.m_Count - TaskSums.m_Count) + NewTaskSums.m_Count;
  VersionSums.m_Sum = std::max(0.0, VersionSums.m_Sum - TaskSums.m_Sum) + NewTaskSums.m_Sum;
  VersionSums.m_SumOfSquares =
      std::max(0.0, VersionSums.m_SumOfSquares - TaskSums.m_SumOfSquares) + NewTaskSums.m_SumOfSquares;
  TaskSums = NewTaskSums;
}

void QualityEstimator::record(const TeamId &Team, const TaskName &Task, const VersionId &RatedVersion,
                              double Rating, TimePoint Now) {
  const auto Found = m_VersionIndices.find(RatedVersion);
  if (Found == m_VersionIndices.end() || !std::isfinite(Rating))
    return;
  const double ClampedRating = std::clamp(Rating, 0.0, 1.0);
  decay(Now);
  Row &TeamRow = rowFor(Team, Task);
  const std::size_t Version = static_cast<std::size_t>(Found->second);
  RatingSums &TaskSums = m_TaskSums[static_cast<std::size_t>(TeamRow.m_TaskIndex)][Version];
  const bool Changed = addRecentRating(TaskSums, TeamRow.m_SumsByVersion[Version], ClampedRating);
  addRating(TeamRow.m_SumsByVersion[Version], ClampedRating);
  addRating(TaskSums, ClampedRating);
  addRating(m_VersionSums[Version], ClampedRating);
  if (Changed)
    discountHistory(Found->second, TeamRow.m_TaskIndex);
}

std::int32_t QualityEstimator::versionIndex(const VersionId &Id) const {
  const auto Found = m_VersionIndices.find(Id);
  return Found == m_VersionIndices.end() ? -1 : Found->second;
}

std::int32_t QualityEstimator::teamTaskIndex(const TeamId &Team, const TaskName &Task) const {
  const auto Rows = m_RowIndices.find(Team);
  if (Rows == m_RowIndices.end())
    return -1;
  const auto Found = Rows->second.find(Task);
  return Found == Rows->second.end() ? -1 : Found->second;
}

std::int32_t QualityEstimator::taskIndex(const TaskName &Task) const {
  const auto Found = m_TaskIndices.find(Task);
  return Found == m_TaskIndices.end() ? -1 : Found->second;
}

QualityEstimate QualityEstimator::estimate(const TeamId &Team, const TaskName &Task,
                                           const VersionId &RatedVersion) const {
  return estimateAt(teamTaskIndex(Team, Task), taskIndex(Task), versionIndex(RatedVersion));
}

QualityEstimate QualityEstimator::estimateAt(std::int32_t TeamTaskIndex, std::int32_t TaskIndex,
                                             std::int32_t VersionIndex) const {
  static const RatingSums NoRatings;
  if (VersionIndex < 0)
    return {0.5, 0.5, m_Settings.m_PriorRatingDeviation};
  const std::size_t Version = static_cast<std::size_t>(VersionIndex);
  const RatingSums &VersionSums = m_VersionSums[Version];
  const RatingSums &TaskSums =
      TaskIndex < 0 ? NoRatings : m_TaskSums[static_cast<std::size_t>(TaskIndex)][Version];
  const RatingSums &TeamSums = TeamTaskIndex < 0
                                   ? NoRatings
                                   : m_Rows[static_cast<std::size_t>(TeamTaskIndex)].m_SumsByVersion[Version];
  const RatingSums &VarianceSums = TaskSums.m_Count > PriorVarianceRatings ? TaskSums : VersionSums;
  const double RatingVariance = ratingVariance(VarianceSums);
  const double TaskVariance = square(m_Settings.m_TaskDeviation);
  const bool HasTeamVariance = TaskIndex >= 0 &&
                               static_cast<std::size_t>(TaskIndex) < m_TeamVariance.size() &&
                               Version < m_TeamVariance[static_cast<std::size_t>(TaskIndex)].size();
  const double TeamVariance = HasTeamVariance ? m_TeamVariance[static_cast<std::size_t>(TaskIndex)][Version]
                                              : square(m_Settings.m_TeamDeviation);
  NormalEstimate Quality{m_PriorMeans[Version], square(m_Settings.m_PriorDeviation)};
  Quality.observe(VersionSums.m_Count - TaskSums.m_Count, VersionSums.m_Sum - TaskSums.m_Sum, RatingVariance,
                  TaskVariance);
  Quality.m_Variance += TaskVariance;
  Quality.observe(TaskSums.m_Count - TeamSums.m_Count, TaskSums.m_Sum - TeamSums.m_Sum, RatingVariance,
                  TeamVariance);
  Quality.m_Variance += TeamVariance;
  Quality.observe(TeamSums.m_Count, TeamSums.m_Sum, RatingVariance, 0.0);
  return {Quality.m_Mean, std::sqrt(Quality.m_Variance), std::sqrt(RatingVariance)};
}

QualitySummary QualityEstimator::exportSummary(const TeamId &Team) const {
  QualitySummary Summary{Team, {}};
  for (const Row &TeamRow : m_Rows) {
    if (TeamRow.m_Team != Team)
      continue;
    for (std::size_t Version = 0; Version < TeamRow.m_SumsByVersion.size(); ++Version)
      if (const RatingSums &Sums = TeamRow.m_SumsByVersion[Version]; Sums.m_Count > 0.0)
        Summary.m_Entries.push_back(
            {TeamRow.m_Task, m_Versions[Version], Sums.m_Count, Sums.m_Sum, Sums.m_SumOfSquares});
  }
  return Summary;
}

void QualityEstimator::importSummary(const QualitySummary &Summary, double WeightFactor) {
  const auto AddEntry = [WeightFactor](RatingSums &Sums, const QualitySummary::Entry &Entry) {
    Sums.m_Count += Entry.m_Count * WeightFactor;
    Sums.m_Sum += Entry.m_Sum * WeightFactor;
    Sums.m_SumOfSquares += Entry.m_SumOfSquares * WeightFactor;
  };
  for (const QualitySummary::Entry &Imported : Summary.m_Entries) {
    const std::int32_t Version = versionIndex(Imported.m_Version);
    if (Version < 0 || !(Imported.m_Count > 0.0))
      continue;
    Row &TeamRow = rowFor(Summary.m_Team, Imported.m_Task);
    AddEntry(TeamRow.m_SumsByVersion[static_cast<std::size_t>(Version)], Imported);
    AddEntry(m_TaskSums[static_cast<std::size_t>(TeamRow.m_TaskIndex)][static_cast<std::size_t>(Version)],
             Imported);
    AddEntry(m_VersionSums[static_cast<std::size_t>(Version)], Imported);
  }
}

} // namespace bulrushpitch
