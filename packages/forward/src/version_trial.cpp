#include "bulrushpitch/forward/version_trial.h"

#include <algorithm>
#include <cmath>

namespace bulrushpitch {

namespace {

/// Share of the requests that run on the new version during the trial. Kept under the exposure that operators
/// allow (0.12 to 0.15 of all requests), with room for retries.
constexpr double TrialShare = 0.1;
/// Part of the time limit after which a version without evidence against it is completed, if it has given
/// this many answers here. Its upstreams may come long after the order.
constexpr double CompleteAfter = 0.6;
constexpr std::uint64_t AnswersToComplete = 12;
/// Near the time limit fewer answers must do.
constexpr double CompleteLate = 0.85;
constexpr std::uint64_t AnswersToCompleteLate = 5;
constexpr double SessionsKeepVersionUntil = 0.5;
/// Evidence (log likelihood ratio) at which the version is rolled back: three failures in a row, nearly.
constexpr double RollBackAt = 6.0;
/// Sum of all daemons' evidence at which it is rolled back. Higher, as single failures at several daemons add
/// up.
constexpr double RollBackTogetherAt = 9.0;
/// How fast another daemon's evidence fades: as fast as its own good answers would lower it.
constexpr double PeerEvidenceFadesPerSecond = 0.3;
/// Evidence from which a version is not completed yet.
constexpr double DoubtAt = 2.0;
/// Rise of the failure rate that the test looks for.
constexpr double FailureRise = 0.25;
/// What is assumed of the old version before it has answered here, and how many answers that counts for.
constexpr double UsualFailureRate = 0.05;
constexpr double PriorAnswers = 4.0;
constexpr double LeastFailureRate = 0.02;
constexpr double MostFailureRate = 0.9;
constexpr double SlowFactor = 4.0;
constexpr double SlowSlackSeconds = 0.15;
constexpr std::uint64_t SamplesForLatency = 5;
constexpr double LatencyWeight = 0.1;                ///< Of the newest answer.
constexpr double HashRange = 18446744073709551616.0; // 2^64

double seconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

} // namespace

VersionTrial::VersionTrial(TrialOrder Order, TimePoint SeenAt)
    : m_Order(std::move(Order)), m_SeenAt(SeenAt) {}

bool VersionTrial::isSlow(const TrialSample &Sample) const {
  const auto Usual = m_OldLatency.find(Sample.m_Route);
  if (Usual == m_OldLatency.end() || Usual->second.m_Count < SamplesForLatency)
    return false;
  return seconds(Sample.m_Latency) > SlowFactor * Usual->second.m_MeanSeconds + SlowSlackSeconds;
}

void VersionTrial::record(const TrialSample &Sample) {
  if (!Sample.m_OnNew) {
    m_OldAnswers += 1.0;
    m_OldFailures += Sample.m_Failed ? 1.0 : 0.0;
    if (Sample.m_Failed || Sample.m_Latency <= Duration::zero())
      return;
    RouteLatency &Usual = m_OldLatency[Sample.m_Route];
    const double Weight = std::max(LatencyWeight, 1.0 / static_cast<double>(++Usual.m_Count));
    Usual.m_MeanSeconds += Weight * (seconds(Sample.m_Latency) - Usual.m_MeanSeconds);
    return;
  }
  ++m_NewAnswers;
  const double Old =
      std::clamp((m_OldFailures + UsualFailureRate * PriorAnswers) / (m_OldAnswers + PriorAnswers),
                 LeastFailureRate, MostFailureRate - FailureRise);
  const double Bad = Old + FailureRise;
  const bool Against = Sample.m_Failed || isSlow(Sample);
  const double Ratio = Against ? std::log(Bad / Old) : std::log((1.0 - Bad) / (1.0 - Old));
  m_Evidence = std::max(0.0, m_Evidence + Ratio);
}

double VersionTrial::peerEvidence(TimePoint Now) const {
  double Sum = 0.0;
  for (const auto &Peer : m_Peers)
    Sum +=
        std::max(0.0, Peer.second.m_Evidence - PeerEvidenceFadesPerSecond * seconds(Now - Peer.second.m_At));
  return Sum;
}

bool VersionTrial::convinced() const { return m_Evidence >= RollBackAt; }

bool VersionTrial::isBad(TimePoint Now) const {
  return convinced() || m_Evidence + peerEvidence(Now) >= RollBackTogetherAt;
}

void VersionTrial::onPeerEvidence(const InstanceId &Daemon, double Evidence, TimePoint Now) {
  m_Peers[Daemon] = Told{Evidence, Now};
}

std::optional<double> VersionTrial::takeNews() {
  const bool Risen = m_Evidence > m_LastTold;
  m_LastTold = m_Evidence;
  return Risen ? std::optional(m_Evidence) : std::nullopt;
}

VersionRule VersionTrial::ruleFor(std::uint64_t RequestHash, bool InSession, TimePoint Now) const {
  VersionRule Rule;
  if (m_State == TrialState::Completed) {
    Rule.m_Only = m_Order.m_To;
    return Rule;
  }
  const bool SessionStays = InSession && Now - m_SeenAt < m_Order.m_TimeLimit * SessionsKeepVersionUntil;
  const bool OnNew = m_State == TrialState::Running && m_Confirmed && !isBad(Now) && !SessionStays &&
                     static_cast<double>(RequestHash) / HashRange < TrialShare;
  if (OnNew)
    Rule.m_Only = m_Order.m_To;
  else
    Rule.m_Not = m_Order.m_To;
  return Rule;
}

TrialState VersionTrial::verdict(TimePoint Now) const {
  if (m_State != TrialState::Running || !m_Confirmed)
    return m_State;
  if (isBad(Now))
    return TrialState::RolledBack;
  const double Passed = seconds(Now - m_SeenAt) / seconds(m_Order.m_TimeLimit);
  const bool Tried = (Passed >= CompleteAfter && m_NewAnswers >= AnswersToComplete) ||
                     (Passed >= CompleteLate && m_NewAnswers >= AnswersToCompleteLate);
  return Tried && m_Evidence + peerEvidence(Now) < DoubtAt ? TrialState::Completed : TrialState::Running;
}

} // namespace bulrushpitch
