#ifndef BULRUSHPITCH_STANDIN_LOAD_H
#define BULRUSHPITCH_STANDIN_LOAD_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/net/net.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace bulrushpitch::standin {

/// @brief Settings of the load tool; see docs/protocols.md, section 4.5.
struct LoadSettings {
  std::vector<Endpoint> m_Daemons;
  std::string m_Key;
  std::string m_Model;
  std::string m_Task = "load";
  std::string m_Service;                  ///< No service calls are sent if empty.
  std::string m_ServiceKind = "payments"; ///< Or "orders".
  double m_Rate = 50;                     ///< Requests per second, as far as m_Concurrency allows.
  std::size_t m_Concurrency = 64;
  std::size_t m_Requests = 1'000;
  std::chrono::milliseconds m_Time{30'000}; ///< No request is started after this.
  double m_StreamedShare = 0.5;             ///< Of the chat completions.
  double m_ServiceShare = 0.1;              ///< Of all requests.
  std::size_t m_MaxTokens = 64;
  std::chrono::milliseconds m_Timeout{30'000}; ///< For each request.
  std::string m_RunId; ///< Part of every prompt and idempotency key, so that runs differ.
};

/// @brief What the load tool saw.
struct LoadReport {
  std::size_t m_Sent = 0;
  std::size_t m_Answered = 0;
  std::vector<std::string> m_Wrong;            ///< For each wrong answer, why.
  std::map<std::string, std::size_t> m_Errors; ///< By "<number> <ran>".
  std::vector<double> m_FirstByteMs;
  std::vector<double> m_GapMs; ///< Between events of a stream.
  std::vector<double> m_WholeMs;
  std::vector<double> m_ServiceMs;

  /// @return the counts and percentiles
  nlohmann::json toJson() const;
};

/// @brief Sends requests until the count or the time is reached, and runs @p Context until all have ended.
LoadReport runLoad(boost::asio::io_context &Context, const LoadSettings &Settings);

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_LOAD_H
