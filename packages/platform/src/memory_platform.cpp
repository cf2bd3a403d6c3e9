#include "bulrushpitch/platform/testing/memory_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bulrushpitch::testing {

namespace asio = boost::asio;

asio::awaitable<Expected<Done>> FakeService::begin(bool Write) {
  ++(Write ? m_Writes : m_Reads);
  if (m_Faults.m_Slow > Duration(0)) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, m_Faults.m_Slow);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (m_Faults.m_Down)
    co_return Error{ErrorCode::PlatformUnavailable, "call fake", "fake", Write ? m_Faults.m_DownRan : Ran::No,
                    "the fake is switched off"};
  co_return Done{};
}

asio::awaitable<Expected<std::optional<Row>>> MemoryTableService::get(std::string Key) {
  const Expected<Done> Begun = co_await begin(false);
  if (!Begun)
    co_return Begun.error();
  co_return m_Table.get(Key);
}

asio::awaitable<Expected<std::vector<Row>>> MemoryTableService::scan(std::string Prefix, std::size_t Limit) {
  const Expected<Done> Begun = co_await begin(false);
  if (!Begun)
    co_return Begun.error();
  co_return m_Table.scan(Prefix, Limit);
}

asio::awaitable<Expected<CommitOutcome>> MemoryTableService::commit(std::vector<RowWrite> Writes) {
  const Expected<Done> Begun = co_await begin(true);
  if (!Begun)
    co_return Begun.error();
  const std::string Fault = MemoryTable::malformed(Writes);
  if (!Fault.empty())
    co_return Error{ErrorCode::PlatformProtocol, "call fake", "fake", Ran::No, Fault};
  co_return finish(m_Table.commit(Writes));
}

asio::awaitable<Expected<Done>> MemoryObjectStore::put(std::string Name, std::string Content) {
  const Expected<Done> Begun = co_await begin(true);
  if (!Begun)
    co_return Begun.error();
  if (m_Objects.try_emplace(Name, Content).first->second != Content)
    co_return Error{ErrorCode::ConditionFailed, "call fake", "fake", Ran::No,
                    "object exists with other content"};
  co_return finish(Done{});
}

asio::awaitable<Expected<std::string>> MemoryObjectStore::get(std::string Name) {
  const Expected<Done> Begun = co_await begin(false);
  if (!Begun)
    co_return Begun.error();
  const auto Found = m_Objects.find(Name);
  if (Found == m_Objects.end())
    co_return Error{ErrorCode::ObjectNotFound, "call fake", "fake", Ran::No, "no such object"};
  co_return Found->second;
}

asio::awaitable<Expected<std::vector<ListedInstance>>> MemoryInstanceList::list() {
  const Expected<Done> Begun = co_await begin(false);
  if (!Begun)
    co_return Begun.error();
  co_return m_Instances;
}

asio::awaitable<Expected<double>> MemoryRatingService::rate(RatingRequest Request) {
  const Expected<Done> Begun = co_await begin(false);
  if (!Begun)
    co_return Begun.error();
  co_return m_Rate(Request);
}

asio::awaitable<Expected<std::vector<VersionId>>> MemoryWeightStore::versions() {
  const Expected<Done> Begun = co_await begin(false);
  if (!Begun)
    co_return Begun.error();
  co_return m_Versions;
}

} // namespace bulrushpitch::testing
