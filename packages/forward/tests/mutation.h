#ifndef BULRUSHPITCH_FORWARD_TESTS_MUTATION_H
#define BULRUSHPITCH_FORWARD_TESTS_MUTATION_H

#include <cstdlib>
#include <string>

namespace bulrushpitch::testing {

/// @return whether scripts/mutations has selected this mechanism to be disabled
inline bool mutated(const std::string &Name) {
  const char *Wanted = std::getenv("BULRUSHPITCH_MUTATION");
  return Wanted && Name == Wanted;
}

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_FORWARD_TESTS_MUTATION_H
