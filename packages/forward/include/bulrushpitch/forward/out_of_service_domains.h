#ifndef BULRUSHPITCH_FORWARD_OUT_OF_SERVICE_DOMAINS_H
#define BULRUSHPITCH_FORWARD_OUT_OF_SERVICE_DOMAINS_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bulrushpitch {

/// @brief The failure domains that operators have taken out of service, also when the store loses the order.
///
/// A request to a domain that is out of service is forbidden, while one that goes elsewhere only costs time.
/// Therefore a domain is out if either the rows or what was read before a restore say so. An order that is
/// missing in a restored store is held until operators have had time to write it again. A domain whose return
/// was read before, but whose order is in the restored store, is out until the order is removed again: its
/// row cannot be told from that of a new order. Not thread-safe.
class OutOfServiceDomains {
public:
  /// @brief Applies changes of the orders.
  /// @param Out domains whose order was written; it ends a hold, and stays in force until it is removed
  /// @param Back domains whose order was removed; they return at once
  void update(const std::vector<DomainId> &Out, const std::vector<DomainId> &Back);
  /// @brief Applies a full snapshot of the orders; orders that are not in it have been removed, except those
  /// that are held.
  void replaceAll(const std::vector<DomainId> &Out);
  /// @brief Applies the first full snapshot that is read after the store was restored from an older copy;
  /// orders that are not in it are held for a fixed period.
  void replaceAllAfterRestore(const std::vector<DomainId> &Out, TimePoint Now);
  /// @brief Ends the holds whose period has passed.
  /// @return the domains that return to service
  std::vector<DomainId> expire(TimePoint Now);

  /// @return the domains that are out of service, those that are held included
  std::set<DomainId> domains() const;
  /// @return the end of the hold; empty if the domain is not held
  std::optional<TimePoint> heldUntil(const DomainId &Domain) const;

private:
  /// The domains that are out, with the end of the hold if the order is missing in a restored store.
  std::map<DomainId, std::optional<TimePoint>> m_Domains;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_OUT_OF_SERVICE_DOMAINS_H
