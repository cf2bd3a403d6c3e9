#include "bulrushpitch/protocol/charge_ledger.h"

#include "detail/json_row.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

using nlohmann::json;

/// Period during which a daemon that did not accept copies is excluded from the choice of a backup daemon.
constexpr Duration UnresponsiveExclusion = std::chrono::seconds(5);
/// Interval between repeats of an unanswered DropCharges.
constexpr Duration DropRetryInterval = std::chrono::seconds(1);

bool isLost(const CopyHolder &Holder, const CopyHolder &Lost) {
  return Holder.m_Instance == Lost.m_Instance && Holder.m_Incarnation <= Lost.m_Incarnation;
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
              {"prompt", Value.m_PromptTokens.value()},
              {"completion", Value.m_CompletionTokens.value()},
              {"at", Value.m_CompletedAt}}
      .dump();
}

Expected<Charge> decodeCharge(const std::string &Value) {
  return detail::decodeRow(Value, "charge row", [](const json &Object) {
    return Charge{TeamId(Object.at("team").get<std::string>()),
                  RequestId(Object.at("request").get<std::string>()),
                  AttemptId(Object.at("attempt").get<std::string>()),
                  Object.at("target").get<std::string>(),
                  MicroCents(Object.at("microcents").get<std::int64_t>()),
                  Tokens(Object.at("prompt").get<std::uint64_t>()),
                  Tokens(Object.at("completion").get<std::uint64_t>()),
                  Object.at("at").get<std::int64_t>()};
  });
}

ChargeLedger::ChargeLedger(CopyHolder Self, BackupHook Backup, ChargeSettings Settings)
    : m_Self(std::move(Self)), m_Backup(std::move(Backup)), m_Settings(Settings) {}

std::optional<CopyHolder> ChargeLedger::chooseBackup(TimePoint Now) const {
  std::vector<InstanceId> Excluded;
  for (const std::pair<const InstanceId, TimePoint> &Entry : m_LastFailedHolds)
    if (Now - Entry.second < UnresponsiveExclusion)
      Excluded.push_back(Entry.first);
  return m_Backup(Excluded);
}

std::optional<Error> ChargeLedger::rejectionReason(TimePoint Now) const {
  if (m_OwnCharges.size() >= m_Settings.m_MaxCharges)
    return Error{ErrorCode::ChargesFull, "accept work", "", Ran::No,
                 std::to_string(m_OwnCharges.size()) + " charges are not yet written to the table service"};
  if (!m_StoreUp && !chooseBackup(Now))
    return Error{ErrorCode::ChargeNotKept, "accept work", "table service", Ran::No,
                 "the table service is unreachable and there is no backup daemon"};
  return std::nullopt;
}

ChargeActions ChargeLedger::addCharge(TimePoint, const Charge &NewCharge) {
  addOwnCharge(NewCharge);
  OwnCharge &Current = m_OwnCharges.at(chargeKey(NewCharge.m_Team, NewCharge.m_Request));
  Current.m_UnreleasedAttempts.push_back(NewCharge.m_Attempt);
  ChargeActions Actions;
  if (Current.m_Replicated)
    release(Current, Actions);
  return Actions;
}

void ChargeLedger::addOwnCharge(const Charge &NewCharge) {
  const std::string Key = chargeKey(NewCharge.m_Team, NewCharge.m_Request);
  if (m_OwnCharges.emplace(Key, OwnCharge{NewCharge, std::nullopt, false, {}}).second)
    m_KeysToCopy.insert(Key);
}

void ChargeLedger::release(OwnCharge &Replicated, ChargeActions &Actions) {
  Replicated.m_Replicated = true;
  for (const AttemptId &Attempt : Replicated.m_UnreleasedAttempts)
    Actions.emplace_back(
        ReleaseResponseEnd{chargeKey(Replicated.m_Charge.m_Team, Replicated.m_Charge.m_Request), Attempt});
  Replicated.m_UnreleasedAttempts.clear();
}

ChargeActions ChargeLedger::tick(TimePoint Now, std::size_t Live) {
  ChargeActions Actions;
  sendCopies(Now, Actions);
  resendDrops(Now, Actions);
  if (!m_NextFlush)
    m_NextFlush = Now + flushInterval(Live);
  if (Now >= *m_NextFlush && m_PendingCommit.empty()) {
    m_NextFlush = Now + flushInterval(Live);
    adoptExpiredCopies(Now);
    flush(Actions);
  }
  return Actions;
}

void ChargeLedger::sendCopies(TimePoint Now, ChargeActions &Actions) {
  while (!m_KeysToCopy.empty()) {
    const std::optional<CopyHolder> To = chooseBackup(Now);
    if (!To)
      return;
    const std::uint64_t Token = m_NextToken++;
    HoldCharges Hold{Token, *To, {}};
    PendingMessage &Sent = m_PendingHolds[Token];
    Sent.m_Receiver = *To;
    while (!m_KeysToCopy.empty() && Sent.m_Keys.size() < m_Settings.m_BatchRows) {
      Sent.m_Keys.push_back(*m_KeysToCopy.begin());
      Hold.m_Charges.push_back(m_OwnCharges.at(*m_KeysToCopy.begin()).m_Charge);
      m_KeysToCopy.erase(m_KeysToCopy.begin());
    }
    Actions.emplace_back(std::move(Hold));
  }
}

/// Takes over copies older than m_MaxCopyAge. Their owner may never send DropCharges: its HoldCharges timed
/// out although it arrived, or it suspected this daemon for some time. Writing a charge twice is harmless,
/// since set rows are skipped, but a copy that is never dropped would leak.
void ChargeLedger::adoptExpiredCopies(TimePoint Now) {
  // While the store is considered down, a single charge is enough to detect that it is up again.
  const std::size_t MaxOwnCharges = m_StoreUp ? m_Settings.m_BatchRows : 1;
  for (auto Entry = m_HeldCopies.begin();
       Entry != m_HeldCopies.end() && m_OwnCharges.size() < MaxOwnCharges;) {
    if (Now - Entry->second.m_Since < m_Settings.m_MaxCopyAge) {
      ++Entry;
      continue;
    }
    addOwnCharge(Entry->second.m_Charge);
    Entry = m_HeldCopies.erase(Entry);
  }
}

void ChargeLedger::flush(ChargeActions &Actions) {
  if (m_OwnCharges.empty())
    return;
  CommitRows Commit{m_NextToken++, {}};
  std::vector<std::string> &Keys = m_PendingCommit[Commit.m_Token];
  for (const std::pair<const std::string, OwnCharge> &Entry : m_OwnCharges) {
    if (Keys.size() >= m_Settings.m_BatchRows)
      break;
    Keys.push_back(Entry.first);
    Commit.m_Writes.push_back(
        TableWrite{Entry.first, encodeCharge(Entry.second.m_Charge), TableCondition::SkipIfPresent, 0});
  }
  Actions.emplace_back(std::move(Commit));
}

ChargeActions ChargeLedger::committed(TimePoint, std::uint64_t Token, const CommitResult &Outcome) {
  ChargeActions Actions;
  const auto Found = m_PendingCommit.find(Token);
  if (Found == m_PendingCommit.end())
    return Actions;
  const std::vector<std::string> Keys = std::move(Found->second);
  m_PendingCommit.erase(Found);
  // After a lost response the same rows are written again; rows that are already set are skipped.
  m_StoreUp = Outcome && Outcome->m_Committed;
  if (m_StoreUp)
    removeStored(Keys, Actions);
  return Actions;
}

void ChargeLedger::removeStored(const std::vector<std::string> &Keys, ChargeActions &Actions) {
  std::map<CopyHolder, std::vector<std::string>> Copies;
  for (const std::string &Key : Keys) {
    const auto Found = m_OwnCharges.find(Key);
    if (Found == m_OwnCharges.end())
      continue;
    release(Found->second, Actions);
    if (Found->second.m_Copy)
      Copies[*Found->second.m_Copy].push_back(Key);
    m_KeysToCopy.erase(Key);
    m_OwnCharges.erase(Found);
  }
  for (std::pair<const CopyHolder, std::vector<std::string>> &Entry : Copies)
    sendDrop(Entry.first, std::move(Entry.second), Actions);
}

void ChargeLedger::sendDrop(const CopyHolder &To, std::vector<std::string> Keys, ChargeActions &Actions) {
  const std::uint64_t Token = m_NextToken++;
  Actions.emplace_back(DropCharges{Token, To, Keys});
  m_PendingDrops[Token] = PendingMessage{To, std::move(Keys), std::nullopt};
}

void ChargeLedger::resendDrops(TimePoint Now, ChargeActions &Actions) {
  std::vector<PendingMessage> Due;
  for (auto Entry = m_PendingDrops.begin(); Entry != m_PendingDrops.end();) {
    if (!Entry->second.m_RepeatAt || Now < *Entry->second.m_RepeatAt) {
      ++Entry;
      continue;
    }
    Due.push_back(std::move(Entry->second));
    Entry = m_PendingDrops.erase(Entry);
  }
  for (PendingMessage &Message : Due)
    sendDrop(Message.m_Receiver, std::move(Message.m_Keys), Actions);
}

void ChargeLedger::dropAnswered(TimePoint Now, std::uint64_t Token, bool Answered) {
  const auto Found = m_PendingDrops.find(Token);
  if (Found == m_PendingDrops.end())
    return;
  if (Answered)
    m_PendingDrops.erase(Found);
  else
    Found->second.m_RepeatAt = Now + DropRetryInterval;
}

ChargeActions ChargeLedger::holdAnswered(TimePoint Now, std::uint64_t Token, bool IsHeld) {
  ChargeActions Actions;
  const auto Found = m_PendingHolds.find(Token);
  if (Found == m_PendingHolds.end())
    return Actions;
  const PendingMessage Sent = std::move(Found->second);
  m_PendingHolds.erase(Found);
  std::vector<std::string> StoredKeys;
  for (const std::string &Key : Sent.m_Keys) {
    const auto Entry = m_OwnCharges.find(Key);
    if (Entry == m_OwnCharges.end()) {
      StoredKeys.push_back(Key);
    } else if (IsHeld) {
      Entry->second.m_Copy = Sent.m_Receiver;
      release(Entry->second, Actions);
    } else {
      m_KeysToCopy.insert(Key);
    }
  }
  // Without a response the copies may still be held, so DropCharges is sent, and repeated until there is a
  // response.
  if (!StoredKeys.empty())
    sendDrop(Sent.m_Receiver, std::move(StoredKeys), Actions);
  if (IsHeld)
    m_LastFailedHolds.erase(Sent.m_Receiver.m_Instance);
  else
    m_LastFailedHolds[Sent.m_Receiver.m_Instance] = Now;
  return Actions;
}

ChargeActions ChargeLedger::memberLost(TimePoint Now, const CopyHolder &Lost) {
  for (std::pair<const std::string, OwnCharge> &Entry : m_OwnCharges)
    if (Entry.second.m_Copy && isLost(*Entry.second.m_Copy, Lost)) {
      Entry.second.m_Copy.reset();
      m_KeysToCopy.insert(Entry.first);
    }
  for (auto Entry = m_PendingHolds.begin(); Entry != m_PendingHolds.end();) {
    if (!isLost(Entry->second.m_Receiver, Lost)) {
      ++Entry;
      continue;
    }
    for (const std::string &Key : Entry->second.m_Keys)
      if (m_OwnCharges.count(Key) != 0)
        m_KeysToCopy.insert(Key);
    Entry = m_PendingHolds.erase(Entry);
  }
  std::erase_if(m_PendingDrops, [&](const std::pair<const std::uint64_t, PendingMessage> &Entry) {
    return isLost(Entry.second.m_Receiver, Lost);
  });
  for (auto Entry = m_HeldCopies.begin(); Entry != m_HeldCopies.end();) {
    if (!isLost(Entry->second.m_Owner, Lost)) {
      ++Entry;
      continue;
    }
    addOwnCharge(Entry->second.m_Charge);
    Entry = m_HeldCopies.erase(Entry);
  }
  ChargeActions Actions;
  sendCopies(Now, Actions);
  return Actions;
}

ChargeActions ChargeLedger::flushNow(TimePoint Now) {
  m_NextFlush = Now;
  return tick(Now, 1);
}

bool ChargeLedger::holdCopies(TimePoint Now, const CopyHolder &Owner, const std::vector<Charge> &Charges) {
  if (m_HeldCopies.size() + Charges.size() > m_Settings.m_MaxCharges)
    return false;
  for (const Charge &Copy : Charges)
    m_HeldCopies.insert_or_assign(chargeKey(Copy.m_Team, Copy.m_Request), HeldCopy{Copy, Owner, Now});
  return true;
}

ChargeActions ChargeLedger::dropCopies(TimePoint, const std::vector<std::string> &Keys) {
  ChargeActions Actions;
  for (const std::string &Key : Keys)
    m_HeldCopies.erase(Key);
  // The owner has written these charges itself if they were taken over because of a false suspicion.
  removeStored(Keys, Actions);
  return Actions;
}

std::size_t ChargeLedger::unreplicatedCount() const {
  return static_cast<std::size_t>(std::count_if(
      m_OwnCharges.begin(), m_OwnCharges.end(),
      [](const std::pair<const std::string, OwnCharge> &Entry) { return !Entry.second.m_Copy; }));
}

Duration ChargeLedger::flushInterval(std::size_t Live) const {
  const Duration SharedInterval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Live) / m_Settings.m_FlushesPerSecond));
  return std::max(m_Settings.m_MinFlushInterval, SharedInterval);
}

} // namespace bulrushpitch
