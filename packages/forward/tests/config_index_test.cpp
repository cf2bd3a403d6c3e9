#include "bulrushpitch/forward/config_index.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

ForwardRoute route(std::string Name, std::string Host, std::string Prefix) {
  ForwardRoute Route;
  Route.m_Name = std::move(Name);
  Route.m_Host = std::move(Host);
  Route.m_Prefix = std::move(Prefix);
  return Route;
}

ForwardConfig config() {
  ForwardConfig Config;
  Config.m_Routes = {route("root", "a.example", "/"), route("long", "a.example", "/x/y/"),
                     route("short", "a.example", "/x/"), route("other", "b.example", "/x/")};
  ForwardTeam Team;
  Team.m_Id = TeamId("guild");
  Team.m_Keys = {"k1", "k2"};
  Config.m_Teams = {Team};
  return Config;
}

std::string routeName(const ConfigIndex &Index, std::string_view Host, std::string_view Path) {
  const ForwardRoute *Found = Index.route(Host, Path);
  return Found ? Found->m_Name : "none";
}

} // namespace

TEST_CASE("the host's route with the longest matching prefix is found") {
  const ConfigIndex Index(config());
  CHECK(routeName(Index, "a.example", "/x/y/z") == "long");
  CHECK(routeName(Index, "a.example", "/x/z") == "short");
  CHECK(routeName(Index, "a.example", "/q") == "root");
  CHECK(routeName(Index, "b.example", "/x/y/z") == "other");
}

TEST_CASE("prefixes match whole path segments only, hosts regardless of case and port") {
  const ConfigIndex Index(config());
  CHECK(routeName(Index, "b.example", "/xy") == "none");
  CHECK(routeName(Index, "b.example", "/x") == "none");
  CHECK(routeName(Index, "B.Example:8080", "/x/") == "other");
  CHECK(routeName(Index, "c.example", "/x/") == "none");
  CHECK(routeName(Index, "", "") == "none");
}

TEST_CASE("a key identifies its team") {
  const ConfigIndex Index(config());
  REQUIRE(Index.teamOfKey("k2"));
  CHECK(Index.teamOfKey("k2")->m_Id == TeamId("guild"));
  CHECK_FALSE(Index.teamOfKey("k3"));
  CHECK(Index.requiresApiKeys());
}
