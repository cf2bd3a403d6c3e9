#include "bulrushpitch/rpc/peer_server.h"

#include "conversion.h"
#include "kj_loop.h"
#include "socket_stream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <capnp/rpc-twoparty.h>

#include <exception>
#include <map>
#include <string>
#include <utility>

namespace bulrushpitch {

using boost::asio::ip::tcp;
using detail::Fulfiller;
using detail::KjLoop;
using detail::KjScope;
using detail::SocketStream;
using detail::WireCounters;

namespace {

/// How long to wait when accepting fails, for example because no file descriptor is free.
constexpr std::chrono::milliseconds acceptRetry{100};

/// What the calls of one server share; hooks that outlive the server keep it.
struct Shared {
  boost::asio::io_context &m_Context;
  std::shared_ptr<KjLoop> m_Loop;
  PeerHandler m_Handler;
  PeerLimits m_Limits;
  PeerCounters m_Counters;
  std::string m_Address;
};

Error callError(const Shared &Server, PeerMethod Method, ErrorCode Code, Ran Outcome, std::string Detail) {
  return {Code, std::string(nameOf(Method)), "daemon " + Server.m_Address, Outcome, std::move(Detail)};
}

/// @brief A call whose hook runs. The answer does not go through the promise: g++ 12 takes an Expected inside
/// a kj::Maybe for uninitialised.
template <typename Reply> struct RunningCall {
  Fulfiller<void> m_Finished;
  Expected<Reply> m_Answer = Error{};
};

/// @brief Runs a hook to its end and passes its answer on; an exception becomes error 901.
template <typename Request, typename Reply>
boost::asio::awaitable<void> runHook(std::shared_ptr<Shared> Server, PeerMethod Method,
                                     const PeerHook<Request, Reply> &Hook, Request Arguments,
                                     std::shared_ptr<RunningCall<Reply>> Running) {
  // co_spawn starts a coroutine at once when it is called from the loop's thread. Without this the hook would
  // run inside the KJ loop, where it could not close the server.
  co_await boost::asio::post(boost::asio::use_awaitable);
  try {
    Running->m_Answer = co_await Hook(std::move(Arguments));
  } catch (const std::exception &Failure) {
    Running->m_Answer = callError(*Server, Method, ErrorCode::Internal, Ran::Unknown, Failure.what());
  }
  KjScope Scope(*Server->m_Loop);
  (*Running->m_Finished)->fulfill();
}

/// @brief The capability that one connection's calls arrive at.
class PeerCalls final : public schema::Peer::Server {
public:
  explicit PeerCalls(std::shared_ptr<Shared> Owner) : m_Shared(std::move(Owner)) {}

  kj::Promise<void> exchange(ExchangeContext Call) override {
    return answer(PeerMethod::Exchange, m_Shared->m_Handler.m_Exchange, Call);
  }
  kj::Promise<void> fetch(FetchContext Call) override {
    return answer(PeerMethod::Fetch, m_Shared->m_Handler.m_Fetch, Call);
  }
  kj::Promise<void> acquirePermit(AcquirePermitContext Call) override {
    return answer(PeerMethod::AcquirePermit, m_Shared->m_Handler.m_AcquirePermit, Call);
  }
  kj::Promise<void> renewPermit(RenewPermitContext Call) override {
    return answer(PeerMethod::RenewPermit, m_Shared->m_Handler.m_RenewPermit, Call);
  }
  kj::Promise<void> releasePermit(ReleasePermitContext Call) override {
    return answer(PeerMethod::ReleasePermit, m_Shared->m_Handler.m_ReleasePermit, Call);
  }
  kj::Promise<void> holdCharges(HoldChargesContext Call) override {
    return answer(PeerMethod::HoldCharges, m_Shared->m_Handler.m_HoldCharges, Call);
  }
  kj::Promise<void> dropCharges(DropChargesContext Call) override {
    return answer(PeerMethod::DropCharges, m_Shared->m_Handler.m_DropCharges, Call);
  }
  kj::Promise<void> probe(ProbeContext Call) override {
    return answer(PeerMethod::Probe, m_Shared->m_Handler.m_Probe, Call);
  }
  kj::Promise<void> timeline(TimelineContext Call) override {
    return answer(PeerMethod::Timeline, m_Shared->m_Handler.m_Timeline, Call);
  }
  kj::Promise<void> status(StatusContext Call) override {
    return answer(PeerMethod::Status, m_Shared->m_Handler.m_Status, Call);
  }
  kj::Promise<void> watchTables(WatchTablesContext Call) override {
    return answer(PeerMethod::WatchTables, m_Shared->m_Handler.m_WatchTables, Call);
  }

private:
  template <typename Request, typename Reply, typename Params, typename Results>
  kj::Promise<void> answer(PeerMethod Method, const PeerHook<Request, Reply> &Hook,
                           capnp::CallContext<Params, Results> Call) {
    PeerMethodCounters &Counters = counters(Method);
    ++Counters.m_MessagesReceived;
    Request Arguments;
    try {
      const typename Params::Reader Reader = Call.getParams();
      Counters.m_BytesReceived += Reader.totalSize().wordCount * sizeof(capnp::word);
      detail::fromWire(Reader, Arguments);
    } catch (const detail::BadMessage &Failure) {
      return reply<Reply>(Method, Call, protocolError(Method, Failure.what()));
    } catch (const kj::Exception &Failure) {
      return reply<Reply>(Method, Call, protocolError(Method, detail::describe(Failure)));
    }
    Call.releaseParams();
    if (!Hook)
      return reply<Reply>(Method, Call, protocolError(Method, "this daemon does not offer the method"));

    // Otherwise a lost connection stays in memory for as long as one of its hooks runs.
    Call.allowCancellation();
    kj::PromiseFulfillerPair<void> Pair = kj::newPromiseAndFulfiller<void>();
    std::shared_ptr<RunningCall<Reply>> Running = std::make_shared<RunningCall<Reply>>(
        RunningCall<Reply>{Fulfiller<void>(m_Shared->m_Loop, kj::mv(Pair.fulfiller))});
    boost::asio::co_spawn(m_Shared->m_Context,
                          runHook<Request, Reply>(m_Shared, Method, Hook, std::move(Arguments), Running),
                          boost::asio::detached);
    return Pair.promise.then(
        [this, Method, Call, Running]() mutable { return reply(Method, Call, Running->m_Answer); });
  }

  template <typename Reply, typename Params, typename Results>
  kj::Promise<void> reply(PeerMethod Method, capnp::CallContext<Params, Results> Call,
                          const Expected<Reply> &Answer) {
    PeerMethodCounters &Counters = counters(Method);
    if (!Answer)
      ++Counters.m_Failures;
    const typename Results::Builder Builder = Call.getResults();
    try {
      detail::resultToWire(Answer, Builder);
    } catch (const detail::BadMessage &Failure) {
      ++Counters.m_Failures;
      detail::toWire(callError(*m_Shared, Method, ErrorCode::Internal, Ran::Yes, Failure.what()),
                     typename Results::Builder(Builder).initFailure());
    }
    const std::size_t Size = Builder.totalSize().wordCount * sizeof(capnp::word);
    if (Size > m_Shared->m_Limits.m_MaxMessageBytes)
      return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__,
                           kj::str("the answer of ", Size, " bytes is larger than a message may be"));
    ++Counters.m_MessagesSent;
    Counters.m_BytesSent += Size;
    return kj::READY_NOW;
  }

  Error protocolError(PeerMethod Method, std::string Detail) const {
    return callError(*m_Shared, Method, ErrorCode::PeerProtocol, Ran::No, std::move(Detail));
  }
  PeerMethodCounters &counters(PeerMethod Method) {
    return m_Shared->m_Counters.m_Methods[static_cast<std::size_t>(Method)];
  }

  std::shared_ptr<Shared> m_Shared;
};

/// @brief One accepted connection. Made and destroyed in a KjScope; members are destroyed from the last on.
struct Connection {
  Connection(const std::shared_ptr<Shared> &Server, tcp::socket Socket, std::shared_ptr<WireCounters> Wire)
      : m_Stream(Server->m_Loop, std::move(Socket), std::move(Wire)),
        m_Network(m_Stream, capnp::rpc::twoparty::Side::SERVER, options(Server->m_Limits)),
        m_Rpc(capnp::makeRpcServer(m_Network, schema::Peer::Client(kj::heap<PeerCalls>(Server)))) {
    // Calls that wait for their answers may together hold as much as one message.
    m_Rpc.setFlowLimit(Server->m_Limits.m_MaxMessageBytes / sizeof(capnp::word));
  }

  static capnp::ReaderOptions options(const PeerLimits &Limits) {
    capnp::ReaderOptions Options;
    // Cap'n Proto refuses a frame above this limit before it allocates memory for it.
    Options.traversalLimitInWords = Limits.m_MaxMessageBytes / sizeof(capnp::word);
    return Options;
  }

  SocketStream m_Stream;
  capnp::TwoPartyVatNetwork m_Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_Rpc;
  kj::Promise<void> m_Watch = nullptr;
};

} // namespace

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Context, Endpoint Address, PeerHandler Handler, PeerLimits Limits)
      : m_Shared(std::make_shared<Shared>(
            Shared{Context, KjLoop::of(Context), std::move(Handler), Limits, {}, Address.toString()})),
        m_Address(std::move(Address)), m_Acceptor(Context), m_Sweep(Context), m_Retry(Context) {}

  Result<void> start() {
    boost::system::error_code Code;
    const boost::asio::ip::address Ip = boost::asio::ip::make_address(m_Address.m_Address, Code);
    const tcp::endpoint Local(Ip, m_Address.m_Port);
    if (!Code)
      m_Acceptor.open(Local.protocol(), Code);
    if (!Code)
      m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
    if (!Code)
      m_Acceptor.bind(Local, Code);
    if (!Code)
      m_Acceptor.listen(boost::asio::socket_base::max_listen_connections, Code);
    if (Code)
      return fail(
          Error{ErrorCode::Internal, "listen for peers", m_Address.toString(), Ran::No, Code.message()});
    m_Address.m_Port = m_Acceptor.local_endpoint().port();
    m_Shared->m_Address = m_Address.toString();
    m_Running = true;
    accept();
    sweep();
    return {};
  }

  void stop() {
    m_Running = false;
    boost::system::error_code Ignored;
    m_Acceptor.close(Ignored);
    m_Sweep.cancel();
    m_Retry.cancel();
    KjScope Scope(*m_Shared->m_Loop);
    m_Connections.clear();
  }

  Endpoint address() const { return m_Address; }

  PeerCounters counters() const {
    PeerCounters Result = m_Shared->m_Counters;
    Result.m_WireBytesSent = m_Wire->m_Sent;
    Result.m_WireBytesReceived = m_Wire->m_Received;
    Result.m_Open = m_Connections.size();
    return Result;
  }

private:
  void accept() {
    m_Acceptor.async_accept([Weak = weak_from_this()](boost::system::error_code Code, tcp::socket Socket) {
      const std::shared_ptr<Impl> Self = Weak.lock();
      if (!Self || !Self->m_Running)
        return;
      if (Code)
        return Self->acceptLater();
      Self->accepted(std::move(Socket));
      Self->accept();
    });
  }

  void acceptLater() {
    m_Retry.expires_after(acceptRetry);
    m_Retry.async_wait([Weak = weak_from_this()](boost::system::error_code Code) {
      const std::shared_ptr<Impl> Self = Weak.lock();
      if (!Code && Self && Self->m_Running)
        Self->accept();
    });
  }

  void accepted(tcp::socket Socket) {
    PeerCounters &Counters = m_Shared->m_Counters;
    if (m_Connections.size() >= m_Shared->m_Limits.m_MaxConnections) {
      ++Counters.m_Refused;
      return;
    }
    ++Counters.m_Opened;
    KjScope Scope(*m_Shared->m_Loop);
    const std::uint64_t Number = ++m_LastNumber;
    const std::unique_ptr<Connection> &Added =
        m_Connections.emplace(Number, std::make_unique<Connection>(m_Shared, std::move(Socket), m_Wire))
            .first->second;
    Added->m_Watch =
        Added->m_Network.onDisconnect()
            .then([Weak = weak_from_this(), Number] { closeLater(Weak, Number); },
                  [Weak = weak_from_this(), Number](const kj::Exception &) { closeLater(Weak, Number); })
            .eagerlyEvaluate(nullptr);
  }

  /// The connection cannot be destroyed by a callback of its own promise.
  static void closeLater(const std::weak_ptr<Impl> &Weak, std::uint64_t Number) {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      boost::asio::post(Self->m_Shared->m_Context, [Weak, Number] {
        if (const std::shared_ptr<Impl> Found = Weak.lock()) {
          KjScope Scope(*Found->m_Shared->m_Loop);
          Found->m_Connections.erase(Number);
        }
      });
  }

  /// Closes connections on which nothing has arrived for twice the idle time, so that clients close first.
  void sweep() {
    m_Sweep.expires_after(m_Shared->m_Limits.m_IdleClose / 2);
    m_Sweep.async_wait([Weak = weak_from_this()](boost::system::error_code Code) {
      const std::shared_ptr<Impl> Self = Weak.lock();
      if (Code || !Self || !Self->m_Running)
        return;
      const TimePoint Oldest = std::chrono::steady_clock::now() - 2 * Self->m_Shared->m_Limits.m_IdleClose;
      KjScope Scope(*Self->m_Shared->m_Loop);
      std::erase_if(Self->m_Connections,
                    [Oldest](const auto &Item) { return Item.second->m_Stream.lastReceived() < Oldest; });
      Self->sweep();
    });
  }

  std::shared_ptr<Shared> m_Shared;
  std::shared_ptr<WireCounters> m_Wire = std::make_shared<WireCounters>();
  Endpoint m_Address;
  tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_Sweep;
  boost::asio::steady_timer m_Retry;
  std::map<std::uint64_t, std::unique_ptr<Connection>> m_Connections;
  std::uint64_t m_LastNumber = 0;
  bool m_Running = false;
};

PeerServer::PeerServer(boost::asio::io_context &Context, Endpoint Address, PeerHandler Handler,
                       PeerLimits Limits)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Address), std::move(Handler), Limits)) {}
PeerServer::~PeerServer() { m_Impl->stop(); }
Result<void> PeerServer::start() { return m_Impl->start(); }
void PeerServer::stop() { m_Impl->stop(); }
Endpoint PeerServer::address() const { return m_Impl->address(); }
PeerCounters PeerServer::counters() const { return m_Impl->counters(); }

} // namespace bulrushpitch
