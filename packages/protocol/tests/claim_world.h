#ifndef BULRUSHPITCH_PROTOCOL_TESTS_CLAIM_WORLD_H
#define BULRUSHPITCH_PROTOCOL_TESTS_CLAIM_WORLD_H

#include "bulrushpitch/protocol/protocol.h"
#include "simulation.h"

#include <memory>
#include <set>

namespace bulrushpitch::test {

struct ClaimReport {
  std::uint64_t m_Steps = 0;
  int m_Requests = 0;
  int m_DuplicateRuns = 0; ///< Requests that ran more than once.
  int m_FalseRefusals = 0; ///< Attempts refused as not run that ran.
  int m_FalseUnknown = 0;  ///< "Unknown" although no attempt was ever sent, 10 s after the faults.
  int m_WrongAnswers = 0;  ///< Stored answers that are not the answer of the run.
  int m_Undecided = 0;     ///< Attempts of live instances that were never told an outcome.
  std::map<ClaimVerdict, int> m_Verdicts;
};

/// @brief Callers that retry non-idempotent calls at several daemons.
class ClaimWorld {
public:
  explicit ClaimWorld(const Plan &Planned, int Requests = 60)
      : m_Requests(Requests), m_Sim(Planned, Instances), m_Claims(Instances) {}

  ClaimReport run() {
    for (std::size_t Index = 0; Index < Instances; ++Index)
      start(Index);
    for (const Fault &One : m_Sim.plan().m_Faults)
      if (One.m_Kind == FaultKind::Kill) {
        const std::size_t Target = One.m_Target % Instances;
        m_Sim.at(TimePoint(ms(One.m_StartMs)), [this, Target] {
          m_Sim.restarted(Target);
          m_Claims[Target].reset();
        });
        m_Sim.at(TimePoint(ms(One.m_StartMs + One.m_LengthMs) + ms(1)), [this, Target] {
          if (m_Sim.alive(Target))
            start(Target);
        });
      }
    for (int Number = 0; Number < m_Requests; ++Number)
      m_Sim.at(TimePoint(m_Sim.between(100, 20'000)), [this, Number] { attempt(Number, 0); });
    m_Sim.runUntil(std::max(TimePoint(ms(40'000)), m_Sim.quiet() + ms(15'000)));
    finish();
    return m_Report;
  }

private:
  static constexpr std::size_t Instances = 4;
  struct Attempt {
    int m_Request = 0;
    int m_Try = 0;
    std::size_t m_Instance = 0;
    std::uint64_t m_Generation = 0;
    std::optional<TimePoint> m_ToldAt;
    bool m_RefusedNotRun = false;
    bool m_Ran = false;
    bool m_Sent = false;
  };

  void start(std::size_t Index) {
    m_Claims[Index] = std::make_unique<ClaimManager>();
    m_Sim.every(Index, ms(5), [this, Index] { carryOut(Index, m_Claims[Index]->tick(m_Sim.now())); });
  }

  void attempt(int Request, int Try) {
    if (Try > 6)
      return;
    const std::size_t Index = m_Sim.below(Instances);
    if (!m_Sim.alive(Index) || m_Sim.frozen(Index) || !m_Claims[Index]) {
      m_Sim.after(m_Sim.between(50, 2'000), [this, Request, Try] { attempt(Request, Try + 1); });
      return;
    }
    const AttemptId Id("r" + std::to_string(Request) + "-" + std::to_string(m_Attempts.size()));
    m_Attempts[Id] = Attempt{Request, Try, Index, m_Sim.generation(Index), std::nullopt, false, false, false};
    ++m_Report.m_Requests;
    carryOut(Index,
             m_Claims[Index]->begin(
                 m_Sim.now(), ClaimRequest{TeamId("t"), RequestId("r" + std::to_string(Request)), Id,
                                           UpstreamId("till"), m_Sim.now() + m_Sim.between(100, 3'000)}));
    // An impatient caller retries without an answer; a patient one does so when it was refused or told
    // "unknown".
    if (m_Sim.chance(0.3))
      m_Sim.after(m_Sim.between(1, 4'000), [this, Request, Try] { attempt(Request, Try + 1); });
  }

  void decided(std::size_t Index, const ClaimDecision &Decision) {
    Attempt &Of = m_Attempts.at(Decision.m_Attempt);
    ++m_Report.m_Verdicts[Decision.m_Verdict];
    Of.m_ToldAt = m_Sim.now();
    bool Proceed = Decision.m_Verdict == ClaimVerdict::Proceed;
    if (mutation("claim-send-unknown") && Decision.m_Verdict == ClaimVerdict::Unknown)
      Proceed = true; // Sends although another attempt may have run.
    if (Proceed) {
      if (m_Sim.chance(0.15)) { // The connection cannot be made.
        Of.m_RefusedNotRun = true;
        carryOut(Index, m_Claims[Index]->notSent(m_Sim.now(), Decision.m_Attempt));
      } else {
        sendCall(Index, Decision.m_Attempt);
        return;
      }
    }
    if (Decision.m_Verdict == ClaimVerdict::Refused) {
      Of.m_RefusedNotRun = true;
      if (mutation("claim-send-refused"))
        sendCall(Index, Decision.m_Attempt); // Sends before the row is confirmed.
    }
    if (Decision.m_Verdict == ClaimVerdict::Stored) {
      if (Decision.m_Answer != m_Answers[Of.m_Request])
        ++m_Report.m_WrongAnswers;
      return;
    }
    if (Decision.m_Verdict == ClaimVerdict::Unknown && m_Sim.now() > m_Sim.quiet() + ms(10'000) &&
        !mayHaveRun(Of.m_Request, Decision.m_Attempt))
      ++m_Report.m_FalseUnknown;
    m_Sim.after(m_Sim.between(50, 3'000),
                [this, Request = Of.m_Request, Try = Of.m_Try] { attempt(Request, Try + 1); });
  }

  /// Whether another attempt was sent, is being decided, may still be being released, or was made by a
  /// process that was killed and never releases its claims.
  bool mayHaveRun(int Request, const AttemptId &But) const {
    return std::any_of(m_Attempts.begin(), m_Attempts.end(),
                       [&](const std::pair<const AttemptId, Attempt> &Entry) {
                         const Attempt &Of = Entry.second;
                         return Of.m_Request == Request && Entry.first != But &&
                                (Of.m_Sent || !Of.m_ToldAt || m_Sim.now() - *Of.m_ToldAt < ms(5'000) ||
                                 Of.m_Generation != m_Sim.generation(Of.m_Instance));
                       });
  }

  void sendCall(std::size_t Index, const AttemptId &Id) {
    m_Attempts.at(Id).m_Sent = true;
    m_Sim.after(m_Sim.between(1, 20), [this, Index, Id, Generation = m_Sim.generation(Index)] {
      Attempt &Of = m_Attempts.at(Id);
      Of.m_Ran = true;
      const std::string Answer = "debited by " + Id.value();
      m_Answers[Of.m_Request] = Answer;
      if (!m_Ran.insert(Of.m_Request).second)
        ++m_Report.m_DuplicateRuns;
      const bool AnswerLost = m_Sim.chance(0.1);
      m_Sim.after(m_Sim.between(1, 500), [this, Index, Id, Generation, Answer, AnswerLost] {
        m_Sim.deliver(Index, Generation, [this, Index, Id, Answer, AnswerLost] {
          if (AnswerLost) {
            m_Claims[Index]->lost(Id);
            retryAfterLoss(Id);
          } else {
            carryOut(Index, m_Claims[Index]->completed(m_Sim.now(), Id, Answer));
          }
        });
      });
    });
  }
  void retryAfterLoss(const AttemptId &Id) {
    const Attempt Of = m_Attempts.at(Id);
    m_Sim.after(m_Sim.between(50, 1'000), [this, Of] { attempt(Of.m_Request, Of.m_Try + 1); });
  }

  void carryOut(std::size_t Index, const ClaimActions &Actions) {
    for (const ClaimAction &Action : Actions)
      std::visit(Overloaded{[&](const CommitRows &Commit) {
                              m_Sim.commit(Index, Commit.m_Writes,
                                           [this, Index, Commit](const CommitResult &Outcome) {
                                             carryOut(Index, m_Claims[Index]->committed(
                                                                 m_Sim.now(), Commit.m_Token, Outcome));
                                           });
                            },
                            [&](const ReadRow &Row) {
                              m_Sim.read(Index, Row.m_Key, [this, Index, Row](const ReadResult &Outcome) {
                                carryOut(Index, m_Claims[Index]->rowRead(m_Sim.now(), Row.m_Token, Outcome));
                              });
                            },
                            [&](const ClaimDecision &Decision) { decided(Index, Decision); }},
                 Action);
  }

  void finish() {
    m_Report.m_Steps = m_Sim.steps();
    for (const std::pair<const AttemptId, Attempt> &Entry : m_Attempts) {
      const Attempt &Of = Entry.second;
      if (Of.m_RefusedNotRun && Of.m_Ran)
        ++m_Report.m_FalseRefusals;
      if (!Of.m_ToldAt && m_Sim.generation(Of.m_Instance) == Of.m_Generation)
        ++m_Report.m_Undecided;
    }
  }

  int m_Requests;
  Simulation m_Sim;
  std::vector<std::unique_ptr<ClaimManager>> m_Claims;
  std::map<AttemptId, Attempt> m_Attempts;
  std::set<int> m_Ran;
  std::map<int, std::string> m_Answers;
  ClaimReport m_Report;
};

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_PROTOCOL_TESTS_CLAIM_WORLD_H
