#include "prompt_evidence_exchange.h"

#include "outcome_log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration MinPublishInterval = std::chrono::milliseconds(500);
/// Part of the bound of 4 s in which requests with a deadly part have to stop.
constexpr Duration MaxPublishInterval = std::chrono::milliseconds(1000);
/// Each write is read by all daemons, so that the calls of one round grow with the square of their number.
constexpr Duration PublishIntervalPerDaemon = std::chrono::milliseconds(25);
/// Rank key of the order in which daemons clear parts of prompts.
constexpr std::string_view PartClearanceKey = "part clearance";

} // namespace

PromptEvidenceExchange::PromptEvidenceExchange(asio::io_context &Context, ControlStore &Store,
                                               GatewayState &State, EventLog &Log, ClockHook Clock)
    : m_Context(Context), m_Store(Store), m_State(State), m_Log(Log), m_Clock(std::move(Clock)) {}

void PromptEvidenceExchange::apply(const PromptEvidenceChanges &Changes) {
  m_WasRead = true;
  if (Changes.m_FullSnapshot)
    m_State.m_PromptQuarantine.onSnapshot(Changes.m_Updated, m_Clock());
  else
    m_State.m_PromptQuarantine.onEvidence(Changes.m_Updated, m_Clock());
}

void PromptEvidenceExchange::readAll() { spawn(m_Context, read(shared_from_this())); }

void PromptEvidenceExchange::onStoreRestored() {
  if (m_WasRead)
    m_State.m_PromptQuarantine.onStoreRestored(m_Clock());
}

void PromptEvidenceExchange::onTick() {
  m_State.m_PromptQuarantine.update(
      [this](const UpstreamIncarnation &Upstream, TimePoint After) {
        return m_State.m_Pool.fateSince(Upstream, After);
      },
      m_Clock());
  logQuarantineChanges();
  publish();
}

asio::awaitable<void> PromptEvidenceExchange::read(std::shared_ptr<PromptEvidenceExchange> Self) {
  const Expected<PromptEvidenceChanges> Read = co_await Self->m_Store.readPromptEvidence();
  logFailure(Self->m_Log, "crashes_not_read", Read);
  if (Read && !Self->m_State.m_StoreEras.isStale(Read->m_Era))
    Self->apply(*Read);
}

void PromptEvidenceExchange::logQuarantineChanges() {
  const std::map<PromptPartId, CrashBlame> &Quarantined = m_State.m_PromptQuarantine.quarantined();
  for (const auto &Entry : Quarantined)
    if (m_LoggedQuarantine.insert(Entry.first).second)
      m_Log.add(
          LogClass::State, "prompt_part_quarantined",
          {{"part", std::string_view(Entry.first.value())},
           {"crashes", static_cast<std::int64_t>(Entry.second.m_Crashes)},
           {"age_ms", std::chrono::duration<double, std::milli>(m_Clock() - Entry.second.m_LastAt).count()}});
  std::erase_if(m_LoggedQuarantine, [&](const PromptPartId &Part) {
    if (Quarantined.count(Part) > 0)
      return false;
    m_Log.add(LogClass::State, "prompt_part_released", {{"part", std::string_view(Part.value())}});
    return true;
  });
}

void PromptEvidenceExchange::publish() {
  const TimePoint Now = m_Clock();
  if (m_WriteInProgress || Now < m_NextWriteAt)
    return;
  std::optional<PromptEvidence> Evidence = m_State.m_PromptQuarantine.takeUnpublished(
      Now, daemonRank(PartClearanceKey, m_State.m_PlacementContext));
  if (!Evidence)
    return;
  m_WriteInProgress = true;
  spawn(m_Context, write(shared_from_this(), std::move(*Evidence)));
}

asio::awaitable<void> PromptEvidenceExchange::write(std::shared_ptr<PromptEvidenceExchange> Self,
                                                    PromptEvidence Evidence) {
  const Expected<Done> Written = co_await Self->m_Store.writePromptEvidence(Evidence);
  Self->m_WriteInProgress = false;
  Self->m_NextWriteAt =
      Self->m_Clock() +
      std::clamp<Duration>(PublishIntervalPerDaemon * Self->m_State.m_PlacementContext.m_Daemons.size(),
                           MinPublishInterval, MaxPublishInterval);
  if (!Written)
    Self->m_State.m_PromptQuarantine.onPublicationFailed();
  const std::string Outcome = outcomeText(Written, "written");
  Self->m_Log.add(LogClass::State, "crash_evidence",
                  {{"crashes", static_cast<std::int64_t>(Evidence.m_Crashes.size())},
                   {"sound", static_cast<std::int64_t>(Evidence.m_Sound.size())},
                   {"outcome", std::string_view(Outcome)}});
}

} // namespace bulrushpitch
