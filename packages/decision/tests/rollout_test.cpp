#include "bulrushpitch/decision/rollout.h"

#include "bulrushpitch/core/hash.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace bulrushpitch;

namespace {

const RolloutId Id("ro");
const VersionId Old("old");
const VersionId New("new");

Configuration configuration() {
  Configuration Config;
  Config.m_Rollouts[Id] = {Id, ModelId("m"), Old, New, 0.5};
  return Config;
}

/// Rates until the test ends. @return its verdict
RolloutVerdict run(double Drop, std::uint64_t Seed, double TaskGap = 0.0) {
  std::mt19937_64 Engine(Seed);
  std::normal_distribution<double> Noise(0.0, 0.1);
  RolloutController Rollouts;
  Rollouts.setConfiguration(configuration());
  for (int At = 0; At < 20'000 && Rollouts.verdict(Id) == RolloutVerdict::Undecided; ++At) {
    const bool IsNew = Engine() % 4 == 0;
    // The old version sees the harder task more often.
    const bool Hard = Engine() % (IsNew ? 8 : 2) == 0;
    const double Mean = 0.8 - (IsNew ? Drop : 0.0) - (Hard ? TaskGap : 0.0);
    Rollouts.record(IsNew ? New : Old, TaskName(Hard ? "hard" : "easy"), Mean + Noise(Engine));
  }
  return Rollouts.verdict(Id);
}

int countBad(double Drop, double TaskGap = 0.0) {
  int Bad = 0;
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed)
    Bad += run(Drop, Seed, TaskGap) == RolloutVerdict::Bad ? 1 : 0;
  return Bad;
}

} // namespace

TEST_CASE("the rollout's test keeps its error rates of 5% over 400 rollouts, also with unequal task mixes") {
  CHECK(countBad(0.0) <= 30); // 5% of 400 is 20; 30 is more than two standard deviations above.
  CHECK(countBad(0.05) >= 370);
  CHECK(countBad(0.0, 0.3) <= 30);
  CHECK(countBad(0.05, 0.3) >= 370);
}

TEST_CASE("a stopped rollout starts no session on the new version and calls the hook once") {
  int Stops = 0;
  RolloutController Rollouts(
      [&](const RolloutId &Stopped, std::string_view) { Stops += Stopped == Id ? 1 : 100; });
  Rollouts.setConfiguration(configuration());
  for (int At = 0; At < 200; ++At) {
    Rollouts.record(Old, TaskName("t"), 0.9);
    Rollouts.record(New, TaskName("t"), 0.5);
  }
  CHECK(Rollouts.verdict(Id) == RolloutVerdict::Bad);
  CHECK(Stops == 1);
  CHECK_FALSE(Rollouts.startsOnNew(Id, 0));
  Rollouts.setConfiguration(configuration()); // A revision that still says Running does not restart it.
  CHECK_FALSE(Rollouts.startsOnNew(Id, 0));
}

TEST_CASE("a key that starts on the new version still does so after the share has risen") {
  RolloutController Rollouts;
  Rollouts.setConfiguration(configuration());
  const double First = Rollouts.effectiveShare(Id);
  std::vector<std::uint64_t> Early;
  int Started = 0;
  for (int At = 0; At < 10'000; ++At) {
    const std::uint64_t Key = stableHash("session " + std::to_string(At));
    if (Rollouts.startsOnNew(Id, Key) && ++Started > 0)
      Early.push_back(Key);
  }
  CHECK(Started / 10'000.0 == doctest::Approx(First).epsilon(0.1));
  for (int At = 0; At < 500; ++At) {
    Rollouts.record(Old, TaskName("t"), 0.8);
    Rollouts.record(New, TaskName("t"), 0.8);
  }
  CHECK(Rollouts.verdict(Id) == RolloutVerdict::Good);
  CHECK(Rollouts.effectiveShare(Id) == doctest::Approx(0.5));
  for (std::uint64_t Key : Early)
    CHECK(Rollouts.startsOnNew(Id, Key));
}
