#include "bulrushpitch/forward/upstream_notices.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushpitch {

namespace {

/// Time over which requests are counted against a limit.
constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr double LimitWindowSeconds = 4.0;
/// Requests of all daemons that are tolerated in a window: the limit times a factor, and some more.
constexpr double ToleratedFactor = 1.5;
constexpr double ToleratedSlack = 5.0;
/// A limit beyond this never binds.
constexpr double MaxRequestsPerWindow = 1e6;
/// A longer pause is taken for an error, after which one request asks again.
constexpr Duration MaxPause = std::chrono::minutes(10);
/// Far more than there are upstreams.
constexpr std::size_t MaxKnown = 4096;

} // namespace

std::uint32_t shareOfNamedLimit(double RequestsPerSecond, const NamedLimitShare &Share) {
  if (!Share.m_HasShare)
    return 0;
  const double Daemons = std::max(1U, Share.m_Daemons);
  const double Limit = std::clamp(RequestsPerSecond * LimitWindowSeconds, 0.0, MaxRequestsPerWindow);
  const double Wanted = std::max(1.0, std::floor(Limit));
  const double PerDaemon = std::floor(Wanted / Daemons);
  // The daemons of both epochs send one more each while they change over.
  const double Tolerated = Limit * ToleratedFactor + ToleratedSlack;
  const double Remainder =
      std::min(Wanted - PerDaemon * Daemons, std::floor((Tolerated - PerDaemon * Daemons) / 2.0));
  return static_cast<std::uint32_t>(PerDaemon) + (Share.m_Rank < Remainder ? 1 : 0);
}

const UpstreamNotices::Known *UpstreamNotices::find(const RegisteredUpstream &Upstream) const {
  const auto Found = m_Known.find(Upstream.m_Id);
  if (Found == m_Known.end() || Found->second.m_StartedAt != Upstream.m_StartedAt ||
      Found->second.m_Address != Upstream.m_Address)
    return nullptr;
  return &Found->second;
}

UpstreamNotices::Known &UpstreamNotices::entryOf(const RegisteredUpstream &Upstream, TimePoint Now) {
  if (!find(Upstream)) {
    if (m_Known.size() >= MaxKnown)
      forgetOldest();
    Known Fresh;
    Fresh.m_StartedAt = Upstream.m_StartedAt;
    Fresh.m_Address = Upstream.m_Address;
    m_Known[Upstream.m_Id] = std::move(Fresh);
  }
  Known &Entry = m_Known[Upstream.m_Id];
  Entry.m_RecordedAt = Now;
  return Entry;
}

void UpstreamNotices::forgetOldest() {
  m_Known.erase(std::min_element(m_Known.begin(), m_Known.end(), [](const auto &Left, const auto &Right) {
    return Left.second.m_RecordedAt < Right.second.m_RecordedAt;
  }));
}

bool UpstreamNotices::record(const RegisteredUpstream &Upstream, const UpstreamNotice &Notice,
                             TimePoint SentAt, TimePoint Now) {
  const auto Found = m_Known.find(Upstream.m_Id);
  if (Found != m_Known.end() && Upstream.m_StartedAt < Found->second.m_StartedAt)
    return false; // A late answer of an earlier incarnation.
  const bool LimitChanged = recordLimit(Upstream, Notice, SentAt, Now);
  const bool LeavingChanged = Notice.m_Leaving && recordLeaving(Upstream, Now);
  const bool PauseBegun = Notice.m_Pause && recordPause(Upstream, *Notice.m_Pause, Now);
  return LimitChanged || LeavingChanged || PauseBegun;
}

bool UpstreamNotices::recordPause(const RegisteredUpstream &Upstream, Duration Pause, TimePoint Now) {
  Known &Entry = entryOf(Upstream, Now);
  const bool WasPaused = Now < Entry.m_PausedUntil;
  Entry.m_PausedUntil = std::max(Entry.m_PausedUntil, Now + std::min(Pause, MaxPause));
  return !WasPaused;
}

bool UpstreamNotices::recordLeaving(const RegisteredUpstream &Upstream, TimePoint Now) {
  return !std::exchange(entryOf(Upstream, Now).m_Leaving, true);
}

bool UpstreamNotices::recordLimit(const RegisteredUpstream &Upstream, const UpstreamNotice &Notice,
                                  TimePoint SentAt, TimePoint Now) {
  if (Notice.m_LimitUnreadable)
    return false;
  if (Notice.m_RequestLimit) {
    Known &Entry = entryOf(Upstream, Now);
    const bool Changed = Entry.m_RequestLimit != Notice.m_RequestLimit;
    Entry.m_RequestLimit = Notice.m_RequestLimit;
    Entry.m_LimitNamedAt = Now;
    return Changed;
  }
  const Known *Before = find(Upstream);
  // An answer to a request from before the limit says nothing about its end.
  if (!Before || !Before->m_RequestLimit || SentAt <= Before->m_LimitNamedAt)
    return false;
  entryOf(Upstream, Now).m_RequestLimit.reset();
  return true;
}

bool UpstreamNotices::isLeaving(const RegisteredUpstream &Upstream) const {
  const Known *Entry = find(Upstream);
  return Entry && Entry->m_Leaving;
}

std::optional<double> UpstreamNotices::requestLimit(const RegisteredUpstream &Upstream) const {
  const Known *Entry = find(Upstream);
  return Entry ? Entry->m_RequestLimit : std::nullopt;
}

std::optional<TimePoint> UpstreamNotices::nextRequestAt(const RegisteredUpstream &Upstream,
                                                        const NamedLimitShare &Share) const {
  const Known *Entry = find(Upstream);
  if (!Entry)
    return TimePoint{};
  if (!Entry->m_RequestLimit)
    return Entry->m_PausedUntil;
  const std::optional<TimePoint> WithinLimit =
      Entry->m_RateLimiter.nextAt({shareOfNamedLimit(*Entry->m_RequestLimit, Share), LimitWindow});
  return WithinLimit ? std::max(*WithinLimit, Entry->m_PausedUntil) : WithinLimit;
}

TimePoint UpstreamNotices::pausedUntil(const RegisteredUpstream &Upstream) const {
  const Known *Entry = find(Upstream);
  return Entry ? Entry->m_PausedUntil : TimePoint{};
}

void UpstreamNotices::countRequest(const RegisteredUpstream &Upstream, const NamedLimitShare &Share,
                                   TimePoint Now) {
  const Known *Entry = find(Upstream);
  if (!Entry || !Entry->m_RequestLimit)
    return;
  const RequestRate Rate{shareOfNamedLimit(*Entry->m_RequestLimit, Share), LimitWindow};
  entryOf(Upstream, Now).m_RateLimiter.tryAcquire(Now, Rate);
}

} // namespace bulrushpitch
