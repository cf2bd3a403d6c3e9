#include "bulrushpitch/forward/config_delta.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;

namespace {

ForwardRoute routeNamed(const std::string &Name, const std::string &Service) {
  ForwardRoute Route;
  Route.m_Name = Name;
  Route.m_Host = "host-" + Name;
  Route.m_Prefix = "/" + Name + "/";
  Route.m_Services = {{ServiceId(Service), 0.25}};
  return Route;
}

ForwardTeam teamNamed(const std::string &Name, std::vector<std::string> Keys) {
  ForwardTeam Team;
  Team.m_Id = TeamId(Name);
  Team.m_Keys = std::move(Keys);
  return Team;
}

ForwardConfig configOf(std::uint64_t Revision, std::vector<ForwardRoute> Routes) {
  ForwardConfig Config;
  Config.m_Revision = ConfigRevision(Revision);
  Config.m_Routes = std::move(Routes);
  Config.m_Services = {{ServiceId("s"), 12.0, {{ModelId("small"), 0.5}}}};
  return Config;
}

/// Some of twenty routes and three teams, each in one of a few forms.
ForwardConfig arbitraryConfig(std::uint64_t Revision) {
  ForwardConfig Config = configOf(Revision, {});
  for (int Route = 0; Route < 20; ++Route)
    if (*rc::gen::arbitrary<bool>())
      Config.m_Routes.push_back(
          routeNamed("r" + std::to_string(Route), "s" + std::to_string(*rc::gen::inRange(0, 3))));
  for (int Team = 0; Team < 3; ++Team)
    if (*rc::gen::arbitrary<bool>())
      Config.m_Teams.push_back(
          teamNamed("t" + std::to_string(Team), {"k" + std::to_string(*rc::gen::inRange(0, 3))}));
  Config.m_Limits.m_MaxBodyBytes = *rc::gen::inRange<std::size_t>(1, 9);
  return Config;
}

} // namespace

TEST_CASE("a difference turns the base into the target, whatever was added, changed or removed") {
  CHECK(rc::check([] {
    const ForwardConfig Base = arbitraryConfig(*rc::gen::inRange<std::uint64_t>(0, 2));
    const ForwardConfig Target = arbitraryConfig(7);
    const std::optional<ForwardConfig> Result = applyDelta(Base, differenceOf(Base, Target));
    RC_ASSERT(Result);
    RC_ASSERT(Result->m_Revision == Target.m_Revision);
    RC_ASSERT(contentHash(*Result) == contentHash(Target));
    RC_ASSERT(Result->m_Routes.size() == Target.m_Routes.size());
  }));
}

// Guards against configurations that are sent whole although little has changed.
TEST_CASE("a difference has only the routes that differ") {
  ForwardConfig Base = configOf(3, {});
  for (int Route = 0; Route < 1000; ++Route)
    Base.m_Routes.push_back(routeNamed("r" + std::to_string(Route), "s"));
  ForwardConfig Target = Base;
  Target.m_Revision = ConfigRevision(4);
  Target.m_Routes[17].m_Priority = 1;
  Target.m_Routes.erase(Target.m_Routes.begin() + 500);
  Target.m_Routes.push_back(routeNamed("new", "s"));
  const ConfigDelta Delta = differenceOf(Base, Target);
  CHECK(Delta.m_Base == ConfigRevision(3));
  CHECK(Delta.m_Routes.size() == 2);
  CHECK(Delta.m_RemovedRoutes == std::vector<std::string>{"r500"});
}

TEST_CASE("a difference does not apply to another revision") {
  const ForwardConfig Base = configOf(3, {routeNamed("a", "s")});
  const ConfigDelta Delta = differenceOf(Base, configOf(5, {routeNamed("a", "t")}));
  CHECK(applyDelta(Base, Delta));
  CHECK_FALSE(applyDelta(configOf(4, {routeNamed("a", "s")}), Delta));
}

// Guards against a daemon whose configuration has the base's revision but another content.
TEST_CASE("a difference does not apply to another configuration of the same revision") {
  const ConfigDelta Delta = differenceOf(configOf(3, {routeNamed("a", "s"), routeNamed("b", "s")}),
                                         configOf(4, {routeNamed("a", "s")}));
  CHECK_FALSE(applyDelta(configOf(3, {routeNamed("a", "t"), routeNamed("b", "s")}), Delta));
}

TEST_CASE("routes of the same name are sent whole and kept in their order") {
  const ForwardConfig Target = configOf(4, {routeNamed("a", "s"), routeNamed("a", "t")});
  const ConfigDelta Delta = differenceOf(configOf(3, {routeNamed("a", "s")}), Target);
  CHECK(Delta.m_Base == ConfigRevision());
  const std::optional<ForwardConfig> Result = applyDelta(configOf(3, {}), Delta);
  REQUIRE(Result);
  CHECK(Result->m_Routes == Target.m_Routes);
}

TEST_CASE("the hash of the content depends on every part of it") {
  const ForwardConfig Config = configOf(3, {routeNamed("a", "s"), routeNamed("b", "s")});
  const std::uint64_t Before = contentHash(Config);
  ForwardConfig Other = Config;
  SUBCASE("a route") { Other.m_Routes[0].m_Regions = {RegionId("west")}; }
  SUBCASE("a weight") { Other.m_Routes[1].m_Services[0].m_Weight = 0.5; }
  SUBCASE("a team") { Other.m_Teams = {teamNamed("t", {"k"})}; }
  SUBCASE("a service") { Other.m_Services[0].m_ModelCosts[ModelId("small")] = 0.6; }
  SUBCASE("a limit") { Other.m_Limits.m_IdleTimeout = std::chrono::milliseconds(1); }
  CHECK(contentHash(Other) != Before);
}
