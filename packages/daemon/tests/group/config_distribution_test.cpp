#include "bulrushpitch/adapter/testing/store_standin.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/net.h"
#include "daemon_group.h"
#include "thin_link.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>

using namespace bulrushpitch;
using bulrushpitch::testing::DaemonGroup;
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

/// Daemons in two regions; those of the far one reach the store over a thin link.
struct Fixture {
  Fixture() {
    REQUIRE(capture([this] { return m_Store.start(); }));
    m_Link.emplace(m_Context, m_Store.address(), LinkBytesPerSecond);
    publish(20);
    for (std::size_t Index = 0; Index < NearDaemons; ++Index)
      REQUIRE(m_Daemons.start("near-" + std::to_string(Index), "west-a", m_Store.address()));
    m_Daemons.runFor(milliseconds(700));
    for (std::size_t Index = 0; Index < FarDaemons; ++Index)
      REQUIRE(m_Daemons.start("far-" + std::to_string(Index), "hill-a", m_Link->address()));
    m_Daemons.runFor(milliseconds(3000));
    REQUIRE(daemonsThatKnow(m_Routes) == m_Daemons.size());
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
      if (!m_Daemons.frozen(Index))
        spawn(m_Context, ask(m_Daemons.callers(Index), Routes - 1, Responses[Index], Ended));
      else
        ++Ended;
    while (Ended < m_Daemons.size())
      m_Daemons.runOnce();
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
      if (daemonsThatKnow(m_Routes) == m_Daemons.running())
        return m_Daemons.running();
      m_Daemons.runFor(milliseconds(100));
    }
    return daemonsThatKnow(m_Routes);
  }

  asio::io_context m_Context;
  testing::StoreStandin m_Store{m_Context};
  std::optional<ThinLink> m_Link;
  HttpClient m_Caller{m_Context, "call gateway"};
  std::uint64_t m_Revision = 0;
  std::size_t m_Routes = 0; ///< Of the newest configuration.
  DaemonGroup m_Daemons{m_Context};
};

} // namespace

// Guards against a link that is full of copies of one configuration, each cut off and begun again.
TEST_CASE_FIXTURE(Fixture, "a large configuration is in force in time at all daemons behind a thin link") {
  for (int Change = 1; Change <= 2; ++Change) {
    const std::uint64_t BytesBefore = m_Link->bytes();
    publish(m_Routes + AddedRoutes);
    CHECK(daemonsInTime() == m_Daemons.running());
    const std::size_t RowBytes = configOf(m_Revision, m_Routes).size() * 4 / 3;
    CHECK(m_Link->bytes() - BytesBefore < 3 * RowBytes);
    m_Daemons.runFor(milliseconds(1500));
  }
}

// Guards against a relay that stands still and keeps the daemons behind it on an old configuration.
TEST_CASE_FIXTURE(Fixture, "a configuration is in force in time though daemons freeze as it is published") {
  for (std::size_t Index = 0; Index < m_Daemons.size(); Index += 4)
    m_Daemons.freeze(Index);
  publish(m_Routes + AddedRoutes);
  CHECK(daemonsInTime() == m_Daemons.running());
  CHECK(m_Daemons.running() == 12);
}

// Guards against all daemons behind a link that turn to the store at once, and fill the link, when the first
// ones are lost.
TEST_CASE_FIXTURE(Fixture, "a configuration is in force in time though all daemons near the store freeze") {
  for (std::size_t Index = 0; Index < NearDaemons; ++Index)
    m_Daemons.freeze(Index);
  m_Daemons.runFor(milliseconds(500));
  publish(m_Routes + AddedRoutes);
  CHECK(daemonsInTime() == FarDaemons);
}
