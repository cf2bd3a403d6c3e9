#include "bulrushpitch/gateway/entry_service.h"

#include "bulrushpitch/gateway/endpoint.h"

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Read and write timeout of the readiness and metrics listeners.
constexpr milliseconds PageTimeout{5'000};
/// From the first byte of a request to its last; allows for slow callers.
constexpr milliseconds RequestReadTimeout{20'000};
/// The connection to a caller that reads nothing for this time is closed.
constexpr milliseconds WriteTimeout{10'000};
/// Leaves file descriptors for connections to upstreams and the store.
constexpr std::size_t MaxCallerConnections = 2'500;
/// Bodies of the largest size that fit in memory at least; each may be held four times, as its buffer doubles
/// when it grows and a copy is sent on.
constexpr std::size_t MinBodiesInMemory = 4;

/// Seconds.
constexpr const char *RetryAfterMemoryLimit = "1";
/// Share of the machine's memory that the bodies of callers' requests may hold together.
constexpr double BodyMemoryShare = 0.25;
constexpr double BytesPerMb = 1024.0 * 1024.0;

ServerLimits callerLimits(const CallerLimits &Limits, double MemoryMb) {
  ServerLimits Server;
  // A single request within the limits always fits.
  Server.m_MaxBodyMemory = std::max(static_cast<std::size_t>(MemoryMb * BodyMemoryShare * BytesPerMb),
                                    MinBodiesInMemory * Limits.m_MaxBodyBytes);
  Server.m_MaxHeaderBytes = Limits.m_MaxHeaderBytes;
  Server.m_MaxBodyBytes = Limits.m_MaxBodyBytes;
  Server.m_IdleTimeout = Limits.m_IdleTimeout;
  // Limits the whole request, not only its head: a header timeout below RequestReadTimeout has no effect.
  Server.m_ReadTimeout = std::max(Limits.m_HeaderTimeout, RequestReadTimeout);
  Server.m_WriteTimeout = WriteTimeout;
  Server.m_MaxConnections = MaxCallerConnections;
  Server.m_AnswerIdle = false;
  return Server;
}

ServerLimits pageLimits() {
  ServerLimits Server;
  Server.m_ReadTimeout = PageTimeout;
  Server.m_WriteTimeout = PageTimeout;
  Server.m_AnswerIdle = false;
  return Server;
}

/// @return the response to a request that could not be read
HttpResponse renderFault(const Error &Fault) {
  HttpResponse Response;
  switch (Fault.m_Code) {
  case ErrorCode::HeadersTooLarge:
    Response.m_Status = 431;
    break;
  case ErrorCode::BodyTooLarge:
    Response.m_Status = 413;
    break;
  case ErrorCode::ClientTooSlow:
    Response.m_Status = 408;
    break;
  case ErrorCode::Overloaded:
    Response.m_Status = 503;
    Response.m_Headers.add("Retry-After", RetryAfterMemoryLimit);
    break;
  case ErrorCode::Internal:
    Response.m_Status = 502;
    break;
  default:
    Response.m_Status = 400;
    break;
  }
  return Response;
}

} // namespace

EntryService::EntryService(asio::io_context &Context, const GatewaySettings &Settings,
                           ForwarderDependencies Dependencies)
    : m_Dependencies(std::move(Dependencies)), m_MemoryMb(Settings.m_MemoryMb), m_Forwarder(m_Dependencies),
      m_Callers(
          Context, endpointOf(Settings.m_Listen.m_Callers), callerLimits(CallerLimits{}, Settings.m_MemoryMb),
          [this](HttpRequest &Request, ResponseWriter &Writer) {
            return m_Forwarder.handle(Request, Writer);
          },
          renderFault),
      m_Readiness(
          Context, endpointOf(Settings.m_Listen.m_Readiness), pageLimits(),
          [this](HttpRequest &, ResponseWriter &Writer) { return answerReadiness(Writer); }, renderFault) {
  m_Callers.onFault([this](ConnectionFault Fault, const Error &Cause) { recordFault(Fault, Cause); });
  if (Settings.m_Listen.m_Metrics)
    m_MetricsPage.emplace(
        Context, endpointOf(*Settings.m_Listen.m_Metrics), pageLimits(),
        [this](HttpRequest &, ResponseWriter &Writer) { return answerMetrics(Writer); }, renderFault);
}

Result<void> EntryService::start() {
  Result<void> Started = m_Readiness.start();
  if (Started)
    Started = m_Callers.start();
  if (Started && m_MetricsPage)
    Started = m_MetricsPage->start();
  return Started;
}

void EntryService::stop() {
  m_Callers.closeAll();
  m_Readiness.closeAll();
  if (m_MetricsPage)
    m_MetricsPage->closeAll();
}

EntryAddresses EntryService::addresses() const {
  EntryAddresses Bound{m_Callers.address(), m_Readiness.address(), std::nullopt};
  if (m_MetricsPage)
    Bound.m_Metrics = m_MetricsPage->address();
  return Bound;
}

void EntryService::applyLimits(const CallerLimits &Limits) {
  m_Callers.setLimits(callerLimits(Limits, m_MemoryMb));
}

void EntryService::leaveRotation() {
  m_Leaving = true;
  m_Callers.closeAfterResponse();
}

void EntryService::recordFault(ConnectionFault Fault, const Error &Cause) {
  // A failure of the daemon itself is rare, and its line is needed to explain it.
  const LogClass Class = Fault == ConnectionFault::HandlerFailed ? LogClass::State : LogClass::Request;
  m_Dependencies.m_Log.add(Class, "caller_connection_fault",
                           {{"fault", nameOf(Fault)},
                            {"error", static_cast<std::int64_t>(Cause.m_Code)},
                            {"peer", std::string_view(Cause.m_Peer)},
                            {"why", std::string_view(Cause.m_Detail)}});
  m_Dependencies.m_Metrics
      .counter("bulrushpitch_caller_connection_faults_total",
               "Caller connections and requests that ended without a whole response, by fault.",
               {{"fault", std::string(nameOf(Fault))}})
      .add();
}

std::size_t EntryService::answerUnanswered() {
  return m_Callers.answerUnanswered(Error{ErrorCode::Internal, "stop", "", Ran::Unknown,
                                          "the daemon stops before the request has been answered"});
}

asio::awaitable<void> EntryService::answerReadiness(ResponseWriter &Writer) {
  HttpResponse Response;
  Response.m_Status = !m_Leaving && m_Dependencies.m_State.isReady() ? 200 : 503;
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

asio::awaitable<void> EntryService::answerMetrics(ResponseWriter &Writer) {
  HttpResponse Response;
  Response.m_Headers.add("Content-Type", "text/plain; version=0.0.4");
  Response.m_Body = m_Dependencies.m_Metrics.render();
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

} // namespace bulrushpitch
