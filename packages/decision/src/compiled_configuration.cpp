#include "compiled_configuration.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

/// Maximum age of the lists of available upstreams. They are refreshed at this interval even if no event
/// requires it, so that upstreams return after their unreachable period has expired.
constexpr Duration UpstreamListRefreshInterval = std::chrono::seconds(1);

/// @return the index of an object; empty if it is unknown
template <typename Id>
std::optional<ObjectIndex> findIndex(const std::unordered_map<Id, ObjectIndex> &Indices, const Id &Wanted) {
  const auto Found = Indices.find(Wanted);
  return Found == Indices.end() ? std::nullopt : std::optional<ObjectIndex>(Found->second);
}

/// Lists the objects of a kind in the order of their ids.
template <typename Id, typename Object, typename Compiled>
void compileIds(const std::map<Id, Object> &Objects, std::unordered_map<Id, ObjectIndex> &Indices,
                std::vector<Compiled> &List) {
  Indices.clear();
  List.clear();
  for (const std::pair<const Id, Object> &Entry : Objects) {
    Indices.emplace(Entry.first, static_cast<ObjectIndex>(List.size()));
    List.emplace_back().m_Id = Entry.first;
  }
}

/// Sets the flags of the named objects that exist.
template <typename Id>
void setFlags(std::vector<bool> &Flags, const std::vector<Id> &Names,
              const std::unordered_map<Id, ObjectIndex> &Indices) {
  for (const Id &Name : Names)
    if (const std::optional<ObjectIndex> Index = findIndex(Indices, Name))
      Flags[*Index] = true;
}

} // namespace

CompiledConfiguration::CompiledConfiguration(const UpstreamTable &Upstreams, RegionId Region)
    : m_Upstreams(Upstreams), m_Region(std::move(Region)) {}

void CompiledConfiguration::compile(const Configuration &Config, const QualityEstimator &Quality,
                                    TimePoint Now) {
  compileModels(Config);
  compileVersions(Config, Quality);
  compileCascades(Config);
  compileRollouts(Config);
  compileServices(Config);
  compileUpstreams(Config);
  compileTeams(Config);
  rebuildUpstreamLists(Now);
}

void CompiledConfiguration::compileModels(const Configuration &Config) {
  compileIds(Config.m_Models, m_ModelIndices, m_Models);
}

void CompiledConfiguration::compileVersions(const Configuration &Config, const QualityEstimator &Quality) {
  m_VersionIndices.clear();
  m_Versions.clear();
  for (const std::pair<const VersionId, Version> &Entry : Config.m_Versions) {
    const Version &ConfigVersion = Entry.second;
    const std::optional<ObjectIndex> Model = modelIndex(ConfigVersion.m_Model);
    if (!Model)
      continue;
    const ObjectIndex Index = static_cast<ObjectIndex>(m_Versions.size());
    CompiledVersion Compiled;
    Compiled.m_Id = Entry.first;
    Compiled.m_Model = *Model;
    Compiled.m_Withdrawn = ConfigVersion.m_State == VersionState::Withdrawn;
    Compiled.m_PromptPrice = static_cast<double>(ConfigVersion.m_PromptPrice.value());
    Compiled.m_CompletionPrice = static_cast<double>(ConfigVersion.m_CompletionPrice.value());
    Compiled.m_PriorQuality = ConfigVersion.m_PriorQuality;
    Compiled.m_QualityIndex = Quality.versionIndex(Entry.first);
    m_VersionIndices.emplace(Entry.first, Index);
    m_Versions.push_back(std::move(Compiled));
    m_Models[*Model].m_Versions.push_back(Index);
  }
}

void CompiledConfiguration::compileCascades(const Configuration &Config) {
  for (const std::pair<const ModelId, Model> &Entry : Config.m_Models) {
    if (!Entry.second.m_Cascade)
      continue;
    const auto Steps = Config.m_Cascades.find(*Entry.second.m_Cascade);
    if (Steps == Config.m_Cascades.end())
      continue;
    for (const CascadeStep &Step : Steps->second.m_Steps)
      if (const std::optional<ObjectIndex> Index = versionIndex(Step.m_Version))
        m_Models[m_ModelIndices.at(Entry.first)].m_Cascade.push_back({*Index, Step.m_AcceptAt});
  }
}

void CompiledConfiguration::compileRollouts(const Configuration &Config) {
  for (const std::pair<const RolloutId, Rollout> &Entry : Config.m_Rollouts) {
    const std::optional<ObjectIndex> Model = modelIndex(Entry.second.m_Model);
    const std::optional<ObjectIndex> From = versionIndex(Entry.second.m_From);
    const std::optional<ObjectIndex> To = versionIndex(Entry.second.m_To);
    if (Model && From && To)
      m_Models[*Model].m_Rollouts.push_back({Entry.first, *From, *To, Entry.second.m_State});
  }
}

void CompiledConfiguration::compileServices(const Configuration &Config) {
  compileIds(Config.m_Services, m_ServiceIndices, m_Services);
}

void CompiledConfiguration::compileUpstreams(const Configuration &Config) {
  for (const std::pair<const UpstreamId, Upstream> &Entry : Config.m_Upstreams) {
    const ObjectIndex UpstreamIndex = m_Upstreams.indexOf(Entry.first);
    for (const VersionId &Served : Entry.second.m_Versions)
      if (const std::optional<ObjectIndex> Index = versionIndex(Served))
        m_Versions[*Index].m_ServingUpstreams.push_back(UpstreamIndex);
    if (!Entry.second.m_Service)
      continue;
    if (const std::optional<ObjectIndex> Index = serviceIndex(*Entry.second.m_Service))
      m_Services[*Index].m_ServingUpstreams.push_back(UpstreamIndex);
  }
  m_IsLocal.assign(m_Upstreams.size(), false);
  for (ObjectIndex UpstreamIndex = 0; UpstreamIndex < m_Upstreams.size(); ++UpstreamIndex)
    m_IsLocal[UpstreamIndex] = m_Upstreams.regionOf(UpstreamIndex) == m_Region;
  for (CompiledVersion &Version : m_Versions) {
    Version.m_ServedBy.assign(m_Upstreams.size(), false);
    for (ObjectIndex UpstreamIndex : Version.m_ServingUpstreams)
      Version.m_ServedBy[UpstreamIndex] = true;
  }
}

void CompiledConfiguration::compileTeams(const Configuration &Config) {
  m_Teams.clear();
  for (const std::pair<const TeamId, Team> &Entry : Config.m_Teams)
    m_Teams[Entry.first] = compileTeam(Entry.second);
}

CompiledTeam CompiledConfiguration::compileTeam(const Team &ConfigTeam) const {
  CompiledTeam Compiled;
  Compiled.m_QualityTarget = ConfigTeam.m_QualityTarget;
  Compiled.m_Models.assign(m_Models.size(), false);
  Compiled.m_Versions.assign(m_Versions.size(), false);
  Compiled.m_Services.assign(m_Services.size(), false);
  setFlags(Compiled.m_Models, ConfigTeam.m_Models, m_ModelIndices);
  setFlags(Compiled.m_Services, ConfigTeam.m_Services, m_ServiceIndices);
  for (ObjectIndex Index = 0; Index < m_Versions.size(); ++Index)
    Compiled.m_Versions[Index] = Compiled.m_Models[m_Versions[Index].m_Model] &&
                                 (ConfigTeam.m_Versions.empty() ||
                                  std::find(ConfigTeam.m_Versions.begin(), ConfigTeam.m_Versions.end(),
                                            m_Versions[Index].m_Id) != ConfigTeam.m_Versions.end());
  return Compiled;
}

void CompiledConfiguration::refreshUpstreamLists(TimePoint Now) {
  if (m_UpstreamListsGeneration != m_Upstreams.generation() ||
      Now - m_UpstreamListsRefreshedAt >= UpstreamListRefreshInterval)
    rebuildUpstreamLists(Now);
}

void CompiledConfiguration::rebuildUpstreamLists(TimePoint Now) {
  m_UpstreamListsGeneration = m_Upstreams.generation();
  m_UpstreamListsRefreshedAt = Now;
  for (CompiledVersion &Version : m_Versions) {
    Version.m_LocalUpstreams.clear();
    Version.m_RemoteUpstreams.clear();
    for (ObjectIndex UpstreamIndex : Version.m_ServingUpstreams)
      if (m_Upstreams.exclusion(UpstreamIndex, Now) == Exclusion::None)
        (m_IsLocal[UpstreamIndex] ? Version.m_LocalUpstreams : Version.m_RemoteUpstreams)
            .push_back(UpstreamIndex);
  }
}

const CompiledTeam *CompiledConfiguration::findTeam(const TeamId &Id) const {
  const auto Found = m_Teams.find(Id);
  return Found == m_Teams.end() ? nullptr : &Found->second;
}

std::optional<ObjectIndex> CompiledConfiguration::modelIndex(const ModelId &Id) const {
  return findIndex(m_ModelIndices, Id);
}

std::optional<ObjectIndex> CompiledConfiguration::versionIndex(const VersionId &Id) const {
  return findIndex(m_VersionIndices, Id);
}

std::optional<ObjectIndex> CompiledConfiguration::serviceIndex(const ServiceId &Id) const {
  return findIndex(m_ServiceIndices, Id);
}

} // namespace bulrushpitch
