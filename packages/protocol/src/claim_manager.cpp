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
  Queued,     ///< Waiting for the next batch.
  Inserting,  ///< The batch is being committed.
  Reading,    ///< The response to the commit was lost; the row is being read.
  TakingOver, ///< A row released by another attempt is being taken over.
  Running,    ///< Decided as Proceed; the call is running.
  Finishing,  ///< The response of the upstream is being written.
  Releasing,  ///< The call was refused or not sent; the row is being released.
  Closed,
};

struct Send {};
struct Confirmed {};
struct FoundReleased {};
struct FoundAbsent {};
struct ResponseLost {};
struct StartRelease {};
struct ResponseReceived {};
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
            detail::Transition<Inserting, ResponseLost, Reading>,
            detail::Transition<Inserting, StartRelease, Releasing>,
            detail::Transition<Inserting, Close, Closed>, detail::Transition<TakingOver, Confirmed, Running>,
            detail::Transition<TakingOver, ResponseLost, Reading>,
            detail::Transition<TakingOver, StartRelease, Releasing>,
            detail::Transition<TakingOver, Close, Closed>, detail::Transition<Reading, Confirmed, Running>,
            detail::Transition<Reading, FoundReleased, TakingOver>,
            detail::Transition<Reading, FoundAbsent, Queued>,
            detail::Transition<Reading, StartRelease, Releasing>, detail::Transition<Reading, Close, Closed>,
            detail::Transition<Running, ResponseReceived, Finishing>,
            detail::Transition<Running, StartRelease, Releasing>,
            detail::Transition<Finishing, Close, Closed>, detail::Transition<Releasing, Close, Closed>> {};
};

struct ActiveClaim {
  explicit ActiveClaim(ClaimRequest Request) : m_Request(std::move(Request)) { m_Lifecycle.start(); }
  Phase phase() const { return m_Lifecycle.m_State; }
  std::string key() const { return claimKey(m_Request.m_Team, m_Request.m_Request); }
  std::string encode(ClaimState State) const {
    return encodeClaim(ClaimRow{State, m_Request.m_Attempt, m_Request.m_Upstream, m_Response});
  }

  ClaimRequest m_Request;
  boost::msm::back::state_machine<ClaimLifecycle> m_Lifecycle;
  TimePoint m_QueuedAt;
  bool m_InsertSent = false; ///< An insert or takeover of this attempt may be in progress.
  bool m_TakeoverSent = false;
  bool m_RequestPending = false; ///< A read or write of Finishing or Releasing is in progress.
  TimePoint m_RetryAt;           ///< Earliest time of the next read or write of Finishing or Releasing.
  std::string m_Response;
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
              {"answer", Row.m_Response}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Expected<ClaimRow> decodeClaim(const std::string &Value) {
  return detail::decodeRow(Value, "claim row", [](const json &Object) {
    const std::string State = Object.at("state").get<std::string>();
    ClaimRow Row{ClaimState::Dispatched, AttemptId(Object.at("attempt").get<std::string>()),
                 UpstreamId(Object.at("upstream").get<std::string>()),
                 Object.at("answer").get<std::string>()};
    if (State == "done")
      Row.m_State = ClaimState::Done;
    else if (State == "released")
      Row.m_State = ClaimState::Released;
    return Row;
  });
}

struct ClaimManager::Impl {
  using ClaimMap = std::map<AttemptId, ActiveClaim>;

  ClaimActions tick(TimePoint Now);
  void flushInserts(TimePoint Now, ClaimActions &Actions);
  void flushResponses(TimePoint Now, ClaimActions &Actions);
  void read(ActiveClaim &Claim, ClaimActions &Actions);
  void handleRow(TimePoint Now, ActiveClaim &Claim, const TableRow &Row, ClaimActions &Actions);
  void handleOtherAttempt(ActiveClaim &Claim, const TableRow &Row, const ClaimRow &Other,
                          ClaimActions &Actions);
  void proceed(TimePoint Now, ActiveClaim &Claim, ClaimActions &Actions);
  void decide(ActiveClaim &Claim, ClaimVerdict Verdict, const std::string &Response, ClaimActions &Actions);
  void refuse(TimePoint Now, ActiveClaim &Claim, const std::string &Detail, ClaimActions &Actions);
  void handleInsertOutcome(TimePoint Now, ActiveClaim &Claim, std::size_t RowIndex,
                           const CommitResult &Outcome, ClaimActions &Actions);
  void continueRelease(TimePoint Now, ActiveClaim &Claim, const std::optional<TableRow> &Row,
                       ClaimActions &Actions);
  void close(ActiveClaim &Claim) {
    Claim.m_Lifecycle.process_event(Close{});
    m_Closed.push_back(Claim.m_Request.m_Attempt);
  }
  /// Erases closed claims. This is done only here, so that references stay valid while an event is handled.
  ClaimActions eraseClosed(ClaimActions Actions) {
    for (const AttemptId &Attempt : m_Closed)
      m_Claims.erase(Attempt);
    m_Closed.clear();
    return Actions;
  }

  ClaimSettings m_Settings;
  ClaimMap m_Claims;
  std::deque<AttemptId> m_Queue; ///< Attempts whose rows are to be inserted.
  std::vector<AttemptId> m_Closed;
  /// Attempts by commit token, in the order of the rows.
  std::map<std::uint64_t, std::vector<AttemptId>> m_PendingCommits;
  std::map<std::uint64_t, AttemptId> m_PendingReads;
  std::uint64_t m_NextToken = 1;
};

ClaimActions ClaimManager::Impl::tick(TimePoint Now) {
  ClaimActions Actions;
  for (std::pair<const AttemptId, ActiveClaim> &Entry : m_Claims) {
    ActiveClaim &Claim = Entry.second;
    const bool IsUndecided = Claim.phase() == Phase::Queued || Claim.phase() == Phase::Inserting ||
                             Claim.phase() == Phase::Reading || Claim.phase() == Phase::TakingOver;
    if (IsUndecided && Now > Claim.m_Request.m_Deadline)
      refuse(Now, Claim, "the store did not confirm the claim before the deadline", Actions);
    if (Claim.phase() == Phase::Releasing && !Claim.m_RequestPending && Now >= Claim.m_RetryAt) {
      Claim.m_RequestPending = true;
      read(Claim, Actions);
    }
  }
  flushInserts(Now, Actions);
  flushResponses(Now, Actions);
  return eraseClosed(std::move(Actions));
}

void ClaimManager::Impl::flushInserts(TimePoint Now, ClaimActions &Actions) {
  std::erase_if(m_Queue, [&](const AttemptId &Attempt) {
    const ClaimMap::iterator Found = m_Claims.find(Attempt);
    return Found == m_Claims.end() || Found->second.phase() != Phase::Queued;
  });
  while (!m_Queue.empty()) {
    const bool IsDue = m_Queue.size() >= m_Settings.m_BatchRows ||
                       Now - m_Claims.at(m_Queue.front()).m_QueuedAt >= m_Settings.m_BatchDelay;
    if (!IsDue)
      return;
    CommitRows Batch{m_NextToken++, {}};
    std::vector<AttemptId> &Attempts = m_PendingCommits[Batch.m_Token];
    std::set<std::string> Keys;
    std::deque<AttemptId> Deferred;
    for (const AttemptId &Attempt : m_Queue) {
      ActiveClaim &Claim = m_Claims.at(Attempt);
      // Two attempts of one request go into separate batches: the second one must see the row of the first.
      if (Attempts.size() >= m_Settings.m_BatchRows || !Keys.insert(Claim.key()).second) {
        Deferred.push_back(Attempt);
        continue;
      }
      Claim.m_Lifecycle.process_event(Send{});
      Claim.m_InsertSent = true;
      Attempts.push_back(Attempt);
      Batch.m_Writes.push_back(
          TableWrite{Claim.key(), Claim.encode(ClaimState::Dispatched), TableCondition::SkipIfPresent, 0});
    }
    m_Queue = std::move(Deferred);
    Actions.emplace_back(std::move(Batch));
  }
}

/// Writes the responses. The write needs no condition, because no other attempt writes the row of a running
/// claim.
void ClaimManager::Impl::flushResponses(TimePoint Now, ClaimActions &Actions) {
  CommitRows Batch;
  std::vector<AttemptId> Attempts;
  for (std::pair<const AttemptId, ActiveClaim> &Entry : m_Claims) {
    ActiveClaim &Claim = Entry.second;
    if (Claim.phase() != Phase::Finishing || Claim.m_RequestPending || Now < Claim.m_RetryAt ||
        Attempts.size() >= m_Settings.m_BatchRows)
      continue;
    Claim.m_RequestPending = true;
    Attempts.push_back(Entry.first);
    Batch.m_Writes.push_back(TableWrite{Claim.key(), Claim.encode(ClaimState::Done), TableCondition::Any, 0});
  }
  if (Attempts.empty())
    return;
  Batch.m_Token = m_NextToken++;
  m_PendingCommits[Batch.m_Token] = std::move(Attempts);
  Actions.emplace_back(std::move(Batch));
}

void ClaimManager::Impl::read(ActiveClaim &Claim, ClaimActions &Actions) {
  const std::uint64_t Token = m_NextToken++;
  m_PendingReads.emplace(Token, Claim.m_Request.m_Attempt);
  Actions.emplace_back(ReadRow{Token, Claim.key()});
}

void ClaimManager::Impl::decide(ActiveClaim &Claim, ClaimVerdict Verdict, const std::string &Response,
                                ClaimActions &Actions) {
  ClaimDecision Decision{Claim.m_Request.m_Attempt, Verdict, Response, std::nullopt};
  if (Verdict == ClaimVerdict::Unknown)
    Decision.m_Error =
        Error{ErrorCode::ClaimOutcomeUnknown, "claim request", "table service", Ran::Unknown,
              "another attempt of this request was dispatched and its outcome is not recorded"};
  Actions.emplace_back(std::move(Decision));
}

void ClaimManager::Impl::refuse(TimePoint Now, ActiveClaim &Claim, const std::string &Detail,
                                ClaimActions &Actions) {
  Actions.emplace_back(
      ClaimDecision{Claim.m_Request.m_Attempt, ClaimVerdict::Refused, "",
                    Error{ErrorCode::ClaimUnavailable, "claim request", "table service", Ran::No, Detail}});
  Claim.m_RetryAt = Now;
  // A claim that was queued again after a lost response may still have an insert in progress.
  if (Claim.phase() == Phase::Queued && Claim.m_InsertSent)
    Claim.m_Lifecycle.process_event(Send{});
  if (!Claim.m_InsertSent || !detail::processEvent(Claim.m_Lifecycle, StartRelease{}))
    close(Claim);
}

void ClaimManager::Impl::proceed(TimePoint Now, ActiveClaim &Claim, ClaimActions &Actions) {
  if (Now > Claim.m_Request.m_Deadline) {
    refuse(Now, Claim, "the store confirmed the claim after the deadline", Actions);
    return;
  }
  if (detail::processEvent(Claim.m_Lifecycle, Confirmed{}))
    decide(Claim, ClaimVerdict::Proceed, "", Actions);
}

void ClaimManager::Impl::handleRow(TimePoint Now, ActiveClaim &Claim, const TableRow &Row,
                                   ClaimActions &Actions) {
  const Expected<ClaimRow> Found = decodeClaim(Row.m_Value);
  if (!Found)
    refuse(Now, Claim, Found.error().m_Detail, Actions);
  else if (Found->m_Attempt != Claim.m_Request.m_Attempt)
    handleOtherAttempt(Claim, Row, *Found, Actions);
  else
    proceed(Now, Claim, Actions);
}

void ClaimManager::Impl::handleOtherAttempt(ActiveClaim &Claim, const TableRow &Row, const ClaimRow &Other,
                                            ClaimActions &Actions) {
  if (Other.m_State == ClaimState::Released) {
    if (Claim.phase() != Phase::TakingOver && !detail::processEvent(Claim.m_Lifecycle, FoundReleased{}))
      return;
    Claim.m_TakeoverSent = true;
    const std::uint64_t Token = m_NextToken++;
    m_PendingCommits[Token] = {Claim.m_Request.m_Attempt};
    Actions.emplace_back(CommitRows{Token,
                                    {TableWrite{Claim.key(), Claim.encode(ClaimState::Dispatched),
                                                TableCondition::Version, Row.m_RowVersion}}});
    return;
  }
  const bool IsDone = Other.m_State == ClaimState::Done;
  decide(Claim, IsDone ? ClaimVerdict::Stored : ClaimVerdict::Unknown, Other.m_Response, Actions);
  close(Claim);
}

void ClaimManager::Impl::handleInsertOutcome(TimePoint Now, ActiveClaim &Claim, std::size_t RowIndex,
                                             const CommitResult &Outcome, ClaimActions &Actions) {
  if (!Outcome) {
    if (Outcome.error().m_Ran == Ran::No && !Claim.m_TakeoverSent) {
      refuse(Now, Claim, Outcome.error().m_Detail, Actions);
      return;
    }
    Claim.m_Lifecycle.process_event(ResponseLost{});
    read(Claim, Actions);
    return;
  }
  if (Outcome->m_Written.at(RowIndex))
    proceed(Now, Claim, Actions);
  else
    handleRow(Now, Claim, Outcome->m_Rows.at(RowIndex), Actions);
}

/// Releases the row of a call that was refused or not sent. Each case also prevents a write of this attempt
/// that may still be in progress from taking effect: it will find the row set, or its version changed.
void ClaimManager::Impl::continueRelease(TimePoint, ActiveClaim &Claim, const std::optional<TableRow> &Row,
                                         ClaimActions &Actions) {
  TableWrite Write{Claim.key(), Claim.encode(ClaimState::Released), TableCondition::SkipIfPresent, 0};
  if (Row) {
    const Expected<ClaimRow> Found = decodeClaim(Row->m_Value);
    const bool IsOwnRow = Found && Found->m_Attempt == Claim.m_Request.m_Attempt;
    const bool MustRelease = IsOwnRow && Found->m_State == ClaimState::Dispatched;
    const bool MustBlockTakeover =
        Found && !IsOwnRow && Found->m_State == ClaimState::Released && Claim.m_TakeoverSent;
    if (!MustRelease && !MustBlockTakeover) {
      close(Claim);
      return;
    }
    Write.m_Condition = TableCondition::Version;
    Write.m_ExpectedVersion = Row->m_RowVersion;
  }
  const std::uint64_t Token = m_NextToken++;
  m_PendingCommits[Token] = {Claim.m_Request.m_Attempt};
  Actions.emplace_back(CommitRows{Token, {std::move(Write)}});
}

ClaimManager::ClaimManager(ClaimSettings Settings) : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Settings = Settings;
}
ClaimManager::~ClaimManager() = default;
ClaimManager::ClaimManager(ClaimManager &&) noexcept = default;
ClaimManager &ClaimManager::operator=(ClaimManager &&) noexcept = default;

ClaimActions ClaimManager::begin(TimePoint Now, const ClaimRequest &Request) {
  const auto [Entry, IsNew] = m_Impl->m_Claims.emplace(Request.m_Attempt, ActiveClaim(Request));
  if (!IsNew)
    return {};
  Entry->second.m_QueuedAt = Now;
  m_Impl->m_Queue.push_back(Request.m_Attempt);
  return m_Impl->m_Queue.size() >= m_Impl->m_Settings.m_BatchRows ? m_Impl->tick(Now) : ClaimActions();
}

ClaimActions ClaimManager::completed(TimePoint Now, const AttemptId &Attempt, const std::string &Response) {
  const Impl::ClaimMap::iterator Found = m_Impl->m_Claims.find(Attempt);
  if (Found == m_Impl->m_Claims.end() || !detail::processEvent(Found->second.m_Lifecycle, ResponseReceived{}))
    return {};
  Found->second.m_Response = Response;
  Found->second.m_RetryAt = Now;
  return {};
}

ClaimActions ClaimManager::notSent(TimePoint Now, const AttemptId &Attempt) {
  const Impl::ClaimMap::iterator Found = m_Impl->m_Claims.find(Attempt);
  if (Found != m_Impl->m_Claims.end() && Found->second.phase() == Phase::Running) {
    Found->second.m_Lifecycle.process_event(StartRelease{});
    Found->second.m_RetryAt = Now;
  }
  return {};
}

void ClaimManager::responseLost(const AttemptId &Attempt) {
  const Impl::ClaimMap::iterator Found = m_Impl->m_Claims.find(Attempt);
  if (Found != m_Impl->m_Claims.end() && Found->second.phase() == Phase::Running)
    m_Impl->m_Claims.erase(Found);
}

ClaimActions ClaimManager::tick(TimePoint Now) { return m_Impl->tick(Now); }

ClaimActions ClaimManager::committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome) {
  ClaimActions Actions;
  const auto Batch = m_Impl->m_PendingCommits.find(Token);
  if (Batch == m_Impl->m_PendingCommits.end())
    return Actions;
  const std::vector<AttemptId> Attempts = std::move(Batch->second);
  m_Impl->m_PendingCommits.erase(Batch);
  for (std::size_t RowIndex = 0; RowIndex < Attempts.size(); ++RowIndex) {
    const Impl::ClaimMap::iterator Found = m_Impl->m_Claims.find(Attempts[RowIndex]);
    if (Found == m_Impl->m_Claims.end())
      continue;
    ActiveClaim &Claim = Found->second;
    if (Claim.phase() == Phase::Inserting || Claim.phase() == Phase::TakingOver) {
      m_Impl->handleInsertOutcome(Now, Claim, RowIndex, Outcome, Actions);
    } else if ((Claim.phase() == Phase::Finishing || Claim.phase() == Phase::Releasing) &&
               Claim.m_RequestPending) {
      Claim.m_RequestPending = false;
      Claim.m_RetryAt = Outcome ? Now : Now + m_Impl->m_Settings.m_RetryInterval;
      if (Outcome && Outcome->m_Committed && Outcome->m_Written.at(RowIndex))
        m_Impl->close(Claim);
    }
  }
  return m_Impl->eraseClosed(std::move(Actions));
}

ClaimActions ClaimManager::rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome) {
  ClaimActions Actions;
  const auto Read = m_Impl->m_PendingReads.find(Token);
  if (Read == m_Impl->m_PendingReads.end())
    return Actions;
  const Impl::ClaimMap::iterator Found = m_Impl->m_Claims.find(Read->second);
  m_Impl->m_PendingReads.erase(Read);
  if (Found == m_Impl->m_Claims.end())
    return Actions;
  ActiveClaim &Claim = Found->second;
  if (Claim.phase() == Phase::Reading) {
    if (!Outcome) {
      m_Impl->refuse(Now, Claim, Outcome.error().m_Detail, Actions);
    } else if (*Outcome) {
      m_Impl->handleRow(Now, Claim, **Outcome, Actions);
    } else {
      Claim.m_Lifecycle.process_event(FoundAbsent{});
      Claim.m_QueuedAt = Now;
      m_Impl->m_Queue.push_back(Claim.m_Request.m_Attempt);
    }
  } else if (Claim.phase() == Phase::Releasing && Claim.m_RequestPending) {
    if (Outcome) {
      m_Impl->continueRelease(Now, Claim, *Outcome, Actions);
    } else {
      Claim.m_RequestPending = false;
      Claim.m_RetryAt = Now + m_Impl->m_Settings.m_RetryInterval;
    }
  }
  return m_Impl->eraseClosed(std::move(Actions));
}

std::size_t ClaimManager::size() const { return m_Impl->m_Claims.size(); }

std::size_t ClaimManager::pendingReleases() const {
  return static_cast<std::size_t>(std::count_if(m_Impl->m_Claims.begin(), m_Impl->m_Claims.end(),
                                                [](const std::pair<const AttemptId, ActiveClaim> &Entry) {
                                                  return Entry.second.phase() == Phase::Releasing;
                                                }));
}

} // namespace bulrushpitch
