#ifndef BULRUSHPITCH_PROTOCOL_DETAIL_LIFECYCLE_H
#define BULRUSHPITCH_PROTOCOL_DETAIL_LIFECYCLE_H

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bulrushpitch::detail {

/// @brief A state that records its enumerator in the machine, so that the state can be read as an
/// enumeration.
template <auto Value> struct NamedState : boost::msm::front::state<> {
  template <typename Event, typename Machine> void on_entry(const Event &, Machine &Entered) {
    Entered.m_State = Value;
  }
};

/// @brief Base of the named lifecycles. An event without a transition in the present state is ignored: it is
/// an answer that arrived late.
template <typename Derived, typename Enum> struct Lifecycle : boost::msm::front::state_machine_def<Derived> {
  Enum m_State{};
  template <typename Event, typename Machine> void no_transition(const Event &, Machine &, int) {}
};

template <typename Source, typename Event, typename Target>
using Transition =
    boost::msm::front::Row<Source, Event, Target, boost::msm::front::none, boost::msm::front::none>;

/// @return whether the event led to a transition
template <typename Machine, typename Event> bool advance(Machine &Of, const Event &Happened) {
  return Of.process_event(Happened) == boost::msm::back::HANDLED_TRUE;
}

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_PROTOCOL_DETAIL_LIFECYCLE_H
