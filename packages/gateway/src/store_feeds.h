#ifndef BULRUSHPITCH_GATEWAY_SRC_STORE_FEEDS_H
#define BULRUSHPITCH_GATEWAY_SRC_STORE_FEEDS_H

#include "bulrushpitch/forward/store_era.h"
#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/net/async.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace bulrushpitch {

/// @brief State of the watch on one table of the store.
struct StoreFeed {
  std::string_view m_Name;
  Duration m_Interval{}; ///< Pause between two calls.
  Duration m_WatchTimeout{};
  std::optional<StoreCursor> m_Cursor = std::nullopt; ///< Empty: read the full snapshot next.
  Duration m_Backoff{};
  bool m_Unavailable = false;
  std::optional<StoreEra> m_AppliedEra = std::nullopt; ///< Era of the last response applied.
  bool m_ReadNext = false; ///< Read the full snapshot next, though a watch could go on from the cursor.

  bool reads() const { return m_ReadNext || !m_Cursor; }
};

/// @brief One watched table: its calls, and what the gateway does with its changes.
template <typename Changes> struct WatchedTable {
  StoreFeed m_Feed;
  std::function<boost::asio::awaitable<Expected<Changes>>(ControlStore &)> m_Read;
  std::function<boost::asio::awaitable<Expected<Changes>>(ControlStore &, std::uint64_t Cursor,
                                                          Duration Timeout)>
      m_Watch;
  /// May set the pause before the next call.
  std::function<void(StoreFeed &, Changes &)> m_Apply;
  /// Called before each call of the store. Returns whether the table is needed now; may choose the call.
  std::function<bool(StoreFeed &)> m_Prepare = [](StoreFeed &) { return true; };
  /// Called after a call that failed.
  std::function<void(const Error &)> m_Failed = [](const Error &) {};
};

/// @brief Reads tables of the store once and then watches them by long polls.
///
/// While the store is unavailable, calls are repeated with a backoff. When it has come back from an older
/// copy, open long polls are given up and each table is read again. Not thread-safe; used from one event
/// loop. Must be owned by a shared_ptr, which its calls extend.
class StoreFeeds : public std::enable_shared_from_this<StoreFeeds> {
public:
  /// Called once per restore of the store, before anything that was read after it is applied.
  using RestoredHook = std::function<void()>;

  StoreFeeds(boost::asio::io_context &Context, ControlStore &Store, StoreEraTracker &Eras, EventLog &Log,
             RandomHook Random, RestoredHook OnRestored);

  void stop() { m_Stopped = true; }
  /// @brief Takes the era of a response.
  /// @param Table the table that was called, for the log
  void observeEra(StoreEra Era, std::string_view Table);
  /// @return a short pause that spreads the calls of several tables and daemons
  Duration randomPause();

  /// @brief Follows a table until stop().
  template <typename Changes> void follow(WatchedTable<Changes> Table) {
    spawn(m_Context, run(shared_from_this(), std::move(Table)));
  }

private:
  /// Outcome of a call; nothing if a restore of the store made the call pointless.
  template <typename Changes> using Answer = std::optional<Expected<Changes>>;
  template <typename Changes> using PendingAnswer = OneShot<Answer<Changes>>;

  /// Result of one call, for scheduling the next one.
  struct CallResult {
    StoreCursor m_Cursor;
    const Error *m_Failure = nullptr;
  };

  /// Interval of the checks whether a table that is not needed is needed now.
  static constexpr Duration IdleInterval = std::chrono::milliseconds(200);
  /// Far above the timeout of any call.
  static constexpr Duration CallTimeLimit = std::chrono::minutes(10);

  template <typename Changes>
  static boost::asio::awaitable<void> run(std::shared_ptr<StoreFeeds> Self, WatchedTable<Changes> Table) {
    while (!Self->m_Stopped) {
      if (!Table.m_Prepare(Table.m_Feed)) {
        Table.m_Feed.m_Unavailable = false;
        co_await sleepFor(Self->m_Context, IdleInterval);
        continue;
      }
      Answer<Changes> Outcome = co_await Self->callNext(Table);
      if (!Outcome || (*Outcome && !Self->accepts(Table.m_Feed, (*Outcome)->m_Era))) {
        Table.m_Feed.m_Cursor.reset();
        co_await Self->pauseAfterRestore();
        continue;
      }
      if (*Outcome)
        applyAccepted(Table, **Outcome);
      else
        Table.m_Failed((*Outcome).error());
      co_await Self->waitBeforeNextCall(Table.m_Feed, callResultOf(*Outcome));
    }
  }

  /// Reads the full snapshot, or waits for changes since the last call.
  template <typename Changes> boost::asio::awaitable<Answer<Changes>> callNext(WatchedTable<Changes> &Table) {
    StoreFeed &Feed = Table.m_Feed;
    if (Feed.m_Cursor && m_Eras.isStale(Feed.m_Cursor->m_Era))
      Feed.m_Cursor.reset();
    if (Feed.reads())
      co_return co_await Table.m_Read(m_Store);
    const std::shared_ptr<PendingAnswer<Changes>> Pending =
        std::make_shared<PendingAnswer<Changes>>(m_Context);
    m_OpenPolls[Feed.m_Name] = [Pending] { Pending->set(std::nullopt); };
    spawn(m_Context, answer(Table.m_Watch(m_Store, Feed.m_Cursor->m_Version, Feed.m_WatchTimeout), Pending));
    const std::optional<Answer<Changes>> Outcome = co_await Pending->wait(CallTimeLimit);
    m_OpenPolls.erase(Feed.m_Name);
    co_return Outcome.value_or(std::nullopt);
  }

  template <typename Changes>
  static boost::asio::awaitable<void> answer(boost::asio::awaitable<Expected<Changes>> Call,
                                             std::shared_ptr<PendingAnswer<Changes>> Pending) {
    Answer<Changes> Outcome = co_await std::move(Call);
    Pending->set(std::move(Outcome));
  }

  template <typename Changes> static void applyAccepted(WatchedTable<Changes> &Table, Changes &Accepted) {
    StoreFeed &Feed = Table.m_Feed;
    Accepted.m_AfterRestore = Feed.m_AppliedEra && *Feed.m_AppliedEra != Accepted.m_Era;
    Feed.m_AppliedEra = Accepted.m_Era;
    Table.m_Apply(Feed, Accepted);
  }

  template <typename Changes> static CallResult callResultOf(const Expected<Changes> &Outcome) {
    return Outcome ? CallResult{{Outcome->m_Era, Outcome->m_Cursor}, nullptr}
                   : CallResult{{}, &Outcome.error()};
  }

  /// @return whether a response is still valid. Otherwise the table has to be read again.
  bool accepts(const StoreFeed &Feed, StoreEra Era);
  boost::asio::awaitable<void> pauseAfterRestore();
  /// Waits before the next call, and logs when the store becomes unavailable or available again.
  boost::asio::awaitable<void> waitBeforeNextCall(StoreFeed &Feed, CallResult Outcome);

  boost::asio::io_context &m_Context;
  ControlStore &m_Store;
  StoreEraTracker &m_Eras;
  EventLog &m_Log;
  RandomHook m_Random;
  RestoredHook m_OnRestored;
  bool m_Stopped = false;
  std::map<std::string_view, std::function<void()>> m_OpenPolls; ///< Ends the wait for a long poll, by table.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_STORE_FEEDS_H
