#include "bulrushpitch/protocol/startup_gate.h"

#include "detail/lifecycle.h"

#include <algorithm>
#include <boost/mpl/vector.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bulrushpitch {

namespace {

/// After this time since the start, condition (i) accepts an exchange with a peer that is itself starting,
/// since all daemons may be starting.
constexpr Duration AcceptStartingPeersAfter = std::chrono::seconds(3);
/// Time within which a revision reaches every instance that its holders can reach (guarantee 12).
constexpr Duration PropagationTime = std::chrono::seconds(10);

struct ReadinessConfirmed {};
struct Paused {};

struct GateLifecycle : detail::Lifecycle<GateLifecycle, GateState> {
  struct Starting : detail::NamedState<GateState::Starting> {};
  struct Ready : detail::NamedState<GateState::Ready> {};
  struct Unproven : detail::NamedState<GateState::Unproven> {};
  using initial_state = Starting;
  struct transition_table : boost::mpl::vector<detail::Transition<Starting, ReadinessConfirmed, Ready>,
                                               detail::Transition<Ready, Paused, Unproven>,
                                               detail::Transition<Unproven, ReadinessConfirmed, Ready>> {};
};

struct HeardPeer {
  ConfigRevision m_Revision;
  bool m_Ready = false;
};

} // namespace

const char *nameOf(GateState Value) {
  switch (Value) {
  case GateState::Starting:
    return "starting";
  case GateState::Ready:
    return "ready";
  case GateState::Unproven:
    break;
  }
  return "unproven";
}

struct StartupGate::Impl {
  Impl(InstanceId OwnId, DomainId OwnDomain, TimePoint Now)
      : m_Self(std::move(OwnId)), m_Domain(std::move(OwnDomain)), m_StartedAt(Now) {
    m_Lifecycle.start();
  }

  /// Whether a peer was heard, as condition (i) requires; true if this is the only listed instance.
  bool heardPeerForHead(TimePoint Now) const {
    if (!m_HasList || m_Listed.empty())
      return m_HasList;
    return std::any_of(m_Heard.begin(), m_Heard.end(),
                       [&](const std::pair<const InstanceId, HeardPeer> &Entry) {
                         return Entry.second.m_Ready || Now - m_StartedAt >= AcceptStartingPeersAfter;
                       });
  }
  /// Failure domains with a listed instance that has not reported ready.
  std::set<DomainId> unheardDomains() const {
    std::set<DomainId> SilentDomains;
    for (const std::pair<const InstanceId, DomainId> &Entry : m_Listed) {
      const std::map<InstanceId, HeardPeer>::const_iterator Found = m_Heard.find(Entry.first);
      if (Found == m_Heard.end() || !Found->second.m_Ready)
        SilentDomains.insert(Entry.second);
    }
    return SilentDomains;
  }
  bool holdsAllHeardRevisions() const {
    return std::all_of(m_Heard.begin(), m_Heard.end(),
                       [&](const std::pair<const InstanceId, HeardPeer> &Entry) {
                         return Entry.second.m_Revision <= m_HeldRevision;
                       });
  }
  /// Condition (i) of design 3.1.
  bool headConditionHolds(TimePoint Now) const {
    return m_HeadRevision && *m_HeadRevision <= m_HeldRevision && heardPeerForHead(Now);
  }
  bool heardEnoughDomains(TimePoint Now) const {
    std::set<DomainId> SilentDomains = unheardDomains();
    const bool OwnDomainIsHeard = SilentDomains.erase(m_Domain) == 0;
    return SilentDomains.empty() ||
           (OwnDomainIsHeard && SilentDomains.size() == 1 && Now - m_StartedAt >= PropagationTime);
  }
  /// Condition (ii) of design 3.1. Requires a ready peer: without one, a daemon cannot learn of any revision.
  bool peerConditionHolds(TimePoint Now) const {
    const bool HeardReadyPeer =
        std::any_of(m_Heard.begin(), m_Heard.end(),
                    [](const std::pair<const InstanceId, HeardPeer> &Entry) { return Entry.second.m_Ready; });
    return m_HeadReadFailed && m_HasList && HeardReadyPeer && heardEnoughDomains(Now) &&
           holdsAllHeardRevisions();
  }
  /// Whether the held revision was confirmed to be current after a pause.
  bool reconfirmed() const {
    if (m_HeadRevision && *m_HeadRevision <= m_HeldRevision)
      return true;
    return std::any_of(m_Heard.begin(), m_Heard.end(),
                       [&](const std::pair<const InstanceId, HeardPeer> &Entry) {
                         return Entry.second.m_Ready && Entry.second.m_Revision <= m_HeldRevision;
                       });
  }
  void evaluate(TimePoint Now) {
    const GateState State = m_Lifecycle.m_State;
    const bool ConditionHolds =
        State == GateState::Starting ? headConditionHolds(Now) || peerConditionHolds(Now) : reconfirmed();
    if (State != GateState::Ready && ConditionHolds)
      m_Lifecycle.process_event(ReadinessConfirmed{});
  }

  InstanceId m_Self;
  DomainId m_Domain;
  TimePoint m_StartedAt;
  boost::msm::back::state_machine<GateLifecycle> m_Lifecycle;
  std::optional<ConfigRevision> m_HeadRevision;
  bool m_HeadReadFailed = false;
  bool m_HasList = false;
  ConfigRevision m_HeldRevision;
  std::map<InstanceId, DomainId> m_Listed; ///< Other instances.
  std::map<InstanceId, HeardPeer> m_Heard;
};

StartupGate::StartupGate(InstanceId Self, DomainId Domain, TimePoint Now)
    : m_Impl(std::make_unique<Impl>(std::move(Self), std::move(Domain), Now)) {}
StartupGate::~StartupGate() = default;
StartupGate::StartupGate(StartupGate &&) noexcept = default;
StartupGate &StartupGate::operator=(StartupGate &&) noexcept = default;

void StartupGate::headRead(TimePoint Now, ConfigRevision Head) {
  m_Impl->m_HeadRevision = Head;
  m_Impl->m_HeadReadFailed = false;
  m_Impl->evaluate(Now);
}

void StartupGate::headReadFailed(TimePoint Now) {
  m_Impl->m_HeadReadFailed = true;
  m_Impl->evaluate(Now);
}

void StartupGate::applyInstanceList(TimePoint Now, const std::vector<ListedMember> &List) {
  m_Impl->m_Listed.clear();
  for (const ListedMember &Entry : List)
    if (Entry.m_Instance != m_Impl->m_Self)
      m_Impl->m_Listed[Entry.m_Instance] = Entry.m_Domain;
  m_Impl->m_HasList = true;
  m_Impl->evaluate(Now);
}

void StartupGate::exchangedWith(TimePoint Now, const InstanceId &Peer, ConfigRevision Revision,
                                bool PeerReady) {
  m_Impl->m_Heard[Peer] = HeardPeer{Revision, PeerReady};
  m_Impl->evaluate(Now);
}

void StartupGate::setHeldRevision(TimePoint Now, ConfigRevision Revision) {
  m_Impl->m_HeldRevision = Revision;
  m_Impl->evaluate(Now);
}

void StartupGate::tick(TimePoint Now) { m_Impl->evaluate(Now); }

void StartupGate::paused(TimePoint) {
  m_Impl->m_HeadRevision.reset();
  m_Impl->m_Heard.clear();
  m_Impl->m_Lifecycle.process_event(Paused{});
}

bool StartupGate::ready() const { return state() == GateState::Ready; }
GateState StartupGate::state() const { return m_Impl->m_Lifecycle.m_State; }

std::string StartupGate::notReadyReason() const {
  if (ready())
    return "";
  if (state() == GateState::Unproven)
    return "paused: no head row read and no exchange with a ready peer since";
  if (m_Impl->m_HeadRevision)
    return *m_Impl->m_HeadRevision <= m_Impl->m_HeldRevision
               ? "no exchange with a peer yet"
               : "revision " + std::to_string(m_Impl->m_HeadRevision->value()) + " is not held yet";
  std::string Text = "head row not read; failure domains with instances that have not reported ready:";
  for (const DomainId &Domain : m_Impl->unheardDomains())
    Text += " " + Domain.value();
  return Text;
}

} // namespace bulrushpitch
