#include "bulrushpitch/forward/model_choice.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// From this confidence on an answer is kept.
constexpr int KeepFromConfidence = 58;
/// Below this one an answer is almost surely wrong: a right one that comes late is worth more.
constexpr int HopelessBelowConfidence = 45;
/// The largest model needs at least so long to its first event.
constexpr Duration LeastLargeModelTime = std::chrono::milliseconds(300);

} // namespace

std::size_t firstModel(const std::vector<ModelId> &) { return 0; }

EscalationDecision escalate(const ModelAnswer &Answer) {
  if (Answer.m_Models.empty() || Answer.m_Model + 1 >= Answer.m_Models.size())
    return {std::nullopt, "largest model"};
  if (!Answer.m_Confidence)
    return {std::nullopt, "no confidence stated"};
  if (*Answer.m_Confidence >= KeepFromConfidence)
    return {std::nullopt, "confident"};
  const Duration Takes = std::max(LeastLargeModelTime, Answer.m_LargestTakes);
  const bool InTime = Answer.m_UntilTarget >= Takes;
  if (!InTime && *Answer.m_Confidence >= HopelessBelowConfidence)
    return {std::nullopt, "too late for a larger model"};
  if (Answer.m_UntilDeadline < 2 * Takes)
    return {std::nullopt, "no time left"};
  return {Answer.m_Models.size() - 1, "low confidence"};
}

} // namespace bulrushpitch
