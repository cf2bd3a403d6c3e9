#ifndef BULRUSHPITCH_GATEWAY_SRC_OUTCOME_LOG_H
#define BULRUSHPITCH_GATEWAY_SRC_OUTCOME_LOG_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/gateway/event_log.h"

#include <string>
#include <string_view>

namespace bulrushpitch {

/// @return text of an outcome for the log: what was done, or the error
inline std::string outcomeText(const Expected<Done> &Outcome, std::string_view DoneText) {
  return Outcome ? std::string(DoneText) : Outcome.error().toString();
}

/// @brief Logs the error of an outcome, if it is one.
template <typename Value>
void logFailure(EventLog &Log, std::string_view Event, const Expected<Value> &Outcome) {
  if (Outcome)
    return;
  const std::string Text = Outcome.error().toString();
  Log.add(LogClass::State, Event, {{"error", std::string_view(Text)}});
}

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_OUTCOME_LOG_H
