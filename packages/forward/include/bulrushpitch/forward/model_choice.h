#ifndef BULRUSHPITCH_FORWARD_MODEL_CHOICE_H
#define BULRUSHPITCH_FORWARD_MODEL_CHOICE_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief A head of an answer that may still be dropped for a larger model's.
struct ModelAnswer {
  std::vector<ModelId> m_Models;   ///< Of the route, smallest first.
  std::size_t m_Model = 0;         ///< Index of the one that answered.
  std::optional<int> m_Confidence; ///< The model's opinion of its answer, 0 to 100.
  Duration m_UntilTarget{};        ///< Left until the answer counts as late.
  Duration m_UntilDeadline{};      ///< Left until the caller gets no answer at all.
  Duration m_EventGap{};           ///< Usual pause between events of all streams now; it rises with the load.
  Duration m_LargestTakes{};       ///< Expected time of the largest model to its first event.
};

/// @brief What to do with an answer of a model.
struct EscalationDecision {
  std::optional<std::size_t> m_Model; ///< The model to ask in its place; empty: keep the answer.
  std::string_view m_Reason;          ///< For the log.
};

/// @brief Says which model is asked first.
/// @return an index into the models; the smallest answers most requests well, and says when it does not
std::size_t firstModel(const std::vector<ModelId> &Models);

/// @brief Decides whether an answer is kept or asked again from the largest model.
///
/// Below a confidence that falls as the load of the engines rises, the smallest model's answer is wrong so
/// often that the largest model's use costs less than the answer's worth; a model in between is passed over,
/// as it is wrong nearly as often. A doubtful answer is kept when a better one would come late; one that is
/// almost surely wrong is not.
EscalationDecision escalate(const ModelAnswer &Answer);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_MODEL_CHOICE_H
