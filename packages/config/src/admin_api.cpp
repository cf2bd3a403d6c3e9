#include "bulrushpitch/config/admin_api.h"

#include "bulrushpitch/core/expected.h"
#include "detail/describe_objects.h"

#include <cctype>

namespace bulrushpitch {

namespace detail {

template <> struct EnumNames<RestrictionKind> {
  static constexpr std::array<std::pair<RestrictionKind, const char *>, 4> Values{
      {{RestrictionKind::TakeOutDomain, "take-out"},
       {RestrictionKind::WithdrawVersion, "withdraw"},
       {RestrictionKind::DrainUpstream, "drain"},
       {RestrictionKind::StopRollout, "stop-rollout"}}};
};
template <> struct EnumNames<PublishOutcome> {
  static constexpr std::array<std::pair<PublishOutcome, const char *>, 5> Values{
      {{PublishOutcome::Checked, "checked"},
       {PublishOutcome::Published, "published"},
       {PublishOutcome::SingleCopy, "single-copy"},
       {PublishOutcome::Conflict, "conflict"},
       {PublishOutcome::Refused, "refused"}}};
};
template <> struct EnumNames<ChangeKind> {
  static constexpr std::array<std::pair<ChangeKind, const char *>, 3> Values{
      {{ChangeKind::Added, "added"}, {ChangeKind::Removed, "removed"}, {ChangeKind::Changed, "changed"}}};
};
template <> struct EnumNames<Ran> {
  static constexpr std::array<std::pair<Ran, const char *>, 3> Values{
      {{Ran::No, "no"}, {Ran::Yes, "yes"}, {Ran::Unknown, "unknown"}}};
};

template <> struct Codec<ErrorCode> {
  static Json encode(ErrorCode Value) { return static_cast<std::uint16_t>(Value); }
  static void decode(const Json &In, ErrorCode &Out, const FieldSpec &, FaultSink &Sink) {
    std::uint16_t Number = 0;
    Codec<std::uint16_t>::decode(In, Number, between(requiredField(""), 100, 999), Sink);
    Out = static_cast<ErrorCode>(Number);
  }
  static std::string typeName(const FieldSpec &) { return "error number"; }
};

template <> struct Describe<Restriction> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("id", &NameRule), Object.m_Id);
    Visit(requiredField("kind"), Object.m_Kind);
    Visit(requiredField("target", &NameRule), Object.m_Target);
    Visit(requiredField("operator"), Object.m_Operator);
    Visit(requiredField("revision"), Object.m_Revision);
  }
};
template <> struct Describe<DocumentFile> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("file"), Object.m_File);
    Visit(requiredField("text"), Object.m_Text);
  }
};
template <> struct Describe<PublishRequest> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("base"), Object.m_Base);
    // The id is part of a row key and of an object name.
    Visit(requiredField("publishId", &NameRule), Object.m_PublishId);
    Visit(requiredField("operator"), Object.m_Operator);
    Visit(requiredField("documents"), Object.m_Documents);
    Visit(optionalField("dryRun"), Object.m_DryRun);
    Visit(optionalField("lifted"), Object.m_Lifted);
  }
};
template <> struct Describe<FieldChange> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("field"), Object.m_Field);
    Visit(requiredField("before"), Object.m_Before);
    Visit(requiredField("after"), Object.m_After);
  }
};
template <> struct Describe<ObjectChange> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("kind"), Object.m_Kind);
    Visit(requiredField("name"), Object.m_Name);
    Visit(requiredField("change"), Object.m_Change);
    Visit(optionalField("fields"), Object.m_Fields);
  }
};
template <> struct Describe<Fault> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("code"), Object.m_Code);
    Visit(requiredField("file"), Object.m_File);
    Visit(requiredField("line"), Object.m_Line);
    Visit(requiredField("kind"), Object.m_Kind);
    Visit(requiredField("name"), Object.m_Name);
    Visit(requiredField("field"), Object.m_Field);
    Visit(requiredField("message"), Object.m_Message);
    Visit(requiredField("hint"), Object.m_Hint);
  }
};
template <> struct Describe<PublishReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("outcome"), Object.m_Outcome);
    Visit(requiredField("revision"), Object.m_Revision);
    Visit(requiredField("changes"), Object.m_Changes);
    Visit(requiredField("faults"), Object.m_Faults);
    Visit(optionalField("winner"), Object.m_Winner);
  }
};
template <> struct Describe<ConfigReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("publishId"), Object.m_PublishId);
    Visit(requiredField("operator"), Object.m_Operator);
    Visit(requiredField("configuration"), Object.m_Configuration);
  }
};
template <> struct Describe<HistoryEntry> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("revision"), Object.m_Revision);
    Visit(requiredField("publishId"), Object.m_PublishId);
    Visit(requiredField("operator"), Object.m_Operator);
    Visit(requiredField("publishedAt"), Object.m_PublishedAt);
    Visit(requiredField("objects"), Object.m_Objects);
  }
};
template <> struct Describe<HistoryReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("entries"), Object.m_Entries);
  }
};
template <> struct Describe<RestrictReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("pushed"), Object.m_Pushed);
    Visit(requiredField("known"), Object.m_Known);
  }
};
template <> struct Describe<InstanceStatus> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("domain"), Object.m_Domain);
    Visit(requiredField("admin"), Object.m_Admin);
    Visit(requiredField("state"), Object.m_State);
    Visit(requiredField("confirmed"), Object.m_Confirmed);
  }
};
template <> struct Describe<UpstreamStatus> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("upstream"), Object.m_Upstream);
    Visit(requiredField("domain"), Object.m_Domain);
    Visit(requiredField("state"), Object.m_State);
    Visit(requiredField("reason"), Object.m_Reason);
    Visit(requiredField("limit"), Object.m_Limit);
    Visit(requiredField("running"), Object.m_Running);
  }
};
template <> struct Describe<LeaseStatus> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("shard"), Object.m_Shard);
    Visit(requiredField("fencing"), Object.m_Fencing);
    Visit(requiredField("expiresIn"), Object.m_ExpiresIn);
  }
};
template <> struct Describe<StatusReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("domain"), Object.m_Domain);
    Visit(requiredField("region"), Object.m_Region);
    Visit(requiredField("revision"), Object.m_Revision);
    Visit(requiredField("ready"), Object.m_Ready);
    Visit(optionalField("notReadyReason"), Object.m_NotReadyReason);
    Visit(requiredField("draining"), Object.m_Draining);
    Visit(requiredField("restrictions"), Object.m_Restrictions);
    Visit(requiredField("instances"), Object.m_Instances);
    Visit(requiredField("upstreams"), Object.m_Upstreams);
    Visit(requiredField("chargesWaiting"), Object.m_ChargesWaiting);
    Visit(requiredField("leases"), Object.m_Leases);
    Visit(requiredField("storeReachable"), Object.m_StoreReachable);
    Visit(optionalField("headAge"), Object.m_HeadAge);
  }
};
template <> struct Describe<DecisionRecord> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("at"), Object.m_At);
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("step"), Object.m_Step);
    Visit(optionalField("upstream"), Object.m_Upstream);
    Visit(optionalField("version"), Object.m_Version);
    Visit(requiredField("reason"), Object.m_Reason);
  }
};
template <> struct Describe<ExplainReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("request"), Object.m_Request);
    Visit(requiredField("decisions"), Object.m_Decisions);
  }
};
template <> struct Describe<TimelineEntry> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("lamport"), Object.m_Lamport);
    Visit(requiredField("at"), Object.m_At);
    Visit(requiredField("kind"), Object.m_Kind);
    Visit(requiredField("subject"), Object.m_Subject);
    Visit(requiredField("detail"), Object.m_Detail);
  }
};
template <> struct Describe<TimelineReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("events"), Object.m_Events);
    Visit(requiredField("truncated"), Object.m_Truncated);
    Visit(requiredField("missing"), Object.m_Missing);
  }
};
template <> struct Describe<ChargeRecord> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("request"), Object.m_Request);
    Visit(requiredField("amount"), Object.m_Amount);
    Visit(requiredField("subject"), Object.m_Subject);
    Visit(requiredField("promptTokens"), Object.m_PromptTokens);
    Visit(requiredField("completionTokens"), Object.m_CompletionTokens);
    Visit(requiredField("at"), Object.m_At);
  }
};
template <> struct Describe<ChargesReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("team"), Object.m_Team);
    Visit(requiredField("total"), Object.m_Total);
    Visit(requiredField("charges"), Object.m_Charges);
    Visit(optionalField("next"), Object.m_Next);
    Visit(requiredField("waiting"), Object.m_Waiting);
  }
};
template <> struct Describe<DrainRequest> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("operator"), Object.m_Operator);
    Visit(between(optionalField("deadline"), 0, 86'400'000), Object.m_Deadline);
  }
};
template <> struct Describe<DrainReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("instance"), Object.m_Instance);
    Visit(requiredField("deadline"), Object.m_Deadline);
    Visit(requiredField("activeRequests"), Object.m_ActiveRequests);
  }
};
template <> struct Describe<InForceReply> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("revision"), Object.m_Revision);
    Visit(requiredField("inForce"), Object.m_InForce);
    Visit(requiredField("secondCopy"), Object.m_SecondCopy);
    Visit(requiredField("confirmed"), Object.m_Confirmed);
    Visit(requiredField("missing"), Object.m_Missing);
  }
};

namespace {

/// @brief The body of an error response.
struct ErrorBody {
  Error m_Error;
};

template <typename Message> Result<Message> decodeAny(std::string_view Text) {
  FaultSink Sink;
  Message Out;
  if (const std::optional<Json> Read = parseJson(Text, Sink))
    Codec<Message>::decode(*Read, Out, requiredField(""), Sink);
  if (Sink.faults().empty())
    return Out;
  Error Failure = toError(Sink.faults(), "decode operator message");
  Failure.m_Code = ErrorCode::MalformedBody;
  return fail(std::move(Failure));
}

/// Percent-encodes what is not a letter, a digit or one of "-_.~".
std::string queryText(const std::string &Value) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Out;
  for (const char Character : Value) {
    const unsigned char Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) || Character == '-' || Character == '_' || Character == '.' || Character == '~')
      Out += Character;
    else
      Out += {'%', Digits[Byte >> 4], Digits[Byte & 15]};
  }
  return Out;
}

} // namespace

template <> struct Describe<Error> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("code"), Object.m_Code);
    Visit(requiredField("message"), Object.m_Detail);
    Visit(requiredField("step"), Object.m_Step);
    Visit(requiredField("peer"), Object.m_Peer);
    Visit(requiredField("ran"), Object.m_Ran);
  }
};
template <> struct Describe<ErrorBody> {
  template <typename V, typename T> static void apply(V &Visit, T &Object) {
    Visit(requiredField("error"), Object.m_Error);
  }
};

} // namespace detail

const char *nameOf(PublishOutcome Value) { return detail::Codec<PublishOutcome>::textOf(Value); }

std::string adminTarget(std::string_view Path,
                        const std::vector<std::pair<std::string, std::string>> &Parameters) {
  std::string Target(Path);
  char Separator = '?';
  for (const std::pair<std::string, std::string> &Parameter : Parameters) {
    if (Parameter.second.empty())
      continue;
    Target += Separator + Parameter.first + "=" + detail::queryText(Parameter.second);
    Separator = '&';
  }
  return Target;
}

std::string TimelineQuery::target() const {
  return adminTarget(admin_path::Timeline, {{"after", std::to_string(m_After.value())},
                                            {"limit", std::to_string(m_Limit)},
                                            {"all", m_AllInstances ? "true" : "false"},
                                            {"kind", m_Kind},
                                            {"subject", m_Subject}});
}

template <typename Message> std::string encodeMessage(const Message &Value) {
  return detail::dump(detail::Codec<Message>::encode(Value));
}

template <typename Message> Result<Message> decodeMessage(std::string_view Text) {
  return detail::decodeAny<Message>(Text);
}

template std::string encodeMessage(const PublishRequest &);
template std::string encodeMessage(const PublishReply &);
template std::string encodeMessage(const ConfigReply &);
template std::string encodeMessage(const HistoryReply &);
template std::string encodeMessage(const HistoryEntry &);
template std::string encodeMessage(const Restriction &);
template std::string encodeMessage(const RestrictReply &);
template std::string encodeMessage(const StatusReply &);
template std::string encodeMessage(const ExplainReply &);
template std::string encodeMessage(const TimelineReply &);
template std::string encodeMessage(const ChargesReply &);
template std::string encodeMessage(const DrainRequest &);
template std::string encodeMessage(const DrainReply &);
template std::string encodeMessage(const InForceReply &);
template std::string encodeMessage(const Fault &);
template std::string encodeMessage(const ObjectChange &);

template Result<PublishRequest> decodeMessage(std::string_view);
template Result<PublishReply> decodeMessage(std::string_view);
template Result<ConfigReply> decodeMessage(std::string_view);
template Result<HistoryReply> decodeMessage(std::string_view);
template Result<HistoryEntry> decodeMessage(std::string_view);
template Result<Restriction> decodeMessage(std::string_view);
template Result<RestrictReply> decodeMessage(std::string_view);
template Result<StatusReply> decodeMessage(std::string_view);
template Result<ExplainReply> decodeMessage(std::string_view);
template Result<TimelineReply> decodeMessage(std::string_view);
template Result<ChargesReply> decodeMessage(std::string_view);
template Result<DrainRequest> decodeMessage(std::string_view);
template Result<DrainReply> decodeMessage(std::string_view);
template Result<InForceReply> decodeMessage(std::string_view);

std::string encodeError(const Error &Value) {
  return detail::dump(detail::Codec<detail::ErrorBody>::encode({Value}));
}

Error decodeError(std::string_view Text) {
  const Expected<detail::ErrorBody> Body =
      capture([&] { return detail::decodeAny<detail::ErrorBody>(Text); });
  if (Body)
    return Body->m_Error;
  Error Failure = Body.error();
  Failure.m_Ran = Ran::Unknown;
  return Failure;
}

std::vector<FieldInfo> messageFields(const std::string &Message) {
  using detail::listFields;
  static const std::map<std::string, std::vector<FieldInfo> (*)()> Tables{
      {"PublishRequest", listFields<PublishRequest>}, {"PublishReply", listFields<PublishReply>},
      {"ConfigReply", listFields<ConfigReply>},       {"HistoryReply", listFields<HistoryReply>},
      {"Restriction", listFields<Restriction>},       {"RestrictReply", listFields<RestrictReply>},
      {"StatusReply", listFields<StatusReply>},       {"ExplainReply", listFields<ExplainReply>},
      {"TimelineReply", listFields<TimelineReply>},   {"ChargesReply", listFields<ChargesReply>},
      {"DrainRequest", listFields<DrainRequest>},     {"DrainReply", listFields<DrainReply>},
      {"InForceReply", listFields<InForceReply>},     {"Error", listFields<detail::ErrorBody>}};
  const auto Found = Tables.find(Message);
  return Found == Tables.end() ? std::vector<FieldInfo>() : Found->second();
}

std::vector<std::string> messageNames() {
  return {"PublishRequest", "PublishReply", "ConfigReply",  "HistoryReply",  "Restriction",
          "RestrictReply",  "StatusReply",  "ExplainReply", "TimelineReply", "ChargesReply",
          "DrainRequest",   "DrainReply",   "InForceReply", "Error"};
}

} // namespace bulrushpitch
