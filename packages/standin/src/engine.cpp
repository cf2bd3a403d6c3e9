#include "bulrushpitch/standin/engine.h"

#include "cache_calls.h"
#include "engine_state.h"
#include "stream_calls.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

constexpr std::string_view StreamPaths = "/streams/";
constexpr std::string_view KvPaths = "/kv/";

} // namespace

class EngineStandin::State {
public:
  State(asio::io_context &Context, EngineSettings Settings)
      : m_Engine(std::make_shared<EngineState>(Context, std::move(Settings))), m_Streams(*m_Engine) {}

  asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer) {
    const std::string Path(Request.path());
    if (Path.starts_with("/standin/") || Path == "/audit") {
      static_cast<void>(
          co_await Writer.send(guarded([this, &Path, &Request] { return control(Path, Request); })));
      co_return;
    }
    if (!co_await enter(m_Engine->m_Faults, m_Engine->m_Counts, Writer))
      co_return;
    if (Path == "/generate" && Request.m_Method == "POST") {
      co_await m_Streams.generate(Request, Writer);
    } else if (Path.starts_with(StreamPaths) && Request.m_Method == "GET") {
      co_await m_Streams.resume(Path.substr(StreamPaths.size()), Request, Writer);
    } else {
      HttpResponse Response = guarded([this, &Path, &Request] { return route(Path, Request); });
      co_await answer(m_Engine->m_Faults, m_Engine->m_Counts, Writer, std::move(Response), Path == "/orders");
    }
  }

  void stop() { m_Engine->loseAll(); }

  Process &process() { return m_Engine->m_Process; }
  Faults &faults() { return m_Engine->m_Faults; }

private:
  HttpResponse route(const std::string &Path, const HttpRequest &Request) {
    if (m_Engine->m_Process.starting())
      return refusal(503, "the engine is starting");
    if (Path == "/load")
      return load();
    if (Path == "/cache-events")
      return cacheEvents(*m_Engine, Request);
    if (Path.starts_with(StreamPaths) && Request.m_Method == "DELETE")
      return m_Streams.cancel(Path.substr(StreamPaths.size()));
    if (Path == "/orders")
      return Request.m_Method == "POST" ? order(Request) : orders();
    if (Path.starts_with(KvPaths))
      return keysAndValues(*m_Engine, Path.substr(KvPaths.size()), Request);
    return refusal(404, "no such path");
  }

  HttpResponse load() const {
    json Report = m_Engine->m_Process.report(m_Engine->m_Faults.m_Lag);
    Report.update(m_Engine->m_Orders.state());
    return jsonResponse(200, Report);
  }

  HttpResponse order(const HttpRequest &Request) {
    return ModelOrders::take(m_Engine->sharedOrders(), json::parse(Request.m_Body));
  }

  HttpResponse orders() const {
    json Body = m_Engine->m_Orders.list();
    Body["startId"] = m_Engine->m_Process.startId();
    return jsonResponse(200, Body);
  }

  HttpResponse control(const std::string &Path, const HttpRequest &Request) {
    if (Path == "/audit")
      return jsonResponse(200, {{"attempts", m_Engine->m_Batch.attempts()}});
    if (Path == "/standin/stats")
      return stats();
    const json Body = json::parse(Request.m_Body);
    if (Path == "/standin/faults") {
      m_Engine->m_Faults.set(Body);
      return jsonResponse(200, m_Engine->m_Faults.toJson());
    }
    if (Path == "/standin/quality")
      return setQuality(Body);
    return m_Engine->m_Process.control(Path, Body, [this] { m_Engine->loseAll(); })
        .value_or(refusal(404, "no such path"));
  }

  HttpResponse setQuality(const json &Body) {
    std::map<std::string, double> &Versions = m_Engine->m_Settings.m_Versions;
    Versions[Body.at("version").get<std::string>()] = Body.at("quality").get<double>();
    return jsonResponse(200, Versions);
  }

  HttpResponse stats() const {
    const StreamBatch &Batch = m_Engine->m_Batch;
    const Process &Engine = m_Engine->m_Process;
    return jsonResponse(200, {{"startId", Engine.startId()},
                              {"started", Batch.started()},
                              {"finished", Batch.ended("stop") + Batch.ended("length")},
                              {"cancelled", Batch.ended("cancelled")},
                              {"lost", Batch.ended("lost")},
                              {"refused", m_Engine->m_Counts.m_Refused},
                              {"fallOvers", Engine.fallOvers()},
                              {"maxRunning", Engine.maxRunning()},
                              {"tokens", Batch.tokens()},
                              {"cold", Engine.cold()}});
  }

  std::shared_ptr<EngineState> m_Engine;
  StreamCalls m_Streams;
};

EngineStandin::EngineStandin(asio::io_context &Context, EngineSettings Settings)
    : m_State(std::make_shared<State>(Context, Settings)),
      m_Server(
          Context, Settings.m_Process.m_Address, ServerLimits{},
          [State = m_State](HttpRequest &Request, ResponseWriter &Writer) -> asio::awaitable<void> {
            co_await State->handle(Request, Writer);
          },
          renderError) {}
EngineStandin::~EngineStandin() { m_State->stop(); }
Result<void> EngineStandin::start() {
  Result<void> Started = m_Server.start();
  m_State->process().setAddress(m_Server.address());
  return Started;
}
Endpoint EngineStandin::address() const { return m_Server.address(); }
Process &EngineStandin::process() { return m_State->process(); }
Faults &EngineStandin::faults() { return m_State->faults(); }

} // namespace bulrushpitch::standin
