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

const TimePoint StartTime{std::chrono::hours(1)};

Configuration threeTeams() {
  Configuration Config;
  for (int Team = 0; Team < 3; ++Team) {
    const TeamId Id("team" + std::to_string(Team));
    Config.m_Teams[Id] = {Id, {}, {}, {}, {}, 1.0 + Team, 0.0, {{TaskName("urgent"), 5.0}}};
  }
  return Config;
}

QueuedRequest request(std::uint32_t Team, Duration EngineTime, TimePoint Deadline,
                      const char *Task = "usual") {
  return {RequestId("r"), TeamId("team" + std::to_string(Team)), TaskName(Task), EngineTime, Deadline, 0};
}

} // namespace

TEST_CASE("the queue never serves a request that would miss its deadline, and loses no request") {
  CHECK(rc::check("deadlines", [](const std::vector<std::uint32_t> &Steps) {
    AdmissionQueue Queue(8);
    Queue.setConfiguration(threeTeams());
    TimePoint Now = StartTime;
    std::size_t Accepted = 0;
    std::size_t Departed = 0;
    for (std::uint32_t Step : Steps) {
      Now += std::chrono::milliseconds(Step % 97);
      const Duration EngineTime = std::chrono::milliseconds(1 + Step % 3000);
      if (Step % 3 != 0) {
        const TimePoint Deadline = Now + std::chrono::milliseconds(Step % 4001);
        Expected<std::uint64_t> Ticket = Queue.offer(request(Step % 3, EngineTime, Deadline), Now);
        Accepted += Ticket ? 1 : 0;
        // A request that would miss its deadline even if it were served now must be rejected at once.
        RC_ASSERT((!Ticket || Now + EngineTime <= Deadline));
        RC_ASSERT((Ticket || Ticket.error().m_Ran == Ran::No));
      } else if (std::optional<QueuedRequest> Served = Queue.take(Now)) {
        RC_ASSERT(Now + Served->m_EngineTime <= Served->m_Deadline);
        if (Step % 2 == 0)
          Queue.requeue(*Served);
        else
          ++Departed;
      }
      Departed += Queue.takeRejected(Now).size();
      RC_ASSERT(Queue.size() <= 9);
      RC_ASSERT(Queue.size() + Departed == Accepted);
    }
  }));
}

TEST_CASE("no team starves: engine time is shared by weight, independent of the sizes of the requests") {
  CHECK(rc::check("fairness", [](std::uint64_t Seed) {
    AdmissionQueue Queue(100'000);
    Queue.setConfiguration(threeTeams());
    const TimePoint DistantDeadline = StartTime + std::chrono::hours(100);
    std::mt19937_64 Random(Seed);
    const std::uint32_t LargestTeam = Random() % 3;
    for (std::uint32_t Team = 0; Team < 3; ++Team)
      for (int Index = 0; Index < (Team == LargestTeam ? 2000 : 300); ++Index)
        RC_ASSERT(Queue
                      .offer(request(Team, std::chrono::milliseconds(1 + Random() % 2000), DistantDeadline),
                             StartTime)
                      .hasValue());
    std::map<TeamId, double> ServedSeconds;
    // Each team has queued about 300 s of engine time or more, and 100 s are served, so no queue runs empty.
    for (double TotalSeconds = 0.0; TotalSeconds < 100.0;) {
      const QueuedRequest Served = Queue.take(StartTime).value();
      TotalSeconds += std::chrono::duration<double>(Served.m_EngineTime).count();
      ServedSeconds[Served.m_Team] += std::chrono::duration<double>(Served.m_EngineTime).count();
    }
    for (int Team = 0; Team < 3; ++Team)
      RC_ASSERT(std::abs(ServedSeconds[TeamId("team" + std::to_string(Team))] - 100.0 * (Team + 1) / 6.0) <
                6.0);
  }));
}

TEST_CASE("within a team the request with the highest value per second is served first, and a full queue "
          "sheds the one with the lowest") {
  AdmissionQueue Queue(2);
  Queue.setConfiguration(threeTeams());
  const TimePoint DistantDeadline = StartTime + std::chrono::hours(1);
  REQUIRE(Queue.offer(request(0, std::chrono::seconds(1), DistantDeadline), StartTime).hasValue());
  REQUIRE(Queue.offer(request(0, std::chrono::seconds(1), DistantDeadline, "urgent"), StartTime).hasValue());
  Expected<std::uint64_t> LongRequest =
      Queue.offer(request(0, std::chrono::seconds(9), DistantDeadline), StartTime);
  REQUIRE_FALSE(LongRequest);
  CHECK(LongRequest.error().m_Code == ErrorCode::Overloaded);
  // Team 1 is below its share, so team 0's request with the lowest value per second is shed.
  REQUIRE(Queue.offer(request(1, std::chrono::seconds(1), DistantDeadline), StartTime).hasValue());
  const std::vector<RejectedRequest> Rejected = Queue.takeRejected(StartTime);
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0].m_Request.m_Task == TaskName("usual"));
  std::vector<TaskName> Order;
  while (std::optional<QueuedRequest> Served = Queue.take(StartTime))
    if (Served->m_Team == TeamId("team0"))
      Order.push_back(Served->m_Task);
  CHECK(Order == std::vector<TaskName>{TaskName("urgent")});
}

TEST_CASE("retries never exceed their share of the requests plus the reserve") {
  CHECK(rc::check("retry budget", [](const std::vector<bool> &RetryFlags) {
    RetryBudget Budget(0.1, 1.0);
    int Requests = 0;
    int Retries = 0;
    for (bool IsRetry : RetryFlags) {
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

TEST_CASE("the link budget rejects long answers first, then short answers, and never control traffic") {
  LinkBudget Link(1000, 1);
  CHECK(Link.take(LinkTraffic::LongAnswer, Bytes(500), StartTime).hasValue());
  CHECK_FALSE(Link.take(LinkTraffic::LongAnswer, Bytes(1), StartTime).hasValue());
  CHECK(Link.take(LinkTraffic::ShortAnswer, Bytes(400), StartTime).hasValue());
  CHECK_FALSE(Link.take(LinkTraffic::ShortAnswer, Bytes(1), StartTime).hasValue());
  CHECK(Link.take(LinkTraffic::Control, Bytes(5000), StartTime).hasValue());
  CHECK_FALSE(Link.allows(LinkTraffic::ShortAnswer, Bytes(1), StartTime + std::chrono::seconds(4)));
  CHECK(Link.allows(LinkTraffic::LongAnswer, Bytes(100), StartTime + std::chrono::seconds(60)));
}
