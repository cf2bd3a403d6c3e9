#include "bulrushpitch/forward/version_trial.h"

#include "bulrushpitch/core/hash.h"
#include "mutation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace bulrushpitch;
using bulrushpitch::testing::mutated;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Trial {
  Trial() { m_Trial.confirm(); }

  void answer(bool OnNew, bool Failed, milliseconds Latency = milliseconds(100),
              const std::string &Route = "ask") {
    TrialSample Sample;
    Sample.m_Route = mutated("trial-by-route") ? "any" : Route;
    Sample.m_OnNew = OnNew;
    Sample.m_Failed = Failed;
    Sample.m_Latency = Latency;
    m_Trial.record(Sample);
  }

  VersionRule rule(std::uint64_t RequestHash, bool InSession, TimePoint Now) {
    return m_Trial.ruleFor(RequestHash, InSession, Now);
  }
  void peer(int Number, double Evidence, std::uint64_t Answers, TimePoint Now,
            const std::string &Route = "") {
    if (!mutated("trial-pooled-evidence"))
      m_Trial.onPeerEvidence(InstanceId("d" + std::to_string(Number)), {{Route, Evidence, Answers, 0}}, Now);
  }

  TimePoint m_Start{seconds(100)};
  VersionTrial m_Trial{TrialOrder{ServiceId("llm"), VersionId("v2"), seconds(24), 7}, 0.15, m_Start};
};

} // namespace

// Guards against exposing more requests than allowed to a version that turns bad when it has the whole load.
TEST_CASE_FIXTURE(Trial, "few requests from the order to the time limit run on a version that is completed") {
  for (int Start = 0; Start < 22; ++Start) {
    Trial Late;
    Late.m_Trial.onUpstream(Late.m_Start + seconds(Start));
    int New = 0;
    int Requests = 0;
    for (milliseconds At{0}; At < seconds(24); At += milliseconds(2)) {
      ++Requests;
      const bool Completed = At > milliseconds(22320);
      const bool Came = At >= seconds(Start);
      const bool OnNew =
          Came && Late.rule(mixHash(static_cast<std::uint64_t>(At.count()), 5), false, Late.m_Start + At)
                      .m_Only.has_value();
      New += Completed || OnNew ? 1 : 0;
    }
    CHECK(New <= 0.15 * Requests);
    CHECK(New >= 0.07 * Requests);
  }
}

// Guards against a daemon that restarts and sends requests to a version that was rolled back meanwhile.
TEST_CASE("no request runs on the new version before the daemons' decisions were read") {
  VersionTrial Unconfirmed(TrialOrder{ServiceId("llm"), VersionId("v2"), seconds(24), 7}, 0.15, TimePoint{});
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
  CHECK(rule(0, false, m_Start).m_Not == VersionId("v2"));
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
  for (int Answer = 0; Answer < 40; ++Answer)
    answer(false, false);
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  for (int Answer = 0; Answer < 24; ++Answer)
    answer(true, false);
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Completed);
}

// Guards against a version that turns bad once it has the whole load: it must not have had it for long.
TEST_CASE_FIXTURE(Trial, "a version is completed near the end of the time limit") {
  for (int Answer = 0; Answer < 100; ++Answer) {
    answer(false, false);
    answer(true, false);
  }
  CHECK(m_Trial.verdict(m_Start + milliseconds(22200)) == TrialState::Running);
  CHECK(m_Trial.verdict(m_Start + milliseconds(22400)) == TrialState::Completed);
}

// Guards against completing a version that was hardly asked on one of the routes.
TEST_CASE_FIXTURE(Trial, "a version must have answered on each route in use") {
  for (int Answer = 0; Answer < 100; ++Answer) {
    answer(false, false);
    answer(false, false, milliseconds(100), "tag");
    answer(true, false);
  }
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  for (int Answer = 0; Answer < 10; ++Answer)
    answer(true, false, milliseconds(100), "tag");
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Completed);
}

// Guards against completing a version of which a third of the few answers on one route were bad.
TEST_CASE_FIXTURE(Trial, "few answers with failures among them are not enough to complete") {
  for (int Answer = 0; Answer < 100; ++Answer) {
    answer(false, false);
    answer(false, false, milliseconds(100), "tag");
    answer(true, false);
  }
  for (int Answer = 0; Answer < 12; ++Answer)
    answer(true, Answer % 6 == 0, milliseconds(100), "tag");
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
}

TEST_CASE_FIXTURE(Trial, "the answers that several daemons saw add up") {
  for (int Answer = 0; Answer < 40; ++Answer)
    answer(false, false);
  for (int Answer = 0; Answer < 6; ++Answer)
    answer(true, false);
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
  REQUIRE(m_Trial.takeNews(m_Start + seconds(20)));
  CHECK_FALSE(m_Trial.takeNews(m_Start + seconds(20)));
  const std::vector<RouteEvidence> Seen{{"", 0.0, 8, 0}, {"ask", 0.0, 8, 0}};
  m_Trial.onPeerEvidence(InstanceId("d1"), Seen, m_Start + seconds(20));
  m_Trial.onPeerEvidence(InstanceId("d2"), Seen, m_Start + seconds(20));
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Completed);
}

// Guards against a slow version that looks usual beside an old one whose upstreams hang and crash.
TEST_CASE_FIXTURE(Trial, "answers that came while the old version was slow don't speak for the new one") {
  for (int Answer = 0; Answer < 100; ++Answer)
    answer(false, false);
  for (int Answer = 0; Answer < 60; ++Answer)
    answer(false, false, milliseconds(1200));
  for (int Answer = 0; Answer < 60; ++Answer)
    answer(true, false, milliseconds(800));
  CHECK(m_Trial.verdict(m_Start + seconds(23)) == TrialState::Running);
}

// Guards against a slow version that is missed because a third of the old one's upstreams hang.
TEST_CASE_FIXTURE(Trial, "a third of slow answers does not change what is usual") {
  for (int Answer = 0; Answer < 120; ++Answer)
    answer(false, Answer % 6 == 0, milliseconds(Answer % 3 == 0 ? 3000 : 100));
  for (int Answer = 0; Answer < 30; ++Answer)
    answer(true, false, milliseconds(Answer % 2 == 0 ? 800 : 100));
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

// Guards against a version that is bad on one route, which the good answers on the others hide.
TEST_CASE_FIXTURE(Trial, "a version that is bad on one route is rolled back") {
  constexpr int Routes = 8;
  const auto RouteOf = [](int Answer) { return "route-" + std::to_string(Answer % Routes); };
  for (int Answer = 0; Answer < 200; ++Answer)
    answer(false, false, milliseconds(100), RouteOf(Answer));
  int Failures = 0;
  for (int Answer = 0; m_Trial.verdict(m_Start) == TrialState::Running && Answer < 400; ++Answer) {
    const bool Fails = Answer % (2 * Routes) == 2;
    answer(true, Fails, milliseconds(100), RouteOf(Answer));
    Failures += Fails ? 1 : 0;
  }
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(Failures <= 8);
}

TEST_CASE_FIXTURE(Trial, "evidence of several daemons on one route adds up") {
  for (int Peer = 0; Peer < 4; ++Peer)
    peer(Peer, 2.6, 3, m_Start, "digest");
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
  answer(true, true, milliseconds(100), "digest");
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
}

// Guards against a cost that grows with the square of the fleet: each daemon reading what each has seen.
TEST_CASE("a few daemons judge a version, each under a slot of its own") {
  for (const std::size_t Daemons : {1UL, 8UL, 58UL, 400UL}) {
    PlacementContext Here;
    for (std::size_t Number = 0; Number < Daemons; ++Number)
      Here.m_Daemons.emplace_back("d" + std::to_string(Number));
    std::size_t Judges = 0;
    std::set<std::uint32_t> Slots;
    for (const InstanceId &Daemon : Here.m_Daemons) {
      Here.m_Instance = Daemon;
      const TrialRole Role = trialRole(ServiceId("llm"), Here);
      Judges += Role.m_Judges ? 1 : 0;
      Slots.insert(Role.m_Slot);
    }
    CHECK(Judges == std::min<std::size_t>(Daemons, 8));
    CHECK(Slots.size() == Daemons);
  }
}

// Guards against a session that runs on one version at one daemon and on the other at the next.
TEST_CASE_FIXTURE(Trial, "in the second half all daemons send a session to the same version") {
  VersionTrial Other(m_Trial.order(), 0.15, m_Start + milliseconds(30));
  Other.confirm();
  for (std::uint64_t Session = 0; Session < 1000; ++Session) {
    const std::uint64_t Key = mixHash(Session, 9);
    const TimePoint Now = m_Start + seconds(14);
    CHECK(rule(Key, true, Now).m_Only == Other.ruleFor(Key, true, Now).m_Only);
  }
}

// Guards against rolling back a good version because its upstreams have just started.
TEST_CASE_FIXTURE(Trial, "a cold upstream's latency says nothing of its version") {
  for (int Answer = 0; Answer < 40; ++Answer)
    answer(false, false);
  TrialSample Cold;
  Cold.m_Route = "ask";
  Cold.m_OnNew = true;
  Cold.m_Latency = seconds(2);
  Cold.m_Cold = !mutated("trial-cold-upstreams");
  for (int Answer = 0; Answer < 20; ++Answer)
    m_Trial.record(Cold);
  CHECK(m_Trial.verdict(m_Start + seconds(10)) == TrialState::Running);
  CHECK(m_Trial.evidence() == 0.0);
}

TEST_CASE_FIXTURE(Trial, "sessions keep the old version in the first half") {
  m_Trial.onUpstream(m_Start);
  for (std::uint64_t Session = 0; Session < 1000; ++Session)
    CHECK(rule(mixHash(Session, 9), true, m_Start + seconds(11)).m_Not == VersionId("v2"));
  CHECK(rule(0, true, m_Start + seconds(13)).m_Only == VersionId("v2"));
}

TEST_CASE_FIXTURE(Trial, "after the decision all daemons follow it") {
  m_Trial.setState(TrialState::Completed);
  CHECK(rule(~0ULL, false, m_Start).m_Only == VersionId("v2"));
  m_Trial.setState(TrialState::RolledBack);
  CHECK(rule(0, false, m_Start).m_Not == VersionId("v2"));
}

// Guards against a bad version that fails a few times at each daemon and keeps running for many seconds.
TEST_CASE_FIXTURE(Trial, "the evidence of several daemons adds up") {
  for (int Answer = 0; Answer < 20; ++Answer)
    answer(false, false);
  answer(true, true);
  CHECK(m_Trial.verdict(m_Start) == TrialState::Running);
  const std::optional<std::vector<RouteEvidence>> News = m_Trial.takeNews(m_Start);
  REQUIRE(News);
  CHECK_FALSE(m_Trial.takeNews(m_Start));
  for (int Peer = 0; Peer < 3; ++Peer)
    m_Trial.onPeerEvidence(InstanceId("d" + std::to_string(Peer)), *News, m_Start);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK_FALSE(m_Trial.convinced());
}

TEST_CASE_FIXTURE(Trial, "another daemon's evidence fades") {
  for (int Peer = 0; Peer < 4; ++Peer)
    peer(Peer, 2.6, 3, m_Start);
  CHECK(m_Trial.verdict(m_Start) == TrialState::RolledBack);
  CHECK(m_Trial.verdict(m_Start + seconds(10)) == TrialState::Running);
}
