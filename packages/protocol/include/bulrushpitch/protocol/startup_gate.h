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
  Starting, ///< Neither condition of design 3.1 holds.
  Ready,
  Unproven, ///< Was ready, then paused; waits for one head read or one exchange with a ready peer.
};
const char *nameOf(GateState Value);

/// @brief Decides when an instance may serve (design 3.1, conditions i and ii).
///
/// Condition (ii) is stricter than a count of silent domains. A copy of a published revision may have been
/// lost with an earlier process of this instance, so one silent domain other than its own could hold the only
/// copy left. Such a domain is passed over only when 10 s have gone by since the start, the time within which
/// a revision spreads.
class StartupGate {
public:
  StartupGate(InstanceId Self, DomainId Domain, TimePoint Now);
  ~StartupGate();
  StartupGate(StartupGate &&) noexcept;
  StartupGate &operator=(StartupGate &&) noexcept;

  /// @brief Takes a successful read of the head row; revision 0 if the row is absent.
  void headRead(TimePoint Now, ConfigRevision Head);
  /// @brief Takes a failed read of the head row.
  void headUnreadable(TimePoint Now);
  /// @brief Takes the platform's list.
  void listed(TimePoint Now, const std::vector<ListedMember> &List);
  /// @brief Takes an exchange with a peer, after its restrictions were merged.
  ///
  /// A peer that is itself starting counts as not heard in condition (ii): it may be the restarted holder of
  /// one of the two copies, and know nothing.
  void heard(TimePoint Now, const InstanceId &Peer, ConfigRevision Revision, bool PeerReady);
  /// @brief Takes the revision that this instance holds.
  void holds(TimePoint Now, ConfigRevision Revision);
  /// @brief Lets time pass. Call at least once a second.
  void tick(TimePoint Now);
  /// @brief The process was paused: what it knows may be out of date.
  void paused(TimePoint Now);

  bool ready() const;
  GateState state() const;
  /// @return what is missing, for `/readyz` and logs; empty when ready
  std::string missing() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_STARTUP_GATE_H
