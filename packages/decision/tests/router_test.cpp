#include "bulrushpitch/decision/decision.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

/// Two versions: a cheap one of quality 0.7 and a dear one of quality 0.9, each on an upstream in either
/// region.
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
    const TeamId Guild("guild");
    m_Config.m_Teams[Guild] = {Guild, {}, {ModelId("m")}, {}, {ServiceId("till")}, 1.0, 0.8, {}};
    m_Config.m_Models[ModelId("m")] = {ModelId("m"), std::nullopt};
    addVersion("cheap", 1, 0.7);
    addVersion("dear", 10, 0.9);
    m_Config.m_Services[ServiceId("till")] = {ServiceId("till"), {}};
    for (const char *Region : {"west", "hill"}) {
      const DomainId Domain(std::string(Region) + "-a");
      m_Config.m_Domains[Domain] = {Domain, RegionId(Region), DomainState::In};
      for (const char *Name : {"cheap", "dear", "till"}) {
        Upstream Each;
        Each.m_Id = UpstreamId(std::string(Name) + "-" + Region);
        Each.m_Domain = Domain;
        if (std::string(Name) == "till")
          Each.m_Service = ServiceId("till");
        else
          Each.m_Versions = {VersionId(Name)};
        m_Config.m_Upstreams[Each.m_Id] = Each;
      }
    }
    m_Config.m_Limits.m_ExplorationShare = 0.0;
    publish();
    for (const auto &[Id, Each] : m_Config.m_Upstreams)
      m_Upstreams.setWarm(Id, m_Now);
    for (int At = 0; At < 300; ++At) {
      rate("cheap", 0.65 + 0.1 * (At % 2));
      rate("dear", 0.85 + 0.1 * (At % 2));
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
    Request.m_Quality = Quality;
    Request.m_Deadline = m_Now + std::chrono::seconds(60);
    Request.m_PromptTokens = Tokens(100);
    Request.m_ExpectedTokens = Tokens(100);
    return Request;
  }
  std::string versionAt(double Quality) {
    Expected<RouteDecision> Decision = m_Router.decide(request(Quality), m_Now);
    return Decision ? Decision->m_Version.value() : std::string(nameOf(Decision.error().m_Code));
  }
};

} // namespace

TEST_CASE("the cheapest version whose lower bound reaches the target is chosen") {
  Setup Under;
  CHECK(Under.versionAt(0.6) == "cheap");
  CHECK(Under.versionAt(0.8) == "dear");
  CHECK(Under.versionAt(0.99) == "QualityUnreachable");
}

TEST_CASE("a cascade is chosen where it is cheaper at the target, and its step is held until it is rated") {
  Setup Under;
  Under.m_Config.m_Cascades[CascadeId("c")] = {CascadeId("c"),
                                               {{VersionId("cheap"), 0.7}, {VersionId("dear"), 0.0}}};
  Under.m_Config.m_Models[ModelId("m")].m_Cascade = CascadeId("c");
  Under.publish();
  RouteRequest Request = Under.request(0.78);
  Expected<RouteDecision> First = Under.m_Router.decide(Request, Under.m_Now);
  REQUIRE(First);
  CHECK(First->m_Why.m_Rule == RouteRule::Cascade);
  CHECK(First->m_Version == VersionId("cheap"));
  CHECK(First->m_RateBeforeRelease);
  CHECK_FALSE(First->m_StreamBeforeRating);
  CHECK(First->m_AcceptAt == doctest::Approx(0.7));
  // A session that starts keeps its version: it must not be left with the first step alone.
  RouteRequest Session = Request;
  Session.m_DirectOnly = true;
  Expected<RouteDecision> Alone = Under.m_Router.decide(Session, Under.m_Now);
  REQUIRE(Alone);
  CHECK(Alone->m_Version == VersionId("dear"));
  CHECK_FALSE(Alone->m_RateBeforeRelease);
  // The rejected version is not tried again, also when the rest cannot reach the target.
  Request.m_CascadeStep = 1;
  Request.m_Quality = 0.95;
  Expected<RouteDecision> Second = Under.m_Router.decide(Request, Under.m_Now);
  REQUIRE(Second);
  CHECK(Second->m_Version == VersionId("dear"));
  CHECK_FALSE(Second->m_RateBeforeRelease);
}

TEST_CASE("an answer streams before it is rated only when its version's lower bound reaches the target") {
  Setup Under;
  CHECK(Under.m_Router.decide(Under.request(0.85), Under.m_Now)->m_StreamBeforeRating);
  RouteRequest Pinned = Under.request(0.85);
  Pinned.m_Pinned = VersionId("cheap");
  CHECK_FALSE(Under.m_Router.decide(Pinned, Under.m_Now)->m_StreamBeforeRating);
}

TEST_CASE("refusals carry their own numbers, and a withdrawn pin names the version to start anew with") {
  Setup Under;
  const auto CodeOf = [&](const RouteRequest &Request) {
    Expected<RouteDecision> Outcome = Under.m_Router.decide(Request, Under.m_Now);
    REQUIRE_FALSE(Outcome);
    return Outcome.error();
  };
  RouteRequest Request = Under.request(0.5);
  Request.m_Model = ModelId("other");
  CHECK(CodeOf(Request).m_Code == ErrorCode::ModelNotAllowed);
  Request = Under.request(0.5);
  Request.m_Pinned = VersionId("other");
  CHECK(CodeOf(Request).m_Code == ErrorCode::VersionNotAllowed);
  Request.m_Pinned = VersionId("cheap");
  Under.m_Config.m_Versions[VersionId("cheap")].m_State = VersionState::Withdrawn;
  Under.publish();
  CHECK(CodeOf(Request).m_Code == ErrorCode::VersionWithdrawn);
  CHECK(CodeOf(Request).m_Detail.find("version dear") != std::string::npos);
  Request = Under.request(0.5);
  Request.m_Deadline = Under.m_Now;
  CHECK(CodeOf(Request).m_Code == ErrorCode::DeadlineUnreachable);
  for (auto &[Id, Domain] : Under.m_Config.m_Domains)
    Domain.m_State = DomainState::Out;
  Under.publish();
  CHECK(CodeOf(Under.request(0.5)).m_Code == ErrorCode::DomainOut);
  ServiceRequest Call{TeamId("guild"), ServiceId("other"), Under.m_Now + std::chrono::seconds(1), {}};
  CHECK(Under.m_Router.decideService(Call, Under.m_Now).error().m_Code == ErrorCode::ServiceNotAllowed);
  Call.m_Service = ServiceId("till");
  CHECK(Under.m_Router.decideService(Call, Under.m_Now).error().m_Code == ErrorCode::DomainOut);
}

TEST_CASE(
    "the own region comes first; the other one serves when it is full, until the link's budget is spent") {
  Setup Under;
  RouteRequest Request = Under.request(0.6);
  Request.m_ExpectedTokens = Tokens(900);
  CHECK(Under.m_Router.decide(Request, Under.m_Now)->m_Upstream == UpstreamId("cheap-west"));
  CHECK(
      Under.m_Router.decideService({TeamId("guild"), ServiceId("till"), Request.m_Deadline, {}}, Under.m_Now)
          ->m_Upstream == UpstreamId("till-west"));
  Request.m_Excluded = {UpstreamId("cheap-west"), UpstreamId("dear-west")};
  Expected<RouteDecision> Far = Under.m_Router.decide(Request, Under.m_Now);
  REQUIRE(Far);
  CHECK(Far->m_Upstream == UpstreamId("cheap-hill"));
  CHECK(Far->m_Why.m_OtherRegion);
  CHECK(Under.m_Link.take(LinkTraffic::ShortAnswer, Bytes(2'000'000), Under.m_Now).hasValue());
  CHECK(Under.m_Router.decide(Request, Under.m_Now).error().m_Code == ErrorCode::LinkBudgetSpent);
  Request.m_ExpectedTokens = Tokens(100); // A short answer still passes.
  CHECK(Under.m_Router.decide(Request, Under.m_Now).hasValue());
}

TEST_CASE("a prompt goes where its prefix is cached, unless that upstream is much busier") {
  Setup Under;
  Upstream Twin = Under.m_Config.m_Upstreams[UpstreamId("cheap-west")];
  Twin.m_Id = UpstreamId("twin-west");
  Under.m_Config.m_Upstreams[Twin.m_Id] = Twin;
  Under.publish();
  Under.m_Upstreams.setWarm(Twin.m_Id, Under.m_Now);
  RouteRequest Request = Under.request(0.6);
  Request.m_PromptTokens = Tokens(4000);
  Request.m_PrefixHashes = {1, 2};
  Under.m_Upstreams.onCacheEvents(Twin.m_Id, {{1, CacheEvent::Kind::Stored, 2}});
  for (int At = 0; At < 20; ++At)
    CHECK(Under.m_Router.decide(Request, Under.m_Now)->m_Upstream == Twin.m_Id);
  Under.m_Upstreams.onReport({Twin.m_Id, "s", Under.m_Now, {}, 31, 0, 1000.0, false, false});
  CHECK(Under.m_Router.decide(Request, Under.m_Now)->m_Upstream == UpstreamId("cheap-west"));
}

TEST_CASE("a rollout moves its share of the sessions to the new version, also one without ratings") {
  Setup Under;
  Under.addVersion("dear-2", 10, 0.5);
  Under.m_Config.m_Rollouts[RolloutId("ro")] = {RolloutId("ro"), ModelId("m"), VersionId("dear"),
                                                VersionId("dear-2"), 1.0};
  Upstream &Host = Under.m_Config.m_Upstreams[UpstreamId("dear-west")];
  Host.m_Versions.push_back(VersionId("dear-2"));
  Under.publish();
  int Moved = 0;
  for (int At = 0; At < 1000; ++At) {
    RouteRequest Request = Under.request(0.85);
    Request.m_Session = SessionId("s" + std::to_string(At));
    Expected<RouteDecision> Decision = Under.m_Router.decide(Request, Under.m_Now);
    REQUIRE(Decision);
    Moved += Decision->m_Version == VersionId("dear-2") ? 1 : 0;
    if (Decision->m_Version == VersionId("dear-2"))
      CHECK_FALSE(Decision->m_StreamBeforeRating);
  }
  CHECK(Moved / 1000.0 == doctest::Approx(Under.m_Rollouts.effectiveShare(RolloutId("ro"))).epsilon(0.25));
}
