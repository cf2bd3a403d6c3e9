#include "bulrushpitch/timeline/render.h"

#include "text.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace bulrushpitch {

namespace detail {

std::string durationText(Duration Value) {
  struct Unit {
    double m_Nanoseconds;
    const char *m_Name;
  };
  static constexpr std::array<Unit, 4> Units{{{1e9, "s"}, {1e6, "ms"}, {1e3, "us"}, {1, "ns"}}};
  const double Magnitude = std::abs(static_cast<double>(Value.count()));
  if (Magnitude == 0)
    return "0";
  std::size_t Index = 0;
  while (Index + 1 < Units.size() && Magnitude < Units[Index].m_Nanoseconds)
    ++Index;
  std::array<char, 48> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.3g %s",
                static_cast<double>(Value.count()) / Units[Index].m_Nanoseconds, Units[Index].m_Name);
  // %g turns to exponents at 1000 and above, which only seconds reach.
  if (Index == 0 && Magnitude >= 1e12)
    std::snprintf(Buffer.data(), Buffer.size(), "%.0f s", static_cast<double>(Value.count()) / 1e9);
  return Buffer.data();
}

std::string describe(const TimelineEvent &Event) {
  std::string Text;
  const auto Add = [&Text](const char *Name, const std::string &Value) {
    if (!Value.empty())
      Text += (Text.empty() ? "" : " ") + std::string(Name) + "=" + Value;
  };
  Add("request", Event.m_Request.value());
  Add("team", Event.m_Team.value());
  Add("upstream", Event.m_Upstream.value());
  Add("version", Event.m_Version.value());
  if (Event.m_Revision != ConfigRevision())
    Add("revision", std::to_string(Event.m_Revision.value()));
  Add("domain", Event.m_Domain.value());
  Add("message", Event.m_Message);
  Add("step", Event.m_Step);
  if (!Event.m_Detail.empty())
    Text += (Text.empty() ? "" : ": ") + Event.m_Detail;
  return Text;
}

std::string offsetText(const MergedTimeline &Timeline, const InstanceId &Instance) {
  if (Instance == Timeline.m_Reference)
    return "";
  const ClockOffset &Offset = Timeline.m_Offsets.at(Instance);
  if (!Offset.m_Known)
    return "clock offset unknown";
  const std::string Ahead =
      "clock " + std::string(Offset.m_Ahead.count() < 0 ? "" : "+") + durationText(Offset.m_Ahead);
  return Offset.m_TwoWay ? Ahead + " \u00b1 " + durationText(Offset.m_Uncertainty)
                         : Ahead + " at most (messages one way only)";
}

} // namespace detail

namespace {

/// Control characters would break the line structure or reach a terminal.
void appendPrintable(std::string &To, const std::string &Text) {
  for (const char Byte : Text)
    To += static_cast<unsigned char>(Byte) < 0x20 || Byte == 0x7f ? '?' : Byte;
}

} // namespace

std::string renderText(const MergedTimeline &Timeline) {
  std::string Text;
  if (!Timeline.m_Events.empty()) {
    Text += "times on the clock of ";
    appendPrintable(Text, Timeline.m_Reference.value());
    Text += '\n';
  }
  std::size_t Width = 0;
  for (const std::pair<const InstanceId, ClockOffset> &Item : Timeline.m_Offsets) {
    Width = std::max(Width, Item.first.value().size());
    const std::string Offset = detail::offsetText(Timeline, Item.first);
    if (Offset.empty())
      continue;
    Text += "  ";
    appendPrintable(Text, Item.first.value());
    Text += ": " + Offset + '\n';
  }
  if (Timeline.m_Unordered > 0)
    Text += "  " + std::to_string(Timeline.m_Unordered) + " messages contradict the order of their lists\n";
  for (std::size_t Index = 0; Index < Timeline.m_Events.size(); ++Index) {
    const TimelineEvent &Event = Timeline.m_Events[Index];
    std::array<char, 64> Stamp{};
    std::snprintf(Stamp.data(), Stamp.size(), "%+14.6f s  %6llu  ",
                  static_cast<double>(Timeline.m_Times[Index].count()) / 1e9,
                  static_cast<unsigned long long>(Event.m_Lamport.value()));
    Text += Stamp.data();
    std::string Instance;
    appendPrintable(Instance, Event.m_Instance.value());
    Instance.resize(std::max(Width, Instance.size()), ' ');
    std::string Kind(nameOf(Event.m_Kind));
    Kind.resize(std::max<std::size_t>(20, Kind.size()), ' ');
    Text += Instance + "  " + Kind + " ";
    appendPrintable(Text, detail::describe(Event));
    Text += '\n';
  }
  return Text;
}

} // namespace bulrushpitch
