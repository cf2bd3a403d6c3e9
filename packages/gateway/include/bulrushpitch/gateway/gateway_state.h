#ifndef BULRUSHPITCH_GATEWAY_GATEWAY_STATE_H
#define BULRUSHPITCH_GATEWAY_GATEWAY_STATE_H

#include "bulrushpitch/config/gateway_settings.h"
#include "bulrushpitch/forward/config_index.h"
#include "bulrushpitch/forward/event_gap_average.h"
#include "bulrushpitch/forward/head_delay_average.h"
#include "bulrushpitch/forward/placement.h"
#include "bulrushpitch/forward/prefill_time_estimator.h"
#include "bulrushpitch/forward/prompt_quarantine.h"
#include "bulrushpitch/forward/retry_window.h"
#include "bulrushpitch/forward/store_era.h"
#include "bulrushpitch/forward/upstream_pool.h"
#include "bulrushpitch/forward/version_trial.h"

#include <map>
#include <memory>
#include <optional>

namespace bulrushpitch {

/// @brief State shared by the gateway's services: the configuration in force and the view of the upstreams.
///
/// Not thread-safe; used from one event loop. A request keeps the index that was current when it started,
/// except for the regions where it may run.
class GatewayState {
public:
  explicit GatewayState(const GatewaySettings &Settings)
      : m_Pool(Settings.m_Domains), m_PlacementContext{Settings.m_Domain,
                                                       Settings.m_Region,
                                                       Settings.m_Instance,
                                                       {Settings.m_Instance}},
        m_PromptQuarantine(Settings.m_Instance), m_Bounds(Settings.m_Bounds) {
    m_PlacementContext.m_HasLimitShares = false;
  }

  /// @return whether configuration and registry have been read, so that requests can be served
  bool isReady() const { return m_ConfigIndex && m_RegistryRead; }
  /// @return the version trial of a service; null if there is none
  VersionTrial *trialOf(const ServiceId &Id) {
    const auto Found = m_Trials.find(Id);
    return Found == m_Trials.end() ? nullptr : &Found->second;
  }
  /// @brief Allows retries from this time on. Before the first call none is allowed.
  void allowRetriesFrom(TimePoint Time);
  /// @brief Allows few retries of failures until this time: what the process before this one has used of the
  /// budgets is not known.
  void allowFewRetriesUntil(TimePoint Time);
  bool allowsRetries(TimePoint Now) const { return Now >= m_RetriesAllowedFrom; }
  /// @brief Counts what the process before this one has used of the retry budgets.
  /// @param Now the time from which the ages count
  void restoreRetryUse(const ServiceRetryUse &Used, TimePoint Now);
  /// @return what this process has used of the retry budgets within their window
  ServiceRetryUse retryUse(TimePoint Now) const;
  /// @return window over which retries are limited
  Duration retryWindow() const { return durationOf(m_Bounds.m_RetryWindow); }
  /// @return this daemon's share of the retry budget that all daemons have for the service
  RetryWindow &retryBudgetOf(const ServiceId &Id);
  /// @return limit on the requests per second that one cold upstream of the service may get from all daemons;
  /// 0: no limit
  double coldLimit(const ForwardService &Service) const {
    return Service.m_ColdRequestsPerSecond <= 0.0
               ? 0.0
               : Service.m_ColdRequestsPerSecond * m_Bounds.m_ColdFactor + m_Bounds.m_ColdSlack;
  }
  /// @return maximum share of a service's requests that may reach a bad version during its rollout
  double trialExposure() const { return m_Bounds.m_TrialExposure; }
  /// @return time since the store last confirmed the operators' orders as known here; zero before the first
  /// time
  Duration ordersAge(TimePoint Now) const {
    return m_OrdersReadAt ? Now - *m_OrdersReadAt : Duration::zero();
  }
  /// @brief Sets the list of daemons, and adjusts this daemon's share of the retry budgets. This daemon is
  /// added to the list if it is missing.
  void setDaemons(std::vector<InstanceId> Daemons);
  /// @brief Sets whether this daemon has shares of the limits that all daemons have in common: those of cold
  /// and limited upstreams, and the reserve of the retry budgets.
  void setLimitShares(bool HasShares);

  std::shared_ptr<const ConfigIndex> m_ConfigIndex; ///< Null until a configuration has been read.
  std::optional<TimePoint> m_OrdersReadAt;          ///< When the store last confirmed the orders.
  bool m_RegistryRead = false;
  StoreEraTracker m_StoreEras;
  UpstreamPool m_Pool;
  std::map<ServiceId, VersionTrial> m_Trials;

  PlacementContext m_PlacementContext; ///< Location of this daemon, and the list of daemons.
  PrefillTimeEstimator m_PrefillTime;
  EventGapAverage m_EventGapAverage;
  HeadDelayAverage m_HeadDelayAverage;
  PromptQuarantine m_PromptQuarantine;

private:
  GatewayBounds m_Bounds;
  double retryReserve() const;
  void adjustRetryBudgets();
  void limitEarlyRetries(TimePoint Until, double RetriesPerRequest);
  std::map<ServiceId, RetryWindow> m_Budgets;
  TimePoint m_RetriesAllowedFrom = TimePoint::max();
  double m_EarlyRetriesPerRequest = 0.0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_GATEWAY_STATE_H
