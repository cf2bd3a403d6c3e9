#include "bench.h"

#include "bulrushpitch/decision/decision.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace bulrushpitch::bench {

namespace {

Configuration configuration(int Upstreams, int Versions) {
  Configuration Config;
  const ModelId Model("model");
  Config.m_Models[Model] = {Model, CascadeId("cascade")};
  Cascade Steps{CascadeId("cascade"), {}};
  for (int At = 0; At < Versions; ++At) {
    const VersionId Id("version-" + std::to_string(At));
    Config.m_Versions[Id] = {
        Id, Model, VersionState::Active, MicroCents(1 + At), MicroCents(4 + 4 * At), 0.6 + 0.03 * At};
    if (At < 3)
      Steps.m_Steps.push_back({Id, 0.8});
  }
  Config.m_Cascades[Steps.m_Id] = Steps;
  Config.m_Rollouts[RolloutId("rollout")] = {RolloutId("rollout"), Model, VersionId("version-0"),
                                             VersionId("version-1"), 0.1};
  for (int At = 0; At < 6; ++At) {
    const DomainId Id("domain-" + std::to_string(At));
    Config.m_Domains[Id] = {Id, RegionId(At % 2 == 0 ? "west" : "hill"), DomainState::In};
  }
  for (int At = 0; At < Upstreams; ++At) {
    Upstream Each;
    Each.m_Id = UpstreamId("a-long-domain-name/engine-" + std::to_string(At));
    Each.m_Domain = DomainId("domain-" + std::to_string(At / Versions % 6));
    Each.m_Versions = {VersionId("version-" + std::to_string(At % Versions))};
    Config.m_Upstreams[Each.m_Id] = Each;
  }
  const TeamId Guild("guild");
  Config.m_Teams[Guild] = {Guild, {}, {Model}, {}, {}, 1.0, 0.7, {}};
  return Config;
}

void measure(int Upstreams, int Versions) {
  QualityEstimator Quality;
  UpstreamTable Table;
  RolloutController Rollouts;
  LinkBudget Link;
  RandomHook Random = seededRandom(3);
  Router Routes(Quality, Table, Rollouts, Link, {.m_Region = RegionId("west")}, seededRandom(5));
  const Configuration Config = configuration(Upstreams, Versions);
  TimePoint Now{std::chrono::hours(1)};
  Routes.setConfiguration(Config, Now);
  for (const auto &[Id, Each] : Config.m_Upstreams) {
    Table.setWarm(Id, Now);
    Table.onReport({Id, "1", Now, std::chrono::milliseconds(300), static_cast<std::uint32_t>(Random() % 28),
                    0, 800.0, false, false});
  }
  std::vector<RouteRequest> Requests;
  for (int At = 0; At < 256; ++At) {
    RouteRequest Request;
    Request.m_Team = TeamId("guild");
    Request.m_Model = ModelId("model");
    Request.m_Task = TaskName("task-" + std::to_string(At % 3));
    Request.m_Request = RequestId("request-of-usual-length-" + std::to_string(At));
    Request.m_Quality = 0.4 + 0.05 * (At % 5);
    Request.m_Deadline = Now + std::chrono::hours(1);
    Request.m_PromptTokens = Tokens(400);
    Request.m_ExpectedTokens = Tokens(100);
    Request.m_PrefixHashes = {Random() % 64, Random() % 4096};
    Requests.push_back(Request);
    for (std::uint64_t Prefix : Request.m_PrefixHashes)
      Table.assumeCached(static_cast<std::uint32_t>(Random() % Config.m_Upstreams.size()), Prefix);
    for (const auto &[Id, Each] : Config.m_Versions)
      Quality.record(Request.m_Team, Request.m_Task, Id, 0.7, Now);
  }
  RouteDecision Decision;
  const auto Run = [&](std::size_t Count) {
    std::size_t Placed = 0;
    for (std::size_t At = 0; At < Count; ++At)
      Placed += Routes.decideInto(Requests[At % Requests.size()], Now, Decision).hasValue() ? 1 : 0;
    return Placed;
  };
  Run(2000);
  constexpr std::size_t Count = 100'000;
  std::vector<double> Rounds;
  const std::uint64_t Before = allocations();
  std::size_t Placed = 0;
  for (int Round = 0; Round < 5; ++Round) {
    const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
    Placed += Run(Count);
    Rounds.push_back(
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - Start).count() / Count);
  }
  const double Each = static_cast<double>(allocations() - Before) / (5.0 * Count);
  std::sort(Rounds.begin(), Rounds.end());
  const std::string Name =
      "decision_" + std::to_string(Upstreams) + "_upstreams_" + std::to_string(Versions) + "_versions";
  std::printf("%s %.0f ns\n", Name.c_str(), Rounds[2]);
  std::printf("%s_allocations %.4f per_decision\n", Name.c_str(), Each);
  std::printf("%s_placed %.4f share\n", Name.c_str(), static_cast<double>(Placed) / (5.0 * Count));
}

} // namespace

void runDecision() {
  for (int Upstreams : {20, 600})
    for (int Versions : {3, 9})
      measure(Upstreams, Versions);
}

} // namespace bulrushpitch::bench
