#ifndef BULRUSHPITCH_TIMELINE_TIMELINE_H
#define BULRUSHPITCH_TIMELINE_TIMELINE_H

/// @file
/// @brief Entry header of the timeline package: events, the bounded recorder, merging and rendering.

#include "bulrushpitch/timeline/codec.h"    // IWYU pragma: export
#include "bulrushpitch/timeline/event.h"    // IWYU pragma: export
#include "bulrushpitch/timeline/merge.h"    // IWYU pragma: export
#include "bulrushpitch/timeline/recorder.h" // IWYU pragma: export
#include "bulrushpitch/timeline/render.h"   // IWYU pragma: export

#endif // BULRUSHPITCH_TIMELINE_TIMELINE_H
