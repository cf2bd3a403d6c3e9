#ifndef BULRUSHPITCH_PROTOCOL_TESTS_CLAIM_SIMULATION_H
#define BULRUSHPITCH_PROTOCOL_TESTS_CLAIM_SIMULATION_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

struct ClaimReport {
  std::uint64_t m_Steps = 0;
  int m_Requests = 0;      ///< Number of attempts.
  int m_DuplicateRuns = 0; ///< Requests that ran more than once.
  int m_FalseRefusals = 0; ///< Attempts that ran although they were reported as not run.
  /// Verdicts "unknown" more than 10 s after the last fault, although no other attempt may have run.
  int m_FalseUnknowns = 0;
  int m_WrongResponses = 0; ///< Stored responses that differ from the response of the run.
  int m_Undecided = 0;      ///< Attempts without an outcome although their process is alive.
  std::map<ClaimVerdict, int> m_Verdicts;
};

/// @brief Simulates callers that retry non-idempotent calls at several daemons.
class ClaimSimulation {
public:
  explicit ClaimSimulation(const Plan &Planned, int Requests = 60)
      : m_Requests(Requests), m_Sim(Planned, Instances), m_Claims(Instances) {}

  ClaimReport run() {
    for (std::size_t Index = 0; Index < Instances; ++Index)
      start(Index);
    for (const Fault &Injected : m_Sim.plan().m_Faults)
      if (Injected.m_Kind == FaultKind::Kill) {
        const std::size_t Target = Injected.m_Target % Instances;
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs)), [this, Target] {
          m_Sim.restart(Target);
          m_Claims[Target].reset();
        });
        m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs + Injected.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
    for (int Number = 0; Number < m_Requests; ++Number)
      m_Sim.scheduleAt(TimePoint(m_Sim.randomDuration(100, 20'000)), [this, Number] { attempt(Number, 0); });
    m_Sim.runUntil(std::max(TimePoint(ms(40'000)), m_Sim.lastFaultEnd() + ms(15'000)));
    countViolations();
    return m_Report;
  }

private:
  static constexpr std::size_t Instances = 4;
  struct Attempt {
    int m_Request = 0;
    int m_TryNumber = 0;
    std::size_t m_Instance = 0;
    std::uint64_t m_Generation = 0;
    std::optional<TimePoint> m_DecidedAt;
    bool m_ReportedNotRun = false;
    bool m_Ran = false;
    bool m_WasSent = false;
  };

  void start(std::size_t Index) {
    m_Claims[Index] = std::make_unique<ClaimManager>();
    m_Sim.runPeriodically(Index, ms(5),
                          [this, Index] { execute(Index, m_Claims[Index]->tick(m_Sim.now())); });
  }

  void attempt(int Request, int TryNumber) {
    if (TryNumber > 6)
      return;
    const std::size_t Index = m_Sim.randomBelow(Instances);
    if (!m_Sim.alive(Index) || m_Sim.frozen(Index) || !m_Claims[Index]) {
      m_Sim.scheduleAfter(m_Sim.randomDuration(50, 2'000),
                          [this, Request, TryNumber] { attempt(Request, TryNumber + 1); });
      return;
    }
    const AttemptId Id("r" + std::to_string(Request) + "-" + std::to_string(m_Attempts.size()));
    m_Attempts[Id] =
        Attempt{Request, TryNumber, Index, m_Sim.generation(Index), std::nullopt, false, false, false};
    ++m_Report.m_Requests;
    execute(Index, m_Claims[Index]->begin(m_Sim.now(),
                                          ClaimRequest{TeamId("t"), RequestId("r" + std::to_string(Request)),
                                                       Id, UpstreamId("payments"),
                                                       m_Sim.now() + m_Sim.randomDuration(100, 3'000)}));
    // Some callers retry before they have a response; the others retry only after "refused" or "unknown".
    if (m_Sim.randomChance(0.3))
      m_Sim.scheduleAfter(m_Sim.randomDuration(1, 4'000),
                          [this, Request, TryNumber] { attempt(Request, TryNumber + 1); });
  }

  void decided(std::size_t Index, const ClaimDecision &Decision) {
    Attempt &Current = m_Attempts.at(Decision.m_Attempt);
    ++m_Report.m_Verdicts[Decision.m_Verdict];
    Current.m_DecidedAt = m_Sim.now();
    bool Proceed = Decision.m_Verdict == ClaimVerdict::Proceed;
    if (mutationEnabled("claim-send-unknown") && Decision.m_Verdict == ClaimVerdict::Unknown)
      Proceed = true; // Sends although another attempt may have run.
    if (Proceed) {
      if (m_Sim.randomChance(0.15)) { // The connection fails.
        Current.m_ReportedNotRun = true;
        execute(Index, m_Claims[Index]->notSent(m_Sim.now(), Decision.m_Attempt));
      } else {
        sendCall(Index, Decision.m_Attempt);
        return;
      }
    }
    if (Decision.m_Verdict == ClaimVerdict::Refused) {
      Current.m_ReportedNotRun = true;
      if (mutationEnabled("claim-send-refused"))
        sendCall(Index, Decision.m_Attempt); // Sends before the row is confirmed.
    }
    if (Decision.m_Verdict == ClaimVerdict::Stored) {
      if (Decision.m_Response != m_Responses[Current.m_Request])
        ++m_Report.m_WrongResponses;
      return;
    }
    if (Decision.m_Verdict == ClaimVerdict::Unknown && m_Sim.now() > m_Sim.lastFaultEnd() + ms(10'000) &&
        !mayHaveRun(Current.m_Request, Decision.m_Attempt))
      ++m_Report.m_FalseUnknowns;
    m_Sim.scheduleAfter(m_Sim.randomDuration(50, 3'000),
                        [this, Request = Current.m_Request, TryNumber = Current.m_TryNumber] {
                          attempt(Request, TryNumber + 1);
                        });
  }

  /// Whether another attempt of the request was sent, is undecided, may not be released yet (decided less
  /// than 5 s ago), or was made by a process that was killed and cannot release its claims.
  bool mayHaveRun(int Request, const AttemptId &Excluded) const {
    return std::any_of(m_Attempts.begin(), m_Attempts.end(),
                       [&](const std::pair<const AttemptId, Attempt> &Entry) {
                         const Attempt &Current = Entry.second;
                         return Current.m_Request == Request && Entry.first != Excluded &&
                                (Current.m_WasSent || !Current.m_DecidedAt ||
                                 m_Sim.now() - *Current.m_DecidedAt < ms(5'000) ||
                                 Current.m_Generation != m_Sim.generation(Current.m_Instance));
                       });
  }

  void sendCall(std::size_t Index, const AttemptId &Id) {
    m_Attempts.at(Id).m_WasSent = true;
    m_Sim.scheduleAfter(m_Sim.randomDuration(1, 20), [this, Index, Id, Generation = m_Sim.generation(Index)] {
      Attempt &Current = m_Attempts.at(Id);
      Current.m_Ran = true;
      const std::string Response = "debited by " + Id.value();
      m_Responses[Current.m_Request] = Response;
      if (!m_Ran.insert(Current.m_Request).second)
        ++m_Report.m_DuplicateRuns;
      const bool IsResponseLost = m_Sim.randomChance(0.1);
      m_Sim.scheduleAfter(m_Sim.randomDuration(1, 500),
                          [this, Index, Id, Generation, Response, IsResponseLost] {
                            m_Sim.deliver(Index, Generation, [this, Index, Id, Response, IsResponseLost] {
                              if (IsResponseLost) {
                                m_Claims[Index]->responseLost(Id);
                                retryAfterLoss(Id);
                              } else {
                                execute(Index, m_Claims[Index]->completed(m_Sim.now(), Id, Response));
                              }
                            });
                          });
    });
  }
  void retryAfterLoss(const AttemptId &Id) {
    const Attempt Current = m_Attempts.at(Id);
    m_Sim.scheduleAfter(m_Sim.randomDuration(50, 1'000),
                        [this, Current] { attempt(Current.m_Request, Current.m_TryNumber + 1); });
  }

  void execute(std::size_t Index, const ClaimActions &Actions) {
    for (const ClaimAction &Action : Actions)
      std::visit(Overloaded{[&](const CommitRows &Commit) {
                              m_Sim.commit(
                                  Index, Commit.m_Writes, [this, Index, Commit](const CommitResult &Outcome) {
                                    execute(Index,
                                            m_Claims[Index]->committed(m_Sim.now(), Commit.m_Token, Outcome));
                                  });
                            },
                            [&](const ReadRow &Row) {
                              m_Sim.read(Index, Row.m_Key, [this, Index, Row](const ReadResult &Outcome) {
                                execute(Index, m_Claims[Index]->rowRead(m_Sim.now(), Row.m_Token, Outcome));
                              });
                            },
                            [&](const ClaimDecision &Decision) { decided(Index, Decision); }},
                 Action);
  }

  void countViolations() {
    m_Report.m_Steps = m_Sim.steps();
    for (const std::pair<const AttemptId, Attempt> &Entry : m_Attempts) {
      const Attempt &Current = Entry.second;
      if (Current.m_ReportedNotRun && Current.m_Ran)
        ++m_Report.m_FalseRefusals;
      if (!Current.m_DecidedAt && m_Sim.generation(Current.m_Instance) == Current.m_Generation)
        ++m_Report.m_Undecided;
    }
  }

  int m_Requests;
  Simulation m_Sim;
  std::vector<std::unique_ptr<ClaimManager>> m_Claims;
  std::map<AttemptId, Attempt> m_Attempts;
  std::set<int> m_Ran;
  std::map<int, std::string> m_Responses;
  ClaimReport m_Report;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_CLAIM_SIMULATION_H
