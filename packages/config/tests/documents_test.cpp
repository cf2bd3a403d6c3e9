#include "support.h"

#include "bulrushpitch/core/expected.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

std::string allFaults(const std::vector<Fault> &Faults) {
  std::string Text;
  for (const Fault &Found : Faults)
    Text += Found.toString() + "\n";
  return Text;
}

/// Replaces the first occurrence of a text in a set.
std::vector<DocumentFile> edited(std::vector<DocumentFile> Files, const std::string &From,
                                 const std::string &To) {
  for (DocumentFile &File : Files) {
    const std::size_t At = File.m_Text.find(From);
    if (At == std::string::npos)
      continue;
    File.m_Text.replace(At, From.size(), To);
    return Files;
  }
  FAIL("the examples no longer contain: " << From);
  return Files;
}

struct BadEdit {
  const char *m_From;
  const char *m_To;
  const char *m_Fault; ///< Must be the one fault of the set, from the number on.
};

} // namespace

TEST_CASE("the examples are valid and have the sizes of the design") {
  struct Size {
    const char *m_User;
    std::size_t m_Engines;
  };
  for (const Size &Expected : {Size{"ampara", 20}, Size{"dlazdice", 10}}) {
    CAPTURE(Expected.m_User);
    const ReadOutcome Read = readDocuments(exampleFiles(Expected.m_User), nullptr);
    CHECK(allFaults(Read.m_Faults) == "");
    CHECK(Read.m_Configuration.m_Domains.size() == 3);
    CHECK(Read.m_Configuration.m_Upstreams.size() == Expected.m_Engines + 3);
    CHECK(Read.m_Configuration.m_Teams.size() == 10);
    CHECK(Read.m_Configuration.m_Cascades.size() == 1);
    CHECK(Read.m_Configuration.m_Rollouts.size() == 1);
  }
}

// Guards against a rule that is lost, and against one mistake being reported as several.
TEST_CASE("each mistake is found once, with its line and a hint") {
  const std::vector<BadEdit> Edits{
      {"coldLimit: 2", "coldLimitt: 2",
       "[302] upstream pitch-llm-west-a-1, coldLimitt: is not a known field "
       "(did you mean 'coldLimit'?)"},
      {"domain: west-a", "domain: wset-a",
       "[305] upstream pitch-llm-west-a-1, domain: there is no "
       "failure-domain 'wset-a' (did you mean 'west-a'?)"},
      {"kind: team", "kind: taem", "[304] kind: 'taem' is not a known kind (did you mean 'team'?)"},
      {"capacity: 32\ncoldLimit: 2", "capacity: 32\ncoldLimit: 33",
       "[304] upstream pitch-llm-west-a-1, coldLimit: must not exceed capacity"},
      {"warmUp: 20 s", "warmUp: 20",
       "[304] upstream pitch-llm-west-a-1, warmUp: must be a whole number with a unit: ms, s, min or h, for "
       "example \"30 s\""},
      {"port: 21001\n", "", "[303] upstream pitch-llm-west-a-1, port: is missing"},
      {"port: 21002", "port: 21001",
       "[304] upstream pitch-llm-west-a-2, address: address and port are already "
       "those of upstream 'pitch-llm-west-a-1'"},
      {"address: 127.0.0.1", "address: localhost",
       "[304] upstream pitch-llm-west-a-1, address: must be an IP number, not a host name"},
      {"promptPrice: 8", "promptPrice: -8",
       "[304] version busker-chat-small, promptPrice: must be 0 to 1000000000"},
      {"to: session-tag-2", "to: shift-summary-1",
       "[304] rollout session-tag-2, to: is of model 'shift-summary', not of 'session-tag'"},
      {"share: 0.1", "share: 1.5", "[304] rollout session-tag-2, share: must be 0 to 1"},
      {"- version: busker-chat-large", "- version: shift-summary-1",
       "[304] cascade busker-chat-ladder, steps.2.version: is of model 'shift-summary', but the cascade "
       "began "
       "with model 'busker-chat'"},
      {"- version: busker-chat-large", "- version: busker-chat-small",
       "[304] cascade busker-chat-ladder, steps.2.version: version 'busker-chat-small' is already an earlier "
       "step"},
      {"versions: [busker-chat-medium, busker-chat-large]", "versions: [session-tag-1]",
       "[304] team support, versions.0: is of model 'session-tag', which the team may not use"},
      {"name: till-2", "name: till-1", "[306] upstream till-1, name: already defined in services.yaml:"},
      {"role: service\n", "",
       "[304] upstream till-1, service: an engine has no service; set role to service"},
      {"name: balance", "name: debit", "[304] service till, routes.1.name: another route has this name"},
      {"    idempotent: false\n", "", "[303] service till, routes.0.idempotent: is missing"},
      {"name: system", "name: sytem", "[304] limits system, name: must be 'system'"},
      {"state: in", "state: in", ""}};
  std::vector<DocumentFile> Files = exampleFiles("ampara");
  Files.front().m_Text = edited({Files.front()}, "region: west\n", "region: west\nstate: in\n")[0].m_Text;
  for (const BadEdit &Edit : Edits) {
    CAPTURE(Edit.m_To);
    const ReadOutcome Read = readDocuments(edited(Files, Edit.m_From, Edit.m_To), nullptr);
    const std::string Expected = Edit.m_Fault;
    REQUIRE_MESSAGE(Read.m_Faults.size() == (Expected.empty() ? 0 : 1), allFaults(Read.m_Faults));
    if (Expected.empty())
      continue;
    const std::string Text = Read.m_Faults.front().toString();
    CHECK_MESSAGE(Text.find(": " + Expected) != std::string::npos, Text);
    CHECK(Read.m_Faults.front().m_Line > 0);
  }
}

// Guards against reporting only the first fault, and against faults in the wrong place.
TEST_CASE("all faults of a set are reported at once, with file and line") {
  const ReadOutcome Read = readDocuments({{"a.yaml", "kind: team\n"
                                                     "name: first\n"
                                                     "weight: heavy\n"
                                                     "models:\n"
                                                     "  - none\n"
                                                     "---\n"
                                                     "kind: team\n"
                                                     "name: bad name\n"
                                                     "keyHashes: [abc]\n"},
                                          {"b.yaml", "kind: cascade\n"
                                                     "name: c\n"
                                                     "steps:\n"
                                                     "  - version: v\n"
                                                     "    acceptAt: 2\n"}},
                                         nullptr);
  std::string Places;
  for (const Fault &Found : Read.m_Faults)
    Places += Found.m_File + ":" + std::to_string(Found.m_Line) + " " +
              std::to_string(static_cast<int>(Found.m_Code)) + " " + Found.m_Field + "\n";
  CHECK(Places == "a.yaml:3 304 weight\n"
                  "a.yaml:5 305 models.0\n"
                  "a.yaml:8 304 name\n"
                  "a.yaml:9 304 keyHashes.0\n"
                  "b.yaml:4 305 steps.0.version\n"
                  "b.yaml:5 304 steps.0.acceptAt\n");
}

// Guards against silent loss: of two equal keys YAML readers keep one, and an alias can expand without bound.
TEST_CASE("text that YAML readers accept in more than one way is refused") {
  const std::vector<std::string> Texts{"kind: team\nname: a\nname: b\n",
                                       "kind: team\nname: &x a\nmodels: [*x]\n",
                                       "kind: team\nname: [a\n",
                                       "- kind: team\n",
                                       "? [a, b]\n: c\n",
                                       "kind: team\nname: 12\n",
                                       "name: a\n",
                                       std::string(5000, '[')};
  for (const std::string &Text : Texts) {
    CAPTURE(Text);
    CHECK_FALSE(readDocuments({{"x.yaml", Text}}, nullptr).m_Faults.empty());
  }
  // yaml-cpp reports empty documents for ever here; the reader once did not end.
  CHECK_FALSE(readDocuments({{"x.yaml", "--- |\n,x"}}, nullptr).m_Faults.empty());
  CHECK(readDocuments({{"empty.yaml", "# nothing\n"}}, nullptr).m_Faults.empty());
}

// Guards against removing an object that others need, and against not saying which ones.
TEST_CASE("deleting an object that is still referred to names the referrers") {
  std::vector<DocumentFile> Files = exampleFiles("ampara");
  const Configuration Base = readDocuments(Files, nullptr).m_Configuration;
  const std::string Version = "kind: version\nname: session-tag-2\nmodel: session-tag\npromptPrice: "
                              "4\ncompletionPrice: 9\npriorQuality: 0.8\n---\n";
  const ReadOutcome Read = readDocuments(edited(Files, Version, ""), &Base);
  REQUIRE(Read.m_Faults.size() == 1);
  CHECK(Read.m_Faults.front().m_Code == ErrorCode::StillReferenced);
  const std::string Text = Read.m_Faults.front().toString();
  CHECK(
      Text.find("version session-tag-2: is deleted, but is still referred to by rollout session-tag-2 (to), "
                "upstream pitch-llm-hill-a-2 (versions.2)") != std::string::npos);
}

// Guards against rollouts that move sessions in a circle, or more sessions than there are.
TEST_CASE("open rollouts form no cycle and take no more than all sessions") {
  Configuration Value = readDocuments(exampleFiles("ampara"), nullptr).m_Configuration;
  Rollout Back = Value.m_Rollouts.begin()->second;
  Back.m_Id = RolloutId("back");
  std::swap(Back.m_From, Back.m_To);
  Value.m_Rollouts[Back.m_Id] = Back;
  REQUIRE(checkConfiguration(Value, nullptr).size() == 1);
  CHECK(checkConfiguration(Value, nullptr).front().m_Message ==
        "the rollouts form a cycle through this version");
  Value.m_Rollouts[Back.m_Id].m_State = RolloutState::Aborted;
  CHECK(checkConfiguration(Value, nullptr).empty());
  Back.m_Model = ModelId("busker-chat");
  Back.m_From = VersionId("busker-chat-small");
  Back.m_To = VersionId("busker-chat-medium");
  Back.m_Share = 0.7;
  Value.m_Rollouts[Back.m_Id] = Back;
  Back.m_Id = RolloutId("again");
  Back.m_To = VersionId("busker-chat-large");
  Value.m_Rollouts[Back.m_Id] = Back;
  REQUIRE(checkConfiguration(Value, nullptr).size() == 1);
  CHECK(checkConfiguration(Value, nullptr).front().m_Field == "share");
}

// Guards against a field that is written but not read, or read but not written.
TEST_CASE("property: written documents read back as the same configuration") {
  CHECK(rc::check([](std::uint64_t Seed) {
    Configuration Value = randomConfiguration(Seed);
    const ReadOutcome Read = readDocuments(writeDocuments(Value), nullptr);
    RC_ASSERT(allFaults(Read.m_Faults).empty());
    Value.m_Revision = ConfigRevision();
    Value.m_Lifted.clear();
    RC_ASSERT(Read.m_Configuration == Value);
  }));
}
