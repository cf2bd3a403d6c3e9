#include "bulrushpitch/daemon/claim_service.h"

#include <glog/logging.h>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(5);
/// The claim manager itself refuses at the deadline; this only guards against a decision that never arrives.
constexpr Duration DecisionGrace = std::chrono::seconds(1);
} // namespace

ClaimService::ClaimService(const Runtime &Base, std::shared_ptr<TableExecutor> Table)
    : m_Runtime(Base), m_TableExecutor(std::move(Table)), m_Tick(
                                                              Base.m_Context, [] { return TickInterval; },
                                                              [this] {
                                                                if (m_Claims.size() > 0)
                                                                  run(m_Claims.tick(m_Runtime.m_Clock()));
                                                              }) {}

Result<void> ClaimService::start() {
  m_Tick.start();
  return {};
}

void ClaimService::stop() { m_Tick.stop(); }

asio::awaitable<ClaimDecision> ClaimService::claim(ClaimRequest Request) {
  const std::shared_ptr<OneShot<ClaimDecision>> Pending =
      std::make_shared<OneShot<ClaimDecision>>(m_Runtime.m_Context);
  const AttemptId Attempt = Request.m_Attempt;
  m_PendingDecisions[Attempt] = Pending;
  const TimePoint Now = m_Runtime.m_Clock();
  run(m_Claims.begin(Now, Request));
  const std::optional<ClaimDecision> Decision =
      co_await Pending->wait(Request.m_Deadline - Now + DecisionGrace);
  m_PendingDecisions.erase(Attempt);
  if (Decision)
    co_return *Decision;
  run(m_Claims.notSent(m_Runtime.m_Clock(), Attempt));
  ClaimDecision Refused;
  Refused.m_Attempt = Attempt;
  Refused.m_Error = Error{ErrorCode::ClaimUnavailable, "claim request", "table service", Ran::No,
                          "the claim was not confirmed before the deadline"};
  co_return Refused;
}

void ClaimService::completed(const AttemptId &Attempt, const std::string &Response) {
  run(m_Claims.completed(m_Runtime.m_Clock(), Attempt, Response));
}

void ClaimService::notSent(const AttemptId &Attempt) { run(m_Claims.notSent(m_Runtime.m_Clock(), Attempt)); }

void ClaimService::responseLost(const AttemptId &Attempt) { m_Claims.responseLost(Attempt); }

void ClaimService::run(ClaimActions Actions) {
  for (ClaimAction &Action : Actions)
    std::visit([this](auto &Alternative) { execute(std::move(Alternative)); }, Action);
}

void ClaimService::execute(CommitRows Action) {
  m_TableExecutor->commit(std::move(Action), [this](std::uint64_t Token, const CommitResult &Outcome) {
    run(m_Claims.committed(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void ClaimService::execute(ReadRow Action) {
  m_TableExecutor->read(std::move(Action), [this](std::uint64_t Token, const ReadResult &Outcome) {
    run(m_Claims.rowRead(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void ClaimService::execute(ClaimDecision Action) {
  if (const auto Found = m_PendingDecisions.find(Action.m_Attempt); Found != m_PendingDecisions.end())
    Found->second->set(std::move(Action));
}

} // namespace bulrushpitch
