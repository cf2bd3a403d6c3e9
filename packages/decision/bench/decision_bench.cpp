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
  Cascade AddedCascade{CascadeId("cascade"), {}};
  for (int Index = 0; Index < Versions; ++Index) {
    const VersionId Id("version-" + std::to_string(Index));
    Config.m_Versions[Id] = {Id,
                             Model,
                             VersionState::Active,
                             MicroCents(1 + Index),
                             MicroCents(4 + 4 * Index),
                             0.6 + 0.03 * Index};
    if (Index < 3)
      AddedCascade.m_Steps.push_back({Id, 0.8});
  }
  Config.m_Cascades[AddedCascade.m_Id] = AddedCascade;
  Config.m_Rollouts[RolloutId("rollout")] = {RolloutId("rollout"), Model, VersionId("version-0"),
                                             VersionId("version-1"), 0.1};
  for (int Index = 0; Index < 6; ++Index) {
    const DomainId Id("domain-" + std::to_string(Index));
    Config.m_Domains[Id] = {Id, RegionId(Index % 2 == 0 ? "west" : "hill"), DomainState::In};
  }
  for (int Index = 0; Index < Upstreams; ++Index) {
    Upstream Added;
    Added.m_Id = UpstreamId("a-long-domain-name/engine-" + std::to_string(Index));
    Added.m_Domain = DomainId("domain-" + std::to_string(Index / Versions % 6));
    Added.m_Versions = {VersionId("version-" + std::to_string(Index % Versions))};
    Config.m_Upstreams[Added.m_Id] = Added;
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
  Router TestRouter(Quality, Table, Rollouts, Link, {.m_Region = RegionId("west")}, seededRandom(5));
  const Configuration Config = configuration(Upstreams, Versions);
  TimePoint Now{std::chrono::hours(1)};
  TestRouter.setConfiguration(Config, Now);
  for (const auto &[Id, ConfiguredUpstream] : Config.m_Upstreams) {
    Table.setWarm(Id, Now);
    Table.onReport({Id, "1", Now, std::chrono::milliseconds(300), static_cast<std::uint32_t>(Random() % 28),
                    0, 800.0, false, false});
  }
  std::vector<RouteRequest> Requests;
  for (int Index = 0; Index < 256; ++Index) {
    RouteRequest Request;
    Request.m_Team = TeamId("guild");
    Request.m_Model = ModelId("model");
    Request.m_Task = TaskName("task-" + std::to_string(Index % 3));
    Request.m_Request = RequestId("request-of-usual-length-" + std::to_string(Index));
    Request.m_QualityTarget = 0.4 + 0.05 * (Index % 5);
    Request.m_Deadline = Now + std::chrono::hours(1);
    Request.m_PromptTokens = Tokens(400);
    Request.m_ExpectedTokens = Tokens(100);
    Request.m_PrefixHashes = {Random() % 64, Random() % 4096};
    Requests.push_back(Request);
    for (std::uint64_t Prefix : Request.m_PrefixHashes)
      Table.assumeCached(static_cast<std::uint32_t>(Random() % Config.m_Upstreams.size()), Prefix);
    for (const auto &[Id, ConfiguredVersion] : Config.m_Versions)
      Quality.record(Request.m_Team, Request.m_Task, Id, 0.7, Now);
  }
  RouteDecision Decision;
  const auto Run = [&](std::size_t Count) {
    std::size_t PlacedCount = 0;
    for (std::size_t Index = 0; Index < Count; ++Index)
      PlacedCount +=
          TestRouter.decideInto(Requests[Index % Requests.size()], Now, Decision).hasValue() ? 1 : 0;
    return PlacedCount;
  };
  Run(2000);
  constexpr std::size_t DecisionsPerRound = 100'000;
  std::vector<double> NanosecondsPerDecision;
  const std::uint64_t AllocationsBefore = allocations();
  std::size_t PlacedCount = 0;
  for (int Round = 0; Round < 5; ++Round) {
    const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
    PlacedCount += Run(DecisionsPerRound);
    NanosecondsPerDecision.push_back(
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - Start).count() /
        DecisionsPerRound);
  }
  const double AllocationsPerDecision =
      static_cast<double>(allocations() - AllocationsBefore) / (5.0 * DecisionsPerRound);
  std::sort(NanosecondsPerDecision.begin(), NanosecondsPerDecision.end());
  const std::string Name =
      "decision_" + std::to_string(Upstreams) + "_upstreams_" + std::to_string(Versions) + "_versions";
  std::printf("%s %.0f ns\n", Name.c_str(), NanosecondsPerDecision[2]);
  std::printf("%s_allocations %.4f per_decision\n", Name.c_str(), AllocationsPerDecision);
  std::printf("%s_placed %.4f share\n", Name.c_str(),
              static_cast<double>(PlacedCount) / (5.0 * DecisionsPerRound));
}

} // namespace

void runDecision() {
  for (int Upstreams : {20, 600})
    for (int Versions : {3, 9})
      measure(Upstreams, Versions);
}

} // namespace bulrushpitch::bench
