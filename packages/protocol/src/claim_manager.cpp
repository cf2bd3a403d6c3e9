#include "bulrushpitch/protocol/claim_manager.h"

#include "detail/json_row.h"
#include "detail/lifecycle.h"

#include <algorithm>
#include <boost/mpl/vector.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace bulrushpitch {

namespace {

using nlohmann::json;

enum class Phase : std::uint8_t {
  Queued,     ///< Waits for the next batch.
  Inserting,  ///< The batch is being committed.
  Reading,    ///< The answer to the commit was lost; the row is being read.
  TakingOver, ///< A released claim is being taken over.
  Running,    ///< The caller was told to proceed.
  Finishing,  ///< The answer is being written.
  Releasing,  ///< The caller was told that nothing ran; the row is being released.
  Closed,
};

struct Send {};
struct Confirmed {};
struct FoundReleased {};
struct FoundAbsent {};
struct AnswerLost {};
struct GiveUp {};
struct Answered {};
struct Close {};

struct ClaimLifecycle : detail::Lifecycle<ClaimLifecycle, Phase> {
  struct Queued : detail::NamedState<Phase::Queued> {};
  struct Inserting : detail::NamedState<Phase::Inserting> {};
  struct Reading : detail::NamedState<Phase::Reading> {};
  struct TakingOver : detail::NamedState<Phase::TakingOver> {};
  struct Running : detail::NamedState<Phase::Running> {};
  struct Finishing : detail::NamedState<Phase::Finishing> {};
  struct Releasing : detail::NamedState<Phase::Releasing> {};
  struct Closed : detail::NamedState<Phase::Closed> {};
  using initial_state = Queued;
  struct transition_table
      : boost::mpl::vector<
            detail::Transition<Queued, Send, Inserting>, detail::Transition<Inserting, Confirmed, Running>,
            detail::Transition<Inserting, FoundReleased, TakingOver>,
            detail::Transition<Inserting, AnswerLost, Reading>,
            detail::Transition<Inserting, GiveUp, Releasing>, detail::Transition<Inserting, Close, Closed>,
            detail::Transition<TakingOver, Confirmed, Running>,
            detail::Transition<TakingOver, AnswerLost, Reading>,
            detail::Transition<TakingOver, GiveUp, Releasing>, detail::Transition<TakingOver, Close, Closed>,
            detail::Transition<Reading, Confirmed, Running>,
            detail::Transition<Reading, FoundReleased, TakingOver>,
            detail::Transition<Reading, FoundAbsent, Queued>, detail::Transition<Reading, GiveUp, Releasing>,
            detail::Transition<Reading, Close, Closed>, detail::Transition<Running, Answered, Finishing>,
            detail::Transition<Running, GiveUp, Releasing>, detail::Transition<Finishing, Close, Closed>,
            detail::Transition<Releasing, Close, Closed>> {};
};

struct Claim {
  explicit Claim(ClaimRequest Asked) : m_Request(std::move(Asked)) { m_Lifecycle.start(); }
  Phase phase() const { return m_Lifecycle.m_State; }
  std::string key() const { return claimKey(m_Request.m_Team, m_Request.m_Request); }
  std::string encode(ClaimState State) const {
    return encodeClaim(ClaimRow{State, m_Request.m_Attempt, m_Request.m_Upstream, m_Answer});
  }

  ClaimRequest m_Request;
  boost::msm::back::state_machine<ClaimLifecycle> m_Lifecycle;
  TimePoint m_QueuedAt;
  bool m_Sent = false; ///< An insert or takeover of this attempt may be under way.
  bool m_TriedTakeover = false;
  bool m_Busy = false;  ///< A read or write of Finishing or Releasing is under way.
  TimePoint m_RepeatAt; ///< When Finishing or Releasing tries again.
  std::string m_Answer;
};

} // namespace

const char *nameOf(ClaimState Value) {
  switch (Value) {
  case ClaimState::Dispatched:
    return "dispatched";
  case ClaimState::Done:
    return "done";
  case ClaimState::Released:
    break;
  }
  return "released";
}

const char *nameOf(ClaimVerdict Value) {
  switch (Value) {
  case ClaimVerdict::Proceed:
    return "proceed";
  case ClaimVerdict::Stored:
    return "stored";
  case ClaimVerdict::Unknown:
    return "unknown";
  case ClaimVerdict::Refused:
    break;
  }
  return "refused";
}

std::string claimKey(const TeamId &Team, const RequestId &Request) {
  return "claim/" + Team.value() + "/" + Request.value();
}

std::string encodeClaim(const ClaimRow &Row) {
  return json{{"state", nameOf(Row.m_State)},
              {"attempt", Row.m_Attempt.value()},
              {"upstream", Row.m_Upstream.value()},
              {"answer", Row.m_Answer}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Expected<ClaimRow> decodeClaim(const std::string &Value) {
  return detail::decodeRow(Value, "claim row", [](const json &From) {
    const std::string State = From.at("state").get<std::string>();
    ClaimRow Row{ClaimState::Dispatched, AttemptId(From.at("attempt").get<std::string>()),
                 UpstreamId(From.at("upstream").get<std::string>()), From.at("answer").get<std::string>()};
    if (State == "done")
      Row.m_State = ClaimState::Done;
    else if (State == "released")
      Row.m_State = ClaimState::Released;
    return Row;
  });
}

struct ClaimManager::Impl {
  using Claims = std::map<AttemptId, Claim>;

  ClaimActions tick(TimePoint Now);
  void flushInserts(TimePoint Now, ClaimActions &Actions);
  void flushDone(TimePoint Now, ClaimActions &Actions);
  void read(Claim &Of, ClaimActions &Actions);
  void examine(TimePoint Now, Claim &Of, const TableRow &Row, ClaimActions &Actions);
  void examineOther(Claim &Of, const TableRow &Row, const ClaimRow &Other, ClaimActions &Actions);
  void proceed(TimePoint Now, Claim &Of, ClaimActions &Actions);
  void decide(Claim &Of, ClaimVerdict Verdict, const std::string &Answer, ClaimActions &Actions);
  void refuse(TimePoint Now, Claim &Of, const std::string &Detail, ClaimActions &Actions);
  void insertOutcome(TimePoint Now, Claim &Of, std::size_t Place, const CommitResult &Outcome,
                     ClaimActions &Actions);
  void releaseStep(TimePoint Now, Claim &Of, const std::optional<TableRow> &Row, ClaimActions &Actions);
  void close(Claim &Of) {
    Of.m_Lifecycle.process_event(Close{});
    m_Closed.push_back(Of.m_Request.m_Attempt);
  }
  /// Closed claims are erased only here, so that references stay valid while an event is handled.
  ClaimActions finish(ClaimActions Actions) {
    for (const AttemptId &Attempt : m_Closed)
      m_Claims.erase(Attempt);
    m_Closed.clear();
    return Actions;
  }

  ClaimSettings m_Settings;
  Claims m_Claims;
  std::deque<AttemptId> m_Queue; ///< To be inserted.
  std::vector<AttemptId> m_Closed;
  std::map<std::uint64_t, std::vector<AttemptId>>
      m_Commits; ///< Token to the attempts, in the order of the rows.
  std::map<std::uint64_t, AttemptId> m_Reads;
  std::uint64_t m_NextToken = 1;
};

ClaimActions ClaimManager::Impl::tick(TimePoint Now) {
  ClaimActions Actions;
  for (std::pair<const AttemptId, Claim> &Entry : m_Claims) {
    Claim &Of = Entry.second;
    const bool Undecided = Of.phase() == Phase::Queued || Of.phase() == Phase::Inserting ||
                           Of.phase() == Phase::Reading || Of.phase() == Phase::TakingOver;
    if (Undecided && Now > Of.m_Request.m_Deadline)
      refuse(Now, Of, "the store did not confirm the claim before the deadline", Actions);
    if (Of.phase() == Phase::Releasing && !Of.m_Busy && Now >= Of.m_RepeatAt) {
      Of.m_Busy = true;
      read(Of, Actions);
    }
  }
  flushInserts(Now, Actions);
  flushDone(Now, Actions);
  return finish(std::move(Actions));
}

void ClaimManager::Impl::flushInserts(TimePoint Now, ClaimActions &Actions) {
  std::erase_if(m_Queue, [&](const AttemptId &Attempt) {
    const Claims::iterator Found = m_Claims.find(Attempt);
    return Found == m_Claims.end() || Found->second.phase() != Phase::Queued;
  });
  while (!m_Queue.empty()) {
    const bool Due = m_Queue.size() >= m_Settings.m_BatchRows ||
                     Now - m_Claims.at(m_Queue.front()).m_QueuedAt >= m_Settings.m_BatchDelay;
    if (!Due)
      return;
    CommitRows Batch{m_NextToken++, {}};
    std::vector<AttemptId> &Attempts = m_Commits[Batch.m_Token];
    std::set<std::string> Keys;
    std::deque<AttemptId> Rest;
    for (const AttemptId &Attempt : m_Queue) {
      Claim &Of = m_Claims.at(Attempt);
      // Two attempts of one request go into different batches: the second must see the first one's row.
      if (Attempts.size() >= m_Settings.m_BatchRows || !Keys.insert(Of.key()).second) {
        Rest.push_back(Attempt);
        continue;
      }
      Of.m_Lifecycle.process_event(Send{});
      Of.m_Sent = true;
      Attempts.push_back(Attempt);
      Batch.m_Writes.push_back(
          TableWrite{Of.key(), Of.encode(ClaimState::Dispatched), TableCondition::SkipIfSet, 0});
    }
    m_Queue = std::move(Rest);
    Actions.emplace_back(std::move(Batch));
  }
}

/// The row of a claim that runs belongs to its attempt, and nobody else writes it; the write needs no
/// condition.
void ClaimManager::Impl::flushDone(TimePoint Now, ClaimActions &Actions) {
  CommitRows Batch;
  std::vector<AttemptId> Attempts;
  for (std::pair<const AttemptId, Claim> &Entry : m_Claims) {
    Claim &Of = Entry.second;
    if (Of.phase() != Phase::Finishing || Of.m_Busy || Now < Of.m_RepeatAt ||
        Attempts.size() >= m_Settings.m_BatchRows)
      continue;
    Of.m_Busy = true;
    Attempts.push_back(Entry.first);
    Batch.m_Writes.push_back(TableWrite{Of.key(), Of.encode(ClaimState::Done), TableCondition::Any, 0});
  }
  if (Attempts.empty())
    return;
  Batch.m_Token = m_NextToken++;
  m_Commits[Batch.m_Token] = std::move(Attempts);
  Actions.emplace_back(std::move(Batch));
}

void ClaimManager::Impl::read(Claim &Of, ClaimActions &Actions) {
  const std::uint64_t Token = m_NextToken++;
  m_Reads.emplace(Token, Of.m_Request.m_Attempt);
  Actions.emplace_back(ReadRow{Token, Of.key()});
}

void ClaimManager::Impl::decide(Claim &Of, ClaimVerdict Verdict, const std::string &Answer,
                                ClaimActions &Actions) {
  ClaimDecision Decision{Of.m_Request.m_Attempt, Verdict, Answer, std::nullopt};
  if (Verdict == ClaimVerdict::Unknown)
    Decision.m_Error =
        Error{ErrorCode::ClaimOutcomeUnknown, "claim request", "table service", Ran::Unknown,
              "another attempt of this request was dispatched and its outcome is not recorded"};
  Actions.emplace_back(std::move(Decision));
}

void ClaimManager::Impl::refuse(TimePoint Now, Claim &Of, const std::string &Detail, ClaimActions &Actions) {
  Actions.emplace_back(
      ClaimDecision{Of.m_Request.m_Attempt, ClaimVerdict::Refused, "",
                    Error{ErrorCode::ClaimUnavailable, "claim request", "table service", Ran::No, Detail}});
  Of.m_RepeatAt = Now;
  // A claim that is queued again after a lost answer may still have an insert under way.
  if (Of.phase() == Phase::Queued && Of.m_Sent)
    Of.m_Lifecycle.process_event(Send{});
  if (!Of.m_Sent || !detail::advance(Of.m_Lifecycle, GiveUp{}))
    close(Of);
}

void ClaimManager::Impl::proceed(TimePoint Now, Claim &Of, ClaimActions &Actions) {
  if (Now > Of.m_Request.m_Deadline) {
    refuse(Now, Of, "the store confirmed the claim after the deadline", Actions);
    return;
  }
  if (detail::advance(Of.m_Lifecycle, Confirmed{}))
    decide(Of, ClaimVerdict::Proceed, "", Actions);
}

void ClaimManager::Impl::examine(TimePoint Now, Claim &Of, const TableRow &Row, ClaimActions &Actions) {
  const Expected<ClaimRow> Found = decodeClaim(Row.m_Value);
  if (!Found)
    refuse(Now, Of, Found.error().m_Detail, Actions);
  else if (Found->m_Attempt != Of.m_Request.m_Attempt)
    examineOther(Of, Row, *Found, Actions);
  else
    proceed(Now, Of, Actions);
}

void ClaimManager::Impl::examineOther(Claim &Of, const TableRow &Row, const ClaimRow &Other,
                                      ClaimActions &Actions) {
  if (Other.m_State == ClaimState::Released) {
    if (Of.phase() != Phase::TakingOver && !detail::advance(Of.m_Lifecycle, FoundReleased{}))
      return;
    Of.m_TriedTakeover = true;
    const std::uint64_t Token = m_NextToken++;
    m_Commits[Token] = {Of.m_Request.m_Attempt};
    Actions.emplace_back(CommitRows{Token,
                                    {TableWrite{Of.key(), Of.encode(ClaimState::Dispatched),
                                                TableCondition::Version, Row.m_RowVersion}}});
    return;
  }
  const bool IsDone = Other.m_State == ClaimState::Done;
  decide(Of, IsDone ? ClaimVerdict::Stored : ClaimVerdict::Unknown, Other.m_Answer, Actions);
  close(Of);
}

void ClaimManager::Impl::insertOutcome(TimePoint Now, Claim &Of, std::size_t Place,
                                       const CommitResult &Outcome, ClaimActions &Actions) {
  if (!Outcome) {
    if (Outcome.error().m_Ran == Ran::No && !Of.m_TriedTakeover) {
      refuse(Now, Of, Outcome.error().m_Detail, Actions);
      return;
    }
    Of.m_Lifecycle.process_event(AnswerLost{});
    read(Of, Actions);
    return;
  }
  if (Outcome->m_Written.at(Place))
    proceed(Now, Of, Actions);
  else
    examine(Now, Of, Outcome->m_Rows.at(Place), Actions);
}

/// Releases the row after the caller was told that nothing ran. Each case also stops a write of this attempt
/// that may still be under way: it finds the row set, or its version changed.
void ClaimManager::Impl::releaseStep(TimePoint, Claim &Of, const std::optional<TableRow> &Row,
                                     ClaimActions &Actions) {
  TableWrite Write{Of.key(), Of.encode(ClaimState::Released), TableCondition::SkipIfSet, 0};
  if (Row) {
    const Expected<ClaimRow> Found = decodeClaim(Row->m_Value);
    const bool Own = Found && Found->m_Attempt == Of.m_Request.m_Attempt;
    const bool ToRelease = Own && Found->m_State == ClaimState::Dispatched;
    const bool ToBlock = Found && !Own && Found->m_State == ClaimState::Released && Of.m_TriedTakeover;
    if (!ToRelease && !ToBlock) {
      close(Of);
      return;
    }
    Write.m_Condition = TableCondition::Version;
    Write.m_ExpectedVersion = Row->m_RowVersion;
  }
  const std::uint64_t Token = m_NextToken++;
  m_Commits[Token] = {Of.m_Request.m_Attempt};
  Actions.emplace_back(CommitRows{Token, {std::move(Write)}});
}

ClaimManager::ClaimManager(ClaimSettings Settings) : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Settings = Settings;
}
ClaimManager::~ClaimManager() = default;
ClaimManager::ClaimManager(ClaimManager &&) noexcept = default;
ClaimManager &ClaimManager::operator=(ClaimManager &&) noexcept = default;

ClaimActions ClaimManager::begin(TimePoint Now, const ClaimRequest &Request) {
  const auto [Entry, IsNew] = m_Impl->m_Claims.emplace(Request.m_Attempt, Claim(Request));
  if (!IsNew)
    return {};
  Entry->second.m_QueuedAt = Now;
  m_Impl->m_Queue.push_back(Request.m_Attempt);
  return m_Impl->m_Queue.size() >= m_Impl->m_Settings.m_BatchRows ? m_Impl->tick(Now) : ClaimActions();
}

ClaimActions ClaimManager::completed(TimePoint Now, const AttemptId &Attempt, const std::string &Answer) {
  const Impl::Claims::iterator Found = m_Impl->m_Claims.find(Attempt);
  if (Found == m_Impl->m_Claims.end() || !detail::advance(Found->second.m_Lifecycle, Answered{}))
    return {};
  Found->second.m_Answer = Answer;
  Found->second.m_RepeatAt = Now;
  return {};
}

ClaimActions ClaimManager::notSent(TimePoint Now, const AttemptId &Attempt) {
  const Impl::Claims::iterator Found = m_Impl->m_Claims.find(Attempt);
  if (Found != m_Impl->m_Claims.end() && Found->second.phase() == Phase::Running) {
    Found->second.m_Lifecycle.process_event(GiveUp{});
    Found->second.m_RepeatAt = Now;
  }
  return {};
}

void ClaimManager::lost(const AttemptId &Attempt) {
  const Impl::Claims::iterator Found = m_Impl->m_Claims.find(Attempt);
  if (Found != m_Impl->m_Claims.end() && Found->second.phase() == Phase::Running)
    m_Impl->m_Claims.erase(Found);
}

ClaimActions ClaimManager::tick(TimePoint Now) { return m_Impl->tick(Now); }

ClaimActions ClaimManager::committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome) {
  ClaimActions Actions;
  const auto Batch = m_Impl->m_Commits.find(Token);
  if (Batch == m_Impl->m_Commits.end())
    return Actions;
  const std::vector<AttemptId> Attempts = std::move(Batch->second);
  m_Impl->m_Commits.erase(Batch);
  for (std::size_t Place = 0; Place < Attempts.size(); ++Place) {
    const Impl::Claims::iterator Found = m_Impl->m_Claims.find(Attempts[Place]);
    if (Found == m_Impl->m_Claims.end())
      continue;
    Claim &Of = Found->second;
    if (Of.phase() == Phase::Inserting || Of.phase() == Phase::TakingOver) {
      m_Impl->insertOutcome(Now, Of, Place, Outcome, Actions);
    } else if ((Of.phase() == Phase::Finishing || Of.phase() == Phase::Releasing) && Of.m_Busy) {
      Of.m_Busy = false;
      Of.m_RepeatAt = Outcome ? Now : Now + m_Impl->m_Settings.m_Repeat;
      if (Outcome && Outcome->m_Committed && Outcome->m_Written.at(Place))
        m_Impl->close(Of);
    }
  }
  return m_Impl->finish(std::move(Actions));
}

ClaimActions ClaimManager::rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome) {
  ClaimActions Actions;
  const auto Read = m_Impl->m_Reads.find(Token);
  if (Read == m_Impl->m_Reads.end())
    return Actions;
  const Impl::Claims::iterator Found = m_Impl->m_Claims.find(Read->second);
  m_Impl->m_Reads.erase(Read);
  if (Found == m_Impl->m_Claims.end())
    return Actions;
  Claim &Of = Found->second;
  if (Of.phase() == Phase::Reading) {
    if (!Outcome) {
      m_Impl->refuse(Now, Of, Outcome.error().m_Detail, Actions);
    } else if (*Outcome) {
      m_Impl->examine(Now, Of, **Outcome, Actions);
    } else {
      Of.m_Lifecycle.process_event(FoundAbsent{});
      Of.m_QueuedAt = Now;
      m_Impl->m_Queue.push_back(Of.m_Request.m_Attempt);
    }
  } else if (Of.phase() == Phase::Releasing && Of.m_Busy) {
    if (Outcome) {
      m_Impl->releaseStep(Now, Of, *Outcome, Actions);
    } else {
      Of.m_Busy = false;
      Of.m_RepeatAt = Now + m_Impl->m_Settings.m_Repeat;
    }
  }
  return m_Impl->finish(std::move(Actions));
}

std::size_t ClaimManager::size() const { return m_Impl->m_Claims.size(); }

std::size_t ClaimManager::pendingReleases() const {
  return static_cast<std::size_t>(std::count_if(m_Impl->m_Claims.begin(), m_Impl->m_Claims.end(),
                                                [](const std::pair<const AttemptId, Claim> &Entry) {
                                                  return Entry.second.phase() == Phase::Releasing;
                                                }));
}

} // namespace bulrushpitch
