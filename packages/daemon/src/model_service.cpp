#include "bulrushpitch/daemon/model_service.h"

#include "exchange_registry.h"
#include "model_exchange.h"

#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration FailoverCheckInterval = std::chrono::milliseconds(500);

} // namespace

ModelService::ModelService(const Runtime &Base, ModelServiceDependencies Dependencies)
    : m_Runtime(Base), m_Dependencies(Dependencies),
      m_Exchanges(std::make_unique<ExchangeRegistry>(Dependencies.m_Cluster)),
      m_FailoverTicker(
          Base.m_Context, [] { return FailoverCheckInterval; }, [this] { failOverPastDrainDeadline(); }) {
  m_Dependencies.m_Permits.onPermitExpired([this](const AttemptId &Attempt) { cancelAttempt(Attempt); });
}

ModelService::~ModelService() = default;

Result<void> ModelService::start() {
  m_FailoverTicker.start();
  return {};
}

void ModelService::stop() { m_FailoverTicker.stop(); }

AttemptId ModelService::newAttemptId() { return m_Exchanges->newAttemptId(); }

std::size_t ModelService::activeAnswers() const { return m_Exchanges->active().size(); }

asio::awaitable<void> ModelService::serve(ModelCall Call, AnswerSink &Sink) {
  m_Dependencies.m_Routing.retryBudget().onRequest();
  ModelExchange Running(m_Runtime, m_Dependencies, *m_Exchanges, std::move(Call), Sink);
  Expected<Done> Outcome = co_await Running.run();
  if (!Outcome)
    co_await Sink.fail(Outcome.error());
}

asio::awaitable<void> ModelService::resume(ResumeCall Call, AnswerSink &Sink) {
  ModelExchange Running(m_Runtime, m_Dependencies, *m_Exchanges, std::move(Call.m_Call), Sink);
  Expected<Done> Outcome = co_await Running.runResumed(Call.m_Claims, Call.m_Offset);
  if (!Outcome)
    co_await Sink.fail(Outcome.error());
}

void ModelService::interruptAll() {
  for (ModelExchange *Running : m_Exchanges->active())
    Running->interrupt();
}

void ModelService::cancelAttempt(const AttemptId &Attempt) {
  if (ModelExchange *Running = m_Exchanges->findByAttempt(Attempt))
    Running->failOver(ErrorCode::NoPermit);
}

void ModelService::failOverPastDrainDeadline() {
  const TimePoint Now = m_Runtime.m_Clock();
  const Duration DrainDeadline = m_Dependencies.m_Cluster.effectiveConfiguration()->m_Limits.m_DrainDeadline;
  for (ModelExchange *Running : m_Exchanges->active())
    Running->failOverPastDrainDeadline(DrainDeadline, Now);
}

} // namespace bulrushpitch
