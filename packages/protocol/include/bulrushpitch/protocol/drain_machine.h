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
  NotReady,    ///< `/readyz` is off; still serves while the balancer notices.
  Refusing,    ///< New requests are refused with error 407; running ones go on.
  HandingOver, ///< Leases and permits are released, charges written or handed over.
  Announcing,  ///< Peers are told.
  Stopped,
};
const char *nameOf(DrainState Value);

struct TurnNotReady {};    ///< Action: `/readyz` answers 503.
struct RefuseNew {};       ///< Action: refuse new requests with error 407, not run.
struct EndStreams {};      ///< Action: end running streams with an error event that names the resume token.
struct ReleaseLeases {};   ///< Action: release leases and permits.
struct HandOverCharges {}; ///< Action: write charges or hand them over.
struct AnnounceLeaving {}; ///< Action: tell peers; report announced().
struct ExitProcess {       ///< Action: exit.
  int m_Code = 0;          ///< 1 if charges could neither be written nor handed over.
};
using DrainAction = std::variant<TurnNotReady, RefuseNew, EndStreams, ReleaseLeases, HandOverCharges,
                                 AnnounceLeaving, ExitProcess>;
using DrainActions = std::vector<DrainAction>;

struct DrainSettings {
  Duration m_BalancerDelay = std::chrono::seconds(1);
  Duration m_Deadline =
      std::chrono::seconds(30); ///< For running requests, counted from the refusal of new ones.
  Duration m_HandOver = std::chrono::seconds(10); ///< For charges.
  Duration m_Announce = std::chrono::seconds(1);
};

/// @brief The graceful stop of a daemon (design 3.15).
class DrainMachine {
public:
  explicit DrainMachine(DrainSettings Settings = {});
  ~DrainMachine();
  DrainMachine(DrainMachine &&) noexcept;
  DrainMachine &operator=(DrainMachine &&) noexcept;

  /// @brief SIGTERM arrived. A second call changes nothing.
  DrainActions stop(TimePoint Now);
  /// @param Running requests that run now
  /// @param Unsafe charges that are neither in the store nor copied elsewhere
  /// @param Waiting charges that the store has not confirmed
  DrainActions tick(TimePoint Now, std::size_t Running, std::size_t Unsafe, std::size_t Waiting);
  /// @brief Peers were told, or could not be reached.
  DrainActions announced(TimePoint Now);

  bool acceptsNew() const;
  bool readyz() const;
  DrainState state() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_DRAIN_MACHINE_H
