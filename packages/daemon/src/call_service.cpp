#include "bulrushpitch/daemon/call_service.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration ChargeTimeout = std::chrono::seconds(10);

/// @return the response as the text that a claim row keeps
std::string encodeAnswer(const HttpResponse &Response) {
  const std::optional<std::string_view> Type = Response.m_Headers.find("Content-Type");
  return Json{
      {"status", Response.m_Status}, {"type", Type ? std::string(*Type) : ""}, {"body", Response.m_Body}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<HttpResponse> decodeAnswer(const std::string &Text) {
  const Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return Error{ErrorCode::ClaimOutcomeUnknown, "read stored answer", "table service", Ran::Yes,
                 "the stored answer is malformed"};
  HttpResponse Response;
  Response.m_Status = Parsed.value("status", 200U);
  Response.m_Headers.add("Content-Type", Parsed.value("type", ""));
  Response.m_Headers.add("X-Replayed", "true");
  Response.m_Body = Parsed.value("body", "");
  return Response;
}

/// @return whether the service says that it has not run the call
bool saysNotRun(const HttpResponse &Response) {
  if (Response.m_Status != 503)
    return false;
  const Json Parsed = Json::parse(Response.m_Body, nullptr, false);
  return Parsed.is_object() && Parsed.contains("ran") && Parsed["ran"] == "no";
}

} // namespace

asio::awaitable<Expected<HttpResponse>> CallService::serve(ServiceCall Call) {
  const TimePoint Start = m_Runtime.m_Clock();
  m_Parts.m_Routing.retries().onRequest();
  Expected<HttpResponse> Response = Error{};
  if (Call.m_Route.m_Idempotent)
    Response = co_await serveIdempotent(Call);
  else
    Response = co_await serveOnce(Call);
  m_Parts.m_Duration.record(m_Runtime.m_Clock() - Start);
  co_return Response;
}

Expected<RouteDecision> CallService::decide(const ServiceCall &Call, const ServiceRequest &Request) {
  Expected<RouteDecision> Decision = m_Parts.m_Routing.decideService(Request);
  if (Decision)
    m_Parts.m_Explain.add(Call.m_Request, "route", Decision->m_Upstream, VersionId(), Decision->reason());
  return Decision;
}

asio::awaitable<Expected<Done>> CallService::permit(RouteDecision Decision, AttemptId Attempt) {
  if (!Decision.m_NeedsPermit)
    co_return Done{};
  co_return co_await m_Parts.m_Permits.acquire(Decision.m_Upstream, Attempt);
}

asio::awaitable<Expected<HttpResponse>> CallService::dispatch(const ServiceCall &Call, RouteDecision Decision,
                                                              AttemptId Attempt) {
  const std::optional<Endpoint> Address = m_Parts.m_Routing.addressOf(Decision.m_Upstream);
  if (!Address)
    co_return Error{ErrorCode::NoUpstream, "call service", Decision.m_Upstream.value(), Ran::No,
                    "the upstream is no longer in the configuration"};
  Router &Routes = m_Parts.m_Routing.router();
  Routes.onDispatched(Attempt, Decision, m_Runtime.m_Clock());
  HttpRequest Request;
  Request.m_Method = Call.m_Route.m_Method;
  Request.m_Target = Call.m_Route.m_Path + Call.m_Query;
  // Keys are unique within a team only; a service that removes duplicates by key must not mix teams up.
  Request.m_Headers.add("Idempotency-Key", Call.m_Team.value() + "/" + Call.m_Request.value());
  Request.m_Headers.add("X-Attempt-Id", Attempt.value());
  if (!Call.m_ContentType.empty())
    Request.m_Headers.add("Content-Type", Call.m_ContentType);
  Request.m_Body = Call.m_Body;
  const TimePoint Now = m_Runtime.m_Clock();
  const Duration Timeout = std::min<Duration>(Call.m_Deadline - Now, Call.m_Route.m_Timeout);
  Expected<HttpResponse> Response = co_await m_Parts.m_Client.exchange(*Address, std::move(Request), Timeout);
  const TimePoint End = m_Runtime.m_Clock();
  if (Response && saysNotRun(*Response)) {
    Routes.onFailed(Attempt, ErrorCode::UpstreamRefused, End);
    m_Parts.m_Permits.release(Attempt, true);
    co_return Error{ErrorCode::UpstreamRefused, "call service", Decision.m_Upstream.value(), Ran::No,
                    "the service refused the call and did not run it"};
  }
  if (!Response) {
    Routes.onFailed(Attempt, Response.error().m_Code, End);
    LOG(WARNING) << "step=call-service request=" << Call.m_Request << " team=" << Call.m_Team
                 << " upstream=" << Decision.m_Upstream << " error=\"" << Response.error() << '"';
    m_Parts.m_Explain.add(Call.m_Request, "attempt failed", Decision.m_Upstream, VersionId(),
                          Response.error().toString());
  } else {
    Routes.onFirstToken(Attempt, End);
    Routes.onFinished(Attempt, End);
  }
  m_Parts.m_Permits.release(Attempt, false);
  co_return Response;
}

asio::awaitable<Expected<HttpResponse>> CallService::serveIdempotent(const ServiceCall &Call) {
  ServiceRequest Request;
  Request.m_Team = Call.m_Team;
  Request.m_Service = Call.m_Service;
  Request.m_Deadline = Call.m_Deadline;
  std::optional<Error> Last;
  while (true) {
    Expected<RouteDecision> Decision = decide(Call, Request);
    if (!Decision)
      co_return Last ? *Last : Decision.error();
    const AttemptId Attempt = m_Parts.m_Models.newAttempt();
    Expected<Done> Permit = co_await permit(*Decision, Attempt);
    Expected<HttpResponse> Response = Error{};
    if (Permit)
      Response = co_await dispatch(Call, *Decision, Attempt);
    else
      Response = Permit.error();
    if (Response) {
      HttpResponse Answer = std::move(*Response);
      co_return co_await charge(Call, std::move(Answer));
    }
    const Ran Before = Last ? Last->m_Ran : Ran::No;
    Last = Response.error();
    if (Before != Ran::No && Last->m_Ran == Ran::No)
      Last->m_Ran = Before;
    Expected<Done> Budget = m_Parts.m_Routing.retries().takeRetry();
    if (!Budget || m_Runtime.m_Clock() >= Call.m_Deadline)
      co_return *Last;
    Request.m_ExcludedUpstreams.push_back(Decision->m_Upstream);
  }
}

asio::awaitable<Expected<HttpResponse>> CallService::serveOnce(const ServiceCall &Call) {
  ServiceRequest Request;
  Request.m_Team = Call.m_Team;
  Request.m_Service = Call.m_Service;
  Request.m_Deadline = Call.m_Deadline;
  while (true) {
    Expected<RouteDecision> Decision = decide(Call, Request);
    if (!Decision)
      co_return Decision.error();
    const AttemptId Attempt = m_Parts.m_Models.newAttempt();
    Expected<Done> Permit = co_await permit(*Decision, Attempt);
    if (!Permit)
      co_return Permit.error();
    ClaimRequest Wanted;
    Wanted.m_Team = Call.m_Team;
    Wanted.m_Request = Call.m_Request;
    Wanted.m_Attempt = Attempt;
    Wanted.m_Upstream = Decision->m_Upstream;
    Wanted.m_Deadline = Call.m_Deadline;
    const ClaimDecision Claim = co_await m_Parts.m_Claims.begin(std::move(Wanted));
    m_Parts.m_Explain.add(Call.m_Request, "claim", Decision->m_Upstream, VersionId(),
                          nameOf(Claim.m_Verdict));
    if (Claim.m_Verdict != ClaimVerdict::Proceed)
      m_Parts.m_Permits.release(Attempt, false);
    if (Claim.m_Verdict == ClaimVerdict::Stored) {
      Expected<HttpResponse> Stored = decodeAnswer(Claim.m_Answer);
      if (!Stored)
        co_return Stored;
      HttpResponse Answer = std::move(*Stored);
      co_return co_await charge(Call, std::move(Answer));
    }
    if (Claim.m_Verdict != ClaimVerdict::Proceed)
      co_return Claim.m_Error.value_or(Error{ErrorCode::ClaimUnavailable, "claim request", "table service",
                                             Ran::No, "the claim was refused"});
    Expected<HttpResponse> Response = co_await dispatch(Call, *Decision, Attempt);
    if (Response) {
      m_Parts.m_Claims.completed(Attempt, encodeAnswer(*Response));
      HttpResponse Answer = std::move(*Response);
      co_return co_await charge(Call, std::move(Answer));
    }
    if (Response.error().m_Ran != Ran::No) {
      m_Parts.m_Claims.lost(Attempt);
      Error Unknown = Response.error();
      Unknown.m_Code = ErrorCode::ClaimOutcomeUnknown;
      co_return Unknown;
    }
    // Nothing was sent or the service said that it did not run the call: another attempt may claim it.
    m_Parts.m_Claims.notSent(Attempt);
    Expected<Done> Budget = m_Parts.m_Routing.retries().takeRetry();
    if (!Budget || m_Runtime.m_Clock() >= Call.m_Deadline)
      co_return Response.error();
    Request.m_ExcludedUpstreams.push_back(Decision->m_Upstream);
  }
}

asio::awaitable<Expected<HttpResponse>> CallService::charge(const ServiceCall &Call, HttpResponse Response) {
  Response.m_Headers.add("X-Request-Id", Call.m_Request.value());
  const bool Succeeded = Response.m_Status < 300;
  if (!Succeeded || Call.m_Route.m_Price.value() == 0)
    co_return Response;
  Charge Added;
  Added.m_Team = Call.m_Team;
  Added.m_Request = Call.m_Request;
  Added.m_Attempt = m_Parts.m_Models.newAttempt();
  Added.m_Target = Call.m_Service.value() + "/" + Call.m_Route.m_Name;
  Added.m_Amount = Call.m_Route.m_Price;
  Added.m_At = m_Runtime.m_WallClock().time_since_epoch().count();
  Expected<Done> Charged = co_await m_Parts.m_Billing.charge(std::move(Added), ChargeTimeout);
  if (!Charged)
    co_return Charged.error();
  Response.m_Headers.add("X-Charge-Microcents", std::to_string(Call.m_Route.m_Price.value()));
  co_return Response;
}

} // namespace bulrushpitch
