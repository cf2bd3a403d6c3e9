#include "bulrushpitch/daemon/engine_client.h"

#include "bulrushpitch/core/hash.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr const char *EngineStep = "call engine";
constexpr std::size_t PrefixBlockBytes = 256;
/// A frame holds a few tokens; a longer line does not follow the engine protocol.
constexpr std::size_t MaxLineBytes = std::size_t{1} << 22U;

std::string errorDetail(const std::string &Body, const std::string &Fallback) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  return Parsed.is_object() && Parsed.contains("error") && Parsed["error"].is_string()
             ? Parsed["error"].get<std::string>()
             : Fallback;
}

/// @return the error that the body of a response with an error status describes
asio::awaitable<Error> readError(HttpStream &Stream, const Endpoint &Peer, ErrorCode Code, Ran Executed,
                                 Duration Timeout) {
  std::string Body;
  while (Body.size() < MaxLineBytes) {
    Expected<std::optional<std::string>> Chunk = co_await Stream.read(Timeout);
    if (!Chunk || !*Chunk)
      break;
    Body += **Chunk;
  }
  const std::string Status = "status " + std::to_string(Stream.status());
  co_return Error{Code, EngineStep, Peer.toString(), Executed, errorDetail(Body, Status)};
}

} // namespace

Error EngineStream::error(ErrorCode Code, Ran Executed, std::string Detail) const {
  return Error{Code, EngineStep, m_Peer, Executed, std::move(Detail)};
}

asio::awaitable<Expected<std::string>> EngineStream::readLine(Duration Timeout) {
  while (true) {
    const std::size_t End = m_Buffer.find('\n', m_Scanned);
    if (End != std::string::npos) {
      std::string Line = m_Buffer.substr(0, End);
      m_Buffer.erase(0, End + 1);
      m_Scanned = 0;
      co_return Line;
    }
    m_Scanned = m_Buffer.size();
    if (m_Scanned > MaxLineBytes)
      co_return error(ErrorCode::UpstreamProtocol, Ran::Unknown, "a frame exceeds the limit of 4 MiB");
    Expected<std::optional<std::string>> Chunk = co_await m_Body->read(Timeout);
    if (!Chunk)
      co_return Chunk.error();
    if (!*Chunk)
      co_return error(ErrorCode::StreamLost, Ran::Unknown, "the stream ended without a last frame");
    m_Buffer += **Chunk;
  }
}

asio::awaitable<Expected<EngineStart>> EngineStream::readStart(Duration Timeout) {
  Expected<std::string> Line = co_await readLine(Timeout);
  if (!Line)
    co_return Line.error();
  try {
    const Json Parsed = Json::parse(*Line);
    EngineStart Start;
    Start.m_Stream = StreamId(Parsed.at("stream").get<std::string>());
    Start.m_StartId = Parsed.at("startId").get<std::string>();
    Start.m_PromptTokens = Tokens(Parsed.at("promptTokens").get<std::uint64_t>());
    Start.m_CachedTokens = Tokens(Parsed.at("cachedTokens").get<std::uint64_t>());
    co_return Start;
  } catch (const Json::exception &ParseError) {
    co_return error(ErrorCode::UpstreamProtocol, Ran::Unknown, ParseError.what());
  }
}

asio::awaitable<Expected<EngineFrame>> EngineStream::readFrame(Duration Timeout) {
  Expected<std::string> Line = co_await readLine(Timeout);
  if (!Line)
    co_return Line.error();
  try {
    const Json Parsed = Json::parse(*Line);
    if (Parsed.contains("error"))
      co_return error(ErrorCode::UpstreamBroken, Ran::Yes, Parsed.at("error").get<std::string>());
    EngineFrame Frame;
    Frame.m_Offset = Parsed.at("offset").get<std::uint64_t>();
    Frame.m_End = Parsed.value("done", false);
    if (Frame.m_End) {
      Frame.m_CompletionTokens = Tokens(Parsed.at("completionTokens").get<std::uint64_t>());
      Frame.m_FinishReason = Parsed.at("finishReason").get<std::string>();
    } else {
      Frame.m_Text = Parsed.at("text").get<std::string>();
    }
    co_return Frame;
  } catch (const Json::exception &ParseError) {
    co_return error(ErrorCode::UpstreamProtocol, Ran::Unknown, ParseError.what());
  }
}

asio::awaitable<Expected<std::unique_ptr<EngineStream>>>
EngineClient::generate(Endpoint Peer, GenerateRequest Request, Duration Timeout) {
  Json Body = {{"attempt", Request.m_Attempt.value()},
               {"version", Request.m_Version.value()},
               {"maxTokens", Request.m_MaxTokens},
               {"priority", Request.m_Priority}};
  Body["prompt"] = Json::array();
  for (const ChatMessage &Message : Request.m_Prompt)
    Body["prompt"].push_back({{"role", Message.m_Role}, {"content", Message.m_Content}});
  if (!Request.m_ContinueFrom.empty())
    Body["continueFrom"] = Request.m_ContinueFrom;
  HttpRequest Message;
  Message.m_Method = "POST";
  Message.m_Target = "/generate";
  Message.m_Headers.add("Content-Type", "application/json");
  Message.m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  Expected<std::unique_ptr<HttpStream>> Opened = co_await m_Client.open(Peer, std::move(Message), Timeout);
  if (!Opened)
    co_return Opened.error();
  if ((*Opened)->status() != 200) {
    // Engines send an error status only before they start to generate.
    const Error Rejected = co_await readError(**Opened, Peer, ErrorCode::UpstreamRefused, Ran::No, Timeout);
    co_return Rejected;
  }
  co_return std::make_unique<EngineStream>(std::move(*Opened), Peer.toString());
}

asio::awaitable<Expected<std::unique_ptr<EngineStream>>>
EngineClient::resume(Endpoint Peer, StreamId Stream, std::uint64_t Offset, Duration Timeout) {
  HttpRequest Message;
  Message.m_Target = "/streams/" + Stream.value() + "?offset=" + std::to_string(Offset);
  Expected<std::unique_ptr<HttpStream>> Opened = co_await m_Client.open(Peer, std::move(Message), Timeout);
  if (!Opened)
    co_return Opened.error();
  if ((*Opened)->status() != 200) {
    const Error Rejected = co_await readError(**Opened, Peer, ErrorCode::StreamLost, Ran::Unknown, Timeout);
    co_return Rejected;
  }
  co_return std::make_unique<EngineStream>(std::move(*Opened), Peer.toString());
}

asio::awaitable<Expected<Done>> EngineClient::cancel(Endpoint Peer, std::string Id, Duration Timeout) {
  HttpRequest Message;
  Message.m_Method = "DELETE";
  Message.m_Target = "/streams/" + Id;
  Expected<HttpResponse> Response = co_await m_Client.exchange(Peer, std::move(Message), Timeout);
  if (!Response)
    co_return Response.error();
  if (Response->m_Status != 200 && Response->m_Status != 404)
    co_return Error{ErrorCode::UpstreamProtocol, "cancel stream", Peer.toString(), Ran::Unknown,
                    "status " + std::to_string(Response->m_Status)};
  co_return Done{};
}

std::string promptText(const std::vector<ChatMessage> &Prompt) {
  std::string Text;
  for (const ChatMessage &Message : Prompt)
    Text += Message.m_Role + ":" + Message.m_Content + "\n";
  return Text;
}

std::vector<std::uint64_t> prefixHashes(const std::string &PromptText) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t ChainedHash = 0;
  const std::string_view Text = PromptText;
  for (std::size_t Start = 0; Start + PrefixBlockBytes <= Text.size(); Start += PrefixBlockBytes) {
    ChainedHash = mixHash(ChainedHash, stableHash(Text.substr(Start, PrefixBlockBytes)));
    Hashes.push_back(ChainedHash);
  }
  return Hashes;
}

} // namespace bulrushpitch
