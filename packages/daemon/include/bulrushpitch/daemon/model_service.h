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

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief A caller's request for a model's answer.
struct ModelCall {
  TeamId m_Team;
  RequestId m_Request;
  ModelId m_Model;
  TaskName m_Task;
  std::vector<ChatMessage> m_Prompt;
  std::uint64_t m_MaxTokens = 256;
  bool m_Stream = false;
  std::optional<double> m_Quality;
  std::optional<VersionId> m_Version; ///< Named by the caller as "model@version".
  std::optional<SessionId> m_Session;
  std::optional<std::string> m_SessionToken;
  TimePoint m_Deadline;
};

/// @brief A caller's wish to go on with an answer that it lost.
struct ResumeCall {
  ModelCall m_Call;
  ResumeClaims m_Claims;
  std::uint64_t m_Offset = 0; ///< Bytes of the answer that the caller has.
};

/// @brief What the model service works with.
struct ModelParts {
  ClusterService &m_Cluster;
  RoutingService &m_Routing;
  PermitService &m_Permits;
  BillingService &m_Billing;
  SessionService &m_Sessions;
  EngineClient &m_Engines;
  RatingService &m_Ratings;
  ExplainLog &m_Explain;
  Recorder &m_Events;
  Distribution &m_FirstText; ///< From the request to the first text that is released.
  Distribution &m_Whole;     ///< From the request to the answer's end.
};

/// @brief Answers model requests: chooses versions and upstreams, streams, rates, escalates, resumes,
/// charges.
class ModelService : public Service {
public:
  ModelService(const Runtime &Base, ModelParts Parts);
  ~ModelService() override;

  Result<void> start() override;
  void stop() override;

  /// @brief Answers a request through the sink, with an error if need be.
  boost::asio::awaitable<void> serve(ModelCall Call, AnswerSink &Sink);
  /// @brief Goes on with an answer that another daemon, or this one, began.
  boost::asio::awaitable<void> resume(ResumeCall Call, AnswerSink &Sink);

  /// @brief Ends all running answers with an error that names the resume token, for a graceful stop.
  void interruptAll();
  /// @return answers being made now
  std::size_t active() const { return m_Active.size(); }
  /// @return a new attempt id, unique over all daemons and restarts
  AttemptId newAttempt();

private:
  class Exchange;

  void moveOverdue();
  void cancelAttempt(const AttemptId &Attempt);

  Runtime m_Runtime;
  ModelParts m_Parts;
  std::set<Exchange *> m_Active;
  std::map<AttemptId, Exchange *> m_ByAttempt;
  std::uint64_t m_NextAttempt = 1;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_MODEL_SERVICE_H
