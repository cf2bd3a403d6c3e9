#include "bulrushpitch/protocol/charge_ledger.h"

#include "detail/json_row.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

using nlohmann::json;

/// How long a daemon that did not answer is passed over when a backup daemon is chosen.
constexpr Duration PassOver = std::chrono::seconds(5);
/// Between repeats of DropCharges.
constexpr Duration RepeatDrop = std::chrono::seconds(1);

bool isGone(const CopyHolder &Holder, const CopyHolder &Gone) {
  return Holder.m_Instance == Gone.m_Instance && Holder.m_Incarnation <= Gone.m_Incarnation;
}

} // namespace

std::string chargeKey(const TeamId &Team, const RequestId &Request) {
  return "charge/" + Team.value() + "/" + Request.value();
}

std::string encodeCharge(const Charge &Value) {
  return json{{"team", Value.m_Team.value()},
              {"request", Value.m_Request.value()},
              {"attempt", Value.m_Attempt.value()},
              {"target", Value.m_Target},
              {"microcents", Value.m_Amount.value()},
              {"prompt", Value.m_Prompt.value()},
              {"completion", Value.m_Completion.value()},
              {"at", Value.m_At}}
      .dump();
}

Expected<Charge> decodeCharge(const std::string &Value) {
  return detail::decodeRow(Value, "charge row", [](const json &From) {
    return Charge{TeamId(From.at("team").get<std::string>()),
                  RequestId(From.at("request").get<std::string>()),
                  AttemptId(From.at("attempt").get<std::string>()),
                  From.at("target").get<std::string>(),
                  MicroCents(From.at("microcents").get<std::int64_t>()),
                  Tokens(From.at("prompt").get<std::uint64_t>()),
                  Tokens(From.at("completion").get<std::uint64_t>()),
                  From.at("at").get<std::int64_t>()};
  });
}

ChargeLedger::ChargeLedger(CopyHolder Self, BackupHook Backup, ChargeSettings Settings)
    : m_Self(std::move(Self)), m_Backup(std::move(Backup)), m_Settings(Settings) {}

std::optional<CopyHolder> ChargeLedger::chooseBackup(TimePoint Now) const {
  std::vector<InstanceId> Excluded;
  for (const std::pair<const InstanceId, TimePoint> &Entry : m_Unanswered)
    if (Now - Entry.second < PassOver)
      Excluded.push_back(Entry.first);
  return m_Backup(Excluded);
}

std::optional<Error> ChargeLedger::refusal(TimePoint Now) const {
  if (m_Own.size() >= m_Settings.m_MaxWaiting)
    return Error{ErrorCode::ChargesFull, "accept work", "", Ran::No,
                 std::to_string(m_Own.size()) + " charges wait for the store"};
  if (!m_StoreUp && !chooseBackup(Now))
    return Error{ErrorCode::ChargeNotKept, "accept work", "table service", Ran::No,
                 "the store is down and no backup daemon answers"};
  return std::nullopt;
}

ChargeActions ChargeLedger::add(TimePoint, const Charge &Added) {
  own(Added);
  Own &Of = m_Own.at(chargeKey(Added.m_Team, Added.m_Request));
  Of.m_Waiting.push_back(Added.m_Attempt);
  ChargeActions Actions;
  if (Of.m_Safe)
    release(Of, Actions);
  return Actions;
}

void ChargeLedger::own(const Charge &Added) {
  const std::string Key = chargeKey(Added.m_Team, Added.m_Request);
  if (m_Own.emplace(Key, Own{Added, std::nullopt, false, {}}).second)
    m_ToCopy.insert(Key);
}

void ChargeLedger::release(Own &Safe, ChargeActions &Actions) {
  Safe.m_Safe = true;
  for (const AttemptId &Attempt : Safe.m_Waiting)
    Actions.emplace_back(ReleaseEnd{chargeKey(Safe.m_Charge.m_Team, Safe.m_Charge.m_Request), Attempt});
  Safe.m_Waiting.clear();
}

ChargeActions ChargeLedger::tick(TimePoint Now, std::size_t Live) {
  ChargeActions Actions;
  sendCopies(Now, Actions);
  repeatDrops(Now, Actions);
  if (!m_NextFlush)
    m_NextFlush = Now + flushInterval(Live);
  if (Now >= *m_NextFlush && m_Flush.empty()) {
    m_NextFlush = Now + flushInterval(Live);
    adoptForgotten(Now);
    flush(Actions);
  }
  return Actions;
}

void ChargeLedger::sendCopies(TimePoint Now, ChargeActions &Actions) {
  while (!m_ToCopy.empty()) {
    const std::optional<CopyHolder> To = chooseBackup(Now);
    if (!To)
      return;
    const std::uint64_t Token = m_NextToken++;
    HoldCharges Hold{Token, *To, {}};
    Batch &Sent = m_Copies[Token];
    Sent.m_To = *To;
    while (!m_ToCopy.empty() && Sent.m_Keys.size() < m_Settings.m_BatchRows) {
      Sent.m_Keys.push_back(*m_ToCopy.begin());
      Hold.m_Charges.push_back(m_Own.at(*m_ToCopy.begin()).m_Charge);
      m_ToCopy.erase(m_ToCopy.begin());
    }
    Actions.emplace_back(std::move(Hold));
  }
}

/// The owner may never say that a copy can be dropped: its HoldCharges timed out although it arrived, or this
/// daemon was suspected for a while. Writing the charge once more is harmless, a copy kept for ever is not.
void ChargeLedger::adoptForgotten(TimePoint Now) {
  // While the store is taken to be down, a single charge shows when it is back.
  const std::size_t Most = m_StoreUp ? m_Settings.m_BatchRows : 1;
  for (auto Entry = m_Held.begin(); Entry != m_Held.end() && m_Own.size() < Most;) {
    if (Now - Entry->second.m_Since < m_Settings.m_HoldLimit) {
      ++Entry;
      continue;
    }
    own(Entry->second.m_Charge);
    Entry = m_Held.erase(Entry);
  }
}

void ChargeLedger::flush(ChargeActions &Actions) {
  if (m_Own.empty())
    return;
  CommitRows Commit{m_NextToken++, {}};
  std::vector<std::string> &Keys = m_Flush[Commit.m_Token];
  for (const std::pair<const std::string, Own> &Entry : m_Own) {
    if (Keys.size() >= m_Settings.m_BatchRows)
      break;
    Keys.push_back(Entry.first);
    Commit.m_Writes.push_back(
        TableWrite{Entry.first, encodeCharge(Entry.second.m_Charge), TableCondition::SkipIfSet, 0});
  }
  Actions.emplace_back(std::move(Commit));
}

ChargeActions ChargeLedger::committed(TimePoint, std::uint64_t Token, const CommitResult &Outcome) {
  ChargeActions Actions;
  const auto Found = m_Flush.find(Token);
  if (Found == m_Flush.end())
    return Actions;
  const std::vector<std::string> Keys = std::move(Found->second);
  m_Flush.erase(Found);
  // After a lost answer the same rows are simply written again: those that are set are passed over.
  m_StoreUp = Outcome && Outcome->m_Committed;
  if (m_StoreUp)
    stored(Keys, Actions);
  return Actions;
}

void ChargeLedger::stored(const std::vector<std::string> &Keys, ChargeActions &Actions) {
  std::map<CopyHolder, std::vector<std::string>> Copies;
  for (const std::string &Key : Keys) {
    const auto Found = m_Own.find(Key);
    if (Found == m_Own.end())
      continue;
    release(Found->second, Actions);
    if (Found->second.m_Copy)
      Copies[*Found->second.m_Copy].push_back(Key);
    m_ToCopy.erase(Key);
    m_Own.erase(Found);
  }
  for (std::pair<const CopyHolder, std::vector<std::string>> &Entry : Copies)
    sendDrop(Entry.first, std::move(Entry.second), Actions);
}

void ChargeLedger::sendDrop(const CopyHolder &To, std::vector<std::string> Keys, ChargeActions &Actions) {
  const std::uint64_t Token = m_NextToken++;
  Actions.emplace_back(DropCharges{Token, To, Keys});
  m_Drops[Token] = Batch{To, std::move(Keys), std::nullopt};
}

void ChargeLedger::repeatDrops(TimePoint Now, ChargeActions &Actions) {
  std::vector<Batch> Due;
  for (auto Entry = m_Drops.begin(); Entry != m_Drops.end();) {
    if (!Entry->second.m_RepeatAt || Now < *Entry->second.m_RepeatAt) {
      ++Entry;
      continue;
    }
    Due.push_back(std::move(Entry->second));
    Entry = m_Drops.erase(Entry);
  }
  for (Batch &Again : Due)
    sendDrop(Again.m_To, std::move(Again.m_Keys), Actions);
}

void ChargeLedger::dropAnswered(TimePoint Now, std::uint64_t Token, bool Answered) {
  const auto Found = m_Drops.find(Token);
  if (Found == m_Drops.end())
    return;
  if (Answered)
    m_Drops.erase(Found);
  else
    Found->second.m_RepeatAt = Now + RepeatDrop;
}

ChargeActions ChargeLedger::heldBy(TimePoint Now, std::uint64_t Token, bool IsHeld) {
  ChargeActions Actions;
  const auto Found = m_Copies.find(Token);
  if (Found == m_Copies.end())
    return Actions;
  const Batch Sent = std::move(Found->second);
  m_Copies.erase(Found);
  std::vector<std::string> Stored;
  for (const std::string &Key : Sent.m_Keys) {
    const auto Entry = m_Own.find(Key);
    if (Entry == m_Own.end()) {
      Stored.push_back(Key);
    } else if (IsHeld) {
      Entry->second.m_Copy = Sent.m_To;
      release(Entry->second, Actions);
    } else {
      m_ToCopy.insert(Key);
    }
  }
  // Without an answer the copies may be held all the same; the message to drop them is repeated until
  // answered.
  if (!Stored.empty())
    sendDrop(Sent.m_To, std::move(Stored), Actions);
  if (IsHeld)
    m_Unanswered.erase(Sent.m_To.m_Instance);
  else
    m_Unanswered[Sent.m_To.m_Instance] = Now;
  return Actions;
}

ChargeActions ChargeLedger::memberGone(TimePoint Now, const CopyHolder &Gone) {
  for (std::pair<const std::string, Own> &Entry : m_Own)
    if (Entry.second.m_Copy && isGone(*Entry.second.m_Copy, Gone)) {
      Entry.second.m_Copy.reset();
      m_ToCopy.insert(Entry.first);
    }
  for (auto Entry = m_Copies.begin(); Entry != m_Copies.end();) {
    if (!isGone(Entry->second.m_To, Gone)) {
      ++Entry;
      continue;
    }
    for (const std::string &Key : Entry->second.m_Keys)
      if (m_Own.count(Key) != 0)
        m_ToCopy.insert(Key);
    Entry = m_Copies.erase(Entry);
  }
  std::erase_if(m_Drops, [&](const std::pair<const std::uint64_t, Batch> &Entry) {
    return isGone(Entry.second.m_To, Gone);
  });
  for (auto Entry = m_Held.begin(); Entry != m_Held.end();) {
    if (!isGone(Entry->second.m_Owner, Gone)) {
      ++Entry;
      continue;
    }
    own(Entry->second.m_Charge);
    Entry = m_Held.erase(Entry);
  }
  ChargeActions Actions;
  sendCopies(Now, Actions);
  return Actions;
}

ChargeActions ChargeLedger::handOver(TimePoint Now) {
  m_NextFlush = Now;
  return tick(Now, 1);
}

bool ChargeLedger::hold(TimePoint Now, const CopyHolder &Owner, const std::vector<Charge> &Charges) {
  if (m_Held.size() + Charges.size() > m_Settings.m_MaxWaiting)
    return false;
  for (const Charge &One : Charges)
    m_Held.insert_or_assign(chargeKey(One.m_Team, One.m_Request), Held{One, Owner, Now});
  return true;
}

ChargeActions ChargeLedger::drop(TimePoint, const std::vector<std::string> &Keys) {
  ChargeActions Actions;
  for (const std::string &Key : Keys)
    m_Held.erase(Key);
  // Charges that were taken over from an owner that was only suspected: it has written them after all.
  stored(Keys, Actions);
  return Actions;
}

std::size_t ChargeLedger::unsafe() const {
  return static_cast<std::size_t>(
      std::count_if(m_Own.begin(), m_Own.end(),
                    [](const std::pair<const std::string, Own> &Entry) { return !Entry.second.m_Copy; }));
}

Duration ChargeLedger::flushInterval(std::size_t Live) const {
  const Duration Shared = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Live) / m_Settings.m_FlushesPerSecond));
  return std::max(m_Settings.m_MinFlush, Shared);
}

} // namespace bulrushpitch
