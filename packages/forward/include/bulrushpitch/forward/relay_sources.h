#ifndef BULRUSHPITCH_FORWARD_RELAY_SOURCES_H
#define BULRUSHPITCH_FORWARD_RELAY_SOURCES_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/forward/daemon_membership.h"
#include "bulrushpitch/forward/relayed_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bulrushpitch {

/// @brief Decides from whom a daemon learns the tables of the store: from the store itself, or from other
/// daemons that relay them.
///
/// The store sends a configuration whole to everyone who reads it, so many daemons behind one link would fill
/// it with copies; and each call of the store is charged. Therefore only a few daemons read the tables from
/// the store, preferably some near it; a few of each region relay them, and the others follow two relays of
/// their region at once, so that one that dies or is cut off delays nobody.
///
/// All daemons order each other by the same key: near the store first, then by link and by hash. A daemon
/// follows only daemons before it, so the relays form no cycle, whatever each daemon knows of the others. A
/// daemon that does not answer is passed over for a while, and the next one in the order takes its place; so
/// is one that is itself not confirmed.
///
/// While a table has not been confirmed for some time, a daemon turns to the store itself for it. The daemons
/// of a region do so one after the other in the common order, so that a link that is already full is not
/// filled with the calls of all of them; the rest follows the first one that succeeds. A daemon that hears
/// from no other one does not wait for its turn: it alone may be cut off from them.
///
/// Answers load: large configurations, and many changes, times the number of daemons behind one link and at
/// one store. Few daemons all read the store. Not thread-safe.
class RelaySources {
public:
  /// @param Self this daemon
  /// @param Contact how others reach it; nothing: it follows others but relays nothing
  RelaySources(InstanceId Self, RegionId Region, std::optional<DaemonContact> Contact);

  /// @brief Sets whether this daemon is near the store, as others see it in the list of daemons.
  void setNearStore(bool NearStore) { m_SelfNearStore = NearStore; }
  /// @brief Applies the list of daemons. This daemon's own entry is ignored.
  void setDaemons(std::vector<ListedDaemon> Alive);

  /// @return whether there are enough daemons that some of them relay the tables
  bool hasRelays() const;
  /// @return the daemons to follow now, at most FollowedRelays; empty: only the store
  std::vector<ListedDaemon> followed(TimePoint Now) const;
  /// @brief Records that a daemon did not answer.
  void onFailed(const InstanceId &Daemon, TimePoint Now);
  /// @brief Records that a daemon answered, but has no recent confirmation itself.
  void onStale(const InstanceId &Daemon, TimePoint Now);
  void onAnswered(const InstanceId &Daemon, TimePoint Now);
  /// @return whether a table of this age may lack changes that must be in force soon
  static bool isStale(Duration Age);
  /// @brief Decides whether a table has to be read from the store now. A daemon that turned to it goes on for
  /// a while.
  /// @param Age time since the table was last confirmed, or since the start
  bool needsStore(RelayedTable Table, Duration Age, TimePoint Now);

  static constexpr std::size_t FollowedRelays = 2;

private:
  struct Failure {
    std::uint32_t m_Count = 0;
    TimePoint m_PassedOverUntil{};
  };

  bool hasFailed(const ListedDaemon &Daemon, TimePoint Now) const;
  bool isUsable(const ListedDaemon &Daemon, TimePoint Now) const;
  /// @return the daemons of this region that come before this one and have not failed
  std::vector<ListedDaemon> precedingInRegion(TimePoint Now) const;
  /// @return whether this daemon always reads the tables from the store
  bool readsStore(TimePoint Now) const;
  bool knowsDaemonNearStore() const;
  /// @return how long this daemon leaves the store to those before it
  Duration pauseByRank(TimePoint Now) const;
  Duration pauseByHash() const;
  std::size_t daemonsInRegion() const;

  InstanceId m_Self;
  RegionId m_Region;
  bool m_SelfNearStore = true;
  bool m_SelfWideLink = true;
  std::vector<ListedDaemon> m_Others; ///< Those that can be followed, in the common order.
  std::map<InstanceId, Failure> m_Failures;
  std::map<InstanceId, TimePoint> m_StaleUntil; ///< Daemons that are not confirmed themselves.
  std::map<RelayedTable, TimePoint> m_UsesStoreUntil;
  std::optional<TimePoint> m_HeardAt; ///< When any daemon last answered.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_RELAY_SOURCES_H
