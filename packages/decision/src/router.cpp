#include "bulrushpitch/decision/router.h"

#include "attempt_tracker.h"
#include "compiled_configuration.h"
#include "rejection.h"
#include "upstream_chooser.h"
#include "version_chooser.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrushpitch {

/// The parts of the router. They refer to each other, so they stay in one place.
struct Router::Parts {
  Parts(QualityEstimator &Quality, UpstreamTable &Upstreams, RolloutController &Rollouts, LinkBudget &Link,
        RouterSettings Settings, RandomHook Random)
      : m_Quality(Quality), m_Upstreams(Upstreams), m_Rollouts(Rollouts), m_Link(Link),
        m_Settings(std::move(Settings)), m_Random(std::move(Random)),
        m_Compiled(Upstreams, m_Settings.m_Region),
        m_VersionChooser(m_Compiled, Quality, Rollouts, m_Settings, m_Random),
        m_UpstreamChooser(m_Compiled, Upstreams, Link, m_Settings, m_Random), m_Attempts(Upstreams) {}
  Parts(const Parts &) = delete;
  Parts &operator=(const Parts &) = delete;

  /// Fills the choice of a candidate and of its upstream into a decision.
  void fillDecision(const Candidate &Choice, double Target, TimePoint Now, RouteDecision &Decision) const;

  QualityEstimator &m_Quality;
  UpstreamTable &m_Upstreams;
  RolloutController &m_Rollouts;
  LinkBudget &m_Link;
  RouterSettings m_Settings;
  RandomHook m_Random; ///< One sequence for both choosers.
  CompiledConfiguration m_Compiled;
  VersionChooser m_VersionChooser;
  UpstreamChooser m_UpstreamChooser;
  AttemptTracker m_Attempts;
};

Router::Router(QualityEstimator &Quality, UpstreamTable &Upstreams, RolloutController &Rollouts,
               LinkBudget &Link, RouterSettings Settings, RandomHook Random)
    : m_Parts(std::make_unique<Parts>(Quality, Upstreams, Rollouts, Link, std::move(Settings),
                                      std::move(Random))) {}

Router::~Router() = default;

void Router::setConfiguration(const Configuration &Config, TimePoint Now) {
  m_Parts->m_Quality.setConfiguration(Config);
  m_Parts->m_Upstreams.setConfiguration(Config);
  m_Parts->m_Rollouts.setConfiguration(Config);
  m_Parts->m_VersionChooser.setExplorationShare(Config.m_Limits.m_ExplorationShare);
  m_Parts->m_Compiled.compile(Config, m_Parts->m_Quality, Now);
}

Expected<RouteDecision> Router::decide(const RouteRequest &Request, TimePoint Now) {
  RouteDecision Decision;
  Expected<Done> Outcome = decideInto(Request, Now, Decision);
  if (!Outcome)
    return Outcome.error();
  return Decision;
}

Expected<Done> Router::decideInto(const RouteRequest &Request, TimePoint Now, RouteDecision &Decision) {
  CompiledConfiguration &Compiled = m_Parts->m_Compiled;
  const CompiledTeam *Team = Compiled.findTeam(Request.m_Team);
  if (Team == nullptr)
    return rejectRequest(ErrorCode::Unauthorized, Request, "unknown team");
  const std::optional<ObjectIndex> Model = Compiled.modelIndex(Request.m_Model);
  if (!Model || !Team->m_Models[*Model])
    return rejectRequest(ErrorCode::ModelNotAllowed, Request,
                         "the team may not use model " + Request.m_Model.value());
  Compiled.refreshUpstreamLists(Now);
  const double Target = Request.m_QualityTarget.value_or(Team->m_QualityTarget);
  Expected<Done> Chosen = m_Parts->m_VersionChooser.choose(VersionQuery{*Team, *Model, Request, Target});
  if (!Chosen)
    return Chosen;
  UpstreamChooser &Upstreams = m_Parts->m_UpstreamChooser;
  Upstreams.findPrefixMatches(Request);
  RejectionReason ReportedReason = RejectionReason::NoUpstream;
  for (const Candidate &Choice : m_Parts->m_VersionChooser.candidates()) {
    const RejectionReason Reason = Upstreams.scoreVersion(Choice.m_Version, Request, Now);
    if (Reason == RejectionReason::None) {
      m_Parts->fillDecision(Choice, Target, Now, Decision);
      return Done{};
    }
    ReportedReason = std::max(ReportedReason, Reason);
  }
  const Candidate &Preferred = m_Parts->m_VersionChooser.candidates().front();
  return rejectForUpstreams(ReportedReason, Compiled.version(Preferred.m_Version), m_Parts->m_Upstreams,
                            Request, Now);
}

void Router::Parts::fillDecision(const Candidate &Choice, double Target, TimePoint Now,
                                 RouteDecision &Decision) const {
  Decision.m_Version = m_Compiled.version(Choice.m_Version).m_Id;
  Decision.m_RateBeforeRelease = !Choice.m_IsFinal;
  Decision.m_StreamBeforeRating = Choice.m_StreamBeforeRating && Choice.m_IsFinal;
  Decision.m_AcceptAt = Choice.m_AcceptAt;
  Decision.m_NextCascadeStep = Choice.m_NextStep;
  Decision.m_PredictedQuality = Choice.m_Mean;
  Decision.m_Reason.m_Rule = Choice.m_Rule;
  Decision.m_Reason.m_LowerBound = Choice.m_Lower;
  Decision.m_Reason.m_Target = Target;
  Decision.m_Reason.m_ExpectedCost = Choice.m_Cost;
  m_UpstreamChooser.fillDecision(m_UpstreamChooser.pickBest(), Now, Decision);
}

Expected<RouteDecision> Router::decideService(const ServiceRequest &Request, TimePoint Now) {
  const CompiledTeam *Team = m_Parts->m_Compiled.findTeam(Request.m_Team);
  if (Team == nullptr)
    return rejectServiceCall(ErrorCode::Unauthorized, Request, "unknown team " + Request.m_Team.value());
  const std::optional<ObjectIndex> Index = m_Parts->m_Compiled.serviceIndex(Request.m_Service);
  if (!Index || !Team->m_Services[*Index])
    return rejectServiceCall(ErrorCode::ServiceNotAllowed, Request,
                             "team " + Request.m_Team.value() + " may not use the service");
  const CompiledService &Service = m_Parts->m_Compiled.service(*Index);
  UpstreamChooser &Upstreams = m_Parts->m_UpstreamChooser;
  const bool AnyAvailable = Upstreams.scoreService(Service, Request, Now);
  if (!Upstreams.anyScored())
    return rejectForServiceUpstreams(AnyAvailable, Service, m_Parts->m_Upstreams, Request, Now);
  RouteDecision Decision;
  Decision.m_Reason.m_Rule = RouteRule::Service;
  Upstreams.fillDecision(Upstreams.pickBest(), Now, Decision);
  return Decision;
}

void Router::onDispatched(const AttemptId &Attempt, const RouteRequest &Request,
                          const RouteDecision &Decision, TimePoint Now) {
  onDispatched(Attempt, Decision, Now);
  UpstreamTable &Upstreams = m_Parts->m_Upstreams;
  const ObjectIndex Index = Upstreams.indexOf(Decision.m_Upstream);
  if (Index == UpstreamTable::NoIndex)
    return;
  for (std::uint64_t PrefixHash : Request.m_PrefixHashes)
    Upstreams.assumeCached(Index, PrefixHash);
  if (!Decision.m_Reason.m_OtherRegion)
    return;
  const Bytes Size = linkBytes(m_Parts->m_Settings, Request);
  // The budget was checked by the decision, but another request may have spent it since. This request has
  // been dispatched already, so its bytes are charged as control traffic, which is never rejected.
  if (!m_Parts->m_Link.take(linkTraffic(m_Parts->m_Settings, Request), Size, Now))
    (void)m_Parts->m_Link.take(LinkTraffic::Control, Size, Now);
}

void Router::onDispatched(const AttemptId &Attempt, const RouteDecision &Decision, TimePoint Now) {
  m_Parts->m_Attempts.onDispatched(Attempt, Decision.m_Upstream, Now);
}

void Router::onFirstToken(const AttemptId &Attempt, TimePoint Now) {
  m_Parts->m_Attempts.onFirstToken(Attempt, Now);
}

void Router::onFinished(const AttemptId &Attempt, TimePoint Now) {
  m_Parts->m_Attempts.onFinished(Attempt, Now);
}

void Router::onFailed(const AttemptId &Attempt, ErrorCode Code, TimePoint Now) {
  m_Parts->m_Attempts.onFailed(Attempt, Code, Now);
}

} // namespace bulrushpitch
