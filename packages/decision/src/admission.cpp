#include "bulrushpitch/decision/admission.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace bulrushpitch {

namespace {

/// Engine time that a team of weight 1 is credited per round.
constexpr double QuantumSeconds = 0.25;
/// Minimum weight, so that a team of weight 0 does not starve.
constexpr double MinWeight = 0.01;
constexpr double MinEngineSeconds = 1e-3;
constexpr Duration RateWindow = std::chrono::seconds(1);

double engineSeconds(const QueuedRequest &Request) {
  return std::max(secondsOf(Request.m_EngineTime), MinEngineSeconds);
}

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t MaxRequests) : m_MaxRequests(MaxRequests) {}

void AdmissionQueue::setConfiguration(const Configuration &Config) {
  for (auto &[Id, Queue] : m_Teams) {
    if (Config.m_Teams.contains(Id))
      continue;
    while (!Queue.m_Waiting.empty())
      reject(remove(Queue.m_Waiting.begin()->first.m_Ticket), ErrorCode::Unauthorized,
             "the team was removed from the configuration");
  }
  std::erase_if(m_Teams, [&](const auto &Team) { return !Config.m_Teams.contains(Team.first); });
  for (const auto &[Id, ConfiguredTeam] : Config.m_Teams) {
    m_Teams[Id].m_Weight = std::max(ConfiguredTeam.m_Weight, MinWeight);
    m_Teams[Id].m_TaskValue = ConfiguredTeam.m_TaskValue;
  }
}

double AdmissionQueue::valuePerSecond(const TeamQueue &Queue, const QueuedRequest &Request) {
  const auto Found = Queue.m_TaskValue.find(Request.m_Task);
  const double TaskValue = Found == Queue.m_TaskValue.end() ? 1.0 : Found->second;
  return Queue.m_Weight * TaskValue / engineSeconds(Request);
}

TimePoint AdmissionQueue::latestStart(const QueuedRequest &Request) {
  return Request.m_Deadline - Request.m_EngineTime;
}

void AdmissionQueue::insert(QueuedRequest Request) {
  TeamQueue &Queue = m_Teams[Request.m_Team];
  const Key QueueKey{valuePerSecond(Queue, Request), Request.m_Ticket};
  m_ByTicket.emplace(Request.m_Ticket, Position{Request.m_Team, QueueKey});
  m_ByLatestStart.emplace(latestStart(Request), Request.m_Ticket);
  Queue.m_QueuedEngineSeconds += engineSeconds(Request);
  Queue.m_Waiting.emplace(QueueKey, std::move(Request));
}

QueuedRequest AdmissionQueue::remove(std::uint64_t Ticket) {
  const auto Found = m_ByTicket.find(Ticket);
  TeamQueue &Queue = m_Teams[Found->second.m_Team];
  const auto Waiting = Queue.m_Waiting.find(Found->second.m_Key);
  QueuedRequest Request = std::move(Waiting->second);
  Queue.m_Waiting.erase(Waiting);
  Queue.m_QueuedEngineSeconds =
      Queue.m_Waiting.empty() ? 0.0 : Queue.m_QueuedEngineSeconds - engineSeconds(Request);
  m_ByLatestStart.erase({latestStart(Request), Ticket});
  m_ByTicket.erase(Found);
  return Request;
}

void AdmissionQueue::reject(QueuedRequest Request, ErrorCode Code, const char *Detail) {
  Error Reason{Code, "wait for an upstream", "", Ran::No, Detail};
  m_Rejected.push_back({std::move(Request), std::move(Reason)});
}

void AdmissionQueue::rejectExpired(TimePoint Now) {
  while (!m_ByLatestStart.empty() && m_ByLatestStart.begin()->first < Now)
    reject(remove(m_ByLatestStart.begin()->second), ErrorCode::DeadlineUnreachable,
           "no upstream had capacity in time to meet the deadline");
}

void AdmissionQueue::shedFromLargestBacklog() {
  TeamQueue *LargestBacklog = nullptr;
  for (auto &[Id, Queue] : m_Teams)
    if (!Queue.m_Waiting.empty() &&
        (LargestBacklog == nullptr || Queue.m_QueuedEngineSeconds / Queue.m_Weight >
                                          LargestBacklog->m_QueuedEngineSeconds / LargestBacklog->m_Weight))
      LargestBacklog = &Queue;
  reject(remove(std::prev(LargestBacklog->m_Waiting.end())->first.m_Ticket), ErrorCode::Overloaded,
         "the queue is full; the other requests have a higher value or belong to teams below their share");
}

Duration AdmissionQueue::estimateWait(const TeamQueue &Queue, double SecondsAhead) const {
  if (m_ServiceRate <= 0.0)
    return Duration::zero();
  double TotalWeight = Queue.m_Waiting.empty() ? Queue.m_Weight : 0.0;
  for (const auto &[Id, WaitingTeam] : m_Teams)
    if (!WaitingTeam.m_Waiting.empty())
      TotalWeight += WaitingTeam.m_Weight;
  const double Seconds = SecondsAhead / (m_ServiceRate * Queue.m_Weight / TotalWeight);
  return durationOf(std::min(Seconds, 1e6));
}

Duration AdmissionQueue::expectedWait(const TeamId &Team) const {
  const auto Found = m_Teams.find(Team);
  return Found == m_Teams.end() ? Duration::zero()
                                : estimateWait(Found->second, Found->second.m_QueuedEngineSeconds);
}

Expected<std::uint64_t> AdmissionQueue::offer(QueuedRequest Request, TimePoint Now) {
  const auto Reject = [&](ErrorCode Code, std::string Detail) {
    return Error{Code, "wait for an upstream", "", Ran::No, std::move(Detail)};
  };
  const auto Found = m_Teams.find(Request.m_Team);
  if (Found == m_Teams.end())
    return Reject(ErrorCode::Unauthorized, "unknown team " + Request.m_Team.value());
  rejectExpired(Now);
  const Key QueueKey{valuePerSecond(Found->second, Request), m_NextTicket};
  double SecondsAhead = 0.0;
  for (auto Waiting = Found->second.m_Waiting.begin();
       Waiting != Found->second.m_Waiting.end() && Waiting->first < QueueKey; ++Waiting)
    SecondsAhead += engineSeconds(Waiting->second);
  const Duration ExpectedWait = estimateWait(Found->second, SecondsAhead);
  if (Now + ExpectedWait > latestStart(Request))
    return Reject(ErrorCode::DeadlineUnreachable,
                  "the expected wait of " + std::to_string(ExpectedWait / std::chrono::milliseconds(1)) +
                      " ms exceeds the time left to start before the deadline");
  const std::uint64_t Ticket = m_NextTicket++;
  Request.m_Ticket = Ticket;
  insert(std::move(Request));
  if (m_ByTicket.size() <= m_MaxRequests)
    return Ticket;
  shedFromLargestBacklog();
  if (m_ByTicket.contains(Ticket))
    return Ticket;
  const Error Reason = m_Rejected.back().m_Reason;
  m_Rejected.pop_back();
  return Reason;
}

std::map<TeamId, AdmissionQueue::TeamQueue>::iterator
AdmissionQueue::nextTeam(std::map<TeamId, TeamQueue>::iterator Current) {
  m_QuantumCredited = false;
  if (++Current == m_Teams.end())
    Current = m_Teams.begin();
  return Current;
}

/// Credits each team that has queued requests with the quanta of the rounds in which no request can be
/// served. take() runs the following round itself, in which one is served.
void AdmissionQueue::creditEmptyRounds() {
  double Rounds = 1e9;
  for (const auto &[Id, Queue] : m_Teams)
    if (!Queue.m_Waiting.empty())
      Rounds = std::min(Rounds, std::ceil((engineSeconds(Queue.m_Waiting.begin()->second) - Queue.m_Deficit) /
                                          (Queue.m_Weight * QuantumSeconds)));
  for (auto &[Id, Queue] : m_Teams)
    if (!Queue.m_Waiting.empty() && Rounds > 1.0)
      Queue.m_Deficit += (Rounds - 1.0) * Queue.m_Weight * QuantumSeconds;
}

QueuedRequest AdmissionQueue::serve(const TeamId &Team, TeamQueue &Queue, TimePoint Now) {
  m_CurrentTeam = Team;
  QueuedRequest Served = remove(Queue.m_Waiting.begin()->first.m_Ticket);
  Queue.m_Deficit = Queue.m_Waiting.empty() ? 0.0 : Queue.m_Deficit - engineSeconds(Served);
  updateServiceRate(engineSeconds(Served), Now);
  return Served;
}

std::optional<QueuedRequest> AdmissionQueue::take(TimePoint Now) {
  rejectExpired(Now);
  if (m_ByTicket.empty())
    return std::nullopt;
  std::map<TeamId, TeamQueue>::iterator Current =
      m_CurrentTeam ? m_Teams.find(*m_CurrentTeam) : m_Teams.begin();
  if (Current == m_Teams.end())
    Current = m_Teams.begin();
  for (std::size_t Visited = 0;; ++Visited) {
    if (Visited == m_Teams.size() + 1) {
      creditEmptyRounds();
      Visited = 0;
    }
    TeamQueue &Queue = Current->second;
    if (Queue.m_Waiting.empty()) {
      Queue.m_Deficit = 0.0;
      Current = nextTeam(Current);
      continue;
    }
    if (!m_QuantumCredited)
      Queue.m_Deficit += Queue.m_Weight * QuantumSeconds;
    m_QuantumCredited = true;
    if (engineSeconds(Queue.m_Waiting.begin()->second) <= Queue.m_Deficit + 1e-12)
      return serve(Current->first, Queue, Now);
    Current = nextTeam(Current);
  }
}

void AdmissionQueue::requeue(QueuedRequest Request) {
  const auto Found = m_Teams.find(Request.m_Team);
  if (Found == m_Teams.end())
    return reject(std::move(Request), ErrorCode::Unauthorized, "the team was removed from the configuration");
  Found->second.m_Deficit += engineSeconds(Request);
  m_WindowServedSeconds -= engineSeconds(Request);
  insert(std::move(Request));
}

bool AdmissionQueue::cancel(std::uint64_t Ticket) {
  if (!m_ByTicket.contains(Ticket))
    return false;
  remove(Ticket);
  return true;
}

std::vector<RejectedRequest> AdmissionQueue::takeRejected(TimePoint Now) {
  rejectExpired(Now);
  return std::exchange(m_Rejected, {});
}

void AdmissionQueue::updateServiceRate(double Seconds, TimePoint Now) {
  if (!m_WindowOpen) {
    m_WindowOpen = true;
    m_WindowStart = Now;
    m_WindowServedSeconds = 0.0;
  }
  m_WindowServedSeconds += Seconds;
  if (Now - m_WindowStart >= RateWindow) {
    const double Rate = std::max(m_WindowServedSeconds, 0.0) / secondsOf(Now - m_WindowStart);
    m_ServiceRate = m_ServiceRate > 0.0 ? 0.5 * m_ServiceRate + 0.5 * Rate : Rate;
    m_WindowOpen = false;
  }
  // Only windows with a backlog are measured: without one, the served time is below the capacity.
  if (m_ByTicket.empty())
    m_WindowOpen = false;
}

} // namespace bulrushpitch
