#include "bulrushpitch/forward/prefill_time_estimator.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

TEST_CASE("the prefill time is estimated per model") {
  PrefillTimeEstimator Estimator;
  const ModelId Small("small");
  const ModelId Large("large");
  for (int Sample = 0; Sample < 200; ++Sample) {
    Estimator.record(Small, Tokens(10000), milliseconds(50));
    Estimator.record(Large, Tokens(10000), milliseconds(500));
  }
  CHECK(Estimator.expected(Small, Tokens(20000)) > milliseconds(95));
  CHECK(Estimator.expected(Small, Tokens(20000)) < milliseconds(105));
  CHECK(Estimator.expected(Large, Tokens(20000)) > milliseconds(950));
}

TEST_CASE("short prompts do not change the prefill estimate") {
  PrefillTimeEstimator Estimator;
  const ModelId Model("m");
  const Duration Before = Estimator.expected(Model, Tokens(10000));
  Estimator.record(Model, Tokens(10), milliseconds(500));
  CHECK(Estimator.expected(Model, Tokens(10000)) == Before);
}
