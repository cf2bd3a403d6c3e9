#ifndef BULRUSHPITCH_NET_SRC_DETAIL_CONNECTION_WRITER_H
#define BULRUSHPITCH_NET_SRC_DETAIL_CONNECTION_WRITER_H

#include "detail/server_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushpitch::detail {

/// @brief Writes the response to one request of a connection.
class ConnectionWriter : public ResponseWriter {
public:
  /// @param KeepAlive whether the request permits another one on its connection
  ConnectionWriter(Watched &Connection, bool KeepAlive, const ServerState &Server, std::string Peer);

  boost::asio::awaitable<Expected<Done>> send(HttpResponse Response) override;
  boost::asio::awaitable<Expected<Done>> begin(unsigned Status, HttpHeaders Headers) override;
  boost::asio::awaitable<Expected<Done>> write(std::string_view Chunk) override;
  boost::asio::awaitable<Expected<Done>> finish() override;
  bool begun() const override { return m_Begun; }
  void onClientGone(std::function<void()> Hook) override;

  /// @brief Writes a whole response without waiting. The handler's own response is refused from then on.
  void sendNow(const HttpResponse &Response);
  /// @brief Ends the watch for the client's leaving.
  void endWatch();

  /// @return whether the connection can carry another request
  bool reusable() const { return m_KeepAlive && m_Finished && !m_Superseded && !m_Failure; }
  /// @return whether the response has begun and was not ended by the handler
  bool incomplete() const { return m_Begun && !m_Finished; }
  const std::string &peer() const { return m_Peer; }
  /// @return whether the client has closed its connection, or its sending side
  bool clientLeft() const;
  /// @return why the response could not be written; nothing if it could
  const std::optional<Error> &failure() const { return m_Failure; }

private:
  bool keepsAlive();
  const Error &secondResponse();
  Expected<Done> outcome(boost::system::error_code Code);

  Watched &m_Connection;
  std::chrono::milliseconds m_Timeout;
  bool m_KeepAlive;
  const ServerState &m_Server;
  std::string m_Peer;
  std::shared_ptr<std::function<void()>> m_Gone;
  bool m_Begun = false;
  bool m_Finished = false;
  bool m_Superseded = false; ///< By sendNow().
  std::optional<Error> m_Failure;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_CONNECTION_WRITER_H
