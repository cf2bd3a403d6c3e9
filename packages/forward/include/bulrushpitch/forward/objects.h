#ifndef BULRUSHPITCH_FORWARD_OBJECTS_H
#define BULRUSHPITCH_FORWARD_OBJECTS_H

/// @file
/// @brief Objects of transparent forwarding: configuration, registry entries and version trials.

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Whether a request may run more than once.
enum class RequestKind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream         ///< An event stream; may run more than once only if the route is resumable.
};

/// @brief A service of a route, weighted by its share of the requests.
struct ServiceShare {
  ServiceId m_Service;
  double m_Weight = 1.0;
  bool operator==(const ServiceShare &) const = default;
};

/// @brief Routing rule for the requests of one host and path prefix.
struct ForwardRoute {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix; ///< Begins and ends with a slash.
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::chrono::milliseconds m_Timeout{30'000};
  std::chrono::milliseconds m_TargetLatency{1'000}; ///< For streams, to the first event.
  std::chrono::milliseconds m_TargetGap{0};         ///< Maximum gap between events; 0: no target.
  int m_Priority = 5;                               ///< 0 is the most urgent.
  std::uint32_t m_MaxAttempts = 1; ///< Maximum number of upstreams that one request is sent to.
  bool m_Public = false;           ///< No API key is required.
  bool m_Resumable = false;
  std::vector<ServiceShare> m_Services;
  std::vector<ModelId> m_Models;   ///< Smallest first; empty if the caller names the model.
  std::vector<RegionId> m_Regions; ///< Regions that may serve it; empty: all.
  bool operator==(const ForwardRoute &) const = default;
};

/// @brief A group of callers with common API keys.
struct ForwardTeam {
  TeamId m_Id;
  std::vector<std::string> m_Keys;
  std::optional<int> m_Priority;   ///< Overrides the route's priority.
  std::vector<RegionId> m_Regions; ///< Regions that may serve its requests; empty: all.
  bool operator==(const ForwardTeam &) const = default;
};

/// @brief A group of equivalent upstreams.
struct ForwardService {
  ServiceId m_Id;
  double m_ColdRequestsPerSecond = 0.0;   ///< Requests per second that a cold upstream accepts; 0: no limit.
  std::map<ModelId, double> m_ModelCosts; ///< Cost per 1,000 tokens.
  bool operator==(const ForwardService &) const = default;
};

/// @brief Limits on callers' requests and connections.
struct CallerLimits {
  std::size_t m_MaxHeaderBytes = 16 * 1024;
  std::size_t m_MaxBodyBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{5'000};
  std::chrono::milliseconds m_IdleTimeout{60'000};
  bool operator==(const CallerLimits &) const = default;
};

/// @brief One complete revision of the operators' configuration.
struct ForwardConfig {
  ConfigRevision m_Revision;
  std::vector<ForwardRoute> m_Routes;
  std::vector<ForwardTeam> m_Teams; ///< Empty: no API keys are required.
  std::vector<ForwardService> m_Services;
  CallerLimits m_Limits;
  bool operator==(const ForwardConfig &) const = default;
};

/// @brief Registry entry of one upstream.
struct RegisteredUpstream {
  UpstreamId m_Id;
  ServiceId m_Service;
  DomainId m_Domain;
  Endpoint m_Address;
  VersionId m_Version; ///< Software version.
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  Duration m_ColdPeriod{};      ///< Cold period, counted from the writing of the entry.
  std::int64_t m_StartedAt = 0; ///< Distinguishes restarts under the same id; 0 if not stated.
  bool operator==(const RegisteredUpstream &) const = default;
};

/// @brief State of a service's version trial.
enum class TrialState : std::uint8_t { Running, Completed, RolledBack };

/// @brief An operator's order to move a service to a new version.
struct TrialOrder {
  ServiceId m_Service;
  VersionId m_TargetVersion;
  Duration m_TimeLimit{};
  /// Row version of the order; distinguishes orders with the same target version.
  std::uint64_t m_OrderVersion = 0;
  bool operator==(const TrialOrder &) const = default;
};

/// @brief The daemons' common decision on a version trial.
struct TrialStatus {
  ServiceId m_Service;
  VersionId m_TargetVersion;
  TrialState m_State = TrialState::Running;
  std::uint64_t m_RowVersion = 0; ///< Expected row version of the next conditional write; 0: no row.
  /// Row version of the order that it belongs to; 0 if not stated.
  std::uint64_t m_OrderVersion = 0;
  /// When the first daemon read the order, by the store's clock; nothing if not stated.
  std::optional<Duration> m_BegunAt{};
};

/// @brief One daemon's observations of a new version, on one route or on all routes together.
struct RouteEvidence {
  std::string m_Route;     ///< Empty: all routes together.
  double m_Evidence = 0.0; ///< Cumulative log likelihood ratio of "bad" against "good".
  /// Responses of the new version that were bad, or whose latency could be compared with the old version's
  /// baseline.
  std::uint64_t m_Responses = 0;
  std::uint64_t m_Bad = 0; ///< Of these, the failed and slow ones.
};

/// @brief One daemon's observations of the new version in a version trial.
struct TrialEvidence {
  ServiceId m_Service;
  VersionId m_TargetVersion;
  std::uint64_t m_OrderVersion = 0; ///< Row version of the order that the evidence belongs to.
  InstanceId m_Daemon;
  std::vector<RouteEvidence> m_Routes;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_OBJECTS_H
