#include "bulrushpitch/gateway/control_service.h"

#include "bulrushpitch/forward/out_of_service_domains.h"
#include "bulrushpitch/gateway/order_pacer.h"
#include "daemon_list.h"
#include "order_book.h"
#include "order_follower.h"
#include "order_relay.h"
#include "prompt_evidence_exchange.h"
#include "rollout_coordinator.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Timeout of one long poll. A dead connection is detected after this time at the latest.
constexpr Duration WatchTimeout = milliseconds(2500);
/// Timeout of the long poll for orders where daemons relay them: its answers tell the followers that nothing
/// has changed.
constexpr Duration RelayedWatchTimeout = milliseconds(1000);
/// After the start; by then the other daemons are known.
constexpr Duration StartTime = milliseconds(4000);
/// A call of the store that takes longer crosses a link between regions.
constexpr Duration NearStoreCallTime = milliseconds(25);
/// Pause between long polls, so that one call returns several changes: each call is charged.
constexpr Duration WatchInterval = milliseconds(250);
/// The registry changes often while many upstreams start or stop together. This is a third of the time within
/// which a leaving upstream must stop getting requests.
constexpr Duration RegistryWatchInterval = milliseconds(1000);
/// Short, because the old version's upstreams stop as soon as a rollout is completed; decisions on rollouts
/// are rare.
constexpr Duration TrialStatusWatchInterval = milliseconds(40);
/// Each call is charged, and there is rarely anything to read; shorter than the store's history.
constexpr Duration CalmCrashWatchTimeout = milliseconds(15'000);
/// While a crash is known.
constexpr Duration CrashWatchTimeout = milliseconds(6000);
constexpr Duration MinBackoff = milliseconds(100);
constexpr Duration MaxBackoff = milliseconds(800);
/// Far above the timeout of any call.
constexpr Duration CallTimeLimit = std::chrono::minutes(10);
/// Registry entries that expired while the store was unavailable are written again within this time after its
/// recovery.
constexpr Duration EntryGracePeriod = milliseconds(2200);
/// Several times the window over which requests are counted, so that shares of two epochs at most meet in it.
constexpr Duration ShareEpochTime = std::chrono::seconds(16);
/// Orders of this age are logged as late: a configuration must be in force in about as long.
constexpr Duration LateOrdersAge = milliseconds(4000);
/// Interval of onTick(), and of the checks whether rollout statuses and evidence have to be watched.
constexpr Duration TickInterval = milliseconds(200);
/// Batches the evidence of several daemons into one call.
constexpr Duration EvidenceWatchInterval = milliseconds(300);

} // namespace

class ControlService::Impl : public std::enable_shared_from_this<ControlService::Impl> {
public:
  Impl(asio::io_context &Context, ControlDependencies Dependencies)
      : m_Context(Context), m_Store(Dependencies.m_Store), m_State(Dependencies.m_State),
        m_Log(Dependencies.m_Log), m_Clock(std::move(Dependencies.m_Clock)),
        m_Random(std::move(Dependencies.m_Random)), m_OnConfig(std::move(Dependencies.m_OnConfig)),
        m_WatchOrders(std::move(Dependencies.m_WatchOrders)), m_Contact(std::move(Dependencies.m_Contact)),
        m_Rollouts(std::make_shared<RolloutCoordinator>(Context, m_Store, m_State, m_Log, m_Clock)),
        m_PromptEvidence(std::make_shared<PromptEvidenceExchange>(Context, m_Store, m_State, m_Log, m_Clock)),
        m_Ticker(
            Context, [] { return TickInterval; }, [this] { onTick(); }),
        m_Relay(Context, m_OrderBook, m_Clock),
        m_Sources(m_State.m_PlacementContext.m_Instance, m_State.m_PlacementContext.m_Region, m_Contact) {}

  void start() {
    m_Store.reportEras([Weak = weak_from_this()](StoreEra Era, std::string_view Table) {
      if (const std::shared_ptr<Impl> Self = Weak.lock())
        Self->observeEra(Era, Table);
    });
    m_StartedAt = m_Clock();
    const std::weak_ptr<Impl> Weak = weak_from_this();
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
    m_Follower = makeFollower();
    spawn(m_Context, follow(shared_from_this(), upstreams()));
    spawn(m_Context, follow(shared_from_this(), trialStatuses()));
    spawn(m_Context, follow(shared_from_this(), evidence()));
    spawn(m_Context, follow(shared_from_this(), promptEvidence()));
    m_Daemons->start();
    m_Ticker.start();
  }

  void stop() {
    m_Stopped = true;
    if (m_Daemons)
      m_Daemons->stop();
    if (m_Follower)
      m_Follower->stop();
    m_Ticker.stop();
  }

  asio::awaitable<Expected<PeerOrders>> answerOrderWatch(PeerOrderWatch Held) {
    return m_Relay.answer(std::move(Held));
  }

private:
  /// State of the watch on one table of the store.
  struct Feed {
    std::string_view m_Name;
    Duration m_Interval = WatchInterval; ///< Pause between two calls.
    Duration m_WatchTimeout = WatchTimeout;
    std::optional<StoreCursor> m_Cursor = std::nullopt; ///< Empty: read the full snapshot next.
    Duration m_Backoff{};
    bool m_Unavailable = false;
    std::optional<StoreEra> m_AppliedEra = std::nullopt; ///< Era of the last response applied.
    bool m_ReadNext = false; ///< Read the full snapshot next, though a watch could go on from the cursor.

    bool reads() const { return m_ReadNext || !m_Cursor; }
  };

  /// One watched table: its calls, and what the gateway does with its changes.
  template <typename Changes> struct WatchedTable {
    Feed m_Feed;
    std::function<asio::awaitable<Expected<Changes>>(ControlStore &)> m_Read;
    std::function<asio::awaitable<Expected<Changes>>(ControlStore &, std::uint64_t Cursor, Duration Timeout)>
        m_Watch;
    /// May set the pause before the next call.
    std::function<void(Feed &, Changes &)> m_Apply;
    /// Called before each call of the store. Returns whether the table is needed now; may choose the call.
    std::function<bool(Feed &)> m_Prepare = [](Feed &) { return true; };
    /// Called after a call that failed.
    std::function<void(const Error &)> m_Failed = [](const Error &) {};
  };

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

  void onDaemonsListed(std::vector<ListedDaemon> Alive) {
    m_Sources.setDaemons(m_WatchOrders ? std::move(Alive) : std::vector<ListedDaemon>());
    if (std::exchange(m_OrdersStarted, true))
      return;
    spawn(m_Context, follow(shared_from_this(), orders()));
    m_Follower->start();
  }

  std::shared_ptr<OrderFollower> makeFollower() {
    const std::weak_ptr<Impl> Weak = weak_from_this();
    return std::make_shared<OrderFollower>(
        m_Context, m_Sources, m_Log, m_Clock, m_WatchOrders,
        [Weak] {
          const std::shared_ptr<Impl> Self = Weak.lock();
          return Self ? Self->heldOrders() : PeerOrderWatch{};
        },
        [Weak](const StoreCursor &Position, TimePoint ConfirmedAt,
               const std::optional<OrderSnapshot> &Orders) {
          const std::shared_ptr<Impl> Self = Weak.lock();
          return Self ? Self->receive(Position, ConfirmedAt, Orders) : OrderFollower::Reception::Applied;
        });
  }

  ConfigRevision revision() const {
    return m_State.m_ConfigIndex ? m_State.m_ConfigIndex->config().m_Revision : ConfigRevision();
  }

  /// @return time since the orders were last confirmed, or since the start
  Duration unconfirmedTime() const { return m_Clock() - m_State.m_OrdersReadAt.value_or(m_StartedAt); }

  /// @return what a relay is told of the orders known here
  PeerOrderWatch heldOrders() const {
    PeerOrderWatch Held;
    if (m_OrderBook.position()) {
      Held.m_Era = m_OrderBook.position()->m_Era.value();
      Held.m_Version = m_OrderBook.position()->m_Version;
    }
    Held.m_Revision = revision();
    Held.m_Age = std::chrono::duration_cast<milliseconds>(unconfirmedTime());
    return Held;
  }

  /// Applies what a relay has sent.
  OrderFollower::Reception receive(const StoreCursor &Position, TimePoint ConfirmedAt,
                                   const std::optional<OrderSnapshot> &Orders) {
    observeEra(Position.m_Era, "orders");
    if (m_State.m_StoreEras.isStale(Position.m_Era) || m_OrderBook.isOutdated(Position))
      return OrderFollower::Reception::Applied;
    if (!Orders) {
      if (m_OrderBook.isRestoredSince(Position.m_Era))
        return OrderFollower::Reception::Applied;
      m_RelayedCursor = Position;
      m_OrderBook.confirm(Position, ConfirmedAt);
      onOrdersConfirmed(ConfirmedAt);
      return OrderFollower::Reception::Applied;
    }
    OrderChanges Changes;
    if (Orders->m_Config && Orders->m_Config->m_Revision > revision()) {
      const ConfigDelta &Delta = *Orders->m_Config;
      if (Delta.m_Base != ConfigRevision() && Delta.m_Base != revision())
        return OrderFollower::Reception::WrongBase;
      const ForwardConfig Empty;
      Changes.m_Config =
          applyDelta(Delta.m_Base == ConfigRevision() ? Empty : m_State.m_ConfigIndex->config(), Delta);
      if (!Changes.m_Config) {
        m_Log.add(LogClass::State, "orders_damaged",
                  {{"base", static_cast<std::int64_t>(Delta.m_Base.value())},
                   {"revision", static_cast<std::int64_t>(Delta.m_Revision.value())}});
        return OrderFollower::Reception::Damaged;
      }
    }
    Changes.m_FullSnapshot = true;
    Changes.m_Era = Position.m_Era;
    Changes.m_Cursor = Position.m_Version;
    Changes.m_DomainsOut = Orders->m_DomainsOut;
    Changes.m_Trials = Orders->m_Trials;
    m_RelayedCursor = Position;
    const bool ConfigChanged = applyOrders(Changes, ConfirmedAt);
    m_OrderPacer.onRead(ConfigChanged, Duration::zero(), m_Clock());
    return OrderFollower::Reception::Applied;
  }

  /// Applies an answer about the orders unless a newer one has been applied, and passes them on.
  /// @return whether the configuration changed
  bool applyOrders(OrderChanges &Changes, TimePoint ConfirmedAt) {
    const StoreCursor Position{Changes.m_Era, Changes.m_Cursor};
    bool ConfigChanged = false;
    if (!m_OrderBook.isOutdated(Position)) {
      Changes.m_AfterRestore = m_OrderBook.isRestoredSince(Changes.m_Era);
      ConfigChanged = apply(Changes);
      m_OrderBook.apply(Changes, m_State.m_ConfigIndex, ConfirmedAt);
    }
    onOrdersConfirmed(ConfirmedAt);
    return ConfigChanged;
  }

  void onOrdersConfirmed(TimePoint ConfirmedAt) {
    m_State.m_OrdersReadAt = std::max(m_State.m_OrdersReadAt.value_or(ConfirmedAt), ConfirmedAt);
    m_Relay.notify();
  }

  /// The orders as the store has them; not watched while relays confirm them.
  WatchedTable<OrderChanges> orders() {
    WatchedTable<OrderChanges> Table;
    Table.m_Feed.m_Name = "orders";
    Table.m_Read = &ControlStore::readOrders;
    Table.m_Watch = &ControlStore::watchOrders;
    Table.m_Prepare = [this](Feed &Orders) {
      if (!m_Sources.needsStore(unconfirmedTime(), m_Clock()))
        return false;
      if (m_RelayedCursor)
        Orders.m_Cursor = std::exchange(m_RelayedCursor, std::nullopt);
      const bool Starting = m_Clock() - m_StartedAt < StartTime;
      Orders.m_WatchTimeout = Starting || m_Sources.hasRelays() ? RelayedWatchTimeout : WatchTimeout;
      Orders.m_ReadNext = m_OrderPacer.next().m_Call == OrderCall::Read;
      m_OrderCall = Orders.reads() ? OrderCall::Read : OrderCall::Watch;
      m_OrderCallSentAt = m_Clock();
      return true;
    };
    Table.m_Apply = [this](Feed &Orders, OrderChanges &Changes) {
      const bool FullSnapshot = Changes.m_FullSnapshot;
      const std::size_t SupersededCount = Changes.m_SupersededCount;
      const TimePoint Now = m_Clock();
      const bool ConfigChanged = applyOrders(Changes, Now);
      const NextOrderCall Next = FullSnapshot
                                     ? m_OrderPacer.onRead(ConfigChanged, Now - m_OrderCallSentAt, Now)
                                     : m_OrderPacer.onWatched(ConfigChanged, SupersededCount, Now);
      Orders.m_Interval = Next.m_Pause + (Next.m_Call == OrderCall::Read ? randomPause() : Duration::zero());
    };
    Table.m_Failed = [this](const Error &Failure) {
      if (Failure.m_Code == ErrorCode::PlatformTimeout)
        m_OrderPacer.onTimedOut(m_OrderCall);
    };
    return Table;
  }

  WatchedTable<UpstreamChanges> upstreams() {
    WatchedTable<UpstreamChanges> Table;
    Table.m_Feed = {"upstreams", RegistryWatchInterval};
    Table.m_Read = &ControlStore::readUpstreams;
    Table.m_Watch = &ControlStore::watchUpstreams;
    Table.m_Apply = [this](Feed &Upstreams, UpstreamChanges &Changes) {
      if (Upstreams.m_Unavailable) {
        m_RegistryRecoveredAt = m_Clock();
        // A call of the slow watch on crashes may have been lost with the store.
        m_PromptEvidence->readAll();
      }
      apply(Changes);
    };
    return Table;
  }

  /// The rollout statuses, watched only while a rollout runs: each daemon has to learn when another one has
  /// completed it or rolled it back.
  WatchedTable<TrialChanges> trialStatuses() {
    WatchedTable<TrialChanges> Table;
    Table.m_Feed = {"trials", TrialStatusWatchInterval};
    Table.m_Read = &ControlStore::readTrials;
    Table.m_Watch = &ControlStore::watchTrials;
    Table.m_Apply = [this](Feed &, TrialChanges &Changes) { m_Rollouts->apply(Changes); };
    Table.m_Prepare = [this](Feed &Trials) {
      if (m_Rollouts->takeStatusSnapshotNeeded())
        Trials.m_Cursor.reset();
      return m_Rollouts->needsStatuses();
    };
    return Table;
  }

  /// The evidence, watched only on deciding daemons, and only once the version has responded here.
  WatchedTable<EvidenceChanges> evidence() {
    WatchedTable<EvidenceChanges> Table;
    Table.m_Feed = {"evidence", EvidenceWatchInterval};
    Table.m_Read = &ControlStore::readEvidence;
    Table.m_Watch = &ControlStore::watchEvidence;
    Table.m_Apply = [this](Feed &, EvidenceChanges &Changes) { m_Rollouts->apply(Changes); };
    Table.m_Prepare = [this](Feed &Evidence) {
      if (m_Rollouts->takeEvidenceSnapshotNeeded())
        Evidence.m_Cursor.reset();
      return m_Rollouts->needsEvidence();
    };
    return Table;
  }

  /// The evidence on crashes that prompts cause, watched by all daemons: any of them may get the next
  /// request.
  WatchedTable<PromptEvidenceChanges> promptEvidence() {
    WatchedTable<PromptEvidenceChanges> Table;
    Table.m_Feed = {"crashes", WatchInterval};
    Table.m_Read = &ControlStore::readPromptEvidence;
    Table.m_Watch = &ControlStore::watchPromptEvidence;
    Table.m_Apply = [this](Feed &, PromptEvidenceChanges &Changes) { m_PromptEvidence->apply(Changes); };
    Table.m_Prepare = [this](Feed &Crashes) {
      Crashes.m_WatchTimeout =
          m_State.m_PromptQuarantine.hasCrashes() ? CrashWatchTimeout : CalmCrashWatchTimeout;
      return true;
    };
    return Table;
  }

  /// Reads a table once and then watches it, until the service stops.
  template <typename Changes>
  static asio::awaitable<void> follow(std::shared_ptr<Impl> Self, WatchedTable<Changes> Table) {
    while (!Self->m_Stopped) {
      if (!Table.m_Prepare(Table.m_Feed)) {
        co_await sleepFor(Self->m_Context, TickInterval);
        continue;
      }
      Answer<Changes> Outcome = co_await Self->callNext(Table);
      if (!Outcome || (*Outcome && !Self->accepts(Table.m_Feed, (*Outcome)->m_Era))) {
        Table.m_Feed.m_Cursor.reset();
        co_await sleepFor(Self->m_Context, MinBackoff + Self->randomPause());
        continue;
      }
      if (*Outcome)
        Self->applyAccepted(Table, **Outcome);
      else
        Table.m_Failed((*Outcome).error());
      co_await Self->waitBeforeNextCall(Table.m_Feed, callResultOf(*Outcome));
    }
  }

  /// Outcome of a call; nothing if a restore of the store made the call pointless.
  template <typename Changes> using Answer = std::optional<Expected<Changes>>;
  template <typename Changes> using PendingAnswer = OneShot<Answer<Changes>>;

  /// Reads the full snapshot, or waits for changes since the last call.
  template <typename Changes> asio::awaitable<Answer<Changes>> callNext(WatchedTable<Changes> &Table) {
    Feed &Followed = Table.m_Feed;
    if (Followed.m_Cursor && m_State.m_StoreEras.isStale(Followed.m_Cursor->m_Era))
      Followed.m_Cursor.reset();
    if (Followed.reads())
      co_return co_await Table.m_Read(m_Store);
    const std::shared_ptr<PendingAnswer<Changes>> Pending =
        std::make_shared<PendingAnswer<Changes>>(m_Context);
    m_OpenPolls[Followed.m_Name] = [Pending] { Pending->set(std::nullopt); };
    spawn(m_Context,
          answer(Table.m_Watch(m_Store, Followed.m_Cursor->m_Version, Followed.m_WatchTimeout), Pending));
    const std::optional<Answer<Changes>> Outcome = co_await Pending->wait(CallTimeLimit);
    m_OpenPolls.erase(Followed.m_Name);
    co_return Outcome.value_or(std::nullopt);
  }

  template <typename Changes>
  static asio::awaitable<void> answer(asio::awaitable<Expected<Changes>> Call,
                                      std::shared_ptr<PendingAnswer<Changes>> Pending) {
    Answer<Changes> Outcome = co_await std::move(Call);
    Pending->set(std::move(Outcome));
  }

  /// Returns whether a response is still valid. Otherwise the table has to be read again.
  bool accepts(const Feed &Table, StoreEra Era) {
    observeEra(Era, Table.m_Name);
    if (m_State.m_StoreEras.accepts(Era, Table.reads() ? std::nullopt : Table.m_Cursor))
      return true;
    m_Log.add(LogClass::State, "store_response_dropped",
              {{"table", Table.m_Name},
               {"era", static_cast<std::int64_t>(Era.value())},
               {"current", static_cast<std::int64_t>(m_State.m_StoreEras.current().value())}});
    return false;
  }

  template <typename Changes> void applyAccepted(WatchedTable<Changes> &Table, Changes &Accepted) {
    Feed &Followed = Table.m_Feed;
    Accepted.m_AfterRestore = Followed.m_AppliedEra && *Followed.m_AppliedEra != Accepted.m_Era;
    Followed.m_AppliedEra = Accepted.m_Era;
    Table.m_Apply(Followed, Accepted);
  }

  void observeEra(StoreEra Era, std::string_view Table) {
    if (const std::optional<StoreEra> Before = m_State.m_StoreEras.observe(Era))
      onStoreRestored(*Before, Era, Table);
  }

  /// Called once per restore of the store, before anything that was read after it is applied. Each table is
  /// then read again; its first changes have m_AfterRestore set.
  void onStoreRestored(StoreEra Before, StoreEra Now, std::string_view Table) {
    m_Log.add(LogClass::State, "store_restored",
              {{"table", Table},
               {"old_era", static_cast<std::int64_t>(Before.value())},
               {"new_era", static_cast<std::int64_t>(Now.value())}});
    m_RegistryRecoveredAt = m_Clock();
    m_Rollouts->onStoreRestored();
    m_PromptEvidence->onStoreRestored();
    m_Daemons->onStoreRestored();
    for (const auto &Poll : m_OpenPolls)
      Poll.second();
  }

  /// Result of one call, for scheduling the next one.
  struct CallResult {
    StoreCursor m_Cursor;
    const Error *m_Failure = nullptr;
  };
  template <typename Changes> static CallResult callResultOf(const Expected<Changes> &Outcome) {
    return Outcome ? CallResult{{Outcome->m_Era, Outcome->m_Cursor}, nullptr}
                   : CallResult{{}, &Outcome.error()};
  }

  /// Waits before the next call, and logs when the store becomes unavailable or available again.
  asio::awaitable<void> waitBeforeNextCall(Feed &Table, CallResult Outcome) {
    const Error *Failure = Outcome.m_Failure;
    if (!Failure) {
      Table.m_Cursor = Outcome.m_Cursor;
      Table.m_Backoff = Duration::zero();
      if (Table.m_Unavailable)
        m_Log.add(LogClass::State, "store_regained", {{"table", Table.m_Name}});
      Table.m_Unavailable = false;
      co_await sleepFor(m_Context, Table.m_Interval);
      co_return;
    }
    if (Failure->m_Code == ErrorCode::HistoryLost) {
      m_Log.add(LogClass::State, "store_history_lost", {{"table", Table.m_Name}});
      Table.m_Cursor.reset();
      co_return;
    }
    if (!Table.m_Unavailable) {
      const std::string Text = Failure->toString();
      m_Log.add(LogClass::State, "store_lost", {{"table", Table.m_Name}, {"error", std::string_view(Text)}});
    }
    Table.m_Unavailable = true;
    Table.m_Backoff = std::clamp(Table.m_Backoff * 2, MinBackoff, MaxBackoff);
    co_await sleepFor(m_Context, Table.m_Backoff + randomPause());
  }

  /// Spreads the calls of several tables and daemons.
  Duration randomPause() { return Duration(m_Random() % MinBackoff.count()); }

  /// @return whether the configuration changed
  bool apply(const OrderChanges &Changes) {
    const bool ConfigChanged = applyConfig(Changes);
    if (Changes.m_AfterRestore)
      m_DomainsOut.replaceAllAfterRestore(Changes.m_DomainsOut, m_Clock());
    else if (Changes.m_FullSnapshot)
      m_DomainsOut.replaceAll(Changes.m_DomainsOut);
    else
      m_DomainsOut.update(Changes.m_DomainsOut, Changes.m_DomainsBack);
    applyDomainsOut();
    for (const TrialOrder &Order : Changes.m_Trials)
      m_Rollouts->applyOrder(Order);
    for (const ServiceId &Service : Changes.m_TrialsWithdrawn)
      m_Rollouts->withdrawOrder(Service);
    if (Changes.m_FullSnapshot)
      m_Rollouts->onOrdersRead(Changes.m_Trials);
    return ConfigChanged;
  }

  /// Puts the failure domains out of service in force, and logs which have changed.
  void applyDomainsOut() {
    const std::set<DomainId> Before = m_State.m_Pool.domainsOut();
    const std::set<DomainId> Out = m_DomainsOut.domains();
    for (const DomainId &Domain : Out)
      if (Before.count(Domain) == 0)
        m_Log.add(LogClass::State, "domain_out", {{"domain", std::string_view(Domain.value())}});
    for (const DomainId &Domain : Before)
      if (Out.count(Domain) == 0)
        m_Log.add(LogClass::State, "domain_back", {{"domain", std::string_view(Domain.value())}});
    if (Before != Out)
      m_State.m_Pool.setDomainsOut(Out, m_Clock());
  }

  /// @return the routes that are bound to regions, for the log; only the first ones
  static std::string regionsByRoute(const ForwardConfig &Config) {
    constexpr std::size_t MaxTextBytes = 400;
    std::string Text;
    for (const ForwardRoute &Route : Config.m_Routes) {
      if (Route.m_Regions.empty() || Text.size() >= MaxTextBytes)
        continue;
      Text += (Text.empty() ? "" : " ") + Route.m_Name + "=" + joinRegions(Route.m_Regions);
    }
    return Text;
  }

  /// @return whether the configuration changed
  bool applyConfig(const OrderChanges &Changes) {
    if (!Changes.m_Config)
      return false;
    const ConfigRevision Revision = Changes.m_Config->m_Revision;
    if (m_State.m_ConfigIndex && Revision <= m_State.m_ConfigIndex->config().m_Revision)
      return false;
    m_State.m_ConfigIndex = std::make_shared<const ConfigIndex>(*Changes.m_Config);
    const std::string BoundRoutes = regionsByRoute(*Changes.m_Config);
    m_Log.add(
        LogClass::State, "config_applied",
        {{"revision", static_cast<std::int64_t>(Revision.value())},
         {"routes", static_cast<std::int64_t>(Changes.m_Config->m_Routes.size())},
         {"teams", static_cast<std::int64_t>(Changes.m_Config->m_Teams.size())},
         {"superseded", static_cast<std::int64_t>(Changes.m_SupersededCount)},
         {"orders_age_ms", std::chrono::duration<double, std::milli>(m_State.ordersAge(m_Clock())).count()},
         {"route_regions", std::string_view(BoundRoutes)}});
    m_OnConfig(m_State.m_ConfigIndex->config());
    return true;
  }

  void apply(const UpstreamChanges &Changes) {
    const TimePoint Now = m_Clock();
    const Duration Grace = m_RegistryRecoveredAt && Now - *m_RegistryRecoveredAt < EntryGracePeriod
                               ? EntryGracePeriod - (Now - *m_RegistryRecoveredAt)
                               : Duration::zero();
    if (Changes.m_FullSnapshot) {
      if (Changes.m_AfterRestore)
        m_State.m_Pool.replaceAllAfterRestore(Changes.m_Updated, Now, EntryGracePeriod);
      else
        m_State.m_Pool.replaceAll(Changes.m_Updated, Now, Grace);
      for (const RegisteredUpstream &Entry : Changes.m_Updated)
        m_Rollouts->recordUpstream(Entry, Now);
      m_State.m_RegistryRead = true;
      return;
    }
    for (const RegisteredUpstream &Entry : Changes.m_Updated) {
      m_State.m_Pool.update(Entry, Now);
      m_Rollouts->recordUpstream(Entry, Now);
      m_Log.add(LogClass::State, "upstream_changed",
                {{"upstream", std::string_view(Entry.m_Id.value())},
                 {"service", std::string_view(Entry.m_Service.value())},
                 {"domain", std::string_view(Entry.m_Domain.value())},
                 {"version", std::string_view(Entry.m_Version.value())},
                 {"draining", static_cast<std::int64_t>(Entry.m_Draining)},
                 {"cold_ms", std::chrono::duration<double, std::milli>(Entry.m_ColdPeriod).count()}});
    }
    for (const UpstreamId &Id : Changes.m_Removed) {
      m_State.m_Pool.remove(Id, Now, Grace);
      m_Log.add(LogClass::State, "upstream_removed",
                {{"upstream", std::string_view(Id.value())},
                 {"grace_ms", std::chrono::duration<double, std::milli>(Grace).count()}});
    }
  }

  void onTick() {
    m_State.m_Pool.expire(m_Clock());
    if (const std::optional<Duration> StoreTime = m_Store.storeTime())
      m_State.m_PlacementContext.m_ShareEpoch = static_cast<std::uint64_t>(*StoreTime / ShareEpochTime);
    if (!m_DomainsOut.expire(m_Clock()).empty())
      applyDomainsOut();
    m_Log.flush();
    m_Rollouts->onTick();
    m_PromptEvidence->onTick();
    m_Follower->logSources();
    logOrdersAge();
  }

  /// Logs when the orders become older than LateOrdersAge, and when they are confirmed again.
  void logOrdersAge() {
    const Duration Age = m_State.ordersAge(m_Clock());
    const bool Late = Age >= LateOrdersAge;
    if (std::exchange(m_OrdersLate, Late) == Late)
      return;
    const std::int64_t Revision =
        m_State.m_ConfigIndex ? static_cast<std::int64_t>(m_State.m_ConfigIndex->config().m_Revision.value())
                              : 0;
    m_Log.add(
        LogClass::State, Late ? "orders_late" : "orders_current",
        {{"revision", Revision}, {"orders_age_ms", std::chrono::duration<double, std::milli>(Age).count()}});
  }

  asio::io_context &m_Context;
  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  RandomHook m_Random;
  ControlDependencies::ConfigHook m_OnConfig;
  OrderWatchHook m_WatchOrders;
  std::optional<DaemonContact> m_Contact;
  std::shared_ptr<RolloutCoordinator> m_Rollouts;
  std::shared_ptr<PromptEvidenceExchange> m_PromptEvidence;
  Ticker m_Ticker;
  OrderBook m_OrderBook;
  OrderRelay m_Relay;
  OrderSources m_Sources;
  std::shared_ptr<DaemonList> m_Daemons;     ///< Set by start().
  std::shared_ptr<OrderFollower> m_Follower; ///< Set by start().
  TimePoint m_StartedAt{};
  /// Position of the latest relayed orders, if the store has not been called since.
  std::optional<StoreCursor> m_RelayedCursor;
  bool m_OrdersStarted = false; ///< Whether the orders are read and followed.
  bool m_Stopped = false;
  OrderPacer m_OrderPacer;
  OrderCall m_OrderCall = OrderCall::Read; ///< The latest call for the orders.
  TimePoint m_OrderCallSentAt{};
  std::map<std::string_view, std::function<void()>> m_OpenPolls; ///< Ends the wait for a long poll, by table.
  std::optional<TimePoint> m_RegistryRecoveredAt;
  OutOfServiceDomains m_DomainsOut;
  bool m_OrdersLate = false; ///< Whether the log says that the orders are late.
};

ControlService::ControlService(asio::io_context &Context, ControlDependencies Dependencies)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Dependencies))) {}
ControlService::~ControlService() { m_Impl->stop(); }

Result<void> ControlService::start() {
  m_Impl->start();
  return {};
}
void ControlService::stop() { m_Impl->stop(); }
asio::awaitable<Expected<PeerOrders>> ControlService::answerOrderWatch(PeerOrderWatch Held) {
  return m_Impl->answerOrderWatch(std::move(Held));
}

} // namespace bulrushpitch
