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

/// Records ratings until the sequential test ends, 20,000 at most.
/// @param Drop loss of the new version's mean rating
/// @param TaskGap loss of the hard task's mean rating
/// @return the verdict
RolloutVerdict verdictAfterRatings(double Drop, std::uint64_t Seed, double TaskGap = 0.0) {
  std::mt19937_64 Random(Seed);
  std::normal_distribution<double> Noise(0.0, 0.1);
  RolloutController Rollouts;
  Rollouts.setConfiguration(configuration());
  for (int Count = 0; Count < 20'000 && Rollouts.verdict(Id) == RolloutVerdict::Undecided; ++Count) {
    const bool IsNew = Random() % 4 == 0;
    // The old version sees the harder task more often.
    const bool Hard = Random() % (IsNew ? 8 : 2) == 0;
    const double Mean = 0.8 - (IsNew ? Drop : 0.0) - (Hard ? TaskGap : 0.0);
    Rollouts.record(IsNew ? New : Old, TaskName(Hard ? "hard" : "easy"), Mean + Noise(Random));
  }
  return Rollouts.verdict(Id);
}

int countBadVerdicts(double Drop, double TaskGap = 0.0) {
  int BadVerdicts = 0;
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed)
    BadVerdicts += verdictAfterRatings(Drop, Seed, TaskGap) == RolloutVerdict::Bad ? 1 : 0;
  return BadVerdicts;
}

} // namespace

TEST_CASE("the sequential test keeps its error rates of 5% over 400 rollouts, also with unequal task mixes") {
  CHECK(countBadVerdicts(0.0) <= 30); // 5% of 400 is 20; 30 is more than two standard deviations above it.
  CHECK(countBadVerdicts(0.05) >= 370);
  CHECK(countBadVerdicts(0.0, 0.3) <= 30);
  CHECK(countBadVerdicts(0.05, 0.3) >= 370);
}

TEST_CASE("a stopped rollout starts no session on the new version and calls the hook once") {
  int Stops = 0;
  RolloutController Rollouts(
      [&](const RolloutId &StoppedId, std::string_view) { Stops += StoppedId == Id ? 1 : 100; });
  Rollouts.setConfiguration(configuration());
  for (int Round = 0; Round < 200; ++Round) {
    Rollouts.record(Old, TaskName("t"), 0.9);
    Rollouts.record(New, TaskName("t"), 0.5);
  }
  CHECK(Rollouts.verdict(Id) == RolloutVerdict::Bad);
  CHECK(Stops == 1);
  CHECK_FALSE(Rollouts.startsOnNewVersion(Id, 0));
  Rollouts.setConfiguration(configuration()); // A revision that still has state Running must not restart it.
  CHECK_FALSE(Rollouts.startsOnNewVersion(Id, 0));
}

TEST_CASE("a key assigned to the new version stays assigned to it after the share has grown") {
  RolloutController Rollouts;
  Rollouts.setConfiguration(configuration());
  const double InitialShare = Rollouts.effectiveShare(Id);
  std::vector<std::uint64_t> AssignedKeys;
  int AssignedCount = 0;
  for (int Session = 0; Session < 10'000; ++Session) {
    const std::uint64_t Key = stableHash("session " + std::to_string(Session));
    if (Rollouts.startsOnNewVersion(Id, Key) && ++AssignedCount > 0)
      AssignedKeys.push_back(Key);
  }
  CHECK(AssignedCount / 10'000.0 == doctest::Approx(InitialShare).epsilon(0.1));
  for (int Round = 0; Round < 500; ++Round) {
    Rollouts.record(Old, TaskName("t"), 0.8);
    Rollouts.record(New, TaskName("t"), 0.8);
  }
  CHECK(Rollouts.verdict(Id) == RolloutVerdict::Good);
  CHECK(Rollouts.effectiveShare(Id) == doctest::Approx(0.5));
  for (std::uint64_t Key : AssignedKeys)
    CHECK(Rollouts.startsOnNewVersion(Id, Key));
}
