#ifndef BULRUSHPITCH_PROTOCOL_CONFIG_STORE_H
#define BULRUSHPITCH_PROTOCOL_CONFIG_STORE_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/protocol/restriction_set.h"

#include <memory>
#include <vector>

namespace bulrushpitch {

/// @brief Accepts only increasing revisions.
class RevisionGate {
public:
  /// @brief Accepts @p Offered if it is higher than every revision accepted before.
  /// @return whether it was accepted
  bool tryAdvance(ConfigRevision Offered);
  ConfigRevision current() const { return m_Current; }

private:
  ConfigRevision m_Current;
};

/// @brief The configuration and the restrictions that an instance holds.
///
/// @code
/// ConfigStore Store;
/// if (Store.tryInstall(Fetched))
///   route(*Store.effective());
/// @endcode
class ConfigStore {
public:
  ConfigStore();

  /// @brief Replaces the configuration if the revision of @p Offered is higher than the current one.
  /// @return whether it was replaced
  bool tryInstall(Configuration Offered);
  /// @brief Adds a restriction.
  /// @return whether it was new and is not lifted
  bool addRestriction(const Restriction &Added);
  /// @brief Adds all restrictions of @p Others.
  /// @return the number of new restrictions
  std::size_t mergeRestrictions(const std::vector<Restriction> &Others);

  ConfigRevision revision() const { return m_Gate.current(); }
  /// @return the configuration as published
  std::shared_ptr<const Configuration> current() const { return m_Current; }
  /// @return the configuration with all restrictions in force applied
  std::shared_ptr<const Configuration> effective() const { return m_Effective; }
  const RestrictionSet &restrictions() const { return m_Restrictions; }
  /// @return a hash of the revision and of the ids of the restrictions in force
  std::uint64_t contentHash() const;

private:
  void rebuildEffective();

  RevisionGate m_Gate;
  RestrictionSet m_Restrictions;
  std::shared_ptr<const Configuration> m_Current;
  std::shared_ptr<const Configuration> m_Effective;
};

/// @brief Prepares an operator's configuration for publication.
///
/// The revision becomes that of @p Base plus one, and restrictions in force are written into the objects
/// unless they are lifted. The lifted ids of @p Base are carried over (the latest 4,096 ids are kept),
/// because a peer that returns after a long network partition still offers restrictions that ended in the
/// meantime.
Configuration prepareForPublication(Configuration Offered, const Configuration &Base,
                                    const std::vector<Restriction> &Restrictions);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_CONFIG_STORE_H
