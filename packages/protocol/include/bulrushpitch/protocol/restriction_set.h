#ifndef BULRUSHPITCH_PROTOCOL_RESTRICTION_SET_H
#define BULRUSHPITCH_PROTOCOL_RESTRICTION_SET_H

#include "bulrushpitch/config/objects.h"

#include <map>
#include <set>
#include <vector>

namespace bulrushpitch {

/// @brief The restrictions that this instance knows, merged by union.
///
/// A restriction ends only when a revision lists its id as lifted. Lifted ids are remembered, so that a peer
/// that was cut off cannot bring an ended restriction back.
class RestrictionSet {
public:
  /// @return whether the restriction was new and is not lifted
  bool add(const Restriction &Added);
  /// @brief Adds all restrictions of @p Others.
  /// @return how many were new
  std::size_t merge(const std::vector<Restriction> &Others);
  /// @brief Ends the restrictions that a published revision lists as lifted.
  void lift(const std::vector<RestrictionId> &Lifted);

  /// @return the restrictions in force, ordered by id
  std::vector<Restriction> active() const;
  /// @return the ids of the restrictions in force, ordered
  std::vector<RestrictionId> ids() const;
  /// @return whether the restriction is in force or already lifted here
  bool knows(const RestrictionId &Id) const;
  bool isLifted(const RestrictionId &Id) const { return m_Lifted.count(Id) != 0; }

private:
  std::map<RestrictionId, Restriction> m_Active;
  std::set<RestrictionId> m_Lifted;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_RESTRICTION_SET_H
