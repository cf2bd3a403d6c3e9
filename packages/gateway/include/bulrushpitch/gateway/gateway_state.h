#ifndef BULRUSHPITCH_GATEWAY_GATEWAY_STATE_H
#define BULRUSHPITCH_GATEWAY_GATEWAY_STATE_H

#include "bulrushpitch/config/gateway_settings.h"
#include "bulrushpitch/forward/directory.h"
#include "bulrushpitch/forward/placement.h"
#include "bulrushpitch/forward/reading_time.h"
#include "bulrushpitch/forward/retry_window.h"
#include "bulrushpitch/forward/stream_pace.h"
#include "bulrushpitch/forward/upstream_pool.h"
#include "bulrushpitch/forward/version_trial.h"

#include <map>
#include <memory>

namespace bulrushpitch {

/// @brief What the gateway's services share: the configuration in force and what is known of the upstreams.
///
/// One loop uses it. Requests keep the directory that they began with.
class GatewayState {
public:
  explicit GatewayState(const GatewaySettings &Read)
      : m_Pool(Read.m_Domains), m_Here{Read.m_Domain, Read.m_Region, Read.m_Instance, {Read.m_Instance}},
        m_Bounds(Read.m_Bounds) {}

  /// @return whether configuration and registry are known, so that requests can be answered
  bool known() const { return m_Directory && m_RegistryRead; }
  /// @return the roll-out of a service; nothing without one
  VersionTrial *trialOf(const ServiceId &Id) {
    const auto Found = m_Trials.find(Id);
    return Found == m_Trials.end() ? nullptr : &Found->second;
  }
  /// @return this daemon's share of the retries that all daemons may make to the service
  RetryWindow &budgetOf(const ServiceId &Id);
  /// @return requests that one cold upstream of the service may get from all daemons in a second; 0: no limit
  double coldLimit(const ForwardService &Service) const {
    return Service.m_ColdPerSecond <= 0.0
               ? 0.0
               : Service.m_ColdPerSecond * m_Bounds.m_ColdFactor + m_Bounds.m_ColdSlack;
  }
  /// @return share of a service's requests that may reach a bad version during its roll-out
  double trialExposure() const { return m_Bounds.m_TrialExposure; }
  /// @brief Takes the list of daemons, and shares the retry budget anew.
  void setDaemons(std::vector<InstanceId> Daemons);

  std::shared_ptr<const Directory> m_Directory; ///< Null until a configuration was read.
  bool m_RegistryRead = false;
  UpstreamPool m_Pool;
  std::map<ServiceId, VersionTrial> m_Trials;

  PlacementContext m_Here;
  ReadingTime m_ReadingTime;
  StreamPace m_Pace;

private:
  GatewayBounds m_Bounds;
  double retryReserve() const;
  std::map<ServiceId, RetryWindow> m_Budgets;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_GATEWAY_STATE_H
