#include "bulrushpitch/standin/load.h"

#include "bulrushpitch/core/hash.h"
#include "bulrushpitch/standin/answers.h"
#include "bulrushpitch/standin/faults.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

double millisecondsSince(TimePoint Start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - Start).count();
}

json percentiles(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  const auto At = [&Values](double Share) {
    const std::size_t Rank = static_cast<std::size_t>(Share * static_cast<double>(Values.size()));
    return Values.empty() ? 0.0 : std::round(Values[std::min(Rank, Values.size() - 1)] * 10) / 10;
  };
  return {{"count", Values.size()}, {"p50", At(0.5)}, {"p95", At(0.95)}, {"p99", At(0.99)}, {"max", At(1.0)}};
}

/// Splits a server-sent event stream into the data of its events.
class EventReader {
public:
  std::vector<std::string> feed(const std::string &Bytes) {
    std::vector<std::string> Events;
    m_Rest += Bytes;
    for (std::size_t End = m_Rest.find('\n'); End != std::string::npos; End = m_Rest.find('\n')) {
      std::string Line = m_Rest.substr(0, End);
      m_Rest.erase(0, End + 1);
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      if (Line.starts_with("data:"))
        Events.push_back(Line.substr(Line.starts_with("data: ") ? 6 : 5));
    }
    return Events;
  }

private:
  std::string m_Rest;
};

class Run {
public:
  Run(asio::io_context &Context, const LoadSettings &Settings)
      : m_Settings(Settings), m_Client(Context, "load"), m_Start(std::chrono::steady_clock::now()) {}

  asio::awaitable<void> worker() {
    const Duration Interval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / m_Settings.m_Rate));
    while (m_Report.m_Sent < m_Settings.m_Requests) {
      const std::size_t Index = m_Report.m_Sent;
      const TimePoint Turn = m_Start + Interval * static_cast<std::int64_t>(Index);
      if (std::max(Turn, TimePoint(std::chrono::steady_clock::now())) >= m_Start + m_Settings.m_Time)
        co_return;
      ++m_Report.m_Sent;
      co_await sleepFor(std::max(Duration(0), Turn - std::chrono::steady_clock::now()));
      if (!m_Settings.m_Service.empty() && share(Index, 1) < m_Settings.m_ServiceShare)
        co_await callService(Index);
      else
        co_await chat(Index, share(Index, 2) < m_Settings.m_StreamedShare);
    }
  }

  LoadReport m_Report;

private:
  /// @return a number from 0 to 1 that follows from the request and a salt
  static double share(std::size_t Index, std::uint64_t Salt) {
    return static_cast<double>(mixHash(Index, Salt) % 10'000) / 10'000.0;
  }

  HttpRequest request(std::size_t Index, const std::string &Target, const json &Body) const {
    HttpRequest Request{"POST", Target, {}, Body.dump()};
    Request.m_Headers.add("Content-Type", "application/json");
    Request.m_Headers.add("Authorization", "Bearer " + m_Settings.m_Key);
    Request.m_Headers.add("Idempotency-Key", m_Settings.m_RunId + "-" + std::to_string(Index));
    Request.m_Headers.add("X-Task", m_Settings.m_Task);
    return Request;
  }

  // GCC 12 rejects nested initializer lists inside coroutines, so bodies are made in functions.
  json messages(std::size_t Index) const {
    const std::string Content =
        "request " + m_Settings.m_RunId + "-" + std::to_string(Index) + " of task " + m_Settings.m_Task;
    return json::array({{{"role", "user"}, {"content", Content}}});
  }
  HttpRequest chatRequest(std::size_t Index, const json &Messages, bool Streamed) const {
    return request(Index, "/v1/chat/completions",
                   {{"model", m_Settings.m_Model},
                    {"messages", Messages},
                    {"max_tokens", m_Settings.m_MaxTokens},
                    {"stream", Streamed}});
  }
  json serviceBody(std::size_t Index, bool Payments, bool Change) const {
    if (Payments)
      return {{"wallet", "w-" + std::to_string(Index % 100)}};
    if (Change)
      return {{"item", "tile-" + std::to_string(Index)}, {"quantity", 1}};
    return {{"orderId", m_LastOrder}};
  }

  const Endpoint &daemon(std::size_t Index) const {
    return m_Settings.m_Daemons[Index % m_Settings.m_Daemons.size()];
  }

  void countTransport(const Error &Failure) {
    ++m_Report.m_Errors["transport " + std::to_string(static_cast<unsigned>(Failure.m_Code))];
  }
  /// Counts an error body or error event of the daemon.
  void countError(const json &Body) {
    const json Details = Body.is_object() ? Body.value("error", json::object()) : json::object();
    const bool Numbered = Details.is_object() && Details.contains("code") && Details.contains("ran");
    ++m_Report.m_Errors[Numbered ? Details["code"].dump() + " " + Details["ran"].get<std::string>()
                                 : "without number"];
  }
  void check(const std::string &Fault) {
    ++m_Report.m_Answered;
    if (!Fault.empty())
      m_Report.m_Wrong.push_back(Fault);
  }

  asio::awaitable<void> chat(std::size_t Index, bool Streamed) {
    const json Messages = messages(Index);
    const TimePoint Start = std::chrono::steady_clock::now();
    Expected<std::unique_ptr<HttpStream>> Opened =
        co_await m_Client.open(daemon(Index), chatRequest(Index, Messages, Streamed), m_Settings.m_Timeout);
    if (!Opened) {
      countTransport(Opened.error());
      co_return;
    }
    const std::string Prompt = promptText(Messages);
    if (Streamed && (*Opened)->status() == 200)
      co_await readEvents(**Opened, Prompt, Start);
    else
      co_await readWhole(**Opened, Prompt, Start);
  }

  asio::awaitable<void> readWhole(HttpStream &Response, const std::string &Prompt, TimePoint Start) {
    std::string Text;
    while (true) {
      Expected<std::optional<std::string>> Part = co_await Response.read(m_Settings.m_Timeout);
      if (!Part) {
        countTransport(Part.error());
        co_return;
      }
      if (!*Part)
        break;
      if (Text.empty() && Response.status() == 200)
        m_Report.m_FirstByteMs.push_back(millisecondsSince(Start));
      Text += **Part;
    }
    const json Body = json::parse(Text, nullptr, false);
    if (Response.status() != 200) {
      countError(Body);
      co_return;
    }
    m_Report.m_WholeMs.push_back(millisecondsSince(Start));
    check(checkText(Prompt, Body.is_discarded() ? json() : Body, "/choices/0/message/content"));
  }

  std::string checkText(const std::string &Prompt, const json &Body, const char *Where) const {
    const json::json_pointer Pointer(Where);
    if (!Body.contains(Pointer) || !Body.at(Pointer).is_string())
      return "the answer has no text";
    return checkAnswer(Prompt, Body.at(Pointer).get<std::string>(), m_Settings.m_MaxTokens);
  }

  asio::awaitable<void> readEvents(HttpStream &Response, const std::string &Prompt, TimePoint Start) {
    EventReader Reader;
    std::string Text;
    TimePoint Last = Start;
    while (true) {
      Expected<std::optional<std::string>> Part = co_await Response.read(m_Settings.m_Timeout);
      if (!Part || !*Part) {
        if (!Part)
          countTransport(Part.error());
        else
          ++m_Report.m_Errors["stream without end"];
        co_return;
      }
      for (const std::string &Data : Reader.feed(**Part)) {
        if (Data == "[DONE]") {
          m_Report.m_WholeMs.push_back(millisecondsSince(Start));
          check(checkAnswer(Prompt, Text, m_Settings.m_MaxTokens));
          co_return;
        }
        const json Event = json::parse(Data, nullptr, false);
        if (Event.is_object() && Event.contains("error")) {
          countError(Event);
          co_return;
        }
        const json::json_pointer Content("/choices/0/delta/content");
        if (Event.is_discarded() || !Event.contains(Content))
          continue;
        (Text.empty() ? m_Report.m_FirstByteMs : m_Report.m_GapMs).push_back(millisecondsSince(Last));
        Last = std::chrono::steady_clock::now();
        Text += Event.at(Content).is_string() ? Event.at(Content).get<std::string>() : std::string();
      }
    }
  }

  /// Changes something on even calls, reads on odd ones, and checks that the answer is about the same thing.
  asio::awaitable<void> callService(std::size_t Index) {
    const bool Payments = m_Settings.m_ServiceKind == "payments";
    const bool Change = m_ServiceCalls++ % 2 == 0 || (!Payments && m_LastOrder.empty());
    std::string Route = Payments ? (Change ? "debit" : "balance") : (Change ? "order" : "order-status");
    const json Expected = serviceBody(Index, Payments, Change);
    json Body = Expected;
    if (Payments && Change)
      Body["amount"] = 1;
    const TimePoint Start = std::chrono::steady_clock::now();
    const bulrushpitch::Expected<HttpResponse> Response = co_await m_Client.exchange(
        daemon(Index), request(Index, "/services/" + m_Settings.m_Service + "/" + Route, Body),
        m_Settings.m_Timeout);
    if (!Response) {
      countTransport(Response.error());
      co_return;
    }
    const json Answer = json::parse(Response->m_Body, nullptr, false);
    if (Response->m_Status != 200) {
      countError(Answer);
      co_return;
    }
    m_Report.m_ServiceMs.push_back(millisecondsSince(Start));
    std::string Fault;
    for (const auto &Item : Expected.items())
      if (!Answer.is_object() || Answer.value(Item.key(), json()) != Item.value())
        Fault = "the answer to " + Route + " has another " + Item.key();
    check(Fault);
    if (!Payments && Change && Fault.empty())
      m_LastOrder = Answer.value("orderId", std::string());
  }

  const LoadSettings &m_Settings;
  HttpClient m_Client;
  TimePoint m_Start;
  std::size_t m_ServiceCalls = 0;
  std::string m_LastOrder;
};

} // namespace

json LoadReport::toJson() const {
  const std::size_t Shown = std::min<std::size_t>(m_Wrong.size(), 5);
  return {{"sent", m_Sent},
          {"answered", m_Answered},
          {"wrong", m_Wrong.size()},
          {"wrongReasons",
           std::vector<std::string>(m_Wrong.begin(), m_Wrong.begin() + static_cast<std::ptrdiff_t>(Shown))},
          {"errors", m_Errors},
          {"firstByteMs", percentiles(m_FirstByteMs)},
          {"gapMs", percentiles(m_GapMs)},
          {"wholeMs", percentiles(m_WholeMs)},
          {"serviceMs", percentiles(m_ServiceMs)}};
}

LoadReport runLoad(asio::io_context &Context, const LoadSettings &Settings) {
  Run State(Context, Settings);
  std::size_t Working = Settings.m_Concurrency;
  for (std::size_t Index = 0; Index < Settings.m_Concurrency; ++Index)
    asio::co_spawn(Context, State.worker(), [&Working](const std::exception_ptr &Thrown) {
      --Working;
      if (Thrown)
        std::rethrow_exception(Thrown);
    });
  Context.restart();
  while (Working > 0)
    Context.run_one();
  return State.m_Report;
}

} // namespace bulrushpitch::standin
