#include "bulrushpitch/gateway/control_service.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace bulrushpitch;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

/// A store in memory whose tables a test changes, and that can be away, forget its history or lose answers.
class FakeStore : public ControlStore {
public:
  explicit FakeStore(asio::io_context &Context) : m_Context(Context) {}

  asio::awaitable<Expected<OrderChanges>> readOrders() override {
    ++m_Reads;
    if (m_Away)
      co_return away();
    OrderChanges All = m_Orders;
    All.m_Whole = true;
    All.m_Position = m_Version;
    co_return All;
  }
  asio::awaitable<Expected<OrderChanges>> watchOrders(std::uint64_t Position, Duration Wait) override {
    return watch(Position, Wait, m_NewOrders);
  }
  asio::awaitable<Expected<UpstreamChanges>> readUpstreams() override {
    if (m_Away)
      co_return away();
    UpstreamChanges All = m_Upstreams;
    All.m_Whole = true;
    All.m_Position = m_Version;
    co_return All;
  }
  asio::awaitable<Expected<UpstreamChanges>> watchUpstreams(std::uint64_t Position, Duration Wait) override {
    return watch(Position, Wait, m_NewUpstreams);
  }
  asio::awaitable<Expected<TrialChanges>> readTrials() override {
    if (m_Away)
      co_return away();
    TrialChanges All;
    All.m_Whole = true;
    All.m_Position = m_Version;
    All.m_Updated = m_Statuses;
    co_return All;
  }
  asio::awaitable<Expected<TrialChanges>> watchTrials(std::uint64_t Position, Duration Wait) override {
    return watch(Position, Wait, m_NewTrials);
  }
  asio::awaitable<Expected<Done>> writeTrial(TrialStatus Status) override {
    m_Written.push_back(Status);
    if (m_Away)
      co_return away();
    if (m_Refuses)
      co_return Error{ErrorCode::ConditionFailed, "write", "fake", Ran::No, "another version"};
    co_return Done{};
  }
  asio::awaitable<Expected<EvidenceChanges>> readEvidence() override {
    ++m_EvidenceReads;
    EvidenceChanges All;
    All.m_Whole = true;
    All.m_Position = m_Version;
    All.m_Updated = m_PeerEvidence;
    co_return All;
  }
  asio::awaitable<Expected<EvidenceChanges>> watchEvidence(std::uint64_t Position, Duration Wait) override {
    return watch(Position, Wait, m_NewEvidence);
  }
  asio::awaitable<Expected<Done>> writeEvidence(TrialEvidence Evidence, std::uint32_t) override {
    m_Evidence.push_back(Evidence);
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> enterDaemon(InstanceId) override {
    ++m_Heartbeats;
    if (m_Away)
      co_return away();
    co_return Done{};
  }
  asio::awaitable<Expected<Done>> removeDaemon(ListedDaemon) override { co_return Done{}; }
  asio::awaitable<Expected<std::vector<ListedDaemon>>> readDaemons() override {
    co_return std::vector<ListedDaemon>{{InstanceId("d0"), 1}, {InstanceId("d1"), 2}};
  }

  bool m_Away = false;
  bool m_Forgets = false;
  bool m_Refuses = false;
  int m_Reads = 0;
  std::uint64_t m_Version = 10;
  OrderChanges m_Orders;
  UpstreamChanges m_Upstreams;
  std::vector<TrialStatus> m_Statuses;
  std::deque<OrderChanges> m_NewOrders;
  std::deque<UpstreamChanges> m_NewUpstreams;
  std::deque<TrialChanges> m_NewTrials;
  std::vector<TrialStatus> m_Written;
  std::vector<TrialEvidence> m_Evidence; ///< As written by this daemon.
  std::vector<TrialEvidence> m_PeerEvidence;
  std::deque<EvidenceChanges> m_NewEvidence;
  int m_EvidenceReads = 0;
  int m_Heartbeats = 0;

private:
  static Error away() {
    return Error{ErrorCode::PlatformUnavailable, "call", "fake", Ran::Unknown, "the store is away"};
  }

  template <typename Changes>
  asio::awaitable<Expected<Changes>> watch(std::uint64_t Position, Duration, std::deque<Changes> &Queue) {
    constexpr Duration Step = milliseconds(5);
    for (int Waited = 0; Waited < 10 && Queue.empty() && !m_Away; ++Waited)
      co_await sleepFor(m_Context, Step);
    if (m_Away)
      co_return away();
    if (m_Forgets) {
      m_Forgets = false;
      co_return Error{ErrorCode::HistoryLost, "watch", "fake", Ran::No, "the history is gone"};
    }
    Changes Next;
    Next.m_Position = Position;
    if (!Queue.empty()) {
      Next = Queue.front();
      Queue.pop_front();
    }
    co_return Next;
  }

  asio::io_context &m_Context;
};

OrderChanges configured(std::uint64_t Revision) {
  OrderChanges Changes;
  Changes.m_Position = 10 + Revision;
  Changes.m_Config.emplace();
  Changes.m_Config->m_Revision = ConfigRevision(Revision);
  return Changes;
}

RegisteredUpstream entry(std::string Id) {
  RegisteredUpstream Made;
  Made.m_Id = UpstreamId(std::move(Id));
  Made.m_Service = ServiceId("s");
  Made.m_Domain = DomainId("west-a");
  Made.m_Version = VersionId("v1");
  return Made;
}

struct Fixture {
  Fixture() {
    GatewaySettings Read;
    Read.m_Instance = InstanceId("d0");
    Read.m_Domain = DomainId("west-a");
    m_State.emplace(Read);
    m_Log.emplace(
        systemClock(), systemWallClock(),
        [this](std::string_view Text) {
          m_Lines += Text;
          return Text.size();
        },
        1000.0);
    m_Store.m_Orders = configured(5);
    m_Store.m_Upstreams.m_Updated = {entry("a"), entry("b")};
    m_Control =
        std::make_shared<ControlService>(m_Context, m_Store, *m_State, *m_Log, systemClock(), seededRandom(1),
                                         [this](const ForwardConfig &) { ++m_Applied; });
  }
  ~Fixture() { m_Control->stop(); }

  void start() {
    REQUIRE(capture([this] { return m_Control->start(); }));
    runFor(milliseconds(100));
  }
  void runFor(milliseconds Time) { m_Context.run_for(Time); }
  std::uint64_t revision() const { return m_State->m_Directory->config().m_Revision.value(); }

  void orderTrial() {
    OrderChanges Changes;
    Changes.m_Position = 20;
    Changes.m_Trials = {TrialOrder{ServiceId("s"), VersionId("v2"), std::chrono::seconds(100), 20}};
    m_Store.m_NewOrders.push_back(Changes);
    runFor(milliseconds(700));
  }

  void failOnNew(int Times) {
    TrialSample Sample;
    Sample.m_OnNew = true;
    Sample.m_Failed = true;
    for (int Time = 0; Time < Times; ++Time)
      m_State->trialOf(ServiceId("s"))->record(Sample);
  }

  asio::io_context m_Context;
  FakeStore m_Store{m_Context};
  std::string m_Lines;
  std::optional<GatewayState> m_State;
  std::optional<EventLog> m_Log;
  std::shared_ptr<ControlService> m_Control;
  int m_Applied = 0;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a daemon is ready once it has read configuration and registry") {
  CHECK_FALSE(m_State->known());
  start();
  CHECK(m_State->known());
  CHECK(revision() == 5);
  CHECK(m_State->m_Pool.size() == 2);
}

// Guards against a configuration that slips back, in an answer that the store lost and sent late.
TEST_CASE_FIXTURE(Fixture, "versions of the configuration only rise") {
  start();
  m_Store.m_NewOrders.push_back(configured(7));
  m_Store.m_NewOrders.push_back(configured(6));
  runFor(milliseconds(300));
  CHECK(revision() == 7);
  CHECK(m_Applied == 2);
}

TEST_CASE_FIXTURE(Fixture, "while the store is away everything stays as it was") {
  start();
  m_Store.m_Away = true;
  runFor(milliseconds(300));
  CHECK(m_State->known());
  CHECK(m_State->m_Pool.size() == 2);
  m_Store.m_Away = false;
  m_Store.m_NewOrders.push_back(configured(8));
  runFor(milliseconds(1500));
  CHECK(revision() == 8);
  m_Log->flush();
  CHECK(m_Lines.find("store_lost") != std::string::npos);
  CHECK(m_Lines.find("store_regained") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "when the history is gone everything is read again") {
  start();
  const int Reads = m_Store.m_Reads;
  m_Store.m_Orders = configured(9);
  m_Store.m_Forgets = true;
  runFor(milliseconds(700));
  CHECK(m_Store.m_Reads >= Reads);
  m_Store.m_Forgets = true;
  runFor(milliseconds(700));
  CHECK(revision() == 9);
}

TEST_CASE_FIXTURE(Fixture, "an upstream that leaves gets no requests, and domains go out and come back") {
  start();
  UpstreamChanges Gone;
  Gone.m_Position = 12;
  Gone.m_Removed = {UpstreamId("a")};
  m_Store.m_NewUpstreams.push_back(Gone);
  OrderChanges Out;
  Out.m_Position = 13;
  Out.m_DomainsOut = {DomainId("west-a")};
  m_Store.m_NewOrders.push_back(Out);
  // A leaving upstream may get requests for three seconds.
  runFor(milliseconds(1500));
  CHECK_FALSE(m_State->m_Pool.find(UpstreamId("a")));
  CHECK_FALSE(m_State->m_Pool.usable(*m_State->m_Pool.find(UpstreamId("b")), systemClock()()));
  OrderChanges Back;
  Back.m_Position = 14;
  Back.m_DomainsBack = {DomainId("west-a")};
  m_Store.m_NewOrders.push_back(Back);
  runFor(milliseconds(300));
  CHECK(m_State->m_Pool.usable(*m_State->m_Pool.find(UpstreamId("b")), systemClock()()));
}

TEST_CASE_FIXTURE(Fixture, "a roll-out is announced once, under the condition that nobody was first") {
  start();
  orderTrial();
  REQUIRE(m_Store.m_Written.size() == 1);
  CHECK(m_Store.m_Written.front().m_State == TrialState::Running);
  CHECK(m_Store.m_Written.front().m_RowVersion == 0);
}

TEST_CASE_FIXTURE(Fixture, "a bad version is rolled back, and the others are told of the evidence") {
  start();
  orderTrial();
  failOnNew(6);
  runFor(milliseconds(1200));
  CHECK_FALSE(m_Store.m_Evidence.empty());
  CHECK(m_Store.m_Written.back().m_State == TrialState::RolledBack);
  CHECK(m_State->trialOf(ServiceId("s"))->state() == TrialState::RolledBack);
}

// Guards against calls to the store for each roll-out, of which most are good.
TEST_CASE_FIXTURE(Fixture, "what the others have seen is read once the new version has answered") {
  m_Store.m_PeerEvidence = {
      TrialEvidence{ServiceId("s"), VersionId("v2"), 20, InstanceId("d1"), {{"", 8.0, 9, 5}}}};
  start();
  orderTrial();
  CHECK(m_Store.m_EvidenceReads == 0);
  failOnNew(1);
  runFor(milliseconds(900));
  CHECK(m_Store.m_EvidenceReads == 1);
  CHECK(m_Store.m_Written.back().m_State == TrialState::RolledBack);
}

// Guards against a daemon that starts while the store is away and is never counted by the others.
TEST_CASE_FIXTURE(Fixture, "a heartbeat that failed is sent again soon, and a good one is not") {
  m_Store.m_Away = true;
  start();
  runFor(milliseconds(900));
  CHECK(m_Store.m_Heartbeats >= 2);
  m_Store.m_Away = false;
  runFor(milliseconds(900));
  const int Sent = m_Store.m_Heartbeats;
  runFor(milliseconds(1800));
  CHECK(m_Store.m_Heartbeats == Sent);
  CHECK(m_State->m_Here.m_Daemons.size() == 2);
  m_Log->flush();
  CHECK(m_Lines.find("heartbeat_failed") != std::string::npos);
}

// Guards against two daemons that decide differently: the one whose condition fails follows the other.
TEST_CASE_FIXTURE(Fixture, "a decision that loses the race is not taken as made") {
  start();
  orderTrial();
  m_Store.m_Refuses = true;
  failOnNew(6);
  runFor(milliseconds(500));
  CHECK(m_State->trialOf(ServiceId("s"))->state() == TrialState::Running);
  TrialChanges Decided;
  Decided.m_Position = 30;
  Decided.m_Updated = {TrialStatus{ServiceId("s"), VersionId("v2"), TrialState::Completed, 30}};
  m_Store.m_NewTrials.push_back(Decided);
  runFor(milliseconds(500));
  CHECK(m_State->trialOf(ServiceId("s"))->state() == TrialState::Completed);
}

// Guards against a daemon that restarts and takes the state of an earlier roll-out of the same version for
// this one.
TEST_CASE_FIXTURE(Fixture, "a state that is older than the order does not count") {
  m_Store.m_Statuses = {TrialStatus{ServiceId("s"), VersionId("v2"), TrialState::Completed, 15}};
  start();
  orderTrial();
  CHECK(m_State->trialOf(ServiceId("s"))->state() == TrialState::Running);
  REQUIRE_FALSE(m_Store.m_Written.empty());
  CHECK(m_Store.m_Written.front().m_RowVersion == 15);
}
