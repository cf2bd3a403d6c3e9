#ifndef BULRUSHPITCH_FORWARD_MODEL_CHOICE_H
#define BULRUSHPITCH_FORWARD_MODEL_CHOICE_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief Response head of a model's answer that can still be escalated to a larger model.
struct ModelAnswer {
  std::vector<ModelId> m_Models;   ///< The route's models, smallest first.
  std::size_t m_Model = 0;         ///< Index of the model that answered.
  std::optional<int> m_Confidence; ///< The model's own rating of its answer, 0 to 100.
  Duration m_UntilTarget{};        ///< Remaining time until the latency target.
  Duration m_UntilDeadline{};      ///< Remaining time until the request's deadline.
  Duration m_EventGap{};           ///< Average gap between the events of all streams; rises with the load.
  double m_HeadDelayShare = 0.0;   ///< See HeadDelayAverage; rises while requests queue at upstreams.
  Duration m_LargestModelTime{};   ///< Expected time to the largest model's first event.
};

/// @brief Whether to keep a model's answer or to ask another model.
struct EscalationDecision {
  std::optional<std::size_t> m_Model; ///< Index of the model to ask instead; empty: keep the answer.
  std::string_view m_Reason;          ///< Short text for logs.
};

/// @brief Selects the model that is asked first.
/// @param MayEscalate whether the retry budget allows an escalation now
/// @param EventGap average gap between the events of all streams
/// @param HeadDelayShare see HeadDelayAverage
/// @return index of the smallest model, which answers most requests well and reports a low confidence
/// otherwise; of the largest one if a doubtful answer could not be escalated, and the engines are not busy
std::size_t firstModel(const std::vector<ModelId> &Models, bool MayEscalate, Duration EventGap,
                       double HeadDelayShare = 0.0);

/// @brief Decides whether an answer is kept or escalated to the largest model.
///
/// An answer is escalated if its confidence is below a threshold that falls as the engines' load rises. With
/// a confidence below the threshold, the smallest model is wrong so often that a correct answer is worth the
/// cost of asking the largest one. Models in between are skipped, as they are wrong nearly as often. If the
/// largest model would miss the latency target, the answer is kept unless it is almost certainly wrong.
EscalationDecision escalate(const ModelAnswer &Answer);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_MODEL_CHOICE_H
