#ifndef BULRUSHPITCH_NET_HTTP_CLIENT_H
#define BULRUSHPITCH_NET_HTTP_CLIENT_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrushpitch {

/// @brief A response whose body is read as it arrives.
class HttpStream {
public:
  virtual ~HttpStream() = default;
  /// @return the status code
  virtual unsigned status() const = 0;
  /// @return the header fields
  virtual const HttpHeaders &headers() const = 0;
  /// @return whether the body has neither a length nor chunks: its end is that of the connection, as after a
  /// server that broke off
  virtual bool endsWithConnection() const = 0;
  /// @return whether the connection had served other requests before, whose responses may come again
  virtual bool onReusedConnection() const = 0;
  /// @brief Waits for more of the body.
  /// @param Timeout how long to wait at most; error 502 after that
  /// @return some bytes, or nothing at the body's end; error 506 if the connection breaks before the end. A
  /// body that ends with the connection is whole only once the request has been written whole
  virtual boost::asio::awaitable<Expected<std::optional<std::string>>> read(Duration Timeout) = 0;
  /// @brief Closes the connection. A pending read fails with 506.
  virtual void cancel() = 0;
};

/// @brief Ends a call from outside, for example when its caller has left.
class CallHandle {
public:
  /// @brief Closes the call's connection; the pending operation fails with 505 or 506. A call that has not
  /// begun fails with 501.
  void cancel();
  /// @return whether cancel() was called
  bool cancelled() const { return m_Cancelled; }

  /// @brief Sets what cancel() does to the call's connection; for the client.
  void onCancel(std::function<void()> Close) { m_Close = std::move(Close); }

private:
  bool m_Cancelled = false;
  std::function<void()> m_Close;
};

/// @brief How one request is sent.
struct CallOptions {
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  Duration m_HeadTimeout = std::chrono::seconds(10); ///< From the connection to the end of the headers.
  /// Says whether a response belongs to this request. One that does not is read to its end and dropped:
  /// a server may send a second response, which arrives where the next one is due. Empty: all belong.
  std::function<bool(const HttpHeaders &)> m_Belongs;
  /// Asked when the headers have not come in time: how much longer to wait; zero gives up. Empty: gives up.
  std::function<Duration()> m_OnHeadTimeout;
  std::shared_ptr<CallHandle> m_Handle; ///< May be empty.
};

/// Limit of a body that is read whole, unless the caller gives its own.
constexpr std::uint64_t DefaultMaxWholeBodyBytes = 64ULL * 1024 * 1024;

/// @brief An HTTP/1.1 client that keeps idle connections for reuse.
///
/// Errors say what is known: a failed connect (501) is `Ran::No`; once a byte of the request may have left, a
/// failure is `Ran::Unknown`. A request on a reused connection that closes before a byte of the response is
/// not repeated by the client.
class HttpClient {
public:
  /// @param Context the loop on which all connections run
  /// @param Step the step that errors carry, for example "call engine"
  HttpClient(boost::asio::io_context &Context, std::string Step);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// @brief Sends a request and reads the whole response. Any status is a success.
  /// @param Timeout for connecting, sending and reading together
  /// @param MaxBodyBytes error 503 above
  boost::asio::awaitable<Expected<HttpResponse>>
  exchange(Endpoint Peer, HttpRequest Request, Duration Timeout,
           std::uint64_t MaxBodyBytes = DefaultMaxWholeBodyBytes);
  /// @brief Sends a request and reads the response's headers.
  /// @param Timeout for connecting, sending and the headers together
  boost::asio::awaitable<Expected<std::unique_ptr<HttpStream>>> open(Endpoint Peer, HttpRequest Request,
                                                                     Duration Timeout);

  /// @brief Sends a request and reads the response's headers. The response may begin before the request has
  /// been sent whole; the connection is then closed after it.
  boost::asio::awaitable<Expected<std::unique_ptr<HttpStream>>> open(Endpoint Peer, HttpRequest Request,
                                                                     CallOptions Options);

  /// @return bytes sent and received so far, over all peers
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_NET_HTTP_CLIENT_H
