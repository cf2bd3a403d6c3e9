#ifndef BULRUSHPITCH_STANDIN_MODEL_ORDERS_H
#define BULRUSHPITCH_STANDIN_MODEL_ORDERS_H

#include "bulrushpitch/standin/engine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bulrushpitch::standin {

/// @brief The versions, adapters and role of an engine, and the orders that change them.
class ModelOrders {
public:
  /// @param Settings, whose versions are loaded, outlives this object; loaded versions are added to it
  ModelOrders(boost::asio::io_context &Context, EngineSettings &Settings);

  /// @return whether a version is loaded
  bool hasVersion(const std::string &Version) const { return m_Loaded.contains(Version); }
  /// @return the refusal of a request whose "fencing" is too old; nothing if it may go on
  std::optional<HttpResponse> checkFence(std::uint64_t Number) const;
  /// @brief Answers POST /orders.
  /// @param Self keeps the owner alive while a version or adapter is loaded
  static HttpResponse take(const std::shared_ptr<ModelOrders> &Self, const json &Body);
  /// @return versions, adapters and role
  json state() const;
  /// @return the body of an answer to GET /orders, but for the start id
  json list() const;

private:
  static boost::asio::awaitable<void> load(std::shared_ptr<ModelOrders> Self, bool IsVersion,
                                           std::string Target);
  std::optional<HttpResponse> changeRole(const std::string &Role);
  static std::optional<HttpResponse> execute(const std::shared_ptr<ModelOrders> &Self,
                                             const std::string &Kind, const std::string &Target);

  boost::asio::io_context &m_Context;
  EngineSettings &m_Settings;
  std::set<std::string> m_Loaded;
  std::set<std::string> m_Adapters;
  std::set<std::string> m_Loading;
  std::string m_Role = "mixed";
  std::set<std::string> m_OrderIds;
  std::string m_LastOrder;
  std::uint64_t m_HighestFencing = 0;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_MODEL_ORDERS_H
