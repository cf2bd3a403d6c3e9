#include "forwarder_fixture.h"

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

using Fixture = ForwarderFixture;

} // namespace

// Guards against an error's text, or a response's head, in the middle of a caller's stream.
TEST_CASE_FIXTURE(Fixture, "a stream that goes on after an upstream's error has the events only") {
  configure(RequestKind::Stream, 3);
  ScriptedReply Broken{streamHead() + events(1, 2)};
  Broken.m_Close = true;
  ScriptedReply Failing;
  SUBCASE("a server error") { Failing.m_Bytes = makeResponse("error: overloaded\n\n", "signed: 1\r\n", 500); }
  SUBCASE("a client error") { Failing.m_Bytes = makeResponse("error: bad\n\n", "signed: 1\r\n", 400); }
  SUBCASE("a refusal") { Failing.m_Bytes = makeResponse("error: busy\n\n", "not-run: 1\r\n", 503); }
  SUBCASE("an unsigned success") { Failing.m_Bytes = makeResponse("error: who\n\n", "", 200); }
  SUBCASE("an error under a status of success") {
    Failing.m_Bytes = makeResponse("{\"error\":\"overloaded\"}\n\n", "signed: 1\r\n", 200);
  }
  SUBCASE("the head of an error in the body of a success") {
    Failing.m_Bytes = streamHead() +
                      chunk("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror") +
                      StreamEnd;
  }
  SUBCASE("an error before the events") {
    Failing.m_Bytes = streamHead() + chunk("data: error\n\n") + events(3, 4) + StreamEnd;
  }
  add(alwaysReply(Broken));
  add(alwaysReply(Failing));
  add(alwaysReply({streamHead() + events(3, 4) + StreamEnd}));
  const ReceivedResponse Received = send(request());
  CHECK(Received.m_Status == 200);
  CHECK(Received.m_Complete);
  CHECK(Received.m_Body == event(1) + event(2) + event(3) + event(4));
}

// Guards against a stream that looks complete although its rest is missing.
TEST_CASE_FIXTURE(Fixture, "a stream that only errors could go on ends incomplete") {
  configure(RequestKind::Stream, 2);
  ScriptedReply Broken{streamHead() + events(1, 2)};
  Broken.m_Close = true;
  add(alwaysReply(Broken));
  SUBCASE("a server error") { add(alwaysReply({makeResponse("error", "signed: 1\r\n", 500)})); }
  SUBCASE("an error under a status of success") {
    add(alwaysReply({makeResponse("error: overloaded\n\n", "signed: 1\r\n", 200)}));
  }
  const ReceivedResponse Received = send(request());
  CHECK_FALSE(Received.m_Complete);
  CHECK(Received.m_Body == event(1) + event(2));
}
