#ifndef BULRUSHPITCH_TIMELINE_RENDER_H
#define BULRUSHPITCH_TIMELINE_RENDER_H

#include "bulrushpitch/timeline/merge.h"

#include <string>

namespace bulrushpitch {

/// @brief Renders one line per event, preceded by the clock offsets.
std::string renderText(const MergedTimeline &Timeline);

/// @brief What the picture shows besides the events.
struct SvgOptions {
  std::string m_Title = "Timeline";
  unsigned m_Width = 1400; ///< Pixels.
};

/// @brief Renders an SVG picture: one lane per instance, requests as bars, messages as arrows.
std::string renderSvg(const MergedTimeline &Timeline, const SvgOptions &Options = {});

} // namespace bulrushpitch

#endif // BULRUSHPITCH_TIMELINE_RENDER_H
