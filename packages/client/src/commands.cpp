#include "detail/commands.h"

#include "bulrushpitch/timeline/timeline.h"

#include <fstream>
#include <map>

#include "detail/output.h"

#include <algorithm>
#include <ostream>

namespace bulrushpitch::detail {

namespace {

template <typename Key, typename T> std::vector<std::string> namesOf(const std::map<Key, T> &Objects) {
  std::vector<std::string> Names;
  Names.reserve(Objects.size());
  for (const std::pair<const Key, T> &Entry : Objects)
    Names.push_back(Entry.first.value());
  return Names;
}

/// @return the names of all objects that a restriction of this kind may have as its target
std::vector<std::string> targetsOf(RestrictionKind Kind, const Configuration &Value) {
  switch (Kind) {
  case RestrictionKind::TakeOutDomain:
    return namesOf(Value.m_Domains);
  case RestrictionKind::WithdrawVersion:
    return namesOf(Value.m_Versions);
  case RestrictionKind::DrainUpstream:
    return namesOf(Value.m_Upstreams);
  case RestrictionKind::StopRollout:
    break;
  }
  return namesOf(Value.m_Rollouts);
}

Error unknownName(const std::string &Name, const std::vector<std::string> &Known) {
  const std::string Hint = nearestName(Name, Known);
  return {ErrorCode::UnknownReference, "find target", "", Ran::No,
          "there is no '" + Name + "'" + (Hint.empty() ? "" : "; did you mean '" + Hint + "'?")};
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Undoes what a restriction of this kind does.
void putBack(RestrictionKind Kind, const std::string &Target, Configuration &Value) {
  if (Kind == RestrictionKind::TakeOutDomain)
    Value.m_Domains[DomainId(Target)].m_State = DomainState::In;
  else if (Kind == RestrictionKind::WithdrawVersion)
    Value.m_Versions[VersionId(Target)].m_State = VersionState::Active;
  else
    Value.m_Upstreams[UpstreamId(Target)].m_Draining = false;
}

std::optional<Error> applyStart(const RolloutOptions &Wanted, Configuration &Value) {
  const RolloutId Id(Wanted.m_Name);
  const bool IsNew = !Value.m_Rollouts.contains(Id);
  if (IsNew && (Wanted.m_Model.empty() || Wanted.m_From.empty() || Wanted.m_To.empty() || !Wanted.m_Share))
    return Error{ErrorCode::MissingField, "start rollout", "", Ran::No,
                 "there is no rollout '" + Wanted.m_Name +
                     "' yet; give --model, --from, --to and --share to add it"};
  Rollout &Object = Value.m_Rollouts[Id];
  Object.m_Id = Id;
  if (!Wanted.m_Model.empty())
    Object.m_Model = ModelId(Wanted.m_Model);
  if (!Wanted.m_From.empty())
    Object.m_From = VersionId(Wanted.m_From);
  if (!Wanted.m_To.empty())
    Object.m_To = VersionId(Wanted.m_To);
  Object.m_Share = Wanted.m_Share.value_or(Object.m_Share);
  Object.m_State = RolloutState::Running;
  return std::nullopt;
}

} // namespace

void Commands::printFaults(const std::vector<Fault> &Faults) const {
  if (m_Options.m_Json)
    *m_Hooks.m_Out << "{\"faults\":" << jsonList(Faults) << "}\n";
  for (const Fault &Found : Faults)
    *m_Hooks.m_Error << Found.toString() << "\n";
}

std::optional<ReadOutcome> Commands::readSet(const std::vector<std::string> &Paths,
                                             std::vector<DocumentFile> &Files,
                                             std::optional<ConfigReply> &Base, ExitCode &Code) const {
  const Expected<std::vector<DocumentFile>> Read = m_Hooks.m_ReadFiles(Paths);
  if (!Read) {
    Code = m_Publisher.report(Read.error());
    return std::nullopt;
  }
  Files = *Read;
  if (!m_Options.m_Daemons.empty()) {
    const Expected<ConfigReply> Answer = m_Client.get<ConfigReply>(admin_path::Config);
    if (!Answer) {
      Code = m_Publisher.report(Answer.error());
      return std::nullopt;
    }
    Base = *Answer;
  }
  ReadOutcome Outcome = readDocuments(Files, Base ? &Base->m_Configuration : nullptr);
  Code = Outcome.m_Faults.empty() ? ExitCode::Done : ExitCode::Refused;
  return Outcome;
}

ExitCode Commands::check(const std::vector<std::string> &Paths) const {
  std::vector<DocumentFile> Files;
  std::optional<ConfigReply> Base;
  ExitCode Code = ExitCode::Done;
  const std::optional<ReadOutcome> Read = readSet(Paths, Files, Base, Code);
  if (!Read)
    return Code;
  printFaults(Read->m_Faults);
  if (!m_Options.m_Json)
    *m_Hooks.m_Out << Files.size() << " files, " << Read->m_Faults.size() << " faults\n";
  return Code;
}

ExitCode Commands::diff(const std::vector<std::string> &Paths) const {
  std::vector<DocumentFile> Files;
  std::optional<ConfigReply> Base;
  ExitCode Code = ExitCode::Done;
  const std::optional<ReadOutcome> Read = readSet(Paths, Files, Base, Code);
  if (!Read)
    return Code;
  if (Code != ExitCode::Done) {
    printFaults(Read->m_Faults);
    return Code;
  }
  const std::vector<ObjectChange> Changes = diffConfigurations(Base->m_Configuration, Read->m_Configuration);
  if (m_Options.m_Json)
    *m_Hooks.m_Out << "{\"revision\":" << Base->m_Configuration.m_Revision
                   << ",\"changes\":" << jsonList(Changes) << "}\n";
  else
    printChanges(*m_Hooks.m_Out, Changes);
  return Code;
}

ExitCode Commands::publish(const std::vector<std::string> &Paths, std::optional<std::uint64_t> Base,
                           const std::string &PublishName) const {
  PublishRequest Request;
  std::optional<ConfigReply> Current;
  ExitCode Code = ExitCode::Done;
  const std::optional<ReadOutcome> Read = readSet(Paths, Request.m_Documents, Current, Code);
  if (!Read)
    return Code;
  if (Code != ExitCode::Done) {
    printFaults(Read->m_Faults);
    return Code;
  }
  Request.m_Base = Base ? ConfigRevision(*Base) : Current->m_Configuration.m_Revision;
  Request.m_PublishId = PublishId(PublishName.empty() ? m_Publisher.makeId("p-") : PublishName);
  return m_Publisher.publishSet(std::move(Request));
}

ExitCode Commands::history(std::uint32_t Limit) const {
  const Expected<HistoryReply> Answer =
      m_Client.get<HistoryReply>(admin_path::History, {{"limit", std::to_string(Limit)}});
  if (!Answer)
    return m_Publisher.report(Answer.error());
  if (m_Options.m_Json)
    return showJson(*Answer);
  Table Rows({"REVISION", "PUBLISHED", "OPERATOR", "PUBLISH ID", "OBJECTS"});
  for (const HistoryEntry &Entry : Answer->m_Entries) {
    std::string Objects;
    for (const std::string &Name : Entry.m_Objects)
      Objects += (Objects.empty() ? "" : " ") + Name;
    Rows.add({std::to_string(Entry.m_Revision.value()), timeText(Entry.m_PublishedAt), Entry.m_Operator,
              Entry.m_PublishId.value(), Objects});
  }
  Rows.print(*m_Hooks.m_Out);
  return ExitCode::Done;
}

ExitCode Commands::status() const {
  const Expected<StatusReply> Answer = m_Client.get<StatusReply>(admin_path::Status);
  if (!Answer)
    return m_Publisher.report(Answer.error());
  if (m_Options.m_Json)
    return showJson(*Answer);
  printStatus(*m_Hooks.m_Out, *Answer);
  return ExitCode::Done;
}

// A daemon remembers only its own decisions, and a request may have been retried at another daemon.
ExitCode Commands::explain(const std::string &Request) const {
  ExplainReply All;
  All.m_Request = RequestId(Request);
  std::optional<Error> Failure;
  bool Answered = false;
  for (const Endpoint &Daemon : m_Client.allDaemons()) {
    const Expected<ExplainReply> Answer =
        m_Client.getFrom<ExplainReply>(Daemon, adminTarget(admin_path::Explain, {{"request", Request}}));
    if (Answer) {
      All.m_Decisions.insert(All.m_Decisions.end(), Answer->m_Decisions.begin(), Answer->m_Decisions.end());
    } else if (Answer.error().m_Code != ErrorCode::ObjectNotFound) {
      Failure = Answer.error();
      *m_Hooks.m_Error << "daemon " << Daemon.toString() << " did not answer: " << Failure->toString()
                       << "\n";
      continue;
    }
    Answered = true;
  }
  if (!Answered && Failure)
    return m_Publisher.report(*Failure);
  if (All.m_Decisions.empty())
    return m_Publisher.report(
        {ErrorCode::BadFieldValue, "explain request", "", Ran::No,
         "no instance that answered remembers a decision on request '" + Request + "'"});
  std::stable_sort(
      All.m_Decisions.begin(), All.m_Decisions.end(),
      [](const DecisionRecord &Left, const DecisionRecord &Right) { return Left.m_At < Right.m_At; });
  if (m_Options.m_Json)
    return showJson(All);
  Table Rows({"TIME", "INSTANCE", "STEP", "UPSTREAM", "VERSION", "REASON"});
  for (const DecisionRecord &Each : All.m_Decisions)
    Rows.add({timeText(Each.m_At), Each.m_Instance.value(), Each.m_Step,
              Each.m_Upstream ? Each.m_Upstream->value() : "-",
              Each.m_Version ? Each.m_Version->value() : "-", Each.m_Reason});
  Rows.print(*m_Hooks.m_Out);
  return ExitCode::Done;
}

ExitCode Commands::timeline(const TimelineQuery &Query, const TimelineOptions &More) const {
  std::string Target = Query.target();
  std::string Filter = adminTarget("", {{"request", More.m_Request},
                                        {"upstream", More.m_Upstream},
                                        {"domain", More.m_Domain},
                                        {"revision", More.m_Revision},
                                        {"format", More.m_Svg.empty() ? "" : "events"}});
  if (!Filter.empty() && Target.find('?') != std::string::npos)
    Filter.front() = '&';
  Target += Filter;
  if (!More.m_Svg.empty())
    return drawTimeline(Target, More);
  const Expected<TimelineReply> Answer = m_Client.get<TimelineReply>(Target);
  if (!Answer)
    return m_Publisher.report(Answer.error());
  if (m_Options.m_Json)
    return showJson(*Answer);
  Table Rows({"LAMPORT", "TIME", "INSTANCE", "KIND", "SUBJECT", "DETAIL"});
  for (const TimelineEntry &Each : Answer->m_Events)
    Rows.add({std::to_string(Each.m_Lamport.value()), timeText(Each.m_At), Each.m_Instance.value(),
              Each.m_Kind, Each.m_Subject, Each.m_Detail});
  Rows.print(*m_Hooks.m_Out);
  if (Answer->m_Truncated)
    *m_Hooks.m_Error << "there are more events; use --after or --limit\n";
  if (!Answer->m_Missing.empty())
    *m_Hooks.m_Error << "no events from " << joined(Answer->m_Missing) << "\n";
  return ExitCode::Done;
}

ExitCode Commands::drawTimeline(const std::string &Target, const TimelineOptions &More) const {
  const Expected<std::string> Text = m_Client.getText(Target);
  if (!Text)
    return m_Publisher.report(Text.error());
  const Expected<std::vector<TimelineEvent>> Events = capture([&] { return eventsFromJson(*Text); });
  if (!Events)
    return m_Publisher.report(Events.error());
  std::map<InstanceId, std::vector<TimelineEvent>> ByInstance;
  for (const TimelineEvent &Event : *Events)
    ByInstance[Event.m_Instance].push_back(Event);
  std::vector<std::vector<TimelineEvent>> Lists;
  Lists.reserve(ByInstance.size());
  for (std::pair<const InstanceId, std::vector<TimelineEvent>> &Entry : ByInstance)
    Lists.push_back(std::move(Entry.second));
  std::ofstream File(More.m_Svg);
  File << renderSvg(mergeTimelines(Lists));
  if (!File.flush())
    return m_Publisher.report(
        Error{ErrorCode::BadFieldValue, "write picture", "", Ran::No, "cannot write " + More.m_Svg});
  *m_Hooks.m_Out << "wrote " << Events->size() << " events to " << More.m_Svg << "\n";
  return ExitCode::Done;
}

ExitCode Commands::charges(const std::string &Team) const {
  ChargesReply All;
  All.m_Team = TeamId(Team);
  do {
    const Expected<ChargesReply> Page =
        m_Client.get<ChargesReply>(admin_path::Charges, {{"team", Team}, {"after", All.m_Next}});
    if (!Page)
      return m_Publisher.report(Page.error());
    All.m_Charges.insert(All.m_Charges.end(), Page->m_Charges.begin(), Page->m_Charges.end());
    All.m_Total += Page->m_Total;
    All.m_Waiting = Page->m_Waiting;
    // A page that does not lead on would be asked for without end.
    All.m_Next = Page->m_Charges.empty() ? "" : Page->m_Next;
  } while (!All.m_Next.empty());
  if (m_Options.m_Json)
    return showJson(All);
  Table Rows({"REQUEST", "TIME", "SUBJECT", "PROMPT", "COMPLETION", "MICROCENTS"});
  for (const ChargeRecord &Each : All.m_Charges)
    Rows.add({Each.m_Request.value(), timeText(Each.m_At), Each.m_Subject,
              std::to_string(Each.m_PromptTokens.value()), std::to_string(Each.m_CompletionTokens.value()),
              std::to_string(Each.m_Amount.value())});
  Rows.print(*m_Hooks.m_Out);
  *m_Hooks.m_Out << "total " << All.m_Total << " microcents in " << All.m_Charges.size() << " charges, "
                 << All.m_Waiting << " not yet written\n";
  return ExitCode::Done;
}

ExitCode Commands::restrict(RestrictionKind Kind, const std::string &Target) const {
  const Expected<ConfigReply> Base = m_Client.get<ConfigReply>(admin_path::Config);
  if (!Base)
    return m_Publisher.report(Base.error());
  const std::vector<std::string> Known = targetsOf(Kind, Base->m_Configuration);
  if (!contains(Known, Target))
    return m_Publisher.report(unknownName(Target, Known));
  return m_Publisher.restrictAndPublish(Kind, Target);
}

ExitCode Commands::bringBack(const std::string &Target) const {
  const Expected<ConfigReply> Base = m_Client.get<ConfigReply>(admin_path::Config);
  if (!Base)
    return m_Publisher.report(Base.error());
  std::vector<std::string> Known;
  std::vector<RestrictionKind> Kinds;
  for (const RestrictionKind Kind :
       {RestrictionKind::TakeOutDomain, RestrictionKind::WithdrawVersion, RestrictionKind::DrainUpstream}) {
    const std::vector<std::string> Names = targetsOf(Kind, Base->m_Configuration);
    Known.insert(Known.end(), Names.begin(), Names.end());
    if (contains(Names, Target))
      Kinds.push_back(Kind);
  }
  if (Kinds.empty())
    return m_Publisher.report(unknownName(Target, Known));
  if (Kinds.size() > 1)
    return m_Publisher.report(
        {ErrorCode::BadFieldValue, "find target", "", Ran::No,
         "'" + Target + "' names objects of several kinds; publish the change instead"});
  const RestrictionKind Kind = Kinds.front();
  Edit Change;
  Change.m_What = "bring back " + Target;
  Change.m_Apply = [Kind, Target](Configuration &Value) -> std::optional<Error> {
    const std::vector<std::string> Names = targetsOf(Kind, Value);
    if (!contains(Names, Target))
      return unknownName(Target, Names);
    putBack(Kind, Target, Value);
    return std::nullopt;
  };
  return m_Publisher.liftAndPublish(Kind, Target, std::move(Change));
}

ExitCode Commands::startRollout(const RolloutOptions &Wanted) const {
  Edit Change;
  Change.m_What = "start rollout " + Wanted.m_Name;
  Change.m_Apply = [Wanted](Configuration &Value) { return applyStart(Wanted, Value); };
  return m_Publisher.liftAndPublish(RestrictionKind::StopRollout, Wanted.m_Name, std::move(Change));
}

ExitCode Commands::pauseRollout(const std::string &Name) const {
  Edit Change;
  Change.m_What = "pause rollout " + Name;
  Change.m_Apply = [Name](Configuration &Value) -> std::optional<Error> {
    const auto Found = Value.m_Rollouts.find(RolloutId(Name));
    if (Found == Value.m_Rollouts.end())
      return unknownName(Name, namesOf(Value.m_Rollouts));
    if (Found->second.m_State != RolloutState::Running && Found->second.m_State != RolloutState::Paused)
      return Error{ErrorCode::BadFieldValue, "pause rollout", "", Ran::No,
                   "rollout '" + Name + "' is not running"};
    Found->second.m_State = RolloutState::Paused;
    return std::nullopt;
  };
  return m_Publisher.publishEdit(Change);
}

ExitCode Commands::drainInstance(const std::string &Name,
                                 std::optional<std::uint32_t> DeadlineSeconds) const {
  // A status does not list the daemon that answers, so each daemon is asked for its own name.
  std::vector<std::string> Known;
  std::optional<Endpoint> Daemon;
  std::optional<Error> Failure;
  for (const Endpoint &Each : m_Client.allDaemons()) {
    const Expected<StatusReply> Status = m_Client.getFrom<StatusReply>(Each, std::string(admin_path::Status));
    if (!Status) {
      Failure = Status.error();
      continue;
    }
    Known.push_back(Status->m_Instance.value());
    if (Known.back() != Name)
      continue;
    Daemon = Each;
    break;
  }
  if (!Daemon && Known.empty() && Failure)
    return m_Publisher.report(*Failure);
  if (!Daemon)
    return m_Publisher.report(unknownName(Name, Known));
  if (m_Options.m_DryRun) {
    *m_Hooks.m_Out << "dry run: would drain instance " << Name << " at " << Daemon->toString() << "\n";
    return ExitCode::Done;
  }
  DrainRequest Request{InstanceId(Name), m_Options.m_Operator, std::nullopt};
  if (DeadlineSeconds)
    Request.m_Deadline = std::chrono::seconds(*DeadlineSeconds);
  const Expected<DrainReply> Answer =
      m_Client.postTo<DrainReply>(*Daemon, admin_path::Drain, encodeMessage(Request));
  if (!Answer)
    return m_Publisher.report(Answer.error());
  if (m_Options.m_Json)
    return showJson(*Answer);
  *m_Hooks.m_Out << "instance " << Answer->m_Instance << " is draining: " << Answer->m_ActiveRequests
                 << " requests running, deadline " << Answer->m_Deadline.count() << " ms\n";
  return ExitCode::Done;
}

} // namespace bulrushpitch::detail
