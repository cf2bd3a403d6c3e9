#ifndef BULRUSHPITCH_PROTOCOL_RESTRICTION_SET_H
#define BULRUSHPITCH_PROTOCOL_RESTRICTION_SET_H

#include "bulrushpitch/config/objects.h"

#include <map>
#include <set>
#include <vector>

namespace bulrushpitch {

/// @brief The restrictions known to this instance, merged by union.
///
/// A restriction ends only when a revision lists its id as lifted. Lifted ids are kept, so that a peer that
/// was partitioned from the others cannot reintroduce an ended restriction.
class RestrictionSet {
public:
  /// @brief Adds a restriction unless it is lifted.
  /// @return whether it was added
  bool add(const Restriction &Added);
  /// @brief Adds all restrictions of @p Others.
  /// @return the number of new restrictions
  std::size_t merge(const std::vector<Restriction> &Others);
  /// @brief Ends the restrictions that a published revision lists as lifted.
  void lift(const std::vector<RestrictionId> &Lifted);

  /// @return the restrictions in force, ordered by id
  std::vector<Restriction> active() const;
  /// @return the ids of the restrictions in force, ordered
  std::vector<RestrictionId> ids() const;
  /// @return whether the restriction is in force or lifted in this set
  bool contains(const RestrictionId &Id) const;
  bool isLifted(const RestrictionId &Id) const { return m_Lifted.count(Id) != 0; }

private:
  std::map<RestrictionId, Restriction> m_Active;
  std::set<RestrictionId> m_Lifted;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_RESTRICTION_SET_H
