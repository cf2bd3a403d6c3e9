#ifndef BULRUSHPITCH_PROTOCOL_MEMBERSHIP_H
#define BULRUSHPITCH_PROTOCOL_MEMBERSHIP_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/publication.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace bulrushpitch {

enum class MemberState : std::uint8_t { Alive, Suspect, Left };

/// @brief The state of a member, as gossiped between instances.
struct MemberUpdate {
  InstanceId m_Instance;
  DomainId m_Domain;
  std::uint64_t m_Incarnation = 0;      ///< Increases with each start of the process.
  std::uint64_t m_RefutationNumber = 0; ///< Increases when the instance refutes a suspicion.
  MemberState m_State = MemberState::Alive;
  ConfigRevision m_Revision; ///< The highest revision that the instance is known to hold.
  bool operator==(const MemberUpdate &) const = default;
};

/// @brief The message of a gossip exchange. Its size does not depend on the number of instances.
struct Digest {
  InstanceId m_From;
  DomainId m_Domain;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_RefutationNumber = 0;
  bool m_Ready = false; ///< The sender's startup gate is open.
  bool m_Leaving = false;
  ConfigRevision m_Revision;
  InstanceId m_Publisher; ///< The publisher of m_Revision, if known.
  std::vector<RestrictionId> m_Restrictions;
  std::vector<MemberUpdate> m_Updates; ///< At most 8.
  Duration m_HeadReadAge =
      Duration::max(); ///< Age of the most recent head-row read that the sender knows of.
  LamportTime m_Time;
};
/// @return the estimated size of the packed message in bytes
std::size_t wireSize(const Digest &Value);

/// @brief An entry of the platform's instance list.
struct ListedMember {
  InstanceId m_Instance;
  DomainId m_Domain;
  bool m_Leaving = false;
};

/// @brief A member as this instance sees it.
struct Member {
  MemberUpdate m_Update;
  bool m_Listed = false;
  bool m_Ready = false;    ///< Its startup gate was open at its last direct message.
  TimePoint m_LastHeardAt; ///< Time of its last direct message, or of its discovery.
};

/// @brief Action: send m_Digest to m_To and report the reply with replyReceived(); tick() detects a missing
/// reply.
struct ExchangeWith {
  InstanceId m_To;
  Digest m_Digest;
};
/// @brief Action: ask m_Via to probe m_Target; report success with probeSucceeded().
struct ProbeIndirectly {
  InstanceId m_Via;
  InstanceId m_Target;
};
/// @brief Action: fetch the configuration and restrictions from m_From, whose digest has newer ones.
struct FetchFrom {
  InstanceId m_From;
  ConfigRevision m_Since;
};
/// @brief Action: an instance left, restarted, or is suspected. Charges copied to it need another copy.
struct MemberLost {
  InstanceId m_Instance;
  std::uint64_t m_Incarnation = 0; ///< The incarnation that left or failed.
};
using MembershipAction = std::variant<ExchangeWith, ProbeIndirectly, FetchFrom, MemberLost>;
using MembershipActions = std::vector<MembershipAction>;

/// @brief Intervals, timeouts and limits of the membership protocol (design 3.13).
struct MembershipSettings {
  Duration m_ExchangeInterval = std::chrono::seconds(1); ///< Interval between exchanges.
  Duration m_ReplyTimeout = std::chrono::seconds(1);     ///< After this, the peer is probed through others.
  Duration m_ProbeTimeout = std::chrono::seconds(1);     ///< After this, the peer is suspected.
  Duration m_UnlistedTimeout =
      std::chrono::seconds(10);  ///< A peer that is neither listed nor heard from for longer is removed.
  std::size_t m_MaxUpdates = 8;  ///< Maximum number of updates in a digest.
  std::size_t m_PushFanout = 3;  ///< Peers that are sent a change immediately.
  std::size_t m_ProbeRelays = 2; ///< Peers that are asked for an indirect probe.
};

/// @brief One instance's view of the others, maintained by gossip with random peers at constant cost.
class Membership {
public:
  /// @param Self this instance
  /// @param Incarnation increases with each start of the process
  Membership(InstanceId Self, DomainId Domain, std::uint64_t Incarnation, RandomHook Random,
             MembershipSettings Settings = {});

  /// @brief Exchanges with one random peer when due and handles exchanges without a reply. Call at least 10
  /// times a second.
  MembershipActions tick(TimePoint Now);
  /// @brief Applies a digest that a peer sent; the caller replies with digest().
  MembershipActions digestReceived(TimePoint Now, const Digest &From);
  /// @brief Applies the reply to an ExchangeWith.
  MembershipActions replyReceived(TimePoint Now, const Digest &From);
  /// @brief Records a successful indirect probe.
  void probeSucceeded(TimePoint Now, const InstanceId &Target);
  /// @brief Applies the platform's instance list.
  MembershipActions applyInstanceList(TimePoint Now, const std::vector<ListedMember> &List);
  /// @brief Sets the revision and restrictions that this instance holds. A change is pushed to 3
  /// random peers (MembershipSettings::m_PushFanout) and, for a new revision, confirmed to its publisher.
  MembershipActions setHeldRevision(TimePoint Now, ConfigRevision Revision, const InstanceId &Publisher,
                                    const std::vector<RestrictionId> &Restrictions);
  void setReady(bool Ready) { m_Ready = Ready; }
  /// @brief Records a successful read of the head row.
  void headRead(TimePoint Now);
  /// @brief Exchanges with members that have not reported ready, at most 40 per call. A starting instance
  /// calls this once a second: condition (ii) of its startup gate needs every listed instance.
  MembershipActions exchangeWithUnready(TimePoint Now);
  /// @brief Announces to 3 random peers that this instance is leaving.
  MembershipActions leave(TimePoint Now);

  /// @return the digest to send at @p Now
  Digest digest(TimePoint Now);
  /// @return the age of the most recent known head-row read, if any
  std::optional<Duration> headReadAge(TimePoint Now) const;
  /// @return known members that have not left, including suspects
  std::vector<Member> members() const;
  /// @return the confirmed revisions of listed or live members, for Publication::applyConfirmedRevisions()
  std::vector<ConfirmedRevision> confirmedRevisions() const;
  std::optional<Member> find(const InstanceId &Id) const;
  bool isAlive(const InstanceId &Id) const;
  /// @return a random live member of another failure domain; if there is none, of this failure domain
  std::optional<InstanceId> chooseBackup(const std::vector<InstanceId> &Excluded = {});
  /// @return the number of live instances, including this one
  std::size_t liveCount() const;
  /// @return max(1 s, live instances / 200 per second), so that all instances together poll the head row 200
  /// times a second at most (design 3.1)
  Duration headPollInterval() const;
  std::uint64_t incarnation() const { return m_Incarnation; }

private:
  struct PendingExchange {
    TimePoint m_SentAt;
    bool m_Probing = false;
  };
  MembershipActions applyDigest(TimePoint Now, const Digest &From);
  void apply(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions);
  void refute(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions);
  void fetchIfNew(TimePoint Now, const Digest &From, MembershipActions &Actions);
  void suspect(Member &Peer, MembershipActions &Actions);
  void handleMissingReplies(TimePoint Now, MembershipActions &Actions);
  void dropUnlisted(TimePoint Now, MembershipActions &Actions);
  void queueUpdate(const InstanceId &Id);
  std::vector<MemberUpdate> selectUpdates();
  std::vector<InstanceId> randomPeers(std::size_t Count, const std::vector<InstanceId> &Excluded = {});
  void sendDigest(TimePoint Now, const std::vector<InstanceId> &To, MembershipActions &Actions);

  InstanceId m_Self;
  DomainId m_Domain;
  std::uint64_t m_Incarnation;
  RandomHook m_Random;
  MembershipSettings m_Settings;
  bool m_Ready = false;
  bool m_Leaving = false;
  ConfigRevision m_Revision;
  InstanceId m_Publisher;
  std::vector<RestrictionId> m_Restrictions;
  std::map<InstanceId, Member> m_Members;
  std::map<InstanceId, PendingExchange> m_Pending;
  std::deque<std::pair<InstanceId, int>>
      m_RecentUpdates; ///< Changed members, latest first, with the number of digests that included them.
  std::uint64_t m_RefutationNumber = 0;
  ConfigRevision m_FetchRevision; ///< Revision of the pending fetch.
  TimePoint m_FetchStartedAt;
  std::optional<TimePoint> m_LastTickAt;
  std::optional<TimePoint> m_HeadReadAt;
  std::optional<TimePoint> m_NextExchangeAt;
  LamportTime m_Time;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_MEMBERSHIP_H
