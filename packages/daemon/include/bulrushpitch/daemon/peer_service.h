#ifndef BULRUSHPITCH_DAEMON_PEER_SERVICE_H
#define BULRUSHPITCH_DAEMON_PEER_SERVICE_H

#include "bulrushpitch/daemon/billing_service.h"
#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/permit_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/rpc/rpc.h"
#include "bulrushpitch/timeline/timeline.h"

#include <memory>

namespace bulrushpitch {

/// @brief RPC server for calls from other daemons.
class PeerService : public Service {
public:
  PeerService(const Runtime &Base, ClusterService &Cluster, PermitService &Permits, BillingService &Billing,
              Recorder &Events);

  Result<void> start() override { return m_Server.start(); }
  void stop() override { m_Server.stop(); }

  PeerCounters counters() const { return m_Server.counters(); }

private:
  PeerServer m_Server;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_PEER_SERVICE_H
