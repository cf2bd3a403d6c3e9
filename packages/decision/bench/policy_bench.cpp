#include "bench.h"
#include "simulation.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

namespace bulrushpitch::bench {

namespace {

constexpr double RunSeconds = 420.0;
constexpr double WarmUp = 180.0;

double percentile(std::vector<float> Values, double Share) {
  if (Values.empty())
    return 0.0;
  const std::size_t At =
      std::min(Values.size() - 1, static_cast<std::size_t>(Share * static_cast<double>(Values.size())));
  std::nth_element(Values.begin(), Values.begin() + static_cast<std::ptrdiff_t>(At), Values.end());
  return Values[At];
}

/// Means over the seeds, printed in the order in which they were first added.
class Report {
public:
  void add(const std::string &Name, double Value, const char *Unit) {
    const auto [Found, IsNew] = m_Lines.try_emplace(Name);
    if (IsNew)
      m_Order.push_back(Name);
    Found->second.m_Sum += Value;
    Found->second.m_Count += 1;
    Found->second.m_Unit = Unit;
  }
  void print() const {
    for (const std::string &Name : m_Order) {
      const Line &Each = m_Lines.at(Name);
      std::printf("%s %.4g %s\n", Name.c_str(), Each.m_Sum / Each.m_Count, Each.m_Unit);
    }
    std::fflush(stdout);
  }

private:
  struct Line {
    double m_Sum = 0.0;
    int m_Count = 0;
    const char *m_Unit = "";
  };
  std::map<std::string, Line> m_Lines;
  std::vector<std::string> m_Order;
};

double costPerAnswer(const Outcome &Run) {
  return Run.m_Cost / std::max<double>(1.0, static_cast<double>(Run.m_Answered));
}

/// @return the least distance of a task's mean rating to its target
double qualityMargin(const Site &At, const Outcome &Run) {
  double Least = 1.0;
  for (std::size_t Task = 0; Task < At.m_Tasks.size(); ++Task)
    if (Run.m_RatedTask[Task] > 0)
      Least = std::min(Least, Run.m_Rating[Task] / static_cast<double>(Run.m_RatedTask[Task]) -
                                  At.m_Tasks[Task].m_Target);
  return Least;
}

void addLatency(Report &Lines, const std::string &Prefix, const char *Name,
                const std::vector<float> &Values) {
  for (int Percent : {50, 95, 99})
    Lines.add(Prefix + Name + "_p" + std::to_string(Percent), 1000.0 * percentile(Values, Percent / 100.0),
              "ms");
}

/// @return the 99th percentile of a task's requests, with missed ones counted at their deadlines
double taskTail(const std::vector<Job> &Trace, std::size_t Task, const std::vector<float> &Seconds) {
  std::vector<float> Values;
  for (std::size_t Index = 0; Index < Trace.size(); ++Index)
    if (Trace[Index].m_Task == Task && Trace[Index].m_Arrival >= WarmUp)
      Values.push_back(Seconds[Index]);
  return percentile(std::move(Values), 0.99);
}

/// @return the same over all tasks
double wholeTail(const std::vector<Job> &Trace, const std::vector<float> &Seconds) {
  std::vector<float> Values;
  for (std::size_t Index = 0; Index < Trace.size(); ++Index)
    if (Trace[Index].m_Arrival >= WarmUp)
      Values.push_back(Seconds[Index]);
  return percentile(std::move(Values), 0.99);
}

/// The least of the baselines' tails, to compare ours with.
struct Tails {
  double m_Ours = 0.0;
  double m_LeastBaseline = 1e300;

  void add(Policy How, bool ReachesTarget, double Value) {
    if (How == Policy::Ours)
      m_Ours = Value;
    else if (How != Policy::Oracle && ReachesTarget)
      m_LeastBaseline = std::min(m_LeastBaseline, Value);
  }
};

void loadRuns(Report &Lines, const Site &At, std::uint64_t Seed, bool OnlyOurs) {
  for (int Load : {70, 90, 110}) {
    const std::vector<Job> Trace = makeTrace(At, fullRate(At) * Load / 100.0, RunSeconds, Seed);
    const std::string AtLoad = At.m_Name + "_load" + std::to_string(Load) + "_";
    Tails FirstAll;
    Tails WholeAll;
    std::vector<Tails> First(At.m_Tasks.size());
    std::vector<Tails> Whole(At.m_Tasks.size());
    std::map<Policy, double> Cost;
    for (int Each = 0; Each <= static_cast<int>(Policy::Oracle); ++Each) {
      const Policy How = static_cast<Policy>(Each);
      if (OnlyOurs && How != Policy::Ours && How != Policy::Oracle)
        continue;
      const Outcome Run = Simulation(At, Trace, How, {.m_Seconds = RunSeconds}, Seed).run();
      const std::string Prefix = AtLoad + nameOf(How) + "_";
      Lines.add(Prefix + "cost", costPerAnswer(Run), "microcents/answer");
      Lines.add(Prefix + "quality_margin", qualityMargin(At, Run), "rating");
      Lines.add(Prefix + "answered", static_cast<double>(Run.m_Answered) / static_cast<double>(Run.m_Offered),
                "share");
      addLatency(Lines, Prefix, "first_token", Run.m_First);
      addLatency(Lines, Prefix, "gap", Run.m_Gap);
      addLatency(Lines, Prefix, "whole", Run.m_Whole);
      Cost[How] = costPerAnswer(Run);
      FirstAll.add(How, qualityMargin(At, Run) >= -0.005, wholeTail(Trace, Run.m_FirstOfJob));
      WholeAll.add(How, qualityMargin(At, Run) >= -0.005, wholeTail(Trace, Run.m_WholeOfJob));
      for (std::size_t Task = 0; Task < At.m_Tasks.size(); ++Task) {
        const bool Reaches = qualityMargin(At, Run) >= -0.005;
        const double FirstTail = taskTail(Trace, Task, Run.m_FirstOfJob);
        const double WholeTail = taskTail(Trace, Task, Run.m_WholeOfJob);
        First[Task].add(How, Reaches, FirstTail);
        Whole[Task].add(How, Reaches, WholeTail);
        Lines.add(Prefix + At.m_Tasks[Task].m_Name.value() + "_first_token_p99_all", 1000.0 * FirstTail,
                  "ms");
        Lines.add(Prefix + At.m_Tasks[Task].m_Name.value() + "_whole_p99_all", 1000.0 * WholeTail, "ms");
      }
    }
    Lines.add(AtLoad + "cost_over_oracle", Cost[Policy::Ours] / Cost[Policy::Oracle], "ratio");
    if (OnlyOurs)
      continue;
    Lines.add(AtLoad + "cost_over_always_best", Cost[Policy::Ours] / Cost[Policy::AlwaysBest], "ratio");
    Lines.add(AtLoad + "first_token_p99_over_least_baseline", FirstAll.m_Ours / FirstAll.m_LeastBaseline,
              "ratio");
    Lines.add(AtLoad + "whole_p99_over_least_baseline", WholeAll.m_Ours / WholeAll.m_LeastBaseline, "ratio");
    for (std::size_t Task = 0; Task < At.m_Tasks.size(); ++Task) {
      const std::string Name = AtLoad + At.m_Tasks[Task].m_Name.value();
      Lines.add(Name + "_first_token_p99_over_least_baseline",
                First[Task].m_Ours / First[Task].m_LeastBaseline, "ratio");
      Lines.add(Name + "_whole_p99_over_least_baseline", Whole[Task].m_Ours / Whole[Task].m_LeastBaseline,
                "ratio");
    }
  }
}

void rolloutRuns(Report &Lines, const Site &At, std::uint64_t Seed) {
  const std::vector<Job> Trace = makeTrace(At, fullRate(At) * 0.7, RunSeconds, Seed);
  const std::pair<const char *, RolloutStyle> Styles[] = {{"staged", RolloutStyle::Staged},
                                                          {"fixed_share_tested", RolloutStyle::FixedTested},
                                                          {"fixed_share", RolloutStyle::Fixed}};
  for (const auto &[Name, Style] : Styles)
    for (bool Shared : {true, false}) {
      if (!Shared && Style != RolloutStyle::Staged)
        continue;
      const Outcome Run =
          Simulation(At, Trace, Policy::Ours,
                     {.m_Seconds = RunSeconds, .m_Rollout = Style, .m_SharedRatings = Shared}, Seed)
              .run();
      Lines.add(At.m_Name + "_exposure_" + Name + (Shared ? "" : "_unshared_ratings"),
                static_cast<double>(Run.m_OnNew), "requests");
    }
}

void domainRuns(Report &Lines, const Site &At, std::uint64_t Seed, bool OnlyOurs) {
  // With a third of the engines gone, 60% of the whole capacity is 90% of the rest.
  const std::vector<Job> Trace = makeTrace(At, fullRate(At) * 0.6, RunSeconds, Seed);
  const Scenario What{.m_Seconds = RunSeconds,
                      .m_Domain = At.m_Config.m_Domains.rbegin()->first,
                      .m_OutAt = 90.0,
                      .m_BackAt = 150.0};
  const Outcome Feasible = Simulation(At, Trace, Policy::Oracle, What, Seed).run();
  for (int Each = 0; Each < static_cast<int>(Policy::Oracle); ++Each) {
    if (OnlyOurs && Each > 0)
      continue;
    const Outcome Run = Simulation(At, Trace, static_cast<Policy>(Each), What, Seed).run();
    double Could = 0.0;
    double Missed = 0.0;
    // From the order to leave until the engines that returned are warm again.
    for (std::size_t Index = 0; Index < Trace.size(); ++Index)
      if (Trace[Index].m_Arrival >= What.m_OutAt && Trace[Index].m_Arrival < What.m_BackAt + 40.0 &&
          Feasible.m_OnTime[Index]) {
        Could += 1.0;
        Missed += Run.m_OnTime[Index] ? 0.0 : 1.0;
      }
    Lines.add(At.m_Name + "_domain_" + nameOf(static_cast<Policy>(Each)) + "_missed", 100.0 * Missed / Could,
              "percent");
  }
}

} // namespace

void runPolicy(const std::vector<std::uint64_t> &Seeds, bool OnlyOurs) {
  for (const Site &At : {ampara(), dlazdice()}) {
    Report Lines;
    Lines.add(At.m_Name + "_full_rate", fullRate(At), "requests/s");
    for (std::uint64_t Seed : Seeds) {
      loadRuns(Lines, At, Seed, OnlyOurs);
      rolloutRuns(Lines, At, Seed);
      domainRuns(Lines, At, Seed, OnlyOurs);
    }
    Lines.print();
  }
}

} // namespace bulrushpitch::bench
