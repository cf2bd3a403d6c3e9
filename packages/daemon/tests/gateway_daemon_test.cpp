#include "bulrushpitch/daemon/gateway_daemon.h"

#include "bulrushpitch/adapter/testing/store_standin.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/net.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

/// A complete gateway daemon with a stand-in for the store and one upstream that responds after 400 ms.
struct Fixture {
  Fixture() {
    REQUIRE(capture([this] { return m_Store.start(); }));
    REQUIRE(capture([this] { return m_Upstream.start(); }));
    m_Settings.m_Instance = InstanceId("d0");
    m_Settings.m_Domain = DomainId("west-a");
    m_Settings.m_Region = RegionId("west");
    m_Settings.m_Domains = {{DomainId("west-a"), RegionId("west")}};
    m_Settings.m_Listen.m_Callers = {"127.0.0.1", 0};
    m_Settings.m_Listen.m_Readiness = {"127.0.0.1", 0};
    m_Settings.m_Store = {"127.0.0.1", m_Store.address().m_Port};
    m_Settings.m_GracePeriod = 4.0;
  }

  void publish() {
    m_Store.put(
        "op", "config",
        R"({"Version":3,"Routes":[{"Name":"r","Hostname":"a.example","Prefix":"/x/","Kind":"idempotent",)"
        R"("TimeoutMs":9000,"TargetLatencyMs":3000,"Service":"s","MaxAttempts":1}]})");
    m_Store.put("servers", "u1",
                R"({"Service":"s","Address":"127.0.0.1:)" + std::to_string(m_Upstream.address().m_Port) +
                    R"(","Zone":"west-a","Version":"v1","Slots":4,"State":"ready"})");
  }

  void start() {
    m_Daemon.emplace(m_Context, m_Settings);
    REQUIRE(capture([this] { return m_Daemon->start(); }));
    const EntryAddresses Bound = m_Daemon->addresses();
    m_Settings.m_Listen.m_Callers.m_Port = Bound.m_Callers.m_Port;
    m_Settings.m_Listen.m_Readiness.m_Port = Bound.m_Readiness.m_Port;
    if (Bound.m_Metrics)
      m_Settings.m_Listen.m_Metrics->m_Port = Bound.m_Metrics->m_Port;
  }

  HttpServer upstream() {
    return HttpServer(
        m_Context, Endpoint{"127.0.0.1", 0}, ServerLimits{},
        [this](HttpRequest &, ResponseWriter &Writer) -> asio::awaitable<void> {
          co_await sleepFor(m_Context, m_UpstreamDelay);
          HttpResponse Response;
          Response.m_Headers.add("Response-Signature", "1");
          Response.m_Body = "answer";
          static_cast<void>(co_await Writer.send(std::move(Response)));
        },
        [](const Error &) {
          return HttpResponse{400, {}, ""};
        });
  }

  asio::awaitable<void> fetch(SocketAddress To, std::string Target, std::optional<HttpResponse> &Into) {
    HttpRequest Request;
    Request.m_Target = std::move(Target);
    Request.m_Headers.add("Host", "a.example");
    // A named variable, because g++ 12 destroys an aggregate temporary of a co_await expression twice.
    const Endpoint Address{To.m_Address, To.m_Port};
    Expected<HttpResponse> Response =
        co_await m_Caller.exchange(Address, std::move(Request), std::chrono::seconds(9));
    if (Response)
      Into = std::move(*Response);
  }

  unsigned readiness() {
    std::optional<HttpResponse> Response;
    spawn(m_Context, fetch(m_Settings.m_Listen.m_Readiness, "/ready", Response));
    for (int Step = 0; Step < 200 && !Response; ++Step)
      runFor(milliseconds(5));
    return Response ? Response->m_Status : 0;
  }

  void runFor(milliseconds Period) {
    if (m_Context.stopped())
      m_Context.restart();
    m_Context.run_for(Period);
  }

  asio::io_context m_Context;
  testing::StoreStandin m_Store{m_Context};
  HttpServer m_Upstream = upstream();
  HttpClient m_Caller{m_Context, "call gateway"};
  GatewaySettings m_Settings;
  Duration m_UpstreamDelay = milliseconds(400);
  std::optional<GatewayDaemon> m_Daemon;
};

} // namespace

// Guards against a daemon that reports ready before it has read its configuration, and cannot serve requests
// yet, or that stays out of rotation after it has read it.
TEST_CASE_FIXTURE(Fixture,
                  "a daemon is ready once it has read its configuration and registry from the store") {
  m_Store.m_Unavailable = true;
  start();
  runFor(milliseconds(200));
  CHECK(readiness() == 503);
  publish();
  m_Store.m_Unavailable = false;
  runFor(milliseconds(1500));
  CHECK(readiness() == 200);
  std::optional<HttpResponse> Response;
  spawn(m_Context, fetch(m_Settings.m_Listen.m_Callers, "/x/1", Response));
  runFor(milliseconds(800));
  REQUIRE(Response);
  CHECK(Response->m_Body == "answer");
}

// Guards against responses that are lost during a planned stop: those of requests in progress, and those of
// requests that arrive before the balancer has taken the daemon out of rotation.
TEST_CASE_FIXTURE(Fixture,
                  "a graceful stop completes requests in progress, serves late ones, and then exits") {
  publish();
  start();
  runFor(milliseconds(300));
  std::optional<HttpResponse> Running;
  spawn(m_Context, fetch(m_Settings.m_Listen.m_Callers, "/x/1", Running));
  runFor(milliseconds(100));
  m_Daemon->drain();
  CHECK(readiness() == 503);
  std::optional<HttpResponse> Late;
  spawn(m_Context, fetch(m_Settings.m_Listen.m_Callers, "/x/2", Late));
  runFor(milliseconds(1000));
  REQUIRE(Running);
  CHECK(Running->m_Body == "answer");
  REQUIRE(Late);
  CHECK(Late->m_Body == "answer");
  CHECK(Late->m_Headers.find("Connection") == std::string_view("close"));
  CHECK(m_Daemon->exitCode() != 0);
  const TimePoint Start = systemClock()();
  m_Context.run_for(std::chrono::seconds(4));
  CHECK(systemClock()() - Start < std::chrono::seconds(3));
  CHECK(m_Daemon->exitCode() == 0);
}

// Guards against a stop that closes the connection of a request whose body is still on its way.
TEST_CASE_FIXTURE(Fixture, "a graceful stop waits for a request that is being read") {
  publish();
  start();
  runFor(milliseconds(300));
  asio::ip::tcp::socket Socket(m_Context);
  Socket.connect({asio::ip::make_address("127.0.0.1"), m_Settings.m_Listen.m_Callers.m_Port});
  m_Daemon->drain();
  runFor(milliseconds(2300));
  const std::string Head = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n";
  asio::write(Socket, asio::buffer(Head));
  runFor(milliseconds(600));
  CHECK(m_Daemon->exitCode() != 0);
  asio::write(Socket, asio::buffer("ab", 2));
  std::string Received;
  asio::async_read(Socket, asio::dynamic_buffer(Received), [](boost::system::error_code, std::size_t) {});
  runFor(milliseconds(600));
  CHECK(Received.ends_with("answer"));
  CHECK(m_Daemon->exitCode() == 0);
}

// Guards against a request that is closed without a response because its upstream is slower than the grace
// period.
TEST_CASE_FIXTURE(Fixture,
                  "a request that is unanswered at the end of the grace period is answered with 502") {
  m_UpstreamDelay = std::chrono::seconds(10);
  publish();
  start();
  runFor(milliseconds(300));
  m_Daemon->drain();
  std::optional<HttpResponse> Response;
  spawn(m_Context, fetch(m_Settings.m_Listen.m_Callers, "/x/1", Response));
  runFor(milliseconds(2500));
  CHECK_FALSE(Response);
  runFor(milliseconds(1300));
  CHECK(m_Daemon->exitCode() == 0);
  runFor(milliseconds(200));
  REQUIRE(Response);
  CHECK(Response->m_Status == 502);
}

TEST_CASE_FIXTURE(Fixture, "a request that can't be read is counted as a fault of its connection") {
  m_Settings.m_Listen.m_Metrics = SocketAddress{"127.0.0.1", 0};
  publish();
  start();
  runFor(milliseconds(300));
  asio::ip::tcp::socket Socket(m_Context);
  Socket.connect({asio::ip::make_address("127.0.0.1"), m_Settings.m_Listen.m_Callers.m_Port});
  asio::write(Socket, asio::buffer("nonsense\r\n\r\n", 12));
  runFor(milliseconds(100));
  std::optional<HttpResponse> Page;
  spawn(m_Context, fetch(*m_Settings.m_Listen.m_Metrics, "/metrics", Page));
  runFor(milliseconds(200));
  REQUIRE(Page);
  CHECK(Page->m_Body.find("bulrushpitch_caller_connection_faults_total{fault=\"request refused\"} 1") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(
    Fixture, "a daemon whose listening address is in use fails to start with that address in the error") {
  m_Settings.m_Listen.m_Callers.m_Port = m_Store.address().m_Port;
  m_Daemon.emplace(m_Context, m_Settings);
  const Expected<Done> Started = capture([this] { return m_Daemon->start(); });
  REQUIRE_FALSE(Started);
  CHECK(Started.error().m_Peer == "127.0.0.1:" + std::to_string(m_Store.address().m_Port));
}
