#include "bulrushpitch/net/http_server.h"

#include "detail/connection.h"
#include "detail/connection_writer.h"
#include "detail/server_state.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using boost::system::error_code;

std::string_view nameOf(ConnectionFault Value) {
  switch (Value) {
  case ConnectionFault::ConnectionLimit:
    return "connection limit";
  case ConnectionFault::NotAccepted:
    return "not accepted";
  case ConnectionFault::RequestIncomplete:
    return "request incomplete";
  case ConnectionFault::RequestRefused:
    return "request refused";
  case ConnectionFault::HandlerFailed:
    return "handler failed";
  case ConnectionFault::ResponseIncomplete:
    return "response incomplete";
  case ConnectionFault::ResponseNotWritten:
    return "response not written";
  }
  return "unknown";
}

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
  Impl(asio::io_context &Context, Endpoint Address, ServerLimits Limits, HttpHandler Handler,
       ErrorRenderer Renderer)
      : m_Context(Context), m_Acceptor(Context), m_Address(std::move(Address)),
        m_State(std::make_shared<detail::ServerState>(Context, Limits, std::move(Handler),
                                                      std::move(Renderer))) {}

  Result<void> start() {
    const error_code Code = listen();
    if (Code)
      return fail(Error{ErrorCode::Internal, "listen", m_Address.toString(), Ran::No, Code.message()});
    m_Address.m_Port = m_Acceptor.local_endpoint().port();
    asio::co_spawn(m_Context, acceptLoop(shared_from_this()), asio::detached);
    return {};
  }

  void onFault(ConnectionFaultHook Hook) { m_State->m_OnFault = std::move(Hook); }
  void setLimits(ServerLimits Limits) { m_State->m_Limits = Limits; }
  void closeAfterResponse() { m_State->m_CloseAfterResponse = true; }

  void stopAccepting() {
    if (m_State->m_Stopping)
      return;
    acceptBacklog();
    endAccepting();
  }

  void closeAll() {
    endAccepting();
    m_State->m_Sweeper->closeAll();
  }

  std::size_t answerUnanswered(const Error &Failure) {
    std::size_t Answered = 0;
    for (detail::ConnectionWriter *Writer : m_State->m_Writers) {
      Error Cause = Failure;
      Cause.m_Peer = Writer->peer();
      if (Writer->begun()) {
        m_State->report(ConnectionFault::ResponseIncomplete, Cause);
        continue;
      }
      m_State->report(ConnectionFault::HandlerFailed, Cause);
      Writer->sendNow(m_State->m_Renderer(Failure));
      ++Answered;
    }
    return Answered;
  }

  const Endpoint &address() const { return m_Address; }
  std::size_t openConnections() const { return m_State->m_Sweeper->size(); }
  std::size_t activeRequests() const { return m_State->m_Active; }

private:
  error_code listen() {
    error_code Code;
    const asio::ip::address Address = asio::ip::make_address(m_Address.m_Address, Code);
    const asio::ip::tcp::endpoint Bound(Address, m_Address.m_Port);
    if (!Code)
      m_Acceptor.open(Bound.protocol(), Code);
    if (!Code)
      m_Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
    if (!Code)
      m_Acceptor.bind(Bound, Code);
    if (!Code)
      m_Acceptor.listen(asio::socket_base::max_listen_connections, Code);
    return Code;
  }

  /// Connections that the kernel has accepted are reset when the acceptor closes.
  void acceptBacklog() {
    error_code Code;
    m_Acceptor.non_blocking(true, Code);
    while (!Code) {
      asio::ip::tcp::socket Socket(m_Context);
      m_Acceptor.accept(Socket, Code);
      if (!Code)
        admit(std::move(Socket));
    }
  }

  /// An idle connection is not closed here: its request may have arrived and not be read yet.
  void endAccepting() {
    error_code Ignored;
    m_Acceptor.close(Ignored);
    m_State->m_Stopping = true;
    for (detail::Watched *Idle : m_State->m_Idle)
      Idle->m_Socket.cancel(Ignored);
  }

  void admit(asio::ip::tcp::socket Socket) {
    error_code Ignored;
    if (openConnections() >= m_State->m_Limits.m_MaxConnections) {
      m_State->report(ConnectionFault::ConnectionLimit,
                      Error{ErrorCode::Internal, "accept", detail::peerOf(Socket), Ran::No,
                            std::to_string(openConnections()) + " connections are open"});
      return;
    }
    Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    asio::co_spawn(m_Context, detail::Connection::serve(m_State, std::move(Socket)), asio::detached);
  }

  static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> Self) {
    while (Self->m_Acceptor.is_open()) {
      error_code Code;
      asio::ip::tcp::socket Socket =
          co_await Self->m_Acceptor.async_accept(asio::redirect_error(asio::use_awaitable, Code));
      if (Code == asio::error::operation_aborted)
        co_return;
      if (Code)
        co_await Self->pauseAccepting(Code);
      else
        Self->admit(std::move(Socket));
    }
  }

  /// Out of file descriptors: waiting lets open connections end; a tight loop would starve them.
  asio::awaitable<void> pauseAccepting(error_code Code) {
    m_State->report(ConnectionFault::NotAccepted,
                    Error{ErrorCode::Internal, "accept", "", Ran::No, Code.message()});
    asio::steady_timer Pause(m_Context, detail::SweepInterval);
    co_await Pause.async_wait(asio::redirect_error(asio::use_awaitable, Code));
  }

  asio::io_context &m_Context;
  asio::ip::tcp::acceptor m_Acceptor;
  Endpoint m_Address;
  std::shared_ptr<detail::ServerState> m_State;
};

HttpServer::HttpServer(asio::io_context &Context, Endpoint Address, ServerLimits Limits, HttpHandler Handler,
                       ErrorRenderer Renderer)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Address), Limits, std::move(Handler),
                                    std::move(Renderer))) {}
void HttpServer::onFault(ConnectionFaultHook Hook) { m_Impl->onFault(std::move(Hook)); }
void HttpServer::setLimits(ServerLimits Limits) { m_Impl->setLimits(Limits); }
void HttpServer::closeAfterResponse() { m_Impl->closeAfterResponse(); }
HttpServer::~HttpServer() { m_Impl->closeAll(); }
Result<void> HttpServer::start() { return m_Impl->start(); }
void HttpServer::stopAccepting() { m_Impl->stopAccepting(); }
void HttpServer::closeAll() { m_Impl->closeAll(); }
Endpoint HttpServer::address() const { return m_Impl->address(); }
std::size_t HttpServer::answerUnanswered(const Error &Failure) { return m_Impl->answerUnanswered(Failure); }
std::size_t HttpServer::openConnections() const { return m_Impl->openConnections(); }
std::size_t HttpServer::activeRequests() const { return m_Impl->activeRequests(); }

} // namespace bulrushpitch
