#ifndef BULRUSHPITCH_FORWARD_OBJECTS_H
#define BULRUSHPITCH_FORWARD_OBJECTS_H

/// @file
/// @brief What operators and upstreams say of transparent forwarding: routes, teams, services, upstreams.

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

/// @brief What may be repeated of a request.
enum class RequestKind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream         ///< A stream of events; may be repeated only if the route is resumable.
};

/// @brief One service of a route and its share of the requests.
struct ServiceShare {
  ServiceId m_Service;
  double m_Weight = 1.0;
};

/// @brief Where requests of one host and path prefix go.
struct ForwardRoute {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix; ///< Begins and ends with a slash.
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::chrono::milliseconds m_Timeout{30'000};
  std::chrono::milliseconds m_TargetLatency{1'000}; ///< To the first event, for streams.
  std::chrono::milliseconds m_TargetGap{0};         ///< Longest pause between events; 0 if there is none.
  int m_Priority = 5;                               ///< 0 is the most urgent.
  std::uint32_t m_MaxAttempts = 1;                  ///< Upstreams that one request may be sent to.
  bool m_Public = false;                            ///< Needs no key.
  bool m_Resumable = false;
  std::vector<ServiceShare> m_Services;
  std::vector<ModelId> m_Models;   ///< Smallest first; empty if the caller names the model.
  std::vector<RegionId> m_Regions; ///< Where it may be served; empty: anywhere.
};

/// @brief Who may send requests.
struct ForwardTeam {
  TeamId m_Id;
  std::vector<std::string> m_Keys;
  std::optional<int> m_Priority; ///< Goes before the route's.
  std::vector<RegionId> m_Regions;
};

/// @brief A group of like upstreams.
struct ForwardService {
  ServiceId m_Id;
  double m_ColdPerSecond = 0.0;           ///< Requests per second that a cold upstream bears; 0: no limit.
  std::map<ModelId, double> m_ModelCosts; ///< Per 1,000 tokens.
};

/// @brief Limits on what callers send.
struct CallerLimits {
  std::size_t m_MaxHeaderBytes = 16 * 1024;
  std::size_t m_MaxBodyBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{5'000};
  std::chrono::milliseconds m_IdleTimeout{60'000};
};

/// @brief One version of the operators' configuration, whole.
struct ForwardConfig {
  ConfigRevision m_Revision;
  std::vector<ForwardRoute> m_Routes;
  std::vector<ForwardTeam> m_Teams; ///< Empty: no keys are asked for.
  std::vector<ForwardService> m_Services;
  CallerLimits m_Limits;
};

/// @brief What the registry says of one upstream.
struct RegisteredUpstream {
  UpstreamId m_Id;
  ServiceId m_Service;
  DomainId m_Domain;
  Endpoint m_Address;
  VersionId m_Version; ///< Of its software.
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  Duration m_ColdFor{};         ///< How long it stays cold from the entry's writing on.
  std::int64_t m_StartedAt = 0; ///< Tells starts under one id apart; 0 if it is not stated.
};

/// @brief State of a service's roll-out.
enum class TrialState : std::uint8_t { Running, Completed, RolledBack };

/// @brief An operator's order to move a service to a new version.
struct TrialOrder {
  ServiceId m_Service;
  VersionId m_To;
  Duration m_TimeLimit{};
  std::uint64_t m_OrderVersion = 0; ///< Version of the order's row; tells orders to one version apart.
};

/// @brief What the daemons have decided of a roll-out.
struct TrialStatus {
  ServiceId m_Service;
  VersionId m_To;
  TrialState m_State = TrialState::Running;
  std::uint64_t m_RowVersion = 0; ///< Condition of the next write; 0: there is no row.
};

/// @brief What one daemon has seen of a new version on one route, or on all of them together.
struct RouteEvidence {
  std::string m_Route;         ///< Empty: all routes together.
  double m_Evidence = 0.0;     ///< Log likelihood ratio of "bad" against "good".
  std::uint64_t m_Answers = 0; ///< Answers of the new version that could be judged.
  std::uint64_t m_Bad = 0;     ///< Of these, those that failed or came late.
};

/// @brief What one daemon has seen of the new version of a roll-out.
struct TrialEvidence {
  ServiceId m_Service;
  VersionId m_To;
  std::uint64_t m_OrderVersion = 0; ///< Of the order that it belongs to.
  InstanceId m_Daemon;
  std::vector<RouteEvidence> m_Routes;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_OBJECTS_H
