#ifndef BULRUSHPITCH_GATEWAY_SRC_REPLICATED_TABLE_H
#define BULRUSHPITCH_GATEWAY_SRC_REPLICATED_TABLE_H

#include "replica.h"

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/gateway/gateway_state.h"

#include <functional>
#include <optional>
#include <string>

namespace bulrushpitch {

/// @brief A table that this daemon learns from the store and from relays, puts in force and passes on.
///
/// Whoever sends them, answers are applied in the order of the store's versions: what is older than what is
/// known changes nothing. Not thread-safe; used from one event loop.
class ReplicatedTable {
public:
  /// What became of a relay's answer.
  enum class Reception : std::uint8_t {
    Applied,   ///< Or known already.
    WrongBase, ///< The difference belongs to another version than the current one.
    Damaged    ///< The difference does not lead to the version intended.
  };
  /// Called with the era of each answer, before it is applied.
  using EraHook = std::function<void(StoreEra Era, RelayedTable Table)>;

  /// @param Owned what this daemon knows of the table; owned by the derived class
  ReplicatedTable(Replica &Owned, GatewayState &State, ClockHook Clock, EraHook ObserveEra)
      : m_State(State), m_Clock(std::move(Clock)), m_Replica(Owned), m_ObserveEra(std::move(ObserveEra)),
        m_StartedAt(m_Clock()) {}
  virtual ~ReplicatedTable() = default;
  ReplicatedTable(const ReplicatedTable &) = delete;
  ReplicatedTable &operator=(const ReplicatedTable &) = delete;

  RelayedTable table() const { return m_Replica.table(); }
  Replica &replica() { return m_Replica; }
  const Replica &replica() const { return m_Replica; }
  /// @return time since the table was last confirmed, or since the start
  Duration unconfirmedTime() const;
  /// @return what a relay is told of the rows known here
  PeerHeldTable held() const;
  /// @brief Applies what a relay has sent.
  /// @return error 702 if its bytes are malformed
  Expected<Reception> receive(const PeerTableNews &News);
  /// @return where a watch of the store goes on from after a relay's answer; nothing if the store has been
  /// called since
  std::optional<StoreCursor> takeRelayedCursor() { return std::exchange(m_RelayedCursor, std::nullopt); }

protected:
  /// @return the revision of the configuration known here, if the table has one
  virtual ConfigRevision revision() const { return ConfigRevision(); }
  /// @brief Applies bytes that are not outdated.
  virtual Expected<Reception> applyRelayed(const std::string &Encoded, const StoreCursor &Position,
                                           TimePoint ConfirmedAt) = 0;
  /// @brief Called when the table was confirmed, by the store or by a relay.
  virtual void onConfirmed(TimePoint ConfirmedAt) = 0;

  GatewayState &m_State;
  ClockHook m_Clock;

private:
  Replica &m_Replica;
  EraHook m_ObserveEra;
  TimePoint m_StartedAt;
  std::optional<StoreCursor> m_RelayedCursor;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_REPLICATED_TABLE_H
