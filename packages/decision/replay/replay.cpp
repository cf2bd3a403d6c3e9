#include "replay.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace bulrushpitch::replay {

namespace {

Duration seconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

double numberOf(const std::string &Text) {
  std::size_t Used = 0;
  double Value = 0.0;
  try {
    Value = std::stod(Text, &Used);
  } catch (const std::logic_error &) {
    Used = 0;
  }
  if (Used == 0 || Used != Text.size())
    throw std::runtime_error("'" + Text + "' is not a number");
  return Value;
}

std::vector<std::string> listOf(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

template <typename Id> std::vector<Id> idsOf(const Words &Line, const std::string &Name) {
  std::vector<Id> Ids;
  for (const std::string &Each : listOf(Line.named(Name, ""), ','))
    Ids.push_back(Id(Each));
  return Ids;
}

Words parse(const std::string &Line) {
  Words Parsed;
  std::istringstream In(Line.substr(0, Line.find('#')));
  for (std::string Word; In >> Word;)
    if (const std::size_t At = Word.find('='); At == std::string::npos)
      Parsed.m_Plain.push_back(Word);
    else
      Parsed.m_Named[Word.substr(0, At)] = Word.substr(At + 1);
  return Parsed;
}

} // namespace

const std::string &Words::plain(std::size_t At) const {
  if (At >= m_Plain.size())
    throw std::runtime_error("a word is missing at the end");
  return m_Plain[At];
}

std::string Words::named(const std::string &Name, const std::string &Default) const {
  const auto Found = m_Named.find(Name);
  return Found == m_Named.end() ? Default : Found->second;
}

double Words::number(const std::string &Name, double Default) const {
  const auto Found = m_Named.find(Name);
  return Found == m_Named.end() ? Default : numberOf(Found->second);
}

bool Words::flag(const std::string &Name) const {
  return std::find(m_Plain.begin(), m_Plain.end(), Name) != m_Plain.end();
}

Replay::Replay() { m_Base.m_Limits.m_ExplorationShare = 0.0; }

std::string Replay::step(const std::string &Line) {
  const Words Parsed = parse(Line);
  if (Parsed.m_Plain.empty())
    return "";
  try {
    perform(Parsed);
  } catch (const std::runtime_error &Wrong) {
    return Wrong.what();
  }
  return "";
}

std::string Replay::finish() {
  return m_Pending.empty() ? "" : "the outcome of " + m_Pending + " is not stated";
}

void Replay::perform(const Words &Line) {
  if (!m_Versioned) {
    if (Line.plain(0) != "trace" || Line.plain(1) != "1")
      throw std::runtime_error("the first line must be 'trace 1'");
    m_Versioned = true;
    return;
  }
  if (Line.plain(0) == "expect")
    return expect(Line);
  if (!m_Pending.empty())
    throw std::runtime_error("the outcome of " + m_Pending + " is not stated");
  if (Line.plain(0) != "at") {
    if (m_Started)
      throw std::runtime_error("'" + Line.plain(0) + "' must come before the first 'at'");
    return declare(Line);
  }
  if (!m_Started)
    start();
  const TimePoint At = TimePoint(std::chrono::hours(1)) + seconds(numberOf(Line.plain(1)));
  if (At < m_Now)
    throw std::runtime_error("time goes back");
  m_Now = At;
  act(Line);
}

// --- Declarations

void Replay::declare(const Words &Line) {
  const std::string &Kind = Line.plain(0);
  const std::string &Name = Line.plain(1);
  if (Kind == "seed")
    m_Seed = static_cast<std::uint64_t>(numberOf(Name));
  else if (Kind == "region")
    m_Settings.m_Region = RegionId(Name);
  else if (Kind == "explore")
    m_Base.m_Limits.m_ExplorationShare = numberOf(Name);
  else if (Kind == "link")
    m_Base.m_Limits.m_LinkBytesPerSecond = static_cast<std::uint64_t>(numberOf(Name));
  else if (Kind == "queue")
    m_QueueSize = static_cast<std::size_t>(numberOf(Name));
  else if (Kind == "domain")
    m_Base.m_Domains[DomainId(Name)] = {DomainId(Name), RegionId(Line.plain(2)), DomainState::In};
  else if (Kind == "service")
    m_Base.m_Services[ServiceId(Name)] = {ServiceId(Name), {}};
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
    throw std::runtime_error("unknown word '" + Kind + "'");
}

void Replay::declareTeam(const Words &Line) {
  Team Added;
  Added.m_Id = TeamId(Line.plain(1));
  Added.m_Models = idsOf<ModelId>(Line, "models");
  Added.m_Versions = idsOf<VersionId>(Line, "versions");
  Added.m_Services = idsOf<ServiceId>(Line, "services");
  Added.m_Weight = Line.number("weight", 1.0);
  Added.m_QualityTarget = Line.number("quality", 0.0);
  for (const std::string &Each : listOf(Line.named("values", ""), ',')) {
    const std::vector<std::string> Pair = listOf(Each, ':');
    if (Pair.size() != 2)
      throw std::runtime_error("values must be TASK:VALUE,...");
    Added.m_TaskValue[TaskName(Pair[0])] = numberOf(Pair[1]);
  }
  m_Base.m_Teams[Added.m_Id] = Added;
}

void Replay::declareModel(const Words &Line) {
  Model Added{ModelId(Line.plain(1)), std::nullopt};
  Cascade Steps{CascadeId("cascade of " + Line.plain(1)), {}};
  for (const std::string &Each : listOf(Line.named("cascade", ""), ',')) {
    const std::vector<std::string> Pair = listOf(Each, ':');
    if (Pair.size() != 2)
      throw std::runtime_error("cascade must be VERSION:ACCEPT,...");
    Steps.m_Steps.push_back({VersionId(Pair[0]), numberOf(Pair[1])});
  }
  if (!Steps.m_Steps.empty()) {
    Added.m_Cascade = Steps.m_Id;
    m_Base.m_Cascades[Steps.m_Id] = Steps;
  }
  m_Base.m_Models[Added.m_Id] = Added;
}

void Replay::declareVersion(const Words &Line) {
  const std::int64_t Price = static_cast<std::int64_t>(Line.number("price", 1.0));
  const VersionId Id(Line.plain(1));
  m_Base.m_Versions[Id] = {Id,
                           ModelId(Line.plain(2)),
                           VersionState::Active,
                           MicroCents(Price),
                           MicroCents(4 * Price),
                           Line.number("prior", 0.7)};
}

void Replay::declareUpstream(const Words &Line) {
  Upstream Added;
  Added.m_Id = UpstreamId(Line.plain(1));
  Added.m_Domain = DomainId(Line.plain(2));
  Added.m_Versions = idsOf<VersionId>(Line, "versions");
  if (const std::string Service = Line.named("service", ""); !Service.empty())
    Added.m_Service = ServiceId(Service);
  Added.m_Capacity = static_cast<std::uint32_t>(Line.number("capacity", 32));
  Added.m_ColdLimit = static_cast<std::uint32_t>(Line.number("cold", 1));
  Added.m_WarmUp = std::chrono::duration_cast<std::chrono::milliseconds>(seconds(Line.number("warmup", 30)));
  m_Base.m_Upstreams[Added.m_Id] = Added;
}

void Replay::declareRollout(const Words &Line) {
  Rollout Added;
  Added.m_Id = RolloutId(Line.plain(1));
  Added.m_Model = ModelId(Line.plain(2));
  Added.m_From = VersionId(Line.named("from", ""));
  Added.m_To = VersionId(Line.named("to", ""));
  Added.m_Share = Line.number("share", 0.1);
  m_Base.m_Rollouts[Added.m_Id] = Added;
}

void Replay::start() {
  m_Started = true;
  m_Link.setRate(m_Base.m_Limits.m_LinkBytesPerSecond, 1);
  m_Queue = std::make_unique<AdmissionQueue>(m_QueueSize);
  m_Router =
      std::make_unique<Router>(m_Quality, m_Upstreams, m_Rollouts, m_Link, m_Settings, seededRandom(m_Seed));
  publish();
}

void Replay::publish() {
  const Configuration Effective = applyRestrictions(m_Base, m_Restrictions);
  m_Router->setConfiguration(Effective, m_Now);
  m_Queue->setConfiguration(Effective);
}

// --- Actions

void Replay::act(const Words &Line) {
  const std::string &Verb = Line.plain(2);
  if (actAsOperator(Line) || observe(Line))
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

bool Replay::actAsOperator(const Words &Line) {
  static const std::map<std::string, RestrictionKind> Kinds = {
      {"take-out", RestrictionKind::TakeOutDomain},
      {"withdraw", RestrictionKind::WithdrawVersion},
      {"drain", RestrictionKind::DrainUpstream},
      {"stop-rollout", RestrictionKind::StopRollout}};
  const std::string &Verb = Line.plain(2);
  if (const auto Kind = Kinds.find(Verb); Kind != Kinds.end()) {
    m_Restrictions.push_back(
        {RestrictionId(Verb + " " + Line.plain(3)), Kind->second, Line.plain(3), "operator", {}});
  } else if (Verb == "lift") {
    const RestrictionId Id(Line.plain(3) + " " + Line.plain(4));
    if (std::erase_if(m_Restrictions, [&](const Restriction &Each) { return Each.m_Id == Id; }) == 0)
      throw std::runtime_error("there is no restriction '" + Id.value() + "'");
  } else {
    return false;
  }
  publish();
  return true;
}

bool Replay::observe(const Words &Line) {
  const std::string &Verb = Line.plain(2);
  const std::string &Name = Line.plain(Verb == "take" ? 2 : 3);
  if (Verb == "warm")
    m_Upstreams.setWarm(UpstreamId(Name), m_Now);
  else if (Verb == "report")
    report(Line);
  else if (Verb == "rating")
    rate(Line);
  else if (Verb == "leaving")
    m_Upstreams.setLeaving(UpstreamId(Name), true);
  else if (Verb == "unreachable")
    m_Upstreams.setUnreachable(UpstreamId(Name), m_Now + seconds(Line.number("for", 1.0)));
  else if (Verb == "cut" || Verb == "join")
    m_Upstreams.setDomainReachable(DomainId(Name), Verb == "join");
  else if (Verb == "first")
    m_Router->onFirstToken(AttemptId(Name), m_Now);
  else if (Verb == "finish")
    m_Router->onFinished(AttemptId(Name), m_Now);
  else if (Verb == "fail")
    m_Router->onFailed(AttemptId(Name), static_cast<ErrorCode>(static_cast<int>(numberOf(Line.plain(4)))),
                       m_Now);
  else
    return false;
  return true;
}

void Replay::report(const Words &Line) {
  LoadReport Report;
  Report.m_Upstream = UpstreamId(Line.plain(3));
  Report.m_StartId = Line.named("start", "first");
  Report.m_ReceivedAt = m_Now;
  Report.m_Age = seconds(Line.number("age", 0.0));
  Report.m_Running = static_cast<std::uint32_t>(Line.number("running", 0));
  Report.m_Queued = static_cast<std::uint32_t>(Line.number("queued", 0));
  Report.m_TokensPerSecond = Line.number("tokens", 0);
  Report.m_Cold = Line.flag("cold");
  Report.m_Leaving = Line.flag("leaving");
  m_Upstreams.onReport(Report);
}

void Replay::rate(const Words &Line) {
  const double Rating = numberOf(Line.plain(6));
  const double Spread = Line.number("spread", 0.05);
  // Alternating ratings give the stated mean and spread without randomness.
  for (int Time = 0; Time < static_cast<int>(Line.number("times", 1)); ++Time) {
    const double Each = Rating + (Time % 2 == 0 ? Spread : -Spread);
    m_Quality.record(TeamId(Line.plain(3)), TaskName(Line.plain(4)), VersionId(Line.plain(5)), Each, m_Now);
    m_Rollouts.record(VersionId(Line.plain(5)), TaskName(Line.plain(4)), Each);
  }
}

void Replay::request(const Words &Line) {
  RouteRequest Request;
  Request.m_Request = RequestId(Line.plain(3));
  Request.m_Team = TeamId(Line.named("team", ""));
  Request.m_Model = ModelId(Line.named("model", ""));
  Request.m_Task = TaskName(Line.named("task", ""));
  if (const std::string Session = Line.named("session", ""); !Session.empty())
    Request.m_Session = SessionId(Session);
  if (const std::string Pinned = Line.named("pinned", ""); !Pinned.empty())
    Request.m_Pinned = VersionId(Pinned);
  if (Line.m_Named.contains("quality"))
    Request.m_Quality = Line.number("quality", 0.0);
  Request.m_Deadline = m_Now + seconds(Line.number("deadline", 60.0));
  Request.m_PromptTokens = Tokens(static_cast<std::uint64_t>(Line.number("prompt", 100)));
  Request.m_ExpectedTokens = Tokens(static_cast<std::uint64_t>(Line.number("tokens", 50)));
  for (const std::string &Each : listOf(Line.named("prefixes", ""), ','))
    Request.m_PrefixHashes.push_back(static_cast<std::uint64_t>(numberOf(Each)));
  Request.m_CascadeStep = static_cast<std::uint32_t>(Line.number("step", 0));
  Request.m_Excluded = idsOf<UpstreamId>(Line, "excluded");
  m_Outcome = m_Router->decide(Request, m_Now);
  m_Pending = Line.plain(3);
  if (*m_Outcome)
    m_Router->onDispatched(AttemptId(m_Pending), Request, **m_Outcome, m_Now);
}

void Replay::call(const Words &Line) {
  const ServiceRequest Request{TeamId(Line.named("team", "")), ServiceId(Line.named("service", "")),
                               m_Now + seconds(Line.number("deadline", 2.0)),
                               idsOf<UpstreamId>(Line, "excluded")};
  m_Outcome = m_Router->decideService(Request, m_Now);
  m_Pending = Line.plain(3);
  if (*m_Outcome)
    m_Router->onDispatched(AttemptId(m_Pending), **m_Outcome, m_Now);
}

void Replay::offer(const Words &Line) {
  m_Pending = Line.plain(3);
  m_Offered =
      m_Queue->offer({RequestId(m_Pending), TeamId(Line.named("team", "")), TaskName(Line.named("task", "")),
                      seconds(Line.number("engine", 1.0)), m_Now + seconds(Line.number("deadline", 60.0)), 0},
                     m_Now);
}

void Replay::take() {
  m_Pending = "take";
  const std::optional<QueuedRequest> Next = m_Queue->take(m_Now);
  m_Taken = Next ? Next->m_Request.value() : "nothing";
}

// --- Outcomes

void Replay::expect(const Words &Line) {
  if (Line.plain(1) == "rollout") {
    const std::string Verdict(nameOf(m_Rollouts.verdict(RolloutId(Line.plain(2)))));
    if (Verdict != Line.plain(3))
      throw std::runtime_error("rollout " + Line.plain(2) + " is stated " + Line.plain(3) + ", but is " +
                               Verdict);
    ++m_Outcomes;
    return;
  }
  if (m_Pending.empty() || Line.plain(1) != m_Pending)
    throw std::runtime_error("no outcome of " + Line.plain(1) + " is due here");
  m_Pending.clear();
  if (m_Taken) {
    const std::string Taken = *std::exchange(m_Taken, std::nullopt);
    if (Taken != Line.plain(2))
      throw std::runtime_error("the queue is stated to give " + Line.plain(2) + ", but gives " + Taken);
  } else if (m_Offered) {
    const Expected<std::uint64_t> Offered = *std::exchange(m_Offered, std::nullopt);
    if (Offered && Line.plain(2) != "queued")
      throw std::runtime_error(Line.plain(1) + " is queued");
    if (!Offered)
      expectRefused(Line, Offered.error());
  } else {
    const Expected<RouteDecision> Outcome = *std::exchange(m_Outcome, std::nullopt);
    if (Outcome)
      expectPlaced(Line, *Outcome);
    else
      expectRefused(Line, Outcome.error());
  }
  ++m_Outcomes;
}

void Replay::expectPlaced(const Words &Line, const RouteDecision &Decision) {
  const bool IsService = Decision.m_Why.m_Rule == RouteRule::Service;
  const std::vector<std::string> Upstreams = listOf(Line.plain(2), '|');
  std::string Rule(nameOf(Decision.m_Why.m_Rule));
  std::replace(Rule.begin(), Rule.end(), ' ', '-');
  const bool AsStated =
      std::find(Upstreams.begin(), Upstreams.end(), Decision.m_Upstream.value()) != Upstreams.end() &&
      (IsService || (Line.plain(3) == Decision.m_Version.value() && Line.plain(4) == Rule)) &&
      Line.flag("permit") == Decision.m_NeedsPermit && Line.flag("held") == !Decision.m_StreamBeforeRating &&
      Line.flag("far") == Decision.m_Why.m_OtherRegion;
  if (!AsStated)
    throw std::runtime_error("not as stated; decided: " + Decision.m_Upstream.value() +
                             (IsService ? std::string() : " " + Decision.m_Version.value() + " " + Rule) +
                             (Decision.m_NeedsPermit ? " permit" : "") +
                             (Decision.m_StreamBeforeRating ? "" : " held") +
                             (Decision.m_Why.m_OtherRegion ? " far" : "") + " (" + Decision.reason() + ")");
}

void Replay::expectRefused(const Words &Line, const Error &Refusal) {
  if (Line.plain(2) != "refused" || numberOf(Line.plain(3)) != static_cast<double>(Refusal.m_Code) ||
      Refusal.m_Ran != Ran::No)
    throw std::runtime_error("not as stated; decided: " + Refusal.toString());
  if (const std::string Next = Line.named("next", "");
      !Next.empty() && Refusal.m_Detail.find("version " + Next) == std::string::npos)
    throw std::runtime_error("version " + Next + " is not named: " + Refusal.m_Detail);
}

} // namespace bulrushpitch::replay
