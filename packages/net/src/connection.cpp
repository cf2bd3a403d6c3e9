#include "detail/connection.h"

#include "detail/request_framing.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushpitch::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t FirstReadBytes = 4096;
/// Bytes that are kept until they can be parsed: a chunk's size with its extensions, or a trailer.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;
/// Time that a client has to read the last response after its connection was closed for sending.
constexpr std::chrono::milliseconds LingerTimeout{2'000};
/// Limit on the input that is read and dropped meanwhile.
constexpr std::size_t MaxDroppedBytes = 16UL * 1024UL * 1024UL;

/// The body as it was read, and the copy that is sent on.
constexpr std::size_t CopiesOfBody = 2;

/// Counts a request from its first byte to the end of its response.
class ActiveRequest {
public:
  explicit ActiveRequest(std::size_t &Count) : m_Count(Count) { ++m_Count; }
  ~ActiveRequest() { --m_Count; }
  ActiveRequest(const ActiveRequest &) = delete;
  ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
  std::size_t &m_Count;
};

/// @return whether a read returns bytes at once
bool hasInput(const asio::ip::tcp::socket &Socket) {
  error_code Code;
  return Socket.is_open() && Socket.available(Code) > 0 && !Code;
}

HttpRequest toRequest(http::request<http::string_body> Message) {
  HttpRequest Request;
  Request.m_Method = std::string(Message.method_string());
  Request.m_Target = std::string(Message.target());
  for (const http::fields::value_type &Field : Message)
    Request.m_Headers.add(std::string(Field.name_string()), std::string(Field.value()));
  Request.m_Body = std::move(Message.body());
  return Request;
}

Error handlerError(std::string Cause) {
  return Error{ErrorCode::Internal, "handle request", "", Ran::Unknown, std::move(Cause)};
}

bool isMalformed(error_code Code) {
  return Code.category() == http::make_error_code(http::error::bad_method).category() &&
         Code != http::error::end_of_stream && Code != http::error::partial_message;
}

/// @return the error to answer a request with that could not be read; nothing if the client left
std::optional<Error> readError(error_code Code, bool Expired, const std::string &Peer) {
  if (Expired)
    return Error{ErrorCode::ClientTooSlow, "read request", Peer, Ran::No,
                 "the request did not arrive within the read timeout"};
  if (Code == http::error::header_limit)
    return Error{ErrorCode::HeadersTooLarge, "read request", Peer, Ran::No, "the header exceeds the limit"};
  if (Code == http::error::body_limit)
    return Error{ErrorCode::BodyTooLarge, "read request", Peer, Ran::No, "the body exceeds the limit"};
  if (isMalformed(Code))
    return Error{ErrorCode::MalformedHttp, "read request", Peer, Ran::No, Code.message()};
  return std::nullopt;
}

} // namespace

std::string peerOf(const asio::ip::tcp::socket &Socket) {
  error_code Code;
  const asio::ip::tcp::endpoint Remote = Socket.remote_endpoint(Code);
  return Code ? std::string() : Endpoint{Remote.address().to_string(), Remote.port()}.toString();
}

Connection::Connection(std::shared_ptr<ServerState> Server, asio::ip::tcp::socket Socket)
    : m_Server(std::move(Server)), m_Peer(peerOf(Socket)), m_Watched(std::move(Socket)),
      m_Guard(m_Server->m_Sweeper, m_Watched) {}

asio::awaitable<void> Connection::serve(std::shared_ptr<ServerState> Server, asio::ip::tcp::socket Socket) {
  Connection Served(std::move(Server), std::move(Socket));
  bool Reusable = true;
  while (Reusable && Served.m_Watched.m_Socket.is_open())
    Reusable = co_await Served.serveOne();
  co_await Served.closeAfterRest();
}

/// Closing a socket with unread input makes the kernel discard the end of the last response. So input is
/// read until the client closes.
asio::awaitable<void> Connection::closeAfterRest() {
  error_code Code;
  m_Watched.m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Code);
  std::vector<char> Dropped(FirstReadBytes);
  std::size_t DroppedBytes = 0;
  m_Watched.arm(LingerTimeout);
  while (!Code && DroppedBytes < MaxDroppedBytes)
    DroppedBytes += co_await m_Watched.m_Socket.async_read_some(
        asio::buffer(Dropped), asio::redirect_error(asio::use_awaitable, Code));
}

/// @return whether the connection can carry another request
asio::awaitable<bool> Connection::serveOne() {
  if (m_Buffer.size() == 0 && !co_await waitForRequest())
    co_return false;
  const ActiveRequest Active(m_Server->m_Active);
  BodyReservation Reservation(m_Server->m_BodyMemory, m_Watched);
  std::optional<Parser> Reader(std::in_place);
  const error_code Code = co_await readRequest(*Reader, Reservation);
  if (Code) {
    Reader.reset(); // The refusal may wait for its client; the body isn't kept for that time.
    Reservation.resize(0, m_Server->m_Limits.m_MaxBodyMemory);
    co_await endUnread(Code, Reservation.evicted());
    co_return false;
  }
  Reservation.endReading();
  co_return co_await answer(Reader->release());
}

/// @return whether bytes of a request have arrived
asio::awaitable<bool> Connection::waitForRequest() {
  const asio::mutable_buffer Space = m_Buffer.prepare(FirstReadBytes);
  error_code Code = asio::error::operation_aborted;
  std::size_t Size = 0;
  if (!m_Server->m_Stopping) {
    m_Watched.arm(m_Server->m_Limits.m_IdleTimeout);
    m_Server->m_Idle.insert(&m_Watched);
    Size =
        co_await m_Watched.m_Socket.async_read_some(Space, asio::redirect_error(asio::use_awaitable, Code));
    m_Server->m_Idle.erase(&m_Watched);
    m_Watched.disarm();
  }
  if (Code == asio::error::operation_aborted && hasInput(m_Watched.m_Socket))
    Size = m_Watched.m_Socket.read_some(Space, Code);
  m_Buffer.commit(Size);
  if (Code && m_Watched.m_Expired && m_Server->m_Limits.m_AnswerIdle) {
    // A local, because g++ 12 destroys an Error{...} twice that is a temporary of the co_await expression.
    const Error Idle{ErrorCode::IdleTimeout, "read request", m_Peer, Ran::No,
                     "no request arrived within the idle timeout"};
    co_await refuse(Idle);
  }
  co_return !Code;
}

/// Reads a whole head and leaves it in the buffer.
/// @return an error also if the end of the request can't be told from the head
asio::awaitable<error_code> Connection::bufferHead() {
  error_code Code;
  while (!Code) {
    if (m_Watched.m_Expired)
      co_return asio::error::operation_aborted;
    const asio::const_buffer Arrived = m_Buffer.data();
    const std::string_view Bytes(static_cast<const char *>(Arrived.data()), Arrived.size());
    const HeadProgress Progress = findHeadEnd(Bytes);
    if (Progress.m_Fault)
      co_return Progress.m_Fault;
    if (Progress.m_Size)
      co_return framingFault(Bytes.substr(0, *Progress.m_Size));
    if (Bytes.size() > m_Server->m_Limits.m_MaxHeaderBytes)
      co_return http::error::header_limit;
    m_Buffer.commit(co_await m_Watched.m_Socket.async_read_some(
        m_Buffer.prepare(FirstReadBytes), asio::redirect_error(asio::use_awaitable, Code)));
  }
  co_return Code;
}

asio::awaitable<error_code> Connection::readRequest(Parser &Reader, BodyReservation &Reservation) {
  const std::size_t MaxHeaderBytes = m_Server->m_Limits.m_MaxHeaderBytes;
  Reader.header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
  Reader.body_limit(m_Server->m_Limits.m_MaxBodyBytes);
  m_Buffer.max_size(std::max(MaxHeaderBytes, MaxUnparsedBytes) + FirstReadBytes);
  m_Watched.arm(m_Server->m_Limits.m_ReadTimeout);
  error_code Code = co_await bufferHead();
  if (!Code)
    co_await http::async_read_header(m_Watched.m_Socket, m_Buffer, Reader,
                                     asio::redirect_error(asio::use_awaitable, Code));
  if (!Code && boost::beast::iequals(Reader.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(m_Watched.m_Socket, asio::buffer(Continue),
                               asio::redirect_error(asio::use_awaitable, Code));
  }
  if (!Code)
    Code = co_await readBody(Reader, Reservation);
  m_Watched.disarm();
  co_return Code;
}

/// Reads the rest of a request whose header has been read, and reserves the memory that its body allocates.
asio::awaitable<error_code> Connection::readBody(Parser &Reader, BodyReservation &Reservation) {
  error_code Code;
  while (!Code && !Reader.is_done()) {
    if (!Reservation.resize(CopiesOfBody * Reader.get().body().capacity(),
                            m_Server->m_Limits.m_MaxBodyMemory))
      co_return asio::error::operation_aborted;
    co_await http::async_read_some(m_Watched.m_Socket, m_Buffer, Reader,
                                   asio::redirect_error(asio::use_awaitable, Code));
  }
  if (Reservation.evicted())
    co_return asio::error::operation_aborted;
  co_return Code;
}

/// Reports a request that could not be read, and answers it unless its client left.
asio::awaitable<void> Connection::endUnread(error_code Code, bool Evicted) {
  std::optional<Error> Failure = readError(Code, m_Watched.m_Expired, m_Peer);
  if (Evicted)
    Failure = Error{ErrorCode::Overloaded, "read request", m_Peer, Ran::No,
                    "the bodies of all requests exceed the limit on their memory"};
  if (Failure) {
    m_Server->report(ConnectionFault::RequestRefused, *Failure);
    co_await refuse(*Failure);
  } else {
    m_Server->report(ConnectionFault::RequestIncomplete,
                     Error{ErrorCode::ClientGone, "read request", m_Peer, Ran::No, Code.message()});
  }
}

/// @return whether the connection can carry another request
asio::awaitable<bool> Connection::answer(Message Read) {
  ConnectionWriter Writer(m_Watched, Read.keep_alive(), *m_Server, m_Peer);
  std::optional<Error> Failure = co_await runHandler(std::move(Read), Writer);
  if (!Failure && !Writer.begun())
    Failure = handlerError("the handler sent no response");
  reportResponse(Writer, Failure);
  if (Failure && !Writer.begun())
    static_cast<void>(co_await Writer.send(m_Server->m_Renderer(*Failure)));
  co_return Writer.reusable() && !Failure;
}

/// @return why the handler failed; nothing if it ended by itself
asio::awaitable<std::optional<Error>> Connection::runHandler(Message Read, ConnectionWriter &Writer) {
  HttpRequest Request = toRequest(std::move(Read));
  std::optional<Error> Failure;
  m_Server->m_Writers.insert(&Writer);
  try {
    co_await m_Server->m_Handler(Request, Writer);
  } catch (const std::exception &Caught) {
    Failure = handlerError(Caught.what());
  } catch (...) {
    Failure = handlerError("an unknown exception");
  }
  Writer.endWatch();
  m_Server->m_Writers.erase(&Writer);
  co_return Failure;
}

void Connection::reportResponse(const ConnectionWriter &Writer, std::optional<Error> Failure) const {
  const bool Whole = !Failure && !Writer.failure() && !Writer.incomplete();
  if (Whole)
    return;
  if (Writer.clientLeft()) {
    m_Server->report(ConnectionFault::ResponseNotWritten,
                     Error{ErrorCode::ClientGone, "write response", m_Peer, Ran::Unknown,
                           "the client closed its connection before the response was complete"});
  } else if (Failure) {
    Failure->m_Peer = m_Peer;
    m_Server->report(ConnectionFault::HandlerFailed, *Failure);
  } else if (Writer.failure()) {
    m_Server->report(ConnectionFault::ResponseNotWritten, *Writer.failure());
  } else {
    m_Server->report(ConnectionFault::ResponseIncomplete, Error{ErrorCode::Internal, "handle request", m_Peer,
                                                                Ran::Unknown, "the response was cut"});
  }
}

asio::awaitable<void> Connection::refuse(const Error &Failure) {
  ConnectionWriter Writer(m_Watched, false, *m_Server, m_Peer);
  HttpResponse Response = m_Server->m_Renderer(Failure);
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

} // namespace bulrushpitch::detail
