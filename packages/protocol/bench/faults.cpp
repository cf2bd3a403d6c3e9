/// @file
/// @brief Runs the property worlds over many random plans and prints what went wrong, one figure a line.

#include "charge_world.h"
#include "claim_world.h"
#include "config_world.h"
#include "permit_world.h"

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
  Plan Made;
  Made.m_Seed = static_cast<std::uint32_t>(Random());
  const std::uint64_t Count = Random() % 5;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    Made.m_Faults.push_back(Fault{Kinds.begin()[Random() % Kinds.size()],
                                  200 + static_cast<std::int64_t>(Random() % 15'000),
                                  300 + static_cast<std::int64_t>(Random() % 12'000), Random() % 6});
  return Made;
}

void measureClaims(std::mt19937_64 &Random) {
  ClaimReport Sum;
  int Plans = 0;
  for (; Plans < MinPlans || Sum.m_Steps < MinSteps; ++Plans) {
    const ClaimReport One =
        ClaimWorld(randomPlan(Random, {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost,
                                       FaultKind::LateEffect, FaultKind::Kill, FaultKind::Freeze}))
            .run();
    Sum.m_Steps += One.m_Steps;
    Sum.m_Requests += One.m_Requests;
    Sum.m_DuplicateRuns += One.m_DuplicateRuns;
    Sum.m_FalseRefusals += One.m_FalseRefusals;
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
    const ChargeReport One =
        ChargeWorld(randomPlan(Random, {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost,
                                        FaultKind::LateEffect, FaultKind::MessageLoss,
                                        FaultKind::MessageRepeat, FaultKind::Kill, FaultKind::Freeze}))
            .run();
    Sum.m_Steps += One.m_Steps;
    Sum.m_Released += One.m_Released;
    Sum.m_Duplicates += One.m_Duplicates;
    Sum.m_Lost += One.m_Lost;
    Sum.m_LostWithBoth += One.m_LostWithBoth;
  }
  print("charges_plans", Plans, "plans");
  print("charges_steps", Sum.m_Steps, "steps");
  print("charges_released", Sum.m_Released, "answers");
  print("duplicate_charges", Sum.m_Duplicates, "charges");
  print("charges_lost", Sum.m_Lost, "charges");
  print("charges_lost_with_both_copies", Sum.m_LostWithBoth, "charges");
}

/// Ten minutes without the store, with and without an instance lost halfway.
void measureOutage(bool WithLoss) {
  Plan Outage{7, {Fault{FaultKind::StoreDown, 5'000, 600'000, 0}}};
  if (WithLoss)
    Outage.m_Faults.push_back(Fault{FaultKind::Kill, 300'000, 5'000, 1});
  ChargeOptions Options;
  Options.m_Instances = 8;
  Options.m_Length = ms(610'000);
  Options.m_Gap = ms(100);
  const ChargeReport Report = ChargeWorld(Outage, Options).run();
  const std::string Name = WithLoss ? "outage_10min_one_loss_" : "outage_10min_";
  print(Name + "released", Report.m_Released, "answers");
  print(Name + "charges_lost", Report.m_Lost + Report.m_LostWithBoth, "charges");
  print(Name + "refused", Report.m_Refused, "requests");
}

void measurePermits(std::mt19937_64 &Random) {
  PermitReport Sum;
  int Plans = 0;
  for (; Plans < MinPlans || Sum.m_Steps < MinSteps; ++Plans) {
    const PermitReport One =
        PermitWorld(
            randomPlan(Random, {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost,
                                FaultKind::LateEffect, FaultKind::MessageLoss, FaultKind::MessageRepeat,
                                FaultKind::Kill, FaultKind::Freeze, FaultKind::CutDomain, FaultKind::Cold}))
            .run();
    Sum.m_Steps += One.m_Steps;
    Sum.m_Started += One.m_Started;
    Sum.m_Overshoot = std::max(Sum.m_Overshoot, One.m_Overshoot);
    Sum.m_OvershootSilent = std::max(Sum.m_OvershootSilent, One.m_OvershootSilent);
  }
  print("permits_plans", Plans, "plans");
  print("permits_steps", Sum.m_Steps, "steps");
  print("permits_streams", Sum.m_Started, "streams");
  print("cold_limit_overshoot", Sum.m_Overshoot, "streams");
  print("cold_limit_overshoot_4s_after_silent_restart", Sum.m_OvershootSilent, "streams");
}

/// How fast one revision and one restriction spread, and what the messages cost.
void measureSpread(std::size_t Instances, bool StoreUp) {
  constexpr int Seeds = 5;
  double Revision = 0;
  double Restriction = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  int InForce = 0;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    ConfigOptions Options;
    Options.m_Instances = Instances;
    Options.m_Length = ms(50'000);
    Options.m_Publications = 1;
    Options.m_FirstPublication = ms(12'000);
    Options.m_RestrictAt = ms(20'000);
    Options.m_CountFrom = ms(10'000);
    Plan Planned{Seed, {}};
    if (!StoreUp) // Just after the head row was written.
      Planned.m_Faults.push_back(Fault{FaultKind::StoreDown, 12'700, 27'000, 0});
    const ConfigReport Report = ConfigWorld(Planned, Options).run();
    for (const std::string &One : Report.m_Faults)
      std::cerr << "seed " << Seed << ": " << One << "\n";
    for (double Seconds : Report.m_InForceSeconds)
      Revision = std::max(Revision, Seconds);
    InForce += static_cast<int>(Report.m_InForceSeconds.size());
    Restriction = std::max(Restriction, Report.m_RestrictionSeconds);
    Messages += Report.m_Messages;
    Bytes += Report.m_Bytes;
  }
  const double DaemonSeconds = static_cast<double>(Instances) * 40.0 * Seeds;
  const std::string Name = "spread_" + std::to_string(Instances) + (StoreUp ? "_store_up_" : "_store_down_");
  print(Name + "revisions_in_force", InForce, "of " + std::to_string(Seeds));
  print(Name + "revision_slowest", Revision, "s");
  print(Name + "restriction_slowest", Restriction, "s");
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
      measureSpread(Instances, StoreUp);
}
