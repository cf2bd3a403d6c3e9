#include "order_follower.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// How long a relay may hold its answer back. It confirms the orders more often.
constexpr milliseconds WatchTimeout{2000};
/// For connecting, and for a large answer over a narrow link.
constexpr Duration AnswerMargin = milliseconds(1500);
constexpr Duration IdleInterval = milliseconds(200);
/// Before the next call after one that failed.
constexpr Duration FailurePause = milliseconds(50);
/// Ages beyond this are not worth telling apart.
constexpr milliseconds MaxAge{600'000};

} // namespace

OrderFollower::OrderFollower(asio::io_context &Context, OrderSources &Sources, EventLog &Log, ClockHook Clock,
                             OrderWatchHook Watch, HeldHook Held, ReceiveHook Receive)
    : m_Context(Context), m_Sources(Sources), m_Log(Log), m_Clock(std::move(Clock)),
      m_Watch(std::move(Watch)), m_Held(std::move(Held)), m_Receive(std::move(Receive)) {}

void OrderFollower::start() {
  if (!m_Watch)
    return;
  for (std::size_t Call = 0; Call < OrderSources::FollowedRelays; ++Call)
    spawn(m_Context, follow(shared_from_this()));
}

asio::awaitable<void> OrderFollower::follow(std::shared_ptr<OrderFollower> Self) {
  while (!Self->m_Stopped) {
    const std::optional<ListedDaemon> Relay = Self->nextRelay();
    if (Relay)
      co_await Self->ask(*Relay);
    else
      co_await sleepFor(Self->m_Context, IdleInterval);
  }
}

std::optional<ListedDaemon> OrderFollower::nextRelay() const {
  for (const ListedDaemon &Relay : m_Sources.followed(m_Clock()))
    if (m_Asked.count(Relay.m_Id) == 0)
      return Relay;
  return std::nullopt;
}

asio::awaitable<void> OrderFollower::ask(ListedDaemon Relay) {
  PeerOrderWatch Held = m_Held();
  Held.m_Age = std::clamp(Held.m_Age, milliseconds::zero(), MaxAge);
  Held.m_Wait = WatchTimeout;
  if (std::exchange(m_NeedsWhole, false))
    Held.m_Revision = ConfigRevision();
  m_Asked.insert(Relay.m_Id);
  const Expected<PeerOrders> Answer =
      co_await m_Watch(Relay.m_Contact->m_Address, std::move(Held), WatchTimeout + AnswerMargin);
  m_Asked.erase(Relay.m_Id);
  if (m_Stopped)
    co_return;
  if (Answer) {
    receive(Relay, *Answer);
    co_return;
  }
  onFailed(Relay, Answer.error());
  co_await sleepFor(m_Context, FailurePause);
}

void OrderFollower::receive(const ListedDaemon &Relay, const PeerOrders &Answer) {
  const TimePoint Now = m_Clock();
  const Duration Age = std::clamp(Answer.m_Age, milliseconds::zero(), MaxAge);
  const StoreCursor Position{StoreEra(Answer.m_Era), Answer.m_Version};
  std::optional<OrderSnapshot> Orders;
  if (!Answer.m_Bytes.empty()) {
    Expected<OrderSnapshot> Decoded = decodeOrders(Answer.m_Bytes);
    if (!Decoded) {
      onFailed(Relay, Decoded.error());
      return;
    }
    Orders = std::move(*Decoded);
  }
  m_NeedsWhole = m_Receive(Position, Now - Age, Orders) == Reception::Damaged;
  if (OrderSources::isStale(Age))
    m_Sources.onStale(Relay.m_Id, Now);
  else
    m_Sources.onAnswered(Relay.m_Id, Now);
}

void OrderFollower::onFailed(const ListedDaemon &Relay, const Error &Failure) {
  m_Sources.onFailed(Relay.m_Id, m_Clock());
  const std::string Text = Failure.toString();
  m_Log.add(LogClass::State, "order_relay_failed",
            {{"relay", std::string_view(Relay.m_Id.value())}, {"error", std::string_view(Text)}});
}

void OrderFollower::logSources() {
  std::string Sources;
  for (const ListedDaemon &Relay : m_Sources.followed(m_Clock()))
    Sources += (Sources.empty() ? "" : ",") + Relay.m_Id.value();
  if (Sources.empty())
    Sources = "store";
  if (Sources == std::exchange(m_LoggedSources, Sources))
    return;
  m_Log.add(LogClass::State, "order_sources", {{"sources", std::string_view(Sources)}});
}

} // namespace bulrushpitch
