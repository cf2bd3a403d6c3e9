#ifndef BULRUSHPITCH_GATEWAY_SRC_TABLE_FOLLOWER_H
#define BULRUSHPITCH_GATEWAY_SRC_TABLE_FOLLOWER_H

#include "replicated_table.h"

#include "bulrushpitch/forward/relay_sources.h"
#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/rpc/messages.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Follows the daemons that relay the tables of the store, several at a time.
///
/// Not thread-safe; used from one event loop. Must be owned by a shared_ptr, which its calls extend.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
public:
  /// @param Tables not null; must outlive the calls
  TableFollower(boost::asio::io_context &Context, RelaySources &Sources, EventLog &Log, ClockHook Clock,
                TableWatchHook Watch, std::vector<ReplicatedTable *> Tables);

  void start();
  void stop() { m_Stopped = true; }
  /// @brief Logs from whom the tables come, if that has changed. Called periodically.
  void logSources();

private:
  static boost::asio::awaitable<void> follow(std::shared_ptr<TableFollower> Self);
  /// @return a daemon to follow that no other of the calls under way asks
  std::optional<ListedDaemon> nextRelay() const;
  boost::asio::awaitable<void> ask(ListedDaemon Relay);
  PeerTableWatch held() const;
  /// @brief Applies an answer.
  /// @param Asked what this daemon had when it asked
  /// @return error 702 if the relay is of no use
  Expected<Done> receive(const PeerTableWatch &Asked, const PeerTableNewsList &Answer);
  Expected<Done> receive(const PeerHeldTable &Asked, const PeerTableNews &News);
  void onFailed(const ListedDaemon &Relay, const Error &Failure);

  boost::asio::io_context &m_Context;
  RelaySources &m_Sources;
  EventLog &m_Log;
  ClockHook m_Clock;
  TableWatchHook m_Watch;
  std::vector<ReplicatedTable *> m_Tables;
  bool m_Stopped = false;
  std::set<RelayedTable> m_NeedsWhole; ///< Ask for these tables whole next.
  std::set<InstanceId> m_Asked;
  std::string m_LoggedSources;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_TABLE_FOLLOWER_H
