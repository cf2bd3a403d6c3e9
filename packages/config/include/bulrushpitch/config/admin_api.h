#ifndef BULRUSHPITCH_CONFIG_ADMIN_API_H
#define BULRUSHPITCH_CONFIG_ADMIN_API_H

/// @file
/// @brief Messages of the operators' interface, which daemon and client share. See docs/admin-api.md.

#include "bulrushpitch/config/documents.h"
#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/config/snapshot.h"
#include "bulrushpitch/core/error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushpitch {

/// Paths under which a daemon answers.
namespace admin_path {
inline constexpr std::string_view Publish = "/admin/v1/publish";   ///< POST PublishRequest -> PublishReply
inline constexpr std::string_view Config = "/admin/v1/config";     ///< GET ?revision= -> ConfigReply
inline constexpr std::string_view History = "/admin/v1/history";   ///< GET ?limit= -> HistoryReply
inline constexpr std::string_view Restrict = "/admin/v1/restrict"; ///< POST Restriction -> RestrictReply
inline constexpr std::string_view Status = "/admin/v1/status";     ///< GET -> StatusReply
inline constexpr std::string_view Explain = "/admin/v1/explain";   ///< GET ?request= -> ExplainReply
inline constexpr std::string_view Timeline = "/admin/v1/timeline"; ///< GET -> TimelineReply
inline constexpr std::string_view Charges = "/admin/v1/charges";   ///< GET ?team= -> ChargesReply
inline constexpr std::string_view Drain = "/admin/v1/drain";       ///< POST DrainRequest -> DrainReply
inline constexpr std::string_view InForce = "/admin/v1/in-force";  ///< GET ?revision= -> InForceReply
} // namespace admin_path

/// @brief Publishes a whole set of documents.
struct PublishRequest {
  ConfigRevision m_Base; ///< The revision that the operator's set was made from.
  PublishId m_PublishId; ///< Kept over retries, so that a lost answer does not publish twice.
  std::string m_Operator;
  std::vector<DocumentFile> m_Documents;
  bool m_DryRun = false;               ///< Only check.
  std::vector<RestrictionId> m_Lifted; ///< Restrictions that the new revision ends.
  bool operator==(const PublishRequest &) const = default;
};

enum class PublishOutcome : std::uint8_t {
  Checked,    ///< Dry run without faults. Status 200.
  Published,  ///< The head row is written and a second domain holds a copy. Status 200.
  SingleCopy, ///< The head row is written; no second copy is confirmed yet. Status 200.
  Conflict,   ///< Another publication came first. Status 409.
  Refused     ///< The set has faults. Status 422.
};

/// @param Value an outcome
/// @return "checked", "published", "single-copy", "conflict" or "refused"
const char *nameOf(PublishOutcome Value);

/// @brief What became of a publication.
struct PublishReply {
  PublishOutcome m_Outcome = PublishOutcome::Refused;
  ConfigRevision m_Revision; ///< The new revision; the winner's after a conflict; the base otherwise.
  std::vector<ObjectChange> m_Changes; ///< From the base to the new set; after a conflict, from the base to
                                       ///< the winner's revision.
  std::vector<Fault> m_Faults;
  std::string m_Winner; ///< The operator who won a conflict; empty otherwise.
  bool operator==(const PublishReply &) const = default;
};

/// @brief A revision with its content.
struct ConfigReply {
  PublishId m_PublishId;
  std::string m_Operator;
  Configuration m_Configuration;
  bool operator==(const ConfigReply &) const = default;
};

/// @brief One published revision.
struct HistoryEntry {
  ConfigRevision m_Revision;
  PublishId m_PublishId;
  std::string m_Operator;
  std::int64_t m_PublishedAt = 0;     ///< Milliseconds since 1970.
  std::vector<std::string> m_Objects; ///< "kind/name" of each object that changed.
  bool operator==(const HistoryEntry &) const = default;
};

/// @brief The newest revisions, the newest first.
struct HistoryReply {
  std::vector<HistoryEntry> m_Entries;
  bool operator==(const HistoryReply &) const = default;
};

/// @brief Says that a restriction is applied. Status 200 also if the daemon had it already.
struct RestrictReply {
  InstanceId m_Instance;
  std::vector<InstanceId> m_Pushed; ///< Peers that confirmed the restriction.
  bool m_Known = false;             ///< The daemon had the restriction already.
  bool operator==(const RestrictReply &) const = default;
};

/// @brief What a daemon knows of one instance.
struct InstanceStatus {
  InstanceId m_Instance;
  DomainId m_Domain;
  std::string m_Admin; ///< Operator address "IP:port".
  std::string m_State; ///< "live", "suspected" or "leaving".
  ConfigRevision m_Confirmed;
  bool operator==(const InstanceStatus &) const = default;
};

/// @brief What a daemon knows of one upstream.
struct UpstreamStatus {
  UpstreamId m_Upstream;
  DomainId m_Domain;
  std::string m_State;  ///< "warm", "ramping", "cold", "draining", "out" or "failed".
  std::string m_Reason; ///< Why it is not warm; empty if it is.
  std::uint32_t m_Limit = 0;
  std::uint32_t m_Running = 0;
  bool operator==(const UpstreamStatus &) const = default;
};

/// @brief A lease that a daemon holds.
struct LeaseStatus {
  std::string m_Shard; ///< "<domain>/<shard>".
  FencingNumber m_Fencing;
  std::chrono::milliseconds m_ExpiresIn{0};
  bool operator==(const LeaseStatus &) const = default;
};

/// @brief The state of one daemon.
struct StatusReply {
  InstanceId m_Instance;
  DomainId m_Domain;
  RegionId m_Region;
  ConfigRevision m_Revision;
  bool m_Ready = false;
  std::string m_NotReadyReason;
  bool m_Draining = false;
  std::vector<Restriction> m_Restrictions; ///< Those in force, lifted ones left out.
  std::vector<InstanceStatus> m_Instances;
  std::vector<UpstreamStatus> m_Upstreams;
  std::uint64_t m_ChargesWaiting = 0;
  std::vector<LeaseStatus> m_Leases;
  bool m_StoreReachable = false;
  std::optional<std::chrono::milliseconds>
      m_HeadAge; ///< Age of the newest head-row read known; none yet if absent.
  bool operator==(const StatusReply &) const = default;
};

/// @brief One decision on a request.
struct DecisionRecord {
  std::int64_t m_At = 0; ///< Milliseconds since 1970.
  InstanceId m_Instance;
  std::string m_Step; ///< For example "route", "claim" or "escalate".
  std::optional<UpstreamId> m_Upstream;
  std::optional<VersionId> m_Version;
  std::string m_Reason;
  bool operator==(const DecisionRecord &) const = default;
};

/// @brief The decisions on one request that this daemon still remembers, in their order.
struct ExplainReply {
  RequestId m_Request;
  std::vector<DecisionRecord> m_Decisions;
  bool operator==(const ExplainReply &) const = default;
};

/// @brief One event of the time line.
struct TimelineEntry {
  InstanceId m_Instance;
  LamportTime m_Lamport;
  std::int64_t m_At = 0; ///< Milliseconds since 1970.
  std::string m_Kind;
  std::string m_Subject;
  std::string m_Detail;
  bool operator==(const TimelineEntry &) const = default;
};

/// @brief Which events to return. Sent as query parameters; empty ones are left out.
struct TimelineQuery {
  LamportTime m_After; ///< Only later events.
  std::string m_Kind;
  std::string m_Subject;
  std::uint32_t m_Limit = 500;
  bool m_AllInstances = false; ///< Ask the peers too and merge.

  /// @return path and query
  std::string target() const;
  bool operator==(const TimelineQuery &) const = default;
};

/// @brief Events in causal order.
struct TimelineReply {
  std::vector<TimelineEntry> m_Events;
  bool m_Truncated = false;          ///< More events matched than the limit.
  std::vector<InstanceId> m_Missing; ///< Peers that did not answer.
  bool operator==(const TimelineReply &) const = default;
};

/// @brief One charge of a team.
struct ChargeRecord {
  RequestId m_Request;
  MicroCents m_Amount;
  std::string m_Subject; ///< The version, or "<service>/<route>".
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens;
  std::int64_t m_At = 0; ///< Milliseconds since 1970.
  bool operator==(const ChargeRecord &) const = default;
};

/// @brief Charges of one team, in the order of their request ids.
struct ChargesReply {
  TeamId m_Team;
  MicroCents m_Total; ///< Of the charges in this reply.
  std::vector<ChargeRecord> m_Charges;
  std::string m_Next;          ///< Value of `after` for the next page; empty at the end.
  std::uint64_t m_Waiting = 0; ///< Charges of the team that this daemon has not yet written to the store.
  bool operator==(const ChargesReply &) const = default;
};

/// @brief Stops one daemon gracefully.
struct DrainRequest {
  InstanceId m_Instance; ///< Must be the daemon asked, so that a mistaken address stops nothing.
  std::string m_Operator;
  std::optional<std::chrono::milliseconds> m_Deadline; ///< The daemon's setting if absent.
  bool operator==(const DrainRequest &) const = default;
};

struct DrainReply {
  InstanceId m_Instance;
  std::chrono::milliseconds m_Deadline{0};
  std::uint64_t m_ActiveRequests = 0;
  bool operator==(const DrainReply &) const = default;
};

/// @brief Which live instances hold a revision.
struct InForceReply {
  ConfigRevision m_Revision;
  bool m_InForce = false;    ///< Every live instance has confirmed the revision.
  bool m_SecondCopy = false; ///< An instance in another domain than the writer has confirmed it.
  std::vector<InstanceId> m_Confirmed;
  std::vector<InstanceId> m_Missing;
  bool operator==(const InForceReply &) const = default;
};

/// @brief Encodes one of the messages above as JSON.
template <typename Message> std::string encodeMessage(const Message &Value);

/// @brief Decodes one of the messages above. Unknown fields are refused.
/// @return error 102 that names the field at fault
template <typename Message> Result<Message> decodeMessage(std::string_view Text);

/// @brief Encodes an error as `{"error":{"code":...,"message":...,"step":...,"peer":...,"ran":...}}`.
std::string encodeError(const Error &Value);

/// @brief Decodes what encodeError() made.
/// @return the error; if the text is something else, an error 102 that says so, with `ran: unknown`
Error decodeError(std::string_view Text);

/// @brief Builds path and query of a GET request; the values are percent-encoded.
/// @param Path one of admin_path
/// @param Parameters names and values; those with an empty value are left out
std::string adminTarget(std::string_view Path,
                        const std::vector<std::pair<std::string, std::string>> &Parameters);

/// @return the names of all messages, for example "PublishRequest"
std::vector<std::string> messageNames();

/// @param Message one of messageNames()
/// @return all fields of the message's JSON text, in their order
std::vector<FieldInfo> messageFields(const std::string &Message);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_ADMIN_API_H
