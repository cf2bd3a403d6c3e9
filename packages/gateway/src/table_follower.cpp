#include "table_follower.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// How long a relay may hold its answer back. It confirms the tables more often. Shorter than the age at
/// which a daemon turns to the store, so that a relay without a confirmation is known to be alive by then.
constexpr milliseconds WatchTimeout{1500};
/// For connecting, and for a large answer over a narrow link.
constexpr Duration AnswerMargin = milliseconds(1500);
constexpr Duration IdleInterval = milliseconds(200);
/// Before the next call after one that failed.
constexpr Duration FailurePause = milliseconds(50);
/// Before the next call after a relay that is cut off from the store; all others may be so too.
constexpr Duration CutOffPause = milliseconds(100);

} // namespace

TableFollower::TableFollower(asio::io_context &Context, RelaySources &Sources, EventLog &Log, ClockHook Clock,
                             TableWatchHook Watch, std::vector<ReplicatedTable *> Tables)
    : m_Context(Context), m_Sources(Sources), m_Log(Log), m_Clock(std::move(Clock)),
      m_Watch(std::move(Watch)), m_Tables(std::move(Tables)) {}

void TableFollower::start() {
  if (!m_Watch)
    return;
  for (std::size_t Call = 0; Call < RelaySources::FollowedRelays; ++Call)
    spawn(m_Context, follow(shared_from_this()));
}

asio::awaitable<void> TableFollower::follow(std::shared_ptr<TableFollower> Self) {
  while (!Self->m_Stopped) {
    const std::optional<ListedDaemon> Relay = Self->nextRelay();
    if (Relay)
      co_await Self->ask(*Relay);
    else
      co_await sleepFor(Self->m_Context, IdleInterval);
  }
}

std::optional<ListedDaemon> TableFollower::nextRelay() const {
  for (const ListedDaemon &Relay : m_Sources.followed(m_Clock()))
    if (m_Asked.count(Relay.m_Id) == 0)
      return Relay;
  return std::nullopt;
}

PeerTableWatch TableFollower::held() const {
  PeerTableWatch Watch;
  for (const ReplicatedTable *Table : m_Tables) {
    Watch.m_Held.push_back(Table->held());
    if (m_NeedsWhole.count(Table->table()) > 0)
      Watch.m_Held.back().m_Revision = ConfigRevision();
  }
  Watch.m_Wait = WatchTimeout;
  return Watch;
}

asio::awaitable<void> TableFollower::ask(ListedDaemon Relay) {
  const PeerTableWatch Held = held();
  m_Asked.insert(Relay.m_Id);
  const Expected<PeerTableNewsList> Answer =
      co_await m_Watch(Relay.m_Contact->m_Address, Held, WatchTimeout + AnswerMargin);
  m_Asked.erase(Relay.m_Id);
  if (m_Stopped)
    co_return;
  const Expected<Done> Received = Answer ? receive(Held, *Answer) : Answer.error();
  if (!Received) {
    onFailed(Relay, Received.error());
    co_await sleepFor(m_Context, FailurePause);
    co_return;
  }
  const bool CutOff = std::any_of(Answer->m_Tables.begin(), Answer->m_Tables.end(),
                                  [](const PeerTableNews &News) { return News.m_CutOff; });
  if (!CutOff) {
    m_Sources.onAnswered(Relay.m_Id, m_Clock());
    co_return;
  }
  m_Sources.onStale(Relay.m_Id, m_Clock());
  co_await sleepFor(m_Context, CutOffPause);
}

Expected<Done> TableFollower::receive(const PeerTableWatch &Asked, const PeerTableNewsList &Answer) {
  for (const PeerTableNews &News : Answer.m_Tables)
    for (const PeerHeldTable &Held : Asked.m_Held)
      if (Held.m_Table == News.m_Table)
        if (const Expected<Done> Received = receive(Held, News); !Received)
          return Received.error();
  return Done{};
}

Expected<Done> TableFollower::receive(const PeerHeldTable &Asked, const PeerTableNews &News) {
  const auto Table = std::find_if(m_Tables.begin(), m_Tables.end(),
                                  [&](const ReplicatedTable *Each) { return Each->table() == News.m_Table; });
  const Expected<ReplicatedTable::Reception> Received = (*Table)->receive(News);
  if (!Received)
    return Received.error();
  const bool AskedForWhole = Asked.m_Revision == ConfigRevision();
  if (*Received != ReplicatedTable::Reception::Damaged) {
    if (AskedForWhole)
      m_NeedsWhole.erase(News.m_Table);
    return Done{};
  }
  if (AskedForWhole)
    return Error{ErrorCode::PeerProtocol, "follow tables", "", Ran::No,
                 "the whole table does not lead to the version intended"};
  m_NeedsWhole.insert(News.m_Table);
  return Done{};
}

void TableFollower::onFailed(const ListedDaemon &Relay, const Error &Failure) {
  m_Sources.onFailed(Relay.m_Id, m_Clock());
  const std::string Text = Failure.toString();
  m_Log.add(LogClass::State, "relay_failed",
            {{"relay", std::string_view(Relay.m_Id.value())}, {"error", std::string_view(Text)}});
}

void TableFollower::logSources() {
  std::string Sources;
  for (const ListedDaemon &Relay : m_Sources.followed(m_Clock()))
    Sources += (Sources.empty() ? "" : ",") + Relay.m_Id.value();
  if (Sources.empty())
    Sources = "store";
  if (Sources == std::exchange(m_LoggedSources, Sources))
    return;
  m_Log.add(LogClass::State, "relay_sources", {{"sources", std::string_view(Sources)}});
}

} // namespace bulrushpitch
