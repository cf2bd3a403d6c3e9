#include "bulrushpitch/decision/decision.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

/// Two versions, a cheap one of quality 0.7 and an expensive one of quality 0.9, each served by one upstream
/// in either region.
struct Setup {
  Configuration m_Config;
  QualityEstimator m_Quality;
  UpstreamTable m_Upstreams;
  RolloutController m_Rollouts;
  LinkBudget m_Link;
  TimePoint m_Now{std::chrono::hours(1)};
  Router m_Router;

  Setup()
      : m_Router(m_Quality, m_Upstreams, m_Rollouts, m_Link, {.m_Region = RegionId("west")},
                 seededRandom(1)) {
    const TeamId Team("guild");
    m_Config.m_Teams[Team] = {Team, {}, {ModelId("m")}, {}, {ServiceId("till")}, 1.0, 0.8, {}};
    m_Config.m_Models[ModelId("m")] = {ModelId("m"), std::nullopt};
    addVersion("cheap", 1, 0.7);
    addVersion("expensive", 10, 0.9);
    m_Config.m_Services[ServiceId("till")] = {ServiceId("till"), {}};
    for (const char *Region : {"west", "hill"}) {
      const DomainId Domain(std::string(Region) + "-a");
      m_Config.m_Domains[Domain] = {Domain, RegionId(Region), DomainState::In};
      for (const char *Name : {"cheap", "expensive", "till"}) {
        Upstream Configured;
        Configured.m_Id = UpstreamId(std::string(Name) + "-" + Region);
        Configured.m_Domain = Domain;
        if (std::string(Name) == "till")
          Configured.m_Service = ServiceId("till");
        else
          Configured.m_Versions = {VersionId(Name)};
        m_Config.m_Upstreams[Configured.m_Id] = Configured;
      }
    }
    m_Config.m_Limits.m_ExplorationShare = 0.0;
    publish();
    for (const auto &[Id, Configured] : m_Config.m_Upstreams)
      m_Upstreams.setWarm(Id, m_Now);
    for (int Count = 0; Count < 300; ++Count) {
      rate("cheap", 0.65 + 0.1 * (Count % 2));
      rate("expensive", 0.85 + 0.1 * (Count % 2));
    }
  }
  void addVersion(const char *Name, int Price, double Quality) {
    m_Config.m_Versions[VersionId(Name)] = {VersionId(Name),
                                            ModelId("m"),
                                            VersionState::Active,
                                            MicroCents(Price),
                                            MicroCents(std::int64_t{4} * Price),
                                            Quality};
  }
  void publish() { m_Router.setConfiguration(m_Config, m_Now); }
  void rate(const char *Version, double Rating) {
    m_Quality.record(TeamId("guild"), TaskName("t"), VersionId(Version), Rating, m_Now);
  }
  RouteRequest request(double Quality) const {
    RouteRequest Request;
    Request.m_Team = TeamId("guild");
    Request.m_Model = ModelId("m");
    Request.m_Task = TaskName("t");
    Request.m_Request = RequestId("r");
    Request.m_QualityTarget = Quality;
    Request.m_Deadline = m_Now + std::chrono::seconds(60);
    Request.m_PromptTokens = Tokens(100);
    Request.m_ExpectedTokens = Tokens(100);
    return Request;
  }
  std::string chosenVersion(double Quality) {
    Expected<RouteDecision> Decision = m_Router.decide(request(Quality), m_Now);
    return Decision ? Decision->m_Version.value() : std::string(nameOf(Decision.error().m_Code));
  }
};

} // namespace

TEST_CASE("the cheapest version whose lower bound reaches the target is chosen") {
  Setup Fixture;
  CHECK(Fixture.chosenVersion(0.6) == "cheap");
  CHECK(Fixture.chosenVersion(0.8) == "expensive");
  CHECK(Fixture.chosenVersion(0.99) == "QualityUnreachable");
}

TEST_CASE("a cascade is chosen if it reaches the target at a lower cost, and the answer of a step is held "
          "until rated") {
  Setup Fixture;
  Fixture.m_Config.m_Cascades[CascadeId("c")] = {CascadeId("c"),
                                                 {{VersionId("cheap"), 0.7}, {VersionId("expensive"), 0.0}}};
  Fixture.m_Config.m_Models[ModelId("m")].m_Cascade = CascadeId("c");
  Fixture.publish();
  RouteRequest Request = Fixture.request(0.78);
  Expected<RouteDecision> First = Fixture.m_Router.decide(Request, Fixture.m_Now);
  REQUIRE(First);
  CHECK(First->m_Reason.m_Rule == RouteRule::Cascade);
  CHECK(First->m_Version == VersionId("cheap"));
  CHECK(First->m_RateBeforeRelease);
  CHECK_FALSE(First->m_StreamBeforeRating);
  CHECK(First->m_AcceptAt == doctest::Approx(0.7));
  // A new session keeps its version, so it must not be assigned the first step of a cascade alone.
  RouteRequest Session = Request;
  Session.m_SingleVersionOnly = true;
  Expected<RouteDecision> Direct = Fixture.m_Router.decide(Session, Fixture.m_Now);
  REQUIRE(Direct);
  CHECK(Direct->m_Version == VersionId("expensive"));
  CHECK_FALSE(Direct->m_RateBeforeRelease);
  // The rejected version is not tried again, even if the remaining ones cannot reach the target.
  Request.m_CascadeStep = 1;
  Request.m_QualityTarget = 0.95;
  Expected<RouteDecision> Second = Fixture.m_Router.decide(Request, Fixture.m_Now);
  REQUIRE(Second);
  CHECK(Second->m_Version == VersionId("expensive"));
  CHECK_FALSE(Second->m_RateBeforeRelease);
}

TEST_CASE("an answer is streamed before it is rated only if its version's lower bound reaches the target") {
  Setup Fixture;
  CHECK(Fixture.m_Router.decide(Fixture.request(0.85), Fixture.m_Now)->m_StreamBeforeRating);
  RouteRequest Pinned = Fixture.request(0.85);
  Pinned.m_PinnedVersion = VersionId("cheap");
  CHECK_FALSE(Fixture.m_Router.decide(Pinned, Fixture.m_Now)->m_StreamBeforeRating);
}

TEST_CASE("each rejection has its own error code, and that of a withdrawn version names a replacement") {
  Setup Fixture;
  const auto RejectionOf = [&](const RouteRequest &Request) {
    Expected<RouteDecision> Outcome = Fixture.m_Router.decide(Request, Fixture.m_Now);
    REQUIRE_FALSE(Outcome);
    return Outcome.error();
  };
  RouteRequest Request = Fixture.request(0.5);
  Request.m_Model = ModelId("other");
  CHECK(RejectionOf(Request).m_Code == ErrorCode::ModelNotAllowed);
  Request = Fixture.request(0.5);
  Request.m_PinnedVersion = VersionId("other");
  CHECK(RejectionOf(Request).m_Code == ErrorCode::VersionNotAllowed);
  Request.m_PinnedVersion = VersionId("cheap");
  Fixture.m_Config.m_Versions[VersionId("cheap")].m_State = VersionState::Withdrawn;
  Fixture.publish();
  CHECK(RejectionOf(Request).m_Code == ErrorCode::VersionWithdrawn);
  CHECK(RejectionOf(Request).m_Detail.find("version expensive") != std::string::npos);
  Request = Fixture.request(0.5);
  Request.m_Deadline = Fixture.m_Now;
  CHECK(RejectionOf(Request).m_Code == ErrorCode::DeadlineUnreachable);
  for (auto &[Id, Domain] : Fixture.m_Config.m_Domains)
    Domain.m_State = DomainState::Out;
  Fixture.publish();
  CHECK(RejectionOf(Fixture.request(0.5)).m_Code == ErrorCode::DomainOut);
  ServiceRequest Call{TeamId("guild"), ServiceId("other"), Fixture.m_Now + std::chrono::seconds(1), {}};
  CHECK(Fixture.m_Router.decideService(Call, Fixture.m_Now).error().m_Code == ErrorCode::ServiceNotAllowed);
  Call.m_Service = ServiceId("till");
  CHECK(Fixture.m_Router.decideService(Call, Fixture.m_Now).error().m_Code == ErrorCode::DomainOut);
}

TEST_CASE("the other region is used only if no upstream of this region can accept the request, and until the "
          "link budget is spent") {
  Setup Fixture;
  RouteRequest Request = Fixture.request(0.6);
  Request.m_ExpectedTokens = Tokens(900);
  CHECK(Fixture.m_Router.decide(Request, Fixture.m_Now)->m_Upstream == UpstreamId("cheap-west"));
  CHECK(Fixture.m_Router
            .decideService({TeamId("guild"), ServiceId("till"), Request.m_Deadline, {}}, Fixture.m_Now)
            ->m_Upstream == UpstreamId("till-west"));
  Request.m_ExcludedUpstreams = {UpstreamId("cheap-west"), UpstreamId("expensive-west")};
  Expected<RouteDecision> Remote = Fixture.m_Router.decide(Request, Fixture.m_Now);
  REQUIRE(Remote);
  CHECK(Remote->m_Upstream == UpstreamId("cheap-hill"));
  CHECK(Remote->m_Reason.m_OtherRegion);
  CHECK(Fixture.m_Link.take(LinkTraffic::ShortAnswer, Bytes(2'000'000), Fixture.m_Now).hasValue());
  CHECK(Fixture.m_Router.decide(Request, Fixture.m_Now).error().m_Code == ErrorCode::LinkBudgetSpent);
  Request.m_ExpectedTokens = Tokens(100); // A short answer is still accepted.
  CHECK(Fixture.m_Router.decide(Request, Fixture.m_Now).hasValue());
}

TEST_CASE("an upstream that caches the prefix is preferred unless its load is much higher") {
  Setup Fixture;
  Upstream Replica = Fixture.m_Config.m_Upstreams[UpstreamId("cheap-west")];
  Replica.m_Id = UpstreamId("twin-west");
  Fixture.m_Config.m_Upstreams[Replica.m_Id] = Replica;
  Fixture.publish();
  Fixture.m_Upstreams.setWarm(Replica.m_Id, Fixture.m_Now);
  RouteRequest Request = Fixture.request(0.6);
  Request.m_PromptTokens = Tokens(4000);
  Request.m_PrefixHashes = {1, 2};
  Fixture.m_Upstreams.onCacheEvents(Replica.m_Id, {{1, CacheEvent::Kind::Stored, 2}});
  for (int Attempt = 0; Attempt < 20; ++Attempt)
    CHECK(Fixture.m_Router.decide(Request, Fixture.m_Now)->m_Upstream == Replica.m_Id);
  Fixture.m_Upstreams.onReport({Replica.m_Id, "s", Fixture.m_Now, {}, 31, 0, 1000.0, false, false});
  CHECK(Fixture.m_Router.decide(Request, Fixture.m_Now)->m_Upstream == UpstreamId("cheap-west"));
}

TEST_CASE("a rollout moves its share of the sessions to the new version, even if that has no ratings yet") {
  Setup Fixture;
  Fixture.addVersion("expensive-2", 10, 0.5);
  Fixture.m_Config.m_Rollouts[RolloutId("ro")] = {RolloutId("ro"), ModelId("m"), VersionId("expensive"),
                                                  VersionId("expensive-2"), 1.0};
  Upstream &Serving = Fixture.m_Config.m_Upstreams[UpstreamId("expensive-west")];
  Serving.m_Versions.push_back(VersionId("expensive-2"));
  Fixture.publish();
  int NewVersionCount = 0;
  for (int SessionNumber = 0; SessionNumber < 1000; ++SessionNumber) {
    RouteRequest Request = Fixture.request(0.85);
    Request.m_Session = SessionId("s" + std::to_string(SessionNumber));
    Expected<RouteDecision> Decision = Fixture.m_Router.decide(Request, Fixture.m_Now);
    REQUIRE(Decision);
    NewVersionCount += Decision->m_Version == VersionId("expensive-2") ? 1 : 0;
    if (Decision->m_Version == VersionId("expensive-2"))
      CHECK_FALSE(Decision->m_StreamBeforeRating);
  }
  CHECK(NewVersionCount / 1000.0 ==
        doctest::Approx(Fixture.m_Rollouts.effectiveShare(RolloutId("ro"))).epsilon(0.25));
}
