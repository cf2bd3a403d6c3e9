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

/// @brief What one instance says of another.
struct MemberUpdate {
  InstanceId m_Instance;
  DomainId m_Domain;
  std::uint64_t m_Incarnation = 0; ///< Rises with each start of the process.
  std::uint64_t m_Beat = 0;        ///< Rises when the instance contradicts a suspicion.
  MemberState m_State = MemberState::Alive;
  ConfigRevision m_Revision; ///< The highest that the instance is known to hold.
  bool operator==(const MemberUpdate &) const = default;
};

/// @brief The content of an exchange between daemons. Its size does not depend on the number of instances.
struct Digest {
  InstanceId m_From;
  DomainId m_Domain;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Beat = 0;
  bool m_Ready = false; ///< The sender's startup gate is open.
  bool m_Leaving = false;
  ConfigRevision m_Revision;
  InstanceId m_Publisher; ///< Of m_Revision, if known.
  std::vector<RestrictionId> m_Restrictions;
  std::vector<MemberUpdate> m_Updates;  ///< At most 8.
  Duration m_HeadAge = Duration::max(); ///< Age of the newest head-row read the sender knows of.
  LamportTime m_Time;
};
/// @return the size of the digest as a message, in bytes (an estimate of the packed encoding)
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
  bool m_Ready = false; ///< Its startup gate was open when it was last heard directly.
  TimePoint m_HeardAt;  ///< Last direct message.
};

/// @brief Action: send m_Digest to m_To and report the reply with replied() or its absence with tick().
struct ExchangeWith {
  InstanceId m_To;
  Digest m_Digest;
};
/// @brief Action: ask m_Via to probe m_Target; report a success with probed().
struct ProbeThrough {
  InstanceId m_Via;
  InstanceId m_Target;
};
/// @brief Action: fetch the configuration and restrictions from m_From, which announced something new.
struct FetchFrom {
  InstanceId m_From;
  ConfigRevision m_Since;
};
/// @brief Action: an instance left, restarted, or is suspected. Charges copied there need another copy.
struct MemberGone {
  InstanceId m_Instance;
  std::uint64_t m_Incarnation = 0; ///< The incarnation that is gone.
};
using MembershipAction = std::variant<ExchangeWith, ProbeThrough, FetchFrom, MemberGone>;
using MembershipActions = std::vector<MembershipAction>;

/// @brief Membership intervals and bounds (design 3.13).
struct MembershipSettings {
  Duration m_Period = std::chrono::seconds(1);       ///< Between exchanges.
  Duration m_ReplyTimeout = std::chrono::seconds(1); ///< Then the peer is probed through others.
  Duration m_ProbeTimeout = std::chrono::seconds(1); ///< Then it is suspected.
  Duration m_UnlistedAfter =
      std::chrono::seconds(10); ///< A peer that is neither listed nor heard is dropped.
  std::size_t m_Updates = 8;
  std::size_t m_PushTo = 3;
  std::size_t m_ProbeVia = 2;
};

/// @brief One instance's view of the others, kept by random exchanges of constant cost.
class Membership {
public:
  /// @param Self this instance
  /// @param Incarnation rises with each start of the process
  Membership(InstanceId Self, DomainId Domain, std::uint64_t Incarnation, RandomHook Random,
             MembershipSettings Settings = {});

  /// @brief Exchanges with one random peer when due and judges unanswered exchanges. Call at least 10 times a
  /// second.
  MembershipActions tick(TimePoint Now);
  /// @brief Takes a digest that a peer sent; the caller answers with digest().
  MembershipActions received(TimePoint Now, const Digest &From);
  /// @brief Takes the reply to an ExchangeWith.
  MembershipActions replied(TimePoint Now, const Digest &From);
  /// @brief Takes a successful indirect probe.
  void probed(TimePoint Now, const InstanceId &Target);
  /// @brief Takes the platform's list.
  MembershipActions listed(TimePoint Now, const std::vector<ListedMember> &List);
  /// @brief Takes what this instance holds; a change is pushed to 3 random peers and, for a new revision,
  /// confirmed to its publisher.
  MembershipActions holds(TimePoint Now, ConfigRevision Revision, const InstanceId &Publisher,
                          const std::vector<RestrictionId> &Restrictions);
  void setReady(bool Ready) { m_Ready = Ready; }
  /// @brief Takes a successful read of the head row.
  void headRead(TimePoint Now);
  /// @brief Exchanges with members that were not heard as ready, at most 40 of them. A starting instance
  /// calls this each second: condition (ii) of its startup gate needs every listed instance.
  MembershipActions askUnheard(TimePoint Now);
  /// @brief Tells 3 random peers that this instance leaves.
  MembershipActions leave(TimePoint Now);

  /// @return the digest to send now
  Digest digest(TimePoint Now);
  /// @return the age of the newest head-row read known, if any
  std::optional<Duration> headAge(TimePoint Now) const;
  /// @return members that are listed or heard and have not left, suspects included
  std::vector<Member> members() const;
  /// @return the live members' confirmed revisions, for Publication::confirmed()
  std::vector<ConfirmedRevision> confirmedRevisions() const;
  std::optional<Member> find(const InstanceId &Id) const;
  bool isAlive(const InstanceId &Id) const;
  /// @return a random live member of another domain; if there is none, of this domain
  std::optional<InstanceId> chooseBackup(const std::vector<InstanceId> &Excluded = {});
  /// @return live instances and this one
  std::size_t liveCount() const;
  /// @return max(1 s, live instances / 200 per second) (design 3.1)
  Duration headPollInterval() const;
  std::uint64_t incarnation() const { return m_Incarnation; }

private:
  struct Pending {
    TimePoint m_Since;
    bool m_Probing = false;
  };
  MembershipActions absorb(TimePoint Now, const Digest &From);
  void apply(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions);
  void contradict(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions);
  void fetchIfNew(TimePoint Now, const Digest &From, MembershipActions &Actions);
  void suspect(Member &Suspected, MembershipActions &Actions);
  void judgePending(TimePoint Now, MembershipActions &Actions);
  void dropUnlisted(TimePoint Now, MembershipActions &Actions);
  void announce(const InstanceId &Id);
  std::vector<MemberUpdate> chooseUpdates();
  std::vector<InstanceId> randomPeers(std::size_t Count, const std::vector<InstanceId> &Excluded = {});
  void push(TimePoint Now, const std::vector<InstanceId> &To, MembershipActions &Actions);

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
  std::map<InstanceId, Pending> m_Pending;
  std::deque<std::pair<InstanceId, int>> m_Recent; ///< Changed members, the newest first, and how often told.
  std::uint64_t m_Beat = 0;
  ConfigRevision m_FetchRevision; ///< Of the fetch under way.
  TimePoint m_FetchAt;
  std::optional<TimePoint> m_LastTick;
  std::optional<TimePoint> m_HeadRead;
  std::optional<TimePoint> m_NextExchange;
  LamportTime m_Time;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_MEMBERSHIP_H
