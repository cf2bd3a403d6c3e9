#include "bulrushpitch/standin/process.h"

#include <algorithm>

namespace bulrushpitch::standin {

namespace {

constexpr Milliseconds FallOverTime{2'000};
/// Samples are kept no closer than this, so that the history of a busy process stays short.
constexpr Milliseconds SampleInterval{10};
constexpr std::chrono::seconds SampleHistory{60};

} // namespace

Process::Process(ProcessSettings Settings, ClockHook Clock)
    : m_Settings(std::move(Settings)), m_Clock(std::move(Clock)) {
  newStart(m_Clock(), m_Settings.m_StartsWarm);
}

void Process::newStart(TimePoint ReadyAt, bool Warm) {
  m_StartId = m_Settings.m_Name + "-" + std::to_string(unixMilliseconds()) + "-" + std::to_string(++m_Starts);
  m_ReadyAt = ReadyAt;
  m_ColdSince = ReadyAt;
  m_WarmAt = Warm ? ReadyAt : ReadyAt + m_Settings.m_WarmUp;
  m_Tolerance = 0;
  sample(0, 0, 0.0);
}

void Process::restart(Milliseconds DownTime) {
  newStart(m_Clock() + DownTime, false);
  m_OnChange();
}

void Process::turnCold(std::uint32_t Tolerance) {
  m_ColdSince = m_Clock();
  m_WarmAt = m_ColdSince + m_Settings.m_WarmUp;
  m_Tolerance = Tolerance;
  const Sample Last = m_Samples.back();
  sample(Last.m_Running, Last.m_Queued, Last.m_TokensPerSecond);
}

void Process::setLeaving(bool Leaving) {
  m_Leaving = Leaving;
  const Sample Last = m_Samples.back();
  sample(Last.m_Running, Last.m_Queued, Last.m_TokensPerSecond);
  m_OnChange();
}

bool Process::cold() const { return m_Clock() < m_WarmAt; }

bool Process::starting() const { return m_Clock() < m_ReadyAt; }

std::size_t Process::limit() const {
  if (starting())
    return 0;
  if (!cold())
    return m_Settings.m_Capacity + m_Settings.m_QueueLimit;
  const double Share = static_cast<double>((m_Clock() - m_ColdSince).count()) /
                       static_cast<double>((m_WarmAt - m_ColdSince).count());
  const double Rise = static_cast<double>(m_Settings.m_Capacity) - m_Settings.m_ColdLimit;
  return m_Settings.m_ColdLimit + static_cast<std::size_t>(std::max(0.0, Share * Rise));
}

Process::Admission Process::admit(std::size_t Active) {
  if (Active < limit())
    return Admission::Accepted;
  if (starting() || !cold())
    return Admission::Refused;
  if (m_Tolerance > 0) {
    --m_Tolerance;
    return Admission::Refused;
  }
  ++m_FallOvers;
  restart(FallOverTime);
  return Admission::FallenOver;
}

void Process::note(std::size_t Running, std::size_t Queued, double TokensPerSecond) {
  m_MaxRunning = std::max(m_MaxRunning, Running);
  const Sample &Last = m_Samples.back();
  if (Last.m_Running != Running || Last.m_Queued != Queued)
    sample(Running, Queued, TokensPerSecond);
}

void Process::sample(std::size_t Running, std::size_t Queued, double TokensPerSecond) {
  const TimePoint Now = m_Clock();
  const Sample Taken{Now, m_StartId, Running, Queued, TokensPerSecond, m_WarmAt, m_Leaving};
  // The last sample but one is at least an interval away from the last; replacing the last keeps that so.
  if (m_Samples.size() >= 2 && Now - m_Samples[m_Samples.size() - 2].m_Time < SampleInterval)
    m_Samples.pop_back();
  m_Samples.push_back(Taken);
  while (m_Samples.size() > 2 && Now - m_Samples[1].m_Time > SampleHistory)
    m_Samples.pop_front();
}

json Process::report(Milliseconds Lag) const {
  const TimePoint Shown = m_Clock() - Lag;
  auto At = std::find_if(m_Samples.rbegin(), m_Samples.rend(),
                         [Shown](const Sample &Candidate) { return Candidate.m_Time <= Shown; });
  const Sample &Found = At == m_Samples.rend() ? m_Samples.front() : *At;
  return {{"startId", Found.m_StartId}, {"running", Found.m_Running},
          {"queued", Found.m_Queued},   {"tokensPerSecond", Found.m_TokensPerSecond},
          {"ageMs", Lag.count()},       {"cold", Shown < Found.m_WarmAt},
          {"leaving", Found.m_Leaving}};
}

json Process::listEntry() const {
  return {{"name", m_Settings.m_Name},
          {"kind", "upstream"},
          {"domain", m_Settings.m_Domain},
          {"address", m_Settings.m_Address.toString()},
          {"admin", nullptr},
          {"startId", m_StartId},
          {"leaving", m_Leaving}};
}

std::optional<HttpResponse> Process::control(const std::string &Path, const json &Body,
                                             const std::function<void()> &OnRestart) {
  if (Path == "/standin/cold") {
    turnCold(Body.value("tolerance", 0U));
  } else if (Path == "/standin/leave") {
    setLeaving(Body.at("leaving").get<bool>());
  } else if (Path == "/standin/restart") {
    restart(Milliseconds(Body.value("downMs", std::int64_t{0})));
    OnRestart();
  } else {
    return std::nullopt;
  }
  return jsonResponse(200, {{"startId", m_StartId}, {"cold", cold()}, {"leaving", m_Leaving}});
}

} // namespace bulrushpitch::standin
