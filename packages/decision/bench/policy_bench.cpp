#include "bench.h"
#include "simulation.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

namespace bulrushpitch::bench {

namespace {

constexpr double RunSeconds = 420.0;
constexpr double WarmUpSeconds = 180.0;

double percentile(std::vector<float> Values, double Share) {
  if (Values.empty())
    return 0.0;
  const std::size_t Rank =
      std::min(Values.size() - 1, static_cast<std::size_t>(Share * static_cast<double>(Values.size())));
  std::nth_element(Values.begin(), Values.begin() + static_cast<std::ptrdiff_t>(Rank), Values.end());
  return Values[Rank];
}

/// Collects figures and prints their means over the seeds, in the order in which they were first added.
class FigureReport {
public:
  void add(const std::string &Name, double Value, const char *Unit) {
    const auto [Found, IsNew] = m_Figures.try_emplace(Name);
    if (IsNew)
      m_Order.push_back(Name);
    Found->second.m_Sum += Value;
    Found->second.m_Count += 1;
    Found->second.m_Unit = Unit;
  }
  void print() const {
    for (const std::string &Name : m_Order) {
      const Figure &Added = m_Figures.at(Name);
      std::printf("%s %.4g %s\n", Name.c_str(), Added.m_Sum / Added.m_Count, Added.m_Unit);
    }
    std::fflush(stdout);
  }

private:
  struct Figure {
    double m_Sum = 0.0;
    int m_Count = 0;
    const char *m_Unit = "";
  };
  std::map<std::string, Figure> m_Figures;
  std::vector<std::string> m_Order;
};

double costPerAnswer(const RunOutcome &Run) {
  return Run.m_Cost / std::max<double>(1.0, static_cast<double>(Run.m_Answered));
}

/// @return minimum over the tasks of mean rating minus quality target
double qualityMargin(const Site &TestSite, const RunOutcome &Run) {
  double MinMargin = 1.0;
  for (std::size_t Task = 0; Task < TestSite.m_Tasks.size(); ++Task)
    if (Run.m_AnsweredByTask[Task] > 0)
      MinMargin =
          std::min(MinMargin, Run.m_RatingSum[Task] / static_cast<double>(Run.m_AnsweredByTask[Task]) -
                                  TestSite.m_Tasks[Task].m_QualityTarget);
  return MinMargin;
}

void addLatency(FigureReport &Figures, const std::string &Prefix, const char *Name,
                const std::vector<float> &Values) {
  for (int Percent : {50, 95, 99})
    Figures.add(Prefix + Name + "_p" + std::to_string(Percent), 1000.0 * percentile(Values, Percent / 100.0),
                "ms");
}

/// @return 99th percentile of a latency over a task's requests; a request that missed its deadline counts
/// with the deadline
double taskTailLatency(const std::vector<Job> &Trace, std::size_t Task, const std::vector<float> &Seconds) {
  std::vector<float> Values;
  for (std::size_t Index = 0; Index < Trace.size(); ++Index)
    if (Trace[Index].m_Task == Task && Trace[Index].m_Arrival >= WarmUpSeconds)
      Values.push_back(Seconds[Index]);
  return percentile(std::move(Values), 0.99);
}

/// @return the same percentile over the requests of all tasks
double overallTailLatency(const std::vector<Job> &Trace, const std::vector<float> &Seconds) {
  std::vector<float> Values;
  for (std::size_t Index = 0; Index < Trace.size(); ++Index)
    if (Trace[Index].m_Arrival >= WarmUpSeconds)
      Values.push_back(Seconds[Index]);
  return percentile(std::move(Values), 0.99);
}

/// Tail latencies of Bulrushpitch and of the best baseline that reaches the quality targets.
struct TailComparison {
  double m_Bulrushpitch = 0.0;
  double m_MinBaseline = 1e300;

  void add(Policy Used, bool ReachesTarget, double Value) {
    if (Used == Policy::Bulrushpitch)
      m_Bulrushpitch = Value;
    else if (Used != Policy::Oracle && ReachesTarget)
      m_MinBaseline = std::min(m_MinBaseline, Value);
  }
};

void addLoadRuns(FigureReport &Figures, const Site &TestSite, std::uint64_t Seed, bool SkipBaselines) {
  for (int Load : {70, 90, 110}) {
    const std::vector<Job> Trace =
        makeTrace(TestSite, saturationRate(TestSite) * Load / 100.0, RunSeconds, Seed);
    const std::string LoadPrefix = TestSite.m_Name + "_load" + std::to_string(Load) + "_";
    TailComparison OverallFirstToken;
    TailComparison OverallTotal;
    std::vector<TailComparison> FirstTokenByTask(TestSite.m_Tasks.size());
    std::vector<TailComparison> TotalByTask(TestSite.m_Tasks.size());
    std::map<Policy, double> Cost;
    for (int PolicyIndex = 0; PolicyIndex <= static_cast<int>(Policy::Oracle); ++PolicyIndex) {
      const Policy Used = static_cast<Policy>(PolicyIndex);
      if (SkipBaselines && Used != Policy::Bulrushpitch && Used != Policy::Oracle)
        continue;
      const RunOutcome Run = Simulation(TestSite, Trace, Used, {.m_DurationSeconds = RunSeconds}, Seed).run();
      const std::string Prefix = LoadPrefix + nameOf(Used) + "_";
      Figures.add(Prefix + "cost", costPerAnswer(Run), "microcents/answer");
      Figures.add(Prefix + "quality_margin", qualityMargin(TestSite, Run), "rating");
      Figures.add(Prefix + "answered",
                  static_cast<double>(Run.m_Answered) / static_cast<double>(Run.m_Offered), "share");
      addLatency(Figures, Prefix, "first_token", Run.m_FirstToken);
      addLatency(Figures, Prefix, "gap", Run.m_TokenInterval);
      addLatency(Figures, Prefix, "whole", Run.m_Total);
      Cost[Used] = costPerAnswer(Run);
      // Always-best answers only part of the requests, so its cost per answer is that of a different mix.
      if (Used == Policy::Bulrushpitch)
        Figures.add(LoadPrefix + "cost_over_best_version", Run.m_Cost / Run.m_MostExpensiveCost, "ratio");
      OverallFirstToken.add(Used, qualityMargin(TestSite, Run) >= -0.005,
                            overallTailLatency(Trace, Run.m_FirstTokenByJob));
      OverallTotal.add(Used, qualityMargin(TestSite, Run) >= -0.005,
                       overallTailLatency(Trace, Run.m_TotalByJob));
      for (std::size_t Task = 0; Task < TestSite.m_Tasks.size(); ++Task) {
        const bool Reaches = qualityMargin(TestSite, Run) >= -0.005;
        const double FirstTokenTail = taskTailLatency(Trace, Task, Run.m_FirstTokenByJob);
        const double TotalTail = taskTailLatency(Trace, Task, Run.m_TotalByJob);
        FirstTokenByTask[Task].add(Used, Reaches, FirstTokenTail);
        TotalByTask[Task].add(Used, Reaches, TotalTail);
        Figures.add(Prefix + TestSite.m_Tasks[Task].m_Name.value() + "_first_token_p99_all",
                    1000.0 * FirstTokenTail, "ms");
        Figures.add(Prefix + TestSite.m_Tasks[Task].m_Name.value() + "_whole_p99_all", 1000.0 * TotalTail,
                    "ms");
      }
    }
    Figures.add(LoadPrefix + "cost_over_oracle", Cost[Policy::Bulrushpitch] / Cost[Policy::Oracle], "ratio");
    if (SkipBaselines)
      continue;
    Figures.add(LoadPrefix + "first_token_p99_over_least_baseline",
                OverallFirstToken.m_Bulrushpitch / OverallFirstToken.m_MinBaseline, "ratio");
    Figures.add(LoadPrefix + "whole_p99_over_least_baseline",
                OverallTotal.m_Bulrushpitch / OverallTotal.m_MinBaseline, "ratio");
    for (std::size_t Task = 0; Task < TestSite.m_Tasks.size(); ++Task) {
      const std::string Name = LoadPrefix + TestSite.m_Tasks[Task].m_Name.value();
      Figures.add(Name + "_first_token_p99_over_least_baseline",
                  FirstTokenByTask[Task].m_Bulrushpitch / FirstTokenByTask[Task].m_MinBaseline, "ratio");
      Figures.add(Name + "_whole_p99_over_least_baseline",
                  TotalByTask[Task].m_Bulrushpitch / TotalByTask[Task].m_MinBaseline, "ratio");
    }
  }
}

void addRolloutRuns(FigureReport &Figures, const Site &TestSite, std::uint64_t Seed) {
  const std::vector<Job> Trace = makeTrace(TestSite, saturationRate(TestSite) * 0.7, RunSeconds, Seed);
  const std::pair<const char *, RolloutStyle> Styles[] = {{"staged", RolloutStyle::Staged},
                                                          {"fixed_share_tested", RolloutStyle::FixedTested},
                                                          {"fixed_share", RolloutStyle::Fixed}};
  for (const auto &[Name, Style] : Styles)
    for (bool SharesRatings : {true, false}) {
      if (!SharesRatings && Style != RolloutStyle::Staged)
        continue;
      const RunOutcome Run =
          Simulation(
              TestSite, Trace, Policy::Bulrushpitch,
              {.m_DurationSeconds = RunSeconds, .m_Rollout = Style, .m_ExchangeRatings = SharesRatings}, Seed)
              .run();
      Figures.add(TestSite.m_Name + "_exposure_" + Name + (SharesRatings ? "" : "_unshared_ratings"),
                  static_cast<double>(Run.m_AnsweredByNewVersion), "requests");
    }
}

void addDomainRuns(FigureReport &Figures, const Site &TestSite, std::uint64_t Seed, bool SkipBaselines) {
  // Without a third of the engines, 60% of the full capacity is 90% of the remaining capacity.
  const std::vector<Job> Trace = makeTrace(TestSite, saturationRate(TestSite) * 0.6, RunSeconds, Seed);
  const Scenario Outage{.m_DurationSeconds = RunSeconds,
                        .m_Domain = TestSite.m_Config.m_Domains.rbegin()->first,
                        .m_TakeOutAt = 90.0,
                        .m_BringBackAt = 150.0};
  const RunOutcome Feasible = Simulation(TestSite, Trace, Policy::Oracle, Outage, Seed).run();
  for (int PolicyIndex = 0; PolicyIndex < static_cast<int>(Policy::Oracle); ++PolicyIndex) {
    if (SkipBaselines && PolicyIndex > 0)
      continue;
    const RunOutcome Run = Simulation(TestSite, Trace, static_cast<Policy>(PolicyIndex), Outage, Seed).run();
    double FeasibleCount = 0.0;
    double MissedCount = 0.0;
    // From the order to take the domain out until its engines are warm again after their return.
    for (std::size_t Index = 0; Index < Trace.size(); ++Index)
      if (Trace[Index].m_Arrival >= Outage.m_TakeOutAt &&
          Trace[Index].m_Arrival < Outage.m_BringBackAt + 40.0 && Feasible.m_OnTimeByJob[Index]) {
        FeasibleCount += 1.0;
        MissedCount += Run.m_OnTimeByJob[Index] ? 0.0 : 1.0;
      }
    Figures.add(TestSite.m_Name + "_domain_" + nameOf(static_cast<Policy>(PolicyIndex)) + "_missed",
                100.0 * MissedCount / FeasibleCount, "percent");
  }
}

} // namespace

void runPolicy(const std::vector<std::uint64_t> &Seeds, bool SkipBaselines) {
  for (const Site &TestSite : {ampara(), dlazdice()}) {
    FigureReport Figures;
    Figures.add(TestSite.m_Name + "_full_rate", saturationRate(TestSite), "requests/s");
    for (std::uint64_t Seed : Seeds) {
      addLoadRuns(Figures, TestSite, Seed, SkipBaselines);
      addRolloutRuns(Figures, TestSite, Seed);
      addDomainRuns(Figures, TestSite, Seed, SkipBaselines);
    }
    Figures.print();
  }
}

} // namespace bulrushpitch::bench
