#ifndef BULRUSHPITCH_NET_SRC_DETAIL_SERVER_STATE_H
#define BULRUSHPITCH_NET_SRC_DETAIL_SERVER_STATE_H

#include "bulrushpitch/net/http_server.h"
#include "detail/body_memory.h"
#include "detail/deadlines.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <unordered_set>
#include <utility>

namespace bulrushpitch::detail {

class ConnectionWriter;

/// Interval of the checks of the connections' deadlines.
constexpr std::chrono::milliseconds SweepInterval{250};

/// @brief What a listener shares with its connections. It lives until the last of them has ended.
struct ServerState {
  ServerState(boost::asio::io_context &Context, ServerLimits Limits, HttpHandler Handler,
              ErrorRenderer Renderer)
      : m_Limits(Limits), m_Handler(std::move(Handler)), m_Renderer(std::move(Renderer)),
        m_Sweeper(std::make_shared<DeadlineSweeper>(Context, SweepInterval)) {}

  void report(ConnectionFault Fault, const Error &Cause) const {
    if (m_OnFault)
      m_OnFault(Fault, Cause);
  }

  ServerLimits m_Limits;
  HttpHandler m_Handler;
  ErrorRenderer m_Renderer;
  ConnectionFaultHook m_OnFault;
  std::shared_ptr<DeadlineSweeper> m_Sweeper;
  std::unordered_set<Watched *> m_Idle;
  std::unordered_set<ConnectionWriter *> m_Writers; ///< Of the requests whose handler runs.
  BodyMemory m_BodyMemory;
  std::size_t m_Active = 0; ///< Requests being read or answered.
  bool m_Stopping = false;
  bool m_CloseAfterResponse = false;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_SERVER_STATE_H
