#include "bulrushpitch/decision/quality.h"

#include <doctest/doctest.h>

#include <random>

using namespace bulrushpitch;

namespace {

const TeamId TeamA("a");
const TeamId TeamB("b");
const TaskName Task("answer");
const VersionId RatedVersion("v");

struct Fixture {
  QualityEstimator m_Quality;
  std::mt19937_64 m_Random{7};
  TimePoint m_Now{std::chrono::hours(1)};

  Fixture() {
    Configuration Config;
    Config.m_Versions[RatedVersion] = {RatedVersion,  ModelId("m"),  VersionState::Active,
                                       MicroCents(1), MicroCents(1), 0.7};
    m_Quality.setConfiguration(Config);
  }
  void recordRatings(const TeamId &Team, double Mean, int Count) {
    std::normal_distribution<double> Rating(Mean, 0.1);
    for (int Index = 0; Index < Count; ++Index)
      m_Quality.record(Team, Task, RatedVersion, Rating(m_Random), m_Now += std::chrono::milliseconds(100));
  }
};

} // namespace

TEST_CASE("an estimate starts at the prior, then follows the other teams' ratings, then the team's own "
          "ratings, and narrows at each step") {
  Fixture Ratings;
  const QualityEstimate PriorEstimate = Ratings.m_Quality.estimate(TeamA, Task, RatedVersion);
  CHECK(PriorEstimate.m_Mean == doctest::Approx(0.7));
  Ratings.recordRatings(TeamB, 0.9, 200);
  const QualityEstimate OthersEstimate = Ratings.m_Quality.estimate(TeamA, Task, RatedVersion);
  CHECK(OthersEstimate.m_Mean > 0.85);
  CHECK(OthersEstimate.m_StandardError < PriorEstimate.m_StandardError);
  Ratings.recordRatings(TeamA, 0.6, 200);
  const QualityEstimate OwnEstimate = Ratings.m_Quality.estimate(TeamA, Task, RatedVersion);
  CHECK(OwnEstimate.m_Mean == doctest::Approx(0.6).epsilon(0.05));
  CHECK(OwnEstimate.m_StandardError < OthersEstimate.m_StandardError);
  // A team's ratings must not count in another team's estimate as if they were its own.
  CHECK(Ratings.m_Quality.estimate(TeamB, Task, RatedVersion).m_Mean > 0.8);
}

TEST_CASE("a drop in a version's quality is detected within 30 ratings after 1,000 good ones") {
  Fixture Ratings;
  Ratings.recordRatings(TeamA, 0.9, 1000);
  Ratings.recordRatings(TeamA, 0.6, 30);
  CHECK(Ratings.m_Quality.estimate(TeamA, Task, RatedVersion).m_Mean < 0.7);
}

TEST_CASE("an imported summary keeps the mean and widens the uncertainty") {
  Fixture Source;
  Source.recordRatings(TeamA, 0.85, 300);
  const QualityEstimate Before = Source.m_Quality.estimate(TeamA, Task, RatedVersion);
  Fixture Target;
  Target.m_Quality.importSummary(Source.m_Quality.exportSummary(TeamA));
  const QualityEstimate After = Target.m_Quality.estimate(TeamA, Task, RatedVersion);
  CHECK(After.m_Mean == doctest::Approx(Before.m_Mean).epsilon(0.02));
  CHECK(After.m_StandardError > Before.m_StandardError);
  CHECK(After.m_StandardError <
        Target.m_Quality.estimate(TeamB, TaskName("other"), RatedVersion).m_StandardError);
}

TEST_CASE("the history of a steady version keeps its weight when the mix of teams changes") {
  // Guards against a change in the mix of teams being detected as a change of the version.
  Fixture Ratings;
  Ratings.recordRatings(TeamA, 0.6, 100);
  Ratings.recordRatings(TeamB, 0.9, 100);
  const double Before = Ratings.m_Quality.estimate(TeamB, Task, RatedVersion).m_StandardError;
  for (int Round = 0; Round < 20; ++Round) {
    Ratings.recordRatings(TeamA, 0.6, 50);
    Ratings.recordRatings(TeamB, 0.9, 50);
    CHECK(Ratings.m_Quality.estimate(TeamB, Task, RatedVersion).m_StandardError < Before * 1.5);
  }
}
