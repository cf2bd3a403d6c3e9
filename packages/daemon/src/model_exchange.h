#ifndef BULRUSHPITCH_DAEMON_MODEL_EXCHANGE_H
#define BULRUSHPITCH_DAEMON_MODEL_EXCHANGE_H

#include "answer_in_progress.h"
#include "answer_rater.h"
#include "answer_reader.h"
#include "answer_writer.h"
#include "exchange_registry.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bulrushpitch {

/// @brief Processes one model request, from the first routing decision to the charge.
class ModelExchange {
public:
  /// @brief The referenced objects must outlive this object.
  ModelExchange(const Runtime &Base, const ModelServiceDependencies &Dependencies, ExchangeRegistry &Registry,
                ModelCall Call, AnswerSink &Sink);
  ~ModelExchange();
  ModelExchange(const ModelExchange &) = delete;
  ModelExchange &operator=(const ModelExchange &) = delete;

  /// @brief Answers the request.
  boost::asio::awaitable<Expected<Done>> run();
  /// @brief Continues an answer that was interrupted. If its stream is lost and the caller has received none
  /// of it, the request is answered again on the same version.
  /// @param Offset bytes of the answer that the caller has received
  boost::asio::awaitable<Expected<Done>> runResumed(const ResumeClaims &Claims, std::uint64_t Offset);

  /// @brief Ends the answer because the daemon is shutting down.
  void interrupt() { m_Reader.interrupt(); }
  /// @brief Cancels the current attempt; the answer is continued at another upstream.
  void failOver(ErrorCode Reason) { m_Reader.failOver(Reason); }
  /// @brief Fails over if the current upstream has been drained, leaving or in an excluded failure domain for
  /// the drain deadline.
  void failOverPastDrainDeadline(Duration DrainDeadline, TimePoint Now);

private:
  boost::asio::awaitable<Expected<Done>> pinSession();
  /// Pins the request to the version of its session token.
  Expected<Done> continueSession(const std::string &Token);
  /// Pins a session without a token to a version.
  boost::asio::awaitable<Expected<Done>> startSession(SessionId Session);
  /// Generates the answer of one cascade step, with retries and failover.
  boost::asio::awaitable<Expected<Done>> runCascadeStep();
  /// @return whether it is worth waiting for a permit after no upstream was found
  bool mayWaitForPermit(const Error &Failure, Duration Backoff) const;
  boost::asio::awaitable<void> waitForPermits(Duration Backoff);
  /// @return an error if the request may not be tried again
  Expected<Done> prepareRetry(const RouteDecision &Decision, const Error &Failure);
  boost::asio::awaitable<Expected<Done>> attempt(const RouteDecision &Decision);
  boost::asio::awaitable<Expected<Done>> acquirePermit(const RouteDecision &Decision, AttemptId Attempt);
  void recordOutcome(const AttemptId &Attempt, const Expected<Done> &Outcome);
  boost::asio::awaitable<Expected<Done>> readResumed(std::uint64_t Offset);
  boost::asio::awaitable<Expected<Done>> finish();
  /// Moves on to the next cascade step.
  void escalate();
  /// Adds the price of the attempt that has ended.
  void addCost();
  /// @return the error, stating also whether earlier attempts have run
  Error withRan(Error Failure) const;

  const Runtime &m_Runtime;
  const ModelServiceDependencies &m_Dependencies;
  ExchangeRegistry &m_Registry;
  AnswerInProgress m_Answer;
  AnswerWriter m_Writer;
  AnswerReader m_Reader;
  AnswerRater m_Rater;
  RouteRequest m_Route;
  std::vector<UpstreamId> m_UpstreamsWithoutPermit;
  MicroCents m_ChargeAmount;
  /// When the current upstream was first found drained, leaving or in an excluded failure domain.
  std::optional<TimePoint> m_OutOfServiceSince;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_MODEL_EXCHANGE_H
