#include "bulrushpitch/forward/retry_window.h"

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

void RetryWindow::onRequest(TimePoint Now) { ++bucketAt(Now).m_Requests; }

bool RetryWindow::allows(TimePoint Now, double ReservedShare) const {
  const std::int64_t Number = bucketNumberAt(Now);
  double Requests = 0.0;
  double Retries = 0.0;
  for (const Bucket &WindowBucket : m_Buckets) {
    const std::int64_t Age = Number - WindowBucket.m_Number;
    if (WindowBucket.m_Number < 0 || Age > static_cast<std::int64_t>(BucketCount))
      continue;
    Retries += WindowBucket.m_Retries;
    if (Age < static_cast<std::int64_t>(BucketCount))
      Requests += WindowBucket.m_Requests;
  }
  return Retries + 1.0 <= (m_RetriesPerRequest * Requests + m_BaseRetries) * (1.0 - ReservedShare);
}

bool RetryWindow::takeRetry(TimePoint Now, double ReservedShare) {
  if (!allows(Now, ReservedShare))
    return false;
  ++bucketAt(Now).m_Retries;
  return true;
}

} // namespace bulrushpitch
