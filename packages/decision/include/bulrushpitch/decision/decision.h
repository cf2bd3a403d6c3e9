#ifndef BULRUSHPITCH_DECISION_DECISION_H
#define BULRUSHPITCH_DECISION_DECISION_H

/// @file
/// @brief Entry header of the decision package: which request goes where, when, and why.

#include "bulrushpitch/decision/admission.h"    // IWYU pragma: export
#include "bulrushpitch/decision/link_budget.h"  // IWYU pragma: export
#include "bulrushpitch/decision/quality.h"      // IWYU pragma: export
#include "bulrushpitch/decision/retry_budget.h" // IWYU pragma: export
#include "bulrushpitch/decision/rollout.h"      // IWYU pragma: export
#include "bulrushpitch/decision/route.h"        // IWYU pragma: export
#include "bulrushpitch/decision/router.h"       // IWYU pragma: export
#include "bulrushpitch/decision/upstreams.h"    // IWYU pragma: export

#endif // BULRUSHPITCH_DECISION_DECISION_H
