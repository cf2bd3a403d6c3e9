#include "forwarded_request.h"

/// @file
/// @brief Reports attempts that broke off and those that were answered, and rejects requests whose prompts
/// are in quarantine.

namespace bulrushpitch::detail {

namespace asio = boost::asio;

namespace {

/// Callers don't send such a request again, to any daemon.
constexpr unsigned StatusQuarantined = 400;

/// @param NotRun whether it is certain that no attempt ran
HttpResponse quarantineResponse(const QuarantinedPart &Quarantined, bool NotRun) {
  const std::string Code = std::to_string(static_cast<int>(ErrorCode::PromptQuarantined));
  HttpResponse Response;
  Response.m_Status = StatusQuarantined;
  Response.m_Headers.add("Content-Type", "application/json");
  Response.m_Body = R"({"error":{"code":)" + Code + R"(,"message":"a part of the prompt is in quarantine: )" +
                    std::to_string(Quarantined.m_Crashes) +
                    R"( upstreams crashed on it","step":"admit request","peer":"","ran":")" +
                    (NotRun ? "no" : "unknown") + R"("}})";
  return Response;
}

} // namespace

void ForwardedRequest::recordCrashSuspicion(const UpstreamId &Target, AttemptOutcome Outcome) {
  const std::vector<PromptPartId> &Parts = m_Caller.m_PromptParts;
  const UpstreamIncarnation Upstream{Target, m_AttemptUpstream.m_StartedAt};
  PromptQuarantine &Quarantine = m_Dependencies.m_State.m_PromptQuarantine;
  const TimePoint Now = m_Dependencies.m_Clock();
  const std::uint32_t Request = static_cast<std::uint32_t>(m_RequestHash) | 1U; // 0 means unknown.
  if (Outcome == AttemptOutcome::Escalated && !Parts.empty())
    Quarantine.onDropped(Upstream, Parts, Request, Now);
  if (Outcome == AttemptOutcome::Answered && !Parts.empty())
    Quarantine.onAnswered(Parts, Now);
  const bool BrokenOff =
      m_AttemptError == ErrorCode::UpstreamBroken || m_AttemptError == ErrorCode::StreamLost;
  if (Outcome != AttemptOutcome::Broken || !BrokenOff)
    return;
  Quarantine.onUpstreamBroke(Upstream, Now);
  if (Parts.empty() || isLeaving(Target))
    return;
  Quarantine.onBrokenOff(Upstream, Parts, Request, Now);
  logSuspicion(Target);
}

bool ForwardedRequest::isLeaving(const UpstreamId &Target) const {
  const PooledUpstream *Pooled = m_Dependencies.m_State.m_Pool.find(Target);
  return m_AttemptUpstream.m_Draining || (Pooled && Pooled->m_Entry.m_Draining) ||
         m_Dependencies.m_State.m_Pool.notices().isLeaving(m_AttemptUpstream);
}

void ForwardedRequest::logSuspicion(const UpstreamId &Target) {
  std::string Names;
  for (const PromptPartId &Part : m_Caller.m_PromptParts)
    Names += (Names.empty() ? "" : ",") + Part.value();
  m_Dependencies.m_Log.add(LogClass::Request, "prompt_suspected",
                           {{"request", std::string_view(m_Caller.m_AttemptId)},
                            {"upstream", std::string_view(Target.value())},
                            {"born", m_AttemptUpstream.m_StartedAt},
                            {"parts", std::string_view(Names)}});
}

std::optional<QuarantinedPart> ForwardedRequest::quarantinedPart() const {
  return m_Dependencies.m_State.m_PromptQuarantine.find(m_Caller.m_PromptParts, m_Dependencies.m_Clock());
}

asio::awaitable<void> ForwardedRequest::rejectQuarantined(const QuarantinedPart &Quarantined) {
  m_Dependencies.m_Log.add(
      LogClass::Request, "request_quarantined",
      {{"request", std::string_view(m_Caller.m_AttemptId)},
       {"error", static_cast<std::int64_t>(ErrorCode::PromptQuarantined)},
       {"part", std::string_view(Quarantined.m_Part.value())},
       {"crashes", static_cast<std::int64_t>(Quarantined.m_Crashes)},
       {"age_ms", std::chrono::duration<double, std::milli>(Quarantined.m_Age).count()}});
  m_Dependencies.m_Metrics
      .counter("bulrushpitch_quarantined_requests_total",
               "Requests that were rejected because a part of their prompt crashes upstreams.")
      .add();
  recordRequestEnd(nameOf(RetryDenial::Quarantined), StatusQuarantined);
  HttpResponse Response = quarantineResponse(Quarantined, !m_MayHaveRun);
  static_cast<void>(co_await m_Writer.send(std::move(Response)));
}

} // namespace bulrushpitch::detail
