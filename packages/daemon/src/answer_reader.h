#ifndef BULRUSHPITCH_DAEMON_ANSWER_READER_H
#define BULRUSHPITCH_DAEMON_ANSWER_READER_H

#include "answer_in_progress.h"
#include "answer_writer.h"

#include "bulrushpitch/protocol/stream_assembler.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bulrushpitch {

/// @brief Reads an answer from engines: one stream per attempt, which is resumed after an interruption. Text
/// that may be released at once goes to the writer.
class AnswerReader {
public:
  /// @brief The referenced objects must outlive this object.
  AnswerReader(const Runtime &Base, const ModelServiceDependencies &Dependencies, AnswerInProgress &Answer,
               AnswerWriter &Writer);

  /// @brief Has the engine that was chosen generate the rest of the answer.
  boost::asio::awaitable<Expected<Done>> generate(const AttemptId &Attempt);
  /// @brief Resumes the answer's stream, which another daemon may have started.
  /// @param Offset bytes of the answer that the caller has received
  boost::asio::awaitable<Expected<Done>> resume(const AttemptId &Attempt, const Endpoint &Address,
                                                std::uint64_t Offset);
  /// @brief Forgets the stream of an attempt that has ended.
  void endAttempt() { m_Stream.reset(); }
  /// @brief Discards the answer's text.
  void discardText();

  /// @brief Ends the answer because the daemon is shutting down.
  void interrupt();
  /// @brief Cancels the current attempt; the answer is continued at another upstream.
  void failOver(ErrorCode Reason);
  /// @brief Allows the next attempt after a failover.
  void finishFailover() { m_FailoverReason.reset(); }
  bool isInterrupted() const { return m_Interrupted; }
  bool isFailingOver() const { return m_FailoverReason.has_value(); }
  /// @return the error of an answer that was interrupted
  Error interruptedError() const;

private:
  GenerateRequest generateRequest(const AttemptId &Attempt) const;
  boost::asio::awaitable<Expected<Done>> readStart(const AttemptId &Attempt);
  boost::asio::awaitable<Expected<Done>> readFrames(const AttemptId &Attempt, const Endpoint &Address);
  /// @return an error if the attempt must end, whatever its engine sends
  boost::asio::awaitable<Expected<Done>> checkEnded(const Endpoint &Address);
  /// @brief Resumes the stream at its engine, from the first byte that has not arrived.
  /// @param Failure returned if the engine does not resume the stream
  boost::asio::awaitable<Expected<Done>> reopen(const Endpoint &Address, const Error &Failure);
  boost::asio::awaitable<Expected<Done>> processFrame(const EngineFrame &Frame, const AttemptId &Attempt);
  boost::asio::awaitable<void> cancelAtEngine(Endpoint Address, StreamId Stream);
  Duration readTimeout() const;
  void closeStream();

  const Runtime &m_Runtime;
  const ModelServiceDependencies &m_Dependencies;
  AnswerInProgress &m_Answer;
  AnswerWriter &m_Writer;
  std::unique_ptr<EngineStream> m_Stream;
  std::optional<StreamAssembler> m_Assembler;
  std::optional<ErrorCode> m_FailoverReason;
  bool m_Interrupted = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ANSWER_READER_H
