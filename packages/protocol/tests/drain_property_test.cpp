#include "bulrushpitch/protocol/charge_ledger.h"
#include "bulrushpitch/protocol/drain_machine.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// A daemon with running requests and a ledger, which is told to stop.
class DrainWorld {
public:
  explicit DrainWorld(const Plan &Planned)
      : m_Sim(Planned, 3), m_Ledger(CopyHolder{InstanceId("i0"), 1}, [this](const std::vector<InstanceId> &) {
          return m_Sim.connected(0, 1) ? std::optional<CopyHolder>(CopyHolder{InstanceId("i1"), 1})
                                       : std::nullopt;
        }) {}

  void run() {
    m_StopAt = TimePoint(ms(1'000)) + m_Sim.between(0, 8'000);
    m_Sim.every(0, ms(10), [this] { tick(); });
    m_Sim.at(m_StopAt, [this] {
      carryOut(m_Drain.stop(m_Sim.now()));
      carryOut(m_Drain.stop(m_Sim.now())); // A second SIGTERM.
    });
    m_Sim.runUntil(TimePoint(ms(90'000)));
  }

  int m_CutEarly = 0;         ///< Requests ended before the drain deadline.
  int m_AcceptedLate = 0;     ///< Requests accepted after new ones were refused.
  int m_RefusedEarly = 0;     ///< Requests refused within the balancer's delay.
  int m_WithoutToken = 0;     ///< Requests that still ran at the exit and were not ended with a resume token.
  bool m_LeasesFirst = false; ///< Leases were released before peers were told and before the exit.
  int m_Announced = 0;
  std::optional<int> m_Exit;
  std::size_t m_UnsafeAtExit = 0;
  std::size_t m_RunningAtExit = 0;
  Duration m_Took{};

private:
  void tick() {
    if (m_Exit)
      return;
    const TimePoint Now = m_Sim.now();
    if (m_Sim.chance(0.05))
      arrive();
    for (std::map<int, TimePoint>::iterator Entry = m_Running.begin(); Entry != m_Running.end();)
      Entry = Entry->second <= Now ? finish(Entry) : std::next(Entry);
    carryOut(m_Ledger.tick(Now, 3));
    const std::size_t Unsafe = mutation("drain-charges") ? 0 : m_Ledger.unsafe();
    carryOut(m_Drain.tick(Now, mutation("drain-requests") ? 0 : m_Running.size(), Unsafe,
                          mutation("drain-charges") ? 0 : m_Ledger.waiting()));
  }
  void arrive() {
    if (!m_Drain.acceptsNew()) {
      m_RefusedEarly += m_Sim.now() - m_StopAt < ms(1'000) ? 1 : 0;
      return;
    }
    m_AcceptedLate += m_Refusing ? 1 : 0;
    m_Running[m_Next++] =
        m_Sim.now() + (m_Sim.chance(0.1) ? m_Sim.between(5'000, 60'000) : m_Sim.between(50, 5'000));
  }
  std::map<int, TimePoint>::iterator finish(std::map<int, TimePoint>::iterator Entry) {
    const std::string Id = std::to_string(Entry->first);
    carryOut(m_Ledger.add(m_Sim.now(), Charge{TeamId("t"), RequestId(Id), AttemptId(Id), "v", MicroCents(1),
                                              Tokens(1), Tokens(1)}));
    return m_Running.erase(Entry);
  }

  void carryOut(const DrainActions &Actions) {
    for (const DrainAction &Action : Actions)
      std::visit(Overloaded{[&](TurnNotReady) {}, [&](RefuseNew) { refuse(); },
                            [&](EndStreams) { endStreams(); },
                            [&](ReleaseLeases) {
                              m_LeasesFirst = m_Announced == 0 && !m_Exit;
                              // Nothing that runs may be left when the daemon gives up its leases and
                              // permits.
                              m_WithoutToken += static_cast<int>(m_Running.size());
                            },
                            [&](HandOverCharges) { carryOut(m_Ledger.handOver(m_Sim.now())); },
                            [&](AnnounceLeaving) {
                              ++m_Announced;
                              m_Sim.after(m_Sim.between(1, 2'000),
                                          [this] { carryOut(m_Drain.announced(m_Sim.now())); });
                            },
                            [&](ExitProcess Exit) {
                              m_Exit = Exit.m_Code;
                              m_UnsafeAtExit = m_Ledger.unsafe();
                              m_RunningAtExit = m_Running.size();
                              m_Took = m_Sim.now() - m_StopAt;
                            }},
                 Action);
  }
  void refuse() {
    m_Refusing = true;
    m_RefusedAt = m_Sim.now();
  }
  void endStreams() {
    m_CutEarly += m_Sim.now() - m_RefusedAt < ms(30'000) ? 1 : 0;
    while (!m_Running.empty())
      finish(m_Running.begin());
  }

  void carryOut(const ChargeActions &Actions) {
    for (const ChargeAction &Action : Actions)
      std::visit(
          Overloaded{[&](const CommitRows &Commit) {
                       m_Sim.commit(0, Commit.m_Writes, [this, Commit](const CommitResult &Outcome) {
                         carryOut(m_Ledger.committed(m_Sim.now(), Commit.m_Token, Outcome));
                       });
                     },
                     [&](const HoldCharges &Hold) {
                       m_Sim.after(m_Sim.between(1, 60), [this, Hold] {
                         carryOut(m_Ledger.heldBy(m_Sim.now(), Hold.m_Token, m_Sim.connected(0, 1)));
                       });
                     },
                     [&](const DropCharges &Drop) { m_Ledger.dropAnswered(m_Sim.now(), Drop.m_Token, true); },
                     [&](const ReleaseEnd &) {}},
          Action);
  }

  Simulation m_Sim;
  ChargeLedger m_Ledger;
  DrainMachine m_Drain;
  std::map<int, TimePoint> m_Running; ///< Request to the time at which it ends by itself.
  int m_Next = 0;

  bool m_Refusing = false;
  TimePoint m_StopAt;
  TimePoint m_RefusedAt;
};

} // namespace

TEST_CASE("guarantee 11: a planned stop cuts nothing before the deadline and loses no charge") {
  CHECK(rc::check("drain", [] {
    DrainWorld World(drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost,
                               FaultKind::LateEffect, FaultKind::CutDomain}));
    World.run();
    RC_ASSERT(World.m_Exit.has_value());
    RC_ASSERT(World.m_CutEarly == 0);
    RC_ASSERT(World.m_AcceptedLate == 0);
    RC_ASSERT(World.m_RefusedEarly == 0);
    RC_ASSERT(World.m_WithoutToken == 0);
    RC_ASSERT(World.m_LeasesFirst);
    RC_ASSERT(World.m_Announced == 1);
    RC_ASSERT(World.m_RunningAtExit == 0U);
    // The exit code tells the truth about the charges.
    RC_ASSERT((*World.m_Exit == 0) == (World.m_UnsafeAtExit == 0));
    RC_ASSERT(World.m_Took <= ms(45'000));
  }));
}

TEST_CASE("a stop with the store up and requests that end soon exits with 0 within 10 s") {
  DrainMachine Drain;
  CHECK(Drain.stop(TimePoint()).size() == 1);
  CHECK_FALSE(Drain.readyz());
  CHECK(Drain.acceptsNew());
  CHECK(std::holds_alternative<RefuseNew>(Drain.tick(TimePoint(ms(1'000)), 1, 0, 0).at(0)));
  CHECK(Drain.tick(TimePoint(ms(2'000)), 1, 0, 0).empty());
  CHECK(Drain.tick(TimePoint(ms(3'000)), 0, 0, 0).size() == 2);
  CHECK(std::holds_alternative<AnnounceLeaving>(Drain.tick(TimePoint(ms(3'100)), 0, 0, 0).at(0)));
  CHECK(std::get<ExitProcess>(Drain.announced(TimePoint(ms(3'200))).at(0)).m_Code == 0);
  CHECK(Drain.state() == DrainState::Stopped);
}
