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

// Guards against a field that one reader of the response sees and another doesn't. Where it says how the body
// is framed, the framing itself would become a body that ends with the connection.
TEST_CASE_FIXTURE(Fixture, "a response with a blank or a control byte in a field's name is an error") {
  std::vector<std::string> Lines{": value", "Name", "Na me: value", "Name\r: value"};
  for (const std::string Name : {"Name", "Content-Length", "Transfer-Encoding"}) {
    const std::string Value = Name == "Content-Length" ? "5" : "chunked";
    for (const char Character : {' ', '\t', '\0', '\x01', '\v', '\x1f', '\x7f', '\x80', '\n', '\r'}) {
      const std::string Byte(1, Character);
      Lines.push_back(Byte + Name + ": " + Value);
      Lines.push_back(Name.substr(0, 2) + Byte + Name.substr(2) + ": " + Value);
      Lines.push_back(Name + Byte + ": " + Value);
    }
  }
  for (const std::string &Line : Lines)
    for (const std::string Before : {"", "Other: value\r\n"})
      for (const std::string Body : {"5\r\nwhole\r\n0\r\n\r\n", "whole"}) {
        CAPTURE(Before);
        CAPTURE(Line);
        serve(
            RawReply{{OkLine + Before + Line + "\r\nLast: value\r\n\r\n" + Body}, {}, {}, 0, RawEnd::Close});
        CHECK(exchangeError() == ErrorCode::UpstreamProtocol);
      }
}

// Guards against a coded body that passes for the body: nothing tells the caller of the coding.
TEST_CASE_FIXTURE(Fixture, "a response with another transfer coding than chunks is an error") {
  const std::string Chunks = "5\r\nwhole\r\n0\r\n\r\n";
  for (const std::string Coding :
       {"gzip", "identity", "", "chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked;q=1",
        "\"chunked\"", "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip"}) {
    CAPTURE(Coding);
    serve(
        RawReply{{OkLine + "Transfer-Encoding: " + Coding + "\r\n\r\n" + Chunks}, {}, {}, 0, RawEnd::Close});
    CHECK(exchangeError() == ErrorCode::UpstreamProtocol);
  }
  for (const std::string Coding : {"chunked", "Chunked", " chunked\t"}) {
    CAPTURE(Coding);
    serve(RawReply{{OkLine + "Transfer-Encoding: " + Coding + "\r\n\r\n" + Chunks}});
    const std::optional<Expected<HttpResponse>> Outcome = exchange();
    REQUIRE(Outcome);
    REQUIRE(*Outcome);
    CHECK((*Outcome)->m_Body == "whole");
  }
}

// The line after the break tells whether the one before is continued.
TEST_CASE_FIXTURE(Fixture, "a response with a folded line is an error wherever its bytes are cut") {
  const std::string Bytes =
      OkLine + "Other: value\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  for (std::size_t At = 1; At < Bytes.size(); ++At) {
    CAPTURE(At);
    serve(RawReply{{Bytes.substr(0, At), Bytes.substr(At)}, milliseconds(3), {}, 0, RawEnd::Close});
    CHECK(exchangeError() == ErrorCode::UpstreamProtocol);
  }
}

TEST_CASE_FIXTURE(Fixture, "a body may hold what is an error in a head") {
  const std::string Body = "\r\n folded\r\n\tfolded\r\nNa me: value\r\n\r\nHTTP/1.1 000 X\r\n";
  const std::string Length = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  for (const std::string &Head :
       {OkLine + "\r\n", OkLine + Length + "\r\n", OkLine + "A: b\r\n" + Length + "\r\n"})
    for (std::size_t At = 1; At < Head.size() + 4; ++At) {
      CAPTURE(Head);
      CAPTURE(At);
      const std::string Bytes = Head + Body;
      serve(RawReply{{Bytes.substr(0, At), Bytes.substr(At)}, milliseconds(2), {}, 0, RawEnd::Close});
      const std::optional<Expected<HttpResponse>> Outcome = exchange();
      REQUIRE(Outcome);
      REQUIRE(*Outcome);
      CHECK((*Outcome)->m_Body == Body);
    }
}

// Guards against a part of a body that passes for the whole: a reset is reported once by the socket, and if
// the write of the request meets it, the read of the response sees a plain end.
TEST_CASE_FIXTURE(Fixture, "a response without a length that is cut beside its request's write is an error") {
  for (const RawEnd End : {RawEnd::Reset, RawEnd::Close, RawEnd::EndSendingThenReset})
    for (const std::string Fields : {"", "Connection: close\r\n"})
      for (const std::string Part : {"", "part", "a longer part of the body"})
        for (const milliseconds Pause : {milliseconds(5), milliseconds(50), milliseconds(400)}) {
          CAPTURE(static_cast<int>(End));
          CAPTURE(Fields);
          CAPTURE(Part);
          CAPTURE(Pause.count());
          serve(RawReply{{OkLine + Fields + "\r\n" + Part}, Pause, {}, 0, End});
          CHECK(exchangeError(LongRequestBytes) == ErrorCode::StreamLost);
        }
}

TEST_CASE_FIXTURE(Fixture, "a response with a length or in chunks is whole although its request was cut") {
  for (const std::string Whole :
       {"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"})
    for (const milliseconds Pause : {milliseconds(5), milliseconds(50)}) {
      CAPTURE(Whole);
      serve(RawReply{{OkLine + Whole}, Pause, {}, 0, RawEnd::Reset});
      const std::optional<Expected<HttpResponse>> Outcome = exchange(LongRequestBytes);
      REQUIRE(Outcome);
      REQUIRE(*Outcome);
      CHECK((*Outcome)->m_Body == "whole");
    }
}

// Guards against a sound early answer that is taken for a broken one.
TEST_CASE_FIXTURE(Fixture,
                  "a response without a length is whole if its server ends it and reads its request") {
  for (const std::string Body : {"", "whole"}) {
    serve(RawReply{{OkLine + "\r\n" + Body}, milliseconds(50), {}, 0, RawEnd::EndSending});
    const std::optional<Expected<HttpResponse>> Outcome = exchange(LongRequestBytes);
    REQUIRE(Outcome);
    REQUIRE(*Outcome);
    CHECK((*Outcome)->m_Body == Body);
    const TimePoint End = systemClock()() + CallTimeout;
    while (m_Server->closedByPeer() == 0 && systemClock()() < End)
      m_Context.run_one_for(milliseconds(20));
    CHECK(m_Server->bytesReadToEnd() == LongRequestBytes);
  }
}

// Guards against a call that waits without end for a request that its server no longer reads.
TEST_CASE_FIXTURE(Fixture, "a response that ends before its request is read is an error at the timeout") {
  serve(RawReply{{OkLine + "\r\npart"}, CallTimeout + MaxOverrun, {}, 0, RawEnd::EndSendingThenReset});
  const ErrorCode Code = exchangeError(LongRequestBytes);
  CHECK((Code == ErrorCode::UpstreamTimeout || Code == ErrorCode::StreamLost));
}
