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
                      const std::size_t Written = std::min(Text.size(), m_WritableBytes);
                      m_Output += Text.substr(0, Written);
                      m_WritableBytes -= Written;
                      return Written;
                    },
                    LinesPerSecond);
  }
  std::size_t lines() const {
    return static_cast<std::size_t>(std::count(m_Output.begin(), m_Output.end(), '\n'));
  }

  TimePoint m_Now{std::chrono::seconds(1)};
  std::string m_Output;
  std::size_t m_WritableBytes = 1U << 30U;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a line is one JSON object for any text in its fields") {
  {
    EventLog Log = make(10);
    Log.add(LogClass::State, "started", {{"name", "a\"b\n\xff"}, {"count", std::int64_t{7}}, {"ms", 1.5}});
  }
  const nlohmann::json Line = nlohmann::json::parse(m_Output);
  CHECK(Line["event"] == "started");
  CHECK(Line["count"] == 7);
  CHECK(Line["ms"] == 1.5);
  CHECK(lines() == 1);
}

// Guards against logging that uses processor time needed by requests during an overload.
TEST_CASE_FIXTURE(Fixture,
                  "request lines are rate-limited, and the next line reports how many were dropped") {
  EventLog Log = make(10);
  for (int Line = 0; Line < 1000; ++Line)
    Log.add(LogClass::Request, "request_ended", {});
  Log.add(LogClass::State, "stopping", {});
  Log.flush();
  CHECK(lines() == 31);
  CHECK(Log.dropped() == 970);
  CHECK(m_Output.find("\"dropped\":970") != std::string::npos);
}

// Guards against a process that blocks, or grows in memory, because nobody reads its log.
TEST_CASE_FIXTURE(Fixture, "lines are dropped when the reader accepts nothing") {
  m_WritableBytes = 0;
  EventLog Log = make(10);
  const std::string LongText(1000, 'x');
  for (int Line = 0; Line < 1000; ++Line)
    Log.add(LogClass::State, "config_applied", {{"text", std::string_view(LongText)}});
  CHECK(Log.dropped() > 800);
}
