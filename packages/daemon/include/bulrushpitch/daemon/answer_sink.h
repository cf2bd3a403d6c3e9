#ifndef BULRUSHPITCH_DAEMON_ANSWER_SINK_H
#define BULRUSHPITCH_DAEMON_ANSWER_SINK_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/net/http_server.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief What is known of an answer before its first text.
struct AnswerHead {
  RequestId m_Request;
  ModelId m_Model;
  VersionId m_Version;
  std::string m_SessionToken; ///< Empty without a session.
  std::string m_ResumeToken;  ///< Empty for an answer that cannot be resumed.
  std::int64_t m_Created = 0; ///< Seconds since 1970.
};

/// @brief What is known of an answer at its end.
struct AnswerEnd {
  VersionId m_Version;
  std::string m_FinishReason;
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens;
  MicroCents m_Charge;
};

/// @brief Where an answer goes: to the caller as events, or whole.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  /// @brief Called once, before the first text.
  virtual boost::asio::awaitable<Expected<Done>> begin(const AnswerHead &Head) = 0;
  /// @param Offset byte offset of the text in the answer
  virtual boost::asio::awaitable<Expected<Done>> text(std::uint64_t Offset, std::string_view Text) = 0;
  virtual boost::asio::awaitable<Expected<Done>> end(const AnswerEnd &End) = 0;
  /// @brief Ends the answer with an error, in place of end().
  virtual boost::asio::awaitable<void> fail(const Error &Failure) = 0;
};

/// @return the HTTP status for an error number
unsigned httpStatus(ErrorCode Code);
/// @return the response that carries an error
HttpResponse errorResponse(const Error &Failure);

/// @return a sink that writes server-sent events
std::unique_ptr<AnswerSink> makeEventSink(ResponseWriter &Writer);
/// @return a sink that collects the answer and writes one JSON response
std::unique_ptr<AnswerSink> makeWholeSink(ResponseWriter &Writer);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ANSWER_SINK_H
