#ifndef BULRUSHPITCH_DECISION_UPSTREAMS_H
#define BULRUSHPITCH_DECISION_UPSTREAMS_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/decision/prefix_cache.h"
#include "bulrushpitch/decision/route.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief Why an upstream receives no new requests.
enum class Exclusion : std::uint8_t { None, DomainOut, Draining, Leaving, Unreachable };

/// @brief This daemon's view of all upstreams: load, readiness, cache contents and exclusions.
///
/// Load reports lag behind the actual load. The known load of an upstream is the load that other daemons have
/// put on it according to the last report, plus this daemon's own outstanding requests, which are known
/// exactly; own requests that the report already includes are not counted twice. An upstream is addressed by
/// an index that is stable as long as the configuration lists the upstream. Not thread-safe.
class UpstreamTable {
public:
  static constexpr std::uint32_t NoIndex = UINT32_MAX;

  /// @brief Applies the upstreams of a configuration. An upstream becomes cold if it is new, if its domain
  /// returns to service, or if its address or domain changes; the others keep their state.
  /// @complexity O(n log n) in the number of upstreams, plus a linear search for a free slot per new upstream
  void setConfiguration(const Configuration &Config);

  /// @name Observations
  /// @{
  /// @brief Applies a load report. The upstream becomes cold if its start ID has changed or if the report
  /// says so; otherwise a cold upstream that reports running requests starts to ramp up. If the start ID has
  /// changed, the entries of the upstream in the prefix cache index are dropped.
  void onReport(const LoadReport &Report);
  /// @brief Applies cache events in the order of their sequence numbers. Events already applied are ignored;
  /// a gap halves the certainty of the entries recorded before it.
  void onCacheEvents(const UpstreamId &Id, const std::vector<CacheEvent> &Events);
  /// @brief Sets whether an upstream is leaving according to the instance list.
  void setLeaving(const UpstreamId &Id, bool Leaving);
  /// @brief Marks an upstream as unreachable until a point in time; TimePoint::max() means indefinitely.
  void setUnreachable(const UpstreamId &Id, TimePoint Until);
  /// @brief Sets whether the upstreams of a domain are reachable, for example in a network partition between
  /// regions.
  void setDomainReachable(const DomainId &Id, bool Reachable);
  /// @brief Marks an upstream as cold, for example after a refusal or on a message from a peer.
  void setCold(const UpstreamId &Id);
  /// @brief Marks an upstream as warm, as reported by its owner.
  void setWarm(const UpstreamId &Id, TimePoint Now);
  /// @brief Records that an upstream refused a request because of overload. It becomes cold.
  void onRefused(const UpstreamId &Id) { setCold(Id); }
  /// @brief Records that a request timed out. After two consecutive timeouts the upstream becomes cold.
  void onTimeout(const UpstreamId &Id);
  /// @}

  /// @name Requests of this daemon
  /// @{
  void addOutstanding(std::uint32_t Index, TimePoint Now);
  /// @param SentAt time that was passed to addOutstanding() for the request
  void removeOutstanding(std::uint32_t Index, TimePoint Now, TimePoint SentAt);
  /// @brief Records a response. A cold upstream starts to ramp up, and the count of consecutive timeouts is
  /// reset.
  void onResponse(std::uint32_t Index, TimePoint Now);
  /// @brief Updates the mean service time with the time of a request from dispatch to end.
  void onServiceTime(std::uint32_t Index, Duration ServiceTime);
  /// @brief Records that a prefix is probably cached, because a request with it was sent to the upstream.
  void assumeCached(std::uint32_t Index, std::uint64_t Prefix);
  /// @}

  /// @name Queries
  /// @{
  std::uint32_t size() const { return static_cast<std::uint32_t>(m_States.size()); }
  /// @return index of the upstream, or NoIndex if it is unknown
  std::uint32_t indexOf(const UpstreamId &Id) const;
  const UpstreamId &idOf(std::uint32_t Index) const { return m_States[Index].m_Id; }
  const RegionId &regionOf(std::uint32_t Index) const { return m_States[Index].m_Region; }
  Exclusion exclusion(std::uint32_t Index, TimePoint Now) const;
  Warmth warmth(std::uint32_t Index, TimePoint Now) const;
  /// @return maximum number of concurrent requests at @p Now
  std::uint32_t limit(std::uint32_t Index, TimePoint Now) const;
  /// @return number of requests known to be at the upstream
  std::uint32_t knownLoad(std::uint32_t Index) const;
  /// @brief Estimates the load at @p Now. Some requests of other daemons that the last report counted have
  /// ended since. Other daemons apply the same rules to similar reports, so they have probably sent requests
  /// to the same upstreams as this daemon.
  /// @param OtherDaemonRequestRatio number of requests by other daemons that are assumed for each outstanding
  /// request that this daemon sent after the figures of the report were taken
  /// @return estimated number of requests at the upstream
  double estimatedLoad(std::uint32_t Index, double OtherDaemonRequestRatio, TimePoint Now) const;
  /// @return number of this daemon's requests at the upstream
  std::uint32_t outstanding(std::uint32_t Index) const { return m_States[Index].m_Outstanding; }
  /// @brief Estimates the time between two tokens of a stream.
  /// @param Load number of running requests
  /// @param Baseline inter-token latency of an idle engine in seconds, used until a report allows an estimate
  /// @return seconds
  double interTokenLatency(std::uint32_t Index, double Load, double Baseline) const;
  const PrefixCacheIndex &cache() const { return m_Cache; }
  /// @return a counter that increases whenever the result of exclusion() may change for a reason other than
  /// time
  std::uint64_t generation() const { return m_Generation; }
  /// @}

private:
  /// Number of recorded dispatches and ends of own requests, which show what a lagging report already
  /// includes. At 60 requests/s to one upstream, 64 changes cover half a second.
  static constexpr std::size_t HistorySize = 64;
  struct OutstandingChange {
    TimePoint m_At{};
    TimePoint m_SentAt{};          ///< Dispatch time of the request.
    std::int32_t m_CountDelta = 0; ///< 1 for a dispatch, -1 for an end.
  };
  struct State {
    UpstreamId m_Id;
    DomainId m_Domain;
    RegionId m_Region;
    std::string m_Endpoint;
    bool m_Configured = false; ///< Whether the configuration lists the upstream.
    std::uint32_t m_Capacity = 1;
    std::uint32_t m_ColdLimit = 1;
    Duration m_WarmUp{};
    bool m_DomainOut = false;
    bool m_Draining = false;
    bool m_Leaving = false;         ///< According to the instance list.
    bool m_ReportedLeaving = false; ///< According to the last load report.
    bool m_DomainUnreachable = false;
    TimePoint m_UnreachableUntil{};
    Warmth m_Warmth = Warmth::Cold;
    TimePoint m_RampStart{};
    std::string m_StartId;
    std::uint32_t m_ConsecutiveTimeouts = 0;
    std::uint32_t m_Outstanding = 0;
    std::uint32_t m_OtherLoad = 0; ///< Requests of other daemons according to the last report.
    std::uint32_t m_SentSinceReport =
        0;                          ///< Outstanding own requests that were sent after m_ReportMeasuredAt.
    TimePoint m_ReportMeasuredAt{}; ///< Time at which the figures of the last report were taken.
    double m_BaseInterTokenLatency = 0.0; ///< Seconds, at no load; 0 before the first report.
    double m_ServiceSeconds = 1.0;
    std::uint64_t m_NextEventSequence = 0;
    std::array<OutstandingChange, HistorySize> m_History{};
    std::uint32_t m_ChangeCount = 0; ///< Changes recorded so far; m_History is a ring buffer.
  };

  std::uint32_t findOrAddSlot(const UpstreamId &Id);
  void markCold(std::uint32_t Index);
  static std::uint32_t outstandingSentAfter(const State &Slot, TimePoint MeasuredAt);
  static std::uint32_t outstandingAt(const State &Slot, TimePoint MeasuredAt);
  static void recordChange(State &Slot, std::int32_t Delta, TimePoint Now, TimePoint SentAt);

  std::vector<State> m_States;
  std::unordered_map<UpstreamId, std::uint32_t> m_Index;
  std::set<DomainId> m_UnreachableDomains;
  PrefixCacheIndex m_Cache;
  std::uint64_t m_Generation = 0;
};

/// @return "none", "domain out", "draining", "leaving" or "unreachable"
std::string_view nameOf(Exclusion Value);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_UPSTREAMS_H
