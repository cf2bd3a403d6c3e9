#include "bulrushpitch/forward/latency_baseline.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// Part of the time to the response head that doesn't depend on the request's size.
constexpr double BaseSeconds = 0.04;
constexpr std::uint64_t MinSamples = 5;
/// Threshold, relative to the median, above which a response is slow. A slow version delays some of its
/// responses to several times the baseline; even the slowest one in ten of a good version stays below this.
constexpr double SlowFactor = 4.0;
/// Relative change of the estimated median per sample.
constexpr double MedianStep = 0.06;
constexpr double ElevatedFactor = 2.5;
/// Samples before the lowest median is tracked.
constexpr std::uint64_t MinSamplesForLowest = 20;

double ratioOf(Duration Latency, Duration Expected) {
  const double ExpectedSeconds = BaseSeconds + secondsOf(Expected);
  return secondsOf(Latency) / ExpectedSeconds;
}

} // namespace

void LatencyBaseline::record(Duration Latency, Duration Expected) {
  const double Ratio = ratioOf(Latency, Expected);
  ++m_Count;
  if (m_Count <= MinSamples) {
    m_Median += (Ratio - m_Median) / static_cast<double>(m_Count);
    return;
  }
  m_Median *= Ratio > m_Median ? 1.0 + MedianStep : 1.0 / (1.0 + MedianStep);
  if (m_Count == MinSamplesForLowest)
    m_LowestMedian = m_Median;
  m_LowestMedian = std::min(m_LowestMedian, m_Median);
}

bool LatencyBaseline::hasEnoughSamples() const { return m_Count >= MinSamples; }

bool LatencyBaseline::isSlow(Duration Latency, Duration Expected) const {
  return hasEnoughSamples() && ratioOf(Latency, Expected) > SlowFactor * m_Median;
}

bool LatencyBaseline::isElevated() const {
  return m_Count >= MinSamplesForLowest && m_Median > ElevatedFactor * m_LowestMedian;
}

} // namespace bulrushpitch
