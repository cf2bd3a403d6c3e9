#include "bulrushpitch/config/settings.h"

#include "detail/codec.h"
#include "detail/yaml_tree.h"

#include <set>

namespace bulrushpitch {

namespace detail {

template <> struct Describe<TokenKey> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("id", &NameRule), Object.m_Id);
    Visit(requiredField("secret", &SecretRule), Object.m_Secret);
  }
};

template <> struct Describe<ListenSettings> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("callers"), Object.m_Callers);
    Visit(requiredField("admin"), Object.m_Admin);
    Visit(requiredField("peers"), Object.m_Peers);
  }
};

template <> struct Describe<PlatformSettings> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("region", &NameRule), Object.m_Region);
    Visit(requiredField("table"), Object.m_Table);
    Visit(requiredField("object_store"), Object.m_ObjectStore);
    Visit(requiredField("instance_list"), Object.m_InstanceList);
    Visit(requiredField("rating"), Object.m_Rating);
    Visit(requiredField("weight_store"), Object.m_WeightStore);
  }
};

template <> struct Describe<HttpSettings> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(between(optionalField("max_header_bytes"), 1024, 1024 * 1024), Object.m_MaxHeaderBytes);
    Visit(between(optionalField("max_body_bytes"), 1024, 1024 * 1024 * 1024), Object.m_MaxBodyBytes);
    Visit(between(optionalField("idle_timeout"), 100, 86'400'000), Object.m_IdleTimeout);
    Visit(between(optionalField("read_timeout"), 100, 86'400'000), Object.m_ReadTimeout);
    Visit(between(optionalField("write_timeout"), 100, 86'400'000), Object.m_WriteTimeout);
    Visit(between(optionalField("max_connections"), 1, 1'000'000), Object.m_MaxConnections);
  }
};

template <> struct Describe<Settings> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance", &NameRule), Object.m_Instance);
    Visit(requiredField("failure_domain", &NameRule), Object.m_Domain);
    Visit(requiredField("region", &NameRule), Object.m_Region);
    Visit(requiredField("listen"), Object.m_Listen);
    Visit(requiredField("platform"), Object.m_Platform);
    Visit(requiredField("token_keys"), Object.m_TokenKeys);
    Visit(between(optionalField("drain_deadline"), 0, 86'400'000), Object.m_DrainDeadline);
    Visit(between(optionalField("balancer_delay"), 0, 3'600'000), Object.m_BalancerDelay);
    Visit(between(optionalField("configuration_max_age"), 0), Object.m_ConfigurationMaxAge);
    // Upstreams must leave within 3 s, which a load report every second makes possible.
    Visit(between(optionalField("load_poll_interval"), 50, 2'000), Object.m_LoadPollInterval);
    Visit(optionalField("http"), Object.m_Http);
    Visit(between(optionalField("timeline_capacity"), 16, 1'000'000), Object.m_TimelineCapacity);
    Visit(optionalField("log_directory"), Object.m_LogDirectory);
  }
};

namespace {

std::string bytesFromHex(const std::string &Hex) {
  std::string Bytes;
  for (std::size_t At = 0; At + 1 < Hex.size(); At += 2)
    Bytes += static_cast<char>(std::stoi(Hex.substr(At, 2), nullptr, 16));
  return Bytes;
}

void checkListen(const ListenSettings &Listen, FaultSink &Sink) {
  const FaultSink::Scope Scope(Sink, "listen");
  const std::vector<std::pair<std::string, const SocketAddress *>> All{
      {"callers", &Listen.m_Callers}, {"admin", &Listen.m_Admin}, {"peers", &Listen.m_Peers}};
  std::map<SocketAddress, std::string> Seen;
  for (const std::pair<std::string, const SocketAddress *> &Entry : All) {
    const FaultSink::Scope Field(Sink, Entry.first);
    if (Entry.second->m_Port == 0)
      continue;
    const auto Placed = Seen.emplace(*Entry.second, Entry.first);
    if (!Placed.second)
      Sink.add(ErrorCode::BadFieldValue, "is the same address as " + Placed.first->second);
  }
}

void checkTokenKeys(const std::vector<TokenKey> &Keys, FaultSink &Sink) {
  const FaultSink::Scope Scope(Sink, "token_keys");
  if (Keys.empty())
    Sink.add(ErrorCode::BadFieldValue, "must have at least one key, which signs");
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < Keys.size(); ++Index) {
    const FaultSink::Scope Element(Sink, std::to_string(Index));
    const FaultSink::Scope Field(Sink, "id");
    if (!Keys[Index].m_Id.empty() && !Seen.insert(Keys[Index].m_Id).second)
      Sink.add(ErrorCode::BadFieldValue, "the key id '" + Keys[Index].m_Id + "' occurs twice");
  }
}

void decodeSettings(const YamlDocument &Document, SettingsOutcome &Out, const std::string &File) {
  FaultSink Sink;
  Codec<Settings>::decode(Document.m_Value, Out.m_Settings, requiredField(""), Sink);
  checkListen(Out.m_Settings.m_Listen, Sink);
  if (Document.m_Value.contains("token_keys"))
    checkTokenKeys(Out.m_Settings.m_TokenKeys, Sink);
  for (Fault &Found : locateFaults(Sink, Document, File))
    Out.m_Faults.push_back(std::move(Found));
}

} // namespace

} // namespace detail

std::string SocketAddress::toString() const {
  const bool IsV6 = m_Address.find(':') != std::string::npos;
  return (IsV6 ? "[" + m_Address + "]" : m_Address) + ":" + std::to_string(m_Port);
}

Result<SocketAddress> parseSocketAddress(std::string_view Text) {
  SocketAddress Address;
  detail::FaultSink Sink;
  detail::decodeAddress(std::string(Text), Address, Sink);
  if (!Sink.faults().empty())
    return fail({ErrorCode::SettingsInvalid, "read address", std::string(Text), Ran::No,
                 Sink.faults().front().m_Message});
  return Address;
}

SettingsOutcome checkSettings(std::string_view Text, const std::string &File) {
  detail::YamlOutcome Read = detail::readYaml(Text, File);
  SettingsOutcome Out;
  Out.m_Faults = std::move(Read.m_Faults);
  if (Read.m_Documents.size() == 1) {
    detail::decodeSettings(Read.m_Documents.front(), Out, File);
  } else if (Out.m_Faults.empty()) {
    Out.m_Faults.push_back(detail::documentCountFault(File, Read.m_Documents.size()));
  }
  if (Out.m_Faults.empty())
    for (TokenKey &Key : Out.m_Settings.m_TokenKeys)
      Key.m_Secret = detail::bytesFromHex(Key.m_Secret);
  return Out;
}

std::string printEffective(const Settings &Value) {
  Settings Shown = Value;
  for (TokenKey &Key : Shown.m_TokenKeys)
    Key.m_Secret = "<" + std::to_string(Key.m_Secret.size()) + " bytes>";
  std::string Text;
  detail::YamlPrinter Printer{Text};
  detail::Describe<Settings>::apply(Printer, std::as_const(Shown));
  return Text;
}

std::vector<FieldInfo> settingsFields() { return detail::listFields<Settings>(); }

} // namespace bulrushpitch
