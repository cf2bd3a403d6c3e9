#include "answer_reader.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

/// Engines send a token every few tens of milliseconds; a stream without data for this long counts as broken.
constexpr Duration StallTimeout = std::chrono::seconds(5);
constexpr Duration CancelTimeout = std::chrono::seconds(1);
constexpr int MaxResumesPerAttempt = 2;

} // namespace

AnswerReader::AnswerReader(const Runtime &Base, const ModelServiceDependencies &Dependencies,
                           AnswerInProgress &Answer, AnswerWriter &Writer)
    : m_Runtime(Base), m_Dependencies(Dependencies), m_Answer(Answer), m_Writer(Writer) {}

void AnswerReader::interrupt() {
  m_Interrupted = true;
  closeStream();
}

void AnswerReader::failOver(ErrorCode Reason) {
  m_FailoverReason = Reason;
  closeStream();
}

void AnswerReader::closeStream() {
  if (m_Stream)
    m_Stream->close();
}

void AnswerReader::discardText() {
  m_Answer.m_Text.clear();
  m_Assembler.reset();
}

Error AnswerReader::interruptedError() const {
  return Error{ErrorCode::Draining, "stream answer", m_Dependencies.m_Cluster.self().value(), Ran::Yes,
               "this instance is shutting down; resume at another instance with the resume token and "
               "Last-Event-ID " +
                   std::to_string(m_Writer.released())};
}

Duration AnswerReader::readTimeout() const {
  return std::min(remainingTime(m_Answer, m_Runtime), StallTimeout);
}

asio::awaitable<Expected<Done>> AnswerReader::generate(const AttemptId &Attempt) {
  const UpstreamId &Upstream = m_Answer.m_Decision.m_Upstream;
  const std::optional<Endpoint> Address = m_Dependencies.m_Routing.addressOf(Upstream);
  if (!Address)
    co_return Error{ErrorCode::NoUpstream, "call engine", Upstream.value(), Ran::No,
                    "the upstream is no longer in the configuration"};
  GenerateRequest Request = generateRequest(Attempt);
  Expected<std::unique_ptr<EngineStream>> Opened = co_await m_Dependencies.m_Engines.generate(
      *Address, std::move(Request), remainingTime(m_Answer, m_Runtime));
  if (!Opened)
    co_return Opened.error();
  m_Stream = std::move(*Opened);
  if (m_Interrupted)
    co_return interruptedError();
  Expected<Done> Started = co_await readStart(Attempt);
  if (!Started)
    co_return Started;
  co_return co_await readFrames(Attempt, *Address);
}

GenerateRequest AnswerReader::generateRequest(const AttemptId &Attempt) const {
  GenerateRequest Request;
  Request.m_Attempt = Attempt;
  Request.m_Version = m_Answer.m_Decision.m_Version;
  Request.m_Prompt = m_Answer.m_Call.m_Prompt;
  Request.m_MaxTokens = m_Answer.m_Call.m_MaxTokens;
  Request.m_ContinueFrom = m_Answer.m_Text;
  return Request;
}

asio::awaitable<Expected<Done>> AnswerReader::readStart(const AttemptId &Attempt) {
  Expected<EngineStart> Start = co_await m_Stream->readStart(remainingTime(m_Answer, m_Runtime));
  if (!Start)
    co_return Start.error();
  m_Answer.m_Ran = Ran::Yes;
  m_Answer.m_StreamId = Start->m_Stream;
  m_Answer.m_PromptTokens = Start->m_PromptTokens;
  if (m_Assembler)
    m_Assembler->switchAttempt(Attempt);
  else
    m_Assembler.emplace(Attempt, m_Answer.m_Text.size());
  co_return Done{};
}

asio::awaitable<Expected<Done>> AnswerReader::resume(const AttemptId &Attempt, const Endpoint &Address,
                                                     std::uint64_t Offset) {
  m_Assembler.emplace(Attempt, Offset);
  // A local variable, because g++ 12 destroys an Error{...} twice if it is a temporary of the co_await
  // expression.
  const Error Unknown{ErrorCode::StreamLost, "resume stream", m_Answer.m_Upstream.value(), Ran::Yes,
                      "the engine no longer knows the stream"};
  Expected<Done> Opened = co_await reopen(Address, Unknown);
  if (!Opened)
    co_return Opened;
  co_return co_await readFrames(Attempt, Address);
}

asio::awaitable<Expected<Done>> AnswerReader::readFrames(const AttemptId &Attempt, const Endpoint &Address) {
  int ResumeCount = 0;
  bool IsFirstFrame = true;
  while (!m_Assembler->complete()) {
    Expected<EngineFrame> Frame = co_await m_Stream->readFrame(readTimeout());
    Expected<Done> Outcome = co_await checkEnded(Address);
    if (!Outcome)
      co_return Outcome;
    if (!Frame) {
      if (Frame.error().m_Code == ErrorCode::UpstreamBroken || ResumeCount++ >= MaxResumesPerAttempt)
        co_return Frame.error();
      Outcome = co_await reopen(Address, Frame.error());
    } else {
      if (IsFirstFrame)
        m_Dependencies.m_Routing.router().onFirstToken(Attempt, m_Runtime.m_Clock());
      IsFirstFrame = false;
      Outcome = co_await processFrame(*Frame, Attempt);
    }
    if (!Outcome)
      co_return Outcome;
  }
  co_return Done{};
}

asio::awaitable<Expected<Done>> AnswerReader::checkEnded(const Endpoint &Address) {
  if (m_Interrupted)
    co_return interruptedError();
  if (m_FailoverReason) {
    co_await cancelAtEngine(Address, m_Answer.m_StreamId);
    co_return Error{*m_FailoverReason, "stream answer", m_Answer.m_Upstream.value(), Ran::Yes,
                    "the attempt was cancelled to fail over to another upstream"};
  }
  if (remainingTime(m_Answer, m_Runtime) <= Duration::zero()) {
    co_await cancelAtEngine(Address, m_Answer.m_StreamId);
    co_return Error{ErrorCode::UpstreamTimeout, "stream answer", m_Answer.m_Upstream.value(), Ran::Yes,
                    "the deadline passed while the answer was being generated"};
  }
  co_return Done{};
}

asio::awaitable<Expected<Done>> AnswerReader::reopen(const Endpoint &Address, const Error &Failure) {
  m_Stream.reset();
  Expected<std::unique_ptr<EngineStream>> Opened = co_await m_Dependencies.m_Engines.resume(
      Address, m_Answer.m_StreamId, m_Assembler->nextOffset(), readTimeout());
  if (!Opened)
    co_return Failure;
  m_Stream = std::move(*Opened);
  Expected<EngineStart> Start = co_await m_Stream->readStart(readTimeout());
  if (!Start)
    co_return Failure;
  // A daemon that did not start the stream needs the token count here to charge for the prompt.
  m_Answer.m_PromptTokens = Start->m_PromptTokens;
  recordEvent(m_Dependencies.m_Events, m_Answer, EventKind::StreamResumed,
              "at offset " + std::to_string(m_Assembler->nextOffset()));
  co_return Done{};
}

asio::awaitable<Expected<Done>> AnswerReader::processFrame(const EngineFrame &Frame,
                                                           const AttemptId &Attempt) {
  if (Frame.m_End) {
    if (Frame.m_FinishReason == "cancelled")
      co_return Error{ErrorCode::UpstreamBroken, "stream answer", m_Answer.m_Upstream.value(), Ran::Yes,
                      "the stream was cancelled at the engine"};
    m_Answer.m_CompletionTokens += Frame.m_CompletionTokens;
    m_Answer.m_FinishReason = Frame.m_FinishReason;
  }
  StreamFrame NewFrame;
  NewFrame.m_Attempt = Attempt;
  NewFrame.m_Offset = Frame.m_Offset;
  NewFrame.m_Text = Frame.m_Text;
  NewFrame.m_End = Frame.m_End;
  for (const StreamFrame &OrderedFrame : m_Assembler->addFrame(std::move(NewFrame))) {
    m_Answer.m_Text += OrderedFrame.m_Text;
    if (releasesImmediately(m_Answer))
      co_await m_Writer.release(OrderedFrame.m_Offset, OrderedFrame.m_Text);
  }
  co_return Done{};
}

asio::awaitable<void> AnswerReader::cancelAtEngine(Endpoint Address, StreamId Stream) {
  static_cast<void>(co_await m_Dependencies.m_Engines.cancel(Address, Stream.value(), CancelTimeout));
}

} // namespace bulrushpitch
