#ifndef BULRUSHPITCH_PLATFORM_TESTING_MEMORY_TABLE_H
#define BULRUSHPITCH_PLATFORM_TESTING_MEMORY_TABLE_H

#include "bulrushpitch/platform/platform.h"

#include <map>
#include <set>

namespace bulrushpitch::testing {

/// @brief In-memory rows of a table service, without I/O, for tests and stand-ins.
class MemoryTable {
public:
  static constexpr std::size_t MaxWrites = 100;

  /// @complexity logarithmic in the number of rows
  std::optional<Row> get(const std::string &Key) const {
    const auto Found = m_Entries.find(Key);
    if (Found == m_Entries.end() || !Found->second.m_Present)
      return std::nullopt;
    return Row{Key, Found->second.m_Value, Found->second.m_RowVersion};
  }

  /// @return rows whose key starts with @p Prefix, in key order, at most @p Limit
  std::vector<Row> scan(const std::string &Prefix, std::size_t Limit) const {
    std::vector<Row> Rows;
    for (auto Iterator = m_Entries.lower_bound(Prefix);
         Iterator != m_Entries.end() && Iterator->first.starts_with(Prefix) && Rows.size() < Limit;
         ++Iterator)
      if (Iterator->second.m_Present)
        Rows.push_back(Row{Iterator->first, Iterator->second.m_Value, Iterator->second.m_RowVersion});
    return Rows;
  }

  /// @return the reason why the transaction is malformed; empty if it is valid
  static std::string validationError(const std::vector<RowWrite> &Writes) {
    if (Writes.empty())
      return "the transaction has no writes";
    if (Writes.size() > MaxWrites)
      return "the transaction has more than 100 writes";
    std::set<std::string> Keys;
    for (const RowWrite &Write : Writes)
      if (!Keys.insert(Write.m_Key).second)
        return "the transaction writes key " + Write.m_Key + " twice";
    return {};
  }

  /// @brief Applies a valid transaction (see validationError()).
  CommitOutcome commit(const std::vector<RowWrite> &Writes) {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    for (const RowWrite &Write : Writes)
      Outcome.m_Committed = Outcome.m_Committed && conditionHolds(Write);
    for (const RowWrite &Write : Writes) {
      const bool Skipped = Write.m_Condition == WriteCondition::SkipIfPresent && get(Write.m_Key);
      Outcome.m_Written.push_back(Outcome.m_Committed && !Skipped);
      if (Outcome.m_Written.back()) {
        Entry &Target = m_Entries[Write.m_Key];
        Target.m_Value = Write.m_Erase ? std::string() : Write.m_Value;
        Target.m_Present = !Write.m_Erase;
        ++Target.m_RowVersion;
      }
      Outcome.m_Rows.push_back(get(Write.m_Key).value_or(Row{Write.m_Key, "", 0}));
    }
    return Outcome;
  }

  /// @return the number of rows present
  /// @complexity linear in the number of rows
  std::size_t size() const { return scan("", m_Entries.size()).size(); }

private:
  /// Erased rows are kept as entries so that a row's version keeps increasing when it is written again.
  struct Entry {
    std::string m_Value;
    std::uint64_t m_RowVersion = 0;
    bool m_Present = false;
  };

  bool conditionHolds(const RowWrite &Write) const {
    const std::optional<Row> Current = get(Write.m_Key);
    switch (Write.m_Condition) {
    case WriteCondition::Absent:
      return !Current;
    case WriteCondition::Version:
      return (Current ? Current->m_RowVersion : 0) == Write.m_ExpectedVersion;
    case WriteCondition::Any:
    case WriteCondition::SkipIfPresent:
      break;
    }
    return true;
  }

  std::map<std::string, Entry> m_Entries;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_PLATFORM_TESTING_MEMORY_TABLE_H
