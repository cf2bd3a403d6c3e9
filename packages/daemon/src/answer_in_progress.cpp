#include "answer_in_progress.h"

#include <utility>

namespace bulrushpitch {

AnswerInProgress startAnswer(ModelCall Call, TimePoint Now) {
  AnswerInProgress Answer;
  Answer.m_Call = std::move(Call);
  Answer.m_StartedAt = Now;
  Answer.m_PromptText = promptText(Answer.m_Call.m_Prompt);
  return Answer;
}

Duration remainingTime(const AnswerInProgress &Answer, const Runtime &Base) {
  return Answer.m_Call.m_Deadline - Base.m_Clock();
}

bool releasesImmediately(const AnswerInProgress &Answer) {
  return Answer.m_Call.m_Stream && !Answer.m_Decision.m_RateBeforeRelease;
}

void recordEvent(Recorder &Events, const AnswerInProgress &Answer, EventKind Kind,
                 const std::string &Detail) {
  TimelineEvent Event;
  Event.m_Kind = Kind;
  Event.m_Request = Answer.m_Call.m_Request;
  Event.m_Team = Answer.m_Call.m_Team;
  Event.m_Upstream = Answer.m_Upstream;
  Event.m_Version = Answer.m_Decision.m_Version;
  Event.m_Detail = Detail;
  Events.record(std::move(Event));
}

Ran combineRan(Ran Left, Ran Right) {
  if (Left == Ran::Yes || Right == Ran::Yes)
    return Ran::Yes;
  return Left == Ran::Unknown || Right == Ran::Unknown ? Ran::Unknown : Ran::No;
}

} // namespace bulrushpitch
