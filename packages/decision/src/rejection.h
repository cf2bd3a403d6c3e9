#ifndef BULRUSHPITCH_DECISION_REJECTION_H
#define BULRUSHPITCH_DECISION_REJECTION_H

#include "compiled_configuration.h"

#include "bulrushpitch/core/error.h"
#include "bulrushpitch/decision/route.h"
#include "bulrushpitch/decision/router.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Why no upstream of a version can accept a request. If there are several reasons, the highest value
/// is reported.
enum class RejectionReason : std::uint8_t {
  None,
  NoUpstream, ///< No upstream serves the version.
  Excluded,   ///< Excluded for all requests, see Exclusion, or for this one.
  LinkBudgetSpent,
  Deadline,
  AtLimit
};

/// @return the error for a model request that is not routed
Error rejectRequest(ErrorCode Code, const RouteRequest &Request, std::string Detail);

/// @return the error for a model request that no upstream of the version can accept
Error rejectForUpstreams(RejectionReason Reason, const CompiledVersion &Version,
                         const UpstreamTable &Upstreams, const RouteRequest &Request, TimePoint Now);

/// @return the error for a call of a plain service that is not routed
Error rejectServiceCall(ErrorCode Code, const ServiceRequest &Request, std::string Detail);

/// @return the error for a call that no upstream of the service can accept
/// @param AnyAvailable whether an upstream was available but had no capacity left or was too slow
Error rejectForServiceUpstreams(bool AnyAvailable, const CompiledService &Service,
                                const UpstreamTable &Upstreams, const ServiceRequest &Request, TimePoint Now);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_REJECTION_H
