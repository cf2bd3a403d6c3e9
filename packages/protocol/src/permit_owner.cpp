#include "bulrushpitch/protocol/permits.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Between repeats of the cancellation of an expired permit's stream.
constexpr Duration CancelAgain = std::chrono::seconds(1);

} // namespace

PermitOwner::PermitOwner(LeaseHook Lease, PermitSettings Settings)
    : m_Lease(std::move(Lease)), m_Settings(Settings) {}

void PermitOwner::own(const UpstreamId &Upstream, const RampLimits &Limits, TimePoint GrantFrom) {
  Ramp Fresh;
  Fresh.m_Limits = Limits;
  Fresh.m_GrantFrom = GrantFrom;
  m_Ramps.insert_or_assign(Upstream, std::move(Fresh));
}

void PermitOwner::configure(const UpstreamId &Upstream, const RampLimits &Limits) {
  if (const auto Found = m_Ramps.find(Upstream); Found != m_Ramps.end())
    Found->second.m_Limits = Limits;
}

void PermitOwner::disown(const UpstreamId &Upstream) { m_Ramps.erase(Upstream); }

void PermitOwner::report(TimePoint, const RampReport &Report) {
  const auto Found = m_Ramps.find(Report.m_Upstream);
  // Earlier figures may miss a stream that a permit of an earlier owner still lets start.
  if (Found == m_Ramps.end() || Report.m_SampledAt < Found->second.m_GrantFrom)
    return;
  Ramp &Of = Found->second;
  if (Of.m_LastReport && Report.m_SampledAt <= *Of.m_LastReport)
    return;
  const bool Restarted = Of.m_StartId != Report.m_StartId;
  const bool Gap = !Of.m_LastReport || Report.m_SampledAt - *Of.m_LastReport > m_Settings.m_ReportLimit;
  if (Restarted)
    std::erase_if(Of.m_Permits, [](const std::pair<const AttemptId, Permit> &Entry) {
      return Entry.second.m_CancelledAt.has_value();
    });
  // After a restart nothing is known of who started what runs now, so all of it counts.
  Of.m_Foreign = Restarted || !Of.m_Foreign ? Report.m_Running : std::min(*Of.m_Foreign, Report.m_Running);
  Of.m_StartId = Report.m_StartId;
  Of.m_LastReport = Report.m_SampledAt;
  if (Report.m_Cold)
    Of.m_RampStart.reset();
  else if (Restarted || Gap || !Of.m_RampStart)
    Of.m_RampStart = Report.m_SampledAt;
}

void PermitOwner::cold(TimePoint Now, const UpstreamId &Upstream) {
  if (const auto Found = m_Ramps.find(Upstream); Found != m_Ramps.end())
    Found->second.m_RampStart = Now;
}

PermitReply PermitOwner::refuse(const PermitRequest &Request, const std::string &Reason) {
  PermitReply Reply;
  Reply.m_Attempt = Request.m_Attempt;
  Reply.m_Reason = Reason;
  return Reply;
}

PermitReply PermitOwner::grant(TimePoint Now, Ramp &Of, const PermitRequest &Request, FencingNumber Fencing) {
  Of.m_Permits[Request.m_Attempt] = Permit{Request.m_Holder, Now + m_Settings.m_Ttl, std::nullopt};
  return PermitReply{true, Request.m_Attempt, m_Settings.m_Ttl, Fencing, ""};
}

PermitReply PermitOwner::request(TimePoint Now, const PermitRequest &Request) {
  const auto Found = m_Ramps.find(Request.m_Upstream);
  if (Found == m_Ramps.end())
    return refuse(Request, "not the owner");
  const std::optional<FencingNumber> Fencing = m_Lease(Request.m_Upstream, Now);
  if (!Fencing)
    return refuse(Request, "the lease is not held");
  Ramp &Of = Found->second;
  if (Of.m_Permits.count(Request.m_Attempt) != 0)
    return renew(Now, Request);
  if (Now < Of.m_GrantFrom)
    return refuse(Request, "permits of an earlier owner may be valid");
  if (!Of.m_LastReport || Now - *Of.m_LastReport > m_Settings.m_ReportLimit)
    return refuse(Request, "no recent load report");
  if (taken(Request.m_Upstream) >= limitOf(Of, Now))
    return refuse(Request, "the limit is reached");
  return grant(Now, Of, Request, *Fencing);
}

PermitReply PermitOwner::renew(TimePoint Now, const PermitRequest &Request) {
  const auto Found = m_Ramps.find(Request.m_Upstream);
  const std::optional<FencingNumber> Fencing = m_Lease(Request.m_Upstream, Now);
  if (Found == m_Ramps.end() || !Fencing)
    return refuse(Request, "not the owner");
  const auto Held = Found->second.m_Permits.find(Request.m_Attempt);
  if (Held == Found->second.m_Permits.end() || Held->second.m_CancelledAt || Now >= Held->second.m_Expiry)
    return refuse(Request, "no such permit, or it has expired");
  return grant(Now, Found->second, Request, *Fencing);
}

void PermitOwner::release(TimePoint Now, const PermitRequest &Request, bool Ended) {
  const auto Found = m_Ramps.find(Request.m_Upstream);
  if (Found == m_Ramps.end())
    return;
  if (Ended) {
    Found->second.m_Permits.erase(Request.m_Attempt);
  } else if (const auto Held = Found->second.m_Permits.find(Request.m_Attempt);
             Held != Found->second.m_Permits.end()) {
    Held->second.m_Expiry = std::min(Held->second.m_Expiry, Now);
  }
}

void PermitOwner::streamEnded(const UpstreamId &Upstream, const AttemptId &Attempt) {
  const auto Found = m_Ramps.find(Upstream);
  if (Found == m_Ramps.end())
    return;
  const auto Held = Found->second.m_Permits.find(Attempt);
  if (Held != Found->second.m_Permits.end() && Held->second.m_CancelledAt)
    Found->second.m_Permits.erase(Held);
}

std::vector<CancelStream> PermitOwner::tick(TimePoint Now) {
  std::vector<CancelStream> Cancelled;
  for (std::pair<const UpstreamId, Ramp> &Entry : m_Ramps)
    for (std::pair<const AttemptId, Permit> &Held : Entry.second.m_Permits) {
      Permit &Of = Held.second;
      if (Now < Of.m_Expiry || (Of.m_CancelledAt && Now - *Of.m_CancelledAt < CancelAgain))
        continue;
      Of.m_CancelledAt = Now;
      Cancelled.push_back(CancelStream{Entry.first, Held.first});
    }
  return Cancelled;
}

std::uint32_t PermitOwner::limitOf(const Ramp &Of, TimePoint Now) {
  const RampLimits &Limits = Of.m_Limits;
  if (!Of.m_RampStart || Now <= *Of.m_RampStart || Limits.m_Capacity <= Limits.m_ColdLimit)
    return std::min(Limits.m_ColdLimit, Limits.m_Capacity);
  const Duration Served = Now - *Of.m_RampStart;
  if (Served >= Limits.m_WarmUp)
    return Limits.m_Capacity;
  const double Share = static_cast<double>(Served.count()) / static_cast<double>(Limits.m_WarmUp.count());
  return Limits.m_ColdLimit +
         static_cast<std::uint32_t>(Share * static_cast<double>(Limits.m_Capacity - Limits.m_ColdLimit));
}

std::uint32_t PermitOwner::limit(const UpstreamId &Upstream, TimePoint Now) const {
  const auto Found = m_Ramps.find(Upstream);
  return Found == m_Ramps.end() ? 0 : limitOf(Found->second, Now);
}

std::uint32_t PermitOwner::taken(const UpstreamId &Upstream) const {
  const auto Found = m_Ramps.find(Upstream);
  if (Found == m_Ramps.end())
    return 0;
  return static_cast<std::uint32_t>(Found->second.m_Permits.size()) + Found->second.m_Foreign.value_or(0);
}

bool PermitOwner::warm(const UpstreamId &Upstream, TimePoint Now) const {
  const auto Found = m_Ramps.find(Upstream);
  return Found != m_Ramps.end() && limitOf(Found->second, Now) >= Found->second.m_Limits.m_Capacity;
}

} // namespace bulrushpitch
