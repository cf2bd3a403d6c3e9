#ifndef BULRUSHPITCH_FORWARD_DAEMON_ROSTER_H
#define BULRUSHPITCH_FORWARD_DAEMON_ROSTER_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bulrushpitch {

/// @brief One daemon as the store lists it.
struct ListedDaemon {
  InstanceId m_Id;
  std::uint64_t m_RowVersion = 0; ///< Rises with each heartbeat.
};

/// @brief Which of the listed daemons are alive, by their heartbeats.
///
/// Time is this daemon's own, from one reading of the list to the next, so that clocks need not agree. A
/// daemon counts as alive for longer than it may be cut off from the store: while it is, it goes on sending
/// its share of what all daemons may send. Not thread-safe.
class DaemonRoster {
public:
  /// @brief Takes the list as it was read.
  void update(const std::vector<ListedDaemon> &Listed, TimePoint Now);
  /// @return the daemons that are alive, in the order of their names
  std::vector<InstanceId> alive(TimePoint Now) const;
  /// @return the listed daemons that have sent no heartbeat for so long that their rows can be removed
  std::vector<ListedDaemon> lapsed(TimePoint Now) const;

private:
  struct Known {
    std::uint64_t m_RowVersion = 0;
    TimePoint m_ChangedAt{};
  };
  std::map<InstanceId, Known> m_Daemons;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_DAEMON_ROSTER_H
