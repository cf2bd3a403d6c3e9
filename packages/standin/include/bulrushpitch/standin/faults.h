#ifndef BULRUSHPITCH_STANDIN_FAULTS_H
#define BULRUSHPITCH_STANDIN_FAULTS_H

#include "bulrushpitch/net/net.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bulrushpitch::standin {

using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

/// @brief Faults that a stand-in is told to show; see docs/protocols.md, section 4.1.
struct Faults {
  bool m_Down = false;
  bool m_Refuse = false;
  bool m_Paused = false;
  Milliseconds m_Slow{0};
  Milliseconds m_Lag{0};
  std::uint32_t m_LoseNext = 0;
  std::uint32_t m_MalformedNext = 0;

  /// @brief Sets the fields that @p Body has.
  /// @throw json::exception if a field has a wrong type
  void set(const json &Body);
  json toJson() const;
};

/// @brief Counts of what the faults did.
struct FaultCounts {
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Lost = 0;
};

HttpResponse jsonResponse(unsigned Status, const json &Body);
/// @return an error body as the protocols define it
HttpResponse refusal(unsigned Status, const std::string &Text, const char *RanText = "no");
/// @brief Runs a handler; a body that it cannot read becomes status 400.
HttpResponse guarded(const std::function<HttpResponse()> &Handler);
/// @return a query parameter, percent-decoded; empty if absent or malformed
std::string queryText(const HttpRequest &Request, std::string_view Name);
/// @return the current Unix time
std::int64_t unixMilliseconds();

boost::asio::awaitable<void> sleepFor(Duration Time);

/// @brief Closes the connection in place of an answer. The client sees a response that breaks off.
boost::asio::awaitable<void> breakOff(ResponseWriter &Writer);

/// @brief Applies the faults that hold before a request takes effect.
/// @return whether the request may go on; otherwise it has been refused or broken off
boost::asio::awaitable<bool> enter(const Faults &Active, FaultCounts &Counts, ResponseWriter &Writer);

/// @brief Answers a request that took effect, unless its answer is to be lost or malformed.
/// @param Loseable whether the request counts for m_LoseNext
boost::asio::awaitable<void> answer(Faults &Active, FaultCounts &Counts, ResponseWriter &Writer,
                                    HttpResponse Response, bool Loseable);

/// @brief Renders the listener's own errors.
HttpResponse renderError(const Error &Failure);

/// @brief Thrown by handlers of a malformed request.
struct BadRequest : std::runtime_error {
  using std::runtime_error::runtime_error;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_FAULTS_H
