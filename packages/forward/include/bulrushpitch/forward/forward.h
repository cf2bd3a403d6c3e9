#ifndef BULRUSHPITCH_FORWARD_FORWARD_H
#define BULRUSHPITCH_FORWARD_FORWARD_H

/// @file
/// @brief Entry header of the forward package: decisions of transparent forwarding, without I/O.

#include "bulrushpitch/forward/attempt.h" // IWYU pragma: export
#include "bulrushpitch/forward/config_delta.h"
#include "bulrushpitch/forward/config_index.h"
#include "bulrushpitch/forward/crash_attribution.h" // IWYU pragma: export
#include "bulrushpitch/forward/event_splitter.h"    // IWYU pragma: export
#include "bulrushpitch/forward/model_choice.h"      // IWYU pragma: export
#include "bulrushpitch/forward/objects.h"           // IWYU pragma: export
#include "bulrushpitch/forward/out_of_service_domains.h"
#include "bulrushpitch/forward/placement.h"    // IWYU pragma: export
#include "bulrushpitch/forward/rate_limiter.h" // IWYU pragma: export
#include "bulrushpitch/forward/relay_sources.h"
#include "bulrushpitch/forward/upstream_notices.h" // IWYU pragma: export
#include "bulrushpitch/forward/upstream_pool.h"    // IWYU pragma: export
#include "bulrushpitch/forward/version_trial.h"    // IWYU pragma: export

#endif // BULRUSHPITCH_FORWARD_FORWARD_H
