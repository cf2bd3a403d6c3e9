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

/// @brief One request on its way: its route, its attempts, and what its caller already has.
class ForwardedRequest {
public:
  ForwardedRequest(ForwarderParts &Parts, HttpRequest &Request, ResponseWriter &Writer);

  /// @brief Serves the request. The writer has an answer at the end, or the connection is to be closed.
  boost::asio::awaitable<void> serve();

private:
  using Head = std::unique_ptr<HttpStream>;

  /// @brief Waits until the configuration is known, if this daemon has just started.
  boost::asio::awaitable<void> waitForStart();
  /// @brief Finds route, team and service.
  /// @return the status to refuse with, or nothing
  std::optional<unsigned> resolve();
  void chooseService();
  boost::asio::awaitable<void> run();

  Placement choosePlace();
  /// @brief Sends the request to one upstream and relays the answer if it may be.
  boost::asio::awaitable<AttemptOutcome> attempt(PooledUpstream &Target);
  boost::asio::awaitable<AttemptOutcome> judge(HttpStream &Answer);
  /// @brief Reads an answer's body up to a limit.
  /// @return whether the body has ended; false: it is larger, and the rest is still to be read
  boost::asio::awaitable<Expected<bool>> readBody(HttpStream &Answer, std::string &Body);
  boost::asio::awaitable<AttemptOutcome> keepFailure(HttpStream &Answer);
  boost::asio::awaitable<AttemptOutcome> relayWhole(HttpStream &Answer);
  boost::asio::awaitable<AttemptOutcome> relayRest(HttpStream &Answer, std::string Begun);
  /// @return whether a stream that was silent for its timeout is waited for: its upstream is at work for
  /// others, or the request may not be sent again.
  bool waitsOn(const Error &Failure, const UpstreamId &Target, TimePoint HeardAt) const;
  boost::asio::awaitable<AttemptOutcome> relayEvents(HttpStream &Answer);
  boost::asio::awaitable<std::optional<AttemptOutcome>> forwardEvents(HttpStream &Answer,
                                                                      EventSplitter &Events);
  boost::asio::awaitable<bool> begin(HttpStream &Answer);
  boost::asio::awaitable<void> refuse(unsigned Status, std::optional<Duration> RetryAfter,
                                      std::string_view Why);
  boost::asio::awaitable<void> fail();

  bool mayGoOn(AttemptOutcome Last);
  CallOptions callOptions(const UpstreamId &Target) const;
  Duration silenceTimeout() const;
  /// @return the model that the router chooses; nothing if the caller names one
  std::optional<ModelId> askedModel() const;
  void endWork(const UpstreamId &Target);
  UpstreamCall upstreamCall(const PooledUpstream &Target) const;
  void noteEnd(const UpstreamId &Target, const VersionId &Version, AttemptOutcome Outcome);
  std::uint32_t countedAttempts() const;
  Duration moreTimeForHead(const UpstreamId &Target) const;
  RetryState retryState() const;
  /// @return whether the request could be sent again if its upstream were given up now
  bool mayRetryNow() const;
  Duration left() const { return m_Deadline - m_Parts.m_Clock(); }
  bool streams() const { return m_Route->m_Kind == RequestKind::Stream; }
  AttemptOutcome outcomeOf(const Error &Failure) const;
  void logEnd(std::string_view Outcome, unsigned Status);

  ForwarderParts &m_Parts;
  HttpRequest &m_Request;
  ResponseWriter &m_Writer;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  CallerRequest m_Caller;
  std::shared_ptr<const Directory> m_Directory;
  const ForwardRoute *m_Route = nullptr;
  const ForwardTeam *m_Team = nullptr;
  ServiceId m_Service;
  std::uint64_t m_Hash = 0; ///< Of the attempt id, for all shares by chance.

  std::shared_ptr<CallHandle> m_Handle; ///< Of the attempt under way.
  bool m_CallerGone = false;
  std::vector<UpstreamId> m_Tried;
  std::vector<UpstreamId> m_SentTo; ///< Of each attempt that may have reached its upstream.

  std::uint32_t m_NotSent = 0;
  bool m_MayHaveRun = false;
  std::size_t m_Model = 0; ///< Index into the route's models.
  bool m_Escalated = false;
  std::size_t m_AskedModel = 0; ///< Of the attempt under way, for the log.
  ModelId m_AskedName;          ///< Of the attempt under way; empty if the caller names the model.
  Duration m_ExpectedWork{};    ///< Of the attempt under way: what reading its prompt should take.
  int m_Confidence = 0;         ///< Of the last answer, for the log.
  bool m_HadFailure = false;    ///< An attempt failed, so that no version under trial is asked any more.
  AttemptOutcome m_Last = AttemptOutcome::NotSent;
  NoPlace m_Obstacle = NoPlace::NoUpstream;
  bool m_NoPlace = false;
  TimePoint m_SentAt{};
  Duration m_Work{}; ///< Of the attempt under way, as noted at its upstream.
  Duration m_HeadTook{};
  std::optional<HttpResponse> m_Failure; ///< The upstream's own failure, kept in case no attempt succeeds.
  EventSequence m_Sequence;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_GATEWAY_SRC_FORWARDED_REQUEST_H
