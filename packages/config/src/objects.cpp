#include "bulrushpitch/config/objects.h"

#include <algorithm>

namespace bulrushpitch {

const char *nameOf(RestrictionKind Value) {
  switch (Value) {
  case RestrictionKind::TakeOutDomain:
    return "take-out";
  case RestrictionKind::WithdrawVersion:
    return "withdraw";
  case RestrictionKind::DrainUpstream:
    return "drain";
  case RestrictionKind::StopRollout:
    break;
  }
  return "stop-rollout";
}

namespace {

void applyOne(Configuration &Target, const Restriction &Applied) {
  switch (Applied.m_Kind) {
  case RestrictionKind::TakeOutDomain:
    if (const auto Found = Target.m_Domains.find(DomainId(Applied.m_Target)); Found != Target.m_Domains.end())
      Found->second.m_State = DomainState::Out;
    break;
  case RestrictionKind::WithdrawVersion:
    if (const auto Found = Target.m_Versions.find(VersionId(Applied.m_Target));
        Found != Target.m_Versions.end())
      Found->second.m_State = VersionState::Withdrawn;
    break;
  case RestrictionKind::DrainUpstream:
    if (const auto Found = Target.m_Upstreams.find(UpstreamId(Applied.m_Target));
        Found != Target.m_Upstreams.end())
      Found->second.m_Draining = true;
    break;
  case RestrictionKind::StopRollout:
    if (const auto Found = Target.m_Rollouts.find(RolloutId(Applied.m_Target));
        Found != Target.m_Rollouts.end())
      Found->second.m_State = RolloutState::Aborted;
    break;
  }
}

} // namespace

Configuration applyRestrictions(const Configuration &Base, const std::vector<Restriction> &Restrictions) {
  Configuration Effective = Base;
  for (const Restriction &Candidate : Restrictions)
    if (std::find(Base.m_Lifted.begin(), Base.m_Lifted.end(), Candidate.m_Id) == Base.m_Lifted.end())
      applyOne(Effective, Candidate);
  return Effective;
}

} // namespace bulrushpitch
