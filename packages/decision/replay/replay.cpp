#include "replay.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace bulrushpitch::replay {

namespace {

double numberOf(const std::string &Text) {
  std::size_t ParsedLength = 0;
  double Value = 0.0;
  try {
    Value = std::stod(Text, &ParsedLength);
  } catch (const std::logic_error &) {
    ParsedLength = 0;
  }
  if (ParsedLength == 0 || ParsedLength != Text.size())
    throw std::runtime_error("'" + Text + "' is not a number");
  return Value;
}

std::vector<std::string> listOf(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

template <typename Id> std::vector<Id> idsOf(const TraceLine &Line, const std::string &Name) {
  std::vector<Id> Ids;
  for (const std::string &Item : listOf(Line.option(Name, ""), ','))
    Ids.push_back(Id(Item));
  return Ids;
}

TraceLine parse(const std::string &Line) {
  TraceLine Parsed;
  std::istringstream Stream(Line.substr(0, Line.find('#')));
  for (std::string Word; Stream >> Word;)
    if (const std::size_t Separator = Word.find('='); Separator == std::string::npos)
      Parsed.m_Words.push_back(Word);
    else
      Parsed.m_Options[Word.substr(0, Separator)] = Word.substr(Separator + 1);
  return Parsed;
}

} // namespace

const std::string &TraceLine::word(std::size_t Index) const {
  if (Index >= m_Words.size())
    throw std::runtime_error("the line is too short: expected another word");
  return m_Words[Index];
}

std::string TraceLine::option(const std::string &Name, const std::string &Default) const {
  const auto Found = m_Options.find(Name);
  return Found == m_Options.end() ? Default : Found->second;
}

double TraceLine::number(const std::string &Name, double Default) const {
  const auto Found = m_Options.find(Name);
  return Found == m_Options.end() ? Default : numberOf(Found->second);
}

bool TraceLine::flag(const std::string &Name) const {
  return std::find(m_Words.begin(), m_Words.end(), Name) != m_Words.end();
}

Replay::Replay() { m_BaseConfiguration.m_Limits.m_ExplorationShare = 0.0; }

std::string Replay::runLine(const std::string &Line) {
  const TraceLine Parsed = parse(Line);
  if (Parsed.m_Words.empty())
    return "";
  try {
    dispatchLine(Parsed);
  } catch (const std::runtime_error &Problem) {
    return Problem.what();
  }
  return "";
}

std::string Replay::finish() {
  return m_PendingName.empty() ? ""
                               : "the outcome of " + m_PendingName + " is not stated by an 'expect' line";
}

void Replay::dispatchLine(const TraceLine &Line) {
  if (!m_HeaderRead) {
    if (Line.word(0) != "trace" || Line.word(1) != "1")
      throw std::runtime_error("the first line must be 'trace 1'");
    m_HeaderRead = true;
    return;
  }
  if (Line.word(0) == "expect")
    return expect(Line);
  if (!m_PendingName.empty())
    throw std::runtime_error("the outcome of " + m_PendingName + " is not stated by an 'expect' line");
  if (Line.word(0) != "at") {
    if (m_Started)
      throw std::runtime_error("'" + Line.word(0) + "' must come before the first 'at'");
    return declare(Line);
  }
  if (!m_Started)
    start();
  const TimePoint ActionTime = TimePoint(std::chrono::hours(1)) + durationOf(numberOf(Line.word(1)));
  if (ActionTime < m_Now)
    throw std::runtime_error("the time is before that of the previous action");
  m_Now = ActionTime;
  runAction(Line);
}

// --- Declarations

void Replay::declare(const TraceLine &Line) {
  const std::string &Kind = Line.word(0);
  const std::string &Name = Line.word(1);
  if (Kind == "seed")
    m_Seed = static_cast<std::uint64_t>(numberOf(Name));
  else if (Kind == "region")
    m_Settings.m_Region = RegionId(Name);
  else if (Kind == "explore")
    m_BaseConfiguration.m_Limits.m_ExplorationShare = numberOf(Name);
  else if (Kind == "link")
    m_BaseConfiguration.m_Limits.m_LinkBytesPerSecond = static_cast<std::uint64_t>(numberOf(Name));
  else if (Kind == "queue")
    m_QueueSize = static_cast<std::size_t>(numberOf(Name));
  else if (Kind == "domain")
    m_BaseConfiguration.m_Domains[DomainId(Name)] = {DomainId(Name), RegionId(Line.word(2)), DomainState::In};
  else if (Kind == "service")
    m_BaseConfiguration.m_Services[ServiceId(Name)] = {ServiceId(Name), {}};
  else if (Kind == "team")
    declareTeam(Line);
  else if (Kind == "model")
    declareModel(Line);
  else if (Kind == "version")
    declareVersion(Line);
  else if (Kind == "upstream")
    declareUpstream(Line);
  else if (Kind == "rollout")
    declareRollout(Line);
  else
    throw std::runtime_error("unknown declaration '" + Kind + "'");
}

void Replay::declareTeam(const TraceLine &Line) {
  Team Added;
  Added.m_Id = TeamId(Line.word(1));
  Added.m_Models = idsOf<ModelId>(Line, "models");
  Added.m_Versions = idsOf<VersionId>(Line, "versions");
  Added.m_Services = idsOf<ServiceId>(Line, "services");
  Added.m_Weight = Line.number("weight", 1.0);
  Added.m_QualityTarget = Line.number("quality", 0.0);
  for (const std::string &Value : listOf(Line.option("values", ""), ',')) {
    const std::vector<std::string> Parts = listOf(Value, ':');
    if (Parts.size() != 2)
      throw std::runtime_error("values must be TASK:VALUE,...");
    Added.m_TaskValue[TaskName(Parts[0])] = numberOf(Parts[1]);
  }
  m_BaseConfiguration.m_Teams[Added.m_Id] = Added;
}

void Replay::declareModel(const TraceLine &Line) {
  Model Added{ModelId(Line.word(1)), std::nullopt};
  Cascade AddedCascade{CascadeId("cascade of " + Line.word(1)), {}};
  for (const std::string &Step : listOf(Line.option("cascade", ""), ',')) {
    const std::vector<std::string> Parts = listOf(Step, ':');
    if (Parts.size() != 2)
      throw std::runtime_error("cascade must be VERSION:ACCEPT,...");
    AddedCascade.m_Steps.push_back({VersionId(Parts[0]), numberOf(Parts[1])});
  }
  if (!AddedCascade.m_Steps.empty()) {
    Added.m_Cascade = AddedCascade.m_Id;
    m_BaseConfiguration.m_Cascades[AddedCascade.m_Id] = AddedCascade;
  }
  m_BaseConfiguration.m_Models[Added.m_Id] = Added;
}

void Replay::declareVersion(const TraceLine &Line) {
  const std::int64_t Price = static_cast<std::int64_t>(Line.number("price", 1.0));
  const VersionId Id(Line.word(1));
  m_BaseConfiguration.m_Versions[Id] = {Id,
                                        ModelId(Line.word(2)),
                                        VersionState::Active,
                                        MicroCents(Price),
                                        MicroCents(4 * Price),
                                        Line.number("prior", 0.7)};
}

void Replay::declareUpstream(const TraceLine &Line) {
  Upstream Added;
  Added.m_Id = UpstreamId(Line.word(1));
  Added.m_Domain = DomainId(Line.word(2));
  Added.m_Versions = idsOf<VersionId>(Line, "versions");
  if (const std::string Service = Line.option("service", ""); !Service.empty())
    Added.m_Service = ServiceId(Service);
  Added.m_Capacity = static_cast<std::uint32_t>(Line.number("capacity", 32));
  Added.m_ColdLimit = static_cast<std::uint32_t>(Line.number("cold", 1));
  Added.m_WarmUp =
      std::chrono::duration_cast<std::chrono::milliseconds>(durationOf(Line.number("warmup", 30)));
  m_BaseConfiguration.m_Upstreams[Added.m_Id] = Added;
}

void Replay::declareRollout(const TraceLine &Line) {
  Rollout Added;
  Added.m_Id = RolloutId(Line.word(1));
  Added.m_Model = ModelId(Line.word(2));
  Added.m_From = VersionId(Line.option("from", ""));
  Added.m_To = VersionId(Line.option("to", ""));
  Added.m_Share = Line.number("share", 0.1);
  m_BaseConfiguration.m_Rollouts[Added.m_Id] = Added;
}

void Replay::start() {
  m_Started = true;
  m_Link.setRate(m_BaseConfiguration.m_Limits.m_LinkBytesPerSecond, 1);
  m_Queue = std::make_unique<AdmissionQueue>(m_QueueSize);
  m_Router =
      std::make_unique<Router>(m_Quality, m_Upstreams, m_Rollouts, m_Link, m_Settings, seededRandom(m_Seed));
  publish();
}

void Replay::publish() {
  const Configuration Effective = applyRestrictions(m_BaseConfiguration, m_Restrictions);
  m_Router->setConfiguration(Effective, m_Now);
  m_Queue->setConfiguration(Effective);
}

// --- Actions

void Replay::runAction(const TraceLine &Line) {
  const std::string &Verb = Line.word(2);
  if (runOperatorAction(Line) || runObservation(Line))
    return;
  if (Verb == "request")
    request(Line);
  else if (Verb == "call")
    call(Line);
  else if (Verb == "offer")
    offer(Line);
  else if (Verb == "take")
    take();
  else
    throw std::runtime_error("unknown action '" + Verb + "'");
}

bool Replay::runOperatorAction(const TraceLine &Line) {
  static const std::map<std::string, RestrictionKind> Kinds = {
      {"take-out", RestrictionKind::TakeOutDomain},
      {"withdraw", RestrictionKind::WithdrawVersion},
      {"drain", RestrictionKind::DrainUpstream},
      {"stop-rollout", RestrictionKind::StopRollout}};
  const std::string &Verb = Line.word(2);
  if (const auto Kind = Kinds.find(Verb); Kind != Kinds.end()) {
    m_Restrictions.push_back(
        {RestrictionId(Verb + " " + Line.word(3)), Kind->second, Line.word(3), "operator", {}});
  } else if (Verb == "lift") {
    const RestrictionId Id(Line.word(3) + " " + Line.word(4));
    if (std::erase_if(m_Restrictions, [&](const Restriction &Issued) { return Issued.m_Id == Id; }) == 0)
      throw std::runtime_error("there is no restriction '" + Id.value() + "'");
  } else {
    return false;
  }
  publish();
  return true;
}

bool Replay::runObservation(const TraceLine &Line) {
  const std::string &Verb = Line.word(2);
  const std::string &Name = Line.word(Verb == "take" ? 2 : 3);
  if (Verb == "warm")
    m_Upstreams.setWarm(UpstreamId(Name), m_Now);
  else if (Verb == "report")
    report(Line);
  else if (Verb == "rating")
    rate(Line);
  else if (Verb == "leaving")
    m_Upstreams.setLeaving(UpstreamId(Name), true);
  else if (Verb == "unreachable")
    m_Upstreams.setUnreachable(UpstreamId(Name), m_Now + durationOf(Line.number("for", 1.0)));
  else if (Verb == "cut" || Verb == "join")
    m_Upstreams.setDomainReachable(DomainId(Name), Verb == "join");
  else if (Verb == "first")
    m_Router->onFirstToken(AttemptId(Name), m_Now);
  else if (Verb == "finish")
    m_Router->onFinished(AttemptId(Name), m_Now);
  else if (Verb == "fail")
    m_Router->onFailed(AttemptId(Name), static_cast<ErrorCode>(static_cast<int>(numberOf(Line.word(4)))),
                       m_Now);
  else
    return false;
  return true;
}

void Replay::report(const TraceLine &Line) {
  LoadReport Report;
  Report.m_Upstream = UpstreamId(Line.word(3));
  Report.m_StartId = Line.option("start", "first");
  Report.m_ReceivedAt = m_Now;
  Report.m_AgeAtReceipt = durationOf(Line.number("age", 0.0));
  Report.m_Running = static_cast<std::uint32_t>(Line.number("running", 0));
  Report.m_Queued = static_cast<std::uint32_t>(Line.number("queued", 0));
  Report.m_TokensPerSecond = Line.number("tokens", 0);
  Report.m_Cold = Line.flag("cold");
  Report.m_Leaving = Line.flag("leaving");
  m_Upstreams.onReport(Report);
}

void Replay::rate(const TraceLine &Line) {
  const double Rating = numberOf(Line.word(6));
  const double Spread = Line.number("spread", 0.05);
  // Alternating between the two values gives the stated mean and spread without random numbers.
  for (int Index = 0; Index < static_cast<int>(Line.number("times", 1)); ++Index) {
    const double SampleRating = Rating + (Index % 2 == 0 ? Spread : -Spread);
    m_Quality.record(TeamId(Line.word(3)), TaskName(Line.word(4)), VersionId(Line.word(5)), SampleRating,
                     m_Now);
    m_Rollouts.record(VersionId(Line.word(5)), TaskName(Line.word(4)), SampleRating);
  }
}

void Replay::request(const TraceLine &Line) {
  RouteRequest Request;
  Request.m_Request = RequestId(Line.word(3));
  Request.m_Team = TeamId(Line.option("team", ""));
  Request.m_Model = ModelId(Line.option("model", ""));
  Request.m_Task = TaskName(Line.option("task", ""));
  if (const std::string Session = Line.option("session", ""); !Session.empty())
    Request.m_Session = SessionId(Session);
  if (const std::string Pinned = Line.option("pinned", ""); !Pinned.empty())
    Request.m_PinnedVersion = VersionId(Pinned);
  if (Line.m_Options.contains("quality"))
    Request.m_QualityTarget = Line.number("quality", 0.0);
  Request.m_Deadline = m_Now + durationOf(Line.number("deadline", 60.0));
  Request.m_PromptTokens = Tokens(static_cast<std::uint64_t>(Line.number("prompt", 100)));
  Request.m_ExpectedTokens = Tokens(static_cast<std::uint64_t>(Line.number("tokens", 50)));
  for (const std::string &Hash : listOf(Line.option("prefixes", ""), ','))
    Request.m_PrefixHashes.push_back(static_cast<std::uint64_t>(numberOf(Hash)));
  Request.m_CascadeStep = static_cast<std::uint32_t>(Line.number("step", 0));
  Request.m_ExcludedUpstreams = idsOf<UpstreamId>(Line, "excluded");
  m_PendingDecision = m_Router->decide(Request, m_Now);
  m_PendingName = Line.word(3);
  if (*m_PendingDecision)
    m_Router->onDispatched(AttemptId(m_PendingName), Request, **m_PendingDecision, m_Now);
}

void Replay::call(const TraceLine &Line) {
  const ServiceRequest Request{TeamId(Line.option("team", "")), ServiceId(Line.option("service", "")),
                               m_Now + durationOf(Line.number("deadline", 2.0)),
                               idsOf<UpstreamId>(Line, "excluded")};
  m_PendingDecision = m_Router->decideService(Request, m_Now);
  m_PendingName = Line.word(3);
  if (*m_PendingDecision)
    m_Router->onDispatched(AttemptId(m_PendingName), **m_PendingDecision, m_Now);
}

void Replay::offer(const TraceLine &Line) {
  m_PendingName = Line.word(3);
  m_PendingOffer = m_Queue->offer({RequestId(m_PendingName), TeamId(Line.option("team", "")),
                                   TaskName(Line.option("task", "")), durationOf(Line.number("engine", 1.0)),
                                   m_Now + durationOf(Line.number("deadline", 60.0)), 0},
                                  m_Now);
}

void Replay::take() {
  m_PendingName = "take";
  const std::optional<QueuedRequest> Served = m_Queue->take(m_Now);
  m_PendingTake = Served ? Served->m_Request.value() : "nothing";
}

// --- Outcomes

void Replay::expect(const TraceLine &Line) {
  if (Line.word(1) == "rollout") {
    const std::string Verdict(nameOf(m_Rollouts.verdict(RolloutId(Line.word(2)))));
    if (Verdict != Line.word(3))
      throw std::runtime_error("rollout " + Line.word(2) + ": expected verdict " + Line.word(3) + ", got " +
                               Verdict);
    ++m_OutcomeCount;
    return;
  }
  if (m_PendingName.empty() || Line.word(1) != m_PendingName)
    throw std::runtime_error("unexpected 'expect' line for " + Line.word(1) +
                             ": the last action has another name or needs no outcome");
  m_PendingName.clear();
  if (m_PendingTake) {
    const std::string Served = *std::exchange(m_PendingTake, std::nullopt);
    if (Served != Line.word(2))
      throw std::runtime_error("expected the queue to serve " + Line.word(2) + ", got " + Served);
  } else if (m_PendingOffer) {
    const Expected<std::uint64_t> Ticket = *std::exchange(m_PendingOffer, std::nullopt);
    if (Ticket && Line.word(2) != "queued")
      throw std::runtime_error(Line.word(1) + " was queued, but another outcome was expected");
    if (!Ticket)
      expectRejection(Line, Ticket.error());
  } else {
    const Expected<RouteDecision> Outcome = *std::exchange(m_PendingDecision, std::nullopt);
    if (Outcome)
      expectPlacement(Line, *Outcome);
    else
      expectRejection(Line, Outcome.error());
  }
  ++m_OutcomeCount;
}

void Replay::expectPlacement(const TraceLine &Line, const RouteDecision &Decision) {
  const bool IsService = Decision.m_Reason.m_Rule == RouteRule::Service;
  const std::vector<std::string> Upstreams = listOf(Line.word(2), '|');
  std::string Rule(nameOf(Decision.m_Reason.m_Rule));
  std::replace(Rule.begin(), Rule.end(), ' ', '-');
  const bool Matches =
      std::find(Upstreams.begin(), Upstreams.end(), Decision.m_Upstream.value()) != Upstreams.end() &&
      (IsService || (Line.word(3) == Decision.m_Version.value() && Line.word(4) == Rule)) &&
      Line.flag("permit") == Decision.m_NeedsPermit && Line.flag("held") == !Decision.m_StreamBeforeRating &&
      Line.flag("far") == Decision.m_Reason.m_OtherRegion;
  if (!Matches)
    throw std::runtime_error(
        "not as stated in the 'expect' line; got: " + Decision.m_Upstream.value() +
        (IsService ? std::string() : " " + Decision.m_Version.value() + " " + Rule) +
        (Decision.m_NeedsPermit ? " permit" : "") + (Decision.m_StreamBeforeRating ? "" : " held") +
        (Decision.m_Reason.m_OtherRegion ? " far" : "") + " (" + Decision.reason() + ")");
}

void Replay::expectRejection(const TraceLine &Line, const Error &Rejection) {
  if (Line.word(2) != "refused" || numberOf(Line.word(3)) != static_cast<double>(Rejection.m_Code) ||
      Rejection.m_Ran != Ran::No)
    throw std::runtime_error("not as stated in the 'expect' line; got: " + Rejection.toString());
  if (const std::string NextVersion = Line.option("next", "");
      !NextVersion.empty() && Rejection.m_Detail.find("version " + NextVersion) == std::string::npos)
    throw std::runtime_error("version " + NextVersion +
                             " is not named in the error detail: " + Rejection.m_Detail);
}

} // namespace bulrushpitch::replay
