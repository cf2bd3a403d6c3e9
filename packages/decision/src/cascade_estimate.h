#ifndef BULRUSHPITCH_DECISION_CASCADE_ESTIMATE_H
#define BULRUSHPITCH_DECISION_CASCADE_ESTIMATE_H

#include "bulrushpitch/decision/quality.h"

#include <vector>

namespace bulrushpitch {

/// @brief Estimated quality and price of a cascade step.
struct StepEstimate {
  QualityEstimate m_Quality;
  double m_Price = 0.0;    ///< Microcents.
  double m_AcceptAt = 0.0; ///< Minimum rating at which the answer is kept.
};

/// @brief Expected cost and quality of a cascade.
struct CascadeEstimate {
  double m_Cost = 0.0;         ///< Microcents.
  double m_Quality = 0.0;      ///< Mean.
  double m_QualityBound = 0.0; ///< Distance of the confidence bounds from the mean.
};

/// @brief Estimates the expected cost and quality of a cascade.
/// @param Steps the steps in their order, at least one
/// @param BoundStandardErrors standard errors between the mean and a confidence bound
CascadeEstimate estimateCascade(const std::vector<StepEstimate> &Steps, double BoundStandardErrors);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_CASCADE_ESTIMATE_H
