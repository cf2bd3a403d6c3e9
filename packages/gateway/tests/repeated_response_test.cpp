#include "forwarder_fixture.h"

using namespace bulrushpitch;
using namespace bulrushpitch::testing;
using std::chrono::milliseconds;

namespace {

using Fixture = ForwarderFixture;

/// @return the id of a request that an upstream received
std::string idOf(const std::string &Request) {
  const std::size_t At = Request.find("id: ") + 4;
  return Request.substr(At, Request.find("\r\n", At) - At);
}

std::string refusal(const std::string &IdField, int Status = 503) {
  return makeResponse("", "not-run: 1\r\n" + IdField, Status);
}

} // namespace

// Guards against callers that are told that a request has not run, or a second run of it, because of a
// refusal of an earlier request that comes once more.
TEST_CASE_FIXTURE(Fixture,
                  "an earlier refusal on a kept connection is not taken for that of the next request") {
  configure(RequestKind::NonIdempotent, 3);
  std::string Repeated;
  SUBCASE("with the id of the earlier request") { Repeated = refusal("id: earlier\r\n"); }
  SUBCASE("another status") { Repeated = refusal("id: earlier\r\n", 421); }
  SUBCASE("without an id") { Repeated = refusal(""); }
  const bool Named = Repeated.find("id:") != std::string::npos;
  ScriptedUpstream &Repeating = add([&](const std::string &Request, int Number) {
    const std::string Own = makeResponse("own", "signed: 1\r\nid: " + idOf(Request) + "\r\n");
    return ScriptedReply{Number == 1 ? Own : Repeated + Own};
  });
  ScriptedUpstream &Other = add([](const std::string &Request, int) {
    return ScriptedReply{makeResponse("other", "signed: 1\r\nid: " + idOf(Request) + "\r\n")};
  });
  CHECK(send(request()).m_Body == "own");
  const ReceivedResponse Second = send(request());
  REQUIRE(Repeating.requests().size() == 2);
  REQUIRE(Repeating.connections() == 1);
  // The second request runs at this upstream: no other one may get it, and it was not refused.
  CHECK(Other.requests().empty());
  CHECK(Second.m_Status == (Named ? 200 : 502));
  if (Named)
    CHECK(Second.m_Body == "own");
}

TEST_CASE_FIXTURE(Fixture, "a refusal without an id on a new connection is that of the request") {
  configure(RequestKind::NonIdempotent, 3);
  add(alwaysReply({refusal("")}));
  add(alwaysReply({makeResponse("other")}));
  CHECK(send(request()).m_Body == "other");
}
