#ifndef BULRUSHPITCH_RPC_MESSAGES_H
#define BULRUSHPITCH_RPC_MESSAGES_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/forward/relayed_table.h"
#include "bulrushpitch/net/http_message.h"
#include "bulrushpitch/timeline/event.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief The calls of the Peer interface.
enum class PeerMethod : std::uint8_t {
  Exchange,
  Fetch,
  AcquirePermit,
  RenewPermit,
  ReleasePermit,
  HoldCharges,
  DropCharges,
  Probe,
  Timeline,
  Status,
  WatchTables
};
inline constexpr std::size_t peerMethodCount = 11;

/// @param Value a call of the Peer interface
/// @return its name in lower camel case, for example "acquirePermit"
std::string_view nameOf(PeerMethod Value);

enum class PeerMemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// @param Value a member's state
/// @return "alive", "suspect", "dead" or "left"
std::string_view nameOf(PeerMemberState Value);

/// @brief What one daemon tells another about a third.
struct PeerMember {
  InstanceId m_Instance{};
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Beat = 0; ///< Rises when the member contradicts a suspicion.
  PeerMemberState m_State = PeerMemberState::Alive;
  Endpoint m_Address{}; ///< Peer RPC address.
  DomainId m_Domain{};
  ConfigRevision m_Confirmed{}; ///< The highest revision that the member is known to hold.
  friend bool operator==(const PeerMember &, const PeerMember &) = default;
};

/// @brief What two daemons tell each other in an exchange.
struct PeerDigest {
  static constexpr std::size_t maxMembers = 8;

  InstanceId m_Instance{}; ///< The sender.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Beat = 0; ///< Rises when the sender contradicts a suspicion.
  bool m_Ready = false;     ///< The sender's startup gate is open.
  bool m_Leaving = false;
  DomainId m_Domain{};
  RegionId m_Region{};
  Endpoint m_Rpc{};
  Endpoint m_Admin{};
  ConfigRevision m_Revision{};
  InstanceId m_Publisher{};                  ///< Of m_Revision, if known.
  std::uint64_t m_RestrictionHash = 0;       ///< Of the whole set of the sender's restrictions.
  std::vector<Restriction> m_Restrictions{}; ///< Those that the receiver may lack.
  std::vector<PeerMember> m_Members{};       ///< At most maxMembers; error 702 with more.
  LamportTime m_Lamport{};
  std::optional<std::chrono::milliseconds> m_HeadReadAge{}; ///< Age of the newest head-row read, if any.
  bool m_Push = false;                                      ///< Sent at once because something changed.
  friend bool operator==(const PeerDigest &, const PeerDigest &) = default;
};

/// @brief Asks for a configuration.
struct PeerFetch {
  ConfigRevision m_Since{}; ///< The revision that the caller holds; 0 if none.
  friend bool operator==(const PeerFetch &, const PeerFetch &) = default;
};

/// @brief A configuration, or the difference to one that the caller holds.
struct PeerDelta {
  ConfigRevision m_Base{}; ///< The revision that the difference applies to; 0 for a full snapshot.
  ConfigRevision m_Target{};
  bool m_Full = false; ///< m_Bytes is a whole snapshot.
  std::string m_Bytes{};
  friend bool operator==(const PeerDelta &, const PeerDelta &) = default;
};

/// @brief Asks the owner of an upstream for a permit, or renews or releases one.
struct PeerPermitRequest {
  UpstreamId m_Upstream{};
  InstanceId m_Requester{};
  AttemptId m_Attempt{}; ///< Names the permit.
  bool m_Ended = true;   ///< In releasePermit: the stream has ended or was never started.
  bool m_Cold = false;   ///< In releasePermit: the upstream showed a sign of coldness.
  LamportTime m_Lamport{};
  friend bool operator==(const PeerPermitRequest &, const PeerPermitRequest &) = default;
};

/// @brief The owner's answer to a request for a permit or its renewal.
struct PeerPermit {
  UpstreamId m_Upstream{};
  AttemptId m_Attempt{};
  bool m_Granted = false;
  bool m_Warm = false;       ///< The upstream has reached its capacity and needs no permits.
  std::string m_Reason{};    ///< Why it was refused.
  FencingNumber m_Fencing{}; ///< Of the owner's lease.
  std::chrono::milliseconds m_Ttl{};
  LamportTime m_Lamport{};
  friend bool operator==(const PeerPermit &, const PeerPermit &) = default;
};

/// @brief A charge that waits for the table service.
struct PeerCharge {
  std::string m_Key{};  ///< Of the row in the table service.
  std::string m_Json{}; ///< Empty in dropCharges.
  friend bool operator==(const PeerCharge &, const PeerCharge &) = default;
};

/// @brief Charges that a backup daemon holds, or may drop, for their owner.
struct PeerCharges {
  InstanceId m_Owner{};
  std::uint64_t m_Incarnation = 0;       ///< Of the owner.
  std::uint64_t m_HolderIncarnation = 0; ///< Of the receiver, as the owner knows it.
  std::vector<PeerCharge> m_Charges{};
  LamportTime m_Lamport{};
  friend bool operator==(const PeerCharges &, const PeerCharges &) = default;
};

/// @brief Asks a daemon to reach a third one.
struct PeerProbe {
  InstanceId m_Target{};
  Endpoint m_Address{};
  friend bool operator==(const PeerProbe &, const PeerProbe &) = default;
};

/// @brief What a probe found.
struct PeerProbeResult {
  bool m_Reached = false;
  std::uint64_t m_Incarnation = 0; ///< Of the target, if it was reached.
  friend bool operator==(const PeerProbeResult &, const PeerProbeResult &) = default;
};

/// @brief Events of one daemon.
struct PeerTimeline {
  std::vector<TimelineEvent> m_Events{};
  std::uint64_t m_Dropped = 0; ///< Events that the daemon's recorder has overwritten.
  friend bool operator==(const PeerTimeline &, const PeerTimeline &) = default;
};

/// @brief A daemon's own account of itself.
struct PeerStatus {
  InstanceId m_Instance{};
  std::uint64_t m_Incarnation = 0;
  DomainId m_Domain{};
  ConfigRevision m_Revision{};
  bool m_Ready = false;
  std::string m_Json{}; ///< Further details.
  friend bool operator==(const PeerStatus &, const PeerStatus &) = default;
};

/// @brief What a daemon has of a table.
struct PeerHeldTable {
  RelayedTable m_Table{};
  std::uint64_t m_Era = 0;           ///< Of the store, in which the rows were read.
  std::uint64_t m_Version = 0;       ///< Of the store, at which the rows were read.
  ConfigRevision m_Revision{};       ///< Of the configuration, if the table has one; 0 if none is known.
  std::chrono::milliseconds m_Age{}; ///< Since the rows were last confirmed.
  friend bool operator==(const PeerHeldTable &, const PeerHeldTable &) = default;
};

/// @brief Waits for changes of tables that the caller does not have.
struct PeerTableWatch {
  std::vector<PeerHeldTable> m_Held; ///< At most one entry a table.
  /// How long the answer may be held back while there is nothing new.
  std::chrono::milliseconds m_Wait{};
  friend bool operator==(const PeerTableWatch &, const PeerTableWatch &) = default;
};

/// @brief A table as one daemon knows it.
struct PeerTableNews {
  RelayedTable m_Table{};
  std::uint64_t m_Era = 0;
  std::uint64_t m_Version = 0;
  std::chrono::milliseconds m_Age{}; ///< Since it was last confirmed by the store.
  std::string m_Bytes{};             ///< What the caller lacks; empty if it has all rows.
  /// Time since the store came back from an outage; nothing if that was long ago.
  std::optional<std::chrono::milliseconds> m_SinceRecovery{};
  bool m_CutOff = false; ///< The answering daemon gets no confirmation from the store either.
  friend bool operator==(const PeerTableNews &, const PeerTableNews &) = default;
};

/// @brief Answer to PeerTableWatch: the tables that the answering daemon knows.
struct PeerTableNewsList {
  std::vector<PeerTableNews> m_Tables;
  friend bool operator==(const PeerTableNewsList &, const PeerTableNewsList &) = default;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_RPC_MESSAGES_H
