#include "bulrushpitch/protocol/drain_machine.h"

#include "detail/lifecycle.h"

#include <boost/mpl/vector.hpp>

namespace bulrushpitch {

namespace {

/// Copies alone suffice for the exit, but the store gets this long to take the charges: a stored charge needs
/// no other daemon.
constexpr Duration PreferStore = std::chrono::seconds(2);

struct Stop {};
struct DelayOver {};
struct RequestsOver {};
struct ChargesKept {};
struct PeersTold {};

struct DrainLifecycle : detail::Lifecycle<DrainLifecycle, DrainState> {
  struct Serving : detail::NamedState<DrainState::Serving> {};
  struct NotReady : detail::NamedState<DrainState::NotReady> {};
  struct Refusing : detail::NamedState<DrainState::Refusing> {};
  struct HandingOver : detail::NamedState<DrainState::HandingOver> {};
  struct Announcing : detail::NamedState<DrainState::Announcing> {};
  struct Stopped : detail::NamedState<DrainState::Stopped> {};
  using initial_state = Serving;
  struct transition_table : boost::mpl::vector<detail::Transition<Serving, Stop, NotReady>,
                                               detail::Transition<NotReady, DelayOver, Refusing>,
                                               detail::Transition<Refusing, RequestsOver, HandingOver>,
                                               detail::Transition<HandingOver, ChargesKept, Announcing>,
                                               detail::Transition<Announcing, PeersTold, Stopped>> {};
};

} // namespace

const char *nameOf(DrainState Value) {
  switch (Value) {
  case DrainState::Serving:
    return "serving";
  case DrainState::NotReady:
    return "not ready";
  case DrainState::Refusing:
    return "refusing";
  case DrainState::HandingOver:
    return "handing over";
  case DrainState::Announcing:
    return "announcing";
  case DrainState::Stopped:
    break;
  }
  return "stopped";
}

struct DrainMachine::Impl {
  explicit Impl(DrainSettings Set) : m_Settings(Set) { m_Lifecycle.start(); }
  DrainState state() const { return m_Lifecycle.m_State; }
  template <typename Event> void enter(TimePoint Now, const Event &Happened) {
    m_Lifecycle.process_event(Happened);
    m_Since = Now;
  }
  DrainActions handOver(TimePoint Now, std::size_t Running) {
    enter(Now, RequestsOver{});
    DrainActions Actions;
    if (Running > 0)
      Actions.emplace_back(EndStreams{});
    Actions.emplace_back(ReleaseLeases{});
    Actions.emplace_back(HandOverCharges{});
    return Actions;
  }
  bool chargesAreKept(TimePoint Now, std::size_t Running, std::size_t Unsafe, std::size_t Waiting) const {
    if (Now - m_Since >= m_Settings.m_HandOver)
      return true;
    return Running == 0 && Now > m_Since && (Waiting == 0 || (Unsafe == 0 && Now - m_Since >= PreferStore));
  }

  DrainSettings m_Settings;
  boost::msm::back::state_machine<DrainLifecycle> m_Lifecycle;
  TimePoint m_Since; ///< When the present state was entered.
  bool m_Unkept = false;
};

DrainMachine::DrainMachine(DrainSettings Settings) : m_Impl(std::make_unique<Impl>(Settings)) {}
DrainMachine::~DrainMachine() = default;
DrainMachine::DrainMachine(DrainMachine &&) noexcept = default;
DrainMachine &DrainMachine::operator=(DrainMachine &&) noexcept = default;

DrainActions DrainMachine::stop(TimePoint Now) {
  if (state() != DrainState::Serving)
    return {};
  m_Impl->enter(Now, Stop{});
  return {TurnNotReady{}};
}

DrainActions DrainMachine::tick(TimePoint Now, std::size_t Running, std::size_t Unsafe, std::size_t Waiting) {
  const Duration Spent = Now - m_Impl->m_Since;
  switch (state()) {
  case DrainState::NotReady:
    if (Spent < m_Impl->m_Settings.m_BalancerDelay)
      return {};
    m_Impl->enter(Now, DelayOver{});
    return {RefuseNew{}};
  case DrainState::Refusing:
    if (Running > 0 && Spent < m_Impl->m_Settings.m_Deadline)
      return {};
    return m_Impl->handOver(Now, Running);
  case DrainState::HandingOver:
    if (!m_Impl->chargesAreKept(Now, Running, Unsafe, Waiting))
      return {};
    m_Impl->m_Unkept = Unsafe > 0;
    m_Impl->enter(Now, ChargesKept{});
    return {AnnounceLeaving{}};
  case DrainState::Announcing:
    return Spent < m_Impl->m_Settings.m_Announce ? DrainActions() : announced(Now);
  case DrainState::Serving:
  case DrainState::Stopped:
    break;
  }
  return {};
}

DrainActions DrainMachine::announced(TimePoint Now) {
  if (state() != DrainState::Announcing)
    return {};
  m_Impl->enter(Now, PeersTold{});
  return {ExitProcess{m_Impl->m_Unkept ? 1 : 0}};
}

bool DrainMachine::acceptsNew() const {
  return state() == DrainState::Serving || state() == DrainState::NotReady;
}
bool DrainMachine::readyz() const { return state() == DrainState::Serving; }
DrainState DrainMachine::state() const { return m_Impl->m_Lifecycle.m_State; }

} // namespace bulrushpitch
