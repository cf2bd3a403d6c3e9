#include "bulrushpitch/platform/testing/memory_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bulrushpitch::testing {

namespace asio = boost::asio;

asio::awaitable<Expected<Done>> FakeService::beginCall(bool IsWrite) {
  ++(IsWrite ? m_Writes : m_Reads);
  if (m_Faults.m_Delay > Duration(0)) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, m_Faults.m_Delay);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (m_Faults.m_Down)
    co_return Error{ErrorCode::PlatformUnavailable, "call fake", "fake",
                    IsWrite ? m_Faults.m_DownRan : Ran::No, "the fake service is down"};
  co_return Done{};
}

asio::awaitable<Expected<std::optional<Row>>> MemoryTableService::get(std::string Key) {
  const Expected<Done> Started = co_await beginCall(false);
  if (!Started)
    co_return Started.error();
  co_return m_Table.get(Key);
}

asio::awaitable<Expected<std::vector<Row>>> MemoryTableService::scan(std::string Prefix, std::size_t Limit) {
  const Expected<Done> Started = co_await beginCall(false);
  if (!Started)
    co_return Started.error();
  co_return m_Table.scan(Prefix, Limit);
}

asio::awaitable<Expected<CommitOutcome>> MemoryTableService::commit(std::vector<RowWrite> Writes) {
  const Expected<Done> Started = co_await beginCall(true);
  if (!Started)
    co_return Started.error();
  const std::string Reason = MemoryTable::validationError(Writes);
  if (!Reason.empty())
    co_return Error{ErrorCode::PlatformProtocol, "call fake", "fake", Ran::No, Reason};
  co_return finishWrite(m_Table.commit(Writes));
}

asio::awaitable<Expected<Done>> MemoryObjectStore::put(std::string Name, std::string Content) {
  const Expected<Done> Started = co_await beginCall(true);
  if (!Started)
    co_return Started.error();
  if (m_Objects.try_emplace(Name, Content).first->second != Content)
    co_return Error{ErrorCode::ConditionFailed, "call fake", "fake", Ran::No,
                    "the object already has other content"};
  co_return finishWrite(Done{});
}

asio::awaitable<Expected<std::string>> MemoryObjectStore::get(std::string Name) {
  const Expected<Done> Started = co_await beginCall(false);
  if (!Started)
    co_return Started.error();
  const auto Found = m_Objects.find(Name);
  if (Found == m_Objects.end())
    co_return Error{ErrorCode::ObjectNotFound, "call fake", "fake", Ran::No, "no such object"};
  co_return Found->second;
}

asio::awaitable<Expected<std::vector<ListedInstance>>> MemoryInstanceList::list() {
  const Expected<Done> Started = co_await beginCall(false);
  if (!Started)
    co_return Started.error();
  co_return m_Instances;
}

asio::awaitable<Expected<double>> MemoryRatingService::rate(RatingRequest Request) {
  const Expected<Done> Started = co_await beginCall(false);
  if (!Started)
    co_return Started.error();
  co_return m_RatingFunction(Request);
}

asio::awaitable<Expected<std::vector<VersionId>>> MemoryWeightStore::versions() {
  const Expected<Done> Started = co_await beginCall(false);
  if (!Started)
    co_return Started.error();
  co_return m_Versions;
}

} // namespace bulrushpitch::testing
