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

/// @brief How a scripted upstream responds to one request.
struct ScriptedReply {
  std::string m_Bytes;                    ///< Sent unchanged.
  std::chrono::milliseconds m_Delay{0};   ///< Before m_Bytes.
  bool m_Close = false;                   ///< Closes the connection at the end.
  std::chrono::milliseconds m_Silence{0}; ///< After m_Bytes.
  std::string m_Rest = {};                ///< Sent after m_Silence.
  std::string m_Repeated = {};            ///< Sent after m_Rest until the peer closes.
  bool m_Reset = false;                   ///< Resets the connection at the end.
};

/// @brief An upstream on the loopback interface that responds to each request with bytes chosen by the test.
class ScriptedUpstream {
public:
  /// Receives the complete request and its number on this upstream, from 1.
  using Script = std::function<ScriptedReply(const std::string &Request, int Number)>;

  ScriptedUpstream(boost::asio::io_context &Context, Script Replies)
      : m_Context(Context), m_State(std::make_shared<State>(std::move(Replies))),
        m_Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    spawn(Context, accept(m_Context, m_Acceptor, m_State));
  }

  Endpoint address() const { return {"127.0.0.1", m_Acceptor.local_endpoint().port()}; }
  const std::vector<std::string> &requests() const { return m_State->m_Requests; }
  /// @return number of connections closed by the peer
  int closedByPeer() const { return m_State->m_ClosedByPeer; }
  /// @return number of connections accepted
  int connections() const { return m_State->m_Connections; }

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct State {
    explicit State(Script Replies) : m_Script(std::move(Replies)) {}
    Script m_Script;
    std::vector<std::string> m_Requests;
    int m_ClosedByPeer = 0;
    int m_Connections = 0;
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
      ++Shared->m_Connections;
      spawn(Context, serve(Context, std::move(Accepted), Shared));
    }
  }

  static boost::asio::awaitable<void> serve(boost::asio::io_context &Context, Socket Connection,
                                            std::shared_ptr<State> Shared) {
    std::string Buffer;
    boost::system::error_code Code;
    while (true) {
      const std::size_t HeadSize = co_await boost::asio::async_read_until(
          Connection, boost::asio::dynamic_buffer(Buffer), "\r\n\r\n",
          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        break;
      const std::size_t RequestSize = HeadSize + contentLengthOf(Buffer);
      while (!Code && Buffer.size() < RequestSize) {
        std::array<char, 4096> Part;
        const std::size_t Size = co_await Connection.async_read_some(
            boost::asio::buffer(Part), boost::asio::redirect_error(boost::asio::use_awaitable, Code));
        Buffer.append(Part.data(), Size);
      }
      Shared->m_Requests.push_back(Buffer.substr(0, RequestSize));
      Buffer.erase(0, RequestSize);
      const ScriptedReply Reply =
          Shared->m_Script(Shared->m_Requests.back(), static_cast<int>(Shared->m_Requests.size()));
      co_await sleepFor(Context, Reply.m_Delay);
      co_await boost::asio::async_write(Connection, boost::asio::buffer(Reply.m_Bytes),
                                        boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      co_await sleepFor(Context, Reply.m_Silence);
      if (!Reply.m_Rest.empty())
        co_await boost::asio::async_write(Connection, boost::asio::buffer(Reply.m_Rest),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      while (!Code && !Reply.m_Repeated.empty())
        co_await boost::asio::async_write(Connection, boost::asio::buffer(Reply.m_Repeated),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        break;
      if (Reply.m_Reset) {
        Connection.set_option(boost::asio::socket_base::linger(true, 0), Code);
        Connection.close(Code);
      }
      if (Reply.m_Close || Reply.m_Reset)
        co_return;
    }
    ++Shared->m_ClosedByPeer;
  }

  static std::size_t contentLengthOf(const std::string &Head) {
    const std::size_t Position = Head.find("Content-Length: ");
    return Position == std::string::npos ? 0
                                         : static_cast<std::size_t>(std::atoi(Head.c_str() + Position + 16));
  }

  boost::asio::io_context &m_Context;
  std::shared_ptr<State> m_State;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_GATEWAY_TESTS_SCRIPTED_UPSTREAM_H
