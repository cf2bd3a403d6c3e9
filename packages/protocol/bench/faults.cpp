/// @file
/// @brief Runs the simulations of the property tests with many random fault plans and prints the violations
/// of the guarantees, one figure per line.

#include "charge_simulation.h"
#include "claim_simulation.h"
#include "config_simulation.h"
#include "permit_simulation.h"

#include <iostream>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

constexpr std::uint64_t MinSteps = 100'000;
constexpr int MinPlans = 300;

template <typename Value> void print(const std::string &Name, const Value &Figure, const std::string &Unit) {
  std::cout << Name << " " << Figure << " " << Unit << std::endl;
}

Plan randomPlan(std::mt19937_64 &Random, std::initializer_list<FaultKind> Kinds) {
  Plan RandomPlan;
  RandomPlan.m_Seed = static_cast<std::uint32_t>(Random());
  const std::uint64_t Count = Random() % 5;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    RandomPlan.m_Faults.push_back(Fault{Kinds.begin()[Random() % Kinds.size()],
                                        200 + static_cast<std::int64_t>(Random() % 15'000),
                                        300 + static_cast<std::int64_t>(Random() % 12'000), Random() % 6});
  return RandomPlan;
}

void measureClaims(std::mt19937_64 &Random) {
  ClaimReport Sum;
  int Plans = 0;
  for (; Plans < MinPlans || Sum.m_Steps < MinSteps; ++Plans) {
    const ClaimReport Result =
        ClaimSimulation(
            randomPlan(Random, {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost,
                                FaultKind::LateEffect, FaultKind::Kill, FaultKind::Freeze}))
            .run();
    Sum.m_Steps += Result.m_Steps;
    Sum.m_Requests += Result.m_Requests;
    Sum.m_DuplicateRuns += Result.m_DuplicateRuns;
    Sum.m_FalseRefusals += Result.m_FalseRefusals;
  }
  print("claims_plans", Plans, "plans");
  print("claims_steps", Sum.m_Steps, "steps");
  print("claims_attempts", Sum.m_Requests, "attempts");
  print("duplicate_runs", Sum.m_DuplicateRuns, "runs");
  print("refused_not_run_that_ran", Sum.m_FalseRefusals, "attempts");
}

void measureCharges(std::mt19937_64 &Random) {
  ChargeReport Sum;
  int Plans = 0;
  for (; Plans < MinPlans || Sum.m_Steps < MinSteps; ++Plans) {
    const ChargeReport Result =
        ChargeSimulation(
            randomPlan(Random, {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost,
                                FaultKind::LateEffect, FaultKind::MessageLoss, FaultKind::MessageRepeat,
                                FaultKind::Kill, FaultKind::Freeze}))
            .run();
    Sum.m_Steps += Result.m_Steps;
    Sum.m_Released += Result.m_Released;
    Sum.m_Duplicates += Result.m_Duplicates;
    Sum.m_Lost += Result.m_Lost;
    Sum.m_LostWithBothCopies += Result.m_LostWithBothCopies;
  }
  print("charges_plans", Plans, "plans");
  print("charges_steps", Sum.m_Steps, "steps");
  print("charges_released", Sum.m_Released, "answers");
  print("duplicate_charges", Sum.m_Duplicates, "charges");
  print("charges_lost", Sum.m_Lost, "charges");
  print("charges_lost_with_both_copies", Sum.m_LostWithBothCopies, "charges");
}

/// Measures a store outage of ten minutes, with or without the loss of an instance halfway.
void measureOutage(bool WithLoss) {
  Plan OutagePlan{7, {Fault{FaultKind::StoreDown, 5'000, 600'000, 0}}};
  if (WithLoss)
    OutagePlan.m_Faults.push_back(Fault{FaultKind::Kill, 300'000, 5'000, 1});
  ChargeOptions Options;
  Options.m_Instances = 8;
  Options.m_LoadDuration = ms(610'000);
  Options.m_RequestInterval = ms(100);
  const ChargeReport Report = ChargeSimulation(OutagePlan, Options).run();
  const std::string Name = WithLoss ? "outage_10min_one_loss_" : "outage_10min_";
  print(Name + "released", Report.m_Released, "answers");
  print(Name + "charges_lost", Report.m_Lost + Report.m_LostWithBothCopies, "charges");
  print(Name + "refused", Report.m_Refused, "requests");
}

void measurePermits(std::mt19937_64 &Random) {
  PermitReport Sum;
  int Plans = 0;
  for (; Plans < MinPlans || Sum.m_Steps < MinSteps; ++Plans) {
    const PermitReport Result =
        PermitSimulation(
            randomPlan(Random, {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost,
                                FaultKind::LateEffect, FaultKind::MessageLoss, FaultKind::MessageRepeat,
                                FaultKind::Kill, FaultKind::Freeze, FaultKind::PartitionDomain,
                                FaultKind::ColdRestart}))
            .run();
    Sum.m_Steps += Result.m_Steps;
    Sum.m_Started += Result.m_Started;
    Sum.m_Overshoot = std::max(Sum.m_Overshoot, Result.m_Overshoot);
    Sum.m_OvershootUnreported = std::max(Sum.m_OvershootUnreported, Result.m_OvershootUnreported);
  }
  print("permits_plans", Plans, "plans");
  print("permits_steps", Sum.m_Steps, "steps");
  print("permits_streams", Sum.m_Started, "streams");
  print("cold_limit_overshoot", Sum.m_Overshoot, "streams");
  print("cold_limit_overshoot_4s_after_silent_restart", Sum.m_OvershootUnreported, "streams");
}

/// Measures how fast one revision and one restriction reach all daemons, and the message traffic.
void measurePropagation(std::size_t Instances, bool StoreUp) {
  const int Seeds = Instances > 100 ? 3 : 5;
  double MaxRevisionSeconds = 0;
  double MaxRestrictionSeconds = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  int InForce = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    ConfigOptions Options;
    Options.m_Instances = Instances;
    Options.m_MinDuration = ms(50'000);
    Options.m_Publications = 1;
    Options.m_FirstPublication = ms(12'000);
    Options.m_RestrictAt = ms(20'000);
    Options.m_CountFrom = ms(10'000);
    Options.m_OutageAfterHead = !StoreUp;
    const ConfigReport Report = ConfigSimulation(Plan{static_cast<std::uint32_t>(Seed), {}}, Options).run();
    for (const std::string &Violation : Report.m_Violations)
      std::cerr << "seed " << Seed << ": " << Violation << "\n";
    for (double Seconds : Report.m_InForceSeconds)
      MaxRevisionSeconds = std::max(MaxRevisionSeconds, Seconds);
    InForce += static_cast<int>(Report.m_InForceSeconds.size());
    MaxRestrictionSeconds = std::max(MaxRestrictionSeconds, Report.m_RestrictionSeconds);
    Messages += Report.m_Messages;
    Bytes += Report.m_Bytes;
  }
  const double DaemonSeconds = static_cast<double>(Instances) * 40.0 * Seeds;
  const std::string Name = "spread_" + std::to_string(Instances) + (StoreUp ? "_store_up_" : "_store_down_");
  print(Name + "revisions_in_force", InForce, "of " + std::to_string(Seeds));
  print(Name + "revision_slowest", MaxRevisionSeconds, "s");
  print(Name + "restriction_slowest", MaxRestrictionSeconds, "s");
  print(Name + "messages_per_daemon", static_cast<double>(Messages) / DaemonSeconds, "1/s");
  print(Name + "bytes_per_daemon", static_cast<double>(Bytes) / DaemonSeconds, "B/s");
}

} // namespace

int main() {
  std::mt19937_64 Random(1);
  measureClaims(Random);
  measureCharges(Random);
  measureOutage(false);
  measureOutage(true);
  measurePermits(Random);
  for (std::size_t Instances : {std::size_t(8), std::size_t(400)})
    for (bool StoreUp : {true, false})
      measurePropagation(Instances, StoreUp);
}
