#include "bulrushpitch/forward/retry_window.h"

#include "mutation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace bulrushpitch;
using bulrushpitch::testing::mechanismDisabled;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against retries that amplify an overload: they must not exceed the limit in any window.
TEST_CASE("no window contains more retries than its requests allow") {
  CHECK(rc::check([] {
    const Duration Window = seconds(10);
    RetryWindow Budget(Window, 0.5, 3.0);
    TimePoint Now{seconds(1000)};
    std::vector<TimePoint> Requests;
    std::vector<TimePoint> Retries;
    for (int Event = 0; Event < 300; ++Event) {
      Now += milliseconds(*rc::gen::inRange(0, 400));
      if (*rc::gen::inRange(0, 2) == 0) {
        Budget.onRequest(Now);
        Requests.push_back(Now);
      } else if (Budget.takeRetry(Now)) {
        Retries.push_back(Now);
        const auto Within = [&](const std::vector<TimePoint> &Times) {
          return std::count_if(Times.begin(), Times.end(),
                               [&](TimePoint Time) { return Now - Time < Window; });
        };
        RC_ASSERT(static_cast<double>(Within(Retries)) <= 0.5 * static_cast<double>(Within(Requests)) + 3.0);
      }
    }
  }));
}

// Guards against keeping a small model's doubtful answers in a burst of requests, as a token bucket would
// that has not filled before: escalations count as retries.
TEST_CASE("a burst of requests raises the retry budget at once") {
  RetryWindow Budget(seconds(10), 0.8, 4.0);
  const TimePoint Now{seconds(1000)};
  int Granted = 0;
  for (int Request = 0; Request < 100; ++Request) {
    Budget.onRequest(Now);
    Granted += Budget.takeRetry(Now) ? 1 : 0;
  }
  CHECK(Granted >= 80);
}

TEST_CASE("allows() agrees with takeRetry()") {
  RetryWindow Budget(std::chrono::seconds(10), 0.0, 3.0);
  const TimePoint Now{std::chrono::seconds(100)};
  for (int Retry = 0; Retry < 3; ++Retry) {
    CHECK(Budget.allows(Now));
    CHECK(Budget.takeRetry(Now));
  }
  CHECK_FALSE(Budget.allows(Now));
  CHECK_FALSE(Budget.takeRetry(Now));
  CHECK(Budget.allows(Now + std::chrono::seconds(12)));
}

// Guards against escalations that leave no budget for requests whose upstream fails.
TEST_CASE("a part of the retries can be reserved") {
  RetryWindow Budget(std::chrono::seconds(10), 0.0, 10.0);
  const TimePoint Now{std::chrono::seconds(100)};
  int Escalations = 0;
  while (Budget.takeRetry(Now, mechanismDisabled("retries-kept-back") ? 0.0 : 0.2))
    ++Escalations;
  CHECK(Escalations == 8);
  CHECK(Budget.allows(Now));
  CHECK(Budget.takeRetry(Now));
  CHECK(Budget.takeRetry(Now));
  CHECK_FALSE(Budget.allows(Now));
}
