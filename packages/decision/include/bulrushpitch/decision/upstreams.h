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

/// @brief Why an upstream gets no new work.
enum class Exclusion : std::uint8_t { None, DomainOut, Draining, Leaving, Unreachable };

/// @brief What this daemon knows of all upstreams: load, readiness, cache contents, exclusions.
///
/// Load reports lag. The known load of an upstream is the reported load of the other daemons plus this
/// daemon's own outstanding requests, which are known exactly; requests of this daemon that a report already
/// counts are not counted twice. Upstreams are addressed by an index that stays the same while the
/// configuration lists the upstream. Not thread-safe.
class UpstreamTable {
public:
  static constexpr std::uint32_t NoIndex = UINT32_MAX;

  /// @brief Takes the upstreams of a configuration. A new upstream is cold; the upstreams of a domain that
  /// returns are cold; the state of the others is kept.
  /// @complexity O(n log n) in the number of upstreams
  void setConfiguration(const Configuration &Config);

  /// @name Observations
  /// @{
  /// @brief Takes a load report. A changed start id and a report of coldness make the upstream cold.
  void onReport(const LoadReport &Report);
  /// @brief Takes cache events in the order of their numbers; a gap halves the certainty of older entries.
  void onCacheEvents(const UpstreamId &Id, const std::vector<CacheEvent> &Events);
  /// @brief Marks an upstream as leaving, or not, as the instance list says.
  void setLeaving(const UpstreamId &Id, bool Leaving);
  /// @brief Marks an upstream as not reachable until a time. Use TimePoint::max() for no end.
  void setUnreachable(const UpstreamId &Id, TimePoint Until);
  /// @brief Marks all upstreams of a domain as not reachable, or reachable, for example in a region cut.
  void setDomainReachable(const DomainId &Id, bool Reachable);
  /// @brief Makes an upstream cold, on a sign from elsewhere (a refusal, a peer).
  void setCold(const UpstreamId &Id);
  /// @brief Makes an upstream warm: its owner says so.
  void setWarm(const UpstreamId &Id, TimePoint Now);
  /// @brief An upstream refused work because of overload: it becomes cold.
  void onRefused(const UpstreamId &Id) { setCold(Id); }
  /// @brief A request timed out; after two in a row the upstream becomes cold.
  void onTimeout(const UpstreamId &Id);
  /// @}

  /// @name Own requests
  /// @{
  void addOutstanding(std::uint32_t Index, TimePoint Now);
  /// @param Sent when the request was added
  void removeOutstanding(std::uint32_t Index, TimePoint Now, TimePoint Sent);
  /// @brief The upstream answered: its ramp starts or goes on, and its timeouts in a row end.
  void onServed(std::uint32_t Index, TimePoint Now);
  /// @brief Notes how long a request took, from dispatch to end.
  void onServiceTime(std::uint32_t Index, Duration Taken);
  /// @brief Assumes that a prefix is cached where a request with it was sent.
  void assumeCached(std::uint32_t Index, std::uint64_t Prefix);
  /// @}

  /// @name Questions
  /// @{
  std::uint32_t size() const { return static_cast<std::uint32_t>(m_States.size()); }
  /// @return the index, or NoIndex
  std::uint32_t indexOf(const UpstreamId &Id) const;
  const UpstreamId &idOf(std::uint32_t Index) const { return m_States[Index].m_Id; }
  const RegionId &regionOf(std::uint32_t Index) const { return m_States[Index].m_Region; }
  Exclusion exclusion(std::uint32_t Index, TimePoint Now) const;
  Warmth warmth(std::uint32_t Index, TimePoint Now) const;
  /// @return requests that the upstream may hold at once now
  std::uint32_t limit(std::uint32_t Index, TimePoint Now) const;
  /// @return requests known to be at the upstream
  std::uint32_t knownLoad(std::uint32_t Index) const;
  /// @brief Estimates the load now. The others' requests of the last report have ended in part. Other daemons
  /// decide by the same rules on like reports, so they are likely to have sent where this daemon has.
  /// @param Imitation requests of others for each that this daemon sent after the report's figures and that
  /// still runs
  double likelyLoad(std::uint32_t Index, double Imitation, TimePoint Now) const;
  /// @return requests of this daemon at the upstream
  std::uint32_t outstanding(std::uint32_t Index) const { return m_States[Index].m_Own; }
  /// @param Load requests running
  /// @param Usual seconds between tokens of an idle engine that has not reported any
  /// @return seconds between two tokens of a stream
  double tokenGap(std::uint32_t Index, double Load, double Usual) const;
  /// @return mean time of the last requests at the upstream, in seconds
  double serviceSeconds(std::uint32_t Index) const { return m_States[Index].m_ServiceSeconds; }
  const PrefixCacheIndex &cache() const { return m_Cache; }
  /// @return a number that changes whenever the answer of exclusion may change other than by time
  std::uint64_t generation() const { return m_Generation; }
  /// @}

private:
  /// Own dispatches and ends that are kept to tell what a lagging report has already counted. At 60
  /// requests/s to one upstream, 64 changes reach back half a second.
  static constexpr std::size_t HistorySize = 64;
  struct Change {
    TimePoint m_At{};
    TimePoint m_Sent{}; ///< When the request was sent.
    std::int32_t m_Delta = 0;
  };
  struct State {
    UpstreamId m_Id;
    DomainId m_Domain;
    RegionId m_Region;
    std::string m_Endpoint;
    bool m_Present = false; ///< Whether the configuration lists it.
    std::uint32_t m_Capacity = 1;
    std::uint32_t m_ColdLimit = 1;
    Duration m_WarmUp{};
    bool m_DomainOut = false;
    bool m_Draining = false;
    bool m_Leaving = false;
    bool m_ReportedLeaving = false;
    bool m_DomainUnreachable = false;
    TimePoint m_UnreachableUntil{};
    Warmth m_Warmth = Warmth::Cold;
    TimePoint m_RampStart{};
    std::string m_StartId;
    std::uint32_t m_Timeouts = 0;
    std::uint32_t m_Own = 0;
    std::uint32_t m_Others = 0;
    std::uint32_t m_SentSince = 0; ///< Own requests that run and were sent after m_ReportOf.
    TimePoint m_ReportOf{};        ///< Time of the last report's figures.
    double m_BaseGap = 0.0;        ///< Seconds between tokens at no load; 0 before any report.
    double m_ServiceSeconds = 1.0;
    std::uint64_t m_NextEvent = 0;
    std::array<Change, HistorySize> m_History{};
    std::uint32_t m_HistoryNext = 0;
  };

  std::uint32_t slotFor(const UpstreamId &Id);
  void coolDown(std::uint32_t Index);
  static std::uint32_t runningSentAfter(const State &Target, TimePoint Then);
  static std::uint32_t ownAt(const State &Target, TimePoint Then);
  static void note(State &Target, std::int32_t Delta, TimePoint Now, TimePoint Sent);

  std::vector<State> m_States;
  std::unordered_map<UpstreamId, std::uint32_t> m_Index;
  std::set<DomainId> m_UnreachableDomains;
  PrefixCacheIndex m_Cache;
  std::uint64_t m_Generation = 0;
};

/// @param Value a reason to exclude an upstream
/// @return "none", "domain out", "draining", "leaving" or "unreachable"
std::string_view nameOf(Exclusion Value);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_UPSTREAMS_H
