#include "bulrushpitch/forward/directory.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

ForwardRoute route(std::string Name, std::string Host, std::string Prefix) {
  ForwardRoute Made;
  Made.m_Name = std::move(Name);
  Made.m_Host = std::move(Host);
  Made.m_Prefix = std::move(Prefix);
  return Made;
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

std::string nameAt(const Directory &Known, std::string_view Host, std::string_view Path) {
  const ForwardRoute *Found = Known.route(Host, Path);
  return Found ? Found->m_Name : "none";
}

} // namespace

TEST_CASE("the longest prefix of the host's routes wins") {
  const Directory Known(config());
  CHECK(nameAt(Known, "a.example", "/x/y/z") == "long");
  CHECK(nameAt(Known, "a.example", "/x/z") == "short");
  CHECK(nameAt(Known, "a.example", "/q") == "root");
  CHECK(nameAt(Known, "b.example", "/x/y/z") == "other");
}

TEST_CASE("a prefix matches whole path segments only, and hosts without case and port") {
  const Directory Known(config());
  CHECK(nameAt(Known, "b.example", "/xy") == "none");
  CHECK(nameAt(Known, "b.example", "/x") == "none");
  CHECK(nameAt(Known, "B.Example:8080", "/x/") == "other");
  CHECK(nameAt(Known, "c.example", "/x/") == "none");
  CHECK(nameAt(Known, "", "") == "none");
}

TEST_CASE("keys lead to their team") {
  const Directory Known(config());
  REQUIRE(Known.teamOfKey("k2"));
  CHECK(Known.teamOfKey("k2")->m_Id == TeamId("guild"));
  CHECK_FALSE(Known.teamOfKey("k3"));
  CHECK(Known.asksForKeys());
}
