#ifndef BULRUSHPITCH_FORWARD_CONFIG_DELTA_H
#define BULRUSHPITCH_FORWARD_CONFIG_DELTA_H

/// @file
/// @brief The difference between two configurations, which is sent in place of the whole one.

#include "bulrushpitch/forward/objects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief What turns one configuration into another one.
struct ConfigDelta {
  ConfigRevision m_Base;                    ///< Revision that it applies to; 0: the empty configuration.
  ConfigRevision m_Revision;                ///< Revision that results.
  std::vector<ForwardRoute> m_Routes;       ///< Added and changed ones.
  std::vector<std::string> m_RemovedRoutes; ///< By name.
  std::vector<ForwardTeam> m_Teams;         ///< Added and changed ones.
  std::vector<TeamId> m_RemovedTeams;
  std::vector<ForwardService> m_Services; ///< All of the result.
  CallerLimits m_Limits;                  ///< Of the result.
  std::uint64_t m_ContentHash = 0;        ///< contentHash() of the result.
};

/// @return a hash of everything but the order of routes, teams and services
/// @complexity linear in the size of the configuration
std::uint64_t contentHash(const ForwardConfig &Config);

/// @brief Computes the difference between two configurations.
///
/// Routes are matched by name and teams by id. If these are not unique, the difference is the whole target,
/// which applies to the empty configuration.
/// @complexity O(n log n) in the number of routes and teams
ConfigDelta differenceOf(const ForwardConfig &Base, const ForwardConfig &Target);

/// @brief Applies a difference.
/// @return nothing if it does not apply to this configuration, or the result is not the one intended
std::optional<ForwardConfig> applyDelta(const ForwardConfig &Base, const ConfigDelta &Delta);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_CONFIG_DELTA_H
