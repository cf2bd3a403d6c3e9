#ifndef BULRUSHPITCH_CONFIG_SETTINGS_H
#define BULRUSHPITCH_CONFIG_SETTINGS_H

#include "bulrushpitch/config/fault.h"
#include "bulrushpitch/core/error.h"
#include "bulrushpitch/core/ids.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief A TCP address by IP number, written as "127.0.0.1:7000" or "[::1]:7000".
struct SocketAddress {
  std::string m_Address;
  std::uint16_t m_Port = 0;

  std::string toString() const;
  friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

/// @brief Reads an address such as "127.0.0.1:7000".
/// @return error 311 if it is not an IP number with a port from 1 to 65535
Result<SocketAddress> parseSocketAddress(std::string_view Text);

/// @brief A key that signs session and resume tokens.
struct TokenKey {
  std::string m_Id;
  std::string m_Secret; ///< Raw bytes, at least 16; written in hexadecimal in the file.
  bool operator==(const TokenKey &) const = default;
};

/// @brief Where the daemon listens.
struct ListenSettings {
  SocketAddress m_Callers; ///< HTTP.
  SocketAddress m_Admin;   ///< Operators, HTTP.
  SocketAddress m_Peers;   ///< Other daemons, RPC.
  bool operator==(const ListenSettings &) const = default;
};

/// @brief Where the platform's services are. Several addresses may be the same.
struct PlatformSettings {
  RegionId m_Region; ///< The region of the store.
  SocketAddress m_Table;
  SocketAddress m_ObjectStore;
  SocketAddress m_InstanceList;
  SocketAddress m_Rating;
  SocketAddress m_WeightStore;
  bool operator==(const PlatformSettings &) const = default;
};

/// @brief Limits of the HTTP listeners.
struct HttpSettings {
  std::uint64_t m_MaxHeaderBytes = 16 * 1024UL;
  std::uint64_t m_MaxBodyBytes = 8 * 1024UL * 1024UL;
  std::chrono::milliseconds m_IdleTimeout{60'000};
  std::chrono::milliseconds m_ReadTimeout{10'000};
  std::chrono::milliseconds m_WriteTimeout{10'000};
  std::uint64_t m_MaxConnections = 20'000;
  bool operator==(const HttpSettings &) const = default;
};

/// @brief What one daemon is told at its start.
struct Settings {
  InstanceId m_Instance;
  DomainId m_Domain;
  RegionId m_Region;
  ListenSettings m_Listen;
  PlatformSettings m_Platform;
  std::vector<TokenKey> m_TokenKeys; ///< The first signs, all verify.
  std::chrono::milliseconds m_DrainDeadline{30'000};
  std::chrono::milliseconds m_BalancerDelay{1'000};
  std::chrono::milliseconds m_ConfigurationMaxAge{0}; ///< 0: no limit.
  std::chrono::milliseconds m_LoadPollInterval{1'000};
  HttpSettings m_Http;
  std::uint32_t m_TimelineCapacity = 4'096; ///< Events kept.
  std::string m_LogDirectory;               ///< Empty: the log goes to standard error.
  bool operator==(const Settings &) const = default;
};

/// @brief Settings, and every fault that was found while they were read.
struct SettingsOutcome {
  Settings m_Settings; ///< Only of use if there are no faults.
  std::vector<Fault> m_Faults;
};

/// @brief Reads and checks settings.
/// @param Text one YAML document
/// @param File the name that faults carry
/// @return the settings and all faults
///
/// @code
/// SettingsOutcome Read = checkSettings(Text, "daemon.yaml");
/// for (const Fault &Found : Read.m_Faults)
///   LOG(ERROR) << Found.toString();
/// @endcode
SettingsOutcome checkSettings(std::string_view Text, const std::string &File);

/// @brief Writes all settings, defaults included, as YAML. Secrets are replaced by their length.
std::string printEffective(const Settings &Value);

/// @return all keys that a settings file may have, in their order
std::vector<FieldInfo> settingsFields();

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_SETTINGS_H
