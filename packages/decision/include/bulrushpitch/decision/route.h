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

/// @brief What the router knows of a model request.
struct RouteRequest {
  TeamId m_Team;
  ModelId m_Model;
  TaskName m_Task;
  RequestId m_Request;
  std::optional<SessionId> m_Session;
  std::optional<VersionId> m_Pinned; ///< From a session token or a named version.
  std::optional<double> m_Quality;   ///< Target between 0 and 1; the team's if absent.
  TimePoint m_Deadline;
  Tokens m_PromptTokens;
  Tokens m_ExpectedTokens;
  std::vector<std::uint64_t> m_PrefixHashes; ///< Of growing prefixes of the prompt, for cache affinity.
  bool m_Streaming = false;
  /// Choose a single version and no cascade: a session keeps the version it starts with, and the first step
  /// of a cascade alone may be far below the target.
  bool m_DirectOnly = false;
  std::uint32_t m_CascadeStep = 0;    ///< Steps of the cascade already answered and rejected.
  std::vector<UpstreamId> m_Excluded; ///< Upstreams that already failed for this request.
};

/// @brief Which rule chose the version.
enum class RouteRule : std::uint8_t {
  Pinned,     ///< The session's or the caller's version.
  Direct,     ///< The cheapest version whose lower bound of quality reaches the target.
  Cascade,    ///< A step of the cheapest cascade whose lower bound of quality reaches the target.
  Explore,    ///< A version that may reach the target, tried to learn its quality.
  BestEffort, ///< No lower bound reaches the target; the version with the highest one.
  Service     ///< A plain service; no version.
};

/// @brief Readiness of an upstream for load.
enum class Warmth : std::uint8_t { Cold, Ramping, Warm };

/// @brief The figures behind a decision. They are kept as numbers, because a line of text for each decision
/// would cost more than the decision itself.
struct RouteReason {
  RouteRule m_Rule = RouteRule::Direct;
  Warmth m_Warmth = Warmth::Warm;
  bool m_OtherRegion = false;
  std::uint32_t m_KnownLoad = 0;  ///< Requests known at the upstream before this one.
  std::uint32_t m_Limit = 0;      ///< Requests that the upstream may hold now.
  std::uint32_t m_Considered = 0; ///< Upstreams that were compared.
  double m_LowerBound = 0.0;      ///< Of the quality.
  double m_Target = 0.0;
  double m_CachedShare = 0.0;  ///< Share of the prompt that is thought to be in the prefix cache.
  double m_ExpectedCost = 0.0; ///< Microcents, over all steps of the candidate.
};

/// @brief Where a request goes and why.
struct RouteDecision {
  UpstreamId m_Upstream;
  VersionId m_Version;
  bool m_NeedsPermit = false;       ///< The upstream is cold or ramping: ask its owner for a permit first.
  bool m_StreamBeforeRating = true; ///< False: hold the answer until it is rated.
  bool m_RateBeforeRelease = false; ///< The answer is a cascade step that may be escalated.
  double m_AcceptAt = 0.0;          ///< Rating at which a held answer is kept.
  /// RouteRequest::m_CascadeStep of the next decision, if the answer is rejected. Steps that the team may not
  /// use are passed over, so it can rise by more than one.
  std::uint32_t m_NextCascadeStep = 0;
  double m_PredictedQuality = 0.0;
  Duration m_ExpectedWait{}; ///< Until the first token.
  RouteReason m_Why;

  /// @brief Formats the reason.
  /// @return one line for logs, the time line and `bulrushpitch explain`
  std::string reason() const;
};

/// @param Value a rule
/// @return "pinned", "direct", "cascade", "explore", "best effort" or "service"
std::string_view nameOf(RouteRule Value);
/// @param Value a readiness
/// @return "cold", "ramping" or "warm"
std::string_view nameOf(Warmth Value);

/// @brief A load report of an upstream as it reached this daemon.
struct LoadReport {
  UpstreamId m_Upstream;
  std::string m_StartId;
  TimePoint m_ReceivedAt;
  Duration m_Age{}; ///< How old the figures were when received.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  double m_TokensPerSecond = 0.0; ///< Generated over all streams.
  bool m_Cold = false;
  bool m_Leaving = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DECISION_ROUTE_H
