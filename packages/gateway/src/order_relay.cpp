#include "order_relay.h"

#include "bulrushpitch/forward/order_sources.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A confirmation is passed on if it is so much newer than the caller's own.
constexpr Duration MinConfirmationGain = milliseconds(500);
constexpr Duration MaxWait = milliseconds(5000);

} // namespace

OrderRelay::OrderRelay(asio::io_context &Context, OrderBook &Orders, ClockHook Clock)
    : m_Context(Context), m_Orders(Orders), m_Clock(std::move(Clock)) {}

asio::awaitable<Expected<PeerOrders>> OrderRelay::answer(PeerOrderWatch Held) {
  const TimePoint Start = m_Clock();
  const TimePoint CallerConfirmedAt = Start - Held.m_Age;
  const TimePoint Deadline = Start + std::clamp<Duration>(Held.m_Wait, Duration::zero(), MaxWait);
  while (true) {
    if (std::optional<PeerOrders> Answer = answerNow(Held, CallerConfirmedAt))
      co_return std::move(*Answer);
    const Duration Remaining = Deadline - m_Clock();
    if (Remaining <= Duration::zero())
      break;
    const Waiter Waiting = std::make_shared<OneShot<Done>>(m_Context);
    m_Waiters.push_back(Waiting);
    static_cast<void>(co_await Waiting->wait(Remaining));
    std::erase(m_Waiters, Waiting);
  }
  if (!m_Orders.position())
    co_return Error{ErrorCode::PlatformUnavailable, "relay orders", "", Ran::No, "no orders are known yet"};
  co_return confirmation();
}

void OrderRelay::notify() {
  for (const Waiter &Waiting : std::exchange(m_Waiters, {}))
    Waiting->set(Done{});
}

std::optional<PeerOrders> OrderRelay::answerNow(const PeerOrderWatch &Held, TimePoint CallerConfirmedAt) {
  if (!m_Orders.position())
    return std::nullopt;
  if (m_Orders.hasNewsFor({StoreEra(Held.m_Era), Held.m_Version}, Held.m_Revision)) {
    PeerOrders News = confirmation();
    News.m_Bytes = m_Orders.encodedFor(Held.m_Revision);
    return News;
  }
  const bool Newer = m_Orders.confirmedAt() - CallerConfirmedAt >= MinConfirmationGain;
  // A caller that can find a better source should do so now.
  if (Newer || OrderSources::isStale(m_Clock() - m_Orders.confirmedAt()))
    return confirmation();
  return std::nullopt;
}

PeerOrders OrderRelay::confirmation() const {
  PeerOrders Answer;
  Answer.m_Era = m_Orders.position()->m_Era.value();
  Answer.m_Version = m_Orders.position()->m_Version;
  Answer.m_Age = std::chrono::duration_cast<milliseconds>(m_Clock() - m_Orders.confirmedAt());
  return Answer;
}

} // namespace bulrushpitch
