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

/// @brief Priority of a log line under rate limiting.
enum class LogClass : std::uint8_t {
  State,  ///< A state change of the process. Not rate-limited.
  Request ///< A decision on one request. Dropped and counted above the rate limit.
};

/// @brief Structured log of one process: one JSON object per line.
///
/// Lines are buffered and written in a few large writes. If the reader is slow, lines are dropped and
/// counted; the caller never blocks. The next line written reports how many were dropped.
class EventLog {
public:
  /// Writes text without blocking; returns the number of bytes written.
  using WriteHook = std::function<std::size_t(std::string_view)>;

  /// @param LinesPerSecond rate limit of lines of class Request
  EventLog(ClockHook Clock, WallClockHook WallClock, WriteHook Write, double LinesPerSecond);
  ~EventLog() { flush(); }
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// @brief Appends a line.
  /// @param Event event name, for example "config_applied"
  void add(LogClass Class, std::string_view Event, std::initializer_list<LogField> Fields);
  /// @brief Writes the buffered lines, as far as the output accepts them.
  void flush();
  /// @return number of lines dropped so far
  std::uint64_t dropped() const { return m_DroppedTotal; }

private:
  bool admit(LogClass Class);

  ClockHook m_Clock;
  WallClockHook m_WallClock;
  WriteHook m_Write;
  double m_LinesPerSecond;
  double m_Tokens; ///< Of the token bucket that limits request lines.
  TimePoint m_RefilledAt;
  std::string m_Pending;
  std::uint64_t m_Dropped = 0; ///< Since the last line that was not dropped.
  std::uint64_t m_DroppedTotal = 0;
};

/// @brief Sets standard output to non-blocking.
/// @return a hook that writes to it
EventLog::WriteHook standardOutput();

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_EVENT_LOG_H
