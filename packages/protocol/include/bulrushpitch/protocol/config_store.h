#ifndef BULRUSHPITCH_PROTOCOL_CONFIG_STORE_H
#define BULRUSHPITCH_PROTOCOL_CONFIG_STORE_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/protocol/restriction_set.h"

#include <memory>
#include <vector>

namespace bulrushpitch {

/// @brief Lets only rising revisions through.
class RevisionGate {
public:
  /// @return whether @p Offered is higher than every revision let through before
  bool offer(ConfigRevision Offered);
  ConfigRevision current() const { return m_Current; }

private:
  ConfigRevision m_Current;
};

/// @brief The configuration and the restrictions that an instance holds.
///
/// @code
/// ConfigStore Store;
/// if (Store.offer(Fetched))
///   route(*Store.effective());
/// @endcode
class ConfigStore {
public:
  ConfigStore();

  /// @return whether the revision was higher and is now held
  bool offer(Configuration Offered);
  /// @return whether the restriction was new
  bool restrict(const Restriction &Added);
  /// @return how many restrictions were new
  std::size_t mergeRestrictions(const std::vector<Restriction> &Others);

  ConfigRevision revision() const { return m_Gate.current(); }
  std::shared_ptr<const Configuration> current() const { return m_Current; }
  /// @return the configuration with all restrictions in force applied
  std::shared_ptr<const Configuration> effective() const { return m_Effective; }
  const RestrictionSet &restrictions() const { return m_Restrictions; }
  /// @return a hash of the revision and of the restriction ids in force
  std::uint64_t digest() const;

private:
  void rebuild();

  RevisionGate m_Gate;
  RestrictionSet m_Restrictions;
  std::shared_ptr<const Configuration> m_Current;
  std::shared_ptr<const Configuration> m_Effective;
};

/// @brief Prepares an operator's configuration for publication.
///
/// The revision becomes @p Base's plus one, restrictions in force are written into the objects unless they
/// are lifted, and the lifted ids of @p Base are carried over (the newest 4,096), because a peer that comes
/// back after a long cut still offers restrictions that ended while it was away.
Configuration prepareForPublication(Configuration Offered, const Configuration &Base,
                                    const std::vector<Restriction> &Restrictions);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_CONFIG_STORE_H
