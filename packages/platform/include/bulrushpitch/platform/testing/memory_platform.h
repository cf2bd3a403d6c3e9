#ifndef BULRUSHPITCH_PLATFORM_TESTING_MEMORY_PLATFORM_H
#define BULRUSHPITCH_PLATFORM_TESTING_MEMORY_PLATFORM_H

/// @file
/// @brief In-memory platform services with fault switches, for tests of other packages.

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/platform/platform.h"
#include "bulrushpitch/platform/testing/memory_table.h"

#include <functional>

namespace bulrushpitch::testing {

/// @brief Faults that one fake service simulates.
struct FaultSwitches {
  bool m_Down = false;     ///< Every call fails with 601 and has no effect.
  Ran m_DownRan = Ran::No; ///< `Ran` in the error of a write while the service is down.
  Duration m_Delay{};      ///< Delay before each call takes effect.
  std::uint32_t m_ResponsesToLose =
      0; ///< Number of next writes that take effect and then fail with 602, `Ran::Unknown`.
};

/// @brief Fault switches and counters of a fake service.
class FakeService {
public:
  FaultSwitches m_Faults;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;

protected:
  /// @brief Counts the call and applies the delay.
  /// @return an error if the service is down
  boost::asio::awaitable<Expected<Done>> beginCall(bool IsWrite);
  /// @return the outcome of a write that took effect; error 602 if its response is to be lost
  template <typename T> Expected<T> finishWrite(T Outcome) {
    if (m_Faults.m_ResponsesToLose == 0)
      return Outcome;
    --m_Faults.m_ResponsesToLose;
    return Error{ErrorCode::PlatformTimeout, "call fake", "fake", Ran::Unknown, "the response was lost"};
  }
};

class MemoryTableService : public TableService, public FakeService {
public:
  boost::asio::awaitable<Expected<std::optional<Row>>> get(std::string Key) override;
  boost::asio::awaitable<Expected<std::vector<Row>>> scan(std::string Prefix, std::size_t Limit) override;
  boost::asio::awaitable<Expected<CommitOutcome>> commit(std::vector<RowWrite> Writes) override;

  MemoryTable m_Table;
};

class MemoryObjectStore : public ObjectStore, public FakeService {
public:
  boost::asio::awaitable<Expected<Done>> put(std::string Name, std::string Content) override;
  boost::asio::awaitable<Expected<std::string>> get(std::string Name) override;

  std::map<std::string, std::string> m_Objects;
};

class MemoryInstanceList : public InstanceList, public FakeService {
public:
  boost::asio::awaitable<Expected<std::vector<ListedInstance>>> list() override;

  std::vector<ListedInstance> m_Instances;
};

class MemoryRatingService : public RatingService, public FakeService {
public:
  boost::asio::awaitable<Expected<double>> rate(RatingRequest Request) override;

  std::function<double(const RatingRequest &)> m_RatingFunction = [](const RatingRequest &) { return 1.0; };
};

class MemoryWeightStore : public WeightStore, public FakeService {
public:
  boost::asio::awaitable<Expected<std::vector<VersionId>>> versions() override;

  std::vector<VersionId> m_Versions;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_PLATFORM_TESTING_MEMORY_PLATFORM_H
