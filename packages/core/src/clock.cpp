#include "bulrushpitch/core/clock.h"

#include <memory>
#include <random>

namespace bulrushpitch {

ClockHook systemClock() {
  return [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); };
}

WallClockHook systemWallClock() {
  return [] {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  };
}

RandomHook seededRandom(std::uint64_t Seed) {
  std::shared_ptr<std::mt19937_64> Engine = std::make_shared<std::mt19937_64>(Seed);
  return [Engine] { return (*Engine)(); };
}

RandomHook systemRandom() {
  std::random_device Device;
  return seededRandom((static_cast<std::uint64_t>(Device()) << 32) | Device());
}

} // namespace bulrushpitch
