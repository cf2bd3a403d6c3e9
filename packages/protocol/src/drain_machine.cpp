#include "bulrushpitch/protocol/drain_machine.h"

#include "detail/lifecycle.h"

#include <boost/mpl/vector.hpp>

namespace bulrushpitch {

namespace {

/// Copies at other daemons suffice for the exit, but the store gets this time to accept the charges first: a
/// stored charge depends on no other daemon.
constexpr Duration StorePreferenceTime = std::chrono::seconds(2);

struct Stop {};
struct BalancerDelayElapsed {};
struct RequestsEnded {};
struct HandOverEnded {};
struct PeersNotified {};

struct DrainLifecycle : detail::Lifecycle<DrainLifecycle, DrainState> {
  struct Serving : detail::NamedState<DrainState::Serving> {};
  struct NotReady : detail::NamedState<DrainState::NotReady> {};
  struct Refusing : detail::NamedState<DrainState::Refusing> {};
  struct HandingOver : detail::NamedState<DrainState::HandingOver> {};
  struct Announcing : detail::NamedState<DrainState::Announcing> {};
  struct Stopped : detail::NamedState<DrainState::Stopped> {};
  using initial_state = Serving;
  struct transition_table : boost::mpl::vector<detail::Transition<Serving, Stop, NotReady>,
                                               detail::Transition<NotReady, BalancerDelayElapsed, Refusing>,
                                               detail::Transition<Refusing, RequestsEnded, HandingOver>,
                                               detail::Transition<HandingOver, HandOverEnded, Announcing>,
                                               detail::Transition<Announcing, PeersNotified, Stopped>> {};
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
  explicit Impl(DrainSettings InitialSettings) : m_Settings(InitialSettings) { m_Lifecycle.start(); }
  DrainState state() const { return m_Lifecycle.m_State; }
  template <typename Event> void enter(TimePoint Now, const Event &Trigger) {
    m_Lifecycle.process_event(Trigger);
    m_StateEnteredAt = Now;
  }
  DrainActions startHandOver(TimePoint Now, std::size_t Running) {
    enter(Now, RequestsEnded{});
    DrainActions Actions;
    if (Running > 0)
      Actions.emplace_back(EndStreams{});
    Actions.emplace_back(ReleaseLeases{});
    Actions.emplace_back(HandOverCharges{});
    return Actions;
  }
  /// Whether all charges are stored or copied, or the time for that has passed.
  bool handOverIsComplete(TimePoint Now, std::size_t Running, std::size_t Unsafe, std::size_t Waiting) const {
    if (Now - m_StateEnteredAt >= m_Settings.m_HandOverTimeout)
      return true;
    return Running == 0 && Now > m_StateEnteredAt &&
           (Waiting == 0 || (Unsafe == 0 && Now - m_StateEnteredAt >= StorePreferenceTime));
  }

  DrainSettings m_Settings;
  boost::msm::back::state_machine<DrainLifecycle> m_Lifecycle;
  TimePoint m_StateEnteredAt; ///< When the current state was entered.
  bool m_HasUnsafeCharges = false;
};

DrainMachine::DrainMachine(DrainSettings Settings) : m_Impl(std::make_unique<Impl>(Settings)) {}
DrainMachine::~DrainMachine() = default;
DrainMachine::DrainMachine(DrainMachine &&) noexcept = default;
DrainMachine &DrainMachine::operator=(DrainMachine &&) noexcept = default;

DrainActions DrainMachine::stop(TimePoint Now) {
  if (state() != DrainState::Serving)
    return {};
  m_Impl->enter(Now, Stop{});
  return {SetNotReady{}};
}

DrainActions DrainMachine::tick(TimePoint Now, std::size_t Running, std::size_t Unsafe, std::size_t Waiting) {
  const Duration Elapsed = Now - m_Impl->m_StateEnteredAt;
  switch (state()) {
  case DrainState::NotReady:
    if (Elapsed < m_Impl->m_Settings.m_BalancerDelay)
      return {};
    m_Impl->enter(Now, BalancerDelayElapsed{});
    return {RefuseNewRequests{}};
  case DrainState::Refusing:
    if (Running > 0 && Elapsed < m_Impl->m_Settings.m_RequestTimeout)
      return {};
    return m_Impl->startHandOver(Now, Running);
  case DrainState::HandingOver:
    if (!m_Impl->handOverIsComplete(Now, Running, Unsafe, Waiting))
      return {};
    m_Impl->m_HasUnsafeCharges = Unsafe > 0;
    m_Impl->enter(Now, HandOverEnded{});
    return {AnnounceLeaving{}};
  case DrainState::Announcing:
    return Elapsed < m_Impl->m_Settings.m_AnnounceTimeout ? DrainActions() : announced(Now);
  case DrainState::Serving:
  case DrainState::Stopped:
    break;
  }
  return {};
}

DrainActions DrainMachine::announced(TimePoint Now) {
  if (state() != DrainState::Announcing)
    return {};
  m_Impl->enter(Now, PeersNotified{});
  return {ExitProcess{m_Impl->m_HasUnsafeCharges ? 1 : 0}};
}

bool DrainMachine::acceptsNewRequests() const {
  return state() == DrainState::Serving || state() == DrainState::NotReady;
}
bool DrainMachine::isReady() const { return state() == DrainState::Serving; }
DrainState DrainMachine::state() const { return m_Impl->m_Lifecycle.m_State; }

} // namespace bulrushpitch
