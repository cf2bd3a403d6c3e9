#include "bulrushpitch/rpc/peer_client.h"

#include "conversion.h"
#include "kj_loop.h"
#include "socket_stream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <capnp/rpc-twoparty.h>

#include <map>
#include <optional>
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

/// @brief The RPC session on a connected socket. Members are destroyed from the last on.
struct Session {
  Session(const std::shared_ptr<KjLoop> &Loop, tcp::socket Socket, std::shared_ptr<WireCounters> Wire,
          const PeerLimits &Limits)
      : m_Stream(Loop, std::move(Socket), std::move(Wire)),
        m_Network(m_Stream, capnp::rpc::twoparty::Side::CLIENT, options(Limits)),
        m_Rpc(capnp::makeRpcClient(m_Network)), m_Peer(bootstrap()) {}

  schema::Peer::Client bootstrap() {
    capnp::MallocMessageBuilder Message(8);
    capnp::rpc::twoparty::VatId::Builder Server = Message.initRoot<capnp::rpc::twoparty::VatId>();
    Server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_Rpc.bootstrap(Server).castAs<schema::Peer>();
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
  schema::Peer::Client m_Peer;
};

/// @brief One connection, from the start of connecting on. Used in a KjScope.
struct Connection {
  Connection(boost::asio::io_context &Context, Endpoint Peer) : m_Peer(std::move(Peer)), m_Socket(Context) {}

  Endpoint m_Peer;
  tcp::socket m_Socket; ///< Until it is connected.
  std::unique_ptr<Session> m_Session;
  kj::ForkedPromise<void> m_Connected = nullptr;
  kj::Promise<void> m_Watch = nullptr;
  TimePoint m_LastUsed;
  std::size_t m_Calls = 0; ///< Calls that wait for their answers.
  bool m_Closed = false;
};

/// @return a connection whose last owner need not be in a KjScope
std::shared_ptr<Connection> makeConnection(std::shared_ptr<KjLoop> Loop, boost::asio::io_context &Context,
                                           const Endpoint &Peer) {
  return {new Connection(Context, Peer), [Loop = std::move(Loop)](Connection *Unused) {
            KjScope Scope(*Loop);
            delete Unused;
          }};
}

/// @brief One call, shared by the coroutine that waits and the promise that ends it.
template <typename Reply> struct PendingCall {
  explicit PendingCall(boost::asio::io_context &Context) : m_Timer(Context) {}

  void finish(Expected<Reply> Answer) {
    m_Answer.emplace(std::move(Answer));
    m_Timer.cancel();
  }

  boost::asio::steady_timer m_Timer;
  std::optional<Expected<Reply>> m_Answer;
};

} // namespace

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Context, PeerLimits Limits)
      : m_Context(Context), m_Loop(KjLoop::of(Context)), m_Limits(Limits), m_Sweep(Context) {}

  void closeAll() {
    KjScope Scope(*m_Loop);
    while (!m_Connections.empty())
      close(m_Connections.begin()->second);
    m_Sweep.cancel();
  }

  PeerCounters counters() const {
    PeerCounters Result = m_Counters;
    Result.m_WireBytesSent = m_Wire->m_Sent;
    Result.m_WireBytesReceived = m_Wire->m_Received;
    Result.m_Open = m_Connections.size();
    return Result;
  }

  /// @brief Makes one call.
  /// @param NewRequest makes the Cap'n Proto request of the method on a Peer::Client
  template <typename Request, typename Reply, typename NewRequestHook>
  static boost::asio::awaitable<Expected<Reply>> call(std::shared_ptr<Impl> Self, PeerMethod Method,
                                                      Endpoint Peer, Request Arguments, Duration Timeout,
                                                      NewRequestHook NewRequest) {
    const TimePoint Started = std::chrono::steady_clock::now();
    std::shared_ptr<PendingCall<Reply>> Pending = std::make_shared<PendingCall<Reply>>(Self->m_Context);
    InFlight<Reply> Call(Self, Self->connectionTo(Peer));
    Call.send(Method, std::move(Arguments), Pending, NewRequest);
    Pending->m_Timer.expires_at(Started + Timeout);
    co_await Pending->m_Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (!Pending->m_Answer) {
      const Ran Outcome = Call.outcome();
      Call.giveUp(Started);
      Pending->m_Answer.emplace(Self->failure(
          Method, Peer, ErrorCode::PeerUnreachable, Outcome,
          "no answer within " +
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count()) +
              " ms"));
    }
    if (!*Pending->m_Answer)
      ++Self->counters(Method).m_Failures;
    co_return std::move(*Pending->m_Answer);
  }

private:
  /// @brief A call under way: keeps its connection in use and its promise alive. Not moved.
  template <typename Reply> class InFlight {
  public:
    InFlight(std::shared_ptr<Impl> Client, std::shared_ptr<Connection> Used)
        : m_Client(std::move(Client)), m_Connection(std::move(Used)) {
      ++m_Connection->m_Calls;
    }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;
    ~InFlight() {
      KjScope Scope(*m_Client->m_Loop);
      m_Promise = nullptr;
      --m_Connection->m_Calls;
      m_Connection->m_LastUsed = std::chrono::steady_clock::now();
    }

    template <typename Request, typename NewRequestHook>
    void send(PeerMethod Method, Request Arguments, const std::shared_ptr<PendingCall<Reply>> &Pending,
              NewRequestHook NewRequest) {
      KjScope Scope(*m_Client->m_Loop);
      // The answer goes to Pending and not through the promises: g++ 12 takes an Expected inside a kj::Maybe
      // for uninitialised.
      m_Promise = m_Connection->m_Connected.addBranch()
                      .then([this, Method, Arguments = std::move(Arguments), Pending, NewRequest]() {
                        return m_Client->transmit(Method, *m_Connection, Arguments, Pending, NewRequest);
                      })
                      .eagerlyEvaluate([this, Method, Pending](const kj::Exception &Failure) {
                        Pending->finish(m_Client->failure(Method, m_Connection, Failure));
                      });
    }

    /// @return whether the peer may have seen the call
    Ran outcome() const { return m_Connection->m_Session ? Ran::Unknown : Ran::No; }

    /// A connection on which nothing has arrived since the call began may be dead without TCP's knowing.
    void giveUp(TimePoint Started) {
      KjScope Scope(*m_Client->m_Loop);
      if (!m_Connection->m_Session || m_Connection->m_Session->m_Stream.lastReceived() < Started)
        m_Client->close(m_Connection);
    }

  private:
    std::shared_ptr<Impl> m_Client;
    std::shared_ptr<Connection> m_Connection;
    kj::Promise<void> m_Promise = nullptr;
  };

  /// @brief Sends a request on a connected session and passes the answer on.
  template <typename Reply, typename Request, typename NewRequestHook>
  kj::Promise<void> transmit(PeerMethod Method, Connection &Used, const Request &Arguments,
                             const std::shared_ptr<PendingCall<Reply>> &Pending, NewRequestHook NewRequest) {
    auto Message = NewRequest(Used.m_Session->m_Peer);
    try {
      detail::toWire(Arguments, Message);
    } catch (const detail::BadMessage &Failure) {
      Pending->finish(failure(Method, Used.m_Peer, ErrorCode::PeerProtocol, Ran::No, Failure.what()));
      return kj::READY_NOW;
    }
    const std::size_t Size = Message.totalSize().wordCount * sizeof(capnp::word);
    if (Size > m_Limits.m_MaxMessageBytes) {
      Pending->finish(
          failure(Method, Used.m_Peer, ErrorCode::PeerProtocol, Ran::No,
                  "the request of " + std::to_string(Size) + " bytes is larger than a message may be"));
      return kj::READY_NOW;
    }
    PeerMethodCounters &Sent = counters(Method);
    ++Sent.m_MessagesSent;
    Sent.m_BytesSent += Size;
    return Message.send().then(
        [this, Self = shared_from_this(), Method, Peer = Used.m_Peer, Pending](auto &&Answer) {
          PeerMethodCounters &Received = counters(Method);
          ++Received.m_MessagesReceived;
          Received.m_BytesReceived += Answer.totalSize().wordCount * sizeof(capnp::word);
          try {
            Pending->finish(detail::resultFromWire<Reply>(Answer));
          } catch (const detail::BadMessage &Failure) {
            Pending->finish(failure(Method, Peer, ErrorCode::PeerProtocol, Ran::Unknown, Failure.what()));
          }
        });
  }

  std::shared_ptr<Connection> connectionTo(const Endpoint &Peer) {
    KjScope Scope(*m_Loop);
    const auto Found = m_Connections.find(Peer);
    if (Found != m_Connections.end())
      return Found->second;
    std::shared_ptr<Connection> Added = makeConnection(m_Loop, m_Context, Peer);
    m_Connections.emplace(Peer, Added);
    connect(Added);
    if (m_Connections.size() == 1)
      sweep();
    return Added;
  }

  void connect(const std::shared_ptr<Connection> &Added) {
    kj::PromiseFulfillerPair<void> Pair = kj::newPromiseAndFulfiller<void>();
    Added->m_Connected = Pair.promise.fork();
    Added->m_LastUsed = std::chrono::steady_clock::now();
    boost::system::error_code Code;
    const boost::asio::ip::address Ip = boost::asio::ip::make_address(Added->m_Peer.m_Address, Code);
    if (Code) {
      Pair.fulfiller->reject({kj::Exception::Type::FAILED, __FILE__, __LINE__,
                              kj::str("'", Added->m_Peer.m_Address.c_str(), "' is not an IP number")});
      return;
    }
    Added->m_Socket.async_connect(
        tcp::endpoint(Ip, Added->m_Peer.m_Port),
        [Self = shared_from_this(), Added, Waiting = Fulfiller<void>(m_Loop, kj::mv(Pair.fulfiller))](
            boost::system::error_code Failed) mutable {
          KjScope Scope(*Self->m_Loop);
          if (Failed)
            (*Waiting)->reject({kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                                kj::str("connect: ", Failed.message().c_str())});
          else if (!Added->m_Closed) {
            Self->connected(Added);
            (*Waiting)->fulfill();
          }
        });
  }

  void connected(const std::shared_ptr<Connection> &Opened) {
    ++m_Counters.m_Opened;
    Opened->m_Session = std::make_unique<Session>(m_Loop, std::move(Opened->m_Socket), m_Wire, m_Limits);
    Opened->m_Watch = Opened->m_Session->m_Network.onDisconnect()
                          .then([Client = weak_from_this(),
                                 Watched = std::weak_ptr(Opened)] { closeIfAlive(Client, Watched); },
                                [Client = weak_from_this(), Watched = std::weak_ptr(Opened)](
                                    const kj::Exception &) { closeIfAlive(Client, Watched); })
                          .eagerlyEvaluate(nullptr);
  }

  static void closeIfAlive(const std::weak_ptr<Impl> &Client, const std::weak_ptr<Connection> &Watched) {
    const std::shared_ptr<Impl> Self = Client.lock();
    const std::shared_ptr<Connection> Found = Watched.lock();
    if (Self && Found)
      Self->close(Found);
  }

  /// Takes a connection out of use. Its calls fail when it is destroyed, which happens outside the KJ loop
  /// because callers may be callbacks of its own promises.
  void close(std::shared_ptr<Connection> Closed) {
    if (Closed->m_Closed)
      return;
    Closed->m_Closed = true;
    const auto Found = m_Connections.find(Closed->m_Peer);
    if (Found != m_Connections.end() && Found->second == Closed)
      m_Connections.erase(Found);
    boost::asio::post(m_Context, [Loop = m_Loop, Closed = std::move(Closed)]() mutable {
      KjScope Scope(*Loop);
      boost::system::error_code Ignored;
      Closed->m_Socket.close(Ignored);
      Closed->m_Watch = nullptr;
      Closed->m_Session.reset();
    });
  }

  /// Closes connections that no call has used for the idle time.
  void sweep() {
    m_Sweep.expires_after(m_Limits.m_IdleClose / 4);
    m_Sweep.async_wait([Weak = weak_from_this()](boost::system::error_code Code) {
      const std::shared_ptr<Impl> Self = Weak.lock();
      if (Code || !Self)
        return;
      KjScope Scope(*Self->m_Loop);
      const TimePoint Oldest = std::chrono::steady_clock::now() - Self->m_Limits.m_IdleClose;
      std::vector<std::shared_ptr<Connection>> Idle;
      for (const std::pair<const Endpoint, std::shared_ptr<Connection>> &Item : Self->m_Connections)
        if (Item.second->m_Calls == 0 && Item.second->m_LastUsed < Oldest)
          Idle.push_back(Item.second);
      for (std::shared_ptr<Connection> &Item : Idle)
        Self->close(std::move(Item));
      if (!Self->m_Connections.empty())
        Self->sweep();
    });
  }

  Error failure(PeerMethod Method, const Endpoint &Peer, ErrorCode Code, Ran Outcome,
                std::string Detail) const {
    return {Code, std::string(nameOf(Method)), "daemon " + Peer.toString(), Outcome, std::move(Detail)};
  }

  Error failure(PeerMethod Method, const std::shared_ptr<Connection> &Used, const kj::Exception &Failure) {
    const bool Unreachable = Used->m_Closed || Failure.getType() == kj::Exception::Type::DISCONNECTED;
    const Ran Outcome = Used->m_Session || Used->m_Closed ? Ran::Unknown : Ran::No;
    close(Used);
    return failure(Method, Used->m_Peer, Unreachable ? ErrorCode::PeerUnreachable : ErrorCode::PeerProtocol,
                   Outcome, detail::describe(Failure));
  }

  PeerMethodCounters &counters(PeerMethod Method) {
    return m_Counters.m_Methods[static_cast<std::size_t>(Method)];
  }

  boost::asio::io_context &m_Context;
  std::shared_ptr<KjLoop> m_Loop;
  PeerLimits m_Limits;
  boost::asio::steady_timer m_Sweep;
  std::shared_ptr<WireCounters> m_Wire = std::make_shared<WireCounters>();
  PeerCounters m_Counters;
  std::map<Endpoint, std::shared_ptr<Connection>> m_Connections;
};

PeerClient::PeerClient(boost::asio::io_context &Context, PeerLimits Limits)
    : m_Impl(std::make_shared<Impl>(Context, Limits)) {}
PeerClient::~PeerClient() { m_Impl->closeAll(); }

boost::asio::awaitable<Expected<PeerDigest>> PeerClient::exchange(Endpoint Peer, PeerDigest Digest,
                                                                  Duration Timeout) {
  return Impl::call<PeerDigest, PeerDigest>(m_Impl, PeerMethod::Exchange, std::move(Peer), std::move(Digest),
                                            Timeout,
                                            [](schema::Peer::Client &To) { return To.exchangeRequest(); });
}

boost::asio::awaitable<Expected<PeerDelta>> PeerClient::fetch(Endpoint Peer, PeerFetch Wanted,
                                                              Duration Timeout) {
  return Impl::call<PeerFetch, PeerDelta>(m_Impl, PeerMethod::Fetch, std::move(Peer), Wanted, Timeout,
                                          [](schema::Peer::Client &To) { return To.fetchRequest(); });
}

boost::asio::awaitable<Expected<PeerPermit>>
PeerClient::acquirePermit(Endpoint Peer, PeerPermitRequest Wanted, Duration Timeout) {
  return Impl::call<PeerPermitRequest, PeerPermit>(
      m_Impl, PeerMethod::AcquirePermit, std::move(Peer), std::move(Wanted), Timeout,
      [](schema::Peer::Client &To) { return To.acquirePermitRequest(); });
}

boost::asio::awaitable<Expected<PeerPermit>> PeerClient::renewPermit(Endpoint Peer, PeerPermitRequest Held,
                                                                     Duration Timeout) {
  return Impl::call<PeerPermitRequest, PeerPermit>(
      m_Impl, PeerMethod::RenewPermit, std::move(Peer), std::move(Held), Timeout,
      [](schema::Peer::Client &To) { return To.renewPermitRequest(); });
}

boost::asio::awaitable<Expected<Done>> PeerClient::releasePermit(Endpoint Peer, PeerPermitRequest Held,
                                                                 Duration Timeout) {
  return Impl::call<PeerPermitRequest, Done>(
      m_Impl, PeerMethod::ReleasePermit, std::move(Peer), std::move(Held), Timeout,
      [](schema::Peer::Client &To) { return To.releasePermitRequest(); });
}

boost::asio::awaitable<Expected<Done>> PeerClient::holdCharges(Endpoint Peer, PeerCharges Charges,
                                                               Duration Timeout) {
  return Impl::call<PeerCharges, Done>(m_Impl, PeerMethod::HoldCharges, std::move(Peer), std::move(Charges),
                                       Timeout,
                                       [](schema::Peer::Client &To) { return To.holdChargesRequest(); });
}

boost::asio::awaitable<Expected<Done>> PeerClient::dropCharges(Endpoint Peer, PeerCharges Charges,
                                                               Duration Timeout) {
  return Impl::call<PeerCharges, Done>(m_Impl, PeerMethod::DropCharges, std::move(Peer), std::move(Charges),
                                       Timeout,
                                       [](schema::Peer::Client &To) { return To.dropChargesRequest(); });
}

boost::asio::awaitable<Expected<PeerProbeResult>> PeerClient::probe(Endpoint Peer, PeerProbe Target,
                                                                    Duration Timeout) {
  return Impl::call<PeerProbe, PeerProbeResult>(m_Impl, PeerMethod::Probe, std::move(Peer), std::move(Target),
                                                Timeout,
                                                [](schema::Peer::Client &To) { return To.probeRequest(); });
}

boost::asio::awaitable<Expected<PeerTimeline>> PeerClient::timeline(Endpoint Peer, EventFilter Filter,
                                                                    Duration Timeout) {
  return Impl::call<EventFilter, PeerTimeline>(m_Impl, PeerMethod::Timeline, std::move(Peer),
                                               std::move(Filter), Timeout,
                                               [](schema::Peer::Client &To) { return To.timelineRequest(); });
}

boost::asio::awaitable<Expected<PeerStatus>> PeerClient::status(Endpoint Peer, Duration Timeout) {
  return Impl::call<Done, PeerStatus>(m_Impl, PeerMethod::Status, std::move(Peer), Done{}, Timeout,
                                      [](schema::Peer::Client &To) { return To.statusRequest(); });
}

boost::asio::awaitable<Expected<PeerTableNewsList>>
PeerClient::watchTables(Endpoint Peer, PeerTableWatch Held, Duration Timeout) {
  return Impl::call<PeerTableWatch, PeerTableNewsList>(
      m_Impl, PeerMethod::WatchTables, std::move(Peer), std::move(Held), Timeout,
      [](schema::Peer::Client &To) { return To.watchTablesRequest(); });
}

void PeerClient::closeAll() { m_Impl->closeAll(); }
PeerCounters PeerClient::counters() const { return m_Impl->counters(); }

} // namespace bulrushpitch
