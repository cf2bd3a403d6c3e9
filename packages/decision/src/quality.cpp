#include "bulrushpitch/decision/quality.h"

#include <algorithm>
#include <cmath>

namespace bulrushpitch {

namespace {

constexpr Duration DecayStep = std::chrono::seconds(10);
/// Weight of the configured spread against the observed one, in ratings.
constexpr double SpreadPriorCount = 10.0;
/// Ratings from which a team's mean is good enough to see a change against it, and what is left after one.
constexpr double LeastForResidual = 6.0;
/// Weight of the configured variance between teams, in teams.
constexpr double TeamPriorCount = 2.0;

/// A normal belief that is narrowed by observations.
struct Belief {
  double m_Mean;
  double m_Variance;

  void observe(double Count, double Sum, double SpreadSquared, double GroupVariance) {
    if (Count <= 1e-9)
      return;
    const double Noise = SpreadSquared / Count + GroupVariance;
    const double Gain = m_Variance / (m_Variance + Noise);
    m_Mean += Gain * (Sum / Count - m_Mean);
    m_Variance *= 1.0 - Gain;
  }
};

double square(double Value) { return Value * Value; }

/// Sums over the teams of a task and version, from which the variance between teams is estimated.
struct Moments {
  double m_Teams = 0.0;
  double m_Count = 0.0;
  double m_CountSquared = 0.0;
  double m_Sum = 0.0;
  double m_WeightedSquares = 0.0; ///< Count times mean squared.

  void add(double Count, double Sum) {
    if (Count < LeastForResidual)
      return;
    m_Teams += 1.0;
    m_Count += Count;
    m_CountSquared += Count * Count;
    m_Sum += Sum;
    m_WeightedSquares += Sum * Sum / Count;
  }

  double betweenTeams(double SpreadSquared, double Prior) const {
    if (m_Teams < 2.0)
      return Prior;
    const double Scatter = m_WeightedSquares - m_Sum * m_Sum / m_Count;
    const double Found = (Scatter - (m_Teams - 1.0) * SpreadSquared) / (m_Count - m_CountSquared / m_Count);
    return (TeamPriorCount * Prior + m_Teams * std::max(Found, 0.0)) / (TeamPriorCount + m_Teams);
  }
};

} // namespace

QualityEstimator::QualityEstimator(QualitySettings Settings) : m_Settings(Settings) {}

void QualityEstimator::grow(std::vector<Cell> &Cells, std::size_t Size) {
  if (Cells.size() < Size)
    Cells.resize(Size);
}

void QualityEstimator::setConfiguration(const Configuration &Config) {
  for (const auto &[Id, Known] : Config.m_Versions) {
    const auto Found = m_VersionIndex.find(Id);
    if (Found != m_VersionIndex.end()) {
      m_Prior[static_cast<std::size_t>(Found->second)] = Known.m_PriorQuality;
      continue;
    }
    m_VersionIndex.emplace(Id, static_cast<std::int32_t>(m_Versions.size()));
    m_Versions.push_back(Id);
    m_Prior.push_back(Known.m_PriorQuality);
  }
  grow(m_ByVersion, m_Versions.size());
  for (std::vector<Cell> &Cells : m_ByTask)
    grow(Cells, m_Versions.size());
  for (Row &Each : m_Rows)
    grow(Each.m_Cells, m_Versions.size());
}

QualityEstimator::Row &QualityEstimator::rowFor(const TeamId &Team, const TaskName &Task) {
  const auto [TaskAt, TaskIsNew] = m_TaskIndex.try_emplace(Task, static_cast<std::int32_t>(m_ByTask.size()));
  if (TaskIsNew)
    m_ByTask.emplace_back(m_Versions.size());
  const auto [RowAt, RowIsNew] = m_RowIndex[Team].try_emplace(Task, static_cast<std::int32_t>(m_Rows.size()));
  if (RowIsNew)
    m_Rows.push_back(Row{Team, Task, TaskAt->second, std::vector<Cell>(m_Versions.size())});
  return m_Rows[static_cast<std::size_t>(RowAt->second)];
}

void QualityEstimator::decay(TimePoint Now) {
  if (!m_Started) {
    m_Started = true;
    m_DecayedAt = Now;
  }
  if (Now - m_DecayedAt < DecayStep)
    return;
  const double Factor = std::exp2(-std::chrono::duration<double>(Now - m_DecayedAt).count() /
                                  std::chrono::duration<double>(m_Settings.m_HalfLife).count());
  m_DecayedAt = Now;
  const auto Scale = [Factor](std::vector<Cell> &Cells) {
    for (Cell &Each : Cells) {
      Each.m_Count *= Factor;
      Each.m_Sum *= Factor;
      Each.m_SumOfSquares *= Factor;
    }
  };
  Scale(m_ByVersion);
  for (std::vector<Cell> &Cells : m_ByTask)
    Scale(Cells);
  for (Row &Each : m_Rows)
    Scale(Each.m_Cells);
  learnTeamVariance();
}

/// Learns how far teams differ, by the moments of the teams' means (DerSimonian and Laird). Where teams are
/// alike, a team with few ratings is then served by the estimate of all.
void QualityEstimator::learnTeamVariance() {
  m_TeamVariance.assign(m_ByTask.size(),
                        std::vector<double>(m_Versions.size(), square(m_Settings.m_TeamDeviation)));
  std::vector<Moments> ByVersion;
  for (std::size_t Task = 0; Task < m_ByTask.size(); ++Task) {
    ByVersion.assign(m_Versions.size(), Moments{});
    for (const Row &Each : m_Rows)
      for (std::size_t At = 0; At < m_Versions.size() && Each.m_TaskRow == static_cast<std::int32_t>(Task);
           ++At)
        ByVersion[At].add(Each.m_Cells[At].m_Count, Each.m_Cells[At].m_Sum);
    for (std::size_t At = 0; At < m_Versions.size(); ++At)
      m_TeamVariance[Task][At] =
          ByVersion[At].betweenTeams(spreadSquared(m_ByTask[Task][At]), square(m_Settings.m_TeamDeviation));
  }
}

void QualityEstimator::addTo(Cell &Target, double Rating) {
  Target.m_Count += 1.0;
  Target.m_Sum += Rating;
  Target.m_SumOfSquares += Rating * Rating;
}

/// Compares ratings with the team's own mean: against the mean of all teams, a change in the mix of teams
/// would look like a change of the version.
bool QualityEstimator::changed(Cell &OfTask, const Cell &Own, double Rating) const {
  if (Own.m_Count < LeastForResidual)
    return false;
  const double Keep = 1.0 - 1.0 / m_Settings.m_RecentRatings;
  OfTask.m_RecentCount = OfTask.m_RecentCount * Keep + 1.0;
  OfTask.m_RecentSum = OfTask.m_RecentSum * Keep + Rating - Own.m_Sum / Own.m_Count;
  if (OfTask.m_RecentCount < LeastForResidual)
    return false;
  // An exponentially weighted mean of weight W has the variance of a plain mean of 2 W - 1 ratings.
  const double Error = std::sqrt(spreadSquared(OfTask) / (2.0 * OfTask.m_RecentCount - 1.0));
  return std::abs(OfTask.m_RecentSum / OfTask.m_RecentCount) > m_Settings.m_ChangeAt * Error;
}

double QualityEstimator::spreadSquared(const Cell &Widest) const {
  const double Scatter = Widest.m_Count > 0.0
                             ? std::max(0.0, Widest.m_SumOfSquares - square(Widest.m_Sum) / Widest.m_Count)
                             : 0.0;
  return (Scatter + SpreadPriorCount * square(m_Settings.m_Spread)) / (Widest.m_Count + SpreadPriorCount);
}

/// Moves all teams' means by the recent difference, and leaves them the weight of few ratings.
void QualityEstimator::dropHistory(std::int32_t VersionIndex, std::int32_t TaskRow) {
  const std::size_t At = static_cast<std::size_t>(VersionIndex);
  Cell &Task = m_ByTask[static_cast<std::size_t>(TaskRow)][At];
  const double Shift = Task.m_RecentSum / Task.m_RecentCount;
  Cell Next;
  for (Row &Each : m_Rows) {
    Cell &Own = Each.m_Cells[At];
    if (Each.m_TaskRow != TaskRow || Own.m_Count <= 0.0)
      continue;
    const double Mean = std::clamp(Own.m_Sum / Own.m_Count + Shift, 0.0, 1.0);
    const double Scatter = std::max(0.0, Own.m_SumOfSquares / Own.m_Count - square(Own.m_Sum / Own.m_Count));
    Own.m_Count = std::min(Own.m_Count, LeastForResidual);
    Own.m_Sum = Own.m_Count * Mean;
    Own.m_SumOfSquares = Own.m_Count * (square(Mean) + Scatter);
    Next.m_Count += Own.m_Count;
    Next.m_Sum += Own.m_Sum;
    Next.m_SumOfSquares += Own.m_SumOfSquares;
  }
  Cell &All = m_ByVersion[At];
  All.m_Count = std::max(0.0, All.m_Count - Task.m_Count) + Next.m_Count;
  All.m_Sum = std::max(0.0, All.m_Sum - Task.m_Sum) + Next.m_Sum;
  All.m_SumOfSquares = std::max(0.0, All.m_SumOfSquares - Task.m_SumOfSquares) + Next.m_SumOfSquares;
  Task = Next;
}

void QualityEstimator::record(const TeamId &Team, const TaskName &Task, const VersionId &Rated, double Rating,
                              TimePoint Now) {
  const auto Found = m_VersionIndex.find(Rated);
  if (Found == m_VersionIndex.end() || !std::isfinite(Rating))
    return;
  const double Bounded = std::clamp(Rating, 0.0, 1.0);
  decay(Now);
  Row &Own = rowFor(Team, Task);
  const std::size_t At = static_cast<std::size_t>(Found->second);
  Cell &OfTask = m_ByTask[static_cast<std::size_t>(Own.m_TaskRow)][At];
  const bool Changed = changed(OfTask, Own.m_Cells[At], Bounded);
  addTo(Own.m_Cells[At], Bounded);
  addTo(OfTask, Bounded);
  addTo(m_ByVersion[At], Bounded);
  if (Changed)
    dropHistory(Found->second, Own.m_TaskRow);
}

std::int32_t QualityEstimator::versionIndex(const VersionId &Known) const {
  const auto Found = m_VersionIndex.find(Known);
  return Found == m_VersionIndex.end() ? -1 : Found->second;
}

std::int32_t QualityEstimator::rowIndex(const TeamId &Team, const TaskName &Task) const {
  const auto Rows = m_RowIndex.find(Team);
  if (Rows == m_RowIndex.end())
    return -1;
  const auto Found = Rows->second.find(Task);
  return Found == Rows->second.end() ? -1 : Found->second;
}

std::int32_t QualityEstimator::taskIndex(const TaskName &Task) const {
  const auto Found = m_TaskIndex.find(Task);
  return Found == m_TaskIndex.end() ? -1 : Found->second;
}

QualityEstimate QualityEstimator::estimate(const TeamId &Team, const TaskName &Task,
                                           const VersionId &Rated) const {
  return estimateAt(rowIndex(Team, Task), taskIndex(Task), versionIndex(Rated));
}

QualityEstimate QualityEstimator::estimateAt(std::int32_t RowAt, std::int32_t TaskRow,
                                             std::int32_t VersionIndex) const {
  static const Cell None;
  if (VersionIndex < 0)
    return {0.5, 0.5, m_Settings.m_Spread};
  const std::size_t At = static_cast<std::size_t>(VersionIndex);
  const Cell &All = m_ByVersion[At];
  const Cell &Task = TaskRow < 0 ? None : m_ByTask[static_cast<std::size_t>(TaskRow)][At];
  const Cell &Own = RowAt < 0 ? None : m_Rows[static_cast<std::size_t>(RowAt)].m_Cells[At];
  const Cell &Widest = Task.m_Count > SpreadPriorCount ? Task : All;
  const double SpreadSquared = spreadSquared(Widest);
  const double TaskVariance = square(m_Settings.m_TaskDeviation);
  const bool Learned = TaskRow >= 0 && static_cast<std::size_t>(TaskRow) < m_TeamVariance.size() &&
                       At < m_TeamVariance[static_cast<std::size_t>(TaskRow)].size();
  const double TeamVariance =
      Learned ? m_TeamVariance[static_cast<std::size_t>(TaskRow)][At] : square(m_Settings.m_TeamDeviation);
  Belief Quality{m_Prior[At], square(m_Settings.m_PriorDeviation)};
  Quality.observe(All.m_Count - Task.m_Count, All.m_Sum - Task.m_Sum, SpreadSquared, TaskVariance);
  Quality.m_Variance += TaskVariance;
  Quality.observe(Task.m_Count - Own.m_Count, Task.m_Sum - Own.m_Sum, SpreadSquared, TeamVariance);
  Quality.m_Variance += TeamVariance;
  Quality.observe(Own.m_Count, Own.m_Sum, SpreadSquared, 0.0);
  return {Quality.m_Mean, std::sqrt(Quality.m_Variance), std::sqrt(SpreadSquared)};
}

QualitySummary QualityEstimator::exportSummary(const TeamId &Team) const {
  QualitySummary Summary{Team, {}};
  for (const Row &Each : m_Rows) {
    if (Each.m_Team != Team)
      continue;
    for (std::size_t At = 0; At < Each.m_Cells.size(); ++At)
      if (const Cell &Kept = Each.m_Cells[At]; Kept.m_Count > 0.0)
        Summary.m_Entries.push_back(
            {Each.m_Task, m_Versions[At], Kept.m_Count, Kept.m_Sum, Kept.m_SumOfSquares});
  }
  return Summary;
}

void QualityEstimator::importSummary(const QualitySummary &Summary, double Keep) {
  const auto Add = [Keep](Cell &Target, const QualitySummary::Entry &Added) {
    Target.m_Count += Added.m_Count * Keep;
    Target.m_Sum += Added.m_Sum * Keep;
    Target.m_SumOfSquares += Added.m_SumOfSquares * Keep;
  };
  for (const QualitySummary::Entry &Each : Summary.m_Entries) {
    const std::int32_t At = versionIndex(Each.m_Version);
    if (At < 0 || !(Each.m_Count > 0.0))
      continue;
    Row &Own = rowFor(Summary.m_Team, Each.m_Task);
    Add(Own.m_Cells[static_cast<std::size_t>(At)], Each);
    Add(m_ByTask[static_cast<std::size_t>(Own.m_TaskRow)][static_cast<std::size_t>(At)], Each);
    Add(m_ByVersion[static_cast<std::size_t>(At)], Each);
  }
}

} // namespace bulrushpitch
