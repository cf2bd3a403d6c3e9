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

/// @brief Metadata of a model's answer that is known before its first text.
struct AnswerStart {
  RequestId m_Request;
  ModelId m_Model;
  VersionId m_Version;
  std::string m_SessionToken; ///< Empty without a session.
  std::string m_ResumeToken;  ///< Empty if the answer cannot be resumed.
  std::int64_t m_Created = 0; ///< Unix time in seconds.
};

/// @brief Metadata of a complete answer.
struct AnswerEnd {
  VersionId m_Version;
  std::string m_FinishReason;
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens;
  MicroCents m_Charge;
};

/// @brief Writes a model's answer to the caller, as server-sent events or as one JSON response.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  /// @brief Called once, before the first text.
  virtual boost::asio::awaitable<Expected<Done>> begin(const AnswerStart &Start) = 0;
  /// @param Offset byte offset of the text in the answer
  virtual boost::asio::awaitable<Expected<Done>> text(std::uint64_t Offset, std::string_view Text) = 0;
  /// @brief Called once, after the last text.
  virtual boost::asio::awaitable<Expected<Done>> end(const AnswerEnd &End) = 0;
  /// @brief Ends the answer with an error; called instead of end().
  virtual boost::asio::awaitable<void> fail(const Error &Failure) = 0;
};

/// @return the HTTP status that corresponds to an error code
unsigned httpStatus(ErrorCode Code);
/// @return a response with the error as its JSON body
HttpResponse errorResponse(const Error &Failure);

/// @return a sink that writes server-sent events
std::unique_ptr<AnswerSink> makeEventSink(ResponseWriter &Writer);
/// @return a sink that buffers the answer and writes it as one JSON response
std::unique_ptr<AnswerSink> makeJsonSink(ResponseWriter &Writer);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ANSWER_SINK_H
