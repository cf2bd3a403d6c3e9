#include "fuzz_targets.h"
#include "support.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

using FuzzTarget = int (*)(const std::uint8_t *, std::size_t);

/// Cuts, repeats, swaps and overwrites parts of a text.
std::string mutate(std::string Text, const RandomHook &Random) {
  static const std::string Special = "{}[]\":,-\n *&!|>'%@0123456789eE+.\x01\xff\xc3";
  for (std::uint64_t Count = 1 + Random() % 6; Count > 0 && !Text.empty(); --Count) {
    const std::size_t At = Random() % Text.size();
    const std::size_t Length = std::min<std::size_t>(1 + Random() % 40, Text.size() - At);
    switch (Random() % 5) {
    case 0:
      Text[At] = Special[Random() % Special.size()];
      break;
    case 1:
      Text.erase(At, Length);
      break;
    case 2:
      Text.insert(At, Text.substr(Random() % Text.size(), Length));
      break;
    case 3:
      Text.insert(At, std::string(1 + Random() % 200, Special[Random() % Special.size()]));
      break;
    default:
      Text[At] = static_cast<char>(Random() % 256);
    }
  }
  return Text;
}

void run(FuzzTarget Target, const std::vector<std::string> &Seeds, std::uint64_t Rounds) {
  const RandomHook Random = seededRandom(20261204);
  for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
    const std::string Input = mutate(Seeds[Round % Seeds.size()], Random);
    Target(reinterpret_cast<const std::uint8_t *>(Input.data()), Input.size());
  }
}

} // namespace

// Guards against decoders that crash, throw or loop on damaged input from a peer, the store or an operator.
TEST_CASE("decoders survive damaged input") {
  const Configuration Base = randomConfiguration(1);
  Configuration Small;
  Small.m_Models[ModelId("m")] = {ModelId("m"), std::nullopt};
  Small.m_Services[ServiceId("s")] = {ServiceId("s"), {{"r", "POST", "/x", true, {}, {}}}};
  Small.m_Services[ServiceId("s")].m_Routes[0].m_Timeout = std::chrono::milliseconds(1500);
  std::string Documents;
  for (const DocumentFile &File : writeDocuments(Small))
    Documents += File.m_Text;
  run(fuzzSnapshot, {encodeSnapshot(Base), encodeSnapshot(Small), "[", ""}, 3000);
  run(fuzzDelta, {encodeDelta(Configuration(), Small), encodeDelta(Configuration(), Base)}, 3000);
  run(fuzzDocuments,
      {Documents, exampleFiles("ampara")[4].m_Text, "? [a]\n: !x {b: &c *c}\n", "%YAML 1.2\n--- |\n x"},
      4000);
  run(fuzzSettings, {readFile("examples/settings/ampara.yaml")}, 2000);
  PublishRequest Request{ConfigRevision(1),     PublishId("p"), "op",
                         {{"f", "kind: team"}}, false,          {RestrictionId("r")}};
  run(fuzzMessage<PublishRequest>, {encodeMessage(Request)}, 3000);
  PublishReply Reply{
      PublishOutcome::Refused, {}, {{"team", "a", ChangeKind::Changed, {{"f", "1", "2"}}}}, {}, ""};
  run(fuzzMessage<PublishReply>, {encodeMessage(Reply)}, 3000);
  run(fuzzMessage<Restriction>,
      {encodeMessage(
          Restriction{RestrictionId("r"), RestrictionKind::TakeOutDomain, "t", "o", ConfigRevision(2)})},
      3000);
  run(fuzzMessage<ConfigReply>, {encodeMessage(ConfigReply{PublishId("p"), "o", Small})}, 2000);
  StatusReply Status;
  Status.m_HeadAge = std::chrono::milliseconds(5);
  Status.m_Leases = {{"d/0", FencingNumber(1), std::chrono::milliseconds(7)}};
  run(fuzzMessage<StatusReply>, {encodeMessage(Status)}, 2000);
  run(fuzzMessage<HistoryReply>,
      {encodeMessage(HistoryReply{{{ConfigRevision(1), PublishId("p"), "o", 1, {"team/a"}}}})}, 1000);
  run(fuzzMessage<ChargesReply>, {encodeMessage(ChargesReply{TeamId("t"), MicroCents(1), {}, "", 0})}, 1000);
  run(fuzzMessage<DrainRequest>, {encodeMessage(DrainRequest{InstanceId("a"), "o", std::chrono::hours(1)})},
      1000);
  run(fuzzMessage<RestrictReply>, {encodeMessage(RestrictReply{InstanceId("a"), {InstanceId("b")}, true})},
      1000);
  run(fuzzMessage<ExplainReply>,
      {encodeMessage(ExplainReply{RequestId("q"), {{1, InstanceId("a"), "s", UpstreamId("u"), {}, "r"}}})},
      1000);
  run(fuzzMessage<TimelineReply>,
      {encodeMessage(TimelineReply{{{InstanceId("a"), LamportTime(1), 1, "k", "s", "d"}}, false, {}})}, 1000);
  run(fuzzMessage<DrainReply>, {encodeMessage(DrainReply{InstanceId("a"), std::chrono::hours(1), 2})}, 1000);
  run(fuzzMessage<InForceReply>,
      {encodeMessage(InForceReply{ConfigRevision(1), true, true, {InstanceId("a")}, {}})}, 1000);
  run(fuzzError, {encodeError(Error{ErrorCode::Internal, "s", "p", Ran::Unknown, "d"})}, 1000);
}
