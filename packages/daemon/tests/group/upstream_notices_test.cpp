#include "bulrushpitch/adapter/testing/store_standin.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/net.h"
#include "daemon_group.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushpitch;
using bulrushpitch::testing::DaemonGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;

namespace {

/// From this time after an answer a daemon has to follow what the answer said.
constexpr milliseconds NoticeTime{500};
constexpr milliseconds LimitWindow{4000};

/// @return requests that an upstream which names this limit may get in a LimitWindow
double allowedBy(double LimitPerSecond) { return 1.5 * 4 * LimitPerSecond + 5; }

/// An upstream that says something about itself in each answer, and records which daemon sent what when.
class NoticingUpstream {
public:
  explicit NoticingUpstream(asio::io_context &Context)
      : m_Server(
            Context, Endpoint{"127.0.0.1", 0}, ServerLimits{},
            [this](HttpRequest &Request, ResponseWriter &Writer) { return answer(Request, Writer); },
            [](const Error &) {
              return HttpResponse{400, {}, ""};
            }) {}

  struct Arrival {
    TimePoint m_At{};
    std::string m_Daemon;
  };

  /// @return the largest number of requests within a window, of daemons that had been told before
  std::size_t mostInWindow(milliseconds Window) const {
    std::vector<TimePoint> Counted;
    for (const Arrival &Each : m_Arrivals) {
      const auto Told = m_ToldAt.find(Each.m_Daemon);
      if (Told != m_ToldAt.end() && Each.m_At >= Told->second + NoticeTime)
        Counted.push_back(Each.m_At);
    }
    std::size_t Most = 0;
    for (std::size_t First = 0; First < Counted.size(); ++First) {
      std::size_t Last = First;
      while (Last < Counted.size() && Counted[Last] <= Counted[First] + Window)
        ++Last;
      Most = std::max(Most, Last - First);
    }
    return Most;
  }

  HttpServer m_Server;
  HttpHeaders m_Notices; ///< Of each answer from now on.
  unsigned m_Status = 200;
  std::vector<Arrival> m_Arrivals;
  std::map<std::string, TimePoint> m_ToldAt; ///< When a daemon first got an answer with notices.

private:
  asio::awaitable<void> answer(HttpRequest &Request, ResponseWriter &Writer) {
    const std::string Daemon(Request.m_Headers.find("Sent-Through").value_or(""));
    m_Arrivals.push_back({systemClock()(), Daemon});
    HttpResponse Response;
    Response.m_Status = m_Status;
    Response.m_Headers = m_Notices;
    Response.m_Headers.add("Attempt-Id", std::string(Request.m_Headers.find("Attempt-Id").value_or("")));
    if (m_Status == 200)
      Response.m_Headers.add("Response-Signature", "1");
    else
      Response.m_Headers.add("Not-Executed", "1");
    if (!m_Notices.fields().empty())
      m_ToldAt.emplace(Daemon, systemClock()());
    Response.m_Body = "answer";
    static_cast<void>(co_await Writer.send(std::move(Response)));
  }
};

/// Some daemons in front of a few upstreams.
struct Fixture {
  void start(std::size_t Daemons, std::size_t Upstreams, const std::string &Kind = "idempotent") {
    REQUIRE(capture([this] { return m_Store.start(); }));
    m_Store.put("op", "config",
                R"({"Version":3,"Routes":[{"Name":"r","Hostname":"a.example","Prefix":"/x/","Kind":")" +
                    Kind + R"(","TimeoutMs":9000,"TargetLatencyMs":3000,"Service":"s","MaxAttempts":3}]})");
    for (std::size_t Number = 0; Number < Upstreams; ++Number) {
      m_Upstreams.push_back(std::make_unique<NoticingUpstream>(m_Context));
      REQUIRE(capture([this] { return m_Upstreams.back()->m_Server.start(); }));
      registerUpstream(Number);
    }
    for (std::size_t Number = 0; Number < Daemons; ++Number)
      REQUIRE(m_Daemons.start("d" + std::to_string(Number), "west-a", m_Store.address()));
    m_Daemons.runFor(milliseconds(2600));
  }

  void registerUpstream(std::size_t Number, std::int64_t Born = 1) {
    m_Store.put("servers", "u" + std::to_string(Number),
                R"({"Service":"s","Address":"127.0.0.1:)" +
                    std::to_string(m_Upstreams[Number]->m_Server.address().m_Port) +
                    R"(","Zone":"west-a","Version":"v1","Slots":4,"State":"ready","born":)" +
                    std::to_string(Born) + "}");
  }

  /// Sends requests through all daemons in turn.
  void send(milliseconds Period, double PerSecond) {
    const TimePoint Start = systemClock()();
    std::size_t Sent = 0;
    while (systemClock()() - Start < Period) {
      const double Due = secondsOf(systemClock()() - Start) * PerSecond;
      while (static_cast<double>(Sent) < Due)
        sendOne(Sent++ % m_Daemons.size());
      m_Daemons.runOnce();
    }
    m_Daemons.runFor(milliseconds(200));
  }

  void sendOne(std::size_t Daemon) {
    m_Responses.emplace_back();
    spawn(m_Context, ask(Daemon, m_Responses.back()));
  }

  asio::awaitable<void> ask(std::size_t Daemon, std::optional<HttpResponse> &Into) {
    HttpRequest Request;
    Request.m_Target = "/x/1";
    Request.m_Headers.add("Host", "a.example");
    Request.m_Headers.add("Attempt-Id", "a" + std::to_string(++m_Requests));
    Request.m_Headers.add("Sent-Through", "d" + std::to_string(Daemon));
    const Endpoint Address = m_Daemons.callers(Daemon);
    Expected<HttpResponse> Response = co_await m_Caller.exchange(Address, std::move(Request), seconds(9));
    if (Response)
      Into = std::move(*Response);
  }

  std::size_t responsesWith(unsigned Status) const {
    return static_cast<std::size_t>(std::count_if(m_Responses.begin(), m_Responses.end(),
                                                  [Status](const std::optional<HttpResponse> &Response) {
                                                    return Response && Response->m_Status == Status;
                                                  }));
  }

  asio::io_context m_Context;
  testing::StoreStandin m_Store{m_Context};
  std::vector<std::unique_ptr<NoticingUpstream>> m_Upstreams;
  HttpClient m_Caller{m_Context, "call gateway"};
  std::deque<std::optional<HttpResponse>> m_Responses;
  int m_Requests = 0;
  DaemonGroup m_Daemons{m_Context};
};

} // namespace

// Guards against an upstream in need that gets the usual requests although it has named a limit.
TEST_CASE_FIXTURE(Fixture, "an upstream that names a limit gets no more than it from all daemons together") {
  start(8, 3);
  NoticingUpstream &Limited = *m_Upstreams.front();
  double LimitPerSecond = 1.2;
  SUBCASE("a limit below one request a daemon") {}
  SUBCASE("no requests at all") { LimitPerSecond = 0.0; }
  SUBCASE("a limit of several requests a daemon") { LimitPerSecond = 9.0; }
  Limited.m_Notices.add("Server-Limit", std::to_string(LimitPerSecond));
  send(seconds(9), 120.0);
  CHECK(static_cast<double>(Limited.mostInWindow(LimitWindow)) <= allowedBy(LimitPerSecond));
  CHECK(responsesWith(200) == m_Responses.size());
}

// Guards against requests to an upstream that ends, whose entry in the registry says otherwise or can't be
// read.
TEST_CASE_FIXTURE(Fixture, "an upstream that says that it leaves gets nothing more until it starts again") {
  start(3, 2);
  NoticingUpstream &Leaving = *m_Upstreams.front();
  Leaving.m_Notices.add("Server-Leaving", "1");
  SUBCASE("while the registry says that it is ready") {}
  SUBCASE("while the store is unavailable") { m_Store.m_Unavailable = true; }
  send(seconds(2), 60.0);
  CHECK(Leaving.m_ToldAt.size() == 3);
  CHECK(Leaving.mostInWindow(seconds(10)) == 0);
  CHECK(responsesWith(200) == m_Responses.size());

  m_Store.m_Unavailable = false;
  registerUpstream(0);
  m_Daemons.runFor(milliseconds(2500));
  const std::size_t Before = Leaving.m_Arrivals.size();
  send(seconds(1), 60.0);
  CHECK(Leaving.m_Arrivals.size() == Before);
  Leaving.m_Notices = HttpHeaders();
  registerUpstream(0, 2);
  m_Daemons.runFor(milliseconds(2500));
  send(seconds(1), 60.0);
  CHECK(Leaving.m_Arrivals.size() > Before);
}

// Guards against an upstream without room that each daemon asks again and again.
TEST_CASE_FIXTURE(Fixture, "an upstream that turns a request away for some seconds gets none in that time") {
  constexpr seconds Pause{3};
  start(4, 2);
  NoticingUpstream &Pausing = *m_Upstreams.front();
  // Daemons that have just started may repeat only as much as their requests have earned.
  send(milliseconds(500), 80.0);
  Pausing.m_Status = 503;
  Pausing.m_Notices.add("Retry-After", std::to_string(Pause.count()));
  send(Pause - milliseconds(300), 80.0);
  std::map<std::string, int> During;
  for (const NoticingUpstream::Arrival &Each : Pausing.m_Arrivals)
    if (Each.m_At >= Pausing.m_ToldAt.at(Each.m_Daemon) + NoticeTime &&
        Each.m_At < Pausing.m_ToldAt.at(Each.m_Daemon) + Pause)
      ++During[Each.m_Daemon];
  for (const std::pair<const std::string, int> &Each : During)
    CHECK(Each.second <= 2);
  CHECK(Pausing.m_ToldAt.size() == 4);
  CHECK(responsesWith(200) == m_Responses.size());
  Pausing.m_Status = 200;
  Pausing.m_Notices = HttpHeaders();
  const std::size_t Before = Pausing.m_Arrivals.size();
  m_Daemons.runFor(milliseconds(800));
  send(seconds(1), 80.0);
  CHECK(Pausing.m_Arrivals.size() > Before);
}

// Guards against requests to an upstream that has left, through daemons that follow others, and against calls
// of the store by all of them.
TEST_CASE_FIXTURE(Fixture, "many daemons learn from few of them in time that an upstream leaves") {
  constexpr std::size_t Daemons = 16;
  constexpr int MaxReaders = 2;
  /// A third of the time within which a leaving upstream must stop getting requests; all of it, if daemons
  /// freeze.
  milliseconds TimeToStop{1000};
  start(Daemons, 2);
  m_Daemons.runFor(milliseconds(2500));
  bool Frozen = false;
  SUBCASE("while all daemons are well") {}
  SUBCASE("while daemons freeze that relay the registry to others") { Frozen = true; }
  const int CallsBefore = m_Store.calls("/rows-feed", "servers");
  m_Daemons.runFor(seconds(4));
  CHECK(m_Store.calls("/rows-feed", "servers") - CallsBefore <= MaxReaders * 5);
  if (Frozen) {
    TimeToStop = milliseconds(2900);
    for (std::size_t Daemon = 0; Daemon < Daemons; Daemon += 4)
      m_Daemons.freeze(Daemon);
  }
  m_Store.remove("servers", "u0");
  m_Daemons.runFor(TimeToStop);
  const std::size_t Before = m_Upstreams.front()->m_Arrivals.size();
  for (int Round = 0; Round < 4; ++Round)
    for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon)
      if (!m_Daemons.frozen(Daemon))
        sendOne(Daemon);
  m_Daemons.runFor(milliseconds(500));
  CHECK(m_Upstreams.front()->m_Arrivals.size() == Before);
  CHECK(responsesWith(200) == m_Responses.size());
}
