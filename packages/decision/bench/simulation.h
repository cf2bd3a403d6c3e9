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

/// @brief How requests are placed.
enum class Policy : std::uint8_t {
  Ours,
  AlwaysBest,       ///< The dearest version, least known load.
  AlwaysCheapest,   ///< The cheapest version, least known load.
  FixedCascade,     ///< Every version in order, kept from a fixed rating on; least known load.
  RoundRobin,       ///< Our quality estimates for the version; upstreams in turn.
  LeastOutstanding, ///< Likewise; the upstream with the fewest requests of this daemon.
  TwoChoices,       ///< Likewise; the less loaded of two random upstreams.
  Oracle            ///< Knows the true mean ratings, and the load and caches of all engines at this moment.
};
const char *nameOf(Policy Value);

/// @brief How a rollout is run.
enum class RolloutStyle : std::uint8_t {
  Staged,      ///< RolloutController as it is.
  FixedTested, ///< A fixed share, ratings at the usual sample, stopped by the same test.
  Fixed        ///< A fixed share that nobody stops.
};

/// @brief What happens in a run beside the requests.
struct Scenario {
  double m_Seconds = 420.0;
  double m_WarmUp = 180.0;                         ///< Requests that arrive before are not measured.
  std::optional<DomainId> m_Domain = std::nullopt; ///< Taken out and brought back.
  double m_OutAt = 0.0;
  double m_BackAt = 0.0;
  double m_TakeOutDelay = 1.0; ///< Until all daemons know.
  std::optional<RolloutStyle> m_Rollout = std::nullopt;
  double m_RolloutAt = 180.0;
  bool m_SharedRatings = true; ///< Daemons tell one another the ratings they get.
};

/// @brief Figures of a run.
struct Outcome {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Answered = 0; ///< Before their deadlines.
  std::uint64_t m_RefusedAtOnce = 0;
  std::uint64_t m_OnNew = 0;    ///< Answered by the version under rollout.
  double m_Cost = 0.0;          ///< Microcents, of all attempts.
  double m_BestPrice = 0.0;     ///< Microcents that the answered requests would cost on the dearest version.
  std::vector<double> m_Rating; ///< Sum by task.
  std::vector<std::uint64_t> m_RatedTask; ///< Answered by task.
  std::vector<float> m_First;             ///< Seconds.
  std::vector<float> m_Gap;
  std::vector<float> m_Whole;
  std::vector<bool> m_OnTime;      ///< By job.
  std::vector<float> m_WholeOfJob; ///< By job; a missed one counts with its deadline.
  std::vector<float> m_FirstOfJob; ///< Likewise.
};

/// @brief Plays a trace through daemons, engines and a policy. Deterministic.
class Simulation {
public:
  Simulation(const Site &At, const std::vector<Job> &Trace, Policy How, Scenario What, std::uint64_t Seed);
  Outcome run();

private:
  enum class EventKind : std::uint8_t {
    Arrive,
    Submit,
    EngineNext,
    Told,
    Poll,
    Report,
    Rated,
    Release,
    Deadline,
    Tick,
    OutKnown,
    BackKnown,
    RolloutStart
  };
  struct Event {
    double m_At = 0.0;
    std::uint64_t m_Order = 0;
    EventKind m_Kind = EventKind::Arrive;
    std::uint32_t m_A = 0;
    std::uint32_t m_B = 0;
    double m_Value = 0.0;
    bool operator>(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
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
    std::uint32_t m_Turn = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> m_Waiting; ///< Job by ticket.
  };
  enum class JobState : std::uint8_t { New, Waiting, Running, Done };
  struct JobRecord {
    JobState m_State = JobState::New;
    std::uint32_t m_CascadeStep = 0;
    std::uint32_t m_Attempt = 0; ///< Under way.
    std::uint64_t m_Ticket = 0;
    double m_FirstAt = -1.0; ///< At the caller.
    std::vector<UpstreamId> m_Excluded;
  };
  struct Attempt {
    std::uint32_t m_Job = 0;
    std::uint32_t m_Engine = 0;
    std::uint32_t m_Version = 0;
    RouteDecision m_Decision;
    bool m_Open = true;
  };

  void push(double At, EventKind Kind, std::uint32_t A = 0, std::uint32_t B = 0, double Value = 0.0);
  void handle(const Event &Next);
  void addRolloutVersion();
  void addDaemons(std::uint64_t Seed);
  void configure(std::uint32_t DaemonIndex);
  RouteRequest requestFor(std::uint32_t JobIndex) const;
  std::vector<std::uint64_t> prefixesOf(const Job &Asked) const;
  void place(std::uint32_t JobIndex);
  Expected<RouteDecision> choose(std::uint32_t JobIndex);
  Expected<RouteDecision> chooseBaseline(std::uint32_t JobIndex);
  Expected<RouteDecision> chooseOracle(std::uint32_t JobIndex);
  std::uint32_t baselineVersion(std::uint32_t JobIndex, RouteDecision &Into);
  std::uint32_t cheapestByEstimate(std::uint32_t JobIndex) const;
  double engineScore(const Job &Asked, std::uint32_t Version, std::uint32_t EngineIndex) const;
  std::uint32_t pickHost(Daemon &At, const std::vector<std::uint32_t> &Hosts);
  bool permitted(std::uint32_t EngineIndex) const;
  bool movedByFixedShare(std::uint32_t JobIndex, const VersionId &Chosen) const;
  void dispatch(std::uint32_t JobIndex, const RouteDecision &Decision);
  void submit(std::uint32_t AttemptIndex);
  void wake(std::uint32_t EngineIndex);
  void told(std::uint32_t AttemptIndex, std::uint32_t What);
  void finish(std::uint32_t AttemptIndex);
  void release(std::uint32_t AttemptIndex);
  void fail(std::uint32_t AttemptIndex, ErrorCode Code);
  void giveUp(std::uint32_t JobIndex);
  void refuse(std::uint32_t JobIndex);
  void wait(std::uint32_t JobIndex);
  void drainQueue(std::uint32_t DaemonIndex);
  void poll(std::uint32_t DaemonIndex, std::uint32_t EngineIndex);
  void report(std::uint32_t DaemonIndex, std::uint32_t EngineIndex);
  void sampleRating(std::uint32_t AttemptIndex);
  void rated(std::uint32_t AttemptIndex, std::uint32_t DaemonIndex, double Rating);
  double delay(std::uint32_t DaemonIndex, std::uint32_t EngineIndex) const;
  TimePoint now() const;
  bool measured(std::uint32_t JobIndex) const { return m_Trace[JobIndex].m_Arrival >= m_What.m_WarmUp; }

  Site m_Site;
  const std::vector<Job> &m_Trace;
  Policy m_How;
  Scenario m_What;
  std::vector<std::unique_ptr<Daemon>> m_Daemons;
  std::vector<Engine> m_Engines;
  std::vector<UpstreamId> m_EngineIds;
  std::vector<RegionId> m_EngineRegions;
  std::vector<bool> m_EngineOut;
  std::vector<std::vector<std::uint32_t>> m_Hosts; ///< Engines by version.
  std::unordered_map<UpstreamId, std::uint32_t> m_EngineIndex;
  std::unordered_map<VersionId, std::uint32_t> m_VersionIndex;
  std::vector<std::uint32_t> m_InFlight; ///< Requests on their way to each engine.
  std::vector<std::uint64_t> m_CacheSequence;
  std::vector<std::vector<std::vector<CacheEvent>>> m_CacheFeed; ///< By daemon and engine.
  std::vector<std::vector<LoadReport>> m_Reports;                ///< On their way, by daemon and engine.
  RolloutController m_FixedTest;                                 ///< Of RolloutStyle::FixedTested.
  bool m_RolloutRuns = false;
  std::vector<double> m_Scheduled; ///< Time of each engine's next event.
  std::vector<JobRecord> m_Jobs;
  std::vector<Attempt> m_Attempts;
  std::unordered_map<std::uint64_t, VersionId> m_Pins;
  std::vector<BestChoice> m_Best;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::uint64_t m_Order = 0;
  double m_Now = 0.0;
  RandomHook m_Random;
  Outcome m_Outcome;
};

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_SIMULATION_H
