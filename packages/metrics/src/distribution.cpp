#include "bulrushpitch/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace bulrushpitch {

namespace {

namespace acc = boost::accumulators;

/// Values that are kept as they are. P-square needs 2 * 4 + 3 values before its first estimate and some tens
/// before a good one at 0.99.
constexpr std::size_t exactValues = 128;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::max, acc::tag::extended_p_square,
                                            acc::tag::tail<acc::right>>>;

Accumulator makeAccumulator() {
  return Accumulator(acc::tag::tail<acc::right>::cache_size = exactValues,
                     acc::tag::extended_p_square::probabilities = Distribution::quantiles);
}

using Values = std::array<double, Distribution::quantiles.size() + 1>;

Values evaluate(const Accumulator &From) {
  Values Result;
  Result.fill(std::numeric_limits<double>::quiet_NaN());
  const std::size_t Count = acc::count(From);
  if (Count == 0)
    return Result;
  Result.back() = acc::max(From);
  if (Count <= exactValues) {
    const auto Tail = acc::tail(From); // The greatest value first.
    const std::vector<double> Sorted(Tail.begin(), Tail.end());
    for (std::size_t Index = 0; Index < Distribution::quantiles.size(); ++Index) {
      const double Rank = std::ceil(Distribution::quantiles[Index] * static_cast<double>(Count));
      Result[Index] = Sorted[Count - static_cast<std::size_t>(std::max(1.0, Rank))];
    }
    return Result;
  }
  const auto Estimates = acc::extended_p_square(From);
  double Least = 0;
  for (std::size_t Index = 0; Index < Distribution::quantiles.size(); ++Index) {
    // Each quantile is estimated by its own markers; the order among them is restored.
    Least = std::min(std::max(Least, Estimates[static_cast<std::ptrdiff_t>(Index)]), Result.back());
    Result[Index] = Least;
  }
  return Result;
}

} // namespace

class Distribution::Impl {
public:
  explicit Impl(ClockHook Clock)
      : m_Clock(std::move(Clock)), m_Older(makeAccumulator()), m_Newer(makeAccumulator()),
        m_Turn(m_Clock() + window) {}

  void record(Duration Value) {
    advance();
    const double Seconds = static_cast<double>(Value.count()) / 1e9;
    ++m_Count;
    m_Sum += Seconds;
    m_Older(Seconds);
    m_Newer(Seconds);
  }

  Values recent() {
    advance();
    return evaluate(m_Older);
  }

  std::uint64_t m_Count = 0;
  double m_Sum = 0;

private:
  /// Both accumulators take every value, and the older one answers. It has seen one to two windows.
  void advance() {
    const TimePoint Now = m_Clock();
    if (Now < m_Turn)
      return;
    m_Older = Now < m_Turn + window ? m_Newer : makeAccumulator();
    m_Newer = makeAccumulator();
    m_Turn = Now + window;
  }

  ClockHook m_Clock;
  Accumulator m_Older;
  Accumulator m_Newer;
  TimePoint m_Turn;
};

Distribution::Distribution(ClockHook Clock) : m_Impl(std::make_unique<Impl>(std::move(Clock))) {}
Distribution::~Distribution() = default;
void Distribution::record(Duration Value) { m_Impl->record(Value); }
std::uint64_t Distribution::count() const { return m_Impl->m_Count; }
double Distribution::sum() const { return m_Impl->m_Sum; }
std::array<double, Distribution::quantiles.size() + 1> Distribution::recent() const {
  return m_Impl->recent();
}

} // namespace bulrushpitch
