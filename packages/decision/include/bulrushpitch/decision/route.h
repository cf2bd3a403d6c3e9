#ifndef BULRUSHPITCH_DECISION_ROUTE_H
#define BULRUSHPITCH_DECISION_ROUTE_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/error.h"
#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief The properties of a model request that routing depends on.
struct RouteRequest {
  TeamId m_Team;
  ModelId m_Model;
  TaskName m_Task;
  RequestId m_Request;
  std::optional<SessionId> m_Session;
  std::optional<VersionId> m_PinnedVersion; ///< Version fixed by a session token or named by the caller.
  std::optional<double> m_QualityTarget;    ///< Quality target between 0 and 1; the team's target if absent.
  TimePoint m_Deadline;
  Tokens m_PromptTokens;
  Tokens m_ExpectedTokens;
  std::vector<std::uint64_t>
      m_PrefixHashes; ///< Hashes of prompt prefixes in ascending length, for cache affinity.
  bool m_Streaming = false;
  /// Choose a single version instead of a cascade. Set for a request that starts a session: the session keeps
  /// the version, and the first step of a cascade alone may be far below the quality target.
  bool m_SingleVersionOnly = false;
  std::uint32_t m_CascadeStep =
      0; ///< First cascade step that may still be used; the earlier ones were rejected or skipped.
  std::vector<UpstreamId> m_ExcludedUpstreams; ///< Upstreams where it failed or was denied a permit.
};

/// @brief The rule by which a version was chosen.
enum class RouteRule : std::uint8_t {
  Pinned,     ///< The version fixed by the session or named by the caller.
  Direct,     ///< The cheapest version whose lower bound of quality reaches the target.
  Cascade,    ///< A step of the cheapest cascade whose lower bound of quality reaches the target.
  Explore,    ///< A cheaper version that may reach the target, chosen to measure its quality.
  BestEffort, ///< No lower bound reaches the target; the version with the highest one.
  Service     ///< A call of a plain service, which has no version.
};

/// @brief Readiness of an upstream for load.
enum class Warmth : std::uint8_t { Cold, Ramping, Warm };

/// @brief The figures behind a decision. They are stored as numbers because formatting a line of text for
/// each decision would cost more than the decision itself.
struct RouteReason {
  RouteRule m_Rule = RouteRule::Direct;
  Warmth m_Warmth = Warmth::Warm;
  bool m_OtherRegion = false;
  std::uint32_t m_KnownLoad = 0; ///< Requests known to be at the upstream, without this one.
  std::uint32_t m_Limit = 0;     ///< Requests that the upstream may run at once at the time of the decision.
  std::uint32_t m_Considered =
      0; ///< Possible upstreams that were compared; one that was sampled and cached a prefix counts twice.
  double m_LowerBound = 0.0;   ///< Lower confidence bound of the quality, 0 to 1.
  double m_Target = 0.0;       ///< Quality target, 0 to 1.
  double m_CachedShare = 0.0;  ///< Share of the prompt that is assumed to be in the prefix cache.
  double m_ExpectedCost = 0.0; ///< Microcents; for a cascade, expected over all its steps.
};

/// @brief The upstream and version chosen for a request, with the reason.
struct RouteDecision {
  UpstreamId m_Upstream;
  VersionId m_Version;
  bool m_NeedsPermit = false; ///< The upstream is cold or ramping: a permit of its owner, the daemon that
                              ///< grants permits for it, is required before dispatch.
  bool m_StreamBeforeRating =
      true; ///< Whether the answer is streamed at once; if false, it is held until it has been rated.
  bool m_RateBeforeRelease =
      false; ///< The answer is from a cascade step; if it is rated below m_AcceptAt, the next step is used.
  double m_AcceptAt = 0.0; ///< Minimum rating at which the answer of a cascade step is kept.
  /// RouteRequest::m_CascadeStep for the next decision if the answer is rejected. Cascade steps that the team
  /// may not use are skipped, so the value can increase by more than one.
  std::uint32_t m_NextCascadeStep = 0;
  double m_PredictedQuality = 0.0;
  Duration
      m_ExpectedWait{}; ///< Expected time until the first token; for a plain service, until its response.
  RouteReason m_Reason;

  /// @brief Formats the reason for the decision.
  /// @return a single line for logs, the timeline and `bulrushpitch explain`
  std::string reason() const;
};

/// @return "pinned", "direct", "cascade", "explore", "best effort" or "service"
std::string_view nameOf(RouteRule Value);
/// @return "cold", "ramping" or "warm"
std::string_view nameOf(Warmth Value);

/// @brief A load report of an upstream as received by this daemon.
struct LoadReport {
  UpstreamId m_Upstream;
  std::string m_StartId; ///< Identifies the start of the upstream's process; changes when it restarts.
  TimePoint m_ReceivedAt;
  Duration m_AgeAtReceipt{}; ///< Age of the figures at m_ReceivedAt.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  double m_TokensPerSecond = 0.0; ///< Generation rate over all streams.
  bool m_Cold = false;
  bool m_Leaving = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROUTE_H
