#ifndef BULRUSHPITCH_FORWARD_RETRY_WINDOW_H
#define BULRUSHPITCH_FORWARD_RETRY_WINDOW_H

#include "bulrushpitch/core/clock.h"

#include <array>
#include <cstdint>

namespace bulrushpitch {

/// @brief Bounds the retries in any window of time by a share of the requests in it.
///
/// Unlike a bucket of saved-up retries it lets a burst of retries pass that belongs to a burst of requests,
/// and the bounds of several daemons add up to the bound on them all. Not thread-safe.
class RetryWindow {
public:
  /// @param Window the length of any span that counts
  /// @param Share retries per request
  /// @param Reserve retries beyond that
  RetryWindow(Duration Window, double Share, double Reserve);

  /// @brief Changes the bounds; what was counted is kept.
  void setBounds(double Share, double Reserve);
  /// @brief Counts a request that is not a retry.
  void onRequest(TimePoint Now);
  /// @return whether takeRetry() would succeed
  /// @complexity constant
  bool allows(TimePoint Now, double KeptBack = 0.0) const;
  /// @brief Takes a retry.
  /// @param KeptBack part of the window's retries that is left for more important ones
  /// @return false if the window's retries are used up
  /// @complexity constant
  bool takeRetry(TimePoint Now, double KeptBack = 0.0);

private:
  /// Steps of the window. The oldest one counts for retries, not for requests: at any moment of it the bound
  /// holds.
  static constexpr std::size_t Steps = 20;
  struct Step {
    std::int64_t m_Number = -1; ///< Time since the epoch, in steps.
    std::uint32_t m_Requests = 0;
    std::uint32_t m_Retries = 0;
  };
  std::int64_t numberAt(TimePoint Now) const { return Now.time_since_epoch() / m_StepLength; }
  Step &stepAt(TimePoint Now);

  Duration m_StepLength;
  double m_Share;
  double m_Reserve;
  std::array<Step, Steps + 1> m_Steps;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_RETRY_WINDOW_H
