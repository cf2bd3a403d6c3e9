#include "bulrushpitch/standin/engine.h"

#include "cache_calls.h"
#include "engine_state.h"
#include "stream_calls.h"
#include "upstream_calls.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

constexpr std::string_view StreamPaths = "/streams/";
constexpr std::string_view KvPaths = "/kv/";

class EngineCalls : public UpstreamCalls {
public:
  explicit EngineCalls(std::shared_ptr<EngineState> Engine)
      : UpstreamCalls(Engine), m_Engine(std::move(Engine)), m_Streams(*m_Engine) {}

  void loseAll() override { m_Engine->loseAll(); }

private:
  asio::awaitable<void> serve(const std::string &Path, HttpRequest &Request,
                              ResponseWriter &Writer) override {
    if (Path == "/generate" && Request.m_Method == "POST") {
      co_await m_Streams.generate(Request, Writer);
    } else if (Path.starts_with(StreamPaths) && Request.m_Method == "GET") {
      co_await m_Streams.resume(Path.substr(StreamPaths.size()), Request, Writer);
    } else {
      HttpResponse Response = guarded([this, &Path, &Request] { return route(Path, Request); });
      co_await answer(m_Engine->m_Faults, m_Engine->m_Counts, Writer, std::move(Response), Path == "/orders");
    }
  }

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

  HttpResponse audit() const override {
    return jsonResponse(200, {{"attempts", m_Engine->m_Batch.attempts()}});
  }

  std::optional<HttpResponse> ownControl(const std::string &Path, const json &Body) override {
    if (Path != "/standin/quality")
      return std::nullopt;
    std::map<std::string, double> &Versions = m_Engine->m_Settings.m_Versions;
    Versions[Body.at("version").get<std::string>()] = Body.at("quality").get<double>();
    return jsonResponse(200, Versions);
  }

  HttpResponse stats() const override {
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

} // namespace

EngineStandin::EngineStandin(asio::io_context &Context, EngineSettings Settings)
    : UpstreamStandin(Context, Settings.m_Process.m_Address,
                      std::make_shared<EngineCalls>(std::make_shared<EngineState>(Context, Settings))) {}

} // namespace bulrushpitch::standin
