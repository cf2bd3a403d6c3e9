#ifndef BULRUSHPITCH_METRICS_METRICS_H
#define BULRUSHPITCH_METRICS_METRICS_H

/// @file
/// @brief Entry header of the metrics package.

#include "bulrushpitch/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bulrushpitch {

/// Names and values that tell the series of one metric apart, for example {{"team", "buskers"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// @brief A number that only rises.
class Counter {
public:
  void add(std::uint64_t Amount = 1) { m_Value += Amount; }
  std::uint64_t value() const { return m_Value; }

private:
  std::uint64_t m_Value = 0;
};

/// @brief A number that rises and falls.
class Gauge {
public:
  void set(double Value) { m_Value = Value; }
  double value() const { return m_Value; }

private:
  double m_Value = 0;
};

/// @brief How long something takes: count and sum since the start, quantiles of the last one to two minutes.
///
/// Quantiles are exact up to 128 values and estimated by the P-square algorithm above. Memory is constant.
class Distribution {
public:
  static constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.95, 0.99};
  static constexpr Duration window = std::chrono::seconds(60);

  explicit Distribution(ClockHook Clock);
  ~Distribution();
  Distribution(const Distribution &) = delete;
  Distribution &operator=(const Distribution &) = delete;

  /// @brief Adds a value.
  /// @complexity constant above 128 values, logarithmic below
  void record(Duration Value);
  /// @return how many values were added since the start
  std::uint64_t count() const;
  /// @return the sum of all values since the start, in seconds
  double sum() const;
  /// @return the values at quantiles, in seconds, then the greatest value; not-a-number without recent values
  std::array<double, quantiles.size() + 1> recent() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// @brief All metrics of one process. Series are made on first use and stay at their address.
///
/// @code
/// Metrics All(systemClock());
/// All.counter("bulrushpitch_requests_total", "Requests answered.", {{"team", "buskers"}}).add();
/// All.distribution("bulrushpitch_first_token_seconds", "Time to the first token.").record(Took);
/// std::string Page = All.render();
/// @endcode
class Metrics {
public:
  /// @param MaxSeries label sets per metric; further ones share a series whose label values are "other", so
  /// that
  ///        callers cannot use up memory with new names
  explicit Metrics(ClockHook Clock, std::size_t MaxSeries = 64);
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// @brief Finds or makes a series.
  /// @param Name lower case with underscores; counters end in "_total", distributions in "_seconds", and
  /// gauges
  ///        in their unit: "_bytes", "_seconds", "_ratio", "_count" or "_info"
  /// @param Help one sentence; that of the first call is kept
  /// @throw std::invalid_argument if a name is malformed, or the metric exists as another kind or with other
  ///        label names
  /// @complexity logarithmic in the number of metrics and series
  Counter &counter(const std::string &Name, const std::string &Help, const MetricLabels &Labels = {});
  Gauge &gauge(const std::string &Name, const std::string &Help, const MetricLabels &Labels = {});
  Distribution &distribution(const std::string &Name, const std::string &Help,
                             const MetricLabels &Labels = {});

  /// @return all metrics in the Prometheus text format 0.0.4; distributions are summaries, quantile 1 is the
  ///         greatest value
  std::string render() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_METRICS_METRICS_H
