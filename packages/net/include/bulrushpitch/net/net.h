#ifndef BULRUSHPITCH_NET_NET_H
#define BULRUSHPITCH_NET_NET_H

/// @file
/// @brief Entry header of the net package: HTTP server and client on Asio, and helpers for coroutines.

#include "bulrushpitch/net/async.h"        // IWYU pragma: export
#include "bulrushpitch/net/http_client.h"  // IWYU pragma: export
#include "bulrushpitch/net/http_message.h" // IWYU pragma: export
#include "bulrushpitch/net/http_server.h"  // IWYU pragma: export

#endif // BULRUSHPITCH_NET_NET_H
