#include "bulrushpitch/decision/admission.h"
#include "bulrushpitch/decision/link_budget.h"
#include "bulrushpitch/decision/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <random>
#include <string>

using namespace bulrushpitch;

namespace {

const TimePoint Start{std::chrono::hours(1)};

Configuration threeTeams() {
  Configuration Config;
  for (int At = 0; At < 3; ++At) {
    const TeamId Id("team" + std::to_string(At));
    Config.m_Teams[Id] = {Id, {}, {}, {}, {}, 1.0 + At, 0.0, {{TaskName("urgent"), 5.0}}};
  }
  return Config;
}

QueuedRequest request(std::uint32_t Team, Duration EngineTime, TimePoint Deadline,
                      const char *Task = "usual") {
  return {RequestId("r"), TeamId("team" + std::to_string(Team)), TaskName(Task), EngineTime, Deadline, 0};
}

} // namespace

TEST_CASE("the queue never serves a request that would miss its deadline, and loses none") {
  CHECK(rc::check("deadlines", [](const std::vector<std::uint32_t> &Steps) {
    AdmissionQueue Queue(8);
    Queue.setConfiguration(threeTeams());
    TimePoint Now = Start;
    std::size_t Offered = 0;
    std::size_t Left = 0;
    for (std::uint32_t Each : Steps) {
      Now += std::chrono::milliseconds(Each % 97);
      const Duration EngineTime = std::chrono::milliseconds(1 + Each % 3000);
      if (Each % 3 != 0) {
        const TimePoint Deadline = Now + std::chrono::milliseconds(Each % 4001);
        Expected<std::uint64_t> Ticket = Queue.offer(request(Each % 3, EngineTime, Deadline), Now);
        Offered += Ticket ? 1 : 0;
        // What cannot meet its deadline even if it is served now is refused at once.
        RC_ASSERT((!Ticket || Now + EngineTime <= Deadline));
        RC_ASSERT((Ticket || Ticket.error().m_Ran == Ran::No));
      } else if (std::optional<QueuedRequest> Served = Queue.take(Now)) {
        RC_ASSERT(Now + Served->m_EngineTime <= Served->m_Deadline);
        if (Each % 2 == 0)
          Queue.putBack(*Served);
        else
          ++Left;
      }
      Left += Queue.takeRefused(Now).size();
      RC_ASSERT(Queue.size() <= 9);
      RC_ASSERT(Queue.size() + Left == Offered);
    }
  }));
}

TEST_CASE("no team starves: engine time is shared by weight, whatever the sizes of the requests") {
  CHECK(rc::check("fairness", [](std::uint64_t Seed) {
    AdmissionQueue Queue(100'000);
    Queue.setConfiguration(threeTeams());
    const TimePoint Never = Start + std::chrono::hours(100);
    std::mt19937_64 Engine(Seed);
    const std::uint32_t Flooding = Engine() % 3;
    for (std::uint32_t Team = 0; Team < 3; ++Team)
      for (int At = 0; At < (Team == Flooding ? 2000 : 300); ++At)
        RC_ASSERT(Queue.offer(request(Team, std::chrono::milliseconds(1 + Engine() % 2000), Never), Start)
                      .hasValue());
    std::map<TeamId, double> Time;
    // Each team has about 300 s of work, and 100 s are served: no team runs out.
    for (double Total = 0.0; Total < 100.0;) {
      const QueuedRequest Served = Queue.take(Start).value();
      Total += std::chrono::duration<double>(Served.m_EngineTime).count();
      Time[Served.m_Team] += std::chrono::duration<double>(Served.m_EngineTime).count();
    }
    for (int Team = 0; Team < 3; ++Team)
      RC_ASSERT(std::abs(Time[TeamId("team" + std::to_string(Team))] - 100.0 * (Team + 1) / 6.0) < 6.0);
  }));
}

TEST_CASE("within a team the more valuable request per second goes first, and a full queue sheds the least") {
  AdmissionQueue Queue(2);
  Queue.setConfiguration(threeTeams());
  const TimePoint Never = Start + std::chrono::hours(1);
  REQUIRE(Queue.offer(request(0, std::chrono::seconds(1), Never), Start).hasValue());
  REQUIRE(Queue.offer(request(0, std::chrono::seconds(1), Never, "urgent"), Start).hasValue());
  Expected<std::uint64_t> Long = Queue.offer(request(0, std::chrono::seconds(9), Never), Start);
  REQUIRE_FALSE(Long);
  CHECK(Long.error().m_Code == ErrorCode::Overloaded);
  // The other team is below its share, so the first team's least valuable request makes room.
  REQUIRE(Queue.offer(request(1, std::chrono::seconds(1), Never), Start).hasValue());
  const std::vector<RefusedRequest> Shed = Queue.takeRefused(Start);
  REQUIRE(Shed.size() == 1);
  CHECK(Shed[0].m_Request.m_Task == TaskName("usual"));
  std::vector<TaskName> Order;
  while (std::optional<QueuedRequest> Served = Queue.take(Start))
    if (Served->m_Team == TeamId("team0"))
      Order.push_back(Served->m_Task);
  CHECK(Order == std::vector<TaskName>{TaskName("urgent")});
}

TEST_CASE("retries never exceed their share of the requests plus the reserve") {
  CHECK(rc::check("retry budget", [](const std::vector<bool> &Calls) {
    RetryBudget Budget(0.1, 1.0);
    int Requests = 0;
    int Retries = 0;
    for (bool IsRetry : Calls) {
      if (IsRetry)
        Retries += Budget.takeRetry().hasValue() ? 1 : 0;
      else {
        Budget.onRequest();
        ++Requests;
      }
      RC_ASSERT(Retries <= 1.0 + 0.1 * Requests + 1e-9);
    }
  }));
}

TEST_CASE("the link's budget refuses long reports first, short answers next, control traffic never") {
  LinkBudget Link(1000, 1);
  CHECK(Link.take(LinkTraffic::LongReport, Bytes(500), Start).hasValue());
  CHECK_FALSE(Link.take(LinkTraffic::LongReport, Bytes(1), Start).hasValue());
  CHECK(Link.take(LinkTraffic::ShortAnswer, Bytes(400), Start).hasValue());
  CHECK_FALSE(Link.take(LinkTraffic::ShortAnswer, Bytes(1), Start).hasValue());
  CHECK(Link.take(LinkTraffic::Control, Bytes(5000), Start).hasValue());
  CHECK_FALSE(Link.allows(LinkTraffic::ShortAnswer, Bytes(1), Start + std::chrono::seconds(4)));
  CHECK(Link.allows(LinkTraffic::LongReport, Bytes(100), Start + std::chrono::seconds(60)));
}
