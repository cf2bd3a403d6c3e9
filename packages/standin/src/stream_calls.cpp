#include "stream_calls.h"

#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/standin/answers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <memory>
#include <utility>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

constexpr std::size_t BytesPerToken = 4;

HttpResponse unknownStream(const std::string &Id) { return refusal(404, "no stream " + Id, "unknown"); }

/// @return the offset that a request resumes a stream from; nothing if it is not a position in the text
std::optional<std::size_t> readOffset(const HttpRequest &Request, const Stream &From) {
  const std::string Text = queryText(Request, "offset");
  std::size_t Offset = 0;
  const std::from_chars_result Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Offset);
  const bool Beyond = From.finished() && Offset > From.producedBytes();
  if (Parsed.ec != std::errc() || Beyond || From.splitsCharacter(Offset))
    return std::nullopt;
  return Offset;
}

/// Waits until a stream has text behind an offset, or ends.
asio::awaitable<void> waitForText(Stream &From, std::size_t Offset) {
  while (From.producedBytes() <= Offset && !From.finished()) {
    boost::system::error_code Ignored;
    co_await From.m_Changed.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

} // namespace

asio::awaitable<void> StreamCalls::generate(HttpRequest &Request, ResponseWriter &Writer) {
  Accepted Outcome;
  HttpResponse Refusal = guarded([this, &Outcome, &Request] {
    Outcome = accept(json::parse(Request.m_Body));
    return Outcome.m_Refusal;
  });
  if (!Outcome.m_Stream) {
    ++m_Engine.m_Counts.m_Refused;
    co_await answer(m_Engine.m_Faults, m_Engine.m_Counts, Writer, std::move(Refusal), false);
    co_return;
  }
  if (m_Engine.m_Faults.m_LoseNext > 0) {
    --m_Engine.m_Faults.m_LoseNext;
    ++m_Engine.m_Counts.m_Lost;
    co_await breakOff(Writer);
    co_return;
  }
  const std::size_t Offset = Outcome.m_Stream->producedBytes();
  co_await deliver(Outcome.m_Stream, Offset, Writer);
}

/// Checks a request to generate and starts its stream.
StreamCalls::Accepted StreamCalls::accept(const json &Body) {
  const std::string Version = Body.at("version").get<std::string>();
  const std::int64_t MaxTokens = Body.at("maxTokens").get<std::int64_t>();
  const std::string Prompt = promptText(Body.at("prompt"));
  if (MaxTokens < 1 || Body.at("prompt").empty())
    throw BadRequest("maxTokens is below 1 or the prompt is empty");
  if (const std::optional<HttpResponse> Refusal = checkVersion(Version, Body))
    return {nullptr, *Refusal};
  const StreamPointer New = makeStream(Version, Body);
  const std::string Before = Body.value("continueFrom", std::string());
  if (!New->prepareText(makeMark(Version, Prompt, Before, Body), Before))
    return {nullptr, refusal(400, "continueFrom is not the start of this version's answer")};
  New->m_End = std::min(New->m_Start + static_cast<std::size_t>(MaxTokens), New->m_Text.m_Ends.size());
  if (const std::optional<HttpResponse> Refusal = checkAdmission())
    return {nullptr, *Refusal};
  start(New, Prompt);
  return {New, {}};
}

std::optional<HttpResponse> StreamCalls::checkVersion(const std::string &Version, const json &Body) const {
  std::optional<HttpResponse> Refusal;
  if (Body.contains("fencing"))
    Refusal = m_Engine.m_Orders.checkFence(Body.at("fencing").get<std::uint64_t>());
  return Refusal ? Refusal : m_Engine.checkLoaded(Version);
}

std::optional<HttpResponse> StreamCalls::checkAdmission() {
  Process &Engine = m_Engine.m_Process;
  switch (Engine.admit(m_Engine.m_Batch.size())) {
  case Process::Admission::Accepted:
    break;
  case Process::Admission::Refused:
    return refusal(503, Engine.starting() ? "the engine is starting" : "the queue is full");
  case Process::Admission::FallenOver:
    m_Engine.loseAll();
    return refusal(503, "the engine fell over: too much while cold");
  }
  return std::nullopt;
}

StreamPointer StreamCalls::makeStream(const std::string &Version, const json &Body) const {
  StreamPointer New = std::make_shared<Stream>(m_Engine.m_Context);
  New->m_Priority = Body.at("priority").get<int>();
  New->m_Audit->m_Attempt = Body.at("attempt").get<std::string>();
  New->m_Audit->m_Version = Version;
  return New;
}

/// An answer that is continued keeps the quality that it was begun with.
AnswerMark StreamCalls::makeMark(const std::string &Version, const std::string &Prompt,
                                 const std::string &Before, const json &Body) {
  AnswerMark Mark{Version, stableHash(Prompt), m_Engine.m_Settings.m_Versions[Version],
                  answerLength(Prompt, Body.at("prompt").back().at("content").get<std::string>())};
  if (const std::optional<AnswerMark> Earlier = readMark(Before))
    Mark.m_Quality = Earlier->m_Quality;
  return Mark;
}

void StreamCalls::start(const StreamPointer &New, const std::string &Prompt) {
  const std::size_t CachedBlocks =
      m_Engine.m_Cache.use(New->m_Audit->m_Version, prefixHashes(Prompt), m_Engine.m_Process.now());
  New->m_PromptTokens = (Prompt.size() + BytesPerToken - 1) / BytesPerToken + New->m_Start;
  New->m_CachedTokens = CachedBlocks * PrefixCache::BlockTokens;
  m_Engine.m_Batch.add(New);
  StreamBatch::generate(m_Engine.sharedBatch());
}

asio::awaitable<void> StreamCalls::resume(const std::string &Id, HttpRequest &Request,
                                          ResponseWriter &Writer) {
  const StreamPointer Found = m_Engine.m_Batch.find(Id);
  const std::optional<std::size_t> Offset = Found ? readOffset(Request, *Found) : std::nullopt;
  if (Offset) {
    co_await deliver(Found, *Offset, Writer);
    co_return;
  }
  HttpResponse Refusal = Found ? refusal(400, "the offset is not a position in the text") : unknownStream(Id);
  co_await answer(m_Engine.m_Faults, m_Engine.m_Counts, Writer, std::move(Refusal), false);
}

HttpResponse StreamCalls::cancel(const std::string &Id) {
  const StreamPointer Cancelled = m_Engine.m_Batch.find(Id);
  if (!Cancelled)
    return unknownStream(Id);
  m_Engine.m_Batch.cancel(Cancelled);
  return jsonResponse(200, {{"stream", Id},
                            {"completionTokens", Cancelled->completionTokens()},
                            {"finishReason", Cancelled->m_Audit->m_FinishReason}});
}

/// Writes a stream's frames from an offset on, until it ends, the engine fails or the client is gone.
asio::awaitable<void> StreamCalls::deliver(StreamPointer From, std::size_t Offset, ResponseWriter &Writer) {
  HttpHeaders Headers;
  Headers.add("Content-Type", "application/x-ndjson");
  if (!co_await Writer.begin(200, std::move(Headers)))
    co_return;
  std::string Line = firstLine(*From);
  while (co_await Writer.write(Line)) {
    co_await waitForText(*From, Offset);
    if (From->lost() || m_Engine.m_Faults.m_Down)
      co_return;
    if (From->producedBytes() <= Offset)
      break;
    Line = From->textFrame(Offset);
    Offset = From->producedBytes();
  }
  if (!From->finished())
    co_return;
  Line = From->lastFrame();
  if (co_await Writer.write(Line))
    static_cast<void>(co_await Writer.finish());
}

std::string StreamCalls::firstLine(const Stream &From) {
  if (m_Engine.m_Faults.m_MalformedNext == 0)
    return From.firstFrame();
  --m_Engine.m_Faults.m_MalformedNext;
  return "{\"malformed\":\n";
}

} // namespace bulrushpitch::standin
