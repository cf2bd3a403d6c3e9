#include "bulrushpitch/decision/upstreams.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Growth of the time between tokens from an idle to a full engine, as a share. Continuous batching makes a
/// full batch's step about twice as long as a single request's.
constexpr double GapGrowth = 1.0;
/// Certainty of a prefix that a request was sent with, before the engine's event confirms it.
constexpr float AssumedCertainty = 0.8F;

} // namespace

std::string_view nameOf(Exclusion Value) {
  switch (Value) {
  case Exclusion::None:
    return "none";
  case Exclusion::DomainOut:
    return "domain out";
  case Exclusion::Draining:
    return "draining";
  case Exclusion::Leaving:
    return "leaving";
  case Exclusion::Unreachable:
    break;
  }
  return "unreachable";
}

void UpstreamTable::setConfiguration(const Configuration &Config) {
  ++m_Generation;
  for (State &Each : m_States)
    Each.m_Present = Config.m_Upstreams.contains(Each.m_Id);
  for (const auto &[Id, Wanted] : Config.m_Upstreams) {
    const std::uint32_t Index = slotFor(Id);
    State &Target = m_States[Index];
    const auto Domain = Config.m_Domains.find(Wanted.m_Domain);
    // An upstream of an unknown domain is out, as no operator can have put the domain into service.
    const bool Out = Domain == Config.m_Domains.end() || Domain->second.m_State == DomainState::Out;
    const std::string Endpoint = Wanted.m_Address + ":" + std::to_string(Wanted.m_Port);
    if ((Target.m_DomainOut && !Out) || Target.m_Endpoint != Endpoint || Target.m_Domain != Wanted.m_Domain)
      coolDown(Index);
    Target.m_Present = true;
    Target.m_Endpoint = Endpoint;
    Target.m_DomainUnreachable = m_UnreachableDomains.contains(Wanted.m_Domain);
    Target.m_Domain = Wanted.m_Domain;
    Target.m_Region = Domain == Config.m_Domains.end() ? RegionId() : Domain->second.m_Region;
    Target.m_Capacity = std::max(Wanted.m_Capacity, 1U);
    Target.m_ColdLimit = std::min(Wanted.m_ColdLimit, Target.m_Capacity);
    Target.m_WarmUp = Wanted.m_WarmUp;
    Target.m_DomainOut = Out;
    Target.m_Draining = Wanted.m_Draining;
  }
  for (std::uint32_t Index = 0; Index < size(); ++Index)
    if (!m_States[Index].m_Present && m_States[Index].m_Warmth != Warmth::Cold)
      coolDown(Index);
}

std::uint32_t UpstreamTable::slotFor(const UpstreamId &Id) {
  if (const auto Found = m_Index.find(Id); Found != m_Index.end())
    return Found->second;
  // Instances are replaced all day, so the places of those that are gone are used again.
  std::uint32_t Index = 0;
  while (Index < size() && (m_States[Index].m_Present || m_States[Index].m_Own > 0))
    ++Index;
  if (Index == size())
    m_States.emplace_back();
  else
    m_Index.erase(m_States[Index].m_Id);
  m_Cache.clear(Index);
  m_States[Index] = State();
  m_States[Index].m_Id = Id;
  m_Index.emplace(Id, Index);
  return Index;
}

std::uint32_t UpstreamTable::indexOf(const UpstreamId &Id) const {
  const auto Found = m_Index.find(Id);
  return Found == m_Index.end() ? NoIndex : Found->second;
}

void UpstreamTable::coolDown(std::uint32_t Index) {
  m_States[Index].m_Warmth = Warmth::Cold;
  m_States[Index].m_Timeouts = 0;
}

void UpstreamTable::onReport(const LoadReport &Report) {
  const std::uint32_t Index = indexOf(Report.m_Upstream);
  if (Index == NoIndex || !m_States[Index].m_Present)
    return;
  State &Target = m_States[Index];
  const bool Restarted = !Target.m_StartId.empty() && Target.m_StartId != Report.m_StartId;
  Target.m_StartId = Report.m_StartId;
  if (Restarted)
    m_Cache.clear(Index);
  if (Restarted || Report.m_Cold)
    coolDown(Index);
  const TimePoint Then = Report.m_ReceivedAt - Report.m_Age;
  if (!Restarted && !Report.m_Cold && Report.m_Running > 0 && Target.m_Warmth == Warmth::Cold) {
    Target.m_Warmth = Warmth::Ramping;
    Target.m_RampStart = Report.m_ReceivedAt;
  }
  if (Target.m_ReportedLeaving != Report.m_Leaving)
    ++m_Generation;
  Target.m_ReportedLeaving = Report.m_Leaving;
  const std::uint32_t Reported = Report.m_Running + Report.m_Queued;
  Target.m_Others = Reported - std::min(Reported, ownAt(Target, Then));
  Target.m_ReportOf = Then;
  Target.m_SentSince = runningSentAfter(Target, Then);
  if (Report.m_Running > 0 && Report.m_TokensPerSecond > 0.0) {
    const double Share = static_cast<double>(Report.m_Running) / Target.m_Capacity;
    const double Base =
        Report.m_Running / Report.m_TokensPerSecond / (1.0 + GapGrowth * std::min(Share, 1.0));
    Target.m_BaseGap = Target.m_BaseGap > 0.0 ? 0.8 * Target.m_BaseGap + 0.2 * Base : Base;
  }
}

void UpstreamTable::onCacheEvents(const UpstreamId &Id, const std::vector<CacheEvent> &Events) {
  const std::uint32_t Index = indexOf(Id);
  if (Index == NoIndex)
    return;
  State &Target = m_States[Index];
  for (const CacheEvent &Each : Events) {
    if (Each.m_Sequence < Target.m_NextEvent)
      continue;
    if (Target.m_NextEvent != 0 && Each.m_Sequence > Target.m_NextEvent)
      m_Cache.weaken(Index);
    Target.m_NextEvent = Each.m_Sequence + 1;
    switch (Each.m_Kind) {
    case CacheEvent::Kind::Stored:
      m_Cache.store(Each.m_Prefix, Index, 1.0F);
      break;
    case CacheEvent::Kind::Evicted:
      m_Cache.evict(Each.m_Prefix, Index);
      break;
    case CacheEvent::Kind::Cleared:
      m_Cache.clear(Index);
      break;
    }
  }
}

void UpstreamTable::setLeaving(const UpstreamId &Id, bool Leaving) {
  const std::uint32_t Index = indexOf(Id);
  if (Index == NoIndex || m_States[Index].m_Leaving == Leaving)
    return;
  m_States[Index].m_Leaving = Leaving;
  ++m_Generation;
}

void UpstreamTable::setUnreachable(const UpstreamId &Id, TimePoint Until) {
  const std::uint32_t Index = indexOf(Id);
  if (Index == NoIndex)
    return;
  m_States[Index].m_UnreachableUntil = Until;
  ++m_Generation;
}

void UpstreamTable::setDomainReachable(const DomainId &Id, bool Reachable) {
  if (Reachable)
    m_UnreachableDomains.erase(Id);
  else
    m_UnreachableDomains.insert(Id);
  for (State &Each : m_States)
    if (Each.m_Domain == Id)
      Each.m_DomainUnreachable = !Reachable;
  ++m_Generation;
}

void UpstreamTable::setCold(const UpstreamId &Id) {
  if (const std::uint32_t Index = indexOf(Id); Index != NoIndex)
    coolDown(Index);
}

void UpstreamTable::setWarm(const UpstreamId &Id, TimePoint Now) {
  if (const std::uint32_t Index = indexOf(Id); Index != NoIndex) {
    m_States[Index].m_Warmth = Warmth::Warm;
    m_States[Index].m_RampStart = Now;
    m_States[Index].m_Timeouts = 0;
  }
}

void UpstreamTable::onTimeout(const UpstreamId &Id) {
  const std::uint32_t Index = indexOf(Id);
  if (Index != NoIndex && ++m_States[Index].m_Timeouts >= 2)
    coolDown(Index);
}

void UpstreamTable::note(State &Target, std::int32_t Delta, TimePoint Now, TimePoint Sent) {
  Target.m_History[Target.m_HistoryNext % HistorySize] = {Now, Sent, Delta};
  ++Target.m_HistoryNext;
}

std::uint32_t UpstreamTable::ownAt(const State &Target, TimePoint Then) {
  std::int64_t Count = Target.m_Own;
  const std::uint32_t Kept = std::min<std::uint32_t>(Target.m_HistoryNext, HistorySize);
  for (std::uint32_t Back = 1; Back <= Kept; ++Back) {
    const Change &Each = Target.m_History[(Target.m_HistoryNext - Back) % HistorySize];
    if (Each.m_At <= Then)
      break;
    Count -= Each.m_Delta;
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Count, 0));
}

std::uint32_t UpstreamTable::runningSentAfter(const State &Target, TimePoint Then) {
  std::int32_t Count = 0;
  const std::uint32_t Kept = std::min<std::uint32_t>(Target.m_HistoryNext, HistorySize);
  for (std::uint32_t Back = 1; Back <= Kept; ++Back) {
    const Change &Each = Target.m_History[(Target.m_HistoryNext - Back) % HistorySize];
    if (Each.m_At <= Then)
      break;
    if (Each.m_Sent > Then)
      Count += Each.m_Delta;
  }
  return static_cast<std::uint32_t>(std::max(Count, 0));
}

void UpstreamTable::addOutstanding(std::uint32_t Index, TimePoint Now) {
  State &Target = m_States[Index];
  ++Target.m_Own;
  ++Target.m_SentSince;
  note(Target, 1, Now, Now);
}

void UpstreamTable::removeOutstanding(std::uint32_t Index, TimePoint Now, TimePoint Sent) {
  State &Target = m_States[Index];
  if (Target.m_Own == 0)
    return;
  --Target.m_Own;
  if (Sent > Target.m_ReportOf && Target.m_SentSince > 0)
    --Target.m_SentSince;
  note(Target, -1, Now, Sent);
}

void UpstreamTable::onServed(std::uint32_t Index, TimePoint Now) {
  State &Target = m_States[Index];
  Target.m_Timeouts = 0;
  if (Target.m_Warmth != Warmth::Cold)
    return;
  Target.m_Warmth = Warmth::Ramping;
  Target.m_RampStart = Now;
}

void UpstreamTable::onServiceTime(std::uint32_t Index, Duration Taken) {
  double &Mean = m_States[Index].m_ServiceSeconds;
  Mean += 0.05 * (std::chrono::duration<double>(Taken).count() - Mean);
}

void UpstreamTable::assumeCached(std::uint32_t Index, std::uint64_t Prefix) {
  m_Cache.store(Prefix, Index, AssumedCertainty);
}

Exclusion UpstreamTable::exclusion(std::uint32_t Index, TimePoint Now) const {
  const State &Target = m_States[Index];
  if (Target.m_DomainOut)
    return Exclusion::DomainOut;
  if (Target.m_Draining)
    return Exclusion::Draining;
  if (!Target.m_Present || Target.m_Leaving || Target.m_ReportedLeaving)
    return Exclusion::Leaving;
  if (Target.m_DomainUnreachable || Now < Target.m_UnreachableUntil)
    return Exclusion::Unreachable;
  return Exclusion::None;
}

Warmth UpstreamTable::warmth(std::uint32_t Index, TimePoint Now) const {
  const State &Target = m_States[Index];
  if (Target.m_Warmth == Warmth::Ramping && Now - Target.m_RampStart >= Target.m_WarmUp)
    return Warmth::Warm;
  return Target.m_Warmth;
}

std::uint32_t UpstreamTable::limit(std::uint32_t Index, TimePoint Now) const {
  const State &Target = m_States[Index];
  switch (warmth(Index, Now)) {
  case Warmth::Cold:
    return Target.m_ColdLimit;
  case Warmth::Warm:
    return Target.m_Capacity;
  case Warmth::Ramping:
    break;
  }
  const double Share = std::clamp(std::chrono::duration<double>(Now - Target.m_RampStart).count() /
                                      std::chrono::duration<double>(Target.m_WarmUp).count(),
                                  0.0, 1.0);
  return Target.m_ColdLimit + static_cast<std::uint32_t>(Share * (Target.m_Capacity - Target.m_ColdLimit));
}

std::uint32_t UpstreamTable::knownLoad(std::uint32_t Index) const {
  return m_States[Index].m_Own + m_States[Index].m_Others;
}

double UpstreamTable::likelyLoad(std::uint32_t Index, double Imitation, TimePoint Now) const {
  const State &Target = m_States[Index];
  const double Age = std::max(0.0, std::chrono::duration<double>(Now - Target.m_ReportOf).count());
  const double Left = Target.m_ServiceSeconds / (Target.m_ServiceSeconds + Age);
  return Target.m_Own + Left * Target.m_Others + Imitation * Target.m_SentSince;
}

double UpstreamTable::tokenGap(std::uint32_t Index, double Load, double Usual) const {
  const State &Target = m_States[Index];
  const double Base = Target.m_BaseGap > 0.0 ? Target.m_BaseGap : Usual;
  return Base * (1.0 + GapGrowth * std::min(Load / Target.m_Capacity, 1.0));
}

} // namespace bulrushpitch
