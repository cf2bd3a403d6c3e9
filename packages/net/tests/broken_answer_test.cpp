#include "raw_server.h"

#include "bulrushpitch/net/net.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Responses that are none, or that break off beside a request that is still being written.

using namespace bulrushpitch;
using bulrushpitch::testing::RawEnd;
using bulrushpitch::testing::RawReply;
using bulrushpitch::testing::RawServer;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

/// More than the buffers of both sockets hold, so that the request can't have been written whole.
constexpr std::size_t LongRequestBytes = 32UL * 1024 * 1024;
constexpr milliseconds CallTimeout{2000};
/// Time after its timeout at which a call counts as stuck, on a busy machine.
constexpr milliseconds MaxOverrun{2000};

struct Fixture {
  void serve(RawReply Reply) {
    m_Server.emplace(m_Context, [Reply = std::move(Reply)](const std::string &, int) { return Reply; });
  }

  asio::awaitable<void> call(HttpRequest Request, std::optional<Expected<HttpResponse>> &Outcome) {
    Outcome = co_await m_Client.exchange(m_Server->address(), std::move(Request), CallTimeout);
  }

  /// @return the outcome; nothing if the call is stuck
  std::optional<Expected<HttpResponse>> exchange(std::size_t RequestBytes = 0) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Body = std::string(RequestBytes, 'x');
    std::optional<Expected<HttpResponse>> Outcome;
    spawn(m_Context, call(std::move(Request), Outcome));
    const TimePoint End = systemClock()() + CallTimeout + MaxOverrun;
    while (!Outcome && systemClock()() < End)
      m_Context.run_one_for(milliseconds(20));
    CHECK_MESSAGE(Outcome, "the call is stuck");
    return Outcome;
  }

  /// @return the code of the call's error; 901 if it is stuck or succeeds
  ErrorCode exchangeError(std::size_t RequestBytes = 0) {
    const std::optional<Expected<HttpResponse>> Outcome = exchange(RequestBytes);
    if (!Outcome || *Outcome)
      return ErrorCode::Internal;
    CHECK((*Outcome).error().m_Ran == Ran::Unknown);
    return Outcome->error().m_Code;
  }

  asio::io_context m_Context;
  std::optional<RawServer> m_Server;
  HttpClient m_Client{m_Context, "test"};
};

const std::string OkLine = "HTTP/1.1 200 OK\r\n";

} // namespace

// Guards against a response without a status that passes for one, or for an interim one: the call was then
// held until its timeout though its response had come.
TEST_CASE_FIXTURE(Fixture, "a response whose status is none is an error at once") {
  for (const std::string Status : {"000", "001", "010", "099", "101", "600", "999"})
    for (const std::string Framing :
         {"Content-Length: 5\r\n\r\nwhole", "Content-Length: 0\r\n\r\n", "\r\nwhole",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
      CAPTURE(Status);
      CAPTURE(Framing);
      serve(RawReply{{"HTTP/1.1 " + Status + " X\r\n" + Framing}});
      CHECK(exchangeError() == ErrorCode::UpstreamProtocol);
    }
}

TEST_CASE_FIXTURE(Fixture, "interim responses are passed over") {
  for (const std::string Status : {"100", "102", "103", "199"}) {
    serve(RawReply{
        {"HTTP/1.1 " + Status + " X\r\nLink: x\r\n\r\n", OkLine + "Content-Length: 5\r\n\r\nwhole"}});
    const std::optional<Expected<HttpResponse>> Outcome = exchange();
    REQUIRE(Outcome);
    REQUIRE(*Outcome);
    CHECK((*Outcome)->m_Body == "whole");
  }
}
