#ifndef BULRUSHPITCH_DECISION_BENCH_BENCH_H
#define BULRUSHPITCH_DECISION_BENCH_BENCH_H

#include <cstdint>
#include <vector>

namespace bulrushpitch::bench {

/// @return calls of operator new so far
std::uint64_t allocations();

/// @brief Prints the time and the allocations of a decision.
void runDecision();

/// @brief Plays the traces of both users through all policies and prints the measures.
/// @param Seeds one run each; the figures are the means
/// @param OnlyOurs leaves out the baselines, but for the oracle and always-best
void runPolicy(const std::vector<std::uint64_t> &Seeds, bool OnlyOurs);

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_BENCH_H
