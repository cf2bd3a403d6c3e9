#include "bulrushpitch/gateway/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace bulrushpitch {

namespace {

/// Limit on the text buffered for a slow reader; further lines are dropped.
constexpr std::size_t MaxPendingBytes = 128UL * 1024UL;
constexpr std::size_t FlushThresholdBytes = 8UL * 1024UL;
/// Burst size of the rate limit, in seconds of its rate.
constexpr double BurstSeconds = 3.0;

void appendText(std::string &Line, std::string_view Text) {
  Line += nlohmann::json(Text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void appendValue(std::string &Line, const std::variant<std::string_view, std::int64_t, double> &Value) {
  if (const std::string_view *Text = std::get_if<std::string_view>(&Value))
    appendText(Line, *Text);
  else if (const std::int64_t *Number = std::get_if<std::int64_t>(&Value))
    Line += std::to_string(*Number);
  else
    Line += nlohmann::json(std::get<double>(Value)).dump();
}

} // namespace

EventLog::EventLog(ClockHook Clock, WallClockHook WallClock, WriteHook Write, double LinesPerSecond)
    : m_Clock(std::move(Clock)), m_WallClock(std::move(WallClock)), m_Write(std::move(Write)),
      m_LinesPerSecond(LinesPerSecond), m_Tokens(LinesPerSecond * BurstSeconds), m_RefilledAt(m_Clock()) {}

bool EventLog::admit(LogClass Class) {
  if (m_Pending.size() >= MaxPendingBytes)
    return false;
  if (Class == LogClass::State)
    return true;
  const TimePoint Now = m_Clock();
  const double ElapsedSeconds = secondsOf(Now - m_RefilledAt);
  m_RefilledAt = Now;
  m_Tokens = std::min(m_LinesPerSecond * BurstSeconds, m_Tokens + ElapsedSeconds * m_LinesPerSecond);
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

void EventLog::add(LogClass Class, std::string_view Event, std::initializer_list<LogField> Fields) {
  if (!admit(Class)) {
    ++m_Dropped;
    ++m_DroppedTotal;
    return;
  }
  m_Pending += "{\"at\":" + std::to_string(m_WallClock().time_since_epoch().count()) + ",\"event\":";
  appendText(m_Pending, Event);
  for (const LogField &Field : Fields) {
    m_Pending += ',';
    appendText(m_Pending, Field.m_Name);
    m_Pending += ':';
    appendValue(m_Pending, Field.m_Value);
  }
  if (m_Dropped > 0)
    m_Pending += ",\"dropped\":" + std::to_string(m_Dropped);
  m_Dropped = 0;
  m_Pending += "}\n";
  if (m_Pending.size() >= FlushThresholdBytes)
    flush();
}

void EventLog::flush() {
  if (m_Pending.empty())
    return;
  m_Pending.erase(0, std::min(m_Pending.size(), m_Write(m_Pending)));
}

EventLog::WriteHook standardOutput() {
  ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  return [](std::string_view Text) {
    const ssize_t Written = ::write(STDOUT_FILENO, Text.data(), Text.size());
    return Written < 0 ? std::size_t{0} : static_cast<std::size_t>(Written);
  };
}

} // namespace bulrushpitch
