#ifndef BULRUSHPITCH_PROTOCOL_TESTS_CONFIG_SIMULATION_H
#define BULRUSHPITCH_PROTOCOL_TESTS_CONFIG_SIMULATION_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

/// @brief The results of a run of ConfigSimulation.
struct ConfigReport {
  std::vector<std::string> m_Violations; ///< One line per violation of the guarantee.
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
  int m_Published = 0;
  int m_Conflicts = 0;
  std::vector<double>
      m_InForceSeconds; ///< From the write of the head row until the last live instance holds the revision.
  double m_RestrictionSeconds =
      0; ///< From the operator's request until the last live instance knows the restriction.
};

struct ConfigOptions {
  std::size_t m_Instances = 6;
  Duration m_MinDuration =
      ms(35'000); ///< 10 s after the last publication; extended to 10 s after the last fault.
  int m_Publications = 8;
  Duration m_PublishGap = ms(2'500);
  Duration m_FirstPublication = ms(3'000);
  Duration m_RestrictAt = ms(5'000);
  bool m_OutageAfterHead = false; ///< The store becomes unavailable when the first head row is written.
  Duration m_CountFrom = ms(0);   ///< Messages before this time are not counted.
};

/// @brief Daemons that publish, distribute and install configurations and restrictions.
class ConfigSimulation {
public:
  ConfigSimulation(const Plan &Planned, ConfigOptions Options = {})
      : m_Options(Options), m_Sim(Planned, Options.m_Instances), m_Nodes(Options.m_Instances) {}

  ConfigReport run() {
    m_Sim.m_OnWrite = [this](const TableRow &Row) { checkHead(Row); };
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      start(Index);
    for (const Fault &Injected : m_Sim.plan().m_Faults)
      if (Injected.m_Kind == FaultKind::Kill) {
        const std::size_t Target = Injected.m_Target % m_Nodes.size();
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs)), [this, Target] { m_Sim.restart(Target); });
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs + Injected.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
    for (int Number = 0; Number < m_Options.m_Publications; ++Number)
      m_Sim.scheduleAt(TimePoint(m_Options.m_FirstPublication + m_Options.m_PublishGap * Number +
                                 m_Sim.randomDuration(0, 600)),
                       [this, Number] { publishAsOperator(Number); });
    m_Sim.scheduleAt(TimePoint(m_Options.m_RestrictAt), [this] { addRestriction(); });
    m_Sim.runUntil(std::max(TimePoint(m_Options.m_MinDuration), m_Sim.lastFaultEnd() + ms(10'000)));
    checkFinalState();
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
    ConfigRevision m_MinRevision; ///< Highest revision published before the process started.
    ConfigRevision m_HighestHeld;
    bool m_WasReady = false;
    TimePoint m_NextPollAt;
    std::map<ConfigRevision, InstanceId> m_Publishers;
  };

  static InstanceId instanceId(std::size_t Index) { return InstanceId("i" + std::to_string(Index)); }
  static std::size_t indexOf(const InstanceId &Id) { return std::stoul(Id.value().substr(1)); }
  static DomainId domainOf(std::size_t Index) {
    return DomainId("d" + std::to_string(Simulation::domainOf(Index)));
  }
  void reportViolation(const std::string &Text) {
    m_Report.m_Violations.push_back(std::to_string(m_Sim.now().time_since_epoch() / ms(1)) + " ms: " + Text);
  }

  void start(std::size_t Index) {
    Node &Local = m_Nodes[Index];
    Local = Node();
    Local.m_Store = std::make_unique<ConfigStore>();
    const std::uint64_t Seed = m_Sim.randomBelow(1U << 30U);
    Local.m_Membership = std::make_unique<Membership>(instanceId(Index), domainOf(Index),
                                                      m_Sim.generation(Index), seededRandom(Seed));
    Local.m_Gate = std::make_unique<StartupGate>(instanceId(Index), domainOf(Index), m_Sim.now());
    Local.m_MinRevision = m_HighestPublished;
    Local.m_NextPollAt = m_Sim.now();
    m_Sim.runPeriodically(Index, ms(100), [this, Index] { tick(Index); });
    m_Sim.runPeriodically(Index, ms(1'000), [this, Index] { applyInstanceList(Index); });
    m_Sim.scheduleAfter(ms(1), [this, Index] { applyInstanceList(Index); });
    checkGate(Index);
  }

  void applyInstanceList(std::size_t Index) {
    std::vector<ListedMember> List;
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
      List.push_back({instanceId(Other), domainOf(Other), false});
    Node &Local = m_Nodes[Index];
    execute(Index, Local.m_Membership->applyInstanceList(m_Sim.now(), List));
    Local.m_Gate->applyInstanceList(m_Sim.now(), List);
    if (!Local.m_Gate->ready())
      execute(Index, Local.m_Membership->exchangeWithUnready(m_Sim.now()));
  }

  void tick(std::size_t Index) {
    Node &Local = m_Nodes[Index];
    if (Local.m_Pause.tick(m_Sim.now())) {
      Local.m_Gate->paused(m_Sim.now());
      Local.m_WasReady = false;
      Local.m_NextPollAt = m_Sim.now();
    }
    Local.m_Gate->tick(m_Sim.now());
    execute(Index, Local.m_Membership->tick(m_Sim.now()));
    if (m_Sim.now() >= Local.m_NextPollAt) {
      Local.m_NextPollAt = m_Sim.now() + Local.m_Membership->headPollInterval();
      pollHead(Index);
    }
    for (std::pair<const std::string, std::unique_ptr<Publication>> &Entry : Local.m_Publications) {
      execute(Index, Entry.first, Entry.second->tick(m_Sim.now()));
      checkStatus(Index, Entry.first, *Entry.second);
    }
    checkGate(Index);
  }

  void pollHead(std::size_t Index) {
    m_Sim.read(Index, HeadKey, [this, Index](const ReadResult &Outcome) {
      Node &Local = m_Nodes[Index];
      if (!Outcome) {
        Local.m_Gate->headReadFailed(m_Sim.now());
        return;
      }
      HeadRow Head;
      if (*Outcome)
        Head = *decodeHead((*Outcome)->m_Value);
      Local.m_Membership->headRead(m_Sim.now());
      Local.m_Gate->headRead(m_Sim.now(), Head.m_Revision);
      if (Head.m_Revision > Local.m_Store->revision())
        m_Sim.scheduleAfter(m_Sim.storeDelay(), [this, Index, Head, Generation = m_Sim.generation(Index)] {
          m_Sim.deliver(Index, Generation, [this, Index, Head] {
            if (m_Sim.canReachStore(Index))
              install(Index, m_Objects.at(Head.m_Snapshot), {}, Head.m_Publisher);
          });
        });
    });
  }

  /// Installs a configuration and restrictions from the store or from a peer.
  void install(std::size_t Index, const Configuration &Offered, const std::vector<Restriction> &Restrictions,
               const InstanceId &Publisher) {
    Node &Local = m_Nodes[Index];
    if (mutationEnabled("revision-gate") && Offered.m_Revision != Local.m_Store->revision()) {
      const std::vector<Restriction> KeptRestrictions = Local.m_Store->restrictions().active();
      Local.m_Store = std::make_unique<ConfigStore>();
      Local.m_Store->mergeRestrictions(KeptRestrictions);
    }
    Local.m_Store->tryInstall(Offered);
    Local.m_Store->mergeRestrictions(Restrictions);
    const ConfigRevision Revision = Local.m_Store->revision();
    if (Revision == Offered.m_Revision)
      Local.m_Publishers[Revision] = Publisher;
    if (Revision < Local.m_HighestHeld)
      reportViolation(instanceId(Index).value() + " went back from revision " +
                      std::to_string(Local.m_HighestHeld.value()) + " to " +
                      std::to_string(Revision.value()));
    Local.m_HighestHeld = std::max(Local.m_HighestHeld, Revision);
    checkContent(Index);
    Local.m_Gate->setHeldRevision(m_Sim.now(), Revision);
    execute(Index, Local.m_Membership->setHeldRevision(m_Sim.now(), Revision, Local.m_Publishers[Revision],
                                                       Local.m_Store->restrictions().ids()));
    if (m_PendingRevisions.count(Revision) != 0 && isHeldEverywhere(Revision)) {
      const Duration Elapsed = m_Sim.now() - m_PendingRevisions.at(Revision);
      m_Report.m_InForceSeconds.push_back(std::chrono::duration<double>(Elapsed).count());
      m_PendingRevisions.erase(Revision);
    }
    if (m_RestrictedAt && m_Report.m_RestrictionSeconds == 0 && isRestrictedEverywhere())
      m_Report.m_RestrictionSeconds = std::chrono::duration<double>(m_Sim.now() - *m_RestrictedAt).count();
  }

  /// Checks that the held content is that of the held revision; each publication names its team after its
  /// publish id.
  void checkContent(std::size_t Index) {
    const std::shared_ptr<const Configuration> Held = m_Nodes[Index].m_Store->current();
    if (Held->m_Teams.empty())
      return;
    const std::string Marker = Held->m_Teams.begin()->first.value();
    if (m_History.count(Held->m_Revision) == 0 || m_History.at(Held->m_Revision) != Marker)
      reportViolation(instanceId(Index).value() + " holds the content of publication " + Marker +
                      " as revision " + std::to_string(Held->m_Revision.value()) +
                      ", which was never the head");
  }

  bool isHeldEverywhere(ConfigRevision Revision) const {
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      if (m_Sim.alive(Index) && m_Nodes[Index].m_Store->revision() < Revision)
        return false;
    return true;
  }
  bool isRestrictedEverywhere() const {
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      if (m_Sim.alive(Index) && !m_Nodes[Index].m_Store->restrictions().contains(RestrictionId("r1")))
        return false;
    return true;
  }

  /// Checks, when the gate opens, that the instance holds the revision published before its start, provided
  /// that a reachable instance holds it.
  void checkGate(std::size_t Index) {
    Node &Local = m_Nodes[Index];
    const bool Ready = Local.m_Gate->ready() || mutationEnabled("startup-gate");
    Local.m_Membership->setReady(Local.m_Gate->ready());
    if (!Ready || Local.m_WasReady) {
      Local.m_WasReady = Ready;
      return;
    }
    Local.m_WasReady = true;
    for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
      if (Other != Index && m_Nodes[Other].m_Store && m_Sim.alive(Other) && !m_Sim.frozen(Other) &&
          m_Sim.connected(Index, Other) && m_Nodes[Other].m_Store->revision() >= Local.m_MinRevision &&
          Local.m_Store->revision() < Local.m_MinRevision)
        reportViolation(instanceId(Index).value() + " serves revision " +
                        std::to_string(Local.m_Store->revision().value()) + ", but " +
                        std::to_string(Local.m_MinRevision.value()) +
                        " was published before it started and is held by " + instanceId(Other).value());
  }

  void publishAsOperator(int Number) {
    std::vector<std::size_t> ReadyInstances;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      if (m_Sim.alive(Index) && !m_Sim.frozen(Index) && m_Nodes[Index].m_Gate->ready())
        ReadyInstances.push_back(Index);
    const int Operators = m_Sim.randomChance(0.4) ? 2 : 1; // Two operators publish concurrently.
    for (int Operator = 0; Operator < Operators && !ReadyInstances.empty(); ++Operator) {
      const std::string Id = "p" + std::to_string(Number) + (Operator == 0 ? "a" : "b");
      const std::size_t Index = ReadyInstances[m_Sim.randomBelow(ReadyInstances.size())];
      publish(Index, Id, *m_Nodes[Index].m_Store->current());
      // The client retries at another daemon with the same id and base while the first may still be
      // publishing.
      if (m_Sim.randomChance(0.3)) {
        const std::size_t RetryIndex = ReadyInstances[m_Sim.randomBelow(ReadyInstances.size())];
        const Configuration Base = *m_Nodes[Index].m_Store->current();
        m_Sim.scheduleAfter(m_Sim.randomDuration(20, 3'000), [this, RetryIndex, Id, Base] {
          if (m_Sim.alive(RetryIndex) && !m_Sim.frozen(RetryIndex))
            publish(RetryIndex, Id, Base);
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
    std::unique_ptr<Publication> &Created = m_Nodes[Index].m_Publications[Id];
    if (Created)
      return; // A daemon responds to a repeated publish id from the existing publication.
    Created = std::make_unique<Publication>(
        instanceId(Index), domainOf(Index),
        PublicationRequest{PublishId(Id), Base.m_Revision, Id, {"team/" + Id}, {}});
    execute(Index, Id, Created->start(m_Sim.now()));
  }

  /// Checks that the status which the operator reads is correct.
  void checkStatus(std::size_t Index, const std::string &Id, Publication &Publishing) {
    Publishing.applyConfirmedRevisions(m_Nodes[Index].m_Membership->confirmedRevisions());
    const PublishStatus Status = Publishing.status();
    const bool WasWritten = std::any_of(
        m_History.begin(), m_History.end(),
        [&](const std::pair<const ConfigRevision, std::string> &Entry) { return Entry.second == Id; });
    if (Status.m_Stage == PublishStage::Conflict && WasWritten)
      reportViolation("publication " + Id + " was written, but a conflict is reported to its operator");
    if (Status.m_Written == Ran::Yes && !WasWritten)
      reportViolation("publication " + Id + " was not written, but is reported to its operator as written");
    if (Status.m_Stage >= PublishStage::Published && Status.m_Stage <= PublishStage::InForce &&
        Status.m_Revision > m_HighestPublished) {
      m_HighestPublished = Status.m_Revision;
      ++m_Report.m_Published;
    }
    if (Status.m_Stage == PublishStage::Conflict && m_Conflicts.insert(Id).second)
      ++m_Report.m_Conflicts;
  }

  void checkHead(const TableRow &Row) {
    if (Row.m_Key != HeadKey)
      return;
    const HeadRow Head = *decodeHead(Row.m_Value);
    if (!m_History.empty() && Head.m_Revision <= m_History.rbegin()->first)
      reportViolation("the head went back to revision " + std::to_string(Head.m_Revision.value()));
    m_History[Head.m_Revision] = Head.m_Publish.value();
    m_PendingRevisions[Head.m_Revision] = m_Sim.now();
    m_Sim.m_Outage = m_Options.m_OutageAfterHead;
  }

  void addRestriction() {
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      if (!m_Sim.alive(Index) || m_Sim.frozen(Index))
        continue;
      m_RestrictedAt = m_Sim.now();
      Restriction Added{RestrictionId("r1"), RestrictionKind::DrainUpstream, "u1", "operator",
                        m_Nodes[Index].m_Store->revision()};
      install(Index, *m_Nodes[Index].m_Store->current(), {Added},
              m_Nodes[Index].m_Publishers[m_Nodes[Index].m_Store->revision()]);
      return;
    }
  }

  void execute(std::size_t Index, const std::string &Id, const PublicationActions &Actions) {
    const std::uint64_t Generation = m_Sim.generation(Index);
    const std::function<Publication &()> FindPublication = [this, Index, Id]() -> Publication & {
      return *m_Nodes[Index].m_Publications.at(Id);
    };
    for (const PublicationAction &Action : Actions)
      std::visit(
          Overloaded{
              [&](const PutObject &Put) {
                m_Sim.scheduleAfter(m_Sim.storeDelay(), [this, Index, Id, Generation, Put, FindPublication] {
                  m_Sim.deliver(Index, Generation, [this, Index, Id, Put, FindPublication] {
                    const Expected<Done> Outcome =
                        m_Sim.canReachStore(Index)
                            ? Expected<Done>(Done{})
                            : Expected<Done>(Error{ErrorCode::PlatformUnavailable, "put", "", Ran::No, ""});
                    execute(Index, Id, FindPublication().objectPut(m_Sim.now(), Put.m_Token, Outcome));
                  });
                });
              },
              [&](const CommitRows &Commit) {
                std::vector<TableWrite> Writes = Commit.m_Writes;
                if (mutationEnabled("head-compare"))
                  for (TableWrite &Write : Writes)
                    Write.m_Condition = TableCondition::Any;
                m_Sim.commit(
                    Index, Writes, [this, Index, Id, Commit, FindPublication](const CommitResult &Outcome) {
                      execute(Index, Id, FindPublication().committed(m_Sim.now(), Commit.m_Token, Outcome));
                    });
              },
              [&](const ReadRow &Row) {
                m_Sim.read(Index, Row.m_Key,
                           [this, Index, Id, Row, FindPublication](const ReadResult &Outcome) {
                             execute(Index, Id, FindPublication().rowRead(m_Sim.now(), Row.m_Token, Outcome));
                           });
              },
              [&](const InstallRevision &Install) {
                install(Index, m_Objects.at(Install.m_Snapshot), {}, instanceId(Index));
              }},
          Action);
  }

  void execute(std::size_t Index, const MembershipActions &Actions) {
    for (const MembershipAction &Action : Actions)
      std::visit(Overloaded{[&](const ExchangeWith &Exchange) { exchange(Index, Exchange); },
                            [&](const ProbeIndirectly &Probe) { probe(Index, Probe); },
                            [&](const FetchFrom &Fetch) { fetch(Index, Fetch); }, [](const MemberLost &) {}},
                 Action);
  }

  void countMessage(std::size_t Bytes) {
    if (m_Sim.now() < TimePoint(m_Options.m_CountFrom))
      return;
    ++m_Report.m_Messages;
    m_Report.m_Bytes += Bytes;
  }
  void recordExchange(std::size_t Index, const Digest &From) {
    Node &Local = m_Nodes[Index];
    Local.m_Gate->exchangedWith(m_Sim.now(), From.m_From, From.m_Revision, From.m_Ready);
  }
  void exchange(std::size_t Index, const ExchangeWith &Exchange) {
    const std::size_t To = indexOf(Exchange.m_To);
    countMessage(wireSize(Exchange.m_Digest));
    m_Sim.send(Index, To, [this, Index, To, From = Exchange.m_Digest] {
      Node &Local = m_Nodes[To];
      const Digest Reply = Local.m_Membership->digest(m_Sim.now());
      countMessage(wireSize(Reply));
      execute(To, Local.m_Membership->digestReceived(m_Sim.now(), From));
      recordExchange(To, From);
      m_Sim.send(To, Index, [this, Index, Reply] {
        execute(Index, m_Nodes[Index].m_Membership->replyReceived(m_Sim.now(), Reply));
        recordExchange(Index, Reply);
      });
    });
  }
  void probe(std::size_t Index, const ProbeIndirectly &Probe) {
    const std::size_t Via = indexOf(Probe.m_Via);
    const std::size_t Target = indexOf(Probe.m_Target);
    countMessage(64);
    m_Sim.send(Index, Via, [this, Index, Via, Target] {
      m_Sim.send(Via, Target, [this, Index, Via, Target] {
        m_Sim.send(Target, Via, [this, Index, Via, Target] {
          m_Sim.send(Via, Index, [this, Index, Target] {
            m_Nodes[Index].m_Membership->probeSucceeded(m_Sim.now(), instanceId(Target));
          });
        });
      });
    });
  }
  void fetch(std::size_t Index, const FetchFrom &Fetch) {
    const std::size_t From = indexOf(Fetch.m_From);
    countMessage(64);
    m_Sim.send(Index, From, [this, Index, From] {
      const Node &Local = m_Nodes[From];
      // A typical delta: the changed objects of one publication.
      countMessage(600);
      m_Sim.send(From, Index,
                 [this, Index, Held = Local.m_Store->current(),
                  Restrictions = Local.m_Store->restrictions().active(),
                  Publisher = Local.m_Publishers.count(Local.m_Store->revision()) == 0
                                  ? InstanceId()
                                  : Local.m_Publishers.at(Local.m_Store->revision())] {
                   install(Index, *Held, Restrictions, Publisher);
                 });
    });
  }

  void checkFinalState() {
    const ConfigRevision Head = m_History.empty() ? ConfigRevision() : m_History.rbegin()->first;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      if (!m_Sim.alive(Index))
        continue;
      if (m_Nodes[Index].m_Store->revision() != Head)
        reportViolation(instanceId(Index).value() + " holds revision " +
                        std::to_string(m_Nodes[Index].m_Store->revision().value()) +
                        " 10 s after the faults, but the head is " + std::to_string(Head.value()));
      if (!m_Nodes[Index].m_Gate->ready())
        reportViolation(instanceId(Index).value() +
                        " is not ready 10 s after the faults: " + m_Nodes[Index].m_Gate->notReadyReason());
    }
    bool IsKnown = false;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      IsKnown = IsKnown ||
                (m_Sim.alive(Index) && m_Nodes[Index].m_Store->restrictions().contains(RestrictionId("r1")));
    if (IsKnown && !isRestrictedEverywhere())
      reportViolation("a restriction is not in force everywhere 10 s after the faults");
    if (m_HighestPublished > Head)
      reportViolation("a published revision was lost");
  }

  ConfigOptions m_Options;
  Simulation m_Sim;
  std::vector<Node> m_Nodes;
  ConfigReport m_Report;
  std::map<std::string, Configuration> m_Objects;
  std::map<ConfigRevision, std::string> m_History;
  std::map<ConfigRevision, TimePoint> m_PendingRevisions;
  std::set<std::string> m_Conflicts;
  ConfigRevision m_HighestPublished;
  std::optional<TimePoint> m_RestrictedAt;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_CONFIG_SIMULATION_H
