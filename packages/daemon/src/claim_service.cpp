#include "bulrushpitch/daemon/claim_service.h"

#include <glog/logging.h>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(5);
/// The claim manager refuses at the deadline itself; this only guards against a verdict that never comes.
constexpr Duration VerdictGrace = std::chrono::seconds(1);
} // namespace

ClaimService::ClaimService(const Runtime &Base, std::shared_ptr<TableExecutor> Table)
    : m_Runtime(Base), m_Table(std::move(Table)), m_Tick(
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

asio::awaitable<ClaimDecision> ClaimService::begin(ClaimRequest Request) {
  const std::shared_ptr<OneShot<ClaimDecision>> Verdict =
      std::make_shared<OneShot<ClaimDecision>>(m_Runtime.m_Context);
  const AttemptId Attempt = Request.m_Attempt;
  m_Waiting[Attempt] = Verdict;
  const TimePoint Now = m_Runtime.m_Clock();
  run(m_Claims.begin(Now, Request));
  const std::optional<ClaimDecision> Decision =
      co_await Verdict->wait(Request.m_Deadline - Now + VerdictGrace);
  m_Waiting.erase(Attempt);
  if (Decision)
    co_return *Decision;
  run(m_Claims.notSent(m_Runtime.m_Clock(), Attempt));
  ClaimDecision Refused;
  Refused.m_Attempt = Attempt;
  Refused.m_Error = Error{ErrorCode::ClaimUnavailable, "claim request", "table service", Ran::No,
                          "the claim was not confirmed before the deadline"};
  co_return Refused;
}

void ClaimService::completed(const AttemptId &Attempt, const std::string &Answer) {
  run(m_Claims.completed(m_Runtime.m_Clock(), Attempt, Answer));
}

void ClaimService::notSent(const AttemptId &Attempt) { run(m_Claims.notSent(m_Runtime.m_Clock(), Attempt)); }

void ClaimService::lost(const AttemptId &Attempt) { m_Claims.lost(Attempt); }

void ClaimService::run(ClaimActions Actions) {
  for (ClaimAction &Action : Actions)
    std::visit([this](auto &Chosen) { execute(std::move(Chosen)); }, Action);
}

void ClaimService::execute(CommitRows Action) {
  m_Table->commit(std::move(Action), [this](std::uint64_t Token, const CommitResult &Outcome) {
    run(m_Claims.committed(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void ClaimService::execute(ReadRow Action) {
  m_Table->read(std::move(Action), [this](std::uint64_t Token, const ReadResult &Outcome) {
    run(m_Claims.rowRead(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void ClaimService::execute(ClaimDecision Action) {
  if (const auto Found = m_Waiting.find(Action.m_Attempt); Found != m_Waiting.end())
    Found->second->set(std::move(Action));
}

} // namespace bulrushpitch
