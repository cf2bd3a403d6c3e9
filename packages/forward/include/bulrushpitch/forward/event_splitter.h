#ifndef BULRUSHPITCH_FORWARD_EVENT_SPLITTER_H
#define BULRUSHPITCH_FORWARD_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief One event of an event stream, with the empty line that ends it.
struct StreamEvent {
  std::string m_Bytes;
  std::optional<std::uint64_t> m_Id;
};

/// @brief Cuts the bytes of an event stream into whole events.
///
/// A stream that breaks in the middle of an event leaves it here, so that it never reaches a caller.
class EventSplitter {
public:
  /// @brief Takes more bytes of the stream.
  void feed(std::string_view Part) { m_Pending += Part; }
  /// @return the next whole event, if there is one
  /// @complexity linear in the bytes that are pending
  std::optional<StreamEvent> next();
  /// @return whether the stream would end in the middle of an event
  bool hasPartial() const { return !m_Pending.empty(); }
  /// @return bytes that wait for the end of their event
  std::size_t pendingBytes() const { return m_Pending.size(); }

private:
  std::string m_Pending;
};

/// @brief Checks that the ids of a stream's events follow one another, over all its runs.
class EventSequence {
public:
  enum class Verdict : std::uint8_t { Forward, Repeated, Gap };

  /// @param After the caller already has the events up to this id
  explicit EventSequence(std::optional<std::uint64_t> After = std::nullopt) : m_Last(After) {}

  /// @return whether the event is the next one. An event without an id belongs to the one before it.
  Verdict check(const StreamEvent &Event);
  /// @return the id of the newest event that was forwarded
  std::optional<std::uint64_t> last() const { return m_Last; }

private:
  std::optional<std::uint64_t> m_Last;
  bool m_Skipping = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_EVENT_SPLITTER_H
