#include "bulrushpitch/standin/engine.h"

#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/standin/answers.h"
#include "prefix_cache.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <set>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds KeepFinished{60};
constexpr std::size_t MaxAudit = 100'000;
constexpr std::size_t BytesPerToken = 4;
constexpr double DefaultQuality = 0.7;
constexpr std::uint64_t MaxKvBytes = 1ULL << 30U;

struct AuditEntry {
  std::string m_Attempt;
  std::string m_Version;
  std::int64_t m_At = 0;
  std::size_t m_CompletionTokens = 0;
  std::string m_FinishReason;
  bool m_Leaving = false;
};

struct Stream {
  explicit Stream(asio::io_context &Context) : m_Changed(Context, asio::steady_timer::time_point::max()) {}

  std::size_t producedBytes() const { return m_Produced == 0 ? 0 : m_Text.m_Ends[m_Produced - 1]; }
  bool finished() const { return !m_Audit->m_FinishReason.empty(); }
  bool lost() const { return m_Audit->m_FinishReason == "lost"; }
  std::size_t completionTokens() const { return m_Produced - m_Start; }

  std::string m_Id;
  std::string m_StartId;
  TokenText m_Text;
  std::size_t m_Start = 0;    ///< Tokens of the text to continue from.
  std::size_t m_Produced = 0; ///< Tokens so far, with those continued from.
  std::size_t m_End = 0;      ///< Tokens at which generation ends.
  int m_Priority = 0;
  std::size_t m_PromptTokens = 0;
  std::size_t m_CachedTokens = 0;
  TimePoint m_PrefillUntil;
  TimePoint m_FinishedAt;
  std::shared_ptr<AuditEntry> m_Audit = std::make_shared<AuditEntry>();
  asio::steady_timer m_Changed; ///< Cancelled to wake the readers.
};

using StreamPointer = std::shared_ptr<Stream>;

/// A new stream, or the reason why there is none.
struct Accepted {
  StreamPointer m_Stream;
  HttpResponse m_Refusal;
};

} // namespace

class EngineStandin::State : public std::enable_shared_from_this<EngineStandin::State> {
public:
  State(asio::io_context &Context, EngineSettings Settings)
      : m_Context(Context), m_Settings(std::move(Settings)), m_Process(m_Settings.m_Process, systemClock()),
        m_Cache(m_Settings.m_CacheBlocks, m_Settings.m_EventLoss) {
    m_Faults.m_Lag = m_Settings.m_Process.m_Lag;
    for (const std::pair<const std::string, double> &Loaded : m_Settings.m_Versions)
      m_Loaded.insert(Loaded.first);
  }

  asio::awaitable<void> handle(HttpRequest &Request, ResponseWriter &Writer) {
    const std::string Path(Request.path());
    if (Path.starts_with("/standin/") || Path == "/audit") {
      static_cast<void>(
          co_await Writer.send(guarded([this, &Path, &Request] { return control(Path, Request); })));
      co_return;
    }
    if (!co_await enter(m_Faults, m_Counts, Writer))
      co_return;
    if (Path == "/generate" && Request.m_Method == "POST") {
      co_await generate(Request, Writer);
    } else if (Path.starts_with("/streams/") && Request.m_Method == "GET") {
      co_await resume(Path.substr(9), Request, Writer);
    } else {
      HttpResponse Response = guarded([this, &Path, &Request] { return route(Path, Request); });
      co_await answer(m_Faults, m_Counts, Writer, std::move(Response), Path == "/orders");
    }
  }

  void stop() { loseAll(); }

  Process &process() { return m_Process; }
  Faults &faults() { return m_Faults; }

private:
  asio::awaitable<void> generate(HttpRequest &Request, ResponseWriter &Writer) {
    Accepted Outcome;
    HttpResponse Refusal = guarded([this, &Outcome, &Request] {
      Outcome = accept(json::parse(Request.m_Body));
      return Outcome.m_Refusal;
    });
    if (!Outcome.m_Stream) {
      ++m_Counts.m_Refused;
      co_await answer(m_Faults, m_Counts, Writer, std::move(Refusal), false);
      co_return;
    }
    if (m_Faults.m_LoseNext > 0) {
      --m_Faults.m_LoseNext;
      ++m_Counts.m_Lost;
      co_await breakOff(Writer);
      co_return;
    }
    const std::size_t Offset = Outcome.m_Stream->producedBytes();
    co_await deliver(Outcome.m_Stream, Offset, Writer);
  }

  /// Checks a request to generate and starts its stream.
  Accepted accept(const json &Body) {
    const std::string Version = Body.at("version").get<std::string>();
    const std::int64_t MaxTokens = Body.at("maxTokens").get<std::int64_t>();
    const std::string Prompt = promptText(Body.at("prompt"));
    if (MaxTokens < 1 || Body.at("prompt").empty())
      throw BadRequest("maxTokens is below 1 or the prompt is empty");
    if (Body.contains("fencing") && !passesFence(Body.at("fencing").get<std::uint64_t>()))
      return {nullptr, oldFence(Body.at("fencing").get<std::uint64_t>())};
    if (!m_Loaded.contains(Version))
      return {nullptr, refusal(404, "version " + Version + " is not loaded")};
    StreamPointer New = std::make_shared<Stream>(m_Context);
    New->m_Priority = Body.at("priority").get<int>();
    New->m_Audit->m_Attempt = Body.at("attempt").get<std::string>();
    New->m_Audit->m_Version = Version;
    if (!prepareText(*New, Version, Prompt, Body))
      return {nullptr, refusal(400, "continueFrom is not the start of this version's answer")};
    New->m_End = std::min(New->m_Start + static_cast<std::size_t>(MaxTokens), New->m_Text.m_Ends.size());
    switch (m_Process.admit(m_Running.size() + m_Queue.size())) {
    case Process::Admission::Accepted:
      break;
    case Process::Admission::Refused:
      return {nullptr, refusal(503, m_Process.starting() ? "the engine is starting" : "the queue is full")};
    case Process::Admission::FallenOver:
      loseAll();
      return {nullptr, refusal(503, "the engine fell over: too much while cold")};
    }
    start(New, Prompt);
    return {New, {}};
  }

  /// Makes the answer's text and finds the token to go on from.
  /// @return false if the text to continue from is not the start of the answer
  bool prepareText(Stream &New, const std::string &Version, const std::string &Prompt, const json &Body) {
    const std::string Before = Body.value("continueFrom", std::string());
    AnswerMark Mark{Version, stableHash(Prompt), m_Settings.m_Versions[Version],
                    answerLength(Prompt, Body.at("prompt").back().at("content").get<std::string>())};
    if (const std::optional<AnswerMark> Earlier = readMark(Before))
      Mark.m_Quality = Earlier->m_Quality;
    New.m_Text = makeAnswer(Mark);
    if (Before.empty())
      return true;
    const auto End = std::find(New.m_Text.m_Ends.begin(), New.m_Text.m_Ends.end(), Before.size());
    if (End == New.m_Text.m_Ends.end() || !New.m_Text.m_Text.starts_with(Before))
      return false;
    New.m_Start = static_cast<std::size_t>(End - New.m_Text.m_Ends.begin()) + 1;
    New.m_Produced = New.m_Start;
    return true;
  }

  void start(const StreamPointer &New, const std::string &Prompt) {
    const TimePoint Now = m_Process.now();
    std::erase_if(m_Streams, [Now](const std::pair<const std::string, StreamPointer> &Old) {
      return Old.second->finished() && Now - Old.second->m_FinishedAt > KeepFinished;
    });
    New->m_Id = "s-" + std::to_string(++m_Started);
    New->m_StartId = m_Process.startId();
    New->m_PromptTokens = (Prompt.size() + BytesPerToken - 1) / BytesPerToken + New->m_Start;
    New->m_CachedTokens =
        m_Cache.use(New->m_Audit->m_Version, prefixHashes(Prompt), Now) * PrefixCache::BlockTokens;
    New->m_Audit->m_At = unixMilliseconds();
    New->m_Audit->m_Leaving = m_Process.leaving();
    m_Audit.push_back(New->m_Audit);
    if (m_Audit.size() > MaxAudit)
      m_Audit.pop_front();
    m_Streams[New->m_Id] = New;
    m_Queue.push_back(New);
    fillBatch();
    if (!m_LoopRuns) {
      m_LoopRuns = true;
      asio::co_spawn(m_Context, generateLoop(shared_from_this()), asio::detached);
    }
  }

  /// Moves waiting streams into the batch, higher priority first, earlier first among equals.
  void fillBatch() {
    while (!m_Queue.empty() && m_Running.size() < m_Settings.m_Process.m_Capacity) {
      const auto First = std::max_element(m_Queue.begin(), m_Queue.end(),
                                          [](const StreamPointer &Left, const StreamPointer &Right) {
                                            return Left->m_Priority < Right->m_Priority;
                                          });
      const StreamPointer Chosen = *First;
      m_Queue.erase(First);
      const double Uncached = static_cast<double>(Chosen->m_PromptTokens - Chosen->m_CachedTokens);
      Chosen->m_PrefillUntil =
          m_Process.now() + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(Uncached / m_Settings.m_PrefillRate));
      m_Running.push_back(Chosen);
    }
    noteLoad();
  }

  void noteLoad() {
    const double Rate = static_cast<double>(m_Running.size()) / std::chrono::duration<double>(gap()).count();
    m_Process.note(m_Running.size(), m_Queue.size(), Rate);
  }

  Duration gap() const {
    return m_Settings.m_BaseGap + m_Settings.m_StreamGap * static_cast<std::int64_t>(m_Running.size());
  }

  static asio::awaitable<void> generateLoop(std::shared_ptr<State> Self) {
    asio::steady_timer Timer(Self->m_Context);
    TimePoint Next = Self->m_Process.now();
    while (!Self->m_Running.empty() || !Self->m_Queue.empty()) {
      const TimePoint Now = Self->m_Process.now();
      // A step that was late is not made up for, but for one gap, so that the rate stays exact on average.
      Next = std::max(Next, Now - Self->gap()) + Self->gap();
      Timer.expires_at(Next);
      co_await Timer.async_wait(asio::use_awaitable);
      if (!Self->m_Faults.m_Paused)
        Self->step();
      else
        Next = Self->m_Process.now();
    }
    Self->m_LoopRuns = false;
  }

  /// Gives each running stream one token.
  void step() {
    const TimePoint Now = m_Process.now();
    for (const StreamPointer &Running : m_Running) {
      if (Running->m_PrefillUntil > Now)
        continue;
      if (Running->m_Produced < Running->m_End) {
        ++Running->m_Produced;
        ++m_Tokens;
      }
      if (Running->m_Produced >= Running->m_End)
        finish(*Running, Running->m_End < Running->m_Text.m_Ends.size() ? "length" : "stop");
      Running->m_Changed.cancel();
    }
    std::erase_if(m_Running, [](const StreamPointer &Running) { return Running->finished(); });
    fillBatch();
  }

  void finish(Stream &Ended, const std::string &Reason) {
    Ended.m_Audit->m_FinishReason = Reason;
    Ended.m_Audit->m_CompletionTokens = Ended.completionTokens();
    Ended.m_FinishedAt = m_Process.now();
    ++m_Ends[Reason];
    Ended.m_Changed.cancel();
  }

  /// Loses all streams and the cache, as the end of the engine process does.
  void loseAll() {
    for (const std::pair<const std::string, StreamPointer> &Known : m_Streams)
      if (!Known.second->finished())
        finish(*Known.second, "lost");
    m_Streams.clear();
    m_Running.clear();
    m_Queue.clear();
    m_Cache.clear();
    m_Process.note(0, 0, 0.0);
  }

  asio::awaitable<void> resume(const std::string &Id, HttpRequest &Request, ResponseWriter &Writer) {
    StreamPointer Found;
    const auto Known = m_Streams.find(Id);
    if (Known != m_Streams.end())
      Found = Known->second;
    HttpResponse Refusal = refusal(404, "no stream " + Id, "unknown");
    std::size_t Offset = 0;
    if (Found) {
      const std::string Text = queryText(Request, "offset");
      const std::from_chars_result Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Offset);
      const bool Beyond = Found->finished() && Offset > Found->producedBytes();
      const bool Inside = Offset < Found->m_Text.m_Text.size() &&
                          (static_cast<unsigned char>(Found->m_Text.m_Text[Offset]) & 0xC0U) == 0x80U;
      if (Parsed.ec != std::errc() || Beyond || Inside) {
        Found = nullptr;
        Refusal = refusal(400, "the offset is not a position in the text");
      }
    }
    if (Found)
      co_await deliver(Found, Offset, Writer);
    else
      co_await answer(m_Faults, m_Counts, Writer, std::move(Refusal), false);
  }

  /// Writes a stream's frames from an offset on, until it ends, the engine fails or the client is gone.
  asio::awaitable<void> deliver(StreamPointer From, std::size_t Offset, ResponseWriter &Writer) {
    HttpHeaders Headers;
    Headers.add("Content-Type", "application/x-ndjson");
    if (!co_await Writer.begin(200, std::move(Headers)))
      co_return;
    std::string Line = firstFrame(*From);
    if (m_Faults.m_MalformedNext > 0) {
      --m_Faults.m_MalformedNext;
      Line = "{\"malformed\":\n";
    }
    while (co_await Writer.write(Line)) {
      while (From->producedBytes() <= Offset && !From->finished()) {
        boost::system::error_code Ignored;
        co_await From->m_Changed.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
      }
      if (From->lost() || m_Faults.m_Down)
        co_return;
      if (From->producedBytes() <= Offset)
        break;
      Line = textFrame(*From, Offset);
      Offset = From->producedBytes();
    }
    if (From->finished() && co_await Writer.write(lastFrame(*From)))
      static_cast<void>(co_await Writer.finish());
  }

  // GCC 12 rejects nested initializer lists inside coroutines, so frames are made in functions.
  static std::string firstFrame(const Stream &From) {
    const json Frame{{"stream", From.m_Id},
                     {"attempt", From.m_Audit->m_Attempt},
                     {"startId", From.m_StartId},
                     {"promptTokens", From.m_PromptTokens},
                     {"cachedTokens", From.m_CachedTokens}};
    return Frame.dump() + "\n";
  }

  static std::string lastFrame(const Stream &From) {
    const json Frame{{"offset", From.producedBytes()},
                     {"done", true},
                     {"completionTokens", From.completionTokens()},
                     {"finishReason", From.m_Audit->m_FinishReason}};
    return Frame.dump() + "\n";
  }

  static std::string textFrame(const Stream &From, std::size_t Offset) {
    const std::vector<std::size_t> &Ends = From.m_Text.m_Ends;
    const auto First = std::upper_bound(Ends.begin(), Ends.end(), Offset);
    const std::size_t Tokens = From.m_Produced - static_cast<std::size_t>(First - Ends.begin());
    const json Frame{{"offset", Offset},
                     {"text", From.m_Text.m_Text.substr(Offset, From.producedBytes() - Offset)},
                     {"tokens", Tokens}};
    return Frame.dump() + "\n";
  }

  HttpResponse route(const std::string &Path, const HttpRequest &Request) {
    if (m_Process.starting())
      return refusal(503, "the engine is starting");
    if (Path == "/load") {
      json Report = m_Process.report(m_Faults.m_Lag);
      Report.update(modelState());
      return jsonResponse(200, Report);
    }
    if (Path == "/cache-events") {
      const std::string After = queryText(Request, "after");
      json Events =
          m_Cache.events(After.empty() ? 0 : std::stoull(After), m_Process.now() - m_Settings.m_EventLag);
      Events["startId"] = m_Process.startId();
      return jsonResponse(200, Events);
    }
    if (Path.starts_with("/streams/") && Request.m_Method == "DELETE")
      return cancel(Path.substr(9));
    if (Path == "/orders")
      return Request.m_Method == "POST" ? order(json::parse(Request.m_Body)) : orders();
    if (Path.starts_with("/kv/"))
      return keysAndValues(Path.substr(4), Request);
    return refusal(404, "no such path");
  }

  json modelState() const { return {{"versions", m_Loaded}, {"adapters", m_Adapters}, {"role", m_Role}}; }

  HttpResponse cancel(const std::string &Id) {
    const auto Known = m_Streams.find(Id);
    if (Known == m_Streams.end())
      return refusal(404, "no stream " + Id, "unknown");
    const StreamPointer Cancelled = Known->second;
    if (!Cancelled->finished()) {
      finish(*Cancelled, "cancelled");
      std::erase(m_Running, Cancelled);
      std::erase(m_Queue, Cancelled);
      fillBatch();
    }
    return jsonResponse(200, {{"stream", Id},
                              {"completionTokens", Cancelled->completionTokens()},
                              {"finishReason", Cancelled->m_Audit->m_FinishReason}});
  }

  bool passesFence(std::uint64_t Number) const {
    return !m_Settings.m_ChecksFencing || Number >= m_HighestFencing;
  }

  HttpResponse oldFence(std::uint64_t Number) const {
    return jsonResponse(409, {{"error", "fencing number " + std::to_string(Number) + " is older than " +
                                            std::to_string(m_HighestFencing)},
                              {"ran", "no"},
                              {"highestFencing", m_HighestFencing}});
  }

  HttpResponse order(const json &Body) {
    const std::string Id = Body.at("orderId").get<std::string>();
    const std::string Kind = Body.at("kind").get<std::string>();
    const std::string Target = Body.at("target").get<std::string>();
    const std::uint64_t Fencing = Body.at("fencing").get<std::uint64_t>();
    const HttpResponse Taken = jsonResponse(202, {{"orderId", Id}, {"accepted", true}});
    if (m_OrderIds.contains(Id))
      return Taken;
    if (!passesFence(Fencing))
      return oldFence(Fencing);
    if (Body.at("expiresAt").get<std::int64_t>() < unixMilliseconds())
      return refusal(410, "order expired");
    if (Kind == "change-role") {
      if (Target != "mixed" && Target != "prefill" && Target != "decode")
        return refusal(400, "unknown role");
      m_Role = Target;
    } else if (Kind == "load-version" || Kind == "load-adapter") {
      m_Loading.insert(Target);
      asio::co_spawn(m_Context, load(shared_from_this(), Kind == "load-version", Target), asio::detached);
    } else {
      return refusal(400, "unknown kind");
    }
    m_OrderIds.insert(Id);
    m_LastOrder = Id;
    m_HighestFencing = std::max(m_HighestFencing, Fencing);
    return Taken;
  }

  static asio::awaitable<void> load(std::shared_ptr<State> Self, bool IsVersion, std::string Target) {
    co_await sleepFor(Self->m_Settings.m_LoadTime);
    Self->m_Loading.erase(Target);
    Self->m_Settings.m_Versions.emplace(Target, DefaultQuality);
    (IsVersion ? Self->m_Loaded : Self->m_Adapters).insert(Target);
  }

  HttpResponse orders() const {
    json Body = modelState();
    Body.update({{"startId", m_Process.startId()},
                 {"loading", m_Loading},
                 {"highestFencing", m_HighestFencing},
                 {"lastOrder", m_LastOrder}});
    return jsonResponse(200, Body);
  }

  HttpResponse keysAndValues(const std::string &Prefix, const HttpRequest &Request) {
    const std::optional<std::uint64_t> Hash = parseHex(Prefix);
    if (!Hash)
      throw BadRequest("the prefix is not 16 hexadecimal digits");
    if (Request.m_Method == "POST") {
      const json Body = json::parse(Request.m_Body);
      const std::string Version = Body.at("version").get<std::string>();
      if (!m_Loaded.contains(Version))
        return refusal(404, "version " + Version + " is not loaded");
      if (Body.at("bytes").get<std::uint64_t>() > MaxKvBytes)
        return refusal(507, "too large");
      m_Cache.use(Version, {*Hash}, m_Process.now());
      return jsonResponse(200, {{"stored", true}});
    }
    const std::string Version = queryText(Request, "version");
    if (!m_Cache.contains(Version, *Hash))
      return refusal(404, "prefix is not cached");
    return jsonResponse(200, {{"prefix", Prefix},
                              {"version", Version},
                              {"tokens", PrefixCache::BlockTokens},
                              {"bytes", PrefixCache::BlockTokens * 131'072}});
  }

  HttpResponse control(const std::string &Path, const HttpRequest &Request) {
    if (Path == "/audit")
      return audit();
    if (Path == "/standin/stats")
      return jsonResponse(200, {{"startId", m_Process.startId()},
                                {"started", m_Started},
                                {"finished", m_Ends["stop"] + m_Ends["length"]},
                                {"cancelled", m_Ends["cancelled"]},
                                {"lost", m_Ends["lost"]},
                                {"refused", m_Counts.m_Refused},
                                {"fallOvers", m_Process.fallOvers()},
                                {"maxRunning", m_Process.maxRunning()},
                                {"tokens", m_Tokens},
                                {"cold", m_Process.cold()}});
    const json Body = json::parse(Request.m_Body);
    if (Path == "/standin/faults") {
      m_Faults.set(Body);
      return jsonResponse(200, m_Faults.toJson());
    }
    if (Path == "/standin/quality") {
      m_Settings.m_Versions[Body.at("version").get<std::string>()] = Body.at("quality").get<double>();
      return jsonResponse(200, m_Settings.m_Versions);
    }
    return m_Process.control(Path, Body, [this] { loseAll(); }).value_or(refusal(404, "no such path"));
  }

  HttpResponse audit() const {
    json Attempts = json::array();
    for (const std::shared_ptr<AuditEntry> &Entry : m_Audit)
      Attempts.push_back({{"attempt", Entry->m_Attempt},
                          {"version", Entry->m_Version},
                          {"at", Entry->m_At},
                          {"completionTokens", Entry->m_CompletionTokens},
                          {"finishReason", Entry->m_FinishReason},
                          {"leaving", Entry->m_Leaving}});
    return jsonResponse(200, {{"attempts", Attempts}});
  }

  asio::io_context &m_Context;
  EngineSettings m_Settings;
  Process m_Process;
  Faults m_Faults;
  FaultCounts m_Counts;
  PrefixCache m_Cache;
  std::set<std::string> m_Loaded;
  std::set<std::string> m_Adapters;
  std::set<std::string> m_Loading;
  std::string m_Role = "mixed";
  std::set<std::string> m_OrderIds;
  std::string m_LastOrder;
  std::uint64_t m_HighestFencing = 0;
  std::map<std::string, StreamPointer> m_Streams; ///< By id; finished ones are kept for a while.
  std::vector<StreamPointer> m_Running;
  std::vector<StreamPointer> m_Queue;
  std::deque<std::shared_ptr<AuditEntry>> m_Audit;
  std::map<std::string, std::uint64_t> m_Ends; ///< Streams ended, by finish reason.
  std::uint64_t m_Started = 0;
  std::uint64_t m_Tokens = 0;
  bool m_LoopRuns = false;
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
