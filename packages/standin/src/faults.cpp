#include "bulrushpitch/standin/faults.h"

#include "bulrushpitch/platform/detail/wire.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

/// How soon a paused request notices that the pause is over.
constexpr Milliseconds PausePoll{5};

template <typename T> void take(const json &Body, const char *Name, T &Target) {
  if (Body.contains(Name))
    Target = Body.at(Name).get<T>();
}

void takeMilliseconds(const json &Body, const char *Name, Milliseconds &Target) {
  std::int64_t Count = Target.count();
  take(Body, Name, Count);
  Target = Milliseconds(Count);
}

} // namespace

void Faults::set(const json &Body) {
  take(Body, "down", m_Down);
  take(Body, "refuse", m_Refuse);
  take(Body, "paused", m_Paused);
  take(Body, "loseNext", m_LoseNext);
  take(Body, "malformedNext", m_MalformedNext);
  takeMilliseconds(Body, "slowMs", m_Slow);
  takeMilliseconds(Body, "lagMs", m_Lag);
}

json Faults::toJson() const {
  return {{"down", m_Down},           {"refuse", m_Refuse},     {"paused", m_Paused},
          {"slowMs", m_Slow.count()}, {"loseNext", m_LoseNext}, {"malformedNext", m_MalformedNext},
          {"lagMs", m_Lag.count()}};
}

HttpResponse jsonResponse(unsigned Status, const json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.add("Content-Type", "application/json");
  Response.m_Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Response;
}

HttpResponse refusal(unsigned Status, const std::string &Text, const char *RanText) {
  return jsonResponse(Status, {{"error", Text}, {"ran", RanText}});
}

HttpResponse guarded(const std::function<HttpResponse()> &Handler) {
  try {
    return Handler();
  } catch (const std::exception &Caught) {
    return refusal(400, Caught.what());
  }
}

std::string queryText(const HttpRequest &Request, std::string_view Name) {
  return bulrushpitch::detail::percentDecode(Request.query(Name).value_or("")).value_or("");
}

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

asio::awaitable<void> sleepFor(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> breakOff(ResponseWriter &Writer) {
  if (!Writer.begun())
    static_cast<void>(co_await Writer.begin(200, {}));
}

asio::awaitable<bool> enter(const Faults &Active, FaultCounts &Counts, ResponseWriter &Writer) {
  if (!Active.m_Down && Active.m_Slow > Milliseconds(0))
    co_await sleepFor(Active.m_Slow);
  while (Active.m_Paused && !Active.m_Down)
    co_await sleepFor(PausePoll);
  if (Active.m_Down) {
    ++Counts.m_Lost;
    co_await breakOff(Writer);
    co_return false;
  }
  if (Active.m_Refuse) {
    ++Counts.m_Refused;
    static_cast<void>(co_await Writer.send(refusal(503, "refusing on demand")));
    co_return false;
  }
  co_return true;
}

asio::awaitable<void> answer(Faults &Active, FaultCounts &Counts, ResponseWriter &Writer,
                             HttpResponse Response, bool Loseable) {
  if (Loseable && Active.m_LoseNext > 0) {
    --Active.m_LoseNext;
    ++Counts.m_Lost;
    co_await breakOff(Writer);
    co_return;
  }
  if (Active.m_MalformedNext > 0) {
    --Active.m_MalformedNext;
    Response.m_Body = R"({"malformed":)";
  }
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

HttpResponse renderError(const Error &Failure) {
  return refusal(Failure.m_Code == ErrorCode::Internal ? 500 : 400, Failure.toString(),
                 nameOf(Failure.m_Ran).data());
}

} // namespace bulrushpitch::standin
