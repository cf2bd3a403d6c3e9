#ifndef BULRUSHPITCH_CORE_CLOCK_H
#define BULRUSHPITCH_CORE_CLOCK_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace bulrushpitch {

/// Monotonic time. Leases, deadlines and permits are measured with it.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Calendar time, for tokens and logs only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @return a duration in seconds
inline double secondsOf(Duration Value) { return std::chrono::duration<double>(Value).count(); }
/// @param Seconds within the range of Duration, about 292 years
/// @return a duration, with fractions of a nanosecond cut off
inline Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

/// Hooks through which clocks and randomness reach a class, so that tests can set them.
using ClockHook = std::function<TimePoint()>;
using WallClockHook = std::function<WallTime()>;
using RandomHook = std::function<std::uint64_t()>;

/// @return the process's monotonic clock; it goes on while the process is stopped
ClockHook systemClock();
/// @return the process's calendar clock
WallClockHook systemWallClock();
/// @brief Makes a pseudo-random source.
/// @param Seed the start value; the same seed gives the same numbers
RandomHook seededRandom(std::uint64_t Seed);
/// @return a random source seeded by the operating system
RandomHook systemRandom();

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CORE_CLOCK_H
