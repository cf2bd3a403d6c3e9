#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

TimePoint at(std::int64_t Ms) { return TimePoint(ms(Ms)); }
const CopyHolder Owner{InstanceId("i1"), 1};

} // namespace

TEST_CASE("a copy that its owner never drops is written although the store was last seen unavailable") {
  // A ledger without charges of its own never noticed that the store was available again, and kept the copy
  // indefinitely. Found by the test of guarantee 4 with RC_PARAMS="seed=11 max_success=2000".
  ChargeLedger Ledger(CopyHolder{InstanceId("i0"), 1},
                      [](const std::vector<InstanceId> &) { return std::optional<CopyHolder>(Owner); });
  Ledger.setStoreReachable(false);
  CHECK(Ledger.holdCopies(at(0), Owner,
                          {Charge{TeamId("t"), RequestId("r"), AttemptId("a"), "v", {}, {}, {}}}));
  bool Committed = false;
  for (std::int64_t Ms = 0; Ms < 62'000 && !Committed; Ms += 100)
    for (const ChargeAction &Action : Ledger.tick(at(Ms), 1))
      Committed = Committed || std::holds_alternative<CommitRows>(Action);
  CHECK(Committed);
}

TEST_CASE("a lost response is not taken for a conflict when the write takes effect between the two reads") {
  Publication Publishing(InstanceId("i0"), DomainId("d0"),
                         PublicationRequest{PublishId("p"), {}, "{}", {}, {}});
  CHECK(std::get<ReadRow>(Publishing.start(at(0)).at(0)).m_Key == HeadKey);
  // The write takes effect after the head row was read and before the publish row is read.
  const PublicationActions AfterHeadRead = Publishing.rowRead(at(1), 1, std::optional<TableRow>());
  CHECK(std::get<ReadRow>(AfterHeadRead.at(0)).m_Key == publishKey(PublishId("p")));
  Publishing.rowRead(at(2), 2, std::optional(TableRow{"", R"({"revision":1,"snapshot":"config/1-p"})", 1}));
  CHECK(Publishing.status().m_Stage == PublishStage::SingleCopy);
}

TEST_CASE(
    "a restarted instance without the store does not start before it hears the only holder of a revision") {
  // The two copies of revision 2 were held by i0, which lost it in a restart, and by b1. Starting as soon as
  // all but one failure domain had responded, as first designed, let i0 serve revision 1.
  StartupGate Gate(InstanceId("i0"), DomainId("a"), at(0));
  Gate.applyInstanceList(
      at(0), {{InstanceId("b1"), DomainId("b"), false}, {InstanceId("c1"), DomainId("c"), false}});
  Gate.headReadFailed(at(0));
  Gate.setHeldRevision(at(1), ConfigRevision(1));
  Gate.exchangedWith(at(1), InstanceId("c1"), ConfigRevision(1), true);
  CHECK_FALSE(Gate.ready());
  Gate.exchangedWith(at(2), InstanceId("b1"), ConfigRevision(2), true);
  CHECK_FALSE(Gate.ready());
  Gate.setHeldRevision(at(3), ConfigRevision(2));
  CHECK(Gate.ready());
}

TEST_CASE("a lifted restriction is not reintroduced by a peer that was partitioned") {
  ConfigStore Store;
  const Restriction Ended{RestrictionId("r"), RestrictionKind::TakeOutDomain, "d", "op", {}};
  CHECK(Store.addRestriction(Ended));
  Configuration Lifting;
  Lifting.m_Lifted = {RestrictionId("r")};
  CHECK(Store.tryInstall(prepareForPublication(Lifting, *Store.current(), {})));
  CHECK(Store.tryInstall(prepareForPublication(Configuration(), *Store.current(), {})));
  ConfigStore Fresh; // Starts with the second revision, which must still list the lifted id.
  CHECK(Fresh.tryInstall(*Store.current()));
  CHECK_FALSE(Fresh.addRestriction(Ended));
}
