#include "bulrushpitch/net/async.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace bulrushpitch {

namespace asio = boost::asio;

struct Ticker::State {
  State(asio::io_context &Context, std::function<Duration()> Interval, std::function<void()> Call)
      : m_Timer(Context), m_Interval(std::move(Interval)), m_Call(std::move(Call)) {}

  asio::steady_timer m_Timer;
  std::function<Duration()> m_Interval;
  std::function<void()> m_Call;
  bool m_Running = false;
};

Ticker::Ticker(asio::io_context &Context, std::function<Duration()> Interval, std::function<void()> Call)
    : m_State(std::make_shared<State>(Context, std::move(Interval), std::move(Call))) {}

Ticker::~Ticker() { stop(); }

void Ticker::start() {
  if (m_State->m_Running)
    return;
  m_State->m_Running = true;
  schedule(m_State);
}

void Ticker::stop() {
  m_State->m_Running = false;
  m_State->m_Timer.cancel();
}

void Ticker::schedule(const std::shared_ptr<State> &Shared) {
  Shared->m_Timer.expires_after(Shared->m_Interval());
  Shared->m_Timer.async_wait([Weak = std::weak_ptr<State>(Shared)](boost::system::error_code Code) {
    const std::shared_ptr<State> Alive = Weak.lock();
    if (!Alive || Code || !Alive->m_Running)
      return;
    Alive->m_Call();
    if (Alive->m_Running)
      schedule(Alive);
  });
}

asio::awaitable<void> sleepFor(asio::io_context &Context, Duration Time) {
  asio::steady_timer Timer(Context, Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

void spawn(asio::io_context &Context, asio::awaitable<void> Task) {
  asio::co_spawn(Context, std::move(Task), [](const std::exception_ptr &Failure) {
    if (Failure)
      std::rethrow_exception(Failure);
  });
}

} // namespace bulrushpitch
