#ifndef BULRUSHPITCH_CORE_IDS_H
#define BULRUSHPITCH_CORE_IDS_H

#include "bulrushpitch/core/strong.h"

#include <cstdint>
#include <string>

namespace bulrushpitch {

/// Names of configuration objects.
using TeamId = Strong<struct TeamTag, std::string>;
using ModelId = Strong<struct ModelTag, std::string>;
using VersionId = Strong<struct VersionTag, std::string>;
using CascadeId = Strong<struct CascadeTag, std::string>;
using RolloutId = Strong<struct RolloutTag, std::string>;
using RegionId = Strong<struct RegionTag, std::string>;
using DomainId = Strong<struct DomainTag, std::string>; ///< A failure domain.
using UpstreamId = Strong<struct UpstreamTag, std::string>;
using ServiceId = Strong<struct ServiceTag, std::string>; ///< A plain service beside the models.

/// Identifiers made at run time.
using InstanceId = Strong<struct InstanceTag, std::string>; ///< One running daemon.
using RequestId = Strong<struct RequestTag, std::string>;   ///< The caller's idempotency key.
using SessionId = Strong<struct SessionTag, std::string>;
using AttemptId = Strong<struct AttemptTag, std::string>; ///< One try of a request at one upstream.
using StreamId = Strong<struct StreamTag, std::string>;   ///< A stream as the engine names it.
using PublishId =
    Strong<struct PublishTag, std::string>; ///< One operator's publication, kept over its retries.
using RestrictionId = Strong<struct RestrictionTag, std::string>;
using PermitId = Strong<struct PermitTag, std::uint64_t>;
/// A part of a prompt, as its caller names it; requests whose prompts have the part share the name.
using PromptPartId = Strong<struct PromptPartTag, std::string>;
using TaskName = Strong<struct TaskTag, std::string>; ///< A caller's kind of request, for quality estimates.

/// Numbers that only rise.
using ConfigRevision = Strong<struct ConfigRevisionTag, std::uint64_t>;
using FencingNumber = Strong<struct FencingTag, std::uint64_t>;
using LamportTime = Strong<struct LamportTag, std::uint64_t>;

/// Units.
using Tokens = Strong<struct TokensTag, std::uint64_t>;
using Bytes = Strong<struct BytesTag, std::uint64_t>;
using MicroCents = Strong<struct MicroCentsTag, std::int64_t>; ///< A millionth of a cent.

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CORE_IDS_H
