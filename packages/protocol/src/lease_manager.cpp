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

/// The known state of one shard's lease.
struct ShardLease {
  ShardLease() { m_Lifecycle.start(); }
  LeaseState state() const { return m_Lifecycle.m_State; }
  bool isHeld(TimePoint Now) const { return state() == LeaseState::Held && Now < m_ExpiresAt; }

  boost::msm::back::state_machine<LeaseLifecycle> m_Lifecycle;
  std::vector<InstanceId> m_Candidates;
  std::optional<std::size_t> m_Rank; ///< In rendezvous order; empty if this instance is not a candidate.
  std::optional<LeaseRow> m_Row;     ///< As last read; empty if absent.
  std::uint64_t m_RowVersion = 0;
  std::optional<TimePoint> m_ReadAt;
  TimePoint m_VersionReadAt; ///< When the current row version was first read.
  TimePoint m_NextReadAt;
  std::uint64_t m_ReadToken = 0;
  std::uint64_t m_WriteToken = 0;
  TimePoint m_WriteSentAt;
  LeaseRow m_PendingRow;
  TimePoint m_ExpiresAt;
  TimePoint m_NextRenewAt;
  TimePoint m_GrantsFrom;
  TimePoint m_OrdersFrom;
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
  return detail::decodeRow(Value, "lease row", [](const json &Json) {
    return LeaseRow{InstanceId(Json.at("holder").get<std::string>()),
                    Json.at("incarnation").get<std::uint64_t>(),
                    FencingNumber(Json.at("fencing").get<std::uint64_t>()),
                    Json.at("renewal").get<std::uint64_t>(), Json.at("released").get<bool>()};
  });
}

struct LeaseManager::Impl {
  ShardLease *find(const ShardId &Id) {
    const auto Found = m_Shards.find(Id);
    return Found == m_Shards.end() ? nullptr : &Found->second;
  }
  bool isOwn(const LeaseRow &Row) const {
    return Row.m_Holder == m_Self && Row.m_Incarnation == m_Incarnation;
  }
  void read(const ShardId &Id, ShardLease &Lease, LeaseActions &Actions) {
    Lease.m_ReadToken = m_NextToken++;
    Actions.emplace_back(ReadRow{Lease.m_ReadToken, leaseKey(Id)});
  }
  void write(TimePoint Now, const ShardId &Id, ShardLease &Lease, const LeaseRow &Row,
             LeaseActions &Actions) {
    Lease.m_WriteToken = m_NextToken++;
    Lease.m_WriteSentAt = Now;
    Lease.m_PendingRow = Row;
    Actions.emplace_back(
        CommitRows{Lease.m_WriteToken,
                   {TableWrite{leaseKey(Id), encodeLease(Row),
                               Lease.m_RowVersion == 0 ? TableCondition::Absent : TableCondition::Version,
                               Lease.m_RowVersion}}});
  }
  void lose(const ShardId &Id, ShardLease &Lease, LeaseActions &Actions) {
    const bool WasHeld = Lease.state() == LeaseState::Held;
    Lease.m_Lifecycle.process_event(Lost{});
    Lease.m_NextReadAt = TimePoint();
    if (WasHeld)
      Actions.emplace_back(LeaseLost{Id});
  }
  void acquire(TimePoint Now, const ShardId &Id, ShardLease &Lease, LeaseActions &Actions) {
    Lease.m_Lifecycle.process_event(Acquired{});
    extend(Lease);
    // The row was unchanged for the lease duration, so the previous lease has expired. Permits granted just
    // before that are valid for another permit TTL.
    Lease.m_GrantsFrom = Now + m_Settings.m_PermitTtl + m_Settings.m_ClockMargin;
    Lease.m_OrdersFrom = Now + m_Settings.m_Duration;
    Actions.emplace_back(LeaseAcquired{Id, Lease.m_Row->m_Fencing, Lease.m_GrantsFrom});
  }
  /// The lease runs from the time at which the write was sent: the store may have applied it at any time
  /// since.
  void extend(ShardLease &Lease) {
    Lease.m_ExpiresAt = Lease.m_WriteSentAt + m_Settings.m_Duration;
    Lease.m_NextRenewAt = Lease.m_WriteSentAt + m_Settings.m_RenewInterval;
  }
  void recordRow(TimePoint Now, ShardLease &Lease, std::optional<LeaseRow> Row, std::uint64_t Version) {
    if (!Lease.m_ReadAt || Version != Lease.m_RowVersion)
      Lease.m_VersionReadAt = Now;
    Lease.m_ReadAt = Now;
    Lease.m_Row = std::move(Row);
    Lease.m_RowVersion = Version;
  }
  bool mayAcquire(TimePoint Now, const ShardLease &Lease) const {
    const Duration RankDelay = m_Settings.m_RankDelay * static_cast<Duration::rep>(*Lease.m_Rank);
    if (!Lease.m_Row || Lease.m_Row->m_Released)
      return Now - Lease.m_VersionReadAt >= RankDelay;
    if (isOwn(*Lease.m_Row))
      return true; // Written by this process, which no longer uses that lease.
    return Now - Lease.m_VersionReadAt >= m_Settings.m_Duration + m_Settings.m_ClockMargin + RankDelay;
  }
  /// Candidates with a higher rank poll less often, which limits the total read rate.
  Duration readInterval(const ShardLease &Lease) const {
    return std::chrono::milliseconds(1'000 + 500 * static_cast<std::int64_t>(*Lease.m_Rank));
  }
  void tick(TimePoint Now, const ShardId &Id, ShardLease &Lease, LeaseActions &Actions);
  void evaluateRow(TimePoint Now, const ShardId &Id, ShardLease &Lease, LeaseActions &Actions);
  void release(TimePoint Now, const ShardId &Id, ShardLease &Lease, LeaseActions &Actions);

  InstanceId m_Self;
  std::uint64_t m_Incarnation = 0;
  LeaseSettings m_Settings;
  std::map<ShardId, ShardLease> m_Shards;
  std::uint64_t m_NextToken = 1;
};

void LeaseManager::Impl::tick(TimePoint Now, const ShardId &Id, ShardLease &Lease, LeaseActions &Actions) {
  if (Lease.state() == LeaseState::Held && Now >= Lease.m_ExpiresAt)
    lose(Id, Lease, Actions);
  if (Lease.m_WriteToken != 0 || Lease.m_ReadToken != 0)
    return;
  if (Lease.state() == LeaseState::Held && Now >= Lease.m_NextRenewAt) {
    LeaseRow Next = *Lease.m_Row;
    ++Next.m_Renewal;
    write(Now, Id, Lease, Next, Actions);
  } else if (Lease.state() == LeaseState::Watching && Lease.m_Rank && Now >= Lease.m_NextReadAt) {
    Lease.m_NextReadAt = Now + readInterval(Lease);
    read(Id, Lease, Actions);
  }
}

/// Chooses the next step after the row was read.
void LeaseManager::Impl::evaluateRow(TimePoint Now, const ShardId &Id, ShardLease &Lease,
                                     LeaseActions &Actions) {
  const bool WriteApplied = Lease.m_Row && *Lease.m_Row == Lease.m_PendingRow;
  if (Lease.state() == LeaseState::Acquiring) {
    if (WriteApplied && Now < Lease.m_WriteSentAt + m_Settings.m_Duration)
      acquire(Now, Id, Lease, Actions);
    else
      lose(Id, Lease, Actions);
    return;
  }
  if (Lease.state() == LeaseState::Held) {
    if (!Lease.m_Row || !isOwn(*Lease.m_Row) || Lease.m_Row->m_Released)
      lose(Id, Lease, Actions);
    else if (WriteApplied)
      extend(Lease);
    else
      Lease.m_NextRenewAt = Now;
    return;
  }
  if (!Lease.m_Rank || !mayAcquire(Now, Lease) || Lease.m_WriteToken != 0)
    return;
  const FencingNumber LastFencing = Lease.m_Row ? Lease.m_Row->m_Fencing : FencingNumber();
  Lease.m_Lifecycle.process_event(TryAcquire{});
  write(Now, Id, Lease, LeaseRow{m_Self, m_Incarnation, LastFencing + FencingNumber(1), 0, false}, Actions);
}

void LeaseManager::Impl::release(TimePoint Now, const ShardId &Id, ShardLease &Lease, LeaseActions &Actions) {
  if (Lease.state() == LeaseState::Held) {
    LeaseRow Row = *Lease.m_Row;
    Row.m_Released = true;
    write(Now, Id, Lease, Row, Actions);
  }
  lose(Id, Lease, Actions);
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

LeaseActions LeaseManager::setCandidates(TimePoint Now, const ShardId &Id,
                                         const std::vector<InstanceId> &Candidates) {
  LeaseActions Actions;
  ShardLease &Lease = m_Impl->m_Shards[Id];
  if (Lease.m_Candidates == Candidates)
    return Actions;
  Lease.m_Candidates = Candidates;
  std::vector<std::string> RankedNames;
  RankedNames.reserve(Candidates.size());
  for (const InstanceId &Candidate : Candidates)
    RankedNames.push_back(Candidate.value());
  RankedNames = rendezvousOrder(leaseKey(Id), std::move(RankedNames));
  const auto SelfPosition = std::find(RankedNames.begin(), RankedNames.end(), m_Impl->m_Self.value());
  Lease.m_Rank.reset();
  if (SelfPosition != RankedNames.end())
    Lease.m_Rank = static_cast<std::size_t>(SelfPosition - RankedNames.begin());
  else
    m_Impl->release(Now, Id, Lease, Actions);
  return Actions;
}

LeaseActions LeaseManager::tick(TimePoint Now) {
  LeaseActions Actions;
  for (std::pair<const ShardId, ShardLease> &Entry : m_Impl->m_Shards)
    m_Impl->tick(Now, Entry.first, Entry.second, Actions);
  return Actions;
}

LeaseActions LeaseManager::rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome) {
  LeaseActions Actions;
  for (std::pair<const ShardId, ShardLease> &Entry : m_Impl->m_Shards) {
    ShardLease &Lease = Entry.second;
    if (Token == 0 || Lease.m_ReadToken != Token)
      continue;
    Lease.m_ReadToken = 0;
    std::optional<LeaseRow> Row;
    bool IsValid = Outcome.hasValue();
    if (IsValid && *Outcome) {
      Expected<LeaseRow> Decoded = decodeLease((*Outcome)->m_Value);
      IsValid = Decoded.hasValue();
      if (IsValid)
        Row = *Decoded;
    }
    if (!IsValid) {
      if (Lease.state() == LeaseState::Acquiring)
        m_Impl->lose(Entry.first, Lease, Actions);
      Lease.m_NextReadAt = Now + std::chrono::seconds(1);
      Lease.m_NextRenewAt = Now + std::chrono::milliseconds(500);
      continue;
    }
    m_Impl->recordRow(Now, Lease, Row, *Outcome ? (*Outcome)->m_RowVersion : 0);
    m_Impl->evaluateRow(Now, Entry.first, Lease, Actions);
  }
  return Actions;
}

LeaseActions LeaseManager::committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome) {
  LeaseActions Actions;
  for (std::pair<const ShardId, ShardLease> &Entry : m_Impl->m_Shards) {
    ShardLease &Lease = Entry.second;
    if (Token == 0 || Lease.m_WriteToken != Token)
      continue;
    Lease.m_WriteToken = 0;
    if (Lease.state() == LeaseState::Watching)
      continue; // A release, or the lease was dropped in the meantime; the row is read again.
    if (!Outcome || !Outcome->m_Committed) {
      // Reading the row back shows whether this write, or an earlier one of this holder, took effect.
      m_Impl->read(Entry.first, Lease, Actions);
      continue;
    }
    m_Impl->recordRow(Now, Lease, Lease.m_PendingRow, Outcome->m_Rows.front().m_RowVersion);
    if (Lease.state() == LeaseState::Held)
      m_Impl->extend(Lease);
    else if (Now < Lease.m_WriteSentAt + m_Impl->m_Settings.m_Duration)
      m_Impl->acquire(Now, Entry.first, Lease, Actions);
    else
      m_Impl->lose(Entry.first, Lease, Actions);
  }
  return Actions;
}

LeaseActions LeaseManager::dropAll(TimePoint) {
  LeaseActions Actions;
  for (std::pair<const ShardId, ShardLease> &Entry : m_Impl->m_Shards)
    m_Impl->lose(Entry.first, Entry.second, Actions);
  return Actions;
}

LeaseActions LeaseManager::releaseAll(TimePoint Now) {
  LeaseActions Actions;
  for (std::pair<const ShardId, ShardLease> &Entry : m_Impl->m_Shards) {
    m_Impl->release(Now, Entry.first, Entry.second, Actions);
    Entry.second.m_Rank.reset();
  }
  return Actions;
}

LeaseActions LeaseManager::refreshOwner(TimePoint Now, const ShardId &Id) {
  LeaseActions Actions;
  ShardLease &Lease = m_Impl->m_Shards[Id];
  const bool IsFresh = Lease.m_ReadAt && Now - *Lease.m_ReadAt < m_Impl->m_Settings.m_RenewInterval;
  if (!IsFresh && Lease.m_ReadToken == 0 && Lease.m_WriteToken == 0)
    m_Impl->read(Id, Lease, Actions);
  return Actions;
}

std::optional<FencingNumber> LeaseManager::heldFencing(const ShardId &Id, TimePoint Now) const {
  const ShardLease *Lease = m_Impl->find(Id);
  if (Lease == nullptr || !Lease->isHeld(Now))
    return std::nullopt;
  return Lease->m_Row->m_Fencing;
}

Duration LeaseManager::remaining(const ShardId &Id, TimePoint Now) const {
  const ShardLease *Lease = m_Impl->find(Id);
  return Lease == nullptr || !Lease->isHeld(Now) ? Duration::zero() : Lease->m_ExpiresAt - Now;
}

bool LeaseManager::mayGrant(const ShardId &Id, TimePoint Now) const {
  const ShardLease *Lease = m_Impl->find(Id);
  return Lease != nullptr && Lease->isHeld(Now) && Now >= Lease->m_GrantsFrom;
}

bool LeaseManager::maySendOrders(const ShardId &Id, TimePoint Now) const {
  const ShardLease *Lease = m_Impl->find(Id);
  return Lease != nullptr && Lease->isHeld(Now) && Now >= Lease->m_OrdersFrom &&
         Now < Lease->m_ExpiresAt - m_Impl->m_Settings.m_OrderCutoff;
}

std::optional<InstanceId> LeaseManager::owner(const ShardId &Id) const {
  const ShardLease *Lease = m_Impl->find(Id);
  if (Lease == nullptr || !Lease->m_Row || Lease->m_Row->m_Released)
    return std::nullopt;
  return Lease->m_Row->m_Holder;
}

LeaseState LeaseManager::state(const ShardId &Id) const {
  const ShardLease *Lease = m_Impl->find(Id);
  return Lease == nullptr ? LeaseState::Watching : Lease->state();
}

} // namespace bulrushpitch
