#ifndef BULRUSHPITCH_NET_HTTP_SERVER_H
#define BULRUSHPITCH_NET_HTTP_SERVER_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief Writes the response to one request, whole or in chunks.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;

  /// @brief Sends a whole response. Error 901 if one has begun; the connection is closed then.
  virtual boost::asio::awaitable<Expected<Done>> send(HttpResponse Response) = 0;
  /// @brief Sends the status and headers of a chunked response. Error 901 if one has begun.
  virtual boost::asio::awaitable<Expected<Done>> begin(unsigned Status, HttpHeaders Headers) = 0;
  /// @brief Sends one chunk. Error 107 if the client does not read within the write timeout.
  virtual boost::asio::awaitable<Expected<Done>> write(std::string_view Chunk) = 0;
  /// @brief Ends a chunked response.
  virtual boost::asio::awaitable<Expected<Done>> finish() = 0;
  /// @return whether the status line has left
  virtual bool begun() const = 0;
  /// @brief Calls a hook once when the client closes its connection while the request is being answered.
  /// @param Hook runs on the loop, never inside this call; it is dropped when the handler ends
  virtual void onClientGone(std::function<void()> Hook) = 0;
};

/// @brief Limits of a listener. Each has its own error.
struct ServerLimits {
  std::size_t m_MaxHeaderBytes = 16 * 1024;     ///< Error 103 above.
  std::size_t m_MaxBodyBytes = 8 * 1024 * 1024; ///< Error 104 above.
  /// Memory that the bodies of all requests hold together, the copies that are sent on included. Error 404
  /// above, for the largest body that is still being read.
  std::size_t m_MaxBodyMemory = 64 * 1024 * 1024;
  std::chrono::milliseconds m_IdleTimeout{60'000};  ///< A connection without a request is closed.
  std::chrono::milliseconds m_ReadTimeout{10'000};  ///< From the first byte of a request to its last.
  std::chrono::milliseconds m_WriteTimeout{10'000}; ///< For each write to the client.
  std::size_t m_MaxConnections = 20'000;            ///< Further connections are closed at once.
  bool m_AnswerIdle = true; ///< Whether an idle connection gets error 108 before it is closed.
};

/// Answers one request. The request and the writer live until the returned coroutine ends.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest &, ResponseWriter &)>;
/// Turns an error that the listener finds by itself (101, 103, 104, 108, 404) into a response.
using ErrorRenderer = std::function<HttpResponse(const Error &)>;

/// @brief Why a connection ended, or a request could not be answered as intended.
enum class ConnectionFault : std::uint8_t {
  ConnectionLimit,   ///< Closed at once: too many connections are open.
  NotAccepted,       ///< The system accepts no connection, for example for lack of file descriptors.
  RequestIncomplete, ///< The client closed, or the connection broke, within a request.
  RequestRefused,    ///< The request was not read to its end and was answered with an error.
  HandlerFailed, ///< The handler threw, or did not end before answerUnanswered(); the response is an error.
  ResponseIncomplete, ///< The handler ended, or was ended, within a response that had begun.
  ResponseNotWritten  ///< The client closed or did not read the response, or a second one was refused.
};

/// @return a name for logs and metrics, for example "connection limit"
std::string_view nameOf(ConnectionFault Value);

/// Called on the loop. The error names the client as its peer.
using ConnectionFaultHook = std::function<void(ConnectionFault, const Error &)>;

/// @brief An HTTP/1.1 listener.
///
/// @code
/// HttpServer Server(Context, {"127.0.0.1", 8080}, ServerLimits{}, Handler, Renderer);
/// Server.start();
/// @endcode
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, Endpoint Address, ServerLimits Limits, HttpHandler Handler,
             ErrorRenderer Renderer);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// @brief Listens and accepts.
  /// @return error 901 with the address as peer if the address cannot be bound
  Result<void> start();
  /// @brief Reports connections and requests that end without a whole response of the handler.
  void onFault(ConnectionFaultHook Hook);
  /// @brief Changes the limits for requests that are read from now on.
  void setLimits(ServerLimits Limits);
  /// @brief Goes on accepting, but ends each connection after its next response, with "Connection: close".
  void closeAfterResponse();
  /// @brief Accepts no more and closes idle connections. Requests under way go on, and those that have
  /// reached this machine are read and answered.
  void stopAccepting();
  /// @brief Answers every request whose handler runs and has not begun a response, and reports these and
  /// those whose response has begun as faults. Does not wait for clients that do not read; for use before
  /// closeAll().
  /// @param Failure rendered as the response
  /// @return number of requests that were answered so
  std::size_t answerUnanswered(const Error &Failure);
  /// @brief Closes every connection.
  void closeAll();
  /// @return the bound address; the port is the real one if 0 was asked for
  Endpoint address() const;
  /// @return connections now open
  std::size_t openConnections() const;
  /// @return requests being read or answered now
  std::size_t activeRequests() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_NET_HTTP_SERVER_H
