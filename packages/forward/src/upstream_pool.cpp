#include "bulrushpitch/forward/upstream_pool.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

using std::chrono::milliseconds;

/// Margin added to the announced cold period. The sum errs on the long side, as it is counted from the
/// reading of the entry, when the period had already begun.
constexpr Duration ColdMargin = milliseconds(500);
/// Cold period after a domain returns to service: its upstreams may have lost their caches or restarted.
constexpr Duration ColdPeriodAfterReturn = milliseconds(4000);
/// Liveness timeout: with many requests, a busy upstream sends something at least this often.
constexpr Duration LivenessTimeout = milliseconds(500);
/// Data that arrived before a crash is read at most so long after it.
constexpr Duration LateDataTime = milliseconds(1000);
/// How long after a restore the rows of the registry may still be older than what is known: rows are written
/// again about two seconds after the return of the store, and those of upstreams that have left are removed
/// after three liveness intervals of 1.2 s.
constexpr Duration RestoreSettleTime = milliseconds(10'000);
/// Departures are remembered for longer than a restored copy is old.
constexpr Duration DepartureMemory = std::chrono::seconds(60);
constexpr std::size_t MaxDepartures = 1024;
constexpr double EventGapWeight = 0.1; ///< Weight of the newest gap in the average.
constexpr Duration EventGapDecayTime = milliseconds(3000);
/// Consecutive failed connections after which a domain counts as unreachable, and how long it is avoided
/// after the last one.
constexpr std::uint32_t DomainFailureLimit = 3;
constexpr Duration DomainAvoidanceDuration = milliseconds(1000);
constexpr std::uint32_t EjectionFailureLimit = 2;
constexpr Duration InitialEjectionDuration = milliseconds(1000);
constexpr Duration MaxEjectionDuration = milliseconds(8000);
constexpr double FailureWeight = 0.2; ///< Weight of the newest attempt in the failure rate.
constexpr double EjectionFailureRate = 0.5;

/// @return whether the outcome counts as one of the consecutive failures that lead to ejection; an error
/// response doesn't
bool countsTowardsEjection(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotSent || Outcome == AttemptOutcome::TimedOut ||
         Outcome == AttemptOutcome::Broken || Outcome == AttemptOutcome::WrongAddress;
}

/// @return whether two entries with the same id belong to the same incarnation
bool sameIncarnation(const RegisteredUpstream &Left, const RegisteredUpstream &Right) {
  return Left.m_StartedAt == Right.m_StartedAt && Left.m_Address == Right.m_Address;
}

Duration ejectionDuration(std::uint32_t ConsecutiveFailures) {
  const std::uint32_t Doublings =
      std::min(ConsecutiveFailures - std::min(ConsecutiveFailures, EjectionFailureLimit), 3U);
  return std::min(MaxEjectionDuration, InitialEjectionDuration * (1U << Doublings));
}

} // namespace

UpstreamPool::UpstreamPool(std::map<DomainId, RegionId> Regions) : m_Regions(std::move(Regions)) {}

void UpstreamPool::update(const RegisteredUpstream &Entry, TimePoint Now) {
  storeEntry(Entry, Now);
  m_Upstreams[Entry.m_Id].m_HeldUntil = TimePoint{};
  rebuildServiceIndex();
}

void UpstreamPool::storeEntry(const RegisteredUpstream &Entry, TimePoint Now) {
  const bool Leaving = Now < m_RestoreEndsAt && isLeaving(Entry, Now);
  const bool Registered = m_Upstreams.count(Entry.m_Id) > 0;
  PooledUpstream &Target = m_Upstreams[Entry.m_Id];
  if (Registered && !sameIncarnation(Target.m_Entry, Entry)) {
    Target.m_HeldUntil = TimePoint{};
    Target.m_EjectedUntil = TimePoint{};
    Target.m_ConsecutiveFailures = 0;
    Target.m_FailureRate = 0.0;
  }
  Target.m_Entry = Entry;
  Target.m_Entry.m_Draining = Entry.m_Draining || Leaving;
  const auto Region = m_Regions.find(Entry.m_Domain);
  Target.m_Region = Region == m_Regions.end() ? RegionId() : Region->second;
  Target.m_ExpiresAt.reset();
  if (Entry.m_ColdPeriod > Duration::zero())
    Target.m_ColdUntil = std::max(Target.m_ColdUntil, Now + Entry.m_ColdPeriod + ColdMargin);
}

void UpstreamPool::remove(const UpstreamId &Id, TimePoint Now, Duration Grace) {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end())
    return;
  if (Grace <= Duration::zero() || Found->second.m_Entry.m_Draining || Now < Found->second.m_HeldUntil) {
    recordDeparture(Found->second.m_Entry, Now);
    m_Upstreams.erase(Found);
    rebuildServiceIndex();
  } else if (!Found->second.m_ExpiresAt) {
    Found->second.m_ExpiresAt = Now + Grace;
  }
}

void UpstreamPool::replaceAll(const std::vector<RegisteredUpstream> &Entries, TimePoint Now, Duration Grace) {
  std::set<UpstreamId> Listed;
  for (const RegisteredUpstream &Entry : Entries) {
    Listed.insert(Entry.m_Id);
    storeEntry(Entry, Now);
  }
  rebuildServiceIndex();
  std::vector<UpstreamId> Missing;
  for (const auto &Upstream : m_Upstreams)
    if (Listed.count(Upstream.first) == 0)
      Missing.push_back(Upstream.first);
  for (const UpstreamId &Id : Missing)
    remove(Id, Now, Grace);
}

void UpstreamPool::replaceAllAfterRestore(const std::vector<RegisteredUpstream> &Entries, TimePoint Now,
                                          Duration Grace) {
  m_RestoreEndsAt = Now + RestoreSettleTime;
  std::vector<UpstreamId> Left;
  for (const RegisteredUpstream &Entry : Entries)
    if (hasLeft(Entry, Now))
      Left.push_back(Entry.m_Id);
  replaceAll(Entries, Now, Grace);
  for (const UpstreamId &Id : Left)
    m_Upstreams[Id].m_HeldUntil = m_RestoreEndsAt;
}

const UpstreamPool::Departure *UpstreamPool::departureOf(const UpstreamId &Id, TimePoint Now) const {
  const auto Found = m_Departures.find(Id);
  const bool Remembered = Found != m_Departures.end() && Now - Found->second.m_At < DepartureMemory;
  return Remembered ? &Found->second : nullptr;
}

bool UpstreamPool::isLeaving(const RegisteredUpstream &Entry, TimePoint Now) const {
  const auto Known = m_Upstreams.find(Entry.m_Id);
  if (Known != m_Upstreams.end() && sameIncarnation(Known->second.m_Entry, Entry))
    return Known->second.m_Entry.m_Draining;
  const Departure *Departed = departureOf(Entry.m_Id, Now);
  return Departed && Departed->m_Entry.m_Draining && sameIncarnation(Departed->m_Entry, Entry);
}

bool UpstreamPool::hasLeft(const RegisteredUpstream &Entry, TimePoint Now) const {
  const auto Known = m_Upstreams.find(Entry.m_Id);
  if (Known != m_Upstreams.end())
    return Now < Known->second.m_HeldUntil || Entry.m_StartedAt < Known->second.m_Entry.m_StartedAt;
  const Departure *Departed = departureOf(Entry.m_Id, Now);
  return Departed &&
         (Entry.m_StartedAt < Departed->m_Entry.m_StartedAt || sameIncarnation(Entry, Departed->m_Entry));
}

void UpstreamPool::recordDeparture(const RegisteredUpstream &Entry, TimePoint Now) {
  m_Departures[Entry.m_Id] = {Entry, Now};
  if (m_Departures.size() <= MaxDepartures)
    return;
  std::erase_if(m_Departures,
                [Now](const auto &Departed) { return Now - Departed.second.m_At >= DepartureMemory; });
  if (m_Departures.size() > MaxDepartures)
    m_Departures.erase(
        std::min_element(m_Departures.begin(), m_Departures.end(), [](const auto &Left, const auto &Right) {
          return Left.second.m_At < Right.second.m_At;
        }));
}

void UpstreamPool::expire(TimePoint Now) {
  const std::size_t Expired = std::erase_if(m_Upstreams, [&](const auto &Upstream) {
    if (!Upstream.second.m_ExpiresAt || Now < *Upstream.second.m_ExpiresAt)
      return false;
    recordDeparture(Upstream.second.m_Entry, Now);
    return true;
  });
  if (Expired > 0)
    rebuildServiceIndex();
}

void UpstreamPool::setDomainsOut(const std::set<DomainId> &OutOfService, TimePoint Now) {
  for (auto &Upstream : m_Upstreams) {
    const DomainId &Domain = Upstream.second.m_Entry.m_Domain;
    if (m_DomainsOutOfService.count(Domain) > 0 && OutOfService.count(Domain) == 0)
      Upstream.second.m_ColdUntil = std::max(Upstream.second.m_ColdUntil, Now + ColdPeriodAfterReturn);
  }
  m_DomainsOutOfService = OutOfService;
}

void UpstreamPool::onSent(const UpstreamId &Id, Duration Prefill) {
  PooledUpstream *Target = find(Id);
  if (!Target)
    return;
  ++Target->m_InFlight;
  Target->m_PendingPrefill += Prefill;
}

void UpstreamPool::onPrefillDone(const UpstreamId &Id, Duration Prefill) {
  if (PooledUpstream *Target = find(Id))
    Target->m_PendingPrefill = std::max(Duration::zero(), Target->m_PendingPrefill - Prefill);
}

void UpstreamPool::onDataReceived(const UpstreamId &Id, TimePoint Now) {
  if (PooledUpstream *Target = find(Id)) {
    Target->m_LastDataAt = Now;
    Target->m_LastFailedConnectionAt = TimePoint{};
    m_DomainFailures[Target->m_Entry.m_Domain].m_ConsecutiveCount = 0;
  }
}

void UpstreamPool::onEventGap(const UpstreamId &Id, Duration Gap) {
  PooledUpstream *Target = find(Id);
  if (!Target)
    return;
  const Duration Change = Gap - Target->m_AverageEventGap;
  Target->m_AverageEventGap += std::chrono::duration_cast<Duration>(Change * EventGapWeight);
}

Duration UpstreamPool::decayedEventGap(const PooledUpstream &Candidate, TimePoint Now) const {
  const Duration Silence = Now - Candidate.m_LastDataAt;
  if (Silence >= EventGapDecayTime)
    return Duration::zero();
  const double Remaining =
      1.0 - std::chrono::duration<double>(Silence) / std::chrono::duration<double>(EventGapDecayTime);
  return std::chrono::duration_cast<Duration>(Candidate.m_AverageEventGap * Remaining);
}

UpstreamFate UpstreamPool::fateSince(const UpstreamIncarnation &Upstream, TimePoint Time) const {
  const auto Found = m_Upstreams.find(Upstream.m_Id);
  if (Found == m_Upstreams.end())
    return UpstreamFate::Unknown;
  if (Found->second.m_Entry.m_StartedAt != Upstream.m_StartedAt)
    return UpstreamFate::Restarted;
  const bool Alive =
      Found->second.m_LastAnsweredSentAt > Time || Found->second.m_LastDataAt > Time + LateDataTime;
  return Alive ? UpstreamFate::Alive : UpstreamFate::Unknown;
}

void UpstreamPool::onHeadReceived(const UpstreamId &Id, TimePoint SentAt) {
  if (PooledUpstream *Target = find(Id))
    Target->m_LastAnsweredSentAt = std::max(Target->m_LastAnsweredSentAt, SentAt);
}

bool UpstreamPool::recentlyActive(const UpstreamId &Id, TimePoint Now) const {
  const auto Found = m_Upstreams.find(Id);
  return Found != m_Upstreams.end() && Now - Found->second.m_LastDataAt < LivenessTimeout;
}

bool UpstreamPool::domainUnreachable(const DomainId &Domain, TimePoint Now) const {
  const auto Found = m_DomainFailures.find(Domain);
  return Found != m_DomainFailures.end() && Found->second.m_ConsecutiveCount >= DomainFailureLimit &&
         Now - Found->second.m_LastAt < DomainAvoidanceDuration;
}

bool UpstreamPool::unreachableSince(const UpstreamId &Id, TimePoint Time) const {
  const auto Found = m_Upstreams.find(Id);
  return Found != m_Upstreams.end() && Found->second.m_LastFailedConnectionAt != TimePoint{} &&
         Found->second.m_LastFailedConnectionAt >= Time;
}

void UpstreamPool::onEnded(const UpstreamId &Id, AttemptOutcome Outcome, TimePoint Now) {
  PooledUpstream *Target = find(Id);
  if (!Target)
    return;
  if (Outcome == AttemptOutcome::NotSent) {
    Target->m_LastFailedConnectionAt = Now;
    DomainFailures &Failures = m_DomainFailures[Target->m_Entry.m_Domain];
    ++Failures.m_ConsecutiveCount;
    Failures.m_LastAt = Now;
  }
  if (Target->m_InFlight > 0)
    --Target->m_InFlight;
  if (Outcome == AttemptOutcome::CallerGone)
    return;
  const bool CountsTowardsEjection = countsTowardsEjection(Outcome);
  const double Failed = CountsTowardsEjection || Outcome == AttemptOutcome::Failed ? 1.0 : 0.0;
  Target->m_FailureRate += FailureWeight * (Failed - Target->m_FailureRate);
  if (!CountsTowardsEjection) {
    Target->m_ConsecutiveFailures = 0;
    return;
  }
  ++Target->m_ConsecutiveFailures;
  if (Target->m_ConsecutiveFailures >= EjectionFailureLimit || Target->m_FailureRate >= EjectionFailureRate)
    Target->m_EjectedUntil =
        Now + ejectionDuration(std::max(Target->m_ConsecutiveFailures, EjectionFailureLimit));
}

bool UpstreamPool::usable(const PooledUpstream &Candidate, TimePoint Now) const {
  if (Candidate.m_Entry.m_Draining || m_DomainsOutOfService.count(Candidate.m_Entry.m_Domain) > 0)
    return false;
  if (Now < Candidate.m_HeldUntil || m_Notices.isLeaving(Candidate.m_Entry))
    return false;
  return !Candidate.m_ExpiresAt || Now < *Candidate.m_ExpiresAt;
}

bool UpstreamPool::ejected(const PooledUpstream &Candidate, TimePoint Now) const {
  if (Now < Candidate.m_EjectedUntil)
    return true;
  // After the ejection, one request at a time probes whether the upstream has recovered.
  return Candidate.m_ConsecutiveFailures >= EjectionFailureLimit && Candidate.m_InFlight > 0;
}

const std::vector<PooledUpstream *> &UpstreamPool::ofService(const ServiceId &Id) const {
  static const std::vector<PooledUpstream *> None;
  const auto Found = m_ByService.find(Id);
  return Found == m_ByService.end() ? None : Found->second;
}

PooledUpstream *UpstreamPool::find(const UpstreamId &Id) {
  const auto Found = m_Upstreams.find(Id);
  return Found == m_Upstreams.end() ? nullptr : &Found->second;
}

void UpstreamPool::rebuildServiceIndex() {
  m_ByService.clear();
  for (auto &Upstream : m_Upstreams)
    m_ByService[Upstream.second.m_Entry.m_Service].push_back(&Upstream.second);
}

} // namespace bulrushpitch
