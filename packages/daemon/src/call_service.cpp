#include "bulrushpitch/daemon/call_service.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration ChargeTimeout = std::chrono::seconds(10);

/// @return the response in the JSON form in which a claim row stores it
std::string encodeResponse(const HttpResponse &Response) {
  const std::optional<std::string_view> Type = Response.m_Headers.find("Content-Type");
  return Json{
      {"status", Response.m_Status}, {"type", Type ? std::string(*Type) : ""}, {"body", Response.m_Body}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<HttpResponse> decodeResponse(const std::string &Text) {
  const Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return Error{ErrorCode::ClaimOutcomeUnknown, "read stored answer", "table service", Ran::Yes,
                 "the stored response is malformed"};
  HttpResponse Response;
  Response.m_Status = Parsed.value("status", 200U);
  Response.m_Headers.add("Content-Type", Parsed.value("type", ""));
  Response.m_Headers.add("X-Replayed", "true");
  Response.m_Body = Parsed.value("body", "");
  return Response;
}

/// @return whether the service reports that it has not run the call
bool reportsNotRun(const HttpResponse &Response) {
  if (Response.m_Status != 503)
    return false;
  const Json Parsed = Json::parse(Response.m_Body, nullptr, false);
  return Parsed.is_object() && Parsed.contains("ran") && Parsed["ran"] == "no";
}

} // namespace

asio::awaitable<Expected<HttpResponse>> CallService::serve(ServiceCall Call) {
  const TimePoint Start = m_Runtime.m_Clock();
  m_Dependencies.m_Routing.retryBudget().onRequest();
  Expected<HttpResponse> Response = Error{};
  if (Call.m_Route.m_Idempotent)
    Response = co_await serveIdempotent(Call);
  else
    Response = co_await serveNonIdempotent(Call);
  m_Dependencies.m_CallDuration.record(m_Runtime.m_Clock() - Start);
  co_return Response;
}

Expected<RouteDecision> CallService::chooseUpstream(const ServiceCall &Call, const ServiceRequest &Request) {
  Expected<RouteDecision> Decision = m_Dependencies.m_Routing.decideService(Request);
  if (Decision)
    m_Dependencies.m_Explain.add(Call.m_Request, "route", Decision->m_Upstream, VersionId(),
                                 Decision->reason());
  return Decision;
}

asio::awaitable<Expected<Done>> CallService::acquirePermit(RouteDecision Decision, AttemptId Attempt) {
  if (!Decision.m_NeedsPermit)
    co_return Done{};
  co_return co_await m_Dependencies.m_Permits.acquire(Decision.m_Upstream, Attempt);
}

asio::awaitable<Expected<HttpResponse>> CallService::dispatch(const ServiceCall &Call, RouteDecision Decision,
                                                              AttemptId Attempt) {
  const std::optional<Endpoint> Address = m_Dependencies.m_Routing.addressOf(Decision.m_Upstream);
  if (!Address)
    co_return Error{ErrorCode::NoUpstream, "call service", Decision.m_Upstream.value(), Ran::No,
                    "the upstream is no longer in the configuration"};
  Router &Routes = m_Dependencies.m_Routing.router();
  Routes.onDispatched(Attempt, Decision, m_Runtime.m_Clock());
  HttpRequest Request;
  Request.m_Method = Call.m_Route.m_Method;
  Request.m_Target = Call.m_Route.m_Path + Call.m_Query;
  // Callers' keys are unique only within a team; the prefix lets a service deduplicate by key across teams.
  Request.m_Headers.add("Idempotency-Key", Call.m_Team.value() + "/" + Call.m_Request.value());
  Request.m_Headers.add("X-Attempt-Id", Attempt.value());
  if (!Call.m_ContentType.empty())
    Request.m_Headers.add("Content-Type", Call.m_ContentType);
  Request.m_Body = Call.m_Body;
  const TimePoint Now = m_Runtime.m_Clock();
  const Duration Timeout = std::min<Duration>(Call.m_Deadline - Now, Call.m_Route.m_Timeout);
  Expected<HttpResponse> Response =
      co_await m_Dependencies.m_Client.exchange(*Address, std::move(Request), Timeout);
  const TimePoint End = m_Runtime.m_Clock();
  if (Response && reportsNotRun(*Response)) {
    Routes.onFailed(Attempt, ErrorCode::UpstreamRefused, End);
    m_Dependencies.m_Permits.release(Attempt, true);
    co_return Error{ErrorCode::UpstreamRefused, "call service", Decision.m_Upstream.value(), Ran::No,
                    "the service rejected the call without running it"};
  }
  if (!Response) {
    Routes.onFailed(Attempt, Response.error().m_Code, End);
    LOG(WARNING) << "step=call-service request=" << Call.m_Request << " team=" << Call.m_Team
                 << " upstream=" << Decision.m_Upstream << " error=\"" << Response.error() << '"';
    m_Dependencies.m_Explain.add(Call.m_Request, "attempt failed", Decision.m_Upstream, VersionId(),
                                 Response.error().toString());
  } else {
    Routes.onFirstToken(Attempt, End);
    Routes.onFinished(Attempt, End);
  }
  m_Dependencies.m_Permits.release(Attempt, false);
  co_return Response;
}

asio::awaitable<Expected<HttpResponse>> CallService::serveIdempotent(const ServiceCall &Call) {
  ServiceRequest Request;
  Request.m_Team = Call.m_Team;
  Request.m_Service = Call.m_Service;
  Request.m_Deadline = Call.m_Deadline;
  std::optional<Error> LastError;
  while (true) {
    Expected<RouteDecision> Decision = chooseUpstream(Call, Request);
    if (!Decision)
      co_return LastError ? *LastError : Decision.error();
    const AttemptId Attempt = m_Dependencies.m_Models.newAttemptId();
    Expected<Done> Permit = co_await acquirePermit(*Decision, Attempt);
    Expected<HttpResponse> Response = Error{};
    if (Permit)
      Response = co_await dispatch(Call, *Decision, Attempt);
    else
      Response = Permit.error();
    if (Response) {
      HttpResponse FinalResponse = std::move(*Response);
      co_return co_await charge(Call, std::move(FinalResponse));
    }
    const Ran PreviousRan = LastError ? LastError->m_Ran : Ran::No;
    LastError = Response.error();
    if (PreviousRan != Ran::No && LastError->m_Ran == Ran::No)
      LastError->m_Ran = PreviousRan;
    Expected<Done> RetryGrant = m_Dependencies.m_Routing.retryBudget().takeRetry();
    if (!RetryGrant || m_Runtime.m_Clock() >= Call.m_Deadline)
      co_return *LastError;
    Request.m_ExcludedUpstreams.push_back(Decision->m_Upstream);
  }
}

asio::awaitable<Expected<HttpResponse>> CallService::serveNonIdempotent(const ServiceCall &Call) {
  ServiceRequest Request;
  Request.m_Team = Call.m_Team;
  Request.m_Service = Call.m_Service;
  Request.m_Deadline = Call.m_Deadline;
  while (true) {
    Expected<RouteDecision> Decision = chooseUpstream(Call, Request);
    if (!Decision)
      co_return Decision.error();
    const AttemptId Attempt = m_Dependencies.m_Models.newAttemptId();
    Expected<Done> Permit = co_await acquirePermit(*Decision, Attempt);
    if (!Permit)
      co_return Permit.error();
    ClaimRequest NewClaim;
    NewClaim.m_Team = Call.m_Team;
    NewClaim.m_Request = Call.m_Request;
    NewClaim.m_Attempt = Attempt;
    NewClaim.m_Upstream = Decision->m_Upstream;
    NewClaim.m_Deadline = Call.m_Deadline;
    const ClaimDecision Claim = co_await m_Dependencies.m_Claims.claim(std::move(NewClaim));
    m_Dependencies.m_Explain.add(Call.m_Request, "claim", Decision->m_Upstream, VersionId(),
                                 nameOf(Claim.m_Verdict));
    if (Claim.m_Verdict != ClaimVerdict::Proceed)
      m_Dependencies.m_Permits.release(Attempt, false);
    if (Claim.m_Verdict == ClaimVerdict::Stored) {
      Expected<HttpResponse> Stored = decodeResponse(Claim.m_Response);
      if (!Stored)
        co_return Stored;
      HttpResponse FinalResponse = std::move(*Stored);
      co_return co_await charge(Call, std::move(FinalResponse));
    }
    if (Claim.m_Verdict != ClaimVerdict::Proceed)
      co_return Claim.m_Error.value_or(Error{ErrorCode::ClaimUnavailable, "claim request", "table service",
                                             Ran::No, "the claim was rejected"});
    Expected<HttpResponse> Response = co_await dispatch(Call, *Decision, Attempt);
    if (Response) {
      m_Dependencies.m_Claims.completed(Attempt, encodeResponse(*Response));
      HttpResponse FinalResponse = std::move(*Response);
      co_return co_await charge(Call, std::move(FinalResponse));
    }
    if (Response.error().m_Ran != Ran::No) {
      m_Dependencies.m_Claims.responseLost(Attempt);
      Error OutcomeUnknown = Response.error();
      OutcomeUnknown.m_Code = ErrorCode::ClaimOutcomeUnknown;
      co_return OutcomeUnknown;
    }
    // Nothing was sent, or the service reported that it did not run the call: another attempt may claim it.
    m_Dependencies.m_Claims.notSent(Attempt);
    Expected<Done> RetryGrant = m_Dependencies.m_Routing.retryBudget().takeRetry();
    if (!RetryGrant || m_Runtime.m_Clock() >= Call.m_Deadline)
      co_return Response.error();
    Request.m_ExcludedUpstreams.push_back(Decision->m_Upstream);
  }
}

asio::awaitable<Expected<HttpResponse>> CallService::charge(const ServiceCall &Call, HttpResponse Response) {
  Response.m_Headers.add("X-Request-Id", Call.m_Request.value());
  const bool Succeeded = Response.m_Status < 300;
  if (!Succeeded || Call.m_Route.m_Price.value() == 0)
    co_return Response;
  Charge NewCharge;
  NewCharge.m_Team = Call.m_Team;
  NewCharge.m_Request = Call.m_Request;
  NewCharge.m_Attempt = m_Dependencies.m_Models.newAttemptId();
  NewCharge.m_Target = Call.m_Service.value() + "/" + Call.m_Route.m_Name;
  NewCharge.m_Amount = Call.m_Route.m_Price;
  NewCharge.m_CompletedAt = m_Runtime.m_WallClock().time_since_epoch().count();
  Expected<Done> Charged = co_await m_Dependencies.m_Billing.charge(std::move(NewCharge), ChargeTimeout);
  if (!Charged)
    co_return Charged.error();
  Response.m_Headers.add("X-Charge-Microcents", std::to_string(Call.m_Route.m_Price.value()));
  co_return Response;
}

} // namespace bulrushpitch
