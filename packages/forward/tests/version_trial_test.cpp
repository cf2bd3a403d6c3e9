#include "bulrushpitch/forward/version_trial.h"

#include "bulrushpitch/core/hash.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Trial {
  Trial() { m_Trial.confirm(); }

  void answer(bool OnNew, bool Failed, milliseconds Latency = milliseconds(100)) {
    TrialSample Sample;
    Sample.m_Route = "ask";
    Sample.m_OnNew = OnNew;
    Sample.m_Failed = Failed;
    Sample.m_Latency = Latency;
    m_Trial.record(Sample);
  }

  TimePoint m_Start{seconds(100)};
  VersionTrial m_Trial{TrialOrder{ServiceId("llm"), VersionId("v2"), seconds(24), 7}, m_Start};
};

} // namespace

TEST_CASE_FIXTURE(Trial, "about a tenth of the requests run on the new version") {
  int New = 0;
  for (std::uint64_t Request = 0; Request < 10000; ++Request)
    New += m_Trial.ruleFor(mixHash(Request, 5), false, m_Start).m_Only.has_value() ? 1 : 0;
  CHECK(New > 800);
  CHECK(New < 1200);
}

// Guards against a daemon that restarts and sends requests to a version that was rolled back meanwhile.
TEST_CASE("no request runs on the new version before the daemons' decisions were read") {
  VersionTrial Unconfirmed(TrialOrder{ServiceId("llm"), VersionId("v2"), seconds(24), 7}, TimePoint{});
  for (std::uint64_t Request = 0; Request < 1000; ++Request)
    CHECK_FALSE(Unconfirmed.ruleFor(mixHash(Request, 5), false, TimePoint{}).m_Only);
  CHECK(Unconfirmed.verdict(TimePoint{} + seconds(24)) == TrialState::Running);
}

TEST_CASE_FIXTURE(Trial, "a version that fails a third of its requests is rolled back after few failures") {
  for (int Answer = 0; Answer < 100; ++Answer)
    answer(false, false);
  int Failures = 0;
  for (int Answer = 0; m_Trial.verdict(m_Start) == TrialState::Running && Answer < 100; ++Answer) {
    answer(true, Answer % 3 == 0);
    Failures += Answer % 3 == 0 ? 1 : 0;
  }
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(Failures <= 6);
  CHECK(m_Trial.ruleFor(0, false, m_Start).m_Not == VersionId("v2"));
}

// Guards against a daemon that has just started and finds no version bad, as it has seen nothing of the old
// one.
TEST_CASE_FIXTURE(Trial, "a version that only fails is rolled back without a word of the old one") {
  for (int Answer = 0; Answer < 4; ++Answer)
    answer(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

TEST_CASE_FIXTURE(Trial, "a version that turns bad late is found as fast") {
  for (int Answer = 0; Answer < 500; ++Answer) {
    answer(false, false);
    answer(true, false);
  }
  for (int Answer = 0; Answer < 3; ++Answer)
    answer(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

TEST_CASE_FIXTURE(Trial, "a version that is several times slower is rolled back") {
  for (int Answer = 0; Answer < 20; ++Answer)
    answer(false, false);
  for (int Answer = 0; Answer < 4; ++Answer)
    answer(true, false, milliseconds(900));
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

// Guards against rolling back a good version because upstreams of both versions fail.
TEST_CASE_FIXTURE(Trial, "failures that the old version has as well are no evidence") {
  for (int Answer = 0; Answer < 200; ++Answer) {
    answer(false, Answer % 7 == 0);
    answer(true, Answer % 7 == 0);
  }
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
}

// Guards against completing a version whose upstreams came too late to have answered anything.
TEST_CASE_FIXTURE(Trial, "a version is completed only after it has answered") {
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  for (int Answer = 0; Answer < 12; ++Answer)
    answer(true, false);
  CHECK(m_Trial.verdict(m_Start + seconds(14)) == TrialState::Running);
  CHECK(m_Trial.verdict(m_Start + seconds(15)) == TrialState::Completed);
}

TEST_CASE_FIXTURE(Trial, "sessions keep the old version in the first half") {
  for (std::uint64_t Session = 0; Session < 1000; ++Session)
    CHECK(m_Trial.ruleFor(mixHash(Session, 9), true, m_Start + seconds(11)).m_Not == VersionId("v2"));
  CHECK(m_Trial.ruleFor(0, true, m_Start + seconds(13)).m_Only == VersionId("v2"));
}

TEST_CASE_FIXTURE(Trial, "after the decision all daemons follow it") {
  m_Trial.setState(TrialState::Completed);
  CHECK(m_Trial.ruleFor(~0ULL, false, m_Start).m_Only == VersionId("v2"));
  m_Trial.setState(TrialState::RolledBack);
  CHECK(m_Trial.ruleFor(0, false, m_Start).m_Not == VersionId("v2"));
}

// Guards against a bad version that fails a few times at each daemon and keeps running for many seconds.
TEST_CASE_FIXTURE(Trial, "the evidence of several daemons adds up") {
  for (int Answer = 0; Answer < 20; ++Answer)
    answer(false, false);
  answer(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
  const std::optional<double> News = m_Trial.takeNews();
  REQUIRE(News);
  CHECK_FALSE(m_Trial.takeNews());
  for (int Peer = 0; Peer < 3; ++Peer)
    m_Trial.onPeerEvidence(InstanceId("d" + std::to_string(Peer)), *News, m_Start);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK_FALSE(m_Trial.convinced());
}

TEST_CASE_FIXTURE(Trial, "another daemon's evidence fades") {
  for (int Peer = 0; Peer < 4; ++Peer)
    m_Trial.onPeerEvidence(InstanceId("d" + std::to_string(Peer)), 2.6, m_Start);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(m_Trial.verdict(m_Start + seconds(10)) == TrialState::Running);
}
