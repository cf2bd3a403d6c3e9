#include "bulrushpitch/forward/usual_latency.h"

#include <algorithm>

namespace bulrushpitch {

namespace {

/// An answer takes at least so long, however small its request.
constexpr double LeastSeconds = 0.04;
constexpr std::uint64_t LeastSamples = 5;
/// A version that is slow makes some of its answers wait for several times the usual time; even the longest
/// one in ten of a sound version stays below this.
constexpr double SlowFactor = 4.0;
/// Change of the median for one answer, relative to it.
constexpr double MedianStep = 0.06;
constexpr double DisturbedFactor = 2.5;
/// Times are compared with the calmest ones only after so many.
constexpr std::uint64_t SamplesForCalmest = 20;

double ratioOf(Duration Latency, Duration Expected) {
  const double Usual = LeastSeconds + std::chrono::duration<double>(Expected).count();
  return std::chrono::duration<double>(Latency).count() / Usual;
}

} // namespace

void UsualLatency::record(Duration Latency, Duration Expected) {
  const double Ratio = ratioOf(Latency, Expected);
  ++m_Count;
  if (m_Count <= LeastSamples) {
    m_Median += (Ratio - m_Median) / static_cast<double>(m_Count);
    return;
  }
  m_Median *= Ratio > m_Median ? 1.0 + MedianStep : 1.0 / (1.0 + MedianStep);
  if (m_Count == SamplesForCalmest)
    m_Calmest = m_Median;
  m_Calmest = std::min(m_Calmest, m_Median);
}

bool UsualLatency::known() const { return m_Count >= LeastSamples; }

bool UsualLatency::isSlow(Duration Latency, Duration Expected) const {
  return known() && ratioOf(Latency, Expected) > SlowFactor * m_Median;
}

bool UsualLatency::disturbed() const {
  return m_Count >= SamplesForCalmest && m_Median > DisturbedFactor * m_Calmest;
}

} // namespace bulrushpitch
