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

/// @brief Carries out the table actions of the protocol machines and counts them.
class TableExecutor : public std::enable_shared_from_this<TableExecutor> {
public:
  using CommitHook = std::function<void(std::uint64_t Token, const CommitResult &)>;
  using ReadHook = std::function<void(std::uint64_t Token, const ReadResult &)>;

  TableExecutor(const Runtime &Base, TableService &Table) : m_Runtime(Base), m_Table(Table) {}

  /// @brief Commits the writes and reports the result.
  void commit(CommitRows Action, CommitHook Report);
  /// @brief Reads the row and reports the result.
  void read(ReadRow Action, ReadHook Report);

  /// @return reads and writes sent so far
  std::uint64_t reads() const { return m_Reads; }
  std::uint64_t writes() const { return m_Writes; }

private:
  boost::asio::awaitable<void> runCommit(CommitRows Action, CommitHook Report);
  boost::asio::awaitable<void> runRead(ReadRow Action, ReadHook Report);

  Runtime m_Runtime;
  TableService &m_Table;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_TABLE_EXECUTOR_H
