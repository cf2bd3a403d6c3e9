#ifndef BULRUSHPITCH_FORWARD_DAEMON_MEMBERSHIP_H
#define BULRUSHPITCH_FORWARD_DAEMON_MEMBERSHIP_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/forward/store_era.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bulrushpitch {

/// @brief Row of one daemon in the store.
struct ListedDaemon {
  InstanceId m_Id;
  std::uint64_t m_RowVersion = 0; ///< Increases with each heartbeat.
  StoreEra m_Era{};               ///< Era in which the row was read.
};

/// @brief Tracks which of the listed daemons are alive, by their heartbeats.
///
/// A heartbeat is dated by this daemon's own clock, when the changed row is read, so that the clocks of the
/// daemons need not be synchronized. A daemon that is cut off from the store keeps sending its share of
/// the rate limits that all daemons have in common. The heartbeat timeout is longer than the time for which a
/// daemon may be cut off, so that its share is not given to others meanwhile. Not thread-safe.
class DaemonMembership {
public:
  /// @brief Applies the list of daemons as read from the store; daemons that are not listed are forgotten.
  void update(const std::vector<ListedDaemon> &Listed, TimePoint Now);
  /// @return the daemons that are alive, ordered by id
  std::vector<InstanceId> alive(TimePoint Now) const;
  /// @return the listed daemons without a heartbeat within the timeout, whose rows can be removed
  std::vector<ListedDaemon> expired(TimePoint Now) const;

private:
  struct Heartbeat {
    std::uint64_t m_RowVersion = 0;
    StoreEra m_Era{};
    TimePoint m_SeenAt{}; ///< When the row version was first read.
  };
  std::map<InstanceId, Heartbeat> m_Daemons;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_DAEMON_MEMBERSHIP_H
