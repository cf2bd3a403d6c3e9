#ifndef BULRUSHPITCH_DECISION_TESTS_WORLD_H
#define BULRUSHPITCH_DECISION_TESTS_WORLD_H

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

/// @return whether the environment asks for this check to be switched off, to show that its test can fail
inline bool mutated(const std::string &Name) {
  const char *Wanted = std::getenv("BULRUSHPITCH_MUTATION");
  return Wanted != nullptr && Name == Wanted;
}

/// @brief A router under a random configuration and random events, beside a record of what is true.
///
/// The router sees the configuration through mutate(), which a mutation falsifies; the checks use the truth.
class World {
public:
  explicit World(std::uint64_t Seed)
      : m_Engine(Seed), m_Router(m_Quality, m_Upstreams, m_Rollouts, m_Link, settings(), seededRandom(Seed)) {
    build();
    publish();
  }

  /// @brief Performs one event. @p Choice selects its kind, the world's own generator the rest.
  void step(std::uint32_t Choice) {
    m_Now += std::chrono::milliseconds(below(400));
    switch (Choice % 10) {
    case 0:
      return changeConfiguration();
    case 1:
      return report();
    case 2:
      return leave();
    case 3:
      return m_Upstreams.setUnreachable(anyUpstream(), m_Now + std::chrono::milliseconds(below(2000)));
    case 4:
      return finish();
    case 5:
      m_Quality.record(anyTeam(), TaskName("t" + std::to_string(below(2))), anyVersion(), fraction(), m_Now);
      return m_Rollouts.record(anyVersion(), TaskName("t0"), fraction());
    case 6:
      return cool();
    default:
      return request();
    }
  }

  RouteRequest randomRequest() {
    RouteRequest Request;
    Request.m_Team = anyTeam();
    Request.m_Model = ModelId("m" + std::to_string(below(4)));
    Request.m_Task = TaskName("t" + std::to_string(below(2)));
    Request.m_Request = RequestId("r" + std::to_string(m_Serial));
    if (below(3) == 0)
      Request.m_Session = SessionId("s" + std::to_string(below(20)));
    if (below(3) == 0)
      Request.m_Pinned = anyVersion();
    Request.m_Quality = fraction() * 0.8;
    Request.m_Deadline = m_Now + std::chrono::milliseconds(below(60'000));
    Request.m_PromptTokens = Tokens(below(3000));
    Request.m_ExpectedTokens = Tokens(below(1000));
    Request.m_PrefixHashes = {below(8), below(8) + 10};
    Request.m_CascadeStep = below(3);
    if (below(4) == 0)
      Request.m_Excluded.push_back(anyUpstream());
    return Request;
  }

  void request() {
    m_Request = randomRequest();
    RouteRequest Seen = m_Request;
    if (mutated("session-keeps-version"))
      Seen.m_Pinned.reset();
    m_Decision.reset();
    Expected<RouteDecision> Outcome = m_Router.decide(Seen, m_Now);
    if (!Outcome) {
      m_Refusal = Outcome.error();
      return;
    }
    m_Decision = *Outcome;
    m_LimitThen = mostAllowed(m_Decision->m_Upstream);
    m_OwnThen = m_Own[m_Decision->m_Upstream];
    const AttemptId Attempt("a" + std::to_string(m_Serial++));
    m_Router.onDispatched(Attempt, Seen, *m_Decision, m_Now);
    m_Running.emplace_back(Attempt, m_Decision->m_Upstream);
    ++m_Own[m_Decision->m_Upstream];
  }

  const Team &teamOf(const RouteRequest &Request) const { return m_Truth.m_Teams.at(Request.m_Team); }

  /// @return requests that the upstream may hold at most, from the time of its last sign of coldness
  std::uint32_t mostAllowed(const UpstreamId &Id) const {
    const Upstream &Known = m_Truth.m_Upstreams.at(Id);
    const double Share =
        std::min(1.0, std::chrono::duration<double, std::milli>(m_Now - m_ColdAt.at(Id)).count() /
                          Known.m_WarmUp.count());
    const std::uint32_t Cold = std::min(Known.m_ColdLimit, Known.m_Capacity);
    return Cold + static_cast<std::uint32_t>(Share * (Known.m_Capacity - Cold));
  }

  Configuration m_Truth;
  std::set<UpstreamId> m_Leaving;
  std::optional<RouteDecision> m_Decision; ///< Of the last request, if it was placed.
  std::optional<Error> m_Refusal;
  RouteRequest m_Request;
  std::uint32_t m_LimitThen = 0;
  std::uint32_t m_OwnThen = 0;
  TimePoint m_Now{std::chrono::hours(1)};

private:
  static RouterSettings settings() {
    RouterSettings Settings;
    Settings.m_Region = RegionId("r0");
    Settings.m_SampleSize = 3;
    return Settings;
  }
  std::uint32_t below(std::uint32_t Bound) { return static_cast<std::uint32_t>(m_Engine() % Bound); }
  double fraction() { return below(1000) / 1000.0; }
  TeamId anyTeam() { return TeamId("team" + std::to_string(below(3))); }
  VersionId anyVersion() { return VersionId("v" + std::to_string(below(7))); }
  UpstreamId anyUpstream() { return UpstreamId("u" + std::to_string(below(10))); }

  void build() {
    for (std::uint32_t At = 0; At < 3; ++At) {
      Team Each{TeamId("team" + std::to_string(At)), {}, {}, {}, {}, 1.0, 0.3, {}};
      for (std::uint32_t Model = 0; Model < 3; ++Model)
        if (below(3) != 0)
          Each.m_Models.push_back(ModelId("m" + std::to_string(Model)));
      for (std::uint32_t Known = 0; Known < 7 && At > 0; ++Known)
        if (below(2) == 0)
          Each.m_Versions.push_back(VersionId("v" + std::to_string(Known)));
      m_Truth.m_Teams[Each.m_Id] = Each;
    }
    for (std::uint32_t At = 0; At < 3; ++At) {
      const std::string Name = std::to_string(At);
      m_Truth.m_Models[ModelId("m" + Name)] = {ModelId("m" + Name), CascadeId("c" + Name)};
      m_Truth.m_Cascades[CascadeId("c" + Name)] = {
          CascadeId("c" + Name), {{anyVersion(), 0.5}, {anyVersion(), 0.6}, {anyVersion(), 0.0}}};
      m_Truth.m_Domains[DomainId("d" + Name)] = {DomainId("d" + Name), RegionId("r" + std::to_string(At % 2)),
                                                 DomainState::In};
    }
    for (std::uint32_t At = 0; At < 7; ++At) {
      const VersionId Id("v" + std::to_string(At));
      m_Truth.m_Versions[Id] = {Id,
                                ModelId("m" + std::to_string(At % 3)),
                                VersionState::Active,
                                MicroCents(below(50)),
                                MicroCents(below(200)),
                                0.4 + fraction() * 0.5};
    }
    m_Truth.m_Rollouts[RolloutId("ro")] = {RolloutId("ro"), ModelId("m0"), VersionId("v0"), VersionId("v3"),
                                           0.9};
    for (std::uint32_t At = 0; At < 10; ++At) {
      Upstream Each;
      Each.m_Id = UpstreamId("u" + std::to_string(At));
      Each.m_Domain = DomainId("d" + std::to_string(below(3)));
      Each.m_Versions = {anyVersion(), anyVersion(), anyVersion()};
      Each.m_Capacity = 1 + below(12);
      Each.m_ColdLimit = 1 + below(2);
      Each.m_WarmUp = std::chrono::milliseconds(1000 + below(20'000));
      m_Truth.m_Upstreams[Each.m_Id] = Each;
      m_ColdAt[Each.m_Id] = m_Now;
    }
    m_Truth.m_Limits.m_ExplorationShare = 0.3;
  }

  Configuration mutate() const {
    Configuration Seen = m_Truth;
    for (auto &[Id, Each] : Seen.m_Teams)
      if (mutated("permitted-only")) {
        Each.m_Models = {ModelId("m0"), ModelId("m1"), ModelId("m2")};
        Each.m_Versions.clear();
      }
    for (auto &[Id, Each] : Seen.m_Versions)
      if (mutated("withdrawn"))
        Each.m_State = VersionState::Active;
    for (auto &[Id, Each] : Seen.m_Domains)
      if (mutated("domain-out"))
        Each.m_State = DomainState::In;
    for (auto &[Id, Each] : Seen.m_Upstreams) {
      if (mutated("leaving-upstream"))
        Each.m_Draining = false;
      if (mutated("cold-limit"))
        Each.m_ColdLimit = Each.m_Capacity;
    }
    return Seen;
  }

  void publish() { m_Router.setConfiguration(mutate(), m_Now); }

  void changeConfiguration() {
    if (below(2) == 0) {
      VersionState &State = m_Truth.m_Versions[anyVersion()].m_State;
      State = State == VersionState::Active ? VersionState::Withdrawn : VersionState::Active;
    }
    if (below(2) == 0) {
      FailureDomain &Domain = m_Truth.m_Domains[DomainId("d" + std::to_string(below(3)))];
      Domain.m_State = Domain.m_State == DomainState::In ? DomainState::Out : DomainState::In;
      for (const auto &[Id, Each] : m_Truth.m_Upstreams)
        if (Each.m_Domain == Domain.m_Id)
          m_ColdAt[Id] = m_Now;
    }
    if (below(2) == 0) {
      bool &Draining = m_Truth.m_Upstreams[anyUpstream()].m_Draining;
      Draining = !Draining;
    }
    m_Truth.m_Rollouts.begin()->second.m_State = static_cast<RolloutState>(below(4));
    publish();
  }

  void report() {
    LoadReport Report;
    Report.m_Upstream = anyUpstream();
    Report.m_StartId = below(8) == 0 ? "again" : "first";
    Report.m_ReceivedAt = m_Now;
    Report.m_Age = std::chrono::milliseconds(below(1500));
    Report.m_Running = below(6);
    Report.m_Queued = below(3);
    Report.m_TokensPerSecond = below(500);
    Report.m_Cold = below(5) == 0;
    std::string &Start = m_StartId[Report.m_Upstream];
    if (Report.m_Cold || (!Start.empty() && Start != Report.m_StartId))
      m_ColdAt[Report.m_Upstream] = m_Now;
    Start = Report.m_StartId;
    m_Upstreams.onReport(Report);
  }

  void leave() {
    const UpstreamId Id = anyUpstream();
    const bool Leaving = below(3) != 0;
    if (Leaving)
      m_Leaving.insert(Id);
    else
      m_Leaving.erase(Id);
    m_Upstreams.setLeaving(Id, Leaving && !mutated("leaving-upstream"));
  }

  void cool() {
    const UpstreamId Id = anyUpstream();
    m_ColdAt[Id] = m_Now;
    m_Upstreams.onRefused(Id);
  }

  void finish() {
    if (m_Running.empty())
      return;
    const std::size_t At = below(static_cast<std::uint32_t>(m_Running.size()));
    m_Router.onFinished(m_Running[At].first, m_Now);
    --m_Own[m_Running[At].second];
    m_Running.erase(m_Running.begin() + static_cast<std::ptrdiff_t>(At));
  }

  std::mt19937_64 m_Engine;
  QualityEstimator m_Quality;
  UpstreamTable m_Upstreams;
  RolloutController m_Rollouts;
  LinkBudget m_Link;
  Router m_Router;
  std::uint32_t m_Serial = 0;
  std::vector<std::pair<AttemptId, UpstreamId>> m_Running;
  std::map<UpstreamId, std::uint32_t> m_Own;
  std::map<UpstreamId, TimePoint> m_ColdAt;
  std::map<UpstreamId, std::string> m_StartId;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_DECISION_TESTS_WORLD_H
