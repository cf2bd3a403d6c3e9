#include "forwarder_fixture.h"

using namespace bulrushpitch;
using namespace bulrushpitch::testing;
using std::chrono::milliseconds;

namespace {

using Fixture = ForwarderFixture;

/// Says in its head that the upstream takes one request in four seconds from this daemon.
const std::string Limited = "signed: 1\r\nlimit: 0.25\r\n";

} // namespace

// Guards against callers that wait for an upstream which can't take their requests for seconds.
TEST_CASE_FIXTURE(Fixture, "a request that only limited upstreams could take is rejected at once") {
  configure(RequestKind::Idempotent, 3);
  add(alwaysReply({makeResponse("answer", Limited)}));
  CHECK(send(request()).m_Status == 200);
  CHECK(send(request()).m_Status == 200);
  const TimePoint Start = systemClock()();
  const ReceivedResponse Rejected = send(request());
  CHECK(systemClock()() - Start < milliseconds(200));
  CHECK(Rejected.m_Status == 503);
  const std::optional<std::string_view> RetryAfter = Rejected.m_Headers.find("Retry-After");
  REQUIRE(RetryAfter);
  CHECK(std::stod(std::string(*RetryAfter)) >= 0.25);
  CHECK(std::stod(std::string(*RetryAfter)) <= 2.0);
  m_Log->flush();
  CHECK(m_LogText.find("\"event\":\"upstream_notice\",\"upstream\":\"u1\"") != std::string::npos);
  CHECK(m_LogText.find("all upstreams are at their limits or paused") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "requests beyond an upstream's limit go to the others") {
  configure(RequestKind::Idempotent, 3);
  ScriptedUpstream &Preferred = add(alwaysReply({makeResponse("limited", Limited)}));
  ScriptedUpstream &Other = add(alwaysReply({makeResponse("other")}));
  for (int Number = 0; Number < 10; ++Number)
    CHECK(send(request()).m_Status == 200);
  CHECK(Preferred.requests().size() == 2);
  CHECK(Other.requests().size() == 8);
}

// Guards against a second attempt that goes past the limit.
TEST_CASE_FIXTURE(Fixture,
                  "a limit that a refusal or a broken answer names binds the retry and later requests") {
  configure(RequestKind::Idempotent, 3);
  ScriptedReply Reply;
  SUBCASE("a refusal") { Reply = {makeResponse("", "not-run: 1\r\nlimit: 0.25\r\n", 503)}; }
  SUBCASE("a server error") { Reply = {makeResponse("error", Limited, 500)}; }
  SUBCASE("an answer whose body breaks off") {
    Reply.m_Bytes = "HTTP/1.1 200 OK\r\n" + Limited + "Content-Length: 50\r\n\r\nhalf";
    Reply.m_Close = true;
  }
  ScriptedUpstream &Preferred = add(alwaysReply(Reply));
  add(alwaysReply({makeResponse("other")}));
  for (int Number = 0; Number < 10; ++Number)
    CHECK(send(request()).m_Body == "other");
  CHECK(Preferred.requests().size() <= 2);
}

// Guards against a larger model that is asked for without regard to the limit.
TEST_CASE_FIXTURE(Fixture, "a doubtful answer is kept if the larger model would exceed the limit") {
  configure(RequestKind::Stream, 3, {ModelId("small"), ModelId("large")});
  ScriptedUpstream &Only =
      add(alwaysReply({streamHead(Limited + "confidence: 1\r\n") + events(1, 2) + StreamEnd}));
  HttpRequest First = request();
  First.m_Headers.add("model", "any");
  // The first answer names the limit; of the two requests in four seconds one is left for the larger model.
  CHECK(send(First).m_Body == event(1) + event(2));
  const std::size_t Before = Only.requests().size();
  CHECK(Before == 2);
  HttpRequest Second = request();
  Second.m_Headers.add("model", "any");
  CHECK(send(Second).m_Status == 503);
  CHECK(Only.requests().size() == Before);
}

// Guards against a stream that resumes at an upstream past its limit, and against one that is cut for it.
TEST_CASE_FIXTURE(Fixture, "a stream that breaks resumes at an upstream that can take it") {
  configure(RequestKind::Stream, 3);
  ScriptedUpstream &Limiting = add([](const std::string &, int Number) {
    ScriptedReply Reply{streamHead(Limited) + events(1, Number < 3 ? 2 : 4)};
    Reply.m_Close = true;
    return Reply;
  });
  ScriptedUpstream &Other =
      add([](const std::string &, int) { return ScriptedReply{streamHead() + events(3, 4) + StreamEnd}; });
  for (int Number = 0; Number < 3; ++Number)
    CHECK(send(request()).m_Body.find(event(4)) != std::string::npos);
  CHECK(Limiting.requests().size() <= 2);
  CHECK(Other.requests().size() >= 3);
}

TEST_CASE_FIXTURE(Fixture, "an upstream gets its usual requests when an answer names no limit any more") {
  configure(RequestKind::Idempotent, 3);
  ScriptedUpstream &Upstream = add([](const std::string &, int Number) {
    return ScriptedReply{makeResponse("answer", Number == 1 ? Limited : "signed: 1\r\n")};
  });
  for (int Number = 0; Number < 5; ++Number)
    CHECK(send(request()).m_Status == 200);
  CHECK(Upstream.requests().size() == 5);
}

// Guards against an upstream that leaves and is sent requests until the registry says so.
TEST_CASE_FIXTURE(Fixture, "an upstream that says in any answer that it leaves gets no further request") {
  configure(RequestKind::Stream, 3);
  ScriptedReply Reply;
  SUBCASE("in the head of a stream") {
    Reply.m_Bytes = streamHead("signed: 1\r\nleaving: 1\r\n") + events(1, 2) + StreamEnd;
  }
  SUBCASE("in the head of a stream that breaks off") {
    Reply.m_Bytes = streamHead("signed: 1\r\nleaving: 1\r\n") + events(1, 1);
    Reply.m_Close = true;
  }
  SUBCASE("in a refusal") { Reply.m_Bytes = makeResponse("", "not-run: 1\r\nleaving: 1\r\n", 503); }
  SUBCASE("in a server error") { Reply.m_Bytes = makeResponse("", "signed: 1\r\nleaving: 1\r\n", 500); }
  ScriptedUpstream &Leaving = add(alwaysReply(Reply));
  add(alwaysReply({streamHead() + events(1, 2) + StreamEnd}));
  for (int Number = 0; Number < 5; ++Number)
    CHECK(send(request()).m_Status == 200);
  CHECK(Leaving.requests().size() == 1);
  // Its entry is written again, as by a registry that lags behind.
  RegisteredUpstream Entry = m_State->m_Pool.find(UpstreamId("u1"))->m_Entry;
  m_State->m_Pool.remove(Entry.m_Id, systemClock()(), Duration::zero());
  m_State->m_Pool.update(Entry, systemClock()());
  CHECK(send(request()).m_Status == 200);
  CHECK(Leaving.requests().size() == 1);
  Entry.m_StartedAt = 7;
  m_State->m_Pool.update(Entry, systemClock()());
  CHECK(send(request()).m_Status == 200);
  CHECK(Leaving.requests().size() == 2);
}

// Guards against an upstream that is given up because of what another one at its address says.
TEST_CASE_FIXTURE(Fixture,
                  "an answer of another upstream at the address says nothing of the one that was asked") {
  configure(RequestKind::Idempotent, 1);
  ScriptedUpstream &Upstream = add([](const std::string &, int Number) {
    if (Number == 1)
      return ScriptedReply{makeResponse("", "wrong-address: 1\r\nleaving: 1\r\nlimit: 0\r\n", 421)};
    return ScriptedReply{makeResponse("answer")};
  });
  CHECK(send(request()).m_Status == 503);
  CHECK(send(request()).m_Body == "answer");
  CHECK(Upstream.requests().size() == 2);
}

// Guards against an upstream without room that is asked again and again.
TEST_CASE_FIXTURE(Fixture, "an upstream that asks for a pause gets no request until its end") {
  configure(RequestKind::Idempotent, 3);
  ScriptedUpstream &Pausing = add([](const std::string &, int Number) {
    if (Number == 1)
      return ScriptedReply{makeResponse("", "not-run: 1\r\npause-ms: 1500\r\n", 503)};
    return ScriptedReply{makeResponse("paused")};
  });
  SUBCASE("while others serve") {
    add(alwaysReply({makeResponse("other")}));
    for (int Number = 0; Number < 5; ++Number)
      CHECK(send(request()).m_Body == "other");
  }
  // Guards against callers that wait for an upstream that wants nothing for seconds.
  SUBCASE("while there is no other one, requests are rejected at once") {
    for (int Number = 0; Number < 5; ++Number) {
      const TimePoint Start = systemClock()();
      const ReceivedResponse Rejected = send(request());
      CHECK(systemClock()() - Start < milliseconds(200));
      CHECK(Rejected.m_Status == 503);
      REQUIRE(Rejected.m_Headers.find("Retry-After"));
      CHECK(std::stod(std::string(*Rejected.m_Headers.find("Retry-After"))) <= 1.5);
    }
  }
  CHECK(Pausing.requests().size() == 1);
  runFor(milliseconds(1600));
  CHECK(send(request()).m_Body == "paused");
}
