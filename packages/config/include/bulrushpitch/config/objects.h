#ifndef BULRUSHPITCH_CONFIG_OBJECTS_H
#define BULRUSHPITCH_CONFIG_OBJECTS_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief Whose requests are served, and what they may use.
struct Team {
  TeamId m_Id;
  std::vector<std::string> m_KeyHashes; ///< Lower-case hexadecimal SHA-256 of each API key.
  std::vector<ModelId> m_Models;
  std::vector<VersionId> m_Versions; ///< If empty, every version of the allowed models.
  std::vector<ServiceId> m_Services;
  double m_Weight = 1.0;                  ///< Share of capacity under overload.
  double m_QualityTarget = 0.0;           ///< Used when a request names none; 0 to 1.
  std::map<TaskName, double> m_TaskValue; ///< Relative value of a task's requests; 1 if absent.
  bool operator==(const Team &) const = default;
};

/// @brief What callers name in a request: a model with one or more versions behind it.
struct Model {
  ModelId m_Id;
  std::optional<CascadeId> m_Cascade;
  bool operator==(const Model &) const = default;
};

enum class VersionState : std::uint8_t { Active, Withdrawn };

/// @brief One version of a model.
struct Version {
  VersionId m_Id;
  ModelId m_Model;
  VersionState m_State = VersionState::Active;
  MicroCents m_PromptPrice;     ///< Per prompt token.
  MicroCents m_CompletionPrice; ///< Per generated token.
  double m_PriorQuality = 0.7;  ///< Estimate before any rating, 0 to 1.
  bool operator==(const Version &) const = default;
};

/// @brief One step of a cascade.
struct CascadeStep {
  VersionId m_Version;
  double m_AcceptAt = 0.0; ///< The answer is kept if its rating reaches this; the last step is always kept.
  bool operator==(const CascadeStep &) const = default;
};

/// @brief Versions to try in order, the cheapest first.
struct Cascade {
  CascadeId m_Id;
  std::vector<CascadeStep> m_Steps;
  bool operator==(const Cascade &) const = default;
};

enum class RolloutState : std::uint8_t { Running, Paused, Aborted, Complete };

/// @brief Moves new sessions of a model from one version to another.
struct Rollout {
  RolloutId m_Id;
  ModelId m_Model;
  VersionId m_From;
  VersionId m_To;
  double m_Share = 0.0; ///< Share of new sessions that start on m_To, 0 to 1.
  RolloutState m_State = RolloutState::Running;
  double m_MaxDrop = 0.05; ///< Loss of quality at which the rollout must stop.
  double m_Alpha = 0.05;   ///< Chance of stopping a rollout of a good version.
  double m_Beta = 0.05;    ///< Chance of completing a rollout of a bad version.
  bool operator==(const Rollout &) const = default;
};

enum class DomainState : std::uint8_t { In, Out };

/// @brief A failure domain and the region it lies in.
struct FailureDomain {
  DomainId m_Id;
  RegionId m_Region;
  DomainState m_State = DomainState::In;
  bool operator==(const FailureDomain &) const = default;
};

enum class UpstreamKind : std::uint8_t { Engine, Service };

/// @brief One back end: a model engine or a process of a plain service.
struct Upstream {
  UpstreamId m_Id;
  DomainId m_Domain;
  std::string m_Address; ///< IP number.
  std::uint16_t m_Port = 0;
  UpstreamKind m_Kind = UpstreamKind::Engine;
  std::vector<VersionId> m_Versions;  ///< Of an engine.
  std::optional<ServiceId> m_Service; ///< Of a service process.
  std::uint32_t m_Capacity = 32;      ///< Requests at once when warm.
  std::uint32_t m_ColdLimit = 1;      ///< Requests at once just after its start.
  std::chrono::milliseconds m_WarmUp{30'000};
  bool m_ChecksFencing = false; ///< Refuses orders with an old fencing number.
  bool m_Draining = false;
  bool operator==(const Upstream &) const = default;
};

/// @brief One route of a plain service.
struct ServiceRoute {
  std::string m_Name; ///< The last part of /services/<service>/<route>.
  std::string m_Method = "POST";
  std::string m_Path; ///< At the upstream.
  bool m_Idempotent = false;
  std::chrono::milliseconds m_Timeout{2'000};
  MicroCents m_Price; ///< Per call.
  bool operator==(const ServiceRoute &) const = default;
};

/// @brief A plain service beside the models.
struct PlainService {
  ServiceId m_Id;
  std::vector<ServiceRoute> m_Routes;
  bool operator==(const PlainService &) const = default;
};

/// @brief Limits that hold for the whole system.
struct Limits {
  std::uint64_t m_LinkBytesPerSecond = 3'750'000; ///< Of the link between regions, each way.
  std::chrono::milliseconds m_DrainDeadline{30'000};
  double m_RetryShare = 0.1;        ///< Retries per request, over time.
  double m_ExplorationShare = 0.02; ///< Requests sent to a version only to learn its quality.
  double m_RatingSample = 0.1;      ///< Answers sent to the rating service.
  bool operator==(const Limits &) const = default;
};

/// @brief A whole, checked set of objects.
struct Configuration {
  ConfigRevision m_Revision;
  std::map<TeamId, Team> m_Teams;
  std::map<ModelId, Model> m_Models;
  std::map<VersionId, Version> m_Versions;
  std::map<CascadeId, Cascade> m_Cascades;
  std::map<RolloutId, Rollout> m_Rollouts;
  std::map<DomainId, FailureDomain> m_Domains;
  std::map<UpstreamId, Upstream> m_Upstreams;
  std::map<ServiceId, PlainService> m_Services;
  Limits m_Limits;
  std::vector<RestrictionId> m_Lifted; ///< Restrictions that this revision ends.
  bool operator==(const Configuration &) const = default;
};

enum class RestrictionKind : std::uint8_t { TakeOutDomain, WithdrawVersion, DrainUpstream, StopRollout };

/// @brief An operator's removal of permission, which holds at once and without the store.
struct Restriction {
  RestrictionId m_Id;
  RestrictionKind m_Kind = RestrictionKind::TakeOutDomain;
  std::string m_Target; ///< The name of the domain, version, upstream or rollout.
  std::string m_Operator;
  ConfigRevision m_Revision; ///< In force when the restriction was made.
  bool operator==(const Restriction &) const = default;
};

/// @param Value a kind of restriction
/// @return "take-out", "withdraw", "drain" or "stop-rollout"
const char *nameOf(RestrictionKind Value);

/// @brief Applies restrictions to a configuration, but for those that it lists as lifted.
/// @return the configuration with domains out, versions withdrawn, upstreams draining and rollouts aborted
/// @complexity linear in the size of the configuration
Configuration applyRestrictions(const Configuration &Base, const std::vector<Restriction> &Restrictions);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_OBJECTS_H
