#include "forwarded_request.h"

#include "bulrushpitch/core/hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

/// @file
/// @brief Decides when an attempt is given up, and where and when the request is sent again.

namespace bulrushpitch::detail {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The head timeout of an upstream that is sending data for other requests is extended in steps of this
/// duration, up to a share of the target latency.
constexpr Duration HeadTimeoutExtension = milliseconds(300);
constexpr double MaxHeadWaitTargetShare = 1.5;
/// How often a stream that has begun checks whether it may be sent to another upstream.
constexpr Duration RetryPollInterval = milliseconds(100);
/// How long such a stream waits for an upstream that it was not sent to yet. After that, one that failed
/// earlier may have recovered.
constexpr Duration TriedUpstreamPause = milliseconds(2000);
/// How long such a stream waits for the removal of upstreams that have ended from the registry.
constexpr Duration MaxWaitForRemovals = milliseconds(6000);
/// After this many failed connections a running rollout is assumed to be completed, and its old version to be
/// stopped.
constexpr std::uint32_t FailedConnectionsToAssumeCompletion = 2;

} // namespace

RetryState ForwardedRequest::retryState() const {
  RetryState State;
  State.m_Kind = m_Route->m_Kind;
  State.m_Resumable = m_Route->m_Resumable;
  State.m_SentCount = countedAttempts();
  State.m_MaxAttempts = m_Route->m_MaxAttempts;
  State.m_FailedConnections = m_FailedConnections;
  State.m_BrokenCount = static_cast<std::uint32_t>(
      std::count_if(m_Sent.begin(), m_Sent.end(), [](const SentAttempt &Sent) { return Sent.m_Broke; }));
  State.m_RemainingTime = remainingTime();
  State.m_MayHaveRun = m_MayHaveRun;
  State.m_PartRelayed = m_PartRelayed;
  return State;
}

std::uint32_t ForwardedRequest::countedAttempts() const {
  return static_cast<std::uint32_t>(std::count_if(
      m_Sent.begin(), m_Sent.end(), [this](const SentAttempt &Sent) { return countsTowardsLimit(Sent); }));
}

bool ForwardedRequest::countsTowardsLimit(const SentAttempt &Sent) const {
  const UpstreamPool &Pool = m_Dependencies.m_State.m_Pool;
  if (!Sent.m_EndedBeforeRemoval)
    return true;
  if (!Pool.registered(Sent.m_Upstream))
    return false;
  return m_CountsUnreachable || !Sent.m_Broke || !Pool.unreachableSince(Sent.m_Upstream, Sent.m_SentAt);
}

bool ForwardedRequest::couldRetryNow() {
  return !retryDenialNow(AttemptOutcome::TimedOut) &&
         m_Dependencies.m_State.retryBudgetOf(m_Service).allows(m_Dependencies.m_Clock());
}

Duration ForwardedRequest::headTimeoutExtension(const UpstreamId &Target) {
  const TimePoint Now = m_Dependencies.m_Clock();
  const Duration Extension = std::min(HeadTimeoutExtension, remainingTime());
  if (!couldRetryNow())
    return Extension;
  const Duration MaxWait =
      std::chrono::duration_cast<Duration>(m_Route->m_TargetLatency * MaxHeadWaitTargetShare);
  const Duration Waited = Now - m_SentAt;
  if (!m_Dependencies.m_State.m_Pool.recentlyActive(Target, Now) || Waited >= MaxWait)
    return Duration::zero();
  return std::min(Extension, MaxWait - Waited);
}

void ForwardedRequest::restrictRegions(PlacementQuery &Query) const {
  const ConfigIndex &Newest = *m_Dependencies.m_State.m_ConfigIndex;
  const ForwardRoute *Route = Newest.route(m_Request.m_Headers.find("Host").value_or(""), m_Request.path());
  Query.m_Regions = (Route ? Route : m_Route)->m_Regions;
  if (!m_Team)
    return;
  const ForwardTeam *Team = Newest.teamOfKey(m_Caller.m_ApiKey);
  Query.m_TeamRegions = (Team ? Team : m_Team)->m_Regions;
}

PlacementQuery ForwardedRequest::placementQuery() const {
  GatewayState &State = m_Dependencies.m_State;
  PlacementQuery Query;
  Query.m_Service = m_Service;
  restrictRegions(Query);
  Query.m_Affinity = m_Caller.m_PromptHash;
  Query.m_SharedPrefillTime =
      State.m_PrefillTime.expected(chosenModel().value_or(ModelId()), m_Caller.m_SharedTokens);
  Query.m_Tried = m_Tried;
  if (const ForwardService *Service = m_ConfigIndex->service(m_Service))
    Query.m_ColdRequestsPerSecond = State.coldLimit(*Service);
  return Query;
}

VersionRule ForwardedRequest::versionRule(VersionTrial &Trial) const {
  if (Trial.state() == TrialState::Running) {
    const VersionId &Target = Trial.order().m_TargetVersion;
    // If connections to several upstreams failed, the old version has been stopped: the rollout was completed
    // just now.
    if (m_FailedConnections >= FailedConnectionsToAssumeCompletion)
      return VersionRule{Target, std::nullopt, 1.0};
    // After a failed attempt the request is retried on the old version.
    if (m_AnyAttemptFailed)
      return VersionRule{std::nullopt, Target, 1.0};
  }
  const std::uint64_t Key = m_Caller.m_Session ? stableHash(*m_Caller.m_Session) : mixHash(m_RequestHash, 2);
  return Trial.ruleFor(Key, m_Caller.m_Session.has_value(), m_Dependencies.m_Clock());
}

Placement ForwardedRequest::placeWith(Placement (*FindUpstream)(UpstreamPool &, const PlacementQuery &,
                                                                const PlacementContext &, TimePoint)) {
  GatewayState &State = m_Dependencies.m_State;
  const TimePoint Now = m_Dependencies.m_Clock();
  PlacementQuery Query = placementQuery();
  VersionTrial *Trial = State.trialOf(m_Service);
  if (Trial)
    Query.m_Versions = versionRule(*Trial);
  const Placement Found = FindUpstream(State.m_Pool, Query, State.m_PlacementContext, Now);
  if (Found.m_Upstream || !Trial || Trial->state() != TrialState::Running)
    return Found;
  // The new version's upstreams may not be registered yet, or the old version's may be removed already.
  Query.m_Versions = Query.m_Versions.m_RequiredVersion
                         ? VersionRule{std::nullopt, Trial->order().m_TargetVersion, 1.0}
                         : VersionRule{};
  return FindUpstream(State.m_Pool, Query, State.m_PlacementContext, Now);
}

Placement ForwardedRequest::chooseNextUpstream() { return placeWith(chooseUpstream); }

std::optional<RetryDenial> ForwardedRequest::retryDenialNow(AttemptOutcome Last) {
  if (const std::optional<RetryDenial> Denial = retryDenial(retryState(), Last))
    return Denial;
  if (quarantinedPart())
    return RetryDenial::Quarantined;
  const Placement Found = placeWith(findUpstream);
  if (Found.m_Upstream)
    return std::nullopt;
  recordNoUpstream(Found);
  return RetryDenial::NoUpstream;
}

std::optional<RetryDenial> ForwardedRequest::acquireRetry(AttemptOutcome Last) {
  if (const std::optional<RetryDenial> Denial = retryDenialNow(Last))
    return Denial;
  // The budget was charged when a response was dropped to ask a larger model. An attempt that was never sent
  // puts no load on the service, so its retry is free.
  if (Last == AttemptOutcome::Escalated || Last == AttemptOutcome::NotSent)
    return std::nullopt;
  if (!m_Dependencies.m_State.retryBudgetOf(m_Service).takeRetry(m_Dependencies.m_Clock()))
    return RetryDenial::BudgetUsed;
  recordRetry(Last);
  return std::nullopt;
}

void ForwardedRequest::recordRetry(AttemptOutcome Cause) {
  m_Dependencies.m_Metrics
      .counter("bulrushpitch_retries_total", "Retries that were charged to the retry budget, by cause.",
               {{"cause", std::string(nameOf(Cause))}})
      .add();
}

asio::awaitable<std::optional<RetryDenial>> ForwardedRequest::awaitRetry(AttemptOutcome Last) {
  std::optional<RetryDenial> Denial = acquireRetry(Last);
  if (!Denial || !isTemporary(*Denial) || !m_Writer.begun())
    co_return Denial;
  const TimePoint WaitsSince = m_Dependencies.m_Clock();
  m_CountsUnreachable = true;
  m_Dependencies.m_Log.add(
      LogClass::Request, "retry_waits",
      {{"request", std::string_view(m_Caller.m_AttemptId)},
       {"last", nameOf(Last)},
       {"retry", nameOf(*Denial)},
       {"placement", *Denial == RetryDenial::NoUpstream ? nameOf(m_NoUpstreamReason) : std::string_view()},
       {"left_ms", std::chrono::duration<double, std::milli>(remainingTime()).count()}});
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (Denial && isTemporary(*Denial) && !m_CallerGone) {
    Timer.expires_after(RetryPollInterval);
    boost::system::error_code WaitError;
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, WaitError));
    if (*Denial == RetryDenial::Unreachable)
      m_FailedConnections = FailedConnectionsToAssumeCompletion;
    if (*Denial == RetryDenial::NoUpstream && m_Dependencies.m_Clock() - WaitsSince >= TriedUpstreamPause)
      m_Tried.clear();
    if (m_CallerGone)
      break;
    Denial = acquireRetry(Last);
    if (Denial == RetryDenial::AttemptsUsed && m_Dependencies.m_Clock() - WaitsSince >= MaxWaitForRemovals)
      break;
  }
  co_return Denial;
}

} // namespace bulrushpitch::detail
