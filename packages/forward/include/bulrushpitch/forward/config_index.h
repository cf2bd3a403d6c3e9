#ifndef BULRUSHPITCH_FORWARD_CONFIG_INDEX_H
#define BULRUSHPITCH_FORWARD_CONFIG_INDEX_H

#include "bulrushpitch/forward/objects.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @return the ids separated by commas, for logs; empty if all regions are allowed
std::string joinRegions(const std::vector<RegionId> &Regions);

/// @brief Index of the routes, teams and services of one configuration. Immutable.
///
/// @code
/// const ConfigIndex Index(Config);
/// const ForwardRoute *Route = Index.route("shop.example", "/orders/17");
/// @endcode
class ConfigIndex {
public:
  explicit ConfigIndex(ForwardConfig Config);
  ConfigIndex(const ConfigIndex &) = delete;
  ConfigIndex &operator=(const ConfigIndex &) = delete;

  /// @brief Finds the host's route with the longest matching path prefix.
  /// @param Host case-insensitive; a port is ignored
  /// @return null if no route matches
  /// @complexity one hash lookup per path segment
  const ForwardRoute *route(std::string_view Host, std::string_view Path) const;
  /// @return the team that owns the API key; null if there is none
  const ForwardTeam *teamOfKey(std::string_view Key) const;
  /// @return null if the configuration has no such service
  const ForwardService *service(const ServiceId &Id) const;
  /// @return whether requests to routes that are not public need an API key
  bool requiresApiKeys() const { return !m_Config.m_Teams.empty(); }
  const ForwardConfig &config() const { return m_Config; }

private:
  ForwardConfig m_Config;
  std::unordered_map<std::string, const ForwardRoute *>
      m_Routes; ///< By lower-case host followed by the path prefix.
  std::unordered_map<std::string, const ForwardTeam *> m_TeamsByKey;
  std::unordered_map<ServiceId, const ForwardService *> m_Services;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_CONFIG_INDEX_H
