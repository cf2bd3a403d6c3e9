#ifndef BULRUSHPITCH_DECISION_BENCH_SIMULATION_H
#define BULRUSHPITCH_DECISION_BENCH_SIMULATION_H

#include "engine.h"
#include "site.h"

#include "bulrushpitch/decision/decision.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrushpitch::bench {

/// @brief How requests are routed.
enum class Policy : std::uint8_t {
  Bulrushpitch,
  AlwaysBest,       ///< The most expensive version; the upstream with the minimum known load.
  AlwaysCheapest,   ///< The cheapest version; the upstream with the minimum known load.
  FixedCascade,     ///< All versions in order, with a fixed accept rating; upstream as for AlwaysBest.
  RoundRobin,       ///< Version by Bulrushpitch's quality estimates; upstreams in turn.
  LeastOutstanding, ///< Version likewise; the upstream with the fewest requests of this daemon.
  TwoChoices,       ///< Version likewise; the less loaded of two random upstreams.
  Oracle            ///< Knows the actual mean ratings and the current load and caches of all engines.
};
const char *nameOf(Policy Value);

/// @brief How a rollout is run.
enum class RolloutStyle : std::uint8_t {
  Staged,      ///< By RolloutController.
  FixedTested, ///< A fixed share with the default rating sample, stopped by the same sequential test.
  Fixed        ///< A fixed share that is never stopped.
};

/// @brief Duration of a run, and events beside the requests. Times are in seconds from the start.
struct Scenario {
  double m_DurationSeconds = 420.0;
  double m_MeasuredFromSeconds = 180.0;            ///< Requests that arrive earlier are not measured.
  std::optional<DomainId> m_Domain = std::nullopt; ///< Domain that is taken out and brought back.
  double m_TakeOutAt = 0.0;
  double m_BringBackAt = 0.0;
  /// Time until all daemons know that the domain was taken out or brought back.
  double m_PropagationSeconds = 1.0;
  std::optional<RolloutStyle> m_Rollout = std::nullopt;
  double m_RolloutAt = 180.0;
  bool m_ExchangeRatings = true; ///< Whether daemons send the ratings that they receive to one another.
};

/// @brief Figures of a run. Latencies are in seconds.
struct RunOutcome {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Answered = 0; ///< Within their deadlines.
  std::uint64_t m_RejectedAtOnce = 0;
  std::uint64_t m_AnsweredByNewVersion = 0; ///< Answered by the version under rollout.
  double m_Cost = 0.0;                      ///< Microcents, of all attempts.
  /// Microcents that the answered requests would cost on the most expensive version.
  double m_MostExpensiveCost = 0.0;
  std::vector<double> m_RatingSum;             ///< By task.
  std::vector<std::uint64_t> m_AnsweredByTask; ///< Answers by task, sampled for rating or not.
  std::vector<float> m_FirstToken;
  std::vector<float> m_TokenInterval;
  std::vector<float> m_Total;
  std::vector<bool> m_OnTimeByJob;
  std::vector<float> m_TotalByJob;      ///< A missed request counts with its deadline.
  std::vector<float> m_FirstTokenByJob; ///< Likewise.
};

/// @brief Simulates a trace with daemons, engines and a policy. Deterministic.
class Simulation {
public:
  Simulation(const Site &TestSite, const std::vector<Job> &Trace, Policy UsedPolicy, Scenario UsedScenario,
             std::uint64_t Seed);
  RunOutcome run();

private:
  enum class EventKind : std::uint8_t {
    Arrive,
    Submit,
    EngineStreamEventDue,  ///< The next stream event of an engine is due.
    AttemptUpdateReceived, ///< A daemon receives an update of an attempt, see onAttemptUpdate().
    Poll,
    Report,
    RatingArrived,
    Release,
    Deadline,
    QueueTick,
    TakeOutReceived,
    BringBackReceived,
    RolloutStart
  };
  struct Event {
    double m_Time = 0.0;
    std::uint64_t m_Sequence = 0;
    EventKind m_Kind = EventKind::Arrive;
    std::uint32_t m_Index = 0; ///< Of the job, attempt, daemon or engine, depending on the kind.
    std::uint32_t m_SecondIndex = 0;
    double m_Value = 0.0;
    bool operator>(const Event &Other) const {
      return m_Time != Other.m_Time ? m_Time > Other.m_Time : m_Sequence > Other.m_Sequence;
    }
  };
  struct Daemon {
    RegionId m_Region;
    QualityEstimator m_Quality;
    UpstreamTable m_Upstreams;
    RolloutController m_Rollouts;
    LinkBudget m_Link;
    std::unique_ptr<Router> m_Router;
    AdmissionQueue m_Queue{4096};
    RetryBudget m_Retries;
    RandomHook m_Random;
    std::uint32_t m_RoundRobinIndex = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> m_QueuedJobs; ///< Job index by ticket.
  };
  enum class JobState : std::uint8_t { New, Waiting, Running, Done };
  struct JobRecord {
    JobState m_State = JobState::New;
    std::uint32_t m_CascadeStep = 0;
    std::uint32_t m_Attempt = 0; ///< Index of the current attempt.
    std::uint64_t m_Ticket = 0;
    double m_FirstTokenAt = -1.0; ///< When the caller received the first token; negative if it has not.
    std::vector<UpstreamId> m_Excluded;
  };
  struct Attempt {
    std::uint32_t m_Job = 0;
    std::uint32_t m_Engine = 0;
    std::uint32_t m_Version = 0;
    RouteDecision m_Decision;
    bool m_Open = true; ///< Whether it has neither finished nor failed.
  };

  void push(double Time, EventKind Kind, std::uint32_t Index = 0, std::uint32_t SecondIndex = 0,
            double Value = 0.0);
  void handle(const Event &Current);
  void addRolloutVersion();
  void addDaemons(std::uint64_t Seed);
  void configure(std::uint32_t DaemonIndex);
  RouteRequest requestFor(std::uint32_t JobIndex) const;
  std::vector<std::uint64_t> prefixesOf(const Job &CurrentJob) const;
  void place(std::uint32_t JobIndex);
  Expected<RouteDecision> choose(std::uint32_t JobIndex);
  Expected<RouteDecision> chooseBaseline(std::uint32_t JobIndex);
  Expected<RouteDecision> chooseOracle(std::uint32_t JobIndex);
  std::uint32_t baselineVersion(std::uint32_t JobIndex, RouteDecision &Decision);
  std::uint32_t cheapestByEstimate(std::uint32_t JobIndex) const;
  double engineScore(const Job &CurrentJob, std::uint32_t Version, std::uint32_t EngineIndex) const;
  std::uint32_t pickEngine(Daemon &JobDaemon, const std::vector<std::uint32_t> &Candidates);
  bool grantsPermit(std::uint32_t EngineIndex) const;
  bool startsOnNewByFixedShare(std::uint32_t JobIndex, const VersionId &Chosen) const;
  void dispatch(std::uint32_t JobIndex, const RouteDecision &Decision);
  void submit(std::uint32_t AttemptIndex);
  void advanceEngine(std::uint32_t EngineIndex);
  /// @param Update 0 for the first token, 1 if the attempt has finished, 2 if the engine refused it, 3 if it
  /// was lost
  void onAttemptUpdate(std::uint32_t AttemptIndex, std::uint32_t Update);
  void onAttemptFinished(std::uint32_t AttemptIndex);
  void release(std::uint32_t AttemptIndex);
  void onAttemptFailed(std::uint32_t AttemptIndex, ErrorCode Code);
  void onDeadline(std::uint32_t JobIndex);
  void rejectJob(std::uint32_t JobIndex);
  void enqueue(std::uint32_t JobIndex);
  void serveQueue(std::uint32_t DaemonIndex);
  void poll(std::uint32_t DaemonIndex, std::uint32_t EngineIndex);
  void report(std::uint32_t DaemonIndex, std::uint32_t EngineIndex);
  void sampleRating(std::uint32_t AttemptIndex);
  void onRating(std::uint32_t AttemptIndex, std::uint32_t DaemonIndex, double Rating);
  double networkDelaySeconds(std::uint32_t DaemonIndex, std::uint32_t EngineIndex) const;
  TimePoint now() const;
  bool isMeasured(std::uint32_t JobIndex) const {
    return m_Trace[JobIndex].m_Arrival >= m_Scenario.m_MeasuredFromSeconds;
  }

  Site m_Site;
  const std::vector<Job> &m_Trace;
  Policy m_Policy;
  Scenario m_Scenario;
  std::vector<std::unique_ptr<Daemon>> m_Daemons;
  std::vector<Engine> m_Engines;
  std::vector<UpstreamId> m_EngineIds;
  std::vector<RegionId> m_EngineRegions;
  std::vector<bool> m_EngineOut;
  std::vector<std::vector<std::uint32_t>> m_EnginesByVersion; ///< Engine indices by version index.
  std::unordered_map<UpstreamId, std::uint32_t> m_EngineIndex;
  std::unordered_map<VersionId, std::uint32_t> m_VersionIndex;
  std::vector<std::uint32_t> m_InFlight; ///< Requests sent to each engine that have not arrived yet.
  std::vector<std::uint64_t> m_CacheSequence;
  std::vector<std::vector<std::vector<CacheEvent>>>
      m_PendingCacheEvents;                              ///< Not yet delivered, by daemon and engine.
  std::vector<std::vector<LoadReport>> m_PendingReports; ///< Not yet delivered, by daemon and engine.
  RolloutController m_FixedShareTest;                    ///< For RolloutStyle::FixedTested.
  bool m_RolloutRunning = false;
  std::vector<double> m_NextEngineEventAt; ///< By engine, in seconds.
  std::vector<JobRecord> m_Jobs;
  std::vector<Attempt> m_Attempts;
  std::unordered_map<std::uint64_t, VersionId> m_PinnedVersions; ///< By session.
  std::vector<CheapestChoice> m_CheapestChoices;                 ///< By task.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::uint64_t m_Sequence = 0;
  double m_Now = 0.0;
  RandomHook m_Random;
  RunOutcome m_Outcome;
};

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_SIMULATION_H
