#ifndef BULRUSHPITCH_GATEWAY_SRC_ORDER_BOOK_H
#define BULRUSHPITCH_GATEWAY_SRC_ORDER_BOOK_H

#include "bulrushpitch/forward/config_index.h"
#include "bulrushpitch/forward/store_era.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/rpc/order_codec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bulrushpitch {

/// @brief The operators' orders as the store has them, for other daemons: at which version of the store they
/// were read, and what another daemon lacks of them.
///
/// Differs from what is in force here after a restore of the store, when lost orders are held for a while.
/// Not thread-safe.
class OrderBook {
public:
  using ConfigPtr = std::shared_ptr<const ConfigIndex>;

  /// @return whether an answer read at this position may lack changes that are known already
  bool isOutdated(const StoreCursor &Position) const;
  /// @return whether the store was restored between what is known and an answer of this era
  bool isRestoredSince(StoreEra Era) const { return m_Position && m_Position->m_Era != Era; }
  /// @brief Applies an answer that is not outdated.
  /// @param Newest the configuration in force after it; null if none is known
  /// @param ConfirmedAt when the store confirmed it
  void apply(const OrderChanges &Changes, ConfigPtr Newest, TimePoint ConfirmedAt);
  /// @brief Records that nothing has changed up to a position.
  void confirm(const StoreCursor &Position, TimePoint ConfirmedAt);

  /// @return where the change feed goes on from; nothing before the first answer
  const std::optional<StoreCursor> &position() const { return m_Position; }
  TimePoint confirmedAt() const { return m_ConfirmedAt; }
  /// @return whether a daemon with orders of this position and revision lacks some
  bool hasNewsFor(const StoreCursor &Position, ConfigRevision Revision) const;
  /// @brief Encodes all orders, and the difference between a recent configuration and the newest one.
  /// @param Base revision of the configuration that the receiver has; of one that is not known here, the
  /// newest configuration is encoded whole
  /// @complexity linear in the size of the configuration; constant for a base that was asked for before
  const std::string &encodedFor(ConfigRevision Base);

private:
  struct RecentConfig {
    ConfigPtr m_Config;
    TimePoint m_SupersededAt{};
  };

  void setNewest(ConfigPtr Newest, TimePoint Now);
  ConfigPtr recentConfig(ConfigRevision Revision) const;

  std::optional<StoreCursor> m_Position;
  std::uint64_t m_ChangedAtVersion = 0; ///< Version of the store at the first answer with what is known now.
  TimePoint m_ConfirmedAt{};
  std::set<DomainId> m_DomainsOut;
  std::map<ServiceId, TrialOrder> m_Trials;
  ConfigPtr m_Newest;
  std::deque<RecentConfig> m_Recent; ///< Oldest first.
  std::map<ConfigRevision, std::string> m_Encoded;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_ORDER_BOOK_H
