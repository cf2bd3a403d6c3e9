#include "bulrushpitch/forward/relay_sources.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <tuple>

namespace bulrushpitch {

namespace {

using std::chrono::milliseconds;

/// With fewer daemons, all of them read the store.
constexpr std::size_t MinDaemonsForRelays = 12;
/// Followers of one relay, on average; each follows two.
constexpr std::size_t FollowersPerRelay = 32;
/// A table that is older is read from the store. Relays confirm it about every 1.3 s, and a configuration
/// must be in force, and a leaving upstream known, within 3 s.
constexpr Duration MaxConfirmedAge = milliseconds(2000);
/// So many daemons of a region may turn to the store at that age; each further one later than the one before.
constexpr std::size_t FirstAtStore = 4;
constexpr Duration StorePausePerRank = milliseconds(250);
/// Spreads the calls of daemons that all lost the ones they followed.
constexpr Duration MaxStorePause = milliseconds(500);
/// How long a daemon that turned to the store goes on with it.
constexpr Duration StoreUseTime = milliseconds(10'000);
constexpr Duration MinPassOver = milliseconds(1000);
constexpr Duration MaxPassOver = milliseconds(16'000);
constexpr std::uint32_t MaxPassOverDoublings = 4;
/// For a daemon that is not confirmed; it may well be the store that fails.
constexpr Duration StalePassOver = milliseconds(5000);

/// The common order; smaller comes first.
using OrderKey = std::tuple<bool, bool, std::uint64_t, InstanceId>;

OrderKey keyOf(const InstanceId &Id, bool NearStore, bool WideLink) {
  return {!NearStore, !WideLink, stableHash(Id.value()), Id};
}

OrderKey keyOf(const ListedDaemon &Daemon) {
  return keyOf(Daemon.m_Id, Daemon.m_Contact->m_NearStore, Daemon.m_Contact->m_WideLink);
}

/// @return number of daemons of a group that relay the tables to the others
std::size_t relayCount(std::size_t Daemons) {
  const std::size_t Needed = (Daemons + FollowersPerRelay - 1) / FollowersPerRelay;
  return std::max(RelaySources::FollowedRelays, Needed);
}

/// Keeps the daemons that this one follows out of the relays, so that the followers spread over them.
std::vector<ListedDaemon> chooseRelays(std::vector<ListedDaemon> Relays, const InstanceId &Follower) {
  const std::uint64_t FollowerHash = stableHash(Follower.value());
  const auto Score = [FollowerHash](const ListedDaemon &Relay) {
    return mixHash(FollowerHash, stableHash(Relay.m_Id.value()));
  };
  std::sort(Relays.begin(), Relays.end(),
            [&](const ListedDaemon &Left, const ListedDaemon &Right) { return Score(Left) < Score(Right); });
  Relays.resize(std::min(Relays.size(), RelaySources::FollowedRelays));
  return Relays;
}

std::vector<ListedDaemon> firstOf(std::vector<ListedDaemon> Daemons, std::size_t Count) {
  Daemons.resize(std::min(Daemons.size(), Count));
  return Daemons;
}

} // namespace

RelaySources::RelaySources(InstanceId Self, RegionId Region, std::optional<DaemonContact> Contact)
    : m_Self(std::move(Self)), m_Region(std::move(Region)), m_SelfWideLink(Contact && Contact->m_WideLink) {}

void RelaySources::setDaemons(std::vector<ListedDaemon> Alive) {
  std::erase_if(Alive,
                [this](const ListedDaemon &Daemon) { return !Daemon.m_Contact || Daemon.m_Id == m_Self; });
  std::sort(Alive.begin(), Alive.end(),
            [](const ListedDaemon &Left, const ListedDaemon &Right) { return keyOf(Left) < keyOf(Right); });
  m_Others = std::move(Alive);
  const auto IsGone = [this](const auto &Entry) {
    return std::none_of(m_Others.begin(), m_Others.end(),
                        [&](const ListedDaemon &Daemon) { return Daemon.m_Id == Entry.first; });
  };
  std::erase_if(m_Failures, IsGone);
  std::erase_if(m_StaleUntil, IsGone);
}

std::vector<ListedDaemon> RelaySources::followed(TimePoint Now) const {
  if (readsStore(Now))
    return {};
  std::vector<ListedDaemon> Preceding = precedingInRegion(Now);
  std::erase_if(Preceding, [&](const ListedDaemon &Daemon) { return !isUsable(Daemon, Now); });
  const std::size_t RelaysInRegion = relayCount(daemonsInRegion());
  if (Preceding.size() >= RelaysInRegion)
    return chooseRelays(firstOf(std::move(Preceding), RelaysInRegion), m_Self);
  if (Preceding.size() >= FollowedRelays || m_SelfNearStore)
    return firstOf(std::move(Preceding), FollowedRelays);
  std::vector<ListedDaemon> Near;
  for (const ListedDaemon &Daemon : m_Others)
    if (Daemon.m_Contact->m_NearStore && isUsable(Daemon, Now))
      Near.push_back(Daemon);
  const std::size_t RelaysNearStore = relayCount(Near.size());
  return chooseRelays(firstOf(std::move(Near), RelaysNearStore), m_Self);
}

void RelaySources::onFailed(const InstanceId &Daemon, TimePoint Now) {
  Failure &Failed = m_Failures[Daemon];
  const Duration PassOver = MinPassOver * (1U << std::min(Failed.m_Count, MaxPassOverDoublings));
  Failed.m_PassedOverUntil = Now + std::min(PassOver, MaxPassOver);
  ++Failed.m_Count;
}

void RelaySources::onStale(const InstanceId &Daemon, TimePoint Now) {
  m_Failures.erase(Daemon);
  m_StaleUntil[Daemon] = Now + StalePassOver;
  m_HeardAt = Now;
}

void RelaySources::onAnswered(const InstanceId &Daemon, TimePoint Now) {
  m_HeardAt = Now;
  m_Failures.erase(Daemon);
  m_StaleUntil.erase(Daemon);
}

bool RelaySources::isStale(Duration Age) { return Age >= MaxConfirmedAge; }

bool RelaySources::needsStore(RelayedTable Table, Duration Age, TimePoint Now) {
  if (readsStore(Now))
    return true;
  const bool HearsOthers = m_HeardAt && Now - *m_HeardAt < MaxConfirmedAge;
  if (Age >= MaxConfirmedAge + (HearsOthers ? pauseByRank(Now) : pauseByHash()))
    m_UsesStoreUntil[Table] = Now + StoreUseTime;
  return Now < m_UsesStoreUntil[Table];
}

bool RelaySources::hasRelays() const { return m_Others.size() + 1 >= MinDaemonsForRelays; }

Duration RelaySources::pauseByRank(TimePoint Now) const {
  const std::size_t Rank = precedingInRegion(Now).size();
  return StorePausePerRank * (Rank - std::min(Rank, FirstAtStore - 1));
}

Duration RelaySources::pauseByHash() const {
  return Duration(stableHash(m_Self.value()) % static_cast<std::uint64_t>(MaxStorePause.count()));
}

bool RelaySources::readsStore(TimePoint Now) const {
  if (!hasRelays())
    return true;
  return precedingInRegion(Now).size() < FollowedRelays && (m_SelfNearStore || !knowsDaemonNearStore());
}

bool RelaySources::hasFailed(const ListedDaemon &Daemon, TimePoint Now) const {
  const auto Failed = m_Failures.find(Daemon.m_Id);
  return Failed != m_Failures.end() && Now < Failed->second.m_PassedOverUntil;
}

bool RelaySources::isUsable(const ListedDaemon &Daemon, TimePoint Now) const {
  const auto Stale = m_StaleUntil.find(Daemon.m_Id);
  return !hasFailed(Daemon, Now) && (Stale == m_StaleUntil.end() || Now >= Stale->second);
}

std::vector<ListedDaemon> RelaySources::precedingInRegion(TimePoint Now) const {
  const OrderKey Own = keyOf(m_Self, m_SelfNearStore, m_SelfWideLink);
  std::vector<ListedDaemon> Preceding;
  for (const ListedDaemon &Daemon : m_Others)
    if (Daemon.m_Contact->m_Region == m_Region && keyOf(Daemon) < Own && !hasFailed(Daemon, Now))
      Preceding.push_back(Daemon);
  return Preceding;
}

bool RelaySources::knowsDaemonNearStore() const {
  return std::any_of(m_Others.begin(), m_Others.end(),
                     [](const ListedDaemon &Daemon) { return Daemon.m_Contact->m_NearStore; });
}

std::size_t RelaySources::daemonsInRegion() const {
  const std::int64_t Others =
      std::count_if(m_Others.begin(), m_Others.end(),
                    [this](const ListedDaemon &Daemon) { return Daemon.m_Contact->m_Region == m_Region; });
  return static_cast<std::size_t>(Others) + 1;
}

} // namespace bulrushpitch
