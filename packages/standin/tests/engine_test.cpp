#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/standin/answers.h"
#include "bulrushpitch/standin/engine.h"
#include "loop.h"

using namespace bulrushpitch;
using namespace bulrushpitch::standin;

namespace {

const std::string Content = "How long is my set?";
const std::string Prompt = "user:" + Content + "\n";

EngineSettings fastEngine() {
  EngineSettings Settings;
  Settings.m_BaseGap = std::chrono::microseconds(200);
  Settings.m_StreamGap = std::chrono::microseconds(10);
  Settings.m_LoadTime = Milliseconds(1);
  Settings.m_Process.m_StartsWarm = true;
  return Settings;
}

json request(std::size_t MaxTokens = 1'000, const std::string &Text = Content) {
  return {{"attempt", "a-1"},
          {"version", "v1"},
          {"prompt", {{{"role", "user"}, {"content", Text}}}},
          {"maxTokens", MaxTokens},
          {"priority", 5}};
}

/// The frames of a stream, put together and checked for gaps.
struct Frames {
  explicit Frames(const HttpResponse &Response, std::size_t Start = 0) : m_Next(Start) {
    REQUIRE(Response.m_Status == 200);
    std::istringstream Lines(Response.m_Body);
    std::string Line;
    std::getline(Lines, Line);
    m_First = json::parse(Line);
    while (std::getline(Lines, Line)) {
      const json Frame = json::parse(Line);
      CHECK(Frame.at("offset") == m_Next);
      m_Last = Frame;
      if (!Frame.contains("text"))
        continue;
      m_Text += Frame.at("text").get<std::string>();
      m_Next += Frame.at("text").get<std::string>().size();
      m_Tokens += Frame.at("tokens").get<std::size_t>();
    }
    CHECK(m_Last.value("done", false));
  }

  json m_First;
  json m_Last;
  std::string m_Text;
  std::size_t m_Next;
  std::size_t m_Tokens = 0;
};

} // namespace

TEST_CASE("an answer is whole, belongs to its prompt and counts its tokens") {
  Loop Test;
  EngineStandin Engine(Test.m_Context, fastEngine());
  Test.start(Engine);
  const Frames Answer(Test.post(Engine.address(), "/generate", request()));
  CHECK(checkAnswer(Prompt, Answer.m_Text, 1'000).empty());
  CHECK_FALSE(checkAnswer("user:Another?\n", Answer.m_Text, 1'000).empty());
  CHECK(Answer.m_Tokens == Answer.m_Last.at("completionTokens"));
  CHECK(Answer.m_Last.at("finishReason") == "stop");
  CHECK(Answer.m_First.at("attempt") == "a-1");
  const double Rating = rateAnswer(Prompt, Answer.m_Text);
  CHECK(Rating >= 0.7);
  CHECK(Rating <= 0.9);
  const Frames Short(Test.post(Engine.address(), "/generate", request(5)));
  CHECK(Short.m_Last.at("finishReason") == "length");
  CHECK(Short.m_Tokens == 5);
  CHECK(checkAnswer(Prompt, Short.m_Text, 5).empty());
}

TEST_CASE("a stream resumes at an offset, and another engine continues its text") {
  Loop Test;
  EngineStandin Engine(Test.m_Context, fastEngine());
  EngineStandin Other(Test.m_Context, fastEngine());
  Test.start(Engine);
  Test.start(Other);
  const Frames Whole(Test.post(Engine.address(), "/generate", request()));
  const std::string Id = Whole.m_First.at("stream");
  const Frames Rest(Test.get(Engine.address(), "/streams/" + Id + "?offset=7"), 7);
  CHECK(Rest.m_Text == Whole.m_Text.substr(7));
  CHECK(Test.get(Engine.address(), "/streams/" + Id + "?offset=999999").m_Status == 400);
  CHECK(Test.get(Engine.address(), "/streams/none?offset=0").m_Status == 404);

  // The other engine rates the version lower; the text must go on as it began.
  Test.post(Other.address(), "/standin/quality", {{"version", "v1"}, {"quality", 0.1}});
  const Frames Start(Test.post(Engine.address(), "/generate", request(4)));
  json Continued = request();
  Continued["continueFrom"] = Start.m_Text;
  const Frames End(Test.post(Other.address(), "/generate", Continued), Start.m_Text.size());
  CHECK(Start.m_Text + End.m_Text == Whole.m_Text);
  CHECK(End.m_Tokens + 4 == Whole.m_Tokens);
  Continued["continueFrom"] = "something else";
  CHECK(Test.post(Other.address(), "/generate", Continued).m_Status == 400);
}

TEST_CASE("a cold engine falls over above its limit, loses its streams and gets a new start id") {
  Loop Test;
  EngineSettings Settings = fastEngine();
  Settings.m_Process.m_StartsWarm = false;
  Settings.m_Process.m_WarmUp = std::chrono::hours(1);
  Settings.m_BaseGap = std::chrono::milliseconds(20);
  EngineStandin Engine(Test.m_Context, Settings);
  Test.start(Engine);
  const std::string StartId = Engine.process().startId();
  std::optional<Expected<HttpResponse>> First;
  boost::asio::co_spawn(
      Test.m_Context,
      Loop::keep(Test.m_Client.exchange(Engine.address(),
                                        HttpRequest{"POST", "/generate", {}, request().dump()},
                                        std::chrono::seconds(20)),
                 First),
      boost::asio::detached);
  Test.waitFor(Milliseconds(50));
  const HttpResponse Second = Test.post(Engine.address(), "/generate", request());
  CHECK(Second.m_Status == 503);
  CHECK(json::parse(Second.m_Body).at("ran") == "no");
  while (!First)
    Test.waitFor(Milliseconds(5));
  CHECK_FALSE(*First);
  CHECK(Engine.process().startId() != StartId);
  CHECK(Engine.process().fallOvers() == 1);
  CHECK(Test.get(Engine.address(), "/load").m_Status == 503);
  const json Audit = json::parse(Test.get(Engine.address(), "/audit").m_Body);
  CHECK(Audit.at("attempts").at(0).at("finishReason") == "lost");
}

TEST_CASE("the limit of a cold process rises linearly and a warm one refuses without falling over") {
  TimePoint Now{std::chrono::hours(10)};
  ProcessSettings Settings;
  Settings.m_Capacity = 11;
  Settings.m_ColdLimit = 1;
  Settings.m_WarmUp = Milliseconds(1'000);
  Process Warming(Settings, [&Now] { return Now; });
  CHECK(Warming.limit() == 1);
  Now += Milliseconds(500);
  CHECK(Warming.limit() == 6);
  CHECK(Warming.admit(5) == Process::Admission::Accepted);
  CHECK(Warming.report(Milliseconds(0)).at("cold") == true);
  Now += Milliseconds(500);
  CHECK(Warming.limit() == 11);
  CHECK(Warming.admit(11) == Process::Admission::Refused);
  CHECK(Warming.report(Milliseconds(0)).at("cold") == false);
  CHECK(Warming.report(Milliseconds(100)).at("cold") == true);
  Warming.turnCold(1);
  CHECK(Warming.admit(1) == Process::Admission::Refused);
  CHECK(Warming.admit(1) == Process::Admission::FallenOver);
  CHECK(Warming.starting());
}

TEST_CASE("a cancelled stream ends and frees its place") {
  Loop Test;
  EngineSettings Settings = fastEngine();
  Settings.m_BaseGap = std::chrono::milliseconds(5);
  EngineStandin Engine(Test.m_Context, Settings);
  Test.start(Engine);
  Engine.faults().m_LoseNext = 1;
  const Expected<HttpResponse> Lost =
      Test.send(Engine.address(), HttpRequest{"POST", "/generate", {}, request(1'000, "len=5000").dump()});
  CHECK_FALSE(Lost);
  const HttpResponse Cancelled = Test.get(Engine.address(), "/streams/s-1", "DELETE");
  CHECK(json::parse(Cancelled.m_Body).at("finishReason") == "cancelled");
  const json Stats = json::parse(Test.get(Engine.address(), "/standin/stats").m_Body);
  CHECK(Stats.at("cancelled") == 1);
  CHECK(Engine.process().report(Milliseconds(0)).at("running") == 0);
}

TEST_CASE("an engine that checks fencing numbers refuses old orders, another takes them") {
  for (const bool Checks : {true, false}) {
    Loop Test;
    EngineSettings Settings = fastEngine();
    Settings.m_ChecksFencing = Checks;
    EngineStandin Engine(Test.m_Context, Settings);
    Test.start(Engine);
    json Order{{"orderId", "o-1"},
               {"kind", "load-version"},
               {"target", "v9"},
               {"fencing", 6},
               {"expiresAt", unixMilliseconds() + 60'000}};
    CHECK(Test.post(Engine.address(), "/orders", Order).m_Status == 202);
    Order["orderId"] = "o-2";
    Order["fencing"] = 5;
    CHECK(Test.post(Engine.address(), "/orders", Order).m_Status == (Checks ? 409 : 202));
    Order["orderId"] = "o-3";
    Order["fencing"] = 6;
    Order["expiresAt"] = unixMilliseconds() - 1;
    CHECK(Test.post(Engine.address(), "/orders", Order).m_Status == 410);
    Test.waitFor(Milliseconds(30));
    const json State = json::parse(Test.get(Engine.address(), "/orders").m_Body);
    CHECK(State.at("versions") == json::array({"v1", "v9"}));
    CHECK(State.at("lastOrder") == (Checks ? "o-1" : "o-2"));
  }
}

TEST_CASE("the prefix cache reports what it holds, and a repeated prompt is read from it") {
  Loop Test;
  EngineSettings Settings = fastEngine();
  Settings.m_EventLag = Milliseconds(0);
  Settings.m_EventLoss = 0;
  EngineStandin Engine(Test.m_Context, Settings);
  Test.start(Engine);
  const std::string Long(600, 'x');
  CHECK(Frames(Test.post(Engine.address(), "/generate", request(5, Long))).m_First.at("cachedTokens") == 0);
  CHECK(Frames(Test.post(Engine.address(), "/generate", request(5, Long))).m_First.at("cachedTokens") == 128);
  const json Events = json::parse(Test.get(Engine.address(), "/cache-events?after=1").m_Body);
  CHECK(Events.at("events").size() == 1);
  const std::string Prefix = hexText(prefixHashes("user:" + Long + "\n").front());
  CHECK(Test.get(Engine.address(), "/kv/" + Prefix + "?version=v1").m_Status == 200);
  CHECK(Test.get(Engine.address(), "/kv/" + Prefix + "?version=v2").m_Status == 404);
}
