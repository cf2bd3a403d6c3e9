#ifndef BULRUSHPITCH_FORWARD_READING_TIME_H
#define BULRUSHPITCH_FORWARD_READING_TIME_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <map>

namespace bulrushpitch {

/// @brief Learns how long upstreams read a prompt, by model, from the times to the heads of answers.
///
/// The times include waits, so that the estimate rises with the load. Not thread-safe.
class ReadingTime {
public:
  /// @brief Takes the time from sending a prompt to the head of its answer.
  void record(const ModelId &Model, Tokens Prompt, Duration HeadTook);
  /// @return the expected time that an upstream reads so many tokens
  Duration expected(const ModelId &Model, Tokens Prompt) const;

private:
  std::map<ModelId, double> m_SecondsPerToken;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_READING_TIME_H
