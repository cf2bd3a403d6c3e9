#include "bulrushpitch/forward/version_trial.h"

#include "bulrushpitch/core/hash.h"
#include "mutation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace bulrushpitch;
using bulrushpitch::testing::mechanismDisabled;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture {
  Fixture() {
    m_Trial.confirmDecisionsRead();
    m_Trial.agreeOnBegin(m_Start);
  }

  void recordSample(bool OnNewVersion, bool Failed, milliseconds Latency = milliseconds(100),
                    const std::string &Route = "ask") {
    TrialSample Sample;
    Sample.m_Route = mechanismDisabled("trial-by-route") ? "any" : Route;
    Sample.m_OnNewVersion = OnNewVersion;
    Sample.m_Failed = Failed;
    Sample.m_Latency = Latency;
    m_Trial.record(Sample);
  }

  VersionRule rule(std::uint64_t RequestHash, bool InSession, TimePoint Now) {
    return m_Trial.ruleFor(RequestHash, InSession, Now);
  }
  void receivePeerEvidence(int Number, double Evidence, std::uint64_t Responses, TimePoint Now,
                           const std::string &Route = "") {
    if (!mechanismDisabled("trial-pooled-evidence"))
      m_Trial.onPeerEvidence(InstanceId("d" + std::to_string(Number)), {{Route, Evidence, Responses, 0}},
                             Now);
  }

  TimePoint m_Start{seconds(100)};
  VersionTrial m_Trial{TrialOrder{ServiceId("llm"), VersionId("v2"), seconds(24), 7}, 0.15, m_Start};
};

} // namespace

// Guards against exceeding the exposure limit with a version that turns bad under the full load.
TEST_CASE_FIXTURE(
    Fixture,
    "the exposure limit holds from the order to the time limit, including the time after completion") {
  for (int Start = 0; Start < 22; ++Start) {
    Fixture Late;
    Late.m_Trial.onUpstreamRegistered(Late.m_Start + seconds(Start));
    int New = 0;
    int Requests = 0;
    for (milliseconds Elapsed{0}; Elapsed < seconds(24); Elapsed += milliseconds(2)) {
      ++Requests;
      const bool Completed = Elapsed > milliseconds(22320);
      const bool HasUpstream = Elapsed >= seconds(Start);
      const bool OnNewVersion =
          HasUpstream &&
          Late.rule(mixHash(static_cast<std::uint64_t>(Elapsed.count()), 5), false, Late.m_Start + Elapsed)
              .m_RequiredVersion.has_value();
      New += Completed || OnNewVersion ? 1 : 0;
    }
    CHECK(New <= 0.15 * Requests);
    CHECK(New >= 0.07 * Requests);
  }
}

// Guards against a daemon that restarts and sends requests to a version that was rolled back meanwhile.
TEST_CASE("no request runs on the new version before the daemons' common decisions are read") {
  VersionTrial Unconfirmed(TrialOrder{ServiceId("llm"), VersionId("v2"), seconds(24), 7}, 0.15, TimePoint{});
  for (std::uint64_t Request = 0; Request < 1000; ++Request)
    CHECK_FALSE(Unconfirmed.ruleFor(mixHash(Request, 5), false, TimePoint{}).m_RequiredVersion);
  CHECK(Unconfirmed.verdict(TimePoint{} + seconds(24)) == TrialState::Running);
}

// Guards against sessions that go back to the old version at a daemon that was restarted during the trial.
TEST_CASE_FIXTURE(Fixture,
                  "a session runs on the same version at a daemon that has started during the trial") {
  m_Trial.onUpstreamRegistered(m_Start + seconds(1));
  for (int Start = 1; Start < 22; ++Start) {
    const TimePoint StartedAt = m_Start + seconds(Start);
    VersionTrial Restarted(m_Trial.order(), 0.15, StartedAt);
    Restarted.confirmDecisionsRead();
    Restarted.onUpstreamRegistered(std::nullopt);
    CHECK_FALSE(Restarted.ruleFor(0, true, StartedAt + seconds(20)).m_RequiredVersion);
    Restarted.agreeOnBegin(m_Start);
    for (int Number = 0; Number < 500; ++Number) {
      const std::uint64_t Session = mixHash(static_cast<std::uint64_t>(Number), 5);
      const TimePoint Now = StartedAt + milliseconds(3 * Number);
      CHECK(Restarted.ruleFor(Session, true, Now).m_RequiredVersion ==
            m_Trial.ruleFor(Session, true, Now).m_RequiredVersion);
    }
  }
}

TEST_CASE_FIXTURE(Fixture, "the agreed begin of a trial never moves to a later time") {
  m_Trial.agreeOnBegin(m_Start + seconds(5));
  CHECK(m_Trial.begunAt() == m_Start);
  m_Trial.agreeOnBegin(m_Start - seconds(1));
  CHECK(m_Trial.begunAt() == m_Start - seconds(1));
}

TEST_CASE_FIXTURE(Fixture, "a version that fails a third of its requests is rolled back after few failures") {
  for (int Response = 0; Response < 100; ++Response)
    recordSample(false, false);
  int Failures = 0;
  for (int Response = 0; m_Trial.verdict(m_Start) == TrialState::Running && Response < 100; ++Response) {
    recordSample(true, Response % 3 == 0);
    Failures += Response % 3 == 0 ? 1 : 0;
  }
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(Failures <= 6);
  CHECK(rule(0, false, m_Start).m_ExcludedVersion == VersionId("v2"));
}

// Guards against a daemon that has just started and cannot detect a bad version, as it has no responses of
// the old one.
TEST_CASE_FIXTURE(Fixture,
                  "a version that always fails is rolled back without responses of the old version") {
  for (int Response = 0; Response < 4; ++Response)
    recordSample(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

TEST_CASE_FIXTURE(Fixture, "a version that turns bad late is rolled back as fast") {
  for (int Response = 0; Response < 500; ++Response) {
    recordSample(false, false);
    recordSample(true, false);
  }
  for (int Response = 0; Response < 3; ++Response)
    recordSample(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

TEST_CASE_FIXTURE(Fixture, "a version that is several times slower is rolled back") {
  for (int Response = 0; Response < 20; ++Response)
    recordSample(false, false);
  for (int Response = 0; Response < 4; ++Response)
    recordSample(true, false, milliseconds(900));
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

// Guards against rolling back a good version because upstreams of both versions fail.
TEST_CASE_FIXTURE(Fixture, "failures that the old version has as well are no evidence against the new one") {
  for (int Response = 0; Response < 200; ++Response) {
    recordSample(false, Response % 7 == 0);
    recordSample(true, Response % 7 == 0);
  }
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
}

// Guards against completing a version whose upstreams started too late to have sent any response.
TEST_CASE_FIXTURE(Fixture, "a version is completed only after enough responses") {
  for (int Response = 0; Response < 40; ++Response)
    recordSample(false, false);
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  for (int Response = 0; Response < 24; ++Response)
    recordSample(true, false);
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Completed);
}

// Guards against a long exposure to a version that turns bad under the full load, which it gets when
// completed.
TEST_CASE_FIXTURE(Fixture, "a version is completed near the end of the time limit") {
  for (int Response = 0; Response < 100; ++Response) {
    recordSample(false, false);
    recordSample(true, false);
  }
  CHECK(m_Trial.verdict(m_Start + milliseconds(22200)) == TrialState::Running);
  CHECK(m_Trial.verdict(m_Start + milliseconds(22400)) == TrialState::Completed);
}

// Guards against completing a version that got hardly any requests on one of the routes.
TEST_CASE_FIXTURE(Fixture, "a version is completed only after enough responses on each route in use") {
  for (int Response = 0; Response < 100; ++Response) {
    recordSample(false, false);
    recordSample(false, false, milliseconds(100), "tag");
    recordSample(true, false);
  }
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  for (int Response = 0; Response < 10; ++Response)
    recordSample(true, false, milliseconds(100), "tag");
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Completed);
}

// Guards against completing a version although some of its few responses on one route were bad, here one in
// six.
TEST_CASE_FIXTURE(Fixture, "few responses with failures among them do not suffice to complete") {
  for (int Response = 0; Response < 100; ++Response) {
    recordSample(false, false);
    recordSample(false, false, milliseconds(100), "tag");
    recordSample(true, false);
  }
  for (int Response = 0; Response < 12; ++Response)
    recordSample(true, Response % 6 == 0, milliseconds(100), "tag");
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
}

TEST_CASE_FIXTURE(Fixture, "response counts of several daemons add up") {
  for (int Response = 0; Response < 40; ++Response)
    recordSample(false, false);
  for (int Response = 0; Response < 6; ++Response)
    recordSample(true, false);
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  REQUIRE(m_Trial.takeUnpublishedEvidence(m_Start + seconds(20)));
  CHECK_FALSE(m_Trial.takeUnpublishedEvidence(m_Start + seconds(20)));
  const std::vector<RouteEvidence> PeerEvidence{{"", 0.0, 8, 0}, {"ask", 0.0, 8, 0}};
  m_Trial.onPeerEvidence(InstanceId("d1"), PeerEvidence, m_Start + seconds(20));
  m_Trial.onPeerEvidence(InstanceId("d2"), PeerEvidence, m_Start + seconds(20));
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Completed);
}

// Guards against missing a slow version because the old one is slow as well, as its upstreams hang and crash.
TEST_CASE_FIXTURE(Fixture,
                  "responses that came while the old version was slow don't count towards completion") {
  for (int Response = 0; Response < 100; ++Response)
    recordSample(false, false);
  for (int Response = 0; Response < 60; ++Response)
    recordSample(false, false, milliseconds(1200));
  for (int Response = 0; Response < 60; ++Response)
    recordSample(true, false, milliseconds(800));
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
}

// Guards against missing a slow version because a third of the old version's upstreams hang.
TEST_CASE_FIXTURE(Fixture, "a third of slow responses does not shift the baseline") {
  for (int Response = 0; Response < 120; ++Response)
    recordSample(false, Response % 6 == 0, milliseconds(Response % 3 == 0 ? 3000 : 100));
  for (int Response = 0; Response < 30; ++Response)
    recordSample(true, false, milliseconds(Response % 2 == 0 ? 800 : 100));
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

// Guards against missing a version that is bad on one route, because good responses on other routes mask it.
TEST_CASE_FIXTURE(Fixture, "a version that is bad on one route is rolled back") {
  constexpr int Routes = 8;
  const auto RouteOf = [](int Response) { return "route-" + std::to_string(Response % Routes); };
  for (int Response = 0; Response < 200; ++Response)
    recordSample(false, false, milliseconds(100), RouteOf(Response));
  int Failures = 0;
  for (int Response = 0; m_Trial.verdict(m_Start) == TrialState::Running && Response < 400; ++Response) {
    const bool Fails = Response % (2 * Routes) == 2;
    recordSample(true, Fails, milliseconds(100), RouteOf(Response));
    Failures += Fails ? 1 : 0;
  }
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(Failures <= 8);
}

TEST_CASE_FIXTURE(Fixture, "evidence of several daemons on one route adds up") {
  for (int PeerNumber = 0; PeerNumber < 4; ++PeerNumber)
    receivePeerEvidence(PeerNumber, 2.6, 3, m_Start, "digest");
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
  recordSample(true, true, milliseconds(100), "digest");
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

// Guards against a cost that grows with the square of the number of daemons, as it would if each one read the
// evidence of all.
TEST_CASE("a fixed number of daemons decides on a version, and each daemon has a distinct rank") {
  for (const std::size_t Daemons : {1UL, 8UL, 58UL, 400UL}) {
    PlacementContext Context;
    for (std::size_t Number = 0; Number < Daemons; ++Number)
      Context.m_Daemons.emplace_back("d" + std::to_string(Number));
    std::size_t DecidingDaemons = 0;
    std::set<std::uint32_t> Ranks;
    for (const InstanceId &Daemon : Context.m_Daemons) {
      Context.m_Instance = Daemon;
      const TrialRole Role = trialRole(ServiceId("llm"), Context);
      DecidingDaemons += Role.m_Decides ? 1 : 0;
      Ranks.insert(Role.m_Rank);
    }
    CHECK(DecidingDaemons == std::min<std::size_t>(Daemons, 8));
    CHECK(Ranks.size() == Daemons);
  }
}

// Guards against a session that runs on different versions at different daemons.
TEST_CASE_FIXTURE(Fixture,
                  "in the second half of the time limit, all daemons send a session to the same version") {
  VersionTrial Other(m_Trial.order(), 0.15, m_Start + milliseconds(30));
  Other.confirmDecisionsRead();
  Other.agreeOnBegin(m_Start);
  for (std::uint64_t Session = 0; Session < 1000; ++Session) {
    const std::uint64_t Key = mixHash(Session, 9);
    const TimePoint Now = m_Start + seconds(14);
    CHECK(rule(Key, true, Now).m_RequiredVersion == Other.ruleFor(Key, true, Now).m_RequiredVersion);
  }
}

// Guards against rolling back a good version because its upstreams have just started.
TEST_CASE_FIXTURE(Fixture, "a cold upstream's latency is no evidence against its version") {
  for (int Response = 0; Response < 40; ++Response)
    recordSample(false, false);
  TrialSample Cold;
  Cold.m_Route = "ask";
  Cold.m_OnNewVersion = true;
  Cold.m_Latency = seconds(2);
  Cold.m_Cold = !mechanismDisabled("trial-cold-upstreams");
  for (int Response = 0; Response < 20; ++Response)
    m_Trial.record(Cold);
  CHECK(m_Trial.verdict(m_Start + seconds(10)) == TrialState::Running);
  CHECK(m_Trial.evidence() == 0.0);
}

TEST_CASE_FIXTURE(Fixture, "sessions stay on the old version in the first half of the time limit") {
  m_Trial.onUpstreamRegistered(m_Start);
  for (std::uint64_t Session = 0; Session < 1000; ++Session)
    CHECK(rule(mixHash(Session, 9), true, m_Start + seconds(11)).m_ExcludedVersion == VersionId("v2"));
  CHECK(rule(0, true, m_Start + seconds(13)).m_RequiredVersion == VersionId("v2"));
}

TEST_CASE_FIXTURE(Fixture, "the common decision determines the version") {
  m_Trial.setState(TrialState::Completed);
  CHECK(rule(~0ULL, false, m_Start).m_RequiredVersion == VersionId("v2"));
  m_Trial.setState(TrialState::RolledBack);
  CHECK(rule(0, false, m_Start).m_ExcludedVersion == VersionId("v2"));
}

// Guards against missing a bad version for many seconds, because it fails only a few times at each daemon.
TEST_CASE_FIXTURE(Fixture, "the evidence of several daemons adds up") {
  for (int Response = 0; Response < 20; ++Response)
    recordSample(false, false);
  recordSample(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
  const std::optional<std::vector<RouteEvidence>> Update = m_Trial.takeUnpublishedEvidence(m_Start);
  REQUIRE(Update);
  CHECK_FALSE(m_Trial.takeUnpublishedEvidence(m_Start));
  for (int PeerNumber = 0; PeerNumber < 3; ++PeerNumber)
    m_Trial.onPeerEvidence(InstanceId("d" + std::to_string(PeerNumber)), *Update, m_Start);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK_FALSE(m_Trial.hasRollbackEvidence());
}

// Guards against a version that can't be judged, as the published evidence and counts were lost.
TEST_CASE_FIXTURE(Fixture, "evidence and counts that were published can be published again, once") {
  for (int Response = 0; Response < 20; ++Response)
    recordSample(false, false);
  bool Failed = false;
  TimePoint Now = m_Start;
  SUBCASE("evidence") { Failed = true; }
  SUBCASE("counts") { Now = m_Start + seconds(20); }
  recordSample(true, Failed);
  REQUIRE(m_Trial.takeUnpublishedEvidence(Now));
  CHECK_FALSE(m_Trial.takeUnpublishedEvidence(Now));
  m_Trial.publishEvidenceAgain();
  CHECK(m_Trial.takeUnpublishedEvidence(Now));
  CHECK_FALSE(m_Trial.takeUnpublishedEvidence(Now));
}

TEST_CASE_FIXTURE(Fixture, "another daemon's evidence decays") {
  for (int PeerNumber = 0; PeerNumber < 4; ++PeerNumber)
    receivePeerEvidence(PeerNumber, 2.6, 3, m_Start);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(m_Trial.verdict(m_Start + seconds(10)) == TrialState::Running);
}
