#ifndef BULRUSHPITCH_DECISION_TESTS_ROUTER_SIMULATION_H
#define BULRUSHPITCH_DECISION_TESTS_ROUTER_SIMULATION_H

#include "bulrushpitch/decision/decision.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bulrushpitch::test {

/// @return whether the environment variable BULRUSHPITCH_MUTATION names this mutation. A mutation disables a
/// mechanism, to show that the test of the mechanism can fail.
inline bool isMutated(const std::string &Name) {
  const char *Requested = std::getenv("BULRUSHPITCH_MUTATION");
  return Requested != nullptr && Name == Requested;
}

/// @brief A router with a random configuration and random events, together with a record of the actual state.
///
/// The router receives the configuration from mutatedConfiguration(), in which an active mutation disables a
/// mechanism; the checks use the actual configuration.
class RouterSimulation {
public:
  explicit RouterSimulation(std::uint64_t Seed)
      : m_RandomEngine(Seed),
        m_Router(m_Quality, m_Upstreams, m_Rollouts, m_Link, settings(), seededRandom(Seed)) {
    buildConfiguration();
    applyConfiguration();
  }

  /// @brief Performs one event.
  /// @param Choice selects the kind of event; the random generator of the simulation determines the rest
  void step(std::uint32_t Choice) {
    m_Now += std::chrono::milliseconds(randomBelow(400));
    switch (Choice % 10) {
    case 0:
      return changeConfiguration();
    case 1:
      return sendReport();
    case 2:
      return changeLeaving();
    case 3:
      return m_Upstreams.setUnreachable(randomUpstream(),
                                        m_Now + std::chrono::milliseconds(randomBelow(2000)));
    case 4:
      return finishAttempt();
    case 5:
      m_Quality.record(randomTeam(), TaskName("t" + std::to_string(randomBelow(2))), randomVersion(),
                       randomFraction(), m_Now);
      return m_Rollouts.record(randomVersion(), TaskName("t0"), randomFraction());
    case 6:
      return refuse();
    default:
      return request();
    }
  }

  RouteRequest randomRequest() {
    RouteRequest Request;
    Request.m_Team = randomTeam();
    Request.m_Model = ModelId("m" + std::to_string(randomBelow(4)));
    Request.m_Task = TaskName("t" + std::to_string(randomBelow(2)));
    Request.m_Request = RequestId("r" + std::to_string(m_NextNumber));
    if (randomBelow(3) == 0)
      Request.m_Session = SessionId("s" + std::to_string(randomBelow(20)));
    if (randomBelow(3) == 0)
      Request.m_PinnedVersion = randomVersion();
    Request.m_QualityTarget = randomFraction() * 0.8;
    Request.m_Deadline = m_Now + std::chrono::milliseconds(randomBelow(60'000));
    Request.m_PromptTokens = Tokens(randomBelow(3000));
    Request.m_ExpectedTokens = Tokens(randomBelow(1000));
    Request.m_PrefixHashes = {randomBelow(8), randomBelow(8) + 10};
    Request.m_CascadeStep = randomBelow(3);
    if (randomBelow(4) == 0)
      Request.m_ExcludedUpstreams.push_back(randomUpstream());
    return Request;
  }

  void request() {
    m_Request = randomRequest();
    RouteRequest Visible = m_Request;
    if (isMutated("session-keeps-version"))
      Visible.m_PinnedVersion.reset();
    m_Decision.reset();
    Expected<RouteDecision> Outcome = m_Router.decide(Visible, m_Now);
    if (!Outcome) {
      m_Rejection = Outcome.error();
      return;
    }
    m_Decision = *Outcome;
    m_LimitAtDecision = concurrencyLimit(m_Decision->m_Upstream);
    m_OutstandingAtDecision = m_Outstanding[m_Decision->m_Upstream];
    const AttemptId Attempt("a" + std::to_string(m_NextNumber++));
    m_Router.onDispatched(Attempt, Visible, *m_Decision, m_Now);
    m_RunningAttempts.emplace_back(Attempt, m_Decision->m_Upstream);
    ++m_Outstanding[m_Decision->m_Upstream];
  }

  const Team &teamOf(const RouteRequest &Request) const { return m_ActualConfig.m_Teams.at(Request.m_Team); }

  /// @return maximum number of concurrent requests that the upstream may run, derived from the time since it
  /// was last marked as cold
  std::uint32_t concurrencyLimit(const UpstreamId &Id) const {
    const Upstream &Configured = m_ActualConfig.m_Upstreams.at(Id);
    const double RampedShare =
        std::min(1.0, std::chrono::duration<double, std::milli>(m_Now - m_LastColdAt.at(Id)).count() /
                          Configured.m_WarmUp.count());
    const std::uint32_t ColdLimit = std::min(Configured.m_ColdLimit, Configured.m_Capacity);
    return ColdLimit + static_cast<std::uint32_t>(RampedShare * (Configured.m_Capacity - ColdLimit));
  }

  Configuration m_ActualConfig;
  std::set<UpstreamId> m_Leaving;
  std::optional<RouteDecision> m_Decision; ///< Decision for the last request, if it was not rejected.
  std::optional<Error> m_Rejection;        ///< Error of the last request, if it was rejected.
  RouteRequest m_Request;
  std::uint32_t m_LimitAtDecision = 0;
  std::uint32_t m_OutstandingAtDecision = 0;
  TimePoint m_Now{std::chrono::hours(1)};

private:
  static RouterSettings settings() {
    RouterSettings Settings;
    Settings.m_Region = RegionId("r0");
    Settings.m_SampleSize = 3;
    return Settings;
  }
  std::uint32_t randomBelow(std::uint32_t Bound) {
    return static_cast<std::uint32_t>(m_RandomEngine() % Bound);
  }
  double randomFraction() { return randomBelow(1000) / 1000.0; }
  TeamId randomTeam() { return TeamId("team" + std::to_string(randomBelow(3))); }
  VersionId randomVersion() { return VersionId("v" + std::to_string(randomBelow(7))); }
  UpstreamId randomUpstream() { return UpstreamId("u" + std::to_string(randomBelow(10))); }

  void buildConfiguration() {
    for (std::uint32_t TeamNumber = 0; TeamNumber < 3; ++TeamNumber) {
      Team NewTeam{TeamId("team" + std::to_string(TeamNumber)), {}, {}, {}, {}, 1.0, 0.3, {}};
      for (std::uint32_t ModelNumber = 0; ModelNumber < 3; ++ModelNumber)
        if (randomBelow(3) != 0)
          NewTeam.m_Models.push_back(ModelId("m" + std::to_string(ModelNumber)));
      for (std::uint32_t VersionNumber = 0; VersionNumber < 7 && TeamNumber > 0; ++VersionNumber)
        if (randomBelow(2) == 0)
          NewTeam.m_Versions.push_back(VersionId("v" + std::to_string(VersionNumber)));
      m_ActualConfig.m_Teams[NewTeam.m_Id] = NewTeam;
    }
    for (std::uint32_t ModelNumber = 0; ModelNumber < 3; ++ModelNumber) {
      const std::string Suffix = std::to_string(ModelNumber);
      m_ActualConfig.m_Models[ModelId("m" + Suffix)] = {ModelId("m" + Suffix), CascadeId("c" + Suffix)};
      m_ActualConfig.m_Cascades[CascadeId("c" + Suffix)] = {
          CascadeId("c" + Suffix), {{randomVersion(), 0.5}, {randomVersion(), 0.6}, {randomVersion(), 0.0}}};
      m_ActualConfig.m_Domains[DomainId("d" + Suffix)] = {
          DomainId("d" + Suffix), RegionId("r" + std::to_string(ModelNumber % 2)), DomainState::In};
    }
    for (std::uint32_t VersionNumber = 0; VersionNumber < 7; ++VersionNumber) {
      const VersionId Id("v" + std::to_string(VersionNumber));
      m_ActualConfig.m_Versions[Id] = {Id,
                                       ModelId("m" + std::to_string(VersionNumber % 3)),
                                       VersionState::Active,
                                       MicroCents(randomBelow(50)),
                                       MicroCents(randomBelow(200)),
                                       0.4 + randomFraction() * 0.5};
    }
    m_ActualConfig.m_Rollouts[RolloutId("ro")] = {RolloutId("ro"), ModelId("m0"), VersionId("v0"),
                                                  VersionId("v3"), 0.9};
    for (std::uint32_t UpstreamNumber = 0; UpstreamNumber < 10; ++UpstreamNumber) {
      Upstream NewUpstream;
      NewUpstream.m_Id = UpstreamId("u" + std::to_string(UpstreamNumber));
      NewUpstream.m_Domain = DomainId("d" + std::to_string(randomBelow(3)));
      NewUpstream.m_Versions = {randomVersion(), randomVersion(), randomVersion()};
      NewUpstream.m_Capacity = 1 + randomBelow(12);
      NewUpstream.m_ColdLimit = 1 + randomBelow(2);
      NewUpstream.m_WarmUp = std::chrono::milliseconds(1000 + randomBelow(20'000));
      m_ActualConfig.m_Upstreams[NewUpstream.m_Id] = NewUpstream;
      m_LastColdAt[NewUpstream.m_Id] = m_Now;
    }
    m_ActualConfig.m_Limits.m_ExplorationShare = 0.3;
  }

  Configuration mutatedConfiguration() const {
    Configuration Visible = m_ActualConfig;
    for (auto &[Id, VisibleTeam] : Visible.m_Teams)
      if (isMutated("permitted-only")) {
        VisibleTeam.m_Models = {ModelId("m0"), ModelId("m1"), ModelId("m2")};
        VisibleTeam.m_Versions.clear();
      }
    for (auto &[Id, VisibleVersion] : Visible.m_Versions)
      if (isMutated("withdrawn"))
        VisibleVersion.m_State = VersionState::Active;
    for (auto &[Id, VisibleDomain] : Visible.m_Domains)
      if (isMutated("domain-out"))
        VisibleDomain.m_State = DomainState::In;
    for (auto &[Id, VisibleUpstream] : Visible.m_Upstreams) {
      if (isMutated("leaving-upstream"))
        VisibleUpstream.m_Draining = false;
      if (isMutated("cold-limit"))
        VisibleUpstream.m_ColdLimit = VisibleUpstream.m_Capacity;
    }
    return Visible;
  }

  void applyConfiguration() { m_Router.setConfiguration(mutatedConfiguration(), m_Now); }

  void changeConfiguration() {
    if (randomBelow(2) == 0) {
      VersionState &State = m_ActualConfig.m_Versions[randomVersion()].m_State;
      State = State == VersionState::Active ? VersionState::Withdrawn : VersionState::Active;
    }
    if (randomBelow(2) == 0) {
      FailureDomain &Domain = m_ActualConfig.m_Domains[DomainId("d" + std::to_string(randomBelow(3)))];
      Domain.m_State = Domain.m_State == DomainState::In ? DomainState::Out : DomainState::In;
      for (const auto &[Id, Member] : m_ActualConfig.m_Upstreams)
        if (Member.m_Domain == Domain.m_Id)
          m_LastColdAt[Id] = m_Now;
    }
    if (randomBelow(2) == 0) {
      bool &Draining = m_ActualConfig.m_Upstreams[randomUpstream()].m_Draining;
      Draining = !Draining;
    }
    m_ActualConfig.m_Rollouts.begin()->second.m_State = static_cast<RolloutState>(randomBelow(4));
    applyConfiguration();
  }

  void sendReport() {
    LoadReport Report;
    Report.m_Upstream = randomUpstream();
    Report.m_StartId = randomBelow(8) == 0 ? "again" : "first";
    Report.m_ReceivedAt = m_Now;
    Report.m_AgeAtReceipt = std::chrono::milliseconds(randomBelow(1500));
    Report.m_Running = randomBelow(6);
    Report.m_Queued = randomBelow(3);
    Report.m_TokensPerSecond = randomBelow(500);
    Report.m_Cold = randomBelow(5) == 0;
    std::string &LastStartId = m_StartId[Report.m_Upstream];
    if (Report.m_Cold || (!LastStartId.empty() && LastStartId != Report.m_StartId))
      m_LastColdAt[Report.m_Upstream] = m_Now;
    LastStartId = Report.m_StartId;
    m_Upstreams.onReport(Report);
  }

  void changeLeaving() {
    const UpstreamId Id = randomUpstream();
    const bool Leaving = randomBelow(3) != 0;
    if (Leaving)
      m_Leaving.insert(Id);
    else
      m_Leaving.erase(Id);
    m_Upstreams.setLeaving(Id, Leaving && !isMutated("leaving-upstream"));
  }

  void refuse() {
    const UpstreamId Id = randomUpstream();
    m_LastColdAt[Id] = m_Now;
    m_Upstreams.onRefused(Id);
  }

  void finishAttempt() {
    if (m_RunningAttempts.empty())
      return;
    const std::size_t AttemptIndex = randomBelow(static_cast<std::uint32_t>(m_RunningAttempts.size()));
    m_Router.onFinished(m_RunningAttempts[AttemptIndex].first, m_Now);
    --m_Outstanding[m_RunningAttempts[AttemptIndex].second];
    m_RunningAttempts.erase(m_RunningAttempts.begin() + static_cast<std::ptrdiff_t>(AttemptIndex));
  }

  std::mt19937_64 m_RandomEngine;
  QualityEstimator m_Quality;
  UpstreamTable m_Upstreams;
  RolloutController m_Rollouts;
  LinkBudget m_Link;
  Router m_Router;
  std::uint32_t m_NextNumber = 0;
  std::vector<std::pair<AttemptId, UpstreamId>> m_RunningAttempts;
  std::map<UpstreamId, std::uint32_t> m_Outstanding;
  std::map<UpstreamId, TimePoint> m_LastColdAt;
  std::map<UpstreamId, std::string> m_StartId;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_DECISION_TESTS_ROUTER_SIMULATION_H
