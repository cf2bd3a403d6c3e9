#include "bulrushpitch/daemon/billing_service.h"

#include <glog/logging.h>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(50);
} // namespace

BillingService::BillingService(const Runtime &Base, ClusterService &Cluster, PeerClient &Peers,
                               std::shared_ptr<TableExecutor> Table, Recorder &Events)
    : m_Runtime(Base), m_Cluster(Cluster), m_Peers(Peers), m_Table(std::move(Table)), m_Events(Events),
      m_Ledger(CopyHolder{Cluster.self(), Cluster.incarnation()},
               [this](const std::vector<InstanceId> &Excluded) { return chooseBackup(Excluded); }),
      m_LedgerTicker(
          Base.m_Context, [] { return TickInterval; },
          [this] {
            m_Ledger.setStoreReachable(m_Cluster.storeReachable());
            run(m_Ledger.tick(m_Runtime.m_Clock(), m_Cluster.membership().liveCount()));
          }) {
  m_Cluster.onMemberLost(
      [this](const CopyHolder &Lost) { run(m_Ledger.memberLost(m_Runtime.m_Clock(), Lost)); });
}

Result<void> BillingService::start() {
  m_LedgerTicker.start();
  return {};
}

void BillingService::stop() { m_LedgerTicker.stop(); }

std::optional<CopyHolder> BillingService::chooseBackup(const std::vector<InstanceId> &Excluded) {
  const std::optional<InstanceId> Chosen = m_Cluster.membership().chooseBackup(Excluded);
  if (!Chosen)
    return std::nullopt;
  const std::optional<Member> Found = m_Cluster.membership().find(*Chosen);
  return CopyHolder{*Chosen, Found ? Found->m_Update.m_Incarnation : 0};
}

asio::awaitable<Expected<Done>> BillingService::charge(Charge NewCharge, Duration Timeout) {
  const ChargeId Id{chargeKey(NewCharge.m_Team, NewCharge.m_Request), NewCharge.m_Attempt};
  const std::shared_ptr<OneShot<Done>> Pending = std::make_shared<OneShot<Done>>(m_Runtime.m_Context);
  m_PendingCharges[Id] = Pending;
  const TimePoint Now = m_Runtime.m_Clock();
  run(m_Ledger.addCharge(Now, NewCharge));
  // Sends the copy at once; waiting for the next tick would delay the end of every answer by up to 50 ms.
  run(m_Ledger.tick(Now, m_Cluster.membership().liveCount()));
  const std::optional<Done> Released = co_await Pending->wait(Timeout);
  m_PendingCharges.erase(Id);
  if (Released)
    co_return Done{};
  co_return Error{ErrorCode::ChargeNotKept, "keep charge", "", Ran::Yes,
                  "neither the table service nor a backup daemon confirmed the charge within the timeout"};
}

void BillingService::run(ChargeActions Actions) {
  for (ChargeAction &Action : Actions)
    std::visit([this](auto &Chosen) { execute(std::move(Chosen)); }, Action);
}

void BillingService::execute(CommitRows Action) {
  m_Table->commit(std::move(Action), [this](std::uint64_t Token, const CommitResult &Outcome) {
    run(m_Ledger.committed(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void BillingService::execute(HoldCharges Action) { spawn(m_Runtime.m_Context, sendHold(std::move(Action))); }

void BillingService::execute(DropCharges Action) { spawn(m_Runtime.m_Context, sendDrop(std::move(Action))); }

void BillingService::execute(const ReleaseResponseEnd &Action) {
  if (const auto Found = m_PendingCharges.find(ChargeId{Action.m_Key, Action.m_Attempt});
      Found != m_PendingCharges.end())
    Found->second->set(Done{});
}

PeerCharges BillingService::messageTo(const CopyHolder &Holder) const {
  PeerCharges Message;
  Message.m_Owner = m_Cluster.self();
  Message.m_Incarnation = m_Cluster.incarnation();
  Message.m_HolderIncarnation = Holder.m_Incarnation;
  Message.m_Lamport = m_Events.lamport();
  return Message;
}

asio::awaitable<void> BillingService::sendHold(HoldCharges Action) {
  const std::optional<Endpoint> Address = m_Cluster.peerAddressOf(Action.m_Receiver.m_Instance);
  bool Held = false;
  if (Address) {
    PeerCharges Message = messageTo(Action.m_Receiver);
    for (const Charge &Copied : Action.m_Charges) {
      PeerCharge Entry;
      Entry.m_Key = chargeKey(Copied.m_Team, Copied.m_Request);
      Entry.m_Json = encodeCharge(Copied);
      Message.m_Charges.push_back(std::move(Entry));
    }
    Expected<Done> Reply = co_await m_Peers.holdCharges(*Address, std::move(Message));
    Held = Reply.hasValue();
    if (!Reply)
      LOG(WARNING) << "step=hold-charges peer=" << Action.m_Receiver.m_Instance << " error=\""
                   << Reply.error() << '"';
  }
  run(m_Ledger.holdAnswered(m_Runtime.m_Clock(), Action.m_Token, Held));
}

asio::awaitable<void> BillingService::sendDrop(DropCharges Action) {
  const std::optional<Endpoint> Address = m_Cluster.peerAddressOf(Action.m_Receiver.m_Instance);
  if (!Address) {
    m_Ledger.dropAnswered(m_Runtime.m_Clock(), Action.m_Token, false);
    co_return;
  }
  PeerCharges Message = messageTo(Action.m_Receiver);
  for (const std::string &Committed : Action.m_Keys) {
    PeerCharge Entry;
    Entry.m_Key = Committed;
    Message.m_Charges.push_back(std::move(Entry));
  }
  Expected<Done> Reply = co_await m_Peers.dropCharges(*Address, std::move(Message));
  m_Ledger.dropAnswered(m_Runtime.m_Clock(), Action.m_Token, Reply.hasValue());
}

asio::awaitable<Expected<Done>> BillingService::handleHoldCharges(PeerCharges Charges) {
  // Rejects messages to an earlier incarnation of this daemon: the owner must record the copy as held by the
  // current incarnation.
  if (Charges.m_HolderIncarnation != 0 && Charges.m_HolderIncarnation != m_Cluster.incarnation())
    co_return Error{ErrorCode::PeerProtocol, "hold charges", m_Cluster.self().value(), Ran::No,
                    "the message is for an earlier incarnation of this daemon"};
  std::vector<Charge> Copies;
  for (const PeerCharge &Entry : Charges.m_Charges) {
    Expected<Charge> Copy = decodeCharge(Entry.m_Json);
    if (!Copy)
      co_return Copy.error();
    Copies.push_back(std::move(*Copy));
  }
  if (!m_Ledger.holdCopies(m_Runtime.m_Clock(), CopyHolder{Charges.m_Owner, Charges.m_Incarnation}, Copies))
    co_return Error{ErrorCode::ChargesFull, "hold charges", m_Cluster.self().value(), Ran::No,
                    "the limit of charges held for other daemons is reached"};
  co_return Done{};
}

asio::awaitable<Expected<Done>> BillingService::handleDropCharges(PeerCharges Charges) {
  std::vector<std::string> Keys;
  Keys.reserve(Charges.m_Charges.size());
  for (const PeerCharge &Entry : Charges.m_Charges)
    Keys.push_back(Entry.m_Key);
  run(m_Ledger.dropCopies(m_Runtime.m_Clock(), Keys));
  co_return Done{};
}

} // namespace bulrushpitch
