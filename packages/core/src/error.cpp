#include "bulrushpitch/core/error.h"

namespace bulrushpitch {

std::string_view nameOf(Ran Value) {
  switch (Value) {
  case Ran::No:
    return "no";
  case Ran::Yes:
    return "yes";
  case Ran::Unknown:
    break;
  }
  return "unknown";
}

std::string_view nameOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::MalformedHttp:
    return "MalformedHttp";
  case ErrorCode::MalformedBody:
    return "MalformedBody";
  case ErrorCode::HeadersTooLarge:
    return "HeadersTooLarge";
  case ErrorCode::BodyTooLarge:
    return "BodyTooLarge";
  case ErrorCode::UnknownPath:
    return "UnknownPath";
  case ErrorCode::BadHeaderValue:
    return "BadHeaderValue";
  case ErrorCode::ClientTooSlow:
    return "ClientTooSlow";
  case ErrorCode::IdleTimeout:
    return "IdleTimeout";
  case ErrorCode::MissingIdempotencyKey:
    return "MissingIdempotencyKey";
  case ErrorCode::ClientGone:
    return "ClientGone";
  case ErrorCode::Unauthorized:
    return "Unauthorized";
  case ErrorCode::ModelNotAllowed:
    return "ModelNotAllowed";
  case ErrorCode::VersionNotAllowed:
    return "VersionNotAllowed";
  case ErrorCode::ServiceNotAllowed:
    return "ServiceNotAllowed";
  case ErrorCode::VersionWithdrawn:
    return "VersionWithdrawn";
  case ErrorCode::SessionTokenExpired:
    return "SessionTokenExpired";
  case ErrorCode::SessionTokenInvalid:
    return "SessionTokenInvalid";
  case ErrorCode::ResumeTokenInvalid:
    return "ResumeTokenInvalid";
  case ErrorCode::DocumentSyntax:
    return "DocumentSyntax";
  case ErrorCode::UnknownField:
    return "UnknownField";
  case ErrorCode::MissingField:
    return "MissingField";
  case ErrorCode::BadFieldValue:
    return "BadFieldValue";
  case ErrorCode::UnknownReference:
    return "UnknownReference";
  case ErrorCode::DuplicateObject:
    return "DuplicateObject";
  case ErrorCode::StillReferenced:
    return "StillReferenced";
  case ErrorCode::RevisionConflict:
    return "RevisionConflict";
  case ErrorCode::RevisionTooOld:
    return "RevisionTooOld";
  case ErrorCode::NotReady:
    return "NotReady";
  case ErrorCode::SettingsInvalid:
    return "SettingsInvalid";
  case ErrorCode::NoUpstream:
    return "NoUpstream";
  case ErrorCode::QualityUnreachable:
    return "QualityUnreachable";
  case ErrorCode::DeadlineUnreachable:
    return "DeadlineUnreachable";
  case ErrorCode::Overloaded:
    return "Overloaded";
  case ErrorCode::RetryBudgetSpent:
    return "RetryBudgetSpent";
  case ErrorCode::DomainOut:
    return "DomainOut";
  case ErrorCode::Draining:
    return "Draining";
  case ErrorCode::NoPermit:
    return "NoPermit";
  case ErrorCode::LinkBudgetSpent:
    return "LinkBudgetSpent";
  case ErrorCode::PromptQuarantined:
    return "PromptQuarantined";
  case ErrorCode::UpstreamConnect:
    return "UpstreamConnect";
  case ErrorCode::UpstreamTimeout:
    return "UpstreamTimeout";
  case ErrorCode::UpstreamProtocol:
    return "UpstreamProtocol";
  case ErrorCode::UpstreamRefused:
    return "UpstreamRefused";
  case ErrorCode::UpstreamBroken:
    return "UpstreamBroken";
  case ErrorCode::StreamLost:
    return "StreamLost";
  case ErrorCode::PlatformUnavailable:
    return "PlatformUnavailable";
  case ErrorCode::PlatformTimeout:
    return "PlatformTimeout";
  case ErrorCode::PlatformProtocol:
    return "PlatformProtocol";
  case ErrorCode::ConditionFailed:
    return "ConditionFailed";
  case ErrorCode::ObjectNotFound:
    return "ObjectNotFound";
  case ErrorCode::HistoryLost:
    return "HistoryLost";
  case ErrorCode::PeerUnreachable:
    return "PeerUnreachable";
  case ErrorCode::PeerProtocol:
    return "PeerProtocol";
  case ErrorCode::LeaseNotHeld:
    return "LeaseNotHeld";
  case ErrorCode::FencingTooOld:
    return "FencingTooOld";
  case ErrorCode::ChargesFull:
    return "ChargesFull";
  case ErrorCode::ClaimTaken:
    return "ClaimTaken";
  case ErrorCode::ClaimOutcomeUnknown:
    return "ClaimOutcomeUnknown";
  case ErrorCode::ClaimUnavailable:
    return "ClaimUnavailable";
  case ErrorCode::ChargeNotKept:
    return "ChargeNotKept";
  case ErrorCode::SessionStoreUnavailable:
    return "SessionStoreUnavailable";
  case ErrorCode::Internal:
    return "Internal";
  case ErrorCode::UnknownServiceName:
    return "UnknownServiceName";
  }
  return "Unknown";
}

std::string Error::toString() const {
  std::string Text = "[" + std::to_string(static_cast<int>(m_Code)) + "] " + m_Step;
  if (!m_Peer.empty())
    Text += " (" + m_Peer + ")";
  Text += ": " + m_Detail + ", ran: ";
  Text += nameOf(m_Ran);
  return Text;
}

std::ostream &operator<<(std::ostream &Out, const Error &Value) { return Out << Value.toString(); }

} // namespace bulrushpitch
