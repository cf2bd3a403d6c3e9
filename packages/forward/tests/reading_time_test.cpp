#include "bulrushpitch/forward/reading_time.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

TEST_CASE("the time to read a prompt is learnt for each model") {
  ReadingTime Times;
  const ModelId Small("small");
  const ModelId Large("large");
  for (int Answer = 0; Answer < 200; ++Answer) {
    Times.record(Small, Tokens(10000), milliseconds(50));
    Times.record(Large, Tokens(10000), milliseconds(500));
  }
  CHECK(Times.expected(Small, Tokens(20000)) > milliseconds(95));
  CHECK(Times.expected(Small, Tokens(20000)) < milliseconds(105));
  CHECK(Times.expected(Large, Tokens(20000)) > milliseconds(950));
}

TEST_CASE("short prompts say nothing of reading") {
  ReadingTime Times;
  const ModelId Model("m");
  const Duration Before = Times.expected(Model, Tokens(10000));
  Times.record(Model, Tokens(10), milliseconds(500));
  CHECK(Times.expected(Model, Tokens(10000)) == Before);
}
