#ifndef BULRUSHPITCH_PROTOCOL_DRAIN_MACHINE_H
#define BULRUSHPITCH_PROTOCOL_DRAIN_MACHINE_H

#include "bulrushpitch/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace bulrushpitch {

enum class DrainState : std::uint8_t {
  Serving,
  NotReady,    ///< `/readyz` fails; still serves until the load balancer has noticed.
  Refusing,    ///< New requests are refused with error 407; running ones continue.
  HandingOver, ///< Leases and permits are released, charges are written or handed over.
  Announcing,  ///< Peers are notified.
  Stopped,
};
/// @return the name of the state, as shown to operators
const char *nameOf(DrainState Value);

struct SetNotReady {};       ///< Action: make `/readyz` respond with 503.
struct RefuseNewRequests {}; ///< Action: refuse new requests with error 407 without running them.
struct EndStreams {};    ///< Action: end running streams with an error event that contains the resume token.
struct ReleaseLeases {}; ///< Action: release leases and permits.
struct HandOverCharges {}; ///< Action: write charges or hand them over.
struct AnnounceLeaving {}; ///< Action: notify peers, then call announced().
struct ExitProcess {       ///< Action: exit.
  int m_Code = 0;          ///< 1 if a charge could be neither written nor handed over.
};
using DrainAction = std::variant<SetNotReady, RefuseNewRequests, EndStreams, ReleaseLeases, HandOverCharges,
                                 AnnounceLeaving, ExitProcess>;
using DrainActions = std::vector<DrainAction>;

struct DrainSettings {
  Duration m_BalancerDelay = std::chrono::seconds(1); ///< From failing `/readyz` to refusing new requests.
  Duration m_RequestTimeout =
      std::chrono::seconds(30); ///< For running requests, from when new ones are refused.
  Duration m_HandOverTimeout = std::chrono::seconds(10); ///< Timeout for writing or handing over charges.
  Duration m_AnnounceTimeout = std::chrono::seconds(1);  ///< Timeout for notifying peers.
};

/// @brief The graceful shutdown of a daemon (design 3.15).
class DrainMachine {
public:
  explicit DrainMachine(DrainSettings Settings = {});
  ~DrainMachine();
  DrainMachine(DrainMachine &&) noexcept;
  DrainMachine &operator=(DrainMachine &&) noexcept;

  /// @brief Starts the shutdown, on SIGTERM. Idempotent.
  DrainActions stop(TimePoint Now);
  /// @brief Moves to the next state when the current one is complete or has timed out.
  /// @param Running running requests
  /// @param Unsafe charges that are neither in the store nor copied elsewhere
  /// @param Waiting charges not yet confirmed by the store
  DrainActions tick(TimePoint Now, std::size_t Running, std::size_t Unsafe, std::size_t Waiting);
  /// @brief Records that peers were notified or could not be reached.
  DrainActions announced(TimePoint Now);

  bool acceptsNewRequests() const;
  bool isReady() const;
  DrainState state() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_DRAIN_MACHINE_H
