#include "bulrushpitch/forward/config_delta.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>

namespace bulrushpitch {

namespace {

/// Hash of a sequence of values, in their order.
class SequenceHash {
public:
  void add(std::uint64_t Value) { m_Hash = mixHash(m_Hash, Value); }
  void add(std::int64_t Value) { add(static_cast<std::uint64_t>(Value)); }
  void add(double Value) { add(std::bit_cast<std::uint64_t>(Value)); }
  void add(const std::string &Text) { add(stableHash(Text)); }
  void add(std::chrono::milliseconds Value) { add(static_cast<std::int64_t>(Value.count())); }
  template <typename Tag> void add(const Strong<Tag, std::string> &Id) { add(Id.value()); }
  template <typename Id> void add(const std::vector<Id> &Ids) {
    add(static_cast<std::uint64_t>(Ids.size()));
    for (const Id &Element : Ids)
      add(Element);
  }
  std::uint64_t value() const { return m_Hash; }

private:
  std::uint64_t m_Hash = 0;
};

std::uint64_t hashOf(const ForwardRoute &Route) {
  SequenceHash Hash;
  Hash.add(Route.m_Name);
  Hash.add(Route.m_Host);
  Hash.add(Route.m_Prefix);
  Hash.add(static_cast<std::uint64_t>(Route.m_Kind));
  Hash.add(Route.m_Timeout);
  Hash.add(Route.m_TargetLatency);
  Hash.add(Route.m_TargetGap);
  Hash.add(static_cast<std::int64_t>(Route.m_Priority));
  Hash.add(static_cast<std::uint64_t>(Route.m_MaxAttempts));
  Hash.add(static_cast<std::uint64_t>(Route.m_Public));
  Hash.add(static_cast<std::uint64_t>(Route.m_Resumable));
  for (const ServiceShare &Share : Route.m_Services) {
    Hash.add(Share.m_Service);
    Hash.add(Share.m_Weight);
  }
  Hash.add(Route.m_Models);
  Hash.add(Route.m_Regions);
  return Hash.value();
}

std::uint64_t hashOf(const ForwardTeam &Team) {
  SequenceHash Hash;
  Hash.add(Team.m_Id);
  Hash.add(Team.m_Keys);
  Hash.add(static_cast<std::uint64_t>(Team.m_Priority.has_value()));
  Hash.add(static_cast<std::int64_t>(Team.m_Priority.value_or(0)));
  Hash.add(Team.m_Regions);
  return Hash.value();
}

std::uint64_t hashOf(const ForwardService &Service) {
  SequenceHash Hash;
  Hash.add(Service.m_Id);
  Hash.add(Service.m_ColdRequestsPerSecond);
  for (const std::pair<const ModelId, double> &Cost : Service.m_ModelCosts) {
    Hash.add(Cost.first);
    Hash.add(Cost.second);
  }
  return Hash.value();
}

/// Does not depend on the order of the elements.
template <typename Element> std::uint64_t hashOfSet(const std::vector<Element> &Elements) {
  std::uint64_t Sum = Elements.size();
  for (const Element &Each : Elements)
    Sum += mixHash(hashOf(Each), 1);
  return Sum;
}

const std::string &keyOf(const ForwardRoute &Route) { return Route.m_Name; }
const TeamId &keyOf(const ForwardTeam &Team) { return Team.m_Id; }

template <typename Key, typename Element>
std::map<Key, const Element *> indexByKey(const std::vector<Element> &Elements) {
  std::map<Key, const Element *> Index;
  for (const Element &Each : Elements)
    Index.emplace(keyOf(Each), &Each);
  return Index;
}

template <typename Key, typename Element>
void diff(const std::vector<Element> &Base, const std::vector<Element> &Target, std::vector<Element> &Changed,
          std::vector<Key> &Removed) {
  const std::map<Key, const Element *> InBase = indexByKey<Key>(Base);
  const std::map<Key, const Element *> InTarget = indexByKey<Key>(Target);
  for (const Element &Each : Target) {
    const auto Before = InBase.find(keyOf(Each));
    if (Before == InBase.end() || !(*Before->second == Each))
      Changed.push_back(Each);
  }
  for (const Element &Each : Base)
    if (InTarget.count(keyOf(Each)) == 0)
      Removed.push_back(keyOf(Each));
}

template <typename Key, typename Element>
std::vector<Element> patched(const std::vector<Element> &Base, const std::vector<Element> &Changed,
                             const std::vector<Key> &Removed) {
  std::map<Key, const Element *> Remaining = indexByKey<Key>(Changed);
  const std::set<Key> Gone(Removed.begin(), Removed.end());
  std::vector<Element> Result;
  Result.reserve(Base.size() + Changed.size());
  for (const Element &Each : Base) {
    if (Gone.count(keyOf(Each)) > 0)
      continue;
    const auto Replacement = Remaining.find(keyOf(Each));
    Result.push_back(Replacement == Remaining.end() ? Each : *Replacement->second);
    if (Replacement != Remaining.end())
      Remaining.erase(Replacement);
  }
  for (const Element &Each : Changed)
    if (Remaining.count(keyOf(Each)) > 0)
      Result.push_back(Each);
  return Result;
}

template <typename Key, typename Element> bool keysAreUnique(const std::vector<Element> &Elements) {
  return indexByKey<Key>(Elements).size() == Elements.size();
}

bool keysAreUnique(const ForwardConfig &Config) {
  return keysAreUnique<std::string>(Config.m_Routes) && keysAreUnique<TeamId>(Config.m_Teams);
}

} // namespace

std::uint64_t contentHash(const ForwardConfig &Config) {
  SequenceHash Hash;
  Hash.add(Config.m_Revision.value());
  Hash.add(hashOfSet(Config.m_Routes));
  Hash.add(hashOfSet(Config.m_Teams));
  Hash.add(hashOfSet(Config.m_Services));
  Hash.add(static_cast<std::uint64_t>(Config.m_Limits.m_MaxHeaderBytes));
  Hash.add(static_cast<std::uint64_t>(Config.m_Limits.m_MaxBodyBytes));
  Hash.add(Config.m_Limits.m_HeaderTimeout);
  Hash.add(Config.m_Limits.m_IdleTimeout);
  return Hash.value();
}

ConfigDelta differenceOf(const ForwardConfig &Base, const ForwardConfig &Target) {
  ConfigDelta Delta;
  Delta.m_Revision = Target.m_Revision;
  Delta.m_Services = Target.m_Services;
  Delta.m_Limits = Target.m_Limits;
  Delta.m_ContentHash = contentHash(Target);
  if (Base.m_Revision == ConfigRevision() || !keysAreUnique(Base) || !keysAreUnique(Target)) {
    Delta.m_Routes = Target.m_Routes;
    Delta.m_Teams = Target.m_Teams;
    return Delta;
  }
  Delta.m_Base = Base.m_Revision;
  diff(Base.m_Routes, Target.m_Routes, Delta.m_Routes, Delta.m_RemovedRoutes);
  diff(Base.m_Teams, Target.m_Teams, Delta.m_Teams, Delta.m_RemovedTeams);
  return Delta;
}

std::optional<ForwardConfig> applyDelta(const ForwardConfig &Base, const ConfigDelta &Delta) {
  ForwardConfig Result;
  Result.m_Revision = Delta.m_Revision;
  Result.m_Services = Delta.m_Services;
  Result.m_Limits = Delta.m_Limits;
  if (Delta.m_Base == ConfigRevision()) {
    Result.m_Routes = Delta.m_Routes;
    Result.m_Teams = Delta.m_Teams;
  } else if (Delta.m_Base == Base.m_Revision) {
    Result.m_Routes = patched(Base.m_Routes, Delta.m_Routes, Delta.m_RemovedRoutes);
    Result.m_Teams = patched(Base.m_Teams, Delta.m_Teams, Delta.m_RemovedTeams);
  } else {
    return std::nullopt;
  }
  if (contentHash(Result) != Delta.m_ContentHash)
    return std::nullopt;
  return Result;
}

} // namespace bulrushpitch
