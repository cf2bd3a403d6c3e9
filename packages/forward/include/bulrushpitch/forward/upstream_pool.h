#ifndef BULRUSHPITCH_FORWARD_UPSTREAM_POOL_H
#define BULRUSHPITCH_FORWARD_UPSTREAM_POOL_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/attempt.h"
#include "bulrushpitch/forward/objects.h"
#include "bulrushpitch/forward/pacer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief What this daemon knows of one registered upstream.
struct PooledUpstream {
  RegisteredUpstream m_Entry;
  RegionId m_Region;
  std::uint32_t m_InFlight = 0; ///< Requests of this daemon.
  Duration m_PendingWork{};     ///< Expected time to the first events of this daemon's requests.
  TimePoint m_ColdUntil{};
  TimePoint m_EjectedUntil{};  ///< Gets no requests before, because it failed.
  Duration m_EventGap{};       ///< Usual pause between the events of its streams; see eventGap().
  TimePoint m_HeardAt{};       ///< When anything came from it last, for any request.
  TimePoint m_UnreachableAt{}; ///< When a connection to it failed last, if none has been made since.
  std::uint32_t m_FailedInRow = 0;
  double m_FailureRate = 0.0;          ///< Of the newest answers, weighted by age.
  std::optional<TimePoint> m_LapsesAt; ///< Its entry vanished while the store was away.
  Pacer m_ColdPacer;
};

/// @brief The registered upstreams, with their load and health as seen by this daemon. Not thread-safe.
class UpstreamPool {
public:
  /// @param Regions the region of each failure domain
  explicit UpstreamPool(std::map<DomainId, RegionId> Regions);

  /// @brief Takes a new or changed entry of the registry.
  void update(const RegisteredUpstream &Entry, TimePoint Now);
  /// @brief Takes the removal of an entry.
  /// @param Grace how long the entry may still come back, because the store was away while it vanished
  void remove(const UpstreamId &Id, TimePoint Now, Duration Grace);
  /// @brief Takes the whole registry; entries that are not in it are removed.
  void replaceAll(const std::vector<RegisteredUpstream> &Entries, TimePoint Now, Duration Grace);
  /// @brief Drops entries whose time to come back is over.
  void expire(TimePoint Now);

  /// @brief Takes the failure domains that operators have taken out. The upstreams of a domain that returns
  /// count as cold for a while.
  void setDomainsOut(const std::set<DomainId> &Out, TimePoint Now);
  const std::set<DomainId> &domainsOut() const { return m_Out; }

  /// @name Own requests
  /// @{
  /// @param Work expected time that the upstream reads the request's prompt
  void onSent(const UpstreamId &Id, Duration Work = Duration::zero());
  /// @brief Takes back the work of a request whose answer has begun, or that has ended without.
  void onWorkDone(const UpstreamId &Id, Duration Work);
  /// @brief Notes that something came from the upstream.
  void onHeard(const UpstreamId &Id, TimePoint Now);
  /// @brief Notes the pause before an event of a stream.
  void onEventGap(const UpstreamId &Id, Duration Gap);
  /// @return the usual pause between events now: an upstream that has sent none for a while may have
  /// recovered
  Duration eventGap(const PooledUpstream &Candidate, TimePoint Now) const;
  /// @return whether something came from the upstream so lately that it is at work
  bool alive(const UpstreamId &Id, TimePoint Now) const;
  /// @return whether no upstream of the domain seems to be reachable: several connections to it have failed
  /// since anything came from it
  bool unreachable(const DomainId &Domain, TimePoint Now) const;
  /// @return whether the upstream has ended: it is no longer registered, or takes no connections
  bool ended(const UpstreamId &Id, TimePoint Now) const;
  /// @brief Counts an attempt's end towards the upstream's health.
  void onEnded(const UpstreamId &Id, AttemptOutcome Outcome, TimePoint Now);
  /// @}

  /// @return whether the upstream may get requests, coldness aside
  bool usable(const PooledUpstream &Candidate, TimePoint Now) const;
  bool ejected(const PooledUpstream &Candidate, TimePoint Now) const;
  bool cold(const PooledUpstream &Candidate, TimePoint Now) const { return Now < Candidate.m_ColdUntil; }
  /// @return the upstreams of a service, in the order of their ids
  const std::vector<PooledUpstream *> &ofService(const ServiceId &Id) const;
  PooledUpstream *find(const UpstreamId &Id);
  std::size_t size() const { return m_Upstreams.size(); }

private:
  void store(const RegisteredUpstream &Entry, TimePoint Now);
  void index();

  std::map<DomainId, RegionId> m_Regions;
  struct DomainFailures {
    std::uint32_t m_InRow = 0; ///< Connections that failed since anything came from the domain.
    TimePoint m_LastAt{};
  };
  std::map<DomainId, DomainFailures> m_DomainFailures;
  std::set<DomainId> m_Out;
  std::map<UpstreamId, PooledUpstream> m_Upstreams;
  std::unordered_map<ServiceId, std::vector<PooledUpstream *>> m_ByService;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_UPSTREAM_POOL_H
