#ifndef BULRUSHPITCH_PROTOCOL_TESTS_CHARGE_WORLD_H
#define BULRUSHPITCH_PROTOCOL_TESTS_CHARGE_WORLD_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

struct ChargeReport {
  std::uint64_t m_Steps = 0;
  int m_Released = 0;   ///< Answers whose end was released to the caller.
  int m_Duplicates = 0; ///< Charges written more than once.
  int m_Lost = 0; ///< Released answers without a charge in the store, and without the loss of both copies.
  int m_LostWithBoth = 0; ///< The same, after the last copy died with its process.
  int m_Early = 0;        ///< Ends released before the charge was stored or copied.
  int m_Withheld = 0;     ///< Answers of live instances whose end was never released.
  int m_Refused = 0;
  std::size_t m_Leaked = 0; ///< Charges still held when all are stored.
};

struct ChargeOptions {
  std::size_t m_Instances = 6;
  Duration m_Length = ms(20'000); ///< While work arrives.
  Duration m_Settle = ms(100'000);
  Duration m_Gap = ms(60); ///< Between requests.
};

/// @brief Daemons that charge requests, copy charges to one another and lose members.
class ChargeWorld {
public:
  explicit ChargeWorld(const Plan &Planned, ChargeOptions Options = {})
      : m_Options(Options), m_Sim(Planned, Options.m_Instances), m_Nodes(Options.m_Instances) {}

  ChargeReport run() {
    m_Sim.m_OnWrite = [this](const TableRow &Row) {
      m_Report.m_Duplicates += ++m_Written[Row.m_Key] > 1 ? 1 : 0;
    };
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      start(Index);
    for (const Fault &One : m_Sim.plan().m_Faults) {
      const std::size_t Target = One.m_Target % m_Nodes.size();
      if (One.m_Kind == FaultKind::Kill) {
        m_Sim.at(TimePoint(ms(One.m_StartMs)), [this, Target] { kill(Target); });
        m_Sim.at(TimePoint(ms(One.m_StartMs + One.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
    }
    for (TimePoint When = TimePoint(ms(100)); When < TimePoint(m_Options.m_Length); When += m_Options.m_Gap)
      m_Sim.at(When, [this] { request(); });
    m_Sim.runUntil(std::max(TimePoint(m_Options.m_Length), m_Sim.quiet()) + m_Options.m_Settle);
    finish();
    return m_Report;
  }

private:
  struct Node {
    std::unique_ptr<ChargeLedger> m_Ledger;
    std::map<std::size_t, std::uint64_t> m_Seen; ///< Incarnation of each peer as this instance believes it.
    std::set<std::size_t> m_Suspected;
  };
  static InstanceId nameOf(std::size_t Index) { return InstanceId("i" + std::to_string(Index)); }
  static std::size_t indexOf(const InstanceId &Id) { return std::stoul(Id.value().substr(1)); }
  CopyHolder self(std::size_t Index) const { return CopyHolder{nameOf(Index), m_Sim.generation(Index)}; }

  void start(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    Of = Node();
    Of.m_Ledger =
        std::make_unique<ChargeLedger>(self(Index), [this, Index](const std::vector<InstanceId> &Excluded) {
          return chooseBackup(Index, Excluded);
        });
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
      Of.m_Seen[Other] = m_Sim.generation(Other);
    m_Sim.every(Index, ms(10), [this, Index] {
      carryOut(Index, m_Nodes[Index].m_Ledger->tick(m_Sim.now(), m_Nodes.size()));
    });
    m_Sim.every(Index, ms(1'000), [this, Index] { detect(Index); });
  }

  /// The copies that a killed process held are gone.
  void kill(std::size_t Index) {
    for (std::pair<const std::string, std::set<CopyHolder>> &Entry : m_Copies)
      Entry.second.erase(self(Index));
    m_Sim.restarted(Index);
    m_Nodes[Index] = Node();
  }

  std::optional<CopyHolder> chooseBackup(std::size_t Index, const std::vector<InstanceId> &Excluded) {
    const Node &Of = m_Nodes[Index];
    std::vector<std::size_t> Choice[2];
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
      if (Other != Index && Of.m_Suspected.count(Other) == 0 &&
          std::find(Excluded.begin(), Excluded.end(), nameOf(Other)) == Excluded.end())
        Choice[Simulation::domainOf(Other) == Simulation::domainOf(Index) ? 1 : 0].push_back(Other);
    const std::vector<std::size_t> &From = Choice[0].empty() ? Choice[1] : Choice[0];
    if (From.empty())
      return std::nullopt;
    const std::size_t Chosen = From[m_Sim.below(From.size())];
    return CopyHolder{nameOf(Chosen), Of.m_Seen.at(Chosen)};
  }

  /// Membership, reduced to what the ledger sees: restarts and suspicions are noticed a second or more later,
  /// and now and then a live daemon is suspected.
  void detect(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other) {
      if (Other == Index || m_Sim.chance(0.3))
        continue;
      const bool Answers = m_Sim.alive(Other) && !m_Sim.frozen(Other) && m_Sim.connected(Index, Other);
      const bool Suspected = !Answers || (m_Sim.now() < m_Sim.quiet() && m_Sim.chance(0.01));
      const std::uint64_t Incarnation = Answers ? m_Sim.generation(Other) : Of.m_Seen[Other];
      const bool Gone = Incarnation != Of.m_Seen[Other] || (Suspected && Of.m_Suspected.count(Other) == 0);
      const CopyHolder Earlier{nameOf(Other), Of.m_Seen[Other]};
      Of.m_Seen[Other] = Incarnation;
      if (Suspected)
        Of.m_Suspected.insert(Other);
      else
        Of.m_Suspected.erase(Other);
      if (Gone && !mutation("charge-member-gone"))
        carryOut(Index, Of.m_Ledger->memberGone(m_Sim.now(), Earlier));
    }
  }

  void request() {
    const std::size_t Index = m_Sim.below(m_Nodes.size());
    if (!m_Sim.alive(Index) || m_Sim.frozen(Index) || !m_Nodes[Index].m_Ledger)
      return;
    if (m_Nodes[Index].m_Ledger->refusal(m_Sim.now())) {
      ++m_Report.m_Refused;
      return;
    }
    // A request that another daemon runs again has the same id, and must be billed once.
    const bool Again = m_Requests > 0 && m_Sim.chance(0.1);
    const int Number =
        Again ? static_cast<int>(m_Sim.below(static_cast<std::uint64_t>(m_Requests))) : m_Requests++;
    const AttemptId Attempt("a" + std::to_string(m_Waiting.size()));
    const Charge Made{
        TeamId("t"), RequestId("r" + std::to_string(Number)), Attempt, "v1", MicroCents(Number), Tokens(1),
        Tokens(1)};
    const std::string Key = chargeKey(Made.m_Team, Made.m_Request);
    m_Waiting[Attempt] = {Index, m_Sim.generation(Index)};
    m_Copies[Key].insert(self(Index));
    const ChargeActions Actions = m_Nodes[Index].m_Ledger->add(m_Sim.now(), Made);
    if (mutation("charge-release-early"))
      release(Index, ReleaseEnd{Key, Attempt});
    carryOut(Index, Actions);
  }

  void release(std::size_t Index, const ReleaseEnd &End) {
    if (!m_Sim.alive(Index) || m_Waiting.erase(End.m_Attempt) == 0)
      return;
    ++m_Report.m_Released;
    m_ReleasedKeys.insert(End.m_Key);
    m_Report.m_Early += m_Written.count(End.m_Key) == 0 && m_Copied.count(End.m_Key) == 0 ? 1 : 0;
  }

  void carryOut(std::size_t Index, const ChargeActions &Actions) {
    const std::uint64_t Generation = m_Sim.generation(Index);
    for (const ChargeAction &Action : Actions)
      std::visit(Overloaded{[&](const CommitRows &Commit) {
                              std::vector<TableWrite> Writes = Commit.m_Writes;
                              if (mutation("charge-overwrite"))
                                for (TableWrite &Write : Writes)
                                  Write.m_Condition = TableCondition::Any;
                              m_Sim.commit(Index, Writes, [this, Index, Commit](const CommitResult &Outcome) {
                                carryOut(Index, m_Nodes[Index].m_Ledger->committed(m_Sim.now(),
                                                                                   Commit.m_Token, Outcome));
                              });
                            },
                            [&](const HoldCharges &Hold) { hold(Index, Generation, Hold); },
                            [&](const DropCharges &Drop) { drop(Index, Generation, Drop); },
                            [&](const ReleaseEnd &End) { release(Index, End); }},
                 Action);
  }

  /// Sends a call and tells the caller its answer, or after 1 s its absence, once.
  void call(std::size_t Index, std::uint64_t Generation, const CopyHolder &To,
            const std::function<bool()> &Run, const std::function<void(bool)> &Answer) {
    const std::size_t Peer = indexOf(To.m_Instance);
    const std::shared_ptr<bool> Told = std::make_shared<bool>(false);
    const std::function<void(bool)> Once = [this, Index, Generation, Told, Answer](bool Good) {
      m_Sim.deliver(Index, Generation, [Told, Answer, Good] {
        if (!std::exchange(*Told, true))
          Answer(Good);
      });
    };
    m_Sim.send(Index, Peer, [this, Index, Peer, To, Run, Once] {
      // The receiver refuses a call that was meant for its earlier process.
      const bool Good = self(Peer) == To && m_Nodes[Peer].m_Ledger && Run();
      m_Sim.send(Peer, Index, [Once, Good] { Once(Good); });
    });
    m_Sim.after(ms(1'000), [Once] { Once(false); });
  }
  void hold(std::size_t Index, std::uint64_t Generation, const HoldCharges &Hold) {
    const CopyHolder Owner = self(Index);
    call(
        Index, Generation, Hold.m_To,
        [this, Hold, Owner] {
          for (const Charge &One : Hold.m_Charges) {
            m_Copies[chargeKey(One.m_Team, One.m_Request)].insert(Hold.m_To);
            m_Copied.insert(chargeKey(One.m_Team, One.m_Request));
          }
          return m_Nodes[indexOf(Hold.m_To.m_Instance)].m_Ledger->hold(m_Sim.now(), Owner, Hold.m_Charges);
        },
        [this, Index, Hold](bool Good) {
          carryOut(Index, m_Nodes[Index].m_Ledger->heldBy(m_Sim.now(), Hold.m_Token, Good));
        });
  }
  void drop(std::size_t Index, std::uint64_t Generation, const DropCharges &Drop) {
    call(
        Index, Generation, Drop.m_To,
        [this, Drop] {
          const std::size_t Peer = indexOf(Drop.m_To.m_Instance);
          carryOut(Peer, m_Nodes[Peer].m_Ledger->drop(m_Sim.now(), Drop.m_Keys));
          return true;
        },
        [this, Index, Drop](bool Good) {
          m_Nodes[Index].m_Ledger->dropAnswered(m_Sim.now(), Drop.m_Token, Good);
        });
  }

  void finish() {
    m_Report.m_Steps = m_Sim.steps();
    for (const std::string &Key : m_ReleasedKeys)
      if (m_Written.count(Key) == 0)
        ++(m_Copies[Key].empty() ? m_Report.m_LostWithBoth : m_Report.m_Lost);
    for (const std::pair<const AttemptId, std::pair<std::size_t, std::uint64_t>> &Entry : m_Waiting)
      m_Report.m_Withheld += m_Sim.generation(Entry.second.first) == Entry.second.second ? 1 : 0;
    for (const Node &Of : m_Nodes)
      m_Report.m_Leaked += Of.m_Ledger ? Of.m_Ledger->waiting() + Of.m_Ledger->held() : 0;
  }

  ChargeOptions m_Options;
  Simulation m_Sim;
  std::vector<Node> m_Nodes;
  ChargeReport m_Report;
  int m_Requests = 0;
  std::map<std::string, int> m_Written;
  std::map<std::string, std::set<CopyHolder>> m_Copies; ///< Processes that held the charge and live.
  std::map<AttemptId, std::pair<std::size_t, std::uint64_t>> m_Waiting;
  std::set<std::string> m_ReleasedKeys;
  std::set<std::string> m_Copied; ///< Charges of which a second process had a copy.
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_CHARGE_WORLD_H
