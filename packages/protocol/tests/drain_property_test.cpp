#include "bulrushpitch/protocol/charge_ledger.h"
#include "bulrushpitch/protocol/drain_machine.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// A daemon with running requests and a charge ledger that is shut down gracefully.
class DrainSimulation {
public:
  explicit DrainSimulation(const Plan &Planned)
      : m_Sim(Planned, 3), m_Ledger(CopyHolder{InstanceId("i0"), 1}, [this](const std::vector<InstanceId> &) {
          return m_Sim.connected(0, 1) ? std::optional<CopyHolder>(CopyHolder{InstanceId("i1"), 1})
                                       : std::nullopt;
        }) {}

  void run() {
    m_StopAt = TimePoint(ms(1'000)) + m_Sim.randomDuration(0, 8'000);
    m_Sim.runPeriodically(0, ms(10), [this] { tick(); });
    m_Sim.scheduleAt(m_StopAt, [this] {
      execute(m_Drain.stop(m_Sim.now()));
      execute(m_Drain.stop(m_Sim.now())); // A second SIGTERM.
    });
    m_Sim.runUntil(TimePoint(ms(90'000)));
  }

  int m_EndedEarly = 0;       ///< Requests that were ended before the drain deadline.
  int m_AcceptedLate = 0;     ///< Requests accepted after the daemon began to refuse new ones.
  int m_RefusedEarly = 0;     ///< Requests refused within the load balancer's delay.
  int m_RunningAtRelease = 0; ///< Requests still running, without a resume token, when leases were released.
  bool m_ReleasedBeforeAnnouncing =
      false; ///< Leases were released before the announcement to peers and before the exit.
  int m_Announced = 0;
  std::optional<int> m_Exit;
  std::size_t m_UnsafeAtExit = 0;
  std::size_t m_RunningAtExit = 0;
  Duration m_Elapsed{};

private:
  void tick() {
    if (m_Exit)
      return;
    const TimePoint Now = m_Sim.now();
    if (m_Sim.randomChance(0.05))
      receiveRequest();
    for (std::map<int, TimePoint>::iterator Entry = m_Running.begin(); Entry != m_Running.end();)
      Entry = Entry->second <= Now ? finishRequest(Entry) : std::next(Entry);
    execute(m_Ledger.tick(Now, 3));
    const std::size_t Unsafe = mutationEnabled("drain-charges") ? 0 : m_Ledger.unreplicatedCount();
    execute(m_Drain.tick(Now, mutationEnabled("drain-requests") ? 0 : m_Running.size(), Unsafe,
                         mutationEnabled("drain-charges") ? 0 : m_Ledger.unstoredCount()));
  }
  void receiveRequest() {
    if (!m_Drain.acceptsNewRequests()) {
      m_RefusedEarly += m_Sim.now() - m_StopAt < ms(1'000) ? 1 : 0;
      return;
    }
    m_AcceptedLate += m_Refusing ? 1 : 0;
    m_Running[m_NextRequest++] = m_Sim.now() + (m_Sim.randomChance(0.1) ? m_Sim.randomDuration(5'000, 60'000)
                                                                        : m_Sim.randomDuration(50, 5'000));
  }
  std::map<int, TimePoint>::iterator finishRequest(std::map<int, TimePoint>::iterator Entry) {
    const std::string Id = std::to_string(Entry->first);
    execute(m_Ledger.addCharge(m_Sim.now(), Charge{TeamId("t"), RequestId(Id), AttemptId(Id), "v",
                                                   MicroCents(1), Tokens(1), Tokens(1)}));
    return m_Running.erase(Entry);
  }

  void execute(const DrainActions &Actions) {
    for (const DrainAction &Action : Actions)
      std::visit(Overloaded{[&](SetNotReady) {}, [&](RefuseNewRequests) { startRefusing(); },
                            [&](EndStreams) { endStreams(); },
                            [&](ReleaseLeases) {
                              m_ReleasedBeforeAnnouncing = m_Announced == 0 && !m_Exit;
                              // No request may still be running when leases and permits are released.
                              m_RunningAtRelease += static_cast<int>(m_Running.size());
                            },
                            [&](HandOverCharges) { execute(m_Ledger.flushNow(m_Sim.now())); },
                            [&](AnnounceLeaving) {
                              ++m_Announced;
                              m_Sim.scheduleAfter(m_Sim.randomDuration(1, 2'000),
                                                  [this] { execute(m_Drain.announced(m_Sim.now())); });
                            },
                            [&](ExitProcess Exit) {
                              m_Exit = Exit.m_Code;
                              m_UnsafeAtExit = m_Ledger.unreplicatedCount();
                              m_RunningAtExit = m_Running.size();
                              m_Elapsed = m_Sim.now() - m_StopAt;
                            }},
                 Action);
  }
  void startRefusing() {
    m_Refusing = true;
    m_RefusedAt = m_Sim.now();
  }
  void endStreams() {
    m_EndedEarly += m_Sim.now() - m_RefusedAt < ms(30'000) ? 1 : 0;
    while (!m_Running.empty())
      finishRequest(m_Running.begin());
  }

  void execute(const ChargeActions &Actions) {
    for (const ChargeAction &Action : Actions)
      std::visit(
          Overloaded{[&](const CommitRows &Commit) {
                       m_Sim.commit(0, Commit.m_Writes, [this, Commit](const CommitResult &Outcome) {
                         execute(m_Ledger.committed(m_Sim.now(), Commit.m_Token, Outcome));
                       });
                     },
                     [&](const HoldCharges &Hold) {
                       m_Sim.scheduleAfter(m_Sim.randomDuration(1, 60), [this, Hold] {
                         execute(m_Ledger.holdAnswered(m_Sim.now(), Hold.m_Token, m_Sim.connected(0, 1)));
                       });
                     },
                     [&](const DropCharges &Drop) { m_Ledger.dropAnswered(m_Sim.now(), Drop.m_Token, true); },
                     [&](const ReleaseResponseEnd &) {}},
          Action);
  }

  Simulation m_Sim;
  ChargeLedger m_Ledger;
  DrainMachine m_Drain;
  std::map<int, TimePoint> m_Running; ///< Request to the time at which it completes.
  int m_NextRequest = 0;

  bool m_Refusing = false;
  TimePoint m_StopAt;
  TimePoint m_RefusedAt;
};

} // namespace

TEST_CASE("guarantee 11: a graceful shutdown ends no request before the deadline and loses no charge") {
  CHECK(rc::check("drain", [] {
    DrainSimulation Shutdown(drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost,
                                       FaultKind::LateEffect, FaultKind::PartitionDomain}));
    Shutdown.run();
    RC_ASSERT(Shutdown.m_Exit.has_value());
    RC_ASSERT(Shutdown.m_EndedEarly == 0);
    RC_ASSERT(Shutdown.m_AcceptedLate == 0);
    RC_ASSERT(Shutdown.m_RefusedEarly == 0);
    RC_ASSERT(Shutdown.m_RunningAtRelease == 0);
    RC_ASSERT(Shutdown.m_ReleasedBeforeAnnouncing);
    RC_ASSERT(Shutdown.m_Announced == 1);
    RC_ASSERT(Shutdown.m_RunningAtExit == 0U);
    // The exit code shows whether all charges are stored or copied.
    RC_ASSERT((*Shutdown.m_Exit == 0) == (Shutdown.m_UnsafeAtExit == 0));
    RC_ASSERT(Shutdown.m_Elapsed <= ms(45'000));
  }));
}

TEST_CASE("a shutdown with the store available and short requests exits with code 0 within 10 s") {
  DrainMachine Drain;
  CHECK(Drain.stop(TimePoint()).size() == 1);
  CHECK_FALSE(Drain.isReady());
  CHECK(Drain.acceptsNewRequests());
  CHECK(std::holds_alternative<RefuseNewRequests>(Drain.tick(TimePoint(ms(1'000)), 1, 0, 0).at(0)));
  CHECK(Drain.tick(TimePoint(ms(2'000)), 1, 0, 0).empty());
  CHECK(Drain.tick(TimePoint(ms(3'000)), 0, 0, 0).size() == 2);
  CHECK(std::holds_alternative<AnnounceLeaving>(Drain.tick(TimePoint(ms(3'100)), 0, 0, 0).at(0)));
  CHECK(std::get<ExitProcess>(Drain.announced(TimePoint(ms(3'200))).at(0)).m_Code == 0);
  CHECK(Drain.state() == DrainState::Stopped);
}
