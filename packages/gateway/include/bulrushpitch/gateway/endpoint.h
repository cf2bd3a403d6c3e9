#ifndef BULRUSHPITCH_GATEWAY_ENDPOINT_H
#define BULRUSHPITCH_GATEWAY_ENDPOINT_H

#include "bulrushpitch/config/settings.h"
#include "bulrushpitch/net/http_message.h"

namespace bulrushpitch {

/// @return a socket address from the settings as an endpoint of the network package
inline Endpoint endpointOf(const SocketAddress &Address) {
  return Endpoint{Address.m_Address, Address.m_Port};
}

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_ENDPOINT_H
