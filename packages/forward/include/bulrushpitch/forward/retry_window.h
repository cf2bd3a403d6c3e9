#ifndef BULRUSHPITCH_FORWARD_RETRY_WINDOW_H
#define BULRUSHPITCH_FORWARD_RETRY_WINDOW_H

#include "bulrushpitch/core/clock.h"

#include <array>
#include <cstdint>

namespace bulrushpitch {

/// @brief Retry budget: limits the retries in any sliding time window to a share of the requests in
/// it, plus a constant. Escalations to a larger model count as retries.
///
/// Unlike a token bucket, it allows a burst of retries that comes with a burst of requests, and the limits of
/// several daemons add up to a limit on all of them. Not thread-safe.
class RetryWindow {
public:
  /// @param Window length of the sliding window
  /// @param RetriesPerRequest allowed retries per request in the window
  /// @param BaseRetries allowed retries per window in addition to these
  RetryWindow(Duration Window, double RetriesPerRequest, double BaseRetries);

  /// @brief Changes the limits; the counts of requests and retries are kept.
  void setLimits(double RetriesPerRequest, double BaseRetries);
  /// @brief Counts a request that is not a retry.
  void onRequest(TimePoint Now);
  /// @return whether takeRetry() would succeed
  /// @complexity constant
  bool allows(TimePoint Now, double ReservedShare = 0.0) const;
  /// @brief Counts a retry if the budget allows it.
  /// @param ReservedShare share of the window's retries, 0 to 1, that is reserved for more important retries:
  /// those of requests whose upstream fails, as against escalations
  /// @return false if the budget is used up
  /// @complexity constant
  bool takeRetry(TimePoint Now, double ReservedShare = 0.0);

private:
  /// Buckets of the window. The retries of one older bucket count as well, but its requests don't, so that
  /// the limit holds at any time within the current bucket.
  static constexpr std::size_t BucketCount = 20;
  struct Bucket {
    std::int64_t m_Number = -1; ///< Time since the epoch, in buckets.
    std::uint32_t m_Requests = 0;
    std::uint32_t m_Retries = 0;
  };
  std::int64_t bucketNumberAt(TimePoint Now) const { return Now.time_since_epoch() / m_BucketLength; }
  Bucket &bucketAt(TimePoint Now);

  Duration m_BucketLength;
  double m_RetriesPerRequest;
  double m_BaseRetries;
  std::array<Bucket, BucketCount + 1> m_Buckets;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_RETRY_WINDOW_H
