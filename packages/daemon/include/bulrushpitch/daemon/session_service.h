#ifndef BULRUSHPITCH_DAEMON_SESSION_SERVICE_H
#define BULRUSHPITCH_DAEMON_SESSION_SERVICE_H

#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/daemon/table_executor.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/protocol/session_pins.h"
#include "bulrushpitch/protocol/tokens.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief Issues and verifies session and resume tokens, and pins sessions that have an id but no token.
class SessionService : public Service {
public:
  SessionService(const Runtime &Base, std::shared_ptr<TableExecutor> Table);

  Result<void> start() override;
  void stop() override;

  /// @return a token that pins the session to a version
  std::string issueSessionToken(const TeamId &Team, const SessionId &Session, const ModelId &Model,
                                const VersionId &Pinned) const;
  /// @return the claims of the token, or error 206 or 207
  Expected<SessionClaims> verifySessionToken(std::string_view Token, const TeamId &Team) const;
  /// @return a token with which the caller can resume an answer; its expiry is set here
  std::string issueResumeToken(ResumeClaims Claims) const;
  /// @return the claims of the token, or error 208
  Expected<ResumeClaims> verifyResumeToken(std::string_view Token, const TeamId &Team) const;

  /// @brief Pins a session without a token.
  /// @return the version that the session is pinned to, whichever daemon pinned it; error 806 if the table
  /// service does not respond
  boost::asio::awaitable<Expected<VersionId>> pin(PinRequest Request);

private:
  void run(PinActions Actions);
  void execute(CommitRows Action);
  void execute(ReadRow Action);
  void execute(PinDecision Action);

  Runtime m_Runtime;
  std::shared_ptr<TableExecutor> m_Table;
  SessionTokens m_SessionTokens;
  ResumeTokens m_ResumeTokens;
  SessionPins m_Pins;
  std::map<std::uint64_t, std::shared_ptr<OneShot<PinDecision>>> m_PendingPins;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_SESSION_SERVICE_H
