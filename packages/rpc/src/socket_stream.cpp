#include "socket_stream.h"

#include <boost/asio/buffer.hpp>

#include <kj/debug.h>

#include <string>
#include <utility>

namespace bulrushpitch::detail {

namespace {

using boost::asio::ip::tcp;

kj::Exception disconnected(const char *Action, const boost::system::error_code &Code) {
  return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
          kj::str(Action, ": ", Code.message().c_str())};
}

bool wouldBlock(const boost::system::error_code &Code) {
  return Code == boost::asio::error::would_block || Code == boost::asio::error::try_again;
}

/// Drops the first @p Count bytes.
void consume(std::vector<boost::asio::const_buffer> &Buffers, std::size_t Count) {
  std::size_t Whole = 0;
  while (Whole < Buffers.size() && Count >= Buffers[Whole].size())
    Count -= Buffers[Whole++].size();
  Buffers.erase(Buffers.begin(), Buffers.begin() + static_cast<std::ptrdiff_t>(Whole));
  if (!Buffers.empty())
    Buffers.front() += Count;
}

} // namespace

SocketStream::SocketStream(std::shared_ptr<KjLoop> Loop, tcp::socket Socket,
                           std::shared_ptr<WireCounters> Counters)
    : m_Loop(std::move(Loop)), m_Socket(std::move(Socket)), m_Counters(std::move(Counters)),
      m_LastReceived(std::chrono::steady_clock::now()) {
  boost::system::error_code Ignored;
  m_Socket.non_blocking(true, Ignored);
  m_Socket.set_option(tcp::no_delay(true), Ignored);
}

SocketStream::~SocketStream() noexcept {
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
}

kj::Promise<void> SocketStream::ready(tcp::socket::wait_type Type) {
  kj::PromiseFulfillerPair<void> Pair = kj::newPromiseAndFulfiller<void>();
  // An aborted wait is reported as ready: the read or write that follows finds the socket closed.
  m_Socket.async_wait(
      Type, [Waiting = Fulfiller<void>(m_Loop, kj::mv(Pair.fulfiller))](boost::system::error_code) mutable {
        KjScope Scope(Waiting.loop());
        (*Waiting)->fulfill();
      });
  return kj::mv(Pair.promise);
}

kj::Promise<size_t> SocketStream::tryRead(void *Buffer, size_t MinBytes, size_t MaxBytes) {
  return readMore(static_cast<kj::byte *>(Buffer), MinBytes, MaxBytes, 0);
}

kj::Promise<size_t> SocketStream::readMore(kj::byte *Buffer, size_t MinBytes, size_t MaxBytes, size_t Have) {
  while (Have < MinBytes) {
    boost::system::error_code Code;
    const std::size_t Count = m_Socket.read_some(boost::asio::buffer(Buffer + Have, MaxBytes - Have), Code);
    if (wouldBlock(Code))
      return ready(tcp::socket::wait_read).then([this, Buffer, MinBytes, MaxBytes, Have] {
        return readMore(Buffer, MinBytes, MaxBytes, Have);
      });
    if (Code == boost::asio::error::eof)
      return Have;
    if (Code)
      return disconnected("read from peer", Code);
    Have += Count;
    m_Counters->m_Received += Count;
    m_LastReceived = std::chrono::steady_clock::now();
  }
  return Have;
}

kj::Promise<void> SocketStream::write(const void *Buffer, size_t Size) {
  return writeMore({boost::asio::const_buffer(Buffer, Size)});
}

kj::Promise<void> SocketStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) {
  std::vector<boost::asio::const_buffer> Buffers;
  Buffers.reserve(Pieces.size());
  for (const kj::ArrayPtr<const kj::byte> &Piece : Pieces)
    Buffers.emplace_back(Piece.begin(), Piece.size());
  return writeMore(std::move(Buffers));
}

kj::Promise<void> SocketStream::writeMore(std::vector<boost::asio::const_buffer> Rest) {
  consume(Rest, 0);
  while (!Rest.empty()) {
    boost::system::error_code Code;
    const std::size_t Count = m_Socket.write_some(Rest, Code);
    if (wouldBlock(Code))
      return ready(tcp::socket::wait_write).then([this, Rest = std::move(Rest)]() mutable {
        return writeMore(std::move(Rest));
      });
    if (Code)
      return disconnected("write to peer", Code);
    m_Counters->m_Sent += Count;
    consume(Rest, Count);
  }
  return kj::READY_NOW;
}

void SocketStream::shutdownWrite() {
  boost::system::error_code Ignored;
  m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
}

void SocketStream::abortRead() {
  boost::system::error_code Ignored;
  m_Socket.shutdown(tcp::socket::shutdown_receive, Ignored);
}

} // namespace bulrushpitch::detail
