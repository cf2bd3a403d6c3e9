#include "bulrushpitch/forward/model_choice.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// From this confidence on an answer is kept while the engines have room.
constexpr int KeepFromConfidence = 58;
/// The same when they are busy: the largest model takes ten times the time of the smallest, which others then
/// wait.
constexpr int KeepFromConfidenceBusy = 20;
/// Pauses between events that tell engines with room, and busy ones.
constexpr Duration GapWithRoom = std::chrono::milliseconds(50);
constexpr Duration GapBusy = std::chrono::milliseconds(120);
/// Below this one an answer is almost surely wrong: a right one that comes late is worth more.
constexpr int HopelessBelowConfidence = 45;
/// The largest model needs at least so long to its first event.
constexpr Duration LeastLargeModelTime = std::chrono::milliseconds(300);

} // namespace

std::size_t firstModel(const std::vector<ModelId> &) { return 0; }

namespace {

/// @return the confidence from which an answer is kept at this load
int keepFrom(Duration EventGap) {
  const double Load = std::chrono::duration<double>(EventGap - GapWithRoom) /
                      std::chrono::duration<double>(GapBusy - GapWithRoom);
  const double Busy = std::clamp(Load, 0.0, 1.0);
  return KeepFromConfidence - static_cast<int>(Busy * (KeepFromConfidence - KeepFromConfidenceBusy));
}

} // namespace

EscalationDecision escalate(const ModelAnswer &Answer) {
  if (Answer.m_Models.empty() || Answer.m_Model + 1 >= Answer.m_Models.size())
    return {std::nullopt, "largest model"};
  if (!Answer.m_Confidence)
    return {std::nullopt, "no confidence stated"};
  if (*Answer.m_Confidence >= keepFrom(Answer.m_EventGap))
    return {std::nullopt, "confident for the load"};
  const Duration Takes = std::max(LeastLargeModelTime, Answer.m_LargestTakes);
  const bool InTime = Answer.m_UntilTarget >= Takes;
  if (!InTime && *Answer.m_Confidence >= HopelessBelowConfidence)
    return {std::nullopt, "too late for a larger model"};
  if (Answer.m_UntilDeadline < 2 * Takes)
    return {std::nullopt, "no time left"};
  return {Answer.m_Models.size() - 1, "low confidence"};
}

} // namespace bulrushpitch
