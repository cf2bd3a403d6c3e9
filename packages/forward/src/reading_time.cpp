#include "bulrushpitch/forward/reading_time.h"

namespace bulrushpitch {

namespace {

/// Before anything is known: a fast engine with an idle batch.
constexpr double FirstSecondsPerToken = 15e-6;
constexpr double Weight = 0.05; ///< Of the newest time.
/// The heads of shorter prompts tell more of the engine's step than of reading.
constexpr std::uint64_t ShortestPrompt = 1000;

} // namespace

void ReadingTime::record(const ModelId &Model, Tokens Prompt, Duration HeadTook) {
  if (Prompt.value() < ShortestPrompt)
    return;
  const double Taken = std::chrono::duration<double>(HeadTook).count() / static_cast<double>(Prompt.value());
  double &Known = m_SecondsPerToken.emplace(Model, FirstSecondsPerToken).first->second;
  Known += Weight * (Taken - Known);
}

Duration ReadingTime::expected(const ModelId &Model, Tokens Prompt) const {
  const auto Known = m_SecondsPerToken.find(Model);
  const double Each = Known == m_SecondsPerToken.end() ? FirstSecondsPerToken : Known->second;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Each * static_cast<double>(Prompt.value())));
}

} // namespace bulrushpitch
