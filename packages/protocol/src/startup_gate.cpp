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

/// After this long, condition (i) takes an exchange with a peer that is itself starting: all daemons may be
/// new.
constexpr Duration AnyPeerAfter = std::chrono::seconds(3);
/// Within this time a revision reaches every instance that its holders can reach (guarantee 12).
constexpr Duration SpreadTime = std::chrono::seconds(10);

struct Proven {};
struct Paused {};

struct GateLifecycle : detail::Lifecycle<GateLifecycle, GateState> {
  struct Starting : detail::NamedState<GateState::Starting> {};
  struct Ready : detail::NamedState<GateState::Ready> {};
  struct Unproven : detail::NamedState<GateState::Unproven> {};
  using initial_state = Starting;
  struct transition_table : boost::mpl::vector<detail::Transition<Starting, Proven, Ready>,
                                               detail::Transition<Ready, Paused, Unproven>,
                                               detail::Transition<Unproven, Proven, Ready>> {};
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
      : m_Self(std::move(OwnId)), m_Domain(std::move(OwnDomain)), m_Started(Now) {
    m_Lifecycle.start();
  }

  bool heardEnoughForHead(TimePoint Now) const {
    if (!m_ListIsKnown || m_Listed.empty())
      return m_ListIsKnown;
    return std::any_of(m_Heard.begin(), m_Heard.end(),
                       [&](const std::pair<const InstanceId, HeardPeer> &Entry) {
                         return Entry.second.m_Ready || Now - m_Started >= AnyPeerAfter;
                       });
  }
  /// Domains with a listed instance that has not been heard as ready.
  std::set<DomainId> silentDomains() const {
    std::set<DomainId> Silent;
    for (const std::pair<const InstanceId, DomainId> &Entry : m_Listed) {
      const std::map<InstanceId, HeardPeer>::const_iterator Found = m_Heard.find(Entry.first);
      if (Found == m_Heard.end() || !Found->second.m_Ready)
        Silent.insert(Entry.second);
    }
    return Silent;
  }
  bool holdsAllHeard() const {
    return std::all_of(m_Heard.begin(), m_Heard.end(),
                       [&](const std::pair<const InstanceId, HeardPeer> &Entry) {
                         return Entry.second.m_Revision <= m_Holds;
                       });
  }
  bool conditionOne(TimePoint Now) const { return m_Head && *m_Head <= m_Holds && heardEnoughForHead(Now); }
  bool heardEnoughForRest(TimePoint Now) const {
    std::set<DomainId> Silent = silentDomains();
    const bool OwnIsHeard = Silent.erase(m_Domain) == 0;
    return Silent.empty() || (OwnIsHeard && Silent.size() == 1 && Now - m_Started >= SpreadTime);
  }
  /// Needs a ready peer: a daemon that hears nobody knows nothing.
  bool conditionTwo(TimePoint Now) const {
    const bool HeardReady =
        std::any_of(m_Heard.begin(), m_Heard.end(),
                    [](const std::pair<const InstanceId, HeardPeer> &Entry) { return Entry.second.m_Ready; });
    return m_StoreDown && m_ListIsKnown && HeardReady && heardEnoughForRest(Now) && holdsAllHeard();
  }
  bool refreshed() const {
    if (m_Head && *m_Head <= m_Holds)
      return true;
    return std::any_of(m_Heard.begin(), m_Heard.end(),
                       [&](const std::pair<const InstanceId, HeardPeer> &Entry) {
                         return Entry.second.m_Ready && Entry.second.m_Revision <= m_Holds;
                       });
  }
  void judge(TimePoint Now) {
    const GateState State = m_Lifecycle.m_State;
    const bool Holds = State == GateState::Starting ? conditionOne(Now) || conditionTwo(Now) : refreshed();
    if (State != GateState::Ready && Holds)
      m_Lifecycle.process_event(Proven{});
  }

  InstanceId m_Self;
  DomainId m_Domain;
  TimePoint m_Started;
  boost::msm::back::state_machine<GateLifecycle> m_Lifecycle;
  std::optional<ConfigRevision> m_Head;
  bool m_StoreDown = false;
  bool m_ListIsKnown = false;
  ConfigRevision m_Holds;
  std::map<InstanceId, DomainId> m_Listed; ///< Other instances.
  std::map<InstanceId, HeardPeer> m_Heard;
};

StartupGate::StartupGate(InstanceId Self, DomainId Domain, TimePoint Now)
    : m_Impl(std::make_unique<Impl>(std::move(Self), std::move(Domain), Now)) {}
StartupGate::~StartupGate() = default;
StartupGate::StartupGate(StartupGate &&) noexcept = default;
StartupGate &StartupGate::operator=(StartupGate &&) noexcept = default;

void StartupGate::headRead(TimePoint Now, ConfigRevision Head) {
  m_Impl->m_Head = Head;
  m_Impl->m_StoreDown = false;
  m_Impl->judge(Now);
}

void StartupGate::headUnreadable(TimePoint Now) {
  m_Impl->m_StoreDown = true;
  m_Impl->judge(Now);
}

void StartupGate::listed(TimePoint Now, const std::vector<ListedMember> &List) {
  m_Impl->m_Listed.clear();
  for (const ListedMember &Entry : List)
    if (Entry.m_Instance != m_Impl->m_Self)
      m_Impl->m_Listed[Entry.m_Instance] = Entry.m_Domain;
  m_Impl->m_ListIsKnown = true;
  m_Impl->judge(Now);
}

void StartupGate::heard(TimePoint Now, const InstanceId &Peer, ConfigRevision Revision, bool PeerReady) {
  m_Impl->m_Heard[Peer] = HeardPeer{Revision, PeerReady};
  m_Impl->judge(Now);
}

void StartupGate::holds(TimePoint Now, ConfigRevision Revision) {
  m_Impl->m_Holds = Revision;
  m_Impl->judge(Now);
}

void StartupGate::tick(TimePoint Now) { m_Impl->judge(Now); }

void StartupGate::paused(TimePoint) {
  m_Impl->m_Head.reset();
  m_Impl->m_Heard.clear();
  m_Impl->m_Lifecycle.process_event(Paused{});
}

bool StartupGate::ready() const { return state() == GateState::Ready; }
GateState StartupGate::state() const { return m_Impl->m_Lifecycle.m_State; }

std::string StartupGate::missing() const {
  if (ready())
    return "";
  if (state() == GateState::Unproven)
    return "paused: no head read and no exchange with a ready peer since";
  if (m_Impl->m_Head)
    return *m_Impl->m_Head <= m_Impl->m_Holds
               ? "no exchange with a peer yet"
               : "revision " + std::to_string(m_Impl->m_Head->value()) + " is not held yet";
  std::string Text = "head row not read; domains not heard in full:";
  for (const DomainId &Domain : m_Impl->silentDomains())
    Text += " " + Domain.value();
  return Text;
}

} // namespace bulrushpitch
