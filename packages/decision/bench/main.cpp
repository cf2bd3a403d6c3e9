#include "bench.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

/// Usage: bulrushpitch_decision_bench decision | policy [--tune] [SEED...]
int main(int ArgumentCount, char **ArgumentValues) {
  const std::vector<std::string> Arguments(ArgumentValues + 1, ArgumentValues + ArgumentCount);
  if (!Arguments.empty() && Arguments[0] == "decision") {
    bulrushpitch::bench::runDecision();
    return 0;
  }
  if (!Arguments.empty() && Arguments[0] == "policy") {
    bool Tune = false;
    std::vector<std::uint64_t> Seeds;
    for (std::size_t Index = 1; Index < Arguments.size(); ++Index)
      if (Arguments[Index] == "--tune")
        Tune = true;
      else
        Seeds.push_back(std::strtoull(Arguments[Index].c_str(), nullptr, 10));
    // Seeds below 100 are for tuning, seeds from 100 on for reported figures.
    if (Seeds.empty())
      Seeds = Tune ? std::vector<std::uint64_t>{1} : std::vector<std::uint64_t>{101, 102, 103};
    bulrushpitch::bench::runPolicy(Seeds, Tune);
    return 0;
  }
  std::fprintf(stderr, "usage: bulrushpitch_decision_bench decision | policy [--tune] [SEED...]\n");
  return 2;
}
