#include "loopback.h"

#include "bulrushpitch/core/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cstring>
#include <vector>

using namespace bulrushpitch;
using namespace bulrushpitch::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

PeerHandler exchangeOnly() {
  PeerHandler Handler;
  Handler.m_Exchange = echo<PeerDigest>();
  return Handler;
}

std::string randomBytes(const RandomHook &Random, std::size_t Length) {
  std::string Bytes(Length, '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random());
  return Bytes;
}

/// A frame's table for one segment of @p Words words.
std::string frameHeader(std::uint32_t Words) {
  std::string Header(8, '\0');
  std::memcpy(Header.data() + 4, &Words, sizeof Words);
  return Header;
}

/// Records what a PeerClient sends for one call, as a correct stream to damage.
std::string recordedCall(boost::asio::io_context &Context) {
  tcp::acceptor Listener(Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  PeerClient Client(Context);
  const Endpoint Peer{"127.0.0.1", Listener.local_endpoint().port()};
  CHECK_FALSE(await(Context, Client.exchange(Peer, typicalDigest(), 50ms)));
  tcp::socket Socket = Listener.accept();
  std::string Bytes(65536, '\0');
  Bytes.resize(Socket.read_some(boost::asio::buffer(Bytes)));
  return Bytes;
}

void throwAt(boost::asio::io_context &Context, const Endpoint &Peer, const std::string &Bytes) {
  tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::make_address(Peer.m_Address), Peer.m_Port});
  boost::system::error_code Ignored;
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  Context.restart();
  Context.run_for(2ms);
}

} // namespace

TEST_CASE("random, damaged and truncated bytes leave the server serving") {
  boost::asio::io_context Context;
  const RandomHook Random = seededRandom(20261204);
  const std::string Call = recordedCall(Context);
  REQUIRE(Call.size() > 500);
  PeerServer Server(Context, AnyPort, exchangeOnly());
  REQUIRE(Server.start());
  const Endpoint Peer = Server.address();
  for (int Round = 0; Round < 150; ++Round) {
    std::string Damaged = Call;
    for (std::uint64_t Flips = 1 + Random() % 8; Flips > 0; --Flips)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    throwAt(Context, Peer, Damaged);
    throwAt(Context, Peer, Call.substr(0, Random() % Call.size()));
    const std::uint32_t Words = static_cast<std::uint32_t>(1 + Random() % 64);
    throwAt(Context, Peer, frameHeader(Words) + randomBytes(Random, std::size_t{8} * Words));
    throwAt(Context, Peer, randomBytes(Random, Random() % 200));
  }
  PeerClient Client(Context);
  CHECK(await(Context, Client.exchange(Peer, typicalDigest())));
  Context.run_for(50ms);
  CHECK(Server.counters().m_Opened >= 600);
  CHECK(Server.counters().m_Open == 1);
}

TEST_CASE("a frame above the limit closes the connection before its bytes arrive") {
  boost::asio::io_context Context;
  PeerServer Server(Context, AnyPort, exchangeOnly());
  REQUIRE(Server.start());
  tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::address_v4::loopback(), Server.address().m_Port});
  boost::asio::write(Socket, boost::asio::buffer(frameHeader(0x7fffffffU)));
  Context.run_for(50ms);
  CHECK(Server.counters().m_Opened == 1);
  CHECK(Server.counters().m_Open == 0);
}

TEST_CASE("a server that answers with random bytes gives 701 or 702") {
  boost::asio::io_context Context;
  const RandomHook Random = seededRandom(7);
  tcp::acceptor Listener(Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint Peer{"127.0.0.1", Listener.local_endpoint().port()};
  PeerClient Client(Context);
  for (int Round = 0; Round < 100; ++Round) {
    const std::uint32_t Words = static_cast<std::uint32_t>(1 + Random() % 32);
    const std::string Answer =
        (Round % 2 == 0 ? frameHeader(Words) : std::string()) + randomBytes(Random, std::size_t{8} * Words);
    Listener.async_accept([&Answer](boost::system::error_code, tcp::socket Socket) {
      boost::system::error_code Ignored;
      boost::asio::write(Socket, boost::asio::buffer(Answer), Ignored);
      Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    });
    const Expected<PeerDigest> Outcome = await(Context, Client.exchange(Peer, typicalDigest(), 500ms));
    REQUIRE_FALSE(Outcome);
    const ErrorCode Code = Outcome.error().m_Code;
    CHECK((Code == ErrorCode::PeerUnreachable || Code == ErrorCode::PeerProtocol));
  }
}
