#include "fake_fleet.h"

#include "bulrushpitch/net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <memory>
#include <thread>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

/// A fleet that runs the Ampara example as revision 5.
std::unique_ptr<FakeFleet> makeFleet() {
  std::unique_ptr<FakeFleet> Fleet = std::make_unique<FakeFleet>();
  const Expected<std::vector<DocumentFile>> Files =
      systemHooks().m_ReadFiles({std::string(BULRUSHPITCH_SOURCE) + "/examples/ampara"});
  REQUIRE(Files.hasValue());
  Fleet->m_Files = *Files;
  Fleet->m_Head = readDocuments(*Files, nullptr).m_Configuration;
  Fleet->m_Head.m_Revision = ConfigRevision(5);
  return Fleet;
}

bool has(const std::ostringstream &Text, const std::string &Part) {
  return Text.str().find(Part) != std::string::npos;
}

void addTeam(FakeFleet &Fleet, const std::string &Name) {
  Fleet.m_Files.push_back({"new.yaml", "kind: team\nname: " + Name + "\n"});
}

} // namespace

TEST_CASE("publish shows each stage and ends when the revision is in force") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  addTeam(*Fleet, "new-team");
  CHECK(Fleet->run({"publish", "x"}) == ExitCode::Done);
  CHECK(Fleet->m_Error.str() == "revision 6: written, single copy\nrevision 6: published\n"
                                "revision 6: in force on all 4 instances\n");
  CHECK(Fleet->m_Out.str() == "added team new-team\nrevision 6 is in force everywhere\n");
  CHECK(Fleet->run({"--output", "json", "publish", "x"}) == ExitCode::Done);
  CHECK(has(Fleet->m_Out, "\"inForce\":true"));
}

// Guards against reporting success while an instance still runs the old configuration.
TEST_CASE("publish names the instances that are not in force and exits with 4") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  addTeam(*Fleet, "new-team");
  Fleet->m_Behind = {2, 3};
  CHECK(Fleet->run({"publish", "x"}) == ExitCode::NotInForce);
  CHECK(has(Fleet->m_Out, "revision 6 is published, but not in force on: daemon-2, daemon-3"));
}

// Guards against publishing twice when the answer to the first try is lost.
TEST_CASE("after a lost answer the client asks again with the same publish id") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  addTeam(*Fleet, "new-team");
  Fleet->m_LoseAnswers = 1;
  CHECK(Fleet->run({"publish", "x"}) == ExitCode::Done);
  CHECK(Fleet->m_Published.size() == 1);
  CHECK(Fleet->m_Head.m_Revision == ConfigRevision(6));
}

// Guards against "not published" when nobody knows, which would make the operator publish again.
TEST_CASE("an outcome that cannot be learnt is reported as unknown, with the publish id") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  addTeam(*Fleet, "new-team");
  Fleet->m_LoseAnswers = 1;
  Fleet->m_BeforePublish = [&] { Fleet->m_Dead = {2}; };
  const ExitCode First = Fleet->run({"publish", "x", "--publish-id", "p-known"});
  CHECK(First == ExitCode::Done); // Daemon 1 still answers the repeated id.
  for (const std::vector<std::string> &Command :
       {std::vector<std::string>{"publish", "x"}, {"take-out", "west-b"}}) {
    Fleet->m_Dead.clear();
    Fleet->m_LoseAnswers = 100;
    Fleet->m_StoreDown = false;
    addTeam(*Fleet, "team-" + Command[0]);
    // The answer is lost, and after that no daemon can reach the store.
    Fleet->m_BeforePublish = [&] { Fleet->m_BeforePublish = [&] { Fleet->m_StoreDown = true; }; };
    CHECK(Fleet->run(Command) == ExitCode::OutcomeUnknown);
  }
}

TEST_CASE("dead daemons are passed over; without any daemon the exit code is 3") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  Fleet->m_Dead = {1};
  CHECK(Fleet->run({"status"}) == ExitCode::Done);
  CHECK(has(Fleet->m_Out, "instance daemon-2"));
  Fleet->m_Dead = {1, 2};
  for (const std::vector<std::string> &Command :
       {std::vector<std::string>{"status"}, {"publish", "x"}, {"take-out", "west-a"}, {"history"}})
    CHECK(Fleet->run(Command) == ExitCode::Unreachable);
}

// Guards against overwriting another operator's publication, and against hiding what it changed.
TEST_CASE("losing a race prints the winner's revision and the objects that differ") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  addTeam(*Fleet, "new-team");
  Fleet->m_BeforePublish = [&] { Fleet->publishAsOther(Fleet->m_Head); };
  CHECK(Fleet->run({"publish", "x"}) == ExitCode::Conflict);
  CHECK(has(Fleet->m_Error, "revision 6 of zuzana came first"));
  CHECK(has(Fleet->m_Error, "added team raced"));
  CHECK(has(Fleet->m_Error, "from revision 6 to your set:\nadded team new-team\n"));
  CHECK(Fleet->run({"publish", "x", "--base", "5"}) == ExitCode::Conflict);
  CHECK(Fleet->m_Published.empty());
}

TEST_CASE("an edit that loses a race is made again on top of the winner") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  Fleet->m_BeforePublish = [&] {
    Configuration Other = Fleet->m_Head;
    Other.m_Teams.erase(TeamId("trials"));
    Fleet->publishAsOther(Other);
  };
  CHECK(Fleet->run({"rollout", "pause", "session-tag-2"}) == ExitCode::Done);
  CHECK(Fleet->m_Head.m_Revision == ConfigRevision(7));
  CHECK(Fleet->m_Head.m_Rollouts.begin()->second.m_State == RolloutState::Paused);
  CHECK_FALSE(Fleet->m_Head.m_Teams.contains(TeamId("trials")));
}

// Guards against a take-out that waits for the store, and a bring-back that leaves a restriction behind.
TEST_CASE("restrictions work while the store is down, and bring-back lifts all of them") {
  struct Case {
    std::vector<std::string> m_Command;
    std::string m_Target;
    RestrictionKind m_Kind;
  };
  const std::vector<Case> Cases{{{"take-out"}, "west-a", RestrictionKind::TakeOutDomain},
                                {{"withdraw"}, "session-tag-1", RestrictionKind::WithdrawVersion},
                                {{"drain"}, "till-1", RestrictionKind::DrainUpstream}};
  for (const Case &Each : Cases) {
    const std::unique_ptr<FakeFleet> Fleet = makeFleet();
    const Configuration Before = Fleet->m_Head;
    Fleet->m_StoreDown = true;
    Fleet->m_Dead = {2};
    std::vector<std::string> Command = Each.m_Command;
    Command.push_back(Each.m_Target);
    CHECK(Fleet->run(Command) == ExitCode::OnlyRestricted);
    CHECK(Fleet->m_PublishCalls == 0); // Each such call would take seconds.
    // Daemon 2 is dead: the restriction goes to the three others, which the status lists.
    CHECK(Fleet->m_Restrictions.size() == 3);
    CHECK(Fleet->m_Restrictions[4].front().m_Kind == Each.m_Kind);
    CHECK(Fleet->m_Restrictions[4].front().m_Revision == ConfigRevision(5));
    Fleet->m_Restrictions[3].push_back(
        {RestrictionId("r-elsewhere"), Each.m_Kind, Each.m_Target, "op", ConfigRevision(5)});
    Fleet->m_Restrictions[3].push_back(
        {RestrictionId("r-other"), Each.m_Kind, "other", "op", ConfigRevision(5)});
    Fleet->m_StoreDown = false;
    CHECK(Fleet->run(Command) == ExitCode::Done);
    CHECK_FALSE(diffConfigurations(Before, Fleet->m_Head).empty());
    CHECK(Fleet->run({"bring-back", Each.m_Target}) == ExitCode::Done);
    CHECK(diffConfigurations(Before, Fleet->m_Head).empty());
    REQUIRE_FALSE(Fleet->m_Published.empty());
    const std::vector<RestrictionId> Lifted = Fleet->m_Published.back().m_Lifted;
    CHECK(Lifted.size() == 3); // Two commands and the one that only daemon 3 had.
    CHECK(std::count(Lifted.begin(), Lifted.end(), RestrictionId("r-other")) == 0);
  }
}

TEST_CASE("rollouts are added, paused, resumed and aborted") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  CHECK(Fleet->run({"rollout", "start", "large"}) == ExitCode::Refused);
  CHECK(Fleet->run({"rollout", "start", "large", "--model", "busker-chat", "--from", "busker-chat-medium",
                    "--to", "busker-chat-large", "--share", "0.2"}) == ExitCode::Done);
  const Rollout &Object = Fleet->m_Head.m_Rollouts[RolloutId("large")];
  CHECK(Object.m_Share == 0.2);
  CHECK(Fleet->run({"rollout", "pause", "large"}) == ExitCode::Done);
  CHECK(Fleet->run({"rollout", "start", "large", "--share", "0.4"}) == ExitCode::Done);
  CHECK(Fleet->m_Head.m_Rollouts[RolloutId("large")].m_State == RolloutState::Running);
  CHECK(Fleet->run({"rollout", "abort", "large"}) == ExitCode::Done);
  CHECK(Fleet->m_Head.m_Rollouts[RolloutId("large")].m_State == RolloutState::Aborted);
  CHECK(Fleet->m_Restrictions[1].front().m_Kind == RestrictionKind::StopRollout);
  CHECK(Fleet->run({"rollout", "pause", "large"}) == ExitCode::Refused);
  CHECK(Fleet->run({"rollout", "start", "large", "--to", "no-version"}) == ExitCode::Refused);
}

// Guards against a dry run that changes something.
TEST_CASE("a dry run changes nothing") {
  const std::vector<std::vector<std::string>> Commands{
      {"publish", "x"},
      {"withdraw", "session-tag-1"},
      {"take-out", "west-a"},
      {"bring-back", "west-a"},
      {"rollout", "start", "session-tag-2", "--share", "0.5"},
      {"rollout", "pause", "session-tag-2"},
      {"rollout", "abort", "session-tag-2"},
      {"drain", "till-1"},
      {"drain", "--instance", "daemon-3"}};
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  addTeam(*Fleet, "new-team");
  for (std::vector<std::string> Command : Commands) {
    Command.emplace_back("--dry-run");
    CHECK(Fleet->run(Command) == ExitCode::Done);
    CHECK(Fleet->m_Published.empty());
    CHECK(Fleet->m_Drained.empty());
    CHECK(Fleet->m_Head.m_Revision == ConfigRevision(5));
    for (const auto &Entry : Fleet->m_Restrictions)
      CHECK(Entry.second.empty());
  }
  CHECK(Fleet->run({"drain", "--instance", "daemon-9"}) == ExitCode::Refused);
  // Guards against a daemon that cannot be stopped through itself, because its status does not list it.
  CHECK(Fleet->run({"drain", "--instance", "daemon-1", "--deadline", "5"}) == ExitCode::Done);
  CHECK(Fleet->m_Drained.front().m_Instance == InstanceId("daemon-1"));
  CHECK(Fleet->m_Drained.front().m_Deadline == std::chrono::seconds(5));
}

TEST_CASE("queries print tables and JSON; pages and instances are merged") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  CHECK(Fleet->run({"explain", "q"}) == ExitCode::Done);
  CHECK(Fleet->m_Out.str().find("daemon-4") < Fleet->m_Out.str().find("daemon-1"));
  CHECK(Fleet->m_Error.str().empty()); // That a daemon knows nothing of the request is no failure.
  CHECK(Fleet->run({"explain", "other"}) == ExitCode::Refused);
  CHECK(Fleet->run({"charges", "t"}) == ExitCode::Done);
  CHECK(has(Fleet->m_Out, "total 10 microcents in 2 charges, 4 not yet written"));
  CHECK(Fleet->run({"timeline", "--kind", "lease"}) == ExitCode::Done);
  CHECK(has(Fleet->m_Out, "3        1970-01-01T00:00:00.004Z  a         lease  d/0      lost"));
  CHECK(Fleet->run({"history", "--output", "json"}) == ExitCode::Done);
  CHECK(capture([&] { return decodeMessage<HistoryReply>(Fleet->m_Out.str()); }).hasValue());
  addTeam(*Fleet, "bad/name");
  CHECK(Fleet->run({"check", "x"}) == ExitCode::Refused);
  CHECK(has(Fleet->m_Error, "new.yaml:2: [304] team bad/name, name:"));
  Fleet->m_Files.back().m_Text = "kind: team\nname: good\n";
  CHECK(Fleet->run({"diff", "x"}) == ExitCode::Done);
  CHECK(Fleet->m_Out.str() == "added team good\n");
}

TEST_CASE("a misspelt target is refused with a hint, and nothing is restricted") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  CHECK(Fleet->run({"take-out", "wset-a"}) == ExitCode::Refused);
  CHECK(has(Fleet->m_Error, "did you mean 'west-a'?"));
  CHECK(Fleet->m_Restrictions.empty());
}

TEST_CASE("wrong usage exits with 2, help with 0, and check needs no daemon") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  for (const std::vector<std::string> &Bad : {std::vector<std::string>{},
                                              {"status"},
                                              {"publish"},
                                              {"--daemon", "localhost:1", "status"},
                                              {"frobnicate"},
                                              {"--daemon", "127.0.0.1:1", "status", "--output", "xml"},
                                              {"check", "x", "--dry-run"}})
    CHECK(Fleet->runAlone(Bad) == ExitCode::Usage);
  CHECK(Fleet->runAlone({"--help"}) == ExitCode::Done);
  CHECK(has(Fleet->m_Out, "7 restriction applied but not published"));
  CHECK(Fleet->runAlone({"check", "x"}) == ExitCode::Done);
}

TEST_CASE("the completion script knows every command and its options") {
  const std::unique_ptr<FakeFleet> Fleet = makeFleet();
  CHECK(Fleet->runAlone({"completion"}) == ExitCode::Done);
  for (const char *Part :
       {"check", "diff", "publish", "history", "status", "explain", "withdraw", "take-out", "bring-back",
        "rollout", "drain", "timeline", "charges", "\" rollout start\"", "--share"})
    CHECK_MESSAGE(has(Fleet->m_Out, Part), Part);
}

TEST_CASE("the HTTP transport reaches a daemon, and reports one that is gone as not run") {
  boost::asio::io_context Context;
  HttpServer Server(
      Context, {"127.0.0.1", 0}, ServerLimits{},
      [](HttpRequest &Request, ResponseWriter &Writer) -> boost::asio::awaitable<void> {
        HttpResponse Response;
        Response.m_Status = 409;
        Response.m_Body = Request.m_Method + " " + Request.m_Target + " " + Request.m_Body;
        (void)co_await Writer.send(std::move(Response));
      },
      [](const Error &) { return HttpResponse(); });
  REQUIRE(capture([&] { return Server.start(); }).hasValue());
  const Endpoint Address = Server.address();
  std::thread Loop([&] { Context.run(); });
  const ClientHooks Hooks = systemHooks();
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/admin/v1/publish";
  Request.m_Body = "{}";
  const Expected<HttpResponse> Answer = Hooks.m_Send(Address, Request, std::chrono::seconds(5));
  Context.stop();
  Loop.join();
  Server.closeAll();
  REQUIRE(Answer.hasValue());
  CHECK(Answer->m_Status == 409);
  CHECK(Answer->m_Body == "POST /admin/v1/publish {}");
  const Expected<HttpResponse> Gone = Hooks.m_Send({"127.0.0.1", 1}, Request, std::chrono::seconds(5));
  REQUIRE_FALSE(Gone.hasValue());
  CHECK(Gone.error().m_Ran == Ran::No);
}
