#include "bulrushpitch/daemon/gateway_daemon.h"

#include "bulrushpitch/adapter/testing/store_standin.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/net.h"
#include "thin_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace bulrushpitch;
using bulrushpitch::testing::ThinLink;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;

namespace {

/// Within this time after its acknowledgement a configuration must be in force.
constexpr milliseconds TimeToBeInForce{4000};
constexpr std::size_t NearDaemons = 4;
constexpr std::size_t FarDaemons = 12;
constexpr double LinkBytesPerSecond = 2.0e6;
constexpr std::size_t AddedRoutes = 1400;

std::string hostOf(std::size_t Route) {
  return "host" + std::to_string(Route * 7919 % 1'000'003) + ".example";
}

/// @return a configuration whose routes take about as many bytes as those of a real deployment
std::string configOf(std::uint64_t Revision, std::size_t Routes) {
  std::string Text = R"({"Version":)" + std::to_string(Revision) + R"(,"Routes":[)";
  for (std::size_t Route = 0; Route < Routes; ++Route)
    Text += (Route == 0 ? "" : ",") + std::string(R"({"Name":"r-)") + std::to_string(Route) +
            R"(","Hostname":")" + hostOf(Route) + R"(","Prefix":"/p)" + std::to_string(Route * 104'729) +
            R"(/","Kind":"idempotent","TimeoutMs":9000,"TargetLatencyMs":3000,"Service":"s",)" +
            R"("MaxAttempts":3,"Priority":5,"Public":false,"TargetGapMs":0,"Resumable":false})";
  return Text + "]}";
}

/// A daemon with a loop of its own, which can stand still while its connections stay open.
struct Process {
  explicit Process(const GatewaySettings &Settings) : m_Daemon(m_Context, Settings) {}

  asio::io_context m_Context;
  asio::executor_work_guard<asio::io_context::executor_type> m_Work = asio::make_work_guard(m_Context);
  GatewayDaemon m_Daemon;
  bool m_Frozen = false;
};

/// Daemons in two regions; those of the far one reach the store over a thin link.
struct Fixture {
  Fixture() {
    REQUIRE(capture([this] { return m_Store.start(); }));
    m_Link.emplace(m_Context, m_Store.address(), LinkBytesPerSecond);
    publish(20);
    for (std::size_t Index = 0; Index < NearDaemons; ++Index)
      start("near-" + std::to_string(Index), "west-a", m_Store.address());
    runFor(milliseconds(700));
    for (std::size_t Index = 0; Index < FarDaemons; ++Index)
      start("far-" + std::to_string(Index), "hill-a", m_Link->address());
    runFor(milliseconds(3000));
    REQUIRE(daemonsThatKnow(m_Routes) == m_Daemons.size());
  }

  void start(const std::string &Name, const std::string &Domain, const Endpoint &Store) {
    GatewaySettings Settings;
    Settings.m_Instance = InstanceId(Name);
    Settings.m_Domain = DomainId(Domain);
    Settings.m_Domains = {{DomainId("west-a"), RegionId("west")}, {DomainId("hill-a"), RegionId("hill")}};
    Settings.m_Region = Settings.m_Domains[Settings.m_Domain];
    Settings.m_Listen.m_Callers = {"127.0.0.1", freePort()};
    Settings.m_Listen.m_Readiness = {"127.0.0.1", freePort()};
    Settings.m_Listen.m_Peers = {"127.0.0.1", freePort()};
    Settings.m_Store = {Store.m_Address, Store.m_Port};
    m_Callers.push_back({"127.0.0.1", Settings.m_Listen.m_Callers.m_Port});
    m_Daemons.push_back(std::make_unique<Process>(Settings));
    REQUIRE(capture([this] { return m_Daemons.back()->m_Daemon.start(); }));
  }

  std::uint16_t freePort() {
    asio::ip::tcp::acceptor Acceptor(m_Context, {asio::ip::make_address("127.0.0.1"), 0});
    return Acceptor.local_endpoint().port();
  }

  void publish(std::size_t Routes) {
    m_Routes = Routes;
    m_Store.put("op", "config", configOf(++m_Revision, Routes));
  }

  /// @return number of daemons that know the last of so many routes; an unknown one is answered with 404
  std::size_t daemonsThatKnow(std::size_t Routes) {
    std::deque<std::optional<HttpResponse>> Responses(m_Daemons.size());
    std::size_t Ended = 0;
    for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index)
      if (!m_Daemons[Index]->m_Frozen)
        spawn(m_Context, ask(m_Callers[Index], Routes - 1, Responses[Index], Ended));
      else
        ++Ended;
    while (Ended < m_Daemons.size())
      runOnce();
    return static_cast<std::size_t>(
        std::count_if(Responses.begin(), Responses.end(), [](const std::optional<HttpResponse> &Response) {
          return Response && Response->m_Status != 404;
        }));
  }

  asio::awaitable<void> ask(Endpoint To, std::size_t Route, std::optional<HttpResponse> &Into,
                            std::size_t &Ended) {
    HttpRequest Request;
    Request.m_Target = "/p" + std::to_string(Route * 104'729) + "/";
    Request.m_Headers.add("Host", hostOf(Route));
    Expected<HttpResponse> Response = co_await m_Caller.exchange(To, std::move(Request), seconds(5));
    if (Response)
      Into = std::move(*Response);
    ++Ended;
  }

  /// @return how many daemons know the newest configuration when it must be in force
  std::size_t daemonsInTime() {
    const TimePoint Start = systemClock()();
    while (systemClock()() - Start < TimeToBeInForce) {
      if (daemonsThatKnow(m_Routes) == running())
        return running();
      runFor(milliseconds(100));
    }
    return daemonsThatKnow(m_Routes);
  }

  std::size_t running() const {
    return static_cast<std::size_t>(std::count_if(m_Daemons.begin(), m_Daemons.end(),
                                                  [](const auto &Daemon) { return !Daemon->m_Frozen; }));
  }

  void runFor(milliseconds Period) {
    const TimePoint End = systemClock()() + Period;
    while (systemClock()() < End)
      runOnce();
  }

  /// Lets everyone who is not frozen do what is due.
  void runOnce() {
    std::size_t Handlers = m_Context.poll();
    for (const std::unique_ptr<Process> &Daemon : m_Daemons)
      if (!Daemon->m_Frozen)
        Handlers += Daemon->m_Context.poll();
    if (Handlers == 0)
      std::this_thread::sleep_for(milliseconds(1));
  }

  asio::io_context m_Context;
  testing::StoreStandin m_Store{m_Context};
  std::optional<ThinLink> m_Link;
  HttpClient m_Caller{m_Context, "call gateway"};
  std::uint64_t m_Revision = 0;
  std::size_t m_Routes = 0; ///< Of the newest configuration.
  std::vector<Endpoint> m_Callers;
  std::vector<std::unique_ptr<Process>> m_Daemons;
};

} // namespace

// Guards against a link that is full of copies of one configuration, each cut off and begun again.
TEST_CASE_FIXTURE(Fixture, "a large configuration is in force in time at all daemons behind a thin link") {
  for (int Change = 1; Change <= 2; ++Change) {
    const std::uint64_t BytesBefore = m_Link->bytes();
    publish(m_Routes + AddedRoutes);
    CHECK(daemonsInTime() == running());
    const std::size_t RowBytes = configOf(m_Revision, m_Routes).size() * 4 / 3;
    CHECK(m_Link->bytes() - BytesBefore < 3 * RowBytes);
    runFor(milliseconds(1500));
  }
}

// Guards against a relay that stands still and keeps the daemons behind it on an old configuration.
TEST_CASE_FIXTURE(Fixture, "a configuration is in force in time though daemons freeze as it is published") {
  for (std::size_t Index = 0; Index < m_Daemons.size(); Index += 4)
    m_Daemons[Index]->m_Frozen = true;
  publish(m_Routes + AddedRoutes);
  CHECK(daemonsInTime() == running());
  CHECK(running() == 12);
}

// Guards against all daemons behind a link that turn to the store at once, and fill the link, when the first
// ones are lost.
TEST_CASE_FIXTURE(Fixture, "a configuration is in force in time though all daemons near the store freeze") {
  for (std::size_t Index = 0; Index < NearDaemons; ++Index)
    m_Daemons[Index]->m_Frozen = true;
  runFor(milliseconds(500));
  publish(m_Routes + AddedRoutes);
  CHECK(daemonsInTime() == FarDaemons);
}
