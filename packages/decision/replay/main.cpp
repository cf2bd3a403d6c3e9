#include "replay.h"

#include <cstdio>
#include <fstream>
#include <string>

/// Usage: bulrushpitch_decision_replay TRACE...
int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 2) {
    std::fprintf(stderr, "usage: bulrushpitch_decision_replay TRACE...\n");
    return 2;
  }
  for (int Index = 1; Index < ArgumentCount; ++Index) {
    std::ifstream File(Arguments[Index]);
    if (!File) {
      std::fprintf(stderr, "%s: cannot be opened\n", Arguments[Index]);
      return 2;
    }
    bulrushpitch::replay::Replay Trace;
    std::string Line;
    int LineNumber = 0;
    std::string Problem;
    while (Problem.empty() && std::getline(File, Line)) {
      ++LineNumber;
      Problem = Trace.runLine(Line);
    }
    if (Problem.empty())
      Problem = Trace.finish();
    if (!Problem.empty()) {
      std::fprintf(stderr, "%s:%d: %s\n", Arguments[Index], LineNumber, Problem.c_str());
      return 1;
    }
    std::printf("%s: %d lines, %d outcomes matched\n", Arguments[Index], LineNumber, Trace.outcomeCount());
  }
  return 0;
}
