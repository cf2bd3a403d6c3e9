#include "bulrushpitch/daemon/session_service.h"

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::chrono::hours SessionTokenLifetime{24};
/// Longer than engines keep a finished stream.
constexpr std::chrono::minutes ResumeTokenLifetime{10};
/// Added to the wait for a decision. SessionPins rejects a pin at its deadline, so a longer wait only covers
/// a decision that is never delivered.
constexpr Duration DecisionGracePeriod = std::chrono::seconds(1);

KeyRing keyRing(const Settings &Configured) {
  KeyRing Keys;
  for (const TokenKey &Key : Configured.m_TokenKeys)
    Keys.m_Keys[Key.m_Id] = Key.m_Secret;
  Keys.m_Current = Configured.m_TokenKeys.front().m_Id;
  return Keys;
}

} // namespace

SessionService::SessionService(const Runtime &Base, std::shared_ptr<TableExecutor> Table)
    : m_Runtime(Base), m_Table(std::move(Table)), m_SessionTokens(keyRing(Base.m_Settings)),
      m_ResumeTokens(keyRing(Base.m_Settings)),
      m_Tick(
          Base.m_Context, [] { return TickInterval; }, [this] { run(m_Pins.tick(m_Runtime.m_Clock())); }) {}

Result<void> SessionService::start() {
  m_Tick.start();
  return {};
}

void SessionService::stop() { m_Tick.stop(); }

std::string SessionService::issueSessionToken(const TeamId &Team, const SessionId &Session,
                                              const ModelId &Model, const VersionId &Pinned) const {
  SessionClaims Claims;
  Claims.m_Team = Team;
  Claims.m_Session = Session;
  Claims.m_Model = Model;
  Claims.m_Version = Pinned;
  Claims.m_IssuedAt = m_Runtime.m_WallClock();
  Claims.m_ExpiresAt = Claims.m_IssuedAt + SessionTokenLifetime;
  return m_SessionTokens.issue(Claims);
}

Expected<SessionClaims> SessionService::verifySessionToken(std::string_view Token, const TeamId &Team) const {
  return capture([&] { return m_SessionTokens.verify(Token, Team, m_Runtime.m_WallClock()); });
}

std::string SessionService::issueResumeToken(ResumeClaims Claims) const {
  Claims.m_ExpiresAt = m_Runtime.m_WallClock() + ResumeTokenLifetime;
  return m_ResumeTokens.issue(Claims);
}

Expected<ResumeClaims> SessionService::verifyResumeToken(std::string_view Token, const TeamId &Team) const {
  return capture([&] { return m_ResumeTokens.verify(Token, Team, m_Runtime.m_WallClock()); });
}

asio::awaitable<Expected<VersionId>> SessionService::pin(PinRequest Request) {
  const TimePoint Now = m_Runtime.m_Clock();
  const Duration Remaining = Request.m_Deadline - Now;
  const std::shared_ptr<OneShot<PinDecision>> Pending =
      std::make_shared<OneShot<PinDecision>>(m_Runtime.m_Context);
  std::uint64_t CallId = 0;
  PinActions Actions = m_Pins.pin(Now, Request, CallId);
  m_PendingPins[CallId] = Pending;
  run(std::move(Actions));
  const std::optional<PinDecision> Decision = co_await Pending->wait(Remaining + DecisionGracePeriod);
  m_PendingPins.erase(CallId);
  if (Decision && Decision->m_Version)
    co_return *Decision->m_Version;
  if (Decision && Decision->m_Error)
    co_return *Decision->m_Error;
  co_return Error{ErrorCode::SessionStoreUnavailable, "pin session", "table service", Ran::No,
                  "the table service did not respond; send the session token instead of the session id"};
}

void SessionService::run(PinActions Actions) {
  for (PinAction &Action : Actions)
    std::visit([this](auto &Chosen) { execute(std::move(Chosen)); }, Action);
}

void SessionService::execute(CommitRows Action) {
  m_Table->commit(std::move(Action), [this](std::uint64_t Token, const CommitResult &Outcome) {
    run(m_Pins.committed(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void SessionService::execute(ReadRow Action) {
  m_Table->read(std::move(Action), [this](std::uint64_t Token, const ReadResult &Outcome) {
    run(m_Pins.rowRead(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void SessionService::execute(PinDecision Action) {
  if (const auto Found = m_PendingPins.find(Action.m_Call); Found != m_PendingPins.end())
    Found->second->set(std::move(Action));
}

} // namespace bulrushpitch
