#include "support.h"

#include "bulrushpitch/core/expected.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

std::string replaced(std::string Text, const std::string &From, const std::string &To) {
  const std::size_t At = Text.find(From);
  REQUIRE_MESSAGE(At != std::string::npos, From);
  return Text.replace(At, From.size(), To);
}

} // namespace

TEST_CASE("property: a snapshot decodes to the configuration it was made from") {
  CHECK(rc::check([](std::uint64_t Seed) {
    const Configuration Value = randomConfiguration(Seed);
    const Expected<Configuration> Read = capture([&] { return decodeSnapshot(encodeSnapshot(Value)); });
    RC_ASSERT(Read.hasValue());
    RC_ASSERT(*Read == Value);
  }));
}

// Guards against daemons that reach different configurations by delta and by snapshot.
TEST_CASE("property: a delta applied to its base gives its target") {
  CHECK(rc::check([](std::uint64_t Seed, std::uint64_t Other, bool Small) {
    const Configuration Base = randomConfiguration(Seed);
    Configuration Target = Small ? Base : randomConfiguration(Other);
    Target.m_Revision = Base.m_Revision + ConfigRevision(1);
    if (Small && !Target.m_Teams.empty())
      Target.m_Teams.begin()->second.m_Weight += 0.5;
    const std::string Delta = encodeDelta(Base, Target);
    const Expected<Configuration> Read = capture([&] { return applyDelta(Base, Delta); });
    RC_ASSERT(Read.hasValue());
    RC_ASSERT(*Read == Target);
    RC_ASSERT(encodeSnapshot(*Read) == encodeSnapshot(Target));
    RC_ASSERT(!Small || Delta.size() < 1000);
    Configuration Same = Base;
    Same.m_Revision = Target.m_Revision;
    Same.m_Lifted = Target.m_Lifted;
    RC_ASSERT(diffConfigurations(Base, Target).empty() == (Same == Target));
  }));
}

// Guards against applying a delta to a configuration that it was not made from.
TEST_CASE("a delta for another base is refused") {
  Configuration Base = randomConfiguration(1);
  Configuration Target = Base;
  Target.m_Revision += ConfigRevision(1);
  const std::string Delta = encodeDelta(Base, Target);
  Base.m_Revision += ConfigRevision(5);
  const Expected<Configuration> Read = capture([&] { return applyDelta(Base, Delta); });
  REQUIRE_FALSE(Read);
  CHECK(Read.error().m_Code == ErrorCode::RevisionConflict);
}

// Guards against a snapshot of a newer or damaged kind being taken for an older, smaller one.
TEST_CASE("snapshots are read strictly") {
  const std::string Good = encodeSnapshot(readDocuments(exampleFiles("ampara"), nullptr).m_Configuration);
  struct Case {
    std::string m_Text;
    ErrorCode m_Code;
  };
  const std::vector<Case> Cases{
      {replaced(Good, "\"format\":1", "\"format\":2"), ErrorCode::DocumentSyntax},
      {replaced(Good, "\"format\":1", "\"format\":1,\"extra\":0"), ErrorCode::UnknownField},
      {replaced(Good, "\"format\":1", "\"format\":1,\"format\":1"), ErrorCode::DocumentSyntax},
      {replaced(Good, "\"region\":\"west\",", ""), ErrorCode::MissingField},
      {replaced(Good, "\"capacity\":32", "\"capacity\":\"32\""), ErrorCode::BadFieldValue},
      {replaced(Good, "\"capacity\":32", "\"capacity\":4294967328"), ErrorCode::BadFieldValue},
      {replaced(Good, "\"domain\":\"hill-a\"", "\"domain\":\"hill-b\""), ErrorCode::UnknownReference},
      {replaced(Good, "\"name\":\"west-b\"", "\"name\":\"west-a\""), ErrorCode::DuplicateObject},
      {replaced(Good, "\"cascade\":[", "\"cascades\":["), ErrorCode::MissingField},
      {Good.substr(0, Good.size() - 1), ErrorCode::DocumentSyntax},
      {std::string(1'000'000, '['), ErrorCode::DocumentSyntax},
      {"", ErrorCode::DocumentSyntax}};
  for (const Case &Bad : Cases) {
    const Expected<Configuration> Read = capture([&] { return decodeSnapshot(Bad.m_Text); });
    REQUIRE_FALSE(Read);
    CHECK_MESSAGE(Read.error().m_Code == Bad.m_Code, Read.error().toString());
  }
}

TEST_CASE("diff names the fields that changed") {
  const Configuration Before = readDocuments(exampleFiles("ampara"), nullptr).m_Configuration;
  Configuration After = Before;
  After.m_Domains[DomainId("west-a")].m_State = DomainState::Out;
  After.m_Teams.erase(TeamId("trials"));
  After.m_Models[ModelId("new")] = {ModelId("new"), std::nullopt};
  After.m_Models[ModelId("busker-chat")].m_Cascade.reset();
  const std::vector<ObjectChange> Changes = diffConfigurations(Before, After);
  const std::vector<ObjectChange> Expected{
      {"team", "trials", ChangeKind::Removed, {}},
      {"model", "busker-chat", ChangeKind::Changed, {{"cascade", "\"busker-chat-ladder\"", ""}}},
      {"model", "new", ChangeKind::Added, {}},
      {"failure-domain", "west-a", ChangeKind::Changed, {{"state", "\"in\"", "\"out\""}}}};
  CHECK(Changes == Expected);
}
