#ifndef BULRUSHPITCH_PROTOCOL_STARTUP_GATE_H
#define BULRUSHPITCH_PROTOCOL_STARTUP_GATE_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/membership.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrushpitch {

enum class GateState : std::uint8_t {
  Starting, ///< Neither condition of design 3.1 has held yet.
  Ready,
  Unproven, ///< Was ready, then paused; waits for a head read or an exchange with a ready peer.
};
/// @return the name of the state, as shown to operators
const char *nameOf(GateState Value);

/// @brief Decides when an instance may serve (design 3.1).
///
/// The gate opens when the instance holds the newest revision it can learn of: (i) the head row was read and
/// a peer was heard, or (ii) the head row is unreadable and the failure domains have reported ready.
///
/// In condition (ii), counting the silent failure domains is not enough. A copy of a published revision may
/// have been lost with an earlier process of this instance, so one silent domain other than its own could
/// hold the only copy left. Such a domain is skipped only after 10 s since the start, the time within which a
/// revision spreads.
class StartupGate {
public:
  StartupGate(InstanceId Self, DomainId Domain, TimePoint Now);
  ~StartupGate();
  StartupGate(StartupGate &&) noexcept;
  StartupGate &operator=(StartupGate &&) noexcept;

  /// @brief Records a successful read of the head row; revision 0 if the row is absent.
  void headRead(TimePoint Now, ConfigRevision Head);
  /// @brief Records a failed read of the head row.
  void headReadFailed(TimePoint Now);
  /// @brief Applies the platform's instance list.
  void applyInstanceList(TimePoint Now, const std::vector<ListedMember> &List);
  /// @brief Records an exchange with a peer, after its restrictions were merged.
  ///
  /// A peer that is itself starting counts as not heard in condition (ii): it may have held one of the two
  /// copies before its restart and have lost it.
  void exchangedWith(TimePoint Now, const InstanceId &Peer, ConfigRevision Revision, bool PeerReady);
  /// @brief Sets the revision that this instance holds.
  void setHeldRevision(TimePoint Now, ConfigRevision Revision);
  /// @brief Re-evaluates the conditions that depend on time. Call at least once a second.
  void tick(TimePoint Now);
  /// @brief Records that the process was paused, so that its known state may be out of date.
  void paused(TimePoint Now);

  bool ready() const;
  GateState state() const;
  /// @return the reason why the gate is closed, for `/readyz` and logs; empty when ready
  std::string notReadyReason() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_STARTUP_GATE_H
