#ifndef BULRUSHPITCH_PLATFORM_TESTING_MEMORY_PLATFORM_H
#define BULRUSHPITCH_PLATFORM_TESTING_MEMORY_PLATFORM_H

/// @file
/// @brief In-memory platform services with fault switches, for tests of other packages.

#include "bulrushpitch/platform/platform.h"
#include "bulrushpitch/platform/testing/memory_table.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>

namespace bulrushpitch::testing {

/// @brief Switches of one fake service.
struct FaultSwitches {
  bool m_Down = false;          ///< Every call fails with 601 and has no effect.
  Ran m_DownRan = Ran::No;      ///< What a write reports while the service is down.
  Duration m_Slow{};            ///< Each call waits so long before it takes effect.
  std::uint32_t m_LoseNext = 0; ///< So many writes take effect and then fail with 602, `Ran::Unknown`.
};

/// @brief Switches and counters of a fake service.
class FakeService {
public:
  FaultSwitches m_Faults;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;

protected:
  /// @return an error if the service is down, after the delay that is set
  boost::asio::awaitable<Expected<Done>> begin(bool Write) {
    ++(Write ? m_Writes : m_Reads);
    if (m_Faults.m_Slow > Duration(0)) {
      boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor, m_Faults.m_Slow);
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
    if (m_Faults.m_Down)
      co_return Error{ErrorCode::PlatformUnavailable, "call fake", "fake",
                      Write ? m_Faults.m_DownRan : Ran::No, "the fake is switched off"};
    co_return Done{};
  }
  /// @return the outcome of a write that took effect, unless it is to be lost
  template <typename T> Expected<T> finish(T Outcome) {
    if (m_Faults.m_LoseNext == 0)
      return Outcome;
    --m_Faults.m_LoseNext;
    return Error{ErrorCode::PlatformTimeout, "call fake", "fake", Ran::Unknown, "the answer was lost"};
  }
};

class MemoryTableService : public TableService, public FakeService {
public:
  boost::asio::awaitable<Expected<std::optional<Row>>> get(std::string Key) override {
    const Expected<Done> Begun = co_await begin(false);
    if (!Begun)
      co_return Begun.error();
    co_return m_Table.get(Key);
  }
  boost::asio::awaitable<Expected<std::vector<Row>>> scan(std::string Prefix, std::size_t Limit) override {
    const Expected<Done> Begun = co_await begin(false);
    if (!Begun)
      co_return Begun.error();
    co_return m_Table.scan(Prefix, Limit);
  }
  boost::asio::awaitable<Expected<CommitOutcome>> commit(std::vector<RowWrite> Writes) override {
    const Expected<Done> Begun = co_await begin(true);
    if (!Begun)
      co_return Begun.error();
    const std::string Fault = MemoryTable::malformed(Writes);
    if (!Fault.empty())
      co_return Error{ErrorCode::PlatformProtocol, "call fake", "fake", Ran::No, Fault};
    co_return finish(m_Table.commit(Writes));
  }

  MemoryTable m_Table;
};

class MemoryObjectStore : public ObjectStore, public FakeService {
public:
  boost::asio::awaitable<Expected<Done>> put(std::string Name, std::string Content) override {
    const Expected<Done> Begun = co_await begin(true);
    if (!Begun)
      co_return Begun.error();
    if (m_Objects.try_emplace(Name, Content).first->second != Content)
      co_return Error{ErrorCode::ConditionFailed, "call fake", "fake", Ran::No,
                      "object exists with other content"};
    co_return finish(Done{});
  }
  boost::asio::awaitable<Expected<std::string>> get(std::string Name) override {
    const Expected<Done> Begun = co_await begin(false);
    if (!Begun)
      co_return Begun.error();
    const auto Found = m_Objects.find(Name);
    if (Found == m_Objects.end())
      co_return Error{ErrorCode::ObjectNotFound, "call fake", "fake", Ran::No, "no such object"};
    co_return Found->second;
  }

  std::map<std::string, std::string> m_Objects;
};

class MemoryInstanceList : public InstanceList, public FakeService {
public:
  boost::asio::awaitable<Expected<std::vector<ListedInstance>>> list() override {
    const Expected<Done> Begun = co_await begin(false);
    if (!Begun)
      co_return Begun.error();
    co_return m_Instances;
  }

  std::vector<ListedInstance> m_Instances;
};

class MemoryRatingService : public RatingService, public FakeService {
public:
  boost::asio::awaitable<Expected<double>> rate(RatingRequest Request) override {
    const Expected<Done> Begun = co_await begin(false);
    if (!Begun)
      co_return Begun.error();
    co_return m_Rate(Request);
  }

  std::function<double(const RatingRequest &)> m_Rate = [](const RatingRequest &) { return 1.0; };
};

class MemoryWeightStore : public WeightStore, public FakeService {
public:
  boost::asio::awaitable<Expected<std::vector<VersionId>>> versions() override {
    const Expected<Done> Begun = co_await begin(false);
    if (!Begun)
      co_return Begun.error();
    co_return m_Versions;
  }

  std::vector<VersionId> m_Versions;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_PLATFORM_TESTING_MEMORY_PLATFORM_H
