#ifndef BULRUSHPITCH_PROTOCOL_TESTS_PERMIT_WORLD_H
#define BULRUSHPITCH_PROTOCOL_TESTS_PERMIT_WORLD_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

struct PermitReport {
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Started = 0;
  int m_Overshoot = 0;             ///< Largest number of streams above the limit, outside the window below.
  int m_OvershootSilent = 0;       ///< The same within 4 s of a restart that nothing has reported yet.
  int m_DoubleOwners = 0;          ///< Times at which two instances held the lease by their own clock.
  std::uint64_t m_EarlyOrders = 0; ///< Orders allowed while another holder could still send one.
};

/// @brief Instances that share one upstream which starts cold, through a lease, permits and load reports.
class PermitWorld {
public:
  explicit PermitWorld(const Plan &Planned, Duration Length = ms(40'000))
      : m_Length(Length), m_Sim(Planned, Instances), m_Nodes(Instances) {}

  PermitReport run() {
    for (std::size_t Index = 0; Index < Instances; ++Index)
      start(Index);
    for (const Fault &One : m_Sim.plan().m_Faults) {
      const std::size_t Target = One.m_Target % Instances;
      if (One.m_Kind == FaultKind::Kill) {
        m_Sim.at(TimePoint(ms(One.m_StartMs)), [this, Target] { kill(Target); });
        m_Sim.at(TimePoint(ms(One.m_StartMs + One.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
      if (One.m_Kind == FaultKind::Cold)
        m_Sim.at(TimePoint(ms(One.m_StartMs)), [this] { restartUpstream(); });
    }
    m_Sim.runUntil(TimePoint(m_Length));
    m_Report.m_Steps = m_Sim.steps();
    return m_Report;
  }

private:
  static constexpr std::size_t Instances = 6;
  static inline const RampLimits Limits{1, 6, ms(12'000)};
  static inline const UpstreamId Up{"u0"};
  static inline const ShardId Shard{DomainId("d0"), 0};

  struct Node {
    std::unique_ptr<LeaseManager> m_Leases;
    std::unique_ptr<PermitOwner> m_Owner;
    std::unique_ptr<PermitHolder> m_Holder;
    PauseDetector m_Pause;
    std::set<AttemptId> m_Wanted;  ///< Permit asked for.
    std::set<AttemptId> m_Running; ///< Streams that this instance started.
  };
  static InstanceId nameOf(std::size_t Index) { return InstanceId("i" + std::to_string(Index)); }
  static std::size_t indexOf(const InstanceId &Id) { return std::stoul(Id.value().substr(1)); }

  void start(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    Of = Node();
    Of.m_Leases = std::make_unique<LeaseManager>(nameOf(Index), m_Sim.generation(Index));
    LeaseManager *Leases = Of.m_Leases.get();
    Of.m_Owner = std::make_unique<PermitOwner>(
        [Leases](const UpstreamId &, TimePoint Now) -> std::optional<FencingNumber> {
          if (mutation("lease-check"))
            return FencingNumber(1);
          return Leases->mayGrant(Shard, Now) ? Leases->held(Shard, Now) : std::nullopt;
        });
    Of.m_Holder = std::make_unique<PermitHolder>(nameOf(Index));
    carryOut(Index, Leases->candidates(m_Sim.now(), Shard, {nameOf(0), nameOf(1), nameOf(3), nameOf(4)}));
    m_Sim.every(Index, ms(100), [this, Index] { tick(Index); });
    m_Sim.every(Index, ms(1'000), [this, Index] { pollLoad(Index); });
  }

  /// The streams of a killed process end when the upstream sees its connection close.
  void kill(std::size_t Index) {
    m_Sim.restarted(Index);
    for (const AttemptId &Attempt : m_Nodes[Index].m_Running)
      m_Sim.after(m_Sim.between(10, 500), [this, Attempt] { m_Streams.erase(Attempt); });
    m_Nodes[Index] = Node();
  }

  void tick(std::size_t Index) {
    Node &Of = m_Nodes[Index];
    const TimePoint Now = m_Sim.now();
    if (Of.m_Pause.tick(Now) && !mutation("lease-check"))
      carryOut(Index, Of.m_Leases->dropAll(Now));
    carryOut(Index, Of.m_Leases->tick(Now));
    for (const CancelStream &Cancel : Of.m_Owner->tick(Now))
      cancel(Index, Cancel, true);
    carryOut(Index, Of.m_Holder->tick(Now));
    std::size_t Holders = 0;
    for (std::size_t Other = 0; Other < Instances; ++Other)
      Holders +=
          m_Sim.alive(Other) && m_Nodes[Other].m_Leases && m_Nodes[Other].m_Leases->held(Shard, Now) ? 1 : 0;
    m_Report.m_DoubleOwners += Holders > 1 ? 1 : 0;
    checkOrders(Index);
    if (Of.m_Wanted.size() + Of.m_Running.size() < 4 && m_Sim.chance(0.3)) {
      const AttemptId Attempt("a" + std::to_string(m_NextAttempt++));
      Of.m_Wanted.insert(Attempt);
      carryOut(Index, Of.m_Holder->acquire(Now, Up, Attempt));
    }
  }

  /// Two instances may send orders at the same time only if their fencing numbers are seen out of order.
  void checkOrders(std::size_t Index) {
    for (std::size_t Other = 0; Other < Instances; ++Other)
      if (Other != Index && m_Nodes[Other].m_Leases &&
          m_Nodes[Index].m_Leases->mayOrder(Shard, m_Sim.now()) &&
          m_Nodes[Other].m_Leases->mayOrder(Shard, m_Sim.now()))
        ++m_Report.m_EarlyOrders;
  }

  std::uint32_t trueLimit() const {
    const Duration Served = m_Sim.now() - m_UpstreamStart;
    if (Served >= Limits.m_WarmUp)
      return Limits.m_Capacity;
    return Limits.m_ColdLimit +
           static_cast<std::uint32_t>((Limits.m_Capacity - Limits.m_ColdLimit) * Served / Limits.m_WarmUp);
  }

  void restartUpstream() {
    const std::set<AttemptId> Broken = std::move(m_Streams);
    m_Streams.clear();
    m_UpstreamStart = m_Sim.now();
    ++m_StartId;
    for (std::size_t Index = 0; Index < Instances; ++Index)
      for (const AttemptId &Attempt : m_Nodes[Index].m_Running)
        if (Broken.count(Attempt) != 0)
          m_Sim.send(Index, Index, [this, Index, Attempt] { ended(Index, Attempt, true); });
  }

  void pollLoad(std::size_t Index) {
    // A report is up to 500 ms old when it is sent.
    const RampReport Report{Up, "s" + std::to_string(m_StartId), m_Sim.now(),
                            static_cast<std::uint32_t>(m_Streams.size()), false};
    m_Sim.after(m_Sim.between(1, 500), [this, Index, Report, Generation = m_Sim.generation(Index)] {
      m_Sim.deliver(Index, Generation,
                    [this, Index, Report] { m_Nodes[Index].m_Owner->report(m_Sim.now(), Report); });
    });
  }

  void startStream(std::size_t Index, const AttemptId &Attempt) {
    m_Nodes[Index].m_Wanted.erase(Attempt);
    m_Nodes[Index].m_Running.insert(Attempt);
    m_Sim.after(m_Sim.between(1, 800), [this, Index, Attempt, Generation = m_Sim.generation(Index)] {
      if (m_Cancelled.count(Attempt) != 0 || m_Sim.generation(Index) != Generation)
        return;
      m_Streams.insert(Attempt);
      ++m_Report.m_Started;
      const int Over = static_cast<int>(m_Streams.size()) - static_cast<int>(trueLimit());
      const bool Silent = m_StartId > 0 && m_Sim.now() - m_UpstreamStart < ms(4'000);
      int &Largest = Silent ? m_Report.m_OvershootSilent : m_Report.m_Overshoot;
      Largest = std::max(Largest, Over);
      m_Sim.after(m_Sim.between(300, 20'000), [this, Index, Attempt] {
        if (m_Streams.erase(Attempt) != 0 && m_Sim.alive(Index))
          m_Sim.deliver(Index, m_Sim.generation(Index),
                        [this, Index, Attempt] { ended(Index, Attempt, false); });
      });
    });
  }
  void ended(std::size_t Index, const AttemptId &Attempt, bool Broken) {
    m_Nodes[Index].m_Running.erase(Attempt);
    if (m_Nodes[Index].m_Holder)
      carryOut(Index, m_Nodes[Index].m_Holder->release(m_Sim.now(), Attempt, Broken));
  }

  /// The upstream ends the stream, and refuses the attempt if its start arrives later.
  void cancel(std::size_t Index, const CancelStream &Cancel, bool ByOwner) {
    m_Nodes[Index].m_Running.erase(Cancel.m_Attempt);
    m_Nodes[Index].m_Wanted.erase(Cancel.m_Attempt);
    if (ByOwner && mutation("owner-cancel")) {
      m_Nodes[Index].m_Owner->streamEnded(Cancel.m_Upstream, Cancel.m_Attempt);
      return;
    }
    m_Sim.after(m_Sim.between(1, 300), [this, Index, Cancel, ByOwner, Generation = m_Sim.generation(Index)] {
      m_Streams.erase(Cancel.m_Attempt);
      m_Cancelled.insert(Cancel.m_Attempt);
      if (ByOwner)
        m_Sim.deliver(Index, Generation, [this, Index, Cancel] {
          m_Nodes[Index].m_Owner->streamEnded(Cancel.m_Upstream, Cancel.m_Attempt);
        });
    });
  }

  void carryOut(std::size_t Index, const LeaseActions &Actions) {
    for (const LeaseAction &Action : Actions)
      std::visit(
          Overloaded{
              [&](const CommitRows &Commit) {
                m_Sim.commit(Index, Commit.m_Writes, [this, Index, Commit](const CommitResult &Outcome) {
                  carryOut(Index, m_Nodes[Index].m_Leases->committed(m_Sim.now(), Commit.m_Token, Outcome));
                });
              },
              [&](const ReadRow &Row) {
                m_Sim.read(Index, Row.m_Key, [this, Index, Row](const ReadResult &Outcome) {
                  carryOut(Index, m_Nodes[Index].m_Leases->rowRead(m_Sim.now(), Row.m_Token, Outcome));
                });
              },
              [&](const LeaseWon &Won) {
                m_Nodes[Index].m_Owner->own(Up, Limits,
                                            mutation("grant-wait") ? m_Sim.now() : Won.m_GrantFrom);
              },
              [&](const LeaseLost &) {
                if (!mutation("lease-check"))
                  m_Nodes[Index].m_Owner->disown(Up);
              }},
          Action);
  }

  void carryOut(std::size_t Index, const PermitActions &Actions) {
    for (const PermitAction &Action : Actions)
      std::visit(Overloaded{[&](const AcquirePermit &Acquire) { ask(Index, Acquire.m_Request, false); },
                            [&](const RenewPermit &Renew) { ask(Index, Renew.m_Request, true); },
                            [&](const ReleasePermit &Release) {
                              for (std::size_t Owner : owners(Index))
                                m_Sim.send(Index, Owner, [this, Owner, Release] {
                                  if (!m_Nodes[Owner].m_Owner)
                                    return;
                                  if (Release.m_Cold)
                                    m_Nodes[Owner].m_Owner->cold(m_Sim.now(), Up);
                                  m_Nodes[Owner].m_Owner->release(m_Sim.now(), Release.m_Request,
                                                                  Release.m_Ended);
                                });
                            },
                            [&](const CancelStream &Cancel) {
                              if (!mutation("permit-expiry"))
                                cancel(Index, Cancel, false);
                            }},
                 Action);
  }

  /// The owner as this instance last read it. With the lease check off, earlier owners are asked too.
  std::vector<std::size_t> owners(std::size_t Index) {
    carryOut(Index, m_Nodes[Index].m_Leases->lookUp(m_Sim.now(), Shard));
    if (mutation("lease-check"))
      return {0, 1, 3, 4};
    const std::optional<InstanceId> Owner = m_Nodes[Index].m_Leases->owner(Shard);
    return Owner ? std::vector<std::size_t>{indexOf(*Owner)} : std::vector<std::size_t>{};
  }

  void ask(std::size_t Index, const PermitRequest &Request, bool Renewal) {
    const TimePoint SentAt = m_Sim.now();
    if (!Renewal)
      m_Sim.after(ms(2'000), [this, Index, Request] {
        Node &Of = m_Nodes[Index];
        if (Of.m_Wanted.erase(Request.m_Attempt) != 0 && Of.m_Holder)
          carryOut(Index, Of.m_Holder->release(m_Sim.now(), Request.m_Attempt));
      });
    for (std::size_t Owner : owners(Index))
      m_Sim.send(Index, Owner, [this, Index, Owner, Request, Renewal, SentAt] {
        if (!m_Nodes[Owner].m_Owner)
          return;
        PermitOwner &Of = *m_Nodes[Owner].m_Owner;
        const PermitReply Reply = Renewal ? Of.renew(m_Sim.now(), Request) : Of.request(m_Sim.now(), Request);
        m_Sim.send(Owner, Index,
                   [this, Index, Request, Reply, SentAt] { answered(Index, Request, Reply, SentAt); });
      });
  }

  void answered(std::size_t Index, const PermitRequest &Request, const PermitReply &Reply, TimePoint SentAt) {
    Node &Of = m_Nodes[Index];
    if (!Of.m_Holder)
      return;
    carryOut(Index, Of.m_Holder->answered(m_Sim.now(), Up, Reply, SentAt));
    if (Of.m_Wanted.count(Request.m_Attempt) == 0)
      return;
    if (Of.m_Holder->mayStart(m_Sim.now(), Request.m_Attempt))
      startStream(Index, Request.m_Attempt);
    else
      Of.m_Wanted.erase(Request.m_Attempt);
  }

  Duration m_Length;
  Simulation m_Sim;
  std::vector<Node> m_Nodes;
  PermitReport m_Report;
  std::set<AttemptId> m_Streams; ///< What runs on the upstream.
  std::set<AttemptId> m_Cancelled;
  TimePoint m_UpstreamStart;
  int m_StartId = 0;
  int m_NextAttempt = 0;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_PERMIT_WORLD_H
