#ifndef BULRUSHPITCH_GATEWAY_OUTCOME_TEXT_H
#define BULRUSHPITCH_GATEWAY_OUTCOME_TEXT_H

#include "bulrushpitch/core/expected.h"

#include <string>
#include <string_view>

namespace bulrushpitch {

/// @return text of an outcome for the log: what was done, or the error
inline std::string outcomeText(const Expected<Done> &Outcome, std::string_view DoneText) {
  return Outcome ? std::string(DoneText) : Outcome.error().toString();
}

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_OUTCOME_TEXT_H
