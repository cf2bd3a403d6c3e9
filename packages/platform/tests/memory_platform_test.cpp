#include "bulrushpitch/platform/testing/memory_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;
namespace asio = boost::asio;

namespace {

template <typename T>
asio::awaitable<void> store(asio::awaitable<Expected<T>> Call, std::optional<Expected<T>> &Outcome) {
  Outcome = co_await std::move(Call);
}

template <typename T> Expected<T> run(asio::awaitable<Expected<T>> Call) {
  asio::io_context Context;
  std::optional<Expected<T>> Outcome;
  asio::co_spawn(Context, store(std::move(Call), Outcome), asio::detached);
  Context.run();
  REQUIRE(Outcome);
  return *Outcome;
}

} // namespace

TEST_CASE("a write to a fake that is down has no effect; a write whose response is lost takes effect") {
  MemoryTableService Table;
  const std::vector<RowWrite> Writes{RowWrite{"a", "1", WriteCondition::Absent, 0, false}};
  Table.m_Faults.m_Down = true;
  CHECK(run(Table.commit(Writes)).error().m_Ran == Ran::No);
  CHECK(Table.m_Table.size() == 0);
  Table.m_Faults = FaultSwitches{};
  Table.m_Faults.m_ResponsesToLose = 1;
  Table.m_Faults.m_Delay = std::chrono::milliseconds(1);
  CHECK(run(Table.commit(Writes)).error().m_Ran == Ran::Unknown);
  CHECK(Table.m_Table.size() == 1);
  const Expected<CommitOutcome> Repeated = run(Table.commit(Writes));
  REQUIRE(Repeated);
  CHECK_FALSE(Repeated->m_Committed);
  CHECK(Repeated->m_Rows.front().m_Value == "1");
}

TEST_CASE("the fake object store keeps objects immutable") {
  MemoryObjectStore Objects;
  CHECK(run(Objects.put("o", "1")));
  CHECK(run(Objects.put("o", "2")).error().m_Code == ErrorCode::ConditionFailed);
  CHECK(run(Objects.get("p")).error().m_Code == ErrorCode::ObjectNotFound);
}
