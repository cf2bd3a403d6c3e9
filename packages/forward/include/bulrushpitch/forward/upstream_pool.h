#ifndef BULRUSHPITCH_FORWARD_UPSTREAM_POOL_H
#define BULRUSHPITCH_FORWARD_UPSTREAM_POOL_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/attempt.h"
#include "bulrushpitch/forward/objects.h"
#include "bulrushpitch/forward/prompt_quarantine.h"
#include "bulrushpitch/forward/rate_limiter.h"
#include "bulrushpitch/forward/upstream_notices.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bulrushpitch {

/// @brief A registered upstream, with its load and health as seen by this daemon.
struct PooledUpstream {
  RegisteredUpstream m_Entry;
  RegionId m_Region;
  std::uint32_t m_InFlight = 0; ///< Requests of this daemon in flight.
  Duration m_PendingPrefill{};  ///< Expected prefill time of this daemon's requests without a response head.
  TimePoint m_ColdUntil{};
  /// Until this time, it gets requests only if no other upstream can; set after failures.
  TimePoint m_EjectedUntil{};
  Duration m_AverageEventGap{};         ///< Moving average of the gap between events of its streams.
  TimePoint m_LastDataAt{};             ///< When it last sent anything, for any request.
  TimePoint m_LastAnsweredSentAt{};     ///< When the latest request that got a response head was sent.
  TimePoint m_LastFailedConnectionAt{}; ///< Reset when it sends anything.
  /// Attempts that count towards ejection; reset by any response, error responses included.
  std::uint32_t m_ConsecutiveFailures = 0;
  /// Moving average over its attempts, 0 to 1; error responses count as failures.
  double m_FailureRate = 0.0;
  std::optional<TimePoint> m_ExpiresAt; ///< Set if its entry vanished while the store was unavailable.
  /// Until this time, it gets no requests: its row comes from a restored copy of the registry, and this
  /// incarnation had left before.
  TimePoint m_HeldUntil{};
  RateLimiter m_ColdRateLimiter;
};

/// @brief The registered upstreams. Not thread-safe.
class UpstreamPool {
public:
  /// @param Regions the region of each failure domain
  explicit UpstreamPool(std::map<DomainId, RegionId> Regions);

  /// @brief Adds or updates an entry of the registry.
  void update(const RegisteredUpstream &Entry, TimePoint Now);
  /// @brief Removes an entry.
  /// @param Grace period in which the entry may reappear and stays usable, if it vanished while the
  /// store was unavailable; zero removes it at once. A draining upstream is always removed at once.
  void remove(const UpstreamId &Id, TimePoint Now, Duration Grace);
  /// @brief Applies a full snapshot of the registry; entries that are not in it are removed.
  void replaceAll(const std::vector<RegisteredUpstream> &Entries, TimePoint Now, Duration Grace);
  /// @brief Applies the first full snapshot that is read after the store was restored from an older copy.
  ///
  /// Entries that are not in it get the grace period, draining ones are removed. An upstream that was
  /// draining stays so while it is the same incarnation, also if its row is written again in the order of
  /// its former states. An upstream that had left, or had been replaced by a later incarnation, is held: it
  /// gets no requests until its row changes, or until a fixed time has passed in which the registry would
  /// have removed it again.
  void replaceAllAfterRestore(const std::vector<RegisteredUpstream> &Entries, TimePoint Now, Duration Grace);
  /// @brief Removes entries whose grace period has expired.
  void expire(TimePoint Now);

  /// @brief Sets the failure domains that operators have taken out of service. When a domain returns, its
  /// upstreams count as cold for a fixed period.
  void setDomainsOut(const std::set<DomainId> &OutOfService, TimePoint Now);
  const std::set<DomainId> &domainsOut() const { return m_DomainsOutOfService; }

  /// @name Requests of this daemon
  /// @{
  /// @brief Counts a request as in flight, before the connection is established and until onEnded().
  /// @param Prefill expected prefill time of the request's prompt
  void onSent(const UpstreamId &Id, Duration Prefill = Duration::zero());
  /// @brief Subtracts the prefill time of a request whose response has begun, or that has ended without one.
  void onPrefillDone(const UpstreamId &Id, Duration Prefill);
  /// @brief Records that the upstream sent something.
  void onDataReceived(const UpstreamId &Id, TimePoint Now);
  /// @brief Records that a request sent at the time got a response head.
  void onHeadReceived(const UpstreamId &Id, TimePoint SentAt);
  /// @brief Records the gap before an event of a stream.
  void onEventGap(const UpstreamId &Id, Duration Gap);
  /// @return the average gap between events; it decays to zero while nothing comes from the upstream, which
  /// may have recovered meanwhile
  Duration decayedEventGap(const PooledUpstream &Candidate, TimePoint Now) const;
  /// @return whether the registry has the upstream
  bool registered(const UpstreamId &Id) const { return m_Upstreams.count(Id) > 0; }
  /// @return what became of the upstream after the time. It is alive if it has answered a request that was
  /// sent later, or has sent data so late that it had not been on the way.
  UpstreamFate fateSince(const UpstreamIncarnation &Upstream, TimePoint Time) const;
  /// @return whether the upstream sent something within the liveness timeout
  bool recentlyActive(const UpstreamId &Id, TimePoint Now) const;
  /// @return whether the domain seems unreachable: several connections to it have failed since any of its
  /// upstreams sent something, the last one recently
  bool domainUnreachable(const DomainId &Domain, TimePoint Now) const;
  /// @return whether a connection to the upstream failed at the time or later, and it has sent nothing since
  bool unreachableSince(const UpstreamId &Id, TimePoint Time) const;
  /// @brief Records the end of an attempt in the upstream's load and health.
  void onEnded(const UpstreamId &Id, AttemptOutcome Outcome, TimePoint Now);
  /// @}

  /// @return whether the upstream may get requests, without regard to coldness and ejection
  bool usable(const PooledUpstream &Candidate, TimePoint Now) const;
  /// @return whether the upstream is to be avoided because it failed
  bool ejected(const PooledUpstream &Candidate, TimePoint Now) const;
  bool cold(const PooledUpstream &Candidate, TimePoint Now) const { return Now < Candidate.m_ColdUntil; }
  /// @return the upstreams of a service, ordered by id
  const std::vector<PooledUpstream *> &ofService(const ServiceId &Id) const;
  PooledUpstream *find(const UpstreamId &Id);
  std::size_t size() const { return m_Upstreams.size(); }
  /// @return what the upstreams have said of themselves in their answers
  UpstreamNotices &notices() { return m_Notices; }
  const UpstreamNotices &notices() const { return m_Notices; }

private:
  /// An incarnation that has left.
  struct Departure {
    RegisteredUpstream m_Entry;
    TimePoint m_At{};
  };

  void storeEntry(const RegisteredUpstream &Entry, TimePoint Now);
  void rebuildServiceIndex();
  void recordDeparture(const RegisteredUpstream &Entry, TimePoint Now);
  /// @return whether the entry's incarnation is known to be draining
  bool isLeaving(const RegisteredUpstream &Entry, TimePoint Now) const;
  /// @return whether the entry's incarnation has left, or was replaced by a later one
  bool hasLeft(const RegisteredUpstream &Entry, TimePoint Now) const;
  const Departure *departureOf(const UpstreamId &Id, TimePoint Now) const;

  UpstreamNotices m_Notices;
  std::map<DomainId, RegionId> m_Regions;
  struct DomainFailures {
    std::uint32_t m_ConsecutiveCount = 0; ///< Failed connections since anything came from the domain.
    TimePoint m_LastAt{};
  };
  std::map<DomainId, DomainFailures> m_DomainFailures;
  std::set<DomainId> m_DomainsOutOfService;
  std::map<UpstreamId, PooledUpstream> m_Upstreams;
  std::map<UpstreamId, Departure> m_Departures; ///< The latest one of each upstream.
  TimePoint m_RestoreEndsAt{};                  ///< Until then, rows may be older than what is known.
  std::unordered_map<ServiceId, std::vector<PooledUpstream *>> m_ByService;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_UPSTREAM_POOL_H
