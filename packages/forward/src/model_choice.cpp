#include "bulrushpitch/forward/model_choice.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Minimum confidence to keep an answer while the engines have spare capacity.
constexpr int MinConfidence = 58;
/// The same while the engines are busy: the largest model takes ten times as long as the smallest, and delays
/// other requests.
constexpr int MinConfidenceBusy = 20;
/// Without escalation the largest model is asked first while at least half of the answers of the smallest one
/// that are doubtful on idle engines would be escalated.
constexpr int MinConfidenceForLargestFirst = (MinConfidence + MinConfidenceBusy) / 2;
/// Average event gap up to which the engines have spare capacity, and from which they are busy.
constexpr Duration MaxIdleEventGap = std::chrono::milliseconds(50);
constexpr Duration MinBusyEventGap = std::chrono::milliseconds(120);
/// The same for the average share of the target latency until a head comes. Upstreams with few slots keep the
/// pace of their streams while requests wait in their queues, so that event gaps don't show their load.
constexpr double MaxIdleHeadDelayShare = 0.2;
constexpr double MinBusyHeadDelayShare = 0.6;
/// Below this confidence an answer is almost certainly wrong, and a late correct one is worth more.
constexpr int LateEscalationConfidence = 45;
/// Lower bound of the largest model's time to its first event.
constexpr Duration MinLargestModelTime = std::chrono::milliseconds(300);

} // namespace

namespace {

/// @return the minimum confidence to keep an answer at this load
int minConfidence(Duration EventGap, double HeadDelayShare) {
  const double GapLoad = std::chrono::duration<double>(EventGap - MaxIdleEventGap) /
                         std::chrono::duration<double>(MinBusyEventGap - MaxIdleEventGap);
  const double DelayLoad =
      (HeadDelayShare - MaxIdleHeadDelayShare) / (MinBusyHeadDelayShare - MaxIdleHeadDelayShare);
  const double LoadShare = std::clamp(std::max(GapLoad, DelayLoad), 0.0, 1.0);
  return MinConfidence - static_cast<int>(LoadShare * (MinConfidence - MinConfidenceBusy));
}

} // namespace

std::size_t firstModel(const std::vector<ModelId> &Models, bool MayEscalate, Duration EventGap,
                       double HeadDelayShare) {
  if (MayEscalate || Models.empty() || minConfidence(EventGap, HeadDelayShare) < MinConfidenceForLargestFirst)
    return 0;
  return Models.size() - 1;
}

EscalationDecision escalate(const ModelAnswer &Answer) {
  if (Answer.m_Models.empty() || Answer.m_Model + 1 >= Answer.m_Models.size())
    return {std::nullopt, "no larger model"};
  if (!Answer.m_Confidence)
    return {std::nullopt, "no confidence reported"};
  if (*Answer.m_Confidence >= minConfidence(Answer.m_EventGap, Answer.m_HeadDelayShare))
    return {std::nullopt, "confidence sufficient at this load"};
  const Duration LargestModelTime = std::max(MinLargestModelTime, Answer.m_LargestModelTime);
  const bool InTime = Answer.m_UntilTarget >= LargestModelTime;
  if (!InTime && *Answer.m_Confidence >= LateEscalationConfidence)
    return {std::nullopt, "the largest model would miss the latency target"};
  // Twice the largest model's time to its first event must remain until the deadline.
  if (Answer.m_UntilDeadline < 2 * LargestModelTime)
    return {std::nullopt, "too little time until the deadline"};
  return {Answer.m_Models.size() - 1, "low confidence"};
}

} // namespace bulrushpitch
