#ifndef BULRUSHPITCH_DAEMON_ENGINE_CLIENT_H
#define BULRUSHPITCH_DAEMON_ENGINE_CLIENT_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/net/http_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief One message of a prompt.
struct ChatMessage {
  std::string m_Role;
  std::string m_Content;
};

/// @brief A request to an engine to generate an answer. See docs/protocols.md, section 1.1.
struct GenerateRequest {
  AttemptId m_Attempt;
  VersionId m_Version;
  std::vector<ChatMessage> m_Prompt;
  std::uint64_t m_MaxTokens = 256;
  std::uint32_t m_Priority = 5;
  std::string m_ContinueFrom; ///< The answer's text so far; empty for a new answer.
};

/// @brief The first frame of a stream.
struct EngineStart {
  StreamId m_Stream;
  std::string m_StartId;
  Tokens m_PromptTokens;
  Tokens m_CachedTokens;
};

/// @brief A text frame or the last frame of a stream.
struct EngineFrame {
  std::uint64_t m_Offset = 0; ///< Byte offset in the answer's text.
  std::string m_Text;
  bool m_End = false;
  Tokens m_CompletionTokens;  ///< Set in the last frame.
  std::string m_FinishReason; ///< Set in the last frame.
};

/// @brief A stream of frames from an engine.
class EngineStream {
public:
  EngineStream(std::unique_ptr<HttpStream> Body, std::string Peer)
      : m_Body(std::move(Body)), m_Peer(std::move(Peer)) {}

  /// @brief Reads the first frame.
  boost::asio::awaitable<Expected<EngineStart>> readStart(Duration Timeout);
  /// @brief Reads a text frame or the last frame.
  /// @return error 505 for an error frame, 506 if the body ends without a last frame
  boost::asio::awaitable<Expected<EngineFrame>> readFrame(Duration Timeout);
  /// @brief Closes the connection; the engine continues to generate.
  void close() { m_Body->cancel(); }

private:
  boost::asio::awaitable<Expected<std::string>> readLine(Duration Timeout);
  Error error(ErrorCode Code, Ran Executed, std::string Detail) const;

  std::unique_ptr<HttpStream> m_Body;
  std::string m_Peer;
  std::string m_Buffer;
  std::size_t m_Scanned = 0; ///< Length of the buffer's prefix that contains no line end.
};

/// @brief Client of the engine protocol.
class EngineClient {
public:
  explicit EngineClient(HttpClient &Client) : m_Client(Client) {}

  /// @brief Starts a stream.
  /// @return error 504 with Ran::No if the engine rejects the request
  boost::asio::awaitable<Expected<std::unique_ptr<EngineStream>>>
  generate(Endpoint Peer, GenerateRequest Request, Duration Timeout);
  /// @brief Resumes a stream from a byte offset.
  /// @return error 506 if the engine does not know the stream
  boost::asio::awaitable<Expected<std::unique_ptr<EngineStream>>>
  resume(Endpoint Peer, StreamId Stream, std::uint64_t Offset, Duration Timeout);
  /// @brief Cancels a stream.
  /// @param Id id of the stream or of its attempt
  /// @return success also if the engine does not know the stream
  boost::asio::awaitable<Expected<Done>> cancel(Endpoint Peer, std::string Id, Duration Timeout);

private:
  HttpClient &m_Client;
};

/// @return the prompt as engines and raters receive it: one "<role>:<content>" line per message
std::string promptText(const std::vector<ChatMessage> &Prompt);
/// @return the chained hashes of the prompt's complete blocks of 256 bytes
std::vector<std::uint64_t> prefixHashes(const std::string &PromptText);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ENGINE_CLIENT_H
