#ifndef BULRUSHPITCH_PLATFORM_DETAIL_PLATFORM_CLIENT_H
#define BULRUSHPITCH_PLATFORM_DETAIL_PLATFORM_CLIENT_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/http_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bulrushpitch {

/// @brief Counters of the calls and bytes of one platform client.
struct PlatformCounters {
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Failures = 0; ///< Calls that ended with an error, including rejections by the service.
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_BytesReceived = 0;
};

namespace detail {

/// @brief Whether a call changes the platform's state.
enum class Effect : std::uint8_t { Read, Write };

/// @brief Calls one platform service and maps every failure to an error of family 6xx.
///
/// `Ran` of an error is `No` for every read. For a write it is `No` if the connection failed or the service
/// says that the write did not run, otherwise `Unknown`.
class PlatformClient {
public:
  /// Called for each response, whatever its status.
  using ResponseHook = std::function<void(const HttpResponse &)>;

  /// @param Service name of the service in errors, for example "table service"
  PlatformClient(boost::asio::io_context &Context, std::string Service, Endpoint Address, Duration Timeout);

  /// @return the response, with a status of 2xx
  boost::asio::awaitable<Expected<HttpResponse>> call(HttpRequest Request, Effect CallEffect) {
    return call(std::move(Request), CallEffect, m_Timeout);
  }
  /// @param Timeout overrides the client's timeout
  /// @param OnResponse may be empty
  boost::asio::awaitable<Expected<HttpResponse>> call(HttpRequest Request, Effect CallEffect,
                                                      Duration Timeout, ResponseHook OnResponse = {});

  /// @brief Adds service, address and `Ran` to the error of a decoder that read this service's response.
  template <typename T> Expected<T> withErrorContext(Expected<T> Outcome, Effect CallEffect) {
    if (Outcome)
      return Outcome;
    return failure(Outcome.error().m_Code, CallEffect, Ran::Unknown, Outcome.error().m_Detail);
  }
  /// @brief Creates an error and counts it.
  /// @param WriteRan whether the call took effect if it is a write
  Error failure(ErrorCode Code, Effect CallEffect, Ran WriteRan, std::string Detail);
  PlatformCounters counters() const;

private:
  Error transportError(const Error &Cause, Effect CallEffect);
  Error statusError(const HttpResponse &Response, Effect CallEffect);

  HttpClient m_Http;
  std::string m_Service;
  Endpoint m_Address;
  Duration m_Timeout;
  PlatformCounters m_Counters;
};

} // namespace detail
} // namespace bulrushpitch

#endif // BULRUSHPITCH_PLATFORM_DETAIL_PLATFORM_CLIENT_H
