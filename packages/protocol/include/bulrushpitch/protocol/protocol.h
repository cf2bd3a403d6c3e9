#ifndef BULRUSHPITCH_PROTOCOL_PROTOCOL_H
#define BULRUSHPITCH_PROTOCOL_PROTOCOL_H

/// @file
/// @brief Entry header of the protocol package: state machines driven by events and an explicit time.
///
/// Every state machine processes events and returns actions. The caller executes the actions and reports
/// their outcomes as further events; no state machine performs I/O or reads a clock.
///
/// @code
/// for (const ClaimAction &Action : Claims.begin(Now, Request))
///   std::visit(Executor, Action);
/// @endcode

#include "bulrushpitch/protocol/charge_ledger.h"    // IWYU pragma: export
#include "bulrushpitch/protocol/claim_manager.h"    // IWYU pragma: export
#include "bulrushpitch/protocol/config_store.h"     // IWYU pragma: export
#include "bulrushpitch/protocol/drain_machine.h"    // IWYU pragma: export
#include "bulrushpitch/protocol/lease_manager.h"    // IWYU pragma: export
#include "bulrushpitch/protocol/membership.h"       // IWYU pragma: export
#include "bulrushpitch/protocol/pause_detector.h"   // IWYU pragma: export
#include "bulrushpitch/protocol/permits.h"          // IWYU pragma: export
#include "bulrushpitch/protocol/publication.h"      // IWYU pragma: export
#include "bulrushpitch/protocol/restriction_set.h"  // IWYU pragma: export
#include "bulrushpitch/protocol/session_pins.h"     // IWYU pragma: export
#include "bulrushpitch/protocol/startup_gate.h"     // IWYU pragma: export
#include "bulrushpitch/protocol/stream_assembler.h" // IWYU pragma: export
#include "bulrushpitch/protocol/table.h"            // IWYU pragma: export
#include "bulrushpitch/protocol/tokens.h"           // IWYU pragma: export

#endif // BULRUSHPITCH_PROTOCOL_PROTOCOL_H
