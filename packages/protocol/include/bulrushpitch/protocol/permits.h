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
  Duration m_RenewInterval = std::chrono::seconds(2);
  /// Permits are granted only if the last load report is not older.
  Duration m_MaxReportAge = std::chrono::seconds(3);
  /// Minimum remaining validity of a permit when a stream starts.
  Duration m_StartMargin = std::chrono::seconds(2);
};

/// @brief Concurrency limits of a warming upstream, from its configuration object. The limit rises linearly
/// from m_ColdLimit to m_Capacity within m_WarmUp.
struct RampLimits {
  std::uint32_t m_ColdLimit = 1;
  std::uint32_t m_Capacity = 32;
  Duration m_WarmUp = std::chrono::seconds(30);
  bool operator==(const RampLimits &) const = default;
};

/// @brief Request for a permit, sent by an instance to the owner of the upstream.
struct PermitRequest {
  UpstreamId m_Upstream;
  InstanceId m_Holder;
  AttemptId m_Attempt;
};
/// @brief The owner's reply to a request or renewal.
struct PermitReply {
  bool m_Granted = false;
  AttemptId m_Attempt;
  Duration m_Ttl{}; ///< Validity, counted from the time at which the holder sent the request.
  FencingNumber m_Fencing;
  std::string m_Reason; ///< Reason for a refusal.
};

/// @brief The part of a load report on which permits depend.
struct RampReport {
  UpstreamId m_Upstream;
  std::string m_StartId;
  TimePoint m_SampledAt;       ///< When the figures were measured: time of receipt minus their age.
  std::uint32_t m_Running = 0; ///< Number of running streams.
  bool m_Cold = false;
};

/// @brief Action: cancel this stream at its upstream; the owner expects the confirmation by streamEnded().
struct CancelStream {
  UpstreamId m_Upstream;
  AttemptId m_Attempt;
};

/// @brief Grants permits for the cold and ramping upstreams that this instance owns.
///
/// An expired permit counts towards the limit until its stream is known to have ended: its holder may be
/// paused while the upstream is still generating. For a new owner, the streams that the upstream reports as
/// running also count towards the limit.
class PermitOwner {
public:
  /// @brief Returns the fencing number if this instance may grant permits for the upstream at this time.
  using FencingHook = std::function<std::optional<FencingNumber>(const UpstreamId &, TimePoint)>;
  explicit PermitOwner(FencingHook Hook, PermitSettings Settings = {});

  /// @brief Adds an upstream that this instance owns from now on; its limit starts at the cold limit.
  /// @param GrantsFrom time at which all permits of earlier owners have expired
  void addUpstream(const UpstreamId &Upstream, const RampLimits &Limits, TimePoint GrantsFrom);
  /// @brief Applies changed limits to an owned upstream.
  void configure(const UpstreamId &Upstream, const RampLimits &Limits);
  /// @brief Removes an upstream that this instance no longer owns, with its permits.
  void removeUpstream(const UpstreamId &Upstream);
  bool owns(const UpstreamId &Upstream) const { return m_Ramps.count(Upstream) != 0; }

  /// @brief Applies a load report; reports sampled before GrantsFrom or out of order are ignored.
  void applyReport(TimePoint Now, const RampReport &Report);
  /// @brief Restarts the ramp after a sign of coldness: an overload rejection, a broken stream, or two
  /// timeouts in a row.
  void coldSignSeen(TimePoint Now, const UpstreamId &Upstream);
  PermitReply request(TimePoint Now, const PermitRequest &Request);
  PermitReply renew(TimePoint Now, const PermitRequest &Request);
  /// @param Ended whether the stream has ended or was never started; if false, the permit expires now
  void release(TimePoint Now, const PermitRequest &Request, bool Ended = true);
  /// @brief Frees the permit of a cancelled stream after the upstream confirmed that the stream has ended.
  void streamEnded(const UpstreamId &Upstream, const AttemptId &Attempt);
  /// @brief Cancels the streams of expired permits; repeated every second until confirmed.
  std::vector<CancelStream> tick(TimePoint Now);

  /// @return concurrency limit of the upstream at this time; 0 if this instance does not own it
  std::uint32_t limit(const UpstreamId &Upstream, TimePoint Now) const;
  /// @return number of slots in use, including expired permits whose stream may still run and streams of
  /// earlier owners
  std::uint32_t usedSlots(const UpstreamId &Upstream) const;
  /// @return whether the ramp has reached the capacity
  bool warm(const UpstreamId &Upstream, TimePoint Now) const;

private:
  struct GrantedPermit {
    InstanceId m_Holder;
    TimePoint m_Expiry;
    std::optional<TimePoint> m_CancelledAt;
  };
  struct UpstreamRamp {
    RampLimits m_Limits;
    TimePoint m_GrantsFrom;
    std::string m_StartId;
    std::optional<TimePoint> m_RampStart;
    std::optional<TimePoint> m_LastSampledAt;
    /// Maximum number of running streams that this owner did not permit; empty until reported.
    std::optional<std::uint32_t> m_UnpermittedStreams;
    std::map<AttemptId, GrantedPermit> m_Permits;
  };
  static std::uint32_t limitOf(const UpstreamRamp &Ramp, TimePoint Now);
  static PermitReply refuse(const PermitRequest &Request, const std::string &Reason);
  PermitReply grant(TimePoint Now, UpstreamRamp &Ramp, const PermitRequest &Request, FencingNumber Fencing);

  FencingHook m_FencingHook;
  PermitSettings m_Settings;
  std::map<UpstreamId, UpstreamRamp> m_Ramps;
};

/// @brief Action: ask the upstream's owner for a permit.
struct AcquirePermit {
  PermitRequest m_Request;
};
/// @brief Action: renew a permit at the upstream's owner.
struct RenewPermit {
  PermitRequest m_Request;
};
/// @brief Action: return a permit to the upstream's owner.
struct ReleasePermit {
  PermitRequest m_Request;
  bool m_StreamEnded = true;   ///< As in PermitOwner::release().
  bool m_ColdSignSeen = false; ///< The upstream showed a sign of coldness.
};
using PermitAction = std::variant<AcquirePermit, RenewPermit, ReleasePermit, CancelStream>;
using PermitActions = std::vector<PermitAction>;

/// @brief The permits that this instance holds, one for each of its streams on a cold or ramping upstream.
class PermitHolder {
public:
  explicit PermitHolder(InstanceId Self, PermitSettings Settings = {});

  /// @brief Requests a permit for an attempt.
  PermitActions acquire(TimePoint Now, const UpstreamId &Upstream, const AttemptId &Attempt);
  /// @brief Processes the owner's reply to the latest request or renewal of this attempt.
  /// @param SentAt time at which that request was sent
  /// @return a release if the attempt is no longer wanted or the permit has already expired
  PermitActions replyReceived(TimePoint Now, const UpstreamId &Upstream, const PermitReply &Reply,
                              TimePoint SentAt);
  /// @brief Renews the permits that are due, and cancels the streams whose permits have expired.
  PermitActions tick(TimePoint Now);
  /// @return whether the attempt has a permit that is valid for more than m_StartMargin
  bool mayStart(TimePoint Now, const AttemptId &Attempt) const;
  /// @brief Returns the permit of an attempt that has ended or is no longer wanted.
  /// @param ColdSignSeen whether the upstream showed a sign of coldness
  PermitActions release(TimePoint Now, const AttemptId &Attempt, bool ColdSignSeen = false);
  /// @brief Returns all permits, for a graceful shutdown.
  PermitActions releaseAll(TimePoint Now);
  std::size_t size() const { return m_Permits.size(); }

private:
  struct HeldPermit {
    UpstreamId m_Upstream;
    TimePoint m_LastSentAt;
    std::optional<TimePoint> m_Expiry; ///< Empty until granted.
  };
  InstanceId m_Self;
  PermitSettings m_Settings;
  std::map<AttemptId, HeldPermit> m_Permits;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_PERMITS_H
