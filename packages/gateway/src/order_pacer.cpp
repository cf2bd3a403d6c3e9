#include "bulrushpitch/gateway/order_pacer.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

using std::chrono::milliseconds;

/// Pause between long polls, so that one call returns several changes: each call is charged. It is a small
/// part of the three seconds within which a configuration must be in force.
constexpr Duration CalmInterval = milliseconds(250);
/// Changes within this time of each other are read as one, and the pause before such a read. A third of the
/// time within which a configuration must be in force.
constexpr Duration BusyInterval = milliseconds(1000);
/// Longest pause, for transfers that take long.
constexpr Duration MaxBusyInterval = milliseconds(1500);
/// Pause as a multiple of the time of the last transfer; leaves room on the link for requests.
constexpr int PausePerTransferTime = 2;

} // namespace

NextOrderCall OrderPacer::onWatched(bool ConfigChanged, std::size_t SupersededCount, TimePoint Now) {
  m_Next = {OrderCall::Watch, CalmInterval};
  if (!ConfigChanged)
    return m_Next;
  const bool Close = m_ChangedAt && Now - *m_ChangedAt < BusyInterval;
  if (Close || SupersededCount > 0)
    m_Next = {OrderCall::Read, BusyInterval};
  m_ChangedAt = Now;
  return m_Next;
}

NextOrderCall OrderPacer::onRead(bool ConfigChanged, Duration Took, TimePoint Now) {
  const bool First = std::exchange(m_First, false);
  m_Next = {OrderCall::Watch, CalmInterval};
  if (!ConfigChanged || First)
    return m_Next;
  m_ChangedAt = Now;
  m_Next = {OrderCall::Read, std::clamp(Took * PausePerTransferTime, BusyInterval, MaxBusyInterval)};
  return m_Next;
}

} // namespace bulrushpitch
