#ifndef BULRUSHPITCH_GATEWAY_SRC_ORDER_FOLLOWER_H
#define BULRUSHPITCH_GATEWAY_SRC_ORDER_FOLLOWER_H

#include "order_book.h"

#include "bulrushpitch/forward/order_sources.h"
#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/rpc/messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace bulrushpitch {

/// @brief Follows the daemons that relay the operators' orders, several at a time.
///
/// Not thread-safe; used from one event loop. Must be owned by a shared_ptr, which its calls extend.
class OrderFollower : public std::enable_shared_from_this<OrderFollower> {
public:
  /// What became of an answer.
  enum class Reception : std::uint8_t {
    Applied,   ///< Or known already.
    WrongBase, ///< The difference belongs to another configuration than the current one.
    Damaged    ///< The difference does not lead to the configuration intended.
  };
  /// Called for each answer. The orders are empty if the relay has none that were lacking.
  using ReceiveHook = std::function<Reception(const StoreCursor &Position, TimePoint ConfirmedAt,
                                              const std::optional<OrderSnapshot> &Orders)>;
  /// @return what this daemon has
  using HeldHook = std::function<PeerOrderWatch()>;

  OrderFollower(boost::asio::io_context &Context, OrderSources &Sources, EventLog &Log, ClockHook Clock,
                OrderWatchHook Watch, HeldHook Held, ReceiveHook Receive);

  void start();
  void stop() { m_Stopped = true; }
  /// @brief Logs from whom the orders come, if that has changed. Called periodically.
  void logSources();

private:
  static boost::asio::awaitable<void> follow(std::shared_ptr<OrderFollower> Self);
  /// @return a daemon to follow that no other of the calls under way asks
  std::optional<ListedDaemon> nextRelay() const;
  boost::asio::awaitable<void> ask(ListedDaemon Relay);
  void receive(const ListedDaemon &Relay, const PeerOrders &Answer);
  void onFailed(const ListedDaemon &Relay, const Error &Failure);

  boost::asio::io_context &m_Context;
  OrderSources &m_Sources;
  EventLog &m_Log;
  ClockHook m_Clock;
  OrderWatchHook m_Watch;
  HeldHook m_Held;
  ReceiveHook m_Receive;
  bool m_Stopped = false;
  bool m_NeedsWhole = false; ///< Ask for the whole configuration next.
  std::set<InstanceId> m_Asked;
  std::string m_LoggedSources;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_ORDER_FOLLOWER_H
