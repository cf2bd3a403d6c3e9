#ifndef BULRUSHPITCH_DAEMON_TABLE_EXECUTOR_H
#define BULRUSHPITCH_DAEMON_TABLE_EXECUTOR_H

#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/platform/platform.h"
#include "bulrushpitch/protocol/table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace bulrushpitch {

/// @brief Executes the table actions of the protocol state machines and counts them.
class TableExecutor : public std::enable_shared_from_this<TableExecutor> {
public:
  using CommitCallback = std::function<void(std::uint64_t Token, const CommitResult &)>;
  using ReadCallback = std::function<void(std::uint64_t Token, const ReadResult &)>;

  TableExecutor(const Runtime &Base, TableService &Table) : m_Runtime(Base), m_TableService(Table) {}

  /// @brief Commits the writes and passes the result to the callback.
  void commit(CommitRows Action, CommitCallback Callback);
  /// @brief Reads the row and passes the result to the callback.
  void read(ReadRow Action, ReadCallback Callback);

  /// @return reads or commits sent so far
  std::uint64_t reads() const { return m_Reads; }
  std::uint64_t writes() const { return m_Writes; }

private:
  boost::asio::awaitable<void> runCommit(CommitRows Action, CommitCallback Callback);
  boost::asio::awaitable<void> runRead(ReadRow Action, ReadCallback Callback);

  Runtime m_Runtime;
  TableService &m_TableService;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_TABLE_EXECUTOR_H
