#ifndef BULRUSHPITCH_PROTOCOL_TESTS_PERMIT_SIMULATION_H
#define BULRUSHPITCH_PROTOCOL_TESTS_PERMIT_SIMULATION_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

struct PermitReport {
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Started = 0;
  int m_Overshoot = 0; ///< Maximum number of streams above the limit, outside the window below.
  /// The same within 4 s after a restart, when load reports may not show it yet.
  int m_OvershootUnreported = 0;
  /// Ticks at which several live instances held the lease according to their own view.
  int m_DoubleOwners = 0;
  /// Pairs of instances that could send orders at the same time, summed over all ticks.
  std::uint64_t m_EarlyOrders = 0;
};

/// @brief Simulates instances that share one upstream, which starts cold, by a lease, permits and load
/// reports.
class PermitSimulation {
public:
  explicit PermitSimulation(const Plan &Planned, Duration SimulatedTime = ms(40'000))
      : m_Duration(SimulatedTime), m_Sim(Planned, Instances), m_Instances(Instances) {}

  PermitReport run() {
    for (std::size_t Index = 0; Index < Instances; ++Index)
      start(Index);
    for (const Fault &Injected : m_Sim.plan().m_Faults) {
      const std::size_t Target = Injected.m_Target % Instances;
      if (Injected.m_Kind == FaultKind::Kill) {
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs)), [this, Target] { kill(Target); });
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs + Injected.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
      if (Injected.m_Kind == FaultKind::ColdRestart)
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs)), [this] { restartUpstream(); });
    }
    m_Sim.runUntil(TimePoint(m_Duration));
    m_Report.m_Steps = m_Sim.steps();
    return m_Report;
  }

private:
  static constexpr std::size_t Instances = 6;
  static inline const RampLimits Limits{1, 6, ms(12'000)};
  static inline const UpstreamId TestUpstream{"u0"};
  static inline const ShardId Shard{DomainId("d0"), 0};

  struct InstanceState {
    std::unique_ptr<LeaseManager> m_Leases;
    std::unique_ptr<PermitOwner> m_Owner;
    std::unique_ptr<PermitHolder> m_Holder;
    PauseDetector m_PauseDetector;
    std::set<AttemptId> m_Requested; ///< Attempts that wait for a permit.
    std::set<AttemptId> m_Running;   ///< Streams that this instance started.
  };
  static InstanceId nameOf(std::size_t Index) { return InstanceId("i" + std::to_string(Index)); }
  static std::size_t indexOf(const InstanceId &Id) { return std::stoul(Id.value().substr(1)); }

  void start(std::size_t Index) {
    InstanceState &Instance = m_Instances[Index];
    Instance = InstanceState();
    Instance.m_Leases = std::make_unique<LeaseManager>(nameOf(Index), m_Sim.generation(Index));
    LeaseManager *Leases = Instance.m_Leases.get();
    Instance.m_Owner = std::make_unique<PermitOwner>(
        [Leases](const UpstreamId &, TimePoint Now) -> std::optional<FencingNumber> {
          if (mutationEnabled("lease-check"))
            return FencingNumber(1);
          return Leases->mayGrant(Shard, Now) ? Leases->heldFencing(Shard, Now) : std::nullopt;
        });
    Instance.m_Holder = std::make_unique<PermitHolder>(nameOf(Index));
    execute(Index, Leases->setCandidates(m_Sim.now(), Shard, {nameOf(0), nameOf(1), nameOf(3), nameOf(4)}));
    m_Sim.runPeriodically(Index, ms(100), [this, Index] { tick(Index); });
    m_Sim.runPeriodically(Index, ms(1'000), [this, Index] { sendLoadReport(Index); });
  }

  /// Kills a process. Its streams end when the upstream sees the connections close.
  void kill(std::size_t Index) {
    m_Sim.restart(Index);
    for (const AttemptId &Attempt : m_Instances[Index].m_Running)
      m_Sim.scheduleAfter(m_Sim.randomDuration(10, 500),
                          [this, Attempt] { m_UpstreamStreams.erase(Attempt); });
    m_Instances[Index] = InstanceState();
  }

  void tick(std::size_t Index) {
    InstanceState &Instance = m_Instances[Index];
    const TimePoint Now = m_Sim.now();
    if (Instance.m_PauseDetector.tick(Now) && !mutationEnabled("lease-check"))
      execute(Index, Instance.m_Leases->dropAll(Now));
    execute(Index, Instance.m_Leases->tick(Now));
    for (const CancelStream &Cancel : Instance.m_Owner->tick(Now))
      cancel(Index, Cancel, true);
    execute(Index, Instance.m_Holder->tick(Now));
    std::size_t Holders = 0;
    for (std::size_t Other = 0; Other < Instances; ++Other)
      Holders += m_Sim.alive(Other) && m_Instances[Other].m_Leases &&
                         m_Instances[Other].m_Leases->heldFencing(Shard, Now)
                     ? 1
                     : 0;
    m_Report.m_DoubleOwners += Holders > 1 ? 1 : 0;
    countEarlyOrders(Index);
    if (Instance.m_Requested.size() + Instance.m_Running.size() < 4 && m_Sim.randomChance(0.3)) {
      const AttemptId Attempt("a" + std::to_string(m_NextAttempt++));
      Instance.m_Requested.insert(Attempt);
      execute(Index, Instance.m_Holder->acquire(Now, TestUpstream, Attempt));
    }
  }

  /// Counts other instances that may send orders at the same time: their orders could arrive with fencing
  /// numbers out of sequence.
  void countEarlyOrders(std::size_t Index) {
    for (std::size_t Other = 0; Other < Instances; ++Other)
      if (Other != Index && m_Instances[Other].m_Leases &&
          m_Instances[Index].m_Leases->maySendOrders(Shard, m_Sim.now()) &&
          m_Instances[Other].m_Leases->maySendOrders(Shard, m_Sim.now()))
        ++m_Report.m_EarlyOrders;
  }

  std::uint32_t actualLimit() const {
    const Duration RampTime = m_Sim.now() - m_UpstreamStart;
    if (RampTime >= Limits.m_WarmUp)
      return Limits.m_Capacity;
    return Limits.m_ColdLimit +
           static_cast<std::uint32_t>((Limits.m_Capacity - Limits.m_ColdLimit) * RampTime / Limits.m_WarmUp);
  }

  void restartUpstream() {
    const std::set<AttemptId> Broken = std::move(m_UpstreamStreams);
    m_UpstreamStreams.clear();
    m_UpstreamStart = m_Sim.now();
    ++m_StartId;
    for (std::size_t Index = 0; Index < Instances; ++Index)
      for (const AttemptId &Attempt : m_Instances[Index].m_Running)
        if (Broken.count(Attempt) != 0)
          m_Sim.send(Index, Index, [this, Index, Attempt] { ended(Index, Attempt, true); });
  }

  void sendLoadReport(std::size_t Index) {
    // A report is up to 500 ms old when it is sent.
    const RampReport Report{TestUpstream, "s" + std::to_string(m_StartId), m_Sim.now(),
                            static_cast<std::uint32_t>(m_UpstreamStreams.size()), false};
    m_Sim.scheduleAfter(m_Sim.randomDuration(1, 500),
                        [this, Index, Report, Generation = m_Sim.generation(Index)] {
                          m_Sim.deliver(Index, Generation, [this, Index, Report] {
                            m_Instances[Index].m_Owner->applyReport(m_Sim.now(), Report);
                          });
                        });
  }

  void startStream(std::size_t Index, const AttemptId &Attempt) {
    m_Instances[Index].m_Requested.erase(Attempt);
    m_Instances[Index].m_Running.insert(Attempt);
    m_Sim.scheduleAfter(
        m_Sim.randomDuration(1, 800), [this, Index, Attempt, Generation = m_Sim.generation(Index)] {
          if (m_CancelledAttempts.count(Attempt) != 0 || m_Sim.generation(Index) != Generation)
            return;
          m_UpstreamStreams.insert(Attempt);
          ++m_Report.m_Started;
          const int Excess = static_cast<int>(m_UpstreamStreams.size()) - static_cast<int>(actualLimit());
          const bool IsUnreported = m_StartId > 0 && m_Sim.now() - m_UpstreamStart < ms(4'000);
          int &Maximum = IsUnreported ? m_Report.m_OvershootUnreported : m_Report.m_Overshoot;
          Maximum = std::max(Maximum, Excess);
          m_Sim.scheduleAfter(m_Sim.randomDuration(300, 20'000), [this, Index, Attempt] {
            if (m_UpstreamStreams.erase(Attempt) != 0 && m_Sim.alive(Index))
              m_Sim.deliver(Index, m_Sim.generation(Index),
                            [this, Index, Attempt] { ended(Index, Attempt, false); });
          });
        });
  }
  void ended(std::size_t Index, const AttemptId &Attempt, bool Broken) {
    m_Instances[Index].m_Running.erase(Attempt);
    if (m_Instances[Index].m_Holder)
      execute(Index, m_Instances[Index].m_Holder->release(m_Sim.now(), Attempt, Broken));
  }

  /// Cancels a stream: the upstream ends it, and rejects the attempt if its start arrives later.
  void cancel(std::size_t Index, const CancelStream &Cancel, bool ByOwner) {
    m_Instances[Index].m_Running.erase(Cancel.m_Attempt);
    m_Instances[Index].m_Requested.erase(Cancel.m_Attempt);
    if (ByOwner && mutationEnabled("owner-cancel")) {
      m_Instances[Index].m_Owner->streamEnded(Cancel.m_Upstream, Cancel.m_Attempt);
      return;
    }
    m_Sim.scheduleAfter(m_Sim.randomDuration(1, 300),
                        [this, Index, Cancel, ByOwner, Generation = m_Sim.generation(Index)] {
                          m_UpstreamStreams.erase(Cancel.m_Attempt);
                          m_CancelledAttempts.insert(Cancel.m_Attempt);
                          if (ByOwner)
                            m_Sim.deliver(Index, Generation, [this, Index, Cancel] {
                              m_Instances[Index].m_Owner->streamEnded(Cancel.m_Upstream, Cancel.m_Attempt);
                            });
                        });
  }

  void execute(std::size_t Index, const LeaseActions &Actions) {
    for (const LeaseAction &Action : Actions)
      std::visit(
          Overloaded{
              [&](const CommitRows &Commit) {
                m_Sim.commit(Index, Commit.m_Writes, [this, Index, Commit](const CommitResult &Outcome) {
                  execute(Index,
                          m_Instances[Index].m_Leases->committed(m_Sim.now(), Commit.m_Token, Outcome));
                });
              },
              [&](const ReadRow &Row) {
                m_Sim.read(Index, Row.m_Key, [this, Index, Row](const ReadResult &Outcome) {
                  execute(Index, m_Instances[Index].m_Leases->rowRead(m_Sim.now(), Row.m_Token, Outcome));
                });
              },
              [&](const LeaseAcquired &Acquired) {
                m_Instances[Index].m_Owner->addUpstream(
                    TestUpstream, Limits,
                    mutationEnabled("grant-wait") ? m_Sim.now() : Acquired.m_GrantsFrom);
              },
              [&](const LeaseLost &) {
                if (!mutationEnabled("lease-check"))
                  m_Instances[Index].m_Owner->removeUpstream(TestUpstream);
              }},
          Action);
  }

  void execute(std::size_t Index, const PermitActions &Actions) {
    for (const PermitAction &Action : Actions)
      std::visit(
          Overloaded{[&](const AcquirePermit &Acquire) { sendRequest(Index, Acquire.m_Request, false); },
                     [&](const RenewPermit &Renew) { sendRequest(Index, Renew.m_Request, true); },
                     [&](const ReleasePermit &Release) {
                       for (std::size_t Owner : owners(Index))
                         m_Sim.send(Index, Owner, [this, Owner, Release] {
                           if (!m_Instances[Owner].m_Owner)
                             return;
                           if (Release.m_ColdSignSeen)
                             m_Instances[Owner].m_Owner->coldSignSeen(m_Sim.now(), TestUpstream);
                           m_Instances[Owner].m_Owner->release(m_Sim.now(), Release.m_Request,
                                                               Release.m_StreamEnded);
                         });
                     },
                     [&](const CancelStream &Cancel) {
                       if (!mutationEnabled("permit-expiry"))
                         cancel(Index, Cancel, false);
                     }},
          Action);
  }

  /// The owner that this instance read last. With the mutation "lease-check", requests go to all candidates.
  std::vector<std::size_t> owners(std::size_t Index) {
    execute(Index, m_Instances[Index].m_Leases->refreshOwner(m_Sim.now(), Shard));
    if (mutationEnabled("lease-check"))
      return {0, 1, 3, 4};
    const std::optional<InstanceId> Owner = m_Instances[Index].m_Leases->owner(Shard);
    return Owner ? std::vector<std::size_t>{indexOf(*Owner)} : std::vector<std::size_t>{};
  }

  void sendRequest(std::size_t Index, const PermitRequest &Request, bool IsRenewal) {
    const TimePoint SentAt = m_Sim.now();
    if (!IsRenewal)
      m_Sim.scheduleAfter(ms(2'000), [this, Index, Request] {
        InstanceState &Instance = m_Instances[Index];
        if (Instance.m_Requested.erase(Request.m_Attempt) != 0 && Instance.m_Holder)
          execute(Index, Instance.m_Holder->release(m_Sim.now(), Request.m_Attempt));
      });
    for (std::size_t Owner : owners(Index))
      m_Sim.send(Index, Owner, [this, Index, Owner, Request, IsRenewal, SentAt] {
        if (!m_Instances[Owner].m_Owner)
          return;
        PermitOwner &Permits = *m_Instances[Owner].m_Owner;
        const PermitReply Reply =
            IsRenewal ? Permits.renew(m_Sim.now(), Request) : Permits.request(m_Sim.now(), Request);
        m_Sim.send(Owner, Index,
                   [this, Index, Request, Reply, SentAt] { replyReceived(Index, Request, Reply, SentAt); });
      });
  }

  void replyReceived(std::size_t Index, const PermitRequest &Request, const PermitReply &Reply,
                     TimePoint SentAt) {
    InstanceState &Instance = m_Instances[Index];
    if (!Instance.m_Holder)
      return;
    execute(Index, Instance.m_Holder->replyReceived(m_Sim.now(), TestUpstream, Reply, SentAt));
    if (Instance.m_Requested.count(Request.m_Attempt) == 0)
      return;
    if (Instance.m_Holder->mayStart(m_Sim.now(), Request.m_Attempt))
      startStream(Index, Request.m_Attempt);
    else
      Instance.m_Requested.erase(Request.m_Attempt);
  }

  Duration m_Duration;
  Simulation m_Sim;
  std::vector<InstanceState> m_Instances;
  PermitReport m_Report;
  std::set<AttemptId> m_UpstreamStreams; ///< Streams that run on the upstream.
  std::set<AttemptId> m_CancelledAttempts;
  TimePoint m_UpstreamStart;
  int m_StartId = 0;
  int m_NextAttempt = 0;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_PERMIT_SIMULATION_H
