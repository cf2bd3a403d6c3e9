#ifndef BULRUSHPITCH_DECISION_ADMISSION_H
#define BULRUSHPITCH_DECISION_ADMISSION_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bulrushpitch {

/// @brief A queued request.
struct QueuedRequest {
  RequestId m_Request;
  TeamId m_Team;
  TaskName m_Task;
  Duration m_EngineTime{}; ///< Expected processing time at an engine.
  TimePoint m_Deadline;
  std::uint64_t m_Ticket = 0; ///< Assigned by AdmissionQueue::offer(), in ascending order.
};

/// @brief A request that was rejected after it had been queued.
struct RejectedRequest {
  QueuedRequest m_Request;
  Error m_Reason; ///< Error 201, 403 or 404, with Ran::No.
};

/// @brief Queues requests for which no upstream has capacity.
///
/// Teams share the capacity by weight (deficit round robin over engine time). Within a team, requests are
/// served in descending order of value per second of engine time, and in order of arrival if the values are
/// equal. A request that is expected to miss its deadline is rejected at once; a queued request that can no
/// longer meet its deadline is rejected and never served. The order depends only on the calls made. Not
/// thread-safe.
class AdmissionQueue {
public:
  /// @param MaxRequests maximum number of queued requests. Above it, the team with the most queued engine
  /// time for its weight loses its request with the lowest value per second.
  explicit AdmissionQueue(std::size_t MaxRequests = 1024);

  /// @brief Replaces the teams' weights and task values. Queued requests of removed teams are rejected.
  void setConfiguration(const Configuration &Config);

  /// @brief Queues a request.
  /// @return the ticket, or error 201 (unknown team), 403 (expected to miss its deadline) or 404 (queue full)
  /// @complexity linear in the number of teams and in the number of the team's requests with a higher value
  /// per second
  Expected<std::uint64_t> offer(QueuedRequest Request, TimePoint Now);

  /// @brief Removes and returns the next request to serve.
  /// @return std::nullopt if the queue is empty
  /// @complexity logarithmic in the number of requests, amortised
  std::optional<QueuedRequest> take(TimePoint Now);

  /// @brief Requeues a request that was taken but could not be placed at an upstream. It keeps its ticket and
  /// thus its position within its team.
  void requeue(QueuedRequest Request);

  /// @brief Removes a request, for example after its caller has disconnected.
  /// @return whether it was queued
  bool cancel(std::uint64_t Ticket);

  /// @brief Returns and clears the requests rejected since the last call: those shed from a full
  /// queue, those that can no longer meet their deadlines, and those of removed teams.
  std::vector<RejectedRequest> takeRejected(TimePoint Now);

  /// @return estimated wait of a new request behind all queued requests of the team, from the recent service
  /// rate; zero if the team is unknown or the rate is not known yet
  Duration expectedWait(const TeamId &Team) const;
  std::size_t size() const { return m_ByTicket.size(); }

private:
  /// Position within a team: by descending value per second of engine time, then by ascending ticket.
  struct Key {
    double m_ValuePerSecond = 0.0;
    std::uint64_t m_Ticket = 0;
    bool operator<(const Key &Other) const {
      return m_ValuePerSecond != Other.m_ValuePerSecond ? m_ValuePerSecond > Other.m_ValuePerSecond
                                                        : m_Ticket < Other.m_Ticket;
    }
  };
  struct TeamQueue {
    double m_Weight = 1.0;
    std::map<TaskName, double> m_TaskValue;
    std::map<Key, QueuedRequest> m_Waiting;
    double m_Deficit = 0.0;             ///< Seconds of engine time that the team may use in this round.
    double m_QueuedEngineSeconds = 0.0; ///< Of all waiting requests.
  };
  struct Position {
    TeamId m_Team;
    Key m_Key;
  };

  static double valuePerSecond(const TeamQueue &Queue, const QueuedRequest &Request);
  static TimePoint latestStart(const QueuedRequest &Request);
  void insert(QueuedRequest Request);
  QueuedRequest remove(std::uint64_t Ticket);
  QueuedRequest serve(const TeamId &Team, TeamQueue &Queue, TimePoint Now);
  void rejectExpired(TimePoint Now);
  void shedFromLargestBacklog();
  void reject(QueuedRequest Request, ErrorCode Code, const char *Detail);
  std::map<TeamId, TeamQueue>::iterator nextTeam(std::map<TeamId, TeamQueue>::iterator Current);
  void creditEmptyRounds();
  Duration estimateWait(const TeamQueue &Queue, double SecondsAhead) const;
  void updateServiceRate(double Seconds, TimePoint Now);

  std::size_t m_MaxRequests;
  std::map<TeamId, TeamQueue> m_Teams;
  std::map<std::uint64_t, Position> m_ByTicket;
  std::set<std::pair<TimePoint, std::uint64_t>> m_ByLatestStart;
  std::vector<RejectedRequest> m_Rejected;
  std::optional<TeamId> m_CurrentTeam; ///< The team whose turn it is.
  bool m_QuantumCredited = false;      ///< Whether that team has received its quantum for this turn.
  std::uint64_t m_NextTicket = 1;
  double m_ServiceRate = 0.0;         ///< Seconds of engine time served per second; 0 if not known yet.
  double m_WindowServedSeconds = 0.0; ///< Engine time.
  TimePoint m_WindowStart{};
  bool m_WindowOpen = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ADMISSION_H
