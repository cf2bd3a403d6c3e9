#ifndef BULRUSHPITCH_GATEWAY_SRC_ORDER_RELAY_H
#define BULRUSHPITCH_GATEWAY_SRC_ORDER_RELAY_H

#include "order_book.h"

#include "bulrushpitch/net/async.h"
#include "bulrushpitch/rpc/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace bulrushpitch {

/// @brief Answers daemons that follow this one: with orders that they lack, or with the time at which the
/// store last confirmed the orders.
///
/// Not thread-safe; used from one event loop.
class OrderRelay {
public:
  OrderRelay(boost::asio::io_context &Context, OrderBook &Orders, ClockHook Clock);

  /// @brief Waits until there is something to answer, for at most the time that the caller allows.
  /// @return error 602 if no orders are known yet
  boost::asio::awaitable<Expected<PeerOrders>> answer(PeerOrderWatch Held);
  /// @brief Called when the orders have changed or were confirmed.
  void notify();

private:
  using Waiter = std::shared_ptr<OneShot<Done>>;

  /// @return the answer to give now; nothing to wait
  std::optional<PeerOrders> answerNow(const PeerOrderWatch &Held, TimePoint CallerConfirmedAt);
  PeerOrders confirmation() const;

  boost::asio::io_context &m_Context;
  OrderBook &m_Orders;
  ClockHook m_Clock;
  std::vector<Waiter> m_Waiters;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_ORDER_RELAY_H
