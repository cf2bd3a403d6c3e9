#include "answer_writer.h"

#include <string>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;

AnswerWriter::AnswerWriter(const Runtime &Base, const ModelServiceDependencies &Dependencies,
                           const AnswerInProgress &Answer, AnswerSink &Sink)
    : m_Runtime(Base), m_Dependencies(Dependencies), m_Answer(Answer), m_Sink(Sink) {}

asio::awaitable<void> AnswerWriter::release(std::uint64_t Offset, std::string_view Text) {
  if (Text.empty() || m_CallerDisconnected)
    co_return;
  co_await sendHead();
  if (!m_CallerDisconnected) {
    Expected<Done> Written = co_await m_Sink.text(Offset, Text);
    // The attempt continues without the caller, so that the caller can resume the answer at another daemon
    // and the request is billed once.
    m_CallerDisconnected = !Written;
  }
  m_Released = Offset + Text.size();
}

asio::awaitable<void> AnswerWriter::releaseRest() {
  if (m_Released < m_Answer.m_Text.size()) {
    const std::string Rest = m_Answer.m_Text.substr(m_Released);
    co_await release(m_Released, Rest);
  }
  co_await sendHead();
}

asio::awaitable<void> AnswerWriter::sendHead() {
  if (m_HeadSent || m_CallerDisconnected)
    co_return;
  m_HeadSent = true;
  const AnswerStart Start = answerStart();
  m_Dependencies.m_TimeToFirstText.record(m_Runtime.m_Clock() - m_Answer.m_StartedAt);
  Expected<Done> HeadResult = co_await m_Sink.begin(Start);
  m_CallerDisconnected = !HeadResult;
}

AnswerStart AnswerWriter::answerStart() const {
  AnswerStart Start;
  Start.m_Request = m_Answer.m_Call.m_Request;
  Start.m_Model = m_Answer.m_Call.m_Model;
  Start.m_Version = m_Answer.m_Decision.m_Version;
  Start.m_SessionToken = m_Answer.m_SessionToken;
  Start.m_Created =
      std::chrono::duration_cast<std::chrono::seconds>(m_Runtime.m_WallClock().time_since_epoch()).count();
  if (m_Answer.m_Call.m_Stream)
    Start.m_ResumeToken = resumeToken();
  return Start;
}

std::string AnswerWriter::resumeToken() const {
  ResumeClaims Claims;
  Claims.m_Team = m_Answer.m_Call.m_Team;
  Claims.m_Request = m_Answer.m_Call.m_Request;
  Claims.m_Upstream = m_Answer.m_Decision.m_Upstream;
  Claims.m_Stream = m_Answer.m_StreamId;
  Claims.m_Model = m_Answer.m_Call.m_Model;
  Claims.m_Version = m_Answer.m_Decision.m_Version;
  return m_Dependencies.m_Sessions.issueResumeToken(std::move(Claims));
}

asio::awaitable<void> AnswerWriter::end(MicroCents Price) {
  if (m_CallerDisconnected)
    co_return;
  AnswerEnd End;
  End.m_Version = m_Answer.m_Decision.m_Version;
  End.m_FinishReason = m_Answer.m_FinishReason;
  End.m_PromptTokens = m_Answer.m_PromptTokens;
  End.m_CompletionTokens = m_Answer.m_CompletionTokens;
  End.m_Charge = Price;
  static_cast<void>(co_await m_Sink.end(End));
}

} // namespace bulrushpitch
