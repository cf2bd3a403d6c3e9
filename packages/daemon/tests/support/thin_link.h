#ifndef BULRUSHPITCH_DAEMON_TESTS_SUPPORT_THIN_LINK_H
#define BULRUSHPITCH_DAEMON_TESTS_SUPPORT_THIN_LINK_H

#include "bulrushpitch/net/async.h"
#include "bulrushpitch/net/http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace bulrushpitch::testing {

/// @brief A link that many clients of one server share: a proxy that passes bytes to clients with a delay and
/// at a limited rate, in the order in which they arrive. Bytes to the server are not limited.
class ThinLink {
public:
  ThinLink(boost::asio::io_context &Context, Endpoint Server, double BytesPerSecond)
      : m_State(std::make_shared<State>(State{Context, std::move(Server), BytesPerSecond, {}, 0})),
        m_Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    spawn(Context, accept(m_Acceptor, m_State));
  }

  Endpoint address() const { return {"127.0.0.1", m_Acceptor.local_endpoint().port()}; }
  /// @return bytes passed to clients so far
  std::uint64_t bytes() const { return m_State->m_Bytes; }

private:
  using Socket = boost::asio::ip::tcp::socket;
  /// One way.
  static constexpr Duration Delay = std::chrono::milliseconds(30);
  /// Bytes of one connection that are on the way at once.
  static constexpr std::size_t WindowBytes = 64UL * 1024;

  struct State {
    boost::asio::io_context &m_Context;
    Endpoint m_Server;
    double m_BytesPerSecond = 0.0;
    TimePoint m_FreeAt{}; ///< When everything accepted so far has passed.
    std::uint64_t m_Bytes = 0;

    /// @return how long the bytes take from now, behind those before them
    Duration reserve(std::size_t Size) {
      const TimePoint Now = systemClock()();
      m_FreeAt = std::max(m_FreeAt, Now) + durationOf(static_cast<double>(Size) / m_BytesPerSecond);
      m_Bytes += Size;
      return m_FreeAt - Now + Delay;
    }
  };
  struct Pair {
    explicit Pair(boost::asio::io_context &Context) : m_Client(Context), m_Server(Context) {}
    void close() {
      boost::system::error_code Ignored;
      m_Client.close(Ignored);
      m_Server.close(Ignored);
    }
    Socket m_Client;
    Socket m_Server;
  };

  static boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor &Acceptor,
                                             std::shared_ptr<State> Shared) {
    while (true) {
      boost::system::error_code Code;
      Socket Accepted =
          co_await Acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        co_return;
      std::shared_ptr<Pair> Joined = std::make_shared<Pair>(Shared->m_Context);
      Joined->m_Client = std::move(Accepted);
      Joined->m_Server.connect(
          {boost::asio::ip::make_address(Shared->m_Server.m_Address), Shared->m_Server.m_Port}, Code);
      if (Code)
        continue;
      spawn(Shared->m_Context, passOn(Joined, Joined->m_Client, Joined->m_Server, nullptr));
      spawn(Shared->m_Context, passOn(Joined, Joined->m_Server, Joined->m_Client, Shared));
    }
  }

  /// @param Limited the link that the bytes pass; null: no limit
  static boost::asio::awaitable<void> passOn(std::shared_ptr<Pair> Joined, Socket &From, Socket &To,
                                             std::shared_ptr<State> Limited) {
    std::vector<char> Bytes(WindowBytes);
    boost::system::error_code Code;
    while (!Code) {
      const std::size_t Size = co_await From.async_read_some(
          boost::asio::buffer(Bytes), boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (!Code && Limited)
        co_await sleepFor(Limited->m_Context, Limited->reserve(Size));
      if (!Code)
        co_await boost::asio::async_write(To, boost::asio::buffer(Bytes.data(), Size),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    }
    Joined->close();
  }

  std::shared_ptr<State> m_State;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_DAEMON_TESTS_SUPPORT_THIN_LINK_H
