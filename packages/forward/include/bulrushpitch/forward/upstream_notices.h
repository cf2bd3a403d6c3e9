#ifndef BULRUSHPITCH_FORWARD_UPSTREAM_NOTICES_H
#define BULRUSHPITCH_FORWARD_UPSTREAM_NOTICES_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/forward/objects.h"
#include "bulrushpitch/forward/rate_limiter.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace bulrushpitch {

/// @brief What an upstream says of itself in the head of an answer.
struct UpstreamNotice {
  /// Requests per second that it accepts from all daemons together, for as long as its answers say so.
  std::optional<double> m_RequestLimit;
  bool m_LimitUnreadable = false; ///< It names a limit that can't be read; what is known of it stays.
  bool m_Leaving = false;         ///< It is about to end.
  /// For so long it wants no request of this daemon.
  std::optional<Duration> m_Pause;
};

/// @brief Requests that each daemon may send to an upstream that has named a limit.
struct NamedLimitShare {
  std::uint32_t m_Daemons = 1; ///< Number of all daemons.
  /// Rank of this daemon for the upstream in the current epoch, from 0. With another epoch come other ranks.
  std::uint32_t m_Rank = 0;
  bool m_HasShare = true; ///< Whether this daemon may use its share; see JoinProgress.
};

/// @return requests that this daemon may send in any four seconds
///
/// The shares of all daemons add up to the limit, or to one request if it is lower, and at most to what is
/// tolerated above it while some daemons have begun an epoch and others have not. If there are more daemons
/// than requests, those of the lowest ranks may send one each.
std::uint32_t shareOfNamedLimit(double RequestsPerSecond, const NamedLimitShare &Share);

/// @brief What the upstreams have said of themselves in their answers to this daemon. It holds whatever the
/// registry says, until an upstream says otherwise or starts again.
///
/// Not thread-safe.
class UpstreamNotices {
public:
  /// @brief Records what the head of an answer says. An upstream that has said that it leaves does so,
  /// whatever it says later.
  /// @param Upstream the upstream as registered when the request was sent
  /// @param SentAt when the request was sent
  /// @return whether this changes what is known
  bool record(const RegisteredUpstream &Upstream, const UpstreamNotice &Notice, TimePoint SentAt,
              TimePoint Now);

  /// @return whether the upstream has said that it is about to end
  bool isLeaving(const RegisteredUpstream &Upstream) const;
  /// @return the limit that the upstream names; nothing if it names none
  std::optional<double> requestLimit(const RegisteredUpstream &Upstream) const;
  /// @return when this daemon may send the next request to the upstream: after the pause that it asked for,
  /// and within the share of its limit; nothing if the share is zero
  std::optional<TimePoint> nextRequestAt(const RegisteredUpstream &Upstream,
                                         const NamedLimitShare &Share) const;
  /// @return the end of the pause that the upstream asked for; in the past if there is none
  TimePoint pausedUntil(const RegisteredUpstream &Upstream) const;
  /// @brief Counts a request against this daemon's share of the limit, if the upstream names one.
  void countRequest(const RegisteredUpstream &Upstream, const NamedLimitShare &Share, TimePoint Now);

private:
  /// What one incarnation of an upstream has said.
  struct Known {
    std::int64_t m_StartedAt = 0;
    Endpoint m_Address;
    TimePoint m_RecordedAt{};
    std::optional<double> m_RequestLimit;
    TimePoint m_LimitNamedAt{}; ///< When an answer last named a limit.
    RateLimiter m_RateLimiter;
    bool m_Leaving = false;
    TimePoint m_PausedUntil{};
  };

  const Known *find(const RegisteredUpstream &Upstream) const;
  /// @return whether the limit changed
  bool recordLimit(const RegisteredUpstream &Upstream, const UpstreamNotice &Notice, TimePoint SentAt,
                   TimePoint Now);
  bool recordLeaving(const RegisteredUpstream &Upstream, TimePoint Now);
  /// @return whether the upstream was not paused before
  bool recordPause(const RegisteredUpstream &Upstream, Duration Pause, TimePoint Now);
  /// @return what is known of the upstream; made if there is nothing
  Known &entryOf(const RegisteredUpstream &Upstream, TimePoint Now);
  void forgetOldest();

  std::map<UpstreamId, Known> m_Known;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_UPSTREAM_NOTICES_H
