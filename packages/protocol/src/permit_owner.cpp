#include "bulrushpitch/protocol/permits.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Interval between repeated cancellations of an expired permit's stream.
constexpr Duration CancelRetryInterval = std::chrono::seconds(1);

} // namespace

PermitOwner::PermitOwner(FencingHook Hook, PermitSettings Settings)
    : m_FencingHook(std::move(Hook)), m_Settings(Settings) {}

void PermitOwner::addUpstream(const UpstreamId &Upstream, const RampLimits &Limits, TimePoint GrantsFrom) {
  UpstreamRamp NewRamp;
  NewRamp.m_Limits = Limits;
  NewRamp.m_GrantsFrom = GrantsFrom;
  m_Ramps.insert_or_assign(Upstream, std::move(NewRamp));
}

void PermitOwner::configure(const UpstreamId &Upstream, const RampLimits &Limits) {
  if (const auto Found = m_Ramps.find(Upstream); Found != m_Ramps.end())
    Found->second.m_Limits = Limits;
}

void PermitOwner::removeUpstream(const UpstreamId &Upstream) { m_Ramps.erase(Upstream); }

void PermitOwner::applyReport(TimePoint, const RampReport &Report) {
  const auto Found = m_Ramps.find(Report.m_Upstream);
  // Figures sampled before m_GrantsFrom may lack a stream that starts later with a permit of an earlier
  // owner.
  if (Found == m_Ramps.end() || Report.m_SampledAt < Found->second.m_GrantsFrom)
    return;
  UpstreamRamp &Ramp = Found->second;
  if (Ramp.m_LastSampledAt && Report.m_SampledAt <= *Ramp.m_LastSampledAt)
    return;
  const bool HasRestarted = Ramp.m_StartId != Report.m_StartId;
  const bool ReportsMissed =
      !Ramp.m_LastSampledAt || Report.m_SampledAt - *Ramp.m_LastSampledAt > m_Settings.m_MaxReportAge;
  if (HasRestarted)
    std::erase_if(Ramp.m_Permits, [](const std::pair<const AttemptId, GrantedPermit> &Entry) {
      return Entry.second.m_CancelledAt.has_value();
    });
  // After a restart it is unknown which of the running streams have permits, so all of them are counted.
  Ramp.m_UnpermittedStreams = HasRestarted || !Ramp.m_UnpermittedStreams
                                  ? Report.m_Running
                                  : std::min(*Ramp.m_UnpermittedStreams, Report.m_Running);
  Ramp.m_StartId = Report.m_StartId;
  Ramp.m_LastSampledAt = Report.m_SampledAt;
  if (Report.m_Cold)
    Ramp.m_RampStart.reset();
  else if (HasRestarted || ReportsMissed || !Ramp.m_RampStart)
    Ramp.m_RampStart = Report.m_SampledAt;
}

void PermitOwner::coldSignSeen(TimePoint Now, const UpstreamId &Upstream) {
  if (const auto Found = m_Ramps.find(Upstream); Found != m_Ramps.end())
    Found->second.m_RampStart = Now;
}

PermitReply PermitOwner::refuse(const PermitRequest &Request, const std::string &Reason) {
  PermitReply Reply;
  Reply.m_Attempt = Request.m_Attempt;
  Reply.m_Reason = Reason;
  return Reply;
}

PermitReply PermitOwner::grant(TimePoint Now, UpstreamRamp &Ramp, const PermitRequest &Request,
                               FencingNumber Fencing) {
  Ramp.m_Permits[Request.m_Attempt] = GrantedPermit{Request.m_Holder, Now + m_Settings.m_Ttl, std::nullopt};
  return PermitReply{true, Request.m_Attempt, m_Settings.m_Ttl, Fencing, ""};
}

PermitReply PermitOwner::request(TimePoint Now, const PermitRequest &Request) {
  const auto Found = m_Ramps.find(Request.m_Upstream);
  if (Found == m_Ramps.end())
    return refuse(Request, "this instance does not own the upstream");
  const std::optional<FencingNumber> Fencing = m_FencingHook(Request.m_Upstream, Now);
  if (!Fencing)
    return refuse(Request, "this instance does not hold the lease");
  UpstreamRamp &Ramp = Found->second;
  if (Ramp.m_Permits.count(Request.m_Attempt) != 0)
    return renew(Now, Request);
  if (Now < Ramp.m_GrantsFrom)
    return refuse(Request, "permits of an earlier owner may still be valid");
  if (!Ramp.m_LastSampledAt || Now - *Ramp.m_LastSampledAt > m_Settings.m_MaxReportAge)
    return refuse(Request, "no recent load report");
  if (usedSlots(Request.m_Upstream) >= limitOf(Ramp, Now))
    return refuse(Request, "the concurrency limit is reached");
  return grant(Now, Ramp, Request, *Fencing);
}

PermitReply PermitOwner::renew(TimePoint Now, const PermitRequest &Request) {
  const auto Found = m_Ramps.find(Request.m_Upstream);
  const std::optional<FencingNumber> Fencing = m_FencingHook(Request.m_Upstream, Now);
  if (Found == m_Ramps.end() || !Fencing)
    return refuse(Request, "this instance does not own the upstream");
  const auto Permit = Found->second.m_Permits.find(Request.m_Attempt);
  if (Permit == Found->second.m_Permits.end() || Permit->second.m_CancelledAt ||
      Now >= Permit->second.m_Expiry)
    return refuse(Request, "no such permit, or it has expired");
  return grant(Now, Found->second, Request, *Fencing);
}

void PermitOwner::release(TimePoint Now, const PermitRequest &Request, bool Ended) {
  const auto Found = m_Ramps.find(Request.m_Upstream);
  if (Found == m_Ramps.end())
    return;
  if (Ended) {
    Found->second.m_Permits.erase(Request.m_Attempt);
  } else if (const auto Permit = Found->second.m_Permits.find(Request.m_Attempt);
             Permit != Found->second.m_Permits.end()) {
    Permit->second.m_Expiry = std::min(Permit->second.m_Expiry, Now);
  }
}

void PermitOwner::streamEnded(const UpstreamId &Upstream, const AttemptId &Attempt) {
  const auto Found = m_Ramps.find(Upstream);
  if (Found == m_Ramps.end())
    return;
  const auto Permit = Found->second.m_Permits.find(Attempt);
  if (Permit != Found->second.m_Permits.end() && Permit->second.m_CancelledAt)
    Found->second.m_Permits.erase(Permit);
}

std::vector<CancelStream> PermitOwner::tick(TimePoint Now) {
  std::vector<CancelStream> Cancellations;
  for (std::pair<const UpstreamId, UpstreamRamp> &Entry : m_Ramps)
    for (std::pair<const AttemptId, GrantedPermit> &PermitEntry : Entry.second.m_Permits) {
      GrantedPermit &Permit = PermitEntry.second;
      if (Now < Permit.m_Expiry ||
          (Permit.m_CancelledAt && Now - *Permit.m_CancelledAt < CancelRetryInterval))
        continue;
      Permit.m_CancelledAt = Now;
      Cancellations.push_back(CancelStream{Entry.first, PermitEntry.first});
    }
  return Cancellations;
}

std::uint32_t PermitOwner::limitOf(const UpstreamRamp &Ramp, TimePoint Now) {
  const RampLimits &Limits = Ramp.m_Limits;
  if (!Ramp.m_RampStart || Now <= *Ramp.m_RampStart || Limits.m_Capacity <= Limits.m_ColdLimit)
    return std::min(Limits.m_ColdLimit, Limits.m_Capacity);
  const Duration RampTime = Now - *Ramp.m_RampStart;
  if (RampTime >= Limits.m_WarmUp)
    return Limits.m_Capacity;
  const double Share = static_cast<double>(RampTime.count()) / static_cast<double>(Limits.m_WarmUp.count());
  return Limits.m_ColdLimit +
         static_cast<std::uint32_t>(Share * static_cast<double>(Limits.m_Capacity - Limits.m_ColdLimit));
}

std::uint32_t PermitOwner::limit(const UpstreamId &Upstream, TimePoint Now) const {
  const auto Found = m_Ramps.find(Upstream);
  return Found == m_Ramps.end() ? 0 : limitOf(Found->second, Now);
}

std::uint32_t PermitOwner::usedSlots(const UpstreamId &Upstream) const {
  const auto Found = m_Ramps.find(Upstream);
  if (Found == m_Ramps.end())
    return 0;
  return static_cast<std::uint32_t>(Found->second.m_Permits.size()) +
         Found->second.m_UnpermittedStreams.value_or(0);
}

bool PermitOwner::warm(const UpstreamId &Upstream, TimePoint Now) const {
  const auto Found = m_Ramps.find(Upstream);
  return Found != m_Ramps.end() && limitOf(Found->second, Now) >= Found->second.m_Limits.m_Capacity;
}

} // namespace bulrushpitch
