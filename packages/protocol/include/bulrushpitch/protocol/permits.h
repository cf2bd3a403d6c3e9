#ifndef BULRUSHPITCH_PROTOCOL_PERMITS_H
#define BULRUSHPITCH_PROTOCOL_PERMITS_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushpitch {

struct PermitSettings {
  Duration m_Ttl = std::chrono::seconds(5);
  Duration m_Renew = std::chrono::seconds(2);
  Duration m_ReportLimit =
      std::chrono::seconds(3); ///< Without a report younger than this, nothing is granted.
  Duration m_StartMargin =
      std::chrono::seconds(2); ///< Time a permit must have left for a stream to be started.
};

/// @brief The ramp of an upstream, from its configuration object.
struct RampLimits {
  std::uint32_t m_ColdLimit = 1;
  std::uint32_t m_Capacity = 32;
  Duration m_WarmUp = std::chrono::seconds(30);
  bool operator==(const RampLimits &) const = default;
};

/// @brief What an instance asks of the owner.
struct PermitRequest {
  UpstreamId m_Upstream;
  InstanceId m_Holder;
  AttemptId m_Attempt;
};
/// @brief What the owner answers to a request or a renewal.
struct PermitReply {
  bool m_Granted = false;
  AttemptId m_Attempt;
  Duration m_Ttl{}; ///< Counted by the holder from the time at which it sent the request.
  FencingNumber m_Fencing;
  std::string m_Reason; ///< Why it was refused.
};

/// @brief A load report, as far as permits depend on it.
struct RampReport {
  UpstreamId m_Upstream;
  std::string m_StartId;
  TimePoint m_SampledAt; ///< When the figures were true: receipt less their age.
  std::uint32_t m_Running = 0;
  bool m_Cold = false;
};

/// @brief Action: end this stream on its upstream; report the confirmation with streamEnded().
struct CancelStream {
  UpstreamId m_Upstream;
  AttemptId m_Attempt;
};

/// @brief Grants permits for the cold and ramping upstreams that this instance owns.
///
/// An expired permit keeps its place until its stream is known to have ended: its holder may be paused while
/// the upstream goes on generating. A new owner counts what the upstream reports as running against the
/// limit.
class PermitOwner {
public:
  /// @param Lease returns the fencing number if this instance may grant permits for the upstream at this time
  using LeaseHook = std::function<std::optional<FencingNumber>(const UpstreamId &, TimePoint)>;
  explicit PermitOwner(LeaseHook Lease, PermitSettings Settings = {});

  /// @brief Starts to own an upstream, from the cold limit.
  /// @param GrantFrom when permits of earlier owners have expired
  void own(const UpstreamId &Upstream, const RampLimits &Limits, TimePoint GrantFrom);
  /// @brief Takes changed limits of an owned upstream.
  void configure(const UpstreamId &Upstream, const RampLimits &Limits);
  void disown(const UpstreamId &Upstream);
  bool owns(const UpstreamId &Upstream) const { return m_Ramps.count(Upstream) != 0; }

  void report(TimePoint Now, const RampReport &Report);
  /// @brief Takes a sign of coldness: an overload refusal, a broken stream, or two timeouts in a row.
  void cold(TimePoint Now, const UpstreamId &Upstream);
  PermitReply request(TimePoint Now, const PermitRequest &Request);
  PermitReply renew(TimePoint Now, const PermitRequest &Request);
  /// @param Ended whether the stream has ended or was never started
  void release(TimePoint Now, const PermitRequest &Request, bool Ended = true);
  /// @brief The upstream confirmed that this stream has ended.
  void streamEnded(const UpstreamId &Upstream, const AttemptId &Attempt);
  /// @brief Cancels the streams of expired permits, again each second until confirmed.
  std::vector<CancelStream> tick(TimePoint Now);

  /// @return requests at once that the upstream may have now
  std::uint32_t limit(const UpstreamId &Upstream, TimePoint Now) const;
  /// @return places taken, including expired permits whose stream may still run and streams of earlier owners
  std::uint32_t taken(const UpstreamId &Upstream) const;
  /// @return whether the ramp has reached the capacity
  bool warm(const UpstreamId &Upstream, TimePoint Now) const;

private:
  struct Permit {
    InstanceId m_Holder;
    TimePoint m_Expiry;
    std::optional<TimePoint> m_CancelledAt;
  };
  struct Ramp {
    RampLimits m_Limits;
    TimePoint m_GrantFrom;
    std::string m_StartId;
    std::optional<TimePoint> m_RampStart;
    std::optional<TimePoint> m_LastReport;
    std::optional<std::uint32_t> m_Foreign; ///< Streams that this owner did not permit; empty until reported.
    std::map<AttemptId, Permit> m_Permits;
  };
  static std::uint32_t limitOf(const Ramp &Of, TimePoint Now);
  static PermitReply refuse(const PermitRequest &Request, const std::string &Reason);
  PermitReply grant(TimePoint Now, Ramp &Of, const PermitRequest &Request, FencingNumber Fencing);

  LeaseHook m_Lease;
  PermitSettings m_Settings;
  std::map<UpstreamId, Ramp> m_Ramps;
};

/// @brief Action: ask the upstream's owner for a permit.
struct AcquirePermit {
  PermitRequest m_Request;
};
/// @brief Action: renew a permit at the upstream's owner.
struct RenewPermit {
  PermitRequest m_Request;
};
/// @brief Action: give a permit back to the upstream's owner.
struct ReleasePermit {
  PermitRequest m_Request;
  bool m_Ended = true;
  bool m_Cold = false; ///< The upstream showed a sign of coldness.
};
using PermitAction = std::variant<AcquirePermit, RenewPermit, ReleasePermit, CancelStream>;
using PermitActions = std::vector<PermitAction>;

/// @brief The permits that this instance holds, one for each stream on a cold or ramping upstream.
class PermitHolder {
public:
  explicit PermitHolder(InstanceId Self, PermitSettings Settings = {});

  PermitActions acquire(TimePoint Now, const UpstreamId &Upstream, const AttemptId &Attempt);
  /// @brief Takes the owner's answer to the newest request or renewal of this attempt.
  /// @param SentAt when the request that is answered was sent
  /// @return a release if the attempt is no longer wanted
  PermitActions answered(TimePoint Now, const UpstreamId &Upstream, const PermitReply &Reply,
                         TimePoint SentAt);
  /// @brief Renews what is due and cancels the streams whose permit has expired.
  PermitActions tick(TimePoint Now);
  /// @return whether a stream may be started now
  bool mayStart(TimePoint Now, const AttemptId &Attempt) const;
  /// @brief The attempt has ended or is not wanted any more.
  /// @param Cold whether the upstream showed a sign of coldness
  PermitActions release(TimePoint Now, const AttemptId &Attempt, bool Cold = false);
  /// @brief Gives all permits back, for a graceful stop.
  PermitActions releaseAll(TimePoint Now);
  std::size_t size() const { return m_Held.size(); }

private:
  struct Held {
    UpstreamId m_Upstream;
    TimePoint m_LastSent;
    std::optional<TimePoint> m_Expiry; ///< Empty until granted.
  };
  InstanceId m_Self;
  PermitSettings m_Settings;
  std::map<AttemptId, Held> m_Held;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_PERMITS_H
