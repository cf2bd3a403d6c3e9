#include "bulrushpitch/platform/http_platform.h"
#include "bulrushpitch/standin/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace bulrushpitch;
using bulrushpitch::standin::Faults;
using bulrushpitch::standin::PlatformPart;
using bulrushpitch::standin::PlatformSettings;
using bulrushpitch::standin::PlatformStandin;
namespace asio = boost::asio;

namespace {

/// Long enough that a busy machine does not reach it.
constexpr std::chrono::milliseconds Timeout{10'000};
constexpr std::chrono::milliseconds ShortTimeout{50};

/// The stand-in platform and its clients in one process, joined by loopback.
struct Fixture {
  asio::io_context m_Context;
  PlatformStandin m_Platform;
  std::optional<HttpTableService> m_Table;
  std::optional<HttpObjectStore> m_Objects;
  std::optional<HttpInstanceList> m_Instances;
  std::optional<HttpRatingService> m_Ratings;
  std::optional<HttpWeightStore> m_Weights;

  explicit Fixture(PlatformSettings Settings = {}) : m_Platform(m_Context, Settings) {
    const Expected<Done> Started = capture([this]() -> Result<void> { return m_Platform.start(); });
    REQUIRE(Started);
    const Endpoint Address = m_Platform.address();
    m_Table.emplace(m_Context, Address, Timeout);
    m_Objects.emplace(m_Context, Address, Timeout);
    m_Instances.emplace(m_Context, Address, Timeout);
    m_Ratings.emplace(m_Context, Address, Timeout);
    m_Weights.emplace(m_Context, Address, Timeout);
  }

  /// Keeps the outcome of a coroutine. co_spawn needs a result that can be default-constructed.
  template <typename T>
  static asio::awaitable<void> keep(asio::awaitable<Expected<T>> Call, std::optional<Expected<T>> &Outcome) {
    Outcome = co_await std::move(Call);
  }

  template <typename T> Expected<T> run(asio::awaitable<Expected<T>> Call) {
    std::optional<Expected<T>> Outcome;
    asio::co_spawn(m_Context, keep(std::move(Call), Outcome), asio::detached);
    m_Context.restart();
    while (!Outcome)
      m_Context.run_one();
    return *Outcome;
  }

  void waitFor(std::chrono::milliseconds Time) {
    m_Context.restart();
    m_Context.run_for(Time);
  }

  HttpResponse control(const std::string &Path, const std::string &Body) {
    HttpClient Client(m_Context, "control");
    const Expected<HttpResponse> Response =
        run(Client.exchange(m_Platform.address(), HttpRequest{"POST", Path, {}, Body}, Timeout));
    REQUIRE(Response);
    return *Response;
  }

  Faults &table() { return m_Platform.faults(PlatformPart::Table); }
};

RowWrite insert(std::string Key, std::string Value) {
  return RowWrite{std::move(Key), std::move(Value), WriteCondition::Absent, 0, false};
}

} // namespace

TEST_CASE("the table client keeps keys and values whole, whatever bytes they have") {
  Fixture Platform;
  const std::string Key = "claim/guild & co/r=1?%2F ü";
  const Expected<CommitOutcome> Outcome =
      Platform.run(Platform.m_Table->commit({insert(Key, "{\"a\":\"\\n\"}"), insert("claim/z", "")}));
  REQUIRE(Outcome);
  CHECK(Outcome->m_Committed);
  CHECK(Outcome->m_Written == std::vector<bool>{true, true});
  const Expected<std::optional<Row>> Found = Platform.run(Platform.m_Table->get(Key));
  REQUIRE(Found);
  REQUIRE(*Found);
  CHECK((*Found)->m_Value == "{\"a\":\"\\n\"}");
  CHECK((*Found)->m_RowVersion == 1);
  const Expected<std::vector<Row>> Rows = Platform.run(Platform.m_Table->scan("claim/", 1));
  REQUIRE(Rows);
  REQUIRE(Rows->size() == 1);
  CHECK(Rows->front().m_Key == Key);
  const Expected<std::optional<Row>> Absent = Platform.run(Platform.m_Table->get("claim/none"));
  REQUIRE(Absent);
  CHECK_FALSE(*Absent);
  const PlatformCounters Counters = Platform.m_Table->counters();
  CHECK(Counters.m_Reads == 3);
  CHECK(Counters.m_Writes == 1);
  CHECK(Counters.m_Failures == 0);
  CHECK(Counters.m_BytesSent > 0);
  CHECK(Counters.m_BytesReceived > 0);
}

TEST_CASE("a transaction that the service would refuse is not sent") {
  Fixture Platform;
  const Expected<CommitOutcome> Empty = Platform.run(Platform.m_Table->commit({}));
  REQUIRE_FALSE(Empty);
  CHECK(Empty.error().m_Ran == Ran::No);
  const Expected<CommitOutcome> Large =
      Platform.run(Platform.m_Table->commit(std::vector<RowWrite>(101, insert("a", "b"))));
  REQUIRE_FALSE(Large);
  CHECK(Large.error().m_Code == ErrorCode::PlatformProtocol);
  const Expected<CommitOutcome> Binary = Platform.run(Platform.m_Table->commit({insert("a", "\xff")}));
  REQUIRE_FALSE(Binary);
  CHECK(Binary.error().m_Ran == Ran::No);
  CHECK(Platform.m_Table->counters().m_Writes == 0);
}

TEST_CASE("a write whose answer is lost reports an unknown outcome, and the row is there") {
  Fixture Platform;
  Platform.table().m_LoseNext = 1;
  const Expected<CommitOutcome> Lost = Platform.run(Platform.m_Table->commit({insert("claim/1", "mine")}));
  REQUIRE_FALSE(Lost);
  CHECK(Lost.error().m_Code == ErrorCode::PlatformUnavailable);
  CHECK(Lost.error().m_Ran == Ran::Unknown);
  const Expected<std::optional<Row>> Found = Platform.run(Platform.m_Table->get("claim/1"));
  REQUIRE(Found);
  REQUIRE(*Found);
  CHECK((*Found)->m_Value == "mine");
}

TEST_CASE("a service that is down leaves a write unknown and a read as not run") {
  Fixture Platform;
  Platform.table().m_Down = true;
  const Expected<CommitOutcome> Write = Platform.run(Platform.m_Table->commit({insert("a", "b")}));
  REQUIRE_FALSE(Write);
  CHECK(Write.error().m_Code == ErrorCode::PlatformUnavailable);
  CHECK(Write.error().m_Ran == Ran::Unknown);
  const Expected<std::optional<Row>> Read = Platform.run(Platform.m_Table->get("a"));
  REQUIRE_FALSE(Read);
  CHECK(Read.error().m_Ran == Ran::No);
  CHECK(Platform.m_Table->counters().m_Failures == 2);
}

TEST_CASE("a refused connection and a stated refusal are errors 601 with ran: no, also for writes") {
  Fixture Platform;
  HttpTableService Nowhere(Platform.m_Context, Endpoint{"127.0.0.1", 1}, Timeout);
  const Expected<CommitOutcome> Unconnected = Platform.run(Nowhere.commit({insert("a", "b")}));
  REQUIRE_FALSE(Unconnected);
  CHECK(Unconnected.error().m_Code == ErrorCode::PlatformUnavailable);
  CHECK(Unconnected.error().m_Ran == Ran::No);
  Platform.table().m_Refuse = true;
  const Expected<CommitOutcome> Refused = Platform.run(Platform.m_Table->commit({insert("a", "b")}));
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().m_Code == ErrorCode::PlatformUnavailable);
  CHECK(Refused.error().m_Ran == Ran::No);
}

TEST_CASE("a slow service ends a call with error 602, and its write may still take effect") {
  Fixture Platform;
  Platform.table().m_Slow = 4 * ShortTimeout;
  HttpTableService Hasty(Platform.m_Context, Platform.m_Platform.address(), ShortTimeout);
  const Expected<CommitOutcome> Late = Platform.run(Hasty.commit({insert("a", "b")}));
  REQUIRE_FALSE(Late);
  CHECK(Late.error().m_Code == ErrorCode::PlatformTimeout);
  CHECK(Late.error().m_Ran == Ran::Unknown);
  Platform.waitFor(4 * ShortTimeout);
  Platform.table().m_Slow = standin::Milliseconds(0);
  const Expected<std::optional<Row>> Found = Platform.run(Platform.m_Table->get("a"));
  REQUIRE(Found);
  CHECK(*Found);
}

TEST_CASE("an answer that is not JSON is error 603 and leaves a write unknown") {
  Fixture Platform;
  Platform.table().m_MalformedNext = 2;
  const Expected<CommitOutcome> Write = Platform.run(Platform.m_Table->commit({insert("a", "b")}));
  REQUIRE_FALSE(Write);
  CHECK(Write.error().m_Code == ErrorCode::PlatformProtocol);
  CHECK(Write.error().m_Ran == Ran::Unknown);
  CHECK(Write.error().m_Peer == "table service " + Platform.m_Platform.address().toString());
  const Expected<std::optional<Row>> Read = Platform.run(Platform.m_Table->get("a"));
  REQUIRE_FALSE(Read);
  CHECK(Read.error().m_Ran == Ran::No);
}

TEST_CASE("writes above the rate are refused as not run once the queue is full") {
  PlatformSettings Settings;
  Settings.m_WritesPerSecond = 1;
  Settings.m_QueueLimit = 0;
  Fixture Platform(Settings);
  CHECK(Platform.run(Platform.m_Table->commit({insert("a", "b")})));
  const Expected<CommitOutcome> Refused = Platform.run(Platform.m_Table->commit({insert("c", "d")}));
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().m_Ran == Ran::No);
}

TEST_CASE("objects are immutable and raw") {
  Fixture Platform;
  const std::string Content("\0\xff{}", 4);
  CHECK(Platform.run(Platform.m_Objects->put("config/12-p 1", Content)));
  CHECK(Platform.run(Platform.m_Objects->put("config/12-p 1", Content)));
  const Expected<Done> Other = Platform.run(Platform.m_Objects->put("config/12-p 1", "other"));
  REQUIRE_FALSE(Other);
  CHECK(Other.error().m_Code == ErrorCode::ConditionFailed);
  CHECK(Other.error().m_Ran == Ran::No);
  const Expected<std::string> Found = Platform.run(Platform.m_Objects->get("config/12-p 1"));
  REQUIRE(Found);
  CHECK(*Found == Content);
  const Expected<std::string> Absent = Platform.run(Platform.m_Objects->get("config/13"));
  REQUIRE_FALSE(Absent);
  CHECK(Absent.error().m_Code == ErrorCode::ObjectNotFound);
}

TEST_CASE("the instance list shows a change only after its lag") {
  Fixture Platform;
  Platform.m_Platform.faults(PlatformPart::Instances).m_Lag = std::chrono::hours(1);
  Platform.control("/standin/instances",
                   R"({"put":[{"name":"d1","kind":"daemon","domain":"west-a","address":"127.0.0.1:7301",
                       "admin":"127.0.0.1:7401","startId":"d1-1","leaving":true}]})");
  const Expected<std::vector<ListedInstance>> Early = Platform.run(Platform.m_Instances->list());
  REQUIRE(Early);
  CHECK(Early->empty());
  Platform.m_Platform.faults(PlatformPart::Instances).m_Lag = std::chrono::milliseconds(0);
  const Expected<std::vector<ListedInstance>> Late = Platform.run(Platform.m_Instances->list());
  REQUIRE(Late);
  REQUIRE(Late->size() == 1);
  CHECK(Late->front().m_Name == "d1");
  CHECK(Late->front().m_Kind == ListedInstance::Kind::Daemon);
  CHECK(Late->front().m_Admin == Endpoint{"127.0.0.1", 7401});
  CHECK(Late->front().m_Leaving);
}

TEST_CASE("the rating and weight clients read their services") {
  Fixture Platform;
  const Expected<double> Rated =
      Platform.run(Platform.m_Ratings->rate({TaskName("t"), VersionId("v1"), "user:hello\n", "hello"}));
  REQUIRE(Rated);
  CHECK(*Rated == 0.0);
  Platform.control("/standin/weights", R"({"versions":["v1","v2"]})");
  const Expected<std::vector<VersionId>> Versions = Platform.run(Platform.m_Weights->versions());
  REQUIRE(Versions);
  CHECK(*Versions == std::vector<VersionId>{VersionId("v1"), VersionId("v2")});
}
