#include "bulrushpitch/decision/rollout.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace bulrushpitch {

namespace {

/// The pooled variance includes this many ratings with the prior variance, so that a few equal ratings do not
/// end the test.
constexpr double PriorRatingCount = 12.0;
constexpr double PriorRatingVariance = 0.15 * 0.15;
/// Fraction of the configured share that is used before any ratings are recorded.
constexpr double InitialShareFraction = 0.2;

} // namespace

std::string_view nameOf(RolloutVerdict Value) {
  switch (Value) {
  case RolloutVerdict::Undecided:
    return "undecided";
  case RolloutVerdict::Good:
    return "good";
  case RolloutVerdict::Bad:
    break;
  }
  return "bad";
}

RolloutController::RolloutController(StopHook OnStop) : m_OnStop(std::move(OnStop)) {}

void RolloutController::setConfiguration(const Configuration &Config) {
  std::map<RolloutId, SequentialTest> NextTests;
  for (const auto &[Id, Configured] : Config.m_Rollouts) {
    SequentialTest &Test = NextTests[Id];
    const auto Previous = m_Tests.find(Id);
    if (Previous != m_Tests.end() && Previous->second.m_Rollout.m_From == Configured.m_From &&
        Previous->second.m_Rollout.m_To == Configured.m_To)
      Test = std::move(Previous->second);
    Test.m_Rollout = Configured;
  }
  m_Tests = std::move(NextTests);
}

void RolloutController::record(const VersionId &RatedVersion, const TaskName &Task, double Rating) {
  for (auto &[Id, Test] : m_Tests) {
    const bool IsNew = Test.m_Rollout.m_To == RatedVersion;
    if (Test.m_Rollout.m_State != RolloutState::Running ||
        (!IsNew && Test.m_Rollout.m_From != RatedVersion) || Test.m_Verdict == RolloutVerdict::Bad)
      continue;
    Stratum &TaskRatings = Test.m_Strata[Task];
    RatingSums &Sums = IsNew ? TaskRatings.m_New : TaskRatings.m_Old;
    Sums.m_Count += 1.0;
    Sums.m_Sum += Rating;
    Sums.m_SumOfSquares += Rating * Rating;
    evaluate(Test);
    if (Test.m_Verdict == RolloutVerdict::Bad && m_OnStop)
      m_OnStop(Id, "ratings of version " + Test.m_Rollout.m_To.value() + " are lower than those of version " +
                       Test.m_Rollout.m_From.value() + " by about " +
                       std::to_string(Test.m_Rollout.m_MaxDrop) + " or more");
  }
}

void RolloutController::evaluate(SequentialTest &Test) {
  double ResidualSquares = PriorRatingCount * PriorRatingVariance;
  double DegreesOfFreedom = PriorRatingCount;
  double TotalWeight = 0.0; // Sum of n_old * n_new / (n_old + n_new) over the tasks.
  double WeightedDifference = 0.0;
  for (const auto &[Task, TaskRatings] : Test.m_Strata) {
    for (const RatingSums &Sums : {TaskRatings.m_Old, TaskRatings.m_New}) {
      if (Sums.m_Count < 1.0)
        continue;
      ResidualSquares += std::max(0.0, Sums.m_SumOfSquares - Sums.m_Sum * Sums.m_Sum / Sums.m_Count);
      DegreesOfFreedom += Sums.m_Count - 1.0;
    }
    if (TaskRatings.m_Old.m_Count < 1.0 || TaskRatings.m_New.m_Count < 1.0)
      continue;
    const double StratumWeight = TaskRatings.m_Old.m_Count * TaskRatings.m_New.m_Count /
                                 (TaskRatings.m_Old.m_Count + TaskRatings.m_New.m_Count);
    TotalWeight += StratumWeight;
    WeightedDifference += StratumWeight * (TaskRatings.m_New.m_Sum / TaskRatings.m_New.m_Count -
                                           TaskRatings.m_Old.m_Sum / TaskRatings.m_Old.m_Count);
  }
  if (TotalWeight <= 0.0)
    return;
  const double MaxDrop = std::max(Test.m_Rollout.m_MaxDrop, 1e-3);
  const double MeanDifference = WeightedDifference / TotalWeight;
  Test.m_LogLikelihoodRatio =
      -MaxDrop * TotalWeight * (MeanDifference + MaxDrop / 2.0) / (ResidualSquares / DegreesOfFreedom);
  if (Test.m_LogLikelihoodRatio >= std::log((1.0 - Test.m_Rollout.m_Beta) / Test.m_Rollout.m_Alpha))
    Test.m_Verdict = RolloutVerdict::Bad;
  else if (Test.m_LogLikelihoodRatio <= std::log(Test.m_Rollout.m_Beta / (1.0 - Test.m_Rollout.m_Alpha)))
    Test.m_Verdict = RolloutVerdict::Good;
}

double RolloutController::currentShare(const SequentialTest &Test) {
  if (Test.m_Rollout.m_State != RolloutState::Running || Test.m_Verdict == RolloutVerdict::Bad)
    return 0.0;
  if (Test.m_Verdict == RolloutVerdict::Good)
    return Test.m_Rollout.m_Share;
  const double GoodThreshold = std::log(Test.m_Rollout.m_Beta / (1.0 - Test.m_Rollout.m_Alpha));
  const double Progress =
      GoodThreshold < 0.0 ? std::clamp(Test.m_LogLikelihoodRatio / GoodThreshold, 0.0, 1.0) : 0.0;
  return Test.m_Rollout.m_Share * (InitialShareFraction + (1.0 - InitialShareFraction) * Progress);
}

const RolloutController::SequentialTest *RolloutController::find(const RolloutId &Id) const {
  const auto Found = m_Tests.find(Id);
  return Found == m_Tests.end() ? nullptr : &Found->second;
}

bool RolloutController::startsOnNewVersion(const RolloutId &Id, std::uint64_t KeyHash) const {
  const SequentialTest *Found = find(Id);
  if (Found == nullptr)
    return false;
  return unitValue(KeyHash) < currentShare(*Found);
}

double RolloutController::effectiveShare(const RolloutId &Id) const {
  const SequentialTest *Found = find(Id);
  return Found == nullptr ? 0.0 : currentShare(*Found);
}

RolloutVerdict RolloutController::verdict(const RolloutId &Id) const {
  const SequentialTest *Found = find(Id);
  return Found == nullptr ? RolloutVerdict::Undecided : Found->m_Verdict;
}

double RolloutController::logLikelihoodRatio(const RolloutId &Id) const {
  const SequentialTest *Found = find(Id);
  return Found == nullptr ? 0.0 : Found->m_LogLikelihoodRatio;
}

double RolloutController::ratingShare(const VersionId &RatedVersion, double DefaultShare) const {
  for (const auto &[Id, Test] : m_Tests)
    if (Test.m_Rollout.m_To == RatedVersion && Test.m_Rollout.m_State == RolloutState::Running &&
        Test.m_Verdict == RolloutVerdict::Undecided)
      return 1.0;
  return DefaultShare;
}

} // namespace bulrushpitch
