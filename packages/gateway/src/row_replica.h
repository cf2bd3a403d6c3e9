#ifndef BULRUSHPITCH_GATEWAY_SRC_ROW_REPLICA_H
#define BULRUSHPITCH_GATEWAY_SRC_ROW_REPLICA_H

#include "replica.h"

#include "bulrushpitch/rpc/table_codec.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrushpitch {

/// @brief Replica of a table whose rows change one by one. A daemon that has an earlier version of it is sent
/// the rows that have changed since.
template <typename Row> class RowReplica : public Replica {
public:
  using KeyHook = std::function<std::string(const Row &)>;
  using EncodeHook = std::function<std::string(const RowChanges<Row> &)>;

  RowReplica(RelayedTable Table, KeyHook KeyOf, EncodeHook Encode)
      : m_Table(Table), m_KeyOf(std::move(KeyOf)), m_Encode(std::move(Encode)) {}

  RelayedTable table() const override { return m_Table; }

  /// @brief Applies an answer that is not outdated.
  /// @param Position where it was read
  /// @param ConfirmedAt when the store confirmed it
  void apply(const RowChanges<Row> &Changes, const StoreCursor &Position, TimePoint ConfirmedAt) {
    if (Changes.m_Whole || isRestoredSince(Position.m_Era))
      forget(Position.m_Version);
    for (const Row &Updated : Changes.m_Updated)
      update(Updated, Position.m_Version);
    for (const std::string &Key : Changes.m_Removed)
      remove(Key, Position.m_Version);
    forgetOldRemovals();
    confirm(Position, ConfirmedAt);
  }

  bool hasNewsFor(const PeerHeldTable &Held) const override {
    if (!position() || StoreEra(Held.m_Era) > position()->m_Era)
      return false;
    return StoreEra(Held.m_Era) != position()->m_Era || Held.m_Version < m_ChangedAtVersion;
  }

  std::string encodedFor(const PeerHeldTable &Held) override {
    const bool Whole = StoreEra(Held.m_Era) != position()->m_Era || Held.m_Version < m_CompleteSince;
    const std::uint64_t Base = Whole ? 0 : Held.m_Version;
    const auto Found = m_Encoded.find(Base);
    if (Found != m_Encoded.end())
      return Found->second;
    return m_Encoded.emplace(Base, m_Encode(changesSince(Base, Whole))).first->second;
  }

private:
  /// Removed rows that are remembered; a daemon that lacks earlier removals is sent all rows.
  static constexpr std::size_t MaxRemovals = 1024;

  struct VersionedRow {
    Row m_Row;
    std::uint64_t m_ChangedAt = 0; ///< Version of the store at the first answer with this row.
  };

  /// Rows that have come and gone before this version may never have been seen here.
  void forget(std::uint64_t Version) {
    m_Rows.clear();
    m_Removals.clear();
    m_CompleteSince = Version;
    onChanged(Version);
  }

  void onChanged(std::uint64_t Version) {
    m_ChangedAtVersion = Version;
    m_Encoded.clear();
  }

  /// A row as before counts as changed: it may have been another one meanwhile, as other daemons know.
  void update(const Row &Updated, std::uint64_t Version) {
    const std::string Key = m_KeyOf(Updated);
    m_Rows[Key] = {Updated, Version};
    m_Removals.erase(Key);
    onChanged(Version);
  }

  /// A row that was never seen here counts as removed: other daemons may have it.
  void remove(const std::string &Key, std::uint64_t Version) {
    m_Rows.erase(Key);
    m_Removals[Key] = Version;
    onChanged(Version);
  }

  void forgetOldRemovals() {
    while (m_Removals.size() > MaxRemovals) {
      const auto Oldest =
          std::min_element(m_Removals.begin(), m_Removals.end(),
                           [](const auto &Left, const auto &Right) { return Left.second < Right.second; });
      m_CompleteSince = std::max(m_CompleteSince, Oldest->second);
      m_Removals.erase(Oldest);
    }
  }

  RowChanges<Row> changesSince(std::uint64_t Version, bool Whole) const {
    RowChanges<Row> Changes;
    Changes.m_Whole = Whole;
    for (const auto &Each : m_Rows)
      if (Whole || Each.second.m_ChangedAt > Version)
        Changes.m_Updated.push_back(Each.second.m_Row);
    if (Whole)
      return Changes;
    for (const auto &Removal : m_Removals)
      if (Removal.second > Version)
        Changes.m_Removed.push_back(Removal.first);
    return Changes;
  }

  RelayedTable m_Table;
  KeyHook m_KeyOf;
  EncodeHook m_Encode;
  std::map<std::string, VersionedRow> m_Rows;
  std::map<std::string, std::uint64_t> m_Removals; ///< Versions at which rows were found removed.
  std::uint64_t m_CompleteSince = 0;               ///< Removals after this version are all known.
  std::uint64_t m_ChangedAtVersion = 0; ///< Version of the store at the first answer with what is known now.
  std::map<std::uint64_t, std::string> m_Encoded; ///< By the version that the receiver has; 0: all rows.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_ROW_REPLICA_H
