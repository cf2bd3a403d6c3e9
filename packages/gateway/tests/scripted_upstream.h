#ifndef BULRUSHPITCH_GATEWAY_TESTS_SCRIPTED_UPSTREAM_H
#define BULRUSHPITCH_GATEWAY_TESTS_SCRIPTED_UPSTREAM_H

#include "bulrushpitch/net/async.h"
#include "bulrushpitch/net/http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bulrushpitch::testing {

/// @brief What a scripted upstream does with one request.
struct ScriptedReply {
  std::string m_Bytes;                    ///< Sent as they are.
  std::chrono::milliseconds m_Delay{0};   ///< Before them.
  bool m_Close = false;                   ///< Closes the connection after them.
  std::chrono::milliseconds m_Silence{0}; ///< After them, before the next request is read or the close.
  std::string m_Rest = {};                ///< Sent after the silence.
};

/// @brief An upstream on loopback that answers each request with the bytes that a test asks for.
class ScriptedUpstream {
public:
  /// Gets the whole request and its number on this upstream, from 1.
  using Script = std::function<ScriptedReply(const std::string &Request, int Number)>;

  ScriptedUpstream(boost::asio::io_context &Context, Script Answers)
      : m_Context(Context), m_State(std::make_shared<State>(std::move(Answers))),
        m_Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    spawn(Context, accept(m_Context, m_Acceptor, m_State));
  }

  Endpoint address() const { return {"127.0.0.1", m_Acceptor.local_endpoint().port()}; }
  const std::vector<std::string> &requests() const { return m_State->m_Requests; }
  /// @return connections that ended from the other side
  int closedByPeer() const { return m_State->m_ClosedByPeer; }

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct State {
    explicit State(Script Answers) : m_Script(std::move(Answers)) {}
    Script m_Script;
    std::vector<std::string> m_Requests;
    int m_ClosedByPeer = 0;
  };

  static boost::asio::awaitable<void> accept(boost::asio::io_context &Context,
                                             boost::asio::ip::tcp::acceptor &Acceptor,
                                             std::shared_ptr<State> Shared) {
    while (true) {
      boost::system::error_code Code;
      Socket Accepted =
          co_await Acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        co_return;
      spawn(Context, serve(Context, std::move(Accepted), Shared));
    }
  }

  static boost::asio::awaitable<void> serve(boost::asio::io_context &Context, Socket Served,
                                            std::shared_ptr<State> Shared) {
    std::string Buffer;
    boost::system::error_code Code;
    while (true) {
      const std::size_t Head = co_await boost::asio::async_read_until(
          Served, boost::asio::dynamic_buffer(Buffer), "\r\n\r\n",
          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        break;
      const std::size_t Whole = Head + lengthOf(Buffer);
      while (!Code && Buffer.size() < Whole) {
        std::array<char, 4096> Part;
        const std::size_t Size = co_await Served.async_read_some(
            boost::asio::buffer(Part), boost::asio::redirect_error(boost::asio::use_awaitable, Code));
        Buffer.append(Part.data(), Size);
      }
      Shared->m_Requests.push_back(Buffer.substr(0, Whole));
      Buffer.erase(0, Whole);
      const ScriptedReply Reply =
          Shared->m_Script(Shared->m_Requests.back(), static_cast<int>(Shared->m_Requests.size()));
      co_await sleepFor(Context, Reply.m_Delay);
      co_await boost::asio::async_write(Served, boost::asio::buffer(Reply.m_Bytes),
                                        boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      co_await sleepFor(Context, Reply.m_Silence);
      if (!Reply.m_Rest.empty())
        co_await boost::asio::async_write(Served, boost::asio::buffer(Reply.m_Rest),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Reply.m_Close || Code)
        co_return;
    }
    ++Shared->m_ClosedByPeer;
  }

  static std::size_t lengthOf(const std::string &Head) {
    const std::size_t At = Head.find("Content-Length: ");
    return At == std::string::npos ? 0 : static_cast<std::size_t>(std::atoi(Head.c_str() + At + 16));
  }

  boost::asio::io_context &m_Context;
  std::shared_ptr<State> m_State;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_GATEWAY_TESTS_SCRIPTED_UPSTREAM_H
