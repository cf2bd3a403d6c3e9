#ifndef BULRUSHPITCH_PROTOCOL_TESTS_CONFIG_WORLD_H
#define BULRUSHPITCH_PROTOCOL_TESTS_CONFIG_WORLD_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

/// @brief What a run of ConfigWorld found.
struct ConfigReport {
  std::vector<std::string> m_Faults; ///< One line for each breach of the guarantee.
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
  int m_Published = 0;
  int m_Conflicts = 0;
  std::vector<double> m_InForceSeconds; ///< From the write of the head row to the last live instance.
  double m_RestrictionSeconds = 0;      ///< From the operator's order to the last live instance.
};

struct ConfigOptions {
  std::size_t m_Instances = 6;
  Duration m_Length = ms(35'000); ///< 10 s after the last publication; also 10 s after the last fault.
  int m_Publications = 8;
  Duration m_PublishGap = ms(2'500);
  Duration m_FirstPublication = ms(3'000);
  Duration m_RestrictAt = ms(5'000);
  bool m_OutageAfterHead = false; ///< The store goes down when the first head row is written.
  Duration m_CountFrom = ms(0);   ///< Messages before this time are not counted.
};

/// @brief Daemons that publish, spread and take up configurations and restrictions.
class ConfigWorld {
public:
  ConfigWorld(const Plan &Planned, ConfigOptions Options = {})
      : m_Options(Options), m_Sim(Planned, Options.m_Instances), m_Nodes(Options.m_Instances) {}

  ConfigReport run() {
    m_Sim.m_OnWrite = [this](const TableRow &Row) { watchHead(Row); };
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      start(Index);
    for (const Fault &One : m_Sim.plan().m_Faults)
      if (One.m_Kind == FaultKind::Kill) {
        const std::size_t Target = One.m_Target % m_Nodes.size();
        m_Sim.at(TimePoint(ms(One.m_StartMs)), [this, Target] { m_Sim.restarted(Target); });
        m_Sim.at(TimePoint(ms(One.m_StartMs + One.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
    for (int Number = 0; Number < m_Options.m_Publications; ++Number)
      m_Sim.at(
          TimePoint(m_Options.m_FirstPublication + m_Options.m_PublishGap * Number + m_Sim.between(0, 600)),
          [this, Number] { operate(Number); });
    m_Sim.at(TimePoint(m_Options.m_RestrictAt), [this] { restrict(); });
    m_Sim.runUntil(std::max(TimePoint(m_Options.m_Length), m_Sim.quiet() + ms(10'000)));
    finish();
    m_Report.m_Steps = m_Sim.steps();
    return m_Report;
  }

private:
  struct Node {
    std::unique_ptr<ConfigStore> m_Store;
    std::unique_ptr<Membership> m_Membership;
    std::unique_ptr<StartupGate> m_Gate;
    std::map<std::string, std::unique_ptr<Publication>> m_Publications;
    PauseDetector m_Pause;
    ConfigRevision m_Floor; ///< Highest revision known as published when the process started.
    ConfigRevision m_Highest;
    bool m_WasReady = false;
    TimePoint m_NextPoll;
    std::map<ConfigRevision, InstanceId> m_Publishers;
  };

  static InstanceId nameOf(std::size_t Index) { return InstanceId("i" + std::to_string(Index)); }
  static std::size_t indexOf(const InstanceId &Id) { return std::stoul(Id.value().substr(1)); }
  static DomainId domainOf(std::size_t Index) {
    return DomainId("d" + std::to_string(Simulation::domainOf(Index)));
  }
  void fault(const std::string &Text) {
    m_Report.m_Faults.push_back(std::to_string(m_Sim.now().time_since_epoch() / ms(1)) + " ms: " + Text);
  }

  void start(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    Of = Node();
    Of.m_Store = std::make_unique<ConfigStore>();
    const std::uint64_t Seed = m_Sim.below(1U << 30U);
    Of.m_Membership = std::make_unique<Membership>(nameOf(Index), domainOf(Index), m_Sim.generation(Index),
                                                   seededRandom(Seed));
    Of.m_Gate = std::make_unique<StartupGate>(nameOf(Index), domainOf(Index), m_Sim.now());
    Of.m_Floor = m_HighestPublished;
    Of.m_NextPoll = m_Sim.now();
    m_Sim.every(Index, ms(100), [this, Index] { tick(Index); });
    m_Sim.every(Index, ms(1'000), [this, Index] { list(Index); });
    m_Sim.after(ms(1), [this, Index] { list(Index); });
    checkGate(Index);
  }

  void list(std::size_t Index) {
    std::vector<ListedMember> List;
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
      List.push_back({nameOf(Other), domainOf(Other), false});
    Node &Of = m_Nodes[Index];
    carryOut(Index, Of.m_Membership->listed(m_Sim.now(), List));
    Of.m_Gate->listed(m_Sim.now(), List);
    if (!Of.m_Gate->ready())
      carryOut(Index, Of.m_Membership->askUnheard(m_Sim.now()));
  }

  void tick(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    if (Of.m_Pause.tick(m_Sim.now())) {
      Of.m_Gate->paused(m_Sim.now());
      Of.m_WasReady = false;
      Of.m_NextPoll = m_Sim.now();
    }
    Of.m_Gate->tick(m_Sim.now());
    carryOut(Index, Of.m_Membership->tick(m_Sim.now()));
    if (m_Sim.now() >= Of.m_NextPoll) {
      Of.m_NextPoll = m_Sim.now() + Of.m_Membership->headPollInterval();
      pollHead(Index);
    }
    for (std::pair<const std::string, std::unique_ptr<Publication>> &Entry : Of.m_Publications) {
      carryOut(Index, Entry.first, Entry.second->tick(m_Sim.now()));
      watch(Index, Entry.first, *Entry.second);
    }
    checkGate(Index);
  }

  void pollHead(std::size_t Index) {
    m_Sim.read(Index, HeadKey, [this, Index](const ReadResult &Outcome) {
      Node &Of = m_Nodes[Index];
      if (!Outcome) {
        Of.m_Gate->headUnreadable(m_Sim.now());
        return;
      }
      HeadRow Head;
      if (*Outcome)
        Head = *decodeHead((*Outcome)->m_Value);
      Of.m_Membership->headRead(m_Sim.now());
      Of.m_Gate->headRead(m_Sim.now(), Head.m_Revision);
      if (Head.m_Revision > Of.m_Store->revision())
        m_Sim.after(m_Sim.storeDelay(), [this, Index, Head, Generation = m_Sim.generation(Index)] {
          m_Sim.deliver(Index, Generation, [this, Index, Head] {
            if (m_Sim.reachesStore(Index))
              take(Index, m_Objects.at(Head.m_Snapshot), {}, Head.m_Publisher);
          });
        });
    });
  }

  /// Takes a configuration and restrictions, from the store or from a peer.
  void take(std::size_t Index, const Configuration &Offered, const std::vector<Restriction> &Restrictions,
            const InstanceId &Publisher) {
    Node &Of = m_Nodes[Index];
    if (mutation("revision-gate") && Offered.m_Revision != Of.m_Store->revision()) {
      const std::vector<Restriction> Kept = Of.m_Store->restrictions().active();
      Of.m_Store = std::make_unique<ConfigStore>();
      Of.m_Store->mergeRestrictions(Kept);
    }
    Of.m_Store->offer(Offered);
    Of.m_Store->mergeRestrictions(Restrictions);
    const ConfigRevision Revision = Of.m_Store->revision();
    if (Revision == Offered.m_Revision)
      Of.m_Publishers[Revision] = Publisher;
    if (Revision < Of.m_Highest)
      fault(nameOf(Index).value() + " fell from revision " + std::to_string(Of.m_Highest.value()) + " to " +
            std::to_string(Revision.value()));
    Of.m_Highest = std::max(Of.m_Highest, Revision);
    checkContent(Index);
    Of.m_Gate->holds(m_Sim.now(), Revision);
    carryOut(Index, Of.m_Membership->holds(m_Sim.now(), Revision, Of.m_Publishers[Revision],
                                           Of.m_Store->restrictions().ids()));
    if (m_Waiting.count(Revision) != 0 && everywhere(Revision)) {
      const Duration Took = m_Sim.now() - m_Waiting.at(Revision);
      m_Report.m_InForceSeconds.push_back(std::chrono::duration<double>(Took).count());
      m_Waiting.erase(Revision);
    }
    if (m_RestrictedAt && m_Report.m_RestrictionSeconds == 0 && restrictedEverywhere())
      m_Report.m_RestrictionSeconds = std::chrono::duration<double>(m_Sim.now() - *m_RestrictedAt).count();
  }

  /// Each publication's content is marked with its publish id.
  void checkContent(std::size_t Index) {
    const std::shared_ptr<const Configuration> Held = m_Nodes[Index].m_Store->current();
    if (Held->m_Teams.empty())
      return;
    const std::string Mark = Held->m_Teams.begin()->first.value();
    if (m_History.count(Held->m_Revision) == 0 || m_History.at(Held->m_Revision) != Mark)
      fault(nameOf(Index).value() + " holds content " + Mark + " as revision " +
            std::to_string(Held->m_Revision.value()) + ", which was never the head");
  }

  bool everywhere(ConfigRevision Revision) const {
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      if (m_Sim.alive(Index) && m_Nodes[Index].m_Store->revision() < Revision)
        return false;
    return true;
  }
  bool restrictedEverywhere() const {
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      if (m_Sim.alive(Index) && !m_Nodes[Index].m_Store->restrictions().knows(RestrictionId("r1")))
        return false;
    return true;
  }

  /// A published revision that a reachable instance holds must be held before the gate opens.
  void checkGate(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    const bool Ready = Of.m_Gate->ready() || mutation("startup-gate");
    Of.m_Membership->setReady(Of.m_Gate->ready());
    if (!Ready || Of.m_WasReady) {
      Of.m_WasReady = Ready;
      return;
    }
    Of.m_WasReady = true;
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
      if (Other != Index && m_Nodes[Other].m_Store && m_Sim.alive(Other) && !m_Sim.frozen(Other) &&
          m_Sim.connected(Index, Other) && m_Nodes[Other].m_Store->revision() >= Of.m_Floor &&
          Of.m_Store->revision() < Of.m_Floor)
        fault(nameOf(Index).value() + " serves revision " + std::to_string(Of.m_Store->revision().value()) +
              ", but " + std::to_string(Of.m_Floor.value()) +
              " was published before it started and is held by " + nameOf(Other).value());
  }

  void operate(int Number) {
    std::vector<std::size_t> Usable;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      if (m_Sim.alive(Index) && !m_Sim.frozen(Index) && m_Nodes[Index].m_Gate->ready())
        Usable.push_back(Index);
    const int Operators = m_Sim.chance(0.4) ? 2 : 1; // Two operators race.
    for (int Operator = 0; Operator < Operators && !Usable.empty(); ++Operator) {
      const std::string Id = "p" + std::to_string(Number) + (Operator == 0 ? "a" : "b");
      const std::size_t Index = Usable[m_Sim.below(Usable.size())];
      publish(Index, Id, *m_Nodes[Index].m_Store->current());
      // The client retries at another daemon with the same id and base, while the first may still be at work.
      if (m_Sim.chance(0.3)) {
        const std::size_t Again = Usable[m_Sim.below(Usable.size())];
        const Configuration Base = *m_Nodes[Index].m_Store->current();
        m_Sim.after(m_Sim.between(20, 3'000), [this, Again, Id, Base] {
          if (m_Sim.alive(Again) && !m_Sim.frozen(Again))
            publish(Again, Id, Base);
        });
      }
    }
  }

  void publish(std::size_t Index, const std::string &Id, const Configuration &Base) {
    Configuration Next = Base;
    Next.m_Teams.clear();
    Next.m_Teams[TeamId(Id)] = Team{};
    Next = prepareForPublication(Next, Base, m_Nodes[Index].m_Store->restrictions().active());
    m_Objects.emplace(snapshotName(Next.m_Revision, PublishId(Id)), Next);
    std::unique_ptr<Publication> &Made = m_Nodes[Index].m_Publications[Id];
    if (Made)
      return; // A daemon answers a repeated publish id from the publication that it already has.
    Made = std::make_unique<Publication>(
        nameOf(Index), domainOf(Index),
        PublicationRequest{PublishId(Id), Base.m_Revision, Id, {"team/" + Id}, {}});
    carryOut(Index, Id, Made->start(m_Sim.now()));
  }

  /// The operator reads the status; what it says must be true.
  void watch(std::size_t Index, const std::string &Id, Publication &Of) {
    Of.confirmed(m_Nodes[Index].m_Membership->confirmedRevisions());
    const PublishStatus Status = Of.status();
    const bool InHistory = std::any_of(
        m_History.begin(), m_History.end(),
        [&](const std::pair<const ConfigRevision, std::string> &Entry) { return Entry.second == Id; });
    if (Status.m_Stage == PublishStage::Conflict && InHistory)
      fault("publication " + Id + " was written, but its operator is told of a conflict");
    if (Status.m_Written == Ran::Yes && !InHistory)
      fault("publication " + Id + " was not written, but its operator is told that it was");
    if (Status.m_Stage >= PublishStage::Published && Status.m_Stage <= PublishStage::InForce &&
        Status.m_Revision > m_HighestPublished) {
      m_HighestPublished = Status.m_Revision;
      ++m_Report.m_Published;
    }
    if (Status.m_Stage == PublishStage::Conflict && m_Conflicts.insert(Id).second)
      ++m_Report.m_Conflicts;
  }

  void watchHead(const TableRow &Row) {
    if (Row.m_Key != HeadKey)
      return;
    const HeadRow Head = *decodeHead(Row.m_Value);
    if (!m_History.empty() && Head.m_Revision <= m_History.rbegin()->first)
      fault("the head fell to revision " + std::to_string(Head.m_Revision.value()));
    m_History[Head.m_Revision] = Head.m_Publish.value();
    m_Waiting[Head.m_Revision] = m_Sim.now();
    m_Sim.m_Outage = m_Options.m_OutageAfterHead;
  }

  void restrict() {
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      if (!m_Sim.alive(Index) || m_Sim.frozen(Index))
        continue;
      m_RestrictedAt = m_Sim.now();
      Restriction Made{RestrictionId("r1"), RestrictionKind::DrainUpstream, "u1", "operator",
                       m_Nodes[Index].m_Store->revision()};
      take(Index, *m_Nodes[Index].m_Store->current(), {Made},
           m_Nodes[Index].m_Publishers[m_Nodes[Index].m_Store->revision()]);
      return;
    }
  }

  void carryOut(std::size_t Index, const std::string &Id, const PublicationActions &Actions) {
    const std::uint64_t Generation = m_Sim.generation(Index);
    const std::function<Publication &()> Own = [this, Index, Id]() -> Publication & {
      return *m_Nodes[Index].m_Publications.at(Id);
    };
    for (const PublicationAction &Action : Actions)
      std::visit(
          Overloaded{
              [&](const PutObject &Put) {
                m_Sim.after(m_Sim.storeDelay(), [this, Index, Id, Generation, Put, Own] {
                  m_Sim.deliver(Index, Generation, [this, Index, Id, Put, Own] {
                    const Expected<Done> Outcome =
                        m_Sim.reachesStore(Index)
                            ? Expected<Done>(Done{})
                            : Expected<Done>(Error{ErrorCode::PlatformUnavailable, "put", "", Ran::No, ""});
                    carryOut(Index, Id, Own().objectPut(m_Sim.now(), Put.m_Token, Outcome));
                  });
                });
              },
              [&](const CommitRows &Commit) {
                std::vector<TableWrite> Writes = Commit.m_Writes;
                if (mutation("head-compare"))
                  for (TableWrite &Write : Writes)
                    Write.m_Condition = TableCondition::Any;
                m_Sim.commit(Index, Writes, [this, Index, Id, Commit, Own](const CommitResult &Outcome) {
                  carryOut(Index, Id, Own().committed(m_Sim.now(), Commit.m_Token, Outcome));
                });
              },
              [&](const ReadRow &Row) {
                m_Sim.read(Index, Row.m_Key, [this, Index, Id, Row, Own](const ReadResult &Outcome) {
                  carryOut(Index, Id, Own().rowRead(m_Sim.now(), Row.m_Token, Outcome));
                });
              },
              [&](const InstallRevision &Install) {
                take(Index, m_Objects.at(Install.m_Snapshot), {}, nameOf(Index));
              }},
          Action);
  }

  void carryOut(std::size_t Index, const MembershipActions &Actions) {
    for (const MembershipAction &Action : Actions)
      std::visit(Overloaded{[&](const ExchangeWith &Exchange) { exchange(Index, Exchange); },
                            [&](const ProbeThrough &Probe) { probe(Index, Probe); },
                            [&](const FetchFrom &Fetch) { fetch(Index, Fetch); }, [](const MemberGone &) {}},
                 Action);
  }

  void count(std::size_t Bytes) {
    if (m_Sim.now() < TimePoint(m_Options.m_CountFrom))
      return;
    ++m_Report.m_Messages;
    m_Report.m_Bytes += Bytes;
  }
  void hear(std::size_t Index, const Digest &From) {
    Node &Of = m_Nodes[Index];
    Of.m_Gate->heard(m_Sim.now(), From.m_From, From.m_Revision, From.m_Ready);
  }
  void exchange(std::size_t Index, const ExchangeWith &Exchange) {
    const std::size_t To = indexOf(Exchange.m_To);
    count(wireSize(Exchange.m_Digest));
    m_Sim.send(Index, To, [this, Index, To, From = Exchange.m_Digest] {
      Node &Of = m_Nodes[To];
      const Digest Reply = Of.m_Membership->digest(m_Sim.now());
      count(wireSize(Reply));
      carryOut(To, Of.m_Membership->received(m_Sim.now(), From));
      hear(To, From);
      m_Sim.send(To, Index, [this, Index, Reply] {
        carryOut(Index, m_Nodes[Index].m_Membership->replied(m_Sim.now(), Reply));
        hear(Index, Reply);
      });
    });
  }
  void probe(std::size_t Index, const ProbeThrough &Probe) {
    const std::size_t Via = indexOf(Probe.m_Via);
    const std::size_t Target = indexOf(Probe.m_Target);
    count(64);
    m_Sim.send(Index, Via, [this, Index, Via, Target] {
      m_Sim.send(Via, Target, [this, Index, Via, Target] {
        m_Sim.send(Target, Via, [this, Index, Via, Target] {
          m_Sim.send(Via, Index, [this, Index, Target] {
            m_Nodes[Index].m_Membership->probed(m_Sim.now(), nameOf(Target));
          });
        });
      });
    });
  }
  void fetch(std::size_t Index, const FetchFrom &Fetch) {
    const std::size_t From = indexOf(Fetch.m_From);
    count(64);
    m_Sim.send(Index, From, [this, Index, From] {
      const Node &Of = m_Nodes[From];
      // A typical delta: the changed objects of one publication.
      count(600);
      m_Sim.send(From, Index,
                 [this, Index, Held = Of.m_Store->current(),
                  Restrictions = Of.m_Store->restrictions().active(),
                  Publisher = Of.m_Publishers.count(Of.m_Store->revision()) == 0
                                  ? InstanceId()
                                  : Of.m_Publishers.at(Of.m_Store->revision())] {
                   take(Index, *Held, Restrictions, Publisher);
                 });
    });
  }

  void finish() {
    const ConfigRevision Head = m_History.empty() ? ConfigRevision() : m_History.rbegin()->first;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      if (!m_Sim.alive(Index))
        continue;
      if (m_Nodes[Index].m_Store->revision() != Head)
        fault(nameOf(Index).value() + " holds revision " +
              std::to_string(m_Nodes[Index].m_Store->revision().value()) +
              " 10 s after the faults, the head is " + std::to_string(Head.value()));
      if (!m_Nodes[Index].m_Gate->ready())
        fault(nameOf(Index).value() +
              " is not ready 10 s after the faults: " + m_Nodes[Index].m_Gate->missing());
    }
    bool Known = false;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      Known =
          Known || (m_Sim.alive(Index) && m_Nodes[Index].m_Store->restrictions().knows(RestrictionId("r1")));
    if (Known && !restrictedEverywhere())
      fault("a restriction is not in force everywhere 10 s after the faults");
    if (m_HighestPublished > Head)
      fault("an accepted revision was lost");
  }

  ConfigOptions m_Options;
  Simulation m_Sim;
  std::vector<Node> m_Nodes;
  ConfigReport m_Report;
  std::map<std::string, Configuration> m_Objects;
  std::map<ConfigRevision, std::string> m_History;
  std::map<ConfigRevision, TimePoint> m_Waiting;
  std::set<std::string> m_Conflicts;
  ConfigRevision m_HighestPublished;
  std::optional<TimePoint> m_RestrictedAt;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_CONFIG_WORLD_H
