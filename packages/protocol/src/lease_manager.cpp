#include "bulrushpitch/protocol/lease_manager.h"

#include "bulrushpitch/core/hash.h"
#include "detail/json_row.h"
#include "detail/lifecycle.h"

#include <algorithm>
#include <boost/mpl/vector.hpp>
#include <map>
#include <utility>

namespace bulrushpitch {

namespace {

using nlohmann::json;

struct TryAcquire {};
struct Acquired {};
struct Lost {};

struct LeaseLifecycle : detail::Lifecycle<LeaseLifecycle, LeaseState> {
  struct Watching : detail::NamedState<LeaseState::Watching> {};
  struct Acquiring : detail::NamedState<LeaseState::Acquiring> {};
  struct Held : detail::NamedState<LeaseState::Held> {};
  using initial_state = Watching;
  struct transition_table : boost::mpl::vector<detail::Transition<Watching, TryAcquire, Acquiring>,
                                               detail::Transition<Acquiring, Acquired, Held>,
                                               detail::Transition<Acquiring, Lost, Watching>,
                                               detail::Transition<Held, Lost, Watching>> {};
};

/// What this instance knows of one shard's lease.
struct Shard {
  Shard() { m_Lifecycle.start(); }
  LeaseState state() const { return m_Lifecycle.m_State; }
  bool isHeld(TimePoint Now) const { return state() == LeaseState::Held && Now < m_Until; }

  boost::msm::back::state_machine<LeaseLifecycle> m_Lifecycle;
  std::vector<InstanceId> m_Candidates;
  std::optional<std::size_t> m_Rank; ///< In the rendezvous order; empty if not a candidate.
  std::optional<LeaseRow> m_Row;     ///< As last read; empty if absent.
  std::uint64_t m_RowVersion = 0;
  std::optional<TimePoint> m_ReadAt;
  TimePoint m_SeenAt; ///< When the present row version was first read.
  TimePoint m_NextRead;
  std::uint64_t m_ReadToken = 0;
  std::uint64_t m_WriteToken = 0;
  TimePoint m_WriteSentAt;
  LeaseRow m_Writing;
  TimePoint m_Until;
  TimePoint m_NextRenew;
  TimePoint m_GrantFrom;
  TimePoint m_OrderFrom;
};

} // namespace

ShardId shardOf(const DomainId &Domain, const UpstreamId &Upstream) {
  return ShardId{Domain, static_cast<std::uint32_t>(stableHash(Upstream.value()) % ShardsPerDomain)};
}

std::string leaseKey(const ShardId &Shard) {
  return "lease/" + Shard.m_Domain.value() + "/" + std::to_string(Shard.m_Shard);
}

std::string encodeLease(const LeaseRow &Row) {
  return json{{"holder", Row.m_Holder.value()},
              {"incarnation", Row.m_Incarnation},
              {"fencing", Row.m_Fencing.value()},
              {"renewal", Row.m_Renewal},
              {"released", Row.m_Released}}
      .dump();
}

Expected<LeaseRow> decodeLease(const std::string &Value) {
  return detail::decodeRow(Value, "lease row", [](const json &From) {
    return LeaseRow{InstanceId(From.at("holder").get<std::string>()),
                    From.at("incarnation").get<std::uint64_t>(),
                    FencingNumber(From.at("fencing").get<std::uint64_t>()),
                    From.at("renewal").get<std::uint64_t>(), From.at("released").get<bool>()};
  });
}

struct LeaseManager::Impl {
  Shard *find(const ShardId &Id) {
    const auto Found = m_Shards.find(Id);
    return Found == m_Shards.end() ? nullptr : &Found->second;
  }
  bool isOwn(const LeaseRow &Row) const {
    return Row.m_Holder == m_Self && Row.m_Incarnation == m_Incarnation;
  }
  void read(const ShardId &Id, Shard &Of, LeaseActions &Actions) {
    Of.m_ReadToken = m_NextToken++;
    Actions.emplace_back(ReadRow{Of.m_ReadToken, leaseKey(Id)});
  }
  void write(TimePoint Now, const ShardId &Id, Shard &Of, const LeaseRow &Row, LeaseActions &Actions) {
    Of.m_WriteToken = m_NextToken++;
    Of.m_WriteSentAt = Now;
    Of.m_Writing = Row;
    Actions.emplace_back(
        CommitRows{Of.m_WriteToken,
                   {TableWrite{leaseKey(Id), encodeLease(Row),
                               Of.m_RowVersion == 0 ? TableCondition::Absent : TableCondition::Version,
                               Of.m_RowVersion}}});
  }
  void lose(const ShardId &Id, Shard &Of, LeaseActions &Actions) {
    const bool WasHeld = Of.state() == LeaseState::Held;
    Of.m_Lifecycle.process_event(Lost{});
    Of.m_NextRead = TimePoint();
    if (WasHeld)
      Actions.emplace_back(LeaseLost{Id});
  }
  void win(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions) {
    Of.m_Lifecycle.process_event(Acquired{});
    extend(Of);
    // The row was unchanged for a lease length, so the earlier holder's lease has ended; its permits last for
    // up to their whole lifetime from then.
    Of.m_GrantFrom = Now + m_Settings.m_PermitTtl + m_Settings.m_Margin;
    Of.m_OrderFrom = Now + m_Settings.m_Length;
    Actions.emplace_back(LeaseWon{Id, Of.m_Row->m_Fencing, Of.m_GrantFrom});
  }
  /// The lease counts from when the write was sent: the store may have applied it at any time after that.
  void extend(Shard &Of) {
    Of.m_Until = Of.m_WriteSentAt + m_Settings.m_Length;
    Of.m_NextRenew = Of.m_WriteSentAt + m_Settings.m_Renew;
  }
  void takeRow(TimePoint Now, Shard &Of, std::optional<LeaseRow> Row, std::uint64_t Version) {
    if (!Of.m_ReadAt || Version != Of.m_RowVersion)
      Of.m_SeenAt = Now;
    Of.m_ReadAt = Now;
    Of.m_Row = std::move(Row);
    Of.m_RowVersion = Version;
  }
  bool mayTake(TimePoint Now, const Shard &Of) const {
    const Duration Turn = m_Settings.m_Stagger * static_cast<Duration::rep>(*Of.m_Rank);
    if (!Of.m_Row || Of.m_Row->m_Released)
      return Now - Of.m_SeenAt >= Turn;
    if (isOwn(*Of.m_Row))
      return true; // Written by this process, which does not use that lease any more.
    return Now - Of.m_SeenAt >= m_Settings.m_Length + m_Settings.m_Margin + Turn;
  }
  /// A place far down the order reads the row less often: all candidates together make few reads.
  Duration readInterval(const Shard &Of) const {
    return std::chrono::milliseconds(1'000 + 500 * static_cast<std::int64_t>(*Of.m_Rank));
  }
  void tick(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions);
  void judgeRow(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions);
  void release(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions);

  InstanceId m_Self;
  std::uint64_t m_Incarnation = 0;
  LeaseSettings m_Settings;
  std::map<ShardId, Shard> m_Shards;
  std::uint64_t m_NextToken = 1;
};

void LeaseManager::Impl::tick(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions) {
  if (Of.state() == LeaseState::Held && Now >= Of.m_Until)
    lose(Id, Of, Actions);
  if (Of.m_WriteToken != 0 || Of.m_ReadToken != 0)
    return;
  if (Of.state() == LeaseState::Held && Now >= Of.m_NextRenew) {
    LeaseRow Next = *Of.m_Row;
    ++Next.m_Renewal;
    write(Now, Id, Of, Next, Actions);
  } else if (Of.state() == LeaseState::Watching && Of.m_Rank && Now >= Of.m_NextRead) {
    Of.m_NextRead = Now + readInterval(Of);
    read(Id, Of, Actions);
  }
}

/// Decides what to do after the row was read.
void LeaseManager::Impl::judgeRow(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions) {
  const bool Landed = Of.m_Row && *Of.m_Row == Of.m_Writing;
  if (Of.state() == LeaseState::Acquiring) {
    if (Landed && Now < Of.m_WriteSentAt + m_Settings.m_Length)
      win(Now, Id, Of, Actions);
    else
      lose(Id, Of, Actions);
    return;
  }
  if (Of.state() == LeaseState::Held) {
    if (!Of.m_Row || !isOwn(*Of.m_Row) || Of.m_Row->m_Released)
      lose(Id, Of, Actions);
    else if (Landed)
      extend(Of);
    else
      Of.m_NextRenew = Now;
    return;
  }
  if (!Of.m_Rank || !mayTake(Now, Of) || Of.m_WriteToken != 0)
    return;
  const FencingNumber Last = Of.m_Row ? Of.m_Row->m_Fencing : FencingNumber();
  Of.m_Lifecycle.process_event(TryAcquire{});
  write(Now, Id, Of, LeaseRow{m_Self, m_Incarnation, Last + FencingNumber(1), 0, false}, Actions);
}

void LeaseManager::Impl::release(TimePoint Now, const ShardId &Id, Shard &Of, LeaseActions &Actions) {
  if (Of.state() == LeaseState::Held) {
    LeaseRow Row = *Of.m_Row;
    Row.m_Released = true;
    write(Now, Id, Of, Row, Actions);
  }
  lose(Id, Of, Actions);
}

LeaseManager::LeaseManager(InstanceId Self, std::uint64_t Incarnation, LeaseSettings Settings)
    : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Self = std::move(Self);
  m_Impl->m_Incarnation = Incarnation;
  m_Impl->m_Settings = Settings;
}
LeaseManager::~LeaseManager() = default;
LeaseManager::LeaseManager(LeaseManager &&) noexcept = default;
LeaseManager &LeaseManager::operator=(LeaseManager &&) noexcept = default;

LeaseActions LeaseManager::candidates(TimePoint Now, const ShardId &Id,
                                      const std::vector<InstanceId> &Candidates) {
  LeaseActions Actions;
  Shard &Of = m_Impl->m_Shards[Id];
  if (Of.m_Candidates == Candidates)
    return Actions;
  Of.m_Candidates = Candidates;
  std::vector<std::string> Names;
  Names.reserve(Candidates.size());
  for (const InstanceId &One : Candidates)
    Names.push_back(One.value());
  Names = rendezvousOrder(leaseKey(Id), std::move(Names));
  const auto Own = std::find(Names.begin(), Names.end(), m_Impl->m_Self.value());
  Of.m_Rank.reset();
  if (Own != Names.end())
    Of.m_Rank = static_cast<std::size_t>(Own - Names.begin());
  else
    m_Impl->release(Now, Id, Of, Actions);
  return Actions;
}

LeaseActions LeaseManager::tick(TimePoint Now) {
  LeaseActions Actions;
  for (std::pair<const ShardId, Shard> &Entry : m_Impl->m_Shards)
    m_Impl->tick(Now, Entry.first, Entry.second, Actions);
  return Actions;
}

LeaseActions LeaseManager::rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome) {
  LeaseActions Actions;
  for (std::pair<const ShardId, Shard> &Entry : m_Impl->m_Shards) {
    Shard &Of = Entry.second;
    if (Token == 0 || Of.m_ReadToken != Token)
      continue;
    Of.m_ReadToken = 0;
    std::optional<LeaseRow> Row;
    bool Readable = Outcome.hasValue();
    if (Readable && *Outcome) {
      Expected<LeaseRow> Decoded = decodeLease((*Outcome)->m_Value);
      Readable = Decoded.hasValue();
      if (Readable)
        Row = *Decoded;
    }
    if (!Readable) {
      if (Of.state() == LeaseState::Acquiring)
        m_Impl->lose(Entry.first, Of, Actions);
      Of.m_NextRead = Now + std::chrono::seconds(1);
      Of.m_NextRenew = Now + std::chrono::milliseconds(500);
      continue;
    }
    m_Impl->takeRow(Now, Of, Row, *Outcome ? (*Outcome)->m_RowVersion : 0);
    m_Impl->judgeRow(Now, Entry.first, Of, Actions);
  }
  return Actions;
}

LeaseActions LeaseManager::committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome) {
  LeaseActions Actions;
  for (std::pair<const ShardId, Shard> &Entry : m_Impl->m_Shards) {
    Shard &Of = Entry.second;
    if (Token == 0 || Of.m_WriteToken != Token)
      continue;
    Of.m_WriteToken = 0;
    if (Of.state() == LeaseState::Watching)
      continue; // A release, or the lease was dropped meanwhile; the row is read again.
    if (!Outcome || !Outcome->m_Committed) {
      // The row tells whether this write, or an earlier one of this holder, took effect.
      m_Impl->read(Entry.first, Of, Actions);
      continue;
    }
    m_Impl->takeRow(Now, Of, Of.m_Writing, Outcome->m_Rows.front().m_RowVersion);
    if (Of.state() == LeaseState::Held)
      m_Impl->extend(Of);
    else if (Now < Of.m_WriteSentAt + m_Impl->m_Settings.m_Length)
      m_Impl->win(Now, Entry.first, Of, Actions);
    else
      m_Impl->lose(Entry.first, Of, Actions);
  }
  return Actions;
}

LeaseActions LeaseManager::dropAll(TimePoint) {
  LeaseActions Actions;
  for (std::pair<const ShardId, Shard> &Entry : m_Impl->m_Shards)
    m_Impl->lose(Entry.first, Entry.second, Actions);
  return Actions;
}

LeaseActions LeaseManager::releaseAll(TimePoint Now) {
  LeaseActions Actions;
  for (std::pair<const ShardId, Shard> &Entry : m_Impl->m_Shards) {
    m_Impl->release(Now, Entry.first, Entry.second, Actions);
    Entry.second.m_Rank.reset();
  }
  return Actions;
}

LeaseActions LeaseManager::lookUp(TimePoint Now, const ShardId &Id) {
  LeaseActions Actions;
  Shard &Of = m_Impl->m_Shards[Id];
  const bool Fresh = Of.m_ReadAt && Now - *Of.m_ReadAt < m_Impl->m_Settings.m_Renew;
  if (!Fresh && Of.m_ReadToken == 0 && Of.m_WriteToken == 0)
    m_Impl->read(Id, Of, Actions);
  return Actions;
}

std::optional<FencingNumber> LeaseManager::held(const ShardId &Id, TimePoint Now) const {
  const Shard *Of = m_Impl->find(Id);
  if (Of == nullptr || !Of->isHeld(Now))
    return std::nullopt;
  return Of->m_Row->m_Fencing;
}

Duration LeaseManager::remaining(const ShardId &Id, TimePoint Now) const {
  const Shard *Of = m_Impl->find(Id);
  return Of == nullptr || !Of->isHeld(Now) ? Duration::zero() : Of->m_Until - Now;
}

bool LeaseManager::mayGrant(const ShardId &Id, TimePoint Now) const {
  const Shard *Of = m_Impl->find(Id);
  return Of != nullptr && Of->isHeld(Now) && Now >= Of->m_GrantFrom;
}

bool LeaseManager::mayOrder(const ShardId &Id, TimePoint Now) const {
  const Shard *Of = m_Impl->find(Id);
  return Of != nullptr && Of->isHeld(Now) && Now >= Of->m_OrderFrom &&
         Now < Of->m_Until - m_Impl->m_Settings.m_NoOrders;
}

std::optional<InstanceId> LeaseManager::owner(const ShardId &Id) const {
  const Shard *Of = m_Impl->find(Id);
  if (Of == nullptr || !Of->m_Row || Of->m_Row->m_Released)
    return std::nullopt;
  return Of->m_Row->m_Holder;
}

LeaseState LeaseManager::state(const ShardId &Id) const {
  const Shard *Of = m_Impl->find(Id);
  return Of == nullptr ? LeaseState::Watching : Of->state();
}

} // namespace bulrushpitch
