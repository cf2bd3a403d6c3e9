#ifndef BULRUSHPITCH_STANDIN_ENGINE_STATE_H
#define BULRUSHPITCH_STANDIN_ENGINE_STATE_H

#include "bulrushpitch/standin/engine.h"
#include "model_orders.h"
#include "prefix_cache.h"
#include "stream_batch.h"
#include "upstream_calls.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrushpitch::standin {

/// @brief What the calls of one engine share.
struct EngineState : UpstreamState, std::enable_shared_from_this<EngineState> {
  EngineState(boost::asio::io_context &Context, EngineSettings Settings)
      : UpstreamState(Settings.m_Process), m_Context(Context), m_Settings(std::move(Settings)),
        m_Cache(m_Settings.m_CacheBlocks, m_Settings.m_EventLoss), m_Orders(Context, m_Settings),
        m_Batch(Context, m_Settings, m_Process, m_Faults) {}

  /// @return the orders, which keep the whole state alive
  std::shared_ptr<ModelOrders> sharedOrders() { return {shared_from_this(), &m_Orders}; }
  /// @return the batch, which keeps the whole state alive
  std::shared_ptr<StreamBatch> sharedBatch() { return {shared_from_this(), &m_Batch}; }

  /// @brief Loses all streams and the cache, as the end of the engine process does.
  void loseAll() {
    m_Batch.loseAll();
    m_Cache.clear();
  }

  /// @return the refusal of a call for a version that is not loaded; nothing if it is
  std::optional<HttpResponse> checkLoaded(const std::string &Version) const {
    if (m_Orders.hasVersion(Version))
      return std::nullopt;
    return refusal(404, "version " + Version + " is not loaded");
  }

  boost::asio::io_context &m_Context;
  EngineSettings m_Settings;
  PrefixCache m_Cache;
  ModelOrders m_Orders;
  StreamBatch m_Batch;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_ENGINE_STATE_H
