#ifndef BULRUSHPITCH_DECISION_COMPILED_CONFIGURATION_H
#define BULRUSHPITCH_DECISION_COMPILED_CONFIGURATION_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/decision/quality.h"
#include "bulrushpitch/decision/upstreams.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// Position of a compiled object in the list of its kind, or of an upstream in the UpstreamTable.
using ObjectIndex = std::uint32_t;

/// @brief A version, with the upstreams that serve it.
struct CompiledVersion {
  VersionId m_Id;
  ObjectIndex m_Model = 0;
  bool m_Withdrawn = false;
  double m_PromptPrice = 0.0;     ///< Microcents per token.
  double m_CompletionPrice = 0.0; ///< Microcents per token.
  double m_PriorQuality = 0.0;
  std::int32_t m_QualityIndex = -1;            ///< Index of the version in the quality estimates.
  std::vector<ObjectIndex> m_ServingUpstreams; ///< All upstreams that serve the version.
  std::vector<bool> m_ServedBy;                ///< Indexed by upstream: whether it serves the version.
  std::vector<ObjectIndex> m_LocalUpstreams;   ///< Those in this region that are not excluded.
  std::vector<ObjectIndex> m_RemoteUpstreams;  ///< Those in other regions that are not excluded.
};

/// @brief A step of a model's cascade.
struct CompiledStep {
  ObjectIndex m_Version = 0;
  double m_AcceptAt = 0.0; ///< Minimum rating at which the answer is kept.
};

/// @brief A rollout of a model.
struct CompiledRollout {
  RolloutId m_Id;
  ObjectIndex m_From = 0;
  ObjectIndex m_To = 0;
  RolloutState m_State = RolloutState::Running;
};

/// @brief A model, with its versions, cascade and rollouts.
struct CompiledModel {
  ModelId m_Id;
  std::vector<ObjectIndex> m_Versions;
  std::vector<CompiledStep> m_Cascade;
  std::vector<CompiledRollout> m_Rollouts;
};

/// @brief What a team may use.
struct CompiledTeam {
  double m_QualityTarget = 0.0;
  std::vector<bool> m_Models;   ///< Indexed by model: whether the team may use it.
  std::vector<bool> m_Versions; ///< Indexed by version: whether the team may use it.
  std::vector<bool> m_Services; ///< Indexed by service: whether the team may use it.
};

/// @brief A plain service, with the upstreams that run it.
struct CompiledService {
  ServiceId m_Id;
  std::vector<ObjectIndex> m_ServingUpstreams;
};

/// @brief A configuration as routing decisions use it: objects refer to each other by index.
class CompiledConfiguration {
public:
  /// @brief The upstream table must outlive this object.
  /// @param Region region of this daemon
  CompiledConfiguration(const UpstreamTable &Upstreams, RegionId Region);

  /// @brief Replaces the configuration. The upstream table and the quality estimates must have it already.
  void compile(const Configuration &Config, const QualityEstimator &Quality, TimePoint Now);
  /// @brief Refreshes the lists of available upstreams if they may have changed or are too old.
  void refreshUpstreamLists(TimePoint Now);

  /// @return the team, or null if it is unknown
  const CompiledTeam *findTeam(const TeamId &Id) const;
  std::optional<ObjectIndex> modelIndex(const ModelId &Id) const;
  std::optional<ObjectIndex> versionIndex(const VersionId &Id) const;
  std::optional<ObjectIndex> serviceIndex(const ServiceId &Id) const;
  const CompiledModel &model(ObjectIndex Index) const { return m_Models[Index]; }
  const CompiledVersion &version(ObjectIndex Index) const { return m_Versions[Index]; }
  const CompiledService &service(ObjectIndex Index) const { return m_Services[Index]; }
  /// @return whether the upstream is in this region; false for an upstream that was added since compile()
  bool isLocal(ObjectIndex Upstream) const { return Upstream < m_IsLocal.size() && m_IsLocal[Upstream]; }

private:
  void compileModels(const Configuration &Config);
  void compileVersions(const Configuration &Config, const QualityEstimator &Quality);
  void compileCascades(const Configuration &Config);
  void compileRollouts(const Configuration &Config);
  void compileServices(const Configuration &Config);
  void compileUpstreams(const Configuration &Config);
  void compileTeams(const Configuration &Config);
  CompiledTeam compileTeam(const Team &ConfigTeam) const;
  /// Rebuilds the lists of available upstreams.
  void rebuildUpstreamLists(TimePoint Now);

  const UpstreamTable &m_Upstreams;
  RegionId m_Region;
  std::unordered_map<TeamId, CompiledTeam> m_Teams;
  std::unordered_map<ModelId, ObjectIndex> m_ModelIndices;
  std::unordered_map<VersionId, ObjectIndex> m_VersionIndices;
  std::unordered_map<ServiceId, ObjectIndex> m_ServiceIndices;
  std::vector<CompiledModel> m_Models;
  std::vector<CompiledVersion> m_Versions;
  std::vector<CompiledService> m_Services;
  std::vector<bool> m_IsLocal; ///< Indexed by upstream: whether it is in this region.
  std::uint64_t m_UpstreamListsGeneration = 0;
  TimePoint m_UpstreamListsRefreshedAt{};
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_COMPILED_CONFIGURATION_H
