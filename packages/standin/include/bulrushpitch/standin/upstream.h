#ifndef BULRUSHPITCH_STANDIN_UPSTREAM_H
#define BULRUSHPITCH_STANDIN_UPSTREAM_H

#include "bulrushpitch/net/net.h"
#include "bulrushpitch/standin/process.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bulrushpitch::standin {

class UpstreamCalls;

/// @brief What the stand-ins of upstreams have in common: a listener, faults, and a process that warms up.
class UpstreamStandin {
public:
  UpstreamStandin(const UpstreamStandin &) = delete;
  UpstreamStandin &operator=(const UpstreamStandin &) = delete;

  Result<void> start();
  Endpoint address() const;
  Process &process();
  Faults &faults();

protected:
  UpstreamStandin(boost::asio::io_context &Context, const Endpoint &Address,
                  std::shared_ptr<UpstreamCalls> Calls);
  ~UpstreamStandin();

private:
  std::shared_ptr<UpstreamCalls> m_Calls;
  HttpServer m_Server;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_UPSTREAM_H
