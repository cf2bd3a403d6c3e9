#ifndef BULRUSHPITCH_RPC_RPC_H
#define BULRUSHPITCH_RPC_RPC_H

/// @file
/// @brief Entry header of the rpc package: the Peer interface between daemons, over Cap'n Proto RPC.

#include "bulrushpitch/rpc/counters.h"    // IWYU pragma: export
#include "bulrushpitch/rpc/messages.h"    // IWYU pragma: export
#include "bulrushpitch/rpc/order_codec.h" // IWYU pragma: export
#include "bulrushpitch/rpc/peer_client.h" // IWYU pragma: export
#include "bulrushpitch/rpc/peer_server.h" // IWYU pragma: export
#include "bulrushpitch/rpc/table_codec.h" // IWYU pragma: export

#endif // BULRUSHPITCH_RPC_RPC_H
