#include "order_book.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

/// Configurations that are kept as bases of differences.
constexpr std::size_t MaxRecentConfigs = 3;
/// Daemons that follow have a newer one by then.
constexpr Duration RecentConfigTime = std::chrono::seconds(10);

ConfigRevision revisionOf(const OrderBook::ConfigPtr &Config) {
  return Config ? Config->config().m_Revision : ConfigRevision();
}

} // namespace

void OrderBook::apply(const OrderChanges &Changes, ConfigPtr Newest, TimePoint ConfirmedAt) {
  const bool Replaces = Changes.m_FullSnapshot || isRestoredSince(Changes.m_Era);
  std::set<DomainId> DomainsOut = Replaces ? std::set<DomainId>() : m_DomainsOut;
  std::map<ServiceId, TrialOrder> Trials = Replaces ? std::map<ServiceId, TrialOrder>() : m_Trials;
  DomainsOut.insert(Changes.m_DomainsOut.begin(), Changes.m_DomainsOut.end());
  for (const DomainId &Domain : Changes.m_DomainsBack)
    DomainsOut.erase(Domain);
  for (const TrialOrder &Order : Changes.m_Trials)
    Trials[Order.m_Service] = Order;
  for (const ServiceId &Service : Changes.m_TrialsWithdrawn)
    Trials.erase(Service);

  const bool Changed = !position() || isRestoredSince(Changes.m_Era) || DomainsOut != m_DomainsOut ||
                       Trials != m_Trials || revisionOf(Newest) != revisionOf(m_Newest);
  confirm({Changes.m_Era, Changes.m_Cursor}, ConfirmedAt);
  if (!Changed)
    return;
  m_ChangedAtVersion = Changes.m_Cursor;
  m_DomainsOut = std::move(DomainsOut);
  m_Trials = std::move(Trials);
  setNewest(std::move(Newest), ConfirmedAt);
  m_Encoded.clear();
}

void OrderBook::onConfirmed(TimePoint ConfirmedAt) {
  std::erase_if(m_Recent, [ConfirmedAt](const RecentConfig &Recent) {
    return ConfirmedAt - Recent.m_SupersededAt >= RecentConfigTime;
  });
}

bool OrderBook::hasNewsFor(const StoreCursor &Position, ConfigRevision Revision) const {
  if (!position() || Position.m_Era > position()->m_Era)
    return false;
  return Position.m_Era != position()->m_Era || Position.m_Version < m_ChangedAtVersion ||
         Revision < revisionOf(m_Newest);
}

const std::string &OrderBook::encodedFor(ConfigRevision Base) {
  const ConfigPtr BaseConfig = recentConfig(Base);
  const bool HasNewest = m_Newest && Base >= revisionOf(m_Newest);
  const ConfigRevision Key = HasNewest ? revisionOf(m_Newest) : revisionOf(BaseConfig);
  const auto Found = m_Encoded.find(Key);
  if (Found != m_Encoded.end())
    return Found->second;
  OrderSnapshot Orders;
  Orders.m_DomainsOut.assign(m_DomainsOut.begin(), m_DomainsOut.end());
  for (const std::pair<const ServiceId, TrialOrder> &Trial : m_Trials)
    Orders.m_Trials.push_back(Trial.second);
  if (m_Newest && !HasNewest)
    Orders.m_Config = differenceOf(BaseConfig ? BaseConfig->config() : ForwardConfig(), m_Newest->config());
  return m_Encoded.emplace(Key, encodeOrders(Orders)).first->second;
}

void OrderBook::setNewest(ConfigPtr Newest, TimePoint Now) {
  if (revisionOf(Newest) == revisionOf(m_Newest))
    return;
  if (m_Newest)
    m_Recent.push_back({std::move(m_Newest), Now});
  m_Newest = std::move(Newest);
  if (m_Recent.size() > MaxRecentConfigs)
    m_Recent.pop_front();
}

OrderBook::ConfigPtr OrderBook::recentConfig(ConfigRevision Revision) const {
  for (const RecentConfig &Recent : m_Recent)
    if (revisionOf(Recent.m_Config) == Revision)
      return Recent.m_Config;
  return nullptr;
}

} // namespace bulrushpitch
