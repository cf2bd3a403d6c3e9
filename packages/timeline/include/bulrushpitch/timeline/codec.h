#ifndef BULRUSHPITCH_TIMELINE_CODEC_H
#define BULRUSHPITCH_TIMELINE_CODEC_H

#include "bulrushpitch/core/error.h"
#include "bulrushpitch/timeline/event.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief Writes events as a JSON array; empty fields are left out. Bytes that are not UTF-8 are replaced.
/// @complexity linear in the size of the events
std::string eventsToJson(const std::vector<TimelineEvent> &Events);

/// @brief Reads what eventsToJson() writes.
/// @return the events; error 102 with the position or the field if the text is not such an array
Result<std::vector<TimelineEvent>> eventsFromJson(std::string_view Text);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_TIMELINE_CODEC_H
