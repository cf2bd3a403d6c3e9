#include "bulrushpitch/protocol/restriction_set.h"

namespace bulrushpitch {

bool RestrictionSet::add(const Restriction &Added) {
  if (isLifted(Added.m_Id))
    return false;
  return m_Active.emplace(Added.m_Id, Added).second;
}

std::size_t RestrictionSet::merge(const std::vector<Restriction> &Others) {
  std::size_t AddedCount = 0;
  for (const Restriction &Other : Others)
    AddedCount += add(Other) ? 1 : 0;
  return AddedCount;
}

void RestrictionSet::lift(const std::vector<RestrictionId> &Lifted) {
  for (const RestrictionId &Id : Lifted) {
    m_Lifted.insert(Id);
    m_Active.erase(Id);
  }
}

std::vector<Restriction> RestrictionSet::active() const {
  std::vector<Restriction> Result;
  Result.reserve(m_Active.size());
  for (const std::pair<const RestrictionId, Restriction> &Entry : m_Active)
    Result.push_back(Entry.second);
  return Result;
}

std::vector<RestrictionId> RestrictionSet::ids() const {
  std::vector<RestrictionId> Result;
  Result.reserve(m_Active.size());
  for (const std::pair<const RestrictionId, Restriction> &Entry : m_Active)
    Result.push_back(Entry.first);
  return Result;
}

bool RestrictionSet::contains(const RestrictionId &Id) const {
  return m_Active.count(Id) != 0 || isLifted(Id);
}

} // namespace bulrushpitch
