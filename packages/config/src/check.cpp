#include "bulrushpitch/config/documents.h"
#include "detail/describe_objects.h"

#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace bulrushpitch {

namespace detail {

namespace {

/// @brief Checks one configuration and collects faults.
class Checker {
public:
  Checker(const Configuration &Checked, const Configuration *Base) : m_Checked(Checked), m_Base(Base) {}

  std::vector<Fault> run() {
    checkTeams();
    checkModels();
    checkVersions();
    checkCascades();
    checkRollouts();
    checkRolloutCycles();
    checkUpstreams();
    checkServices();
    reportDeleted();
    return std::move(m_Faults);
  }

private:
  /// The object whose fields are being checked.
  void begin(const char *Kind, const std::string &Name) {
    m_Kind = Kind;
    m_Name = Name;
  }

  void add(ErrorCode Code, std::string Field, std::string Message, std::string Hint = {}) {
    Fault Found;
    Found.m_Code = Code;
    Found.m_Kind = m_Kind;
    Found.m_Name = m_Name;
    Found.m_Field = std::move(Field);
    Found.m_Message = std::move(Message);
    Found.m_Hint = std::move(Hint);
    m_Faults.push_back(std::move(Found));
  }

  /// Finds the object that a field refers to; reports a reference to nothing.
  template <typename Key, typename T>
  const T *refer(const char *Kind, std::map<Key, T> Configuration::*Member, const Key &Target,
                 const std::string &Field) {
    const auto Found = (m_Checked.*Member).find(Target);
    if (Found != (m_Checked.*Member).end())
      return &Found->second;
    if (m_Base && (m_Base->*Member).contains(Target)) {
      m_Deleted[{Kind, Target.value()}].push_back({m_Kind, m_Name, Field});
      return nullptr;
    }
    std::vector<std::string> Known;
    for (const std::pair<const Key, T> &Entry : m_Checked.*Member)
      Known.push_back(Entry.first.value());
    add(ErrorCode::UnknownReference, Field, std::string("there is no ") + Kind + " '" + Target.value() + "'",
        nearestName(Target.value(), Known));
    return nullptr;
  }

  const Version *referVersion(const VersionId &Target, const std::string &Field) {
    return refer("version", &Configuration::m_Versions, Target, Field);
  }

  static std::string at(const char *Field, std::size_t Index, const char *Inner = "") {
    return std::string(Field) + "." + std::to_string(Index) + Inner;
  }

  template <typename T> void checkDistinct(const char *Field, const std::vector<T> &Values) {
    std::set<T> Seen;
    for (std::size_t Index = 0; Index < Values.size(); ++Index)
      if (!Seen.insert(Values[Index]).second)
        add(ErrorCode::BadFieldValue, at(Field, Index), "occurs twice in the list");
  }

  void checkTeams() {
    std::map<std::string, std::string> HashOwners;
    for (const std::pair<const TeamId, Team> &Entry : m_Checked.m_Teams) {
      const Team &Object = Entry.second;
      begin("team", Entry.first.value());
      for (std::size_t Index = 0; Index < Object.m_KeyHashes.size(); ++Index) {
        const auto Placed = HashOwners.emplace(Object.m_KeyHashes[Index], m_Name);
        if (!Placed.second)
          add(ErrorCode::BadFieldValue, at("keyHashes", Index),
              "is already a key of team '" + Placed.first->second + "'");
      }
      checkTeamLists(Object);
    }
  }

  void checkTeamLists(const Team &Object) {
    checkDistinct("models", Object.m_Models);
    checkDistinct("versions", Object.m_Versions);
    checkDistinct("services", Object.m_Services);
    for (std::size_t Index = 0; Index < Object.m_Models.size(); ++Index)
      refer("model", &Configuration::m_Models, Object.m_Models[Index], at("models", Index));
    const std::set<ModelId> Allowed(Object.m_Models.begin(), Object.m_Models.end());
    for (std::size_t Index = 0; Index < Object.m_Versions.size(); ++Index) {
      const Version *Found = referVersion(Object.m_Versions[Index], at("versions", Index));
      if (Found && !Allowed.contains(Found->m_Model))
        add(ErrorCode::BadFieldValue, at("versions", Index),
            "is of model '" + Found->m_Model.value() + "', which the team may not use");
    }
    for (std::size_t Index = 0; Index < Object.m_Services.size(); ++Index)
      refer("service", &Configuration::m_Services, Object.m_Services[Index], at("services", Index));
  }

  void checkModels() {
    for (const std::pair<const ModelId, Model> &Entry : m_Checked.m_Models) {
      begin("model", Entry.first.value());
      if (!Entry.second.m_Cascade)
        continue;
      const Cascade *Found = refer("cascade", &Configuration::m_Cascades, *Entry.second.m_Cascade, "cascade");
      if (!Found || Found->m_Steps.empty())
        continue;
      const auto First = m_Checked.m_Versions.find(Found->m_Steps.front().m_Version);
      if (First != m_Checked.m_Versions.end() && First->second.m_Model != Entry.first)
        add(ErrorCode::BadFieldValue, "cascade",
            "has versions of model '" + First->second.m_Model.value() + "'");
    }
  }

  void checkVersions() {
    for (const std::pair<const VersionId, Version> &Entry : m_Checked.m_Versions) {
      begin("version", Entry.first.value());
      refer("model", &Configuration::m_Models, Entry.second.m_Model, "model");
    }
  }

  void checkCascades() {
    for (const std::pair<const CascadeId, Cascade> &Entry : m_Checked.m_Cascades) {
      begin("cascade", Entry.first.value());
      if (Entry.second.m_Steps.empty())
        add(ErrorCode::BadFieldValue, "steps", "must have at least one step");
      checkSteps(Entry.second.m_Steps);
    }
  }

  void checkSteps(const std::vector<CascadeStep> &Steps) {
    std::optional<ModelId> Common;
    std::set<VersionId> Seen;
    for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
      const std::string Field = at("steps", Index, ".version");
      if (!Seen.insert(Steps[Index].m_Version).second)
        add(ErrorCode::BadFieldValue, Field,
            "version '" + Steps[Index].m_Version.value() + "' is already an earlier step");
      const Version *Found = referVersion(Steps[Index].m_Version, Field);
      if (!Found)
        continue;
      if (Common && *Common != Found->m_Model)
        add(ErrorCode::BadFieldValue, Field,
            "is of model '" + Found->m_Model.value() + "', but the cascade began with model '" +
                Common->value() + "'");
      else
        Common = Found->m_Model;
    }
  }

  void checkRollouts() {
    for (const std::pair<const RolloutId, Rollout> &Entry : m_Checked.m_Rollouts) {
      const Rollout &Object = Entry.second;
      begin("rollout", Entry.first.value());
      refer("model", &Configuration::m_Models, Object.m_Model, "model");
      checkRolloutVersion(Object, Object.m_From, "from");
      checkRolloutVersion(Object, Object.m_To, "to");
      if (Object.m_From == Object.m_To)
        add(ErrorCode::BadFieldValue, "to", "is the version that the rollout starts from");
    }
  }

  void checkRolloutVersion(const Rollout &Object, const VersionId &Target, const char *Field) {
    const Version *Found = referVersion(Target, Field);
    if (Found && Found->m_Model != Object.m_Model)
      add(ErrorCode::BadFieldValue, Field,
          "is of model '" + Found->m_Model.value() + "', not of '" + Object.m_Model.value() + "'");
  }

  static bool isOpen(const Rollout &Object) {
    return Object.m_State == RolloutState::Running || Object.m_State == RolloutState::Paused;
  }

  /// Rollouts that lead back to a version would move its sessions for ever; the shares that leave one version
  /// cannot be more than all of them.
  void checkRolloutCycles() {
    std::multimap<VersionId, VersionId> Next;
    std::map<VersionId, double> Leaving;
    for (const std::pair<const RolloutId, Rollout> &Entry : m_Checked.m_Rollouts) {
      const Rollout &Object = Entry.second;
      if (!isOpen(Object))
        continue;
      begin("rollout", Entry.first.value());
      if (Object.m_From != Object.m_To && reaches(Next, Object.m_To, Object.m_From))
        add(ErrorCode::BadFieldValue, "to", "the rollouts form a cycle through this version");
      Next.emplace(Object.m_From, Object.m_To);
      // Sums of decimal shares such as 0.1 are off by a few units in the last place.
      if ((Leaving[Object.m_From] += Object.m_Share) > 1.0 + 1e-9)
        add(ErrorCode::BadFieldValue, "share",
            "the shares of all open rollouts from '" + Object.m_From.value() + "' exceed 1");
    }
  }

  static bool reaches(const std::multimap<VersionId, VersionId> &Next, const VersionId &Start,
                      const VersionId &Goal) {
    std::vector<VersionId> Open{Start};
    std::set<VersionId> Seen{Start};
    while (!Open.empty()) {
      const VersionId Current = Open.back();
      Open.pop_back();
      if (Current == Goal)
        return true;
      const auto Range = Next.equal_range(Current);
      for (auto Entry = Range.first; Entry != Range.second; ++Entry)
        if (Seen.insert(Entry->second).second)
          Open.push_back(Entry->second);
    }
    return false;
  }

  void checkUpstreams() {
    std::map<std::pair<std::string, std::uint16_t>, std::string> Addresses;
    for (const std::pair<const UpstreamId, Upstream> &Entry : m_Checked.m_Upstreams) {
      const Upstream &Object = Entry.second;
      begin("upstream", Entry.first.value());
      refer("failure-domain", &Configuration::m_Domains, Object.m_Domain, "domain");
      const auto Placed = Addresses.emplace(std::make_pair(Object.m_Address, Object.m_Port), m_Name);
      if (!Placed.second && Object.m_Port != 0)
        add(ErrorCode::BadFieldValue, "address",
            "address and port are already those of upstream '" + Placed.first->second + "'");
      if (Object.m_ColdLimit > Object.m_Capacity)
        add(ErrorCode::BadFieldValue, "coldLimit", "must not exceed capacity");
      checkDistinct("versions", Object.m_Versions);
      for (std::size_t Index = 0; Index < Object.m_Versions.size(); ++Index)
        referVersion(Object.m_Versions[Index], at("versions", Index));
      if (Object.m_Service)
        refer("service", &Configuration::m_Services, *Object.m_Service, "service");
      checkRole(Object);
    }
  }

  void checkRole(const Upstream &Object) {
    if (Object.m_Kind == UpstreamKind::Engine && Object.m_Service)
      add(ErrorCode::BadFieldValue, "service", "an engine has no service; set role to service");
    if (Object.m_Kind == UpstreamKind::Service && !Object.m_Versions.empty())
      add(ErrorCode::BadFieldValue, "versions", "a service process has no versions; set role to engine");
    if (Object.m_Kind == UpstreamKind::Service && !Object.m_Service)
      add(ErrorCode::MissingField, "service", "is missing; a service process needs it");
  }

  void checkServices() {
    for (const std::pair<const ServiceId, PlainService> &Entry : m_Checked.m_Services) {
      begin("service", Entry.first.value());
      if (Entry.second.m_Routes.empty())
        add(ErrorCode::BadFieldValue, "routes", "must have at least one route");
      std::set<std::string> Seen;
      for (std::size_t Index = 0; Index < Entry.second.m_Routes.size(); ++Index)
        if (!Seen.insert(Entry.second.m_Routes[Index].m_Name).second)
          add(ErrorCode::BadFieldValue, at("routes", Index, ".name"), "another route has this name");
    }
  }

  /// One fault for each deleted object, which names everything that still refers to it.
  void reportDeleted() {
    for (const auto &Entry : m_Deleted) {
      std::string Referrers;
      for (const std::tuple<std::string, std::string, std::string> &Use : Entry.second)
        Referrers += (Referrers.empty() ? "" : ", ") + std::get<0>(Use) + " " + std::get<1>(Use) + " (" +
                     std::get<2>(Use) + ")";
      begin(Entry.first.first.c_str(), Entry.first.second);
      add(ErrorCode::StillReferenced, "", "is deleted, but is still referred to by " + Referrers);
    }
  }

  const Configuration &m_Checked;
  const Configuration *m_Base;
  std::string m_Kind;
  std::string m_Name;
  std::vector<Fault> m_Faults;
  std::map<std::pair<std::string, std::string>,
           std::vector<std::tuple<std::string, std::string, std::string>>>
      m_Deleted; ///< Referrers (kind, name, field) by kind and name of the deleted object.
};

} // namespace

} // namespace detail

std::vector<Fault> checkConfiguration(const Configuration &Checked, const Configuration *Base) {
  return detail::Checker(Checked, Base).run();
}

} // namespace bulrushpitch
