#ifndef BULRUSHPITCH_PLATFORM_PLATFORM_H
#define BULRUSHPITCH_PLATFORM_PLATFORM_H

/// @file
/// @brief Entry header of the platform package: interfaces to the services that the platform runs.
///
/// All functions fail with family 6xx. 601 and 603 after a write, and 602, mean that the write may have taken
/// effect (`Ran::Unknown`) unless the connection could not be made (`Ran::No`).

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/net/http_message.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief One row of the table service.
struct Row {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_RowVersion = 0; ///< Rises with each write of the row; 0 means the row is absent.
};

/// @brief What must hold for one write of a transaction.
enum class WriteCondition : std::uint8_t {
  Any,       ///< Always written.
  Absent,    ///< The row must be absent, else the whole transaction fails.
  Version,   ///< The row must have m_ExpectedVersion, else the whole transaction fails.
  SkipIfSet, ///< Written if absent; otherwise this write alone is passed over.
};

/// @brief One write of a transaction.
struct RowWrite {
  std::string m_Key;
  std::string m_Value;
  WriteCondition m_Condition = WriteCondition::Any;
  std::uint64_t m_ExpectedVersion = 0;
  bool m_Erase = false;
};

/// @brief What a transaction did.
struct CommitOutcome {
  bool m_Committed = false;    ///< False if a condition failed; then nothing was written.
  std::vector<Row> m_Rows;     ///< For each write, in order, the row as it stands afterwards.
  std::vector<bool> m_Written; ///< For each write, whether it took effect.
};

/// @brief The transactional table service.
class TableService {
public:
  virtual ~TableService() = default;
  /// @brief Reads one row.
  virtual boost::asio::awaitable<Expected<std::optional<Row>>> get(std::string Key) = 0;
  /// @brief Reads rows whose key starts with @p Prefix, in key order, at most @p Limit.
  virtual boost::asio::awaitable<Expected<std::vector<Row>>> scan(std::string Prefix, std::size_t Limit) = 0;
  /// @brief Writes all rows or none. At most 100 rows.
  virtual boost::asio::awaitable<Expected<CommitOutcome>> commit(std::vector<RowWrite> Writes) = 0;
};

/// @brief The object store. Objects are immutable once written under a name.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual boost::asio::awaitable<Expected<Done>> put(std::string Name, std::string Content) = 0;
  /// @return the content; error 605 if there is no such object
  virtual boost::asio::awaitable<Expected<std::string>> get(std::string Name) = 0;
};

/// @brief What the platform's instance list says of one process. The list lags.
struct ListedInstance {
  enum class Kind : std::uint8_t { Daemon, Upstream };
  std::string m_Name; ///< An InstanceId or an UpstreamId.
  Kind m_Kind = Kind::Daemon;
  DomainId m_Domain;
  Endpoint m_Address;    ///< Peer RPC address of a daemon, serving address of an upstream.
  Endpoint m_Admin;      ///< Operator address of a daemon; port 0 for an upstream.
  std::string m_StartId; ///< Changes when the process restarts.
  bool m_Leaving = false;
};

/// @brief The platform's instance list.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual boost::asio::awaitable<Expected<std::vector<ListedInstance>>> list() = 0;
};

/// @brief An answer to be rated.
struct RatingRequest {
  TaskName m_Task;
  VersionId m_Version;
  std::string m_Prompt;
  std::string m_Answer;
};

/// @brief The service that rates answers.
class RatingService {
public:
  virtual ~RatingService() = default;
  /// @return a quality between 0 and 1
  virtual boost::asio::awaitable<Expected<double>> rate(RatingRequest Request) = 0;
};

/// @brief The rate-limited weight store.
class WeightStore {
public:
  virtual ~WeightStore() = default;
  /// @return the versions whose weights the store holds
  virtual boost::asio::awaitable<Expected<std::vector<VersionId>>> versions() = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PLATFORM_PLATFORM_H
