#ifndef BULRUSHPITCH_PROTOCOL_DETAIL_LIFECYCLE_H
#define BULRUSHPITCH_PROTOCOL_DETAIL_LIFECYCLE_H

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bulrushpitch::detail {

/// @brief A state that stores its enumerator in the state machine on entry, so that the current state can be
/// read as an enumeration value.
template <auto Value> struct NamedState : boost::msm::front::state<> {
  template <typename Event, typename Machine> void on_entry(const Event &, Machine &Target) {
    Target.m_State = Value;
  }
};

/// @brief Base of the state machines. An event without a transition in the current state is ignored, because
/// it is a response that arrived late.
template <typename Derived, typename Enum> struct Lifecycle : boost::msm::front::state_machine_def<Derived> {
  Enum m_State{};
  template <typename Event, typename Machine> void no_transition(const Event &, Machine &, int) {}
};

template <typename Source, typename Event, typename Target>
using Transition =
    boost::msm::front::Row<Source, Event, Target, boost::msm::front::none, boost::msm::front::none>;

/// @brief Processes an event.
/// @return whether it caused a transition
template <typename Machine, typename Event> bool processEvent(Machine &StateMachine, const Event &Trigger) {
  return StateMachine.process_event(Trigger) == boost::msm::back::HANDLED_TRUE;
}

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_PROTOCOL_DETAIL_LIFECYCLE_H
