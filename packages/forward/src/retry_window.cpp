#include "bulrushpitch/forward/retry_window.h"

#include <algorithm>

namespace bulrushpitch {

RetryWindow::RetryWindow(Duration Window, double RetriesPerRequest, double BaseRetries)
    : m_BucketLength(Window / static_cast<std::int64_t>(BucketCount)), m_RetriesPerRequest(RetriesPerRequest),
      m_BaseRetries(BaseRetries) {}

void RetryWindow::setLimits(double RetriesPerRequest, double BaseRetries) {
  m_RetriesPerRequest = RetriesPerRequest;
  m_BaseRetries = BaseRetries;
}

RetryWindow::Bucket &RetryWindow::bucketAt(TimePoint Now) {
  const std::int64_t Number = bucketNumberAt(Now);
  Bucket &Current = m_Buckets[static_cast<std::size_t>(Number) % m_Buckets.size()];
  if (Current.m_Number != Number)
    Current = Bucket{Number, 0, 0};
  return Current;
}

void RetryWindow::onRequest(TimePoint Now) {
  ++bucketAt(Now).m_Requests;
  m_EarlyRequests += Now < m_AllowedFrom ? 1 : 0;
}

bool RetryWindow::isInWindow(const Bucket &Candidate, TimePoint Now) const {
  return Candidate.m_Number >= 0 &&
         bucketNumberAt(Now) - Candidate.m_Number <= static_cast<std::int64_t>(BucketCount);
}

std::vector<RetryUse> RetryWindow::use(TimePoint Now) const {
  std::vector<RetryUse> Uses;
  for (const Bucket &Counted : m_Buckets) {
    if (!isInWindow(Counted, Now) || (Counted.m_Requests == 0 && Counted.m_Retries == 0))
      continue;
    const TimePoint End{m_BucketLength * (Counted.m_Number + 1)};
    Uses.push_back({std::max(Duration::zero(), Now - End), Counted.m_Requests, Counted.m_Retries});
  }
  return Uses;
}

/// The ages are those of the ends of buckets: retries count at the latest time that they may have been made,
/// requests at the earliest.
void RetryWindow::restore(const std::vector<RetryUse> &Uses, TimePoint Now) {
  const std::int64_t Oldest = bucketNumberAt(Now) - static_cast<std::int64_t>(BucketCount);
  for (const RetryUse &Use : Uses) {
    const TimePoint End = Now - Use.m_Age;
    if (bucketNumberAt(End) >= Oldest)
      bucketAt(End).m_Retries += Use.m_Retries;
    if (bucketNumberAt(End - m_BucketLength) >= Oldest)
      bucketAt(End - m_BucketLength).m_Requests += Use.m_Requests;
  }
}

bool RetryWindow::allows(TimePoint Now, double ReservedShare) const {
  const std::int64_t Number = bucketNumberAt(Now);
  double Requests = 0.0;
  double Retries = 0.0;
  for (const Bucket &WindowBucket : m_Buckets) {
    if (!isInWindow(WindowBucket, Now))
      continue;
    Retries += WindowBucket.m_Retries;
    if (Number - WindowBucket.m_Number < static_cast<std::int64_t>(BucketCount))
      Requests += WindowBucket.m_Requests;
  }
  const bool Early = Now < m_AllowedFrom;
  const double EarlyLimit = m_EarlyRetriesPerRequest * static_cast<double>(m_EarlyRequests);
  if (Early && (m_EarlyRetriesPerRequest <= 0.0 ||
                (ReservedShare <= 0.0 && static_cast<double>(m_EarlyRetries) + 1.0 > EarlyLimit)))
    return false;
  const double Limit = m_RetriesPerRequest * Requests + (Early ? 0.0 : m_BaseRetries);
  return Retries + 1.0 <= Limit * (1.0 - ReservedShare);
}

bool RetryWindow::takeRetry(TimePoint Now, double ReservedShare) {
  if (!allows(Now, ReservedShare))
    return false;
  ++bucketAt(Now).m_Retries;
  m_EarlyRetries += Now < m_AllowedFrom && ReservedShare <= 0.0 ? 1 : 0;
  return true;
}

} // namespace bulrushpitch
