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

/// @brief What an engine is asked to generate. See docs/protocols.md, section 1.1.
struct GenerateRequest {
  AttemptId m_Attempt;
  VersionId m_Version;
  std::vector<ChatMessage> m_Prompt;
  std::uint64_t m_MaxTokens = 256;
  std::uint32_t m_Priority = 5;
  std::string m_ContinueFrom; ///< The answer's text so far; empty at the start.
};

/// @brief The first frame of a stream.
struct EngineStart {
  StreamId m_Stream;
  std::string m_StartId;
  Tokens m_PromptTokens;
  Tokens m_CachedTokens;
};

/// @brief A later frame of a stream.
struct EngineFrame {
  std::uint64_t m_Offset = 0; ///< In bytes of the answer's text.
  std::string m_Text;
  bool m_End = false;
  Tokens m_CompletionTokens;  ///< Of the last frame.
  std::string m_FinishReason; ///< Of the last frame.
};

/// @brief A stream of frames from an engine.
class EngineStream {
public:
  EngineStream(std::unique_ptr<HttpStream> Body, std::string Peer)
      : m_Body(std::move(Body)), m_Peer(std::move(Peer)) {}

  /// @brief Reads the first frame.
  boost::asio::awaitable<Expected<EngineStart>> start(Duration Timeout);
  /// @brief Reads a text frame or the last frame.
  /// @return error 505 for an error frame, 506 if the body ends without a last frame
  boost::asio::awaitable<Expected<EngineFrame>> next(Duration Timeout);
  /// @brief Closes the connection; the engine goes on generating.
  void close() { m_Body->cancel(); }

private:
  boost::asio::awaitable<Expected<std::string>> line(Duration Timeout);
  Error error(ErrorCode Code, Ran Known, std::string Detail) const;

  std::unique_ptr<HttpStream> m_Body;
  std::string m_Peer;
  std::string m_Buffer;
  std::size_t m_Scanned = 0; ///< Bytes of the buffer known to hold no line end.
};

/// @brief Speaks the engines' protocol.
class EngineClient {
public:
  explicit EngineClient(HttpClient &Client) : m_Client(Client) {}

  /// @brief Starts a stream.
  /// @return error 504 with Ran::No if the engine refuses
  boost::asio::awaitable<Expected<std::unique_ptr<EngineStream>>>
  generate(Endpoint Peer, GenerateRequest Request, Duration Timeout);
  /// @brief Goes on with a stream from a byte offset.
  /// @return error 506 if the engine does not know the stream
  boost::asio::awaitable<Expected<std::unique_ptr<EngineStream>>>
  resume(Endpoint Peer, StreamId Stream, std::uint64_t Offset, Duration Timeout);
  /// @brief Cancels a stream by its id or by its attempt's.
  /// @return success also if the engine does not know the stream
  boost::asio::awaitable<Expected<Done>> cancel(Endpoint Peer, std::string Id, Duration Timeout);

private:
  HttpClient &m_Client;
};

/// @return the prompt as one text, one "<role>:<content>" line a message, as engines and raters see it
std::string promptText(const std::vector<ChatMessage> &Prompt);
/// @return the chained hashes of the prompt's blocks of 256 bytes
std::vector<std::uint64_t> prefixHashes(const std::string &PromptText);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ENGINE_CLIENT_H
