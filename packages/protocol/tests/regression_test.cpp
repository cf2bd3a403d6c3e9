#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

TimePoint at(std::int64_t Ms) { return TimePoint(ms(Ms)); }
const CopyHolder Owner{InstanceId("i1"), 1};

} // namespace

TEST_CASE("a copy that its owner never drops is written although the store was last seen down") {
  // Found by guarantee 4 with RC_PARAMS="seed=11 max_success=2000": a ledger without charges of its own never
  // learned that the store was back, and kept the copy for ever.
  ChargeLedger Ledger(CopyHolder{InstanceId("i0"), 1},
                      [](const std::vector<InstanceId> &) { return std::optional<CopyHolder>(Owner); });
  Ledger.storeReachable(false);
  CHECK(Ledger.hold(at(0), Owner, {Charge{TeamId("t"), RequestId("r"), AttemptId("a"), "v", {}, {}, {}}}));
  bool Committed = false;
  for (std::int64_t Ms = 0; Ms < 62'000 && !Committed; Ms += 100)
    for (const ChargeAction &Action : Ledger.tick(at(Ms), 1))
      Committed = Committed || std::holds_alternative<CommitRows>(Action);
  CHECK(Committed);
}

TEST_CASE("a lost answer is not taken for a conflict when the write lands between the two reads") {
  Publication Of(InstanceId("i0"), DomainId("d0"), PublicationRequest{PublishId("p"), {}, "{}", {}, {}});
  CHECK(std::get<ReadRow>(Of.start(at(0)).at(0)).m_Key == HeadKey);
  // The head is read before the row that names this publication, and the write lands after that.
  const PublicationActions Second = Of.rowRead(at(1), 1, std::optional<TableRow>());
  CHECK(std::get<ReadRow>(Second.at(0)).m_Key == publishKey(PublishId("p")));
  Of.rowRead(at(2), 2, std::optional(TableRow{"", R"({"revision":1,"snapshot":"config/1-p"})", 1}));
  CHECK(Of.status().m_Stage == PublishStage::SingleCopy);
}

TEST_CASE("a restarting instance with the store down does not start past the only holder of a revision") {
  // Both copies of revision 2 were with i0, which restarted, and with b1. Starting after all but one domain
  // had answered, as the design page had it, let i0 serve revision 1.
  StartupGate Gate(InstanceId("i0"), DomainId("a"), at(0));
  Gate.listed(at(0), {{InstanceId("b1"), DomainId("b"), false}, {InstanceId("c1"), DomainId("c"), false}});
  Gate.headUnreadable(at(0));
  Gate.holds(at(1), ConfigRevision(1));
  Gate.heard(at(1), InstanceId("c1"), ConfigRevision(1), true);
  CHECK_FALSE(Gate.ready());
  Gate.heard(at(2), InstanceId("b1"), ConfigRevision(2), true);
  CHECK_FALSE(Gate.ready());
  Gate.holds(at(3), ConfigRevision(2));
  CHECK(Gate.ready());
}

TEST_CASE("a lifted restriction does not come back from a peer that was cut off") {
  ConfigStore Store;
  const Restriction Old{RestrictionId("r"), RestrictionKind::TakeOutDomain, "d", "op", {}};
  CHECK(Store.restrict(Old));
  Configuration Lifts;
  Lifts.m_Lifted = {RestrictionId("r")};
  CHECK(Store.offer(prepareForPublication(Lifts, *Store.current(), {})));
  CHECK(Store.offer(prepareForPublication(Configuration(), *Store.current(), {})));
  ConfigStore Fresh; // Starts with the second revision, which must still name the lifted id.
  CHECK(Fresh.offer(*Store.current()));
  CHECK_FALSE(Fresh.restrict(Old));
}
