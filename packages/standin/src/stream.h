#ifndef BULRUSHPITCH_STANDIN_STREAM_H
#define BULRUSHPITCH_STANDIN_STREAM_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/standin/answers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace bulrushpitch::standin {

/// @brief What an engine's audit shows of one attempt.
struct AuditEntry {
  std::string m_Attempt;
  std::string m_Version;
  std::int64_t m_At = 0;
  std::size_t m_CompletionTokens = 0;
  std::string m_FinishReason;
  bool m_Leaving = false;
};

/// @brief An answer that an engine generates or has generated.
struct Stream {
  explicit Stream(boost::asio::io_context &Context)
      : m_Changed(Context, boost::asio::steady_timer::time_point::max()) {}

  std::size_t producedBytes() const { return m_Produced == 0 ? 0 : m_Text.m_Ends[m_Produced - 1]; }
  bool finished() const { return !m_Audit->m_FinishReason.empty(); }
  bool lost() const { return m_Audit->m_FinishReason == "lost"; }
  std::size_t completionTokens() const { return m_Produced - m_Start; }
  /// @return whether an offset lies behind the first byte of a character
  bool splitsCharacter(std::size_t Offset) const;

  /// @brief Makes the answer's text and finds the token to go on from.
  /// @param Before text to continue from; empty for a new answer
  /// @return false if that text is not the start of the answer
  bool prepareText(const AnswerMark &Mark, const std::string &Before);

  /// @return the frame that opens the stream, as a line
  std::string firstFrame() const;
  /// @return the frame with the text produced from an offset on, as a line
  std::string textFrame(std::size_t Offset) const;
  /// @return the frame that ends the stream, as a line
  std::string lastFrame() const;

  std::string m_Id;
  std::string m_StartId;
  TokenText m_Text;
  std::size_t m_Start = 0;    ///< Tokens of the text to continue from.
  std::size_t m_Produced = 0; ///< Tokens so far, with those continued from.
  std::size_t m_End = 0;      ///< Tokens at which generation ends.
  int m_Priority = 0;
  std::size_t m_PromptTokens = 0;
  std::size_t m_CachedTokens = 0;
  TimePoint m_PrefillUntil;
  TimePoint m_FinishedAt;
  std::shared_ptr<AuditEntry> m_Audit = std::make_shared<AuditEntry>();
  boost::asio::steady_timer m_Changed; ///< Cancelled to wake the readers.
};

using StreamPointer = std::shared_ptr<Stream>;

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_STREAM_H
