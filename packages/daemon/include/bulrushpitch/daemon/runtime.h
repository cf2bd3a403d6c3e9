#ifndef BULRUSHPITCH_DAEMON_RUNTIME_H
#define BULRUSHPITCH_DAEMON_RUNTIME_H

#include "bulrushpitch/config/settings.h"
#include "bulrushpitch/core/clock.h"

#include <boost/asio/io_context.hpp>

namespace bulrushpitch {

/// @brief The event loop, settings, clocks and random source that all services of a daemon share.
struct Runtime {
  boost::asio::io_context &m_Context; ///< Run by a single thread.
  const Settings &m_Settings;
  ClockHook m_Clock;
  WallClockHook m_WallClock;
  RandomHook m_Random;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_RUNTIME_H
