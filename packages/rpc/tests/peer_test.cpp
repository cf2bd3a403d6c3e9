#include "loopback.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <rapidcheck.h>

#include <array>
#include <iostream>
#include <vector>

using namespace bulrushpitch;
using namespace bulrushpitch::test;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

PeerHandler exchangeOnly() {
  PeerHandler Handler;
  Handler.m_Exchange = echo<PeerDigest>();
  return Handler;
}

/// Restrictions, members and texts of any length and content.
PeerDigest randomDigest() {
  const auto Text = [] { return *rc::gen::arbitrary<std::string>(); };
  const auto Number = [] { return *rc::gen::arbitrary<std::uint64_t>(); };
  PeerDigest Digest = typicalDigest();
  Digest.m_Instance = InstanceId(Text());
  Digest.m_Domain = DomainId(Text());
  Digest.m_Rpc = *rc::gen::elementOf(std::vector<Endpoint>{{"::1", 9}, {"0.0.0.0", 0}, {"255.1.2.3", 65535}});
  Digest.m_Revision = ConfigRevision(Number());
  Digest.m_RestrictionHash = Number();
  Digest.m_Push = *rc::gen::arbitrary<bool>();
  Digest.m_Ready = *rc::gen::arbitrary<bool>();
  Digest.m_Leaving = *rc::gen::arbitrary<bool>();
  Digest.m_Publisher = InstanceId(Text());
  Digest.m_Beat = *rc::gen::arbitrary<std::uint32_t>();
  if (*rc::gen::arbitrary<bool>())
    Digest.m_HeadReadAge.reset();
  Digest.m_Members.resize(*rc::gen::inRange<std::size_t>(0, PeerDigest::maxMembers + 1));
  for (PeerMember &Member : Digest.m_Members) {
    Member.m_State = static_cast<PeerMemberState>(*rc::gen::inRange(0, 4));
    Member.m_Beat = *rc::gen::arbitrary<std::uint32_t>();
  }
  Digest.m_Restrictions.resize(*rc::gen::inRange<std::size_t>(0, 5));
  for (Restriction &Item : Digest.m_Restrictions)
    Item = {RestrictionId(Text()), static_cast<RestrictionKind>(*rc::gen::inRange(0, 4)), Text(), Text(),
            ConfigRevision(Number())};
  return Digest;
}

} // namespace

TEST_CASE("a digest arrives as it was sent") {
  boost::asio::io_context Context;
  PeerServer Server(Context, AnyPort, exchangeOnly());
  REQUIRE(Server.start());
  PeerClient Client(Context);
  CHECK(rc::check([&] {
    const PeerDigest Sent = randomDigest();
    Expected<PeerDigest> Received = await(Context, Client.exchange(Server.address(), Sent));
    RC_ASSERT(Received.hasValue());
    RC_ASSERT(*Received == Sent);
  }));
  CHECK(Client.counters().m_Opened == 1);
}

TEST_CASE("every method reaches its own hook, and an error of a hook arrives whole") {
  boost::asio::io_context Context;
  const Error Refusal{ErrorCode::LeaseNotHeld, "grant permit", "engine e-1", Ran::No, "the lease lapsed"};
  const PeerPermit Permit{UpstreamId("e-1"), AttemptId("a-7"), true,   true,
                          "reason",          FencingNumber(3), 5000ms, LamportTime(9)};
  const PeerCharges Charges{InstanceId("west-a-1"),
                            4,
                            5,
                            {{"charge/guild/r-1", "{\"amount\":1}"}, {"charge/guild/r-2", ""}},
                            LamportTime(5)};
  PeerTimeline Events;
  Events.m_Dropped = 2;
  Events.m_Events.push_back({.m_Instance = InstanceId("a"),
                             .m_Wall = WallTime(5ms),
                             .m_Monotonic = 7ns,
                             .m_Kind = EventKind::PermitGranted,
                             .m_Step = "grant permit"});
  const PeerStatus Status{InstanceId("a"), 2, DomainId("west-a"), ConfigRevision(8), true, "{}"};
  EventFilter Asked;
  PeerCharges Held;
  PeerHandler Handler;
  Handler.m_Fetch = [](PeerFetch Wanted) -> awaitable<Expected<PeerDelta>> {
    co_return PeerDelta{Wanted.m_Since, ConfigRevision(9), false, std::string("\0\xff", 2)};
  };
  Handler.m_AcquirePermit = constant<PeerPermitRequest>(Permit);
  Handler.m_RenewPermit = [Refusal](PeerPermitRequest) -> awaitable<Expected<PeerPermit>> {
    co_return Refusal;
  };
  Handler.m_ReleasePermit = constant<PeerPermitRequest>(Done{});
  Handler.m_HoldCharges = [&](PeerCharges Received) -> awaitable<Expected<Done>> {
    Held = std::move(Received);
    co_return Done{};
  };
  Handler.m_Probe = constant<PeerProbe>(PeerProbeResult{true, 5});
  Handler.m_Timeline = [&](EventFilter Filter) -> awaitable<Expected<PeerTimeline>> {
    Asked = std::move(Filter);
    co_return Events;
  };
  Handler.m_Status = constant<Done>(Status);
  PeerServer Server(Context, AnyPort, Handler);
  REQUIRE(Server.start());
  const Endpoint Peer = Server.address();
  PeerClient Client(Context);

  Expected<PeerDelta> Delta = await(Context, Client.fetch(Peer, {ConfigRevision(3)}));
  REQUIRE(Delta);
  CHECK(*Delta == PeerDelta{ConfigRevision(3), ConfigRevision(9), false, std::string("\0\xff", 2)});
  CHECK(*await(Context, Client.acquirePermit(Peer, {})) == Permit);
  CHECK(await(Context, Client.renewPermit(Peer, {})).error() == Refusal);
  CHECK(await(Context, Client.releasePermit(Peer, {})));
  CHECK(await(Context, Client.holdCharges(Peer, Charges)));
  CHECK(Held == Charges);
  const Expected<Done> Dropped = await(Context, Client.dropCharges(Peer, Charges));
  REQUIRE_FALSE(Dropped); // Its hook is not set.
  CHECK(Dropped.error().m_Code == ErrorCode::PeerProtocol);
  CHECK(*await(Context, Client.probe(Peer, {InstanceId("b"), {"127.0.0.1", 1}})) == PeerProbeResult{true, 5});
  EventFilter Filter;
  Filter.m_Request = RequestId("");
  Filter.m_Kind = EventKind::ClaimWritten;
  Filter.m_Until = WallTime(8ms);
  CHECK(*await(Context, Client.timeline(Peer, Filter)) == Events);
  CHECK(Asked == Filter);
  CHECK(*await(Context, Client.status(Peer)) == Status);
  CHECK(Server.counters().of(PeerMethod::RenewPermit).m_Failures == 1);
  CHECK(Client.counters().of(PeerMethod::Fetch).m_MessagesReceived == 1);
}

TEST_CASE(
    "a digest with too many members or too large a beat, and an address that is no number, are not sent") {
  boost::asio::io_context Context;
  PeerServer Server(Context, AnyPort, exchangeOnly());
  REQUIRE(Server.start());
  PeerClient Client(Context);
  PeerDigest Digest = typicalDigest();
  Digest.m_Members.resize(PeerDigest::maxMembers + 1);
  const Expected<PeerDigest> TooMany = await(Context, Client.exchange(Server.address(), Digest));
  REQUIRE_FALSE(TooMany);
  CHECK(TooMany.error().m_Code == ErrorCode::PeerProtocol);
  CHECK(TooMany.error().m_Ran == Ran::No);
  Digest.m_Members.clear();
  Digest.m_Beat = std::uint64_t{1} << 32U; // Sent as 0, it would lose a contradicted suspicion.
  const Expected<PeerDigest> TooLarge = await(Context, Client.exchange(Server.address(), Digest));
  REQUIRE_FALSE(TooLarge);
  CHECK(TooLarge.error().m_Code == ErrorCode::PeerProtocol);
  const Expected<PeerStatus> NoNumber = await(Context, Client.status({"localhost", 1}));
  REQUIRE_FALSE(NoNumber);
  CHECK(NoNumber.error().m_Code == ErrorCode::PeerProtocol);
}

TEST_CASE("a server that goes away in the middle of a call gives 701, and the next call reconnects") {
  boost::asio::io_context Context;
  boost::asio::steady_timer Never(Context, 1h);
  std::unique_ptr<PeerServer> Server;
  PeerHandler Handler = exchangeOnly();
  Handler.m_Status = [&](Done) -> awaitable<Expected<PeerStatus>> {
    Server->stop();
    co_await Never.async_wait(boost::asio::use_awaitable);
    co_return PeerStatus{};
  };
  Server = std::make_unique<PeerServer>(Context, AnyPort, Handler);
  REQUIRE(Server->start());
  const Endpoint Peer = Server->address();
  PeerClient Client(Context);
  REQUIRE(await(Context, Client.exchange(Peer, typicalDigest())));
  const Expected<PeerStatus> Cut = await(Context, Client.status(Peer, 5s));
  REQUIRE_FALSE(Cut);
  CHECK(Cut.error().m_Code == ErrorCode::PeerUnreachable);
  CHECK(Cut.error().m_Step == "status");
  CHECK(Cut.error().m_Peer == "daemon " + Peer.toString());
  CHECK(Cut.error().m_Ran == Ran::Unknown);
  const Expected<PeerDigest> Refused = await(Context, Client.exchange(Peer, typicalDigest()));
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().m_Code == ErrorCode::PeerUnreachable);
  CHECK(Refused.error().m_Ran == Ran::No);

  PeerServer Restarted(Context, Peer, exchangeOnly());
  REQUIRE(Restarted.start());
  CHECK(await(Context, Client.exchange(Peer, typicalDigest())));
}

TEST_CASE("a call ends at its timeout, and a peer that sends nothing is connected to anew") {
  boost::asio::io_context Context;
  boost::asio::steady_timer Never(Context, 1h);
  PeerHandler Handler = exchangeOnly();
  Handler.m_Status = [&](Done) -> awaitable<Expected<PeerStatus>> {
    co_await Never.async_wait(boost::asio::use_awaitable);
    co_return PeerStatus{};
  };
  PeerServer Server(Context, AnyPort, Handler);
  REQUIRE(Server.start());
  PeerClient Client(Context);
  REQUIRE(await(Context, Client.exchange(Server.address(), typicalDigest())));
  const TimePoint Start = std::chrono::steady_clock::now();
  const Expected<PeerStatus> Late = await(Context, Client.status(Server.address(), 50ms));
  const Duration Took = std::chrono::steady_clock::now() - Start;
  REQUIRE_FALSE(Late);
  CHECK(Late.error().m_Code == ErrorCode::PeerUnreachable);
  CHECK(Late.error().m_Detail == "no answer within 50 ms");
  CHECK(Took >= 50ms);
  CHECK(Took < 2s);
  CHECK(await(Context, Client.exchange(Server.address(), typicalDigest())));
  CHECK(Client.counters().m_Opened == 2);
}

TEST_CASE("idle connections are closed at both ends, and more than the limit are refused") {
  boost::asio::io_context Context;
  PeerLimits Limits;
  Limits.m_IdleClose = 40ms;
  Limits.m_MaxConnections = 1;
  PeerServer Server(Context, AnyPort, exchangeOnly(), Limits);
  REQUIRE(Server.start());
  PeerClient Client(Context, Limits);
  REQUIRE(await(Context, Client.exchange(Server.address(), typicalDigest())));
  CHECK(Client.counters().m_Open == 1);
  PeerClient Second(Context, Limits);
  CHECK_FALSE(await(Context, Second.exchange(Server.address(), typicalDigest())));
  CHECK(Server.counters().m_Refused == 1);
  Context.run_for(300ms);
  CHECK(Client.counters().m_Open == 0);
  CHECK(Server.counters().m_Open == 0);
  CHECK(await(Context, Client.exchange(Server.address(), typicalDigest())));
}

TEST_CASE("messages above the limit fail on the sender's side and keep the connection") {
  boost::asio::io_context Context;
  PeerLimits Limits;
  Limits.m_MaxMessageBytes = 10'000;
  PeerHandler Handler = exchangeOnly();
  Handler.m_Fetch = constant<PeerFetch>(PeerDelta{{}, {}, true, std::string(20'000, 'x')});
  PeerServer Server(Context, AnyPort, Handler, Limits);
  REQUIRE(Server.start());
  PeerClient Client(Context, Limits);
  PeerDigest Large = typicalDigest();
  Large.m_Instance = InstanceId(std::string(20'000, 'x'));
  const Expected<PeerDigest> TooLarge = await(Context, Client.exchange(Server.address(), Large));
  REQUIRE_FALSE(TooLarge);
  CHECK(TooLarge.error().m_Ran == Ran::No);
  const Expected<PeerDelta> TooLargeAnswer = await(Context, Client.fetch(Server.address(), {}));
  REQUIRE_FALSE(TooLargeAnswer);
  CHECK(TooLargeAnswer.error().m_Code == ErrorCode::PeerProtocol);
  CHECK(await(Context, Client.exchange(Server.address(), typicalDigest())));
}

TEST_CASE("64 peers exchange with one another at once") {
  constexpr std::size_t Count = 64;
  constexpr std::size_t Rounds = 8;
  boost::asio::io_context Context;
  std::vector<std::unique_ptr<PeerServer>> Servers;
  std::vector<std::unique_ptr<PeerClient>> Clients;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Servers.push_back(std::make_unique<PeerServer>(Context, AnyPort, exchangeOnly()));
    REQUIRE(Servers.back()->start());
    Clients.push_back(std::make_unique<PeerClient>(Context));
  }
  std::size_t Answered = 0;
  const auto Talk = [&](std::size_t Self) -> awaitable<void> {
    for (std::size_t Round = 1; Round <= Rounds; ++Round)
      Answered +=
          (co_await Clients[Self]->exchange(Servers[(Self + Round) % Count]->address(), typicalDigest(), 20s))
              .hasValue();
  };
  for (std::size_t Index = 0; Index < Count; ++Index)
    boost::asio::co_spawn(Context, Talk(Index), boost::asio::detached);
  const TimePoint GiveUp = std::chrono::steady_clock::now() + 30s;
  while (Answered < Count * Rounds && std::chrono::steady_clock::now() < GiveUp)
    Context.run_one_for(100ms);
  CHECK(Answered == Count * Rounds);
}

TEST_CASE("an exchange on an open connection stays within its share of 7 KB/s") {
  boost::asio::io_context Context;
  PeerServer Server(Context, AnyPort, exchangeOnly());
  REQUIRE(Server.start());
  PeerClient Client(Context);
  REQUIRE(await(Context, Client.exchange(Server.address(), typicalDigest())));
  const PeerCounters Before = Client.counters();
  REQUIRE(await(Context, Client.exchange(Server.address(), typicalDigest())));
  const PeerCounters After = Client.counters();
  const std::uint64_t Sent = After.m_WireBytesSent - Before.m_WireBytesSent;
  const std::uint64_t Received = After.m_WireBytesReceived - Before.m_WireBytesReceived;
  std::cout << "exchange of full digests: " << Sent << " bytes sent, " << Received << " bytes received\n";
  // One exchange begun and one answered each second, with 3 KB/s left for pushes, permits and charges.
  CHECK(2 * (Sent + Received) < 4'000);
}

TEST_CASE("calls under way survive the end of the client, the server and the loop") {
  // Guards against use after free in callbacks of sockets, timers and promises; run it with sanitizers.
  for (int Order = 0; Order < 4; ++Order) {
    std::unique_ptr<boost::asio::io_context> Context = std::make_unique<boost::asio::io_context>();
    boost::asio::steady_timer Never(*Context, 1h);
    PeerHandler Handler = exchangeOnly();
    Handler.m_Status = [&](Done) -> awaitable<Expected<PeerStatus>> {
      co_await Never.async_wait(boost::asio::use_awaitable);
      co_return PeerStatus{};
    };
    std::unique_ptr<PeerServer> Server = std::make_unique<PeerServer>(*Context, AnyPort, Handler);
    REQUIRE(Server->start());
    std::unique_ptr<PeerClient> Client = std::make_unique<PeerClient>(*Context);
    int Failed = 0;
    const auto Call = [&](Endpoint Peer) -> awaitable<void> {
      Failed += !(co_await Client->status(Peer, 1h));
    };
    for (int Index = 0; Index < 3; ++Index)
      boost::asio::co_spawn(*Context, Call(Server->address()), boost::asio::detached);
    Context->run_for(Order == 3 ? 0ms : 30ms);
    if (Order == 0)
      Client->closeAll();
    if (Order == 1)
      Server->stop();
    if (Order < 2) {
      Context->run_for(30ms);
      CHECK(Failed == 3);
    }
    Client.reset();
    Server.reset();
    if (Order % 2 == 0)
      Context->run_for(10ms);
  }
}
