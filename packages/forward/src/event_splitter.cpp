#include "bulrushpitch/forward/event_splitter.h"

#include <charconv>

namespace bulrushpitch {

namespace {

/// @return the offset after the empty line that ends the first event, or npos
std::size_t endOfEvent(std::string_view Text) {
  for (std::size_t Newline = Text.find('\n'); Newline != std::string_view::npos;
       Newline = Text.find('\n', Newline + 1)) {
    const std::string_view Rest = Text.substr(Newline + 1);
    if (Rest.substr(0, 1) == "\n")
      return Newline + 2;
    if (Rest.substr(0, 2) == "\r\n")
      return Newline + 3;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> idOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  std::size_t LineStart = 0;
  while (LineStart < Event.size()) {
    const std::string_view Line = Event.substr(LineStart, Event.find('\n', LineStart) - LineStart);
    if (Line.substr(0, Field.size()) == Field) {
      std::string_view Text = Line.substr(Field.size());
      Text.remove_prefix(std::min(Text.find_first_not_of(' '), Text.size()));
      std::uint64_t Id = 0;
      const std::from_chars_result Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Id);
      if (Parsed.ec == std::errc())
        return Id;
    }
    LineStart += Line.size() + 1;
  }
  return std::nullopt;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t End = endOfEvent(m_Pending);
  if (End == std::string::npos)
    return std::nullopt;
  StreamEvent Event;
  Event.m_Bytes = m_Pending.substr(0, End);
  Event.m_Id = idOf(Event.m_Bytes);
  m_Pending.erase(0, End);
  return Event;
}

void EventSequence::beginAttempt() {
  m_Skipping = false;
  m_RequiresId = m_Last.has_value();
}

EventSequence::Verdict EventSequence::check(const StreamEvent &Event) {
  if (!Event.m_Id && m_RequiresId)
    return Verdict::Gap;
  m_RequiresId = false;
  if (!Event.m_Id)
    return m_Skipping ? Verdict::Repeated : Verdict::Forward;
  m_Skipping = m_Last && *Event.m_Id <= *m_Last;
  if (m_Skipping)
    return Verdict::Repeated;
  if (m_Last && *Event.m_Id != *m_Last + 1)
    return Verdict::Gap;
  m_Last = Event.m_Id;
  return Verdict::Forward;
}

} // namespace bulrushpitch
