#include "bulrushpitch/net/http_client.h"

#include "detail/deadlines.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>
#include <map>
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
constexpr std::uint64_t MaxBodyBytes = 1ULL << 32U;

struct Connection {
  explicit Connection(asio::io_context &Context) : m_Watched(asio::ip::tcp::socket(Context)) {}

  detail::Watched m_Watched;
  boost::beast::flat_buffer m_Buffer;
  std::chrono::steady_clock::time_point m_IdleSince;
  bool m_Reused = false;

  /// @return whether the peer has neither closed the connection nor sent anything unasked
  bool quiet() {
    char Byte = 0;
    return ::recv(m_Watched.m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(asio::io_context &Context, std::string Step)
      : m_Context(Context), m_Step(std::move(Step)),
        m_Sweeper(std::make_shared<detail::DeadlineSweeper>(Context, SweepInterval)) {}

  asio::awaitable<Expected<std::unique_ptr<HttpStream>>> open(Endpoint Peer, HttpRequest Request,
                                                              Duration Timeout);

  Error error(ErrorCode Code, const Endpoint &Peer, Ran Known, std::string Detail) const {
    return Error{Code, m_Step, Peer.toString(), Known, std::move(Detail)};
  }

  std::unique_ptr<Connection> takeIdle(const Endpoint &Peer) {
    std::vector<std::unique_ptr<Connection>> &Idle = m_Idle[Peer];
    const std::chrono::steady_clock::time_point Now = std::chrono::steady_clock::now();
    while (!Idle.empty()) {
      std::unique_ptr<Connection> Candidate = std::move(Idle.back());
      Idle.pop_back();
      if (Now - Candidate->m_IdleSince < MaxIdleTime && Candidate->quiet()) {
        Candidate->m_Reused = true;
        return Candidate;
      }
    }
    return nullptr;
  }

  void giveBack(const Endpoint &Peer, std::unique_ptr<Connection> Returned) {
    std::vector<std::unique_ptr<Connection>> &Idle = m_Idle[Peer];
    Returned->m_IdleSince = std::chrono::steady_clock::now();
    if (Idle.size() < MaxIdlePerPeer)
      Idle.push_back(std::move(Returned));
  }

  asio::awaitable<Expected<std::unique_ptr<Connection>>> connect(const Endpoint &Peer, Duration Timeout) {
    if (std::unique_ptr<Connection> Idle = takeIdle(Peer))
      co_return Idle;
    std::unique_ptr<Connection> Fresh = std::make_unique<Connection>(m_Context);
    error_code Code;
    const asio::ip::address Address = asio::ip::make_address(Peer.m_Address, Code);
    if (Code)
      co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, "the address is not an IP number");
    const detail::WatchGuard Guard(m_Sweeper, Fresh->m_Watched);
    Fresh->m_Watched.arm(Timeout);
    const asio::ip::tcp::endpoint Target(Address, Peer.m_Port);
    co_await Fresh->m_Watched.m_Socket.async_connect(Target, asio::redirect_error(asio::use_awaitable, Code));
    Fresh->m_Watched.disarm();
    if (Fresh->m_Watched.m_Expired)
      co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, "no connection within the timeout");
    if (Code)
      co_return error(ErrorCode::UpstreamConnect, Peer, Ran::No, Code.message());
    Fresh->m_Watched.m_Socket.set_option(asio::ip::tcp::no_delay(true), Code);
    co_return Fresh;
  }

  asio::io_context &m_Context;
  std::string m_Step;
  std::shared_ptr<detail::DeadlineSweeper> m_Sweeper;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> m_Idle;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Received = 0;
};

namespace {

/// The open response. Templated on the client's private implementation, which is named only there.
template <typename Client> class OpenStream : public HttpStream {
public:
  OpenStream(std::shared_ptr<Client> Owner, Endpoint Peer, std::unique_ptr<Connection> Used)
      : m_Owner(std::move(Owner)), m_Peer(std::move(Peer)), m_Connection(std::move(Used)),
        m_Guard(std::in_place, m_Owner->m_Sweeper, m_Connection->m_Watched) {
    m_Parser.body_limit(MaxBodyBytes);
    m_Parser.eager(true);
  }
  ~OpenStream() override {
    m_Guard.reset();
    if (m_Complete && m_Parser.keep_alive())
      m_Owner->giveBack(m_Peer, std::move(m_Connection));
  }

  asio::awaitable<Expected<Done>> sendRequest(http::request<http::string_body> &Message, Duration Timeout) {
    m_Connection->m_Watched.arm(Timeout);
    error_code Code;
    m_Owner->m_Sent +=
        co_await http::async_write(socket(), Message, asio::redirect_error(asio::use_awaitable, Code));
    if (!Code)
      m_Owner->m_Received += co_await http::async_read_header(
          socket(), m_Connection->m_Buffer, m_Parser, asio::redirect_error(asio::use_awaitable, Code));
    m_Connection->m_Watched.disarm();
    if (m_Connection->m_Watched.m_Expired)
      co_return m_Owner->error(ErrorCode::UpstreamTimeout, m_Peer, Ran::Unknown,
                               "no response within the timeout");
    if (Code)
      co_return m_Owner->error(isHttpError(Code) ? ErrorCode::UpstreamProtocol : ErrorCode::UpstreamBroken,
                               m_Peer, Ran::Unknown, Code.message());
    for (const http::fields::value_type &Field : m_Parser.get())
      m_Headers.add(std::string(Field.name_string()), std::string(Field.value()));
    co_return Done{};
  }

  unsigned status() const override { return m_Parser.get().result_int(); }
  const HttpHeaders &headers() const override { return m_Headers; }

  asio::awaitable<Expected<std::optional<std::string>>> read(Duration Timeout) override {
    m_Connection->m_Watched.arm(Timeout);
    while (!m_Parser.is_done()) {
      std::array<char, ReadBytes> Bytes;
      m_Parser.get().body().data = Bytes.data();
      m_Parser.get().body().size = Bytes.size();
      m_Parser.get().body().more = true;
      error_code Code;
      m_Owner->m_Received += co_await http::async_read_some(socket(), m_Connection->m_Buffer, m_Parser,
                                                            asio::redirect_error(asio::use_awaitable, Code));
      const std::size_t Filled = Bytes.size() - m_Parser.get().body().size;
      if (Code && Code != http::error::need_buffer)
        co_return readError(Code);
      if (Filled > 0) {
        m_Connection->m_Watched.disarm();
        co_return std::optional<std::string>(std::string(Bytes.data(), Filled));
      }
    }
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
  std::unique_ptr<Connection> m_Connection;
  std::optional<detail::WatchGuard> m_Guard;
  http::response_parser<http::buffer_body> m_Parser;
  HttpHeaders m_Headers;
  bool m_Complete = false;
};

http::request<http::string_body> toMessage(const Endpoint &Peer, HttpRequest &Request) {
  http::request<http::string_body> Message;
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  Message.version(11);
  Message.set(http::field::host, Peer.toString());
  for (const std::pair<std::string, std::string> &Field : Request.m_Headers.fields())
    Message.insert(Field.first, Field.second);
  Message.keep_alive(true);
  Message.body() = std::move(Request.m_Body);
  Message.prepare_payload();
  return Message;
}

} // namespace

asio::awaitable<Expected<std::unique_ptr<HttpStream>>>
HttpClient::Impl::open(Endpoint Peer, HttpRequest Request, Duration Timeout) {
  const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
  Expected<std::unique_ptr<Connection>> Used = co_await connect(Peer, Timeout);
  if (!Used)
    co_return Used.error();
  const Duration Left = Timeout - (std::chrono::steady_clock::now() - Start);
  http::request<http::string_body> Message = toMessage(Peer, Request);
  std::unique_ptr<OpenStream<Impl>> Stream =
      std::make_unique<OpenStream<Impl>>(shared_from_this(), Peer, std::move(*Used));
  Expected<Done> Sent = co_await Stream->sendRequest(Message, Left);
  if (!Sent)
    co_return Sent.error();
  co_return std::unique_ptr<HttpStream>(std::move(Stream));
}

HttpClient::HttpClient(asio::io_context &Context, std::string Step)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Step))) {}
HttpClient::~HttpClient() = default;

asio::awaitable<Expected<std::unique_ptr<HttpStream>>> HttpClient::open(Endpoint Peer, HttpRequest Request,
                                                                        Duration Timeout) {
  return m_Impl->open(std::move(Peer), std::move(Request), Timeout);
}

asio::awaitable<Expected<HttpResponse>> HttpClient::exchange(Endpoint Peer, HttpRequest Request,
                                                             Duration Timeout) {
  const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
  Expected<std::unique_ptr<HttpStream>> Opened =
      co_await m_Impl->open(std::move(Peer), std::move(Request), Timeout);
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
  }
}

std::uint64_t HttpClient::bytesSent() const { return m_Impl->m_Sent; }
std::uint64_t HttpClient::bytesReceived() const { return m_Impl->m_Received; }

} // namespace bulrushpitch
