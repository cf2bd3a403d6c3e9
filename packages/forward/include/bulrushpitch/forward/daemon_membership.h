#ifndef BULRUSHPITCH_FORWARD_DAEMON_MEMBERSHIP_H
#define BULRUSHPITCH_FORWARD_DAEMON_MEMBERSHIP_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/forward/retry_window.h"
#include "bulrushpitch/forward/store_era.h"
#include "bulrushpitch/net/http_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bulrushpitch {

/// @brief What a daemon says of itself to those that may follow it.
struct DaemonContact {
  Endpoint m_Address; ///< Where it answers other daemons.
  RegionId m_Region;
  bool m_NearStore = false; ///< Its calls of the store are quick: they cross no link between regions.
  bool m_WideLink = false;  ///< Its own link carries the traffic of many followers.
  bool operator==(const DaemonContact &) const = default;
};

/// @brief Row of one daemon in the store.
struct ListedDaemon {
  InstanceId m_Id;
  std::uint64_t m_RowVersion = 0;           ///< Increases with each heartbeat.
  StoreEra m_Era{};                         ///< Era in which the row was read.
  std::optional<DaemonContact> m_Contact{}; ///< Empty if the daemon answers no others.
  /// Time from the heartbeat to the reading of the list, by the store's clock; empty if not known.
  std::optional<Duration> m_HeartbeatAge{};
  bool m_Counted = false; ///< Whether all others had read of it by the heartbeat; see JoinProgress.
  /// What the daemon had used of its retry budgets when it stopped, with the ages at the reading of the list;
  /// empty if it hasn't stopped in order.
  std::optional<ServiceRetryUse> m_FinalRetryUse{};
};

/// @brief What a daemon writes into its row.
struct DaemonHeartbeat {
  InstanceId m_Id;
  std::optional<DaemonContact> m_Contact; ///< Where it answers other daemons; nothing if it does not.
  bool m_Counted = false;                 ///< As in ListedDaemon.
  /// Only with the last heartbeat before the daemon ends: what it has used of its retry budgets.
  std::optional<ServiceRetryUse> m_FinalRetryUse{};
};

/// @brief Tracks which of the listed daemons are alive, by their heartbeats.
///
/// A heartbeat is dated by this daemon's own clock, when the changed row is read, so that the clocks of the
/// daemons need not be synchronized. A daemon that is cut off from the store keeps sending its share of
/// the rate limits that all daemons have in common. The heartbeat timeout is longer than the time for which a
/// daemon may be cut off, so that its share is not given to others meanwhile. Not thread-safe.
class DaemonMembership {
public:
  /// Three heartbeat intervals, plus a margin for a slow store.
  static constexpr Duration HeartbeatTimeout = std::chrono::seconds(100);

  /// @brief Applies the list of daemons as read from the store; daemons that are not listed are forgotten,
  /// except those that a restored store may have lost.
  void update(const std::vector<ListedDaemon> &Listed, TimePoint Now);
  /// @brief Applies the first list that is read after the store was restored from an older copy.
  ///
  /// The rows of daemons that registered since the copy are missing until their next heartbeats, and with the
  /// others the latest heartbeats may be lost. Therefore the daemons that were alive are so for a full
  /// heartbeat timeout from now, listed or not, and none has expired before.
  void updateAfterRestore(const std::vector<ListedDaemon> &Listed, TimePoint Now);
  /// @return the daemons that are alive, ordered by id
  std::vector<InstanceId> alive(TimePoint Now) const;
  /// @return the rows of the daemons that are alive, ordered by id
  std::vector<ListedDaemon> aliveRows(TimePoint Now) const;
  /// @return the listed daemons without a heartbeat within the timeout, whose rows can be removed
  std::vector<ListedDaemon> expired(TimePoint Now) const;

private:
  struct Heartbeat {
    /// Comparable with the versions in the next list; empty if the store was restored without the row.
    std::optional<std::uint64_t> m_RowVersion;
    StoreEra m_Era{};
    TimePoint m_SeenAt{}; ///< When the row version was first read.
    std::optional<DaemonContact> m_Contact{};
  };

  static bool isAlive(const Heartbeat &Latest, TimePoint Now);
  bool restoredRecently(TimePoint Now) const;

  std::map<InstanceId, Heartbeat> m_Daemons;
  std::optional<TimePoint> m_RestoredAt;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_DAEMON_MEMBERSHIP_H
