#include "bulrushpitch/daemon/peer_service.h"

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

asio::awaitable<Expected<PeerTimeline>> answerTimeline(Recorder &Events, EventFilter Filter) {
  PeerTimeline Reply;
  Reply.m_Events = Events.events(Filter);
  Reply.m_Dropped = Events.dropped();
  co_return Reply;
}

asio::awaitable<Expected<PeerStatus>> answerStatus(const ClusterService &Cluster) {
  co_return Cluster.status();
}

PeerHandler makeHandler(ClusterService &Cluster, PermitService &Permits, BillingService &Billing,
                        Recorder &Events) {
  PeerHandler Handler;
  Handler.m_Exchange = [&](PeerDigest Received) { return Cluster.handleExchange(std::move(Received)); };
  Handler.m_Fetch = [&](PeerFetch Request) { return Cluster.handleFetch(std::move(Request)); };
  Handler.m_Probe = [&](PeerProbe Request) { return Cluster.handleProbe(std::move(Request)); };
  Handler.m_AcquirePermit = [&](PeerPermitRequest Request) {
    return Permits.handleAcquirePermit(std::move(Request));
  };
  Handler.m_RenewPermit = [&](PeerPermitRequest Request) {
    return Permits.handleRenewPermit(std::move(Request));
  };
  Handler.m_ReleasePermit = [&](PeerPermitRequest Request) {
    return Permits.handleReleasePermit(std::move(Request));
  };
  Handler.m_HoldCharges = [&](PeerCharges Charges) { return Billing.handleHoldCharges(std::move(Charges)); };
  Handler.m_DropCharges = [&](PeerCharges Charges) { return Billing.handleDropCharges(std::move(Charges)); };
  Handler.m_Timeline = [&](EventFilter Filter) { return answerTimeline(Events, std::move(Filter)); };
  Handler.m_Status = [&](Done) { return answerStatus(Cluster); };
  return Handler;
}

} // namespace

PeerService::PeerService(const Runtime &Base, ClusterService &Cluster, PermitService &Permits,
                         BillingService &Billing, Recorder &Events)
    : m_Server(Base.m_Context,
               Endpoint{Base.m_Settings.m_Listen.m_Peers.m_Address, Base.m_Settings.m_Listen.m_Peers.m_Port},
               makeHandler(Cluster, Permits, Billing, Events)) {}

} // namespace bulrushpitch
