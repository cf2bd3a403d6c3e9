#ifndef BULRUSHPITCH_PROTOCOL_TESTS_SIMULATION_H
#define BULRUSHPITCH_PROTOCOL_TESTS_SIMULATION_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/protocol/table.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bulrushpitch::test {

/// @brief Whether the environment variable BULRUSHPITCH_MUTATION disables this mechanism, in which case the
/// test of its guarantee must fail.
inline bool mutationEnabled(const std::string &Name) {
  const char *Chosen = std::getenv("BULRUSHPITCH_MUTATION");
  return Chosen != nullptr && Name == Chosen;
}

inline Duration ms(std::int64_t Count) { return std::chrono::milliseconds(Count); }

enum class FaultKind : std::uint8_t {
  StoreDown,
  StoreSlow,
  ResponseLost, ///< Writes take effect, but half of the responses are lost.
  LateEffect,   ///< Half of the writes take effect late, up to 3 s after their response timed out.
  MessageLoss,
  MessageRepeat,   ///< Messages are delivered twice and out of order.
  Kill,            ///< The instance stops and is restarted without state when the fault ends.
  Freeze,          ///< The instance is paused and resumes when the fault ends.
  PartitionDomain, ///< A failure domain is partitioned from the others.
  PartitionRegion, ///< The last failure domain is partitioned from the others and from the store.
  ColdRestart,     ///< The upstream restarts unannounced with a cold cache (permits only).
};
inline constexpr int FaultKindCount = 11;

struct Fault {
  FaultKind m_Kind = FaultKind::StoreDown;
  std::int64_t m_StartMs = 0;
  std::int64_t m_LengthMs = 0;
  std::size_t m_Target = 0;
};

inline std::ostream &operator<<(std::ostream &Out, const Fault &Value) {
  return Out << "{kind " << static_cast<int>(Value.m_Kind) << ", at " << Value.m_StartMs << " ms for "
             << Value.m_LengthMs << " ms, target " << Value.m_Target << "}";
}

/// @brief The input that a property test draws; everything else is derived from the seed.
struct Plan {
  std::uint32_t m_Seed = 0;
  std::vector<Fault> m_Faults;
};

/// @brief A single-threaded discrete-event simulation of instances that are paused and restarted, their
/// messages and a table service.
class Simulation {
public:
  Simulation(const Plan &Planned, std::size_t Instances)
      : m_Plan(Planned), m_Random(Planned.m_Seed), m_Generation(Instances, 1) {}

  TimePoint now() const { return m_Now; }
  std::uint64_t randomBelow(std::uint64_t Limit) { return m_Random() % Limit; }
  bool randomChance(double Share) { return static_cast<double>(randomBelow(1'000'000)) < Share * 1e6; }
  Duration randomDuration(std::int64_t FromMs, std::int64_t ToMs) {
    return std::chrono::microseconds(FromMs * 1'000 +
                                     static_cast<std::int64_t>(randomBelow(static_cast<std::uint64_t>(
                                         std::max<std::int64_t>(1, (ToMs - FromMs) * 1'000)))));
  }

  void scheduleAt(TimePoint When, std::function<void()> Event) {
    m_Events.push({When, m_Sequence++, std::move(Event)});
  }
  void scheduleAfter(Duration Delay, std::function<void()> Event) {
    scheduleAt(m_Now + Delay, std::move(Event));
  }
  void runUntil(TimePoint End) {
    while (!m_Events.empty() && m_Events.top().m_When <= End) {
      Scheduled Next = m_Events.top();
      m_Events.pop();
      m_Now = std::max(m_Now, Next.m_When);
      ++m_Steps;
      Next.m_Run();
    }
    m_Now = End;
  }
  std::uint64_t steps() const { return m_Steps; }

  bool active(FaultKind Kind, std::size_t Target = 0, bool AnyTarget = true) const {
    return std::any_of(m_Plan.m_Faults.begin(), m_Plan.m_Faults.end(), [&](const Fault &Injected) {
      return Injected.m_Kind == Kind && (AnyTarget || Injected.m_Target % m_Generation.size() == Target) &&
             m_Now >= TimePoint(ms(Injected.m_StartMs)) &&
             m_Now < TimePoint(ms(Injected.m_StartMs + Injected.m_LengthMs));
    });
  }
  bool alive(std::size_t Instance) const { return !active(FaultKind::Kill, Instance, false); }
  bool frozen(std::size_t Instance) const { return active(FaultKind::Freeze, Instance, false); }
  /// Increases with each restart; events for an earlier process are dropped.
  std::uint64_t generation(std::size_t Instance) const { return m_Generation[Instance]; }
  void restart(std::size_t Instance) { ++m_Generation[Instance]; }
  /// The time at which the last fault ends.
  TimePoint lastFaultEnd() const {
    TimePoint LatestEnd;
    for (const Fault &Injected : m_Plan.m_Faults)
      LatestEnd = std::max(LatestEnd, TimePoint(ms(Injected.m_StartMs + Injected.m_LengthMs)));
    return LatestEnd;
  }
  const Plan &plan() const { return m_Plan; }

  /// Three failure domains; the last is a region of its own.
  static std::size_t domainOf(std::size_t Instance) { return Instance % 3; }
  bool connected(std::size_t Left, std::size_t Right) const {
    if (domainOf(Left) == domainOf(Right))
      return true;
    if (active(FaultKind::PartitionRegion) && (domainOf(Left) == 2 || domainOf(Right) == 2))
      return false;
    return !std::any_of(m_Plan.m_Faults.begin(), m_Plan.m_Faults.end(), [&](const Fault &Injected) {
      return Injected.m_Kind == FaultKind::PartitionDomain &&
             active(FaultKind::PartitionDomain, Injected.m_Target % m_Generation.size(), false) &&
             (domainOf(Injected.m_Target) == domainOf(Left) ||
              domainOf(Injected.m_Target) == domainOf(Right));
    });
  }
  bool canReachStore(std::size_t Instance) const {
    return !m_Outage && !active(FaultKind::StoreDown) &&
           (domainOf(Instance) != 2 || !active(FaultKind::PartitionRegion));
  }

  /// Runs an event at an instance; drops it if that process has ended and postpones it while the instance is
  /// frozen.
  void deliver(std::size_t To, std::uint64_t Generation, std::function<void()> Event) {
    if (!alive(To) || m_Generation[To] != Generation)
      return;
    if (frozen(To))
      scheduleAfter(ms(50),
                    [this, To, Generation, Event = std::move(Event)] { deliver(To, Generation, Event); });
    else
      Event();
  }
  /// Sends a message; @p Event runs in the process that the receiver has on delivery.
  void send(std::size_t From, std::size_t To, const std::function<void()> &Event) {
    const int Copies = active(FaultKind::MessageRepeat) && randomChance(0.5) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (active(FaultKind::MessageLoss) && randomChance(0.4))
        continue;
      const Duration Delay =
          active(FaultKind::MessageRepeat) ? randomDuration(1, 900) : randomDuration(1, 35);
      scheduleAfter(Delay, [this, From, To, Event] {
        if (connected(From, To) && alive(To))
          deliver(To, m_Generation[To], Event);
      });
    }
  }
  /// Calls @p Event every @p Period at an instance until its current process ends.
  void runPeriodically(std::size_t Instance, Duration Period, std::function<void()> Event) {
    const std::uint64_t Generation = m_Generation[Instance];
    scheduleAfter(Period, [this, Instance, Period, Generation, Event = std::move(Event)] {
      if (m_Generation[Instance] != Generation)
        return;
      if (alive(Instance) && !frozen(Instance))
        Event();
      runPeriodically(Instance, Period, Event);
    });
  }

  using CommitCallback = std::function<void(const CommitResult &)>;
  using ReadCallback = std::function<void(const ReadResult &)>;
  void commit(std::size_t From, const std::vector<TableWrite> &Writes, const CommitCallback &OnResult) {
    const std::uint64_t Generation = m_Generation[From];
    const std::function<void(CommitResult)> Reply = [this, From, Generation,
                                                     OnResult](const CommitResult &Result) {
      deliver(From, Generation, [OnResult, Result] { OnResult(Result); });
    };
    if (!canReachStore(From)) {
      const Ran Execution = randomChance(0.5) ? Ran::No : Ran::Unknown;
      scheduleAfter(Execution == Ran::No ? ms(5) : StoreTimeout,
                    [Reply, Execution] { Reply(storeError(Execution)); });
      return;
    }
    const bool IsDelayed = active(FaultKind::LateEffect) && randomChance(0.5);
    const Duration Delay = IsDelayed ? randomDuration(1'000, 4'000) : storeDelay();
    const bool IsResponseLost =
        Delay > StoreTimeout || (active(FaultKind::ResponseLost) && randomChance(0.5));
    scheduleAfter(Delay, [this, Writes, Reply, IsResponseLost] {
      if (active(FaultKind::StoreDown)) {
        if (!IsResponseLost)
          scheduleAfter(StoreTimeout, [Reply] { Reply(storeError(Ran::Unknown)); });
        return;
      }
      const TableOutcome Outcome = apply(Writes);
      if (!IsResponseLost)
        scheduleAfter(storeDelay() / 2, [Reply, Outcome] { Reply(Outcome); });
    });
    if (IsResponseLost)
      scheduleAfter(StoreTimeout, [Reply] { Reply(storeError(Ran::Unknown)); });
  }
  void read(std::size_t From, const std::string &Key, const ReadCallback &OnResult) {
    const std::uint64_t Generation = m_Generation[From];
    const bool Fails = !canReachStore(From) || (active(FaultKind::ResponseLost) && randomChance(0.2));
    scheduleAfter(Fails ? StoreTimeout : storeDelay(), [this, From, Key, Generation, OnResult, Fails] {
      if (Fails) {
        deliver(From, Generation, [OnResult] { OnResult(storeError(Ran::No)); });
        return;
      }
      const std::optional<TableRow> Row =
          m_Rows.count(Key) == 0 ? std::nullopt : std::optional(m_Rows.at(Key));
      scheduleAfter(randomDuration(0, 10), [this, From, Generation, OnResult, Row] {
        deliver(From, Generation, [OnResult, Row] { OnResult(Row); });
      });
    });
  }
  TableOutcome apply(const std::vector<TableWrite> &Writes) {
    TableOutcome Outcome;
    Outcome.m_Committed = std::all_of(Writes.begin(), Writes.end(), [&](const TableWrite &Write) {
      const std::uint64_t Version = m_Rows.count(Write.m_Key) == 0 ? 0 : m_Rows.at(Write.m_Key).m_RowVersion;
      return !(Write.m_Condition == TableCondition::Absent && Version != 0) &&
             !(Write.m_Condition == TableCondition::Version && Version != Write.m_ExpectedVersion);
    });
    for (const TableWrite &Write : Writes) {
      const bool IsSet = m_Rows.count(Write.m_Key) != 0;
      const bool IsApplied =
          Outcome.m_Committed && !(Write.m_Condition == TableCondition::SkipIfPresent && IsSet);
      if (IsApplied) {
        TableRow &Row = m_Rows[Write.m_Key];
        Row = TableRow{Write.m_Key, Write.m_Value, ++m_Version};
        if (m_OnWrite)
          m_OnWrite(Row);
      }
      Outcome.m_Rows.push_back(m_Rows.count(Write.m_Key) == 0 ? TableRow{} : m_Rows.at(Write.m_Key));
      Outcome.m_Written.push_back(IsApplied);
    }
    return Outcome;
  }
  const std::map<std::string, TableRow> &rows() const { return m_Rows; }
  bool m_Outage = false; ///< Makes the store unavailable while set.
  /// Called after each row write.
  std::function<void(const TableRow &)> m_OnWrite;
  Duration storeDelay() {
    return active(FaultKind::StoreSlow) ? randomDuration(200, 1'800) : randomDuration(1, 20);
  }

private:
  static inline const Duration StoreTimeout = ms(1'000);
  static Error storeError(Ran Execution) {
    return Error{ErrorCode::PlatformTimeout, "store", "table service", Execution, "simulated"};
  }
  struct Scheduled {
    TimePoint m_When;
    std::uint64_t m_Order;
    std::function<void()> m_Run;
    bool operator<(const Scheduled &Other) const {
      return m_When != Other.m_When ? m_When > Other.m_When : m_Order > Other.m_Order;
    }
  };
  Plan m_Plan;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Steps = 0;
  std::priority_queue<Scheduled> m_Events;
  std::vector<std::uint64_t> m_Generation;
  std::map<std::string, TableRow> m_Rows;
  std::uint64_t m_Version = 0;
};

template <typename... Functions> struct Overloaded : Functions... { using Functions::operator()...; };
template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_SIMULATION_H
