#include "bulrushpitch/forward/model_choice.h"

namespace bulrushpitch {

namespace {

constexpr int KeepFromConfidence = 58;
/// A larger model takes longer to its head than the one before.
constexpr int LargerModelSlowdown = 4;

} // namespace

std::size_t firstModel(const std::vector<ModelId> &) { return 0; }

EscalationDecision escalate(const ModelAnswer &Answer) {
  if (Answer.m_Models.empty() || Answer.m_Model + 1 >= Answer.m_Models.size())
    return {std::nullopt, "largest model"};
  if (!Answer.m_Confidence)
    return {std::nullopt, "no confidence stated"};
  if (*Answer.m_Confidence >= KeepFromConfidence)
    return {std::nullopt, "confident"};
  if (Answer.m_HeadTook * LargerModelSlowdown > Answer.m_UntilTarget)
    return {std::nullopt, "too late for a larger model"};
  return {Answer.m_Models.size() - 1, "low confidence"};
}

} // namespace bulrushpitch
