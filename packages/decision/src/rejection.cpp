#include "rejection.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

/// @return whether there are upstreams and all of them are in failure domains that are out of service
bool allDomainsOut(const std::vector<ObjectIndex> &Indices, const UpstreamTable &Upstreams, TimePoint Now) {
  return !Indices.empty() && std::all_of(Indices.begin(), Indices.end(), [&](ObjectIndex Index) {
    return Upstreams.exclusion(Index, Now) == Exclusion::DomainOut;
  });
}

/// @return the error for a request whose version has no upstream that is available
Error rejectWithoutUpstream(const CompiledVersion &Version, const UpstreamTable &Upstreams,
                            const RouteRequest &Request, TimePoint Now) {
  if (allDomainsOut(Version.m_ServingUpstreams, Upstreams, Now))
    return rejectRequest(ErrorCode::DomainOut, Request,
                         "all failure domains that serve version " + Version.m_Id.value() +
                             " are out of service");
  return rejectRequest(
      ErrorCode::NoUpstream, Request,
      Version.m_ServingUpstreams.empty()
          ? "no upstream serves version " + Version.m_Id.value()
          : "no upstream of version " + Version.m_Id.value() +
                " is available: each is out of service, draining, leaving or unreachable, or has "
                "failed or denied a permit for this request");
}

} // namespace

Error rejectRequest(ErrorCode Code, const RouteRequest &Request, std::string Detail) {
  return {Code, "route request " + Request.m_Request.value() + " of team " + Request.m_Team.value(), "",
          Ran::No, std::move(Detail)};
}

Error rejectForUpstreams(RejectionReason Reason, const CompiledVersion &Version,
                         const UpstreamTable &Upstreams, const RouteRequest &Request, TimePoint Now) {
  const std::string &Name = Version.m_Id.value();
  switch (Reason) {
  case RejectionReason::Deadline:
    return rejectRequest(ErrorCode::DeadlineUnreachable, Request,
                         "no upstream of version " + Name + " can complete the request before the deadline");
  case RejectionReason::AtLimit:
    return rejectRequest(ErrorCode::Overloaded, Request,
                         "no upstream of version " + Name + " has spare capacity");
  case RejectionReason::LinkBudgetSpent:
    return rejectRequest(
        ErrorCode::LinkBudgetSpent, Request,
        "version " + Name +
            " is available only in another region, and the budget of the inter-region link is spent");
  case RejectionReason::Excluded:
  case RejectionReason::NoUpstream:
  case RejectionReason::None:
    break;
  }
  return rejectWithoutUpstream(Version, Upstreams, Request, Now);
}

Error rejectServiceCall(ErrorCode Code, const ServiceRequest &Request, std::string Detail) {
  return {Code, "route call of service " + Request.m_Service.value(), "", Ran::No, std::move(Detail)};
}

Error rejectForServiceUpstreams(bool AnyAvailable, const CompiledService &Service,
                                const UpstreamTable &Upstreams, const ServiceRequest &Request,
                                TimePoint Now) {
  if (AnyAvailable)
    return Now >= Request.m_Deadline
               ? rejectServiceCall(ErrorCode::DeadlineUnreachable, Request, "the deadline has passed")
               : rejectServiceCall(ErrorCode::Overloaded, Request,
                                   "no upstream of the service has spare capacity and can "
                                   "complete the call before the deadline");
  if (allDomainsOut(Service.m_ServingUpstreams, Upstreams, Now))
    return rejectServiceCall(ErrorCode::DomainOut, Request,
                             "all failure domains that run the service are out of service");
  return rejectServiceCall(
      ErrorCode::NoUpstream, Request,
      "no upstream of the service is available: each is out of service, draining, leaving or "
      "unreachable, or has failed or denied a permit for this call");
}

} // namespace bulrushpitch
