#include "bulrushpitch/decision/upstreams.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Relative increase of the inter-token latency from an idle to a full engine. With continuous batching, a
/// step of a full batch takes about twice as long as that of a single request.
constexpr double FullBatchLatencyIncrease = 1.0;
/// Certainty that a prefix is cached after a request with it was sent, before an event of the engine confirms
/// it.
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
  for (State &Known : m_States)
    Known.m_Configured = Config.m_Upstreams.contains(Known.m_Id);
  for (const auto &[Id, Configured] : Config.m_Upstreams) {
    const std::uint32_t Index = findOrAddSlot(Id);
    State &Slot = m_States[Index];
    const auto Domain = Config.m_Domains.find(Configured.m_Domain);
    // An upstream of an unknown domain is out of service, as no operator can have put that domain into
    // service.
    const bool Out = Domain == Config.m_Domains.end() || Domain->second.m_State == DomainState::Out;
    const std::string Endpoint = Configured.m_Address + ":" + std::to_string(Configured.m_Port);
    if ((Slot.m_DomainOut && !Out) || Slot.m_Endpoint != Endpoint || Slot.m_Domain != Configured.m_Domain)
      markCold(Index);
    Slot.m_Configured = true;
    Slot.m_Endpoint = Endpoint;
    Slot.m_DomainUnreachable = m_UnreachableDomains.contains(Configured.m_Domain);
    Slot.m_Domain = Configured.m_Domain;
    Slot.m_Region = Domain == Config.m_Domains.end() ? RegionId() : Domain->second.m_Region;
    Slot.m_Capacity = std::max(Configured.m_Capacity, 1U);
    Slot.m_ColdLimit = std::min(Configured.m_ColdLimit, Slot.m_Capacity);
    Slot.m_WarmUp = Configured.m_WarmUp;
    Slot.m_DomainOut = Out;
    Slot.m_Draining = Configured.m_Draining;
  }
  for (std::uint32_t Index = 0; Index < size(); ++Index)
    if (!m_States[Index].m_Configured && m_States[Index].m_Warmth != Warmth::Cold)
      markCold(Index);
}

std::uint32_t UpstreamTable::findOrAddSlot(const UpstreamId &Id) {
  if (const auto Found = m_Index.find(Id); Found != m_Index.end())
    return Found->second;
  // Instances are replaced continually, so the slots of removed upstreams are reused.
  std::uint32_t Index = 0;
  while (Index < size() && (m_States[Index].m_Configured || m_States[Index].m_Outstanding > 0))
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

void UpstreamTable::markCold(std::uint32_t Index) {
  m_States[Index].m_Warmth = Warmth::Cold;
  m_States[Index].m_ConsecutiveTimeouts = 0;
}

void UpstreamTable::onReport(const LoadReport &Report) {
  const std::uint32_t Index = indexOf(Report.m_Upstream);
  if (Index == NoIndex || !m_States[Index].m_Configured)
    return;
  State &Slot = m_States[Index];
  const bool Restarted = !Slot.m_StartId.empty() && Slot.m_StartId != Report.m_StartId;
  Slot.m_StartId = Report.m_StartId;
  if (Restarted)
    m_Cache.clear(Index);
  if (Restarted || Report.m_Cold)
    markCold(Index);
  const TimePoint MeasuredAt = Report.m_ReceivedAt - Report.m_AgeAtReceipt;
  if (!Restarted && !Report.m_Cold && Report.m_Running > 0 && Slot.m_Warmth == Warmth::Cold) {
    Slot.m_Warmth = Warmth::Ramping;
    Slot.m_RampStart = Report.m_ReceivedAt;
  }
  if (Slot.m_ReportedLeaving != Report.m_Leaving)
    ++m_Generation;
  Slot.m_ReportedLeaving = Report.m_Leaving;
  const std::uint32_t Reported = Report.m_Running + Report.m_Queued;
  Slot.m_OtherLoad = Reported - std::min(Reported, outstandingAt(Slot, MeasuredAt));
  Slot.m_ReportMeasuredAt = MeasuredAt;
  Slot.m_SentSinceReport = outstandingSentAfter(Slot, MeasuredAt);
  if (Report.m_Running > 0 && Report.m_TokensPerSecond > 0.0) {
    const double Utilisation = static_cast<double>(Report.m_Running) / Slot.m_Capacity;
    const double IdleLatency = Report.m_Running / Report.m_TokensPerSecond /
                               (1.0 + FullBatchLatencyIncrease * std::min(Utilisation, 1.0));
    Slot.m_BaseInterTokenLatency = Slot.m_BaseInterTokenLatency > 0.0
                                       ? 0.8 * Slot.m_BaseInterTokenLatency + 0.2 * IdleLatency
                                       : IdleLatency;
  }
}

void UpstreamTable::onCacheEvents(const UpstreamId &Id, const std::vector<CacheEvent> &Events) {
  const std::uint32_t Index = indexOf(Id);
  if (Index == NoIndex)
    return;
  State &Slot = m_States[Index];
  for (const CacheEvent &Event : Events) {
    if (Event.m_Sequence < Slot.m_NextEventSequence)
      continue;
    if (Slot.m_NextEventSequence != 0 && Event.m_Sequence > Slot.m_NextEventSequence)
      m_Cache.halveCertainty(Index);
    Slot.m_NextEventSequence = Event.m_Sequence + 1;
    switch (Event.m_Kind) {
    case CacheEvent::Kind::Stored:
      m_Cache.store(Event.m_Prefix, Index, 1.0F);
      break;
    case CacheEvent::Kind::Evicted:
      m_Cache.evict(Event.m_Prefix, Index);
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
  for (State &Slot : m_States)
    if (Slot.m_Domain == Id)
      Slot.m_DomainUnreachable = !Reachable;
  ++m_Generation;
}

void UpstreamTable::setCold(const UpstreamId &Id) {
  if (const std::uint32_t Index = indexOf(Id); Index != NoIndex)
    markCold(Index);
}

void UpstreamTable::setWarm(const UpstreamId &Id, TimePoint Now) {
  if (const std::uint32_t Index = indexOf(Id); Index != NoIndex) {
    m_States[Index].m_Warmth = Warmth::Warm;
    m_States[Index].m_RampStart = Now;
    m_States[Index].m_ConsecutiveTimeouts = 0;
  }
}

void UpstreamTable::onTimeout(const UpstreamId &Id) {
  const std::uint32_t Index = indexOf(Id);
  if (Index != NoIndex && ++m_States[Index].m_ConsecutiveTimeouts >= 2)
    markCold(Index);
}

void UpstreamTable::recordChange(State &Slot, std::int32_t Delta, TimePoint Now, TimePoint SentAt) {
  Slot.m_History[Slot.m_ChangeCount % HistorySize] = {Now, SentAt, Delta};
  ++Slot.m_ChangeCount;
}

std::uint32_t UpstreamTable::outstandingAt(const State &Slot, TimePoint MeasuredAt) {
  std::int64_t Count = Slot.m_Outstanding;
  const std::uint32_t Recorded = std::min<std::uint32_t>(Slot.m_ChangeCount, HistorySize);
  for (std::uint32_t Offset = 1; Offset <= Recorded; ++Offset) {
    const OutstandingChange &Recent = Slot.m_History[(Slot.m_ChangeCount - Offset) % HistorySize];
    if (Recent.m_At <= MeasuredAt)
      break;
    Count -= Recent.m_CountDelta;
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Count, 0));
}

std::uint32_t UpstreamTable::outstandingSentAfter(const State &Slot, TimePoint MeasuredAt) {
  std::int32_t Count = 0;
  const std::uint32_t Recorded = std::min<std::uint32_t>(Slot.m_ChangeCount, HistorySize);
  for (std::uint32_t Offset = 1; Offset <= Recorded; ++Offset) {
    const OutstandingChange &Recent = Slot.m_History[(Slot.m_ChangeCount - Offset) % HistorySize];
    if (Recent.m_At <= MeasuredAt)
      break;
    if (Recent.m_SentAt > MeasuredAt)
      Count += Recent.m_CountDelta;
  }
  return static_cast<std::uint32_t>(std::max(Count, 0));
}

void UpstreamTable::addOutstanding(std::uint32_t Index, TimePoint Now) {
  State &Slot = m_States[Index];
  ++Slot.m_Outstanding;
  ++Slot.m_SentSinceReport;
  recordChange(Slot, 1, Now, Now);
}

void UpstreamTable::removeOutstanding(std::uint32_t Index, TimePoint Now, TimePoint SentAt) {
  State &Slot = m_States[Index];
  if (Slot.m_Outstanding == 0)
    return;
  --Slot.m_Outstanding;
  if (SentAt > Slot.m_ReportMeasuredAt && Slot.m_SentSinceReport > 0)
    --Slot.m_SentSinceReport;
  recordChange(Slot, -1, Now, SentAt);
}

void UpstreamTable::onResponse(std::uint32_t Index, TimePoint Now) {
  State &Slot = m_States[Index];
  Slot.m_ConsecutiveTimeouts = 0;
  if (Slot.m_Warmth != Warmth::Cold)
    return;
  Slot.m_Warmth = Warmth::Ramping;
  Slot.m_RampStart = Now;
}

void UpstreamTable::onServiceTime(std::uint32_t Index, Duration ServiceTime) {
  double &Mean = m_States[Index].m_ServiceSeconds;
  Mean += 0.05 * (secondsOf(ServiceTime) - Mean);
}

void UpstreamTable::assumeCached(std::uint32_t Index, std::uint64_t Prefix) {
  m_Cache.store(Prefix, Index, AssumedCertainty);
}

Exclusion UpstreamTable::exclusion(std::uint32_t Index, TimePoint Now) const {
  const State &Slot = m_States[Index];
  if (Slot.m_DomainOut)
    return Exclusion::DomainOut;
  if (Slot.m_Draining)
    return Exclusion::Draining;
  if (!Slot.m_Configured || Slot.m_Leaving || Slot.m_ReportedLeaving)
    return Exclusion::Leaving;
  if (Slot.m_DomainUnreachable || Now < Slot.m_UnreachableUntil)
    return Exclusion::Unreachable;
  return Exclusion::None;
}

Warmth UpstreamTable::warmth(std::uint32_t Index, TimePoint Now) const {
  const State &Slot = m_States[Index];
  if (Slot.m_Warmth == Warmth::Ramping && Now - Slot.m_RampStart >= Slot.m_WarmUp)
    return Warmth::Warm;
  return Slot.m_Warmth;
}

std::uint32_t UpstreamTable::limit(std::uint32_t Index, TimePoint Now) const {
  const State &Slot = m_States[Index];
  switch (warmth(Index, Now)) {
  case Warmth::Cold:
    return Slot.m_ColdLimit;
  case Warmth::Warm:
    return Slot.m_Capacity;
  case Warmth::Ramping:
    break;
  }
  const double RampedShare =
      std::clamp(secondsOf(Now - Slot.m_RampStart) / secondsOf(Slot.m_WarmUp), 0.0, 1.0);
  return Slot.m_ColdLimit + static_cast<std::uint32_t>(RampedShare * (Slot.m_Capacity - Slot.m_ColdLimit));
}

std::uint32_t UpstreamTable::knownLoad(std::uint32_t Index) const {
  return m_States[Index].m_Outstanding + m_States[Index].m_OtherLoad;
}

double UpstreamTable::estimatedLoad(std::uint32_t Index, double OtherDaemonRequestRatio,
                                    TimePoint Now) const {
  const State &Slot = m_States[Index];
  const double AgeSeconds = std::max(0.0, secondsOf(Now - Slot.m_ReportMeasuredAt));
  const double RemainingShare = Slot.m_ServiceSeconds / (Slot.m_ServiceSeconds + AgeSeconds);
  return Slot.m_Outstanding + RemainingShare * Slot.m_OtherLoad +
         OtherDaemonRequestRatio * Slot.m_SentSinceReport;
}

double UpstreamTable::interTokenLatency(std::uint32_t Index, double Load, double Baseline) const {
  const State &Slot = m_States[Index];
  const double IdleLatency = Slot.m_BaseInterTokenLatency > 0.0 ? Slot.m_BaseInterTokenLatency : Baseline;
  return IdleLatency * (1.0 + FullBatchLatencyIncrease * std::min(Load / Slot.m_Capacity, 1.0));
}

} // namespace bulrushpitch
