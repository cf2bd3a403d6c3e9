#ifndef BULRUSHPITCH_DECISION_BENCH_BENCH_H
#define BULRUSHPITCH_DECISION_BENCH_BENCH_H

#include <cstdint>
#include <vector>

namespace bulrushpitch::bench {

/// @return number of calls of operator new so far
std::uint64_t allocations();

/// @brief Measures and prints the time (ns) and the allocations per routing decision.
void runDecision();

/// @brief Simulates the traces of both sites under all policies and prints the figures.
/// @param Seeds seeds of the runs; the printed figures are the means over them
/// @param SkipBaselines omits the baselines except the oracle
void runPolicy(const std::vector<std::uint64_t> &Seeds, bool SkipBaselines);

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_BENCH_H
