#include "bulrushpitch/config/gateway_settings.h"

#include "detail/codec.h"
#include "detail/yaml_tree.h"

namespace bulrushpitch {

namespace detail {

template <> struct Describe<GatewayBounds> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(between(optionalField("retry_share"), 0, 100), Object.m_RetryShare);
    Visit(between(optionalField("retry_reserve"), 0, 1'000'000), Object.m_RetryReserve);
    Visit(between(optionalField("retry_window_seconds"), 0.1, 3'600), Object.m_RetryWindow);
    Visit(between(optionalField("cold_factor"), 0, 1'000), Object.m_ColdFactor);
    Visit(between(optionalField("cold_slack"), 0, 1'000'000), Object.m_ColdSlack);
    Visit(between(optionalField("trial_exposure"), 0, 1), Object.m_TrialExposure);
  }
};

template <> struct Describe<GatewayListen> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("callers"), Object.m_Callers);
    Visit(requiredField("readiness"), Object.m_Readiness);
    Visit(optionalField("metrics"), Object.m_Metrics);
    Visit(optionalField("peers"), Object.m_Peers);
  }
};

template <> struct Describe<GatewaySettings> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("profile", &NameRule), Object.m_Profile);
    Visit(requiredField("instance", &NameRule), Object.m_Instance);
    Visit(requiredField("failure_domain", &NameRule), Object.m_Domain);
    Visit(requiredField("region", &NameRule), Object.m_Region);
    Visit(requiredField("domains"), Object.m_Domains);
    Visit(requiredField("listen"), Object.m_Listen);
    Visit(requiredField("store"), Object.m_Store);
    Visit(between(optionalField("link_mbps"), 0.001, 1'000'000), Object.m_LinkMbps);
    Visit(between(optionalField("memory_mb"), 16, 16'000'000), Object.m_MemoryMb);
    Visit(between(optionalField("grace_period_seconds"), 0.1, 86'400), Object.m_GracePeriod);
    Visit(optionalField("bounds"), Object.m_Bounds);
  }
};

} // namespace detail

bool isGatewayProfile(std::string_view Text) {
  const detail::YamlOutcome Read = detail::readYaml(Text, "");
  if (Read.m_Documents.empty() || !Read.m_Documents.front().m_Value.is_object())
    return false;
  return Read.m_Documents.front().m_Value.value("profile", detail::Json()) == "gateway";
}

GatewaySettingsOutcome checkGatewaySettings(std::string_view Text, const std::string &File) {
  detail::YamlOutcome Read = detail::readYaml(Text, File);
  GatewaySettingsOutcome Out;
  Out.m_Faults = std::move(Read.m_Faults);
  if (Read.m_Documents.size() != 1) {
    Out.m_Faults.push_back(detail::documentCountFault(File, Read.m_Documents.size()));
    return Out;
  }
  const detail::YamlDocument &Document = Read.m_Documents.front();
  detail::FaultSink Sink;
  detail::Codec<GatewaySettings>::decode(Document.m_Value, Out.m_Settings, detail::requiredField(""), Sink);
  for (Fault &Found : detail::locateFaults(Sink, Document, File))
    Out.m_Faults.push_back(std::move(Found));
  return Out;
}

} // namespace bulrushpitch
