#include "bulrushpitch/forward/config_index.h"

#include <algorithm>
#include <cctype>

namespace bulrushpitch {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char Letter) { return static_cast<char>(std::tolower(Letter)); });
  return Lower;
}

} // namespace

std::string joinRegions(const std::vector<RegionId> &Regions) {
  std::string Joined;
  for (const RegionId &Region : Regions)
    Joined += (Joined.empty() ? "" : ",") + Region.value();
  return Joined;
}

ConfigIndex::ConfigIndex(ForwardConfig Config) : m_Config(std::move(Config)) {
  for (const ForwardRoute &Route : m_Config.m_Routes)
    m_Routes.emplace(lowerCase(Route.m_Host) + Route.m_Prefix, &Route);
  for (const ForwardTeam &Team : m_Config.m_Teams)
    for (const std::string &Key : Team.m_Keys)
      m_TeamsByKey.emplace(Key, &Team);
  for (const ForwardService &Service : m_Config.m_Services)
    m_Services.emplace(Service.m_Id, &Service);
}

const ForwardRoute *ConfigIndex::route(std::string_view Host, std::string_view Path) const {
  std::string Key = lowerCase(Host.substr(0, Host.find(':')));
  const std::size_t HostSize = Key.size();
  Key += Path;
  while (Key.size() > HostSize) {
    const std::size_t Slash = Key.rfind('/');
    if (Slash == std::string::npos || Slash < HostSize)
      return nullptr;
    Key.resize(Slash + 1);
    const auto Found = m_Routes.find(Key);
    if (Found != m_Routes.end())
      return Found->second;
    Key.resize(Slash);
  }
  return nullptr;
}

const ForwardTeam *ConfigIndex::teamOfKey(std::string_view Key) const {
  const auto Found = m_TeamsByKey.find(std::string(Key));
  return Found == m_TeamsByKey.end() ? nullptr : Found->second;
}

const ForwardService *ConfigIndex::service(const ServiceId &Id) const {
  const auto Found = m_Services.find(Id);
  return Found == m_Services.end() ? nullptr : Found->second;
}

} // namespace bulrushpitch
