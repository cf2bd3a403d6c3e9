#ifndef BULRUSHPITCH_GATEWAY_SRC_TABLE_RELAY_H
#define BULRUSHPITCH_GATEWAY_SRC_TABLE_RELAY_H

#include "replica.h"

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/rpc/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace bulrushpitch {

/// @brief Answers daemons that follow this one: with rows that they lack, or with the times at which the
/// store last confirmed the tables.
///
/// Not thread-safe; used from one event loop.
class TableRelay {
public:
  /// @param Tables not null
  TableRelay(boost::asio::io_context &Context, std::vector<Replica *> Tables, ClockHook Clock);

  /// @brief Waits until there is something to answer, for at most the time that the caller allows.
  /// @return error 602 if none of the tables is known yet
  boost::asio::awaitable<Expected<PeerTableNewsList>> answer(PeerTableWatch Watch);
  /// @brief Called when a table has changed or was confirmed.
  void notify();

private:
  using Waiter = std::shared_ptr<OneShot<Done>>;

  /// A table that a caller asks for and that is known here.
  struct AskedTable {
    Replica *m_Known = nullptr;
    PeerHeldTable m_Held;
    TimePoint m_HeldConfirmedAt{};
  };

  std::vector<AskedTable> askedTables(const PeerTableWatch &Watch, TimePoint Start) const;
  /// @return whether to answer now
  bool hasAnswer(const std::vector<AskedTable> &Asked) const;
  PeerTableNewsList answerFor(const std::vector<AskedTable> &Asked) const;
  /// @return whether the caller should find a better source. While this daemon has only just turned to the
  /// store, callers are better off waiting.
  bool isCutOff(const Replica &Known) const;

  boost::asio::io_context &m_Context;
  std::vector<Replica *> m_Tables;
  ClockHook m_Clock;
  std::vector<Waiter> m_Waiters;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_TABLE_RELAY_H
