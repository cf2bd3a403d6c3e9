#ifndef BULRUSHPITCH_RPC_PEER_SERVER_H
#define BULRUSHPITCH_RPC_PEER_SERVER_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/rpc/counters.h"
#include "bulrushpitch/rpc/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bulrushpitch {

/// A hook that answers one method. Its Error reaches the caller with code, step, peer, ran and detail.
template <typename Request, typename Reply>
using PeerHook = std::function<boost::asio::awaitable<Expected<Reply>>(Request)>;

/// @brief The hooks that answer peers' calls. A call whose hook is not set fails with error 702.
///
/// Hooks run on the server's io_context as coroutines of their own and may wait. A hook goes on to its end
/// when the caller disconnects.
struct PeerHandler {
  PeerHook<PeerDigest, PeerDigest> m_Exchange;
  PeerHook<PeerFetch, PeerDelta> m_Fetch;
  PeerHook<PeerPermitRequest, PeerPermit> m_AcquirePermit;
  PeerHook<PeerPermitRequest, PeerPermit> m_RenewPermit;
  PeerHook<PeerPermitRequest, Done> m_ReleasePermit;
  PeerHook<PeerCharges, Done> m_HoldCharges;
  PeerHook<PeerCharges, Done> m_DropCharges;
  PeerHook<PeerProbe, PeerProbeResult> m_Probe;
  PeerHook<EventFilter, PeerTimeline> m_Timeline;
  PeerHook<Done, PeerStatus> m_Status;
  PeerHook<PeerTableWatch, PeerTableNewsList> m_WatchTables;
};

/// @brief Answers the calls of other daemons over Cap'n Proto RPC.
///
/// @code
/// PeerHandler Handler;
/// Handler.m_Status = [](Done) -> boost::asio::awaitable<Expected<PeerStatus>> { co_return PeerStatus{}; };
/// PeerServer Server(Context, {"127.0.0.1", 7000}, Handler);
/// Server.start();
/// @endcode
class PeerServer {
public:
  /// @param Context the loop on which connections and hooks run; used by one thread at a time
  /// @param Address the address to listen on; port 0 asks for a free one
  PeerServer(boost::asio::io_context &Context, Endpoint Address, PeerHandler Handler, PeerLimits Limits = {});
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// @brief Listens and accepts.
  /// @return error 901 with the address as peer if the address cannot be bound
  Result<void> start();
  /// @brief Closes the listener and every connection. Hooks that run go on, but their answers are dropped.
  void stop();
  /// @return the bound address; the port is the real one if 0 was asked for
  Endpoint address() const;
  /// @return traffic since the server was made
  PeerCounters counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_RPC_PEER_SERVER_H
