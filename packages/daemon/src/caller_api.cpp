#include "bulrushpitch/daemon/caller_api.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration UsualDeadline = std::chrono::seconds(60);
constexpr std::int64_t LongestDeadlineMs = 3'600'000;
constexpr std::uint64_t LongestAnswer = 1'000'000;

/// Counts a request as long as it is being answered, also if answering it throws: a drain waits for the
/// count.
class ActiveGuard {
public:
  explicit ActiveGuard(std::size_t &Count) : m_Count(Count) { ++m_Count; }
  ~ActiveGuard() { --m_Count; }
  ActiveGuard(const ActiveGuard &) = delete;
  ActiveGuard &operator=(const ActiveGuard &) = delete;

private:
  std::size_t &m_Count;
};

Error badInput(ErrorCode Code, std::string Detail) {
  return Error{Code, "read request", "caller", Ran::No, std::move(Detail)};
}

HttpResponse jsonResponse(unsigned Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.add("Content-Type", "application/json");
  Response.m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

template <typename Number> std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const std::from_chars_result Read = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

Expected<std::vector<ChatMessage>> parseMessages(const Json &Body) {
  std::vector<ChatMessage> Prompt;
  if (!Body.contains("messages"))
    return Prompt;
  for (const Json &Entry : Body.at("messages")) {
    ChatMessage Message;
    Message.m_Role = Entry.at("role").get<std::string>();
    const Json &Content = Entry.at("content");
    if (Content.is_string()) {
      Message.m_Content = Content.get<std::string>();
    } else {
      // Photos and other parts are passed on as their text form; engines read them from there.
      for (const Json &Part : Content)
        Message.m_Content +=
            Part.value("type", "") == "text" ? Part.at("text").get<std::string>() : Part.dump();
    }
    Prompt.push_back(std::move(Message));
  }
  return Prompt;
}

} // namespace

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(), nullptr);
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (unsigned Index = 0; Index < Size; ++Index) {
    Hex.push_back(Digits[Digest[Index] >> 4U]);
    Hex.push_back(Digits[Digest[Index] & 15U]);
  }
  return Hex;
}

ServerLimits limitsFrom(const HttpSettings &Read) {
  ServerLimits Limits;
  Limits.m_MaxHeaderBytes = Read.m_MaxHeaderBytes;
  Limits.m_MaxBodyBytes = Read.m_MaxBodyBytes;
  Limits.m_IdleTimeout = Read.m_IdleTimeout;
  Limits.m_ReadTimeout = Read.m_ReadTimeout;
  Limits.m_WriteTimeout = Read.m_WriteTimeout;
  Limits.m_MaxConnections = Read.m_MaxConnections;
  return Limits;
}

CallerApi::CallerApi(const Runtime &Base, ClusterService &Cluster, BillingService &Billing,
                     ModelService &Models, CallService &Calls, SessionService &Sessions, DrainHooks Drain,
                     Recorder &Events)
    : m_Runtime(Base), m_Cluster(Cluster), m_Billing(Billing), m_Models(Models), m_Calls(Calls),
      m_Sessions(Sessions), m_Drain(std::move(Drain)), m_Events(Events),
      m_Server(std::make_unique<HttpServer>(
          Base.m_Context,
          Endpoint{Base.m_Settings.m_Listen.m_Callers.m_Address, Base.m_Settings.m_Listen.m_Callers.m_Port},
          limitsFrom(Base.m_Settings.m_Http),
          [this](HttpRequest &Request, ResponseWriter &Writer) { return handle(Request, Writer); },
          errorResponse)) {
  m_Cluster.onConfiguration([this](const Configuration &Effective) { configure(Effective); });
}

Result<void> CallerApi::start() { return m_Server->start(); }
void CallerApi::stop() { m_Server->closeAll(); }

void CallerApi::configure(const Configuration &Effective) {
  m_Keys.clear();
  for (const std::pair<const TeamId, Team> &Entry : Effective.m_Teams)
    for (const std::string &Hash : Entry.second.m_KeyHashes)
      m_Keys.emplace(Hash, Entry.first);
}

void CallerApi::note(EventKind Kind, const RequestId &Request, const TeamId &From,
                     const std::string &Detail) {
  TimelineEvent Event;
  Event.m_Kind = Kind;
  Event.m_Request = Request;
  Event.m_Team = From;
  Event.m_Detail = Detail;
  m_Events.record(std::move(Event));
}

asio::awaitable<void> CallerApi::refuse(const Error &Failure, ResponseWriter &Writer) {
  ++m_Refused;
  LOG(INFO) << "step=refuse error=\"" << Failure << '"';
  static_cast<void>(co_await Writer.send(errorResponse(Failure)));
}

asio::awaitable<void> CallerApi::handle(HttpRequest &Request, ResponseWriter &Writer) {
  const std::string_view Path = Request.path();
  if (Path == "/healthz") {
    HttpResponse Live = jsonResponse(200, Json{{"live", true}});
    static_cast<void>(co_await Writer.send(std::move(Live)));
    co_return;
  }
  if (Path == "/readyz") {
    const std::optional<Error> Missing = m_Cluster.notReady();
    const bool Ready = !Missing && m_Drain.m_Ready();
    const std::string Reason = Missing ? Missing->m_Detail : (Ready ? "" : "stopping");
    HttpResponse State = jsonResponse(Ready ? 200 : 503, Json{{"ready", Ready}, {"reason", Reason}});
    static_cast<void>(co_await Writer.send(std::move(State)));
    co_return;
  }
  Expected<Caller> From = admit(Request);
  if (!From) {
    co_await refuse(From.error(), Writer);
    co_return;
  }
  const ActiveGuard Guard(m_Active);
  if (Path == "/v1/chat/completions" && Request.m_Method == "POST")
    co_await complete(*From, Request, Writer);
  else if (Path == "/v1/models" && Request.m_Method == "GET")
    co_await listModels(*From, Writer);
  else if (Path.starts_with("/services/"))
    co_await call(*From, Request, Writer);
  else
    co_await refuse(badInput(ErrorCode::UnknownPath, "no such path: " + std::string(Path)), Writer);
}

Expected<CallerApi::Caller> CallerApi::admit(const HttpRequest &Request) {
  if (!m_Drain.m_AcceptsNew())
    return Error{ErrorCode::Draining, "admit request", m_Cluster.self().value(), Ran::No,
                 "this instance stops; send the request to another one"};
  if (std::optional<Error> Missing = m_Cluster.notReady())
    return *Missing;
  static constexpr std::string_view Scheme = "Bearer ";
  const std::optional<std::string_view> Header = Request.m_Headers.find("Authorization");
  if (!Header || !Header->starts_with(Scheme))
    return Error{ErrorCode::Unauthorized, "check key", "caller", Ran::No,
                 "send 'Authorization: Bearer <key>'"};
  const auto Found = m_Keys.find(sha256Hex(Header->substr(Scheme.size())));
  if (Found == m_Keys.end())
    return Error{ErrorCode::Unauthorized, "check key", "caller", Ran::No, "the key belongs to no team"};
  Caller From;
  From.m_Configuration = m_Cluster.effective();
  From.m_Team = &From.m_Configuration->m_Teams.at(Found->second);
  return From;
}

RequestId CallerApi::requestId(const HttpRequest &Request) {
  if (const std::optional<std::string_view> Key = Request.m_Headers.find("Idempotency-Key"))
    return RequestId(std::string(*Key));
  return RequestId(m_Cluster.self().value() + "-" + std::to_string(m_Cluster.incarnation()) + "-r" +
                   std::to_string(m_NextRequest++));
}

Expected<TimePoint> CallerApi::deadline(const HttpRequest &Request, Duration Usual) const {
  const TimePoint Now = m_Runtime.m_Clock();
  const std::optional<std::string_view> Header = Request.m_Headers.find("X-Deadline-Ms");
  if (!Header)
    return Now + Usual;
  const std::optional<std::int64_t> Value = parseNumber<std::int64_t>(*Header);
  if (!Value || *Value < 1 || *Value > LongestDeadlineMs)
    return badInput(ErrorCode::BadHeaderValue, "X-Deadline-Ms must be a number from 1 to 3600000");
  return Now + std::chrono::milliseconds(*Value);
}

Expected<ModelCall> CallerApi::parseCompletion(const Caller &From, const HttpRequest &Request) {
  ModelCall Call;
  Call.m_Team = From.m_Team->m_Id;
  Call.m_Request = requestId(Request);
  Expected<TimePoint> Deadline = deadline(Request, UsualDeadline);
  if (!Deadline)
    return Deadline.error();
  Call.m_Deadline = *Deadline;
  if (const std::optional<std::string_view> Task = Request.m_Headers.find("X-Task"))
    Call.m_Task = TaskName(std::string(*Task));
  if (const std::optional<std::string_view> Session = Request.m_Headers.find("X-Session-Id"))
    Call.m_Session = SessionId(std::string(*Session));
  if (const std::optional<std::string_view> Token = Request.m_Headers.find("X-Session-Token"))
    Call.m_SessionToken = std::string(*Token);
  if (const std::optional<std::string_view> Quality = Request.m_Headers.find("X-Quality")) {
    Call.m_Quality = parseNumber<double>(*Quality);
    if (!Call.m_Quality || *Call.m_Quality < 0.0 || *Call.m_Quality > 1.0)
      return badInput(ErrorCode::BadHeaderValue, "X-Quality must be a number from 0 to 1");
  }
  if (Request.m_Body.empty() && Request.m_Headers.find("X-Resume-Token"))
    return Call;
  try {
    const Json Body = Json::parse(Request.m_Body);
    const std::string Name = Body.at("model").get<std::string>();
    const std::size_t At = Name.find('@');
    Call.m_Model = ModelId(Name.substr(0, At));
    if (At != std::string::npos)
      Call.m_Version = VersionId(Name.substr(At + 1));
    Call.m_Stream = Body.value("stream", false);
    Call.m_MaxTokens =
        std::clamp<std::uint64_t>(Body.value("max_tokens", Call.m_MaxTokens), 1, LongestAnswer);
    Expected<std::vector<ChatMessage>> Prompt = parseMessages(Body);
    if (!Prompt)
      return Prompt.error();
    Call.m_Prompt = std::move(*Prompt);
  } catch (const Json::exception &Malformed) {
    return badInput(ErrorCode::MalformedBody, Malformed.what());
  }
  if (Call.m_Prompt.empty())
    return badInput(ErrorCode::MalformedBody, "'messages' must have at least one message");
  return Call;
}

asio::awaitable<void> CallerApi::complete(const Caller &From, HttpRequest &Request, ResponseWriter &Writer) {
  Expected<ModelCall> Call = parseCompletion(From, Request);
  if (!Call) {
    co_await refuse(Call.error(), Writer);
    co_return;
  }
  const RequestId Id = Call->m_Request;
  const TeamId Team = Call->m_Team;
  if (const std::optional<std::string_view> Token = Request.m_Headers.find("X-Resume-Token")) {
    Expected<ResumeClaims> Claims = m_Sessions.verifyResume(*Token, Team);
    if (!Claims) {
      co_await refuse(Claims.error(), Writer);
      co_return;
    }
    ResumeCall Resumed;
    Resumed.m_Call = std::move(*Call);
    Resumed.m_Call.m_Stream = true;
    Resumed.m_Call.m_Request = Claims->m_Request;
    Resumed.m_Call.m_Model = Claims->m_Model;
    Resumed.m_Claims = *Claims;
    if (const std::optional<std::string_view> Last = Request.m_Headers.find("Last-Event-ID")) {
      const std::optional<std::uint64_t> Offset = parseNumber<std::uint64_t>(*Last);
      if (!Offset) {
        co_await refuse(badInput(ErrorCode::BadHeaderValue, "Last-Event-ID must be the id of an event"),
                        Writer);
        co_return;
      }
      Resumed.m_Offset = *Offset;
    }
    note(EventKind::RequestReceived, Claims->m_Request, Team,
         "resume at offset " + std::to_string(Resumed.m_Offset));
    const RequestId ResumedId = Claims->m_Request;
    const std::unique_ptr<AnswerSink> Sink = makeEventSink(Writer);
    co_await m_Models.resume(std::move(Resumed), *Sink);
    note(EventKind::RequestFinished, ResumedId, Team, "");
    ++m_Served;
    co_return;
  }
  if (std::optional<Error> Full = m_Billing.refusal()) {
    co_await refuse(*Full, Writer);
    co_return;
  }
  note(EventKind::RequestReceived, Id, Team, Call->m_Model.value());
  const std::unique_ptr<AnswerSink> Sink = Call->m_Stream ? makeEventSink(Writer) : makeWholeSink(Writer);
  co_await m_Models.serve(std::move(*Call), *Sink);
  note(EventKind::RequestFinished, Id, Team, "");
  ++m_Served;
}

Expected<ServiceCall> CallerApi::parseCall(const Caller &From, HttpRequest &Request) {
  const std::string_view Rest = Request.path().substr(std::string_view("/services/").size());
  const std::size_t Slash = Rest.find('/');
  const ServiceId Asked{std::string(Rest.substr(0, Slash))};
  const std::string RouteName = Slash == std::string_view::npos ? "" : std::string(Rest.substr(Slash + 1));
  const std::vector<ServiceId> &Allowed = From.m_Team->m_Services;
  if (std::find(Allowed.begin(), Allowed.end(), Asked) == Allowed.end())
    return Error{ErrorCode::ServiceNotAllowed, "check service", "caller", Ran::No,
                 "team " + From.m_Team->m_Id.value() + " may not use service '" + Asked.value() + "'"};
  const PlainService &Found = From.m_Configuration->m_Services.at(Asked);
  const auto Route =
      std::find_if(Found.m_Routes.begin(), Found.m_Routes.end(),
                   [&](const ServiceRoute &Candidate) { return Candidate.m_Name == RouteName; });
  if (Route == Found.m_Routes.end())
    return badInput(ErrorCode::UnknownPath, "service " + Asked.value() + " has no route '" + RouteName + "'");
  if (!Route->m_Idempotent && !Request.m_Headers.find("Idempotency-Key"))
    return badInput(ErrorCode::MissingIdempotencyKey,
                    "route " + RouteName + " is not idempotent: send an Idempotency-Key");
  ServiceCall Call;
  Call.m_Team = From.m_Team->m_Id;
  Call.m_Request = requestId(Request);
  Call.m_Service = Asked;
  Call.m_Route = *Route;
  const std::size_t Query = Request.m_Target.find('?');
  if (Query != std::string::npos)
    Call.m_Query = Request.m_Target.substr(Query);
  if (const std::optional<std::string_view> Type = Request.m_Headers.find("Content-Type"))
    Call.m_ContentType = std::string(*Type);
  Call.m_Body = std::move(Request.m_Body);
  Expected<TimePoint> Deadline = deadline(Request, Route->m_Timeout * 2);
  if (!Deadline)
    return Deadline.error();
  Call.m_Deadline = *Deadline;
  return Call;
}

asio::awaitable<void> CallerApi::call(const Caller &From, HttpRequest &Request, ResponseWriter &Writer) {
  Expected<ServiceCall> Call = parseCall(From, Request);
  if (!Call) {
    co_await refuse(Call.error(), Writer);
    co_return;
  }
  if (std::optional<Error> Full = m_Billing.refusal(); Full && Call->m_Route.m_Price.value() > 0) {
    co_await refuse(*Full, Writer);
    co_return;
  }
  const RequestId Id = Call->m_Request;
  const TeamId Team = Call->m_Team;
  note(EventKind::RequestReceived, Id, Team, Call->m_Service.value() + "/" + Call->m_Route.m_Name);
  Expected<HttpResponse> Response = co_await m_Calls.serve(std::move(*Call));
  note(Response ? EventKind::RequestFinished : EventKind::RequestFailed, Id, Team,
       Response ? "" : Response.error().toString());
  ++m_Served;
  if (!Response) {
    co_await refuse(Response.error(), Writer);
    co_return;
  }
  HttpResponse Answer;
  Answer.m_Status = Response->m_Status;
  Answer.m_Body = std::move(Response->m_Body);
  // Headers that describe the connection to the upstream do not concern the caller.
  for (const std::pair<std::string, std::string> &Field : Response->m_Headers.fields())
    if (Field.first.starts_with("X-") || Field.first == "Content-Type")
      Answer.m_Headers.add(Field.first, Field.second);
  static_cast<void>(co_await Writer.send(std::move(Answer)));
}

asio::awaitable<void> CallerApi::listModels(const Caller &From, ResponseWriter &Writer) {
  Json List = Json::array();
  for (const ModelId &Allowed : From.m_Team->m_Models)
    List.push_back({{"id", Allowed.value()}, {"object", "model"}, {"owned_by", "bulrushpitch"}});
  HttpResponse Response = jsonResponse(200, Json{{"object", "list"}, {"data", List}});
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

} // namespace bulrushpitch
