#ifndef BULRUSHPITCH_CONFIG_GATEWAY_SETTINGS_H
#define BULRUSHPITCH_CONFIG_GATEWAY_SETTINGS_H

#include "bulrushpitch/config/fault.h"
#include "bulrushpitch/config/settings.h"
#include "bulrushpitch/core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief Bounds on what all daemons do together, as the operators agreed on them.
struct GatewayBounds {
  double m_RetryShare = 0.1;    ///< Retries per request of a service.
  double m_RetryReserve = 10.0; ///< Retries beyond that, in any window.
  double m_RetryWindow = 10.0;  ///< Seconds.
  double m_ColdFactor = 1.0;    ///< Of a cold upstream's stated rate.
  double m_ColdSlack = 0.0;     ///< Requests beyond that, in any second.
  /// Share of a service's requests that may reach a bad version between a roll-out's order and its time
  /// limit.
  double m_TrialExposure = 0.12;
  bool operator==(const GatewayBounds &) const = default;
};

/// @brief Where a gateway listens.
struct GatewayListen {
  SocketAddress m_Callers;
  SocketAddress m_Readiness; ///< Where the balancer asks whether this daemon is ready.
  std::optional<SocketAddress> m_Metrics;
  std::optional<SocketAddress> m_Peers; ///< Where other daemons reach this one; none: it relays nothing.
  bool operator==(const GatewayListen &) const = default;
};

/// @brief Settings of a daemon whose configuration, registry and duties lie in the platform's store.
struct GatewaySettings {
  std::string m_Profile;
  InstanceId m_Instance;
  DomainId m_Domain;
  RegionId m_Region;
  std::map<DomainId, RegionId> m_Domains; ///< The region of each failure domain.
  GatewayListen m_Listen;
  SocketAddress m_Store;
  double m_LinkMbps = 1000.0; ///< Bandwidth of this machine's own link, Mbit/s.
  double m_MemoryMb = 256.0;  ///< Memory of this machine, MiB; a quarter of it may hold request bodies.
  double m_GracePeriod = 8.0; ///< Seconds from SIGTERM until the process is killed.
  GatewayBounds m_Bounds;
  bool operator==(const GatewaySettings &) const = default;
};

/// @brief Settings, and every fault that was found while they were read.
struct GatewaySettingsOutcome {
  GatewaySettings m_Settings; ///< Only of use if there are no faults.
  std::vector<Fault> m_Faults;
};

/// @brief Says which kind of daemon a settings file describes.
/// @return whether its key "profile" is "gateway"
bool isGatewayProfile(std::string_view Text);

/// @brief Reads and checks settings.
/// @param Text one YAML document
/// @param File the name that faults carry
///
/// @code
/// GatewaySettingsOutcome Read = checkGatewaySettings(Text, "gateway.yaml");
/// @endcode
GatewaySettingsOutcome checkGatewaySettings(std::string_view Text, const std::string &File);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_GATEWAY_SETTINGS_H
