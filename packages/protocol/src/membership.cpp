#include "bulrushpitch/protocol/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace bulrushpitch {

namespace {

/// A fetch without a result may be repeated after this time.
constexpr Duration FetchTimeout = std::chrono::seconds(1);
/// A longer gap between ticks means that this process was paused; missing replies are then no evidence
/// against the peers.
constexpr Duration OwnPauseThreshold = std::chrono::seconds(1);
/// Maximum number of recent changes in a digest; the rest are updates of random members, so that older
/// changes spread as well.
constexpr std::size_t MaxRecentUpdates = 6;
/// Limits the burst of a starting instance; at one call a second, 400 instances are contacted within 10 s.
constexpr std::size_t MaxUnreadyExchanges = 40;

bool isNewer(const MemberUpdate &Update, const MemberUpdate &Current) {
  return std::tie(Update.m_Incarnation, Update.m_RefutationNumber, Update.m_State) >
         std::tie(Current.m_Incarnation, Current.m_RefutationNumber, Current.m_State);
}

} // namespace

std::size_t wireSize(const Digest &Value) {
  // 96 bytes for the fixed fields, lengths and framing of a packed message.
  std::size_t Size =
      96 + Value.m_From.value().size() + Value.m_Domain.value().size() + Value.m_Publisher.value().size();
  for (const RestrictionId &Id : Value.m_Restrictions)
    Size += 8 + Id.value().size();
  for (const MemberUpdate &Update : Value.m_Updates)
    Size += 32 + Update.m_Instance.value().size() + Update.m_Domain.value().size();
  return Size;
}

Membership::Membership(InstanceId Self, DomainId Domain, std::uint64_t Incarnation, RandomHook Random,
                       MembershipSettings Settings)
    : m_Self(std::move(Self)), m_Domain(std::move(Domain)), m_Incarnation(Incarnation),
      m_Random(std::move(Random)), m_Settings(Settings) {}

MembershipActions Membership::tick(TimePoint Now) {
  MembershipActions Actions;
  if (m_LastTickAt && Now - *m_LastTickAt > OwnPauseThreshold)
    m_Pending.clear();
  m_LastTickAt = Now;
  handleMissingReplies(Now, Actions);
  dropUnlisted(Now, Actions);
  if (!m_NextExchangeAt)
    m_NextExchangeAt =
        Now + Duration(static_cast<Duration::rep>(
                  m_Random() % static_cast<std::uint64_t>(m_Settings.m_ExchangeInterval.count())));
  if (Now < *m_NextExchangeAt)
    return Actions;
  m_NextExchangeAt = std::max(*m_NextExchangeAt + m_Settings.m_ExchangeInterval, Now);
  sendDigest(Now, randomPeers(1), Actions);
  return Actions;
}

void Membership::handleMissingReplies(TimePoint Now, MembershipActions &Actions) {
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    const Duration Elapsed = Now - Entry->second.m_SentAt;
    if (!Entry->second.m_Probing && Elapsed > m_Settings.m_ReplyTimeout) {
      Entry->second.m_Probing = true;
      for (const InstanceId &Via : randomPeers(m_Settings.m_ProbeRelays, {Entry->first}))
        Actions.emplace_back(ProbeIndirectly{Via, Entry->first});
    }
    if (Elapsed <= m_Settings.m_ReplyTimeout + m_Settings.m_ProbeTimeout) {
      ++Entry;
      continue;
    }
    if (const auto Found = m_Members.find(Entry->first); Found != m_Members.end())
      suspect(Found->second, Actions);
    Entry = m_Pending.erase(Entry);
  }
}

void Membership::suspect(Member &Peer, MembershipActions &Actions) {
  if (Peer.m_Update.m_State != MemberState::Alive)
    return;
  Peer.m_Update.m_State = MemberState::Suspect;
  queueUpdate(Peer.m_Update.m_Instance);
  Actions.emplace_back(MemberLost{Peer.m_Update.m_Instance, Peer.m_Update.m_Incarnation});
}

void Membership::dropUnlisted(TimePoint Now, MembershipActions &Actions) {
  for (auto Entry = m_Members.begin(); Entry != m_Members.end();) {
    if (Entry->second.m_Listed || Now - Entry->second.m_LastHeardAt <= m_Settings.m_UnlistedTimeout) {
      ++Entry;
      continue;
    }
    if (Entry->second.m_Update.m_State == MemberState::Alive)
      Actions.emplace_back(MemberLost{Entry->first, Entry->second.m_Update.m_Incarnation});
    m_Pending.erase(Entry->first);
    Entry = m_Members.erase(Entry);
  }
}

MembershipActions Membership::digestReceived(TimePoint Now, const Digest &From) {
  return applyDigest(Now, From);
}
MembershipActions Membership::replyReceived(TimePoint Now, const Digest &From) {
  return applyDigest(Now, From);
}

MembershipActions Membership::applyDigest(TimePoint Now, const Digest &From) {
  MembershipActions Actions;
  if (From.m_From == m_Self)
    return Actions;
  m_Time = std::max(m_Time, From.m_Time) + LamportTime(1);
  Member &Sender = m_Members[From.m_From];
  if (From.m_Incarnation < Sender.m_Update.m_Incarnation)
    return Actions; // A delayed message of an earlier process.
  const MemberUpdate SenderUpdate{From.m_From,
                                  From.m_Domain,
                                  From.m_Incarnation,
                                  From.m_RefutationNumber,
                                  From.m_Leaving ? MemberState::Left : MemberState::Alive,
                                  From.m_Revision};
  Sender.m_LastHeardAt = Now;
  Sender.m_Ready = From.m_Ready;
  m_Pending.erase(From.m_From);
  // A direct message overrides a suspicion with the same m_RefutationNumber.
  if (Sender.m_Update.m_State == MemberState::Suspect && SenderUpdate.m_State == MemberState::Alive)
    Sender.m_Update.m_State = MemberState::Alive;
  apply(Now, SenderUpdate, Actions);
  for (const MemberUpdate &Update : From.m_Updates)
    apply(Now, Update, Actions);
  if (From.m_HeadReadAge != Duration::max() && (!m_HeadReadAt || Now - From.m_HeadReadAge > *m_HeadReadAt))
    m_HeadReadAt = Now - From.m_HeadReadAge;
  fetchIfNew(Now, From, Actions);
  return Actions;
}

void Membership::fetchIfNew(TimePoint Now, const Digest &From, MembershipActions &Actions) {
  const bool NewRestriction =
      std::any_of(From.m_Restrictions.begin(), From.m_Restrictions.end(), [&](const RestrictionId &Id) {
        return std::find(m_Restrictions.begin(), m_Restrictions.end(), Id) == m_Restrictions.end();
      });
  const bool IsPending = From.m_Revision <= m_FetchRevision && Now - m_FetchStartedAt < FetchTimeout;
  if (!NewRestriction && (From.m_Revision <= m_Revision || IsPending))
    return;
  m_FetchRevision = std::max(m_FetchRevision, From.m_Revision);
  m_FetchStartedAt = Now;
  Actions.emplace_back(FetchFrom{From.m_From, m_Revision});
}

void Membership::apply(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions) {
  if (Update.m_Instance == m_Self) {
    refute(Now, Update, Actions);
    return;
  }
  const auto [Entry, IsNew] = m_Members.try_emplace(Update.m_Instance);
  MemberUpdate &Current = Entry->second.m_Update;
  if (IsNew || Current.m_Incarnation == 0) {
    Current = Update;
    Entry->second.m_LastHeardAt = Now;
    queueUpdate(Update.m_Instance);
    return;
  }
  const ConfigRevision Revision = Update.m_Incarnation == Current.m_Incarnation
                                      ? std::max(Current.m_Revision, Update.m_Revision)
                                      : Update.m_Revision;
  const bool IsNewRevision = Update.m_Incarnation == Current.m_Incarnation && Revision > Current.m_Revision;
  if (!isNewer(Update, Current)) {
    if (IsNewRevision) {
      Current.m_Revision = Revision;
      queueUpdate(Update.m_Instance);
    }
    return;
  }
  const bool IsGone = Current.m_State == MemberState::Alive &&
                      (Update.m_Incarnation > Current.m_Incarnation || Update.m_State != MemberState::Alive);
  if (IsGone)
    Actions.emplace_back(MemberLost{Current.m_Instance, Current.m_Incarnation});
  Current = Update;
  Current.m_Revision = Revision;
  queueUpdate(Update.m_Instance);
}

void Membership::refute(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions) {
  if (m_Leaving || Update.m_State == MemberState::Alive || Update.m_Incarnation != m_Incarnation ||
      Update.m_RefutationNumber < m_RefutationNumber)
    return;
  m_RefutationNumber = Update.m_RefutationNumber + 1;
  sendDigest(Now, randomPeers(m_Settings.m_PushFanout), Actions);
}

void Membership::probeSucceeded(TimePoint, const InstanceId &Target) { m_Pending.erase(Target); }

MembershipActions Membership::applyInstanceList(TimePoint Now, const std::vector<ListedMember> &List) {
  MembershipActions Actions;
  for (std::pair<const InstanceId, Member> &Entry : m_Members)
    Entry.second.m_Listed = false;
  for (const ListedMember &Entry : List) {
    if (Entry.m_Instance == m_Self)
      continue;
    const auto [Found, IsNew] = m_Members.try_emplace(Entry.m_Instance);
    Member &Listed = Found->second;
    Listed.m_Listed = true;
    if (IsNew) {
      Listed.m_Update.m_Instance = Entry.m_Instance;
      Listed.m_Update.m_Domain = Entry.m_Domain;
      Listed.m_LastHeardAt = Now;
    }
    if (Entry.m_Leaving && Listed.m_Update.m_State == MemberState::Alive) {
      Listed.m_Update.m_State = MemberState::Left;
      Actions.emplace_back(MemberLost{Entry.m_Instance, Listed.m_Update.m_Incarnation});
    }
  }
  return Actions;
}

MembershipActions Membership::setHeldRevision(TimePoint Now, ConfigRevision Revision,
                                              const InstanceId &Publisher,
                                              const std::vector<RestrictionId> &Restrictions) {
  MembershipActions Actions;
  const bool IsNewRevision = Revision > m_Revision;
  if (!IsNewRevision && Restrictions == m_Restrictions)
    return Actions;
  m_Revision = std::max(Revision, m_Revision);
  m_Restrictions = Restrictions;
  if (IsNewRevision)
    m_Publisher = Publisher;
  std::vector<InstanceId> To = randomPeers(m_Settings.m_PushFanout, {Publisher});
  if (IsNewRevision && m_Members.count(Publisher) != 0)
    To.push_back(Publisher);
  sendDigest(Now, To, Actions);
  return Actions;
}

void Membership::headRead(TimePoint Now) { m_HeadReadAt = Now; }

MembershipActions Membership::exchangeWithUnready(TimePoint Now) {
  std::vector<InstanceId> To;
  for (const InstanceId &Peer : randomPeers(m_Members.size()))
    if (!m_Members.at(Peer).m_Ready && To.size() < MaxUnreadyExchanges)
      To.push_back(Peer);
  MembershipActions Actions;
  sendDigest(Now, To, Actions);
  return Actions;
}

MembershipActions Membership::leave(TimePoint Now) {
  m_Leaving = true;
  MembershipActions Actions;
  sendDigest(Now, randomPeers(m_Settings.m_PushFanout), Actions);
  return Actions;
}

void Membership::sendDigest(TimePoint Now, const std::vector<InstanceId> &To, MembershipActions &Actions) {
  for (const InstanceId &Peer : To) {
    m_Pending.try_emplace(Peer, PendingExchange{Now, false});
    Actions.emplace_back(ExchangeWith{Peer, digest(Now)});
  }
}

Digest Membership::digest(TimePoint Now) {
  m_Time += LamportTime(1);
  Digest Result;
  Result.m_From = m_Self;
  Result.m_Domain = m_Domain;
  Result.m_Incarnation = m_Incarnation;
  Result.m_RefutationNumber = m_RefutationNumber;
  Result.m_Ready = m_Ready;
  Result.m_Leaving = m_Leaving;
  Result.m_Revision = m_Revision;
  Result.m_Publisher = m_Publisher;
  Result.m_Restrictions = m_Restrictions;
  Result.m_Updates = selectUpdates();
  Result.m_HeadReadAge = headReadAge(Now).value_or(Duration::max());
  Result.m_Time = m_Time;
  return Result;
}

std::vector<MemberUpdate> Membership::selectUpdates() {
  // After 3 log2(n) transmissions a change has reached nearly all members.
  const int MaxSends = 3 * static_cast<int>(std::bit_width(m_Members.size() + 1));
  std::vector<MemberUpdate> Chosen;
  for (std::pair<InstanceId, int> &Entry : m_RecentUpdates) {
    if (Chosen.size() >= std::min(MaxRecentUpdates, m_Settings.m_MaxUpdates))
      break;
    ++Entry.second;
    if (const auto Found = m_Members.find(Entry.first); Found != m_Members.end())
      Chosen.push_back(Found->second.m_Update);
  }
  std::erase_if(m_RecentUpdates,
                [&](const std::pair<InstanceId, int> &Entry) { return Entry.second >= MaxSends; });
  for (const InstanceId &Id : randomPeers(m_Settings.m_MaxUpdates - Chosen.size())) {
    const MemberUpdate &Update = m_Members.at(Id).m_Update;
    if (Update.m_Incarnation != 0 && std::find(Chosen.begin(), Chosen.end(), Update) == Chosen.end())
      Chosen.push_back(Update);
  }
  return Chosen;
}

void Membership::queueUpdate(const InstanceId &Id) {
  std::erase_if(m_RecentUpdates, [&](const std::pair<InstanceId, int> &Entry) { return Entry.first == Id; });
  m_RecentUpdates.emplace_front(Id, 0);
}

std::vector<InstanceId> Membership::randomPeers(std::size_t Count, const std::vector<InstanceId> &Excluded) {
  std::vector<const InstanceId *> Peers;
  Peers.reserve(m_Members.size());
  for (const std::pair<const InstanceId, Member> &Entry : m_Members)
    if (Entry.second.m_Update.m_State != MemberState::Left &&
        std::find(Excluded.begin(), Excluded.end(), Entry.first) == Excluded.end())
      Peers.push_back(&Entry.first);
  std::vector<InstanceId> Chosen;
  for (std::size_t Index = 0; Index < std::min(Count, Peers.size()); ++Index) {
    std::swap(Peers[Index], Peers[Index + m_Random() % (Peers.size() - Index)]);
    Chosen.push_back(*Peers[Index]);
  }
  return Chosen;
}

std::optional<Duration> Membership::headReadAge(TimePoint Now) const {
  if (!m_HeadReadAt)
    return std::nullopt;
  return Now - *m_HeadReadAt;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Found;
  Found.reserve(m_Members.size());
  for (const std::pair<const InstanceId, Member> &Entry : m_Members)
    if (Entry.second.m_Update.m_State != MemberState::Left)
      Found.push_back(Entry.second);
  return Found;
}

std::vector<ConfirmedRevision> Membership::confirmedRevisions() const {
  std::vector<ConfirmedRevision> Found;
  for (const Member &Peer : members())
    if (Peer.m_Listed || Peer.m_Update.m_State == MemberState::Alive)
      Found.push_back({Peer.m_Update.m_Instance, Peer.m_Update.m_Domain, Peer.m_Update.m_Revision});
  return Found;
}

std::optional<Member> Membership::find(const InstanceId &Id) const {
  const std::map<InstanceId, Member>::const_iterator Found = m_Members.find(Id);
  return Found == m_Members.end() ? std::nullopt : std::optional<Member>(Found->second);
}

bool Membership::isAlive(const InstanceId &Id) const {
  const std::optional<Member> Found = find(Id);
  return Found && Found->m_Update.m_State == MemberState::Alive;
}

std::optional<InstanceId> Membership::chooseBackup(const std::vector<InstanceId> &Excluded) {
  std::vector<InstanceId> OtherDomain;
  std::vector<InstanceId> SameDomain;
  for (const std::pair<const InstanceId, Member> &Entry : m_Members) {
    const MemberUpdate &Update = Entry.second.m_Update;
    // Incarnation 0: listed, but no peer has reported it yet.
    if (Update.m_State != MemberState::Alive || Update.m_Incarnation == 0 ||
        std::find(Excluded.begin(), Excluded.end(), Entry.first) != Excluded.end())
      continue;
    (Update.m_Domain == m_Domain ? SameDomain : OtherDomain).push_back(Entry.first);
  }
  const std::vector<InstanceId> &Choices = OtherDomain.empty() ? SameDomain : OtherDomain;
  if (Choices.empty())
    return std::nullopt;
  return Choices[m_Random() % Choices.size()];
}

std::size_t Membership::liveCount() const {
  std::size_t Count = 1;
  for (const std::pair<const InstanceId, Member> &Entry : m_Members)
    Count += Entry.second.m_Update.m_State == MemberState::Alive ? 1 : 0;
  return Count;
}

Duration Membership::headPollInterval() const {
  const Duration IntervalForSharedRate =
      std::chrono::duration_cast<Duration>(std::chrono::milliseconds(5 * liveCount())); // 200 reads/s
  return std::max<Duration>(std::chrono::seconds(1), IntervalForSharedRate);
}

} // namespace bulrushpitch
