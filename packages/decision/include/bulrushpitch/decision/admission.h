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

/// @brief A request that waits for an upstream.
struct QueuedRequest {
  RequestId m_Request;
  TeamId m_Team;
  TaskName m_Task;
  Duration m_EngineTime{}; ///< Expected time at the engine.
  TimePoint m_Deadline;
  std::uint64_t m_Ticket = 0; ///< Given by the queue, rises with each offer.
};

/// @brief A request that left the queue without being served.
struct RefusedRequest {
  QueuedRequest m_Request;
  Error m_Reason; ///< 403 or 404, not run.
};

/// @brief Holds requests that no upstream can take now.
///
/// Teams share the capacity by weight (deficit round robin over engine time). Within a team the request with
/// the highest value per second of engine time goes first, the older one of equals. A request that cannot
/// meet its deadline is refused at once, and one that no longer can is never served. The order depends only
/// on the calls made. Not thread-safe.
class AdmissionQueue {
public:
  /// @param MostRequests when full, the team with the most queued time for its weight loses its request of
  /// least value per second
  explicit AdmissionQueue(std::size_t MostRequests = 1024);

  /// @brief Takes the teams' weights and task values. Requests of teams that are gone are refused.
  void setConfiguration(const Configuration &Config);

  /// @brief Queues a request.
  /// @return the ticket, or error 403 (cannot meet its deadline) or 404 (queue full)
  /// @complexity linear in the number of teams and of the team's requests that go first
  Expected<std::uint64_t> offer(QueuedRequest Request, TimePoint Now);

  /// @brief Takes the next request.
  /// @return nothing if the queue is empty
  /// @complexity logarithmic in the number of requests, amortised
  std::optional<QueuedRequest> take(TimePoint Now);

  /// @brief Puts back a request that was taken but found no upstream. It keeps its place in its team.
  void putBack(QueuedRequest Request);

  /// @brief Removes a request, for example when its caller left.
  /// @return whether it was queued
  bool cancel(std::uint64_t Ticket);

  /// @brief Hands over the requests refused since the last call: shed from a full queue, or too late now.
  std::vector<RefusedRequest> takeRefused(TimePoint Now);

  /// @return the time until a request of the team would be served, from the rate of the last seconds
  Duration expectedWait(const TeamId &Team) const;
  std::size_t size() const { return m_ByTicket.size(); }

private:
  /// Order of service within a team.
  struct Key {
    double m_Value = 0.0;
    std::uint64_t m_Ticket = 0;
    bool operator<(const Key &Other) const {
      return m_Value != Other.m_Value ? m_Value > Other.m_Value : m_Ticket < Other.m_Ticket;
    }
  };
  struct TeamQueue {
    double m_Weight = 1.0;
    std::map<TaskName, double> m_TaskValue;
    std::map<Key, QueuedRequest> m_Waiting;
    double m_Deficit = 0.0; ///< Seconds of engine time.
    double m_QueuedTime = 0.0;
  };
  struct Place {
    TeamId m_Team;
    Key m_Key;
  };

  static double valueOf(const TeamQueue &Queue, const QueuedRequest &Request);
  static TimePoint latestStart(const QueuedRequest &Request);
  void insert(QueuedRequest Request);
  QueuedRequest remove(std::uint64_t Ticket);
  QueuedRequest serve(const TeamId &Team, TeamQueue &Queue, TimePoint Now);
  void dropLate(TimePoint Now);
  void shed();
  void refuse(QueuedRequest Request, ErrorCode Code, const char *Why);
  std::map<TeamId, TeamQueue>::iterator nextTurn(std::map<TeamId, TeamQueue>::iterator At);
  void skipEmptyRounds();
  Duration waitBehind(const TeamQueue &Queue, double TimeAhead) const;
  void countServed(double Seconds, TimePoint Now);

  std::size_t m_Most;
  std::map<TeamId, TeamQueue> m_Teams;
  std::map<std::uint64_t, Place> m_ByTicket;
  std::set<std::pair<TimePoint, std::uint64_t>> m_ByLatestStart;
  std::vector<RefusedRequest> m_Refused;
  std::optional<TeamId> m_Turn; ///< The team that is being served.
  bool m_TurnPaid = false;      ///< Whether that team got its quantum in this turn.
  std::uint64_t m_NextTicket = 1;
  double m_ServiceRate = 0.0; ///< Seconds of engine time per second; 0 before it is known.
  double m_ServedInWindow = 0.0;
  TimePoint m_WindowStart{};
  bool m_WindowOpen = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ADMISSION_H
