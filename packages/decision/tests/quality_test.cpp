#include "bulrushpitch/decision/quality.h"

#include <doctest/doctest.h>

#include <random>

using namespace bulrushpitch;

namespace {

const TeamId A("a");
const TeamId B("b");
const TaskName Task("answer");
const VersionId V("v");

struct Setup {
  QualityEstimator m_Quality;
  std::mt19937_64 m_Engine{7};
  TimePoint m_Now{std::chrono::hours(1)};

  Setup() {
    Configuration Config;
    Config.m_Versions[V] = {V, ModelId("m"), VersionState::Active, MicroCents(1), MicroCents(1), 0.7};
    m_Quality.setConfiguration(Config);
  }
  void rate(const TeamId &Team, double Mean, int Count) {
    std::normal_distribution<double> Rating(Mean, 0.1);
    for (int At = 0; At < Count; ++At)
      m_Quality.record(Team, Task, V, Rating(m_Engine), m_Now += std::chrono::milliseconds(100));
  }
};

} // namespace

TEST_CASE("an estimate starts at the prior, is widened from team to all teams, and narrows with the team's "
          "ratings") {
  Setup Under;
  const QualityEstimate Prior = Under.m_Quality.estimate(A, Task, V);
  CHECK(Prior.m_Mean == doctest::Approx(0.7));
  Under.rate(B, 0.9, 200);
  const QualityEstimate Others = Under.m_Quality.estimate(A, Task, V);
  CHECK(Others.m_Mean > 0.85);
  CHECK(Others.m_Deviation < Prior.m_Deviation);
  Under.rate(A, 0.6, 200);
  const QualityEstimate Own = Under.m_Quality.estimate(A, Task, V);
  CHECK(Own.m_Mean == doctest::Approx(0.6).epsilon(0.05));
  CHECK(Own.m_Deviation < Others.m_Deviation);
  // Guards against a team's ratings changing another's estimate as if they were its own.
  CHECK(Under.m_Quality.estimate(B, Task, V).m_Mean > 0.8);
}

TEST_CASE("a version that turns bad is noticed within 30 ratings after 1,000 good ones") {
  Setup Under;
  Under.rate(A, 0.9, 1000);
  Under.rate(A, 0.6, 30);
  CHECK(Under.m_Quality.estimate(A, Task, V).m_Mean < 0.7);
}

TEST_CASE("an imported summary keeps the mean and widens the uncertainty") {
  Setup Under;
  Under.rate(A, 0.85, 300);
  const QualityEstimate Before = Under.m_Quality.estimate(A, Task, V);
  Setup Fresh;
  Fresh.m_Quality.importSummary(Under.m_Quality.exportSummary(A));
  const QualityEstimate After = Fresh.m_Quality.estimate(A, Task, V);
  CHECK(After.m_Mean == doctest::Approx(Before.m_Mean).epsilon(0.02));
  CHECK(After.m_Deviation > Before.m_Deviation);
  CHECK(After.m_Deviation < Fresh.m_Quality.estimate(B, TaskName("other"), V).m_Deviation);
}

TEST_CASE("a steady version keeps its history, also when the mix of teams changes") {
  // Guards against a change of the mix looking like a change of the version.
  Setup Under;
  Under.rate(A, 0.6, 100);
  Under.rate(B, 0.9, 100);
  const double Before = Under.m_Quality.estimate(B, Task, V).m_Deviation;
  for (int Round = 0; Round < 20; ++Round) {
    Under.rate(A, 0.6, 50);
    Under.rate(B, 0.9, 50);
    CHECK(Under.m_Quality.estimate(B, Task, V).m_Deviation < Before * 1.5);
  }
}
