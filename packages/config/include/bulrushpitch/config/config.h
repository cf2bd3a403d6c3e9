#ifndef BULRUSHPITCH_CONFIG_CONFIG_H
#define BULRUSHPITCH_CONFIG_CONFIG_H

/// @file
/// @brief Entry header of the config package: objects, documents, snapshots, settings and operator messages.

#include "bulrushpitch/config/admin_api.h" // IWYU pragma: export
#include "bulrushpitch/config/documents.h" // IWYU pragma: export
#include "bulrushpitch/config/fault.h"     // IWYU pragma: export
#include "bulrushpitch/config/objects.h"   // IWYU pragma: export
#include "bulrushpitch/config/settings.h"  // IWYU pragma: export
#include "bulrushpitch/config/snapshot.h"  // IWYU pragma: export

#endif // BULRUSHPITCH_CONFIG_CONFIG_H
