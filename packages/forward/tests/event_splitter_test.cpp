#include "bulrushpitch/forward/event_splitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace bulrushpitch;

namespace {

std::string event(std::uint64_t Id) {
  return "id: " + std::to_string(Id) + "\ndata: token " + std::to_string(Id) + "\n\n";
}

} // namespace

// Guards against events that are forwarded in parts or lost when the network splits a stream at any byte.
TEST_CASE("any fragmentation of a stream gives the same complete events") {
  CHECK(rc::check([] {
    const std::uint64_t Count = *rc::gen::inRange<std::uint64_t>(1, 20);
    std::string All;
    for (std::uint64_t Id = 1; Id <= Count; ++Id)
      All += event(Id);
    EventSplitter Events;
    std::string Joined;
    std::uint64_t Next = 1;
    std::size_t Offset = 0;
    while (Offset < All.size()) {
      const std::size_t Size = *rc::gen::inRange<std::size_t>(1, 40);
      Events.feed(std::string_view(All).substr(Offset, Size));
      Offset += Size;
      while (const std::optional<StreamEvent> Event = Events.next()) {
        RC_ASSERT(Event->m_Id == Next++);
        Joined += Event->m_Bytes;
      }
    }
    RC_ASSERT(Joined == All);
    RC_ASSERT(!Events.hasPartial());
  }));
}

TEST_CASE("an incomplete event stays in the buffer") {
  EventSplitter Events;
  Events.feed(event(1) + "id: 2\ndata: tok");
  REQUIRE(Events.next());
  CHECK_FALSE(Events.next());
  CHECK(Events.hasPartial());
}

TEST_CASE("lines may end with CRLF, and other fields may precede the id") {
  EventSplitter Events;
  Events.feed("weight-versions: 2\r\nid: 7\r\ndata: x\r\n\r\n");
  const std::optional<StreamEvent> Event = Events.next();
  REQUIRE(Event);
  CHECK(Event->m_Id == 7U);
  CHECK_FALSE(Events.hasPartial());
}

TEST_CASE("a sequence skips forwarded events and detects gaps") {
  EventSequence Sequence(4);
  CHECK(Sequence.check({"", 4}) == EventSequence::Verdict::Repeated);
  CHECK(Sequence.check({"", std::nullopt}) == EventSequence::Verdict::Repeated);
  CHECK(Sequence.check({"", 5}) == EventSequence::Verdict::Forward);
  CHECK(Sequence.check({"", std::nullopt}) == EventSequence::Verdict::Forward);
  CHECK(Sequence.check({"", 7}) == EventSequence::Verdict::Gap);
  CHECK(Sequence.last() == 5U);
}
