#include "bulrushpitch/daemon/answer_sink.h"

#include "bulrushpitch/config/admin_api.h"

#include <nlohmann/json.hpp>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

std::string dump(const Json &Value) { return Value.dump(-1, ' ', false, Json::error_handler_t::replace); }

HttpHeaders commonHeaders(const AnswerHead &Head) {
  HttpHeaders Headers;
  Headers.add("X-Request-Id", Head.m_Request.value());
  Headers.add("X-Version", Head.m_Version.value());
  if (!Head.m_SessionToken.empty())
    Headers.add("X-Session-Token", Head.m_SessionToken);
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

  asio::awaitable<Expected<Done>> begin(const AnswerHead &Head) override {
    m_Head = Head;
    HttpHeaders Headers = commonHeaders(Head);
    Headers.add("Content-Type", "text/event-stream");
    Headers.add("Cache-Control", "no-store");
    if (!Head.m_ResumeToken.empty())
      Headers.add("X-Resume-Token", Head.m_ResumeToken);
    Expected<Done> Begun = co_await m_Writer.begin(200, std::move(Headers));
    if (!Begun)
      co_return Begun;
    Json First = chunk(Json{{"role", "assistant"}}, nullptr);
    if (!Head.m_ResumeToken.empty())
      First["resume_token"] = Head.m_ResumeToken;
    co_return co_await m_Writer.write("data: " + dump(First) + "\n\n");
  }

  asio::awaitable<Expected<Done>> text(std::uint64_t Offset, std::string_view Text) override {
    // The id is the offset after this text: a caller that saw the event resumes there.
    std::string Event = "id: " + std::to_string(Offset + Text.size()) + "\ndata: ";
    Event += dump(chunk(Json{{"content", Text}}, nullptr));
    Event += "\n\n";
    co_return co_await m_Writer.write(Event);
  }

  asio::awaitable<Expected<Done>> end(const AnswerEnd &End) override {
    Json Last = chunk(Json::object(), End.m_FinishReason);
    Last["usage"] = usage(End);
    Expected<Done> Written = co_await m_Writer.write("data: " + dump(Last) + "\n\ndata: [DONE]\n\n");
    if (!Written)
      co_return Written;
    co_return co_await m_Writer.finish();
  }

  asio::awaitable<void> fail(const Error &Failure) override {
    if (!m_Writer.begun()) {
      static_cast<void>(co_await m_Writer.send(errorResponse(Failure)));
      co_return;
    }
    Expected<Done> Written = co_await m_Writer.write("event: error\ndata: " + encodeError(Failure) + "\n\n");
    if (Written)
      static_cast<void>(co_await m_Writer.finish());
  }

private:
  Json chunk(Json Delta, const Json &FinishReason) const {
    Json Choice = {{"index", 0}, {"delta", std::move(Delta)}, {"finish_reason", FinishReason}};
    return {{"id", m_Head.m_Request.value()},
            {"object", "chat.completion.chunk"},
            {"created", m_Head.m_Created},
            {"model", m_Head.m_Model.value()},
            {"choices", Json::array({std::move(Choice)})}};
  }

  ResponseWriter &m_Writer;
  AnswerHead m_Head;
};

class WholeSink : public AnswerSink {
public:
  explicit WholeSink(ResponseWriter &Writer) : m_Writer(Writer) {}

  asio::awaitable<Expected<Done>> begin(const AnswerHead &Head) override {
    m_Head = Head;
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> text(std::uint64_t, std::string_view Text) override {
    m_Text += Text;
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> end(const AnswerEnd &End) override {
    HttpResponse Response;
    Response.m_Headers = commonHeaders(m_Head);
    Response.m_Headers.add("X-Charge-Microcents", std::to_string(End.m_Charge.value()));
    Response.m_Headers.add("Content-Type", "application/json");
    const Json Choice = {{"index", 0},
                         {"message", {{"role", "assistant"}, {"content", m_Text}}},
                         {"finish_reason", End.m_FinishReason}};
    Response.m_Body = dump({{"id", m_Head.m_Request.value()},
                            {"object", "chat.completion"},
                            {"created", m_Head.m_Created},
                            {"model", m_Head.m_Model.value()},
                            {"choices", Json::array({Choice})},
                            {"usage", usage(End)}});
    co_return co_await m_Writer.send(std::move(Response));
  }
  asio::awaitable<void> fail(const Error &Failure) override {
    static_cast<void>(co_await m_Writer.send(errorResponse(Failure)));
  }

private:
  ResponseWriter &m_Writer;
  AnswerHead m_Head;
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
std::unique_ptr<AnswerSink> makeWholeSink(ResponseWriter &Writer) {
  return std::make_unique<WholeSink>(Writer);
}

} // namespace bulrushpitch
