#include "bulrushpitch/forward/upstream_pool.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

using std::chrono::milliseconds;

/// Added to the announced cold time, which was already running when the entry was read.
constexpr Duration ColdMargin = milliseconds(500);
/// Upstreams of a domain that returns may have been emptied or restarted meanwhile.
constexpr Duration ColdAfterReturn = milliseconds(4000);
/// A busy upstream sends something to one of many requests at least so often.
constexpr Duration AliveFor = milliseconds(500);
constexpr double EventGapWeight = 0.1; ///< Of the newest gap.
constexpr Duration EventGapForgottenAfter = milliseconds(3000);
/// How long a failed connection says that the upstream has ended.
constexpr Duration UnreachableFor = milliseconds(5000);
/// Failed connections in a row that speak against a whole domain, and how long it is avoided after the last
/// one.
constexpr std::uint32_t FailuresForDomain = 3;
constexpr Duration DomainAvoidedFor = milliseconds(1000);
constexpr std::uint32_t FailuresToEject = 2;
constexpr Duration FirstEjection = milliseconds(1000);
constexpr Duration LongestEjection = milliseconds(8000);
constexpr double FailureWeight = 0.2; ///< Of the newest answer.
constexpr double FailureRateToEject = 0.5;

/// @return whether the outcome speaks against the upstream
bool countsAgainst(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotSent || Outcome == AttemptOutcome::TimedOut ||
         Outcome == AttemptOutcome::Broken || Outcome == AttemptOutcome::WrongAddress;
}

Duration ejectionTime(std::uint32_t FailedInRow) {
  const std::uint32_t Doublings = std::min(FailedInRow - std::min(FailedInRow, FailuresToEject), 3U);
  return std::min(LongestEjection, FirstEjection * (1U << Doublings));
}

} // namespace

UpstreamPool::UpstreamPool(std::map<DomainId, RegionId> Regions) : m_Regions(std::move(Regions)) {}

void UpstreamPool::update(const RegisteredUpstream &Entry, TimePoint Now) {
  store(Entry, Now);
  index();
}

void UpstreamPool::store(const RegisteredUpstream &Entry, TimePoint Now) {
  const bool Known = m_Upstreams.count(Entry.m_Id) > 0;
  PooledUpstream &Target = m_Upstreams[Entry.m_Id];
  const bool Restarted = Known && (Target.m_Entry.m_StartedAt != Entry.m_StartedAt ||
                                   Target.m_Entry.m_Address != Entry.m_Address);
  if (Restarted) {
    Target.m_EjectedUntil = TimePoint{};
    Target.m_FailedInRow = 0;
    Target.m_FailureRate = 0.0;
  }
  Target.m_Entry = Entry;
  const auto Region = m_Regions.find(Entry.m_Domain);
  Target.m_Region = Region == m_Regions.end() ? RegionId() : Region->second;
  Target.m_LapsesAt.reset();
  if (Entry.m_ColdFor > Duration::zero())
    Target.m_ColdUntil = std::max(Target.m_ColdUntil, Now + Entry.m_ColdFor + ColdMargin);
}

void UpstreamPool::remove(const UpstreamId &Id, TimePoint Now, Duration Grace) {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end())
    return;
  if (Grace <= Duration::zero() || Found->second.m_Entry.m_Draining) {
    m_Upstreams.erase(Found);
    index();
  } else if (!Found->second.m_LapsesAt) {
    Found->second.m_LapsesAt = Now + Grace;
  }
}

void UpstreamPool::replaceAll(const std::vector<RegisteredUpstream> &Entries, TimePoint Now, Duration Grace) {
  std::set<UpstreamId> Listed;
  for (const RegisteredUpstream &Entry : Entries) {
    Listed.insert(Entry.m_Id);
    store(Entry, Now);
  }
  index();
  std::vector<UpstreamId> Missing;
  for (const auto &Known : m_Upstreams)
    if (Listed.count(Known.first) == 0)
      Missing.push_back(Known.first);
  for (const UpstreamId &Id : Missing)
    remove(Id, Now, Grace);
}

void UpstreamPool::expire(TimePoint Now) {
  const std::size_t Lapsed = std::erase_if(m_Upstreams, [Now](const auto &Known) {
    return Known.second.m_LapsesAt && *Known.second.m_LapsesAt <= Now;
  });
  if (Lapsed > 0)
    index();
}

void UpstreamPool::setDomainsOut(const std::set<DomainId> &Out, TimePoint Now) {
  for (auto &Known : m_Upstreams) {
    const DomainId &Domain = Known.second.m_Entry.m_Domain;
    if (m_Out.count(Domain) > 0 && Out.count(Domain) == 0)
      Known.second.m_ColdUntil = std::max(Known.second.m_ColdUntil, Now + ColdAfterReturn);
  }
  m_Out = Out;
}

void UpstreamPool::onSent(const UpstreamId &Id, Duration Work) {
  PooledUpstream *Target = find(Id);
  if (!Target)
    return;
  ++Target->m_InFlight;
  Target->m_PendingWork += Work;
}

void UpstreamPool::onWorkDone(const UpstreamId &Id, Duration Work) {
  if (PooledUpstream *Target = find(Id))
    Target->m_PendingWork = std::max(Duration::zero(), Target->m_PendingWork - Work);
}

void UpstreamPool::onHeard(const UpstreamId &Id, TimePoint Now) {
  if (PooledUpstream *Target = find(Id)) {
    Target->m_HeardAt = Now;
    Target->m_UnreachableAt = TimePoint{};
    m_DomainFailures[Target->m_Entry.m_Domain].m_InRow = 0;
  }
}

void UpstreamPool::onEventGap(const UpstreamId &Id, Duration Gap) {
  PooledUpstream *Target = find(Id);
  if (!Target)
    return;
  const Duration Difference = Gap - Target->m_EventGap;
  Target->m_EventGap += std::chrono::duration_cast<Duration>(Difference * EventGapWeight);
}

Duration UpstreamPool::eventGap(const PooledUpstream &Candidate, TimePoint Now) const {
  const Duration Unheard = Now - Candidate.m_HeardAt;
  if (Unheard >= EventGapForgottenAfter)
    return Duration::zero();
  const double Kept =
      1.0 - std::chrono::duration<double>(Unheard) / std::chrono::duration<double>(EventGapForgottenAfter);
  return std::chrono::duration_cast<Duration>(Candidate.m_EventGap * Kept);
}

bool UpstreamPool::alive(const UpstreamId &Id, TimePoint Now) const {
  const auto Found = m_Upstreams.find(Id);
  return Found != m_Upstreams.end() && Now - Found->second.m_HeardAt < AliveFor;
}

bool UpstreamPool::unreachable(const DomainId &Domain, TimePoint Now) const {
  const auto Known = m_DomainFailures.find(Domain);
  return Known != m_DomainFailures.end() && Known->second.m_InRow >= FailuresForDomain &&
         Now - Known->second.m_LastAt < DomainAvoidedFor;
}

bool UpstreamPool::ended(const UpstreamId &Id, TimePoint Now) const {
  const auto Found = m_Upstreams.find(Id);
  return Found == m_Upstreams.end() || (Found->second.m_UnreachableAt != TimePoint{} &&
                                        Now - Found->second.m_UnreachableAt < UnreachableFor);
}

void UpstreamPool::onEnded(const UpstreamId &Id, AttemptOutcome Outcome, TimePoint Now) {
  PooledUpstream *Target = find(Id);
  if (!Target)
    return;
  if (Outcome == AttemptOutcome::NotSent) {
    Target->m_UnreachableAt = Now;
    DomainFailures &Failures = m_DomainFailures[Target->m_Entry.m_Domain];
    ++Failures.m_InRow;
    Failures.m_LastAt = Now;
  }
  if (Target->m_InFlight > 0)
    --Target->m_InFlight;
  if (Outcome == AttemptOutcome::CallerGone)
    return;
  const bool Bad = countsAgainst(Outcome);
  const double Failed = Bad || Outcome == AttemptOutcome::Failed ? 1.0 : 0.0;
  Target->m_FailureRate += FailureWeight * (Failed - Target->m_FailureRate);
  if (!Bad) {
    Target->m_FailedInRow = 0;
    return;
  }
  ++Target->m_FailedInRow;
  if (Target->m_FailedInRow >= FailuresToEject || Target->m_FailureRate >= FailureRateToEject)
    Target->m_EjectedUntil = Now + ejectionTime(std::max(Target->m_FailedInRow, FailuresToEject));
}

bool UpstreamPool::usable(const PooledUpstream &Candidate, TimePoint Now) const {
  if (Candidate.m_Entry.m_Draining || m_Out.count(Candidate.m_Entry.m_Domain) > 0)
    return false;
  return !Candidate.m_LapsesAt || Now < *Candidate.m_LapsesAt;
}

bool UpstreamPool::ejected(const PooledUpstream &Candidate, TimePoint Now) const {
  if (Now < Candidate.m_EjectedUntil)
    return true;
  // After the ejection one request at a time shows whether it has recovered.
  return Candidate.m_FailedInRow >= FailuresToEject && Candidate.m_InFlight > 0;
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

void UpstreamPool::index() {
  m_ByService.clear();
  for (auto &Known : m_Upstreams)
    m_ByService[Known.second.m_Entry.m_Service].push_back(&Known.second);
}

} // namespace bulrushpitch
