#include "bulrushpitch/decision/admission.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace bulrushpitch {

namespace {

/// Engine time that a team of weight 1 gets per round.
constexpr double Quantum = 0.25;
/// A team of weight 0 still gets a little, so that it does not starve.
constexpr double LeastWeight = 0.01;
constexpr double LeastEngineTime = 1e-3;
constexpr Duration RateWindow = std::chrono::seconds(1);

double secondsOf(Duration Value) { return std::chrono::duration<double>(Value).count(); }

double engineSeconds(const QueuedRequest &Request) {
  return std::max(secondsOf(Request.m_EngineTime), LeastEngineTime);
}

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t MostRequests) : m_Most(MostRequests) {}

void AdmissionQueue::setConfiguration(const Configuration &Config) {
  for (auto &[Id, Queue] : m_Teams) {
    if (Config.m_Teams.contains(Id))
      continue;
    while (!Queue.m_Waiting.empty())
      refuse(remove(Queue.m_Waiting.begin()->first.m_Ticket), ErrorCode::Unauthorized,
             "the configuration no longer lists the team");
  }
  std::erase_if(m_Teams, [&](const auto &Each) { return !Config.m_Teams.contains(Each.first); });
  for (const auto &[Id, Wanted] : Config.m_Teams) {
    m_Teams[Id].m_Weight = std::max(Wanted.m_Weight, LeastWeight);
    m_Teams[Id].m_TaskValue = Wanted.m_TaskValue;
  }
}

double AdmissionQueue::valueOf(const TeamQueue &Queue, const QueuedRequest &Request) {
  const auto Found = Queue.m_TaskValue.find(Request.m_Task);
  const double TaskValue = Found == Queue.m_TaskValue.end() ? 1.0 : Found->second;
  return Queue.m_Weight * TaskValue / engineSeconds(Request);
}

TimePoint AdmissionQueue::latestStart(const QueuedRequest &Request) {
  return Request.m_Deadline - Request.m_EngineTime;
}

void AdmissionQueue::insert(QueuedRequest Request) {
  TeamQueue &Queue = m_Teams[Request.m_Team];
  const Key At{valueOf(Queue, Request), Request.m_Ticket};
  m_ByTicket.emplace(Request.m_Ticket, Place{Request.m_Team, At});
  m_ByLatestStart.emplace(latestStart(Request), Request.m_Ticket);
  Queue.m_QueuedTime += engineSeconds(Request);
  Queue.m_Waiting.emplace(At, std::move(Request));
}

QueuedRequest AdmissionQueue::remove(std::uint64_t Ticket) {
  const auto Found = m_ByTicket.find(Ticket);
  TeamQueue &Queue = m_Teams[Found->second.m_Team];
  const auto At = Queue.m_Waiting.find(Found->second.m_Key);
  QueuedRequest Request = std::move(At->second);
  Queue.m_Waiting.erase(At);
  Queue.m_QueuedTime = Queue.m_Waiting.empty() ? 0.0 : Queue.m_QueuedTime - engineSeconds(Request);
  m_ByLatestStart.erase({latestStart(Request), Ticket});
  m_ByTicket.erase(Found);
  return Request;
}

void AdmissionQueue::refuse(QueuedRequest Request, ErrorCode Code, const char *Why) {
  Error Reason{Code, "wait for an upstream", "", Ran::No, Why};
  m_Refused.push_back({std::move(Request), std::move(Reason)});
}

void AdmissionQueue::dropLate(TimePoint Now) {
  while (!m_ByLatestStart.empty() && m_ByLatestStart.begin()->first < Now)
    refuse(remove(m_ByLatestStart.begin()->second), ErrorCode::DeadlineUnreachable,
           "no upstream became free in time to meet the deadline");
}

void AdmissionQueue::shed() {
  TeamQueue *Most = nullptr;
  for (auto &[Id, Queue] : m_Teams)
    if (!Queue.m_Waiting.empty() &&
        (Most == nullptr || Queue.m_QueuedTime / Queue.m_Weight > Most->m_QueuedTime / Most->m_Weight))
      Most = &Queue;
  refuse(remove(std::prev(Most->m_Waiting.end())->first.m_Ticket), ErrorCode::Overloaded,
         "the queue is full of requests of more value or of teams below their share");
}

Duration AdmissionQueue::waitBehind(const TeamQueue &Queue, double TimeAhead) const {
  if (m_ServiceRate <= 0.0)
    return Duration::zero();
  double Weights = Queue.m_Waiting.empty() ? Queue.m_Weight : 0.0;
  for (const auto &[Id, Each] : m_Teams)
    if (!Each.m_Waiting.empty())
      Weights += Each.m_Weight;
  const double Seconds = TimeAhead / (m_ServiceRate * Queue.m_Weight / Weights);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(Seconds, 1e6)));
}

Duration AdmissionQueue::expectedWait(const TeamId &Team) const {
  const auto Found = m_Teams.find(Team);
  return Found == m_Teams.end() ? Duration::zero() : waitBehind(Found->second, Found->second.m_QueuedTime);
}

Expected<std::uint64_t> AdmissionQueue::offer(QueuedRequest Request, TimePoint Now) {
  const auto Refuse = [&](ErrorCode Code, std::string Why) {
    return Error{Code, "wait for an upstream", "", Ran::No, std::move(Why)};
  };
  const auto Found = m_Teams.find(Request.m_Team);
  if (Found == m_Teams.end())
    return Refuse(ErrorCode::Unauthorized, "unknown team " + Request.m_Team.value());
  dropLate(Now);
  const Key At{valueOf(Found->second, Request), m_NextTicket};
  double Ahead = 0.0;
  for (auto Each = Found->second.m_Waiting.begin(); Each != Found->second.m_Waiting.end() && Each->first < At;
       ++Each)
    Ahead += engineSeconds(Each->second);
  const Duration Wait = waitBehind(Found->second, Ahead);
  if (Now + Wait > latestStart(Request))
    return Refuse(ErrorCode::DeadlineUnreachable, "the expected wait of " +
                                                      std::to_string(Wait / std::chrono::milliseconds(1)) +
                                                      " ms leaves too little time before the deadline");
  const std::uint64_t Ticket = m_NextTicket++;
  Request.m_Ticket = Ticket;
  insert(std::move(Request));
  if (m_ByTicket.size() <= m_Most)
    return Ticket;
  shed();
  if (m_ByTicket.contains(Ticket))
    return Ticket;
  const Error Reason = m_Refused.back().m_Reason;
  m_Refused.pop_back();
  return Reason;
}

std::map<TeamId, AdmissionQueue::TeamQueue>::iterator
AdmissionQueue::nextTurn(std::map<TeamId, TeamQueue>::iterator At) {
  m_TurnPaid = false;
  if (++At == m_Teams.end())
    At = m_Teams.begin();
  return At;
}

/// Pays all teams the quanta of the rounds in which nobody could be served, but for the last of them.
void AdmissionQueue::skipEmptyRounds() {
  double Rounds = 1e9;
  for (const auto &[Id, Queue] : m_Teams)
    if (!Queue.m_Waiting.empty())
      Rounds = std::min(Rounds, std::ceil((engineSeconds(Queue.m_Waiting.begin()->second) - Queue.m_Deficit) /
                                          (Queue.m_Weight * Quantum)));
  for (auto &[Id, Queue] : m_Teams)
    if (!Queue.m_Waiting.empty() && Rounds > 1.0)
      Queue.m_Deficit += (Rounds - 1.0) * Queue.m_Weight * Quantum;
}

QueuedRequest AdmissionQueue::serve(const TeamId &Team, TeamQueue &Queue, TimePoint Now) {
  m_Turn = Team;
  QueuedRequest Served = remove(Queue.m_Waiting.begin()->first.m_Ticket);
  Queue.m_Deficit = Queue.m_Waiting.empty() ? 0.0 : Queue.m_Deficit - engineSeconds(Served);
  countServed(engineSeconds(Served), Now);
  return Served;
}

std::optional<QueuedRequest> AdmissionQueue::take(TimePoint Now) {
  dropLate(Now);
  if (m_ByTicket.empty())
    return std::nullopt;
  std::map<TeamId, TeamQueue>::iterator At = m_Turn ? m_Teams.find(*m_Turn) : m_Teams.begin();
  if (At == m_Teams.end())
    At = m_Teams.begin();
  for (std::size_t Visited = 0;; ++Visited) {
    if (Visited == m_Teams.size() + 1) {
      skipEmptyRounds();
      Visited = 0;
    }
    TeamQueue &Queue = At->second;
    if (Queue.m_Waiting.empty()) {
      Queue.m_Deficit = 0.0;
      At = nextTurn(At);
      continue;
    }
    if (!m_TurnPaid)
      Queue.m_Deficit += Queue.m_Weight * Quantum;
    m_TurnPaid = true;
    if (engineSeconds(Queue.m_Waiting.begin()->second) <= Queue.m_Deficit + 1e-12)
      return serve(At->first, Queue, Now);
    At = nextTurn(At);
  }
}

void AdmissionQueue::putBack(QueuedRequest Request) {
  const auto Found = m_Teams.find(Request.m_Team);
  if (Found == m_Teams.end())
    return refuse(std::move(Request), ErrorCode::Unauthorized, "the configuration no longer lists the team");
  Found->second.m_Deficit += engineSeconds(Request);
  m_ServedInWindow -= engineSeconds(Request);
  insert(std::move(Request));
}

bool AdmissionQueue::cancel(std::uint64_t Ticket) {
  if (!m_ByTicket.contains(Ticket))
    return false;
  remove(Ticket);
  return true;
}

std::vector<RefusedRequest> AdmissionQueue::takeRefused(TimePoint Now) {
  dropLate(Now);
  return std::exchange(m_Refused, {});
}

void AdmissionQueue::countServed(double Seconds, TimePoint Now) {
  if (!m_WindowOpen) {
    m_WindowOpen = true;
    m_WindowStart = Now;
    m_ServedInWindow = 0.0;
  }
  m_ServedInWindow += Seconds;
  if (Now - m_WindowStart >= RateWindow) {
    const double Rate = std::max(m_ServedInWindow, 0.0) / secondsOf(Now - m_WindowStart);
    m_ServiceRate = m_ServiceRate > 0.0 ? 0.5 * m_ServiceRate + 0.5 * Rate : Rate;
    m_WindowOpen = false;
  }
  // The rate is that of a backlog. What is served while nothing waits says nothing of the capacity.
  if (m_ByTicket.empty())
    m_WindowOpen = false;
}

} // namespace bulrushpitch
