#include "bulrushpitch/protocol/tokens.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace bulrushpitch {

namespace {

using nlohmann::json;

constexpr std::size_t MinSecretBytes = 16;

std::string toBase64Url(std::string_view Bytes) {
  std::vector<unsigned char> Buffer(4 * (Bytes.size() / 3 + 1) + 1);
  const int Length = EVP_EncodeBlock(Buffer.data(), reinterpret_cast<const unsigned char *>(Bytes.data()),
                                     static_cast<int>(Bytes.size()));
  std::string Text(Buffer.begin(), Buffer.begin() + Length);
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  for (char &Character : Text)
    Character = Character == '+' ? '-' : Character == '/' ? '_' : Character;
  return Text;
}

std::optional<std::string> fromBase64Url(std::string_view Text) {
  std::string Padded(Text);
  for (char &Character : Padded) {
    if (Character == '+' || Character == '/' || Character == '=')
      return std::nullopt;
    Character = Character == '-' ? '+' : Character == '_' ? '/' : Character;
  }
  const std::size_t Padding = (4 - Padded.size() % 4) % 4;
  Padded.append(Padding, '=');
  std::vector<unsigned char> Buffer(Padded.size() / 4 * 3 + 1);
  const int Length = EVP_DecodeBlock(Buffer.data(), reinterpret_cast<const unsigned char *>(Padded.data()),
                                     static_cast<int>(Padded.size()));
  if (Length < 0 || Padding == 3)
    return std::nullopt;
  return std::string(Buffer.begin(), Buffer.begin() + Length - static_cast<std::ptrdiff_t>(Padding));
}

bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() && CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::int64_t millisSinceEpoch(WallTime Time) { return Time.time_since_epoch().count(); }
WallTime wallTime(const json &Millis) {
  return WallTime(std::chrono::milliseconds(Millis.get<std::int64_t>()));
}

Error tokenError(ErrorCode Code, const std::string &Detail) {
  return Error{Code, "check token", "", Ran::No, Detail};
}

/// Parses a payload whose signature has been verified.
template <typename Claims, typename Function>
Result<Claims> parse(const std::string &Payload, ErrorCode OnFailure, Function &&ReadClaims) {
  try {
    return ReadClaims(json::parse(Payload));
  } catch (const json::exception &Failure) {
    return fail(tokenError(OnFailure, Failure.what()));
  }
}

} // namespace

TokenSigner::TokenSigner(KeyRing Keys, std::string Purpose)
    : m_Keys(std::move(Keys)), m_Purpose(std::move(Purpose)) {
  if (m_Keys.m_Keys.count(m_Keys.m_Current) == 0)
    throw std::invalid_argument("token keys: the current key '" + m_Keys.m_Current + "' is not listed");
  for (const std::pair<const std::string, std::string> &Entry : m_Keys.m_Keys)
    if (Entry.second.size() < MinSecretBytes || Entry.first.find('.') != std::string::npos)
      throw std::invalid_argument("token key '" + Entry.first +
                                  "': the secret needs at least 16 bytes and the id must not contain '.'");
}

std::string TokenSigner::mac(const std::string &Secret, std::string_view Signed) const {
  const std::string Input = m_Purpose + "." + std::string(Signed);
  std::vector<unsigned char> Digest(EVP_MAX_MD_SIZE);
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Input.data()), Input.size(), Digest.data(), &Length);
  return std::string(Digest.begin(), Digest.begin() + Length);
}

std::string TokenSigner::sign(std::string_view Payload) const {
  const std::string Signed = m_Keys.m_Current + "." + toBase64Url(Payload);
  return Signed + "." + toBase64Url(mac(m_Keys.m_Keys.at(m_Keys.m_Current), Signed));
}

Result<std::string> TokenSigner::verify(std::string_view Token, ErrorCode OnFailure) const {
  const std::size_t FirstDot = Token.find('.');
  const std::size_t LastDot = Token.rfind('.');
  if (FirstDot == std::string_view::npos || FirstDot == LastDot)
    return fail(tokenError(OnFailure, "the token does not have three parts"));
  const auto Key = m_Keys.m_Keys.find(std::string(Token.substr(0, FirstDot)));
  if (Key == m_Keys.m_Keys.end())
    return fail(tokenError(OnFailure, "the token is signed with an unknown key"));
  // The encoded forms are compared, because several encodings decode to the same bytes and only one is valid.
  const std::string ExpectedMac = toBase64Url(mac(Key->second, Token.substr(0, LastDot)));
  if (!equalInConstantTime(ExpectedMac, std::string(Token.substr(LastDot + 1))))
    return fail(tokenError(OnFailure, "the token's signature does not match"));
  const std::optional<std::string> Payload =
      fromBase64Url(Token.substr(FirstDot + 1, LastDot - FirstDot - 1));
  if (!Payload)
    return fail(tokenError(OnFailure, "the token's payload is not base64url"));
  return *Payload;
}

SessionTokens::SessionTokens(KeyRing Keys) : m_Signer(std::move(Keys), "session") {}

std::string SessionTokens::issue(const SessionClaims &Claims) const {
  return m_Signer.sign(json{{"team", Claims.m_Team.value()},
                            {"session", Claims.m_Session.value()},
                            {"model", Claims.m_Model.value()},
                            {"version", Claims.m_Version.value()},
                            {"issued", millisSinceEpoch(Claims.m_IssuedAt)},
                            {"expires", millisSinceEpoch(Claims.m_ExpiresAt)}}
                           .dump());
}

Result<SessionClaims> SessionTokens::verify(std::string_view Token, const TeamId &Team, WallTime Now) const {
  Result<std::string> Payload = m_Signer.verify(Token, ErrorCode::SessionTokenInvalid);
  if (!Payload)
    return Payload.error();
  Result<SessionClaims> Claims =
      parse<SessionClaims>(*Payload, ErrorCode::SessionTokenInvalid, [](const json &Object) {
        return SessionClaims{TeamId(Object.at("team").get<std::string>()),
                             SessionId(Object.at("session").get<std::string>()),
                             ModelId(Object.at("model").get<std::string>()),
                             VersionId(Object.at("version").get<std::string>()),
                             wallTime(Object.at("issued")),
                             wallTime(Object.at("expires"))};
      });
  if (!Claims)
    return Claims;
  if (Claims->m_Team != Team)
    return fail(tokenError(ErrorCode::SessionTokenInvalid, "the session token belongs to another team"));
  if (Now >= Claims->m_ExpiresAt)
    return fail(tokenError(ErrorCode::SessionTokenExpired, "the session token has expired"));
  return Claims;
}

ResumeTokens::ResumeTokens(KeyRing Keys) : m_Signer(std::move(Keys), "resume") {}

std::string ResumeTokens::issue(const ResumeClaims &Claims) const {
  return m_Signer.sign(json{{"team", Claims.m_Team.value()},
                            {"request", Claims.m_Request.value()},
                            {"attempt", Claims.m_Attempt.value()},
                            {"upstream", Claims.m_Upstream.value()},
                            {"stream", Claims.m_Stream.value()},
                            {"model", Claims.m_Model.value()},
                            {"version", Claims.m_Version.value()},
                            {"offset", Claims.m_Offset},
                            {"expires", millisSinceEpoch(Claims.m_ExpiresAt)}}
                           .dump());
}

Result<ResumeClaims> ResumeTokens::verify(std::string_view Token, const TeamId &Team, WallTime Now) const {
  Result<std::string> Payload = m_Signer.verify(Token, ErrorCode::ResumeTokenInvalid);
  if (!Payload)
    return Payload.error();
  Result<ResumeClaims> Claims =
      parse<ResumeClaims>(*Payload, ErrorCode::ResumeTokenInvalid, [](const json &Object) {
        return ResumeClaims{TeamId(Object.at("team").get<std::string>()),
                            RequestId(Object.at("request").get<std::string>()),
                            AttemptId(Object.at("attempt").get<std::string>()),
                            UpstreamId(Object.at("upstream").get<std::string>()),
                            StreamId(Object.at("stream").get<std::string>()),
                            ModelId(Object.at("model").get<std::string>()),
                            VersionId(Object.at("version").get<std::string>()),
                            Object.at("offset").get<std::uint64_t>(),
                            wallTime(Object.at("expires"))};
      });
  if (!Claims)
    return Claims;
  if (Claims->m_Team != Team)
    return fail(tokenError(ErrorCode::ResumeTokenInvalid, "the resume token belongs to another team"));
  if (Now >= Claims->m_ExpiresAt)
    return fail(tokenError(ErrorCode::ResumeTokenInvalid, "the resume token has expired"));
  return Claims;
}

} // namespace bulrushpitch
