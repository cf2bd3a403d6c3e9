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

constexpr Duration DefaultDeadline = std::chrono::seconds(60);
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
constexpr std::uint64_t MaxCompletionTokens = 1'000'000;

/// Counts a request while it is in progress, also if its handler throws: a drain waits until the count is 0.
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
  const std::from_chars_result Result = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
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
      // Images and other parts that are not text are passed to the engine as JSON text.
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

ServerLimits serverLimits(const HttpSettings &Http) {
  ServerLimits Limits;
  Limits.m_MaxHeaderBytes = Http.m_MaxHeaderBytes;
  Limits.m_MaxBodyBytes = Http.m_MaxBodyBytes;
  Limits.m_IdleTimeout = Http.m_IdleTimeout;
  Limits.m_ReadTimeout = Http.m_ReadTimeout;
  Limits.m_WriteTimeout = Http.m_WriteTimeout;
  Limits.m_MaxConnections = Http.m_MaxConnections;
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
          serverLimits(Base.m_Settings.m_Http),
          [this](HttpRequest &Request, ResponseWriter &Writer) { return handle(Request, Writer); },
          errorResponse)) {
  m_Cluster.onConfiguration([this](const Configuration &Effective) { configure(Effective); });
}

Result<void> CallerApi::start() { return m_Server->start(); }
void CallerApi::stop() { m_Server->closeAll(); }

void CallerApi::configure(const Configuration &Effective) {
  m_TeamsByKeyHash.clear();
  for (const std::pair<const TeamId, Team> &Entry : Effective.m_Teams)
    for (const std::string &Hash : Entry.second.m_KeyHashes)
      m_TeamsByKeyHash.emplace(Hash, Entry.first);
}

void CallerApi::recordEvent(EventKind Kind, const RequestId &Request, const TeamId &Sender,
                            const std::string &Detail) {
  TimelineEvent Event;
  Event.m_Kind = Kind;
  Event.m_Request = Request;
  Event.m_Team = Sender;
  Event.m_Detail = Detail;
  m_Events.record(std::move(Event));
}

asio::awaitable<void> CallerApi::reject(const Error &Failure, ResponseWriter &Writer) {
  ++m_Refused;
  LOG(INFO) << "step=refuse error=\"" << Failure << '"';
  static_cast<void>(co_await Writer.send(errorResponse(Failure)));
}

asio::awaitable<void> CallerApi::handle(HttpRequest &Request, ResponseWriter &Writer) {
  const std::string_view Path = Request.path();
  if (Path == "/healthz") {
    HttpResponse Health = jsonResponse(200, Json{{"live", true}});
    static_cast<void>(co_await Writer.send(std::move(Health)));
    co_return;
  }
  if (Path == "/readyz") {
    const std::optional<Error> NotReady = m_Cluster.readinessError();
    const bool Ready = !NotReady && m_Drain.m_IsReady();
    const std::string Reason = NotReady ? NotReady->m_Detail : (Ready ? "" : "stopping");
    HttpResponse Readiness = jsonResponse(Ready ? 200 : 503, Json{{"ready", Ready}, {"reason", Reason}});
    static_cast<void>(co_await Writer.send(std::move(Readiness)));
    co_return;
  }
  Expected<Caller> Sender = admit(Request);
  if (!Sender) {
    co_await reject(Sender.error(), Writer);
    co_return;
  }
  const ActiveGuard Guard(m_ActiveRequests);
  if (Path == "/v1/chat/completions" && Request.m_Method == "POST")
    co_await handleCompletion(*Sender, Request, Writer);
  else if (Path == "/v1/models" && Request.m_Method == "GET")
    co_await listModels(*Sender, Writer);
  else if (Path.starts_with("/services/"))
    co_await handleServiceCall(*Sender, Request, Writer);
  else
    co_await reject(badInput(ErrorCode::UnknownPath, "no such path: " + std::string(Path)), Writer);
}

Expected<CallerApi::Caller> CallerApi::admit(const HttpRequest &Request) {
  if (!m_Drain.m_AcceptsNewRequests())
    return Error{ErrorCode::Draining, "admit request", m_Cluster.self().value(), Ran::No,
                 "this instance is shutting down; send the request to another instance"};
  if (std::optional<Error> NotReady = m_Cluster.readinessError())
    return *NotReady;
  static constexpr std::string_view Scheme = "Bearer ";
  const std::optional<std::string_view> Header = Request.m_Headers.find("Authorization");
  if (!Header || !Header->starts_with(Scheme))
    return Error{ErrorCode::Unauthorized, "check key", "caller", Ran::No,
                 "missing or malformed header; send 'Authorization: Bearer <key>'"};
  const auto Found = m_TeamsByKeyHash.find(sha256Hex(Header->substr(Scheme.size())));
  if (Found == m_TeamsByKeyHash.end())
    return Error{ErrorCode::Unauthorized, "check key", "caller", Ran::No, "the API key belongs to no team"};
  Caller Sender;
  Sender.m_Configuration = m_Cluster.effectiveConfiguration();
  Sender.m_Team = &Sender.m_Configuration->m_Teams.at(Found->second);
  return Sender;
}

RequestId CallerApi::requestId(const HttpRequest &Request) {
  if (const std::optional<std::string_view> Key = Request.m_Headers.find("Idempotency-Key"))
    return RequestId(std::string(*Key));
  return RequestId(m_Cluster.self().value() + "-" + std::to_string(m_Cluster.incarnation()) + "-r" +
                   std::to_string(m_NextRequestNumber++));
}

Expected<TimePoint> CallerApi::parseDeadline(const HttpRequest &Request, Duration Default) const {
  const TimePoint Now = m_Runtime.m_Clock();
  const std::optional<std::string_view> Header = Request.m_Headers.find("X-Deadline-Ms");
  if (!Header)
    return Now + Default;
  const std::optional<std::int64_t> Value = parseNumber<std::int64_t>(*Header);
  if (!Value || *Value < 1 || *Value > MaxDeadlineMs)
    return badInput(ErrorCode::BadHeaderValue, "X-Deadline-Ms must be a number from 1 to 3600000");
  return Now + std::chrono::milliseconds(*Value);
}

Expected<ModelCall> CallerApi::parseCompletion(const Caller &Sender, const HttpRequest &Request) {
  ModelCall Call;
  Call.m_Team = Sender.m_Team->m_Id;
  Call.m_Request = requestId(Request);
  Expected<TimePoint> Deadline = parseDeadline(Request, DefaultDeadline);
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
    Call.m_QualityTarget = parseNumber<double>(*Quality);
    if (!Call.m_QualityTarget || *Call.m_QualityTarget < 0.0 || *Call.m_QualityTarget > 1.0)
      return badInput(ErrorCode::BadHeaderValue, "X-Quality must be a number from 0 to 1");
  }
  if (Request.m_Body.empty() && Request.m_Headers.find("X-Resume-Token"))
    return Call;
  try {
    const Json Body = Json::parse(Request.m_Body);
    const std::string Name = Body.at("model").get<std::string>();
    const std::size_t VersionSeparator = Name.find('@');
    Call.m_Model = ModelId(Name.substr(0, VersionSeparator));
    if (VersionSeparator != std::string::npos)
      Call.m_Version = VersionId(Name.substr(VersionSeparator + 1));
    Call.m_Stream = Body.value("stream", false);
    Call.m_MaxTokens =
        std::clamp<std::uint64_t>(Body.value("max_tokens", Call.m_MaxTokens), 1, MaxCompletionTokens);
    Expected<std::vector<ChatMessage>> Prompt = parseMessages(Body);
    if (!Prompt)
      return Prompt.error();
    Call.m_Prompt = std::move(*Prompt);
  } catch (const Json::exception &ParseError) {
    return badInput(ErrorCode::MalformedBody, ParseError.what());
  }
  if (Call.m_Prompt.empty())
    return badInput(ErrorCode::MalformedBody, "'messages' must contain at least one message");
  return Call;
}

asio::awaitable<void> CallerApi::handleCompletion(const Caller &Sender, HttpRequest &Request,
                                                  ResponseWriter &Writer) {
  Expected<ModelCall> Call = parseCompletion(Sender, Request);
  if (!Call) {
    co_await reject(Call.error(), Writer);
    co_return;
  }
  const RequestId Id = Call->m_Request;
  const TeamId Team = Call->m_Team;
  if (const std::optional<std::string_view> Token = Request.m_Headers.find("X-Resume-Token")) {
    Expected<ResumeClaims> Claims = m_Sessions.verifyResumeToken(*Token, Team);
    if (!Claims) {
      co_await reject(Claims.error(), Writer);
      co_return;
    }
    ResumeCall Resumed;
    Resumed.m_Call = std::move(*Call);
    Resumed.m_Call.m_Stream = true;
    Resumed.m_Call.m_Request = Claims->m_Request;
    Resumed.m_Call.m_Model = Claims->m_Model;
    Resumed.m_Claims = *Claims;
    if (const std::optional<std::string_view> LastEventId = Request.m_Headers.find("Last-Event-ID")) {
      const std::optional<std::uint64_t> Offset = parseNumber<std::uint64_t>(*LastEventId);
      if (!Offset) {
        co_await reject(badInput(ErrorCode::BadHeaderValue, "Last-Event-ID must be the id of an event"),
                        Writer);
        co_return;
      }
      Resumed.m_Offset = *Offset;
    }
    recordEvent(EventKind::RequestReceived, Claims->m_Request, Team,
                "resume at offset " + std::to_string(Resumed.m_Offset));
    const RequestId ResumedId = Claims->m_Request;
    const std::unique_ptr<AnswerSink> Sink = makeEventSink(Writer);
    co_await m_Models.resume(std::move(Resumed), *Sink);
    recordEvent(EventKind::RequestFinished, ResumedId, Team, "");
    ++m_Served;
    co_return;
  }
  if (std::optional<Error> BillingError = m_Billing.rejectionReason()) {
    co_await reject(*BillingError, Writer);
    co_return;
  }
  recordEvent(EventKind::RequestReceived, Id, Team, Call->m_Model.value());
  const std::unique_ptr<AnswerSink> Sink = Call->m_Stream ? makeEventSink(Writer) : makeJsonSink(Writer);
  co_await m_Models.serve(std::move(*Call), *Sink);
  recordEvent(EventKind::RequestFinished, Id, Team, "");
  ++m_Served;
}

Expected<ServiceCall> CallerApi::parseServiceCall(const Caller &Sender, HttpRequest &Request) {
  const std::string_view ServicePath = Request.path().substr(std::string_view("/services/").size());
  const std::size_t Slash = ServicePath.find('/');
  const ServiceId Id{std::string(ServicePath.substr(0, Slash))};
  const std::string RouteName =
      Slash == std::string_view::npos ? "" : std::string(ServicePath.substr(Slash + 1));
  const std::vector<ServiceId> &Allowed = Sender.m_Team->m_Services;
  if (std::find(Allowed.begin(), Allowed.end(), Id) == Allowed.end())
    return Error{ErrorCode::ServiceNotAllowed, "check service", "caller", Ran::No,
                 "team " + Sender.m_Team->m_Id.value() + " is not allowed to use service '" + Id.value() +
                     "'"};
  const PlainService &Definition = Sender.m_Configuration->m_Services.at(Id);
  const auto Route =
      std::find_if(Definition.m_Routes.begin(), Definition.m_Routes.end(),
                   [&](const ServiceRoute &Candidate) { return Candidate.m_Name == RouteName; });
  if (Route == Definition.m_Routes.end())
    return badInput(ErrorCode::UnknownPath, "service " + Id.value() + " has no route '" + RouteName + "'");
  if (!Route->m_Idempotent && !Request.m_Headers.find("Idempotency-Key"))
    return badInput(ErrorCode::MissingIdempotencyKey,
                    "route " + RouteName + " is not idempotent: send an Idempotency-Key header");
  ServiceCall Call;
  Call.m_Team = Sender.m_Team->m_Id;
  Call.m_Request = requestId(Request);
  Call.m_Service = Id;
  Call.m_Route = *Route;
  const std::size_t Query = Request.m_Target.find('?');
  if (Query != std::string::npos)
    Call.m_Query = Request.m_Target.substr(Query);
  if (const std::optional<std::string_view> Type = Request.m_Headers.find("Content-Type"))
    Call.m_ContentType = std::string(*Type);
  Call.m_Body = std::move(Request.m_Body);
  Expected<TimePoint> Deadline = parseDeadline(Request, Route->m_Timeout * 2);
  if (!Deadline)
    return Deadline.error();
  Call.m_Deadline = *Deadline;
  return Call;
}

asio::awaitable<void> CallerApi::handleServiceCall(const Caller &Sender, HttpRequest &Request,
                                                   ResponseWriter &Writer) {
  Expected<ServiceCall> Call = parseServiceCall(Sender, Request);
  if (!Call) {
    co_await reject(Call.error(), Writer);
    co_return;
  }
  if (std::optional<Error> BillingError = m_Billing.rejectionReason();
      BillingError && Call->m_Route.m_Price.value() > 0) {
    co_await reject(*BillingError, Writer);
    co_return;
  }
  const RequestId Id = Call->m_Request;
  const TeamId Team = Call->m_Team;
  recordEvent(EventKind::RequestReceived, Id, Team, Call->m_Service.value() + "/" + Call->m_Route.m_Name);
  Expected<HttpResponse> Response = co_await m_Calls.serve(std::move(*Call));
  recordEvent(Response ? EventKind::RequestFinished : EventKind::RequestFailed, Id, Team,
              Response ? "" : Response.error().toString());
  ++m_Served;
  if (!Response) {
    co_await reject(Response.error(), Writer);
    co_return;
  }
  HttpResponse CallerResponse;
  CallerResponse.m_Status = Response->m_Status;
  CallerResponse.m_Body = std::move(Response->m_Body);
  // Headers that describe the connection to the upstream are not passed to the caller.
  for (const std::pair<std::string, std::string> &Field : Response->m_Headers.fields())
    if (Field.first.starts_with("X-") || Field.first == "Content-Type")
      CallerResponse.m_Headers.add(Field.first, Field.second);
  static_cast<void>(co_await Writer.send(std::move(CallerResponse)));
}

asio::awaitable<void> CallerApi::listModels(const Caller &Sender, ResponseWriter &Writer) {
  Json List = Json::array();
  for (const ModelId &Allowed : Sender.m_Team->m_Models)
    List.push_back({{"id", Allowed.value()}, {"object", "model"}, {"owned_by", "bulrushpitch"}});
  HttpResponse Response = jsonResponse(200, Json{{"object", "list"}, {"data", List}});
  static_cast<void>(co_await Writer.send(std::move(Response)));
}

} // namespace bulrushpitch
