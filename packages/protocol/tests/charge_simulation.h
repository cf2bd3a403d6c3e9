#ifndef BULRUSHPITCH_PROTOCOL_TESTS_CHARGE_SIMULATION_H
#define BULRUSHPITCH_PROTOCOL_TESTS_CHARGE_SIMULATION_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

struct ChargeReport {
  std::uint64_t m_Steps = 0;
  int m_Released = 0;   ///< Responses whose end was released to the caller.
  int m_Duplicates = 0; ///< Charges written more than once.
  /// Released responses without a charge in the store, although a process with a copy is alive.
  int m_Lost = 0;
  int m_LostWithBothCopies = 0; ///< The same, but every process that had a copy was killed.
  int m_EarlyReleases = 0;      ///< Ends released before the charge was stored or copied.
  /// Attempts whose response end was never released, although their process is alive.
  int m_NeverReleased = 0;
  int m_Refused = 0;               ///< Requests that rejectionReason() rejected.
  std::size_t m_LeakedCharges = 0; ///< Own charges and copies that are still kept at the end.
};

struct ChargeOptions {
  std::size_t m_Instances = 6;
  Duration m_LoadDuration = ms(20'000); ///< Time during which requests arrive.
  Duration m_SettleTime = ms(100'000);  ///< Simulated time after the last request or fault.
  Duration m_RequestInterval = ms(60);  ///< Interval between requests.
};

/// @brief Simulates daemons that charge requests and copy charges to one another, while daemons are lost.
class ChargeSimulation {
public:
  explicit ChargeSimulation(const Plan &Planned, ChargeOptions Options = {})
      : m_Options(Options), m_Sim(Planned, Options.m_Instances), m_Daemons(Options.m_Instances) {}

  ChargeReport run() {
    m_Sim.m_OnWrite = [this](const TableRow &Row) {
      m_Report.m_Duplicates += ++m_WriteCounts[Row.m_Key] > 1 ? 1 : 0;
    };
    for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index)
      start(Index);
    for (const Fault &Injected : m_Sim.plan().m_Faults) {
      const std::size_t Target = Injected.m_Target % m_Daemons.size();
      if (Injected.m_Kind == FaultKind::Kill) {
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs)), [this, Target] { kill(Target); });
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs + Injected.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
    }
    for (TimePoint When = TimePoint(ms(100)); When < TimePoint(m_Options.m_LoadDuration);
         When += m_Options.m_RequestInterval)
      m_Sim.scheduleAt(When, [this] { request(); });
    m_Sim.runUntil(std::max(TimePoint(m_Options.m_LoadDuration), m_Sim.lastFaultEnd()) +
                   m_Options.m_SettleTime);
    countViolations();
    return m_Report;
  }

private:
  struct DaemonState {
    std::unique_ptr<ChargeLedger> m_Ledger;
    /// Incarnation of each peer, as last seen by this daemon.
    std::map<std::size_t, std::uint64_t> m_KnownIncarnations;
    std::set<std::size_t> m_Suspected;
  };
  static InstanceId nameOf(std::size_t Index) { return InstanceId("i" + std::to_string(Index)); }
  static std::size_t indexOf(const InstanceId &Id) { return std::stoul(Id.value().substr(1)); }
  CopyHolder processOf(std::size_t Index) const { return CopyHolder{nameOf(Index), m_Sim.generation(Index)}; }

  void start(std::size_t Index) {
    DaemonState &Daemon = m_Daemons[Index];
    Daemon = DaemonState();
    Daemon.m_Ledger = std::make_unique<ChargeLedger>(
        processOf(Index),
        [this, Index](const std::vector<InstanceId> &Excluded) { return chooseBackup(Index, Excluded); });
    for (std::size_t Other = 0; Other < m_Daemons.size(); ++Other)
      Daemon.m_KnownIncarnations[Other] = m_Sim.generation(Other);
    m_Sim.runPeriodically(Index, ms(10), [this, Index] {
      execute(Index, m_Daemons[Index].m_Ledger->tick(m_Sim.now(), m_Daemons.size()));
    });
    m_Sim.runPeriodically(Index, ms(1'000), [this, Index] { detect(Index); });
  }

  /// Kills a process; the copies that it held are lost.
  void kill(std::size_t Index) {
    for (std::pair<const std::string, std::set<CopyHolder>> &Entry : m_LiveCopies)
      Entry.second.erase(processOf(Index));
    m_Sim.restart(Index);
    m_Daemons[Index] = DaemonState();
  }

  std::optional<CopyHolder> chooseBackup(std::size_t Index, const std::vector<InstanceId> &Excluded) {
    const DaemonState &Daemon = m_Daemons[Index];
    std::vector<std::size_t> Candidates[2];
    for (std::size_t Other = 0; Other < m_Daemons.size(); ++Other)
      if (Other != Index && Daemon.m_Suspected.count(Other) == 0 &&
          std::find(Excluded.begin(), Excluded.end(), nameOf(Other)) == Excluded.end())
        Candidates[Simulation::domainOf(Other) == Simulation::domainOf(Index) ? 1 : 0].push_back(Other);
    const std::vector<std::size_t> &Preferred = Candidates[0].empty() ? Candidates[1] : Candidates[0];
    if (Preferred.empty())
      return std::nullopt;
    const std::size_t Chosen = Preferred[m_Sim.randomBelow(Preferred.size())];
    return CopyHolder{nameOf(Chosen), Daemon.m_KnownIncarnations.at(Chosen)};
  }

  /// Simplified membership: restarts and failures are detected after 1 s or more, and sometimes a live daemon
  /// is suspected.
  void detect(std::size_t Index) {
    DaemonState &Daemon = m_Daemons[Index];
    for (std::size_t Other = 0; Other < m_Daemons.size(); ++Other) {
      if (Other == Index || m_Sim.randomChance(0.3))
        continue;
      const bool Responds = m_Sim.alive(Other) && !m_Sim.frozen(Other) && m_Sim.connected(Index, Other);
      const bool Suspected = !Responds || (m_Sim.now() < m_Sim.lastFaultEnd() && m_Sim.randomChance(0.01));
      const std::uint64_t Incarnation =
          Responds ? m_Sim.generation(Other) : Daemon.m_KnownIncarnations[Other];
      const bool IsLost = Incarnation != Daemon.m_KnownIncarnations[Other] ||
                          (Suspected && Daemon.m_Suspected.count(Other) == 0);
      const CopyHolder LostProcess{nameOf(Other), Daemon.m_KnownIncarnations[Other]};
      Daemon.m_KnownIncarnations[Other] = Incarnation;
      if (Suspected)
        Daemon.m_Suspected.insert(Other);
      else
        Daemon.m_Suspected.erase(Other);
      if (IsLost && !mutationEnabled("charge-member-gone"))
        execute(Index, Daemon.m_Ledger->memberLost(m_Sim.now(), LostProcess));
    }
  }

  void request() {
    const std::size_t Index = m_Sim.randomBelow(m_Daemons.size());
    if (!m_Sim.alive(Index) || m_Sim.frozen(Index) || !m_Daemons[Index].m_Ledger)
      return;
    if (m_Daemons[Index].m_Ledger->rejectionReason(m_Sim.now())) {
      ++m_Report.m_Refused;
      return;
    }
    // A request that is repeated at another daemon has the same id and must be billed once.
    const bool IsRepeated = m_RequestCount > 0 && m_Sim.randomChance(0.1);
    const int Number = IsRepeated
                           ? static_cast<int>(m_Sim.randomBelow(static_cast<std::uint64_t>(m_RequestCount)))
                           : m_RequestCount++;
    const AttemptId Attempt("a" + std::to_string(m_UnreleasedAttempts.size()));
    const Charge NewCharge{
        TeamId("t"), RequestId("r" + std::to_string(Number)), Attempt, "v1", MicroCents(Number), Tokens(1),
        Tokens(1)};
    const std::string Key = chargeKey(NewCharge.m_Team, NewCharge.m_Request);
    m_UnreleasedAttempts[Attempt] = {Index, m_Sim.generation(Index)};
    m_LiveCopies[Key].insert(processOf(Index));
    const ChargeActions Actions = m_Daemons[Index].m_Ledger->addCharge(m_Sim.now(), NewCharge);
    if (mutationEnabled("charge-release-early"))
      release(Index, ReleaseResponseEnd{Key, Attempt});
    execute(Index, Actions);
  }

  void release(std::size_t Index, const ReleaseResponseEnd &End) {
    if (!m_Sim.alive(Index) || m_UnreleasedAttempts.erase(End.m_Attempt) == 0)
      return;
    ++m_Report.m_Released;
    m_ReleasedKeys.insert(End.m_Key);
    m_Report.m_EarlyReleases +=
        m_WriteCounts.count(End.m_Key) == 0 && m_CopiedKeys.count(End.m_Key) == 0 ? 1 : 0;
  }

  void execute(std::size_t Index, const ChargeActions &Actions) {
    const std::uint64_t Generation = m_Sim.generation(Index);
    for (const ChargeAction &Action : Actions)
      std::visit(Overloaded{[&](const CommitRows &Commit) {
                              std::vector<TableWrite> Writes = Commit.m_Writes;
                              if (mutationEnabled("charge-overwrite"))
                                for (TableWrite &Write : Writes)
                                  Write.m_Condition = TableCondition::Any;
                              m_Sim.commit(Index, Writes, [this, Index, Commit](const CommitResult &Outcome) {
                                execute(Index, m_Daemons[Index].m_Ledger->committed(m_Sim.now(),
                                                                                    Commit.m_Token, Outcome));
                              });
                            },
                            [&](const HoldCharges &Hold) { hold(Index, Generation, Hold); },
                            [&](const DropCharges &Drop) { drop(Index, Generation, Drop); },
                            [&](const ReleaseResponseEnd &End) { release(Index, End); }},
                 Action);
  }

  /// Sends a call and reports its response to the caller, or a failure after 1 s, exactly once.
  void call(std::size_t Index, std::uint64_t Generation, const CopyHolder &To,
            const std::function<bool()> &Handler, const std::function<void(bool)> &OnResponse) {
    const std::size_t Peer = indexOf(To.m_Instance);
    const std::shared_ptr<bool> Reported = std::make_shared<bool>(false);
    const std::function<void(bool)> ReportOnce = [this, Index, Generation, Reported,
                                                  OnResponse](bool Succeeded) {
      m_Sim.deliver(Index, Generation, [Reported, OnResponse, Succeeded] {
        if (!std::exchange(*Reported, true))
          OnResponse(Succeeded);
      });
    };
    m_Sim.send(Index, Peer, [this, Index, Peer, To, Handler, ReportOnce] {
      // The receiver rejects a call that was addressed to its earlier process.
      const bool Succeeded = processOf(Peer) == To && m_Daemons[Peer].m_Ledger && Handler();
      m_Sim.send(Peer, Index, [ReportOnce, Succeeded] { ReportOnce(Succeeded); });
    });
    m_Sim.scheduleAfter(ms(1'000), [ReportOnce] { ReportOnce(false); });
  }
  void hold(std::size_t Index, std::uint64_t Generation, const HoldCharges &Hold) {
    const CopyHolder Owner = processOf(Index);
    call(
        Index, Generation, Hold.m_Receiver,
        [this, Hold, Owner] {
          for (const Charge &Copy : Hold.m_Charges) {
            m_LiveCopies[chargeKey(Copy.m_Team, Copy.m_Request)].insert(Hold.m_Receiver);
            m_CopiedKeys.insert(chargeKey(Copy.m_Team, Copy.m_Request));
          }
          return m_Daemons[indexOf(Hold.m_Receiver.m_Instance)].m_Ledger->holdCopies(m_Sim.now(), Owner,
                                                                                     Hold.m_Charges);
        },
        [this, Index, Hold](bool Succeeded) {
          execute(Index, m_Daemons[Index].m_Ledger->holdAnswered(m_Sim.now(), Hold.m_Token, Succeeded));
        });
  }
  void drop(std::size_t Index, std::uint64_t Generation, const DropCharges &Drop) {
    call(
        Index, Generation, Drop.m_Receiver,
        [this, Drop] {
          const std::size_t Peer = indexOf(Drop.m_Receiver.m_Instance);
          execute(Peer, m_Daemons[Peer].m_Ledger->dropCopies(m_Sim.now(), Drop.m_Keys));
          return true;
        },
        [this, Index, Drop](bool Succeeded) {
          m_Daemons[Index].m_Ledger->dropAnswered(m_Sim.now(), Drop.m_Token, Succeeded);
        });
  }

  void countViolations() {
    m_Report.m_Steps = m_Sim.steps();
    for (const std::string &Key : m_ReleasedKeys)
      if (m_WriteCounts.count(Key) == 0)
        ++(m_LiveCopies[Key].empty() ? m_Report.m_LostWithBothCopies : m_Report.m_Lost);
    for (const std::pair<const AttemptId, std::pair<std::size_t, std::uint64_t>> &Entry :
         m_UnreleasedAttempts)
      m_Report.m_NeverReleased += m_Sim.generation(Entry.second.first) == Entry.second.second ? 1 : 0;
    for (const DaemonState &Daemon : m_Daemons)
      m_Report.m_LeakedCharges +=
          Daemon.m_Ledger ? Daemon.m_Ledger->unstoredCount() + Daemon.m_Ledger->heldCopyCount() : 0;
  }

  ChargeOptions m_Options;
  Simulation m_Sim;
  std::vector<DaemonState> m_Daemons;
  ChargeReport m_Report;
  int m_RequestCount = 0;                   ///< Number of distinct request ids.
  std::map<std::string, int> m_WriteCounts; ///< By row key.
  /// Processes that had the charge and were not killed since.
  std::map<std::string, std::set<CopyHolder>> m_LiveCopies;
  /// Daemon and its generation.
  std::map<AttemptId, std::pair<std::size_t, std::uint64_t>> m_UnreleasedAttempts;
  std::set<std::string> m_ReleasedKeys;
  std::set<std::string> m_CopiedKeys; ///< Charges that were copied to a second process.
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_CHARGE_SIMULATION_H
