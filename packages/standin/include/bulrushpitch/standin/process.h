#ifndef BULRUSHPITCH_STANDIN_PROCESS_H
#define BULRUSHPITCH_STANDIN_PROCESS_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/standin/faults.h"

#include <deque>
#include <functional>
#include <string>

namespace bulrushpitch::standin {

/// @brief How an upstream process starts, warms up and how much it takes.
struct ProcessSettings {
  std::string m_Name = "upstream-1";
  std::string m_Domain = "west-a";
  Endpoint m_Address{};
  std::uint32_t m_Capacity = 32;  ///< Requests at once when warm.
  std::uint32_t m_QueueLimit = 0; ///< Further requests that may wait when warm.
  std::uint32_t m_ColdLimit = 1;
  Milliseconds m_WarmUp{30'000};
  bool m_StartsWarm = false; ///< Only for the first start.
  Milliseconds m_Lag{300};   ///< Of the load report.
};

/// @brief The start, warm-up and end of an upstream process as its callers see them.
class Process {
public:
  enum class Admission : std::uint8_t {
    Accepted,
    Refused,   ///< Overload, or the process is starting.
    FallenOver ///< Too much for a cold process: it lost everything and starts again.
  };

  Process(ProcessSettings Settings, ClockHook Clock);

  /// @param Active requests running or waiting, without the new one
  Admission admit(std::size_t Active);
  /// @brief Notes the number of requests for the load report and the statistics.
  void note(std::size_t Running, std::size_t Queued, double TokensPerSecond);

  /// @brief Starts again, cold, with a new start id, after @p DownTime of refusing everything.
  void restart(Milliseconds DownTime);
  /// @brief Turns cold without a new start id.
  void turnCold(std::uint32_t Tolerance);
  void setLeaving(bool Leaving);
  /// @brief Sets the address that the instance list shows.
  void setAddress(Endpoint Address) { m_Settings.m_Address = std::move(Address); }

  /// @return requests that it can take now
  std::size_t limit() const;
  bool cold() const;
  bool starting() const;
  bool leaving() const { return m_Leaving; }
  const std::string &startId() const { return m_StartId; }
  const ProcessSettings &settings() const { return m_Settings; }
  std::uint64_t fallOvers() const { return m_FallOvers; }
  std::size_t maxRunning() const { return m_MaxRunning; }
  TimePoint now() const { return m_Clock(); }

  /// @return the load report as it was @p Lag ago
  json report(Milliseconds Lag) const;
  /// @return the process's entry in the instance list
  json listEntry() const;
  /// @brief Answers the control endpoints /standin/cold, /standin/leave and /standin/restart.
  /// @return nothing for another path
  std::optional<HttpResponse> control(const std::string &Path, const json &Body,
                                      const std::function<void()> &OnRestart);

  /// Called when the entry in the instance list changes.
  std::function<void()> m_OnChange = [] {};

private:
  struct Sample {
    TimePoint m_Time;
    std::string m_StartId;
    std::size_t m_Running = 0;
    std::size_t m_Queued = 0;
    double m_TokensPerSecond = 0.0;
    TimePoint m_WarmAt;
    bool m_Leaving = false;
  };

  void newStart(TimePoint ReadyAt, bool Warm);
  void sample(std::size_t Running, std::size_t Queued, double TokensPerSecond);

  ProcessSettings m_Settings;
  ClockHook m_Clock;
  std::string m_StartId;
  std::uint64_t m_Starts = 0;
  TimePoint m_ReadyAt; ///< Refuses everything before.
  TimePoint m_ColdSince;
  TimePoint m_WarmAt;
  std::uint32_t m_Tolerance = 0; ///< Refusals above the limit before the process falls over.
  bool m_Leaving = false;
  std::uint64_t m_FallOvers = 0;
  std::size_t m_MaxRunning = 0;
  std::deque<Sample> m_Samples;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_PROCESS_H
