#include "bulrushpitch/rpc/table_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

RowChanges<RegisteredUpstream> sampleChanges() {
  RegisteredUpstream Entry;
  Entry.m_Id = UpstreamId("i-1");
  Entry.m_Service = ServiceId("s");
  Entry.m_Domain = DomainId("west-a");
  Entry.m_Address = {"10.0.0.1", 8080};
  Entry.m_Version = VersionId("v2");
  Entry.m_Slots = 24;
  Entry.m_Draining = true;
  Entry.m_ColdPeriod = milliseconds(3000);
  Entry.m_StartedAt = 1'783'624'848'037;
  return {true, {Entry, RegisteredUpstream{}}, {"gone"}};
}

} // namespace

TEST_CASE("rows of the registry arrive as they were sent") {
  const RowChanges<RegisteredUpstream> Sent = sampleChanges();
  const Expected<RowChanges<RegisteredUpstream>> Received = decodeUpstreams(encodeUpstreams(Sent));
  REQUIRE(Received);
  CHECK(Received->m_Whole == Sent.m_Whole);
  CHECK(Received->m_Updated == Sent.m_Updated);
  CHECK(Received->m_Removed == Sent.m_Removed);
}

// Guards against a daemon that ends, or fills its memory, because of what another one sends.
TEST_CASE("damaged rows of the registry are an error, or are decoded to something of bounded size") {
  const std::string Sound = encodeUpstreams(sampleChanges());
  CHECK(rc::check([&] {
    std::string Damaged = Sound;
    const std::size_t Changes = *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t Change = 0; Change < Changes; ++Change)
      Damaged[*rc::gen::inRange<std::size_t>(0, Damaged.size())] = *rc::gen::arbitrary<char>();
    Damaged.resize(*rc::gen::inRange<std::size_t>(0, Damaged.size() + 1));
    const Expected<RowChanges<RegisteredUpstream>> Received = decodeUpstreams(Damaged);
    RC_ASSERT(Received || Received.error().m_Code == ErrorCode::PeerProtocol);
  }));
}
