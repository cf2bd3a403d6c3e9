#ifndef BULRUSHPITCH_FORWARD_PLACEMENT_H
#define BULRUSHPITCH_FORWARD_PLACEMENT_H

#include "bulrushpitch/forward/upstream_pool.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief Which versions of a service a request may run on.
struct VersionRule {
  std::optional<VersionId> m_Only; ///< Only this one.
  std::optional<VersionId> m_Not;  ///< Any but this one.
  /// Part of the upstreams that take the requests. A version under trial gets few requests; on few upstreams
  /// they load each one as the whole will, so that a version that is bad under load shows it.
  double m_UpstreamShare = 1.0;
  /// @return whether the rule allows the version
  bool allows(const VersionId &Version) const {
    return (!m_Only || Version == *m_Only) && (!m_Not || Version != *m_Not);
  }
};

/// @brief A request that needs an upstream.
struct PlacementQuery {
  ServiceId m_Service;
  VersionRule m_Versions;
  std::vector<RegionId> m_Regions;         ///< Where it may run; empty: anywhere.
  std::vector<RegionId> m_TeamRegions;     ///< Also binding; empty: anywhere.
  std::optional<std::uint64_t> m_Affinity; ///< Requests with the same value profit from the same upstream.
  Duration m_SharedWork{}; ///< Time that the upstream of the affinity saves, as it has read the shared part.
  std::vector<UpstreamId> m_Tried; ///< Upstreams that this request was already sent to.
  double m_ColdPerSecond = 0.0;    ///< What a cold upstream bears from all daemons; 0: no limit.
};

/// @brief Where this daemon stands.
struct PlacementContext {
  DomainId m_Domain;
  RegionId m_Region;
  InstanceId m_Instance;
  std::vector<InstanceId> m_Daemons; ///< All daemons, this one included.
};

/// @brief Orders the daemons for one matter, as each of them computes it, without messages.
/// @param Key names the matter, for example an upstream or a service
/// @return this daemon's place, from 0
/// @complexity linear in the number of daemons
std::uint32_t daemonRank(std::string_view Key, const PlacementContext &Here);

/// @brief Why no upstream can take a request.
enum class NoPlace : std::uint8_t {
  NoUpstream, ///< None is registered that may take it.
  AllCold,    ///< Those that may take it are cold and get no more now.
  AllTried    ///< It was already sent to all of them.
};

/// @param Value an obstacle
/// @return for example "all upstreams are cold"
std::string_view nameOf(NoPlace Value);

/// @brief The result of a placement.
struct Placement {
  PooledUpstream *m_Upstream = nullptr; ///< Null if there is no place.
  NoPlace m_Obstacle = NoPlace::NoUpstream;
  std::string_view m_Reason; ///< For the log.
};

/// @brief Chooses an upstream.
///
/// With affinity, each key has an upstream (rendezvous hashing) that has read the shared part of its prompts.
/// It is chosen unless it has so much more to read for this daemon than another one that reading the shared
/// part there again is faster; this answers long prompts, and a key that is asked for far more often than
/// others. Without, the least expected wait decides: network distance and the queue at the upstream,
/// estimated from this daemon's own requests, as all daemons carry like shares. This answers short calls to
/// few upstreams. Another region is chosen only if the own one has no place.
/// @complexity linear in the number of the service's upstreams
Placement place(UpstreamPool &Pool, const PlacementQuery &Query, const PlacementContext &Here, TimePoint Now);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_PLACEMENT_H
