#ifndef BULRUSHPITCH_FORWARD_TESTS_MUTATION_H
#define BULRUSHPITCH_FORWARD_TESTS_MUTATION_H

#include <cstdlib>
#include <string>

namespace bulrushpitch::testing {

/// @param Name name of a mechanism in tests/mutations.txt
/// @return whether the environment names this mechanism as the one to disable; scripts/mutations checks that
/// a test then fails
inline bool mechanismDisabled(const std::string &Name) {
  const char *Wanted = std::getenv("BULRUSHPITCH_MUTATION");
  return Wanted && Name == Wanted;
}

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_FORWARD_TESTS_MUTATION_H
