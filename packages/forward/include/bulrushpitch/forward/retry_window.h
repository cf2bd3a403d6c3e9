#ifndef BULRUSHPITCH_FORWARD_RETRY_WINDOW_H
#define BULRUSHPITCH_FORWARD_RETRY_WINDOW_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace bulrushpitch {

/// @brief Requests and retries of a short time, as counted by a retry budget.
struct RetryUse {
  Duration m_Age{}; ///< Time since the end of that time.
  std::uint32_t m_Requests = 0;
  std::uint32_t m_Retries = 0;
  bool operator==(const RetryUse &) const = default;
};

/// @brief What a daemon has used of its retry budgets within their windows.
using ServiceRetryUse = std::map<ServiceId, std::vector<RetryUse>>;

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

  /// @brief Limits the retries before this time further: no base, and fewer of those that nothing is reserved
  /// from, which come in bursts while upstreams fail.
  /// @param EarlyRetriesPerRequest allowed ones of these per request until then
  void allowFrom(TimePoint Time, double EarlyRetriesPerRequest) {
    m_AllowedFrom = Time;
    m_EarlyRetriesPerRequest = EarlyRetriesPerRequest;
  }
  /// @return what was counted within the window
  std::vector<RetryUse> use(TimePoint Now) const;
  /// @brief Counts what another window has counted before, for example that of the process before this one.
  /// @param Now the time from which the ages count
  void restore(const std::vector<RetryUse> &Uses, TimePoint Now);
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
  /// @return the bucket of this time, emptied if it held an earlier one
  Bucket &bucketAt(TimePoint Now);
  /// @return whether a bucket's retries count at this time
  bool isInWindow(const Bucket &Candidate, TimePoint Now) const;

  Duration m_BucketLength;
  double m_RetriesPerRequest;
  double m_BaseRetries;
  TimePoint m_AllowedFrom{};
  double m_EarlyRetriesPerRequest = 0.0;
  std::uint64_t m_EarlyRequests = 0; ///< Before m_AllowedFrom.
  std::uint64_t m_EarlyRetries = 0;  ///< Those that m_EarlyRetriesPerRequest limits.
  std::array<Bucket, BucketCount + 1> m_Buckets;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_RETRY_WINDOW_H
