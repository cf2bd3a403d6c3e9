#ifndef BULRUSHPITCH_FORWARD_PREFILL_TIME_ESTIMATOR_H
#define BULRUSHPITCH_FORWARD_PREFILL_TIME_ESTIMATOR_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <map>

namespace bulrushpitch {

/// @brief Estimates the prefill time of prompts, per model, from the times to the response heads.
///
/// The samples include queueing time, so that the estimate rises with the load. Not thread-safe.
class PrefillTimeEstimator {
public:
  /// @brief Records the time from sending a prompt to its response head.
  void record(const ModelId &Model, Tokens Prompt, Duration TimeToHead);
  /// @return the expected prefill time of a prompt
  Duration expected(const ModelId &Model, Tokens Prompt) const;

private:
  std::map<ModelId, double> m_SecondsPerToken;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_PREFILL_TIME_ESTIMATOR_H
