#ifndef BULRUSHPITCH_PROTOCOL_TABLE_H
#define BULRUSHPITCH_PROTOCOL_TABLE_H

#include "bulrushpitch/core/expected.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief The condition of one write of a transaction; the same cases as the platform's WriteCondition.
enum class TableCondition : std::uint8_t { Any, Absent, Version, SkipIfPresent };

/// @brief A row as read from the table service.
struct TableRow {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_RowVersion = 0; ///< Increases with each write; 0 means that the row is absent.
};

/// @brief One write of a transaction.
struct TableWrite {
  std::string m_Key;
  std::string m_Value;
  TableCondition m_Condition = TableCondition::Any;
  std::uint64_t m_ExpectedVersion = 0; ///< For TableCondition::Version.
};

/// @brief The outcome of a transaction.
struct TableOutcome {
  bool m_Committed = false;
  std::vector<TableRow> m_Rows; ///< For each write, the row after the transaction.
  std::vector<bool> m_Written;  ///< For each write, whether it took effect.
};

/// @brief The result of a commit. An error with Ran::No means that nothing was written; with any other value
/// the writes may have taken effect, or may still do so.
using CommitResult = Expected<TableOutcome>;
/// @brief The result of a read; an absent row is an empty optional.
using ReadResult = Expected<std::optional<TableRow>>;

/// @brief Action: commit these writes in one transaction and report the result with m_Token.
///
/// For every action that carries a token, exactly one outcome is reported; after the executor's timeout that
/// is an error (602, Ran::Unknown). State machines therefore have no timeouts of their own for store calls.
struct CommitRows {
  std::uint64_t m_Token = 0;
  std::vector<TableWrite> m_Writes;
};

/// @brief Action: read this row and report the result with m_Token.
struct ReadRow {
  std::uint64_t m_Token = 0;
  std::string m_Key;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_TABLE_H
