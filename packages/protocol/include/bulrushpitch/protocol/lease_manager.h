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

/// @brief One shard of the upstreams of a failure domain.
struct ShardId {
  DomainId m_Domain;
  std::uint32_t m_Shard = 0;
  friend auto operator<=>(const ShardId &, const ShardId &) = default;
  friend bool operator==(const ShardId &, const ShardId &) = default;
};
inline constexpr std::uint32_t ShardsPerDomain = 4;
/// @return the shard of @p Domain to which @p Upstream is assigned by its hash
ShardId shardOf(const DomainId &Domain, const UpstreamId &Upstream);
/// @return the table key of the lease row
std::string leaseKey(const ShardId &Shard);

/// @brief The row `lease/<domain>/<shard>`.
struct LeaseRow {
  InstanceId m_Holder;
  std::uint64_t m_Incarnation = 0;
  FencingNumber m_Fencing;
  std::uint64_t m_Renewal =
      0; ///< Number of renewals; identifies a renewal whose response was lost when the row is read back.
  bool m_Released = false;
  bool operator==(const LeaseRow &) const = default;
};
std::string encodeLease(const LeaseRow &Row);
/// @return the row, or error 603 if it is malformed
Expected<LeaseRow> decodeLease(const std::string &Value);

struct LeaseSettings {
  Duration m_Duration = std::chrono::seconds(6);
  Duration m_RenewInterval = std::chrono::seconds(2); ///< Renewal interval.
  Duration m_PermitTtl = std::chrono::seconds(5);
  Duration m_ClockMargin = std::chrono::milliseconds(200); ///< Allowance for clock drift between instances.
  Duration m_RankDelay = std::chrono::milliseconds(500);   ///< Acquisition delay per rank.
  Duration m_OrderCutoff =
      std::chrono::seconds(2); ///< No orders are sent within this time before expiry (design 3.11).
};

/// @brief Action: this instance lost the lease; discard the shard's permits.
struct LeaseLost {
  ShardId m_Shard;
};
/// @brief Action: this instance acquired the lease.
struct LeaseAcquired {
  ShardId m_Shard;
  FencingNumber m_Fencing;
  TimePoint m_GrantsFrom; ///< Permits of earlier owners have expired by then.
};
using LeaseAction = std::variant<CommitRows, ReadRow, LeaseAcquired, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

enum class LeaseState : std::uint8_t {
  Watching,  ///< Polls the row until it is released or has been unchanged for longer than the lease duration.
  Acquiring, ///< The write that acquires the lease is pending.
  Held,
};

/// @brief Acquires, renews and releases the leases of the shards for which this instance is a candidate.
class LeaseManager {
public:
  LeaseManager(InstanceId Self, std::uint64_t Incarnation, LeaseSettings Settings = {});
  ~LeaseManager();
  LeaseManager(LeaseManager &&) noexcept;
  LeaseManager &operator=(LeaseManager &&) noexcept;

  /// @brief Sets the candidates for the lease of a shard: the live instances of its failure domain, or of its
  /// region if there are none. If this instance is not among them, it releases its lease.
  LeaseActions setCandidates(TimePoint Now, const ShardId &Shard, const std::vector<InstanceId> &Candidates);
  /// @brief Expires, renews and polls leases that are due.
  LeaseActions tick(TimePoint Now);
  LeaseActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);
  LeaseActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  /// @brief Drops all leases without writing their rows, after this process was paused.
  LeaseActions dropAll(TimePoint Now);
  /// @brief Drops all leases and marks their rows as released, for a graceful shutdown.
  LeaseActions releaseAll(TimePoint Now);
  /// @brief Reads the lease row of a shard if it was last read longer ago than the renewal interval.
  LeaseActions refreshOwner(TimePoint Now, const ShardId &Shard);

  /// @return the fencing number if the lease is held at @p Now
  std::optional<FencingNumber> heldFencing(const ShardId &Shard, TimePoint Now) const;
  /// @return the time until the lease expires; zero if it is not held
  Duration remaining(const ShardId &Shard, TimePoint Now) const;
  /// @return whether the lease is held and the permits of earlier owners have expired
  bool mayGrant(const ShardId &Shard, TimePoint Now) const;
  /// @return whether orders may be sent: the lease has been held for one lease duration and does not expire
  /// within the next 2 s (LeaseSettings::m_OrderCutoff)
  bool maySendOrders(const ShardId &Shard, TimePoint Now) const;
  /// @return the owner as last read, unless the lease was released
  std::optional<InstanceId> owner(const ShardId &Shard) const;
  LeaseState state(const ShardId &Shard) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_LEASE_MANAGER_H
