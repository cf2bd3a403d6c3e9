#include "bulrushpitch/gateway/control_service.h"

#include "bulrushpitch/gateway/order_pacer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Timeout of one long poll. A dead connection is detected after this time at the latest.
constexpr Duration WatchTimeout = milliseconds(2500);
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
constexpr Duration CrashPublishInterval = milliseconds(500);
constexpr Duration MinBackoff = milliseconds(100);
constexpr Duration MaxBackoff = milliseconds(800);
/// Registry entries that expired while the store was unavailable are written again within this time after its
/// recovery.
constexpr Duration EntryGracePeriod = milliseconds(2200);
constexpr Duration DaemonListInterval = std::chrono::seconds(10);
constexpr Duration HeartbeatInterval = std::chrono::seconds(30);
/// Rank key that selects the daemon that removes the rows of expired daemons.
constexpr std::string_view DaemonCleanupKey = "lapsed daemons";
/// Rank key of the order in which daemons clear parts of prompts.
constexpr std::string_view PartClearanceKey = "part clearance";
/// Interval of onTick(), and of the checks whether rollout statuses and evidence have to be watched.
constexpr Duration TickInterval = milliseconds(200);
/// Delay per rank before a daemon writes a rollout status, so that usually only the first one calls the
/// store.
constexpr Duration TrialWriteStagger = milliseconds(350);
constexpr Duration TrialWriteRetryInterval = milliseconds(700);
constexpr Duration EvidencePublishInterval = milliseconds(800);
/// Batches the evidence of several daemons into one call.
constexpr Duration EvidenceWatchInterval = milliseconds(300);

std::string_view nameOf(TrialState State) {
  switch (State) {
  case TrialState::Running:
    return "running";
  case TrialState::Completed:
    return "completed";
  case TrialState::RolledBack:
    return "rolled back";
  }
  return "unknown";
}

} // namespace

class ControlService::Impl : public std::enable_shared_from_this<ControlService::Impl> {
public:
  Impl(asio::io_context &Context, ControlStore &Store, GatewayState &State, EventLog &Log, ClockHook Clock,
       RandomHook Random, ConfigHook OnConfig)
      : m_Context(Context), m_Store(Store), m_State(State), m_Log(Log), m_Clock(std::move(Clock)),
        m_Random(std::move(Random)), m_OnConfig(std::move(OnConfig)),
        m_Ticker(
            Context, [] { return TickInterval; }, [this] { onTick(); }) {}

  void start() {
    spawn(m_Context, follow(shared_from_this(), orders()));
    spawn(m_Context, follow(shared_from_this(), upstreams()));
    spawn(m_Context, follow(shared_from_this(), trialStatuses()));
    spawn(m_Context, follow(shared_from_this(), evidence()));
    spawn(m_Context, follow(shared_from_this(), promptEvidence()));
    spawn(m_Context, followDaemons(shared_from_this()));
    m_Ticker.start();
  }

  void stop() {
    m_Stopped = true;
    m_Ticker.stop();
  }

private:
  /// State of the watch on one table of the store.
  struct Feed {
    std::string_view m_Name;
    Duration m_Interval = WatchInterval; ///< Pause between two calls.
    Duration m_WatchTimeout = WatchTimeout;
    std::optional<std::uint64_t> m_Cursor = std::nullopt; ///< Empty: read the full snapshot next.
    Duration m_Backoff{};
    bool m_Unavailable = false;
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
    std::function<void(Feed &, const Changes &)> m_Apply;
    /// Called before each call of the store. Returns whether the table is needed now; may choose the call.
    std::function<bool(Feed &)> m_Prepare = [](Feed &) { return true; };
    /// Called after a call that failed.
    std::function<void(const Error &)> m_Failed = [](const Error &) {};
  };

  WatchedTable<OrderChanges> orders() {
    WatchedTable<OrderChanges> Table;
    Table.m_Feed.m_Name = "orders";
    Table.m_Read = &ControlStore::readOrders;
    Table.m_Watch = &ControlStore::watchOrders;
    Table.m_Prepare = [this](Feed &Orders) {
      Orders.m_ReadNext = m_OrderPacer.next().m_Call == OrderCall::Read;
      m_OrderCall = Orders.reads() ? OrderCall::Read : OrderCall::Watch;
      m_OrderCallSentAt = m_Clock();
      return true;
    };
    Table.m_Apply = [this](Feed &Orders, const OrderChanges &Changes) {
      // A call of the slow watch on crashes may have been lost with the store.
      if (Orders.m_Unavailable)
        spawn(m_Context, readPromptEvidence(shared_from_this()));
      const bool ConfigChanged = apply(Changes);
      const TimePoint Now = m_Clock();
      m_State.m_OrdersReadAt = Now;
      const NextOrderCall Next = Changes.m_FullSnapshot
                                     ? m_OrderPacer.onRead(ConfigChanged, Now - m_OrderCallSentAt, Now)
                                     : m_OrderPacer.onWatched(ConfigChanged, Changes.m_SupersededCount, Now);
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
    Table.m_Apply = [this](Feed &Upstreams, const UpstreamChanges &Changes) {
      if (Upstreams.m_Unavailable)
        m_RegistryRecoveredAt = m_Clock();
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
    Table.m_Apply = [this](Feed &, const TrialChanges &Changes) { apply(Changes); };
    Table.m_Prepare = [this](Feed &Trials) {
      if (std::exchange(m_TrialSnapshotNeeded, false))
        Trials.m_Cursor.reset();
      return anyTrialRuns();
    };
    return Table;
  }

  /// The evidence, watched only on deciding daemons, and only once the version has responded here.
  WatchedTable<EvidenceChanges> evidence() {
    WatchedTable<EvidenceChanges> Table;
    Table.m_Feed = {"evidence", EvidenceWatchInterval};
    Table.m_Read = &ControlStore::readEvidence;
    Table.m_Watch = &ControlStore::watchEvidence;
    Table.m_Apply = [this](Feed &, const EvidenceChanges &Changes) { apply(Changes); };
    Table.m_Prepare = [this](Feed &) { return needsEvidence(); };
    return Table;
  }

  /// The evidence on crashes that prompts cause, watched by all daemons: any of them may get the next
  /// request.
  WatchedTable<PromptEvidenceChanges> promptEvidence() {
    WatchedTable<PromptEvidenceChanges> Table;
    Table.m_Feed = {"crashes", WatchInterval};
    Table.m_Read = &ControlStore::readPromptEvidence;
    Table.m_Watch = &ControlStore::watchPromptEvidence;
    Table.m_Apply = [this](Feed &, const PromptEvidenceChanges &Changes) { apply(Changes); };
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
      const Expected<Changes> Outcome = co_await Self->callNext(Table);
      if (Outcome)
        Table.m_Apply(Table.m_Feed, *Outcome);
      else
        Table.m_Failed(Outcome.error());
      co_await Self->waitBeforeNextCall(Table.m_Feed, callResultOf(Outcome));
    }
  }

  /// Reads the full snapshot, or waits for changes since the last call.
  template <typename Changes>
  asio::awaitable<Expected<Changes>> callNext(const WatchedTable<Changes> &Table) {
    const Feed &Followed = Table.m_Feed;
    return Followed.reads() ? Table.m_Read(m_Store)
                            : Table.m_Watch(m_Store, *Followed.m_Cursor, Followed.m_WatchTimeout);
  }

  /// Result of one call, for scheduling the next one.
  struct CallResult {
    std::uint64_t m_Cursor = 0;
    const Error *m_Failure = nullptr;
  };
  template <typename Changes> static CallResult callResultOf(const Expected<Changes> &Outcome) {
    return Outcome ? CallResult{Outcome->m_Cursor, nullptr} : CallResult{0, &Outcome.error()};
  }

  static asio::awaitable<void> followDaemons(std::shared_ptr<Impl> Self) {
    DaemonMembership Membership;
    std::optional<TimePoint> HeartbeatSentAt;
    while (!Self->m_Stopped) {
      const TimePoint Now = Self->m_Clock();
      if (!HeartbeatSentAt || Now - *HeartbeatSentAt >= HeartbeatInterval) {
        const Expected<Done> Registered =
            co_await Self->m_Store.registerDaemon(Self->m_State.m_PlacementContext.m_Instance);
        Self->logFailure("heartbeat_failed", Registered);
        if (Registered)
          HeartbeatSentAt = Now;
      }
      const Expected<std::vector<ListedDaemon>> Listed = co_await Self->m_Store.readDaemons();
      Self->logFailure("daemons_not_read", Listed);
      if (Listed) {
        Membership.update(*Listed, Self->m_Clock());
        Self->m_State.setDaemons(Membership.alive(Self->m_Clock()));
        co_await Self->removeExpired(Membership.expired(Self->m_Clock()));
      }
      co_await sleepFor(Self->m_Context, HeartbeatSentAt ? DaemonListInterval : MaxBackoff);
    }
  }

  /// Removes the rows of expired daemons, on one daemon only. Otherwise the list of daemons would grow
  /// whenever daemons are replaced.
  asio::awaitable<void> removeExpired(std::vector<ListedDaemon> Expired) {
    if (daemonRank(DaemonCleanupKey, m_State.m_PlacementContext) != 0)
      co_return;
    for (const ListedDaemon &Daemon : Expired) {
      // Its evidence on crashes outlives it; the rows are removed together.
      if (m_State.m_PromptQuarantine.hasCrashesOf(Daemon.m_Id))
        continue;
      PromptEvidence Withdrawn;
      Withdrawn.m_Daemon = Daemon.m_Id;
      logFailure("crashes_not_removed", co_await m_Store.writePromptEvidence(std::move(Withdrawn)));
      const Expected<Done> Removed = co_await m_Store.removeDaemon(Daemon);
      const std::string Outcome = outcomeText(Removed, "removed");
      m_Log.add(LogClass::State, "daemon_lapsed",
                {{"daemon", std::string_view(Daemon.m_Id.value())}, {"outcome", std::string_view(Outcome)}});
    }
  }

  /// Text of an outcome for the log: what was done, or the error.
  static std::string outcomeText(const Expected<Done> &Outcome, std::string_view DoneText) {
    return Outcome ? std::string(DoneText) : Outcome.error().toString();
  }

  template <typename Value> void logFailure(std::string_view Event, const Expected<Value> &Outcome) {
    if (Outcome)
      return;
    const std::string Text = Outcome.error().toString();
    m_Log.add(LogClass::State, Event, {{"error", std::string_view(Text)}});
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
    std::set<DomainId> Out = Changes.m_FullSnapshot ? std::set<DomainId>() : m_State.m_Pool.domainsOut();
    for (const DomainId &Domain : Changes.m_DomainsOut) {
      Out.insert(Domain);
      m_Log.add(LogClass::State, "domain_out", {{"domain", std::string_view(Domain.value())}});
    }
    for (const DomainId &Domain : Changes.m_DomainsBack) {
      Out.erase(Domain);
      m_Log.add(LogClass::State, "domain_back", {{"domain", std::string_view(Domain.value())}});
    }
    m_State.m_Pool.setDomainsOut(Out, m_Clock());
    for (const TrialOrder &Order : Changes.m_Trials)
      applyTrialOrder(Order);
    for (const ServiceId &Service : Changes.m_TrialsWithdrawn)
      m_State.m_Trials.erase(Service);
    return ConfigChanged;
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

  void applyTrialOrder(const TrialOrder &Order) {
    const VersionTrial *Existing = m_State.trialOf(Order.m_Service);
    if (Existing && Existing->order().m_OrderVersion == Order.m_OrderVersion)
      return;
    m_State.m_Trials.erase(Order.m_Service);
    m_State.m_Trials.emplace(Order.m_Service, VersionTrial(Order, m_State.trialExposure(), m_Clock()));
    m_TrialsWithStatus.erase(Order.m_Service);
    m_TrialSnapshotNeeded = true;
    m_Log.add(LogClass::State, "rollout_ordered",
              {{"service", std::string_view(Order.m_Service.value())},
               {"to", std::string_view(Order.m_TargetVersion.value())},
               {"time_limit_s", std::chrono::duration<double>(Order.m_TimeLimit).count()}});
  }

  void recordTrialUpstream(const RegisteredUpstream &Entry, TimePoint Now) {
    VersionTrial *Trial = m_State.trialOf(Entry.m_Service);
    if (Trial && Entry.m_Version == Trial->order().m_TargetVersion)
      Trial->onUpstreamRegistered(Now);
  }

  void apply(const UpstreamChanges &Changes) {
    const TimePoint Now = m_Clock();
    const Duration Grace = m_RegistryRecoveredAt && Now - *m_RegistryRecoveredAt < EntryGracePeriod
                               ? EntryGracePeriod - (Now - *m_RegistryRecoveredAt)
                               : Duration::zero();
    if (Changes.m_FullSnapshot) {
      m_State.m_Pool.replaceAll(Changes.m_Updated, Now, Grace);
      for (const RegisteredUpstream &Entry : Changes.m_Updated)
        recordTrialUpstream(Entry, Now);
      m_State.m_RegistryRead = true;
      return;
    }
    for (const RegisteredUpstream &Entry : Changes.m_Updated) {
      m_State.m_Pool.update(Entry, Now);
      recordTrialUpstream(Entry, Now);
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

  void apply(const TrialChanges &Changes) {
    for (const TrialStatus &Status : Changes.m_Updated) {
      VersionTrial *Trial = m_State.trialOf(Status.m_Service);
      m_StatusRowVersions[Status.m_Service] = Status.m_RowVersion;
      // A status older than the order belongs to an earlier rollout.
      if (!Trial || Status.m_TargetVersion != Trial->order().m_TargetVersion ||
          Status.m_RowVersion < Trial->order().m_OrderVersion)
        continue;
      m_TrialsWithStatus.insert(Status.m_Service);
      if (Trial->state() == Status.m_State)
        continue;
      Trial->setState(Status.m_State);
      m_Log.add(LogClass::State, "rollout_decided",
                {{"service", std::string_view(Status.m_Service.value())},
                 {"to", std::string_view(Status.m_TargetVersion.value())},
                 {"state", nameOf(Status.m_State)}});
    }
    if (!Changes.m_FullSnapshot || m_TrialSnapshotNeeded)
      return;
    for (auto &Entry : m_State.m_Trials)
      Entry.second.confirmDecisionsRead();
  }

  void apply(const EvidenceChanges &Changes) {
    for (const TrialEvidence &Evidence : Changes.m_Updated) {
      VersionTrial *Trial = m_State.trialOf(Evidence.m_Service);
      if (Trial && Evidence.m_OrderVersion == Trial->order().m_OrderVersion &&
          Evidence.m_Daemon != m_State.m_PlacementContext.m_Instance)
        Trial->onPeerEvidence(Evidence.m_Daemon, Evidence.m_Routes, m_Clock());
    }
  }

  void apply(const PromptEvidenceChanges &Changes) {
    if (Changes.m_FullSnapshot)
      m_State.m_PromptQuarantine.forgetOthers();
    m_State.m_PromptQuarantine.onEvidence(Changes.m_Updated, m_Clock());
  }

  static asio::awaitable<void> readPromptEvidence(std::shared_ptr<Impl> Self) {
    const Expected<PromptEvidenceChanges> Read = co_await Self->m_Store.readPromptEvidence();
    Self->logFailure("crashes_not_read", Read);
    if (Read)
      Self->apply(*Read);
  }

  bool needsEvidence() const {
    return std::any_of(m_State.m_Trials.begin(), m_State.m_Trials.end(), [this](const auto &Entry) {
      return Entry.second.state() == TrialState::Running && Entry.second.hasResponses() &&
             trialRole(Entry.first, m_State.m_PlacementContext).m_Decides;
    });
  }

  bool anyTrialRuns() const {
    return std::any_of(m_State.m_Trials.begin(), m_State.m_Trials.end(),
                       [](const auto &Entry) { return Entry.second.state() == TrialState::Running; });
  }

  void onTick() {
    m_State.m_Pool.expire(m_Clock());
    m_Log.flush();
    for (auto &Entry : m_State.m_Trials) {
      writeTrialStatusIfDue(Entry.first, Entry.second);
      publishEvidence(Entry.first, Entry.second);
    }
    m_State.m_PromptQuarantine.update(
        [this](const UpstreamIncarnation &Upstream, TimePoint After) {
          return m_State.m_Pool.survived(Upstream.m_Id, Upstream.m_StartedAt, After);
        },
        m_Clock());
    logQuarantineChanges();
    publishPromptEvidence();
  }

  void logQuarantineChanges() {
    const std::map<PromptPartId, CrashBlame> &Quarantined = m_State.m_PromptQuarantine.quarantined();
    for (const auto &Entry : Quarantined)
      if (m_LoggedQuarantine.insert(Entry.first).second)
        m_Log.add(LogClass::State, "prompt_part_quarantined",
                  {{"part", std::string_view(Entry.first.value())},
                   {"crashes", static_cast<std::int64_t>(Entry.second.m_Crashes)},
                   {"age_ms",
                    std::chrono::duration<double, std::milli>(m_Clock() - Entry.second.m_LastAt).count()}});
    std::erase_if(m_LoggedQuarantine, [&](const PromptPartId &Part) {
      if (Quarantined.count(Part) > 0)
        return false;
      m_Log.add(LogClass::State, "prompt_part_released", {{"part", std::string_view(Part.value())}});
      return true;
    });
  }

  void publishPromptEvidence() {
    const TimePoint Now = m_Clock();
    if (m_CrashWriteInProgress || Now < m_NextCrashWriteAt)
      return;
    std::optional<PromptEvidence> Evidence = m_State.m_PromptQuarantine.takeUnpublished(
        Now, daemonRank(PartClearanceKey, m_State.m_PlacementContext));
    if (!Evidence)
      return;
    m_CrashWriteInProgress = true;
    spawn(m_Context, writePromptEvidence(shared_from_this(), std::move(*Evidence)));
  }

  static asio::awaitable<void> writePromptEvidence(std::shared_ptr<Impl> Self, PromptEvidence Evidence) {
    const Expected<Done> Written = co_await Self->m_Store.writePromptEvidence(Evidence);
    Self->m_CrashWriteInProgress = false;
    Self->m_NextCrashWriteAt = Self->m_Clock() + CrashPublishInterval;
    if (!Written)
      Self->m_State.m_PromptQuarantine.onPublicationFailed();
    const std::string Outcome = outcomeText(Written, "written");
    Self->m_Log.add(LogClass::State, "crash_evidence",
                    {{"crashes", static_cast<std::int64_t>(Evidence.m_Crashes.size())},
                     {"sound", static_cast<std::int64_t>(Evidence.m_Sound.size())},
                     {"outcome", std::string_view(Outcome)}});
  }

  void writeTrialStatusIfDue(const ServiceId &Service, const VersionTrial &Trial) {
    if (Trial.state() != TrialState::Running || m_TrialSnapshotNeeded || m_TrialWriteInProgress)
      return;
    const TimePoint Now = m_Clock();
    const TrialState Verdict = Trial.verdict(Now);
    if (Verdict == TrialState::Running && m_TrialsWithStatus.count(Service) > 0) {
      m_TrialWriteDueSince.erase(Service);
      return;
    }
    const TimePoint DueSince = m_TrialWriteDueSince.emplace(Service, Now).first->second;
    const bool Urgent = Verdict == TrialState::RolledBack && Trial.hasRollbackEvidence();
    if (!Urgent &&
        Now - DueSince < TrialWriteStagger * daemonRank(Service.value(), m_State.m_PlacementContext))
      return;
    if (Now < m_NextTrialWriteAt)
      return;
    m_TrialWriteInProgress = true;
    spawn(m_Context, writeTrialStatus(shared_from_this(),
                                      TrialStatus{Service, Trial.order().m_TargetVersion, Verdict,
                                                  m_StatusRowVersions[Service]},
                                      Trial.evidence()));
  }

  void publishEvidence(const ServiceId &Service, VersionTrial &Trial) {
    const TimePoint Now = m_Clock();
    if (Trial.state() != TrialState::Running || Now < m_NextEvidenceAt)
      return;
    std::optional<std::vector<RouteEvidence>> Routes = Trial.takeUnpublishedEvidence(Now);
    if (!Routes)
      return;
    m_NextEvidenceAt = Now + EvidencePublishInterval;
    TrialEvidence Evidence{Service, Trial.order().m_TargetVersion, Trial.order().m_OrderVersion,
                           m_State.m_PlacementContext.m_Instance, std::move(*Routes)};
    spawn(m_Context, writeEvidence(shared_from_this(), std::move(Evidence),
                                   trialRole(Service, m_State.m_PlacementContext).m_Rank));
  }

  static asio::awaitable<void> writeEvidence(std::shared_ptr<Impl> Self, TrialEvidence Evidence,
                                             std::uint32_t Rank) {
    const Expected<Done> Written = co_await Self->m_Store.writeEvidence(Evidence, Rank);
    const std::string Outcome = outcomeText(Written, "written");
    for (const RouteEvidence &Route : Evidence.m_Routes)
      Self->m_Log.add(LogClass::State, "rollout_evidence",
                      {{"service", std::string_view(Evidence.m_Service.value())},
                       {"route", std::string_view(Route.m_Route)},
                       {"evidence", Route.m_Evidence},
                       {"answers", static_cast<std::int64_t>(Route.m_Responses)},
                       {"bad", static_cast<std::int64_t>(Route.m_Bad)},
                       {"outcome", std::string_view(Outcome)}});
  }

  static asio::awaitable<void> writeTrialStatus(std::shared_ptr<Impl> Self, TrialStatus Status,
                                                double Evidence) {
    Expected<Done> Written = co_await Self->m_Store.writeTrial(Status);
    Self->m_TrialWriteInProgress = false;
    Self->m_NextTrialWriteAt = Self->m_Clock() + TrialWriteRetryInterval;
    const std::string Outcome = outcomeText(Written, "written");
    Self->m_Log.add(LogClass::State, "rollout_state_write",
                    {{"service", std::string_view(Status.m_Service.value())},
                     {"state", nameOf(Status.m_State)},
                     {"evidence", Evidence},
                     {"outcome", std::string_view(Outcome)}});
    VersionTrial *Trial = Self->m_State.trialOf(Status.m_Service);
    if (Written && Trial && Trial->order().m_TargetVersion == Status.m_TargetVersion) {
      Trial->setState(Status.m_State);
      Self->m_TrialsWithStatus.insert(Status.m_Service);
    }
  }

  asio::io_context &m_Context;
  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  RandomHook m_Random;
  ConfigHook m_OnConfig;
  Ticker m_Ticker;
  bool m_Stopped = false;
  OrderPacer m_OrderPacer;
  OrderCall m_OrderCall = OrderCall::Read; ///< The latest call for the orders.
  TimePoint m_OrderCallSentAt{};
  std::optional<TimePoint> m_RegistryRecoveredAt;
  /// Read all rollout statuses again. Set by a new order, as its status may have been read and ignored before
  /// the order was known.
  bool m_TrialSnapshotNeeded = true;
  bool m_TrialWriteInProgress = false;
  TimePoint m_NextTrialWriteAt{};
  TimePoint m_NextEvidenceAt{};
  bool m_CrashWriteInProgress = false;
  TimePoint m_NextCrashWriteAt{};
  std::set<PromptPartId> m_LoggedQuarantine;
  std::set<ServiceId> m_TrialsWithStatus; ///< Services whose current rollout has a status in the store.
  std::map<ServiceId, TimePoint> m_TrialWriteDueSince;
  std::map<ServiceId, std::uint64_t> m_StatusRowVersions;
};

ControlService::ControlService(asio::io_context &Context, ControlStore &Store, GatewayState &State,
                               EventLog &Log, ClockHook Clock, RandomHook Random, ConfigHook OnConfig)
    : m_Impl(std::make_shared<Impl>(Context, Store, State, Log, std::move(Clock), std::move(Random),
                                    std::move(OnConfig))) {}
ControlService::~ControlService() { m_Impl->stop(); }

Result<void> ControlService::start() {
  m_Impl->start();
  return {};
}
void ControlService::stop() { m_Impl->stop(); }

} // namespace bulrushpitch
