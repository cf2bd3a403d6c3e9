#include "bulrushpitch/gateway/forwarder.h"

#include "bulrushpitch/core/hash.h"

#include "scripted_upstream.h"

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace bulrushpitch;
using bulrushpitch::testing::ScriptedReply;
using bulrushpitch::testing::ScriptedUpstream;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

/// Header fields of these tests; the names of a real platform are its adapter's business.
MessageTranslation testTranslation() {
  MessageTranslation Translation;
  Translation.m_ReadRequest = [](const HttpRequest &Request) {
    CallerRequest Read;
    Read.m_AttemptId = std::string(Request.m_Headers.find("id").value_or(""));
    Read.m_Key = std::string(Request.m_Headers.find("key").value_or(""));
    if (const std::optional<std::string_view> Ms = Request.m_Headers.find("patience"))
      Read.m_Patience = milliseconds(std::stoi(std::string(*Ms)));
    Read.m_AnyModel = Request.m_Headers.find("model").value_or("") == "any";
    return Read;
  };
  Translation.m_ToUpstream = [](const HttpRequest &Request, const UpstreamCall &Call) {
    HttpRequest Sent;
    Sent.m_Method = Request.m_Method;
    Sent.m_Target = Request.m_Target;
    Sent.m_Body = Request.m_Body;
    for (const std::pair<std::string, std::string> &Field : Request.m_Headers.fields())
      if (Field.first != "key" && Field.first != "model" && Field.first != "Content-Length")
        Sent.m_Headers.add(Field.first, Field.second);
    if (Call.m_AfterEvent)
      Sent.m_Headers.add("after", std::to_string(*Call.m_AfterEvent));
    if (Call.m_Model)
      Sent.m_Headers.add("model", Call.m_Model->value());
    return Sent;
  };
  Translation.m_Belongs = [](const HttpHeaders &Headers, const std::string &Id) {
    return Headers.find("id").value_or(Id) == Id;
  };
  Translation.m_ReadAnswer = [](unsigned, const HttpHeaders &Headers) {
    AnswerHead Read;
    Read.m_Genuine = Headers.find("signed").has_value();
    Read.m_NotRun = Headers.find("not-run").has_value();
    if (const std::optional<std::string_view> Text = Headers.find("confidence"))
      Read.m_Confidence = std::stoi(std::string(*Text));
    return Read;
  };
  Translation.m_ToCaller = [](const HttpHeaders &Headers) {
    HttpHeaders Kept;
    for (const std::pair<std::string, std::string> &Field : Headers.fields())
      if (Field.first != "Content-Length" && Field.first != "Transfer-Encoding" &&
          Field.first != "Connection")
        Kept.add(Field.first, Field.second);
    return Kept;
  };
  return Translation;
}

std::string whole(const std::string &Body, const std::string &Fields = "signed: 1\r\n", int Status = 200) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string chunk(const std::string &Text) {
  std::ostringstream Size;
  Size << std::hex << Text.size();
  return Size.str() + "\r\n" + Text + "\r\n";
}

std::string streamHead(const std::string &Fields = "signed: 1\r\n") {
  return "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event(int Id) { return "id: " + std::to_string(Id) + "\ndata: t" + std::to_string(Id) + "\n\n"; }

std::string events(int First, int Last) {
  std::string All;
  for (int Id = First; Id <= Last; ++Id)
    All += chunk(event(Id));
  return All;
}

const std::string StreamEnd = "0\r\n\r\n";

/// What a caller got.
struct Answer {
  bool m_Ended = false;
  bool m_Complete = false;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// A gateway before up to three upstreams.
struct Fixture {
  Fixture() {
    GatewaySettings Read;
    Read.m_Instance = InstanceId("d0");
    Read.m_Domain = DomainId("west-a");
    Read.m_Region = RegionId("west");
    Read.m_Domains = {{DomainId("west-a"), RegionId("west")}};
    Read.m_Bounds.m_RetryShare = 1.0;
    Read.m_Bounds.m_RetryReserve = 100.0;
    m_State.emplace(Read);
    m_Log.emplace(
        systemClock(), systemWallClock(),
        [this](std::string_view Text) {
          m_Lines += Text;
          return Text.size();
        },
        1000.0);
    m_Forwarder.emplace(
        ForwarderParts{*m_State, m_Translation, m_Client, *m_Log, m_Metrics, systemClock(), systemClock()()});
    m_Server.emplace(
        m_Context, Endpoint{"127.0.0.1", 0}, ServerLimits{},
        [this](HttpRequest &Request, ResponseWriter &Writer) { return m_Forwarder->handle(Request, Writer); },
        [](const Error &) {
          return HttpResponse{400, {}, ""};
        });
    REQUIRE(capture([this] { return m_Server->start(); }));
  }

  ScriptedUpstream &add(ScriptedUpstream::Script Script) {
    m_Upstreams.push_back(std::make_unique<ScriptedUpstream>(m_Context, std::move(Script)));
    RegisteredUpstream Entry;
    Entry.m_Id = UpstreamId("u" + std::to_string(m_Upstreams.size()));
    Entry.m_Service = ServiceId("s");
    Entry.m_Domain = DomainId("west-a");
    Entry.m_Address = m_Upstreams.back()->address();
    Entry.m_Version = VersionId("v1");
    // The first one is preferred while it has room: its slots make its expected wait the least.
    Entry.m_Slots = m_Upstreams.size() == 1 ? 100 : 10;
    m_State->m_Pool.update(Entry, systemClock()());
    return *m_Upstreams.back();
  }

  void configure(RequestKind Kind, std::uint32_t Attempts, std::vector<ModelId> Models = {}) {
    ForwardConfig Config;
    Config.m_Revision = ConfigRevision(1);
    ForwardRoute Route;
    Route.m_Name = "r";
    Route.m_Host = "a.example";
    Route.m_Prefix = "/x/";
    Route.m_Kind = Kind;
    Route.m_Resumable = true;
    Route.m_MaxAttempts = Attempts;
    Route.m_Timeout = milliseconds(2000);
    Route.m_TargetLatency = milliseconds(600);
    Route.m_TargetGap = m_TargetGap;
    Route.m_Services = {{ServiceId("s"), 1.0}};
    Route.m_Models = std::move(Models);
    Config.m_Routes = {Route};
    ForwardTeam Team;
    Team.m_Id = TeamId("guild");
    Team.m_Keys = {"k"};
    Config.m_Teams = {Team};
    m_State->m_Directory = std::make_shared<const Directory>(Config);
    m_State->m_RegistryRead = true;
  }

  HttpRequest request(std::string Path = "/x/1", std::string Key = "k") {
    HttpRequest Made;
    Made.m_Method = "POST";
    Made.m_Target = std::move(Path);
    Made.m_Headers.add("Host", "a.example");
    Made.m_Headers.add("id", "attempt-" + std::to_string(++m_Requests));
    Made.m_Headers.add("key", std::move(Key));
    Made.m_Body = "body";
    return Made;
  }

  asio::awaitable<void> fetch(HttpRequest Sent, Answer &Into) {
    Expected<std::unique_ptr<HttpStream>> Opened =
        co_await m_Caller.open(m_Server->address(), std::move(Sent), std::chrono::seconds(5));
    if (Opened) {
      Into.m_Status = (*Opened)->status();
      Into.m_Headers = (*Opened)->headers();
      while (true) {
        Expected<std::optional<std::string>> Part = co_await (*Opened)->read(std::chrono::seconds(5));
        Into.m_Complete = Part && !*Part;
        if (!Part || !*Part)
          break;
        Into.m_Body += **Part;
      }
    }
    Into.m_Ended = true;
  }

  Answer ask(HttpRequest Sent) {
    Answer Got;
    spawn(m_Context, fetch(std::move(Sent), Got));
    while (!Got.m_Ended)
      m_Context.run_one();
    return Got;
  }

  void runFor(milliseconds Time) { m_Context.run_for(Time); }

  asio::io_context m_Context;
  MessageTranslation m_Translation = testTranslation();
  HttpClient m_Client{m_Context, "call upstream"};
  HttpClient m_Caller{m_Context, "call gateway"};
  Metrics m_Metrics{systemClock()};
  std::string m_Lines;
  std::optional<GatewayState> m_State;
  std::optional<EventLog> m_Log;
  std::optional<Forwarder> m_Forwarder;
  std::optional<HttpServer> m_Server;
  std::vector<std::unique_ptr<ScriptedUpstream>> m_Upstreams;
  int m_Requests = 0;
  milliseconds m_TargetGap{0};
};

ScriptedUpstream::Script always(ScriptedReply Reply) {
  return [Reply](const std::string &, int) { return Reply; };
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a request passes unchanged, and its answer comes back") {
  configure(RequestKind::NonIdempotent, 1);
  ScriptedUpstream &Upstream = add(always({whole("answer", "signed: 1\r\nOwn: 2\r\n", 201)}));
  const Answer Got = ask(request("/x/1?q=2"));
  CHECK(Got.m_Status == 201);
  CHECK(Got.m_Body == "answer");
  CHECK(Got.m_Headers.find("Own") == std::string_view("2"));
  REQUIRE(Upstream.requests().size() == 1);
  const std::string &Seen = Upstream.requests().front();
  CHECK(Seen.find("POST /x/1?q=2 HTTP/1.1") == 0);
  CHECK(Seen.find("Host: a.example") != std::string::npos);
  CHECK(Seen.substr(Seen.size() - 4) == "body");
  CHECK(Seen.find("key") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture,
                  "without a configuration nothing is denied, and a request is refused after the start") {
  const Answer Got = ask(request());
  CHECK(Got.m_Status == 503);
  CHECK(Got.m_Headers.find("Retry-After"));
  const TimePoint Start = systemClock()();
  CHECK(ask(request()).m_Status == 503);
  CHECK(systemClock()() - Start < milliseconds(200));
}

// Guards against refusing callers who come back to a daemon that has just started and reads its
// configuration.
TEST_CASE_FIXTURE(Fixture, "a request that comes while the daemon starts waits for the configuration") {
  add(always({whole("answer")}));
  asio::steady_timer Read(m_Context, milliseconds(150));
  Read.async_wait([this](boost::system::error_code) { configure(RequestKind::Idempotent, 2); });
  CHECK(ask(request()).m_Body == "answer");
}

TEST_CASE_FIXTURE(Fixture, "an unknown route, an unknown key, and no upstream") {
  configure(RequestKind::Idempotent, 2);
  CHECK(ask(request("/y/1")).m_Status == 404);
  CHECK(ask(request("/x/1", "stolen")).m_Status == 401);
  const Answer None = ask(request());
  CHECK(None.m_Status == 503);
  CHECK(None.m_Headers.find("Retry-After") == std::string_view("1.000"));
}

// Guards against callers that get part of an answer, or an answer nobody vouches for, as a success.
TEST_CASE_FIXTURE(Fixture, "broken and forged answers are asked for again") {
  configure(RequestKind::Idempotent, 2);
  const std::string Truncated = whole("answer").substr(0, whole("answer").size() - 2);
  const std::deque<std::string> Bad{Truncated, "not http at all\r\n\r\n", whole("forged", "")};
  for (const std::string &Bytes : Bad) {
    m_Upstreams.clear();
    m_State->m_Pool.replaceAll({}, systemClock()(), Duration::zero());
    add(always({Bytes, milliseconds(0), true}));
    ScriptedUpstream &Good = add(always({whole("right")}));
    const Answer Got = ask(request());
    CHECK(Got.m_Status == 200);
    CHECK(Got.m_Body == "right");
    CHECK(Good.requests().size() == 1);
  }
}

// Guards against a wallet that is debited twice.
TEST_CASE_FIXTURE(Fixture, "a non-idempotent request that may have run is not sent again") {
  configure(RequestKind::NonIdempotent, 3);
  add(always({"", milliseconds(0), true}));
  ScriptedUpstream &Other = add(always({whole("second run")}));
  CHECK(ask(request()).m_Status == 502);
  CHECK(Other.requests().empty());
}

TEST_CASE_FIXTURE(Fixture, "a request that an upstream says it did not run goes to another") {
  configure(RequestKind::NonIdempotent, 3);
  add(always({whole("", "not-run: 1\r\n", 503)}));
  add(always({whole("right")}));
  CHECK(ask(request()).m_Body == "right");
}

TEST_CASE_FIXTURE(Fixture, "when nobody ran it the caller is told so, with a time to come back") {
  configure(RequestKind::NonIdempotent, 2);
  add(always({whole("", "not-run: 1\r\n", 503)}));
  add(always({whole("", "not-run: 1\r\n", 503)}));
  const Answer Got = ask(request());
  CHECK(Got.m_Status == 503);
  CHECK(Got.m_Headers.find("Retry-After"));
}

TEST_CASE_FIXTURE(Fixture, "an upstream's own failure passes when no other answers") {
  configure(RequestKind::Idempotent, 2);
  add(always({whole("why", "signed: a\r\n", 500)}));
  add(always({whole("why", "signed: b\r\n", 500)}));
  const Answer Got = ask(request());
  CHECK(Got.m_Status == 500);
  CHECK(Got.m_Body == "why");
  CHECK(Got.m_Headers.find("signed"));
}

TEST_CASE_FIXTURE(Fixture, "without budget a request is not repeated") {
  configure(RequestKind::Idempotent, 2);
  add(always({"", milliseconds(0), true}));
  ScriptedUpstream &Other = add(always({whole("right")}));
  m_State->budgetOf(ServiceId("s")).setBounds(0.0, 0.0);
  CHECK(ask(request()).m_Status == 502);
  CHECK(Other.requests().empty());
}

// Guards against an answer that reaches another request's caller.
TEST_CASE_FIXTURE(Fixture, "a surplus answer on a kept connection is dropped") {
  configure(RequestKind::NonIdempotent, 1);
  add([](const std::string &, int Number) {
    const std::string Id = "attempt-" + std::to_string(Number);
    if (Number == 1)
      return ScriptedReply{whole("first", "signed: 1\r\nid: " + Id + "\r\n")};
    // The late second answer to the first request comes before the second request's own.
    return ScriptedReply{whole("first", "signed: 1\r\nid: attempt-1\r\n") +
                         whole("second", "signed: 1\r\nid: " + Id + "\r\n")};
  });
  CHECK(ask(request()).m_Body == "first");
  CHECK(ask(request()).m_Body == "second");
}

TEST_CASE_FIXTURE(Fixture, "a request that takes too long ends at its timeout") {
  configure(RequestKind::NonIdempotent, 1);
  add(always({"", milliseconds(3000)}));
  HttpRequest Sent = request();
  Sent.m_Headers.add("patience", "200");
  const TimePoint Start = systemClock()();
  CHECK(ask(std::move(Sent)).m_Status == 504);
  CHECK(systemClock()() - Start < milliseconds(700));
}

TEST_CASE_FIXTURE(Fixture, "a silent upstream is given up in time for another") {
  configure(RequestKind::Idempotent, 2);
  add(always({"", milliseconds(3000)}));
  add(always({whole("right")}));
  CHECK(ask(request()).m_Body == "right");
}

TEST_CASE_FIXTURE(Fixture, "a stream is forwarded event by event") {
  configure(RequestKind::Stream, 3);
  add(always({streamHead() + events(1, 3) + StreamEnd}));
  const Answer Got = ask(request());
  CHECK(Got.m_Complete);
  CHECK(Got.m_Body == event(1) + event(2) + event(3));
}

// Guards against gaps, repeats and halves of events where a stream goes on at another upstream.
TEST_CASE_FIXTURE(Fixture, "a stream that breaks goes on at another upstream after its last whole event") {
  configure(RequestKind::Stream, 3);
  add(always({streamHead("signed: a\r\n") + events(1, 2) + chunk("id: 3\nda"), milliseconds(0), true}));
  ScriptedUpstream &Other = add(always({streamHead("signed: b\r\n") + events(2, 4) + StreamEnd}));
  const Answer Got = ask(request());
  CHECK(Got.m_Complete);
  CHECK(Got.m_Body == event(1) + event(2) + event(3) + event(4));
  CHECK(Got.m_Headers.find("signed") == std::string_view("a"));
  REQUIRE(Other.requests().size() == 1);
  CHECK(Other.requests().front().find("after: 2") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "a stream that falls silent goes on at another upstream") {
  configure(RequestKind::Stream, 3);
  add(always({streamHead() + events(1, 2), milliseconds(0), false, milliseconds(5000)}));
  add(always({streamHead() + events(3, 4) + StreamEnd}));
  const Answer Got = ask(request());
  CHECK(Got.m_Complete);
  CHECK(Got.m_Body == event(1) + event(2) + event(3) + event(4));
}

// Guards against a stream that breaks and is finished off by a version under trial.
TEST_CASE_FIXTURE(Fixture, "a request that failed goes on with the old version") {
  configure(RequestKind::Stream, 3);
  VersionTrial Trial(TrialOrder{ServiceId("s"), VersionId("v2"), std::chrono::seconds(100), 1}, 0.15,
                     systemClock()());
  Trial.confirm();
  HttpRequest Sent = request();
  const auto OnNew = [&] {
    const std::uint64_t Key = mixHash(stableHash("attempt-" + std::to_string(m_Requests)), 2);
    return Trial.ruleFor(Key, false, systemClock()()).m_Only.has_value();
  };
  while (!OnNew())
    Sent = request();
  m_State->m_Trials.emplace(ServiceId("s"), Trial);
  ScriptedUpstream *New = nullptr;
  add([&](const std::string &, int) {
    // The new version's upstream comes while the old one's answer is under way.
    New = &add(always({whole("", "signed: 1\r\n", 500)}));
    RegisteredUpstream Entry = m_State->m_Pool.find(UpstreamId("u3"))->m_Entry;
    Entry.m_Version = VersionId("v2");
    m_State->m_Pool.update(Entry, systemClock()());
    return ScriptedReply{streamHead() + events(1, 2), milliseconds(0), true};
  });
  add(always({streamHead() + events(3, 4) + StreamEnd}));
  const Answer Got = ask(std::move(Sent));
  CHECK(Got.m_Complete);
  REQUIRE(New);
  CHECK(New->requests().empty());
}

// Guards against reading a prompt again elsewhere because of a pause that is still in time.
TEST_CASE_FIXTURE(Fixture, "a pause that the route allows is no reason to go on at another upstream") {
  m_TargetGap = milliseconds(1000);
  configure(RequestKind::Stream, 3);
  const std::string Rest = events(2, 2) + StreamEnd;
  add(always({streamHead() + events(1, 1), milliseconds(0), false, milliseconds(850), Rest}));
  ScriptedUpstream &Other = add(always({streamHead() + events(2, 2) + StreamEnd}));
  const Answer Got = ask(request());
  CHECK(Got.m_Complete);
  CHECK(Other.requests().empty());
}

// Guards against refusing requests in the moment in which a new version is completed and the old one stopped.
TEST_CASE_FIXTURE(Fixture, "when the old version takes no connections the new one answers") {
  configure(RequestKind::NonIdempotent, 1);
  VersionTrial Trial(TrialOrder{ServiceId("s"), VersionId("v2"), std::chrono::seconds(100), 1}, 0.15,
                     systemClock()());
  m_State->m_Trials.emplace(ServiceId("s"), Trial);
  for (int Stopped = 0; Stopped < 5; ++Stopped) {
    add(always({whole("old")}));
    const UpstreamId Id("u" + std::to_string(m_Upstreams.size()));
    RegisteredUpstream Entry = m_State->m_Pool.find(Id)->m_Entry;
    Entry.m_Address.m_Port = 1;
    m_State->m_Pool.update(Entry, systemClock()());
  }
  add(always({whole("new")}));
  RegisteredUpstream Entry = m_State->m_Pool.find(UpstreamId("u6"))->m_Entry;
  Entry.m_Version = VersionId("v2");
  m_State->m_Pool.update(Entry, systemClock()());
  const Answer Got = ask(request());
  CHECK(Got.m_Status == 200);
  CHECK(Got.m_Body == "new");
}

// Guards against ending an answer because its upstream is slow, when nobody else may be asked any more.
TEST_CASE_FIXTURE(Fixture, "the last attempt waits until the deadline") {
  configure(RequestKind::Stream, 2);
  add(always({"", milliseconds(0), true}));
  add(always({streamHead() + events(1, 2) + StreamEnd, milliseconds(1700)}));
  const Answer Got = ask(request());
  CHECK(Got.m_Complete);
  CHECK(Got.m_Body == event(1) + event(2));
}

// Guards against ending an answer because its upstream is slow, when the retries are used up.
TEST_CASE_FIXTURE(Fixture, "a silent stream is waited for while the request may not be sent again") {
  configure(RequestKind::Stream, 3);
  m_State->budgetOf(ServiceId("s")).setBounds(0.0, 0.0);
  const std::string Rest = events(2, 2) + StreamEnd;
  add(always({streamHead() + events(1, 1), milliseconds(0), false, milliseconds(1300), Rest}));
  const Answer Got = ask(request());
  CHECK(Got.m_Complete);
  CHECK(Got.m_Body == event(1) + event(2));
}

// Guards against a stream that looks complete though events are missing.
TEST_CASE_FIXTURE(Fixture, "a stream that nobody can finish does not end as complete") {
  configure(RequestKind::Stream, 2);
  add(always({streamHead() + events(1, 2), milliseconds(0), true}));
  add(always({streamHead() + events(4, 5) + StreamEnd}));
  const Answer Got = ask(request());
  CHECK(Got.m_Status == 200);
  CHECK_FALSE(Got.m_Complete);
  CHECK(Got.m_Body == event(1) + event(2));
}

TEST_CASE_FIXTURE(Fixture, "a doubtful answer of the small model is replaced before the caller sees it") {
  configure(RequestKind::Stream, 3, {ModelId("small"), ModelId("large")});
  const ScriptedUpstream::Script Script = [](const std::string &Seen, int) {
    const bool Small = Seen.find("model: small") != std::string::npos;
    const std::string Fields = Small ? "signed: s\r\nconfidence: 10\r\n" : "signed: l\r\nconfidence: 70\r\n";
    return ScriptedReply{streamHead(Fields) + events(1, 2) + StreamEnd};
  };
  ScriptedUpstream &Only = add(Script);
  HttpRequest Sent = request();
  Sent.m_Headers.add("model", "any");
  const Answer Got = ask(std::move(Sent));
  CHECK(Got.m_Complete);
  CHECK(Got.m_Headers.find("signed") == std::string_view("l"));
  CHECK(Only.requests().size() == 2);
}

// Guards against upstreams that work on for callers who have left.
TEST_CASE_FIXTURE(Fixture, "when the caller leaves the upstream's connection is closed at once") {
  configure(RequestKind::Stream, 3);
  ScriptedUpstream &Upstream = add([](const std::string &, int) {
    return ScriptedReply{streamHead() + events(1, 1), milliseconds(0), false, milliseconds(100)};
  });
  asio::ip::tcp::socket Caller(m_Context);
  Caller.connect({asio::ip::make_address("127.0.0.1"), m_Server->address().m_Port});
  asio::write(Caller, asio::buffer(std::string("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nid: a\r\nkey: k\r\n"
                                               "Content-Length: 0\r\n\r\n")));
  runFor(milliseconds(150));
  CHECK(Upstream.closedByPeer() == 0);
  Caller.close();
  runFor(milliseconds(250));
  CHECK(Upstream.closedByPeer() == 1);
}

TEST_CASE_FIXTURE(Fixture, "requests, attempts and their times are counted") {
  configure(RequestKind::Idempotent, 2);
  add(always({"", milliseconds(0), true}));
  add(always({whole("right")}));
  ask(request());
  const std::string Page = m_Metrics.render();
  CHECK(Page.find("bulrushpitch_requests_total{outcome=\"answered\"} 1") != std::string::npos);
  CHECK(Page.find("bulrushpitch_attempts_total{outcome=\"broken\"} 1") != std::string::npos);
  CHECK(Page.find("bulrushpitch_request_seconds_count{kind=\"idempotent\"} 1") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "each attempt and each request leaves a line in the log") {
  configure(RequestKind::Idempotent, 2);
  add(always({"", milliseconds(0), true}));
  add(always({whole("right")}));
  ask(request());
  m_Log->flush();
  CHECK(m_Lines.find("\"event\":\"attempt_ended\",\"request\":\"attempt-1\",\"upstream\":\"u1\"") !=
        std::string::npos);
  CHECK(m_Lines.find("\"outcome\":\"broken\"") != std::string::npos);
  CHECK(m_Lines.find("\"event\":\"request_ended\",\"request\":\"attempt-1\"") != std::string::npos);
}
