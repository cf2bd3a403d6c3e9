#include "bulrushpitch/gateway/control_service.h"

#include "bulrushpitch/gateway/order_pacer.h"
#include "daemon_list.h"
#include "order_table.h"
#include "prompt_evidence_exchange.h"
#include "rollout_coordinator.h"
#include "store_feeds.h"
#include "table_follower.h"
#include "table_relay.h"
#include "upstream_table.h"

#include <utility>
#include <vector>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Timeout of one long poll. A dead connection is detected after this time at the latest.
constexpr Duration WatchTimeout = milliseconds(2500);
/// Long polls for the tables that daemons relay end together at this interval: their answers tell the
/// followers that nothing has changed, in one message for all tables.
constexpr Duration ConfirmationInterval = milliseconds(1000);
constexpr Duration MinRelayedWatchTimeout = milliseconds(250);
/// After the start; by then the other daemons are known.
constexpr Duration StartTime = milliseconds(4000);
/// A call of the store that takes longer crosses a link between regions.
constexpr Duration NearStoreCallTime = milliseconds(25);
/// Pause between long polls, so that one call returns several changes: each call is charged.
constexpr Duration WatchInterval = milliseconds(250);
/// The registry changes often while many upstreams start or stop together. This is a third of the time within
/// which a leaving upstream must stop getting requests.
constexpr Duration RegistryWatchInterval = milliseconds(1000);
/// Where few daemons read the registry for all others, and each relay on the way takes its time.
constexpr Duration RelayedRegistryWatchInterval = milliseconds(300);
/// Short, because the old version's upstreams stop as soon as a rollout is completed; decisions on rollouts
/// are rare.
constexpr Duration TrialStatusWatchInterval = milliseconds(40);
/// Many daemons write about one crash, one after the other. Changes are therefore collected for this time a
/// daemon of the deployment, so that the calls don't grow with the square of their number.
constexpr Duration CrashWatchIntervalPerDaemon = milliseconds(20);
/// Part of the bound of 4 s in which requests with a deadly part have to stop.
constexpr Duration MaxCrashWatchInterval = milliseconds(1500);
/// Each call is charged, and there is rarely anything to read; shorter than the store's history.
constexpr Duration CalmCrashWatchTimeout = milliseconds(15'000);
/// While a crash is known.
constexpr Duration CrashWatchTimeout = milliseconds(6000);
/// Several times the window over which requests are counted, so that shares of two epochs at most meet in it.
constexpr Duration ShareEpochTime = std::chrono::seconds(16);
/// Interval of onTick().
constexpr Duration TickInterval = milliseconds(200);
/// Batches the evidence of several daemons into one call.
constexpr Duration EvidenceWatchInterval = milliseconds(300);

} // namespace

class ControlService::Impl : public std::enable_shared_from_this<ControlService::Impl> {
public:
  Impl(asio::io_context &Context, ControlDependencies Dependencies)
      : m_Context(Context), m_Store(Dependencies.m_Store), m_State(Dependencies.m_State),
        m_Log(Dependencies.m_Log), m_Clock(std::move(Dependencies.m_Clock)),
        m_Random(std::move(Dependencies.m_Random)), m_WatchTables(std::move(Dependencies.m_WatchTables)),
        m_Contact(std::move(Dependencies.m_Contact)),
        m_Rollouts(std::make_shared<RolloutCoordinator>(Context, m_Store, m_State, m_Log, m_Clock)),
        m_PromptEvidence(std::make_shared<PromptEvidenceExchange>(Context, m_Store, m_State, m_Log, m_Clock)),
        m_Orders(m_State, m_Log, m_Clock, *m_Rollouts, orderHooks(std::move(Dependencies.m_OnConfig))),
        m_Upstreams(m_State, m_Log, m_Clock, *m_Rollouts, {eraHook(), [this] { m_Relay.notify(); }}),
        m_Relay(Context, {&m_Orders.replica(), &m_Upstreams.replica()}, m_Clock),
        m_Ticker(
            Context, [] { return TickInterval; }, [this] { onTick(); }),
        m_Sources(m_State.m_PlacementContext.m_Instance, m_State.m_PlacementContext.m_Region, m_Contact) {}

  void start() {
    m_StartedAt = m_Clock();
    const std::weak_ptr<Impl> Weak = weak_from_this();
    m_Feeds = std::make_shared<StoreFeeds>(m_Context, m_Store, m_State.m_StoreEras, m_Log, m_Random, [Weak] {
      if (const std::shared_ptr<Impl> Self = Weak.lock())
        Self->onStoreRestored();
    });
    m_Store.reportEras([Feeds = std::weak_ptr<StoreFeeds>(m_Feeds)](StoreEra Era, std::string_view Table) {
      if (const std::shared_ptr<StoreFeeds> Live = Feeds.lock())
        Live->observeEra(Era, Table);
    });
    m_Daemons = std::make_shared<DaemonList>(
        m_Context, m_Store, m_State, m_Log, m_Clock, m_Random,
        [Weak] {
          const std::shared_ptr<Impl> Self = Weak.lock();
          return Self ? Self->describeContact() : std::nullopt;
        },
        [Weak](std::vector<ListedDaemon> Alive) {
          if (const std::shared_ptr<Impl> Self = Weak.lock())
            Self->onDaemonsListed(std::move(Alive));
        });
    const std::vector<ReplicatedTable *> Tables{&m_Orders, &m_Upstreams};
    m_Follower = std::make_shared<TableFollower>(m_Context, m_Sources, m_Log, m_Clock, m_WatchTables, Tables);
    m_Feeds->follow(trialStatuses());
    m_Feeds->follow(evidence());
    m_Feeds->follow(promptEvidence());
    m_Daemons->start();
    m_Ticker.start();
  }

  void stop() {
    if (m_Feeds)
      m_Feeds->stop();
    if (m_Daemons)
      m_Daemons->stop();
    if (m_Follower)
      m_Follower->stop();
    m_Ticker.stop();
  }

  void startHandOver(std::function<void()> OnDone) {
    spawn(m_Context, handOver(shared_from_this(), std::move(OnDone)));
  }

  static asio::awaitable<void> handOver(std::shared_ptr<Impl> Self, std::function<void()> OnDone) {
    co_await Self->m_Daemons->handOver();
    OnDone();
  }

  asio::awaitable<Expected<PeerTableNewsList>> answerTableWatch(PeerTableWatch Watch) {
    return m_Relay.answer(std::move(Watch));
  }

private:
  ReplicatedTable::EraHook eraHook() {
    return [this](StoreEra Era, RelayedTable Table) { m_Feeds->observeEra(Era, nameOf(Table)); };
  }

  OrderTable::Hooks orderHooks(ControlDependencies::ConfigHook OnConfig) {
    OrderTable::Hooks Hooks;
    Hooks.m_ObserveEra = eraHook();
    Hooks.m_OnConfig = std::move(OnConfig);
    Hooks.m_OnConfirmed = [this] { m_Relay.notify(); };
    Hooks.m_OnRelayed = [this](bool ConfigChanged) {
      m_OrderPacer.onRead(ConfigChanged, Duration::zero(), m_Clock());
    };
    return Hooks;
  }

  /// @return what this daemon says of itself to those that may follow it
  std::optional<DaemonContact> describeContact() {
    std::optional<DaemonContact> Contact = m_Contact;
    if (!Contact)
      return std::nullopt;
    const std::optional<Duration> ShortestCall = m_Store.shortestCall();
    Contact->m_NearStore = ShortestCall && *ShortestCall < NearStoreCallTime;
    m_Sources.setNearStore(Contact->m_NearStore);
    return Contact;
  }

  /// Begins to follow the relayed tables once the other daemons are known: they may have them.
  void onDaemonsListed(std::vector<ListedDaemon> Alive) {
    m_Sources.setDaemons(m_WatchTables ? std::move(Alive) : std::vector<ListedDaemon>());
    if (std::exchange(m_FollowsTables, true))
      return;
    m_Feeds->follow(orders());
    m_Feeds->follow(upstreams());
    m_Follower->start();
  }

  /// Prepares the next call of the store for a relayed table.
  /// @return whether the table has to be read from the store
  bool prepareRelayed(ReplicatedTable &Table, StoreFeed &Feed) {
    if (!m_Sources.needsStore(Table.table(), Table.unconfirmedTime(), m_Clock()))
      return false;
    if (const std::optional<StoreCursor> Relayed = Table.takeRelayedCursor())
      Feed.m_Cursor = Relayed;
    Feed.m_WatchTimeout = isRelayed() ? timeUntilConfirmation() : WatchTimeout;
    return true;
  }

  /// @return time until the long polls for relayed tables end
  Duration timeUntilConfirmation() const {
    const Duration Time = ConfirmationInterval - m_Clock().time_since_epoch() % ConfirmationInterval;
    return Time < MinRelayedWatchTimeout ? Time + ConfirmationInterval : Time;
  }

  /// Tells the daemons that follow this one that it is of no use to them, if that is so.
  void onStoreFailed(ReplicatedTable &Table) {
    Table.replica().onStoreFailed();
    m_Relay.notify();
  }

  /// @return whether daemons relay the tables, or may do so soon
  bool isRelayed() const { return m_Clock() - m_StartedAt < StartTime || m_Sources.hasRelays(); }

  /// The orders as the store has them; not watched while relays confirm them.
  WatchedTable<OrderChanges> orders() {
    WatchedTable<OrderChanges> Table;
    Table.m_Feed.m_Name = nameOf(RelayedTable::Orders);
    Table.m_Read = &ControlStore::readOrders;
    Table.m_Watch = &ControlStore::watchOrders;
    Table.m_Prepare = [Self = shared_from_this()](StoreFeed &Feed) {
      if (!Self->prepareRelayed(Self->m_Orders, Feed))
        return false;
      Feed.m_ReadNext = Self->m_OrderPacer.next().m_Call == OrderCall::Read;
      Self->m_OrderCall = Feed.reads() ? OrderCall::Read : OrderCall::Watch;
      Self->m_OrderCallSentAt = Self->m_Clock();
      return true;
    };
    Table.m_Apply = [Self = shared_from_this()](StoreFeed &Feed, OrderChanges &Changes) {
      Feed.m_Interval = Self->applyOrders(Changes);
    };
    Table.m_Failed = [Self = shared_from_this()](const Error &Failure) {
      Self->onStoreFailed(Self->m_Orders);
      if (Failure.m_Code == ErrorCode::PlatformTimeout)
        Self->m_OrderPacer.onTimedOut(Self->m_OrderCall);
    };
    return Table;
  }

  /// @return pause before the next call for the orders
  Duration applyOrders(OrderChanges &Changes) {
    const bool FullSnapshot = Changes.m_FullSnapshot;
    const std::size_t SupersededCount = Changes.m_SupersededCount;
    const TimePoint Now = m_Clock();
    const bool ConfigChanged = m_Orders.apply(Changes, Now);
    const NextOrderCall Next = FullSnapshot ? m_OrderPacer.onRead(ConfigChanged, Now - m_OrderCallSentAt, Now)
                                            : m_OrderPacer.onWatched(ConfigChanged, SupersededCount, Now);
    return Next.m_Pause + (Next.m_Call == OrderCall::Read ? m_Feeds->randomPause() : Duration::zero());
  }

  /// The registry as the store has it; not watched while relays confirm it.
  WatchedTable<UpstreamChanges> upstreams() {
    WatchedTable<UpstreamChanges> Table;
    Table.m_Feed.m_Name = nameOf(RelayedTable::Upstreams);
    Table.m_Read = &ControlStore::readUpstreams;
    Table.m_Watch = &ControlStore::watchUpstreams;
    Table.m_Prepare = [Self = shared_from_this()](StoreFeed &Feed) {
      Feed.m_Interval = Self->isRelayed() ? RelayedRegistryWatchInterval : RegistryWatchInterval;
      return Self->prepareRelayed(Self->m_Upstreams, Feed);
    };
    Table.m_Apply = [Self = shared_from_this()](StoreFeed &Feed, UpstreamChanges &Changes) {
      if (Feed.m_Unavailable) {
        Self->m_Upstreams.onStoreRecovered();
        // A call of the slow watch on crashes may have been lost with the store.
        Self->m_PromptEvidence->readAll();
      }
      Self->m_Upstreams.apply(Changes, Self->m_Clock());
    };
    Table.m_Failed = [Self = shared_from_this()](const Error &) { Self->onStoreFailed(Self->m_Upstreams); };
    return Table;
  }

  /// The rollout statuses, watched only while a rollout runs: each daemon has to learn when another one has
  /// completed it or rolled it back.
  WatchedTable<TrialChanges> trialStatuses() {
    WatchedTable<TrialChanges> Table;
    Table.m_Feed = {"trials", TrialStatusWatchInterval, WatchTimeout};
    Table.m_Read = &ControlStore::readTrials;
    Table.m_Watch = &ControlStore::watchTrials;
    Table.m_Apply = [Self = shared_from_this()](StoreFeed &, TrialChanges &Changes) {
      Self->m_Rollouts->apply(Changes);
    };
    Table.m_Prepare = [Self = shared_from_this()](StoreFeed &Feed) {
      if (Self->m_Rollouts->takeStatusSnapshotNeeded())
        Feed.m_Cursor.reset();
      return Self->m_Rollouts->needsStatuses();
    };
    return Table;
  }

  /// The evidence, watched only on deciding daemons, and only once the version has responded here.
  WatchedTable<EvidenceChanges> evidence() {
    WatchedTable<EvidenceChanges> Table;
    Table.m_Feed = {"evidence", EvidenceWatchInterval, WatchTimeout};
    Table.m_Read = &ControlStore::readEvidence;
    Table.m_Watch = &ControlStore::watchEvidence;
    Table.m_Apply = [Self = shared_from_this()](StoreFeed &, EvidenceChanges &Changes) {
      Self->m_Rollouts->apply(Changes);
    };
    Table.m_Prepare = [Self = shared_from_this()](StoreFeed &Feed) {
      if (Self->m_Rollouts->takeEvidenceSnapshotNeeded())
        Feed.m_Cursor.reset();
      return Self->m_Rollouts->needsEvidence();
    };
    return Table;
  }

  /// The evidence on crashes that prompts cause, watched by all daemons: any of them may get the next
  /// request.
  WatchedTable<PromptEvidenceChanges> promptEvidence() {
    WatchedTable<PromptEvidenceChanges> Table;
    Table.m_Feed = {"crashes", WatchInterval, CalmCrashWatchTimeout};
    Table.m_Read = &ControlStore::readPromptEvidence;
    Table.m_Watch = &ControlStore::watchPromptEvidence;
    Table.m_Apply = [Self = shared_from_this()](StoreFeed &, PromptEvidenceChanges &Changes) {
      Self->m_PromptEvidence->apply(Changes);
    };
    Table.m_Prepare = [Self = shared_from_this()](StoreFeed &Feed) {
      Feed.m_WatchTimeout =
          Self->m_State.m_PromptQuarantine.hasCrashes() ? CrashWatchTimeout : CalmCrashWatchTimeout;
      Feed.m_Interval = std::clamp<Duration>(CrashWatchIntervalPerDaemon *
                                                 Self->m_State.m_PlacementContext.m_Daemons.size(),
                                             WatchInterval, MaxCrashWatchInterval);
      return true;
    };
    return Table;
  }

  /// Called once per restore of the store, before anything that was read after it is applied. Each table is
  /// then read again; its first changes have m_AfterRestore set.
  void onStoreRestored() {
    m_Upstreams.onStoreRecovered();
    m_Rollouts->onStoreRestored();
    m_PromptEvidence->onStoreRestored();
    m_Daemons->onStoreRestored();
  }

  void onTick() {
    m_State.m_Pool.expire(m_Clock());
    if (const std::optional<Duration> StoreTime = m_Store.storeTime())
      m_State.m_PlacementContext.m_ShareEpoch = static_cast<std::uint64_t>(*StoreTime / ShareEpochTime);
    m_Orders.onTick();
    m_Log.flush();
    m_Daemons->onTick();
    m_Rollouts->onTick();
    m_PromptEvidence->onTick();
    m_Follower->logSources();
  }

  asio::io_context &m_Context;
  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  RandomHook m_Random;
  TableWatchHook m_WatchTables;
  std::optional<DaemonContact> m_Contact;
  std::shared_ptr<RolloutCoordinator> m_Rollouts;
  std::shared_ptr<PromptEvidenceExchange> m_PromptEvidence;
  OrderTable m_Orders;
  UpstreamTable m_Upstreams;
  TableRelay m_Relay;
  Ticker m_Ticker;
  RelaySources m_Sources;
  std::shared_ptr<StoreFeeds> m_Feeds;       ///< Set by start().
  std::shared_ptr<DaemonList> m_Daemons;     ///< Set by start().
  std::shared_ptr<TableFollower> m_Follower; ///< Set by start().
  TimePoint m_StartedAt{};
  bool m_FollowsTables = false; ///< Whether the relayed tables are read and followed.
  OrderPacer m_OrderPacer;
  OrderCall m_OrderCall = OrderCall::Read; ///< The latest call for the orders.
  TimePoint m_OrderCallSentAt{};
};

ControlService::ControlService(asio::io_context &Context, ControlDependencies Dependencies)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Dependencies))) {}
ControlService::~ControlService() { m_Impl->stop(); }

Result<void> ControlService::start() {
  m_Impl->start();
  return {};
}
void ControlService::stop() { m_Impl->stop(); }
void ControlService::handOver(std::function<void()> OnDone) { m_Impl->startHandOver(std::move(OnDone)); }
asio::awaitable<Expected<PeerTableNewsList>> ControlService::answerTableWatch(PeerTableWatch Watch) {
  return m_Impl->answerTableWatch(std::move(Watch));
}

} // namespace bulrushpitch
