#include "support.h"

#include "bulrushpitch/core/expected.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

template <typename Message> void checkRoundTrip(const Message &Value) {
  const Expected<Message> Read = capture([&] { return decodeMessage<Message>(encodeMessage(Value)); });
  REQUIRE_MESSAGE(Read.hasValue(), Read.error().toString());
  CHECK(*Read == Value);
}

} // namespace

// Guards against a member that one side sends and the other drops.
TEST_CASE("messages decode to what was encoded") {
  checkRoundTrip(PublishRequest{ConfigRevision(7),
                                PublishId("p-1"),
                                "anuja \"a\" \n",
                                {{"x.yaml", "kind: team\nname: ľ\n"}},
                                true,
                                {RestrictionId("r-1")}});
  checkRoundTrip(PublishReply{
      PublishOutcome::Conflict,
      ConfigRevision(18'446'744'073'709'551'615U),
      {{"team", "a", ChangeKind::Changed, {{"weight", "1.0", ""}}}},
      {{ErrorCode::UnknownField, "f", 3, "team", "a", "wieght", "is not a known field", "weight"}},
      "zuzana"});
  checkRoundTrip(ConfigReply{PublishId("p"), "op", randomConfiguration(3)});
  checkRoundTrip(HistoryReply{{{ConfigRevision(1), PublishId("p"), "op", -5, {"team/a"}}}});
  for (const RestrictionKind Kind : {RestrictionKind::TakeOutDomain, RestrictionKind::WithdrawVersion,
                                     RestrictionKind::DrainUpstream, RestrictionKind::StopRollout})
    checkRoundTrip(Restriction{RestrictionId("r"), Kind, "west-a", "op", ConfigRevision(2)});
  checkRoundTrip(RestrictReply{InstanceId("a"), {InstanceId("b")}, true});
  StatusReply Status;
  Status.m_Ready = true;
  Status.m_NotReadyReason = "x";
  Status.m_Restrictions = {{RestrictionId("r"), RestrictionKind::DrainUpstream, "u", "o", ConfigRevision(1)}};
  Status.m_Instances = {{InstanceId("a"), DomainId("d"), "127.0.0.1:1", "live", ConfigRevision(4)}};
  Status.m_Upstreams = {{UpstreamId("u"), DomainId("d"), "cold", "new in the instance list", 1, 2}};
  Status.m_Leases = {{"d/0", FencingNumber(9), std::chrono::milliseconds(1234)}};
  Status.m_StoreReachable = true;
  checkRoundTrip(Status);
  Status.m_HeadAge = std::chrono::milliseconds(0);
  checkRoundTrip(Status);
  checkRoundTrip(
      ExplainReply{RequestId("q/ \x7f"), {{1, InstanceId("a"), "route", UpstreamId("u"), {}, "why"}}});
  checkRoundTrip(
      TimelineReply{{{InstanceId("a"), LamportTime(3), 4, "k", "s", "d"}}, true, {InstanceId("b")}});
  checkRoundTrip(ChargesReply{
      TeamId("t"), MicroCents(-1), {{RequestId("q"), MicroCents(5), "v", Tokens(1), Tokens(2), 3}}, "q", 4});
  checkRoundTrip(DrainRequest{InstanceId("a"), "op", std::chrono::milliseconds(5000)});
  checkRoundTrip(DrainReply{InstanceId("a"), std::chrono::milliseconds(1), 2});
  checkRoundTrip(InForceReply{ConfigRevision(1), true, false, {InstanceId("a")}, {InstanceId("b")}});
  const Error Failure{ErrorCode::PlatformTimeout, "publish", "table", Ran::Unknown, "lost"};
  CHECK(decodeError(encodeError(Failure)) == Failure);
  CHECK(decodeError("<html>").m_Ran == Ran::Unknown);
}

TEST_CASE("a message with an unknown, missing or wrong field is refused and the field is named") {
  for (const char *Text : {R"({"instance":"a"})", R"({"instance":"a","operator":1})",
                           R"({"instance":"a","operator":"o","deadline":5})",
                           R"({"instance":"a","operator":"o","deadlin":"5 s"})", "[]", "", "null"}) {
    const Expected<DrainRequest> Read = capture([&] { return decodeMessage<DrainRequest>(Text); });
    REQUIRE_FALSE(Read);
    CHECK(Read.error().m_Code == ErrorCode::MalformedBody);
  }
  const Expected<DrainRequest> Read =
      capture([] { return decodeMessage<DrainRequest>(R"({"instance":"a","operator":1})"); });
  CHECK(Read.error().m_Detail.find("operator") != std::string::npos);
}

TEST_CASE("query values are percent-encoded") {
  CHECK(adminTarget(admin_path::Explain, {{"request", "a&b=c /ľ"}, {"team", ""}, {"x", "1"}}) ==
        "/admin/v1/explain?request=a%26b%3Dc%20%2F%C4%BE&x=1");
}
