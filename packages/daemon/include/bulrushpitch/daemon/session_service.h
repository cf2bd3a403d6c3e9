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

/// @brief Session and resume tokens, and pins of sessions that are known by id only.
class SessionService : public Service {
public:
  SessionService(const Runtime &Base, std::shared_ptr<TableExecutor> Table);

  Result<void> start() override;
  void stop() override;

  /// @return a token that pins the session to a version
  std::string issueSession(const TeamId &Team, const SessionId &Session, const ModelId &Model,
                           const VersionId &Pinned) const;
  /// @return what the token says; error 206 or 207
  Expected<SessionClaims> verifySession(std::string_view Token, const TeamId &Team) const;
  std::string issueResume(ResumeClaims Claims) const;
  /// @return what the token says; error 208
  Expected<ResumeClaims> verifyResume(std::string_view Token, const TeamId &Team) const;

  /// @brief Pins a session without a token.
  /// @return the session's version, whoever pinned it; error 806 if the store cannot tell
  boost::asio::awaitable<Expected<VersionId>> pin(PinRequest Request);

private:
  void run(PinActions Actions);
  void execute(CommitRows Action);
  void execute(ReadRow Action);
  void execute(PinDecision Action);

  Runtime m_Runtime;
  std::shared_ptr<TableExecutor> m_Table;
  SessionTokens m_Sessions;
  ResumeTokens m_Resumes;
  SessionPins m_Pins;
  std::map<std::uint64_t, std::shared_ptr<OneShot<PinDecision>>> m_Waiting;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_SESSION_SERVICE_H
