#ifndef BULRUSHPITCH_PROTOCOL_LEASE_MANAGER_H
#define BULRUSHPITCH_PROTOCOL_LEASE_MANAGER_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/table.h"

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushpitch {

/// @brief One shard of a domain's upstreams.
struct ShardId {
  DomainId m_Domain;
  std::uint32_t m_Shard = 0;
  friend auto operator<=>(const ShardId &, const ShardId &) = default;
  friend bool operator==(const ShardId &, const ShardId &) = default;
};
inline constexpr std::uint32_t ShardsPerDomain = 4;
/// @return the shard that an upstream of @p Domain belongs to
ShardId shardOf(const DomainId &Domain, const UpstreamId &Upstream);
std::string leaseKey(const ShardId &Shard);

/// @brief The row `lease/<domain>/<shard>`.
struct LeaseRow {
  InstanceId m_Holder;
  std::uint64_t m_Incarnation = 0;
  FencingNumber m_Fencing;
  std::uint64_t m_Renewal = 0; ///< Counts the holder's renewals, so that a lost answer can be read back.
  bool m_Released = false;
  bool operator==(const LeaseRow &) const = default;
};
std::string encodeLease(const LeaseRow &Row);
Expected<LeaseRow> decodeLease(const std::string &Value);

struct LeaseSettings {
  Duration m_Length = std::chrono::seconds(6);
  Duration m_Renew = std::chrono::seconds(2);
  Duration m_PermitTtl = std::chrono::seconds(5);
  Duration m_Margin = std::chrono::milliseconds(200);  ///< For clocks that run at slightly different rates.
  Duration m_Stagger = std::chrono::milliseconds(500); ///< Per place in the rendezvous order.
  Duration m_NoOrders = std::chrono::seconds(2);       ///< At the end of a lease (design 3.11).
};

/// @brief Action: this instance lost the lease; forget the shard's permits.
struct LeaseLost {
  ShardId m_Shard;
};
/// @brief Action: this instance acquired the lease.
struct LeaseWon {
  ShardId m_Shard;
  FencingNumber m_Fencing;
  TimePoint m_GrantFrom; ///< Earlier permits have expired by then.
};
using LeaseAction = std::variant<CommitRows, ReadRow, LeaseWon, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

enum class LeaseState : std::uint8_t {
  Watching,  ///< Reads the row and waits until it has been unchanged for a lease length.
  Acquiring, ///< The write that takes the lease is under way.
  Held,
};

/// @brief Acquires, renews and gives up the leases of the shards for which this instance is a candidate.
class LeaseManager {
public:
  LeaseManager(InstanceId Self, std::uint64_t Incarnation, LeaseSettings Settings = {});
  ~LeaseManager();
  LeaseManager(LeaseManager &&) noexcept;
  LeaseManager &operator=(LeaseManager &&) noexcept;

  /// @brief Sets who may hold the lease of a shard: the live instances of its domain, or else of its region.
  /// If this instance is not among them, its lease is given up.
  LeaseActions candidates(TimePoint Now, const ShardId &Shard, const std::vector<InstanceId> &Candidates);
  LeaseActions tick(TimePoint Now);
  LeaseActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);
  LeaseActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  /// @brief Drops all leases at once, after a pause.
  LeaseActions dropAll(TimePoint Now);
  /// @brief Drops all leases and marks their rows as released, for a graceful stop.
  LeaseActions releaseAll(TimePoint Now);
  /// @brief Reads the lease row of a shard if what is known of its owner is older than the renewal interval.
  LeaseActions lookUp(TimePoint Now, const ShardId &Shard);

  /// @return the fencing number if the lease is held at @p Now
  std::optional<FencingNumber> held(const ShardId &Shard, TimePoint Now) const;
  /// @return the time until a held lease expires; zero if it is not held
  Duration remaining(const ShardId &Shard, TimePoint Now) const;
  /// @return whether the lease is held and permits of earlier owners have expired
  bool mayGrant(const ShardId &Shard, TimePoint Now) const;
  /// @return whether orders may be sent: held for a lease length, and not in the last 2 s
  bool mayOrder(const ShardId &Shard, TimePoint Now) const;
  /// @return the owner as last read
  std::optional<InstanceId> owner(const ShardId &Shard) const;
  LeaseState state(const ShardId &Shard) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_LEASE_MANAGER_H
