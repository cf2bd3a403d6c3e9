#include "bulrushpitch/forward/prefill_time_estimator.h"

namespace bulrushpitch {

namespace {

/// Initial estimate: a fast engine with an idle batch.
constexpr double InitialSecondsPerToken = 15e-6;
constexpr double SampleWeight = 0.05; ///< Of the newest sample.
/// For shorter prompts, the time to the response head is dominated by the engine's batch step, not by
/// prefill.
constexpr std::uint64_t MinPromptTokens = 1000;

} // namespace

void PrefillTimeEstimator::record(const ModelId &Model, Tokens Prompt, Duration TimeToHead) {
  if (Prompt.value() < MinPromptTokens)
    return;
  const double SecondsPerToken = secondsOf(TimeToHead) / static_cast<double>(Prompt.value());
  double &Average = m_SecondsPerToken.emplace(Model, InitialSecondsPerToken).first->second;
  Average += SampleWeight * (SecondsPerToken - Average);
}

Duration PrefillTimeEstimator::expected(const ModelId &Model, Tokens Prompt) const {
  const auto Found = m_SecondsPerToken.find(Model);
  const double SecondsPerToken = Found == m_SecondsPerToken.end() ? InitialSecondsPerToken : Found->second;
  return durationOf(SecondsPerToken * static_cast<double>(Prompt.value()));
}

} // namespace bulrushpitch
