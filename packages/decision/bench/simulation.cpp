#include "simulation.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bulrushpitch::bench {

namespace {

constexpr double ReportLag = 0.3;   ///< Seconds from the engine to the daemon's table.
constexpr double PollPeriod = 1.0;  ///< Seconds.
constexpr double RatingDelay = 3.0; ///< Seconds until a sampled answer is rated.
constexpr double ShareDelay = 5.0;  ///< Seconds until the other daemons hear of a rating.
constexpr double HeldRating = 0.15; ///< Seconds to rate an answer that is held.
constexpr double TickPeriod = 0.02;
constexpr double PermitDelay = 0.002;
constexpr double RolloutShare = 0.3;
constexpr double RolloutDrop = 0.12;
constexpr double EventLoss = 0.02;
constexpr int QueueTries =
    6; ///< Requests tried per wake-up of the queue, as the first may want a full version.
const RolloutId TheRollout("rollout");

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

Error refusal(ErrorCode Code) { return {Code, "place", "", Ran::No, ""}; }

} // namespace

const char *nameOf(Policy Value) {
  static constexpr std::array<const char *, 8> Names = {"bulrushpitch",  "always_best", "always_cheapest",
                                                        "fixed_cascade", "round_robin", "least_outstanding",
                                                        "two_choices",   "oracle"};
  return Names[static_cast<std::size_t>(Value)];
}

Simulation::Simulation(const Site &At, const std::vector<Job> &Trace, Policy How, Scenario What,
                       std::uint64_t Seed)
    : m_Site(At), m_Trace(Trace), m_How(How), m_What(std::move(What)), m_Jobs(Trace.size()),
      m_Random(seededRandom(Seed)) {
  if (m_What.m_Rollout)
    addRolloutVersion();
  for (std::uint32_t Version = 0; Version < m_Site.m_Versions.size(); ++Version)
    m_VersionIndex[m_Site.m_Versions[Version].m_Id] = Version;
  m_Hosts.resize(m_Site.m_Versions.size());
  for (const auto &[Id, Known] : m_Site.m_Config.m_Upstreams) {
    const std::uint32_t Index = static_cast<std::uint32_t>(m_Engines.size());
    m_EngineIndex[Id] = Index;
    m_EngineIds.push_back(Id);
    m_EngineRegions.push_back(m_Site.m_Config.m_Domains.at(Known.m_Domain).m_Region);
    m_Engines.emplace_back(Known.m_Capacity, Known.m_ColdLimit,
                           std::chrono::duration<double>(Known.m_WarmUp).count());
    for (const VersionId &Each : Known.m_Versions)
      m_Hosts[m_VersionIndex.at(Each)].push_back(Index);
  }
  m_EngineOut.assign(m_Engines.size(), false);
  m_InFlight.assign(m_Engines.size(), 0);
  m_CacheSequence.assign(m_Engines.size(), 1);
  m_Scheduled.assign(m_Engines.size(), -1.0);
  for (std::size_t Task = 0; Task < m_Site.m_Tasks.size(); ++Task)
    m_Best.push_back(bestChoice(m_Site, Task));
  m_Outcome.m_Rating.assign(m_Site.m_Tasks.size(), 0.0);
  m_Outcome.m_RatedTask.assign(m_Site.m_Tasks.size(), 0);
  m_Outcome.m_OnTime.assign(m_Trace.size(), false);
  for (const Job &Each : m_Trace)
    m_Outcome.m_WholeOfJob.push_back(static_cast<float>(m_Site.m_Tasks[Each.m_Task].m_DeadlineSeconds));
  m_Outcome.m_FirstOfJob = m_Outcome.m_WholeOfJob;
  addDaemons(Seed);
}

void Simulation::addRolloutVersion() {
  const VersionTruth Old = m_Site.m_Versions[1];
  VersionTruth New = Old;
  New.m_Id = VersionId(Old.m_Id.value() + "-2");
  for (double &Each : New.m_Quality)
    Each -= RolloutDrop;
  m_Site.m_Versions.push_back(New);
  Version Known = m_Site.m_Config.m_Versions.at(Old.m_Id);
  Known.m_Id = New.m_Id;
  // Nothing but its rollout may lead requests to the new version.
  Known.m_PriorQuality = 0.0;
  m_Site.m_Config.m_Versions[New.m_Id] = Known;
  for (auto &[Id, Each] : m_Site.m_Config.m_Upstreams)
    if (Each.m_Versions.front() == Old.m_Id)
      Each.m_Versions.push_back(New.m_Id);
}

void Simulation::addDaemons(std::uint64_t Seed) {
  const std::map<DomainId, FailureDomain> &Domains = m_Site.m_Config.m_Domains;
  for (std::uint32_t Index = 0; Index < m_Site.m_Daemons; ++Index) {
    std::unique_ptr<Daemon> Added = std::make_unique<Daemon>();
    Added->m_Region =
        std::next(Domains.begin(), Index % static_cast<std::uint32_t>(Domains.size()))->second.m_Region;
    Added->m_Random = seededRandom(mixHash(Seed, Index + 1));
    Added->m_Link.setRate(m_Site.m_Config.m_Limits.m_LinkBytesPerSecond, m_Site.m_Daemons);
    RouterSettings Settings;
    Settings.m_Region = Added->m_Region;
    Added->m_Router =
        std::make_unique<Router>(Added->m_Quality, Added->m_Upstreams, Added->m_Rollouts, Added->m_Link,
                                 Settings, seededRandom(mixHash(Seed, Index + 100)));
    m_Daemons.push_back(std::move(Added));
    configure(Index);
    for (const UpstreamId &Id : m_EngineIds)
      m_Daemons.back()->m_Upstreams.setWarm(Id, now());
    for (std::uint32_t Each = 0; Each < m_Engines.size(); ++Each)
      push(PollPeriod * static_cast<double>(m_Random() % 1000) / 1000.0, EventKind::Poll, Index, Each);
    push(0.0, EventKind::Tick, Index);
  }
  m_CacheFeed.assign(m_Daemons.size(), std::vector<std::vector<CacheEvent>>(m_Engines.size()));
  m_Reports.assign(m_Daemons.size(), std::vector<LoadReport>(m_Engines.size()));
}

void Simulation::configure(std::uint32_t DaemonIndex) {
  m_Daemons[DaemonIndex]->m_Router->setConfiguration(m_Site.m_Config, now());
  m_Daemons[DaemonIndex]->m_Queue.setConfiguration(m_Site.m_Config);
}

TimePoint Simulation::now() const { return TimePoint(std::chrono::hours(1)) + durationOf(m_Now); }

void Simulation::push(double At, EventKind Kind, std::uint32_t A, std::uint32_t B, double Value) {
  m_Events.push({At, m_Order++, Kind, A, B, Value});
}

double Simulation::delay(std::uint32_t DaemonIndex, std::uint32_t EngineIndex) const {
  return m_Daemons[DaemonIndex]->m_Region == m_EngineRegions[EngineIndex] ? 0.0005 : 0.03;
}

Outcome Simulation::run() {
  if (!m_Trace.empty())
    push(m_Trace.front().m_Arrival, EventKind::Arrive, 0);
  if (m_What.m_Rollout)
    push(m_What.m_RolloutAt, EventKind::RolloutStart);
  if (m_What.m_Domain)
    for (std::uint32_t Index = 0; Index < m_Daemons.size(); ++Index) {
      const double Share = static_cast<double>(Index) / static_cast<double>(m_Daemons.size());
      push(m_What.m_OutAt + m_What.m_TakeOutDelay * Share, EventKind::OutKnown, Index);
      push(m_What.m_BackAt + m_What.m_TakeOutDelay * Share, EventKind::BackKnown, Index);
    }
  const double End = m_What.m_Seconds + 150.0;
  while (!m_Events.empty() && m_Events.top().m_At < End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    handle(Next);
  }
  return std::move(m_Outcome);
}

void Simulation::handle(const Event &Next) {
  switch (Next.m_Kind) {
  case EventKind::Arrive: {
    const Job &Asked = m_Trace[Next.m_A];
    if (Next.m_A + 1 < m_Trace.size())
      push(m_Trace[Next.m_A + 1].m_Arrival, EventKind::Arrive, Next.m_A + 1);
    push(m_Now + m_Site.m_Tasks[Asked.m_Task].m_DeadlineSeconds, EventKind::Deadline, Next.m_A);
    m_Outcome.m_Offered += measured(Next.m_A) ? 1 : 0;
    m_Daemons[Asked.m_Daemon]->m_Retries.onRequest();
    return place(Next.m_A);
  }
  case EventKind::Submit:
    return submit(Next.m_A);
  case EventKind::EngineNext:
    if (m_Scheduled[Next.m_A] == Next.m_At)
      wake(Next.m_A);
    return;
  case EventKind::Told:
    return told(Next.m_A, Next.m_B);
  case EventKind::Poll:
    return poll(Next.m_A, Next.m_B);
  case EventKind::Report:
    return report(Next.m_A, Next.m_B);
  case EventKind::Rated:
    return rated(Next.m_A, Next.m_B, Next.m_Value);
  case EventKind::Release:
    return release(Next.m_A);
  case EventKind::Deadline:
    return giveUp(Next.m_A);
  case EventKind::Tick:
    drainQueue(Next.m_A);
    return push(m_Now + TickPeriod, EventKind::Tick, Next.m_A);
  case EventKind::OutKnown:
  case EventKind::BackKnown: {
    const bool Out = Next.m_Kind == EventKind::OutKnown;
    m_Site.m_Config.m_Domains[*m_What.m_Domain].m_State = Out ? DomainState::Out : DomainState::In;
    for (std::uint32_t Index = 0; Index < m_Engines.size() && Next.m_A == 0; ++Index)
      if (m_Site.m_Config.m_Upstreams.at(m_EngineIds[Index]).m_Domain == *m_What.m_Domain) {
        m_EngineOut[Index] = Out;
        if (!Out)
          for (std::uint32_t Lost : m_Engines[Index].restart(m_Now))
            fail(Lost, ErrorCode::UpstreamBroken);
      }
    return configure(Next.m_A);
  }
  case EventKind::RolloutStart: {
    const Rollout Started{TheRollout, ModelId("model"), m_Site.m_Versions[1].m_Id,
                          m_Site.m_Versions.back().m_Id, RolloutShare};
    Configuration Tested = m_Site.m_Config;
    Tested.m_Rollouts[TheRollout] = Started;
    m_FixedTest.setConfiguration(Tested);
    m_RolloutRuns = true;
    if (*m_What.m_Rollout != RolloutStyle::Staged)
      return;
    m_Site.m_Config = Tested;
    for (std::uint32_t Index = 0; Index < m_Daemons.size(); ++Index)
      configure(Index);
    return;
  }
  }
}

// --- Requests

std::vector<std::uint64_t> Simulation::prefixesOf(const Job &Asked) const {
  // The team's instructions for the task, then what the session has said so far.
  const std::uint64_t Instructions = mixHash(Asked.m_Team + 1, Asked.m_Task + 1);
  if (Asked.m_Session == 0)
    return {Instructions};
  return {Instructions, mixHash(Instructions, Asked.m_Session)};
}

RouteRequest Simulation::requestFor(std::uint32_t JobIndex) const {
  const Job &Asked = m_Trace[JobIndex];
  const TaskProfile &Task = m_Site.m_Tasks[Asked.m_Task];
  const JobRecord &Known = m_Jobs[JobIndex];
  RouteRequest Request;
  Request.m_Team = TeamId("team" + std::to_string(Asked.m_Team));
  Request.m_Model = ModelId("model");
  Request.m_Task = Task.m_Name;
  Request.m_Request = RequestId(std::to_string(JobIndex));
  if (Asked.m_Session != 0) {
    Request.m_Session = SessionId(std::to_string(Asked.m_Session));
    if (const auto Pin = m_Pins.find(Asked.m_Session); Pin != m_Pins.end() && Known.m_CascadeStep == 0)
      Request.m_Pinned = Pin->second;
  }
  Request.m_Quality = Task.m_Target;
  Request.m_Deadline =
      TimePoint(std::chrono::hours(1)) + durationOf(Asked.m_Arrival + Task.m_DeadlineSeconds);
  Request.m_PromptTokens = Tokens(Asked.m_PromptTokens);
  Request.m_ExpectedTokens = Tokens(static_cast<std::uint64_t>(Task.m_Tokens));
  Request.m_PrefixHashes = prefixesOf(Asked);
  Request.m_CascadeStep = Known.m_CascadeStep;
  Request.m_Excluded = Known.m_Excluded;
  return Request;
}

void Simulation::place(std::uint32_t JobIndex) {
  JobRecord &Known = m_Jobs[JobIndex];
  if (Known.m_State == JobState::Done)
    return;
  // A daemon whose permit is denied tries the next upstream.
  for (int Try = 0; Try < 4; ++Try) {
    Expected<RouteDecision> Decision = choose(JobIndex);
    if (!Decision)
      return Decision.error().m_Code == ErrorCode::Overloaded ? wait(JobIndex) : refuse(JobIndex);
    if (!Decision->m_NeedsPermit || m_How != Policy::Ours ||
        permitted(m_EngineIndex.at(Decision->m_Upstream)))
      return dispatch(JobIndex, *Decision);
    Known.m_Excluded.push_back(Decision->m_Upstream);
  }
  wait(JobIndex);
}

bool Simulation::permitted(std::uint32_t EngineIndex) const {
  const Engine &Asked = m_Engines[EngineIndex];
  const std::uint32_t Limit = std::min(Asked.limit(m_Now), Asked.capacity());
  return Asked.running() + Asked.queued() + m_InFlight[EngineIndex] < Limit;
}

bool Simulation::movedByFixedShare(std::uint32_t JobIndex, const VersionId &Chosen) const {
  if (!m_RolloutRuns || *m_What.m_Rollout == RolloutStyle::Staged || Chosen != m_Site.m_Versions[1].m_Id)
    return false;
  const Job &Asked = m_Trace[JobIndex];
  if (m_Pins.contains(Asked.m_Session))
    return false;
  const bool Stopped = *m_What.m_Rollout == RolloutStyle::FixedTested &&
                       m_FixedTest.verdict(TheRollout) == RolloutVerdict::Bad;
  const std::uint64_t Key = mixHash(Asked.m_Session != 0 ? Asked.m_Session : Asked.m_Noise, 99);
  return !Stopped && static_cast<double>(Key >> 11U) * 0x1.0p-53 < RolloutShare;
}

Expected<RouteDecision> Simulation::choose(std::uint32_t JobIndex) {
  if (m_How == Policy::Oracle)
    return chooseOracle(JobIndex);
  if (m_How != Policy::Ours)
    return chooseBaseline(JobIndex);
  Expected<RouteDecision> Decision =
      m_Daemons[m_Trace[JobIndex].m_Daemon]->m_Router->decide(requestFor(JobIndex), now());
  if (Decision && movedByFixedShare(JobIndex, Decision->m_Version))
    Decision->m_Version = m_Site.m_Versions.back().m_Id;
  return Decision;
}

std::uint32_t Simulation::cheapestByEstimate(std::uint32_t JobIndex) const {
  const Job &Asked = m_Trace[JobIndex];
  const TaskProfile &Task = m_Site.m_Tasks[Asked.m_Task];
  const TeamId Team("team" + std::to_string(Asked.m_Team));
  for (std::uint32_t Version = 0; Version < 3; ++Version)
    if (m_Daemons[Asked.m_Daemon]
            ->m_Quality.estimate(Team, Task.m_Name, m_Site.m_Versions[Version].m_Id)
            .lowerBound(1.64) >= Task.m_Target)
      return Version;
  return 2;
}

std::uint32_t Simulation::baselineVersion(std::uint32_t JobIndex, RouteDecision &Into) {
  const Job &Asked = m_Trace[JobIndex];
  JobRecord &Known = m_Jobs[JobIndex];
  if (const auto Pin = m_Pins.find(Asked.m_Session); Asked.m_Session != 0 && Pin != m_Pins.end())
    return m_VersionIndex.at(Pin->second);
  switch (m_How) {
  case Policy::AlwaysBest:
    return 2;
  case Policy::AlwaysCheapest:
    return 0;
  case Policy::FixedCascade:
    Into.m_RateBeforeRelease = Known.m_CascadeStep < 2;
    Into.m_StreamBeforeRating = !Into.m_RateBeforeRelease;
    Into.m_AcceptAt = m_Site.m_Tasks[Asked.m_Task].m_Target;
    Into.m_NextCascadeStep = Known.m_CascadeStep + 1;
    return std::min(Known.m_CascadeStep, 2U);
  default:
    break;
  }
  Expected<RouteDecision> Decision = m_Daemons[Asked.m_Daemon]->m_Router->decide(requestFor(JobIndex), now());
  if (!Decision)
    return cheapestByEstimate(JobIndex);
  Into = *Decision;
  return m_VersionIndex.at(Decision->m_Version);
}

std::uint32_t Simulation::pickHost(Daemon &At, const std::vector<std::uint32_t> &Hosts) {
  const auto Index = [&](std::uint32_t Each) { return At.m_Upstreams.indexOf(m_EngineIds[Each]); };
  const auto Least = [&](auto Load) {
    const std::size_t Start = At.m_Random() % Hosts.size();
    std::uint32_t Best = Hosts[Start];
    for (std::size_t Step = 1; Step < Hosts.size(); ++Step)
      if (const std::uint32_t Each = Hosts[(Start + Step) % Hosts.size()]; Load(Each) < Load(Best))
        Best = Each;
    return Best;
  };
  if (m_How == Policy::RoundRobin)
    return Hosts[At.m_Turn++ % Hosts.size()];
  if (m_How == Policy::LeastOutstanding)
    return Least([&](std::uint32_t Each) { return At.m_Upstreams.outstanding(Index(Each)); });
  if (m_How != Policy::TwoChoices)
    return Least([&](std::uint32_t Each) { return At.m_Upstreams.knownLoad(Index(Each)); });
  const std::uint32_t Left = Hosts[At.m_Random() % Hosts.size()];
  const std::uint32_t Right = Hosts[At.m_Random() % Hosts.size()];
  return At.m_Upstreams.knownLoad(Index(Left)) <= At.m_Upstreams.knownLoad(Index(Right)) ? Left : Right;
}

Expected<RouteDecision> Simulation::chooseBaseline(std::uint32_t JobIndex) {
  Daemon &At = *m_Daemons[m_Trace[JobIndex].m_Daemon];
  RouteDecision Decision;
  const std::uint32_t Version = baselineVersion(JobIndex, Decision);
  std::vector<std::uint32_t> Near;
  std::vector<std::uint32_t> Far;
  for (std::uint32_t Each : m_Hosts[Version]) {
    const std::vector<UpstreamId> &Excluded = m_Jobs[JobIndex].m_Excluded;
    if (At.m_Upstreams.exclusion(At.m_Upstreams.indexOf(m_EngineIds[Each]), now()) == Exclusion::None &&
        std::find(Excluded.begin(), Excluded.end(), m_EngineIds[Each]) == Excluded.end())
      (m_EngineRegions[Each] == At.m_Region ? Near : Far).push_back(Each);
  }
  if (Near.empty() && Far.empty())
    return refusal(ErrorCode::NoUpstream);
  Decision.m_Upstream = m_EngineIds[pickHost(At, Near.empty() ? Far : Near)];
  Decision.m_Version = m_Site.m_Versions[Version].m_Id;
  return Decision;
}

double Simulation::engineScore(const Job &Asked, std::uint32_t Version, std::uint32_t EngineIndex) const {
  const Engine &Each = m_Engines[EngineIndex];
  const double Load = Each.running() + Each.queued() + m_InFlight[EngineIndex];
  if (m_EngineOut[EngineIndex] || Load >= std::min(Each.limit(m_Now), Each.capacity()))
    return std::numeric_limits<double>::infinity();
  const VersionTruth &Truth = m_Site.m_Versions[Version];
  const double Prefill =
      Asked.m_PromptTokens * (1.0 - Each.cachedShare(prefixesOf(Asked))) / Truth.m_PrefillPerSecond;
  return (Prefill + Truth.m_Gap * Asked.m_Tokens) * (1.0 + (Load + 1.0) / Each.capacity()) +
         2.0 * delay(Asked.m_Daemon, EngineIndex);
}

Expected<RouteDecision> Simulation::chooseOracle(std::uint32_t JobIndex) {
  const Job &Asked = m_Trace[JobIndex];
  const JobRecord &Known = m_Jobs[JobIndex];
  const BestChoice &Best = m_Best[Asked.m_Task];
  std::vector<std::uint32_t> Versions;
  const auto Pin = m_Pins.find(Asked.m_Session);
  if (Asked.m_Session != 0 && Pin != m_Pins.end()) {
    Versions = {m_VersionIndex.at(Pin->second)};
  } else {
    Versions = {Best.m_Steps[std::min<std::size_t>(Known.m_CascadeStep, Best.m_Steps.size() - 1)]};
    for (std::uint32_t Version = Versions.front() + 1; Version < 3; ++Version)
      if (m_Site.m_Versions[Version].m_Quality[Asked.m_Task] >= m_Site.m_Tasks[Asked.m_Task].m_Target)
        Versions.push_back(Version);
  }
  for (std::uint32_t Version : Versions) {
    double Least = std::numeric_limits<double>::infinity();
    std::uint32_t Chosen = 0;
    for (std::uint32_t Each : m_Hosts[Version])
      if (const double Score = engineScore(Asked, Version, Each); Score < Least) {
        Least = Score;
        Chosen = Each;
      }
    if (std::isinf(Least))
      continue;
    RouteDecision Decision;
    Decision.m_Upstream = m_EngineIds[Chosen];
    Decision.m_Version = m_Site.m_Versions[Version].m_Id;
    Decision.m_RateBeforeRelease =
        Best.m_Steps.size() > Known.m_CascadeStep + 1 && Version == Best.m_Steps[Known.m_CascadeStep];
    Decision.m_StreamBeforeRating = !Decision.m_RateBeforeRelease;
    Decision.m_AcceptAt = Best.m_AcceptAt;
    Decision.m_NextCascadeStep = Known.m_CascadeStep + 1;
    return Decision;
  }
  return refusal(ErrorCode::Overloaded);
}

void Simulation::wait(std::uint32_t JobIndex) {
  const Job &Asked = m_Trace[JobIndex];
  Daemon &At = *m_Daemons[Asked.m_Daemon];
  const RouteRequest Request = requestFor(JobIndex);
  const double Seconds =
      m_Site.m_Versions[1].m_Gap * FullBatchSlowdown * m_Site.m_Tasks[Asked.m_Task].m_Tokens;
  m_Jobs[JobIndex].m_Excluded.clear();
  Expected<std::uint64_t> Ticket = At.m_Queue.offer(
      {Request.m_Request, Request.m_Team, Request.m_Task, durationOf(Seconds), Request.m_Deadline, 0}, now());
  if (!Ticket)
    return refuse(JobIndex);
  m_Jobs[JobIndex].m_State = JobState::Waiting;
  m_Jobs[JobIndex].m_Ticket = *Ticket;
  At.m_Waiting[*Ticket] = JobIndex;
}

void Simulation::drainQueue(std::uint32_t DaemonIndex) {
  Daemon &At = *m_Daemons[DaemonIndex];
  std::vector<QueuedRequest> Unplaced;
  while (Unplaced.size() < QueueTries) {
    std::optional<QueuedRequest> Taken = At.m_Queue.take(now());
    if (!Taken)
      break;
    const std::uint32_t JobIndex = At.m_Waiting.at(Taken->m_Ticket);
    Expected<RouteDecision> Decision = choose(JobIndex);
    const bool Denied = Decision && Decision->m_NeedsPermit && m_How == Policy::Ours &&
                        !permitted(m_EngineIndex.at(Decision->m_Upstream));
    if (Denied || (!Decision && Decision.error().m_Code == ErrorCode::Overloaded)) {
      Unplaced.push_back(std::move(*Taken));
      continue;
    }
    At.m_Waiting.erase(Taken->m_Ticket);
    if (Decision)
      dispatch(JobIndex, *Decision);
    else
      refuse(JobIndex);
  }
  for (QueuedRequest &Each : Unplaced)
    At.m_Queue.putBack(std::move(Each));
  for (const RefusedRequest &Each : At.m_Queue.takeRefused(now())) {
    const std::uint32_t JobIndex = At.m_Waiting.at(Each.m_Request.m_Ticket);
    At.m_Waiting.erase(Each.m_Request.m_Ticket);
    refuse(JobIndex);
  }
}

void Simulation::refuse(std::uint32_t JobIndex) {
  JobRecord &Known = m_Jobs[JobIndex];
  m_Outcome.m_RefusedAtOnce += measured(JobIndex) && Known.m_State == JobState::New ? 1 : 0;
  Known.m_State = JobState::Done;
}

void Simulation::giveUp(std::uint32_t JobIndex) {
  JobRecord &Known = m_Jobs[JobIndex];
  Daemon &At = *m_Daemons[m_Trace[JobIndex].m_Daemon];
  if (Known.m_State == JobState::Waiting) {
    At.m_Queue.cancel(Known.m_Ticket);
    At.m_Waiting.erase(Known.m_Ticket);
  } else if (Known.m_State == JobState::Running && m_Attempts[Known.m_Attempt].m_Open) {
    Attempt &Open = m_Attempts[Known.m_Attempt];
    Open.m_Open = false;
    At.m_Router->onFailed(AttemptId(std::to_string(Known.m_Attempt)), ErrorCode::DeadlineUnreachable, now());
    wake(Open.m_Engine);
    m_Engines[Open.m_Engine].cancel(Known.m_Attempt);
    wake(Open.m_Engine);
  }
  Known.m_State = JobState::Done;
}

// --- Attempts

void Simulation::dispatch(std::uint32_t JobIndex, const RouteDecision &Decision) {
  JobRecord &Known = m_Jobs[JobIndex];
  const std::uint32_t DaemonIndex = m_Trace[JobIndex].m_Daemon;
  Known.m_State = JobState::Running;
  Known.m_Attempt = static_cast<std::uint32_t>(m_Attempts.size());
  Attempt Added;
  Added.m_Job = JobIndex;
  Added.m_Engine = m_EngineIndex.at(Decision.m_Upstream);
  Added.m_Version = m_VersionIndex.at(Decision.m_Version);
  Added.m_Decision = Decision;
  m_Attempts.push_back(Added);
  ++m_InFlight[Added.m_Engine];
  m_Daemons[DaemonIndex]->m_Router->onDispatched(AttemptId(std::to_string(Known.m_Attempt)),
                                                 requestFor(JobIndex), Decision, now());
  push(m_Now + delay(DaemonIndex, Added.m_Engine) + (Decision.m_NeedsPermit ? PermitDelay : 0.0),
       EventKind::Submit, Known.m_Attempt);
}

void Simulation::submit(std::uint32_t AttemptIndex) {
  Attempt &Sent = m_Attempts[AttemptIndex];
  --m_InFlight[Sent.m_Engine];
  if (!Sent.m_Open)
    return;
  wake(Sent.m_Engine);
  const Job &Asked = m_Trace[Sent.m_Job];
  const VersionTruth &Truth = m_Site.m_Versions[Sent.m_Version];
  const bool Taken = m_Engines[Sent.m_Engine].submit({AttemptIndex, static_cast<double>(Asked.m_PromptTokens),
                                                      static_cast<double>(Asked.m_Tokens), Truth.m_Gap,
                                                      Truth.m_PrefillPerSecond, prefixesOf(Asked)},
                                                     m_Now);
  if (Taken)
    return wake(Sent.m_Engine);
  if (m_Engines[Sent.m_Engine].cold(m_Now)) // Full load breaks an engine in cold start.
    for (std::uint32_t Lost : m_Engines[Sent.m_Engine].restart(m_Now))
      push(m_Now + delay(Asked.m_Daemon, Sent.m_Engine), EventKind::Told, Lost, 3);
  push(m_Now + delay(Asked.m_Daemon, Sent.m_Engine), EventKind::Told, AttemptIndex, 2);
}

void Simulation::wake(std::uint32_t EngineIndex) {
  std::vector<Engine::Progress> Happened;
  m_Engines[EngineIndex].advance(m_Now, Happened);
  for (const Engine::Progress &Each : Happened)
    push(m_Now + delay(m_Trace[m_Attempts[Each.m_Attempt].m_Job].m_Daemon, EngineIndex), EventKind::Told,
         Each.m_Attempt, Each.m_Finished ? 1 : 0);
  for (const auto &[Prefix, Stored] : m_Engines[EngineIndex].takeCacheEvents()) {
    const CacheEvent Changed{m_CacheSequence[EngineIndex]++,
                             Stored ? CacheEvent::Kind::Stored : CacheEvent::Kind::Evicted, Prefix};
    for (std::vector<std::vector<CacheEvent>> &Feed : m_CacheFeed)
      if (static_cast<double>(m_Random() % 1000) >= EventLoss * 1000.0)
        Feed[EngineIndex].push_back(Changed);
  }
  const double Next = m_Engines[EngineIndex].nextEvent();
  if (std::isinf(Next) || m_Scheduled[EngineIndex] == Next)
    return;
  m_Scheduled[EngineIndex] = Next;
  push(Next, EventKind::EngineNext, EngineIndex);
}

void Simulation::told(std::uint32_t AttemptIndex, std::uint32_t What) {
  Attempt &Sent = m_Attempts[AttemptIndex];
  if (!Sent.m_Open)
    return;
  if (What >= 2)
    return fail(AttemptIndex, What == 2 ? ErrorCode::UpstreamRefused : ErrorCode::UpstreamBroken);
  Daemon &At = *m_Daemons[m_Trace[Sent.m_Job].m_Daemon];
  if (What == 1)
    return finish(AttemptIndex);
  At.m_Router->onFirstToken(AttemptId(std::to_string(AttemptIndex)), now());
  if (Sent.m_Decision.m_StreamBeforeRating)
    m_Jobs[Sent.m_Job].m_FirstAt = m_Now;
}

void Simulation::fail(std::uint32_t AttemptIndex, ErrorCode Code) {
  Attempt &Sent = m_Attempts[AttemptIndex];
  if (!Sent.m_Open)
    return;
  Sent.m_Open = false;
  Daemon &At = *m_Daemons[m_Trace[Sent.m_Job].m_Daemon];
  At.m_Router->onFailed(AttemptId(std::to_string(AttemptIndex)), Code, now());
  JobRecord &Known = m_Jobs[Sent.m_Job];
  if (Known.m_State == JobState::Done)
    return;
  Known.m_FirstAt = -1.0;
  Known.m_Excluded.push_back(m_EngineIds[Sent.m_Engine]);
  if (At.m_Retries.takeRetry())
    place(Sent.m_Job);
  else
    Known.m_State = JobState::Done;
}

void Simulation::finish(std::uint32_t AttemptIndex) {
  Attempt &Sent = m_Attempts[AttemptIndex];
  Sent.m_Open = false;
  const Job &Asked = m_Trace[Sent.m_Job];
  Daemon &At = *m_Daemons[Asked.m_Daemon];
  At.m_Router->onFinished(AttemptId(std::to_string(AttemptIndex)), now());
  const Version &Known = m_Site.m_Config.m_Versions.at(Sent.m_Decision.m_Version);
  if (measured(Sent.m_Job))
    m_Outcome.m_Cost += static_cast<double>(Known.m_PromptPrice.value()) * Asked.m_PromptTokens +
                        static_cast<double>(Known.m_CompletionPrice.value()) * Asked.m_Tokens;
  if (Sent.m_Decision.m_StreamBeforeRating && !Sent.m_Decision.m_RateBeforeRelease) {
    sampleRating(AttemptIndex);
    release(AttemptIndex);
  } else {
    push(m_Now + HeldRating, EventKind::Release, AttemptIndex);
  }
  drainQueue(Asked.m_Daemon);
}

void Simulation::release(std::uint32_t AttemptIndex) {
  const Attempt &Sent = m_Attempts[AttemptIndex];
  const Job &Asked = m_Trace[Sent.m_Job];
  JobRecord &Known = m_Jobs[Sent.m_Job];
  const bool Held = Sent.m_Decision.m_RateBeforeRelease || !Sent.m_Decision.m_StreamBeforeRating;
  const double Rating = ratingOf(m_Site, Asked, Sent.m_Version);
  if (Held)
    for (std::uint32_t Each = 0; Each < m_Daemons.size(); ++Each)
      if (Each == Asked.m_Daemon || m_What.m_SharedRatings)
        push(m_Now + (Each == Asked.m_Daemon ? 0.0 : ShareDelay), EventKind::Rated, AttemptIndex, Each,
             Rating);
  if (Known.m_State == JobState::Done)
    return;
  if (Sent.m_Decision.m_RateBeforeRelease && Rating < Sent.m_Decision.m_AcceptAt) {
    Known.m_CascadeStep = Sent.m_Decision.m_NextCascadeStep;
    return place(Sent.m_Job);
  }
  Known.m_State = JobState::Done;
  if (Asked.m_Session != 0)
    m_Pins.try_emplace(Asked.m_Session, Sent.m_Decision.m_Version);
  if (!measured(Sent.m_Job))
    return;
  const double First = Known.m_FirstAt >= 0.0 && !Held ? Known.m_FirstAt : m_Now;
  ++m_Outcome.m_Answered;
  const Version &Dearest = m_Site.m_Config.m_Versions.at(m_Site.m_Versions[2].m_Id);
  m_Outcome.m_BestPrice += static_cast<double>(Dearest.m_PromptPrice.value()) * Asked.m_PromptTokens +
                           static_cast<double>(Dearest.m_CompletionPrice.value()) * Asked.m_Tokens;
  m_Outcome.m_OnTime[Sent.m_Job] = true;
  m_Outcome.m_WholeOfJob[Sent.m_Job] = static_cast<float>(m_Now - Asked.m_Arrival);
  m_Outcome.m_FirstOfJob[Sent.m_Job] = static_cast<float>(First - Asked.m_Arrival);
  m_Outcome.m_OnNew += Sent.m_Version >= 3 ? 1 : 0;
  m_Outcome.m_Rating[Asked.m_Task] += Rating;
  ++m_Outcome.m_RatedTask[Asked.m_Task];
  m_Outcome.m_First.push_back(static_cast<float>(First - Asked.m_Arrival));
  m_Outcome.m_Whole.push_back(static_cast<float>(m_Now - Asked.m_Arrival));
  if (!Held && Asked.m_Tokens > 1)
    m_Outcome.m_Gap.push_back(static_cast<float>((m_Now - First) / (Asked.m_Tokens - 1)));
}

// --- Reports and ratings

void Simulation::poll(std::uint32_t DaemonIndex, std::uint32_t EngineIndex) {
  wake(EngineIndex);
  const Engine &Asked = m_Engines[EngineIndex];
  LoadReport &Report = m_Reports[DaemonIndex][EngineIndex];
  Report.m_Upstream = m_EngineIds[EngineIndex];
  Report.m_StartId = std::to_string(Asked.starts());
  Report.m_Age = durationOf(ReportLag);
  Report.m_Running = Asked.running();
  Report.m_Queued = Asked.queued();
  Report.m_TokensPerSecond = Asked.tokensPerSecond();
  push(m_Now + ReportLag, EventKind::Report, DaemonIndex, EngineIndex);
  push(m_Now + PollPeriod, EventKind::Poll, DaemonIndex, EngineIndex);
}

void Simulation::report(std::uint32_t DaemonIndex, std::uint32_t EngineIndex) {
  LoadReport &Report = m_Reports[DaemonIndex][EngineIndex];
  Report.m_ReceivedAt = now();
  m_Daemons[DaemonIndex]->m_Upstreams.onReport(Report);
  std::vector<CacheEvent> &Feed = m_CacheFeed[DaemonIndex][EngineIndex];
  m_Daemons[DaemonIndex]->m_Upstreams.onCacheEvents(Report.m_Upstream, Feed);
  Feed.clear();
}

void Simulation::sampleRating(std::uint32_t AttemptIndex) {
  const Attempt &Sent = m_Attempts[AttemptIndex];
  const Job &Asked = m_Trace[Sent.m_Job];
  Daemon &At = *m_Daemons[Asked.m_Daemon];
  const double Share =
      At.m_Rollouts.ratingShare(Sent.m_Decision.m_Version, m_Site.m_Config.m_Limits.m_RatingSample);
  if (static_cast<double>(At.m_Random() >> 11U) * 0x1.0p-53 >= Share)
    return;
  const double Rating = ratingOf(m_Site, Asked, Sent.m_Version);
  for (std::uint32_t Each = 0; Each < m_Daemons.size(); ++Each)
    if (Each == Asked.m_Daemon || m_What.m_SharedRatings)
      push(m_Now + RatingDelay + (Each == Asked.m_Daemon ? 0.0 : ShareDelay), EventKind::Rated, AttemptIndex,
           Each, Rating);
}

void Simulation::rated(std::uint32_t AttemptIndex, std::uint32_t DaemonIndex, double Rating) {
  const Attempt &Sent = m_Attempts[AttemptIndex];
  const Job &Asked = m_Trace[Sent.m_Job];
  const TaskName &Task = m_Site.m_Tasks[Asked.m_Task].m_Name;
  Daemon &At = *m_Daemons[DaemonIndex];
  At.m_Quality.record(TeamId("team" + std::to_string(Asked.m_Team)), Task, Sent.m_Decision.m_Version, Rating,
                      now());
  At.m_Rollouts.record(Sent.m_Decision.m_Version, Task, Rating);
  if (DaemonIndex == 0 && m_RolloutRuns)
    m_FixedTest.record(Sent.m_Decision.m_Version, Task, Rating);
}

} // namespace bulrushpitch::bench
