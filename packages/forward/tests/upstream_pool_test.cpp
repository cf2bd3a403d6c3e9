#include "bulrushpitch/forward/upstream_pool.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

RegisteredUpstream entry(std::string Id, std::string Domain = "west-a") {
  RegisteredUpstream Entry;
  Entry.m_Id = UpstreamId(std::move(Id));
  Entry.m_Service = ServiceId("llm");
  Entry.m_Domain = DomainId(std::move(Domain));
  Entry.m_Address = {"127.0.0.1", 9000};
  Entry.m_StartedAt = 1;
  return Entry;
}

struct Fixture {
  UpstreamPool m_Pool{{{DomainId("west-a"), RegionId("west")}, {DomainId("hill-a"), RegionId("hill")}}};
  TimePoint m_Now{std::chrono::seconds(100)};
  const UpstreamId m_Id{"a"};

  bool usable() {
    const PooledUpstream *Found = m_Pool.find(m_Id);
    return Found && m_Pool.usable(*Found, m_Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a draining upstream gets no requests") {
  m_Pool.update(entry("a"), m_Now);
  CHECK(usable());
  RegisteredUpstream Leaving = entry("a");
  Leaving.m_Draining = true;
  m_Pool.update(Leaving, m_Now);
  CHECK_FALSE(usable());
}

// Guards against treating all upstreams as removed because their entries vanished while the store was
// unavailable.
TEST_CASE_FIXTURE(
    Fixture, "an entry that vanished while the store was unavailable may reappear within the grace period") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, milliseconds(2200));
  CHECK(usable());
  m_Now += milliseconds(1000);
  m_Pool.update(entry("a"), m_Now);
  m_Now += milliseconds(2000);
  m_Pool.expire(m_Now);
  CHECK(usable());
  m_Pool.remove(m_Id, m_Now, milliseconds(2200));
  m_Now += milliseconds(2200);
  CHECK_FALSE(usable());
  m_Pool.expire(m_Now);
  CHECK_FALSE(m_Pool.find(m_Id));
}

TEST_CASE_FIXTURE(Fixture, "a draining upstream's removal is final also after an outage of the store") {
  RegisteredUpstream Leaving = entry("a");
  Leaving.m_Draining = true;
  m_Pool.update(Leaving, m_Now);
  m_Pool.remove(m_Id, m_Now, milliseconds(2200));
  CHECK_FALSE(m_Pool.find(m_Id));
}

TEST_CASE_FIXTURE(Fixture,
                  "consecutive failures eject an upstream, and a restart under the same id resets them") {
  m_Pool.update(entry("a"), m_Now);
  for (int Failure = 0; Failure < 2; ++Failure) {
    m_Pool.onSent(m_Id);
    m_Pool.onEnded(m_Id, AttemptOutcome::TimedOut, m_Now);
  }
  CHECK(m_Pool.ejected(*m_Pool.find(m_Id), m_Now));
  RegisteredUpstream Restarted = entry("a");
  Restarted.m_StartedAt = 2;
  m_Pool.update(Restarted, m_Now);
  CHECK_FALSE(m_Pool.ejected(*m_Pool.find(m_Id), m_Now));
}

TEST_CASE_FIXTURE(Fixture, "after an ejection, one request at a time probes the upstream") {
  m_Pool.update(entry("a"), m_Now);
  for (int Failure = 0; Failure < 2; ++Failure)
    m_Pool.onEnded(m_Id, AttemptOutcome::Broken, m_Now);
  m_Now += milliseconds(1001);
  CHECK_FALSE(m_Pool.ejected(*m_Pool.find(m_Id), m_Now));
  m_Pool.onSent(m_Id);
  CHECK(m_Pool.ejected(*m_Pool.find(m_Id), m_Now));
  m_Pool.onEnded(m_Id, AttemptOutcome::Answered, m_Now);
  m_Pool.onSent(m_Id);
  CHECK_FALSE(m_Pool.ejected(*m_Pool.find(m_Id), m_Now));
}

// Guards against full load on upstreams that lost their caches or restarted while their domain was out of
// service.
TEST_CASE_FIXTURE(Fixture,
                  "a domain out of service gets no requests, and its upstreams are cold when it returns") {
  m_Pool.update(entry("a", "hill-a"), m_Now);
  m_Pool.setDomainsOut({DomainId("hill-a")}, m_Now);
  CHECK_FALSE(usable());
  m_Pool.setDomainsOut({}, m_Now);
  CHECK(usable());
  CHECK(m_Pool.cold(*m_Pool.find(m_Id), m_Now));
}

// Guards against requests that try one upstream after another in an unreachable domain.
TEST_CASE_FIXTURE(
    Fixture,
    "a domain is unreachable after failed connections, until it sends something or for a limited time") {
  for (const char *Name : {"a", "b", "c"}) {
    m_Pool.update(entry(Name), m_Now);
    m_Pool.onEnded(UpstreamId(Name), AttemptOutcome::NotSent, m_Now);
  }
  CHECK(m_Pool.domainUnreachable(DomainId("west-a"), m_Now));
  CHECK_FALSE(m_Pool.domainUnreachable(DomainId("hill-a"), m_Now));
  m_Pool.onDataReceived(m_Id, m_Now);
  CHECK_FALSE(m_Pool.domainUnreachable(DomainId("west-a"), m_Now));
  for (const char *Name : {"a", "b", "c"})
    m_Pool.onEnded(UpstreamId(Name), AttemptOutcome::NotSent, m_Now);
  m_Now += milliseconds(1000);
  CHECK_FALSE(m_Pool.domainUnreachable(DomainId("west-a"), m_Now));
}

TEST_CASE_FIXTURE(Fixture, "a full snapshot of the registry removes entries that are not in it") {
  m_Pool.replaceAll({entry("a"), entry("b")}, m_Now, Duration::zero());
  CHECK(m_Pool.size() == 2);
  m_Pool.replaceAll({entry("b")}, m_Now, Duration::zero());
  CHECK_FALSE(m_Pool.find(m_Id));
  CHECK(m_Pool.ofService(ServiceId("llm")).size() == 1);
}

namespace {

constexpr Duration Grace = milliseconds(2200);

RegisteredUpstream drainingEntry(std::string Id) {
  RegisteredUpstream Entry = entry(std::move(Id));
  Entry.m_Draining = true;
  return Entry;
}

/// @return the entry of a later incarnation under the same id, at another address
RegisteredUpstream restartedEntry(std::string Id) {
  RegisteredUpstream Entry = entry(std::move(Id));
  Entry.m_StartedAt = 2;
  Entry.m_Address = {"127.0.0.1", 9001};
  return Entry;
}

} // namespace

// Guards against requests to a leaving upstream, because a restored registry still calls it ready.
TEST_CASE_FIXTURE(Fixture, "a draining upstream stays draining when the registry is restored from before") {
  m_Pool.update(drainingEntry("a"), m_Now);
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  CHECK_FALSE(usable());
  m_Now += std::chrono::minutes(1);
  m_Pool.expire(m_Now);
  CHECK_FALSE(usable());
}

// Guards against requests to a leaving upstream whose former states are written again one after the other.
TEST_CASE_FIXTURE(Fixture, "a draining upstream whose ready state is written again stays draining") {
  m_Pool.update(drainingEntry("a"), m_Now);
  m_Pool.replaceAllAfterRestore({}, m_Now, Grace);
  m_Pool.update(entry("a"), m_Now + milliseconds(1000));
  CHECK_FALSE(usable());
}

TEST_CASE_FIXTURE(Fixture, "an upstream that restarts after a restore of the registry is not draining") {
  m_Pool.update(drainingEntry("a"), m_Now);
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  m_Pool.update(restartedEntry("a"), m_Now + milliseconds(1000));
  CHECK(usable());
}

// Guards against requests to addresses of upstreams that have left.
TEST_CASE_FIXTURE(Fixture, "an upstream that had left and is in the restored registry gets no requests") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Now += std::chrono::seconds(8);
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  CHECK_FALSE(usable());
  m_Now += milliseconds(9900);
  CHECK_FALSE(usable());
}

TEST_CASE_FIXTURE(Fixture,
                  "an upstream held after a restore is removed at once when its removal is written") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  m_Pool.remove(m_Id, m_Now + milliseconds(500), Grace);
  CHECK_FALSE(m_Pool.find(m_Id));
}

// Guards against an upstream that is lost for good, because it had been removed for its silence only.
TEST_CASE_FIXTURE(Fixture, "an upstream held after a restore is used once its row changes or the hold ends") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.update(entry("b"), m_Now);
  m_Pool.replaceAll({}, m_Now, Duration::zero());
  m_Pool.replaceAllAfterRestore({entry("a"), entry("b")}, m_Now, Grace);
  m_Pool.update(entry("a"), m_Now + milliseconds(500));
  CHECK(m_Pool.usable(*m_Pool.find(m_Id), m_Now + milliseconds(500)));
  CHECK_FALSE(m_Pool.usable(*m_Pool.find(UpstreamId("b")), m_Now + milliseconds(500)));
  CHECK(m_Pool.usable(*m_Pool.find(UpstreamId("b")), m_Now + std::chrono::seconds(10)));
}

// Guards against requests to the address that an upstream had before its restart.
TEST_CASE_FIXTURE(Fixture, "an incarnation that was replaced since the copy gets no requests") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.update(restartedEntry("a"), m_Now);
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  CHECK_FALSE(usable());
  m_Pool.update(restartedEntry("a"), m_Now + milliseconds(500));
  CHECK(usable());
}

TEST_CASE_FIXTURE(Fixture,
                  "a draining upstream that had left since the copy is not ready when it reappears") {
  m_Pool.update(drainingEntry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  m_Pool.update(entry("a"), m_Now + milliseconds(500));
  CHECK_FALSE(usable());
}

TEST_CASE_FIXTURE(Fixture, "upstreams registered since the copy stay usable for the grace period") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.update(drainingEntry("b"), m_Now);
  m_Pool.replaceAllAfterRestore({}, m_Now, Grace);
  CHECK(usable());
  CHECK_FALSE(m_Pool.find(UpstreamId("b")));
  m_Now += Grace;
  m_Pool.expire(m_Now);
  CHECK_FALSE(m_Pool.find(m_Id));
}

TEST_CASE_FIXTURE(Fixture, "an upstream whose grace period had expired is held like one that had left") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Grace);
  m_Now += Grace;
  m_Pool.expire(m_Now);
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  CHECK_FALSE(usable());
}

TEST_CASE_FIXTURE(Fixture, "a second restore begins the hold of an upstream that had left anew") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  m_Now += milliseconds(9000);
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  m_Now += milliseconds(9000);
  CHECK_FALSE(usable());
  m_Now += milliseconds(1000);
  CHECK(usable());
}

TEST_CASE_FIXTURE(Fixture, "an earlier incarnation of an upstream that had left since the copy is held") {
  m_Pool.update(restartedEntry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Pool.replaceAllAfterRestore({entry("a")}, m_Now, Grace);
  CHECK_FALSE(usable());
}

TEST_CASE_FIXTURE(Fixture, "a later incarnation of an upstream that had left is used at once") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Pool.replaceAllAfterRestore({restartedEntry("a")}, m_Now, Grace);
  CHECK(usable());
}

TEST_CASE_FIXTURE(Fixture, "a restore does not hold upstreams that left long ago or that were never known") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Now += std::chrono::minutes(2);
  m_Pool.replaceAllAfterRestore({entry("a"), entry("b")}, m_Now, Grace);
  CHECK(usable());
  CHECK(m_Pool.usable(*m_Pool.find(UpstreamId("b")), m_Now));
}

// Guards against an upstream that is held or draining outside the time after a restore.
TEST_CASE_FIXTURE(Fixture, "ordinary snapshots and updates take the registry's word") {
  m_Pool.update(entry("a"), m_Now);
  m_Pool.remove(m_Id, m_Now, Duration::zero());
  m_Pool.replaceAll({entry("a")}, m_Now, Duration::zero());
  CHECK(usable());
  m_Pool.update(drainingEntry("a"), m_Now);
  m_Pool.update(entry("a"), m_Now);
  CHECK(usable());
}

TEST_CASE_FIXTURE(Fixture, "the memory of upstreams that left is bounded, and keeps the latest") {
  for (int Number = 0; Number < 5000; ++Number) {
    const std::string Name = "u" + std::to_string(Number);
    m_Now += milliseconds(1);
    m_Pool.update(entry(Name), m_Now);
    m_Pool.remove(UpstreamId(Name), m_Now, Duration::zero());
  }
  m_Pool.replaceAllAfterRestore({entry("u0"), entry("u4999")}, m_Now, Grace);
  CHECK(m_Pool.usable(*m_Pool.find(UpstreamId("u0")), m_Now));
  CHECK_FALSE(m_Pool.usable(*m_Pool.find(UpstreamId("u4999")), m_Now));
}
