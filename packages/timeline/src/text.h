#ifndef BULRUSHPITCH_TIMELINE_SRC_TEXT_H
#define BULRUSHPITCH_TIMELINE_SRC_TEXT_H

#include "bulrushpitch/timeline/event.h"
#include "bulrushpitch/timeline/merge.h"

#include <string>

namespace bulrushpitch::detail {

/// @return a duration with a unit that leaves one to three digits before the point, for example "12.5 ms"
std::string durationText(Duration Value);

/// @return the event's ids and texts as "name=value" words, and its detail at the end
std::string describe(const TimelineEvent &Event);

/// @return an instance's clock offset in words, for example "clock +2.31 s ± 15 ms"; empty for the reference
std::string offsetText(const MergedTimeline &Timeline, const InstanceId &Instance);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_TIMELINE_SRC_TEXT_H
