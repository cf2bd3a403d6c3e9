#ifndef BULRUSHPITCH_PLATFORM_DETAIL_PLATFORM_CLIENT_H
#define BULRUSHPITCH_PLATFORM_DETAIL_PLATFORM_CLIENT_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/http_client.h"

#include <cstdint>
#include <string>
#include <utility>

namespace bulrushpitch {

/// @brief What a client of a platform service sent and received.
struct PlatformCounters {
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Failures = 0; ///< Calls that ended with an error, refusals included.
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_BytesReceived = 0;
};

namespace detail {

/// @brief Whether a call changes the platform's state.
enum class Effect : std::uint8_t { Read, Write };

/// @brief Calls one platform service and turns every failure into an error of family 6xx.
///
/// `Ran` of an error is `No` for every read. For a write it is `No` if the connection could not be made or
/// the service says so, else `Unknown`.
class PlatformClient {
public:
  /// @param Service the name in errors, for example "table service"
  PlatformClient(boost::asio::io_context &Context, std::string Service, Endpoint Address, Duration Timeout);

  /// @return a response with a status of 2xx
  boost::asio::awaitable<Expected<HttpResponse>> call(HttpRequest Request, Effect Kind) {
    return call(std::move(Request), Kind, m_Timeout);
  }
  /// @param Timeout in place of the client's
  boost::asio::awaitable<Expected<HttpResponse>> call(HttpRequest Request, Effect Kind, Duration Timeout);

  /// @brief Completes the error of a decoder that was given this service's answer.
  template <typename T> Expected<T> decoded(Expected<T> Outcome, Effect Kind) {
    if (Outcome)
      return Outcome;
    return failure(Outcome.error().m_Code, Kind, Ran::Unknown, Outcome.error().m_Detail);
  }
  /// @brief Makes an error and counts it.
  Error failure(ErrorCode Code, Effect Kind, Ran Known, std::string Detail);
  PlatformCounters counters() const;

private:
  Error transportFailure(const Error &Cause, Effect Kind);
  Error statusFailure(const HttpResponse &Response, Effect Kind);

  HttpClient m_Http;
  std::string m_Service;
  Endpoint m_Address;
  Duration m_Timeout;
  PlatformCounters m_Counters;
};

} // namespace detail
} // namespace bulrushpitch

#endif // BULRUSHPITCH_PLATFORM_DETAIL_PLATFORM_CLIENT_H
