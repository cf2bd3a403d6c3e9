#include "bulrushpitch/timeline/event.h"

#include <algorithm>
#include <utility>

namespace bulrushpitch {

namespace {

using Named = std::pair<EventKind, std::string_view>;

constexpr Named kindNames[] = {
    {EventKind::Note, "note"},
    {EventKind::RequestReceived, "request-received"},
    {EventKind::RequestFinished, "request-finished"},
    {EventKind::RequestRefused, "request-refused"},
    {EventKind::RequestFailed, "request-failed"},
    {EventKind::RouteChosen, "route-chosen"},
    {EventKind::AttemptStarted, "attempt-started"},
    {EventKind::AttemptFinished, "attempt-finished"},
    {EventKind::AttemptFailed, "attempt-failed"},
    {EventKind::Escalated, "escalated"},
    {EventKind::StreamResumed, "stream-resumed"},
    {EventKind::PermitGranted, "permit-granted"},
    {EventKind::PermitRefused, "permit-refused"},
    {EventKind::PermitEnded, "permit-ended"},
    {EventKind::LeaseAcquired, "lease-acquired"},
    {EventKind::LeaseLost, "lease-lost"},
    {EventKind::UpstreamCold, "upstream-cold"},
    {EventKind::UpstreamWarm, "upstream-warm"},
    {EventKind::OrderSent, "order-sent"},
    {EventKind::ClaimWritten, "claim-written"},
    {EventKind::ChargeHeld, "charge-held"},
    {EventKind::ChargeWritten, "charge-written"},
    {EventKind::ConfigPublished, "config-published"},
    {EventKind::ConfigApplied, "config-applied"},
    {EventKind::RestrictionApplied, "restriction-applied"},
    {EventKind::RolloutChanged, "rollout-changed"},
    {EventKind::DrainStarted, "drain-started"},
    {EventKind::DrainFinished, "drain-finished"},
    {EventKind::MemberChanged, "member-changed"},
    {EventKind::ProcessStarted, "process-started"},
    {EventKind::ProcessStopping, "process-stopping"},
    {EventKind::PauseDetected, "pause-detected"},
    {EventKind::PlatformLost, "platform-lost"},
    {EventKind::PlatformBack, "platform-back"},
    {EventKind::MessageSent, "message-sent"},
    {EventKind::MessageReceived, "message-received"},
};

template <typename T> bool matches(const std::optional<T> &Wanted, const T &Value) {
  return !Wanted || *Wanted == Value;
}

} // namespace

std::string_view nameOf(EventKind Value) {
  const Named *Found = std::find_if(std::begin(kindNames), std::end(kindNames),
                                    [Value](const Named &Item) { return Item.first == Value; });
  return Found == std::end(kindNames) ? "unknown" : Found->second;
}

std::optional<EventKind> eventKindOf(std::string_view Name) {
  const Named *Found = std::find_if(std::begin(kindNames), std::end(kindNames),
                                    [Name](const Named &Item) { return Item.second == Name; });
  if (Found == std::end(kindNames))
    return std::nullopt;
  return Found->first;
}

const std::vector<EventKind> &allEventKinds() {
  static const std::vector<EventKind> Kinds = [] {
    std::vector<EventKind> Result;
    Result.reserve(std::size(kindNames));
    for (const Named &Item : kindNames)
      Result.push_back(Item.first);
    return Result;
  }();
  return Kinds;
}

std::string messageName(const InstanceId &Sender, LamportTime Sent) {
  return Sender.value() + "/" + std::to_string(Sent.value());
}

bool EventFilter::accepts(const TimelineEvent &Event) const {
  return matches(m_Request, Event.m_Request) && matches(m_Upstream, Event.m_Upstream) &&
         matches(m_Revision, Event.m_Revision) && matches(m_Domain, Event.m_Domain) &&
         matches(m_Kind, Event.m_Kind) && (!m_From || Event.m_Wall >= *m_From) &&
         (!m_Until || Event.m_Wall < *m_Until);
}

} // namespace bulrushpitch
