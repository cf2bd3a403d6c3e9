#include "upstream_table.h"

#include <utility>

namespace bulrushpitch {

namespace {

/// Registry entries that expired while the store was unavailable are written again within this time after its
/// recovery.
constexpr Duration EntryGracePeriod = std::chrono::milliseconds(2200);

double inMilliseconds(Duration Value) { return std::chrono::duration<double, std::milli>(Value).count(); }

} // namespace

UpstreamTable::UpstreamTable(GatewayState &State, EventLog &Log, ClockHook Clock,
                             RolloutCoordinator &Rollouts, Hooks TableHooks)
    : ReplicatedTable(m_Rows, State, std::move(Clock), TableHooks.m_ObserveEra), m_Log(Log),
      m_Rollouts(Rollouts), m_Hooks(std::move(TableHooks)),
      m_Rows(
          RelayedTable::Upstreams, [](const RegisteredUpstream &Entry) { return Entry.m_Id.value(); },
          encodeUpstreams) {}

void UpstreamTable::apply(UpstreamChanges &Changes, TimePoint ConfirmedAt) {
  const StoreCursor Position{Changes.m_Era, Changes.m_Cursor};
  if (!m_Rows.isOutdated(Position)) {
    Changes.m_AfterRestore = m_Rows.isRestoredSince(Changes.m_Era);
    putInForce(Changes);
    RowChanges<RegisteredUpstream> Rows{Changes.m_FullSnapshot, Changes.m_Updated, {}};
    for (const UpstreamId &Id : Changes.m_Removed)
      Rows.m_Removed.push_back(Id.value());
    m_Rows.apply(Rows, Position, ConfirmedAt);
  }
  onConfirmed(ConfirmedAt);
}

Expected<UpstreamTable::Reception>
UpstreamTable::applyRelayed(const std::string &Encoded, const StoreCursor &Position, TimePoint ConfirmedAt) {
  Expected<RowChanges<RegisteredUpstream>> Rows = decodeUpstreams(Encoded);
  if (!Rows)
    return Rows.error();
  UpstreamChanges Changes;
  Changes.m_FullSnapshot = Rows->m_Whole;
  Changes.m_Era = Position.m_Era;
  Changes.m_Cursor = Position.m_Version;
  Changes.m_Updated = std::move(Rows->m_Updated);
  for (std::string &Key : Rows->m_Removed)
    Changes.m_Removed.emplace_back(std::move(Key));
  apply(Changes, ConfirmedAt);
  return Reception::Applied;
}

void UpstreamTable::onConfirmed(TimePoint /*ConfirmedAt*/) { m_Hooks.m_OnConfirmed(); }

void UpstreamTable::putInForce(const UpstreamChanges &Changes) {
  const Duration Grace = gracePeriod();
  if (Changes.m_FullSnapshot) {
    replaceAll(Changes, Grace);
    return;
  }
  for (const RegisteredUpstream &Entry : Changes.m_Updated)
    update(Entry);
  for (const UpstreamId &Id : Changes.m_Removed)
    remove(Id, Grace);
}

void UpstreamTable::replaceAll(const UpstreamChanges &Changes, Duration Grace) {
  const TimePoint Now = m_Clock();
  if (Changes.m_AfterRestore)
    m_State.m_Pool.replaceAllAfterRestore(Changes.m_Updated, Now, EntryGracePeriod);
  else
    m_State.m_Pool.replaceAll(Changes.m_Updated, Now, Grace);
  for (const RegisteredUpstream &Entry : Changes.m_Updated)
    m_Rollouts.recordUpstream(Entry, std::nullopt);
  m_State.m_RegistryRead = true;
}

void UpstreamTable::update(const RegisteredUpstream &Entry) {
  m_State.m_Pool.update(Entry, m_Clock());
  m_Rollouts.recordUpstream(Entry, m_Clock());
  m_Log.add(LogClass::State, "upstream_changed",
            {{"upstream", std::string_view(Entry.m_Id.value())},
             {"service", std::string_view(Entry.m_Service.value())},
             {"domain", std::string_view(Entry.m_Domain.value())},
             {"version", std::string_view(Entry.m_Version.value())},
             {"draining", static_cast<std::int64_t>(Entry.m_Draining)},
             {"cold_ms", inMilliseconds(Entry.m_ColdPeriod)}});
}

void UpstreamTable::remove(const UpstreamId &Id, Duration Grace) {
  m_State.m_Pool.remove(Id, m_Clock(), Grace);
  m_Log.add(LogClass::State, "upstream_removed",
            {{"upstream", std::string_view(Id.value())}, {"grace_ms", inMilliseconds(Grace)}});
}

Duration UpstreamTable::gracePeriod() const {
  if (!m_Rows.recoveredAt())
    return Duration::zero();
  return std::max(Duration::zero(), EntryGracePeriod - (m_Clock() - *m_Rows.recoveredAt()));
}

} // namespace bulrushpitch
