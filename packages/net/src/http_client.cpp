#include "bulrushpitch/net/http_client.h"

#include "bulrushpitch/net/async.h"
#include "detail/deadlines.h"
#include "detail/response_framing.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <string_view>
#include <vector>

namespace bulrushpitch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds SweepInterval{25};
/// Shorter than the idle timeout of common servers, so that a reused connection is rarely closing.
constexpr std::chrono::seconds MaxIdleTime{20};
constexpr std::size_t MaxIdlePerPeer = 64;
constexpr std::size_t ReadBytes = 8192;
/// Beast limits response bodies to 8 MiB unless told otherwise; long streams may exceed that.
constexpr std::uint64_t MaxStreamBodyBytes = 1ULL << 32U;
/// Bytes of the status line and the header fields of a response.
constexpr std::uint32_t MaxHeadBytes = 8 * 1024;
/// Bytes that are kept until they can be parsed: a head, a chunk's size with its extensions, or a trailer.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;
static_assert(MaxHeadBytes < MaxUnparsedBytes);
/// Bytes of interim responses and of responses to other requests that are read before the response.
constexpr std::uint64_t MaxBytesBeforeResponse = 8ULL * 1024 * 1024;
/// A server closes at the end of the idle time that it announces; a request must not cross that.
constexpr std::chrono::milliseconds IdleMargin{500};
/// A peer that acknowledges nothing for so long is taken as gone, while one that is only slow acknowledges.
/// Covers a few retransmissions on a lossy link.
constexpr unsigned UnacknowledgedMs = 1000;
constexpr int KeepAliveProbeSeconds = 1;
constexpr int KeepAliveProbes = 3;

struct Connection {
  explicit Connection(asio::io_context &Context) : m_Watched(asio::ip::tcp::socket(Context)) {}

  detail::Watched m_Watched;
  boost::beast::flat_buffer m_Buffer{MaxUnparsedBytes};
  std::optional<detail::WatchGuard> m_IdleGuard; ///< Set while the connection is idle.
  std::uint64_t m_Uses = 0;                      ///< How often it was taken from the idle ones.
  /// The result of writing the request, once it has left or can't.
  std::optional<OneShot<error_code>> m_RequestWrite;

  /// @return whether the whole request has left
  bool requestSent() const { return m_RequestWrite->value() && !*m_RequestWrite->value(); }

  /// @return whether the peer has neither closed the connection nor sent anything unasked
  bool quiet() {
    char Byte = 0;
    return ::recv(m_Watched.m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

/// Makes a connection that has gone silent fail: without this, only a reset ends it.
void detectSilence(asio::ip::tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  const int On = 1;
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveProbeSeconds, sizeof KeepAliveProbeSeconds);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveProbeSeconds, sizeof KeepAliveProbeSeconds);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof KeepAliveProbes);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs, sizeof UnacknowledgedMs);
}

/// @return how long a connection may stay idle, as its last response says
std::chrono::milliseconds idleTimeOf(const HttpHeaders &Headers) {
  constexpr std::string_view Name = "timeout=";
  const std::string_view Text = Headers.find("Keep-Alive").value_or("");
  const std::size_t At = Text.find(Name);
  unsigned Seconds = 0;
  if (At == std::string_view::npos)
    return MaxIdleTime;
  const std::string_view Number = Text.substr(At + Name.size());
  if (std::from_chars(Number.data(), Number.data() + Number.size(), Seconds).ec != std::errc())
    return MaxIdleTime;
  return std::min<std::chrono::milliseconds>(MaxIdleTime, std::chrono::seconds(Seconds)) - IdleMargin;
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(asio::io_context &Context, std::string Step)
      : m_Context(Context), m_Step(std::move(Step)),
        m_Sweeper(std::make_shared<detail::DeadlineSweeper>(Context, SweepInterval)) {}

  asio::awaitable<Expected<std::unique_ptr<HttpStream>>> open(Endpoint Peer, HttpRequest Request,
                                                              CallOptions Options);

  Error error(ErrorCode Code, const Endpoint &Peer, Ran Known, std::string Detail) const {
    return Error{Code, m_Step, Peer.toString(), Known, std::move(Detail)};
  }

  std::shared_ptr<Connection> takeIdle(const Endpoint &Peer) {
    while (m_Idle.contains(Peer)) {
      const std::shared_ptr<Connection> Candidate = m_Idle[Peer].back();
      removeIdle(Peer, Candidate);
      if (!Candidate->m_Watched.m_Expired && Candidate->quiet())
        return Candidate;
      closeNow(*Candidate);
    }
    return nullptr;
  }

  void giveBack(const Endpoint &Peer, const std::shared_ptr<Connection> &Returned,
                std::chrono::milliseconds IdleTime) {
    const bool Reusable = Returned->m_Buffer.size() == 0 && IdleTime > IdleTime.zero();
    if (!Reusable || (m_Idle.contains(Peer) && m_Idle[Peer].size() >= MaxIdlePerPeer)) {
      closeNow(*Returned);
      return;
    }
    Returned->m_IdleGuard.emplace(m_Sweeper, Returned->m_Watched);
    Returned->m_Watched.arm(IdleTime);
    m_Idle[Peer].push_back(Returned);
    watchIdle(Peer, Returned);
  }

  /// Closes an idle connection when its server sends or closes, and at the end of its idle time.
  void watchIdle(const Endpoint &Peer, const std::shared_ptr<Connection> &Idle) {
    Idle->m_Watched.m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                                        [Weak = weak_from_this(), Peer,
                                         WeakIdle = std::weak_ptr<Connection>(Idle),
                                         Uses = Idle->m_Uses](error_code) {
                                          const std::shared_ptr<Impl> Self = Weak.lock();
                                          const std::shared_ptr<Connection> Ended = WeakIdle.lock();
                                          if (!Self || !Ended || Ended->m_Uses != Uses)
                                            return;
                                          Self->removeIdle(Peer, Ended);
                                          closeNow(*Ended);
                                        });
  }

  /// Takes a connection from the idle ones and ends its watch.
  void removeIdle(const Endpoint &Peer, const std::shared_ptr<Connection> &Removed) {
    const auto Found = m_Idle.find(Peer);
    std::erase(Found->second, Removed);
    if (Found->second.empty())
      m_Idle.erase(Found);
    ++Removed->m_Uses;
    Removed->m_IdleGuard.reset();
    Removed->m_Watched.disarm();
    error_code Ignored;
    Removed->m_Watched.m_Socket.cancel(Ignored);
  }

  asio::awaitable<Expected<std::shared_ptr<Connection>>> connect(const Endpoint &Peer,
                                                                 const CallOptions &Options) {
    if (std::shared_ptr<Connection> Idle = takeIdle(Peer))
      co_return Idle;
    std::shared_ptr<Connection> Fresh = std::make_shared<Connection>(m_Context);
    error_code Code;
    const asio::ip::address Address = asio::ip::make_address(Peer.m_Address, Code);
    if (Code)
      co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, "the address is not an IP number");
    const detail::WatchGuard Guard(m_Sweeper, Fresh->m_Watched);
    if (Options.m_Handle)
      Options.m_Handle->onCancel([Fresh] { closeNow(*Fresh); });
    Fresh->m_Watched.arm(Options.m_ConnectTimeout);
    const asio::ip::tcp::endpoint Target(Address, Peer.m_Port);
    co_await Fresh->m_Watched.m_Socket.async_connect(Target, asio::redirect_error(asio::use_awaitable, Code));
    Fresh->m_Watched.disarm();
    if (Fresh->m_Watched.m_Expired)
      co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, "no connection within the timeout");
    if (Code)
      co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, Code.message());
    Fresh->m_Watched.m_Socket.set_option(asio::ip::tcp::no_delay(true), Code);
    detectSilence(Fresh->m_Watched.m_Socket);
    co_return Fresh;
  }

  static void closeNow(Connection &Closed) {
    error_code Ignored;
    Closed.m_Watched.m_Socket.close(Ignored);
  }

  asio::io_context &m_Context;
  std::string m_Step;
  std::shared_ptr<detail::DeadlineSweeper> m_Sweeper;
  std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> m_Idle;

  std::uint64_t m_Sent = 0;
  std::uint64_t m_Received = 0;
};

/// The open response. Templated on the client's private implementation, which is named only there.
template <typename Client> class OpenStream : public HttpStream {
public:
  OpenStream(std::shared_ptr<Client> Owner, Endpoint Peer, std::shared_ptr<Connection> Used,
             std::shared_ptr<CallHandle> Handle)
      : m_Owner(std::move(Owner)), m_Peer(std::move(Peer)), m_Connection(std::move(Used)),
        m_Handle(std::move(Handle)), m_Guard(std::in_place, m_Owner->m_Sweeper, m_Connection->m_Watched) {
    if (m_Handle)
      m_Handle->onCancel([Open = m_Connection] { Client::closeNow(*Open); });
  }
  ~OpenStream() override {
    m_Guard.reset();
    if (m_Handle)
      m_Handle->onCancel({});
    if (m_Complete && m_Parser->keep_alive() && m_Connection->requestSent())
      m_Owner->giveBack(m_Peer, m_Connection, idleTimeOf(m_Headers));
    else
      Client::closeNow(*m_Connection);
  }

  /// Writes the request beside the reading of the response, as the response may come first.
  void startSending(http::request<http::string_body> Message) {
    m_Connection->m_RequestWrite.emplace(m_Owner->m_Context);
    asio::co_spawn(m_Owner->m_Context, sendAll(m_Owner, m_Connection, std::move(Message)), asio::detached);
  }

  asio::awaitable<Expected<Done>> readHead(CallOptions &Options) {
    m_Connection->m_Watched.arm(Options.m_HeadTimeout);
    while (true) {
      m_Parser.emplace();
      m_Parser->header_limit(MaxHeadBytes);
      m_Parser->body_limit(MaxStreamBodyBytes);
      error_code Code = co_await readFields();
      while (Code && m_Connection->m_Watched.m_Expired && Options.m_OnHeadTimeout) {
        const Duration More = Options.m_OnHeadTimeout();
        if (More <= Duration::zero())
          break;
        m_Connection->m_Watched.arm(More);
        Code = co_await readFields();
      }
      if (Code) {
        m_Connection->m_Watched.disarm();
        co_return headError(Code);
      }
      m_Headers = HttpHeaders();
      for (const http::fields::value_type &Field : m_Parser->get())
        m_Headers.add(std::string(Field.name_string()), std::string(Field.value()));
      if (const error_code Fault = headFault()) {
        m_Connection->m_Watched.disarm();
        co_return headError(Fault);
      }
      if (!detail::isInterim(status()) && (!Options.m_Belongs || Options.m_Belongs(m_Headers)))
        break;
      if (const error_code Dropped = co_await dropBody()) {
        m_Connection->m_Watched.disarm();
        co_return headError(Dropped);
      }
    }
    m_Connection->m_Watched.disarm();
    co_return Done{};
  }

  unsigned status() const override { return m_Parser->get().result_int(); }
  const HttpHeaders &headers() const override { return m_Headers; }
  bool endsWithConnection() const override { return m_Parser->need_eof(); }
  bool onReusedConnection() const override { return m_Connection->m_Uses > 0; }

  asio::awaitable<Expected<std::optional<std::string>>> read(Duration Timeout) override {
    m_Connection->m_Watched.arm(Timeout);
    m_Connection->m_Watched.m_Expired = Timeout <= Duration::zero();
    while (!m_Parser->is_done()) {
      std::string Part;
      const error_code Code = co_await readSome(Part);
      if (Code)
        co_return readError(Code);
      if (!Part.empty()) {
        m_Connection->m_Watched.disarm();
        co_return std::optional<std::string>(std::move(Part));
      }
    }
    if (endsWithConnection())
      if (const error_code Code = co_await requestWriteResult())
        co_return readError(Code);
    m_Connection->m_Watched.disarm();
    m_Complete = true;
    co_return std::optional<std::string>();
  }

  void cancel() override {
    error_code Ignored;
    socket().close(Ignored);
  }

private:
  asio::ip::tcp::socket &socket() { return m_Connection->m_Watched.m_Socket; }

  static asio::awaitable<void> sendAll(std::shared_ptr<Client> Owner, std::shared_ptr<Connection> Used,
                                       http::request<http::string_body> Message) {
    http::request_serializer<http::string_body> Serializer(Message);
    error_code Code;
    // A timeout of the response cancels the write too; the call may go on after it.
    do
      Owner->m_Sent += co_await http::async_write(Used->m_Watched.m_Socket, Serializer,
                                                  asio::redirect_error(asio::use_awaitable, Code));
    while (Code == asio::error::operation_aborted && Used->m_Watched.m_Socket.is_open());
    Used->m_RequestWrite->set(Code);
  }

  /// Waits until the request has left or can't.
  ///
  /// A connection that breaks reports it once, to the operation that meets it first. If that is the write of
  /// the request, the read of the response sees a plain end. So an end is the server's only if the whole
  /// request was written without an error.
  asio::awaitable<error_code> requestWriteResult() {
    detail::Watched &Watched = m_Connection->m_Watched;
    const Duration Left = *Watched.m_Deadline - std::chrono::steady_clock::now();
    const std::optional<error_code> Result = co_await m_Connection->m_RequestWrite->wait(Left);
    Watched.m_Expired = !Result;
    co_return Result.value_or(asio::error::operation_aborted);
  }

  /// Reads the rest of a head. After a timeout it may be called again.
  asio::awaitable<error_code> readFields() {
    boost::beast::flat_buffer &Buffer = m_Connection->m_Buffer;
    error_code Code = Buffer.size() > 0 ? parseFields() : http::error::need_more;
    while (Code == http::error::need_more) {
      if (m_Connection->m_Watched.m_Expired)
        co_return asio::error::operation_aborted;
      const std::size_t Size = boost::beast::read_size(Buffer, ReadBytes);
      if (Size == 0)
        co_return http::error::header_limit;
      Code.clear();
      Buffer.commit(co_await socket().async_read_some(Buffer.prepare(Size),
                                                      asio::redirect_error(asio::use_awaitable, Code)));
      if (!Code)
        Code = parseFields();
    }
    co_return Code;
  }

  /// Parses what has arrived of a head, and nothing of the body.
  error_code parseFields() {
    boost::beast::flat_buffer &Buffer = m_Connection->m_Buffer;
    const asio::const_buffer Arrived = Buffer.data();
    if (detail::hasFoldedLine({static_cast<const char *>(Arrived.data()), Arrived.size()}))
      return http::error::bad_field;
    error_code Code;
    const std::size_t Parsed = m_Parser->put(Arrived, Code);
    Buffer.consume(Parsed);
    countReceived(Parsed);
    return Code;
  }

  /// @return what is wrong with a head that the parser accepted
  error_code headFault() const {
    if (const error_code Fault = detail::statusFault(status()))
      return Fault;
    // The parser rejects only chunks beside a length; with any other coding the end is ambiguous as well. And
    // a body in another coding, for which no request asks, it would return as it is.
    const std::optional<std::string_view> Coding = m_Headers.find("Transfer-Encoding");
    if (Coding && (!boost::beast::iequals(*Coding, "chunked") || m_Headers.find("Content-Length")))
      return http::error::bad_transfer_encoding;
    return {};
  }

  void countReceived(std::size_t Bytes) {
    m_Received += Bytes;
    m_Owner->m_Received += Bytes;
  }

  /// Reads what has arrived of the body, which may be nothing of it.
  /// @return an error also after the deadline, which bytes that keep coming must not put off
  asio::awaitable<error_code> readSome(std::string &Part) {
    if (m_Connection->m_Watched.m_Expired)
      co_return asio::error::operation_aborted;
    std::array<char, ReadBytes> Bytes;
    m_Parser->get().body().data = Bytes.data();
    m_Parser->get().body().size = Bytes.size();
    m_Parser->get().body().more = true;
    error_code Code;
    countReceived(co_await http::async_read_some(socket(), m_Connection->m_Buffer, *m_Parser,
                                                 asio::redirect_error(asio::use_awaitable, Code)));
    Part.assign(Bytes.data(), Bytes.size() - m_Parser->get().body().size);
    co_return Code == http::error::need_buffer ? error_code() : Code;
  }

  /// Reads the rest of an interim response or of one that belongs to another request.
  asio::awaitable<error_code> dropBody() {
    std::string Dropped;
    error_code Code;
    while (!Code && !m_Parser->is_done() && m_Received <= MaxBytesBeforeResponse)
      Code = co_await readSome(Dropped);
    if (!Code && m_Received > MaxBytesBeforeResponse)
      Code = http::error::body_limit;
    if (!Code && m_Connection->m_Watched.m_Expired)
      Code = asio::error::operation_aborted;
    co_return Code;
  }

  Error headError(error_code Code) {
    if (m_Connection->m_Watched.m_Expired)
      return m_Owner->error(ErrorCode::UpstreamTimeout, m_Peer, Ran::Unknown,
                            "no response within the timeout");
    return m_Owner->error(isHttpError(Code) ? ErrorCode::UpstreamProtocol : ErrorCode::UpstreamBroken, m_Peer,
                          Ran::Unknown, Code.message());
  }

  static bool isHttpError(error_code Code) {
    return Code.category() == http::make_error_code(http::error::bad_method).category() &&
           Code != http::error::end_of_stream && Code != http::error::partial_message;
  }

  Error readError(error_code Code) {
    m_Connection->m_Watched.disarm();
    if (m_Connection->m_Watched.m_Expired)
      return m_Owner->error(ErrorCode::UpstreamTimeout, m_Peer, Ran::Unknown,
                            "the body stalled past the timeout");
    if (isHttpError(Code))
      return m_Owner->error(ErrorCode::UpstreamProtocol, m_Peer, Ran::Unknown, Code.message());
    return m_Owner->error(ErrorCode::StreamLost, m_Peer, Ran::Unknown, Code.message());
  }

  std::shared_ptr<Client> m_Owner;
  Endpoint m_Peer;
  std::shared_ptr<Connection> m_Connection;
  std::shared_ptr<CallHandle> m_Handle;
  std::optional<detail::WatchGuard> m_Guard;
  std::optional<http::response_parser<http::buffer_body>> m_Parser;
  HttpHeaders m_Headers;
  std::uint64_t m_Received = 0; ///< Bytes that have been parsed.
  bool m_Complete = false;
};

namespace {

http::request<http::string_body> toMessage(const Endpoint &Peer, HttpRequest &Request) {
  http::request<http::string_body> Message;
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  Message.version(11);
  if (!Request.m_Headers.find("Host"))
    Message.set(http::field::host, Peer.toString());
  for (const std::pair<std::string, std::string> &Field : Request.m_Headers.fields())
    Message.insert(Field.first, Field.second);
  Message.keep_alive(true);
  Message.body() = std::move(Request.m_Body);
  Message.prepare_payload();
  return Message;
}

} // namespace

void CallHandle::cancel() {
  m_Cancelled = true;
  if (m_Close)
    m_Close();
}

asio::awaitable<Expected<std::unique_ptr<HttpStream>>>
HttpClient::Impl::open(Endpoint Peer, HttpRequest Request, CallOptions Options) {
  const std::shared_ptr<CallHandle> Handle = Options.m_Handle;
  if (Handle && Handle->cancelled())
    co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, "the call was cancelled before it began");
  Expected<std::shared_ptr<Connection>> Used = co_await connect(Peer, Options);
  if (!Used)
    co_return Used.error();
  if (Handle && Handle->cancelled())
    co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, "the call was cancelled before it was sent");
  std::unique_ptr<OpenStream<Impl>> Stream =
      std::make_unique<OpenStream<Impl>>(shared_from_this(), Peer, std::move(*Used), Handle);
  Stream->startSending(toMessage(Peer, Request));
  Expected<Done> Head = co_await Stream->readHead(Options);
  if (!Head)
    co_return Head.error();
  co_return std::unique_ptr<HttpStream>(std::move(Stream));
}

HttpClient::HttpClient(asio::io_context &Context, std::string Step)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Step))) {}
HttpClient::~HttpClient() = default;

asio::awaitable<Expected<std::unique_ptr<HttpStream>>> HttpClient::open(Endpoint Peer, HttpRequest Request,
                                                                        Duration Timeout) {
  return m_Impl->open(std::move(Peer), std::move(Request), CallOptions{Timeout, Timeout, {}, {}, nullptr});
}

asio::awaitable<Expected<std::unique_ptr<HttpStream>>> HttpClient::open(Endpoint Peer, HttpRequest Request,
                                                                        CallOptions Options) {
  return m_Impl->open(std::move(Peer), std::move(Request), std::move(Options));
}

asio::awaitable<Expected<HttpResponse>> HttpClient::exchange(Endpoint Peer, HttpRequest Request,
                                                             Duration Timeout, std::uint64_t MaxBodyBytes) {
  const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
  Expected<std::unique_ptr<HttpStream>> Opened = co_await open(Peer, std::move(Request), Timeout);
  if (!Opened)
    co_return Opened.error();
  HttpStream &Stream = **Opened;
  HttpResponse Response;
  Response.m_Status = Stream.status();
  Response.m_Headers = Stream.headers();
  while (true) {
    const Duration Left = Timeout - (std::chrono::steady_clock::now() - Start);
    Expected<std::optional<std::string>> Part = co_await Stream.read(Left);
    if (!Part)
      co_return Part.error();
    if (!*Part)
      co_return Response;
    Response.m_Body += **Part;
    if (Response.m_Body.size() > MaxBodyBytes)
      co_return m_Impl->error(ErrorCode::UpstreamProtocol, Peer, Ran::Unknown,
                              "the body exceeds " + std::to_string(MaxBodyBytes) + " bytes");
  }
}

std::uint64_t HttpClient::bytesSent() const { return m_Impl->m_Sent; }
std::uint64_t HttpClient::bytesReceived() const { return m_Impl->m_Received; }

} // namespace bulrushpitch
