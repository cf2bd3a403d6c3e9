#include "bulrushpitch/protocol/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace bulrushpitch {

namespace {

/// A fetch without a result is repeated after this time.
constexpr Duration FetchTimeout = std::chrono::seconds(1);
/// A longer gap between ticks means that this process stood still; unanswered exchanges then say nothing of
/// others.
constexpr Duration OwnPause = std::chrono::seconds(1);
/// Places in a digest that go to recent changes; the others go to random members, so that old news spreads
/// too.
constexpr std::size_t RecentPlaces = 6;
/// Keeps the burst of a starting instance small; 400 instances are asked within 10 s.
constexpr std::size_t AskAtOnce = 40;

bool isNewer(const MemberUpdate &Update, const MemberUpdate &Known) {
  return std::tie(Update.m_Incarnation, Update.m_Beat, Update.m_State) >
         std::tie(Known.m_Incarnation, Known.m_Beat, Known.m_State);
}

} // namespace

std::size_t wireSize(const Digest &Value) {
  // Fixed fields, lengths and the frame of a packed message.
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
  if (m_LastTick && Now - *m_LastTick > OwnPause)
    m_Pending.clear();
  m_LastTick = Now;
  judgePending(Now, Actions);
  dropUnlisted(Now, Actions);
  if (!m_NextExchange)
    m_NextExchange = Now + Duration(static_cast<Duration::rep>(
                               m_Random() % static_cast<std::uint64_t>(m_Settings.m_Period.count())));
  if (Now < *m_NextExchange)
    return Actions;
  m_NextExchange = std::max(*m_NextExchange + m_Settings.m_Period, Now);
  push(Now, randomPeers(1), Actions);
  return Actions;
}

void Membership::judgePending(TimePoint Now, MembershipActions &Actions) {
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    const Duration Waited = Now - Entry->second.m_Since;
    if (!Entry->second.m_Probing && Waited > m_Settings.m_ReplyTimeout) {
      Entry->second.m_Probing = true;
      for (const InstanceId &Via : randomPeers(m_Settings.m_ProbeVia, {Entry->first}))
        Actions.emplace_back(ProbeThrough{Via, Entry->first});
    }
    if (Waited <= m_Settings.m_ReplyTimeout + m_Settings.m_ProbeTimeout) {
      ++Entry;
      continue;
    }
    if (const auto Found = m_Members.find(Entry->first); Found != m_Members.end())
      suspect(Found->second, Actions);
    Entry = m_Pending.erase(Entry);
  }
}

void Membership::suspect(Member &Suspected, MembershipActions &Actions) {
  if (Suspected.m_Update.m_State != MemberState::Alive)
    return;
  Suspected.m_Update.m_State = MemberState::Suspect;
  announce(Suspected.m_Update.m_Instance);
  Actions.emplace_back(MemberGone{Suspected.m_Update.m_Instance, Suspected.m_Update.m_Incarnation});
}

void Membership::dropUnlisted(TimePoint Now, MembershipActions &Actions) {
  for (auto Entry = m_Members.begin(); Entry != m_Members.end();) {
    if (Entry->second.m_Listed || Now - Entry->second.m_HeardAt <= m_Settings.m_UnlistedAfter) {
      ++Entry;
      continue;
    }
    if (Entry->second.m_Update.m_State == MemberState::Alive)
      Actions.emplace_back(MemberGone{Entry->first, Entry->second.m_Update.m_Incarnation});
    m_Pending.erase(Entry->first);
    Entry = m_Members.erase(Entry);
  }
}

MembershipActions Membership::received(TimePoint Now, const Digest &From) { return absorb(Now, From); }
MembershipActions Membership::replied(TimePoint Now, const Digest &From) { return absorb(Now, From); }

MembershipActions Membership::absorb(TimePoint Now, const Digest &From) {
  MembershipActions Actions;
  if (From.m_From == m_Self)
    return Actions;
  m_Time = std::max(m_Time, From.m_Time) + LamportTime(1);
  Member &Sender = m_Members[From.m_From];
  if (From.m_Incarnation < Sender.m_Update.m_Incarnation)
    return Actions; // A message of an earlier process that was under way for long.
  const MemberUpdate Direct{From.m_From,
                            From.m_Domain,
                            From.m_Incarnation,
                            From.m_Beat,
                            From.m_Leaving ? MemberState::Left : MemberState::Alive,
                            From.m_Revision};
  Sender.m_HeardAt = Now;
  Sender.m_Ready = From.m_Ready;
  m_Pending.erase(From.m_From);
  // A direct message outweighs a suspicion of the same beat.
  if (Sender.m_Update.m_State == MemberState::Suspect && Direct.m_State == MemberState::Alive)
    Sender.m_Update.m_State = MemberState::Alive;
  apply(Now, Direct, Actions);
  for (const MemberUpdate &Update : From.m_Updates)
    apply(Now, Update, Actions);
  if (From.m_HeadAge != Duration::max() && (!m_HeadRead || Now - From.m_HeadAge > *m_HeadRead))
    m_HeadRead = Now - From.m_HeadAge;
  fetchIfNew(Now, From, Actions);
  return Actions;
}

void Membership::fetchIfNew(TimePoint Now, const Digest &From, MembershipActions &Actions) {
  const bool NewRestriction =
      std::any_of(From.m_Restrictions.begin(), From.m_Restrictions.end(), [&](const RestrictionId &Id) {
        return std::find(m_Restrictions.begin(), m_Restrictions.end(), Id) == m_Restrictions.end();
      });
  const bool UnderWay = From.m_Revision <= m_FetchRevision && Now - m_FetchAt < FetchTimeout;
  if (!NewRestriction && (From.m_Revision <= m_Revision || UnderWay))
    return;
  m_FetchRevision = std::max(m_FetchRevision, From.m_Revision);
  m_FetchAt = Now;
  Actions.emplace_back(FetchFrom{From.m_From, m_Revision});
}

void Membership::apply(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions) {
  if (Update.m_Instance == m_Self) {
    contradict(Now, Update, Actions);
    return;
  }
  const auto [Entry, IsNew] = m_Members.try_emplace(Update.m_Instance);
  MemberUpdate &Known = Entry->second.m_Update;
  if (IsNew || Known.m_Incarnation == 0) {
    Known = Update;
    Entry->second.m_HeardAt = Now;
    announce(Update.m_Instance);
    return;
  }
  const ConfigRevision Revision = Update.m_Incarnation == Known.m_Incarnation
                                      ? std::max(Known.m_Revision, Update.m_Revision)
                                      : Update.m_Revision;
  const bool RevisionRose = Update.m_Incarnation == Known.m_Incarnation && Revision > Known.m_Revision;
  if (!isNewer(Update, Known)) {
    if (RevisionRose) {
      Known.m_Revision = Revision;
      announce(Update.m_Instance);
    }
    return;
  }
  const bool Gone = Known.m_State == MemberState::Alive &&
                    (Update.m_Incarnation > Known.m_Incarnation || Update.m_State != MemberState::Alive);
  if (Gone)
    Actions.emplace_back(MemberGone{Known.m_Instance, Known.m_Incarnation});
  Known = Update;
  Known.m_Revision = Revision;
  announce(Update.m_Instance);
}

void Membership::contradict(TimePoint Now, const MemberUpdate &Update, MembershipActions &Actions) {
  if (m_Leaving || Update.m_State == MemberState::Alive || Update.m_Incarnation != m_Incarnation ||
      Update.m_Beat < m_Beat)
    return;
  m_Beat = Update.m_Beat + 1;
  push(Now, randomPeers(m_Settings.m_PushTo), Actions);
}

void Membership::probed(TimePoint, const InstanceId &Target) { m_Pending.erase(Target); }

MembershipActions Membership::listed(TimePoint Now, const std::vector<ListedMember> &List) {
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
      Listed.m_HeardAt = Now;
    }
    if (Entry.m_Leaving && Listed.m_Update.m_State == MemberState::Alive) {
      Listed.m_Update.m_State = MemberState::Left;
      Actions.emplace_back(MemberGone{Entry.m_Instance, Listed.m_Update.m_Incarnation});
    }
  }
  return Actions;
}

MembershipActions Membership::holds(TimePoint Now, ConfigRevision Revision, const InstanceId &Publisher,
                                    const std::vector<RestrictionId> &Restrictions) {
  MembershipActions Actions;
  const bool RevisionRose = Revision > m_Revision;
  if (!RevisionRose && Restrictions == m_Restrictions)
    return Actions;
  m_Revision = std::max(Revision, m_Revision);
  m_Restrictions = Restrictions;
  if (RevisionRose)
    m_Publisher = Publisher;
  std::vector<InstanceId> To = randomPeers(m_Settings.m_PushTo, {Publisher});
  if (RevisionRose && m_Members.count(Publisher) != 0)
    To.push_back(Publisher);
  push(Now, To, Actions);
  return Actions;
}

void Membership::headRead(TimePoint Now) { m_HeadRead = Now; }

MembershipActions Membership::askUnheard(TimePoint Now) {
  std::vector<InstanceId> To;
  for (const InstanceId &Peer : randomPeers(m_Members.size()))
    if (!m_Members.at(Peer).m_Ready && To.size() < AskAtOnce)
      To.push_back(Peer);
  MembershipActions Actions;
  push(Now, To, Actions);
  return Actions;
}

MembershipActions Membership::leave(TimePoint Now) {
  m_Leaving = true;
  MembershipActions Actions;
  push(Now, randomPeers(m_Settings.m_PushTo), Actions);
  return Actions;
}

void Membership::push(TimePoint Now, const std::vector<InstanceId> &To, MembershipActions &Actions) {
  for (const InstanceId &Peer : To) {
    m_Pending.try_emplace(Peer, Pending{Now, false});
    Actions.emplace_back(ExchangeWith{Peer, digest(Now)});
  }
}

Digest Membership::digest(TimePoint Now) {
  m_Time += LamportTime(1);
  Digest Made;
  Made.m_From = m_Self;
  Made.m_Domain = m_Domain;
  Made.m_Incarnation = m_Incarnation;
  Made.m_Beat = m_Beat;
  Made.m_Ready = m_Ready;
  Made.m_Leaving = m_Leaving;
  Made.m_Revision = m_Revision;
  Made.m_Publisher = m_Publisher;
  Made.m_Restrictions = m_Restrictions;
  Made.m_Updates = chooseUpdates();
  Made.m_HeadAge = headAge(Now).value_or(Duration::max());
  Made.m_Time = m_Time;
  return Made;
}

std::vector<MemberUpdate> Membership::chooseUpdates() {
  // A change that was told 3 log2(n) times is known to nearly everyone.
  const int TellOften = 3 * static_cast<int>(std::bit_width(m_Members.size() + 1));
  std::vector<MemberUpdate> Chosen;
  for (std::pair<InstanceId, int> &Entry : m_Recent) {
    if (Chosen.size() >= std::min(RecentPlaces, m_Settings.m_Updates))
      break;
    ++Entry.second;
    if (const auto Found = m_Members.find(Entry.first); Found != m_Members.end())
      Chosen.push_back(Found->second.m_Update);
  }
  std::erase_if(m_Recent, [&](const std::pair<InstanceId, int> &Entry) { return Entry.second >= TellOften; });
  for (const InstanceId &Id : randomPeers(m_Settings.m_Updates - Chosen.size())) {
    const MemberUpdate &Update = m_Members.at(Id).m_Update;
    if (Update.m_Incarnation != 0 && std::find(Chosen.begin(), Chosen.end(), Update) == Chosen.end())
      Chosen.push_back(Update);
  }
  return Chosen;
}

void Membership::announce(const InstanceId &Id) {
  std::erase_if(m_Recent, [&](const std::pair<InstanceId, int> &Entry) { return Entry.first == Id; });
  m_Recent.emplace_front(Id, 0);
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

std::optional<Duration> Membership::headAge(TimePoint Now) const {
  if (!m_HeadRead)
    return std::nullopt;
  return Now - *m_HeadRead;
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
  for (const Member &One : members())
    if (One.m_Listed || One.m_Update.m_State == MemberState::Alive)
      Found.push_back({One.m_Update.m_Instance, One.m_Update.m_Domain, One.m_Update.m_Revision});
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
  std::vector<InstanceId> Other;
  std::vector<InstanceId> Same;
  for (const std::pair<const InstanceId, Member> &Entry : m_Members) {
    const MemberUpdate &Update = Entry.second.m_Update;
    // Incarnation 0: listed but never heard of by a peer.
    if (Update.m_State != MemberState::Alive || Update.m_Incarnation == 0 ||
        std::find(Excluded.begin(), Excluded.end(), Entry.first) != Excluded.end())
      continue;
    (Update.m_Domain == m_Domain ? Same : Other).push_back(Entry.first);
  }
  const std::vector<InstanceId> &Choice = Other.empty() ? Same : Other;
  if (Choice.empty())
    return std::nullopt;
  return Choice[m_Random() % Choice.size()];
}

std::size_t Membership::liveCount() const {
  std::size_t Count = 1;
  for (const std::pair<const InstanceId, Member> &Entry : m_Members)
    Count += Entry.second.m_Update.m_State == MemberState::Alive ? 1 : 0;
  return Count;
}

Duration Membership::headPollInterval() const {
  const Duration Shared =
      std::chrono::duration_cast<Duration>(std::chrono::milliseconds(5 * liveCount())); // 200 reads/s
  return std::max<Duration>(std::chrono::seconds(1), Shared);
}

} // namespace bulrushpitch
