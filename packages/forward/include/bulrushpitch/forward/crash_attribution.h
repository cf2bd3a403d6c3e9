#ifndef BULRUSHPITCH_FORWARD_CRASH_ATTRIBUTION_H
#define BULRUSHPITCH_FORWARD_CRASH_ATTRIBUTION_H

/// @file
/// @brief Decides which parts of prompts caused crashes of upstreams.

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace bulrushpitch {

/// @brief A prompt part of a request that was under way at an upstream when it crashed.
struct SuspectPart {
  std::size_t m_Position = 0;  ///< In its prompt.
  std::uint32_t m_Request = 0; ///< Hash of the request's id; 0 if not known.

  friend bool operator==(const SuspectPart &, const SuspectPart &) = default;
};

/// @brief Prompt parts that may have caused a crash.
using SuspectParts = std::map<PromptPartId, SuspectPart>;

/// @brief One crash of an upstream.
struct UpstreamCrash {
  TimePoint m_At{};
  SuspectParts m_Suspects;
};

/// @brief The crashes that a part is blamed for.
struct CrashBlame {
  std::uint32_t m_Crashes = 0;
  TimePoint m_LastAt{};
};

/// @brief Blames parts for crashes.
///
/// A crash breaks off all requests at the upstream, of which at most one is to blame. Each crash therefore
/// counts against one part only: the part that occurs in most crashes is blamed for all of these, and only
/// the other crashes count against the remaining parts. Of parts with equal counts the last one in the prompt
/// is blamed, as fewer sound requests share it, and then the one of more requests; further crashes correct a
/// wrong choice. Crashes at the same moment have a common cause other than a prompt and count once.
///
/// A part that only one request had is not blamed: a sound request that is retried beside a deadly one is in
/// each of its crashes. A part that is absent from most crashes of its time is blamed only once it has been
/// in many, since some parts are in several crashes by chance while upstreams crash for another reason.
/// @param Required the number of moments with crashes from which a part is blamed
/// @return the blamed parts
/// @complexity linear in the number of suspects of all crashes, for each blamed part
std::map<PromptPartId, CrashBlame>
attributeCrashes(std::vector<UpstreamCrash> Crashes,
                 const std::function<std::uint32_t(const PromptPartId &)> &Required);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_CRASH_ATTRIBUTION_H
