#ifndef BULRUSHPITCH_DAEMON_ANSWER_IN_PROGRESS_H
#define BULRUSHPITCH_DAEMON_ANSWER_IN_PROGRESS_H

#include "bulrushpitch/daemon/model_service.h"

#include <string>

namespace bulrushpitch {

/// @brief A request for a model's answer and what is known of the answer while it is generated.
struct AnswerInProgress {
  ModelCall m_Call;
  TimePoint m_StartedAt{};
  std::string m_PromptText;   ///< See promptText().
  RouteDecision m_Decision;   ///< Of the current or last attempt.
  UpstreamId m_Upstream;      ///< Of the current attempt; empty between attempts.
  StreamId m_StreamId;        ///< Of the current or last attempt at its engine.
  std::string m_SessionToken; ///< Empty without a session.
  std::string m_Text;         ///< Full text of the current cascade step's answer.
  std::string m_FinishReason;
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens; ///< Of the current cascade step.
  Ran m_Ran = Ran::No;       ///< Whether an attempt so far has run.
};

/// @return an answer of which nothing is known yet
AnswerInProgress startAnswer(ModelCall Call, TimePoint Now);

/// @return time until the caller's deadline; negative after it
Duration remainingTime(const AnswerInProgress &Answer, const Runtime &Base);

/// @return whether text is released as it arrives. An answer is buffered if the caller wants it whole, or if
/// its rating decides whether it is released.
bool releasesImmediately(const AnswerInProgress &Answer);

/// @brief Records an event of the answer's timeline.
void recordEvent(Recorder &Events, const AnswerInProgress &Answer, EventKind Kind, const std::string &Detail);

/// @return whether anything ran, given the results of two attempts
Ran combineRan(Ran Left, Ran Right);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ANSWER_IN_PROGRESS_H
