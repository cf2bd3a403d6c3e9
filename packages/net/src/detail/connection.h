#ifndef BULRUSHPITCH_NET_SRC_DETAIL_CONNECTION_H
#define BULRUSHPITCH_NET_SRC_DETAIL_CONNECTION_H

#include "detail/connection_writer.h"
#include "detail/server_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <memory>
#include <optional>
#include <string>

namespace bulrushpitch::detail {

/// @return "address:port" of a socket's other end; empty if it is not connected
std::string peerOf(const boost::asio::ip::tcp::socket &Socket);

/// @brief One connection of a listener: reads its requests and has them answered one after another.
class Connection {
public:
  Connection(std::shared_ptr<ServerState> Server, boost::asio::ip::tcp::socket Socket);
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// @brief Serves a new connection until it ends.
  static boost::asio::awaitable<void> serve(std::shared_ptr<ServerState> Server,
                                            boost::asio::ip::tcp::socket Socket);

private:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<bool> serveOne();
  boost::asio::awaitable<bool> waitForRequest();
  boost::asio::awaitable<boost::system::error_code> bufferHead();
  boost::asio::awaitable<boost::system::error_code> readRequest(Parser &Reader, BodyReservation &Reservation);
  boost::asio::awaitable<boost::system::error_code> readBody(Parser &Reader, BodyReservation &Reservation);
  boost::asio::awaitable<void> endUnread(boost::system::error_code Code, bool Evicted);
  boost::asio::awaitable<bool> answer(Message Read);
  boost::asio::awaitable<std::optional<Error>> runHandler(Message Read, ConnectionWriter &Writer);
  boost::asio::awaitable<void> refuse(const Error &Failure);
  boost::asio::awaitable<void> closeAfterRest();
  void reportResponse(const ConnectionWriter &Writer, std::optional<Error> Failure) const;

  std::shared_ptr<ServerState> m_Server;
  std::string m_Peer;
  Watched m_Watched;
  WatchGuard m_Guard;
  boost::beast::flat_buffer m_Buffer;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_CONNECTION_H
