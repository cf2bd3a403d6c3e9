#ifndef BULRUSHPITCH_NET_SRC_DETAIL_REQUEST_FRAMING_H
#define BULRUSHPITCH_NET_SRC_DETAIL_REQUEST_FRAMING_H

#include <boost/system/error_code.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace bulrushpitch::detail {

/// @brief What the first bytes of a request show of its head.
struct HeadProgress {
  /// Size of the head with its empty line; nothing while its end hasn't arrived.
  std::optional<std::size_t> m_Size;
  /// Why the request is rejected: a line does not end with CRLF.
  boost::system::error_code m_Fault;
};

/// @brief Finds the end of a request's head.
/// @param Bytes the request from its first byte, as far as it has arrived
/// @complexity linear in the size of the head
HeadProgress findHeadEnd(std::string_view Bytes);

/// @brief Checks whether a request's head leaves no doubt where the request ends.
///
/// What follows a request on its connection is the next request. So a head that another reader could
/// understand differently lets a request hide in the body of another one (RFC 9112, sections 6.3 and 11.2).
/// Accepted are at most one Content-Length with one decimal number, or one Transfer-Encoding, of HTTP/1.1,
/// that is "chunked" and nothing else.
/// @param Head the request line and the fields, each line ended by CRLF
/// @return the fault with which the request is rejected; none if its end is clear
boost::system::error_code framingFault(std::string_view Head);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_NET_SRC_DETAIL_REQUEST_FRAMING_H
