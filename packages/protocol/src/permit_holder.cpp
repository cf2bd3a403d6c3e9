#include "bulrushpitch/protocol/permits.h"

namespace bulrushpitch {

PermitHolder::PermitHolder(InstanceId Self, PermitSettings Settings)
    : m_Self(std::move(Self)), m_Settings(Settings) {}

PermitActions PermitHolder::acquire(TimePoint Now, const UpstreamId &Upstream, const AttemptId &Attempt) {
  m_Held[Attempt] = Held{Upstream, Now, std::nullopt};
  return {AcquirePermit{PermitRequest{Upstream, m_Self, Attempt}}};
}

PermitActions PermitHolder::answered(TimePoint Now, const UpstreamId &Upstream, const PermitReply &Reply,
                                     TimePoint SentAt) {
  const auto Found = m_Held.find(Reply.m_Attempt);
  if (Found == m_Held.end()) {
    if (Reply.m_Granted)
      return {ReleasePermit{PermitRequest{Upstream, m_Self, Reply.m_Attempt}}};
    return {};
  }
  if (!Reply.m_Granted) {
    if (!Found->second.m_Expiry)
      m_Held.erase(
          Found); // The request was refused. A refused renewal leaves the permit valid until it expires.
    return {};
  }
  const TimePoint Expiry = SentAt + Reply.m_Ttl;
  if (!Found->second.m_Expiry && Now >= Expiry) {
    m_Held.erase(Found); // The answer took longer than the permit lasts.
    return {ReleasePermit{PermitRequest{Upstream, m_Self, Reply.m_Attempt}}};
  }
  if (!Found->second.m_Expiry || *Found->second.m_Expiry < Expiry)
    Found->second.m_Expiry = Expiry;
  return {};
}

PermitActions PermitHolder::tick(TimePoint Now) {
  PermitActions Actions;
  for (auto Entry = m_Held.begin(); Entry != m_Held.end();) {
    Held &Of = Entry->second;
    if (Of.m_Expiry && Now >= *Of.m_Expiry) {
      Actions.emplace_back(CancelStream{Of.m_Upstream, Entry->first});
      Entry = m_Held.erase(Entry);
      continue;
    }
    if (Of.m_Expiry && Now - Of.m_LastSent >= m_Settings.m_Renew) {
      Of.m_LastSent = Now;
      Actions.emplace_back(RenewPermit{PermitRequest{Of.m_Upstream, m_Self, Entry->first}});
    }
    ++Entry;
  }
  return Actions;
}

bool PermitHolder::mayStart(TimePoint Now, const AttemptId &Attempt) const {
  const auto Found = m_Held.find(Attempt);
  return Found != m_Held.end() && Found->second.m_Expiry &&
         Now + m_Settings.m_StartMargin < *Found->second.m_Expiry;
}

PermitActions PermitHolder::release(TimePoint, const AttemptId &Attempt, bool Cold) {
  const auto Found = m_Held.find(Attempt);
  if (Found == m_Held.end())
    return {};
  const PermitRequest Request{Found->second.m_Upstream, m_Self, Attempt};
  m_Held.erase(Found);
  return {ReleasePermit{Request, true, Cold}};
}

PermitActions PermitHolder::releaseAll(TimePoint Now) {
  PermitActions Actions;
  while (!m_Held.empty()) {
    const AttemptId Attempt = m_Held.begin()->first;
    for (const PermitAction &Action : release(Now, Attempt))
      Actions.push_back(Action);
  }
  return Actions;
}

} // namespace bulrushpitch
