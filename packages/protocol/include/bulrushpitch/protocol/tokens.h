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

/// @brief Keys that sign tokens. To rotate keys, add a new one, make it current, and remove the old one when
/// all tokens that it signed have expired.
struct KeyRing {
  std::map<std::string, std::string> m_Keys; ///< Secrets by key id, at least 16 bytes each.
  std::string m_Current;                     ///< Id of the key that signs new tokens.
};

/// @brief Signs and checks payloads as `<key id>.<payload>.<mac>`, base64url, HMAC-SHA256.
class TokenSigner {
public:
  /// @param Purpose kind of token; part of the signed data, so that a token of another kind is not accepted
  /// @throw std::invalid_argument if the current key is missing, a secret is shorter than 16 bytes or a key
  /// id contains a dot
  TokenSigner(KeyRing Keys, std::string Purpose);

  std::string sign(std::string_view Payload) const;
  /// @brief Verifies the signature of a token.
  /// @param OnFailure code of the error if the token is not valid
  /// @return the payload
  Result<std::string> verify(std::string_view Token, ErrorCode OnFailure) const;

private:
  std::string mac(const std::string &Secret, std::string_view Signed) const;

  KeyRing m_Keys;
  std::string m_Purpose;
};

/// @brief Content of a session token (design 3.7).
struct SessionClaims {
  TeamId m_Team;
  SessionId m_Session;
  ModelId m_Model;
  VersionId m_Version;
  WallTime m_IssuedAt;
  WallTime m_ExpiresAt;
  bool operator==(const SessionClaims &) const = default;
};

/// @brief Issues and verifies session tokens.
class SessionTokens {
public:
  explicit SessionTokens(KeyRing Keys);
  std::string issue(const SessionClaims &Claims) const;
  /// @param Team the team of the request
  /// @return the claims; error 206 if expired, 207 if not valid or issued to another team
  Result<SessionClaims> verify(std::string_view Token, const TeamId &Team, WallTime Now) const;

private:
  TokenSigner m_Signer;
};

/// @brief Content of a resume token (design 3.6).
struct ResumeClaims {
  TeamId m_Team;
  RequestId m_Request;
  AttemptId m_Attempt;
  UpstreamId m_Upstream;
  StreamId m_Stream;
  ModelId m_Model;
  VersionId m_Version;
  std::uint64_t m_Offset = 0; ///< Byte offset at which the attempt began; greater than 0 for a continuation.
  WallTime m_ExpiresAt;
  bool operator==(const ResumeClaims &) const = default;
};

/// @brief Issues and verifies resume tokens.
class ResumeTokens {
public:
  explicit ResumeTokens(KeyRing Keys);
  std::string issue(const ResumeClaims &Claims) const;
  /// @return the claims; error 208 if expired, not valid or issued to another team
  Result<ResumeClaims> verify(std::string_view Token, const TeamId &Team, WallTime Now) const;

private:
  TokenSigner m_Signer;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_TOKENS_H
