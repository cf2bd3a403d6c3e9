#ifndef BULRUSHPITCH_GATEWAY_EVENT_LOG_H
#define BULRUSHPITCH_GATEWAY_EVENT_LOG_H

#include "bulrushpitch/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace bulrushpitch {

/// @brief One field of a log line.
struct LogField {
  std::string_view m_Name;
  std::variant<std::string_view, std::int64_t, double> m_Value;
};

/// @brief How urgent a log line is when there are too many.
enum class LogClass : std::uint8_t {
  State,  ///< A change of what the process believes. Always written.
  Request ///< A decision on one request. Left out and counted above the rate.
};

/// @brief Structured log of one process: one JSON object a line.
///
/// Lines are collected and written in few large writes. When the reader is slow, lines are dropped and
/// counted; the caller never waits. The next line that is written says how many were left out.
class EventLog {
public:
  /// Writes text without blocking; returns how many bytes were taken.
  using WriteHook = std::function<std::size_t(std::string_view)>;

  /// @param LinesPerSecond bound on request lines
  EventLog(ClockHook Clock, WallClockHook WallClock, WriteHook Write, double LinesPerSecond);
  ~EventLog() { flush(); }
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// @brief Adds a line.
  /// @param Event what happened, for example "config_applied"
  void add(LogClass Class, std::string_view Event, std::initializer_list<LogField> Fields);
  /// @brief Writes what was collected, as far as the reader takes it.
  void flush();
  /// @return lines that were left out so far
  std::uint64_t dropped() const { return m_DroppedTotal; }

private:
  bool admit(LogClass Class);

  ClockHook m_Clock;
  WallClockHook m_WallClock;
  WriteHook m_Write;
  double m_LinesPerSecond;
  double m_Tokens;
  TimePoint m_RefilledAt;
  std::string m_Pending;
  std::uint64_t m_Dropped = 0; ///< Since the last line.
  std::uint64_t m_DroppedTotal = 0;
};

/// @return a hook that writes to standard output, which is set to non-blocking
EventLog::WriteHook standardOutput();

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_EVENT_LOG_H
