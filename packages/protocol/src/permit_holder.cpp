#include "bulrushpitch/protocol/permits.h"

namespace bulrushpitch {

PermitHolder::PermitHolder(InstanceId Self, PermitSettings Settings)
    : m_Self(std::move(Self)), m_Settings(Settings) {}

PermitActions PermitHolder::acquire(TimePoint Now, const UpstreamId &Upstream, const AttemptId &Attempt) {
  m_Permits[Attempt] = HeldPermit{Upstream, Now, std::nullopt};
  return {AcquirePermit{PermitRequest{Upstream, m_Self, Attempt}}};
}

PermitActions PermitHolder::replyReceived(TimePoint Now, const UpstreamId &Upstream, const PermitReply &Reply,
                                          TimePoint SentAt) {
  const auto Found = m_Permits.find(Reply.m_Attempt);
  if (Found == m_Permits.end()) {
    if (Reply.m_Granted)
      return {ReleasePermit{PermitRequest{Upstream, m_Self, Reply.m_Attempt}}};
    return {};
  }
  if (!Reply.m_Granted) {
    if (!Found->second.m_Expiry)
      m_Permits.erase(Found); // After a refused renewal the permit stays valid until it expires.
    return {};
  }
  const TimePoint Expiry = SentAt + Reply.m_Ttl;
  if (!Found->second.m_Expiry && Now >= Expiry) {
    m_Permits.erase(Found); // The reply took longer than the validity of the permit.
    return {ReleasePermit{PermitRequest{Upstream, m_Self, Reply.m_Attempt}}};
  }
  if (!Found->second.m_Expiry || *Found->second.m_Expiry < Expiry)
    Found->second.m_Expiry = Expiry;
  return {};
}

PermitActions PermitHolder::tick(TimePoint Now) {
  PermitActions Actions;
  for (auto Entry = m_Permits.begin(); Entry != m_Permits.end();) {
    HeldPermit &Permit = Entry->second;
    if (Permit.m_Expiry && Now >= *Permit.m_Expiry) {
      Actions.emplace_back(CancelStream{Permit.m_Upstream, Entry->first});
      Entry = m_Permits.erase(Entry);
      continue;
    }
    if (Permit.m_Expiry && Now - Permit.m_LastSentAt >= m_Settings.m_RenewInterval) {
      Permit.m_LastSentAt = Now;
      Actions.emplace_back(RenewPermit{PermitRequest{Permit.m_Upstream, m_Self, Entry->first}});
    }
    ++Entry;
  }
  return Actions;
}

bool PermitHolder::mayStart(TimePoint Now, const AttemptId &Attempt) const {
  const auto Found = m_Permits.find(Attempt);
  return Found != m_Permits.end() && Found->second.m_Expiry &&
         Now + m_Settings.m_StartMargin < *Found->second.m_Expiry;
}

PermitActions PermitHolder::release(TimePoint, const AttemptId &Attempt, bool ColdSignSeen) {
  const auto Found = m_Permits.find(Attempt);
  if (Found == m_Permits.end())
    return {};
  const PermitRequest Request{Found->second.m_Upstream, m_Self, Attempt};
  m_Permits.erase(Found);
  return {ReleasePermit{Request, true, ColdSignSeen}};
}

PermitActions PermitHolder::releaseAll(TimePoint Now) {
  PermitActions Actions;
  while (!m_Permits.empty()) {
    const AttemptId Attempt = m_Permits.begin()->first;
    for (const PermitAction &Action : release(Now, Attempt))
      Actions.push_back(Action);
  }
  return Actions;
}

} // namespace bulrushpitch
