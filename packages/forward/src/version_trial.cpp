#include "bulrushpitch/forward/version_trial.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushpitch {

namespace {

/// Used share of the exposure limit; the rest allows for retries and for unevenly distributed requests.
constexpr double UsedExposureShare = 0.95;
/// Limits of the share of requests that run on the new version during the trial.
constexpr double MinTrialShare = 0.06;
constexpr double MaxTrialShare = 0.25;
/// Number of daemons that decide on a version; several, so that the loss of some is tolerated.
constexpr std::uint32_t DecidingDaemons = 8;
/// Share of the time limit after which a version without evidence against it is completed. Close to 1,
/// because a version that turns bad under the full load must not exceed the exposure limit before the time
/// limit.
constexpr double CompletionTimeShare = 0.93;
/// Share of the time limit after which daemons publish their response counts, even without new evidence.
constexpr double CountPublicationTimeShare = 0.82;
/// Log likelihood ratios over all daemons' responses at or below which the version counts as good: on each
/// route in use (just under eight consecutive good responses), and on all routes together.
constexpr double GoodRouteThreshold = -2.2;
constexpr double GoodTotalThreshold = -6.0;
/// Share of the old version's responses from which a route counts as in use.
constexpr double MinRouteInUseShare = 0.1;
/// Share of the time limit until which sessions stay on the old version.
constexpr double SessionSwitchTimeShare = 0.5;
/// One daemon's evidence (log likelihood ratio) at which the version is rolled back: about three consecutive
/// failures.
constexpr double RollbackThreshold = 6.0;
/// Sum of all daemons' evidence at which the version is rolled back. Higher, as single failures at several
/// daemons add up.
constexpr double PooledRollbackThreshold = 9.0;
/// Decay of another daemon's evidence, about as fast as that daemon's good responses would lower it.
constexpr double PeerEvidenceDecayPerSecond = 0.3;
/// Sum of all daemons' evidence from which a version is not completed.
constexpr double CompletionEvidenceLimit = 4.5;
/// Increase of the share of bad responses that the test detects.
constexpr double BadShareIncrease = 0.25;
/// Prior share of bad responses of the old version, and the number of responses that it counts for.
constexpr double PriorBadShare = 0.05;
constexpr double PriorResponses = 4.0;
/// Limits of the old version's share of bad responses. A higher share comes from failing upstreams of the old
/// version and is no evidence about the new one's.
constexpr double MinOldBadShare = 0.02;
constexpr double MaxOldBadShare = 0.2;
constexpr double HashRange = 18446744073709551616.0; // 2^64

} // namespace

TrialRole trialRole(const ServiceId &Service, const PlacementContext &Context) {
  const std::uint32_t Rank = daemonRank(Service.value(), Context);
  return TrialRole{Rank < DecidingDaemons, Rank};
}

VersionTrial::VersionTrial(TrialOrder Order, double ExposureLimit, TimePoint SeenAt)
    : m_Order(std::move(Order)), m_ExposureLimit(ExposureLimit), m_BegunAt(SeenAt) {}

void VersionTrial::agreeOnBegin(TimePoint BegunAt) {
  m_BegunAt = m_BeginAgreed ? std::min(m_BegunAt, BegunAt) : BegunAt;
  m_BeginAgreed = true;
}

bool VersionTrial::isSlow(const TrialSample &Sample) const {
  const auto Baseline = m_OldBaseline.find({Sample.m_Route, Sample.m_Model});
  return Baseline != m_OldBaseline.end() && Baseline->second.isSlow(Sample.m_Latency, Sample.m_Expected);
}

VersionTrial::LogLikelihoodRatios VersionTrial::logLikelihoodRatios(const Tally &RouteTally) {
  const double Old = std::clamp((RouteTally.m_OldBad + PriorBadShare * PriorResponses) /
                                    (RouteTally.m_OldResponses + PriorResponses),
                                MinOldBadShare, MaxOldBadShare);
  const double New = Old + BadShareIncrease;
  return {std::log(New / Old), std::log((1.0 - New) / (1.0 - Old))};
}

void VersionTrial::countResponse(Tally &RouteTally, bool OnNewVersion, bool Bad, bool Comparable) {
  if (!OnNewVersion) {
    RouteTally.m_OldResponses += 1.0;
    RouteTally.m_OldBad += Bad ? 1.0 : 0.0;
    return;
  }
  RouteTally.m_NewResponses += Comparable || Bad ? 1 : 0;
  RouteTally.m_NewBad += Bad ? 1 : 0;
  const LogLikelihoodRatios Ratios = logLikelihoodRatios(RouteTally);
  RouteTally.m_Evidence = std::max(0.0, RouteTally.m_Evidence + (Bad ? Ratios.m_Bad : Ratios.m_Good));
}

bool VersionTrial::hasSameOrder(const TrialOrder &Order) const {
  return Order.m_Service == m_Order.m_Service && Order.m_TargetVersion == m_Order.m_TargetVersion &&
         Order.m_TimeLimit == m_Order.m_TimeLimit;
}

void VersionTrial::onUpstreamRegistered(std::optional<TimePoint> At) {
  if (!std::exchange(m_HasUpstream, true))
    m_FirstUpstreamAt = At;
}

double VersionTrial::trialShare() const {
  const double UpstreamTimeShare =
      m_FirstUpstreamAt ? std::max(0.0, elapsedTimeShare(*m_FirstUpstreamAt)) : 0.0;
  const double StartTimeShare =
      m_HasSessions ? std::max(UpstreamTimeShare, SessionSwitchTimeShare) : UpstreamTimeShare;
  const double TrialTimeShare = CompletionTimeShare - StartTimeShare;
  // A version that turns bad under the full load gets all requests from its completion to the time limit.
  const double ExposureBeforeCompletion = m_ExposureLimit * UsedExposureShare - (1.0 - CompletionTimeShare);
  if (TrialTimeShare <= 0.0)
    return MaxTrialShare;
  return std::clamp(ExposureBeforeCompletion / TrialTimeShare, MinTrialShare, MaxTrialShare);
}

void VersionTrial::record(const TrialSample &Sample) {
  const bool HasResponse = !Sample.m_Failed && Sample.m_Latency > Duration::zero();
  const bool Bad = Sample.m_Failed || (HasResponse && !Sample.m_Cold && isSlow(Sample));
  const auto Baseline = m_OldBaseline.find({Sample.m_Route, Sample.m_Model});
  const bool Comparable = !Sample.m_Cold && Baseline != m_OldBaseline.end() &&
                          Baseline->second.hasEnoughSamples() && !Baseline->second.isElevated();
  countResponse(m_Tallies[RouteName()], Sample.m_OnNewVersion, Bad, Comparable);
  countResponse(m_Tallies[Sample.m_Route], Sample.m_OnNewVersion, Bad, Comparable);
  if (!Sample.m_OnNewVersion && HasResponse && !Sample.m_Cold)
    m_OldBaseline[{Sample.m_Route, Sample.m_Model}].record(Sample.m_Latency, Sample.m_Expected);
}

double VersionTrial::pooledEvidence(const RouteName &Route, TimePoint Now) const {
  const auto Own = m_Tallies.find(Route);
  double Sum = Own == m_Tallies.end() ? 0.0 : Own->second.m_Evidence;
  for (const auto &Peer : m_Peers) {
    const auto PeerRoute = Peer.second.find(Route);
    if (PeerRoute == Peer.second.end())
      continue;
    const double Decay = PeerEvidenceDecayPerSecond * secondsOf(Now - PeerRoute->second.m_ReceivedAt);
    Sum += std::max(0.0, PeerRoute->second.m_Evidence - Decay);
  }
  return Sum;
}

double VersionTrial::pooledLogLikelihoodRatio(const RouteName &Route) const {
  const auto Own = m_Tallies.find(Route);
  const Tally RouteTally = Own == m_Tallies.end() ? Tally() : Own->second;
  std::uint64_t Responses = RouteTally.m_NewResponses;
  std::uint64_t Bad = RouteTally.m_NewBad;
  for (const auto &Peer : m_Peers) {
    const auto PeerRoute = Peer.second.find(Route);
    if (PeerRoute == Peer.second.end())
      continue;
    Responses += PeerRoute->second.m_Responses;
    Bad += PeerRoute->second.m_Bad;
  }
  const LogLikelihoodRatios Ratios = logLikelihoodRatios(RouteTally);
  return static_cast<double>(Bad) * Ratios.m_Bad + static_cast<double>(Responses - Bad) * Ratios.m_Good;
}

double VersionTrial::maxPooledEvidence(TimePoint Now) const {
  double MaxEvidence = pooledEvidence(RouteName(), Now);
  for (const auto &RouteTally : m_Tallies)
    MaxEvidence = std::max(MaxEvidence, pooledEvidence(RouteTally.first, Now));
  return MaxEvidence;
}

double VersionTrial::evidence() const {
  double MaxEvidence = 0.0;
  for (const auto &RouteTally : m_Tallies)
    MaxEvidence = std::max(MaxEvidence, RouteTally.second.m_Evidence);
  return MaxEvidence;
}

bool VersionTrial::hasRollbackEvidence() const { return evidence() >= RollbackThreshold; }

bool VersionTrial::isBad(TimePoint Now) const {
  return hasRollbackEvidence() || maxPooledEvidence(Now) >= PooledRollbackThreshold;
}

void VersionTrial::onPeerEvidence(const InstanceId &Daemon, const std::vector<RouteEvidence> &Evidence,
                                  TimePoint Now) {
  std::map<RouteName, PeerTally> &PeerRoutes = m_Peers[Daemon];
  PeerRoutes.clear();
  for (const RouteEvidence &Route : Evidence)
    PeerRoutes[Route.m_Route] =
        PeerTally{Route.m_Evidence, Route.m_Responses, std::min(Route.m_Bad, Route.m_Responses), Now};
}

bool VersionTrial::hasResponses() const {
  const auto All = m_Tallies.find(RouteName());
  return All != m_Tallies.end() && (All->second.m_NewResponses > 0 || All->second.m_NewBad > 0);
}

std::optional<std::vector<RouteEvidence>> VersionTrial::takeUnpublishedEvidence(TimePoint Now) {
  const double MaxEvidence = evidence();
  const bool EvidenceRisen = MaxEvidence > m_EvidenceAtLastTake;
  const std::uint64_t Responses = m_Tallies[RouteName()].m_NewResponses;
  const bool HasUnpublishedResponses =
      elapsedTimeShare(Now) >= CountPublicationTimeShare && Responses > m_LastPublishedResponses;
  m_EvidenceAtLastTake = MaxEvidence;
  if (!EvidenceRisen && !HasUnpublishedResponses)
    return std::nullopt;
  m_LastPublishedResponses = Responses;
  std::vector<RouteEvidence> Update;
  for (const auto &RouteTally : m_Tallies)
    if (RouteTally.second.m_NewResponses > 0 || RouteTally.second.m_Evidence > 0.0)
      Update.push_back({RouteTally.first, RouteTally.second.m_Evidence, RouteTally.second.m_NewResponses,
                        RouteTally.second.m_NewBad});
  return Update.empty() ? std::nullopt : std::optional(std::move(Update));
}

void VersionTrial::publishEvidenceAgain() {
  m_EvidenceAtLastTake = 0.0;
  m_LastPublishedResponses = 0;
}

VersionRule VersionTrial::ruleFor(std::uint64_t RequestHash, bool InSession, TimePoint Now) {
  m_HasSessions = m_HasSessions || InSession;
  VersionRule Rule;
  if (m_State == TrialState::Completed) {
    Rule.m_RequiredVersion = m_Order.m_TargetVersion;
    return Rule;
  }
  const bool SessionStays = InSession && isBeforeSessionSwitch(Now);
  const double Share = trialShare();
  const bool RunsOnNew = m_State == TrialState::Running && m_DecisionsRead && !isBad(Now) && !SessionStays &&
                         static_cast<double>(RequestHash) / HashRange < Share;
  if (!RunsOnNew) {
    Rule.m_ExcludedVersion = m_Order.m_TargetVersion;
    return Rule;
  }
  Rule.m_RequiredVersion = m_Order.m_TargetVersion;
  Rule.m_UpstreamShare = Share;
  return Rule;
}

double VersionTrial::elapsedTimeShare(TimePoint Now) const {
  return secondsOf(Now - m_BegunAt) / secondsOf(m_Order.m_TimeLimit);
}

bool VersionTrial::isBeforeSessionSwitch(TimePoint Now) const {
  return !m_BeginAgreed || elapsedTimeShare(Now) < SessionSwitchTimeShare;
}

bool VersionTrial::hasEnoughGoodResponses() const {
  const auto All = m_Tallies.find(RouteName());
  if (All == m_Tallies.end() || pooledLogLikelihoodRatio(RouteName()) > GoodTotalThreshold)
    return false;
  return std::all_of(m_Tallies.begin(), m_Tallies.end(), [&](const auto &RouteTally) {
    const bool InUse = RouteTally.second.m_OldResponses >= MinRouteInUseShare * All->second.m_OldResponses;
    return !InUse || pooledLogLikelihoodRatio(RouteTally.first) <= GoodRouteThreshold;
  });
}

TrialState VersionTrial::verdict(TimePoint Now) const {
  if (m_State != TrialState::Running || !m_DecisionsRead)
    return m_State;
  if (isBad(Now))
    return TrialState::RolledBack;
  const bool Completes = elapsedTimeShare(Now) >= CompletionTimeShare && hasEnoughGoodResponses() &&
                         maxPooledEvidence(Now) < CompletionEvidenceLimit;
  return Completes ? TrialState::Completed : TrialState::Running;
}

} // namespace bulrushpitch
