#include "detail/connection_writer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bulrushpitch::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

http::fields toFields(const HttpHeaders &Headers) {
  http::fields Fields;
  for (const std::pair<std::string, std::string> &Field : Headers.fields())
    Fields.insert(Field.first, Field.second);
  return Fields;
}

http::response<http::string_body> toMessage(HttpResponse Response) {
  http::response<http::string_body> Message;
  static_cast<http::fields &>(Message) = toFields(Response.m_Headers);
  Message.result(Response.m_Status);
  Message.version(11);
  Message.body() = std::move(Response.m_Body);
  Message.prepare_payload();
  return Message;
}

/// @return the status and headers of a chunked response
http::response<http::empty_body> toChunkedMessage(unsigned Status, const HttpHeaders &Headers) {
  http::response<http::empty_body> Message;
  static_cast<http::fields &>(Message) = toFields(Headers);
  Message.result(Status);
  Message.version(11);
  return Message;
}

/// Bytes of a next request end the watch without a call: the client is still there.
bool hasLeft(asio::ip::tcp::socket &Socket) {
  if (!Socket.is_open())
    return true;
  char Byte = 0;
  const ssize_t Size = ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// The socket outlives the hook: endWatch() drops the hook before the connection ends.
void watch(asio::ip::tcp::socket &Socket, const std::shared_ptr<std::function<void()>> &Hook) {
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [&Socket, Weak = std::weak_ptr<std::function<void()>>(Hook)](error_code) {
                      const std::shared_ptr<std::function<void()>> Alive = Weak.lock();
                      if (Alive && hasLeft(Socket))
                        (*Alive)();
                    });
}

} // namespace

ConnectionWriter::ConnectionWriter(Watched &Connection, bool KeepAlive, const ServerState &Server,
                                   std::string Peer)
    : m_Connection(Connection), m_Timeout(Server.m_Limits.m_WriteTimeout), m_KeepAlive(KeepAlive),
      m_Server(Server), m_Peer(std::move(Peer)) {}

asio::awaitable<Expected<Done>> ConnectionWriter::send(HttpResponse Response) {
  if (m_Begun)
    co_return secondResponse();
  http::response<http::string_body> Message = toMessage(std::move(Response));
  Message.keep_alive(keepsAlive());
  m_Begun = true;
  m_Finished = true;
  m_Connection.arm(m_Timeout);
  error_code Code;
  co_await http::async_write(m_Connection.m_Socket, Message, asio::redirect_error(asio::use_awaitable, Code));
  co_return outcome(Code);
}

asio::awaitable<Expected<Done>> ConnectionWriter::begin(unsigned Status, HttpHeaders Headers) {
  if (m_Begun)
    co_return secondResponse();
  http::response<http::empty_body> Message = toChunkedMessage(Status, Headers);
  Message.keep_alive(keepsAlive());
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
  m_Begun = true;
  m_Connection.arm(m_Timeout);
  error_code Code;
  co_await http::async_write_header(m_Connection.m_Socket, Serializer,
                                    asio::redirect_error(asio::use_awaitable, Code));
  co_return outcome(Code);
}

asio::awaitable<Expected<Done>> ConnectionWriter::write(std::string_view Chunk) {
  if (Chunk.empty())
    co_return Done{};
  m_Connection.arm(m_Timeout);
  error_code Code;
  co_await asio::async_write(m_Connection.m_Socket, http::make_chunk(asio::buffer(Chunk)),
                             asio::redirect_error(asio::use_awaitable, Code));
  co_return outcome(Code);
}

asio::awaitable<Expected<Done>> ConnectionWriter::finish() {
  m_Finished = true;
  m_Connection.arm(m_Timeout);
  error_code Code;
  co_await asio::async_write(m_Connection.m_Socket, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, Code));
  co_return outcome(Code);
}

void ConnectionWriter::sendNow(const HttpResponse &Response) {
  http::response<http::string_body> Message = toMessage(Response);
  Message.keep_alive(false);
  m_Begun = true;
  m_Superseded = true;
  error_code Ignored;
  m_Connection.m_Socket.non_blocking(true, Ignored);
  http::write(m_Connection.m_Socket, Message, Ignored);
}

void ConnectionWriter::onClientGone(std::function<void()> Hook) {
  m_Gone = std::make_shared<std::function<void()>>(std::move(Hook));
  watch(m_Connection.m_Socket, m_Gone);
}

void ConnectionWriter::endWatch() {
  if (!m_Gone)
    return;
  m_Gone.reset();
  error_code Ignored;
  m_Connection.m_Socket.cancel(Ignored);
}

bool ConnectionWriter::clientLeft() const { return hasLeft(m_Connection.m_Socket); }

/// Decided when the response begins, as the listener may have begun to stop since the request.
bool ConnectionWriter::keepsAlive() {
  m_KeepAlive = m_KeepAlive && !m_Server.m_Stopping && !m_Server.m_CloseAfterResponse;
  return m_KeepAlive;
}

const Error &ConnectionWriter::secondResponse() {
  return m_Failure.emplace(Error{ErrorCode::Internal, "write response", m_Peer, Ran::Unknown,
                                 "a response to this request has begun already"});
}

Expected<Done> ConnectionWriter::outcome(error_code Code) {
  m_Connection.disarm();
  if (!Code)
    return Done{};
  if (m_Connection.m_Expired)
    m_Failure = Error{ErrorCode::ClientTooSlow, "write response", m_Peer, Ran::Unknown,
                      "the client did not read within the write timeout"};
  else
    m_Failure = Error{ErrorCode::ClientGone, "write response", m_Peer, Ran::Unknown, Code.message()};
  return *m_Failure;
}

} // namespace bulrushpitch::detail
