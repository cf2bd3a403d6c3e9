#ifndef BULRUSHPITCH_RPC_COUNTERS_H
#define BULRUSHPITCH_RPC_COUNTERS_H

#include "bulrushpitch/rpc/messages.h"

#include <array>
#include <cstdint>

namespace bulrushpitch {

/// @brief Traffic of one method. Bytes are those of the arguments and results, without framing.
struct PeerMethodCounters {
  std::uint64_t m_MessagesSent = 0;
  std::uint64_t m_MessagesReceived = 0;
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_BytesReceived = 0;
  std::uint64_t m_Failures = 0; ///< Calls that ended in an Error.
};

/// @brief Traffic of a PeerServer or a PeerClient.
struct PeerCounters {
  std::array<PeerMethodCounters, peerMethodCount> m_Methods{};
  std::uint64_t m_WireBytesSent =
      0; ///< All bytes on the connections, with framing, without TCP and IP headers.
  std::uint64_t m_WireBytesReceived = 0;
  std::uint64_t m_Opened = 0;  ///< Connections made or accepted.
  std::uint64_t m_Refused = 0; ///< Connections closed at once because too many were open.
  std::size_t m_Open = 0;      ///< Connections open now.

  /// @return the counters of one method
  const PeerMethodCounters &of(PeerMethod Method) const {
    return m_Methods[static_cast<std::size_t>(Method)];
  }
};

/// @brief Limits that keep a faulty peer from using up memory.
struct PeerLimits {
  std::size_t m_MaxMessageBytes = std::size_t{4} << 20U; ///< A larger message closes the connection.
  std::size_t m_MaxConnections = 1024;                   ///< Further inbound connections are closed at once.
  Duration m_IdleClose = std::chrono::seconds(30);       ///< Connections without traffic are closed.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_RPC_COUNTERS_H
