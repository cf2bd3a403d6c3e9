#ifndef BULRUSHPITCH_RPC_PEER_CLIENT_H
#define BULRUSHPITCH_RPC_PEER_CLIENT_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/rpc/counters.h"
#include "bulrushpitch/rpc/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace bulrushpitch {

/// @brief Calls other daemons over Cap'n Proto RPC, with one connection per peer.
///
/// A connection is made by the first call and again by the first call after it broke; nothing is sent twice.
/// Idle connections are closed after PeerLimits::m_IdleClose.
///
/// Errors of the connection carry the method as step and the endpoint as peer. 701: the peer cannot be
/// reached or did not answer in time. 702: it answered with something that cannot be read. Both are `Ran::No`
/// if the connection was not made and `Ran::Unknown` otherwise. An Error that the peer's hook returned
/// arrives as it is.
class PeerClient {
public:
  /// @param Context the loop on which connections run; used by one thread at a time
  explicit PeerClient(boost::asio::io_context &Context, PeerLimits Limits = {});
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  static constexpr Duration defaultTimeout = std::chrono::seconds(1);

  /// @brief Tells a peer what this daemon knows, and learns what the peer knows.
  /// @param Peer the peer's RPC address
  /// @param Timeout for connecting and for the answer together
  boost::asio::awaitable<Expected<PeerDigest>> exchange(Endpoint Peer, PeerDigest Digest,
                                                        Duration Timeout = defaultTimeout);
  /// @brief Fetches a configuration or the difference to one.
  boost::asio::awaitable<Expected<PeerDelta>> fetch(Endpoint Peer, PeerFetch Wanted,
                                                    Duration Timeout = defaultTimeout);
  boost::asio::awaitable<Expected<PeerPermit>> acquirePermit(Endpoint Peer, PeerPermitRequest Wanted,
                                                             Duration Timeout = defaultTimeout);
  boost::asio::awaitable<Expected<PeerPermit>> renewPermit(Endpoint Peer, PeerPermitRequest Held,
                                                           Duration Timeout = defaultTimeout);
  boost::asio::awaitable<Expected<Done>> releasePermit(Endpoint Peer, PeerPermitRequest Held,
                                                       Duration Timeout = defaultTimeout);
  /// @brief Asks a backup daemon to hold charges.
  boost::asio::awaitable<Expected<Done>> holdCharges(Endpoint Peer, PeerCharges Charges,
                                                     Duration Timeout = defaultTimeout);
  /// @brief Tells a backup daemon that charges are written.
  boost::asio::awaitable<Expected<Done>> dropCharges(Endpoint Peer, PeerCharges Charges,
                                                     Duration Timeout = defaultTimeout);
  /// @brief Asks a peer to reach a third daemon.
  boost::asio::awaitable<Expected<PeerProbeResult>> probe(Endpoint Peer, PeerProbe Target,
                                                          Duration Timeout = defaultTimeout);
  boost::asio::awaitable<Expected<PeerTimeline>> timeline(Endpoint Peer, EventFilter Filter,
                                                          Duration Timeout = defaultTimeout);
  boost::asio::awaitable<Expected<PeerStatus>> status(Endpoint Peer, Duration Timeout = defaultTimeout);
  /// @brief Waits for changes of tables that this daemon does not have.
  /// @param Timeout must exceed Held.m_Wait
  boost::asio::awaitable<Expected<PeerTableNewsList>> watchTables(Endpoint Peer, PeerTableWatch Held,
                                                                  Duration Timeout);

  /// @brief Closes every connection; calls that wait fail with 701. Later calls connect again.
  void closeAll();
  /// @return traffic since the client was made
  PeerCounters counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_RPC_PEER_CLIENT_H
