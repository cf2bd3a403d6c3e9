#include "daemon_list.h"

#include "outcome_log.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr Duration ListInterval = std::chrono::seconds(10);
/// The list grows with the number of daemons, and each of them reads it.
constexpr std::size_t DaemonsPerListInterval = 100;
/// While the list can't be read; see JoinProgress::joinTime().
constexpr int ListRetriesPerInterval = 5;
/// After the first reading: daemons that start together see each other only in the next one.
constexpr Duration SecondReadingPause = milliseconds(2000);
constexpr Duration HeartbeatInterval = std::chrono::seconds(30);
/// After a heartbeat or a first reading that failed.
constexpr Duration RetryInterval = milliseconds(800);
/// Spreads the registrations of all daemons after a restore of the store.
constexpr Duration MaxRegistrationPause = milliseconds(100);
/// Rank key that selects the daemon that removes the rows of expired daemons.
constexpr std::string_view CleanupKey = "lapsed daemons";

double inMilliseconds(Duration Value) { return std::chrono::duration<double, std::milli>(Value).count(); }

} // namespace

DaemonList::DaemonList(asio::io_context &Context, ControlStore &Store, GatewayState &State, EventLog &Log,
                       ClockHook Clock, RandomHook Random, ContactHook Contact, ListHook OnList)
    : m_Context(Context), m_Store(Store), m_State(State), m_Log(Log), m_Clock(std::move(Clock)),
      m_Random(std::move(Random)), m_Contact(std::move(Contact)), m_OnList(std::move(OnList)) {}

void DaemonList::start() {
  m_StartedAt = m_Clock();
  spawn(m_Context, run(shared_from_this()));
}

void DaemonList::onStoreRestored() { spawn(m_Context, registerAgain(shared_from_this())); }

asio::awaitable<void> DaemonList::run(std::shared_ptr<DaemonList> Self) {
  // The others are known before this daemon reads anything large, and its calls are timed before it says
  // whether it is near the store. Registering overwrites what the list says of the process before this one.
  co_await Self->readList();
  while (!Self->m_Stopped && !Self->m_Join.listRead()) {
    co_await sleepFor(Self->m_Context, RetryInterval);
    co_await Self->readList();
  }
  Duration Pause = SecondReadingPause;
  while (!Self->m_Stopped) {
    if (Self->isHeartbeatDue())
      co_await Self->sendHeartbeat();
    co_await sleepFor(Self->m_Context, Self->m_HeartbeatSentAt ? Self->pauseAfter(Pause) : RetryInterval);
    co_await Self->readList();
  }
}

Duration DaemonList::pauseAfter(Duration &NextPause) const {
  if (m_ListFailed)
    return listInterval() / ListRetriesPerInterval;
  return std::exchange(NextPause, listInterval());
}

Duration DaemonList::listInterval() const {
  const std::size_t Daemons = m_State.m_PlacementContext.m_Daemons.size();
  return ListInterval * std::max<std::size_t>(1, Daemons / DaemonsPerListInterval);
}

Duration DaemonList::maxListInterval() const {
  const std::size_t Daemons = m_State.m_PlacementContext.m_Daemons.size();
  return ListInterval * (Daemons / DaemonsPerListInterval + 1);
}

bool DaemonList::isCounted() const { return m_Join.isCounted(m_Clock(), maxListInterval()); }

void DaemonList::onTick() { m_State.setLimitShares(isCounted()); }

bool DaemonList::isHeartbeatDue() const {
  return !m_HeartbeatSentAt || m_Clock() - *m_HeartbeatSentAt >= HeartbeatInterval ||
         m_HeartbeatSaidCounted != isCounted();
}

asio::awaitable<void> DaemonList::sendHeartbeat() {
  const TimePoint Now = m_Clock();
  // A local, because g++ 12 destroys an aggregate twice that is a temporary of the co_await expression.
  DaemonHeartbeat Heartbeat{m_State.m_PlacementContext.m_Instance, m_Contact(), isCounted()};
  const bool Counted = Heartbeat.m_Counted;
  const Expected<Done> Registered = co_await m_Store.registerDaemon(std::move(Heartbeat));
  logFailure(m_Log, "heartbeat_failed", Registered);
  if (!Registered)
    co_return;
  m_HeartbeatSentAt = Now;
  m_HeartbeatSaidCounted = Counted;
  if (!m_Join.registered())
    openRetryBudgets();
  m_Join.onRegistered(m_Clock());
}

void DaemonList::openRetryBudgets() {
  const TimePoint Now = m_Clock();
  if (m_InheritedRetryUse)
    m_State.restoreRetryUse(*m_InheritedRetryUse, m_InheritedAt);
  const bool UseUnknown = m_Join.replacesProcess() && !m_InheritedRetryUse;
  // A process that was killed may have used all of its budgets just before this one started.
  if (UseUnknown)
    m_State.allowFewRetriesUntil(m_StartedAt + m_State.retryWindow());
  else
    m_State.allowRetriesFrom(Now);
  m_Log.add(
      LogClass::State, "retries_allowed",
      {{"after_ms", inMilliseconds(UseUnknown ? m_StartedAt + m_State.retryWindow() - Now : Duration())},
       {"inherited", static_cast<std::int64_t>(m_InheritedRetryUse.has_value())}});
}

asio::awaitable<void> DaemonList::handOver() {
  const TimePoint Now = m_Clock();
  const bool UseKnown = m_State.allowsRetries(Now);
  m_Stopped = true;
  m_State.allowRetriesFrom(TimePoint::max());
  if (!m_Join.registered() || !UseKnown)
    co_return;
  DaemonHeartbeat Last{m_State.m_PlacementContext.m_Instance, m_Contact(), isCounted(),
                       m_State.retryUse(Now)};
  const Expected<Done> Written = co_await m_Store.registerDaemon(std::move(Last));
  logFailure(m_Log, "retry_use_not_handed_over", Written);
}

asio::awaitable<void> DaemonList::readList() {
  const Expected<std::vector<ListedDaemon>> Listed = co_await m_Store.readDaemons();
  logFailure(m_Log, "daemons_not_read", Listed);
  m_ListFailed = !Listed || isOutdated(*Listed);
  if (m_ListFailed) {
    m_Join.onListFailed(m_Clock(), maxListInterval());
    m_OnList(m_Membership.aliveRows(m_Clock()));
    co_return;
  }
  const StoreEra Era = Listed->empty() ? m_State.m_StoreEras.current() : Listed->front().m_Era;
  if (std::exchange(m_ListEra, Era).value_or(Era) != Era)
    m_Membership.updateAfterRestore(*Listed, m_Clock());
  else
    m_Membership.update(*Listed, m_Clock());
  m_State.setDaemons(m_Membership.alive(m_Clock()));
  applyOwnRow(*Listed);
  onTick();
  m_OnList(m_Membership.aliveRows(m_Clock()));
  co_await removeExpired(m_Membership.expired(m_Clock()));
}

void DaemonList::applyOwnRow(const std::vector<ListedDaemon> &Listed) {
  const auto Own = std::find_if(Listed.begin(), Listed.end(), [this](const ListedDaemon &Daemon) {
    return Daemon.m_Id == m_State.m_PlacementContext.m_Instance;
  });
  const bool IsListed = Own != Listed.end();
  m_Join.onListRead(IsListed, IsListed && Own->m_Counted ? Own->m_HeartbeatAge : std::nullopt, m_Clock());
  if (m_Join.registered())
    return;
  m_InheritedRetryUse = IsListed ? Own->m_FinalRetryUse : std::nullopt;
  m_InheritedAt = m_Clock();
}

asio::awaitable<void> DaemonList::registerAgain(std::shared_ptr<DaemonList> Self) {
  const std::uint64_t Restores = Self->m_State.m_StoreEras.restores();
  Self->m_HeartbeatSentAt.reset();
  co_await sleepFor(Self->m_Context, Duration(Self->m_Random() % MaxRegistrationPause.count()));
  while (!Self->m_Stopped && !Self->m_HeartbeatSentAt && Restores == Self->m_State.m_StoreEras.restores()) {
    co_await Self->sendHeartbeat();
    co_await sleepFor(Self->m_Context, RetryInterval);
  }
  co_await Self->readList();
}

bool DaemonList::isOutdated(const std::vector<ListedDaemon> &Listed) const {
  return !Listed.empty() && m_State.m_StoreEras.isStale(Listed.front().m_Era);
}

asio::awaitable<void> DaemonList::removeExpired(std::vector<ListedDaemon> Expired) {
  if (daemonRank(CleanupKey, m_State.m_PlacementContext) != 0)
    co_return;
  for (const ListedDaemon &Daemon : Expired) {
    // Its evidence on crashes outlives it; the rows are removed together.
    if (m_State.m_PromptQuarantine.hasCrashesOf(Daemon.m_Id))
      continue;
    PromptEvidence Withdrawn;
    Withdrawn.m_Daemon = Daemon.m_Id;
    logFailure(m_Log, "crashes_not_removed", co_await m_Store.writePromptEvidence(std::move(Withdrawn)));
    const Expected<Done> Removed = co_await remove(Daemon);
    const std::string Outcome = outcomeText(Removed, "removed");
    m_Log.add(LogClass::State, "daemon_lapsed",
              {{"daemon", std::string_view(Daemon.m_Id.value())}, {"outcome", std::string_view(Outcome)}});
  }
}

asio::awaitable<Expected<Done>> DaemonList::remove(ListedDaemon Expired) {
  if (m_State.m_StoreEras.isStale(Expired.m_Era))
    co_return Error{ErrorCode::ConditionFailed, "remove daemon", "store", Ran::No,
                    "the store was restored after the row was read"};
  co_return co_await m_Store.removeDaemon(std::move(Expired));
}

} // namespace bulrushpitch
