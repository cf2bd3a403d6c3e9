#ifndef BULRUSHPITCH_DAEMON_ANSWER_WRITER_H
#define BULRUSHPITCH_DAEMON_ANSWER_WRITER_H

#include "answer_in_progress.h"

#include <cstdint>
#include <string_view>

namespace bulrushpitch {

/// @brief Releases an answer to its caller. After the caller has disconnected, nothing more is written.
class AnswerWriter {
public:
  /// @brief The referenced objects must outlive this object.
  AnswerWriter(const Runtime &Base, const ModelServiceDependencies &Dependencies,
               const AnswerInProgress &Answer, AnswerSink &Sink);

  /// @brief Releases a part of the answer's text.
  /// @param Offset byte offset of the text in the answer
  boost::asio::awaitable<void> release(std::uint64_t Offset, std::string_view Text);
  /// @brief Releases the rest of the answer's text. Sends the head also if there is none, because the answer
  /// is empty or the caller has received all of it.
  boost::asio::awaitable<void> releaseRest();
  /// @brief Ends the answer.
  /// @param Price price of the whole answer
  boost::asio::awaitable<void> end(MicroCents Price);

  /// @brief Sets the number of bytes that the caller has received from another daemon.
  void setReleased(std::uint64_t Count) { m_Released = Count; }
  /// @return bytes of the answer that were released to the caller
  std::uint64_t released() const { return m_Released; }

private:
  /// Sends what is known of the answer before its text, once.
  boost::asio::awaitable<void> sendHead();
  AnswerStart answerStart() const;
  std::string resumeToken() const;

  const Runtime &m_Runtime;
  const ModelServiceDependencies &m_Dependencies;
  const AnswerInProgress &m_Answer;
  AnswerSink &m_Sink;
  std::uint64_t m_Released = 0;
  bool m_HeadSent = false;
  bool m_CallerDisconnected = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ANSWER_WRITER_H
