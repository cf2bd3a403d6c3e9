#ifndef BULRUSHPITCH_DECISION_ATTEMPT_TRACKER_H
#define BULRUSHPITCH_DECISION_ATTEMPT_TRACKER_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/error.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/decision/upstreams.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bulrushpitch {

/// @brief Passes what is observed of running attempts on to the upstream table. Calls for an unknown attempt
/// are ignored.
class AttemptTracker {
public:
  /// @brief The table must outlive this object.
  explicit AttemptTracker(UpstreamTable &Upstreams);

  void onDispatched(const AttemptId &Attempt, const UpstreamId &Upstream, TimePoint Now);
  void onFirstToken(const AttemptId &Attempt, TimePoint Now);
  void onFinished(const AttemptId &Attempt, TimePoint Now);
  /// @param Code see Router::onFailed
  void onFailed(const AttemptId &Attempt, ErrorCode Code, TimePoint Now);

private:
  struct RunningAttempt {
    UpstreamId m_Upstream;
    TimePoint m_SentAt;
  };

  /// @return the attempt, which runs no longer; empty if it is unknown
  std::optional<RunningAttempt> remove(const AttemptId &Attempt);
  /// @return index of an upstream; empty if the table does not have it
  std::optional<std::uint32_t> indexOf(const UpstreamId &Upstream) const;

  UpstreamTable &m_Upstreams;
  std::unordered_map<AttemptId, RunningAttempt> m_Attempts;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ATTEMPT_TRACKER_H
