// Measures the cost of calls between daemons over loopback. Both ends run in this process: times and memory
// are those of caller and answerer together. Prints "name value unit" per line.
#include "bulrushpitch/rpc/rpc.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushpitch;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

double processorMicroseconds() {
  std::timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e6 + static_cast<double>(Now.tv_nsec) / 1e3;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

PeerDigest typicalDigest() {
  PeerDigest Digest;
  Digest.m_Instance = InstanceId("zapad-bratislava-a-017");
  Digest.m_Domain = DomainId("bratislava-a");
  Digest.m_Region = RegionId("zapad");
  Digest.m_Rpc = {"10.20.30.40", 7001};
  Digest.m_Admin = {"10.20.30.40", 7002};
  Digest.m_HeadReadAge = 850ms;
  for (std::size_t Index = 0; Index < PeerDigest::maxMembers; ++Index)
    Digest.m_Members.push_back({.m_Instance = InstanceId("zapad-bratislava-a-02" + std::to_string(Index)),
                                .m_Incarnation = 2,
                                .m_Beat = 1,
                                .m_Address = {"10.20.30.41", 7001},
                                .m_Domain = DomainId("trnava-a"),
                                .m_Confirmed = ConfigRevision(2300)});
  return Digest;
}

PeerHandler handler() {
  PeerHandler Handler;
  Handler.m_Exchange = [](PeerDigest Digest) -> awaitable<Expected<PeerDigest>> { co_return Digest; };
  // Revision 0 asks for a snapshot, any other for a difference of one object.
  Handler.m_Fetch = [](PeerFetch Wanted) -> awaitable<Expected<PeerDelta>> {
    const bool Full = Wanted.m_Since == ConfigRevision(0);
    co_return PeerDelta{Wanted.m_Since, ConfigRevision(9), Full, std::string(Full ? 100'000 : 400, 'x')};
  };
  return Handler;
}

/// Runs a coroutine to its end.
void run(boost::asio::io_context &Context, awaitable<void> Work) {
  bool Ended = false;
  boost::asio::co_spawn(Context, std::move(Work), [&Ended](const std::exception_ptr &) { Ended = true; });
  Context.restart();
  while (!Ended && Context.run_one() > 0) {
  }
}

template <typename T> void require(const Expected<T> &Outcome) {
  if (Outcome)
    return;
  std::cerr << Outcome.error() << '\n';
  std::exit(1);
}

enum class Call { Exchange, Delta, Snapshot };

awaitable<void> repeat(PeerClient &Client, Endpoint Peer, Call Kind, int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    if (Kind == Call::Exchange)
      require(co_await Client.exchange(Peer, typicalDigest(), 10s));
    else
      require(co_await Client.fetch(Peer, {ConfigRevision(Kind == Call::Delta ? 8 : 0)}, 10s));
  }
}

void measureCalls(const char *Name, Call Kind, int Count) {
  boost::asio::io_context Context;
  PeerServer Server(Context, {"127.0.0.1", 0}, handler());
  if (!Server.start())
    std::exit(1);
  PeerClient Client(Context);
  const auto Bytes = [&Client] {
    const PeerCounters Counters = Client.counters();
    return Counters.m_WireBytesSent + Counters.m_WireBytesReceived;
  };
  run(Context, repeat(Client, Server.address(), Kind, 1));
  const std::uint64_t First = Bytes();
  run(Context, repeat(Client, Server.address(), Kind, Count / 10)); // Fills caches.
  const std::uint64_t Before = Bytes();
  const double Start = processorMicroseconds();
  run(Context, repeat(Client, Server.address(), Kind, Count));
  const double Spent = processorMicroseconds() - Start;
  std::cout << Name << "_bytes " << (Bytes() - Before) / static_cast<unsigned>(Count) << " bytes\n"
            << Name << "_first_bytes " << First << " bytes\n"
            << Name << "_processor " << Spent / Count << " us\n";
}

void measureMemory(std::size_t Count) {
  boost::asio::io_context Context;
  PeerServer Server(Context, {"127.0.0.1", 0}, handler());
  if (!Server.start())
    std::exit(1);
  std::vector<std::unique_ptr<PeerClient>> Clients;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Clients.push_back(std::make_unique<PeerClient>(Context));
  run(Context, repeat(*Clients[0], Server.address(), Call::Exchange, 1));
  const double Before = heapBytes();
  for (std::size_t Index = 1; Index < Count; ++Index)
    run(Context, repeat(*Clients[Index], Server.address(), Call::Exchange, 1));
  std::cout << "rpc_connection_heap_both_ends " << (heapBytes() - Before) / static_cast<double>(Count - 1)
            << " bytes\n";
}

/// Counts connections that each daemon keeps when it calls one random peer a second and closes after 30 s.
void countConnections(std::size_t Daemons) {
  const RandomHook Random = seededRandom(1);
  const int Idle = static_cast<int>(PeerLimits().m_IdleClose / 1s);
  std::map<std::size_t, int> LastUsed;
  double Sum = 0;
  constexpr int Seconds = 10'000;
  for (int Second = 0; Second < Seconds; ++Second) {
    LastUsed[Random() % (Daemons - 1)] = Second;
    std::erase_if(LastUsed, [&](const std::pair<const std::size_t, int> &Item) {
      return Item.second <= Second - Idle;
    });
    Sum += static_cast<double>(LastUsed.size());
  }
  // As many peers call this daemon as it calls.
  std::cout << "rpc_connections_of_" << Daemons << "_daemons " << 2 * Sum / Seconds << " connections\n";
}

} // namespace

int main() {
  measureCalls("rpc_exchange", Call::Exchange, 20'000);
  measureCalls("rpc_fetch_delta", Call::Delta, 20'000);
  measureCalls("rpc_fetch_snapshot_100kB", Call::Snapshot, 2'000);
  measureMemory(400);
  countConnections(8);
  countConnections(400);
}
