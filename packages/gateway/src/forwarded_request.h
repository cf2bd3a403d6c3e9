#ifndef BULRUSHPITCH_GATEWAY_SRC_FORWARDED_REQUEST_H
#define BULRUSHPITCH_GATEWAY_SRC_FORWARDED_REQUEST_H

#include "bulrushpitch/forward/attempt.h"
#include "bulrushpitch/forward/event_splitter.h"
#include "bulrushpitch/forward/placement.h"
#include "bulrushpitch/gateway/forwarder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch::detail {

/// @brief An attempt that may have reached its upstream.
struct SentAttempt {
  UpstreamId m_Upstream;
  TimePoint m_SentAt{};
  bool m_Broke = false; ///< The connection or the response broke off.
  /// The attempt had ended before the upstream was removed from the registry. An upstream that is removed
  /// while it works may be leaving, and goes on serving.
  bool m_EndedBeforeRemoval = false;
};

/// @brief State of one forwarded request: its route, its attempts, and the stream events already relayed.
class ForwardedRequest {
public:
  ForwardedRequest(ForwarderDependencies &Dependencies, HttpRequest &Request, ResponseWriter &Writer);

  /// @brief Serves the request. On return a response has been written, or the connection has to be closed.
  boost::asio::awaitable<void> serve();

private:
  using StreamPtr = std::unique_ptr<HttpStream>;

  /// @brief Waits until configuration and registry have been read, for at most StartupTimeout after the
  /// daemon's start.
  boost::asio::awaitable<void> waitUntilReady();
  /// @brief Determines route, team, deadline and service.
  /// @return the status to reject the request with, or nothing
  std::optional<unsigned> resolve();
  /// @brief Picks one of the route's services at random by weight, from the hash of the request's id.
  void chooseService();
  boost::asio::awaitable<void> run();

  /// @brief Sets the regions of the newest configuration, which may differ from those at the request's
  /// arrival. A route or key that it no longer has keeps the regions that it had.
  void restrictRegions(PlacementQuery &Query) const;
  /// @brief Describes the request to the placement: where it may run now.
  PlacementQuery placementQuery() const;
  /// @return the versions that the request may run on while the service has a version trial
  VersionRule versionRule(VersionTrial &Trial) const;
  /// @brief Places the request with findUpstream() or chooseUpstream().
  /// @param FindUpstream called with the pool, the query, the context and the time
  Placement placeWith(Placement (*FindUpstream)(UpstreamPool &, const PlacementQuery &,
                                                const PlacementContext &, TimePoint));
  Placement chooseNextUpstream();
  /// @brief Keeps why a placement found no upstream.
  void recordNoUpstream(const Placement &Found);
  /// @brief Sends the request to one upstream and relays the response if it may be relayed.
  boost::asio::awaitable<AttemptOutcome> attempt(PooledUpstream &Target);
  boost::asio::awaitable<AttemptOutcome> handleResponse(HttpStream &Response);
  /// @brief Records what the upstream of the current attempt says of itself, and logs it if it is new.
  void recordNotice(const UpstreamNotice &Notice);
  /// @brief Reserves what asking a larger model needs: an attempt, an upstream and a retry of the budget.
  /// @return false if the answer at hand has to be relayed
  bool acquireEscalation();
  /// @return whether the retry budget allows an escalation
  bool mayEscalate() const;
  void recordRetry(AttemptOutcome Cause);
  /// @brief Reads a response body up to MaxBufferedBytes.
  /// @return true if the body is complete; false if it is larger and the rest is still to be read
  boost::asio::awaitable<Expected<bool>> readBody(HttpStream &Response, std::string &Body);
  /// @brief Keeps an upstream's 5xx response, to relay it if no attempt succeeds.
  boost::asio::awaitable<AttemptOutcome> keepServerError(HttpStream &Response);
  boost::asio::awaitable<AttemptOutcome> relayBuffered(HttpStream &Response);
  /// @param Start the part of the body that has been read already
  boost::asio::awaitable<AttemptOutcome> relayRest(HttpStream &Response, std::string Start);
  /// @return whether to keep waiting for a stream that was silent for its timeout: its upstream has recently
  /// sent data for other requests, or this request may not be retried
  bool keepsWaiting(const Error &Failure, const UpstreamId &Target, TimePoint LastDataAt);
  /// @brief Relays an event stream until it ends or fails.
  boost::asio::awaitable<AttemptOutcome> relayEvents(HttpStream &Response);
  /// @brief Writes the events that have been received completely to the caller.
  /// @return the attempt's outcome if it has ended; nothing to read on
  boost::asio::awaitable<std::optional<AttemptOutcome>> writeCompleteEvents(HttpStream &Response,
                                                                            EventSplitter &Events);
  boost::asio::awaitable<bool> beginResponse(HttpStream &Response);
  boost::asio::awaitable<void> reject(unsigned Status, std::optional<Duration> RetryAfter,
                                      std::string_view Reason);
  boost::asio::awaitable<void> fail();
  /// @return after what time the caller may find an upstream
  Duration retryAfter() const;
  /// @return the part of the prompt that is in quarantine
  std::optional<QuarantinedPart> quarantinedPart() const;
  /// @brief Rejects the request because of a part of its prompt; no daemon will serve it.
  boost::asio::awaitable<void> rejectQuarantined(const QuarantinedPart &Quarantined);
  /// @brief Tells the quarantine how the attempt ended.
  void recordCrashSuspicion(const UpstreamId &Target, AttemptOutcome Outcome);
  /// @return whether the upstream is draining, so that it ends connections without a crash
  bool isLeaving(const UpstreamId &Target) const;
  void logSuspicion(const UpstreamId &Target);

  /// @brief Decides whether the request may be retried now, without regard to the retry budget.
  /// @return nothing if it may be retried, else the reason
  std::optional<RetryDenial> retryDenialNow(AttemptOutcome Last);
  /// @brief Decides whether to retry after this outcome. Takes the retry from the budget, unless the attempt
  /// was not sent or its retry was charged on escalation.
  /// @return nothing if the request is retried after this outcome, else the reason
  std::optional<RetryDenial> acquireRetry(AttemptOutcome Last);
  /// @brief Like acquireRetry(), but a stream that has begun waits while the reason is temporary: its caller
  /// can only get the rest.
  boost::asio::awaitable<std::optional<RetryDenial>> awaitRetry(AttemptOutcome Last);
  CallOptions callOptions(const UpstreamId &Target);
  Duration silenceTimeout() const;
  /// @return the model chosen by the router; nothing if the caller names one
  std::optional<ModelId> chosenModel() const;
  void releasePendingPrefill(const UpstreamId &Target);
  UpstreamCall upstreamCall(const PooledUpstream &Target) const;
  /// @brief Updates the pool, the log, the metrics and the version trial after an attempt.
  void recordAttemptEnd(const UpstreamId &Target, const VersionId &Version, AttemptOutcome Outcome);
  /// @return number of attempts that count towards the limit; those whose upstream has since ended do not
  std::uint32_t countedAttempts() const;
  bool countsTowardsLimit(const SentAttempt &Sent) const;
  /// @return how much longer to wait for the response head; zero gives up
  Duration headTimeoutExtension(const UpstreamId &Target);
  RetryState retryState() const;
  /// @return whether the request could be retried if the current attempt timed out now. An attempt is given
  /// up early only if this is true.
  bool couldRetryNow();
  Duration remainingTime() const { return m_Deadline - m_Dependencies.m_Clock(); }
  bool foundNoUpstream() const { return m_RetryDenial == RetryDenial::NoUpstream; }
  bool isStream() const { return m_Route->m_Kind == RequestKind::Stream; }
  /// @brief Keeps the error for the log.
  AttemptOutcome outcomeOf(const Error &Failure);
  /// @brief Adds the finished request to the log and the metrics.
  void recordRequestEnd(std::string_view Outcome, unsigned Status);

  ForwarderDependencies &m_Dependencies;
  HttpRequest &m_Request;
  ResponseWriter &m_Writer;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  CallerRequest m_Caller;
  std::shared_ptr<const ConfigIndex> m_ConfigIndex;
  const ForwardRoute *m_Route = nullptr;
  const ForwardTeam *m_Team = nullptr;
  ServiceId m_Service;
  std::uint64_t m_RequestHash = 0; ///< Of m_Caller.m_AttemptId; used for all random choices by share.

  std::shared_ptr<CallHandle> m_Handle; ///< Of the current attempt.
  bool m_CallerGone = false;
  std::vector<UpstreamId> m_Tried;
  std::vector<SentAttempt> m_Sent;
  /// Attempts at upstreams that can't be reached count as long as these are registered.
  bool m_CountsUnreachable = false;
  std::uint32_t m_FailedConnections = 0; ///< Attempts whose connection failed.
  bool m_MayHaveRun = false;
  bool m_PartRelayed = false;   ///< The caller has a part of a response that isn't a resumable stream.
  std::size_t m_ModelIndex = 0; ///< Index into the route's models.
  bool m_Escalated = false;
  std::size_t m_AttemptModelIndex = 0;     ///< Of the current attempt, for the log.
  RegisteredUpstream m_AttemptUpstream;    ///< Of the current attempt, as in the registry when it was sent.
  RegionId m_AttemptRegion;                ///< Of the current attempt's upstream, for the log.
  std::optional<ErrorCode> m_AttemptError; ///< Of the current attempt, for the log.
  std::uint32_t m_AttemptEvents = 0;       ///< Complete events received in the current attempt.
  ModelId m_AttemptModel;                  ///< Of the current attempt; empty if the caller names the model.
  Duration m_ExpectedPrefill{};            ///< Expected prefill time of the current attempt.
  int m_Confidence = 0;                    ///< Of the last response, for the log.
  bool m_AnyAttemptFailed = false;         ///< An attempt has failed; later ones avoid a version under trial.
  AttemptOutcome m_LastOutcome = AttemptOutcome::NotSent;
  PlacementRejection m_NoUpstreamReason = PlacementRejection::NoUpstream;
  std::optional<TimePoint> m_UpstreamAt;    ///< When an upstream may be available, if that is known.
  std::optional<RetryDenial> m_RetryDenial; ///< Why there was no further attempt.
  TimePoint m_SentAt{};
  Duration m_PendingPrefill{}; ///< Prefill time of the current attempt, while pending at its upstream.
  Duration m_HeadLatency{};
  std::optional<HttpResponse> m_ServerError; ///< Last 5xx response; relayed if no attempt succeeds.
  EventSequence m_Sequence;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_GATEWAY_SRC_FORWARDED_REQUEST_H
