#include "bulrushpitch/standin/service.h"
#include "loop.h"

using namespace bulrushpitch;
using namespace bulrushpitch::standin;

namespace {

HttpRequest debit(const std::string &Key, const std::string &Attempt) {
  HttpRequest Request{"POST", "/debit", {}, R"({"wallet":"w-1","amount":100})"};
  Request.m_Headers.add("Idempotency-Key", Key);
  Request.m_Headers.add("X-Attempt-Id", Attempt);
  return Request;
}

} // namespace

TEST_CASE("the audit shows a debit that ran twice under one key, also over two processes") {
  Loop Test;
  std::shared_ptr<Ledger> Books = std::make_shared<Ledger>();
  ProcessSettings Settings;
  Settings.m_StartsWarm = true;
  ServiceStandin First(Test.m_Context, Settings, Milliseconds(1), Books);
  ServiceStandin Second(Test.m_Context, Settings, Milliseconds(1), Books);
  Test.start(First);
  Test.start(Second);
  First.faults().m_LoseNext = 1;
  CHECK_FALSE(Test.send(First.address(), debit("r-1", "a-1")));
  CHECK(Test.send(Second.address(), debit("r-1", "a-2")));
  First.faults().m_Refuse = true;
  CHECK(Test.send(First.address(), debit("r-2", "a-3")));
  CHECK(json::parse(Test.get(Second.address(), "/balance?wallet=w-1").m_Body).at("balance") == 99'800);
  const json Audit = json::parse(Test.get(First.address(), "/audit").m_Body);
  REQUIRE(Audit.at("keys").size() == 1);
  CHECK(Audit.at("keys").at(0).at("ran") == 2);
  CHECK(Audit.at("keys").at(0).at("attempts") == json::array({"a-1", "a-2"}));
}

TEST_CASE("orders and malformed calls") {
  Loop Test;
  ProcessSettings Settings;
  Settings.m_StartsWarm = true;
  ServiceStandin Shop(Test.m_Context, Settings, Milliseconds(1), std::make_shared<Ledger>());
  Test.start(Shop);
  const HttpResponse Placed = Test.post(Shop.address(), "/order", {{"item", "letter-q"}, {"quantity", 2}});
  REQUIRE(Placed.m_Status == 200);
  const json Order = json::parse(Placed.m_Body);
  CHECK(json::parse(Test.post(Shop.address(), "/order-status", {{"orderId", Order.at("orderId")}}).m_Body) ==
        Order);
  CHECK(Test.post(Shop.address(), "/order", {{"item", "letter-q"}, {"quantity", 0}}).m_Status == 400);
  CHECK(Test.post(Shop.address(), "/debit", {{"wallet", 1}}).m_Status == 400);
  CHECK(Test.get(Shop.address(), "/order-status?orderId=none").m_Status == 404);
}
