#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/standin/answers.h"
#include "bulrushpitch/standin/load.h"
#include "loop.h"

using namespace bulrushpitch;
using namespace bulrushpitch::standin;
namespace asio = boost::asio;

namespace {

/// What the fake daemon does to its answers.
enum class Fault : std::uint8_t { None, Swapped, Shortened, Refused };

// GCC 12 rejects nested initializer lists inside coroutines, so bodies are made outside.
json wholeBody(const std::string &Text) {
  return {{"choices", json::array({{{"message", {{"role", "assistant"}, {"content", Text}}}}})}};
}
std::string event(const std::string &Text) {
  return "id: 0\r\ndata: " + json{{"choices", json::array({{{"delta", {{"content", Text}}}}})}}.dump() +
         "\r\n\r\n";
}
HttpResponse overloaded() { return jsonResponse(503, {{"error", {{"code", 404}, {"ran", "no"}}}}); }
HttpResponse walletBody(const json &Wallet) { return jsonResponse(200, {{"wallet", Wallet}}); }

/// A daemon that answers by itself.
struct FakeDaemon {
  FakeDaemon(asio::io_context &Context, Fault Shown)
      : m_Fault(Shown), m_Server(
                            Context, Endpoint{}, ServerLimits{},
                            [this](HttpRequest &Request, ResponseWriter &Writer) -> asio::awaitable<void> {
                              co_await handle(Request, Writer);
                            },
                            renderError) {}
  Result<void> start() { return m_Server.start(); }

  asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer) {
    const json Body = json::parse(Request.m_Body);
    if (m_Fault == Fault::Refused) {
      static_cast<void>(co_await Writer.send(overloaded()));
      co_return;
    }
    if (Request.path() == "/services/till/debit" || Request.path() == "/services/till/balance") {
      const json Wallet = m_Fault == Fault::Swapped ? json("another") : Body.at("wallet");
      static_cast<void>(co_await Writer.send(walletBody(Wallet)));
      co_return;
    }
    std::string Prompt = promptText(Body.at("messages"));
    if (m_Fault == Fault::Swapped)
      std::swap(Prompt, m_Before);
    std::string Text = makeAnswer(AnswerMark{"v1", stableHash(Prompt), 0.8, 20}).m_Text;
    if (m_Fault == Fault::Shortened)
      Text.pop_back();
    if (!Body.at("stream").get<bool>()) {
      static_cast<void>(co_await Writer.send(jsonResponse(200, wholeBody(Text))));
      co_return;
    }
    static_cast<void>(co_await Writer.begin(200, {}));
    static_cast<void>(co_await Writer.write(event(Text.substr(0, 30))));
    static_cast<void>(co_await Writer.write(event(Text.substr(30))));
    static_cast<void>(co_await Writer.write("data: [DONE]\n\n"));
    static_cast<void>(co_await Writer.finish());
  }

  Fault m_Fault;
  std::string m_Before = "none";
  HttpServer m_Server;
};

LoadReport runAgainst(Fault Shown) {
  Loop Test;
  FakeDaemon Daemon(Test.m_Context, Shown);
  Test.start(Daemon);
  LoadSettings Settings;
  Settings.m_Daemons = {Daemon.m_Server.address()};
  Settings.m_Service = "till";
  Settings.m_ServiceShare = 0.3;
  Settings.m_Rate = 10'000;
  Settings.m_Requests = 40;
  Settings.m_Concurrency = 4;
  Settings.m_RunId = "test";
  return runLoad(Test.m_Context, Settings);
}

} // namespace

TEST_CASE("the load tool counts right answers, whole, streamed and of services") {
  const LoadReport Report = runAgainst(Fault::None);
  CHECK(Report.m_Sent == 40);
  CHECK(Report.m_Answered == 40);
  CHECK(Report.m_Wrong.empty());
  CHECK(Report.m_Errors.empty());
  CHECK_FALSE(Report.m_GapMs.empty());
  CHECK_FALSE(Report.m_ServiceMs.empty());
  CHECK(Report.m_WholeMs.size() + Report.m_ServiceMs.size() == 40);
}

TEST_CASE("the load tool notices every answer to another request") {
  CHECK(runAgainst(Fault::Swapped).m_Wrong.size() == 40);
}

TEST_CASE("the load tool notices answers that end too early") {
  const LoadReport Report = runAgainst(Fault::Shortened);
  CHECK(Report.m_Wrong.size() + Report.m_ServiceMs.size() == 40);
}

TEST_CASE("the load tool counts errors by number and outcome") {
  const LoadReport Report = runAgainst(Fault::Refused);
  CHECK(Report.m_Answered == 0);
  CHECK(Report.m_Errors == std::map<std::string, std::size_t>{{"404 no", 40}});
}
