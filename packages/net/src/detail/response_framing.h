#ifndef BULRUSHPITCH_NET_SRC_DETAIL_RESPONSE_FRAMING_H
#define BULRUSHPITCH_NET_SRC_DETAIL_RESPONSE_FRAMING_H

#include <boost/system/error_code.hpp>

namespace bulrushpitch::detail {

/// @brief Checks whether a response's status is one that may answer a request.
///
/// The parser accepts any three digits. Those outside 100 to 599 are no status (RFC 9110, section 15); and
/// 101 says that the connection now speaks another protocol, for which the client never asks.
/// @return the fault with which the response is rejected; none if the status may come
boost::system::error_code statusFault(unsigned Status);

/// @return whether a response with this status is followed by the one that answers the request
bool isInterim(unsigned Status);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_RESPONSE_FRAMING_H
