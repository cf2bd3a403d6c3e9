#include "../src/table_relay.h"

#include "../src/order_book.h"
#include "../src/row_replica.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;

namespace {

OrderBook::ConfigPtr configOf(std::uint64_t Revision, int Routes) {
  ForwardConfig Config;
  Config.m_Revision = ConfigRevision(Revision);
  for (int Number = 0; Number < Routes; ++Number) {
    ForwardRoute Route;
    Route.m_Name = "r" + std::to_string(Number);
    Route.m_Host = "host" + std::to_string(Number * 7919);
    Route.m_Prefix = "/";
    Config.m_Routes.push_back(std::move(Route));
  }
  return std::make_shared<const ConfigIndex>(std::move(Config));
}

/// A relay whose clock the test sets.
struct Fixture {
  /// Applies an answer of the store at a version of it.
  void apply(std::uint64_t Version, OrderBook::ConfigPtr Config, std::uint64_t Era = 1,
             std::vector<DomainId> DomainsOut = {}) {
    OrderChanges Changes;
    Changes.m_FullSnapshot = true;
    Changes.m_Era = StoreEra(Era);
    Changes.m_Cursor = Version;
    Changes.m_DomainsOut = std::move(DomainsOut);
    m_Orders.apply(Changes, std::move(Config), m_Now);
  }
  OrderSnapshot decoded(ConfigRevision Base) { return *decodeOrders(m_Orders.encodedFor(Base)); }

  /// Asks the relay as a daemon with these orders does.
  void ask(std::uint64_t Version, std::uint64_t Revision, milliseconds Age = milliseconds(0),
           milliseconds Wait = milliseconds(300), std::uint64_t Era = 1) {
    PeerTableWatch Watch{{{RelayedTable::Orders, Era, Version, ConfigRevision(Revision), Age}}, Wait};
    ask(std::move(Watch));
  }
  void ask(PeerTableWatch Watch) {
    m_Answer.reset();
    m_Context.restart();
    spawn(m_Context, store(m_Relay.answer(std::move(Watch))));
    m_Context.run_for(milliseconds(30));
  }
  asio::awaitable<void> store(asio::awaitable<Expected<PeerTableNewsList>> Call) {
    m_Answer.emplace(co_await std::move(Call));
  }

  asio::io_context m_Context;
  TimePoint m_Now{seconds(1000)};
  const PeerTableNews &news(std::size_t Table = 0) const { return (*m_Answer)->m_Tables.at(Table); }

  OrderBook m_Orders;
  RowReplica<RegisteredUpstream> m_Upstreams{
      RelayedTable::Upstreams, [](const RegisteredUpstream &Entry) { return Entry.m_Id.value(); },
      encodeUpstreams};
  TableRelay m_Relay{m_Context, {&m_Orders, &m_Upstreams}, [this] { return m_Now; }};
  std::optional<Expected<PeerTableNewsList>> m_Answer;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a daemon lacks what changed after the version at which its orders were read") {
  CHECK_FALSE(m_Orders.hasNewsFor({StoreEra(1), 0}, ConfigRevision()));
  apply(10, configOf(3, 1));
  apply(14, configOf(3, 1));
  CHECK(m_Orders.hasNewsFor({StoreEra(1), 9}, ConfigRevision(3)));
  CHECK_FALSE(m_Orders.hasNewsFor({StoreEra(1), 10}, ConfigRevision(3)));
  CHECK(m_Orders.hasNewsFor({StoreEra(1), 10}, ConfigRevision(2)));
  apply(15, configOf(3, 1), 1, {DomainId("west-a")});
  CHECK(m_Orders.hasNewsFor({StoreEra(1), 14}, ConfigRevision(3)));
}

// Guards against orders of before a restore that are taken for newer ones, as versions are given out again.
TEST_CASE_FIXTURE(Fixture, "orders of another era of the store are news, unless the caller's is later") {
  apply(10, configOf(3, 1), 2);
  CHECK(m_Orders.hasNewsFor({StoreEra(1), 99}, ConfigRevision(3)));
  CHECK_FALSE(m_Orders.hasNewsFor({StoreEra(3), 1}, ConfigRevision(3)));
  CHECK(m_Orders.isRestoredSince(StoreEra(3)));
  CHECK_FALSE(m_Orders.isOutdated({StoreEra(3), 1}));
}

// Guards against an evacuation that a late answer of the store takes back.
TEST_CASE_FIXTURE(Fixture, "an answer that was read before what is known is outdated") {
  apply(10, configOf(3, 1));
  CHECK(m_Orders.isOutdated({StoreEra(1), 9}));
  CHECK_FALSE(m_Orders.isOutdated({StoreEra(1), 10}));
  m_Orders.confirm({StoreEra(1), 12}, m_Now);
  CHECK(m_Orders.isOutdated({StoreEra(1), 11}));
}

// Guards against configurations that are sent whole although the receiver has most of it.
TEST_CASE_FIXTURE(Fixture, "a daemon with a recent configuration is sent the difference to it") {
  apply(10, configOf(3, 1000));
  apply(11, configOf(4, 1001));
  const OrderSnapshot Difference = decoded(ConfigRevision(3));
  REQUIRE(Difference.m_Config);
  CHECK(Difference.m_Config->m_Base == ConfigRevision(3));
  CHECK(Difference.m_Config->m_Routes.size() == 1);
  const OrderSnapshot Whole = decoded(ConfigRevision(2));
  REQUIRE(Whole.m_Config);
  CHECK(Whole.m_Config->m_Base == ConfigRevision());
  CHECK(Whole.m_Config->m_Routes.size() == 1001);
  CHECK_FALSE(decoded(ConfigRevision(4)).m_Config);
  CHECK_FALSE(decoded(ConfigRevision(9)).m_Config);
}

// Guards against memory that is kept for daemons that have long had the newest configuration.
TEST_CASE_FIXTURE(Fixture, "a superseded configuration is forgotten after a while") {
  apply(10, configOf(3, 1));
  apply(11, configOf(4, 2));
  m_Now += seconds(11);
  apply(12, configOf(5, 3));
  CHECK(decoded(ConfigRevision(3)).m_Config->m_Base == ConfigRevision());
  CHECK(decoded(ConfigRevision(4)).m_Config->m_Base == ConfigRevision(4));
}

TEST_CASE_FIXTURE(Fixture, "a caller that lacks orders is answered at once") {
  apply(10, configOf(3, 1), 1, {DomainId("west-a")});
  ask(9, 2);
  REQUIRE(m_Answer);
  REQUIRE(*m_Answer);
  CHECK(news().m_Version == 10);
  const Expected<OrderSnapshot> Orders = decodeOrders(news().m_Bytes);
  REQUIRE(Orders);
  CHECK(Orders->m_DomainsOut == std::vector<DomainId>{DomainId("west-a")});
}

TEST_CASE_FIXTURE(Fixture, "a caller that has all orders waits until they change") {
  apply(10, configOf(3, 1));
  ask(10, 3);
  CHECK_FALSE(m_Answer);
  apply(11, configOf(4, 2));
  m_Relay.notify();
  m_Context.run_for(milliseconds(30));
  REQUIRE(m_Answer);
  CHECK_FALSE(news().m_Bytes.empty());
}

// Guards against followers that take their orders for late although their relay is confirmed.
TEST_CASE_FIXTURE(Fixture, "a caller is told that the orders were confirmed since its own confirmation") {
  apply(10, configOf(3, 1));
  ask(10, 3, milliseconds(400));
  CHECK_FALSE(m_Answer);
  ask(10, 3, milliseconds(600));
  REQUIRE(m_Answer);
  CHECK(news().m_Bytes.empty());
  CHECK(news().m_Age == milliseconds(0));
}

// Guards against followers that all leave the first daemon which turns to the store for them.
TEST_CASE_FIXTURE(Fixture, "a relay that is not confirmed holds its callers until the store fails it") {
  apply(10, configOf(3, 1));
  m_Now += seconds(3);
  ask(10, 3);
  CHECK_FALSE(m_Answer);
  m_Orders.onStoreFailed();
  m_Relay.notify();
  m_Context.run_for(milliseconds(30));
  REQUIRE(m_Answer);
  CHECK(news().m_CutOff);
}

TEST_CASE_FIXTURE(Fixture, "a relay that the store fails says so at once") {
  apply(10, configOf(3, 1));
  m_Now += seconds(3);
  m_Orders.onStoreFailed();
  ask(10, 3);
  REQUIRE(m_Answer);
  CHECK(news().m_CutOff);
  CHECK(news().m_Age == seconds(3));
}

TEST_CASE_FIXTURE(Fixture, "a relay that knows no orders yet answers with an error after the caller's time") {
  ask(0, 0, milliseconds(0), milliseconds(0));
  REQUIRE(m_Answer);
  REQUIRE_FALSE(*m_Answer);
  CHECK(m_Answer->error().m_Code == ErrorCode::PlatformUnavailable);
}

// Guards against a change of one table that waits for another one.
TEST_CASE_FIXTURE(Fixture, "a caller is told of all tables when one of them has news") {
  apply(10, configOf(3, 1));
  m_Upstreams.apply({true, {}, {}}, {StoreEra(1), 12}, m_Now);
  ask({{{RelayedTable::Orders, 1, 10, ConfigRevision(3), milliseconds(0)},
        {RelayedTable::Upstreams, 1, 11, ConfigRevision(), milliseconds(0)}},
       milliseconds(300)});
  REQUIRE(m_Answer);
  REQUIRE((*m_Answer)->m_Tables.size() == 2);
  CHECK(news(0).m_Bytes.empty());
  CHECK(news(1).m_Table == RelayedTable::Upstreams);
  CHECK(decodeUpstreams(news(1).m_Bytes)->m_Whole);
}

// Guards against a table that is not known yet and holds up the others.
TEST_CASE_FIXTURE(Fixture, "a caller is answered about the tables that are known") {
  apply(10, configOf(3, 1));
  ask({{{RelayedTable::Upstreams, 0, 0, ConfigRevision(), milliseconds(0)},
        {RelayedTable::Orders, 1, 9, ConfigRevision(2), milliseconds(0)}},
       milliseconds(300)});
  REQUIRE(m_Answer);
  REQUIRE((*m_Answer)->m_Tables.size() == 1);
  CHECK(news().m_Table == RelayedTable::Orders);
}

// Guards against a call for each confirmation of each table.
TEST_CASE_FIXTURE(Fixture, "a confirmation of one table alone is not passed on while another one is older") {
  apply(10, configOf(3, 1));
  m_Upstreams.apply({true, {}, {}}, {StoreEra(1), 10}, m_Now);
  m_Now += milliseconds(700);
  m_Orders.confirm({StoreEra(1), 11}, m_Now);
  const PeerTableWatch Watch{{{RelayedTable::Orders, 1, 10, ConfigRevision(3), milliseconds(700)},
                              {RelayedTable::Upstreams, 1, 10, ConfigRevision(), milliseconds(700)}},
                             milliseconds(300)};
  ask(Watch);
  CHECK_FALSE(m_Answer);
  m_Upstreams.confirm({StoreEra(1), 11}, m_Now);
  m_Relay.notify();
  m_Context.run_for(milliseconds(30));
  CHECK(m_Answer);
}

// Guards against daemons that take upstreams for gone whose entries were lost with the store.
TEST_CASE_FIXTURE(Fixture, "a caller is told that the store came back, for a while") {
  m_Upstreams.apply({true, {}, {}}, {StoreEra(1), 10}, m_Now);
  m_Upstreams.setRecoveredAt(m_Now - milliseconds(400));
  const PeerTableWatch Watch{{{RelayedTable::Upstreams, 0, 0, ConfigRevision(), milliseconds(0)}},
                             milliseconds(300)};
  ask(Watch);
  REQUIRE(m_Answer);
  CHECK(news().m_SinceRecovery == milliseconds(400));
  m_Now += seconds(20);
  ask(Watch);
  REQUIRE(m_Answer);
  CHECK_FALSE(news().m_SinceRecovery);
}
