#ifndef BULRUSHPITCH_PROTOCOL_TABLE_H
#define BULRUSHPITCH_PROTOCOL_TABLE_H

#include "bulrushpitch/core/expected.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief What must hold for one write of a transaction; the same cases as the platform's WriteCondition.
enum class TableCondition : std::uint8_t { Any, Absent, Version, SkipIfSet };

/// @brief A row as read from the table service.
struct TableRow {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_RowVersion = 0; ///< Rises with each write; 0 means the row is absent.
};

/// @brief One write of a transaction.
struct TableWrite {
  std::string m_Key;
  std::string m_Value;
  TableCondition m_Condition = TableCondition::Any;
  std::uint64_t m_ExpectedVersion = 0;
};

/// @brief What a transaction did.
struct TableOutcome {
  bool m_Committed = false;
  std::vector<TableRow> m_Rows; ///< For each write, the row as it stands afterwards.
  std::vector<bool> m_Written;  ///< For each write, whether it took effect.
};

/// @brief The result of a commit. An error with Ran::No means that nothing was written; with any other value
/// the write may have taken effect, or may still do so.
using CommitResult = Expected<TableOutcome>;
/// @brief The result of a read; an absent row is an empty optional.
using ReadResult = Expected<std::optional<TableRow>>;

/// @brief Action: commit these writes in one transaction and report the result with m_Token.
///
/// Every action that carries a token gets exactly one outcome; after the executor's time limit that is an
/// error (602, Ran::Unknown). A machine therefore keeps no time limits of its own for the store.
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
