#include "bulrushpitch/timeline/timeline.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <memory>

using namespace bulrushpitch;
using namespace std::chrono_literals;

namespace {

/// Three daemons, two regions: a request with a cold upstream, a take-out that spreads, and a refused
/// request. Wall clocks are up to 2.3 s apart.
MergedTimeline exampleTimeline() {
  const std::shared_ptr<Duration> Now = std::make_shared<Duration>(0);
  const auto Make = [Now](const char *Name, Duration Ahead) {
    return Recorder(
        InstanceId(Name), [Now] { return TimePoint(*Now + 1h); },
        [Now, Ahead] {
          return WallTime(1'800'000'000s + std::chrono::floor<std::chrono::milliseconds>(*Now + Ahead));
        });
  };
  Recorder A = Make("west-a-1", 0ms);
  Recorder B = Make("west-b-2", -420ms);
  Recorder H = Make("hill-a-1", 2310ms);
  const auto Send = [Now](Recorder &From, const char *Sender, Recorder &To, Duration Delay,
                          const char *Step) {
    const LamportTime Sent = From.recordSend({.m_Step = Step});
    *Now += Delay;
    To.recordReceive(InstanceId(Sender), Sent, {.m_Step = Step});
    *Now += 40us;
  };
  const RequestId First("r-5c1e"), Second("r-7d02"), Third("r-8a11");
  const UpstreamId Engine("pitch-llm-07"), Other("pitch-llm-11");
  A.record({.m_Kind = EventKind::RequestReceived, .m_Request = First, .m_Team = TeamId("kiosk-buskers")});
  *Now += 300us;
  A.record({.m_Kind = EventKind::RouteChosen, .m_Request = First, .m_Version = VersionId("busk-3b-v4")});
  *Now += 100us;
  Send(A, "west-a-1", B, 500us, "acquirePermit");
  B.record({.m_Kind = EventKind::PermitGranted, .m_Request = First, .m_Upstream = Engine});
  *Now += 80us;
  Send(B, "west-b-2", A, 500us, "permit");
  A.record({.m_Kind = EventKind::AttemptStarted, .m_Request = First, .m_Upstream = Engine});
  *Now += 12ms;
  H.record({.m_Kind = EventKind::RequestReceived, .m_Request = Second, .m_Team = TeamId("kiosk-buskers")});
  *Now += 350us;
  H.record({.m_Kind = EventKind::AttemptStarted, .m_Request = Second, .m_Upstream = Other});
  *Now += 180ms;
  A.record({.m_Kind = EventKind::AttemptFailed, .m_Request = First, .m_Upstream = Engine});
  *Now += 200us;
  A.record({.m_Kind = EventKind::UpstreamCold, .m_Upstream = Engine, .m_Detail = "refused: overload"});
  *Now += 600us;
  A.record({.m_Kind = EventKind::AttemptStarted, .m_Request = First, .m_Upstream = Other});
  *Now += 40ms;
  H.record({.m_Kind = EventKind::RestrictionApplied, .m_Domain = DomainId("west-b"), .m_Step = "take-out"});
  *Now += 70us;
  const LamportTime ToA = H.recordSend({.m_Step = "exchange"});
  *Now += 60us;
  const LamportTime ToB = H.recordSend({.m_Step = "exchange"});
  *Now += 30ms;
  A.recordReceive(InstanceId("hill-a-1"), ToA, {.m_Step = "exchange"});
  *Now += 100us;
  A.record({.m_Kind = EventKind::RestrictionApplied, .m_Domain = DomainId("west-b")});
  *Now += 400us;
  B.recordReceive(InstanceId("hill-a-1"), ToB, {.m_Step = "exchange"});
  *Now += 100us;
  B.record({.m_Kind = EventKind::RestrictionApplied, .m_Domain = DomainId("west-b")});
  *Now += 200us;
  B.record({.m_Kind = EventKind::DrainStarted, .m_Domain = DomainId("west-b")});
  *Now += 2ms;
  Send(A, "west-a-1", H, 30ms, "exchange");
  B.record({.m_Kind = EventKind::RequestReceived, .m_Request = Third, .m_Team = TeamId("shift-summaries")});
  *Now += 300us;
  B.record({.m_Kind = EventKind::RequestRefused, .m_Request = Third, .m_Detail = "domain is out, not run"});
  *Now += 260ms;
  A.record({.m_Kind = EventKind::AttemptFinished, .m_Request = First, .m_Upstream = Other});
  *Now += 300us;
  Send(A, "west-a-1", H, 30ms, "holdCharges");
  H.record({.m_Kind = EventKind::ChargeHeld, .m_Request = First});
  *Now += 60us;
  Send(H, "hill-a-1", A, 30ms, "held");
  A.record({.m_Kind = EventKind::RequestFinished, .m_Request = First});
  *Now += 140ms;
  A.record({.m_Kind = EventKind::ChargeWritten, .m_Request = First, .m_Step = "flush"});
  *Now += 900ms;
  H.record({.m_Kind = EventKind::AttemptFinished, .m_Request = Second, .m_Upstream = Other});
  *Now += 300us;
  H.record({.m_Kind = EventKind::RequestFinished, .m_Request = Second});
  return mergeTimelines({B.events(), H.events(), A.events()});
}

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Found = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos; At = Text.find(Part, At + Part.size()))
    ++Found;
  return Found;
}

} // namespace

TEST_CASE("the picture has a lane per instance, a bar per request and an arrow per message") {
  const MergedTimeline Timeline = exampleTimeline();
  const std::string Svg = renderSvg(Timeline, {.m_Title = "Take-out of west-b during a request"});
  if (const char *Path = std::getenv("TIMELINE_SVG")) // For looking at the picture.
    std::ofstream(Path) << Svg;
  CHECK(count(Svg, "marker-end=") == 7);
  CHECK(count(Svg, "not run") == 1);
  CHECK(count(Svg, ">r-5c1e  kiosk-buskers</text>") == 1);
  for (const char *Name : {"west-a-1", "west-b-2", "hill-a-1"})
    CHECK(count(Svg, std::string("font-weight=\"bold\">") + Name + "</text>") == 1);
  CHECK(count(Svg, "clock +2.31 s \u00b1 30 ms") == 1);
  CHECK(count(renderText(Timeline), "\n") == Timeline.m_Events.size() + 3);
}

TEST_CASE("the picture of any events is well-formed XML") {
  // Guards against markup, control characters and broken UTF-8 in ids, which make a viewer reject the file.
  CHECK(rc::check([](const std::vector<std::pair<std::string, std::uint16_t>> &Items) {
    std::vector<TimelineEvent> Events;
    Events.reserve(Items.size());
    for (const std::pair<std::string, std::uint16_t> &Item : Items)
      Events.push_back({.m_Instance = InstanceId(Item.first),
                        .m_Wall = WallTime(std::chrono::milliseconds(*rc::gen::arbitrary<std::int64_t>())),
                        .m_Kind = static_cast<EventKind>(Item.second % 80),
                        .m_Request = RequestId(Item.first),
                        .m_Detail = "<&\">\xc3\x28\xed\xa0\x80" + Item.first});
    const std::string Svg = renderSvg(mergeTimelines({Events}));
    int Depth = 0;
    for (std::size_t At = Svg.find('<'); At != std::string::npos; At = Svg.find('<', At + 1)) {
      const std::size_t End = Svg.find('>', At);
      RC_ASSERT(End != std::string::npos);
      RC_ASSERT(Svg.find('<', At + 1) > End);
      Depth += Svg[At + 1] == '/' ? -1 : Svg[End - 1] == '/' ? 0 : 1;
      RC_ASSERT(Depth >= 0);
    }
    RC_ASSERT(Depth == 0);
    for (const char Byte : Svg)
      RC_ASSERT((Byte == '\n' || static_cast<unsigned char>(Byte) >= 0x20));
    renderText(mergeTimelines({Events}));
  }));
}
