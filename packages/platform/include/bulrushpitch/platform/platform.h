#ifndef BULRUSHPITCH_PLATFORM_PLATFORM_H
#define BULRUSHPITCH_PLATFORM_PLATFORM_H

/// @file
/// @brief Main header of the platform package: interfaces to the services that the platform runs.
///
/// All functions fail with errors of family 6xx. After 601, 602 or 603 a write may have taken effect
/// (`Ran::Unknown`), unless the connection failed or the service says that the write did not run (`Ran::No`).

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
  std::uint64_t m_RowVersion = 0; ///< Increases with each write of the row; 0 if the row is absent.
};

/// @brief Precondition of one write of a transaction.
enum class WriteCondition : std::uint8_t {
  Any,           ///< No precondition.
  Absent,        ///< The row must be absent, or the whole transaction fails.
  Version,       ///< The row must have m_ExpectedVersion, or the whole transaction fails.
  SkipIfPresent, ///< Skips this write alone if the row is present.
};

/// @brief One write of a transaction.
struct RowWrite {
  std::string m_Key;
  std::string m_Value;
  WriteCondition m_Condition = WriteCondition::Any;
  std::uint64_t m_ExpectedVersion = 0;
  bool m_Erase = false;
};

/// @brief Result of a transaction.
struct CommitOutcome {
  bool m_Committed = false;    ///< False if a condition failed; nothing was written then.
  std::vector<Row> m_Rows;     ///< For each write, in order, the row after the transaction.
  std::vector<bool> m_Written; ///< For each write, whether it took effect.
};

/// @brief The transactional table service.
class TableService {
public:
  virtual ~TableService() = default;
  /// @return the row; nothing if it is absent
  virtual boost::asio::awaitable<Expected<std::optional<Row>>> get(std::string Key) = 0;
  /// @brief Reads rows whose key starts with @p Prefix, in key order, at most @p Limit.
  virtual boost::asio::awaitable<Expected<std::vector<Row>>> scan(std::string Prefix, std::size_t Limit) = 0;
  /// @brief Writes all rows or none.
  /// @param Writes 1 to 100 writes
  virtual boost::asio::awaitable<Expected<CommitOutcome>> commit(std::vector<RowWrite> Writes) = 0;
};

/// @brief The object store. An object cannot be changed once it is written.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  /// @return error 604 if the name already has other content
  virtual boost::asio::awaitable<Expected<Done>> put(std::string Name, std::string Content) = 0;
  /// @return the content; error 605 if there is no such object
  virtual boost::asio::awaitable<Expected<std::string>> get(std::string Name) = 0;
};

/// @brief Entry of the platform's instance list for one process. Changes appear in the list with a delay.
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

/// @brief A model's answer to be rated.
struct RatingRequest {
  TaskName m_Task;
  VersionId m_Version;
  std::string m_Prompt;
  std::string m_Answer;
};

/// @brief The service that rates models' answers.
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
