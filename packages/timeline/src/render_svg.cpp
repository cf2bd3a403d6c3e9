#include "bulrushpitch/timeline/render.h"

#include "text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <set>

namespace bulrushpitch {

namespace {

constexpr double laneLeft = 190;   ///< Right end of the instances' names.
constexpr double rightMargin = 90; ///< Room for the last event's label.
constexpr double headHeight = 86;
constexpr double labelRow = 14;
constexpr double spanRow = 24;
constexpr double minStep = 26;     ///< Between two moments, so that marks can be told apart.
constexpr double maxWidth = 24000; ///< Wider pictures are not opened by common viewers.
constexpr std::size_t maxLabelRows = 5;
constexpr double charWidth = 5.7; ///< Of the 10-pixel label font.

struct Family {
  const char *m_Name;
  const char *m_Colour;
};

/// Colours that people with colour-vision deficiencies can tell apart (Okabe and Ito), darkened for thin
/// marks.
constexpr std::array<Family, 7> families{{{"request", "#0072b2"},
                                          {"route and attempt", "#00896b"},
                                          {"permit and lease", "#a0508c"},
                                          {"claim and charge", "#b57b00"},
                                          {"configuration", "#c75100"},
                                          {"process and platform", "#b3261e"},
                                          {"message", "#6b7785"}}};
constexpr const char *failedColour = "#c62828";

const Family &familyOf(EventKind Kind) {
  // Kinds are numbered in tens by family; 0 and unknown kinds count as process events.
  const std::size_t Ten = static_cast<std::size_t>(Kind) / 10;
  return families[Ten >= 1 && Ten <= families.size() ? Ten - 1 : 5];
}

std::string number(double Value) {
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.1f", Value);
  return Buffer.data();
}

/// @return the length of the UTF-8 sequence at @p Index, or 0 if there is none
std::size_t sequenceLength(std::string_view Text, std::size_t Index) {
  const unsigned char First = static_cast<unsigned char>(Text[Index]);
  const std::size_t Length = First < 0x80                     ? 1
                             : First >= 0xc2 && First < 0xe0  ? 2
                             : (First & 0xf0U) == 0xe0        ? 3
                             : First >= 0xf0 && First <= 0xf4 ? 4
                                                              : 0;
  if (Length == 0 || Index + Length > Text.size())
    return 0;
  for (std::size_t Next = 1; Next < Length; ++Next)
    if ((static_cast<unsigned char>(Text[Index + Next]) & 0xc0U) != 0x80U)
      return 0;
  return Length;
}

/// @brief Makes a text safe inside XML: markup is escaped; control characters and bad UTF-8 become '?'.
std::string xml(std::string_view Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size();) {
    const std::size_t Length = sequenceLength(Text, Index);
    const unsigned char First = static_cast<unsigned char>(Text[Index]);
    // Three-byte sequences from ed a0 (surrogates) and ef bf be on (noncharacters) are not allowed in XML.
    const bool Allowed =
        Length > 0 && First >= 0x20 &&
        !(Length == 3 && ((First == 0xed && static_cast<unsigned char>(Text[Index + 1]) >= 0xa0) ||
                          (First == 0xef && static_cast<unsigned char>(Text[Index + 1]) == 0xbf &&
                           static_cast<unsigned char>(Text[Index + 2]) >= 0xbe)));
    if (!Allowed)
      Result += '?';
    else if (First == '&')
      Result += "&amp;";
    else if (First == '<')
      Result += "&lt;";
    else if (First == '>')
      Result += "&gt;";
    else if (First == '"')
      Result += "&quot;";
    else
      Result += Text.substr(Index, Length);
    Index += std::max<std::size_t>(1, Length);
  }
  return Result;
}

std::string shortened(const std::string &Text, std::size_t Length) {
  if (Text.size() <= Length)
    return Text;
  // Continuation bytes are dropped with their character.
  while (Length > 0 && (static_cast<unsigned char>(Text[Length]) & 0xc0U) == 0x80U)
    --Length;
  return Text.substr(0, Length) + "\u2026";
}

/// @brief Maps times to horizontal positions. Long gaps are compressed, so that both microseconds within a
/// request and minutes between requests can be seen.
class Scale {
public:
  Scale(const std::vector<Duration> &Times, double Width) {
    std::set<Duration> Distinct(Times.begin(), Times.end());
    double Total = 0;
    std::optional<Duration> Last;
    for (const Duration &Time : Distinct) {
      if (Last)
        Total += weight(Time - *Last);
      Last = Time;
    }
    const double Room =
        std::clamp(minStep * static_cast<double>(Distinct.size()), Width - laneLeft - rightMargin, maxWidth);
    // Each moment has its minimum distance first; what is left is shared by weight.
    const double Steps = static_cast<double>(Distinct.empty() ? 0 : Distinct.size() - 1);
    const double Step = Steps > 0 ? std::min(minStep, 0.6 * Room / Steps) : 0;
    const double Rest = std::max(0.0, Room - Step * Steps);
    double X = laneLeft + 24;
    Last.reset();
    for (const Duration &Time : Distinct) {
      if (Last)
        X += Step + (Total > 0 ? Rest * weight(Time - *Last) / Total : 0);
      m_Positions.emplace(Time, X);
      Last = Time;
    }
    m_Right = X;
  }

  double at(Duration Time) const { return m_Positions.at(Time); }
  double right() const { return m_Right; }
  const std::map<Duration, double> &positions() const { return m_Positions; }

private:
  static double weight(Duration Gap) { return std::log1p(static_cast<double>(Gap.count()) / 2e6); }

  std::map<Duration, double> m_Positions;
  double m_Right = laneLeft;
};

/// @brief A bar: a request, or an attempt inside it.
struct Span {
  double m_From = 0;
  double m_To = 0;
  const TimelineEvent *m_Start = nullptr;
  const TimelineEvent *m_End = nullptr; ///< Null if it was open at the end.
  std::size_t m_Row = 0;
  std::vector<Span> m_Inner;
};

struct Label {
  double m_X = 0;
  std::size_t m_Row = 0;
  std::string m_Text;
};

struct Lane {
  InstanceId m_Instance;
  std::vector<std::size_t> m_Events;
  std::vector<Span> m_Spans;
  std::map<std::size_t, Label> m_Labels; ///< By event.
  std::size_t m_LabelRows = 1;
  std::size_t m_SpanRows = 0;
  double m_Top = 0;

  double line() const { return m_Top + 12 + labelRow * static_cast<double>(m_LabelRows); }
  double height() const {
    return 12 + labelRow * static_cast<double>(m_LabelRows) + 14 + spanRow * static_cast<double>(m_SpanRows) +
           8;
  }
};

bool opensRequest(EventKind Kind) { return Kind == EventKind::RequestReceived; }
bool closesRequest(EventKind Kind) {
  return Kind == EventKind::RequestFinished || Kind == EventKind::RequestRefused ||
         Kind == EventKind::RequestFailed;
}
bool closesAttempt(EventKind Kind) {
  return Kind == EventKind::AttemptFinished || Kind == EventKind::AttemptFailed;
}

/// @return what the label of an event says: the kind, and the one id that matters most to it
std::string labelOf(const TimelineEvent &Event) {
  std::string Text(nameOf(Event.m_Kind));
  switch (Event.m_Kind) {
  case EventKind::RequestReceived:
  case EventKind::RequestFinished:
    return ""; // The bar below says it.
  case EventKind::MessageSent:
    return shortened(Event.m_Step, 24);
  case EventKind::MessageReceived:
    return ""; // The arrow leads to the sender's label.
  case EventKind::ConfigPublished:
  case EventKind::ConfigApplied:
    return Text + " r" + std::to_string(Event.m_Revision.value());
  case EventKind::Note:
    return shortened(Event.m_Step.empty() ? Event.m_Detail : Event.m_Step, 28);
  default:
    break;
  }
  const std::string &Subject = !Event.m_Upstream.value().empty()  ? Event.m_Upstream.value()
                               : !Event.m_Version.value().empty() ? Event.m_Version.value()
                               : !Event.m_Domain.value().empty()  ? Event.m_Domain.value()
                                                                  : Event.m_Step;
  return Subject.empty() ? Text : Text + " " + shortened(Subject, 18);
}

/// @brief Lays a timeline out and writes it as SVG.
class Picture {
public:
  Picture(const MergedTimeline &Timeline, const SvgOptions &Options)
      : m_Timeline(Timeline), m_Options(Options), m_Scale(Timeline.m_Times, Options.m_Width) {
    makeLanes();
    for (Lane &Item : m_Lanes) {
      placeSpans(Item);
      placeLabels(Item);
    }
    double Top = headHeight;
    for (Lane &Item : m_Lanes) {
      Item.m_Top = Top;
      Top += Item.height();
    }
    m_Bottom = Top;
    m_Width = std::max<double>({double(Options.m_Width), m_Scale.right() + rightMargin, m_LabelEnd + 10});
  }

  std::string draw() {
    begin();
    drawAxis();
    for (std::size_t Index = 0; Index < m_Lanes.size(); ++Index)
      drawLane(m_Lanes[Index], Index % 2 == 0);
    drawArrows();
    for (const Lane &Item : m_Lanes)
      drawMarks(Item);
    drawLegend();
    return m_Out + "</svg>\n";
  }

private:
  double x(std::size_t Event) const { return m_Scale.at(m_Timeline.m_Times[Event]); }

  void makeLanes() {
    std::map<InstanceId, std::size_t> Index;
    for (const std::pair<const InstanceId, ClockOffset> &Item : m_Timeline.m_Offsets) {
      Index.emplace(Item.first, m_Lanes.size());
      m_Lanes.push_back({});
      m_Lanes.back().m_Instance = Item.first;
    }
    for (std::size_t Event = 0; Event < m_Timeline.m_Events.size(); ++Event)
      m_Lanes[Index.at(m_Timeline.m_Events[Event].m_Instance)].m_Events.push_back(Event);
  }

  void placeSpans(Lane &To) {
    std::map<RequestId, std::size_t> Open;
    std::vector<double> RowEnds;
    for (const std::size_t Index : To.m_Events) {
      const TimelineEvent &Event = m_Timeline.m_Events[Index];
      const auto Found = Open.find(Event.m_Request);
      if (opensRequest(Event.m_Kind)) {
        Open[Event.m_Request] = To.m_Spans.size();
        To.m_Spans.push_back({x(Index), m_Scale.right() + 20, &Event, nullptr, 0, {}});
      } else if (Found == Open.end()) {
        continue;
      } else if (Event.m_Kind == EventKind::AttemptStarted) {
        To.m_Spans[Found->second].m_Inner.push_back({x(Index), m_Scale.right() + 20, &Event, nullptr, 0, {}});
      } else if (closesAttempt(Event.m_Kind) && !To.m_Spans[Found->second].m_Inner.empty()) {
        Span &Attempt = To.m_Spans[Found->second].m_Inner.back();
        Attempt.m_To = x(Index);
        Attempt.m_End = &Event;
      } else if (closesRequest(Event.m_Kind)) {
        Span &Request = To.m_Spans[Found->second];
        Request.m_To = std::max(x(Index), Request.m_From + 4);
        Request.m_End = &Event;
        for (Span &Attempt : Request.m_Inner)
          Attempt.m_To = std::min(Attempt.m_To, Request.m_To);
        Open.erase(Found);
      }
    }
    for (Span &Item : To.m_Spans) {
      auto Free = std::find_if(RowEnds.begin(), RowEnds.end(),
                               [&Item](double End) { return End + 6 <= Item.m_From; });
      if (Free == RowEnds.end())
        Free = RowEnds.insert(RowEnds.end(), 0);
      const double TextEnd = Item.m_From + charWidth * static_cast<double>(barText(Item).size()) + 10;
      *Free = std::max(Item.m_To, TextEnd);
      Item.m_Row = static_cast<std::size_t>(Free - RowEnds.begin());
    }
    To.m_SpanRows = RowEnds.size();
  }

  void placeLabels(Lane &To) {
    std::vector<double> RowEnds;
    for (const std::size_t Index : To.m_Events) {
      const std::string Text = labelOf(m_Timeline.m_Events[Index]);
      if (Text.empty())
        continue;
      const double From = x(Index) - 3;
      auto Free = std::find_if(RowEnds.begin(), RowEnds.end(), [From](double End) { return End <= From; });
      if (Free == RowEnds.end()) {
        // A label that finds no room is left out; its mark still has a tooltip.
        if (RowEnds.size() == maxLabelRows)
          continue;
        Free = RowEnds.insert(RowEnds.end(), 0);
      }
      *Free = From + charWidth * static_cast<double>(Text.size()) + 10;
      m_LabelEnd = std::max(m_LabelEnd, *Free);
      To.m_Labels[Index] = {From, static_cast<std::size_t>(Free - RowEnds.begin()), Text};
    }
    To.m_LabelRows = std::max<std::size_t>(1, RowEnds.size());
  }

  static std::string barText(const Span &Item) {
    std::string Text = Item.m_Start->m_Request.value();
    if (!Item.m_Start->m_Team.value().empty())
      Text += "  " + Item.m_Start->m_Team.value();
    return shortened(Text, 40);
  }

  void begin() {
    const double Height = m_Bottom + 74;
    m_Out += "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(m_Width) + "\" height=\"" +
             number(Height) + "\" viewBox=\"0 0 " + number(m_Width) + " " + number(Height) +
             "\" font-family=\"DejaVu Sans, Verdana, sans-serif\" font-size=\"10\" fill=\"#20262e\">\n"
             "<defs><marker id=\"arrow\" viewBox=\"0 0 8 8\" refX=\"7\" refY=\"4\" markerWidth=\"7\" "
             "markerHeight=\"7\" orient=\"auto\"><path d=\"M0 0.8 L8 4 L0 7.2 z\" "
             "fill=\"#6b7785\"/></marker></defs>\n"
             "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
    text(20, 30, xml(m_Options.m_Title), "font-size=\"18\" font-weight=\"bold\"");
    const Duration Length = m_Timeline.m_Times.empty()
                                ? Duration(0)
                                : *std::max_element(m_Timeline.m_Times.begin(), m_Timeline.m_Times.end());
    std::string Summary = std::to_string(m_Timeline.m_Events.size()) + " events of " +
                          std::to_string(m_Lanes.size()) + " instances in " + detail::durationText(Length) +
                          "; times on the clock of " + xml(m_Timeline.m_Reference.value());
    if (m_Timeline.m_Unordered > 0)
      Summary += "; " + std::to_string(m_Timeline.m_Unordered) + " messages out of order";
    text(20, 48, Summary, "font-size=\"11\" fill=\"#59636e\"");
  }

  void text(double X, double Y, const std::string &Escaped, const std::string &Attributes) {
    m_Out +=
        "<text x=\"" + number(X) + "\" y=\"" + number(Y) + "\" " + Attributes + ">" + Escaped + "</text>\n";
  }

  /// Ticks name real times; they stand where events are, because the scale is not linear.
  void drawAxis() {
    double Last = -1e9;
    for (const std::pair<const Duration, double> &Item : m_Scale.positions()) {
      if (Item.second - Last < 74)
        continue;
      Last = Item.second;
      m_Grid.push_back(Item.second);
      text(Item.second, headHeight - 10, "+" + detail::durationText(Item.first),
           "text-anchor=\"middle\" fill=\"#59636e\"");
    }
  }

  void drawLane(const Lane &From, bool Shaded) {
    m_Out += "<rect x=\"0\" y=\"" + number(From.m_Top) + "\" width=\"" + number(m_Width) + "\" height=\"" +
             number(From.height()) + "\" fill=\"" + (Shaded ? "#f5f7f9" : "#ffffff") + "\"/>\n";
    for (const double X : m_Grid)
      m_Out += "<line x1=\"" + number(X) + "\" y1=\"" + number(From.m_Top) + "\" x2=\"" + number(X) +
               "\" y2=\"" + number(From.m_Top + From.height()) + "\" stroke=\"#e3e7eb\"/>\n";
    const double Y = From.line();
    text(20, Y - 2, xml(shortened(From.m_Instance.value(), 24)), "font-size=\"12\" font-weight=\"bold\"");
    const std::string Offset = From.m_Instance == m_Timeline.m_Reference
                                   ? "reference clock"
                                   : detail::offsetText(m_Timeline, From.m_Instance);
    text(20, Y + 12, xml(Offset), "font-size=\"9\" fill=\"#59636e\"");
    m_Out += "<line x1=\"" + number(laneLeft) + "\" y1=\"" + number(Y) + "\" x2=\"" +
             number(m_Scale.right() + 24) + "\" y2=\"" + number(Y) +
             "\" stroke=\"#aab4be\" stroke-width=\"1.5\"/>\n";
    for (const Span &Item : From.m_Spans)
      drawSpan(Item, Y + 14 + spanRow * static_cast<double>(Item.m_Row));
  }

  void bar(const Span &Item, double Y, double Height, const char *Colour, const char *Opacity) {
    const std::string End = Item.m_End == nullptr ? "not ended" : std::string(nameOf(Item.m_End->m_Kind));
    m_Out += "<rect x=\"" + number(Item.m_From) + "\" y=\"" + number(Y) + "\" width=\"" +
             number(std::max(3.0, Item.m_To - Item.m_From)) + "\" height=\"" + number(Height) +
             "\" rx=\"2\" fill=\"" + Colour + "\" fill-opacity=\"" + Opacity + "\"><title>" +
             xml(detail::describe(*Item.m_Start)) + "&#10;" + End + "</title></rect>\n";
  }

  void drawSpan(const Span &Item, double Y) {
    const bool Bad = Item.m_End != nullptr && Item.m_End->m_Kind != EventKind::RequestFinished;
    const char *Colour = Bad ? failedColour : families[0].m_Colour;
    bar(Item, Y, 18, Colour, "0.2");
    m_Out += "<rect x=\"" + number(Item.m_From) + "\" y=\"" + number(Y) +
             "\" width=\"3\" height=\"18\" fill=\"" + Colour + "\"/>\n";
    for (const Span &Attempt : Item.m_Inner) {
      const bool Failed = Attempt.m_End != nullptr && Attempt.m_End->m_Kind == EventKind::AttemptFailed;
      bar(Attempt, Y + 14, 4, Failed ? failedColour : families[1].m_Colour, "0.9");
    }
    text(Item.m_From + 7, Y + 11, xml(barText(Item)), std::string("fill=\"") + Colour + "\"");
  }

  void drawArrows() {
    std::map<std::string, std::pair<double, double>> Sends;
    std::map<InstanceId, double> Lines;
    for (const Lane &Item : m_Lanes)
      Lines[Item.m_Instance] = Item.line();
    for (std::size_t Index = 0; Index < m_Timeline.m_Events.size(); ++Index) {
      const TimelineEvent &Event = m_Timeline.m_Events[Index];
      const double X = x(Index);
      const double Y = Lines.at(Event.m_Instance);
      if (Event.m_Kind == EventKind::MessageSent)
        Sends.emplace(Event.m_Message, std::pair<double, double>(X, Y));
      const auto Sent =
          Event.m_Kind == EventKind::MessageReceived ? Sends.find(Event.m_Message) : Sends.end();
      if (Sent != Sends.end())
        drawArrow(Sent->second.first, Sent->second.second, X, Y);
    }
  }

  void drawArrow(double X1, double Y1, double X2, double Y2) {
    const double Bend = (Y2 - Y1) * 0.35;
    const double Stop = Y2 - std::copysign(5, Y2 - Y1);
    m_Out += "<path d=\"M" + number(X1) + " " + number(Y1) + " C" + number(X1) + " " + number(Y1 + Bend) +
             " " + number(X2) + " " + number(Y2 - Bend) + " " + number(X2) + " " + number(Stop) +
             "\" fill=\"none\" stroke=\"#6b7785\" stroke-width=\"1.3\" stroke-opacity=\"0.8\" "
             "marker-end=\"url(#arrow)\"/>\n";
  }

  void drawMarks(const Lane &From) {
    for (const std::size_t Index : From.m_Events) {
      const TimelineEvent &Event = m_Timeline.m_Events[Index];
      const Family &Kind = familyOf(Event.m_Kind);
      const double X = x(Index);
      const double Y = From.line();
      const bool Message = &Kind == &families.back();
      const auto Found = From.m_Labels.find(Index);
      if (Found != From.m_Labels.end()) {
        const double LabelY = Y - 9 - labelRow * static_cast<double>(Found->second.m_Row);
        m_Out += "<line x1=\"" + number(X) + "\" y1=\"" + number(Y) + "\" x2=\"" + number(X) + "\" y2=\"" +
                 number(LabelY + 1) + "\" stroke=\"" + Kind.m_Colour + "\" stroke-opacity=\"0.4\"/>\n";
        text(Found->second.m_X + 5, LabelY, xml(Found->second.m_Text),
             std::string("fill=\"") + Kind.m_Colour +
                 "\" stroke=\"#ffffff\" stroke-width=\"2.5\" stroke-opacity=\"0.85\" paint-order=\"stroke\"");
      }
      m_Out += "<circle cx=\"" + number(X) + "\" cy=\"" + number(Y) + "\" r=\"" + (Message ? "3" : "4.5") +
               "\" fill=\"" + (Message ? "#ffffff" : Kind.m_Colour) + "\" stroke=\"" + Kind.m_Colour +
               "\" stroke-width=\"1.5\"><title>" + std::string(nameOf(Event.m_Kind)) + " +" +
               detail::durationText(m_Timeline.m_Times[Index]) + "&#10;" + xml(detail::describe(Event)) +
               "</title></circle>\n";
    }
  }

  void drawLegend() {
    double X = 20;
    const double Y = m_Bottom + 26;
    for (const Family &Item : families) {
      const bool Message = &Item == &families.back();
      m_Out += "<circle cx=\"" + number(X + 5) + "\" cy=\"" + number(Y - 4) + "\" r=\"4.5\" fill=\"" +
               (Message ? "#ffffff" : Item.m_Colour) + "\" stroke=\"" + Item.m_Colour +
               "\" stroke-width=\"1.5\"/>\n";
      text(X + 15, Y, Item.m_Name, "font-size=\"11\"");
      X += 15 + 7.2 * static_cast<double>(std::string_view(Item.m_Name).size()) + 22;
    }
    text(
        20, Y + 24,
        "Bars are requests (red if refused or failed), the strip at their foot is an attempt at an upstream. "
        "Long gaps are compressed: read times from the ticks.",
        "fill=\"#59636e\"");
  }

  const MergedTimeline &m_Timeline;
  SvgOptions m_Options;
  Scale m_Scale;
  std::vector<Lane> m_Lanes;
  std::vector<double> m_Grid;
  double m_Bottom = 0;
  double m_LabelEnd = 0;
  double m_Width = 0;
  std::string m_Out;
};

} // namespace

std::string renderSvg(const MergedTimeline &Timeline, const SvgOptions &Options) {
  return Picture(Timeline, Options).draw();
}

} // namespace bulrushpitch
