#ifndef BULRUSHPITCH_GATEWAY_ORDER_PACER_H
#define BULRUSHPITCH_GATEWAY_ORDER_PACER_H

#include "bulrushpitch/core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bulrushpitch {

/// @brief How the operators' orders are fetched from the store.
enum class OrderCall : std::uint8_t {
  Watch, ///< A long poll, which returns every change since the last call, superseded ones included.
  Read   ///< A full snapshot, which has the latest configuration only.
};

/// @brief The next call for the orders.
struct NextOrderCall {
  OrderCall m_Call = OrderCall::Watch;
  Duration m_Pause{}; ///< Before the call.
};

/// @brief Decides how and when a daemon fetches the operators' orders next.
///
/// A change of the configuration is delivered in full to every daemon. While changes follow each other
/// closely, watching would transfer each of them, and on a link that many daemons share they queue up: the
/// newest one arrives last. Then the latest configuration alone is read, at an interval, until it no longer
/// changes. Answers load: operators' changes in quick succession times the number of daemons behind one link.
/// Pure; not thread-safe.
class OrderPacer {
public:
  /// @brief Records the answer of a watch.
  /// @param ConfigChanged whether it has a newer configuration
  /// @param SupersededCount changes that came with it though a later one replaces them
  NextOrderCall onWatched(bool ConfigChanged, std::size_t SupersededCount, TimePoint Now);
  /// @brief Records the answer of a full snapshot.
  /// @param ConfigChanged whether it has a newer configuration
  /// @param Took time from the call to the whole answer
  NextOrderCall onRead(bool ConfigChanged, Duration Took, TimePoint Now);
  /// @brief Records that a call got no complete answer in time. The other kind of call comes next: a snapshot
  /// is smaller than many changes, while a watch waits longer for a slow store.
  /// @param Call the call that timed out
  void onTimedOut(OrderCall Call) {
    m_Next.m_Call = Call == OrderCall::Watch ? OrderCall::Read : OrderCall::Watch;
  }
  /// @return the next call
  const NextOrderCall &next() const { return m_Next; }

private:
  bool m_First = true;                  ///< No snapshot has been read yet.
  std::optional<TimePoint> m_ChangedAt; ///< When the configuration last changed here.
  NextOrderCall m_Next{OrderCall::Read, Duration::zero()};
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_ORDER_PACER_H
