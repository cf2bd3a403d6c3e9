#ifndef BULRUSHPITCH_CONFIG_TESTS_FUZZ_TARGETS_H
#define BULRUSHPITCH_CONFIG_TESTS_FUZZ_TARGETS_H

/// @file
/// @brief One function of libFuzzer's shape (LLVMFuzzerTestOneInput) for each decoder of the package.

#include "bulrushpitch/config/config.h"
#include "bulrushpitch/core/expected.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace bulrushpitch::testing {

inline std::string_view textOf(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

/// What a decoder accepts must come back unchanged from its encoder, else the process ends.
inline int fuzzSnapshot(const std::uint8_t *Data, std::size_t Size) {
  const Expected<Configuration> Read = capture([&] { return decodeSnapshot(textOf(Data, Size)); });
  if (!Read)
    return 0;
  const Expected<Configuration> Again = capture([&] { return decodeSnapshot(encodeSnapshot(*Read)); });
  if (!Again || !(*Again == *Read))
    std::abort();
  return 0;
}

inline int fuzzDelta(const std::uint8_t *Data, std::size_t Size) {
  (void)capture([&] { return applyDelta(Configuration(), textOf(Data, Size)); });
  return 0;
}

inline int fuzzDocuments(const std::uint8_t *Data, std::size_t Size) {
  const ReadOutcome Read = readDocuments({{"fuzz.yaml", std::string(textOf(Data, Size))}}, nullptr);
  for (const Fault &Found : Read.m_Faults)
    (void)Found.toString();
  if (!Read.m_Faults.empty())
    return 0;
  const ReadOutcome Again = readDocuments(writeDocuments(Read.m_Configuration), nullptr);
  if (!Again.m_Faults.empty() || !(Again.m_Configuration == Read.m_Configuration))
    std::abort();
  return 0;
}

inline int fuzzSettings(const std::uint8_t *Data, std::size_t Size) {
  const SettingsOutcome Read = checkSettings(textOf(Data, Size), "fuzz.yaml");
  if (Read.m_Faults.empty())
    (void)printEffective(Read.m_Settings);
  return 0;
}

template <typename Message> int fuzzMessage(const std::uint8_t *Data, std::size_t Size) {
  const Expected<Message> Read = capture([&] { return decodeMessage<Message>(textOf(Data, Size)); });
  if (!Read)
    return 0;
  const Expected<Message> Again = capture([&] { return decodeMessage<Message>(encodeMessage(*Read)); });
  if (!Again || !(*Again == *Read))
    std::abort();
  return 0;
}

inline int fuzzError(const std::uint8_t *Data, std::size_t Size) {
  (void)decodeError(textOf(Data, Size));
  return 0;
}

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_CONFIG_TESTS_FUZZ_TARGETS_H
