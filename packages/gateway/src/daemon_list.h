#ifndef BULRUSHPITCH_GATEWAY_SRC_DAEMON_LIST_H
#define BULRUSHPITCH_GATEWAY_SRC_DAEMON_LIST_H

#include "bulrushpitch/forward/daemon_membership.h"
#include "bulrushpitch/forward/join_progress.h"
#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/gateway_state.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/net/async.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace bulrushpitch {

/// @brief Keeps this daemon in the list of daemons by heartbeats, reads the list, and removes daemons whose
/// heartbeats have expired.
///
/// Not thread-safe; used from one event loop. Must be owned by a shared_ptr, which its store calls extend.
class DaemonList : public std::enable_shared_from_this<DaemonList> {
public:
  /// Called with the daemons that are alive, after each attempt to read the list.
  using ListHook = std::function<void(std::vector<ListedDaemon> Alive)>;
  /// Called before each heartbeat.
  /// @return what this daemon says of itself
  using ContactHook = std::function<std::optional<DaemonContact>()>;

  DaemonList(boost::asio::io_context &Context, ControlStore &Store, GatewayState &State, EventLog &Log,
             ClockHook Clock, RandomHook Random, ContactHook Contact, ListHook OnList);

  void start();
  void stop() { m_Stopped = true; }
  /// @brief Ends retries and heartbeats, and writes what this daemon has used of the retry budgets, for the
  /// next process under its id. Nothing is written if that isn't known.
  boost::asio::awaitable<void> handOver();
  /// @brief Gives this daemon its shares of the common limits once it is counted. Called periodically.
  void onTick();
  /// @brief Called when the store has come back from an older copy: registers again, as the row may be lost
  /// and the others' shares of the common limits would grow.
  void onStoreRestored();

private:
  static boost::asio::awaitable<void> run(std::shared_ptr<DaemonList> Self);
  /// @param NextPause the next pause if the list was read; set to the one after it
  Duration pauseAfter(Duration &NextPause) const;
  /// @return pause between two reads of the list, which grows with the number of daemons
  Duration listInterval() const;
  /// @return the longest such pause at any daemon, whose list may have other daemons than this one's
  Duration maxListInterval() const;
  static boost::asio::awaitable<void> registerAgain(std::shared_ptr<DaemonList> Self);
  boost::asio::awaitable<void> sendHeartbeat();
  boost::asio::awaitable<void> readList();
  /// Takes what the list says of this daemon, or of the process before it.
  void applyOwnRow(const std::vector<ListedDaemon> &Listed);
  /// Allows retries, within what the process before this one has left of the budgets.
  void openRetryBudgets();
  /// @return whether the list was read before a restore of the store
  bool isOutdated(const std::vector<ListedDaemon> &Listed) const;
  /// @return whether this daemon is counted by the others
  bool isCounted() const;
  bool isHeartbeatDue() const;
  /// @brief Removes the rows of expired daemons, on one daemon only. Otherwise the list of daemons would grow
  /// whenever daemons are replaced.
  boost::asio::awaitable<void> removeExpired(std::vector<ListedDaemon> Expired);
  boost::asio::awaitable<Expected<Done>> remove(ListedDaemon Expired);

  boost::asio::io_context &m_Context;
  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  RandomHook m_Random;
  ContactHook m_Contact;
  ListHook m_OnList;
  bool m_Stopped = false;
  bool m_ListFailed = false; ///< Whether the latest read of the list failed.
  DaemonMembership m_Membership;
  JoinProgress m_Join;
  std::optional<StoreEra> m_ListEra; ///< Era in which the list was last read.
  std::optional<TimePoint> m_HeartbeatSentAt;
  bool m_HeartbeatSaidCounted = false; ///< What the latest heartbeat said.
  TimePoint m_StartedAt{};
  /// Read before the own registration: what the process before this one has left behind.
  std::optional<ServiceRetryUse> m_InheritedRetryUse;
  TimePoint m_InheritedAt{};
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_DAEMON_LIST_H
