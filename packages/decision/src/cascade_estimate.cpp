#include "cascade_estimate.h"

#include <cmath>
#include <cstddef>
#include <numbers>

namespace bulrushpitch {

namespace {

/// Probability that the answer of a cascade step is kept, and its contribution to the expected quality.
struct StepOutcome {
  double m_KeptProbability = 0.0;
  double m_QualityContribution = 0.0; ///< Mean rating of kept answers times m_KeptProbability.
};

double normalTail(double Z) { return 0.5 * std::erfc(Z / std::numbers::sqrt2); }

double normalDensity(double Z) {
  return std::exp(-0.5 * Z * Z) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
}

StepOutcome stepOutcome(double Mean, double StandardDeviation, double AcceptAt) {
  const double Z = (AcceptAt - Mean) / StandardDeviation;
  const double KeptProbability = normalTail(Z);
  return {KeptProbability, Mean * KeptProbability + StandardDeviation * normalDensity(Z)};
}

/// @param LoweredStep index of the step whose quality is taken at its lower bound; Steps.size() for none
CascadeEstimate estimateMeans(const std::vector<StepEstimate> &Steps, double BoundStandardErrors,
                              std::size_t LoweredStep) {
  CascadeEstimate Estimate;
  double ReachProbability = 1.0;
  for (std::size_t StepIndex = 0; StepIndex < Steps.size(); ++StepIndex) {
    const StepEstimate &Step = Steps[StepIndex];
    const double Mean =
        StepIndex == LoweredStep ? Step.m_Quality.lowerBound(BoundStandardErrors) : Step.m_Quality.m_Mean;
    // The answer of the last step is kept regardless of its rating.
    const StepOutcome Outcome = StepIndex + 1 == Steps.size()
                                    ? StepOutcome{1.0, Mean}
                                    : stepOutcome(Mean, Step.m_Quality.m_RatingDeviation, Step.m_AcceptAt);
    Estimate.m_Cost += ReachProbability * Step.m_Price;
    Estimate.m_Quality += ReachProbability * Outcome.m_QualityContribution;
    ReachProbability *= 1.0 - Outcome.m_KeptProbability;
  }
  return Estimate;
}

} // namespace

CascadeEstimate estimateCascade(const std::vector<StepEstimate> &Steps, double BoundStandardErrors) {
  CascadeEstimate Estimate = estimateMeans(Steps, BoundStandardErrors, Steps.size());
  // The estimation errors of the steps are independent, so the squares of their effects add up.
  double Variance = 0.0;
  for (std::size_t StepIndex = 0; StepIndex < Steps.size(); ++StepIndex) {
    const double Effect = Estimate.m_Quality - estimateMeans(Steps, BoundStandardErrors, StepIndex).m_Quality;
    Variance += Effect * Effect;
  }
  Estimate.m_QualityBound = std::sqrt(Variance);
  return Estimate;
}

} // namespace bulrushpitch
