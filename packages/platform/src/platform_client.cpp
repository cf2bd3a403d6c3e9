#include "bulrushpitch/platform/detail/platform_client.h"

#include "bulrushpitch/platform/detail/wire.h"

namespace bulrushpitch::detail {

namespace asio = boost::asio;

namespace {

/// Far above the largest page of rows or names and the largest object.
constexpr std::uint64_t MaxResponseBytes = 32ULL * 1024 * 1024;

} // namespace

PlatformClient::PlatformClient(asio::io_context &Context, std::string Service, Endpoint Address,
                               Duration Timeout)
    : m_Http(Context, "call " + Service), m_Service(std::move(Service)), m_Address(std::move(Address)),
      m_Timeout(Timeout) {}

asio::awaitable<Expected<HttpResponse>> PlatformClient::call(HttpRequest Request, Effect CallEffect,
                                                             Duration Timeout, ResponseHook OnResponse) {
  ++(CallEffect == Effect::Write ? m_Counters.m_Writes : m_Counters.m_Reads);
  Expected<HttpResponse> Response =
      co_await m_Http.exchange(m_Address, std::move(Request), Timeout, MaxResponseBytes);
  if (!Response)
    co_return transportError(Response.error(), CallEffect);
  if (OnResponse)
    OnResponse(*Response);
  if (Response->m_Status < 200 || Response->m_Status > 299)
    co_return statusError(*Response, CallEffect);
  co_return Response;
}

Error PlatformClient::failure(ErrorCode Code, Effect CallEffect, Ran WriteRan, std::string Detail) {
  ++m_Counters.m_Failures;
  return Error{Code, "call " + m_Service, m_Service + " " + m_Address.toString(),
               CallEffect == Effect::Read ? Ran::No : WriteRan, std::move(Detail)};
}

Error PlatformClient::transportError(const Error &Cause, Effect CallEffect) {
  ErrorCode Code = ErrorCode::PlatformUnavailable;
  if (Cause.m_Code == ErrorCode::UpstreamTimeout)
    Code = ErrorCode::PlatformTimeout;
  if (Cause.m_Code == ErrorCode::UpstreamProtocol)
    Code = ErrorCode::PlatformProtocol;
  return failure(Code, CallEffect, Cause.m_Ran, Cause.m_Detail);
}

Error PlatformClient::statusError(const HttpResponse &Response, Effect CallEffect) {
  const ErrorBody Body = decodeErrorBody(Response.m_Body);
  ErrorCode Code = ErrorCode::PlatformProtocol;
  if (Response.m_Status == 404)
    Code = ErrorCode::ObjectNotFound;
  if (Response.m_Status == 410)
    Code = ErrorCode::HistoryLost;
  if (Response.m_Status == 409 || Response.m_Status == 412)
    Code = ErrorCode::ConditionFailed;
  if (Response.m_Status == 429 || Response.m_Status >= 500)
    Code = ErrorCode::PlatformUnavailable;
  return failure(Code, CallEffect, Body.m_Ran,
                 "status " + std::to_string(Response.m_Status) + ": " + Body.m_Text);
}

PlatformCounters PlatformClient::counters() const {
  PlatformCounters Counters = m_Counters;
  Counters.m_BytesSent = m_Http.bytesSent();
  Counters.m_BytesReceived = m_Http.bytesReceived();
  return Counters;
}

} // namespace bulrushpitch::detail
