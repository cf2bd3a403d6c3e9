#include "detail/publisher.h"

#include "detail/output.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

namespace bulrushpitch::detail {

namespace {

constexpr Duration PollPause = std::chrono::milliseconds(500);
// Each lost race means that somebody else's publication succeeded; operators publish a few times a minute.
constexpr int EditRounds = 8;
constexpr std::size_t RestrictDaemons = 3;

} // namespace

std::string Publisher::makeId(const char *Prefix) const {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx", static_cast<unsigned long long>(m_Client.hooks().m_Random()));
  return std::string(Prefix) + Text;
}

ExitCode Publisher::report(const Error &Failure) const {
  *m_Client.hooks().m_Error << "error: " << Failure.toString() << "\n";
  if (m_Client.options().m_Json)
    *m_Client.hooks().m_Out << encodeError(Failure) << "\n";
  return exitCodeOf(Failure);
}

ExitCode Publisher::publishSet(PublishRequest Request) const {
  Request.m_Operator = m_Client.options().m_Operator;
  Request.m_DryRun = m_Client.options().m_DryRun;
  const Expected<PublishReply> Reply = m_Client.publish(Request);
  if (Reply) {
    if (Reply->m_Outcome == PublishOutcome::Conflict)
      compareWithWinner(Request);
    return finish(*Reply, Request.m_PublishId);
  }
  if (Reply.error().m_Ran != Ran::No) {
    *m_Client.hooks().m_Error << "the outcome is unknown; repeat with --publish-id "
                              << Request.m_PublishId.value() << " --base " << Request.m_Base.value() << "\n";
    report(Reply.error());
    return ExitCode::OutcomeUnknown;
  }
  return report(Reply.error());
}

// The daemon lists what the winner changed since the revision that the daemon held, which may be newer than
// the operator's base. What the operator has to merge is the difference between the two sets.
void Publisher::compareWithWinner(const PublishRequest &Request) const {
  const Expected<ConfigReply> Winner = m_Client.get<ConfigReply>(admin_path::Config);
  if (!Winner)
    return;
  const ReadOutcome Own = readDocuments(Request.m_Documents, nullptr);
  *m_Client.hooks().m_Error << "from revision " << Winner->m_Configuration.m_Revision << " to your set:\n";
  printChanges(*m_Client.hooks().m_Error, diffConfigurations(Winner->m_Configuration, Own.m_Configuration));
}

PublishRequest Publisher::requestFor(const Configuration &Base, const Edit &Change,
                                     const Configuration &Target) const {
  PublishRequest Request;
  Request.m_Base = Base.m_Revision;
  Request.m_PublishId = PublishId(makeId("p-"));
  Request.m_Operator = m_Client.options().m_Operator;
  Request.m_Documents = writeDocuments(Target);
  Request.m_DryRun = m_Client.options().m_DryRun;
  Request.m_Lifted = Change.m_Lifted;
  return Request;
}

ExitCode Publisher::publishEdit(const Edit &Change) const {
  for (int Round = 1;; ++Round) {
    const Expected<ConfigReply> Base = m_Client.get<ConfigReply>(admin_path::Config);
    if (!Base)
      return report(Base.error());
    Configuration Target = Base->m_Configuration;
    if (const std::optional<Error> Failure = Change.m_Apply(Target))
      return report(*Failure);
    if (Change.m_Lifted.empty() && diffConfigurations(Base->m_Configuration, Target).empty()) {
      *m_Client.hooks().m_Error << Change.m_What << ": already so in revision "
                                << Base->m_Configuration.m_Revision << "\n";
      PublishReply Same;
      Same.m_Outcome = PublishOutcome::Published;
      Same.m_Revision = Base->m_Configuration.m_Revision;
      return m_Client.options().m_DryRun ? ExitCode::Done : finish(Same, Base->m_PublishId);
    }
    const PublishRequest Request = requestFor(Base->m_Configuration, Change, Target);
    const Expected<PublishReply> Reply = m_Client.publish(Request);
    if (!Reply)
      return report(Reply.error());
    if (Reply->m_Outcome != PublishOutcome::Conflict || Round == EditRounds)
      return finish(*Reply, Request.m_PublishId);
    *m_Client.hooks().m_Error << "revision " << Reply->m_Revision << " of " << Reply->m_Winner
                              << " came first; making the change on top of it\n";
  }
}

ExitCode Publisher::printRefusal(const PublishReply &Reply) const {
  const bool Lost = Reply.m_Outcome == PublishOutcome::Conflict;
  std::ostream &Out = *m_Client.hooks().m_Error;
  for (const Fault &Found : Reply.m_Faults)
    Out << Found.toString() << "\n";
  if (Lost) {
    Out << "not published: revision " << Reply.m_Revision << " of " << Reply.m_Winner
        << " came first. The winner changed:\n";
    printChanges(Out, Reply.m_Changes);
  } else {
    Out << "not published: " << Reply.m_Faults.size() << " faults\n";
  }
  if (m_Client.options().m_Json)
    *m_Client.hooks().m_Out << encodeMessage(Reply) << "\n";
  return Lost ? ExitCode::Conflict : ExitCode::Refused;
}

ExitCode Publisher::finish(const PublishReply &Reply, const PublishId &Id) const {
  if (Reply.m_Outcome == PublishOutcome::Conflict || Reply.m_Outcome == PublishOutcome::Refused)
    return printRefusal(Reply);
  if (Reply.m_Outcome == PublishOutcome::Checked) {
    printResult(Reply, Id, {});
    return ExitCode::Done;
  }
  const Progress Reached = follow(Reply);
  printResult(Reply, Id, Reached);
  return Reached.m_InForce ? ExitCode::Done : ExitCode::NotInForce;
}

Publisher::Progress Publisher::follow(const PublishReply &Reply) const {
  const ClientHooks &Hooks = m_Client.hooks();
  Progress Now;
  Now.m_SecondCopy = Reply.m_Outcome == PublishOutcome::Published;
  *Hooks.m_Error << "revision " << Reply.m_Revision << ": "
                 << (Now.m_SecondCopy ? "published" : "written, single copy") << "\n";
  const TimePoint Deadline = Hooks.m_Now() + m_Client.options().m_Wait;
  for (;;) {
    const Expected<InForceReply> Answer = m_Client.get<InForceReply>(
        admin_path::InForce, {{"revision", std::to_string(Reply.m_Revision.value())}});
    if (Answer) {
      const Progress Before = Now;
      Now = {Answer->m_InForce, Before.m_SecondCopy || Answer->m_SecondCopy, Answer->m_Confirmed,
             Answer->m_Missing};
      showProgress(Before, Now, Reply.m_Revision);
    }
    if (Now.m_InForce || Hooks.m_Now() >= Deadline)
      return Now;
    Hooks.m_Sleep(PollPause);
  }
}

void Publisher::showProgress(const Progress &Before, const Progress &Now, ConfigRevision Revision) const {
  std::ostream &Out = *m_Client.hooks().m_Error;
  if (Now.m_SecondCopy && !Before.m_SecondCopy)
    Out << "revision " << Revision << ": published\n";
  if (Now.m_InForce)
    Out << "revision " << Revision << ": in force on all " << Now.m_Confirmed.size() << " instances\n";
  else if (Now.m_Missing != Before.m_Missing)
    Out << "revision " << Revision << ": " << Now.m_Confirmed.size() << " instances confirmed, missing "
        << joined(Now.m_Missing) << "\n";
}

void Publisher::printResult(const PublishReply &Reply, const PublishId &Id, const Progress &Reached) const {
  std::ostream &Out = *m_Client.hooks().m_Out;
  const bool Checked = Reply.m_Outcome == PublishOutcome::Checked;
  if (m_Client.options().m_Json) {
    nlohmann::json Result = nlohmann::json::parse(encodeMessage(Reply));
    Result["publishId"] = Id.value();
    Result["outcome"] = Checked ? "checked" : Reached.m_SecondCopy ? "published" : "single-copy";
    Result["inForce"] = Reached.m_InForce;
    Result["missing"] = nlohmann::json::array();
    for (const InstanceId &Name : Reached.m_Missing)
      Result["missing"].push_back(Name.value());
    Out << Result.dump() << "\n";
    return;
  }
  printChanges(Out, Reply.m_Changes);
  if (Checked)
    Out << "dry run: the set is valid on top of revision " << Reply.m_Revision << "; nothing was published\n";
  else if (Reached.m_InForce)
    Out << "revision " << Reply.m_Revision << " is in force everywhere\n";
  else
    Out << "revision " << Reply.m_Revision << " is "
        << (Reached.m_SecondCopy ? "published" : "written, single copy") << ", but not in force on: "
        << (Reached.m_Missing.empty() ? "unknown, no daemon answered" : joined(Reached.m_Missing)) << "\n";
}

std::size_t Publisher::restrictDaemons(const Restriction &Applied) const {
  std::size_t Accepted = 0;
  const std::string Body = encodeMessage(Applied);
  for (const Endpoint &Daemon : m_Client.allDaemons()) {
    const Expected<RestrictReply> Answer = m_Client.postTo<RestrictReply>(Daemon, admin_path::Restrict, Body);
    if (!Answer) {
      *m_Client.hooks().m_Error << "daemon " << Daemon.toString()
                                << " did not take the restriction: " << Answer.error().toString() << "\n";
      continue;
    }
    *m_Client.hooks().m_Error << "restriction " << Applied.m_Id << " applied by " << Answer->m_Instance
                              << (Answer->m_Pushed.empty() ? "" : ", pushed to " + joined(Answer->m_Pushed))
                              << "\n";
    if (++Accepted == RestrictDaemons)
      break;
  }
  return Accepted;
}

ExitCode Publisher::restrictAndPublish(RestrictionKind Kind, const std::string &Target) const {
  const Expected<ConfigReply> Base = m_Client.get<ConfigReply>(admin_path::Config);
  if (!Base)
    return report(Base.error());
  const Restriction Applied{RestrictionId(makeId("r-")), Kind, Target, m_Client.options().m_Operator,
                            Base->m_Configuration.m_Revision};
  Edit Change;
  Change.m_What = std::string(nameOf(Kind)) + " " + Target;
  Change.m_Apply = [Applied](Configuration &Value) -> std::optional<Error> {
    Value = applyRestrictions(Value, {Applied});
    return std::nullopt;
  };
  if (m_Client.options().m_DryRun)
    return publishEdit(Change);
  const std::size_t Accepted = restrictDaemons(Applied);
  if (Accepted == 0)
    return report({ErrorCode::PeerUnreachable, "restrict", "", Ran::No, "no daemon took the restriction"});
  // A daemon that cannot reach the store takes seconds to say so, and the restriction holds already.
  const ExitCode Published = storeReachable() ? publishEdit(Change) : ExitCode::Unreachable;
  if (Published == ExitCode::Done || Published == ExitCode::NotInForce ||
      Published == ExitCode::OutcomeUnknown)
    return Published;
  *m_Client.hooks().m_Error
      << Change.m_What << ": applied by " << Accepted
      << " daemons as a restriction, but not published; publish it when the store is up\n";
  return ExitCode::OnlyRestricted;
}

bool Publisher::storeReachable() const {
  for (const Endpoint &Daemon : m_Client.options().m_Daemons) {
    const Expected<StatusReply> Status =
        m_Client.getFrom<StatusReply>(Daemon, std::string(admin_path::Status));
    if (Status && Status->m_StoreReachable)
      return true;
  }
  return false;
}

std::vector<RestrictionId> Publisher::findRestrictions(RestrictionKind Kind,
                                                       const std::string &Target) const {
  std::set<RestrictionId> Found;
  for (const Endpoint &Daemon : m_Client.allDaemons()) {
    const Expected<StatusReply> Status =
        m_Client.getFrom<StatusReply>(Daemon, std::string(admin_path::Status));
    if (!Status) {
      *m_Client.hooks().m_Error << "daemon " << Daemon.toString()
                                << " did not list its restrictions: " << Status.error().toString() << "\n";
      continue;
    }
    for (const Restriction &Each : Status->m_Restrictions)
      if (Each.m_Kind == Kind && Each.m_Target == Target)
        Found.insert(Each.m_Id);
  }
  return {Found.begin(), Found.end()};
}

ExitCode Publisher::liftAndPublish(RestrictionKind Kind, const std::string &Target, Edit Change) const {
  Change.m_Lifted = findRestrictions(Kind, Target);
  return publishEdit(Change);
}

} // namespace bulrushpitch::detail
