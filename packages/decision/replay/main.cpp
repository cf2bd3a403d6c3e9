#include "replay.h"

#include <cstdio>
#include <fstream>
#include <string>

/// Usage: bulrushpitch_decision_replay TRACE...
int main(int Count, char **Words) {
  if (Count < 2) {
    std::fprintf(stderr, "usage: bulrushpitch_decision_replay TRACE...\n");
    return 2;
  }
  for (int At = 1; At < Count; ++At) {
    std::ifstream File(Words[At]);
    if (!File) {
      std::fprintf(stderr, "%s: cannot be opened\n", Words[At]);
      return 2;
    }
    bulrushpitch::replay::Replay Run;
    std::string Line;
    int Number = 0;
    std::string Wrong;
    while (Wrong.empty() && std::getline(File, Line)) {
      ++Number;
      Wrong = Run.step(Line);
    }
    if (Wrong.empty())
      Wrong = Run.finish();
    if (!Wrong.empty()) {
      std::fprintf(stderr, "%s:%d: %s\n", Words[At], Number, Wrong.c_str());
      return 1;
    }
    std::printf("%s: %d lines, %d outcomes as stated\n", Words[At], Number, Run.outcomes());
  }
  return 0;
}
