#include "table_relay.h"

#include "bulrushpitch/forward/relay_sources.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Confirmations are passed on if the oldest one is so much newer than the caller's oldest.
constexpr Duration MinConfirmationGain = milliseconds(500);
constexpr Duration MaxWait = milliseconds(5000);
/// A return of the store is of no interest after this time.
constexpr Duration MaxRecoveryAge = milliseconds(10'000);

milliseconds inMilliseconds(Duration Value) { return std::chrono::duration_cast<milliseconds>(Value); }

} // namespace

TableRelay::TableRelay(asio::io_context &Context, std::vector<Replica *> Tables, ClockHook Clock)
    : m_Context(Context), m_Tables(std::move(Tables)), m_Clock(std::move(Clock)) {}

asio::awaitable<Expected<PeerTableNewsList>> TableRelay::answer(PeerTableWatch Watch) {
  const TimePoint Start = m_Clock();
  const TimePoint Deadline = Start + std::clamp<Duration>(Watch.m_Wait, Duration::zero(), MaxWait);
  while (true) {
    const std::vector<AskedTable> Asked = askedTables(Watch, Start);
    const Duration Remaining = Deadline - m_Clock();
    if (hasAnswer(Asked) || (!Asked.empty() && Remaining <= Duration::zero()))
      co_return answerFor(Asked);
    if (Remaining <= Duration::zero())
      break;
    const Waiter Waiting = std::make_shared<OneShot<Done>>(m_Context);
    m_Waiters.push_back(Waiting);
    static_cast<void>(co_await Waiting->wait(Remaining));
    std::erase(m_Waiters, Waiting);
  }
  co_return Error{ErrorCode::PlatformUnavailable, "relay tables", "", Ran::No, "no table is known yet"};
}

void TableRelay::notify() {
  for (const Waiter &Waiting : std::exchange(m_Waiters, {}))
    Waiting->set(Done{});
}

std::vector<TableRelay::AskedTable> TableRelay::askedTables(const PeerTableWatch &Watch,
                                                            TimePoint Start) const {
  std::vector<AskedTable> Asked;
  for (const PeerHeldTable &Held : Watch.m_Held)
    for (Replica *Known : m_Tables)
      if (Known->table() == Held.m_Table && Known->position())
        Asked.push_back({Known, Held, Start - Held.m_Age});
  return Asked;
}

bool TableRelay::hasAnswer(const std::vector<AskedTable> &Asked) const {
  if (Asked.empty())
    return false;
  TimePoint OldestKnown = TimePoint::max();
  TimePoint OldestHeld = TimePoint::max();
  for (const AskedTable &Each : Asked) {
    if (Each.m_Known->hasNewsFor(Each.m_Held))
      return true;
    OldestKnown = std::min(OldestKnown, Each.m_Known->confirmedAt());
    OldestHeld = std::min(OldestHeld, Each.m_HeldConfirmedAt);
  }
  return OldestKnown - OldestHeld >= MinConfirmationGain ||
         std::any_of(Asked.begin(), Asked.end(),
                     [this](const AskedTable &Each) { return isCutOff(*Each.m_Known); });
}

bool TableRelay::isCutOff(const Replica &Known) const {
  return Known.storeFails() && RelaySources::isStale(m_Clock() - Known.confirmedAt());
}

PeerTableNewsList TableRelay::answerFor(const std::vector<AskedTable> &Asked) const {
  const TimePoint Now = m_Clock();
  PeerTableNewsList Answer;
  for (const AskedTable &Each : Asked) {
    Replica &Known = *Each.m_Known;
    PeerTableNews News{Known.table(), Known.position()->m_Era.value(), Known.position()->m_Version,
                       inMilliseconds(Now - Known.confirmedAt())};
    if (Known.hasNewsFor(Each.m_Held))
      News.m_Bytes = Known.encodedFor(Each.m_Held);
    if (Known.recoveredAt() && Now - *Known.recoveredAt() < MaxRecoveryAge)
      News.m_SinceRecovery = inMilliseconds(Now - *Known.recoveredAt());
    News.m_CutOff = isCutOff(Known);
    Answer.m_Tables.push_back(std::move(News));
  }
  return Answer;
}

} // namespace bulrushpitch
