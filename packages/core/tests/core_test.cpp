#include "bulrushpitch/core/core.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bulrushpitch;

TEST_CASE("capture keeps the step, the peer and the outcome of an error") {
  const Error Original{ErrorCode::NoUpstream, "route", "west-a", Ran::No, "none is warm"};
  Expected<int> Outcome = capture([&]() -> Result<int> { return fail(Original); });
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error() == Original);
  CHECK(Outcome.error().toString() == "[401] route (west-a): none is warm, ran: no");
  Expected<int> Value = capture([]() -> Result<int> { return 3; });
  CHECK(*Value == 3);
}

TEST_CASE("rendezvousOrder moves only the keys of a member that left") {
  CHECK(rc::check([](const std::string &Key, std::uint8_t Count) {
    std::vector<std::string> Names;
    Names.reserve(22);
    for (int Index = 0; Index < 2 + Count % 20; ++Index)
      Names.push_back("instance-" + std::to_string(Index));
    const std::vector<std::string> Before = rendezvousOrder(Key, Names);
    Names.erase(std::find(Names.begin(), Names.end(), Before.back()));
    RC_ASSERT(rendezvousOrder(Key, Names).front() == Before.front());
  }));
}
