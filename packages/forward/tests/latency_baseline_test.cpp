#include "bulrushpitch/forward/latency_baseline.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

LatencyBaseline baselineOf(int Samples, milliseconds Latency) {
  LatencyBaseline Baseline;
  for (int Sample = 0; Sample < Samples; ++Sample)
    Baseline.record(Latency, Duration::zero());
  return Baseline;
}

} // namespace

TEST_CASE("nothing is slow before there are enough samples") {
  const LatencyBaseline Baseline = baselineOf(4, milliseconds(100));
  CHECK_FALSE(Baseline.hasEnoughSamples());
  CHECK_FALSE(Baseline.isSlow(std::chrono::seconds(10), Duration::zero()));
}

// Guards against classifying long prompts as evidence of a slow version.
TEST_CASE("a latency that is expected from the request's size is not slow") {
  const LatencyBaseline Baseline = baselineOf(50, milliseconds(80));
  CHECK(Baseline.isSlow(milliseconds(700), Duration::zero()));
  CHECK_FALSE(Baseline.isSlow(milliseconds(700), milliseconds(600)));
}

// Guards against upstreams that hang, whose long latencies would mask a slow version.
TEST_CASE("a minority of long latencies does not shift the baseline") {
  LatencyBaseline Baseline = baselineOf(20, milliseconds(100));
  for (int Sample = 0; Sample < 300; ++Sample)
    Baseline.record(milliseconds(Sample % 3 == 0 ? 5000 : 100), Duration::zero());
  CHECK(Baseline.isSlow(milliseconds(700), Duration::zero()));
  CHECK_FALSE(Baseline.isElevated());
}

TEST_CASE("the baseline is elevated when most latencies are long") {
  LatencyBaseline Baseline = baselineOf(50, milliseconds(100));
  for (int Sample = 0; Sample < 60; ++Sample)
    Baseline.record(milliseconds(1500), Duration::zero());
  CHECK(Baseline.isElevated());
}
