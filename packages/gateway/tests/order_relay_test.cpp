#include "../src/order_relay.h"

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
    m_Answer.reset();
    PeerOrderWatch Held{Era, Version, ConfigRevision(Revision), Age, Wait};
    spawn(m_Context, store(m_Relay.answer(std::move(Held))));
    m_Context.run_for(milliseconds(30));
  }
  asio::awaitable<void> store(asio::awaitable<Expected<PeerOrders>> Call) {
    m_Answer.emplace(co_await std::move(Call));
  }

  asio::io_context m_Context;
  TimePoint m_Now{seconds(1000)};
  OrderBook m_Orders;
  OrderRelay m_Relay{m_Context, m_Orders, [this] { return m_Now; }};
  std::optional<Expected<PeerOrders>> m_Answer;
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
  CHECK((*m_Answer)->m_Version == 10);
  const Expected<OrderSnapshot> Orders = decodeOrders((*m_Answer)->m_Bytes);
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
  CHECK_FALSE((*m_Answer)->m_Bytes.empty());
}

// Guards against followers that take their orders for late although their relay is confirmed.
TEST_CASE_FIXTURE(Fixture, "a caller is told that the orders were confirmed since its own confirmation") {
  apply(10, configOf(3, 1));
  ask(10, 3, milliseconds(400));
  CHECK_FALSE(m_Answer);
  ask(10, 3, milliseconds(600));
  REQUIRE(m_Answer);
  CHECK((*m_Answer)->m_Bytes.empty());
  CHECK((*m_Answer)->m_Age == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "a relay that is not confirmed itself says so at once") {
  apply(10, configOf(3, 1));
  m_Now += seconds(3);
  ask(10, 3);
  REQUIRE(m_Answer);
  CHECK((*m_Answer)->m_Age == seconds(3));
}

TEST_CASE_FIXTURE(Fixture, "a relay that knows no orders yet answers with an error after the caller's time") {
  ask(0, 0, milliseconds(0), milliseconds(0));
  REQUIRE(m_Answer);
  REQUIRE_FALSE(*m_Answer);
  CHECK(m_Answer->error().m_Code == ErrorCode::PlatformUnavailable);
}
