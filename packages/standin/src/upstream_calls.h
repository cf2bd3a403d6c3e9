#ifndef BULRUSHPITCH_STANDIN_UPSTREAM_CALLS_H
#define BULRUSHPITCH_STANDIN_UPSTREAM_CALLS_H

#include "bulrushpitch/net/net.h"
#include "bulrushpitch/standin/process.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrushpitch::standin {

/// @brief What the stand-ins of all upstreams keep.
struct UpstreamState {
  explicit UpstreamState(ProcessSettings Settings) : m_Process(std::move(Settings), systemClock()) {
    m_Faults.m_Lag = m_Process.settings().m_Lag;
  }

  Process m_Process;
  Faults m_Faults;
  FaultCounts m_Counts;
};

/// @brief Answers an upstream's control endpoints, and has its other calls answered unless a fault forbids
/// it.
class UpstreamCalls {
public:
  explicit UpstreamCalls(std::shared_ptr<UpstreamState> Upstream) : m_Upstream(std::move(Upstream)) {}
  virtual ~UpstreamCalls() = default;
  UpstreamCalls(const UpstreamCalls &) = delete;
  UpstreamCalls &operator=(const UpstreamCalls &) = delete;

  boost::asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer);
  UpstreamState &upstream() { return *m_Upstream; }

  /// @brief Loses the work under way, as the end of the process does.
  virtual void loseAll() {}

private:
  /// @brief Answers a call that is not one of the control endpoints.
  virtual boost::asio::awaitable<void> serve(const std::string &Path, HttpRequest &Request,
                                             ResponseWriter &Writer) = 0;
  /// @return the answer to GET /audit
  virtual HttpResponse audit() const = 0;
  /// @return the answer to GET /standin/stats
  virtual HttpResponse stats() const = 0;
  /// @brief Answers the control endpoints that only this kind of upstream has.
  /// @return nothing for another path
  virtual std::optional<HttpResponse> ownControl(const std::string &, const json &) { return std::nullopt; }

  HttpResponse control(const std::string &Path, const HttpRequest &Request);

  std::shared_ptr<UpstreamState> m_Upstream;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_UPSTREAM_CALLS_H
