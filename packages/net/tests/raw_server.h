#ifndef BULRUSHPITCH_NET_TESTS_RAW_SERVER_H
#define BULRUSHPITCH_NET_TESTS_RAW_SERVER_H

#include "bulrushpitch/net/async.h"
#include "bulrushpitch/net/http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch::testing {

/// @brief What a raw server does with a connection after a reply.
enum class RawEnd : std::uint8_t {
  NextRequest,         ///< Reads the next request.
  Close,               ///< Sends FIN, or RST if input was not read.
  Reset,               ///< Sends RST.
  EndSendingThenReset, ///< Sends FIN and reads nothing; sends RST after the reply's pause.
  EndSending           ///< Sends FIN, and reads what comes until the peer closes.
};

/// @brief The bytes that a raw server sends for one request.
struct RawReply {
  std::vector<std::string> m_Pieces = {}; ///< Each sent by its own write.
  std::chrono::milliseconds m_Pause{0};   ///< Between pieces, and between repetitions of m_Repeated.
  std::string m_Repeated = {};            ///< Sent after the pieces until the peer closes.
  std::size_t m_MaxRepeatedBytes = SIZE_MAX;
  RawEnd m_End = RawEnd::NextRequest;
};

/// @brief A server on the loopback interface that sends any bytes, also without end.
class RawServer {
public:
  /// Receives the head of a request and its number on this server, from 1.
  using Script = std::function<RawReply(const std::string &Head, int Number)>;

  RawServer(boost::asio::io_context &Context, Script Replies)
      : m_State(std::make_shared<State>(Context, std::move(Replies))),
        m_Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    spawn(Context, accept(m_Acceptor, m_State));
  }

  Endpoint address() const { return {"127.0.0.1", m_Acceptor.local_endpoint().port()}; }
  std::size_t bytesSent() const { return m_State->m_BytesSent; }
  /// @return number of connections whose end by the peer has been seen
  int closedByPeer() const { return m_State->m_ClosedByPeer; }
  /// @return number of bytes read after RawEnd::EndSending, over all connections
  std::size_t bytesReadToEnd() const { return m_State->m_BytesReadToEnd; }
  int connections() const { return m_State->m_Connections; }

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct State {
    State(boost::asio::io_context &Context, Script Replies)
        : m_Context(Context), m_Script(std::move(Replies)) {}
    boost::asio::io_context &m_Context;
    Script m_Script;
    std::size_t m_BytesSent = 0;
    std::size_t m_BytesReadToEnd = 0;
    int m_Requests = 0;
    int m_Connections = 0;
    int m_ClosedByPeer = 0;
  };

  static boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor &Acceptor,
                                             std::shared_ptr<State> Shared) {
    while (true) {
      boost::system::error_code Code;
      Socket Accepted =
          co_await Acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        co_return;
      ++Shared->m_Connections;
      Accepted.set_option(boost::asio::ip::tcp::no_delay(true), Code);
      spawn(Shared->m_Context, serve(std::move(Accepted), Shared));
    }
  }

  static boost::asio::awaitable<void> serve(Socket Connection, std::shared_ptr<State> Shared) {
    std::string Buffer;
    boost::system::error_code Code;
    while (true) {
      const std::size_t HeadSize = co_await boost::asio::async_read_until(
          Connection, boost::asio::dynamic_buffer(Buffer), "\r\n\r\n",
          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        break;
      const std::string Head = Buffer.substr(0, HeadSize);
      Buffer.erase(0, HeadSize);
      const RawReply Reply = Shared->m_Script(Head, ++Shared->m_Requests);
      for (const std::string &Piece : Reply.m_Pieces)
        if (!co_await send(Connection, *Shared, Piece, Reply.m_Pause))
          break;
      for (std::size_t Sent = 0; !Reply.m_Repeated.empty() && Sent < Reply.m_MaxRepeatedBytes;
           Sent += Reply.m_Repeated.size())
        if (!co_await send(Connection, *Shared, Reply.m_Repeated, Reply.m_Pause))
          break;
      if (Reply.m_End == RawEnd::EndSending || Reply.m_End == RawEnd::EndSendingThenReset)
        Connection.shutdown(Socket::shutdown_send, Code);
      if (Reply.m_End == RawEnd::EndSending) {
        Shared->m_BytesReadToEnd += Buffer.size() + co_await readToEnd(Connection);
        break;
      }
      if (Reply.m_End == RawEnd::EndSendingThenReset)
        co_await sleepFor(Shared->m_Context, Reply.m_Pause);
      if (Reply.m_End == RawEnd::Reset || Reply.m_End == RawEnd::EndSendingThenReset)
        Connection.set_option(boost::asio::socket_base::linger(true, 0), Code);
      if (Reply.m_End != RawEnd::NextRequest) {
        // The destructor would take the linger option back.
        Connection.close(Code);
        co_return;
      }
    }
    ++Shared->m_ClosedByPeer;
  }

  /// @return the number of bytes until the peer closes
  static boost::asio::awaitable<std::size_t> readToEnd(Socket &Connection) {
    std::vector<char> Part(64UL * 1024);
    std::size_t Size = 0;
    boost::system::error_code Code;
    while (!Code)
      Size += co_await Connection.async_read_some(
          boost::asio::buffer(Part), boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    co_return Size;
  }

  static boost::asio::awaitable<bool> send(Socket &Connection, State &Shared, const std::string &Bytes,
                                           std::chrono::milliseconds Pause) {
    boost::system::error_code Code;
    Shared.m_BytesSent +=
        co_await boost::asio::async_write(Connection, boost::asio::buffer(Bytes),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    if (Pause > std::chrono::milliseconds(0))
      co_await sleepFor(Shared.m_Context, Pause);
    co_return !Code;
  }

  std::shared_ptr<State> m_State;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_NET_TESTS_RAW_SERVER_H
