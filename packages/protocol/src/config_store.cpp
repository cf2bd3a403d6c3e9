#include "bulrushpitch/protocol/config_store.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <set>

namespace bulrushpitch {

namespace {

/// Limits the size of the snapshot; at 20 restrictions a day this covers half a year.
constexpr std::size_t MaxLiftedIds = 4'096;

} // namespace

bool RevisionGate::tryAdvance(ConfigRevision Offered) {
  if (Offered <= m_Current)
    return false;
  m_Current = Offered;
  return true;
}

ConfigStore::ConfigStore() : m_Current(std::make_shared<const Configuration>()), m_Effective(m_Current) {}

bool ConfigStore::tryInstall(Configuration Offered) {
  if (!m_Gate.tryAdvance(Offered.m_Revision))
    return false;
  m_Current = std::make_shared<const Configuration>(std::move(Offered));
  m_Restrictions.lift(m_Current->m_Lifted);
  rebuildEffective();
  return true;
}

bool ConfigStore::addRestriction(const Restriction &Added) { return mergeRestrictions({Added}) == 1; }

std::size_t ConfigStore::mergeRestrictions(const std::vector<Restriction> &Others) {
  const std::size_t AddedCount = m_Restrictions.merge(Others);
  if (AddedCount > 0)
    rebuildEffective();
  return AddedCount;
}

void ConfigStore::rebuildEffective() {
  m_Effective = std::make_shared<const Configuration>(applyRestrictions(*m_Current, m_Restrictions.active()));
}

std::uint64_t ConfigStore::contentHash() const {
  std::uint64_t Hash = mixHash(0, revision().value());
  for (const RestrictionId &Id : m_Restrictions.ids())
    Hash = mixHash(Hash, stableHash(Id.value()));
  return Hash;
}

Configuration prepareForPublication(Configuration Offered, const Configuration &Base,
                                    const std::vector<Restriction> &Restrictions) {
  std::vector<RestrictionId> Lifted = Base.m_Lifted;
  const std::set<RestrictionId> LiftedInBase(Lifted.begin(), Lifted.end());
  for (const RestrictionId &Id : Offered.m_Lifted)
    if (LiftedInBase.count(Id) == 0)
      Lifted.push_back(Id);
  if (Lifted.size() > MaxLiftedIds)
    Lifted.erase(Lifted.begin(), Lifted.end() - static_cast<std::ptrdiff_t>(MaxLiftedIds));
  Offered.m_Lifted = std::move(Lifted);
  Offered.m_Revision = Base.m_Revision + ConfigRevision(1);
  return applyRestrictions(Offered, Restrictions);
}

} // namespace bulrushpitch
