#include "site.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace bulrushpitch::bench {

namespace {

struct VersionPlan {
  const char *m_Name;
  int m_Price; ///< Per prompt token; a generated token costs four times as much.
  double m_Prior;
  double m_Gap;
  double m_Prefill;
  std::vector<double> m_Quality;
  std::vector<int> m_Engines; ///< By domain.
};

void addEngines(Site &At, const VersionPlan &Plan, const std::vector<DomainId> &Domains) {
  for (std::size_t Domain = 0; Domain < Domains.size(); ++Domain)
    for (int Copy = 0; Copy < Plan.m_Engines[Domain]; ++Copy) {
      Upstream Engine;
      Engine.m_Id =
          UpstreamId(std::string(Plan.m_Name) + "-" + std::to_string(Domain) + std::to_string(Copy));
      Engine.m_Domain = Domains[Domain];
      Engine.m_Versions = {VersionId(Plan.m_Name)};
      Engine.m_ColdLimit = 2;
      At.m_Config.m_Upstreams[Engine.m_Id] = Engine;
    }
}

Site build(std::string Name, const std::vector<std::pair<DomainId, RegionId>> &Domains,
           std::vector<TaskProfile> Tasks, const std::vector<VersionPlan> &Plans) {
  Site At;
  At.m_Name = std::move(Name);
  At.m_Tasks = std::move(Tasks);
  const ModelId Model("model");
  std::vector<DomainId> Names;
  for (const auto &[Id, Region] : Domains) {
    At.m_Config.m_Domains[Id] = {Id, Region, DomainState::In};
    Names.push_back(Id);
  }
  Cascade Steps{CascadeId("cascade"), {}};
  for (const VersionPlan &Plan : Plans) {
    const VersionId Id(Plan.m_Name);
    At.m_Config.m_Versions[Id] = {Id,
                                  Model,
                                  VersionState::Active,
                                  MicroCents(Plan.m_Price),
                                  MicroCents(std::int64_t{4} * Plan.m_Price),
                                  Plan.m_Prior};
    At.m_Versions.push_back({Id, Plan.m_Gap, Plan.m_Prefill, Plan.m_Quality});
    addEngines(At, Plan, Names);
    if (&Plan != &Plans.front())
      Steps.m_Steps.push_back({Id, 0.82});
  }
  At.m_Config.m_Cascades[Steps.m_Id] = Steps;
  At.m_Config.m_Models[Model] = {Model, Steps.m_Id};
  for (int Team = 0; Team < 10; ++Team) {
    const TeamId Id("team" + std::to_string(Team));
    At.m_Config.m_Teams[Id] = {Id, {}, {Model}, {}, {}, Team < 3 ? 4.0 : 1.0, 0.7, {}};
  }
  return At;
}

double tail(double Z) { return 0.5 * std::erfc(Z / std::numbers::sqrt2); }

/// Seconds of one of the engine's places that a request takes in a full batch.
double placeSeconds(const VersionTruth &Version, const TaskProfile &Task) {
  const double Prefill = 0.5 * Task.m_PromptTokens / Version.m_PrefillPerSecond / Version.m_Gap;
  return FullBatchSlowdown * Version.m_Gap * (Prefill + Task.m_Tokens);
}

double priceOf(const Site &At, std::size_t Version, const TaskProfile &Task) {
  const bulrushpitch::Version &Known = At.m_Config.m_Versions.at(At.m_Versions[Version].m_Id);
  return static_cast<double>(Known.m_PromptPrice.value()) * Task.m_PromptTokens +
         static_cast<double>(Known.m_CompletionPrice.value()) * Task.m_Tokens;
}

/// Share of the answers of the cascade's first step that are not kept.
double escalated(const Site &At, std::size_t Task, std::size_t Version, double AcceptAt) {
  const double Spread = std::hypot(DifficultySpread, AnswerSpread);
  return 1.0 - tail((AcceptAt - At.m_Versions[Version].m_Quality[Task]) / Spread);
}

} // namespace

Site ampara() {
  const RegionId West("west");
  return build(
      "ampara",
      {{DomainId("hill-a"), RegionId("hill")}, {DomainId("west-a"), West}, {DomainId("west-b"), West}},
      {{TaskName("answer"), 0.55, 350, 60, 6, 0.80, true},
       {TaskName("tag"), 0.35, 150, 8, 3, 0.70, false},
       {TaskName("summary"), 0.10, 2500, 350, 60, 0.85, false}},
      {{"small", 1, 0.72, 0.008, 16'000, {0.74, 0.80, 0.66}, {1, 1, 1}},
       {"medium", 4, 0.80, 0.014, 8'000, {0.86, 0.88, 0.83}, {3, 3, 3}},
       {"large", 12, 0.88, 0.024, 4'000, {0.92, 0.94, 0.91}, {2, 3, 3}}});
}

Site dlazdice() {
  const RegionId Zapad("zapad");
  return build("dlazdice",
               {{DomainId("bratislava-a"), Zapad},
                {DomainId("kosice-a"), RegionId("vychod")},
                {DomainId("trnava-a"), Zapad}},
               {{TaskName("report"), 0.20, 2000, 700, 120, 0.86, false},
                {TaskName("match"), 0.35, 500, 15, 5, 0.75, false},
                {TaskName("reply"), 0.45, 250, 60, 10, 0.72, true}},
               {{"small", 1, 0.74, 0.008, 16'000, {0.62, 0.82, 0.79}, {1, 1, 1}},
                {"medium", 4, 0.80, 0.014, 8'000, {0.84, 0.87, 0.86}, {1, 1, 1}},
                {"large", 12, 0.88, 0.024, 4'000, {0.91, 0.93, 0.92}, {1, 1, 2}}});
}

double ratingOf(const Site &At, const Job &Asked, std::size_t Version) {
  // A normal value from the sum of uniform ones, so that the rating is the same at every policy and step.
  double Sum = -6.0;
  std::uint64_t State = mixHash(Asked.m_Noise, Version + 1);
  for (int Draw = 0; Draw < 12; ++Draw) {
    State = mixHash(State, 7);
    Sum += static_cast<double>(State >> 11U) * 0x1.0p-53;
  }
  return std::clamp(At.m_Versions[Version].m_Quality[Asked.m_Task] + Asked.m_Difficulty + AnswerSpread * Sum,
                    0.0, 1.0);
}

BestChoice bestChoice(const Site &At, std::size_t Task) {
  BestChoice Best;
  Best.m_Cost = 1e300;
  const TaskProfile &Profile = At.m_Tasks[Task];
  const std::size_t Tiers = 3;
  for (std::size_t Version = 0; Version < Tiers; ++Version)
    if (At.m_Versions[Version].m_Quality[Task] >= Profile.m_Target &&
        priceOf(At, Version, Profile) < Best.m_Cost)
      Best = {{static_cast<std::uint32_t>(Version)}, 0.0, priceOf(At, Version, Profile)};
  const std::vector<CascadeStep> &Steps = At.m_Config.m_Cascades.begin()->second.m_Steps;
  const double AcceptAt = Steps.front().m_AcceptAt;
  const double Escalated = escalated(At, Task, 1, AcceptAt);
  const double Spread = std::hypot(DifficultySpread, AnswerSpread);
  const double Z = (AcceptAt - At.m_Versions[1].m_Quality[Task]) / Spread;
  const double Quality = At.m_Versions[1].m_Quality[Task] * (1.0 - Escalated) +
                         Spread * std::exp(-0.5 * Z * Z) * std::numbers::inv_sqrtpi / std::numbers::sqrt2 +
                         Escalated * At.m_Versions[2].m_Quality[Task];
  const double Cost = priceOf(At, 1, Profile) + Escalated * priceOf(At, 2, Profile);
  if (Quality >= Profile.m_Target && Cost < Best.m_Cost)
    Best = {{1, 2}, AcceptAt, Cost};
  return Best;
}

double fullRate(const Site &At) {
  std::vector<double> PlaceSeconds(At.m_Versions.size(), 0.0);
  for (std::size_t Task = 0; Task < At.m_Tasks.size(); ++Task) {
    const BestChoice Best = bestChoice(At, Task);
    double Reach = At.m_Tasks[Task].m_Share;
    for (std::uint32_t Version : Best.m_Steps) {
      PlaceSeconds[Version] += Reach * placeSeconds(At.m_Versions[Version], At.m_Tasks[Task]);
      Reach *= escalated(At, Task, Version, Best.m_AcceptAt);
    }
  }
  double Rate = 1e300;
  for (std::size_t Version = 0; Version < At.m_Versions.size(); ++Version) {
    double Places = 0.0;
    for (const auto &[Id, Engine] : At.m_Config.m_Upstreams)
      if (Engine.m_Versions.front() == At.m_Versions[Version].m_Id)
        Places += Engine.m_Capacity;
    if (PlaceSeconds[Version] > 0.0)
      Rate = std::min(Rate, Places / PlaceSeconds[Version]);
  }
  return Rate;
}

std::vector<Job> makeTrace(const Site &At, double Rate, double Seconds, std::uint64_t Seed) {
  std::mt19937_64 Engine(Seed);
  std::exponential_distribution<double> Pause(Rate);
  std::uniform_real_distribution<double> Uniform(0.0, 1.0);
  std::normal_distribution<double> Normal(0.0, 1.0);
  std::vector<Job> Trace;
  for (double Now = Pause(Engine); Now < Seconds; Now += Pause(Engine)) {
    Job Next;
    Next.m_Arrival = Now;
    // A few large teams: the first three send 70% of the requests.
    Next.m_Team = static_cast<std::uint32_t>(Uniform(Engine) < 0.7 ? Engine() % 3 : 3 + Engine() % 7);
    double Draw = Uniform(Engine);
    while (Next.m_Task + 1 < At.m_Tasks.size() && Draw >= At.m_Tasks[Next.m_Task].m_Share)
      Draw -= At.m_Tasks[Next.m_Task++].m_Share;
    const TaskProfile &Task = At.m_Tasks[Next.m_Task];
    Next.m_Daemon = static_cast<std::uint32_t>(Engine() % At.m_Daemons);
    // Sessions last a minute, about five requests each.
    if (Task.m_Session)
      Next.m_Session = 1 + static_cast<std::uint64_t>(Now / 60.0) * 1'000'000 +
                       Engine() % static_cast<std::uint64_t>(1.0 + Rate * Task.m_Share * 60.0 / 5.0);
    Next.m_PromptTokens = static_cast<std::uint32_t>(Task.m_PromptTokens * (0.5 + Uniform(Engine)));
    Next.m_Tokens = 1 + static_cast<std::uint32_t>(Task.m_Tokens * std::exp(0.4 * Normal(Engine) - 0.08));
    Next.m_Difficulty = DifficultySpread * Normal(Engine);
    Next.m_Noise = Engine();
    Trace.push_back(Next);
  }
  return Trace;
}

} // namespace bulrushpitch::bench
