#ifndef BULRUSHPITCH_CORE_ERROR_H
#define BULRUSHPITCH_CORE_ERROR_H

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief Whether the requested work is known to have run.
enum class Ran : std::uint8_t {
  No,     ///< Certainly nothing ran.
  Yes,    ///< It ran, wholly or in part.
  Unknown ///< It may have run.
};

/// @brief Stable error numbers. Callers, operators and tests rely on them; a number is never reused.
///
/// Families: 1xx caller input, 2xx permission, 3xx configuration, 4xx routing and admission, 5xx upstream,
/// 6xx platform, 7xx peer, 8xx billing and claims, 9xx internal.
enum class ErrorCode : std::uint16_t {
  MalformedHttp = 101,
  MalformedBody = 102,
  HeadersTooLarge = 103,
  BodyTooLarge = 104,
  UnknownPath = 105,
  BadHeaderValue = 106,
  ClientTooSlow = 107,
  IdleTimeout = 108,
  MissingIdempotencyKey = 109,
  ClientGone = 110,

  Unauthorized = 201,
  ModelNotAllowed = 202,
  VersionNotAllowed = 203,
  ServiceNotAllowed = 204,
  VersionWithdrawn = 205,
  SessionTokenExpired = 206,
  SessionTokenInvalid = 207,
  ResumeTokenInvalid = 208,

  DocumentSyntax = 301,
  UnknownField = 302,
  MissingField = 303,
  BadFieldValue = 304,
  UnknownReference = 305,
  DuplicateObject = 306,
  StillReferenced = 307,
  RevisionConflict = 308,
  RevisionTooOld = 309,
  NotReady = 310,
  SettingsInvalid = 311,

  NoUpstream = 401,
  QualityUnreachable = 402,
  DeadlineUnreachable = 403,
  Overloaded = 404,
  RetryBudgetSpent = 405,
  DomainOut = 406,
  Draining = 407,
  NoPermit = 408,
  LinkBudgetSpent = 409,
  PromptQuarantined = 410,

  UpstreamConnect = 501,
  UpstreamTimeout = 502,
  UpstreamProtocol = 503,
  UpstreamRefused = 504,
  UpstreamBroken = 505,
  StreamLost = 506,

  PlatformUnavailable = 601,
  PlatformTimeout = 602,
  PlatformProtocol = 603,
  ConditionFailed = 604,
  ObjectNotFound = 605,
  HistoryLost = 606,

  PeerUnreachable = 701,
  PeerProtocol = 702,
  LeaseNotHeld = 703,
  FencingTooOld = 704,

  ChargesFull = 801,
  ClaimTaken = 802,
  ClaimOutcomeUnknown = 803,
  ClaimUnavailable = 804,
  ChargeNotKept = 805,
  SessionStoreUnavailable = 806,

  Internal = 901,
  UnknownServiceName = 902,
};

/// @brief An error as operators and callers see it.
struct Error {
  ErrorCode m_Code = ErrorCode::Internal;
  std::string m_Step;   ///< What was being done, for example "claim request".
  std::string m_Peer;   ///< The other side, for example "table service 127.0.0.1:7100"; empty if none.
  Ran m_Ran = Ran::No;  ///< Whether the caller's work is known to have run.
  std::string m_Detail; ///< Where and why, in one sentence.

  /// @brief Formats the error for a log line.
  /// @return "[number] step (peer): detail, ran: no|yes|unknown"
  std::string toString() const;

  friend bool operator==(const Error &, const Error &) = default;
};

/// @param Value whether work ran
/// @return "no", "yes" or "unknown"
std::string_view nameOf(Ran Value);

/// @param Code an error number
/// @return the enumerator's name, for example "NoUpstream"; "Unknown" for a number that is not listed
std::string_view nameOf(ErrorCode Code);

std::ostream &operator<<(std::ostream &Out, const Error &Value);

/// @brief The result of a synchronous function that can fail with an Error.
template <typename T> using Result = boost::leaf::result<T>;

/// @brief Fails a function that returns Result.
/// @param Failure the error to report
/// @return an error id that converts to any Result
inline boost::leaf::error_id fail(Error Failure) { return boost::leaf::new_error(std::move(Failure)); }

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CORE_ERROR_H
