#ifndef BULRUSHPITCH_PLATFORM_DETAIL_WIRE_H
#define BULRUSHPITCH_PLATFORM_DETAIL_WIRE_H

/// @file
/// @brief Encoding and strict decoding of the platform's messages (docs/protocols.md, section 3).
///
/// Decoders fail with error 603, without a peer and with `Ran::No`; the clients set the peer and `Ran`.

#include "bulrushpitch/platform/platform.h"

namespace bulrushpitch::detail {

/// @brief Percent-encodes all bytes except letters, digits, "-._~" and those in @p Unescaped.
std::string percentEncode(std::string_view Text, std::string_view Unescaped = "");
/// @return the decoded text; nothing if an escape is malformed
std::optional<std::string> percentDecode(std::string_view Text);

/// @return the request body; error 603 if a key or value is not UTF-8
Expected<std::string> encodeTransaction(const std::vector<RowWrite> &Writes);
Expected<std::vector<RowWrite>> decodeTransaction(std::string_view Body);

Expected<std::optional<Row>> decodeRow(std::string_view Body);
Expected<std::vector<Row>> decodeRows(std::string_view Body);
/// @param Writes the transaction that was sent; the response must have a row and a flag for each write, in
/// order
Expected<CommitOutcome> decodeCommit(std::string_view Body, const std::vector<RowWrite> &Writes);
Expected<Done> decodePutResponse(std::string_view Body);
Expected<std::vector<ListedInstance>> decodeInstances(std::string_view Body);
std::string encodeRating(const RatingRequest &Request);
Expected<double> decodeRating(std::string_view Body);
Expected<std::vector<VersionId>> decodeVersions(std::string_view Body);

/// @brief Body of an error response of the platform.
struct ErrorBody {
  std::string m_Text;
  Ran m_Ran = Ran::Unknown; ///< Unknown if the body does not state it.
};
ErrorBody decodeErrorBody(std::string_view Body);

/// @param Text an address in the form "ip:port"
/// @return the address; nothing if it is malformed
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_PLATFORM_DETAIL_WIRE_H
