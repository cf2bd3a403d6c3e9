#ifndef BULRUSHPITCH_DAEMON_MODEL_SERVICE_H
#define BULRUSHPITCH_DAEMON_MODEL_SERVICE_H

#include "bulrushpitch/daemon/answer_sink.h"
#include "bulrushpitch/daemon/billing_service.h"
#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/engine_client.h"
#include "bulrushpitch/daemon/explain_log.h"
#include "bulrushpitch/daemon/permit_service.h"
#include "bulrushpitch/daemon/routing_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/daemon/session_service.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/metrics/metrics.h"
#include "bulrushpitch/net/async.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

class ExchangeRegistry;

/// @brief A caller's request for a model's answer, as parsed from the HTTP request.
struct ModelCall {
  TeamId m_Team;
  RequestId m_Request;
  ModelId m_Model;
  TaskName m_Task;
  std::vector<ChatMessage> m_Prompt;
  std::uint64_t m_MaxTokens = 256;
  bool m_Stream = false;
  std::optional<double> m_QualityTarget; ///< From 0 to 1.
  std::optional<VersionId> m_Version;    ///< Named by the caller as "model@version".
  std::optional<SessionId> m_Session;
  std::optional<std::string> m_SessionToken;
  TimePoint m_Deadline;
};

/// @brief A caller's request to resume an answer whose stream was interrupted.
struct ResumeCall {
  ModelCall m_Call;
  ResumeClaims m_Claims;
  std::uint64_t m_Offset = 0; ///< Bytes of the answer that the caller has received.
};

/// @brief Dependencies of ModelService.
struct ModelServiceDependencies {
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PermitService &m_Permits;
  BillingService &m_Billing;
  SessionService &m_Sessions;
  EngineClient &m_Engines;
  RatingService &m_Ratings;
  ExplainLog &m_Explain;
  Recorder &m_Events;
  Distribution &m_TimeToFirstText; ///< Time from the request to the first text that is released.
  Distribution &m_RequestDuration; ///< Time from the request to the answer's end.
};

/// @brief Serves model requests: chooses versions and upstreams, streams answers, rates them, escalates to
/// other versions, resumes interrupted streams, and records charges.
class ModelService : public Service {
public:
  ModelService(const Runtime &Base, ModelServiceDependencies Dependencies);
  ~ModelService() override;

  Result<void> start() override;
  void stop() override;

  /// @brief Serves a request and writes the answer, or an error, to the sink.
  boost::asio::awaitable<void> serve(ModelCall Call, AnswerSink &Sink);
  /// @brief Resumes an answer that was started by this or another daemon.
  boost::asio::awaitable<void> resume(ResumeCall Call, AnswerSink &Sink);

  /// @brief Ends all answers in progress with an error that refers to the resume token, for a graceful
  /// shutdown.
  void interruptAll();
  /// @return the number of answers in progress
  std::size_t activeAnswers() const;
  /// @return a new attempt id, unique across all daemons and restarts
  AttemptId newAttemptId();

private:
  void failOverPastDrainDeadline();
  void cancelAttempt(const AttemptId &Attempt);

  Runtime m_Runtime;
  ModelServiceDependencies m_Dependencies;
  std::unique_ptr<ExchangeRegistry> m_Exchanges;
  Ticker m_FailoverTicker;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_MODEL_SERVICE_H
