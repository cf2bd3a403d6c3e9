#include "bulrushpitch/metrics/metrics.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace bulrushpitch;
using namespace std::chrono_literals;

namespace {

ClockHook stopped() {
  return [] { return TimePoint(1h); };
}

} // namespace

TEST_CASE("the page has help, type, escaped labels and all series of a metric together") {
  Metrics All(stopped());
  All.counter("a_requests_total", "Requests\nanswered \"well\".", {{"team", "x\"\\\n"}}).add(3);
  All.gauge("a_heap_bytes", "Heap.").set(1.5e6);
  All.counter("a_requests_total", "", {{"team", "y"}}).add();
  Distribution &Took = All.distribution("a_call_seconds", "Calls.", {{"peer", "b"}});
  Took.record(20ms);
  Took.record(10ms);
  CHECK(All.render() == "# HELP a_call_seconds Calls.\n# TYPE a_call_seconds summary\n"
                        "a_call_seconds{peer=\"b\",quantile=\"0.5\"} 0.01\n"
                        "a_call_seconds{peer=\"b\",quantile=\"0.9\"} 0.02\n"
                        "a_call_seconds{peer=\"b\",quantile=\"0.95\"} 0.02\n"
                        "a_call_seconds{peer=\"b\",quantile=\"0.99\"} 0.02\n"
                        "a_call_seconds{peer=\"b\",quantile=\"1\"} 0.02\n"
                        "a_call_seconds_sum{peer=\"b\"} 0.03\na_call_seconds_count{peer=\"b\"} 2\n"
                        "# HELP a_heap_bytes Heap.\n# TYPE a_heap_bytes gauge\na_heap_bytes 1500000\n"
                        "# HELP a_requests_total Requests\\nanswered \"well\".\n"
                        "# TYPE a_requests_total counter\n"
                        "a_requests_total{team=\"x\\\"\\\\\\n\"} 3\na_requests_total{team=\"y\"} 1\n");
}

TEST_CASE("label sets above the limit share one series and lose no count") {
  CHECK(rc::check([](const std::vector<std::string> &Teams) {
    Metrics All(stopped(), 4);
    for (const std::string &Team : Teams)
      All.counter("a_requests_total", "", {{"team", Team}}).add();
    const std::string Page = All.render();
    std::size_t Lines = 0;
    std::size_t Sum = 0;
    for (std::size_t At = 0; At < Page.size(); At = Page.find('\n', At) + 1)
      if (Page[At] != '#') {
        ++Lines;
        const std::size_t End = Page.find('\n', At);
        Sum += std::stoul(Page.substr(Page.rfind(' ', End) + 1));
      }
    RC_ASSERT(Lines <= 4U);
    RC_ASSERT(Sum == Teams.size());
  }));
}

TEST_CASE("names without a unit, and a metric of two kinds or label sets, are refused") {
  Metrics All(stopped());
  CHECK_THROWS_AS(All.counter("a_requests", ""), std::invalid_argument);
  CHECK_THROWS_AS(All.distribution("a_call_ms", ""), std::invalid_argument);
  CHECK_THROWS_AS(All.gauge("A_bytes", ""), std::invalid_argument);
  CHECK_THROWS_AS(All.gauge("a_bytes", "", {{"quantile", "1"}}), std::invalid_argument);
  All.gauge("a_seconds", "", {{"team", "x"}});
  CHECK_THROWS_AS(All.distribution("a_seconds", "", {{"team", "x"}}), std::invalid_argument);
  CHECK_THROWS_AS(All.gauge("a_seconds", "", {{"model", "x"}}), std::invalid_argument);
}

TEST_CASE("quantiles are exact for few values and within 5% for many") {
  for (const std::size_t Count : {1U, 2U, 7U, 100U, 128U, 129U, 2'000U, 50'000U}) {
    CAPTURE(Count);
    Distribution Latency(stopped());
    std::mt19937_64 Random(Count);
    std::lognormal_distribution<double> Shape(std::log(50e6), 0.6); // Nanoseconds; a median of 50 ms.
    std::vector<double> Sorted;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const Duration Value(static_cast<std::int64_t>(Shape(Random)));
      Latency.record(Value);
      Sorted.push_back(static_cast<double>(Value.count()) / 1e9);
    }
    std::sort(Sorted.begin(), Sorted.end());
    const auto Recent = Latency.recent();
    CHECK(Recent.back() == Sorted.back());
    for (std::size_t Index = 0; Index < Distribution::quantiles.size(); ++Index) {
      const double Rank = std::ceil(Distribution::quantiles[Index] * static_cast<double>(Count));
      const double Exact = Sorted[static_cast<std::size_t>(Rank) - 1];
      CAPTURE(Distribution::quantiles[Index]);
      if (Count <= 128)
        CHECK(Recent[Index] == Exact);
      else if (Count >= 2'000)
        CHECK(std::abs(Recent[Index] / Exact - 1) < 0.05);
    }
    CHECK(std::is_sorted(Recent.begin(), Recent.end()));
  }
}

TEST_CASE("quantiles forget values after two windows, count and sum do not") {
  // Guards against an early outage that hides in, or dominates, the quantiles for the life of the process.
  TimePoint Now(1h);
  Distribution Latency([&Now] { return Now; });
  for (int Index = 0; Index < 1000; ++Index)
    Latency.record(5s);
  Now += 61s;
  Latency.record(10ms);
  CHECK(Latency.recent().front() == 5.0);
  Now += 61s;
  Latency.record(10ms);
  CHECK(Latency.recent().back() == 0.01);
  Now += 10min;
  CHECK(std::isnan(Latency.recent().back()));
  CHECK(Latency.count() == 1002);
  CHECK(Latency.sum() == doctest::Approx(5000.02));
}
