#include "../src/rollout_coordinator.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace bulrushpitch;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;

namespace {

const ServiceId TestService("s");

/// A store that records the writes; its tables are not read.
class WriteStore : public ControlStore {
public:
  explicit WriteStore(asio::io_context &Context) : m_Context(Context) {}

  void reportEras(EraHook) override {}
  asio::awaitable<Expected<Done>> writeTrial(TrialStatus Status) override {
    m_Statuses.push_back(Status);
    while (m_HoldsWrites)
      co_await sleepFor(m_Context, milliseconds(1));
    if (m_RejectsWrites)
      co_return unused();
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> writeEvidence(TrialEvidence Evidence, std::uint32_t) override {
    m_Evidence.push_back(std::move(Evidence));
    co_return Done{};
  }
  asio::awaitable<Expected<OrderChanges>> readOrders() override { co_return unused(); }
  asio::awaitable<Expected<OrderChanges>> watchOrders(std::uint64_t, Duration) override {
    co_return unused();
  }
  asio::awaitable<Expected<UpstreamChanges>> readUpstreams() override { co_return unused(); }
  asio::awaitable<Expected<UpstreamChanges>> watchUpstreams(std::uint64_t, Duration) override {
    co_return unused();
  }
  asio::awaitable<Expected<TrialChanges>> readTrials() override { co_return unused(); }
  asio::awaitable<Expected<TrialChanges>> watchTrials(std::uint64_t, Duration) override {
    co_return unused();
  }
  asio::awaitable<Expected<EvidenceChanges>> readEvidence() override { co_return unused(); }
  asio::awaitable<Expected<EvidenceChanges>> watchEvidence(std::uint64_t, Duration) override {
    co_return unused();
  }
  asio::awaitable<Expected<PromptEvidenceChanges>> readPromptEvidence() override { co_return unused(); }
  asio::awaitable<Expected<PromptEvidenceChanges>> watchPromptEvidence(std::uint64_t, Duration) override {
    co_return unused();
  }
  asio::awaitable<Expected<Done>> writePromptEvidence(PromptEvidence) override { co_return unused(); }
  asio::awaitable<Expected<Done>> registerDaemon(DaemonHeartbeat) override { co_return unused(); }
  std::optional<Duration> shortestCall() const override { return std::nullopt; }
  std::optional<Duration> storeTime() const override { return m_StoreTime; }
  asio::awaitable<Expected<Done>> removeDaemon(ListedDaemon) override { co_return unused(); }
  asio::awaitable<Expected<std::vector<ListedDaemon>>> readDaemons() override { co_return unused(); }

  Duration m_StoreTime{};
  bool m_HoldsWrites = false;
  bool m_RejectsWrites = false;
  std::vector<TrialStatus> m_Statuses;   ///< Written, in this order.
  std::vector<TrialEvidence> m_Evidence; ///< Written, in this order.

private:
  static Error unused() { return Error{ErrorCode::ConditionFailed, "call", "test", Ran::No, "rejected"}; }

  asio::io_context &m_Context;
};

TrialOrder orderTo(const std::string &Version, std::uint64_t OrderVersion) {
  return TrialOrder{TestService, VersionId(Version), seconds(100), OrderVersion};
}

/// The store's clock when the order of a test is given.
constexpr Duration StoreTimeAtOrder = seconds(5000);

struct Fixture {
  Fixture() {
    m_Store.m_StoreTime = StoreTimeAtOrder;
    GatewaySettings Settings;
    Settings.m_Instance = InstanceId("d0");
    Settings.m_Domain = DomainId("west-a");
    m_State.emplace(Settings);
    m_Log.emplace(
        systemClock(), systemWallClock(), [](std::string_view Text) { return Text.size(); }, 1000.0);
    m_Rollouts =
        std::make_shared<RolloutCoordinator>(m_Context, m_Store, *m_State, *m_Log, [this] { return m_Now; });
  }

  VersionTrial &trial() { return *m_State->trialOf(TestService); }

  /// Lets time pass for this daemon and for the store, whose clocks differ.
  void advance(Duration Interval) {
    m_Now += Interval;
    m_Store.m_StoreTime += Interval;
  }

  /// Runs the periodic calls of an interval.
  void run(Duration Interval) {
    constexpr Duration TickInterval = milliseconds(200);
    for (Duration Elapsed{}; Elapsed < Interval; Elapsed += TickInterval) {
      advance(TickInterval);
      m_Rollouts->onTick();
      m_Context.restart();
      m_Context.run_for(m_Store.m_HoldsWrites ? milliseconds(3) : milliseconds(100));
    }
  }

  /// What the control service does with a full snapshot of the orders.
  void readOrders(const std::vector<TrialOrder> &Orders) {
    for (const TrialOrder &Order : Orders)
      m_Rollouts->applyOrder(Order);
    m_Rollouts->onOrdersRead(Orders);
  }

  /// What the control service does when the statuses are due.
  void readStatuses(const std::vector<TrialStatus> &Statuses) {
    m_Rollouts->takeStatusSnapshotNeeded();
    TrialChanges Snapshot;
    Snapshot.m_FullSnapshot = true;
    Snapshot.m_Updated = Statuses;
    m_Rollouts->apply(Snapshot);
  }

  void changeStatus(TrialState State, std::uint64_t RowVersion) {
    TrialChanges Changes;
    Changes.m_Updated = {statusOf(State, RowVersion)};
    m_Rollouts->apply(Changes);
  }

  static TrialStatus statusOf(TrialState State, std::uint64_t RowVersion, std::uint64_t OrderVersion = 20) {
    return TrialStatus{TestService, VersionId("v2"), State, RowVersion, OrderVersion, StoreTimeAtOrder};
  }

  /// An order of version 20 whose status is in the store.
  void startTrial() {
    readOrders({orderTo("v2", 20)});
    readStatuses({statusOf(TrialState::Running, 21)});
  }

  /// A restored store with the order and a status "running"; row version 0: without the status.
  void restoreWithStatus(std::uint64_t RowVersion) {
    m_Rollouts->onStoreRestored();
    readOrders({orderTo("v2", 20)});
    readStatuses(RowVersion == 0 ? std::vector<TrialStatus>()
                                 : std::vector<TrialStatus>{statusOf(TrialState::Running, RowVersion)});
  }

  void recordFailures(int Count) {
    TrialSample Sample;
    Sample.m_OnNewVersion = true;
    Sample.m_Failed = true;
    for (int Failure = 0; Failure < Count; ++Failure)
      trial().record(Sample);
  }

  asio::io_context m_Context;
  WriteStore m_Store{m_Context};
  TimePoint m_Now = systemClock()();
  std::optional<GatewayState> m_State;
  std::optional<EventLog> m_Log;
  std::shared_ptr<RolloutCoordinator> m_Rollouts;
};

} // namespace

// Guards against sessions that go back to the old version: a daemon that is restarted during a rollout took
// it for just begun.
TEST_CASE_FIXTURE(Fixture, "a daemon that starts during a rollout takes its begin from the status") {
  advance(seconds(60));
  startTrial();
  CHECK(trial().begunAt() == m_Now - seconds(60));
  CHECK(trial().ruleFor(0, true, m_Now).m_RequiredVersion == VersionId("v2"));
  run(seconds(1));
  CHECK(m_Store.m_Statuses.empty());
}

// Guards against a begin that no later daemon can know.
TEST_CASE_FIXTURE(Fixture, "the status of a rollout says when its order was first read") {
  readOrders({orderTo("v2", 20)});
  readStatuses({});
  advance(seconds(10));
  run(milliseconds(200));
  REQUIRE(m_Store.m_Statuses.size() == 1);
  CHECK(m_Store.m_Statuses.front().m_OrderVersion == 20);
  CHECK(m_Store.m_Statuses.front().m_BegunAt == StoreTimeAtOrder);
}

// Guards against sessions that move at one daemon before the others, and back when it is restarted.
TEST_CASE_FIXTURE(Fixture, "sessions stay on the old version while the begin of the rollout isn't stored") {
  m_Store.m_RejectsWrites = true;
  readOrders({orderTo("v2", 20)});
  TrialStatus Unknown = statusOf(TrialState::Running, 21);
  SUBCASE("no status") { readStatuses({}); }
  SUBCASE("a status without the begin") {
    Unknown.m_BegunAt.reset();
    readStatuses({Unknown});
  }
  SUBCASE("the begin of another order") {
    Unknown.m_OrderVersion = 19;
    readStatuses({Unknown});
  }
  run(seconds(60));
  CHECK_FALSE(trial().ruleFor(0, true, m_Now).m_RequiredVersion);
  CHECK(trial().ruleFor(0, false, m_Now).m_RequiredVersion == VersionId("v2"));
  m_Store.m_RejectsWrites = false;
  run(seconds(1));
  CHECK(m_Store.m_Statuses.back().m_BegunAt == StoreTimeAtOrder);
  CHECK(trial().ruleFor(0, true, m_Now).m_RequiredVersion == VersionId("v2"));
}

// Guards against exposure and decisions that are forgotten when the operator writes its orders again.
// Guards against a rollout that goes on because its order was removed between two snapshots.
TEST_CASE_FIXTURE(Fixture,
                  "a rollout whose order is missing in a snapshot ends, unless a restore lost the order") {
  startTrial();
  SUBCASE("removed") {
    readOrders({});
    CHECK_FALSE(m_State->trialOf(TestService));
  }
  SUBCASE("lost") {
    m_Rollouts->onStoreRestored();
    readOrders({});
    CHECK(m_State->trialOf(TestService));
  }
}

TEST_CASE_FIXTURE(Fixture, "a rollout continues when its order is written again after a restore") {
  startTrial();
  recordFailures(1);
  m_Rollouts->onStoreRestored();
  SUBCASE("before the orders are read") { readOrders({orderTo("v2", 17)}); }
  SUBCASE("after the orders are read") {
    readOrders({});
    m_Rollouts->applyOrder(orderTo("v2", 17));
  }
  SUBCASE("after two restores") {
    readOrders({orderTo("v2", 33)});
    m_Rollouts->onStoreRestored();
    readOrders({orderTo("v2", 17)});
  }
  CHECK(trial().hasResponses());
  CHECK(trial().order().m_OrderVersion == 17);
}

TEST_CASE_FIXTURE(Fixture, "without a restore, or with its order confirmed after one, an order that is "
                           "written again is a new rollout") {
  startTrial();
  recordFailures(1);
  SUBCASE("no restore") {}
  SUBCASE("confirmed") {
    m_Rollouts->onStoreRestored();
    readOrders({orderTo("v2", 20)});
  }
  m_Rollouts->applyOrder(orderTo("v2", 22));
  CHECK_FALSE(trial().hasResponses());
}

// Guards against an order that is missed because its row version is given out a second time.
TEST_CASE_FIXTURE(Fixture, "another order with the same row version is a new rollout") {
  startTrial();
  recordFailures(1);
  m_Rollouts->onStoreRestored();
  TrialOrder Other = orderTo("v2", 20);
  SUBCASE("another version") { Other.m_TargetVersion = VersionId("v3"); }
  SUBCASE("another time limit") { Other.m_TimeLimit = seconds(50); }
  readOrders({Other});
  CHECK_FALSE(trial().hasResponses());
  CHECK(trial().order().m_TargetVersion == Other.m_TargetVersion);
  CHECK(trial().order().m_TimeLimit == Other.m_TimeLimit);
}

// Guards against a decision that no daemon can write, as its condition is of a row that the store has lost.
TEST_CASE_FIXTURE(Fixture, "a status is written under the row version that was read after the restore") {
  startTrial();
  m_Rollouts->onStoreRestored();
  readOrders({orderTo("v2", 20)});
  std::uint64_t RowVersion = 0;
  SUBCASE("the row is lost") { readStatuses({}); }
  SUBCASE("the row is older") {
    readStatuses({statusOf(TrialState::Completed, 7)});
    RowVersion = 7;
  }
  recordFailures(6);
  run(seconds(1));
  REQUIRE_FALSE(m_Store.m_Statuses.empty());
  CHECK(m_Store.m_Statuses.front().m_State == TrialState::RolledBack);
  CHECK(m_Store.m_Statuses.front().m_RowVersion == RowVersion);
}

// Guards against the status of an earlier rollout that counts because its row version was compared with that
// of an order from before the restore.
TEST_CASE_FIXTURE(Fixture, "no status is accepted until orders and statuses are read after a restore") {
  startTrial();
  m_Rollouts->onStoreRestored();
  changeStatus(TrialState::RolledBack, 23);
  CHECK(trial().state() == TrialState::Running);
  CHECK_FALSE(m_Rollouts->takeStatusSnapshotNeeded());
  CHECK_FALSE(m_Rollouts->needsStatuses());
  SUBCASE("of an earlier rollout") {
    readOrders({orderTo("v2", 25)});
    changeStatus(TrialState::RolledBack, 23);
    REQUIRE(m_Rollouts->takeStatusSnapshotNeeded());
    readStatuses({statusOf(TrialState::RolledBack, 23)});
    CHECK(trial().state() == TrialState::Running);
  }
  SUBCASE("of this rollout") {
    readOrders({orderTo("v2", 17)});
    changeStatus(TrialState::RolledBack, 18);
    CHECK(trial().state() == TrialState::Running);
    CHECK(m_Rollouts->needsStatuses());
    REQUIRE(m_Rollouts->takeStatusSnapshotNeeded());
    readStatuses({statusOf(TrialState::RolledBack, 18)});
    CHECK(trial().state() == TrialState::RolledBack);
  }
}

// Guards against a snapshot from before the restore that arrives after the orders.
TEST_CASE_FIXTURE(Fixture, "statuses whose read began before the restore are ignored") {
  startTrial();
  CHECK_FALSE(m_Rollouts->takeStatusSnapshotNeeded());
  m_Rollouts->onStoreRestored();
  readOrders({orderTo("v2", 17)});
  TrialChanges Late;
  Late.m_FullSnapshot = true;
  Late.m_Updated = {statusOf(TrialState::RolledBack, 24)};
  m_Rollouts->apply(Late);
  CHECK(trial().state() == TrialState::Running);
  CHECK(m_Rollouts->takeStatusSnapshotNeeded());
}

// Guards against decisions that are written under conditions of the store before the restore.
TEST_CASE_FIXTURE(Fixture, "no status is written until orders and statuses are read after a restore") {
  startTrial();
  m_Rollouts->onStoreRestored();
  recordFailures(6);
  run(seconds(1));
  CHECK(m_Store.m_Statuses.empty());
  SUBCASE("one restore") { readOrders({orderTo("v2", 20)}); }
  SUBCASE("two restores") {
    readOrders({orderTo("v2", 20)});
    readStatuses({statusOf(TrialState::Running, 21)});
    m_Rollouts->onStoreRestored();
    run(seconds(1));
    CHECK(m_Store.m_Statuses.empty());
    readOrders({orderTo("v2", 20)});
  }
  run(seconds(1));
  CHECK(m_Store.m_Statuses.empty());
  readStatuses({statusOf(TrialState::Running, 21)});
  run(seconds(1));
  REQUIRE(m_Store.m_Statuses.size() == 1);
  CHECK(m_Store.m_Statuses.front().m_RowVersion == 21);
}

// Guards against the status of a rollout whose order is not in force in the store.
TEST_CASE_FIXTURE(Fixture,
                  "while the operator has not written a lost order again, its rollout has no status") {
  startTrial();
  m_Rollouts->onStoreRestored();
  readOrders({});
  readStatuses({statusOf(TrialState::RolledBack, 24)});
  CHECK(trial().state() == TrialState::Running);
  recordFailures(6);
  run(seconds(1));
  CHECK(m_Store.m_Statuses.empty());
  std::uint64_t OrderVersion = 20;
  SUBCASE("written again") { OrderVersion = 22; }
  SUBCASE("written again with the same version") {}
  m_Rollouts->applyOrder(orderTo("v2", OrderVersion));
  REQUIRE(m_Rollouts->takeStatusSnapshotNeeded());
  readStatuses({statusOf(TrialState::RolledBack, 24)});
  CHECK(trial().state() == TrialState::RolledBack);
  CHECK(m_Store.m_Statuses.empty());
}

// Guards against a decision that the operator never learns, and against a rolled-back version that gets
// requests again.
TEST_CASE("a decision that was lost with a restore is written again, once") {
  for (const TrialState Decision : {TrialState::Completed, TrialState::RolledBack}) {
    for (const std::uint64_t RowVersion : {0, 21}) {
      CAPTURE(RowVersion);
      Fixture Each;
      Each.startTrial();
      Each.changeStatus(Decision, 30);
      Each.restoreWithStatus(RowVersion);
      CHECK(Each.trial().state() == Decision);
      CHECK(Each.m_Rollouts->needsStatuses());
      Each.run(seconds(3));
      REQUIRE(Each.m_Store.m_Statuses.size() == 1);
      CHECK(Each.m_Store.m_Statuses.front().m_State == Decision);
      CHECK(Each.m_Store.m_Statuses.front().m_RowVersion == RowVersion);
      CHECK_FALSE(Each.m_Rollouts->needsStatuses());
    }
  }
}

// Guards against a daemon that forgets a decision, as another one that doesn't know it writes first.
TEST_CASE_FIXTURE(Fixture, "a decision stands after another daemon has written that the rollout runs") {
  startTrial();
  changeStatus(TrialState::Completed, 30);
  restoreWithStatus(0);
  changeStatus(TrialState::Running, 26);
  CHECK(trial().state() == TrialState::Completed);
  run(seconds(3));
  REQUIRE(m_Store.m_Statuses.size() == 1);
  CHECK(m_Store.m_Statuses.front().m_State == TrialState::Completed);
  CHECK(m_Store.m_Statuses.front().m_RowVersion == 26);
}

TEST_CASE_FIXTURE(Fixture, "a decision that survived a restore is not written again") {
  startTrial();
  changeStatus(TrialState::Completed, 30);
  m_Rollouts->onStoreRestored();
  readOrders({orderTo("v2", 20)});
  readStatuses({statusOf(TrialState::Completed, 30)});
  run(seconds(3));
  CHECK(m_Store.m_Statuses.empty());
  CHECK_FALSE(m_Rollouts->needsStatuses());
}

TEST_CASE_FIXTURE(Fixture, "a daemon accepts a decision that another one has written again") {
  startTrial();
  m_Rollouts->onStoreRestored();
  readOrders({orderTo("v2", 20)});
  readStatuses({statusOf(TrialState::Running, 21)});
  changeStatus(TrialState::RolledBack, 26);
  CHECK(trial().state() == TrialState::RolledBack);
  run(seconds(3));
  CHECK(m_Store.m_Statuses.empty());
}

// Guards against a decision that is written for an order which is not in force any more.
TEST_CASE_FIXTURE(Fixture, "a lost decision is not written before its order, or for another one") {
  startTrial();
  changeStatus(TrialState::RolledBack, 30);
  m_Rollouts->onStoreRestored();
  SUBCASE("not in the store") { readOrders({}); }
  SUBCASE("withdrawn") {
    readOrders({orderTo("v2", 20)});
    m_Rollouts->withdrawOrder(TestService);
  }
  SUBCASE("another order") { readOrders({orderTo("v3", 20)}); }
  readStatuses({statusOf(TrialState::Running, 21)});
  run(seconds(3));
  for (const TrialStatus &Status : m_Store.m_Statuses)
    CHECK(Status.m_TargetVersion == VersionId("v3"));
}

// Guards against one store call by each daemon for the same decision.
TEST_CASE_FIXTURE(Fixture, "a lost decision is written again by the first daemon, others wait for it") {
  m_State->setDaemons({InstanceId("d0"), InstanceId("d1"), InstanceId("d2"), InstanceId("d3")});
  const std::uint32_t Rank = daemonRank(TestService.value(), m_State->m_PlacementContext);
  REQUIRE(Rank > 0);
  startTrial();
  recordFailures(6);
  changeStatus(TrialState::RolledBack, 30);
  m_Rollouts->onStoreRestored();
  readOrders({orderTo("v2", 20)});
  readStatuses({statusOf(TrialState::Running, 21)});
  CHECK(m_Rollouts->needsStatuses());
  run(milliseconds(300) * Rank);
  CHECK(m_Store.m_Statuses.empty());
  SUBCASE("it writes") {
    changeStatus(TrialState::RolledBack, 26);
    run(seconds(5));
    CHECK(m_Store.m_Statuses.empty());
  }
  SUBCASE("it does not write") {
    run(seconds(5));
    CHECK(m_Store.m_Statuses.size() == 1);
  }
}

// Guards against a decision that is taken for stored, as the store accepted it before it was restored.
TEST_CASE_FIXTURE(Fixture,
                  "the answer to a status write from before a restore does not mean that it is stored") {
  startTrial();
  recordFailures(6);
  m_Store.m_HoldsWrites = true;
  run(milliseconds(400));
  REQUIRE(m_Store.m_Statuses.size() == 1);
  std::uint64_t RowVersion = 21;
  SUBCASE("answered before the statuses are read") {
    m_Rollouts->onStoreRestored();
    readOrders({orderTo("v2", 20)});
    m_Store.m_HoldsWrites = false;
    run(milliseconds(200));
    CHECK(trial().state() == TrialState::RolledBack);
    readStatuses({});
    RowVersion = 0;
  }
  SUBCASE("answered afterwards") {
    restoreWithStatus(21);
    m_Store.m_HoldsWrites = false;
    run(milliseconds(200));
    CHECK(trial().state() == TrialState::RolledBack);
  }
  SUBCASE("answered between two restores") {
    m_Rollouts->onStoreRestored();
    m_Store.m_HoldsWrites = false;
    run(milliseconds(200));
    restoreWithStatus(21);
  }
  run(seconds(1));
  REQUIRE(m_Store.m_Statuses.size() == 2);
  CHECK(m_Store.m_Statuses.back().m_State == TrialState::RolledBack);
  CHECK(m_Store.m_Statuses.back().m_RowVersion == RowVersion);
}

TEST_CASE_FIXTURE(Fixture, "a status write from before a restore that took effect after it is not repeated") {
  startTrial();
  recordFailures(6);
  m_Store.m_HoldsWrites = true;
  run(milliseconds(400));
  restoreWithStatus(21);
  changeStatus(TrialState::RolledBack, 23);
  m_Store.m_HoldsWrites = false;
  run(seconds(3));
  CHECK(trial().state() == TrialState::RolledBack);
  CHECK(m_Store.m_Statuses.size() == 1);
}

// Guards against a new rollout that is decided by the late answer to a write of the one before.
TEST_CASE_FIXTURE(Fixture,
                  "the answer to a status write of an earlier rollout does not decide the next one") {
  startTrial();
  recordFailures(6);
  m_Store.m_HoldsWrites = true;
  run(milliseconds(400));
  REQUIRE(m_Store.m_Statuses.size() == 1);
  SUBCASE("the same order again") { m_Rollouts->applyOrder(orderTo("v2", 30)); }
  SUBCASE("another order after a restore") {
    TrialOrder Other = orderTo("v2", 20);
    Other.m_TimeLimit = seconds(50);
    m_Rollouts->onStoreRestored();
    readOrders({Other});
  }
  readStatuses({});
  m_Store.m_HoldsWrites = false;
  run(milliseconds(200));
  CHECK(trial().state() == TrialState::Running);
}

// Guards against a bad version that stays in trial, as the daemons' evidence was lost with the restore.
TEST_CASE_FIXTURE(Fixture,
                  "evidence is published again after a restore, for the order as it is written then") {
  startTrial();
  recordFailures(1);
  run(seconds(2));
  REQUIRE(m_Store.m_Evidence.size() == 1);
  m_Rollouts->onStoreRestored();
  run(seconds(2));
  CHECK(m_Store.m_Evidence.size() == 1);
  readOrders({orderTo("v2", 17)});
  readStatuses({statusOf(TrialState::Running, 18)});
  run(seconds(2));
  REQUIRE(m_Store.m_Evidence.size() == 2);
  CHECK(m_Store.m_Evidence.back().m_OrderVersion == 17);
}

TEST_CASE_FIXTURE(Fixture, "without evidence nothing is published after a restore") {
  startTrial();
  restoreWithStatus(21);
  run(seconds(2));
  CHECK(m_Store.m_Evidence.empty());
}

// Guards against evidence that is passed over, as it was read before the order that it belongs to.
TEST_CASE_FIXTURE(Fixture, "evidence for an order that is written again counts, whichever is read first") {
  startTrial();
  recordFailures(1);
  CHECK_FALSE(m_Rollouts->takeEvidenceSnapshotNeeded());
  EvidenceChanges Peer;
  Peer.m_Updated = {
      TrialEvidence{TestService, VersionId("v2"), 17, InstanceId("d1"), {RouteEvidence{"", 9.0, 9, 5}}}};
  m_Rollouts->onStoreRestored();
  m_Rollouts->apply(Peer);
  readOrders({orderTo("v2", 17)});
  if (m_Rollouts->takeEvidenceSnapshotNeeded())
    m_Rollouts->apply(Peer);
  CHECK_FALSE(m_Rollouts->takeEvidenceSnapshotNeeded());
  readStatuses({statusOf(TrialState::Running, 18)});
  CHECK(trial().verdict(m_Now) == TrialState::RolledBack);
}

TEST_CASE_FIXTURE(Fixture, "evidence is not read again for an order that survived the restore") {
  startTrial();
  recordFailures(1);
  restoreWithStatus(21);
  CHECK_FALSE(m_Rollouts->takeEvidenceSnapshotNeeded());
}

// Guards against evidence on one version that counts against another, as a row version was given out twice.
TEST_CASE_FIXTURE(Fixture, "evidence on another version does not count, whatever its order's row version") {
  startTrial();
  EvidenceChanges Peer;
  Peer.m_Updated = {
      TrialEvidence{TestService, VersionId("v3"), 20, InstanceId("d1"), {RouteEvidence{"", 9.0, 9, 5}}}};
  m_Rollouts->apply(Peer);
  CHECK(trial().verdict(m_Now) == TrialState::Running);
}
