#ifndef BULRUSHPITCH_STANDIN_TESTS_LOOP_H
#define BULRUSHPITCH_STANDIN_TESTS_LOOP_H

#include "bulrushpitch/standin/faults.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <sstream>
#include <vector>

namespace bulrushpitch::standin {

/// An event loop with a client, for stand-ins in the same process.
struct Loop {
  boost::asio::io_context m_Context;
  HttpClient m_Client{m_Context, "test"};

  static boost::asio::awaitable<void> keep(boost::asio::awaitable<Expected<HttpResponse>> Call,
                                           std::optional<Expected<HttpResponse>> &Outcome) {
    Outcome = co_await std::move(Call);
  }

  template <typename Standin> void start(Standin &Started) {
    const Expected<Done> Outcome = capture([&Started]() -> Result<void> { return Started.start(); });
    REQUIRE(Outcome);
  }

  Expected<HttpResponse> send(const Endpoint &Peer, HttpRequest Request) {
    constexpr std::chrono::seconds Timeout{20};
    std::optional<Expected<HttpResponse>> Outcome;
    boost::asio::co_spawn(m_Context, keep(m_Client.exchange(Peer, std::move(Request), Timeout), Outcome),
                          boost::asio::detached);
    m_Context.restart();
    while (!Outcome)
      m_Context.run_one();
    return *Outcome;
  }

  HttpResponse get(const Endpoint &Peer, const std::string &Target, const std::string &Method = "GET") {
    const Expected<HttpResponse> Response = send(Peer, HttpRequest{Method, Target, {}, ""});
    REQUIRE(Response);
    return *Response;
  }

  HttpResponse post(const Endpoint &Peer, const std::string &Target, const json &Body) {
    const Expected<HttpResponse> Response = send(Peer, HttpRequest{"POST", Target, {}, Body.dump()});
    REQUIRE(Response);
    return *Response;
  }

  void waitFor(Milliseconds Time) {
    m_Context.restart();
    m_Context.run_for(Time);
  }
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_TESTS_LOOP_H
