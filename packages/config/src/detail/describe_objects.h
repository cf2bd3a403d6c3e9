#ifndef BULRUSHPITCH_CONFIG_DETAIL_DESCRIBE_OBJECTS_H
#define BULRUSHPITCH_CONFIG_DETAIL_DESCRIBE_OBJECTS_H

/// @file
/// @brief Field tables of the configuration's objects.

#include "bulrushpitch/config/objects.h"
#include "detail/codec.h"

namespace bulrushpitch::detail {

template <> struct EnumNames<VersionState> {
  static constexpr std::array<std::pair<VersionState, const char *>, 2> Values{
      {{VersionState::Active, "active"}, {VersionState::Withdrawn, "withdrawn"}}};
};
template <> struct EnumNames<RolloutState> {
  static constexpr std::array<std::pair<RolloutState, const char *>, 4> Values{
      {{RolloutState::Running, "running"},
       {RolloutState::Paused, "paused"},
       {RolloutState::Aborted, "aborted"},
       {RolloutState::Complete, "complete"}}};
};
template <> struct EnumNames<DomainState> {
  static constexpr std::array<std::pair<DomainState, const char *>, 2> Values{
      {{DomainState::In, "in"}, {DomainState::Out, "out"}}};
};
template <> struct EnumNames<UpstreamKind> {
  static constexpr std::array<std::pair<UpstreamKind, const char *>, 2> Values{
      {{UpstreamKind::Engine, "engine"}, {UpstreamKind::Service, "service"}}};
};

template <> struct Describe<Team> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(optionalField("keyHashes", &KeyHashRule), Object.m_KeyHashes);
    Visit(optionalField("models"), Object.m_Models);
    Visit(optionalField("versions"), Object.m_Versions);
    Visit(optionalField("services"), Object.m_Services);
    Visit(between(optionalField("weight"), 0.001, 1000), Object.m_Weight);
    Visit(between(optionalField("qualityTarget"), 0, 1), Object.m_QualityTarget);
    Visit(between(optionalField("taskValues", &NameRule), 0, 1000), Object.m_TaskValue);
  }
};

template <> struct Describe<Model> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(optionalField("cascade"), Object.m_Cascade);
  }
};

// The upper limit of prices, 10 dollars a token or call, catches a wrong unit.
inline constexpr double MaxPrice = 1e9;

template <> struct Describe<Version> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(requiredField("model"), Object.m_Model);
    Visit(optionalField("state"), Object.m_State);
    Visit(between(requiredField("promptPrice"), 0, MaxPrice), Object.m_PromptPrice);
    Visit(between(requiredField("completionPrice"), 0, MaxPrice), Object.m_CompletionPrice);
    Visit(between(optionalField("priorQuality"), 0, 1), Object.m_PriorQuality);
  }
};

template <> struct Describe<CascadeStep> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("version"), Object.m_Version);
    Visit(between(optionalField("acceptAt"), 0, 1), Object.m_AcceptAt);
  }
};

template <> struct Describe<Cascade> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(requiredField("steps"), Object.m_Steps);
  }
};

template <> struct Describe<Rollout> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(requiredField("model"), Object.m_Model);
    Visit(requiredField("from"), Object.m_From);
    Visit(requiredField("to"), Object.m_To);
    Visit(between(requiredField("share"), 0, 1), Object.m_Share);
    Visit(optionalField("state"), Object.m_State);
    Visit(between(optionalField("maxDrop"), 0.001, 1), Object.m_MaxDrop);
    Visit(between(optionalField("alpha"), 0.0001, 0.5), Object.m_Alpha);
    Visit(between(optionalField("beta"), 0.0001, 0.5), Object.m_Beta);
  }
};

template <> struct Describe<FailureDomain> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(requiredField("region", &NameRule), Object.m_Region);
    Visit(optionalField("state"), Object.m_State);
  }
};

template <> struct Describe<Upstream> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(requiredField("domain"), Object.m_Domain);
    Visit(requiredField("address", &IpRule), Object.m_Address);
    Visit(between(requiredField("port"), 1, 65535), Object.m_Port);
    Visit(optionalField("role"), Object.m_Kind);
    Visit(optionalField("versions"), Object.m_Versions);
    Visit(optionalField("service"), Object.m_Service);
    Visit(between(optionalField("capacity"), 1, 100'000), Object.m_Capacity);
    Visit(between(optionalField("coldLimit"), 1, 100'000), Object.m_ColdLimit);
    Visit(between(optionalField("warmUp"), 0, 86'400'000), Object.m_WarmUp);
    Visit(optionalField("checksFencing"), Object.m_ChecksFencing);
    Visit(optionalField("draining"), Object.m_Draining);
  }
};

template <> struct Describe<ServiceRoute> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Name);
    Visit(optionalField("method", &MethodRule), Object.m_Method);
    Visit(requiredField("path", &PathRule), Object.m_Path);
    Visit(requiredField("idempotent"), Object.m_Idempotent);
    Visit(between(optionalField("timeout"), 1, 3'600'000), Object.m_Timeout);
    Visit(between(optionalField("price"), 0, MaxPrice), Object.m_Price);
  }
};

template <> struct Describe<PlainService> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("name", &NameRule), Object.m_Id);
    Visit(requiredField("routes"), Object.m_Routes);
  }
};

template <> struct Describe<Limits> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(between(optionalField("linkBytesPerSecond"), 1), Object.m_LinkBytesPerSecond);
    Visit(between(optionalField("drainDeadline"), 0, 86'400'000), Object.m_DrainDeadline);
    Visit(between(optionalField("retryShare"), 0, 1), Object.m_RetryShare);
    Visit(between(optionalField("explorationShare"), 0, 1), Object.m_ExplorationShare);
    Visit(between(optionalField("ratingSample"), 0, 1), Object.m_RatingSample);
  }
};

/// The kind of the one object that has no map, and the only name that it may have.
inline constexpr const char *LimitsKind = "limits";
inline constexpr const char *LimitsName = "system";

/// @brief Calls @p Visit(kind, member pointer of the map) for each kind but the limits.
template <typename Visitor> void forEachKind(Visitor &&Visit) {
  Visit("team", &Configuration::m_Teams);
  Visit("model", &Configuration::m_Models);
  Visit("version", &Configuration::m_Versions);
  Visit("cascade", &Configuration::m_Cascades);
  Visit("rollout", &Configuration::m_Rollouts);
  Visit("failure-domain", &Configuration::m_Domains);
  Visit("upstream", &Configuration::m_Upstreams);
  Visit("service", &Configuration::m_Services);
}

/// @brief Names the key and the value of a member pointer to a map of objects.
template <typename Member> struct MapOf;
template <typename Key, typename T> struct MapOf<std::map<Key, T> Configuration::*> {
  using KeyType = Key;
  using Object = T;
};

Json snapshotToJson(const Configuration &Value);
void snapshotFromJson(const Json &In, Configuration &Out, FaultSink &Sink);

template <> struct Codec<Configuration> {
  static Json encode(const Configuration &Value) { return snapshotToJson(Value); }
  static void decode(const Json &In, Configuration &Out, const FieldSpec &, FaultSink &Sink) {
    snapshotFromJson(In, Out, Sink);
  }
  static std::string typeName(const FieldSpec &) { return "snapshot"; }
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CONFIG_DETAIL_DESCRIBE_OBJECTS_H
