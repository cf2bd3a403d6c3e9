#ifndef BULRUSHPITCH_CORE_CORE_H
#define BULRUSHPITCH_CORE_CORE_H

/// @file
/// @brief Entry header of the core package: ids, units, errors, clocks and hashes.

#include "bulrushpitch/core/clock.h"    // IWYU pragma: export
#include "bulrushpitch/core/error.h"    // IWYU pragma: export
#include "bulrushpitch/core/expected.h" // IWYU pragma: export
#include "bulrushpitch/core/hash.h"     // IWYU pragma: export
#include "bulrushpitch/core/ids.h"      // IWYU pragma: export

#endif // BULRUSHPITCH_CORE_CORE_H
