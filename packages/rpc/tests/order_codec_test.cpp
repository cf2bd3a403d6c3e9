#include "bulrushpitch/rpc/order_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

ConfigDelta deltaWithRoutes(int Count) {
  ConfigDelta Delta;
  Delta.m_Base = ConfigRevision(3);
  Delta.m_Revision = ConfigRevision(4);
  for (int Number = 0; Number < Count; ++Number) {
    ForwardRoute Route;
    Route.m_Name = "r-" + std::to_string(Number);
    Route.m_Host = "host" + std::to_string(Number * 7919) + ".example";
    Route.m_Prefix = "/p" + std::to_string(Number * 104'729) + "/";
    Route.m_Kind = RequestKind::Stream;
    Route.m_Timeout = milliseconds(20'000);
    Route.m_TargetGap = milliseconds(1200);
    Route.m_Priority = 2;
    Route.m_MaxAttempts = 3;
    Route.m_Resumable = true;
    Route.m_Services = {{ServiceId("s"), 0.75}, {ServiceId("t"), 0.25}};
    Route.m_Models = {ModelId("small"), ModelId("large")};
    Route.m_Regions = {RegionId("west")};
    Delta.m_Routes.push_back(std::move(Route));
  }
  Delta.m_RemovedRoutes = {"old"};
  Delta.m_Teams = {{TeamId("guild"), {"k1", "k2"}, 1, {RegionId("hill")}}, {TeamId("club"), {}, {}, {}}};
  Delta.m_RemovedTeams = {TeamId("gone")};
  Delta.m_Services = {{ServiceId("s"), 12.5, {{ModelId("small"), 0.1}, {ModelId("large"), 1.5}}}};
  Delta.m_Limits.m_MaxBodyBytes = 77;
  Delta.m_ContentHash = 0xfedcba9876543210U;
  return Delta;
}

OrderSnapshot sampleOrders() {
  OrderSnapshot Orders;
  Orders.m_DomainsOut = {DomainId("west-a")};
  Orders.m_Trials = {{ServiceId("s"), VersionId("v2"), milliseconds(24'000), 812}};
  Orders.m_Config = deltaWithRoutes(3);
  return Orders;
}

} // namespace

TEST_CASE("orders arrive as they were sent") {
  const OrderSnapshot Sent = sampleOrders();
  const Expected<OrderSnapshot> Received = decodeOrders(encodeOrders(Sent));
  REQUIRE(Received);
  CHECK(Received->m_DomainsOut == Sent.m_DomainsOut);
  CHECK(Received->m_Trials == Sent.m_Trials);
  REQUIRE(Received->m_Config);
  const ConfigDelta &Delta = *Received->m_Config;
  CHECK(Delta.m_Base == Sent.m_Config->m_Base);
  CHECK(Delta.m_Revision == Sent.m_Config->m_Revision);
  CHECK(Delta.m_Routes == Sent.m_Config->m_Routes);
  CHECK(Delta.m_RemovedRoutes == Sent.m_Config->m_RemovedRoutes);
  CHECK(Delta.m_Teams == Sent.m_Config->m_Teams);
  CHECK(Delta.m_RemovedTeams == Sent.m_Config->m_RemovedTeams);
  CHECK(Delta.m_Services == Sent.m_Config->m_Services);
  CHECK(Delta.m_Limits == Sent.m_Config->m_Limits);
  CHECK(Delta.m_ContentHash == Sent.m_Config->m_ContentHash);
}

TEST_CASE("orders without a configuration have none after decoding") {
  const Expected<OrderSnapshot> Received = decodeOrders(encodeOrders(OrderSnapshot{}));
  REQUIRE(Received);
  CHECK_FALSE(Received->m_Config);
}

// Guards against a link that is filled by what routes have in common.
TEST_CASE("a route takes a small part of its size in the store") {
  constexpr std::size_t StoreBytesPerRoute = 300;
  OrderSnapshot Orders;
  Orders.m_Config = deltaWithRoutes(1400);
  CHECK(encodeOrders(Orders).size() < 1400 * StoreBytesPerRoute / 4);
}

// Guards against a daemon that ends, or fills its memory, because of what another one sends.
TEST_CASE("damaged orders are an error, or are decoded to something of bounded size") {
  const std::string Sound = encodeOrders(sampleOrders());
  CHECK(rc::check([&] {
    std::string Damaged = Sound;
    const std::size_t Changes = *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t Change = 0; Change < Changes; ++Change)
      Damaged[*rc::gen::inRange<std::size_t>(0, Damaged.size())] = *rc::gen::arbitrary<char>();
    Damaged.resize(*rc::gen::inRange<std::size_t>(0, Damaged.size() + 1));
    const Expected<OrderSnapshot> Received = decodeOrders(Damaged);
    RC_ASSERT(Received || Received.error().m_Code == ErrorCode::PeerProtocol);
  }));
}
