#include "bulrushpitch/daemon/answer_sink.h"

#include "bulrushpitch/config/admin_api.h"

#include <nlohmann/json.hpp>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

std::string dump(const Json &Value) { return Value.dump(-1, ' ', false, Json::error_handler_t::replace); }

HttpHeaders commonHeaders(const AnswerStart &Start) {
  HttpHeaders Headers;
  Headers.add("X-Request-Id", Start.m_Request.value());
  Headers.add("X-Version", Start.m_Version.value());
  if (!Start.m_SessionToken.empty())
    Headers.add("X-Session-Token", Start.m_SessionToken);
  return Headers;
}

Json usage(const AnswerEnd &End) {
  return {{"prompt_tokens", End.m_PromptTokens.value()},
          {"completion_tokens", End.m_CompletionTokens.value()},
          {"total_tokens", End.m_PromptTokens.value() + End.m_CompletionTokens.value()},
          {"charge_microcents", End.m_Charge.value()}};
}

class EventSink : public AnswerSink {
public:
  explicit EventSink(ResponseWriter &Writer) : m_Writer(Writer) {}

  asio::awaitable<Expected<Done>> begin(const AnswerStart &Start) override {
    m_Start = Start;
    HttpHeaders Headers = commonHeaders(Start);
    Headers.add("Content-Type", "text/event-stream");
    Headers.add("Cache-Control", "no-store");
    if (!Start.m_ResumeToken.empty())
      Headers.add("X-Resume-Token", Start.m_ResumeToken);
    Expected<Done> BeginResult = co_await m_Writer.begin(200, std::move(Headers));
    if (!BeginResult)
      co_return BeginResult;
    Json FirstChunk = chunk(Json{{"role", "assistant"}}, nullptr);
    if (!Start.m_ResumeToken.empty())
      FirstChunk["resume_token"] = Start.m_ResumeToken;
    co_return co_await m_Writer.write("data: " + dump(FirstChunk) + "\n\n");
  }

  asio::awaitable<Expected<Done>> text(std::uint64_t Offset, std::string_view Text) override {
    // The event id is the offset after this text: a caller that received the event resumes from it.
    std::string Event = "id: " + std::to_string(Offset + Text.size()) + "\ndata: ";
    Event += dump(chunk(Json{{"content", Text}}, nullptr));
    Event += "\n\n";
    co_return co_await m_Writer.write(Event);
  }

  asio::awaitable<Expected<Done>> end(const AnswerEnd &End) override {
    Json LastChunk = chunk(Json::object(), End.m_FinishReason);
    LastChunk["usage"] = usage(End);
    Expected<Done> WriteResult = co_await m_Writer.write("data: " + dump(LastChunk) + "\n\ndata: [DONE]\n\n");
    if (!WriteResult)
      co_return WriteResult;
    co_return co_await m_Writer.finish();
  }

  asio::awaitable<void> fail(const Error &Failure) override {
    if (!m_Writer.begun()) {
      static_cast<void>(co_await m_Writer.send(errorResponse(Failure)));
      co_return;
    }
    Expected<Done> WriteResult =
        co_await m_Writer.write("event: error\ndata: " + encodeError(Failure) + "\n\n");
    if (WriteResult)
      static_cast<void>(co_await m_Writer.finish());
  }

private:
  Json chunk(Json Delta, const Json &FinishReason) const {
    Json Choice = {{"index", 0}, {"delta", std::move(Delta)}, {"finish_reason", FinishReason}};
    return {{"id", m_Start.m_Request.value()},
            {"object", "chat.completion.chunk"},
            {"created", m_Start.m_Created},
            {"model", m_Start.m_Model.value()},
            {"choices", Json::array({std::move(Choice)})}};
  }

  ResponseWriter &m_Writer;
  AnswerStart m_Start;
};

class JsonSink : public AnswerSink {
public:
  explicit JsonSink(ResponseWriter &Writer) : m_Writer(Writer) {}

  asio::awaitable<Expected<Done>> begin(const AnswerStart &Start) override {
    m_Start = Start;
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> text(std::uint64_t, std::string_view Text) override {
    m_Text += Text;
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> end(const AnswerEnd &End) override {
    HttpResponse Response;
    Response.m_Headers = commonHeaders(m_Start);
    Response.m_Headers.add("X-Charge-Microcents", std::to_string(End.m_Charge.value()));
    Response.m_Headers.add("Content-Type", "application/json");
    const Json Choice = {{"index", 0},
                         {"message", {{"role", "assistant"}, {"content", m_Text}}},
                         {"finish_reason", End.m_FinishReason}};
    Response.m_Body = dump({{"id", m_Start.m_Request.value()},
                            {"object", "chat.completion"},
                            {"created", m_Start.m_Created},
                            {"model", m_Start.m_Model.value()},
                            {"choices", Json::array({Choice})},
                            {"usage", usage(End)}});
    co_return co_await m_Writer.send(std::move(Response));
  }
  asio::awaitable<void> fail(const Error &Failure) override {
    static_cast<void>(co_await m_Writer.send(errorResponse(Failure)));
  }

private:
  ResponseWriter &m_Writer;
  AnswerStart m_Start;
  std::string m_Text;
};

} // namespace

unsigned httpStatus(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::HeadersTooLarge:
    return 431;
  case ErrorCode::BodyTooLarge:
    return 413;
  case ErrorCode::UnknownPath:
  case ErrorCode::ObjectNotFound:
    return 404;
  case ErrorCode::ClientTooSlow:
  case ErrorCode::IdleTimeout:
    return 408;
  case ErrorCode::Unauthorized:
    return 401;
  case ErrorCode::VersionWithdrawn:
  case ErrorCode::ClaimTaken:
  case ErrorCode::ClaimOutcomeUnknown:
  case ErrorCode::RevisionConflict:
    return 409;
  case ErrorCode::Overloaded:
  case ErrorCode::RetryBudgetSpent:
    return 429;
  case ErrorCode::NotReady:
  case ErrorCode::RevisionTooOld:
    return 503;
  case ErrorCode::DeadlineUnreachable:
  case ErrorCode::UpstreamTimeout:
    return 504;
  default:
    break;
  }
  switch (static_cast<unsigned>(Code) / 100) {
  case 1:
    return 400;
  case 2:
    return 403;
  case 3:
    return 422;
  case 5:
    return 502;
  case 9:
    return 500;
  default:
    return 503;
  }
}

HttpResponse errorResponse(const Error &Failure) {
  HttpResponse Response;
  Response.m_Status = httpStatus(Failure.m_Code);
  Response.m_Headers.add("Content-Type", "application/json");
  Response.m_Body = encodeError(Failure);
  return Response;
}

std::unique_ptr<AnswerSink> makeEventSink(ResponseWriter &Writer) {
  return std::make_unique<EventSink>(Writer);
}
std::unique_ptr<AnswerSink> makeJsonSink(ResponseWriter &Writer) {
  return std::make_unique<JsonSink>(Writer);
}

} // namespace bulrushpitch
