#include "bulrushpitch/standin/upstream.h"

#include "upstream_calls.h"

#include <utility>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

asio::awaitable<void> UpstreamCalls::handle(HttpRequest &Request, ResponseWriter &Writer) {
  const std::string Path(Request.path());
  if (Path.starts_with("/standin/") || Path == "/audit") {
    static_cast<void>(
        co_await Writer.send(guarded([this, &Path, &Request] { return control(Path, Request); })));
    co_return;
  }
  if (co_await enter(m_Upstream->m_Faults, m_Upstream->m_Counts, Writer))
    co_await serve(Path, Request, Writer);
}

HttpResponse UpstreamCalls::control(const std::string &Path, const HttpRequest &Request) {
  if (Path == "/audit")
    return audit();
  if (Path == "/standin/stats")
    return stats();
  const json Body = json::parse(Request.m_Body);
  if (Path == "/standin/faults") {
    m_Upstream->m_Faults.set(Body);
    return jsonResponse(200, m_Upstream->m_Faults.toJson());
  }
  if (const std::optional<HttpResponse> Own = ownControl(Path, Body))
    return *Own;
  return m_Upstream->m_Process.control(Path, Body, [this] { loseAll(); })
      .value_or(refusal(404, "no such path"));
}

UpstreamStandin::UpstreamStandin(asio::io_context &Context, const Endpoint &Address,
                                 std::shared_ptr<UpstreamCalls> Calls)
    : m_Calls(std::move(Calls)),
      m_Server(
          Context, Address, ServerLimits{},
          [Shared = m_Calls](HttpRequest &Request, ResponseWriter &Writer) -> asio::awaitable<void> {
            co_await Shared->handle(Request, Writer);
          },
          renderError) {}

UpstreamStandin::~UpstreamStandin() { m_Calls->loseAll(); }

Result<void> UpstreamStandin::start() {
  Result<void> Started = m_Server.start();
  process().setAddress(m_Server.address());
  return Started;
}

Endpoint UpstreamStandin::address() const { return m_Server.address(); }
Process &UpstreamStandin::process() { return m_Calls->upstream().m_Process; }
Faults &UpstreamStandin::faults() { return m_Calls->upstream().m_Faults; }

} // namespace bulrushpitch::standin
