#ifndef BULRUSHPITCH_STANDIN_SERVICE_H
#define BULRUSHPITCH_STANDIN_SERVICE_H

#include "bulrushpitch/standin/process.h"
#include "bulrushpitch/standin/upstream.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bulrushpitch::standin {

/// @brief Wallets and orders, shared by the processes of one service, and a record of what ran.
struct Ledger {
  struct Order {
    std::string m_Item;
    std::int64_t m_Quantity = 0;
  };
  struct KeyRecord {
    std::uint64_t m_Ran = 0;
    std::vector<std::string> m_Attempts;
  };

  std::int64_t m_OpeningBalance = 100'000;
  std::map<std::string, std::int64_t> m_Wallets;
  std::map<std::string, Order> m_Orders;
  std::uint64_t m_Debits = 0;
  std::uint64_t m_WithoutKey = 0;
  std::map<std::pair<std::string, std::string>, KeyRecord> m_ByKey; ///< By Idempotency-Key and route.
};

/// @brief One process of a payments or order service; see docs/protocols.md, section 4.4.
class ServiceStandin : public UpstreamStandin {
public:
  /// @param Work how long each call takes
  ServiceStandin(boost::asio::io_context &Context, ProcessSettings Settings, Milliseconds Work,
                 std::shared_ptr<Ledger> Books);
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_SERVICE_H
