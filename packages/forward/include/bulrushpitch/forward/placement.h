#ifndef BULRUSHPITCH_FORWARD_PLACEMENT_H
#define BULRUSHPITCH_FORWARD_PLACEMENT_H

#include "bulrushpitch/forward/upstream_pool.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief The versions of a service that a request may run on.
struct VersionRule {
  std::optional<VersionId> m_RequiredVersion; ///< If set, only this version.
  std::optional<VersionId> m_ExcludedVersion; ///< If set, any version but this one.
  /// Share of the allowed upstreams that receive the requests. A version under trial gets few requests.
  /// Sent to few of its upstreams, they load each one as the full traffic will; otherwise, a version that is
  /// bad only under load would not be detected.
  double m_UpstreamShare = 1.0;
  /// @return whether the rule allows the version
  bool allows(const VersionId &Version) const {
    return (!m_RequiredVersion || Version == *m_RequiredVersion) &&
           (!m_ExcludedVersion || Version != *m_ExcludedVersion);
  }
};

/// @brief Constraints and properties of a request for which an upstream is chosen.
struct PlacementQuery {
  ServiceId m_Service;
  VersionRule m_Versions;
  std::vector<RegionId> m_Regions;     ///< Regions where it may run; empty: all.
  std::vector<RegionId> m_TeamRegions; ///< Further restriction by the team; empty: all.
  /// Affinity key; requests with the same one share a prompt prefix.
  std::optional<std::uint64_t> m_Affinity;
  /// Prefill time of the shared prefix, which the affinity key's preferred upstream saves.
  Duration m_SharedPrefillTime{};
  std::vector<UpstreamId> m_Tried; ///< Upstreams that this request was already sent to.
  /// Requests per second that a cold upstream accepts in all; 0: no limit.
  double m_ColdRequestsPerSecond = 0.0;
};

/// @brief Location of this daemon, and the list of daemons.
struct PlacementContext {
  DomainId m_Domain;
  RegionId m_Region;
  InstanceId m_Instance;
  std::vector<InstanceId> m_Daemons; ///< All daemons, this one included.
  /// Number of the current epoch, about the same at all daemons. The shares of limits that are too small for
  /// all daemons pass to others with each epoch.
  std::uint64_t m_ShareEpoch = 0;
  /// Whether this daemon has shares of the limits that all daemons have in common; see JoinProgress.
  bool m_HasLimitShares = true;
};

/// @brief Ranks the daemons by a hash with a key; all daemons compute the same order without communication.
/// @param Key id of what is divided among the daemons, for example an upstream or a service
/// @return this daemon's rank, from 0
/// @complexity linear in the number of daemons
std::uint32_t daemonRank(std::string_view Key, const PlacementContext &Context);

/// @brief Reason why no upstream is available for a request.
enum class PlacementRejection : std::uint8_t {
  NoUpstream, ///< No registered upstream is allowed for the request.
  AllCold,    ///< The allowed upstreams that were not tried are cold and at their rate limits.
  AllLimited, ///< Those that are not, have named limits or asked for pauses.
  AllTried    ///< The request was already sent to all allowed upstreams.
};

/// @return a text for logs and metrics, for example "all upstreams are cold"
std::string_view nameOf(PlacementRejection Value);

/// @brief The result of a placement.
struct Placement {
  PooledUpstream *m_Upstream = nullptr;                            ///< Null if no upstream is available.
  PlacementRejection m_Rejection = PlacementRejection::NoUpstream; ///< Only meaningful if m_Upstream is null.
  std::string_view m_Method;                                       ///< How it was chosen, for logs.
  /// When an upstream that is at its limit or paused takes a request of this daemon; nothing if not known.
  std::optional<TimePoint> m_RetryAt;
};

/// @brief Finds the best upstream for a request.
///
/// With affinity, rendezvous hashing assigns each affinity key a preferred upstream, which caches the shared
/// prefix of its prompts. It is chosen unless this daemon's requests have so much more prefill time pending
/// there than at another upstream that prefilling the shared prefix again at the other one is faster. This
/// suits long prompts and affinity keys that are requested far more often than others. Without affinity, the
/// upstream with the shortest expected wait is chosen: network distance and queue length, estimated from this
/// daemon's own requests, as all daemons carry similar shares of the traffic. This suits short calls to few
/// upstreams. Another region is chosen only if it is clearly faster, or if the own region has no capacity.
/// @complexity linear in the number of the service's upstreams
Placement findUpstream(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Context,
                       TimePoint Now);

/// @brief Like findUpstream(); counts the request against the limits of the upstream, if it has any.
Placement chooseUpstream(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Context,
                         TimePoint Now);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_PLACEMENT_H
