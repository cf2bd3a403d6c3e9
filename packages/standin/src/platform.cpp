#include "bulrushpitch/standin/platform.h"

#include "bulrushpitch/platform/detail/wire.h"
#include "bulrushpitch/platform/testing/memory_table.h"
#include "bulrushpitch/standin/answers.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

namespace bulrushpitch::standin {

namespace asio = boost::asio;
using bulrushpitch::testing::MemoryTable;

namespace {

constexpr std::array<std::string_view, 5> PartNames{"table", "objects", "instances", "ratings", "weights"};
constexpr std::size_t MaxScan = 10'000;

/// Spaces requests out to a rate; those that would wait too long are refused.
class RateQueue {
public:
  RateQueue(double PerSecond, std::size_t QueueLimit)
      : m_Interval(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / PerSecond))),
        m_MaxWait(m_Interval * static_cast<std::int64_t>(QueueLimit)) {}

  /// @return how long to wait; nothing if the queue is full
  std::optional<Duration> reserve() {
    const TimePoint Now = std::chrono::steady_clock::now();
    const TimePoint Turn = std::max(Now, m_Next);
    if (Turn - Now > m_MaxWait)
      return std::nullopt;
    m_Next = Turn + m_Interval;
    return Turn - Now;
  }

private:
  Duration m_Interval;
  Duration m_MaxWait;
  TimePoint m_Next;
};

json rowJson(const Row &Shown) {
  return {{"key", Shown.m_Key}, {"value", Shown.m_Value}, {"rowVersion", Shown.m_RowVersion}};
}

json rowsJson(const std::vector<Row> &Rows) {
  json Shown = json::array();
  for (const Row &Each : Rows)
    Shown.push_back(rowJson(Each));
  return Shown;
}

} // namespace

class PlatformStandin::State {
public:
  explicit State(const PlatformSettings &Settings)
      : m_RatingTime(Settings.m_RatingTime), m_Writes(Settings.m_WritesPerSecond, Settings.m_QueueLimit),
        m_Reads(Settings.m_ReadsPerSecond, Settings.m_QueueLimit),
        m_WeightReads(Settings.m_WeightReadsPerSecond, Settings.m_QueueLimit) {
    faults(PlatformPart::Instances).m_Lag = Settings.m_ListLag;
    m_ListHistory.emplace_back(TimePoint(), json::array());
  }

  asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer) {
    const std::string Path(Request.path());
    if (Path.starts_with("/standin/")) {
      static_cast<void>(
          co_await Writer.send(guarded([this, &Path, &Request] { return control(Path, Request); })));
      co_return;
    }
    const std::optional<PlatformPart> Part = partOf(Path);
    if (!Part) {
      static_cast<void>(co_await Writer.send(refusal(404, "no such path")));
      co_return;
    }
    if (!co_await enter(faults(*Part), m_Counts, Writer))
      co_return;
    const bool Write = Path == "/table/transactions" || Request.m_Method == "PUT";
    const std::optional<Duration> Wait = reserve(*Part, Write);
    if (!Wait) {
      ++m_Counts.m_Refused;
      co_await answer(faults(*Part), m_Counts, Writer, refusal(503, "overloaded"), false);
      co_return;
    }
    if (*Wait > Duration(0))
      co_await sleepFor(*Wait);
    HttpResponse Response = guarded([this, Part, &Path, &Request] { return route(*Part, Path, Request); });
    co_await answer(faults(*Part), m_Counts, Writer, std::move(Response),
                    Write || *Part == PlatformPart::Ratings);
  }

  Faults &faults(PlatformPart Part) { return m_Faults.at(static_cast<std::size_t>(Part)); }

private:
  static std::optional<PlatformPart> partOf(const std::string &Path) {
    for (std::size_t Index = 0; Index < PartNames.size(); ++Index) {
      const std::string Start = "/" + std::string(PartNames.at(Index));
      if (Path == Start || Path.starts_with(Start + "/"))
        return static_cast<PlatformPart>(Index);
    }
    return std::nullopt;
  }

  /// @return how long the request waits for its turn; nothing if it is refused
  std::optional<Duration> reserve(PlatformPart Part, bool Write) {
    switch (Part) {
    case PlatformPart::Instances:
      return Duration(0);
    case PlatformPart::Ratings:
      return m_RatingTime;
    case PlatformPart::Weights:
      return m_WeightReads.reserve();
    case PlatformPart::Table:
    case PlatformPart::Objects:
      break;
    }
    ++(Write ? m_WriteCount : m_ReadCount);
    return (Write ? m_Writes : m_Reads).reserve();
  }

  HttpResponse route(PlatformPart Part, const std::string &Path, const HttpRequest &Request) {
    switch (Part) {
    case PlatformPart::Table:
      return table(Path, Request);
    case PlatformPart::Objects:
      return object(Path.substr(9), Request);
    case PlatformPart::Instances:
      return instances();
    case PlatformPart::Ratings:
      return rating(json::parse(Request.m_Body));
    case PlatformPart::Weights:
      break;
    }
    return jsonResponse(200, {{"versions", m_Weights}});
  }

  HttpResponse table(const std::string &Path, const HttpRequest &Request) {
    if (Path == "/table/row") {
      const std::optional<Row> Found = m_Table.get(queryText(Request, "key"));
      return jsonResponse(200, {{"row", Found ? rowJson(*Found) : json()}});
    }
    if (Path == "/table/rows") {
      const std::string Limit = queryText(Request, "limit");
      const std::size_t Rows = std::min<std::size_t>(MaxScan, Limit.empty() ? MaxScan : std::stoull(Limit));
      return jsonResponse(200, {{"rows", rowsJson(m_Table.scan(queryText(Request, "prefix"), Rows))}});
    }
    if (Path != "/table/transactions" || Request.m_Method != "POST")
      return refusal(404, "no such path");
    const Expected<std::vector<RowWrite>> Writes = bulrushpitch::detail::decodeTransaction(Request.m_Body);
    if (!Writes)
      throw BadRequest(Writes.error().m_Detail);
    const std::string Fault = MemoryTable::validationError(*Writes);
    if (!Fault.empty())
      throw BadRequest(Fault);
    const CommitOutcome Outcome = m_Table.commit(*Writes);
    return jsonResponse(200, {{"committed", Outcome.m_Committed},
                              {"rows", rowsJson(Outcome.m_Rows)},
                              {"written", Outcome.m_Written}});
  }

  HttpResponse object(const std::string &EncodedName, const HttpRequest &Request) {
    const std::optional<std::string> Name = bulrushpitch::detail::percentDecode(EncodedName);
    if (!Name || Name->empty())
      throw BadRequest("malformed object name");
    const auto Known = m_Objects.find(*Name);
    if (Request.m_Method == "PUT") {
      if (Known != m_Objects.end() && Known->second != Request.m_Body)
        return refusal(409, "object exists with other content");
      m_Objects[*Name] = Request.m_Body;
      return jsonResponse(201, {{"stored", true}});
    }
    if (Known == m_Objects.end())
      return refusal(404, "no such object");
    HttpResponse Response;
    Response.m_Headers.add("Content-Type", "application/octet-stream");
    Response.m_Body = Known->second;
    return Response;
  }

  HttpResponse instances() {
    const Milliseconds Lag = faults(PlatformPart::Instances).m_Lag;
    const TimePoint Shown = std::chrono::steady_clock::now() - Lag;
    const auto At = std::find_if(m_ListHistory.rbegin(), m_ListHistory.rend(),
                                 [Shown](const auto &Candidate) { return Candidate.first <= Shown; });
    return jsonResponse(200, {{"ageMs", Lag.count()},
                              {"instances", At == m_ListHistory.rend() ? json::array() : At->second}});
  }

  HttpResponse rating(const json &Body) {
    ++m_RatingCount;
    static_cast<void>(Body.at("task").get<std::string>());
    static_cast<void>(Body.at("version").get<std::string>());
    const double Quality =
        rateAnswer(Body.at("prompt").get<std::string>(), Body.at("answer").get<std::string>());
    return jsonResponse(200, {{"quality", Quality}});
  }

  HttpResponse control(const std::string &Path, const HttpRequest &Request) {
    if (Path == "/standin/stats")
      return jsonResponse(200, {{"reads", m_ReadCount},
                                {"writes", m_WriteCount},
                                {"refused", m_Counts.m_Refused},
                                {"lost", m_Counts.m_Lost},
                                {"rows", m_Table.size()},
                                {"objects", m_Objects.size()},
                                {"ratings", m_RatingCount}});
    const json Body = json::parse(Request.m_Body);
    if (Path == "/standin/faults")
      return setFaults(Body);
    if (Path == "/standin/instances")
      return changeInstances(Body);
    if (Path == "/standin/weights") {
      m_Weights = Body.at("versions").get<std::set<std::string>>();
      return jsonResponse(200, {{"versions", m_Weights}});
    }
    return refusal(404, "no such path");
  }

  HttpResponse setFaults(const json &Body) {
    const std::string Name = Body.value("service", std::string());
    json Shown;
    for (std::size_t Index = 0; Index < PartNames.size(); ++Index)
      if (Name.empty() || Name == PartNames.at(Index)) {
        m_Faults.at(Index).set(Body);
        Shown = m_Faults.at(Index).toJson();
      }
    return Shown.is_null() ? refusal(400, "no service " + Name) : jsonResponse(200, Shown);
  }

  HttpResponse changeInstances(const json &Body) {
    for (const json &Entry : Body.value("put", json::array()))
      m_Instances[Entry.at("name").get<std::string>()] = Entry;
    for (const json &Name : Body.value("remove", json::array()))
      m_Instances.erase(Name.get<std::string>());
    json Listed = json::array();
    for (const std::pair<const std::string, json> &Entry : m_Instances)
      Listed.push_back(Entry.second);
    m_ListHistory.emplace_back(std::chrono::steady_clock::now(), Listed);
    if (m_ListHistory.size() > MaxHistory)
      m_ListHistory.pop_front();
    return jsonResponse(200, {{"instances", Listed}});
  }

  static constexpr std::size_t MaxHistory = 1'000;

  Milliseconds m_RatingTime;
  std::array<Faults, PartNames.size()> m_Faults;
  FaultCounts m_Counts;
  RateQueue m_Writes;
  RateQueue m_Reads;
  RateQueue m_WeightReads;
  std::uint64_t m_WriteCount = 0;
  std::uint64_t m_ReadCount = 0;
  std::uint64_t m_RatingCount = 0;
  MemoryTable m_Table;
  std::map<std::string, std::string> m_Objects;
  std::map<std::string, json> m_Instances; ///< The actual state, by name.
  std::deque<std::pair<TimePoint, json>> m_ListHistory;
  std::set<std::string> m_Weights;
};

PlatformStandin::PlatformStandin(asio::io_context &Context, PlatformSettings Settings)
    : m_State(std::make_shared<State>(Settings)) {
  const std::size_t Ports = Settings.m_Separate ? PartNames.size() : 1;
  for (std::size_t Index = 0; Index < Ports; ++Index) {
    Endpoint Address = Settings.m_Address;
    if (Address.m_Port != 0)
      Address.m_Port = static_cast<std::uint16_t>(Address.m_Port + Index);
    m_Servers.push_back(std::make_unique<HttpServer>(
        Context, Address, ServerLimits{},
        [State = m_State](HttpRequest &Request, ResponseWriter &Writer) -> asio::awaitable<void> {
          co_await State->handle(Request, Writer);
        },
        renderError));
  }
}
PlatformStandin::~PlatformStandin() = default;
Result<void> PlatformStandin::start() {
  for (const std::unique_ptr<HttpServer> &Server : m_Servers) {
    Result<void> Started = Server->start();
    if (!Started)
      return Started;
  }
  return {};
}
Endpoint PlatformStandin::address() const { return m_Servers.front()->address(); }
Faults &PlatformStandin::faults(PlatformPart Part) { return m_State->faults(Part); }

} // namespace bulrushpitch::standin
