#ifndef BULRUSHPITCH_NET_SRC_DETAIL_DEADLINES_H
#define BULRUSHPITCH_NET_SRC_DETAIL_DEADLINES_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <unordered_set>

namespace bulrushpitch::detail {

/// @brief A socket whose operations are cancelled from a deadline on until it is disarmed or armed anew.
///
/// An operation that completes just at the deadline is not cancelled. A coroutine that starts one operation
/// after another has to check m_Expired between them.
struct Watched {
  explicit Watched(boost::asio::ip::tcp::socket Socket) : m_Socket(std::move(Socket)) {}

  boost::asio::ip::tcp::socket m_Socket;
  std::optional<std::chrono::steady_clock::time_point> m_Deadline;
  bool m_Expired = false;

  /// @brief Sets the deadline of the next operation.
  void arm(std::chrono::steady_clock::duration Timeout) {
    m_Expired = false;
    m_Deadline = std::chrono::steady_clock::now() + Timeout;
  }
  void disarm() { m_Deadline.reset(); }
};

/// @brief Checks all watched sockets at a fixed interval.
///
/// A timer for each operation costs a heap update for each token of each stream; one sweep costs a comparison
/// a socket.
class DeadlineSweeper : public std::enable_shared_from_this<DeadlineSweeper> {
public:
  DeadlineSweeper(boost::asio::io_context &Context, std::chrono::milliseconds Interval)
      : m_Timer(Context), m_Interval(Interval) {}

  void add(Watched &Added) {
    m_Watched.insert(&Added);
    if (!m_Running) {
      m_Running = true;
      schedule();
    }
  }
  void remove(Watched &Removed) { m_Watched.erase(&Removed); }
  std::size_t size() const { return m_Watched.size(); }

  /// @brief Closes every watched socket.
  void closeAll() {
    for (Watched *Entry : m_Watched) {
      boost::system::error_code Ignored;
      Entry->m_Socket.close(Ignored);
    }
  }

private:
  void schedule() {
    m_Timer.expires_after(m_Interval);
    m_Timer.async_wait([Self = weak_from_this()](boost::system::error_code Code) {
      if (std::shared_ptr<DeadlineSweeper> Alive = Self.lock(); Alive && !Code)
        Alive->sweep();
    });
  }
  void sweep() {
    const std::chrono::steady_clock::time_point Now = std::chrono::steady_clock::now();
    for (Watched *Entry : m_Watched) {
      if (!Entry->m_Deadline || *Entry->m_Deadline > Now)
        continue;
      // The deadline stays: no operation may be pending now, and the next one must not wait without end.
      Entry->m_Expired = true;
      boost::system::error_code Ignored;
      Entry->m_Socket.cancel(Ignored);
    }
    m_Running = !m_Watched.empty();
    if (m_Running)
      schedule();
  }

  boost::asio::steady_timer m_Timer;
  std::chrono::milliseconds m_Interval;
  std::unordered_set<Watched *> m_Watched;
  bool m_Running = false;
};

/// @brief Watches a socket as long as the guard lives.
class WatchGuard {
public:
  WatchGuard(std::shared_ptr<DeadlineSweeper> Sweeper, Watched &Guarded)
      : m_Sweeper(std::move(Sweeper)), m_Guarded(Guarded) {
    m_Sweeper->add(m_Guarded);
  }
  ~WatchGuard() { m_Sweeper->remove(m_Guarded); }
  WatchGuard(const WatchGuard &) = delete;
  WatchGuard &operator=(const WatchGuard &) = delete;

private:
  std::shared_ptr<DeadlineSweeper> m_Sweeper;
  Watched &m_Guarded;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_DEADLINES_H
