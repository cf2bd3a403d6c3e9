#ifndef BULRUSHPITCH_GATEWAY_SRC_ORDER_BOOK_H
#define BULRUSHPITCH_GATEWAY_SRC_ORDER_BOOK_H

#include "replica.h"

#include "bulrushpitch/forward/config_index.h"
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

/// @brief Replica of the operators' orders. A daemon with a recent configuration is sent the difference to
/// it.
class OrderBook : public Replica {
public:
  using ConfigPtr = std::shared_ptr<const ConfigIndex>;

  RelayedTable table() const override { return RelayedTable::Orders; }
  bool hasNewsFor(const PeerHeldTable &Held) const override {
    return hasNewsFor({StoreEra(Held.m_Era), Held.m_Version}, Held.m_Revision);
  }
  std::string encodedFor(const PeerHeldTable &Held) override { return encodedFor(Held.m_Revision); }

  /// @brief Applies an answer that is not outdated.
  /// @param Newest the configuration in force after it; null if none is known
  /// @param ConfirmedAt when the store confirmed it
  void apply(const OrderChanges &Changes, ConfigPtr Newest, TimePoint ConfirmedAt);
  /// @return whether a daemon with orders of this position and revision lacks some
  bool hasNewsFor(const StoreCursor &Position, ConfigRevision Revision) const;
  /// @brief Encodes all orders, and the difference between a recent configuration and the newest one.
  /// @param Base revision of the configuration that the receiver has; of one that is not known here, the
  /// newest configuration is encoded whole
  /// @complexity linear in the size of the configuration; constant for a base that was asked for before
  const std::string &encodedFor(ConfigRevision Base);

protected:
  void onConfirmed(TimePoint ConfirmedAt) override;

private:
  struct RecentConfig {
    ConfigPtr m_Config;
    TimePoint m_SupersededAt{};
  };

  void setNewest(ConfigPtr Newest, TimePoint Now);
  ConfigPtr recentConfig(ConfigRevision Revision) const;

  std::uint64_t m_ChangedAtVersion = 0; ///< Version of the store at the first answer with what is known now.
  std::set<DomainId> m_DomainsOut;
  std::map<ServiceId, TrialOrder> m_Trials;
  ConfigPtr m_Newest;
  std::deque<RecentConfig> m_Recent; ///< Oldest first.
  std::map<ConfigRevision, std::string> m_Encoded;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_ORDER_BOOK_H
