#include "bulrushpitch/protocol/restriction_set.h"

namespace bulrushpitch {

bool RestrictionSet::add(const Restriction &Added) {
  if (isLifted(Added.m_Id))
    return false;
  return m_Active.emplace(Added.m_Id, Added).second;
}

std::size_t RestrictionSet::merge(const std::vector<Restriction> &Others) {
  std::size_t New = 0;
  for (const Restriction &Other : Others)
    New += add(Other) ? 1 : 0;
  return New;
}

void RestrictionSet::lift(const std::vector<RestrictionId> &Lifted) {
  for (const RestrictionId &Id : Lifted) {
    m_Lifted.insert(Id);
    m_Active.erase(Id);
  }
}

std::vector<Restriction> RestrictionSet::active() const {
  std::vector<Restriction> Found;
  Found.reserve(m_Active.size());
  for (const std::pair<const RestrictionId, Restriction> &Entry : m_Active)
    Found.push_back(Entry.second);
  return Found;
}

std::vector<RestrictionId> RestrictionSet::ids() const {
  std::vector<RestrictionId> Found;
  Found.reserve(m_Active.size());
  for (const std::pair<const RestrictionId, Restriction> &Entry : m_Active)
    Found.push_back(Entry.first);
  return Found;
}

bool RestrictionSet::knows(const RestrictionId &Id) const { return m_Active.count(Id) != 0 || isLifted(Id); }

} // namespace bulrushpitch
