#ifndef BULRUSHPITCH_NET_ASYNC_H
#define BULRUSHPITCH_NET_ASYNC_H

#include "bulrushpitch/core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace bulrushpitch {

/// @brief A value that one coroutine waits for and a callback sets, once.
template <typename T> class OneShot {
public:
  explicit OneShot(boost::asio::io_context &Context) : m_Timer(Context) {}

  /// @brief Sets the value and wakes the waiting coroutine. A second value is ignored.
  void set(T Value) {
    if (m_Value)
      return;
    m_Value = std::move(Value);
    m_Timer.cancel();
  }

  /// @return the value, or nothing if it is not set yet
  const std::optional<T> &value() const { return m_Value; }

  /// @return the value, or nothing if it is not set within the timeout
  boost::asio::awaitable<std::optional<T>> wait(Duration Timeout) {
    if (!m_Value) {
      m_Timer.expires_after(Timeout);
      boost::system::error_code Ignored;
      co_await m_Timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
    }
    co_return m_Value;
  }

private:
  boost::asio::steady_timer m_Timer;
  std::optional<T> m_Value;
};

/// @brief Calls a function at an interval until it is stopped or destroyed.
class Ticker {
public:
  /// @param Interval asked before each wait, so that it may change
  Ticker(boost::asio::io_context &Context, std::function<Duration()> Interval, std::function<void()> Call);
  ~Ticker();
  Ticker(const Ticker &) = delete;
  Ticker &operator=(const Ticker &) = delete;

  void start();
  void stop();

private:
  struct State;
  static void schedule(const std::shared_ptr<State> &Shared);

  std::shared_ptr<State> m_State;
};

/// @brief Waits without blocking the loop.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &Context, Duration Time);

/// @brief Runs a coroutine by itself. An exception that leaves it ends the process, since it is a defect.
void spawn(boost::asio::io_context &Context, boost::asio::awaitable<void> Task);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_NET_ASYNC_H
