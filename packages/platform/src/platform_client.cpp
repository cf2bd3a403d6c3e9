#include "bulrushpitch/platform/detail/platform_client.h"

#include "bulrushpitch/platform/detail/wire.h"

namespace bulrushpitch::detail {

namespace asio = boost::asio;

PlatformClient::PlatformClient(asio::io_context &Context, std::string Service, Endpoint Address,
                               Duration Timeout)
    : m_Http(Context, "call " + Service), m_Service(std::move(Service)), m_Address(std::move(Address)),
      m_Timeout(Timeout) {}

asio::awaitable<Expected<HttpResponse>> PlatformClient::call(HttpRequest Request, Effect Kind,
                                                             Duration Timeout) {
  ++(Kind == Effect::Write ? m_Counters.m_Writes : m_Counters.m_Reads);
  Expected<HttpResponse> Response = co_await m_Http.exchange(m_Address, std::move(Request), Timeout);
  if (!Response)
    co_return transportFailure(Response.error(), Kind);
  if (Response->m_Status < 200 || Response->m_Status > 299)
    co_return statusFailure(*Response, Kind);
  co_return Response;
}

Error PlatformClient::failure(ErrorCode Code, Effect Kind, Ran Known, std::string Detail) {
  ++m_Counters.m_Failures;
  return Error{Code, "call " + m_Service, m_Service + " " + m_Address.toString(),
               Kind == Effect::Read ? Ran::No : Known, std::move(Detail)};
}

Error PlatformClient::transportFailure(const Error &Cause, Effect Kind) {
  ErrorCode Code = ErrorCode::PlatformUnavailable;
  if (Cause.m_Code == ErrorCode::UpstreamTimeout)
    Code = ErrorCode::PlatformTimeout;
  if (Cause.m_Code == ErrorCode::UpstreamProtocol)
    Code = ErrorCode::PlatformProtocol;
  return failure(Code, Kind, Cause.m_Ran, Cause.m_Detail);
}

Error PlatformClient::statusFailure(const HttpResponse &Response, Effect Kind) {
  const Refusal Stated = decodeRefusal(Response.m_Body);
  ErrorCode Code = ErrorCode::PlatformProtocol;
  if (Response.m_Status == 404)
    Code = ErrorCode::ObjectNotFound;
  if (Response.m_Status == 410)
    Code = ErrorCode::HistoryLost;
  if (Response.m_Status == 409 || Response.m_Status == 412)
    Code = ErrorCode::ConditionFailed;
  if (Response.m_Status == 429 || Response.m_Status >= 500)
    Code = ErrorCode::PlatformUnavailable;
  return failure(Code, Kind, Stated.m_Ran,
                 "status " + std::to_string(Response.m_Status) + ": " + Stated.m_Text);
}

PlatformCounters PlatformClient::counters() const {
  PlatformCounters Counters = m_Counters;
  Counters.m_BytesSent = m_Http.bytesSent();
  Counters.m_BytesReceived = m_Http.bytesReceived();
  return Counters;
}

} // namespace bulrushpitch::detail
