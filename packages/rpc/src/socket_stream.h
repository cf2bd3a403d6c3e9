#ifndef BULRUSHPITCH_RPC_SRC_SOCKET_STREAM_H
#define BULRUSHPITCH_RPC_SRC_SOCKET_STREAM_H

#include "bulrushpitch/core/clock.h"
#include "kj_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <kj/async-io.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace bulrushpitch::detail {

/// @brief Bytes of all streams of one server or client.
struct WireCounters {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Received = 0;
};

/// @brief A KJ stream over an Asio socket. Counts bytes and remembers when some last arrived.
///
/// It waits for readiness and then reads or writes without blocking. A read that KJ drops therefore never
/// leaves an operation that writes to the caller's buffer.
class SocketStream final : public kj::AsyncIoStream {
public:
  /// @param Counters outlives the stream through shared ownership
  SocketStream(std::shared_ptr<KjLoop> Loop, boost::asio::ip::tcp::socket Socket,
               std::shared_ptr<WireCounters> Counters);
  ~SocketStream() noexcept;
  SocketStream(const SocketStream &) = delete;
  SocketStream &operator=(const SocketStream &) = delete;

  kj::Promise<size_t> tryRead(void *Buffer, size_t MinBytes, size_t MaxBytes) override;
  kj::Promise<void> write(const void *Buffer, size_t Size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override;
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
  void shutdownWrite() override;
  void abortRead() override;

  /// @return when bytes last arrived; the time of construction if none did
  TimePoint lastReceived() const { return m_LastReceived; }

private:
  kj::Promise<size_t> readMore(kj::byte *Buffer, size_t MinBytes, size_t MaxBytes, size_t Have);
  kj::Promise<void> writeMore(std::vector<boost::asio::const_buffer> Rest);
  kj::Promise<void> ready(boost::asio::ip::tcp::socket::wait_type Type);

  std::shared_ptr<KjLoop> m_Loop;
  boost::asio::ip::tcp::socket m_Socket;
  std::shared_ptr<WireCounters> m_Counters;
  TimePoint m_LastReceived;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_RPC_SRC_SOCKET_STREAM_H
