#include "bulrushpitch/gateway/event_log.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace bulrushpitch;

namespace {

struct Fixture {
  EventLog make(double LinesPerSecond) {
    return EventLog([this] { return m_Now; }, [] { return WallTime{}; },
                    [this](std::string_view Text) {
                      const std::size_t Taken = std::min(Text.size(), m_Room);
                      m_Out += Text.substr(0, Taken);
                      m_Room -= Taken;
                      return Taken;
                    },
                    LinesPerSecond);
  }
  std::size_t lines() const { return static_cast<std::size_t>(std::count(m_Out.begin(), m_Out.end(), '\n')); }

  TimePoint m_Now{std::chrono::seconds(1)};
  std::string m_Out;
  std::size_t m_Room = 1U << 30U;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a line is one JSON object, whatever its texts hold") {
  {
    EventLog Log = make(10);
    Log.add(LogClass::State, "started", {{"name", "a\"b\n\xff"}, {"count", std::int64_t{7}}, {"ms", 1.5}});
  }
  const nlohmann::json Line = nlohmann::json::parse(m_Out);
  CHECK(Line["event"] == "started");
  CHECK(Line["count"] == 7);
  CHECK(Line["ms"] == 1.5);
  CHECK(lines() == 1);
}

// Guards against a log that takes the processor from requests in an overload.
TEST_CASE_FIXTURE(Fixture, "request lines are bounded, and the next line says how many were left out") {
  EventLog Log = make(10);
  for (int Line = 0; Line < 1000; ++Line)
    Log.add(LogClass::Request, "request_ended", {});
  Log.add(LogClass::State, "stopping", {});
  Log.flush();
  CHECK(lines() == 31);
  CHECK(Log.dropped() == 970);
  CHECK(m_Out.find("\"dropped\":970") != std::string::npos);
}

// Guards against a process that stands still, or grows, because nobody reads its log.
TEST_CASE_FIXTURE(Fixture, "a reader that takes nothing costs lines, not time or memory") {
  m_Room = 0;
  EventLog Log = make(10);
  const std::string Long(1000, 'x');
  for (int Line = 0; Line < 1000; ++Line)
    Log.add(LogClass::State, "config_applied", {{"text", std::string_view(Long)}});
  CHECK(Log.dropped() > 800);
}
