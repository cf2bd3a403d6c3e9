#ifndef BULRUSHPITCH_PROTOCOL_TOKENS_H
#define BULRUSHPITCH_PROTOCOL_TOKENS_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/error.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief Keys that sign tokens. To rotate, add a key, make it current, and remove the old one when the
/// tokens that it signed have expired.
struct KeyRing {
  std::map<std::string, std::string> m_Keys; ///< Key id to secret, at least 16 bytes each.
  std::string m_Current;                     ///< Id of the key that signs new tokens.
};

/// @brief Signs and checks payloads as `<key id>.<payload>.<mac>`, base64url, HMAC-SHA256.
class TokenSigner {
public:
  /// @param Purpose keeps tokens of one kind from passing for another kind
  /// @throw std::invalid_argument if the current key is missing or a key is shorter than 16 bytes
  TokenSigner(KeyRing Keys, std::string Purpose);

  std::string sign(std::string_view Payload) const;
  /// @return the payload
  Result<std::string> open(std::string_view Token, ErrorCode OnFailure) const;

private:
  std::string mac(const std::string &Secret, std::string_view Signed) const;

  KeyRing m_Keys;
  std::string m_Purpose;
};

/// @brief What a session token says (design 3.7).
struct SessionClaims {
  TeamId m_Team;
  SessionId m_Session;
  ModelId m_Model;
  VersionId m_Version;
  WallTime m_IssuedAt;
  WallTime m_ExpiresAt;
  bool operator==(const SessionClaims &) const = default;
};

/// @brief Session tokens.
class SessionTokens {
public:
  explicit SessionTokens(KeyRing Keys);
  std::string issue(const SessionClaims &Claims) const;
  /// @param Team the team of the request
  /// @return the claims; error 206 if expired, 207 if not valid or another team's
  Result<SessionClaims> verify(std::string_view Token, const TeamId &Team, WallTime Now) const;

private:
  TokenSigner m_Signer;
};

/// @brief What a resume token says (design 3.6).
struct ResumeClaims {
  TeamId m_Team;
  RequestId m_Request;
  AttemptId m_Attempt;
  UpstreamId m_Upstream;
  StreamId m_Stream;
  ModelId m_Model;
  VersionId m_Version;
  std::uint64_t m_Offset = 0; ///< Offset at which the attempt began; higher than 0 for a continuation.
  WallTime m_ExpiresAt;
  bool operator==(const ResumeClaims &) const = default;
};

/// @brief Resume tokens.
class ResumeTokens {
public:
  explicit ResumeTokens(KeyRing Keys);
  std::string issue(const ResumeClaims &Claims) const;
  /// @return the claims; error 208 if expired, not valid or another team's
  Result<ResumeClaims> verify(std::string_view Token, const TeamId &Team, WallTime Now) const;

private:
  TokenSigner m_Signer;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_TOKENS_H
