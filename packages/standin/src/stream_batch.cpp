#include "stream_batch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds KeepFinished{60};
constexpr std::size_t MaxAudit = 100'000;

} // namespace

void StreamBatch::add(const StreamPointer &New) {
  forgetFinished();
  New->m_Id = "s-" + std::to_string(++m_Started);
  New->m_StartId = m_Process.startId();
  recordAttempt(*New);
  m_Streams[New->m_Id] = New;
  m_Queue.push_back(New);
  fillBatch();
}

void StreamBatch::forgetFinished() {
  const TimePoint Now = m_Process.now();
  std::erase_if(m_Streams, [Now](const std::pair<const std::string, StreamPointer> &Old) {
    return Old.second->finished() && Now - Old.second->m_FinishedAt > KeepFinished;
  });
}

void StreamBatch::recordAttempt(const Stream &New) {
  New.m_Audit->m_At = unixMilliseconds();
  New.m_Audit->m_Leaving = m_Process.leaving();
  m_Audit.push_back(New.m_Audit);
  if (m_Audit.size() > MaxAudit)
    m_Audit.pop_front();
}

StreamPointer StreamBatch::find(const std::string &Id) const {
  const auto Known = m_Streams.find(Id);
  return Known == m_Streams.end() ? nullptr : Known->second;
}

void StreamBatch::cancel(const StreamPointer &Cancelled) {
  if (Cancelled->finished())
    return;
  finish(*Cancelled, "cancelled");
  std::erase(m_Running, Cancelled);
  std::erase(m_Queue, Cancelled);
  fillBatch();
}

void StreamBatch::loseAll() {
  for (const std::pair<const std::string, StreamPointer> &Known : m_Streams)
    if (!Known.second->finished())
      finish(*Known.second, "lost");
  m_Streams.clear();
  m_Running.clear();
  m_Queue.clear();
  m_Process.note(0, 0, 0.0);
}

std::uint64_t StreamBatch::ended(const std::string &Reason) const {
  const auto Known = m_Ends.find(Reason);
  return Known == m_Ends.end() ? 0 : Known->second;
}

json StreamBatch::attempts() const {
  json Attempts = json::array();
  for (const std::shared_ptr<AuditEntry> &Entry : m_Audit)
    Attempts.push_back({{"attempt", Entry->m_Attempt},
                        {"version", Entry->m_Version},
                        {"at", Entry->m_At},
                        {"completionTokens", Entry->m_CompletionTokens},
                        {"finishReason", Entry->m_FinishReason},
                        {"leaving", Entry->m_Leaving}});
  return Attempts;
}

/// Moves waiting streams into the batch.
void StreamBatch::fillBatch() {
  while (!m_Queue.empty() && m_Running.size() < m_Settings.m_Process.m_Capacity) {
    const StreamPointer Chosen = takeFirstWaiting();
    Chosen->m_PrefillUntil = m_Process.now() + prefillTime(*Chosen);
    m_Running.push_back(Chosen);
  }
  noteLoad();
}

/// @return the waiting stream of the highest priority, the earliest among equals
StreamPointer StreamBatch::takeFirstWaiting() {
  const auto First = std::max_element(m_Queue.begin(), m_Queue.end(),
                                      [](const StreamPointer &Left, const StreamPointer &Right) {
                                        return Left->m_Priority < Right->m_Priority;
                                      });
  StreamPointer Chosen = *First;
  m_Queue.erase(First);
  return Chosen;
}

Duration StreamBatch::prefillTime(const Stream &Chosen) const {
  const double Uncached = static_cast<double>(Chosen.m_PromptTokens - Chosen.m_CachedTokens);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Uncached / m_Settings.m_PrefillRate));
}

/// @return time between two tokens of a stream
Duration StreamBatch::gap() const {
  return m_Settings.m_BaseGap + m_Settings.m_StreamGap * static_cast<std::int64_t>(m_Running.size());
}

void StreamBatch::noteLoad() {
  const double Rate = static_cast<double>(m_Running.size()) / std::chrono::duration<double>(gap()).count();
  m_Process.note(m_Running.size(), m_Queue.size(), Rate);
}

void StreamBatch::generate(std::shared_ptr<StreamBatch> Self) {
  if (Self->m_LoopRuns)
    return;
  Self->m_LoopRuns = true;
  asio::io_context &Context = Self->m_Context;
  asio::co_spawn(Context, generateLoop(std::move(Self)), asio::detached);
}

asio::awaitable<void> StreamBatch::generateLoop(std::shared_ptr<StreamBatch> Self) {
  asio::steady_timer Timer(Self->m_Context);
  TimePoint Next = Self->m_Process.now();
  while (Self->size() > 0) {
    const TimePoint Now = Self->m_Process.now();
    // A step that was late is not made up for, but for one gap, so that the rate stays exact on average.
    Next = std::max(Next, Now - Self->gap()) + Self->gap();
    Timer.expires_at(Next);
    co_await Timer.async_wait(asio::use_awaitable);
    if (!Self->m_Faults.m_Paused)
      Self->step();
    else
      Next = Self->m_Process.now();
  }
  Self->m_LoopRuns = false;
}

/// Gives each running stream one token.
void StreamBatch::step() {
  const TimePoint Now = m_Process.now();
  for (const StreamPointer &Running : m_Running)
    if (Running->m_PrefillUntil <= Now)
      produceToken(*Running);
  std::erase_if(m_Running, [](const StreamPointer &Running) { return Running->finished(); });
  fillBatch();
}

void StreamBatch::produceToken(Stream &Running) {
  if (Running.m_Produced < Running.m_End) {
    ++Running.m_Produced;
    ++m_Tokens;
  }
  if (Running.m_Produced >= Running.m_End)
    finish(Running, Running.m_End < Running.m_Text.m_Ends.size() ? "length" : "stop");
  Running.m_Changed.cancel();
}

void StreamBatch::finish(Stream &Ended, const std::string &Reason) {
  Ended.m_Audit->m_FinishReason = Reason;
  Ended.m_Audit->m_CompletionTokens = Ended.completionTokens();
  Ended.m_FinishedAt = m_Process.now();
  ++m_Ends[Reason];
  Ended.m_Changed.cancel();
}

} // namespace bulrushpitch::standin
