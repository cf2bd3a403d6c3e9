#include "bulrushpitch/decision/rollout.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace bulrushpitch {

namespace {

/// The pooled variance is counted as if this many ratings with the usual spread had been seen, so that a few
/// equal ratings do not end the test.
constexpr double PriorCount = 12.0;
constexpr double PriorVariance = 0.15 * 0.15;
/// Share of the configured share that is used before any evidence.
constexpr double FirstStage = 0.2;

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
  std::map<RolloutId, Test> Next;
  for (const auto &[Id, Wanted] : Config.m_Rollouts) {
    Test &Target = Next[Id];
    const auto Old = m_Tests.find(Id);
    if (Old != m_Tests.end() && Old->second.m_Rollout.m_From == Wanted.m_From &&
        Old->second.m_Rollout.m_To == Wanted.m_To)
      Target = std::move(Old->second);
    Target.m_Rollout = Wanted;
  }
  m_Tests = std::move(Next);
}

void RolloutController::record(const VersionId &Rated, const TaskName &Task, double Rating) {
  for (auto &[Id, Target] : m_Tests) {
    const bool IsNew = Target.m_Rollout.m_To == Rated;
    if (Target.m_Rollout.m_State != RolloutState::Running || (!IsNew && Target.m_Rollout.m_From != Rated) ||
        Target.m_Verdict == RolloutVerdict::Bad)
      continue;
    Stratum &Rows = Target.m_Strata[Task];
    Sums &Side = IsNew ? Rows.m_New : Rows.m_Old;
    Side.m_Count += 1.0;
    Side.m_Sum += Rating;
    Side.m_SumOfSquares += Rating * Rating;
    evaluate(Target);
    if (Target.m_Verdict == RolloutVerdict::Bad && m_OnStop)
      m_OnStop(Id, "ratings of " + Target.m_Rollout.m_To.value() + " are lower than those of " +
                       Target.m_Rollout.m_From.value() + " by about " +
                       std::to_string(Target.m_Rollout.m_MaxDrop) + " or more");
  }
}

void RolloutController::evaluate(Test &Target) {
  double Scatter = PriorCount * PriorVariance;
  double Freedom = PriorCount;
  double Precision = 0.0; // Weighted number of pairs.
  double Difference = 0.0;
  for (const auto &[Task, Rows] : Target.m_Strata) {
    for (const Sums &Side : {Rows.m_Old, Rows.m_New}) {
      if (Side.m_Count < 1.0)
        continue;
      Scatter += std::max(0.0, Side.m_SumOfSquares - Side.m_Sum * Side.m_Sum / Side.m_Count);
      Freedom += Side.m_Count - 1.0;
    }
    if (Rows.m_Old.m_Count < 1.0 || Rows.m_New.m_Count < 1.0)
      continue;
    const double Pairs = Rows.m_Old.m_Count * Rows.m_New.m_Count / (Rows.m_Old.m_Count + Rows.m_New.m_Count);
    Precision += Pairs;
    Difference += Pairs * (Rows.m_New.m_Sum / Rows.m_New.m_Count - Rows.m_Old.m_Sum / Rows.m_Old.m_Count);
  }
  if (Precision <= 0.0)
    return;
  const double Drop = std::max(Target.m_Rollout.m_MaxDrop, 1e-3);
  const double Mean = Difference / Precision;
  Target.m_Evidence = -Drop * Precision * (Mean + Drop / 2.0) / (Scatter / Freedom);
  if (Target.m_Evidence >= std::log((1.0 - Target.m_Rollout.m_Beta) / Target.m_Rollout.m_Alpha))
    Target.m_Verdict = RolloutVerdict::Bad;
  else if (Target.m_Evidence <= std::log(Target.m_Rollout.m_Beta / (1.0 - Target.m_Rollout.m_Alpha)))
    Target.m_Verdict = RolloutVerdict::Good;
}

double RolloutController::shareOf(const Test &Target) {
  if (Target.m_Rollout.m_State != RolloutState::Running || Target.m_Verdict == RolloutVerdict::Bad)
    return 0.0;
  if (Target.m_Verdict == RolloutVerdict::Good)
    return Target.m_Rollout.m_Share;
  const double Bound = std::log(Target.m_Rollout.m_Beta / (1.0 - Target.m_Rollout.m_Alpha));
  const double Progress = Bound < 0.0 ? std::clamp(Target.m_Evidence / Bound, 0.0, 1.0) : 0.0;
  return Target.m_Rollout.m_Share * (FirstStage + (1.0 - FirstStage) * Progress);
}

const RolloutController::Test *RolloutController::find(const RolloutId &Id) const {
  const auto Found = m_Tests.find(Id);
  return Found == m_Tests.end() ? nullptr : &Found->second;
}

bool RolloutController::startsOnNew(const RolloutId &Id, std::uint64_t KeyHash) const {
  const Test *Found = find(Id);
  if (Found == nullptr)
    return false;
  return static_cast<double>(KeyHash >> 11U) * 0x1.0p-53 < shareOf(*Found);
}

double RolloutController::effectiveShare(const RolloutId &Id) const {
  const Test *Found = find(Id);
  return Found == nullptr ? 0.0 : shareOf(*Found);
}

RolloutVerdict RolloutController::verdict(const RolloutId &Id) const {
  const Test *Found = find(Id);
  return Found == nullptr ? RolloutVerdict::Undecided : Found->m_Verdict;
}

double RolloutController::evidence(const RolloutId &Id) const {
  const Test *Found = find(Id);
  return Found == nullptr ? 0.0 : Found->m_Evidence;
}

double RolloutController::ratingShare(const VersionId &Rated, double Usual) const {
  for (const auto &[Id, Each] : m_Tests)
    if (Each.m_Rollout.m_To == Rated && Each.m_Rollout.m_State == RolloutState::Running &&
        Each.m_Verdict == RolloutVerdict::Undecided)
      return 1.0;
  return Usual;
}

} // namespace bulrushpitch
