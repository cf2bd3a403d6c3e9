#ifndef BULRUSHPITCH_NET_SRC_DETAIL_RESPONSE_FRAMING_H
#define BULRUSHPITCH_NET_SRC_DETAIL_RESPONSE_FRAMING_H

#include <boost/system/error_code.hpp>

#include <string_view>

namespace bulrushpitch::detail {

/// @brief Checks whether a response's status is one that may answer a request.
///
/// The parser accepts any three digits. Those outside 100 to 599 are no status (RFC 9110, section 15); and
/// 101 says that the connection now speaks another protocol, for which the client never asks.
/// @return the fault with which the response is rejected; none if the status may come
boost::system::error_code statusFault(unsigned Status);

/// @return whether a response with this status is followed by the one that answers the request
bool isInterim(unsigned Status);

/// @brief Tells whether a line of a response's head continues the one before (obs-fold; RFC 9112,
/// section 5.2).
///
/// The parser joins the two. A field whose name follows a blank would so end in the value of another one, and
/// with it what says how the body is framed.
/// @param Bytes what follows the last line that was parsed, as far as it has arrived, the body included
/// @complexity linear in what has arrived of the head
bool hasFoldedLine(std::string_view Bytes);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_RESPONSE_FRAMING_H
