#include "rollout_coordinator.h"

#include "outcome_log.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Delay per rank before a daemon writes a rollout status, so that usually only the first one calls the
/// store.
constexpr Duration TrialWriteStagger = milliseconds(350);
constexpr Duration TrialWriteRetryInterval = milliseconds(700);
constexpr Duration EvidencePublishInterval = milliseconds(800);

/// @return whether a status says when the daemons first read this order
bool hasBegin(const TrialStatus &Status, const TrialOrder &Order) {
  return Status.m_BegunAt && Status.m_OrderVersion == Order.m_OrderVersion;
}

std::string_view nameOf(TrialState State) {
  switch (State) {
  case TrialState::Running:
    return "running";
  case TrialState::Completed:
    return "completed";
  case TrialState::RolledBack:
    return "rolled back";
  }
  return "unknown";
}

} // namespace

RolloutCoordinator::RolloutCoordinator(asio::io_context &Context, ControlStore &Store, GatewayState &State,
                                       EventLog &Log, ClockHook Clock)
    : m_Context(Context), m_Store(Store), m_State(State), m_Log(Log), m_Clock(std::move(Clock)) {}

void RolloutCoordinator::onStoreRestored() {
  for (auto &Entry : m_State.m_Trials) {
    m_UnconfirmedOrders.insert(Entry.first);
    Entry.second.publishEvidenceAgain();
  }
  m_StatusRowVersions.clear();
  m_StoredStates.clear();
  m_TrialWriteDueSince.clear();
  m_TrialSnapshotNeeded = true;
  m_Recovery = Recovery::OrdersNeeded;
  ++m_Restores;
}

void RolloutCoordinator::onOrdersRead(const std::vector<TrialOrder> &Orders) {
  std::set<ServiceId> Ordered;
  for (const TrialOrder &Order : Orders)
    Ordered.insert(Order.m_Service);
  std::vector<ServiceId> Withdrawn;
  for (const auto &Trial : m_State.m_Trials)
    if (Ordered.count(Trial.first) == 0 && isOrderConfirmed(Trial.first))
      Withdrawn.push_back(Trial.first);
  for (const ServiceId &Service : Withdrawn)
    withdrawOrder(Service);
  if (m_Recovery == Recovery::OrdersNeeded)
    m_Recovery = Recovery::StatusesNeeded;
}

void RolloutCoordinator::applyOrder(const TrialOrder &Order) {
  VersionTrial *Existing = m_State.trialOf(Order.m_Service);
  const bool Unconfirmed = m_UnconfirmedOrders.erase(Order.m_Service) > 0;
  const bool SameOrder = Existing && Existing->hasSameOrder(Order);
  const bool SameRow = SameOrder && Existing->order().m_OrderVersion == Order.m_OrderVersion;
  if (SameRow && !Unconfirmed)
    return;
  m_StoredStates.erase(Order.m_Service);
  m_TrialSnapshotNeeded = true;
  if (SameOrder && Unconfirmed) {
    m_EvidenceSnapshotNeeded = m_EvidenceSnapshotNeeded || !SameRow;
    Existing->setOrderVersion(Order.m_OrderVersion);
    m_Log.add(LogClass::State, "rollout_continued",
              {{"service", std::string_view(Order.m_Service.value())},
               {"to", std::string_view(Order.m_TargetVersion.value())}});
    return;
  }
  ++m_TrialNumbers[Order.m_Service];
  m_State.m_Trials.erase(Order.m_Service);
  m_State.m_Trials.emplace(Order.m_Service, VersionTrial(Order, m_State.trialExposure(), m_Clock()));
  m_Log.add(LogClass::State, "rollout_ordered",
            {{"service", std::string_view(Order.m_Service.value())},
             {"to", std::string_view(Order.m_TargetVersion.value())},
             {"time_limit_s", std::chrono::duration<double>(Order.m_TimeLimit).count()}});
}

void RolloutCoordinator::withdrawOrder(const ServiceId &Service) {
  m_State.m_Trials.erase(Service);
  m_UnconfirmedOrders.erase(Service);
}

void RolloutCoordinator::recordUpstream(const RegisteredUpstream &Entry,
                                        std::optional<TimePoint> RegisteredAt) {
  VersionTrial *Trial = m_State.trialOf(Entry.m_Service);
  if (Trial && Entry.m_Version == Trial->order().m_TargetVersion)
    Trial->onUpstreamRegistered(RegisteredAt);
}

bool RolloutCoordinator::isOrderConfirmed(const ServiceId &Service) const {
  return m_UnconfirmedOrders.count(Service) == 0;
}

bool RolloutCoordinator::isStored(const ServiceId &Service, TrialState State) const {
  const auto Stored = m_StoredStates.find(Service);
  return Stored != m_StoredStates.end() && Stored->second == State;
}

void RolloutCoordinator::apply(const TrialChanges &Changes) {
  const bool Requested = Changes.m_FullSnapshot && !m_TrialSnapshotNeeded;
  if (m_Recovery != Recovery::None && !Requested)
    return;
  m_Recovery = Recovery::None;
  for (const TrialStatus &Status : Changes.m_Updated)
    applyStatus(Status);
  if (!Requested)
    return;
  for (auto &Entry : m_State.m_Trials)
    if (isOrderConfirmed(Entry.first))
      Entry.second.confirmDecisionsRead();
}

void RolloutCoordinator::applyStatus(const TrialStatus &Status) {
  VersionTrial *Trial = m_State.trialOf(Status.m_Service);
  m_StatusRowVersions[Status.m_Service] = Status.m_RowVersion;
  // A status older than the order belongs to an earlier rollout.
  if (!Trial || !isOrderConfirmed(Status.m_Service) ||
      Status.m_TargetVersion != Trial->order().m_TargetVersion ||
      Status.m_RowVersion < Trial->order().m_OrderVersion)
    return;
  agreeOnBegin(*Trial, Status);
  // A running trial whose begin isn't stored would begin anew at each daemon that starts.
  if (Status.m_State != TrialState::Running || hasBegin(Status, Trial->order()))
    m_StoredStates[Status.m_Service] = Status.m_State;
  // A decision is final: a status that says otherwise comes from a restored store.
  if (Trial->state() == Status.m_State || Status.m_State == TrialState::Running)
    return;
  Trial->setState(Status.m_State);
  m_Log.add(LogClass::State, "rollout_decided",
            {{"service", std::string_view(Status.m_Service.value())},
             {"to", std::string_view(Status.m_TargetVersion.value())},
             {"state", nameOf(Status.m_State)}});
}

void RolloutCoordinator::agreeOnBegin(VersionTrial &Trial, const TrialStatus &Status) {
  const std::optional<Duration> StoreTime = m_Store.storeTime();
  if (!StoreTime || !hasBegin(Status, Trial.order()))
    return;
  const Duration Age = std::max(Duration::zero(), *StoreTime - *Status.m_BegunAt);
  Trial.agreeOnBegin(m_Clock() - Age);
}

TrialStatus RolloutCoordinator::makeStatus(const VersionTrial &Trial, TrialState State) const {
  const TrialOrder &Order = Trial.order();
  const auto Version = m_StatusRowVersions.find(Order.m_Service);
  TrialStatus Status{Order.m_Service, Order.m_TargetVersion, State,
                     Version == m_StatusRowVersions.end() ? 0 : Version->second, Order.m_OrderVersion};
  if (const std::optional<Duration> StoreTime = m_Store.storeTime())
    Status.m_BegunAt = *StoreTime - (m_Clock() - Trial.begunAt());
  return Status;
}

void RolloutCoordinator::apply(const EvidenceChanges &Changes) {
  for (const TrialEvidence &Evidence : Changes.m_Updated) {
    VersionTrial *Trial = m_State.trialOf(Evidence.m_Service);
    if (Trial && Evidence.m_TargetVersion == Trial->order().m_TargetVersion &&
        Evidence.m_OrderVersion == Trial->order().m_OrderVersion &&
        Evidence.m_Daemon != m_State.m_PlacementContext.m_Instance)
      Trial->onPeerEvidence(Evidence.m_Daemon, Evidence.m_Routes, m_Clock());
  }
}

bool RolloutCoordinator::takeStatusSnapshotNeeded() {
  if (m_Recovery == Recovery::OrdersNeeded)
    return false;
  return std::exchange(m_TrialSnapshotNeeded, false);
}

bool RolloutCoordinator::takeEvidenceSnapshotNeeded() {
  return std::exchange(m_EvidenceSnapshotNeeded, false);
}

bool RolloutCoordinator::needsEvidence() const {
  return std::any_of(m_State.m_Trials.begin(), m_State.m_Trials.end(), [this](const auto &Entry) {
    return Entry.second.state() == TrialState::Running && Entry.second.hasResponses() &&
           trialRole(Entry.first, m_State.m_PlacementContext).m_Decides;
  });
}

bool RolloutCoordinator::needsStatuses() const {
  if (m_Recovery != Recovery::None)
    return m_Recovery == Recovery::StatusesNeeded && !m_State.m_Trials.empty();
  return std::any_of(m_State.m_Trials.begin(), m_State.m_Trials.end(), [this](const auto &Entry) {
    const TrialState State = Entry.second.state();
    return State == TrialState::Running || (isOrderConfirmed(Entry.first) && !isStored(Entry.first, State));
  });
}

void RolloutCoordinator::onTick() {
  for (auto &Entry : m_State.m_Trials) {
    writeStatusIfDue(Entry.first, Entry.second);
    publishEvidence(Entry.first, Entry.second);
  }
}

void RolloutCoordinator::writeStatusIfDue(const ServiceId &Service, const VersionTrial &Trial) {
  if (m_TrialSnapshotNeeded || m_TrialWriteInProgress || m_Recovery != Recovery::None ||
      !isOrderConfirmed(Service))
    return;
  const TimePoint Now = m_Clock();
  const TrialState Verdict = Trial.verdict(Now);
  if (isStored(Service, Verdict)) {
    m_TrialWriteDueSince.erase(Service);
    return;
  }
  const TimePoint DueSince = m_TrialWriteDueSince.emplace(Service, Now).first->second;
  const bool Urgent = Trial.state() == TrialState::Running && Verdict == TrialState::RolledBack &&
                      Trial.hasRollbackEvidence();
  if (!Urgent && Now - DueSince < TrialWriteStagger * daemonRank(Service.value(), m_State.m_PlacementContext))
    return;
  if (Now < m_NextTrialWriteAt)
    return;
  m_TrialWriteInProgress = true;
  spawn(m_Context, writeStatus(shared_from_this(), StatusWrite{makeStatus(Trial, Verdict), Trial.evidence(),
                                                               m_TrialNumbers[Service], m_Restores}));
}

void RolloutCoordinator::publishEvidence(const ServiceId &Service, VersionTrial &Trial) {
  const TimePoint Now = m_Clock();
  if (Trial.state() != TrialState::Running || Now < m_NextEvidenceAt || !isOrderConfirmed(Service))
    return;
  std::optional<std::vector<RouteEvidence>> Routes = Trial.takeUnpublishedEvidence(Now);
  if (!Routes)
    return;
  m_NextEvidenceAt = Now + EvidencePublishInterval;
  TrialEvidence Evidence{Service, Trial.order().m_TargetVersion, Trial.order().m_OrderVersion,
                         m_State.m_PlacementContext.m_Instance, std::move(*Routes)};
  spawn(m_Context, writeEvidence(shared_from_this(), std::move(Evidence),
                                 trialRole(Service, m_State.m_PlacementContext).m_Rank));
}

asio::awaitable<void> RolloutCoordinator::writeEvidence(std::shared_ptr<RolloutCoordinator> Self,
                                                        TrialEvidence Evidence, std::uint32_t Rank) {
  const Expected<Done> Written = co_await Self->m_Store.writeEvidence(Evidence, Rank);
  const std::string Outcome = outcomeText(Written, "written");
  for (const RouteEvidence &Route : Evidence.m_Routes)
    Self->m_Log.add(LogClass::State, "rollout_evidence",
                    {{"service", std::string_view(Evidence.m_Service.value())},
                     {"route", std::string_view(Route.m_Route)},
                     {"evidence", Route.m_Evidence},
                     {"answers", static_cast<std::int64_t>(Route.m_Responses)},
                     {"bad", static_cast<std::int64_t>(Route.m_Bad)},
                     {"outcome", std::string_view(Outcome)}});
}

asio::awaitable<void> RolloutCoordinator::writeStatus(std::shared_ptr<RolloutCoordinator> Self,
                                                      StatusWrite Write) {
  const Expected<Done> Written = co_await Self->m_Store.writeTrial(Write.m_Status);
  Self->m_TrialWriteInProgress = false;
  Self->m_NextTrialWriteAt = Self->m_Clock() + TrialWriteRetryInterval;
  const std::string Outcome = outcomeText(Written, "written");
  Self->m_Log.add(LogClass::State, "rollout_state_write",
                  {{"service", std::string_view(Write.m_Status.m_Service.value())},
                   {"state", nameOf(Write.m_Status.m_State)},
                   {"evidence", Write.m_Evidence},
                   {"outcome", std::string_view(Outcome)}});
  if (Written)
    Self->onStatusWritten(Write);
}

void RolloutCoordinator::onStatusWritten(const StatusWrite &Write) {
  const TrialStatus &Status = Write.m_Status;
  VersionTrial *Trial = m_State.trialOf(Status.m_Service);
  if (!Trial || m_TrialNumbers[Status.m_Service] != Write.m_TrialNumber)
    return;
  agreeOnBegin(*Trial, Status);
  if (Trial->state() == TrialState::Running)
    Trial->setState(Status.m_State);
  // A write that began before a restore may have reached the store before or after it.
  if (Trial->state() == Status.m_State && Write.m_Restores == m_Restores)
    m_StoredStates[Status.m_Service] = Status.m_State;
}

} // namespace bulrushpitch
