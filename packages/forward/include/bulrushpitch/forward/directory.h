#ifndef BULRUSHPITCH_FORWARD_DIRECTORY_H
#define BULRUSHPITCH_FORWARD_DIRECTORY_H

#include "bulrushpitch/forward/objects.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief Finds routes and teams of one configuration. Immutable.
///
/// @code
/// const Directory Known(Config);
/// const ForwardRoute *Route = Known.route("shop.example", "/orders/17");
/// @endcode
class Directory {
public:
  explicit Directory(ForwardConfig Config);
  Directory(const Directory &) = delete;
  Directory &operator=(const Directory &) = delete;

  /// @brief Finds the route with the longest prefix of the path among those of the host.
  /// @param Host without a port, in any case
  /// @return nothing if no route matches
  /// @complexity linear in the length of the path
  const ForwardRoute *route(std::string_view Host, std::string_view Path) const;
  /// @return the team that holds the key; nothing if none does
  const ForwardTeam *teamOfKey(std::string_view Key) const;
  /// @return nothing if the configuration has no such service
  const ForwardService *service(const ServiceId &Id) const;
  /// @return whether requests need a key
  bool asksForKeys() const { return !m_Config.m_Teams.empty(); }
  const ForwardConfig &config() const { return m_Config; }

private:
  ForwardConfig m_Config;
  std::unordered_map<std::string, const ForwardRoute *> m_Routes; ///< By lower-case host and prefix.
  std::unordered_map<std::string, const ForwardTeam *> m_TeamsByKey;
  std::unordered_map<ServiceId, const ForwardService *> m_Services;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_DIRECTORY_H
