#include "store_feeds.h"

#include <algorithm>
#include <string>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr Duration MinBackoff = milliseconds(100);
constexpr Duration MaxBackoff = milliseconds(800);

} // namespace

StoreFeeds::StoreFeeds(asio::io_context &Context, ControlStore &Store, StoreEraTracker &Eras, EventLog &Log,
                       RandomHook Random, RestoredHook OnRestored)
    : m_Context(Context), m_Store(Store), m_Eras(Eras), m_Log(Log), m_Random(std::move(Random)),
      m_OnRestored(std::move(OnRestored)) {}

void StoreFeeds::observeEra(StoreEra Era, std::string_view Table) {
  const std::optional<StoreEra> Before = m_Eras.observe(Era);
  if (!Before)
    return;
  m_Log.add(LogClass::State, "store_restored",
            {{"table", Table},
             {"old_era", static_cast<std::int64_t>(Before->value())},
             {"new_era", static_cast<std::int64_t>(Era.value())}});
  m_OnRestored();
  for (const auto &Poll : m_OpenPolls)
    Poll.second();
}

Duration StoreFeeds::randomPause() { return Duration(m_Random() % MinBackoff.count()); }

bool StoreFeeds::accepts(const StoreFeed &Feed, StoreEra Era) {
  observeEra(Era, Feed.m_Name);
  if (m_Eras.accepts(Era, Feed.reads() ? std::nullopt : Feed.m_Cursor))
    return true;
  m_Log.add(LogClass::State, "store_response_dropped",
            {{"table", Feed.m_Name},
             {"era", static_cast<std::int64_t>(Era.value())},
             {"current", static_cast<std::int64_t>(m_Eras.current().value())}});
  return false;
}

asio::awaitable<void> StoreFeeds::pauseAfterRestore() {
  co_await sleepFor(m_Context, MinBackoff + randomPause());
}

asio::awaitable<void> StoreFeeds::waitBeforeNextCall(StoreFeed &Feed, CallResult Outcome) {
  const Error *Failure = Outcome.m_Failure;
  if (!Failure) {
    Feed.m_Cursor = Outcome.m_Cursor;
    Feed.m_Backoff = Duration::zero();
    if (Feed.m_Unavailable)
      m_Log.add(LogClass::State, "store_regained", {{"table", Feed.m_Name}});
    Feed.m_Unavailable = false;
    co_await sleepFor(m_Context, Feed.m_Interval);
    co_return;
  }
  if (Failure->m_Code == ErrorCode::HistoryLost) {
    m_Log.add(LogClass::State, "store_history_lost", {{"table", Feed.m_Name}});
    Feed.m_Cursor.reset();
    co_return;
  }
  if (!Feed.m_Unavailable) {
    const std::string Text = Failure->toString();
    m_Log.add(LogClass::State, "store_lost", {{"table", Feed.m_Name}, {"error", std::string_view(Text)}});
  }
  Feed.m_Unavailable = true;
  Feed.m_Backoff = std::clamp(Feed.m_Backoff * 2, MinBackoff, MaxBackoff);
  co_await sleepFor(m_Context, Feed.m_Backoff + randomPause());
}

} // namespace bulrushpitch
